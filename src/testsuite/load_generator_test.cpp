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

proto::QueryAnswer CorrectAnswer(const proto::QueryRequest& request) {
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

/// An entry on a free port that alters and delays its answers. Its address list begins with `first_address` unless
/// that is empty.
class FakeEntry {
 public:
  FakeEntry(EventLoop& loop, std::string first_address, std::function<void(proto::QueryAnswer&)> alter_answer,
            Duration delay)
      : loop_(loop),
        first_address_(std::move(first_address)),
        alter_answer_(std::move(alter_answer)),
        delay_(delay),
        server_(loop, {}) {
    server_.Handle("/v1/entries", [this](const HttpRequest&, const HttpResponder& respond) {
      ++lookups_;
      proto::EntriesAnswer answer;
      if (!first_address_.empty()) {
        answer.add_entries()->set_address(first_address_);
      }
      answer.add_entries()->set_address(server_.address());
      answer.set_ttl_ms(3'000);
      respond({.body = ToJson(answer)});
    });
    server_.Handle("/v1/query", [this](const HttpRequest& request, const HttpResponder& respond) {
      proto::QueryRequest query;
      CHECK(google::protobuf::util::JsonStringToMessage(request.body, &query).ok());
      auto answer = CorrectAnswer(query);
      alter_answer_(answer);
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
  std::string first_address_;
  std::function<void(proto::QueryAnswer&)> alter_answer_;
  Duration delay_;
  int lookups_ = 0;
  HttpServer server_;
};

struct RunOptions {
  std::string first_address;
  std::function<void(proto::QueryAnswer&)> alter_answer = [](proto::QueryAnswer&) {};
  Duration delay{};
  Duration stall{};  // time for which the event loop is blocked after the start
  std::uint32_t deadline_ms = 500;
};

/// Sends 20 queries at intervals of 5 ms and returns the report.
LoadReport RunLoad(const RunOptions& run) {
  ManualClock clock;
  EventLoop loop(clock);
  FakeEntry entry(loop, run.first_address, run.alter_answer, run.delay);
  LoadGenerator generator(loop, {.entries = {entry.address()},
                                 .services = {"orders"},
                                 .deployment = ParseDeployment(kDescription),
                                 .arrival_kind = ArrivalKind::kFixed,
                                 .queries_per_s = 200,
                                 .duration = std::chrono::milliseconds(100),
                                 .caller_count = 2,
                                 .deadline_ms = run.deadline_ms,
                                 .answer_grace = std::chrono::milliseconds(300)});
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

// Guards against arrival times that the seed doesn't reproduce, and against a rate other than the requested one.
TEST(LoadSchedule, PoissonTimesFollowSeedAndRate) {
  const auto times = ArrivalTimes(ArrivalKind::kPoisson, 1'000, std::chrono::seconds(20), 7);
  CHECK(times == ArrivalTimes(ArrivalKind::kPoisson, 1'000, std::chrono::seconds(20), 7));
  CHECK(times != ArrivalTimes(ArrivalKind::kPoisson, 1'000, std::chrono::seconds(20), 8));
  CHECK(std::is_sorted(times.begin(), times.end()));
  CHECK(times.back() < std::chrono::seconds(20));
  // 20,000 expected; 600 are more than four standard deviations.
  CHECK(times.size() > 19'400 && times.size() < 20'600);
}

// Guards against fixed arrivals that drift from their interval.
TEST(LoadSchedule, FixedTimesAreEvenlySpaced) {
  const auto times = ArrivalTimes(ArrivalKind::kFixed, 250, std::chrono::seconds(2), 1);
  LONGS_EQUAL(500, times.size());
  for (std::size_t i = 0; i < times.size(); ++i) {
    CHECK(times[i] == std::chrono::milliseconds(4) * i);
  }
}

// Guards against loads whose duration or number of queries has no bound.
TEST(LoadSchedule, RefusesUnboundedLoads) {
  CHECK_THROWS(std::invalid_argument, ArrivalTimes(ArrivalKind::kFixed, 10, std::chrono::seconds(61), 1));
  CHECK_THROWS(std::invalid_argument, ArrivalTimes(ArrivalKind::kFixed, 0, std::chrono::seconds(1), 1));
  CHECK_THROWS(std::invalid_argument, ArrivalTimes(ArrivalKind::kFixed, 1e6, std::chrono::seconds(2), 1));
}

// Guards against off-by-one errors in the rank, which hide the slowest answers of a short load.
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

// Guards against a check that rejects correct answers, and against wrong coverage in the report.
TEST(LoadGenerator, CountsCorrectAnswers) {
  const auto report = RunLoad({});
  LONGS_EQUAL(20, report.outcomes.at("complete"));
  LONGS_EQUAL(0, report.wrong);
  LONGS_EQUAL(80, report.useful_sub_queries);
  DOUBLES_EQUAL(1, report.coverage(), 0);
  DOUBLES_EQUAL(1, report.complete_share(), 0);
}

// Guards against a check that accepts wrong answers.
TEST(LoadGenerator, CountsWrongAnswers) {
  const std::vector<std::function<void(proto::QueryAnswer&)>> alterations = {
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
  STRCMP_EQUAL("", CheckAnswer(deployment.services[0], request, CorrectAnswer(request)).c_str());
  for (const auto& alter_answer : alterations) {
    auto answer = CorrectAnswer(request);
    alter_answer(answer);
    CHECK(!CheckAnswer(deployment.services[0], request, answer).empty());
  }
  LONGS_EQUAL(20, RunLoad({.alter_answer = alterations[3]}).wrong);
}

// Guards against a closed loop: answers take longer than the whole schedule, and no query may wait for an earlier
// one.
TEST(LoadGenerator, DoesNotWaitForSlowAnswers) {
  const auto report = RunLoad({.delay = std::chrono::milliseconds(200)});
  LONGS_EQUAL(20, report.latencies.size());
  CHECK(report.latencies.front() >= std::chrono::milliseconds(200));
  CHECK(report.latencies.back() < std::chrono::milliseconds(250));
  CHECK(report.max_send_lag <= std::chrono::milliseconds(2));
}

// Guards against latency that is measured from the actual send time, which hides a stall of the generator.
TEST(LoadGenerator, CountsLatencyFromTheIntendedStart) {
  const auto report = RunLoad({.stall = std::chrono::milliseconds(150)});
  CHECK(report.latencies.back() >= std::chrono::milliseconds(145));
  CHECK(report.max_send_lag >= std::chrono::milliseconds(140));
}

// Guards against queries that fail at a stale address. Port 1 is closed on the test machines.
TEST(LoadGenerator, TakesTheSecondAddressAfterARefusedConnection) {
  const auto report = RunLoad({.first_address = "127.0.0.1:1"});
  LONGS_EQUAL(20, report.outcomes.at("complete"));
  CHECK(report.refused_connections >= 1);
}

// Guards against unanswered queries that are left out of the coverage.
TEST(LoadGenerator, CountsUnansweredQueriesAgainstCoverage) {
  const auto report = RunLoad({.delay = std::chrono::seconds(2), .deadline_ms = 100});
  LONGS_EQUAL(20, report.unanswered);
  DOUBLES_EQUAL(0, report.coverage(), 0);
}

// Guards against queries that wait for ever for an entry address when no entry can be reached.
TEST(LoadGenerator, EndsWithoutAnyEntry) {
  ManualClock clock;
  EventLoop loop(clock);
  LoadGenerator generator(loop, {.entries = {"127.0.0.1:1"},
                                 .services = {"orders"},
                                 .deployment = ParseDeployment(kDescription),
                                 .arrival_kind = ArrivalKind::kFixed,
                                 .queries_per_s = 200,
                                 .duration = std::chrono::milliseconds(100),
                                 .caller_count = 2});
  generator.Start();
  CHECK(RunTurns(
      loop, clock, [&] { return generator.done(); }, std::chrono::seconds(2)));
  LONGS_EQUAL(20, generator.Report().unanswered);
}

// Guards against a format of the stand-ins' counters that the load tool can't parse.
TEST(LoadGenerator, ReadsTotalsOfTheStandins) {
  const UpstreamCounters counters{.requests = 9, .sheds = 2, .overload_violations = 1};
  UpstreamModel model({.service = "orders"}, 1);
  model.counters() = counters;
  const auto totals = ParseCounters(CountersJson({&model, &model}, {"127.0.0.1:1", "127.0.0.1:2"}, {}, {}));
  CHECK((totals == SearcherTotals{.requests = 18, .sheds = 4, .overload_violations = 2}));
  CHECK_THROWS(std::runtime_error, ParseCounters("{}"));
}

}  // namespace pimentomoor
