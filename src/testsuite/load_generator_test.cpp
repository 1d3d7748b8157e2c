// Tests of the load schedule, percentiles and the load generator.
#include "load_generator.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <stdexcept>

#include "caller.pb.h"
#include "property.h"
#include "reference.h"
#include "standin_searcher.h"
#include "test_loop.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {
namespace {

constexpr const char* kDescription = R"(
deployment: test
failure_domains: [a, b]
services: [{name: orders, searchers: 4, shards: 4, snapshots: [{version: 7}]}]
)";

proto::QueryAnswer TrueAnswer(const proto::QueryRequest& request) {
  proto::QueryAnswer answer;
  answer.set_outcome("complete");
  answer.set_service(request.service());
  answer.set_snapshot(7);
  answer.set_shards(4);
  const std::vector<std::uint32_t> shards = {0, 1, 2, 3};
  answer.mutable_covered()->Assign(shards.begin(), shards.end());
  for (const auto& row : ReferenceAnswerRows(request.service(), 7, shards, request.text(), request.limit())) {
    *answer.add_rows() = row;
  }
  return answer;
}

/// An entry on a free port whose answers a test can change and delay. Its address list begins with `first`, if any.
class FakeEntry {
 public:
  FakeEntry(EventLoop& loop, std::string first, std::function<void(proto::QueryAnswer&)> change, Duration delay)
      : loop_(loop), first_(std::move(first)), change_(std::move(change)), delay_(delay), server_(loop, {}) {
    server_.Handle("/v1/entries", [this](const HttpRequest&, const HttpResponder& respond) {
      ++lookups_;
      proto::EntriesAnswer answer;
      if (!first_.empty()) {
        answer.add_entries()->set_address(first_);
      }
      answer.add_entries()->set_address(server_.address());
      answer.set_ttl_ms(3'000);
      respond({.body = ToJson(answer)});
    });
    server_.Handle("/v1/query", [this](const HttpRequest& request, const HttpResponder& respond) {
      proto::QueryRequest query;
      CHECK(google::protobuf::util::JsonStringToMessage(request.body, &query).ok());
      auto answer = TrueAnswer(query);
      change_(answer);
      loop_.CallAfter(delay_, [respond, body = ToJson(answer)] { respond({.body = body}); });
    });
  }

  [[nodiscard]] std::string address() const { return server_.address(); }
  [[nodiscard]] int lookups() const { return lookups_; }

 private:
  static std::string ToJson(const google::protobuf::Message& message) {
    std::string json;
    CHECK(google::protobuf::util::MessageToJsonString(message, &json).ok());
    return json;
  }

  EventLoop& loop_;
  std::string first_;
  std::function<void(proto::QueryAnswer&)> change_;
  Duration delay_;
  int lookups_ = 0;
  HttpServer server_;
};

struct RunOptions {
  std::string first;
  std::function<void(proto::QueryAnswer&)> change = [](proto::QueryAnswer&) {};
  Duration delay{};
  Duration stall{};  // the loop is blocked for this long after the start
  std::uint32_t deadline_ms = 500;
};

/// Sends 20 queries at fixed intervals of 5 ms.
LoadReport RunLoad(const RunOptions& run) {
  ManualClock clock;
  EventLoop loop(clock);
  FakeEntry entry(loop, run.first, run.change, run.delay);
  LoadGenerator generator(loop, {.entries = {entry.address()},
                                 .services = {"orders"},
                                 .deployment = ParseDeployment(kDescription),
                                 .arrivals = ArrivalKind::kFixed,
                                 .rate = 200,
                                 .duration = std::chrono::milliseconds(100),
                                 .callers = 2,
                                 .deadline_ms = run.deadline_ms,
                                 .grace = std::chrono::milliseconds(300)});
  generator.Start();
  clock.Advance(run.stall);
  CHECK(RunTurns(
      loop, clock, [&] { return generator.done(); }, generator.MaxRunTime()));
  LONGS_EQUAL(2, entry.lookups());  // one for each caller
  LONGS_EQUAL(20, generator.Report().sent);
  return generator.Report();
}

}  // namespace

TEST_GROUP(LoadSchedule){};

// Guards against runs that can't be repeated, and against a rate that differs from the one asked for.
TEST(LoadSchedule, PoissonTimesFollowSeedAndRate) {
  const auto times = ArrivalTimes(ArrivalKind::kPoisson, 1'000, std::chrono::seconds(20), 7);
  CHECK(times == ArrivalTimes(ArrivalKind::kPoisson, 1'000, std::chrono::seconds(20), 7));
  CHECK(times != ArrivalTimes(ArrivalKind::kPoisson, 1'000, std::chrono::seconds(20), 8));
  CHECK(std::is_sorted(times.begin(), times.end()));
  CHECK(times.back() < std::chrono::seconds(20));
  // 20,000 expected; 600 are more than four standard deviations.
  CHECK(times.size() > 19'400 && times.size() < 20'600);
}

// Guards against drift of fixed arrivals.
TEST(LoadSchedule, FixedTimesAreEvenlySpaced) {
  const auto times = ArrivalTimes(ArrivalKind::kFixed, 250, std::chrono::seconds(2), 1);
  LONGS_EQUAL(500, times.size());
  for (std::size_t i = 0; i < times.size(); ++i) {
    CHECK(times[i] == std::chrono::milliseconds(4) * i);
  }
}

// Guards against a load without bounds.
TEST(LoadSchedule, RefusesUnboundedLoads) {
  CHECK_THROWS(std::invalid_argument, ArrivalTimes(ArrivalKind::kFixed, 10, std::chrono::seconds(61), 1));
  CHECK_THROWS(std::invalid_argument, ArrivalTimes(ArrivalKind::kFixed, 0, std::chrono::seconds(1), 1));
  CHECK_THROWS(std::invalid_argument, ArrivalTimes(ArrivalKind::kFixed, 1e6, std::chrono::seconds(2), 1));
}

// Guards against off-by-one ranks, which hide the slowest answers of a short run.
TEST(LoadSchedule, PercentileIsTheNearestRank) {
  CHECK(CheckProperty(1'000, "percentile matches its definition", [] {
    std::vector<Duration> values;
    for (const auto value : *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50)))) {
      values.emplace_back(value);
    }
    std::sort(values.begin(), values.end());
    const int permille = *rc::gen::inRange(1, 1'001);
    const auto naive = *std::find_if(values.begin(), values.end(), [&](Duration candidate) {
      const auto covered = std::count_if(values.begin(), values.end(), [&](Duration v) { return v <= candidate; });
      return covered * 1'000 >= permille * static_cast<long>(values.size());
    });
    RC_ASSERT(Percentile(values, permille / 10.0) == naive);
  }));
}

TEST_GROUP(LoadGenerator){};

// Guards against a checker that rejects true answers, and against wrong coverage figures.
TEST(LoadGenerator, CountsTrueAnswers) {
  const auto report = RunLoad({});
  LONGS_EQUAL(20, report.outcomes.at("complete"));
  LONGS_EQUAL(0, report.wrong);
  LONGS_EQUAL(80, report.useful_sub_queries);
  DOUBLES_EQUAL(1, report.coverage(), 0);
  DOUBLES_EQUAL(1, report.complete_share(), 0);
}

// Guards against a checker that accepts false answers.
TEST(LoadGenerator, CountsFalseAnswers) {
  const std::vector<std::function<void(proto::QueryAnswer&)>> changes = {
      [](proto::QueryAnswer& answer) { answer.mutable_rows()->RemoveLast(); },
      [](proto::QueryAnswer& answer) { *answer.add_rows() = answer.rows(0); },
      [](proto::QueryAnswer& answer) { answer.mutable_rows()->SwapElements(0, 1); },
      [](proto::QueryAnswer& answer) { answer.set_snapshot(8); },
      [](proto::QueryAnswer& answer) { answer.mutable_covered()->RemoveLast(); },
      [](proto::QueryAnswer& answer) { answer.set_covered(0, 1); },
      [](proto::QueryAnswer& answer) { answer.set_outcome("partial"); },
      [](proto::QueryAnswer& answer) { answer.set_outcome("not_run"); },
      [](proto::QueryAnswer& answer) { answer.set_service("other"); },
  };
  proto::QueryRequest request;
  request.set_service("orders");
  request.set_text("text 1");
  request.set_limit(10);
  const auto deployment = ParseDeployment(kDescription);
  STRCMP_EQUAL("", CheckAnswer(deployment.services[0], request, TrueAnswer(request)).c_str());
  for (const auto& change : changes) {
    auto answer = TrueAnswer(request);
    change(answer);
    CHECK(!CheckAnswer(deployment.services[0], request, answer).empty());
  }
  LONGS_EQUAL(20, RunLoad({.change = changes[3]}).wrong);
}

// Guards against a closed loop: an answer takes longer than the whole schedule, and no query may wait for it.
TEST(LoadGenerator, DoesNotWaitForSlowAnswers) {
  const auto report = RunLoad({.delay = std::chrono::milliseconds(200)});
  LONGS_EQUAL(20, report.latencies.size());
  CHECK(report.latencies.front() >= std::chrono::milliseconds(200));
  CHECK(report.latencies.back() < std::chrono::milliseconds(250));
  CHECK(report.max_send_lag <= std::chrono::milliseconds(2));
}

// Guards against latency that counts from the actual send, which hides a stalled generator.
TEST(LoadGenerator, CountsLatencyFromTheIntendedStart) {
  const auto report = RunLoad({.stall = std::chrono::milliseconds(150)});
  CHECK(report.latencies.back() >= std::chrono::milliseconds(145));
  CHECK(report.max_send_lag >= std::chrono::milliseconds(140));
}

// Guards against queries lost to a stale address. Port 1 is closed on the test machines.
TEST(LoadGenerator, TakesTheSecondAddressAfterARefusedConnection) {
  const auto report = RunLoad({.first = "127.0.0.1:1"});
  LONGS_EQUAL(20, report.outcomes.at("complete"));
  CHECK(report.refused_connections >= 1);
}

// Guards against unanswered queries that drop out of the figures.
TEST(LoadGenerator, CountsUnansweredQueriesAgainstCoverage) {
  const auto report = RunLoad({.delay = std::chrono::seconds(2), .deadline_ms = 100});
  LONGS_EQUAL(20, report.unanswered);
  DOUBLES_EQUAL(0, report.coverage(), 0);
}

// Guards against queries that wait for ever for an address after the last lookup failed.
TEST(LoadGenerator, EndsWithoutAnyEntry) {
  ManualClock clock;
  EventLoop loop(clock);
  LoadGenerator generator(loop, {.entries = {"127.0.0.1:1"},
                                 .services = {"orders"},
                                 .deployment = ParseDeployment(kDescription),
                                 .arrivals = ArrivalKind::kFixed,
                                 .rate = 200,
                                 .duration = std::chrono::milliseconds(100),
                                 .callers = 2});
  generator.Start();
  CHECK(RunTurns(
      loop, clock, [&] { return generator.done(); }, std::chrono::seconds(2)));
  LONGS_EQUAL(20, generator.Report().unanswered);
}

// Guards against counters of the stand-ins that the load tool can't read.
TEST(LoadGenerator, ReadsTotalsOfTheStandins) {
  const UpstreamCounters counters{.requests = 9, .sheds = 2, .overload_violations = 1};
  UpstreamModel model({.service = "orders"}, 1);
  model.counters() = counters;
  const auto totals = ParseCounters(CountersJson({&model, &model}, {"127.0.0.1:1", "127.0.0.1:2"}, {}, {}));
  CHECK((totals == SearcherTotals{.requests = 18, .sheds = 4, .overload_violations = 2}));
  CHECK_THROWS(std::runtime_error, ParseCounters("{}"));
}

}  // namespace pimentomoor
