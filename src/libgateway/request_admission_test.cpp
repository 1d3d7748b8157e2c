// Tests of requests for which there is no room, with callers and upstreams (searchers) on loopback.
#include "request_harness.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned kOneConnection = 1;  // further requests wait in the queue
constexpr Duration kWorkTime = milliseconds(50);
constexpr Duration kStandingTime = milliseconds(1'500);  // longer than a queue must stand before requests are refused

// A searcher that takes kWorkTime for each request.
SearcherScript SlowScript() {
  const std::string response = IdentifiedResponse(kCallerRequestId, "slow");
  return {.response = response, .first_responses = std::vector<TimedResponse>(200, {response, kWorkTime})};
}

}  // namespace

TEST_GROUP(RequestAdmission) {
  RequestHarness harness;

  void setup() override { harness.runs.settings.admission.naive = false; }

  /// Offers twice as many requests as a connection to each of so many slow searchers takes, until their queues have
  /// stood long enough.
  void Overload(int searchers = 1) {
    for (const TimePoint end = harness.loop.Now() + kStandingTime; harness.loop.Now() < end;) {
      harness.Call();
      harness.Wait(kWorkTime / 2 / searchers);
    }
  }
  std::uint64_t Refused(const char* reason) {
    return harness.metrics.counter("pimentomoor_run_refused_total", reason);
  }
};

// Guards against a request that waits for its turn although it can no longer be answered in time.
TEST(RequestAdmission, RequestLeavesTheQueueWhenItIsTooLate) {
  constexpr Duration kTimeout = milliseconds(600);
  constexpr Duration kLeastWork = milliseconds(400);
  RouteSpec route = SingleRoute(false);
  route.timeout = kTimeout;
  harness.SetRoute(route, kOneConnection);
  harness.runs.latencies["r"].least = kLeastWork;
  auto& searcher = harness.AddSearcher("s", {.first_responses = {{ResponseWithLength("first"), seconds(2)}}});
  harness.Call("POST");
  CHECK(harness.loop.RunUntil([&] { return searcher.arrivals() == 1; }, seconds(1)));
  Caller& waiting = harness.Call("POST");
  CHECK(harness.WaitForAnswer(waiting));
  CHECK_EQUAL(503, waiting.status());
  CHECK(harness.loop.Now() - waiting.sent_at < kTimeout - kLeastWork / 2);
  CHECK_EQUAL(1U, searcher.arrivals());
  CHECK_EQUAL(1U, Refused("reason=\"out of time\""));
}

// Guards against requests that wait until their deadline in a queue that is known to be too long.
TEST(RequestAdmission, StandingQueueRefusesAtOnce) {
  harness.SetRoute(SingleRoute(false), kOneConnection);
  harness.AddSearcher("s", SlowScript());
  Overload();
  Caller& late = harness.Call();
  CHECK(harness.WaitForAnswer(late, kWorkTime));
  CHECK_EQUAL(503, late.status());
  CHECK(late.Contains("Retry-After: 0."));
  CHECK(Refused("reason=\"no room\"") > 0);
  CHECK(harness.runs.admission.overload.active);
}

// Guards against a naive variant that refuses.
TEST(RequestAdmission, NaiveVariantQueuesEveryRequest) {
  harness.runs.settings.admission.naive = true;
  harness.SetRoute(SingleRoute(false), kOneConnection);
  harness.AddSearcher("s", SlowScript());
  Overload();
  CHECK_FALSE(harness.WaitForAnswer(harness.Call(), kWorkTime));
  CHECK_EQUAL(0U, Refused("reason=\"no room\""));
}

// Guards against refusals because of a pause: all upstreams stop for 250 ms below their room.
TEST(RequestAdmission, PauseRefusesNothing) {
  SearcherScript script = SlowScript();
  script.first_responses[2].delay = milliseconds(250);
  script.first_responses[20].delay = milliseconds(250);
  harness.SetRoute(SingleRoute(false), kOneConnection);
  harness.AddSearcher("s", std::move(script));
  std::vector<Caller*> callers;
  for (const TimePoint end = harness.loop.Now() + kStandingTime; harness.loop.Now() < end;) {
    callers.push_back(&harness.Call());
    harness.Wait(kWorkTime * 3 / 2);
  }
  for (Caller* caller : callers) {
    CHECK(harness.WaitForAnswer(*caller));
    CHECK_EQUAL(200, caller->status());
  }
}

// Guards against a gather that takes the room of some shards while others have none for it.
TEST(RequestAdmission, GatherAsksForRoomAtAllShards) {
  const auto gather = GatherRoute(2, 1.0, milliseconds(300), seconds(2));
  harness.SetRoute(gather, kOneConnection);
  harness.AddSearcher("shard-0", SlowScript());
  auto& idle = harness.AddSearcher("shard-1", {.response = IdentifiedResponse(kCallerRequestId, "")});
  Overload();
  harness.Wait(kWorkTime);
  const unsigned arrivals = idle.arrivals();
  Caller& late = harness.Call();
  CHECK(harness.WaitForAnswer(late, kWorkTime));
  CHECK_EQUAL(503, late.status());
  CHECK_EQUAL(arrivals, idle.arrivals());
}

// Guards against a gather that waits for its deadline after a shard has used up its attempts.
TEST(RequestAdmission, GatherEndsWhenAShardIsOutOfReach) {
  harness.SetRoute(GatherRoute(2, 1.0, milliseconds(300), seconds(2)));
  harness.AddSearcher("shard-0", {.response = IdentifiedResponse(kCallerRequestId, "")});
  for (unsigned i = 0; i < 2; ++i) {
    harness.AddSearcher("shard-1", {.response = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"});
  }
  harness.Wait(kRetryBudgetOpensAfter);
  Caller& caller = harness.Call();
  CHECK(harness.WaitForAnswer(caller, seconds(1)));
  CHECK_EQUAL(504, caller.status());
}

// Guards against a queue in which the order of arrival decides and not priority and the turns of customers.
TEST(RequestAdmission, QueueGoesByPriorityAndCustomer) {
  harness.SetRoute(SingleRoute(false), kOneConnection);
  harness.AddSearcher("s", SlowScript());
  const auto queue = [this](unsigned priority, std::uint64_t customer) {
    auto exchange = std::make_shared<UpstreamExchange>();
    exchange->request = std::make_shared<UpstreamRequest>(
        UpstreamRequest{.head = "GET / HTTP/1.1\r\n", .request_id = kCallerRequestId});
    exchange->deadline = harness.loop.Now() + seconds(2);
    exchange->place = {.priority = priority, .customer = customer};
    harness.upstreams.services().at("s").links.front()->Send(exchange);
    return exchange;
  };
  const auto running = queue(1, 1);
  CHECK(harness.loop.RunUntil([&] { return running->sent; }, seconds(1)));
  const auto first = queue(1, 1);
  const auto second = queue(1, 1);
  const auto other = queue(1, 2);
  const auto urgent = queue(0, 1);
  CHECK(harness.loop.RunUntil([&] { return second->done; }, seconds(1)));
  CHECK(urgent->sent_at < first->sent_at);
  CHECK(first->sent_at < other->sent_at);
  CHECK(other->sent_at < second->sent_at);
}

// Guards against hedges that take the place of requests that wait.
TEST(RequestAdmission, NoHedgesWhileRequestsWait) {
  const auto extra_sends = [this](bool naive) {
    harness.runs.settings.admission.naive = naive;
    const auto sends = [this] { return harness.metrics.counter("pimentomoor_run_extra_sends_total"); };
    Overload(2);
    const std::uint64_t before = sends();
    Overload(2);
    return sends() - before;
  };
  harness.SetRoute(SingleRoute(true), kOneConnection);
  harness.AddSearcher("s", SlowScript());
  harness.AddSearcher("s", SlowScript());
  harness.Wait(kRetryBudgetOpensAfter);
  CHECK_EQUAL(0U, extra_sends(false));
  CHECK(extra_sends(true) > 0);
}

}  // namespace pimentomoor
