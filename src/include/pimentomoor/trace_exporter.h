// Exports finished traces to a collector with OTLP in protobuf encoding over HTTP.
//
// A whole trace is queued when its query has ended. Batches are encoded and sent one at a time and at most one per
// interval, so that the cost is bounded at any query rate. The encoding of a batch is spread over several turns of
// the event loop. Traces that do not fit the queue are dropped and counted, because queries must not wait for the
// collector.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "pimentomoor/backoff.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/trace.h"

namespace pimentomoor {

/// Settings of the trace export, from the map `trace_export` of the settings file.
struct TraceExportOptions {
  std::string address;                   // "IP:port" of the collector; empty turns the export off
  std::size_t max_queued_spans = 4'096;  // a trace that would exceed the limit is dropped; key queue_spans
  std::size_t max_batch_spans = 1'024;   // a larger trace is sent in a batch of its own; key batch_spans
  Duration batch_interval = std::chrono::seconds(1);   // shortest time between two batches; key interval_ms
  Duration call_timeout = std::chrono::seconds(2);     // timeout of one export call; key timeout_ms
  Duration min_retry_delay = std::chrono::seconds(1);  // delay before the first retry, doubled for each further retry
  Duration max_retry_delay = std::chrono::seconds(10);  // upper limit of the doubled delay
  unsigned max_attempts = 5;                            // export calls for one batch before the batch is dropped

  friend bool operator==(const TraceExportOptions&, const TraceExportOptions&) = default;
};

/// Describes the process that recorded the spans: the OTLP resource.
struct TraceResource {
  std::string deployment;
  std::string host;
  std::string failure_domain;
};

/// A trace that waits for its export.
struct FinishedTrace {
  std::shared_ptr<const Trace> trace;
  std::uint64_t start_unix_ns = 0;  // Unix time at which the first span started
};

/// Position of the next span to encode in a list of traces.
struct SpanPosition {
  std::size_t trace = 0;  // index into the list
  std::size_t span = 0;   // index into the spans of that trace

  friend bool operator==(const SpanPosition&, const SpanPosition&) = default;
};

/// Encodes up to `max_spans` spans from `position` on, and advances `position`. The result is a valid body of an
/// export call; so is any concatenation of results. The first span of each trace becomes a server span, the others
/// become client spans. Each "key=value" pair of a span becomes an attribute, with an integer value when the text is
/// a whole number.
std::string EncodeSpans(const std::vector<FinishedTrace>& traces, const TraceResource& resource,
                        std::size_t max_spans, SpanPosition& position);

/// Queues traces and sends them to the collector in batches.
class TraceExporter {
 public:
  TraceExporter(EventLoop& loop, Metrics& metrics, TraceExportOptions options, TraceResource resource);
  ~TraceExporter();
  TraceExporter(const TraceExporter&) = delete;
  TraceExporter& operator=(const TraceExporter&) = delete;

  /// Queues a trace that has ended just now, or drops and counts it when its spans do not fit the queue.
  void Enqueue(std::shared_ptr<const Trace> trace);

  /// Number of spans in the queue, without those of the batch that is being encoded or sent.
  [[nodiscard]] std::size_t queued_spans() const { return queued_spans_; }

 private:
  void StartBatch();
  void EncodeNextSlice();
  void SendBatch();
  void HandleResult(const HttpResult& result);
  void FinishBatch(const std::string& result, std::size_t undelivered_spans);
  void Schedule(Duration delay, void (TraceExporter::*action)());
  void CountSpans(const std::string& result, std::size_t span_count);

  EventLoop& loop_;
  Metrics& metrics_;
  TraceExportOptions options_;
  TraceResource resource_;
  HttpClient http_;
  Jitter jitter_;
  std::deque<FinishedTrace> queue_;  // oldest first
  std::size_t queued_spans_ = 0;     // number of spans in queue_, at most options_.max_queued_spans
  bool batch_in_progress_ = false;   // a batch is being encoded or sent
  std::vector<FinishedTrace> batch_;
  SpanPosition encode_position_;  // batch_ is encoded into request_body_ up to this position
  std::string request_body_;
  std::size_t batch_span_count_ = 0;  // number of spans in the batch, also after batch_ was encoded and cleared
  unsigned batch_attempts_ = 0;       // export calls made with request_body_
  bool last_call_failed_ = false;     // the last export call failed; a failure after a success is logged
  TimerId timer_ = 0;  // for the next batch, slice or attempt; 0 while a call runs or nothing is queued
};

}  // namespace pimentomoor
