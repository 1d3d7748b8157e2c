// Tests of requests to an upstream (searcher) whose pace is active, with callers and upstreams on loopback.
#include "request_harness.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kOldSequence = 100;
constexpr unsigned kPacedAtOnce = 2;  // first limit of a single daemon
constexpr Duration kWorkTime = milliseconds(300);
const UpstreamEntry kYoung{.id = "young", .failure_domain = "b", .sequence = 1};
const UpstreamEntry kOld{.id = "old", .sequence = kOldSequence};

}  // namespace

TEST_GROUP(UpstreamLinkPace) {
  RequestHarness harness;

  void setup() override {
    harness.upstreams.context().pace.enabled = true;
    harness.SetRoute(SingleRoute(false));
  }
  ScriptedSearcher& Add(const UpstreamEntry& entry) {
    return harness.AddSearcher(
        "s",
        {.response = ResponseWithLength("fast"),
         .first_responses = std::vector<TimedResponse>(20, {ResponseWithLength("slow"), kWorkTime})},
        entry);
  }
  UpstreamLink& Link(const std::string& id) {
    for (const auto& link : harness.upstreams.services().at("s").links) {
      if (link->entry().id == id) {
        return *link;
      }
    }
    FAIL("no such link");
    return *harness.upstreams.services().at("s").links.front();
  }
  std::vector<Caller*> Call(unsigned count) {
    std::vector<Caller*> callers;
    for (unsigned i = 0; i < count; ++i) {
      callers.push_back(&harness.Call("POST"));
    }
    harness.Wait(kWorkTime / 3);
    return callers;
  }
  void CheckServed(const std::vector<Caller*>& callers) {
    for (auto* caller : callers) {
      CHECK(harness.WaitForAnswer(*caller));
      CHECK_EQUAL(200, caller->status());
    }
  }
};

// Guards against an upstream that has just started and gets more at once than its pace while another one has room.
TEST(UpstreamLinkPace, RequestsBeyondThePaceGoToAnotherUpstream) {
  auto& old = Add(kOld);
  auto& young = Add(kYoung);
  const auto callers = Call(7);
  CHECK_EQUAL(kPacedAtOnce, young.arrivals());
  CHECK_EQUAL(7U - kPacedAtOnce, old.arrivals());
  CheckServed(callers);
}

// Guards against requests that fail, or break the pace, because the only upstream has just started.
TEST(UpstreamLinkPace, RequestsWaitAtTheOnlyUpstream) {
  auto& young = Add(kYoung);
  const auto callers = Call(5);
  CHECK_EQUAL(kPacedAtOnce, young.arrivals());
  CheckServed(callers);
}

// Guards against a pace that holds for new connections only, while connections from before are idle.
TEST(UpstreamLinkPace, HoldsOverIdleConnections) {
  const std::string fast = IdentifiedResponse(kCallerRequestId, "fast");
  std::vector<TimedResponse> responses(4, {fast, milliseconds(20)});
  responses.insert(responses.end(), 4, {fast, kWorkTime});
  auto& searcher = harness.AddSearcher("s", {.response = fast, .first_responses = responses}, kOld);
  CheckServed(Call(4));
  CHECK_EQUAL(4U, searcher.connections());
  Link("old").StartPace(PaceReason::kCrash);
  const auto callers = Call(4);
  CHECK_EQUAL(4U + kPacedAtOnce, searcher.arrivals());
  CheckServed(callers);
}

// Guards against a limit that stays after it was switched off in the settings, and against limits with the default.
TEST(UpstreamLinkPace, EndsWhenSwitchedOff) {
  auto& young = Add(kYoung);
  const auto callers = Call(4);
  CHECK_EQUAL(kPacedAtOnce, young.arrivals());
  harness.upstreams.context().pace.enabled = false;
  harness.Wait(milliseconds(60));
  CHECK_EQUAL(4U, young.arrivals());
  CheckServed(callers);
  CHECK(!PaceSettings().enabled);
}

// Guards against requests that wait for an upstream whose limit was cut while another one could run them.
TEST(UpstreamLinkPace, ACutReleasesTheQueue) {
  auto& young = harness.AddSearcher(
      "s",
      {.response = ResponseWithLength("late"),
       .first_responses = {{Rejection(kCallerRequestId), kWorkTime / 2}, {ResponseWithLength("slow"), kWorkTime}}},
      kYoung);
  harness.Wait(kRetryBudgetOpensAfter);
  const auto callers = Call(5);
  CHECK_EQUAL(kPacedAtOnce, young.arrivals());
  auto& old = harness.AddSearcher("s", {.response = ResponseWithLength("old")}, kOld);
  CHECK(harness.loop.RunUntil([&] { return old.arrivals() == 4; }, kWorkTime));
  CheckServed(callers);
}

// Guards against a pace at upstreams that are warm when a daemon starts, and against recoveries without a pace.
TEST(UpstreamLinkPace, BeginsOnlyAfterAStartOrARecovery) {
  harness.SetRoute(SingleRoute(false), 30, 5);
  Add(kOld);
  Add(kYoung);
  CHECK(!Link("old").pace.active);
  CHECK(Link("young").pace.active);
  CHECK(Link("young").pace.reason == PaceReason::kStart);

  harness.upstreams.SetOutages({"a"});
  harness.upstreams.SetOutages({});
  CHECK(Link("old").pace.reason == PaceReason::kOutageEnd);

  Link("old").pace = {};
  Link("old").AssumeColdUntil({});
  UpstreamEntry cold = Link("old").entry();
  cold.sequence += 1;
  cold.cold_remaining = seconds(2);
  harness.upstreams.Announce(cold);
  CHECK(Link("old").pace.active);
  CHECK(Link("old").pace.reason == PaceReason::kCold);
  // While the rules bound the rate of a cold upstream, its room below that bound is not reduced further.
  CHECK(Link("old").MakePaceConditions(harness.loop.Now()).cold_bounded);
  CHECK(Link("old").MakeCandidate(harness.loop.Now()).has_room);
}

// Guards against an upstream that gets all requests at once when it is back after a crash.
TEST(UpstreamLinkPace, BeginsAfterACrash) {
  auto& searcher = harness.AddSearcher("s", {}, kOld);
  harness.Call("POST");
  CHECK(harness.loop.RunUntil([&] { return searcher.arrivals() == 1; }, seconds(1)));
  CHECK(!Link("old").pace.active);
  harness.searchers.pop_back();
  CHECK(harness.loop.RunUntil([&] { return Link("old").pace.active; }, seconds(1)));
  CHECK(Link("old").pace.reason == PaceReason::kCrash);
}

// Guards against an upstream that gets all requests at once after a run of failures.
TEST(UpstreamLinkPace, BeginsAfterARunOfFailures) {
  harness.AddSearcher("s", {.after_response = SearcherScript::AfterResponse::kClose}, kOld);
  for (unsigned i = 0; i < kPaceFailureRun; ++i) {
    CHECK(!Link("old").pace.active);
    CHECK(harness.WaitForAnswer(harness.Call("POST")));
  }
  CHECK(Link("old").pace.active);
  CHECK(Link("old").pace.reason == PaceReason::kFailures);
}

}  // namespace pimentomoor
