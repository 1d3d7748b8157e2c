// Tests of the stand-in searchers over HTTP.
#include "standin_searcher.h"

#include <optional>
#include <utility>

#include "reference.h"
#include "test_loop.h"
#include "upstream.pb.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {
namespace {

constexpr Duration kTestTimeout = std::chrono::seconds(5);

// The first upstream holds the shards 0 and 3 of each snapshot.
constexpr const char* kDescription = R"(
deployment: test
failure_domains: [a, b, c]
services:
  - name: orders
    kind: execute
    searchers: 4
    shards: 4
    slots: 2
    queue: 1
    connections: 5
    median_ms: 30
    sigma: 0
    cold_requests: 1
    snapshots: [{version: 7}, {version: 8, published: false}]
)";

/// Stand-in searchers and a client, which calls the first upstream.
class SearchersHarness {
 public:
  SearchersHarness()
      : loop_(clock_),
        client_(loop_),
        searchers_(loop_, {.deployment = ParseDeployment(kDescription),
                           .restart_delay = std::chrono::milliseconds(100),
                           .drain_announce_duration = std::chrono::milliseconds(100),
                           .drain_refuse_duration = std::chrono::milliseconds(200)}) {}

  StandinSearchers& searchers() { return searchers_; }
  std::string first_upstream() { return searchers_.deployment().services[0].upstreams[0].address; }
  const UpstreamModel& model() { return searchers_.upstream(first_upstream()); }
  void Wait(Duration time) {
    RunTurns(
        loop_, clock_, [] { return false; }, time);
  }

  /// Sends requests with all `bodies` at once to the first upstream and returns the results in the same order.
  std::vector<HttpResult> PostAll(const std::string& path, const std::vector<std::string>& bodies) {
    std::vector<HttpResult> results(bodies.size());
    std::size_t done = 0;
    for (std::size_t i = 0; i < bodies.size(); ++i) {
      client_.Call({.target = first_upstream(), .method = "POST", .path = path, .body = bodies[i]},
                   [&, i](HttpResult result) {
                     results[i] = std::move(result);
                     ++done;
                   });
    }
    CHECK(RunTurns(
        loop_, clock_, [&] { return done == bodies.size(); }, kTestTimeout));
    return results;
  }

  HttpResult Search(const proto::SearchRequest& request) {
    return PostAll("/search", {request.SerializeAsString()})[0];
  }

  /// Milliseconds from sending a search to its response.
  std::int64_t SearchLatencyMs();

  HttpResult Call(const std::string& method, const std::string& target, const std::string& path,
                  const std::string& body = "") {
    std::optional<HttpResult> answer;
    client_.Call({.target = target, .method = method, .path = path, .body = body},
                 [&](HttpResult result) { answer = std::move(result); });
    CHECK(RunTurns(
        loop_, clock_, [&] { return answer.has_value(); }, kTestTimeout));
    return *answer;
  }

  void PutControlCommand(const std::string& yaml) {
    LONGS_EQUAL(200, Call("PUT", searchers_.admin_address(), "/control", yaml).status);
  }

 private:
  ManualClock clock_;
  EventLoop loop_;
  HttpClient client_;
  StandinSearchers searchers_;
};

proto::SearchRequest MakeSearchRequest(std::string text = "bulls", std::uint32_t shard = 0,
                                       std::uint64_t snapshot = 7) {
  proto::SearchRequest request;
  request.set_id(42);
  request.set_service("orders");
  request.set_text(std::move(text));
  request.set_shard(shard);
  request.set_snapshot(snapshot);
  return request;
}

std::int64_t SearchersHarness::SearchLatencyMs() {
  const TimePoint start = clock_.Now();
  LONGS_EQUAL(200, Search(MakeSearchRequest()).status);
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now() - start).count();
}

proto::SearchResponse ParseSearchResponse(const HttpResult& result) {
  proto::SearchResponse response;
  CHECK(response.ParseFromString(result.body));
  return response;
}

std::size_t CountStatus(const std::vector<HttpResult>& results, int status, const char* header = nullptr) {
  std::size_t count = 0;
  for (const auto& result : results) {
    count += result.status == status && (header == nullptr || FindHeader(result.headers, header) == "1") ? 1 : 0;
  }
  return count;
}

}  // namespace

TEST_GROUP(StandinSearchers){};

// Guards against rows that differ from the reference, which would make all checks of answers meaningless.
TEST(StandinSearchers, AnswersWithReferenceRows) {
  SearchersHarness harness;
  const auto response = ParseSearchResponse(harness.Search(MakeSearchRequest("bulls", 3)));
  const auto expected = ReferenceRows("orders", 7, 3, "bulls", 0);
  LONGS_EQUAL(42, response.id());
  LONGS_EQUAL(3, response.shard());
  LONGS_EQUAL(7, response.snapshot());
  LONGS_EQUAL(expected.size(), response.rows_size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    STRCMP_EQUAL(expected[i].id().c_str(), response.rows(static_cast<int>(i)).id().c_str());
  }
}

// Guards against unlimited concurrency at an upstream.
TEST(StandinSearchers, ShedsBeyondSlotsAndQueue) {
  SearchersHarness harness;
  const auto results = harness.PostAll("/search", std::vector(5, MakeSearchRequest().SerializeAsString()));
  LONGS_EQUAL(3, CountStatus(results, 200));
  LONGS_EQUAL(2, CountStatus(results, 503, "x-shed"));
  LONGS_EQUAL(2, harness.model().counters().running_high);
}

// Guards against a connection limit that is not enforced.
TEST(StandinSearchers, ClosesConnectionsBeyondTheLimit) {
  SearchersHarness harness;
  const auto results = harness.PostAll("/search", std::vector(8, MakeSearchRequest().SerializeAsString()));
  std::size_t closed = 0;
  for (const auto& result : results) {
    closed += result.failure == HttpFailure::kNone ? 0 : 1;
  }
  LONGS_EQUAL(3, closed);
  LONGS_EQUAL(5, harness.model().counters().connections_high);
}

// Guards against searches that run for a caller that has given up. At the deadline a running search ends, and a
// queued one no longer starts.
TEST(StandinSearchers, RunsNoSearchPastItsDeadline) {
  SearchersHarness harness;
  auto request = MakeSearchRequest();
  request.set_deadline_ms(10);
  const auto results = harness.PostAll("/search", std::vector(3, request.SerializeAsString()));
  LONGS_EQUAL(2, CountStatus(results, 500));
  LONGS_EQUAL(1, CountStatus(results, 504));
}

// Guards against a cold upstream whose responses don't show it, and against a health endpoint that does.
TEST(StandinSearchers, ColdUpstreamFailsConcurrentRequests) {
  SearchersHarness harness;
  harness.PutControlCommand("{upstream: '" + harness.first_upstream() + "', fault: cold}");
  CHECK(harness.Call("GET", harness.first_upstream(), "/health").body.find("warm") != std::string::npos);
  const auto results = harness.PostAll("/search", std::vector(2, MakeSearchRequest().SerializeAsString()));
  LONGS_EQUAL(1, CountStatus(results, 200, "x-cold"));
  LONGS_EQUAL(1, CountStatus(results, 500));
  LONGS_EQUAL(1, harness.model().counters().overload_violations);
  CHECK_FALSE(ParseSearchResponse(harness.Search(MakeSearchRequest())).cold());
}

// Guards against a drain that omits the announcement, the refusals or the stop.
TEST(StandinSearchers, DrainAnnouncesThenRefusesThenStops) {
  SearchersHarness harness;
  harness.PutControlCommand("{upstream: '" + harness.first_upstream() + "', fault: drain}");
  CHECK(ParseSearchResponse(harness.Search(MakeSearchRequest())).draining());
  harness.Wait(std::chrono::milliseconds(120));
  const auto refused = harness.Search(MakeSearchRequest());
  LONGS_EQUAL(503, refused.status);
  STRCMP_EQUAL("1", std::string(FindHeader(refused.headers, "x-draining")).c_str());
  harness.Wait(std::chrono::milliseconds(250));
  CHECK(NothingSent(harness.Search(MakeSearchRequest()).failure));
  LONGS_EQUAL(2, harness.model().counters().after_drain);
  harness.PutControlCommand("{upstream: '" + harness.first_upstream() + "', fault: start}");
  CHECK(ParseSearchResponse(harness.Search(MakeSearchRequest())).cold());
}

// Guards against a crash that answers some requests, and against a restart with the old incarnation.
TEST(StandinSearchers, CrashClosesAllConnectionsAndRestartsCold) {
  SearchersHarness harness;
  const auto before = ParseSearchResponse(harness.Search(MakeSearchRequest())).incarnation();
  const auto results = harness.PostAll("/search", {MakeSearchRequest().SerializeAsString(),
                                                   MakeSearchRequest("a crash! of bulls").SerializeAsString()});
  CHECK(results[0].failure == HttpFailure::kConnectionLost);
  CHECK(results[1].failure == HttpFailure::kConnectionLost);
  CHECK(NothingSent(harness.Search(MakeSearchRequest()).failure));
  harness.Wait(std::chrono::milliseconds(150));
  const auto after = ParseSearchResponse(harness.Search(MakeSearchRequest()));
  CHECK(after.cold());
  CHECK(after.incarnation() != before);
  LONGS_EQUAL(1, harness.model().counters().crashes);
}

// Guards against an answer for a shard or snapshot that the upstream does not hold.
TEST(StandinSearchers, RefusesWrongShardAndSnapshot) {
  SearchersHarness harness;
  for (const auto& request :
       {MakeSearchRequest("bulls", 1), MakeSearchRequest("bulls", 0, 8), MakeSearchRequest("bulls", 0, 9)}) {
    const auto result = harness.Search(request);
    LONGS_EQUAL(409, result.status);
    STRCMP_EQUAL("1", std::string(FindHeader(result.headers, "x-wrong-snapshot")).c_str());
  }
  harness.PutControlCommand("{service: orders, fault: publish, version: 8}");
  LONGS_EQUAL(200, harness.Search(MakeSearchRequest("bulls", 0, 8)).status);
  harness.PutControlCommand("{service: orders, fault: retire, version: 7}");
  LONGS_EQUAL(409, harness.Search(MakeSearchRequest()).status);
}

// Guards against a repeated operation that is not recorded, also when its first execution ended in a crash.
TEST(StandinSearchers, RecordsEveryExecutionOfAToken) {
  SearchersHarness harness;
  proto::ExecuteRequest request;
  request.set_service("orders");
  request.set_token("t1");
  request.set_body("crash! while paying");
  CHECK(harness.PostAll("/execute", {request.SerializeAsString()})[0].failure == HttpFailure::kConnectionLost);
  harness.Wait(std::chrono::milliseconds(150));
  CHECK(harness.searchers().RepeatedTokens().empty());
  request.set_body("pay");
  proto::ExecuteResponse response;
  CHECK(response.ParseFromString(harness.PostAll("/execute", {request.SerializeAsString()})[0].body));
  STRCMP_EQUAL(ReferenceExecutionBody("orders", "t1", "pay").c_str(), response.body().c_str());
  CHECK(harness.searchers().RepeatedTokens() == std::vector<std::string>{"t1"});
  const auto counters = harness.Call("GET", harness.searchers().admin_address(), "/counters").body;
  CHECK(counters.find(R"("executions":2)") != std::string::npos);
  CHECK(counters.find(R"("repeated_tokens":["t1"])") != std::string::npos);
  const auto log = harness.Call("GET", harness.searchers().admin_address(), "/executions").body;
  CHECK(log.find(R"(,{"upstream":")" + harness.first_upstream() + R"(","body":"pay"}]})") != std::string::npos);
}

// Guards against the faults "slow" and "straggler" that don't delay responses.
TEST(StandinSearchers, SlowUpstreamAnswersLate) {
  SearchersHarness harness;
  LONGS_EQUAL(0, harness.SearchLatencyMs() / 50);
  harness.PutControlCommand("{failure_domain: a, fault: slow, factor: 10}");
  LONGS_EQUAL(3, harness.SearchLatencyMs() / 100);
  harness.PutControlCommand("{fault: slow, factor: 1}");
  harness.PutControlCommand("{service: orders, fault: straggler, probability: 1, factor: 20}");
  LONGS_EQUAL(6, harness.SearchLatencyMs() / 100);
}

// Guards against a misspelt command or selector that is silently ignored.
TEST(StandinSearchers, RefusesUnknownControlCommands) {
  SearchersHarness harness;
  for (const char* body : {"fault: freeze", "{upstream: '127.0.0.1:1', fault: cold}", "{fault: cold, upstrem: x}",
                           "{service: orders, fault: publish, version: 99}", "- cold"}) {
    LONGS_EQUAL(400, harness.Call("PUT", harness.searchers().admin_address(), "/control", body).status);
  }
}

}  // namespace pimentomoor
