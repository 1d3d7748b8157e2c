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

// The first searcher holds the shards 0 and 3 of each snapshot.
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

/// A process with stand-ins and a client that calls the first upstream.
class Bench {
 public:
  Bench()
      : loop_(clock_),
        client_(loop_),
        searchers_(loop_, {.deployment = ParseDeployment(kDescription),
                           .restart_delay = std::chrono::milliseconds(100),
                           .drain_announce_duration = std::chrono::milliseconds(100),
                           .drain_refuse_duration = std::chrono::milliseconds(200)}) {}

  StandinSearchers& searchers() { return searchers_; }
  std::string target() { return searchers_.deployment().services[0].upstreams[0].address; }
  const UpstreamModel& model() { return searchers_.upstream(target()); }
  void Wait(Duration time) {
    RunTurns(
        loop_, clock_, [] { return false; }, time);
  }

  /// Sends all bodies at once and returns the results in the same order.
  std::vector<HttpResult> PostAll(const std::string& path, const std::vector<std::string>& bodies) {
    std::vector<HttpResult> results(bodies.size());
    std::size_t done = 0;
    for (std::size_t i = 0; i < bodies.size(); ++i) {
      client_.Call({.target = target(), .method = "POST", .path = path, .body = bodies[i]},
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

  /// Milliseconds from sending a query to its answer.
  std::int64_t SearchTime();

  HttpResult Call(const std::string& method, const std::string& target, const std::string& path,
                  const std::string& body = "") {
    std::optional<HttpResult> answer;
    client_.Call({.target = target, .method = method, .path = path, .body = body},
                 [&](HttpResult result) { answer = std::move(result); });
    CHECK(RunTurns(
        loop_, clock_, [&] { return answer.has_value(); }, kTestTimeout));
    return *answer;
  }

  void Control(const std::string& yaml) {
    LONGS_EQUAL(200, Call("PUT", searchers_.admin_address(), "/control", yaml).status);
  }

 private:
  ManualClock clock_;
  EventLoop loop_;
  HttpClient client_;
  StandinSearchers searchers_;
};

proto::SearchRequest MakeQuery(std::string text = "bulls", std::uint32_t shard = 0, std::uint64_t snapshot = 7) {
  proto::SearchRequest request;
  request.set_id(42);
  request.set_service("orders");
  request.set_text(std::move(text));
  request.set_shard(shard);
  request.set_snapshot(snapshot);
  return request;
}

std::int64_t Bench::SearchTime() {
  const TimePoint start = clock_.Now();
  LONGS_EQUAL(200, Search(MakeQuery()).status);
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now() - start).count();
}

proto::SearchResponse Parse(const HttpResult& result) {
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

// Guards against rows that differ from the reference, which would make every check of answers meaningless.
TEST(StandinSearchers, AnswersWithReferenceRows) {
  Bench bench;
  const auto response = Parse(bench.Search(MakeQuery("bulls", 3)));
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
  Bench bench;
  const auto results = bench.PostAll("/search", std::vector(5, MakeQuery().SerializeAsString()));
  LONGS_EQUAL(3, CountStatus(results, 200));
  LONGS_EQUAL(2, CountStatus(results, 503, "x-shed"));
  LONGS_EQUAL(2, bench.model().counters().running_high);
}

// Guards against a connection limit that is not enforced.
TEST(StandinSearchers, ClosesConnectionsBeyondTheLimit) {
  Bench bench;
  const auto results = bench.PostAll("/search", std::vector(8, MakeQuery().SerializeAsString()));
  std::size_t closed = 0;
  for (const auto& result : results) {
    closed += result.failure == HttpFailure::kNone ? 0 : 1;
  }
  LONGS_EQUAL(3, closed);
  LONGS_EQUAL(5, bench.model().counters().connections_high);
}

// Guards against work that is run for callers that have given up: running searches stop, queued ones don't start.
TEST(StandinSearchers, RunsNoSearchPastItsDeadline) {
  Bench bench;
  auto request = MakeQuery();
  request.set_deadline_ms(10);
  const auto results = bench.PostAll("/search", std::vector(3, request.SerializeAsString()));
  LONGS_EQUAL(2, CountStatus(results, 500));
  LONGS_EQUAL(1, CountStatus(results, 504));
}

// Guards against a cold start that is not visible to the tier, or that the health endpoint admits.
TEST(StandinSearchers, ColdUpstreamFailsConcurrentRequests) {
  Bench bench;
  bench.Control("{upstream: '" + bench.target() + "', fault: cold}");
  CHECK(bench.Call("GET", bench.target(), "/health").body.find("warm") != std::string::npos);
  const auto results = bench.PostAll("/search", std::vector(2, MakeQuery().SerializeAsString()));
  LONGS_EQUAL(1, CountStatus(results, 200, "x-cold"));
  LONGS_EQUAL(1, CountStatus(results, 500));
  LONGS_EQUAL(1, bench.model().counters().overload_violations);
  CHECK_FALSE(Parse(bench.Search(MakeQuery())).cold());
}

// Guards against a drain that skips its announcement, its refusals or its end.
TEST(StandinSearchers, DrainAnnouncesThenRefusesThenStops) {
  Bench bench;
  bench.Control("{upstream: '" + bench.target() + "', fault: drain}");
  CHECK(Parse(bench.Search(MakeQuery())).draining());
  bench.Wait(std::chrono::milliseconds(120));
  const auto refused = bench.Search(MakeQuery());
  LONGS_EQUAL(503, refused.status);
  STRCMP_EQUAL("1", std::string(FindHeader(refused.headers, "x-draining")).c_str());
  bench.Wait(std::chrono::milliseconds(250));
  CHECK(NothingSent(bench.Search(MakeQuery()).failure));
  LONGS_EQUAL(2, bench.model().counters().after_drain);
  bench.Control("{upstream: '" + bench.target() + "', fault: start}");
  CHECK(Parse(bench.Search(MakeQuery())).cold());
}

// Guards against a crash that answers some requests, or that leaves the old incarnation.
TEST(StandinSearchers, CrashClosesAllConnectionsAndRestartsCold) {
  Bench bench;
  const auto before = Parse(bench.Search(MakeQuery())).incarnation();
  const auto results =
      bench.PostAll("/search", {MakeQuery().SerializeAsString(), MakeQuery("a crash! of bulls").SerializeAsString()});
  CHECK(results[0].failure == HttpFailure::kConnectionLost);
  CHECK(results[1].failure == HttpFailure::kConnectionLost);
  CHECK(NothingSent(bench.Search(MakeQuery()).failure));
  bench.Wait(std::chrono::milliseconds(150));
  const auto after = Parse(bench.Search(MakeQuery()));
  CHECK(after.cold());
  CHECK(after.incarnation() != before);
  LONGS_EQUAL(1, bench.model().counters().crashes);
}

// Guards against rows of a shard or snapshot that the upstream does not hold.
TEST(StandinSearchers, RefusesWrongShardAndSnapshot) {
  Bench bench;
  for (const auto& request : {MakeQuery("bulls", 1), MakeQuery("bulls", 0, 8), MakeQuery("bulls", 0, 9)}) {
    const auto result = bench.Search(request);
    LONGS_EQUAL(409, result.status);
    STRCMP_EQUAL("1", std::string(FindHeader(result.headers, "x-wrong-snapshot")).c_str());
  }
  bench.Control("{service: orders, fault: publish, version: 8}");
  LONGS_EQUAL(200, bench.Search(MakeQuery("bulls", 0, 8)).status);
  bench.Control("{service: orders, fault: retire, version: 7}");
  LONGS_EQUAL(409, bench.Search(MakeQuery()).status);
}

// Guards against a repeated operation that goes unseen, also when the first one ended in a crash.
TEST(StandinSearchers, RecordsEveryExecutionOfAToken) {
  Bench bench;
  proto::ExecuteRequest request;
  request.set_service("orders");
  request.set_token("t1");
  request.set_body("crash! while paying");
  CHECK(bench.PostAll("/execute", {request.SerializeAsString()})[0].failure == HttpFailure::kConnectionLost);
  bench.Wait(std::chrono::milliseconds(150));
  CHECK(bench.searchers().RepeatedTokens().empty());
  request.set_body("pay");
  proto::ExecuteResponse response;
  CHECK(response.ParseFromString(bench.PostAll("/execute", {request.SerializeAsString()})[0].body));
  STRCMP_EQUAL(ReferenceExecution("orders", "t1", "pay").c_str(), response.body().c_str());
  CHECK(bench.searchers().RepeatedTokens() == std::vector<std::string>{"t1"});
  const auto counters = bench.Call("GET", bench.searchers().admin_address(), "/counters").body;
  CHECK(counters.find(R"("executions":2)") != std::string::npos);
  CHECK(counters.find(R"("repeated_tokens":["t1"])") != std::string::npos);
  const auto log = bench.Call("GET", bench.searchers().admin_address(), "/executions").body;
  CHECK(log.find(R"(,{"upstream":")" + bench.target() + R"(","body":"pay"}]})") != std::string::npos);
}

// Guards against delays that a slow, distant or straggling upstream doesn't show.
TEST(StandinSearchers, SlowUpstreamAnswersLate) {
  Bench bench;
  LONGS_EQUAL(0, bench.SearchTime() / 50);
  bench.Control("{failure_domain: a, fault: slow, factor: 10}");
  LONGS_EQUAL(3, bench.SearchTime() / 100);
  bench.Control("{fault: slow, factor: 1}");
  bench.Control("{service: orders, fault: straggler, probability: 1, factor: 20}");
  LONGS_EQUAL(6, bench.SearchTime() / 100);
}

// Guards against a misspelt fault that silently injects nothing.
TEST(StandinSearchers, RefusesUnknownControlCommands) {
  Bench bench;
  for (const char* body : {"fault: freeze", "{upstream: '127.0.0.1:1', fault: cold}", "{fault: cold, upstrem: x}",
                           "{service: orders, fault: publish, version: 99}", "- cold"}) {
    LONGS_EQUAL(400, bench.Call("PUT", bench.searchers().admin_address(), "/control", body).status);
  }
}

}  // namespace pimentomoor
