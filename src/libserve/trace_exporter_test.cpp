// Tests of the trace export against a collector that runs in the test process.
#include "pimentomoor/trace_exporter.h"

#include <optional>

#include "pimentomoor/daemon.h"
#include "standin_collector.h"
#include "test_loop.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kTraceId = "4bf92f3577b34da6a3ce929d0e0e4736";

std::shared_ptr<const Trace> MakeTrace(std::size_t spans) {
  Trace trace{.trace_id = kTraceId, .duration = milliseconds(20)};
  for (std::size_t i = 0; i < spans; ++i) {
    trace.spans.push_back({.name = "s" + std::to_string(i), .span_id = NewSpanId(), .duration = milliseconds(1)});
  }
  return std::make_shared<const Trace>(std::move(trace));
}

}  // namespace

TEST_GROUP(TraceExporter) {
  ManualClock clock;
  EventLoop loop{clock};
  Metrics metrics;
  StandinCollector collector{loop};
  std::unique_ptr<TraceExporter> exporter;

  void BuildExporter(TraceExportOptions options) {
    options.address = collector.address();
    exporter = std::make_unique<TraceExporter>(
        loop, metrics, options, TraceResource{.deployment = "quiroga", .host = "entry-1", .failure_domain = "a"});
  }

  [[nodiscard]] std::uint64_t SpanCount(const std::string& result) const {
    return metrics.counter("pimentomoor_trace_export_spans_total", "result=\"" + result + "\"");
  }
  [[nodiscard]] std::uint64_t CallCount(const std::string& result) const {
    return metrics.counter("pimentomoor_trace_export_calls_total", "result=\"" + result + "\"");
  }
  void RunFor(Duration time) {
    const auto never = [] { return false; };
    RunTurns(loop, clock, never, time);
  }
  void Await(const std::function<bool()>& done) { CHECK(RunTurns(loop, clock, done, seconds(10))); }
};

// Guards against a field that is encoded with another number than the OTLP specification gives it, and against lost
// values.
TEST(TraceExporter, CollectorDecodesWhatTheEntryRecorded) {
  BuildExporter({});
  const auto before = std::chrono::system_clock::now().time_since_epoch();
  Trace trace{.trace_id = kTraceId, .duration = milliseconds(20)};
  trace.spans.push_back({.name = "entry.query",
                         .span_id = "00f067aa0ba902b7",
                         .parent_id = "b7ad6b7169203331",
                         .host = "entry-1",
                         .duration = milliseconds(20),
                         .attributes = "service=two words outcome=partial"});
  trace.spans.push_back({.name = "owner.sub_query",
                         .span_id = "53995c3f42cd8ad8",
                         .parent_id = "00f067aa0ba902b7",
                         .host = "10.0.0.8:9000",
                         .start_offset = milliseconds(5),
                         .duration = milliseconds(7),
                         .attributes = "shard=3 status=SUB_TIMEOUT"});
  exporter->Enqueue(std::make_shared<const Trace>(trace));
  Await([&] { return SpanCount("sent") == 2; });
  const std::uint64_t start = collector.spans().at(0).start_unix_ns;
  const auto started = before - std::chrono::nanoseconds(start);
  CHECK(started <= milliseconds(20) && started > seconds(-10));
  CollectedSpan query{.trace_id = kTraceId, .span_id = "00f067aa0ba902b7", .parent_id = "b7ad6b7169203331"};
  query.name = "entry.query";
  query.kind = 2;
  query.start_unix_ns = start;
  query.end_unix_ns = start + 20'000'000;
  query.attributes = {{"host", "entry-1"}, {"service", "two words"}, {"outcome", "partial"}};
  query.resource = {{"service.name", "pimentomoor"},
                    {"service.namespace", "quiroga"},
                    {"service.instance.id", "entry-1"},
                    {"failure_domain", "a"}};
  CollectedSpan sub_query{.trace_id = kTraceId, .span_id = "53995c3f42cd8ad8", .parent_id = "00f067aa0ba902b7"};
  sub_query.name = "owner.sub_query";
  sub_query.kind = 3;
  sub_query.start_unix_ns = start + 5'000'000;
  sub_query.end_unix_ns = start + 12'000'000;
  sub_query.attributes = {{"host", "10.0.0.8:9000"}, {"shard", "int:3"}, {"status", "SUB_TIMEOUT"}};
  sub_query.status_code = 2;
  sub_query.resource = query.resource;
  CHECK((collector.spans() == std::vector<CollectedSpan>{query, sub_query}));
}

// Guards against a queue that grows while the collector hangs, and against drops that are not counted.
TEST(TraceExporter, QueueIsBoundedAndBatchesAreLimited) {
  BuildExporter({.max_queued_spans = 20,
                 .max_batch_spans = 8,
                 .batch_interval = milliseconds(20),
                 .call_timeout = milliseconds(1'500),
                 .min_retry_delay = milliseconds(20)});
  collector.hang = true;
  exporter->Enqueue(MakeTrace(4));
  Await([&] { return collector.calls() == 1; });
  for (int i = 0; i < 8; ++i) {
    exporter->Enqueue(MakeTrace(3));
    CHECK(exporter->queued_spans() <= 20);
  }
  exporter->Enqueue(MakeTrace(21));
  RunFor(milliseconds(60));
  LONGS_EQUAL(1, collector.calls());  // one call at a time
  LONGS_EQUAL(2 * 3 + 21, SpanCount("dropped_queue_full"));

  collector.hang = false;  // the first batch is sent again after its timeout
  Await([&] { return SpanCount("sent") == 4 + 18; });
  CHECK((collector.batch_sizes() == std::vector<std::size_t>{4, 6, 6, 6}));
  LONGS_EQUAL(0, exporter->queued_spans());

  exporter->Enqueue(MakeTrace(15));  // larger than a batch, but it fits the queue
  Await([&] { return SpanCount("sent") == 4 + 18 + 15; });
}

// Guards against spans that are lost or repeated where the encoding of a batch continues in the next turn of the
// loop.
TEST(TraceExporter, LargeBatchArrivesWhole) {
  BuildExporter({.batch_interval = milliseconds(20)});
  for (const std::size_t spans : {64, 1, 130, 0, 63}) {
    exporter->Enqueue(MakeTrace(spans));
  }
  Await([&] { return SpanCount("sent") == 258; });
  std::vector<std::string> names;
  std::size_t servers = 0;
  for (const CollectedSpan& span : collector.spans()) {
    names.push_back(span.name);
    servers += span.kind == 2 ? 1 : 0;
    STRCMP_EQUAL("entry-1", span.resource.at("service.instance.id").c_str());
  }
  std::vector<std::string> expected;
  for (const std::size_t spans : {64, 1, 130, 63}) {
    for (std::size_t i = 0; i < spans; ++i) {
      expected.push_back("s" + std::to_string(i));
    }
  }
  CHECK(names == expected);
  LONGS_EQUAL(4, servers);
}

// Guards against more than one batch in an interval, which would let the export cost grow with the query rate.
TEST(TraceExporter, SendsOneBatchPerInterval) {
  BuildExporter({.max_queued_spans = 1'000, .max_batch_spans = 1, .batch_interval = milliseconds(100)});
  for (int i = 0; i < 100; ++i) {
    exporter->Enqueue(MakeTrace(1));
  }
  RunFor(milliseconds(1'000));
  CHECK(collector.calls() >= 5 && collector.calls() <= 10);
}

// Guards against a batch that is lost in a short outage of the collector, retried without end, or retried after an
// error that is not retryable.
TEST(TraceExporter, RetriesTemporaryErrorsAndGivesUp) {
  BuildExporter({.batch_interval = milliseconds(20), .min_retry_delay = milliseconds(20)});
  collector.refusal_status = 503;
  exporter->Enqueue(MakeTrace(2));
  Await([&] { return collector.calls() == 2; });
  collector.refusal_status = 0;
  Await([&] { return SpanCount("sent") == 2; });
  CHECK((collector.batch_sizes() == std::vector<std::size_t>{2}));
  LONGS_EQUAL(2, CallCount("retry"));

  collector.refusal_status = 503;
  exporter->Enqueue(MakeTrace(3));
  Await([&] { return SpanCount("dropped_undeliverable") == 3; });
  LONGS_EQUAL(3 + 5, collector.calls());

  collector.refusal_status = 400;
  exporter->Enqueue(MakeTrace(4));
  Await([&] { return SpanCount("dropped_undeliverable") == 7; });
  LONGS_EQUAL(3 + 5 + 1, collector.calls());

  collector.refusal_status = 0;
  collector.rejected_spans = 2;
  exporter->Enqueue(MakeTrace(5));
  Await([&] { return SpanCount("rejected") == 2; });
  LONGS_EQUAL(2 + 3, SpanCount("sent"));
}

// Guards against a daemon whose trace export is configured but does not get the traces of its queries.
TEST(TraceExporter, DaemonExportsItsQueries) {
  SystemClock system_clock;
  EventLoop system_loop(system_clock);
  StandinCollector daemon_collector(system_loop);
  Settings settings{.deployment = "quiroga",
                    .host = "entry-1",
                    .failure_domain = "a",
                    .http_address = "127.0.0.1:0",
                    .peer_address = "127.0.0.1:0",
                    .platform_endpoints = {"127.0.0.1:1"},
                    .token_key = "0123456789abcdef"};
  settings.trace_export = {.address = daemon_collector.address(), .batch_interval = milliseconds(10)};
  Daemon daemon(system_loop, settings);
  HttpClient client(system_loop);
  std::optional<HttpResult> result;
  client.Call({.target = daemon.http_address(),
               .method = "POST",
               .path = "/v1/query",
               .headers = {{"traceparent", "00-" + std::string(kTraceId) + "-00f067aa0ba902b7-01"}},
               .body = R"({"customer":"c","service":"s"})"},
              [&](HttpResult got) { result = std::move(got); });
  CHECK(system_loop.RunUntil([&] { return result && !daemon_collector.spans().empty(); }, seconds(5)));
  STRCMP_EQUAL(kTraceId, daemon_collector.spans().front().trace_id.c_str());
  STRCMP_EQUAL("00f067aa0ba902b7", daemon_collector.spans().front().parent_id.c_str());
  STRCMP_EQUAL("not_run", daemon_collector.spans().front().attributes.at("outcome").c_str());
}

}  // namespace pimentomoor
