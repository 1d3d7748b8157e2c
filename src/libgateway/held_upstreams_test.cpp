// Tests of upstreams (searchers) whose answers say that they are leaving or ask for a pause, with callers and
// upstreams on loopback.
#include <set>

#include "request_harness.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPromptAnswerBound = milliseconds(120);
constexpr const char* kRecord = "0123456789abcdef";

UpstreamLink& LinkOf(RequestHarness& harness, const std::string& service = "s") {
  return *harness.upstreams.services().at(service).links.front();
}

// Sends requests, and returns whether all succeeded.
bool AreServed(RequestHarness& harness, int requests) {
  bool served = true;
  for (int i = 0; i < requests; ++i) {
    Caller& caller = harness.Call("POST");
    served = harness.WaitForAnswer(caller) && caller.status() == 200 && served;
  }
  return served;
}

// Returns the value of Retry-After in a prompt refusal; -1 for any other answer.
double PromptRefusalDelay(RequestHarness& harness, Caller& caller) {
  constexpr std::string_view kField = "\r\nRetry-After: ";
  if (!harness.WaitForAnswer(caller) || harness.loop.Now() - caller.sent_at > kPromptAnswerBound ||
      caller.status() != 503 || !caller.Contains(std::string(kField))) {
    return -1;
  }
  return std::stod(caller.received.substr(caller.received.find(kField) + kField.size()));
}

}  // namespace

TEST_GROUP(LeavingUpstreams) {
  RequestHarness harness;
  const std::string whole = IdentifiedResponse(kCallerRequestId, "whole");

  /// Adds a searcher in this daemon's failure domain, which is preferred, and sends one request to it.
  ScriptedSearcher& CallOnlySearcher(SearcherScript script) {
    auto& searcher = harness.AddSearcher("s", std::move(script), {.id = "first", .start_unix_ms = 5});
    auto& caller = harness.Call("POST");
    CHECK(harness.WaitForAnswer(caller));
    return searcher;
  }
  UpstreamEntry NewerEntry(std::uint64_t start_unix_ms) {
    UpstreamEntry entry = LinkOf(harness).entry();
    entry.sequence += 1;
    entry.start_unix_ms = start_unix_ms;
    return entry;
  }
};

// Guards against an announcement that is missed in some kind of answer, that a later entry of the same lifetime
// undoes, or that outlives the lifetime.
TEST(LeavingUpstreams, AnyAnswerTakesTheLifetimeOutOfUse) {
  const std::string not_run = std::string(platform_names::kNotRunField) + ": 1\r\n";
  for (const std::string& answer : {AnswerWithFields(200, kCallerRequestId, LeavingField(), "whole"),
                                    AnswerWithFields(404, kCallerRequestId, LeavingField()),
                                    AnswerWithFields(500, kCallerRequestId, LeavingField()),
                                    AnswerWithFields(421, kCallerRequestId, not_run + LeavingField()),
                                    AnswerWithFields(429, kCallerRequestId, not_run + LeavingField()),
                                    AnswerWithFields(503, kCallerRequestId, not_run + LeavingField()),
                                    AnswerWithFields(503, kCallerRequestId, LeavingField()),
                                    "HTTP/1.1 200 OK\r\n" + LeavingField() + "Content-Length: 9\r\n\r\nhalf"}) {
    RequestHarness fresh;
    fresh.SetRoute(SingleRoute(false));
    const bool cut = answer.ends_with("half");
    auto& first = fresh.AddSearcher(
        "s",
        {.response = whole,
         .after_response = cut ? SearcherScript::AfterResponse::kClose : SearcherScript::AfterResponse::kKeepOpen,
         .first_responses = {{.response = answer}}},
        {.id = "first", .start_unix_ms = 5});
    CHECK(fresh.WaitForAnswer(fresh.Call("POST")));
    CHECK_TEXT(LinkOf(fresh).leaving(), answer.c_str());
    auto& second = fresh.AddSearcher("s", {.response = whole}, {.id = "second", .failure_domain = "b"});
    UpstreamEntry entry = LinkOf(fresh).entry();
    entry.sequence += 1;
    CHECK(AreServed(fresh, 3));
    fresh.upstreams.Announce(entry);
    CHECK(AreServed(fresh, 3));
    fresh.upstreams.Withdraw("first");
    fresh.upstreams.Announce(entry);
    CHECK(AreServed(fresh, 3));
    CHECK_EQUAL(1U, first.arrivals());
    CHECK_EQUAL(9U, second.arrivals());
    entry.start_unix_ms += 1;
    fresh.upstreams.Announce(entry);
    fresh.upstreams.Withdraw("second");
    fresh.Wait(milliseconds(20));
    CHECK_TEXT(fresh.WaitForAnswer(fresh.Call("POST")) && first.arrivals() == 2U, answer.c_str());
    CHECK_EQUAL(1U, fresh.metrics.counter("pimentomoor_upstream_leaving_total", "source=\"answer\""));
  }
}

// Guards against answers that nobody waits for and late answers whose announcement is dropped with them.
TEST(LeavingUpstreams, AnswersThatNobodyWaitsForCount) {
  const std::string leaving = AnswerWithFields(200, kCallerRequestId, LeavingField(), "whole");
  harness.SetRoute(SingleRoute(false));
  auto& slow = harness.AddSearcher("s", {.response = whole, .first_responses = {{leaving, milliseconds(100)}}});
  auto& leaver = harness.Call("POST");
  CHECK(harness.loop.RunUntil([&] { return slow.arrivals() == 1; }, seconds(1)));
  leaver.Leave();
  CHECK(harness.loop.RunUntil([&] { return LinkOf(harness).leaving(); }, seconds(1)));

  // A second answer to the first request arrives ahead of the answer to the second one.
  RequestHarness crossed;
  crossed.SetRoute(SingleRoute(false), 1);
  crossed.AddSearcher(
      "s", {.response = AnswerWithFields(200, "one", LeavingField(), "late") + IdentifiedResponse("two", "second"),
            .first_responses = {{IdentifiedResponse("one", "first")}}});
  CHECK(crossed.WaitForAnswer(crossed.Call("POST", "one")));
  CHECK_FALSE(LinkOf(crossed).leaving());
  auto& second = crossed.Call("POST", "two");
  CHECK(crossed.WaitForAnswer(second));
  CHECK(second.Contains("second"));
  CHECK(LinkOf(crossed).leaving());

  // A second answer arrives while no request runs.
  RequestHarness idle;
  idle.SetRoute(SingleRoute(false));
  idle.AddSearcher("s", {.response = whole,
                         .first_responses = {{.response = whole, .resend = milliseconds(50), .resent = leaving}}});
  CHECK(AreServed(idle, 1));
  CHECK(idle.loop.RunUntil([&] { return LinkOf(idle).leaving(); }, seconds(1)));
}

// Guards against an upstream that is lost because a response on a connection whose other end isn't known to be the
// upstream says that it is leaving.
TEST(LeavingUpstreams, LateAnswersOfAnUnknownSenderDoNotCount) {
  harness.SetRoute(SingleRoute(false));
  harness.AddSearcher("s", {.response = AnswerWithFields(200, "other", LeavingField(), "late") +
                                        IdentifiedResponse(kCallerRequestId, "whole")});
  CHECK(AreServed(harness, 1));
  CHECK_FALSE(LinkOf(harness).leaving());
}

// Guards against requests that a leaving upstream gets too late, and against refusing those that only it can serve.
TEST(LeavingUpstreams, LastResortWithinTheDrainTimeOnly) {
  const UpstreamHoldSettings settings;
  harness.SetRoute(SingleRoute(true));
  harness.upstreams.SetDrainTime(settings.drain_margin + milliseconds(400));
  auto& first = CallOnlySearcher(
      {.response = whole, .first_responses = {{AnswerWithFields(200, kCallerRequestId, LeavingField(), "whole")}}});
  const TimePoint leaving_since = harness.loop.Now();
  CHECK(AreServed(harness, 3));
  CHECK(harness.loop.Now() - leaving_since < milliseconds(400));
  CHECK_EQUAL(4U, first.arrivals());
  auto& second = harness.AddSearcher("s", {.response = whole}, {.id = "second", .failure_domain = "b"});
  CHECK(AreServed(harness, 3));
  CHECK_EQUAL(3U, second.arrivals());
  harness.upstreams.Withdraw("second");
  harness.Wait(milliseconds(450));
  CHECK(PromptRefusalDelay(harness, harness.Call()) == 0.06);
  CHECK_EQUAL(4U, first.arrivals());
  harness.Wait(milliseconds(50));
  CHECK_FALSE(LinkOf(harness).busy());  // its connections are closed
}

// Guards against gathers that ignore what the answer to one part says.
TEST(LeavingUpstreams, PartsOfAGatherCount) {
  harness.SetRoute(GatherRoute(2, 1, milliseconds(300), seconds(2)));
  const std::string part = IdentifiedResponse(kCallerRequestId, kRecord);
  auto& first = harness.AddSearcher(
      "shard-0",
      {.response = part, .first_responses = {{AnswerWithFields(200, kCallerRequestId, LeavingField(), kRecord)}}});
  harness.AddSearcher("shard-1", {.response = part});
  for (int i = 0; i < 4; ++i) {
    auto& caller = harness.Call();
    CHECK(harness.WaitForAnswer(caller));
    CHECK_EQUAL(200, caller.status());
    if (i == 0) {
      harness.AddSearcher("shard-0", {.response = part}, {.id = "z", .failure_domain = "b"});
    }
  }
  CHECK_EQUAL(1U, first.arrivals());
}

TEST_GROUP(PausedUpstreams) {
  RequestHarness harness;
  const std::string whole = IdentifiedResponse(kCallerRequestId, "whole");
};

// Guards against requests to an upstream within the pause that it asked for, whether or not its answer proves that
// the request has not run, against late refusals, and against callers that are told to return too early or all
// together.
TEST(PausedUpstreams, CallersAreRefusedAtOnceUntilThePauseEnds) {
  for (const bool proves_not_run : {true, false}) {
    RequestHarness fresh;
    fresh.SetRoute(SingleRoute(false));
    auto& searcher = fresh.AddSearcher(
        "s",
        {.response = whole,
         .first_responses = {{proves_not_run ? PauseRequest(kCallerRequestId, "1.25")
                                             : AnswerWithFields(503, kCallerRequestId, "Retry-After: 1.25\r\n")}}});
    auto& first = fresh.Call("POST");
    CHECK(fresh.WaitForAnswer(first));
    const TimePoint paused_at = fresh.loop.Now();
    CHECK_EQUAL(proves_not_run ? 503 : 502, first.status());
    std::set<double> delays;
    for (int i = 0; i < 8; ++i) {
      const double delay = PromptRefusalDelay(fresh, fresh.Call("POST", "id-" + std::to_string(i)));
      const double left = 1.25 - std::chrono::duration<double>(fresh.loop.Now() - paused_at).count();
      CHECK(delay >= left && delay <= left + 0.4);
      delays.insert(delay);
    }
    CHECK(delays.size() >= 4);
    UpstreamEntry entry = LinkOf(fresh).entry();
    fresh.upstreams.Withdraw(entry.id);
    fresh.upstreams.Announce(entry);
    CHECK(PromptRefusalDelay(fresh, fresh.Call("POST")) > 0.06);
    fresh.Wait(paused_at + milliseconds(1'230) - fresh.loop.Now());
    CHECK_EQUAL(1U, searcher.arrivals());
    fresh.Wait(milliseconds(40));
    CHECK(AreServed(fresh, 1));
    CHECK_EQUAL(2U, searcher.arrivals());
  }
}

// Guards against an upstream that is lost for the lifetimes that follow.
TEST(PausedUpstreams, ANewLifetimeEndsThePause) {
  harness.SetRoute(SingleRoute(false));
  harness.AddSearcher("s", {.response = whole, .first_responses = {{PauseRequest(kCallerRequestId, "1e308")}}});
  CHECK(harness.WaitForAnswer(harness.Call("POST")));
  CHECK(PromptRefusalDelay(harness, harness.Call("POST")) > 0.06);
  UpstreamEntry entry = LinkOf(harness).entry();
  entry.start_unix_ms += 1;
  harness.upstreams.Announce(entry);
  CHECK(AreServed(harness, 1));
}

// Guards against a gather that waits in vain for a paused shard, sends to it, or fails although it may lack the
// shard.
TEST(PausedUpstreams, GatherGoesWithoutAPausedShardWhenItMay) {
  constexpr Duration kObjective = seconds(1);
  const std::string part = IdentifiedResponse(kCallerRequestId, kRecord);
  for (const bool may_lack_one : {true, false}) {
    RequestHarness fresh;
    fresh.SetRoute(GatherRoute(4, may_lack_one ? 0.75 : 1, kObjective, seconds(2)));
    for (const char* shard : {"shard-0", "shard-1", "shard-2"}) {
      fresh.AddSearcher(shard, {.response = part});
    }
    auto& paused = fresh.AddSearcher("shard-3", {.response = PauseRequest(kCallerRequestId, "30")});
    for (unsigned i = 0; i < 3; ++i) {
      auto& caller = fresh.Call();
      CHECK(fresh.WaitForAnswer(caller));
      CHECK(fresh.loop.Now() - caller.sent_at <= kPromptAnswerBound);
      // The first request has run at the other shards.
      CHECK_EQUAL(may_lack_one ? 200 : i == 0 ? 502 : 503, caller.status());
      CHECK(!may_lack_one || caller.Contains(std::string(platform_names::kMissingPartsField) + ": 1\r\n"));
    }
    CHECK_EQUAL(1U, paused.arrivals());
    CHECK_EQUAL(may_lack_one ? 10U : 4U, fresh.arrivals());
  }
}

// Guards against hedges, retries and first sends that reach a paused upstream while another one serves.
TEST(PausedUpstreams, NothingReachesAPausedUpstreamUnderLoad) {
  harness.SetRoute(SingleRoute(true));
  auto& paused = harness.AddSearcher("s", {.response = PauseRequest(kCallerRequestId, "20")});
  SearcherScript slow{.response = whole};  // late enough for hedges
  for (int i = 0; i < 40; ++i) {
    slow.first_responses.push_back({.response = whole, .delay = milliseconds(i % 4 == 0 ? 150 : 0)});
  }
  harness.AddSearcher("s", slow, {.failure_domain = "b"});
  harness.Wait(kRetryBudgetOpensAfter);
  CHECK(harness.WaitForAnswer(harness.Call()));
  const unsigned before = paused.arrivals();
  for (int i = 0; i < 60; ++i) {
    harness.Call();
    harness.Wait(milliseconds(10));
  }
  harness.Wait(milliseconds(400));
  CHECK_EQUAL(1U, before);
  CHECK_EQUAL(before, paused.arrivals());
}

}  // namespace pimentomoor
