// Tests of one request against upstreams (searchers) on loopback.
#include "pimentomoor/request_run.h"

#include "fixed_response_searcher.h"
#include "pimentomoor/platform_codec.h"
#include "test_address.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {

TEST_GROUP(RequestRun) {
  SystemClock clock_;
  EventLoop loop_{clock_};
  Metrics metrics_;
  std::unique_ptr<PlatformCodec> codec_ = MakePlatformCodec();
  BufferBudget buffer_budget_{loop_};
  UpstreamSet upstreams_{{.loop = loop_,
                          .metrics = metrics_,
                          .names = codec_->field_names(),
                          .buffer_budget = buffer_budget_,
                          .failure_domain = "a"},
                         {},
                         {}};
  CrashReports crashes_{1};
  SharedRequestContext request_context_{.loop = loop_,
                                        .metrics = metrics_,
                                        .names = codec_->field_names(),
                                        .upstreams = upstreams_,
                                        .crashes = crashes_};
  FixedResponseSearcher searcher_{loop_};
  RoutingTableSpec spec_{.version = 1};

  void AddShard(RouteSpec & route, const std::string& address) {
    const std::string service = "shard-" + std::to_string(route.shards.size());
    route.shards.push_back(service);
    spec_.services.push_back({.name = service, .max_connections = 30});
    upstreams_.Announce(
        {.id = "id-" + service, .service = service, .address = address, .failure_domain = "a", .slots = 3});
  }

  std::uint64_t Answers(const char* outcome) { return metrics_.counter("pimentomoor_run_answers_total", outcome); }

  std::shared_ptr<CallerExchange> StartRequest(const RouteSpec& route) {
    spec_.routes.push_back(route);
    upstreams_.ApplyServices(spec_.services);
    const auto table = std::make_shared<RoutingTable>(spec_);
    RequestMessage message{.method = "GET", .target = "/q", .host = "h", .request_id = "0123456789abcdef"};
    auto caller = std::make_shared<CallerExchange>(nullptr, std::move(message), loop_.Now(), false);
    std::make_shared<RequestRun>(request_context_, caller, table, table->spec().routes.front())->Start();
    return caller;
  }
};

// Guards against an answer only at the time limit although enough parts have arrived. The part of a shard whose
// upstream refuses connections failed repeatedly, and each failure rescheduled the timer past the objective
// (incident inc-9155).
TEST(RequestRun, GatherAnswersAtItsObjectiveWhileASearcherRefusesConnections) {
  RouteSpec route{
      .name = "r", .host = "h", .prefix = "/", .idempotent = true, .max_attempts = 2, .min_shard_share = 0.7};
  route.objective = std::chrono::milliseconds(100);
  route.timeout = std::chrono::seconds(3);
  route.top_records = 5;
  for (int i = 0; i < 4; ++i) {
    AddShard(route, searcher_.address());
  }
  AddShard(route, TakeTestAddress());
  const TimePoint started = loop_.Now();
  const auto caller = StartRequest(route);
  CHECK(loop_.RunUntil([&] { return Answers("outcome=\"partial\"") == 1; }, std::chrono::seconds(2)));
  CHECK(loop_.Now() - started < 3 * route.objective);
  // A part that is sent again every millisecond would be refused dozens of times.
  CHECK(metrics_.counter("pimentomoor_upstream_connect_failures_total") <= 5);
  caller->on_disconnect = nullptr;
}

// Guards against sending a request that crashed three upstreams to more of them.
TEST(RequestRun, RefusesARequestThatCrashedSearchers) {
  RouteSpec route{.name = "r", .host = "h", .prefix = "/", .idempotent = true, .max_attempts = 2};
  AddShard(route, searcher_.address());
  const std::uint64_t fingerprint = FingerprintRequest("GET", "h", "/q", "");
  const TimePoint now = loop_.Now();
  crashes_.RecordCrash(fingerprint, now - std::chrono::seconds(2));
  crashes_.RecordCrash(fingerprint, now - std::chrono::seconds(1));
  CHECK_FALSE(crashes_.IsRefused(fingerprint, now));
  crashes_.Merge({.fingerprint = fingerprint, .reporter = 2, .crashes = 1}, now);
  const auto caller = StartRequest(route);
  CHECK_EQUAL(1U, Answers("outcome=\"refused\""));
  CHECK_EQUAL(0U, request_context_.parts_sent);
  caller->on_disconnect = nullptr;
}

// Guards against refusing a frequent query for a minute because several upstreams were killed together, or one was on
// which several daemons had attempts of the query running.
TEST(RequestRun, SearchersThatEndTogetherCountOnceAgainstAQuery) {
  const TimePoint now = loop_.Now();
  const auto at = [&](int ms) { return now + std::chrono::milliseconds(ms); };
  for (int i = 0; i < 10; ++i) {
    crashes_.RecordCrash(7, at(20 * i));
    crashes_.Merge({.fingerprint = 7, .reporter = 2U + static_cast<unsigned>(i), .crashes = 1}, at(20 * i));
  }
  CHECK_FALSE(crashes_.IsRefused(7, at(300)));
  crashes_.Merge({.fingerprint = 7, .reporter = 2, .crashes = 2}, at(800));
  CHECK_FALSE(crashes_.IsRefused(7, at(900)));
  crashes_.RecordCrash(7, at(1'400));
  CHECK(crashes_.IsRefused(7, at(1'400)));
  // A starting daemon accepts a report of all three crashes as it is.
  CrashReports late(9);
  late.Merge({.fingerprint = 7, .reporter = 2, .crashes = 3}, at(1'500));
  CHECK(late.IsRefused(7, at(1'500)));
  // It is refused for the whole retention after it was seen last, and not any longer.
  const int retention_ms = static_cast<int>(CrashReportSettings().refusal_retention / std::chrono::milliseconds(1));
  CHECK(late.IsRefused(7, at(1'500 + retention_ms - 1)));
  CHECK_FALSE(late.IsRefused(7, at(1'500 + retention_ms)));
}

}  // namespace pimentomoor
