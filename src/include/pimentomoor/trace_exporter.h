// Export of finished traces to a collector: OTLP in protobuf encoding over HTTP.
//
// A trace is queued whole when its query has ended. One batch at a time is encoded and sent, at most one in each
// interval, so that the cost is bounded whatever the query rate is; encoding is spread over turns of the event loop.
// Traces that find the queue full are dropped and counted: queries never wait for the collector.
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

struct TraceExportOptions {
  std::string address;                                 // "IP:port" of the collector; empty turns the export off
  std::size_t max_queued_spans = 4'096;                // a trace that would exceed it is dropped
  std::size_t max_batch_spans = 1'024;                 // a larger trace is sent alone
  Duration batch_interval = std::chrono::seconds(1);   // between batches
  Duration call_timeout = std::chrono::seconds(2);     // of one call
  Duration min_retry_delay = std::chrono::seconds(1);  // delay before the first retry, doubled for each further one
  Duration max_retry_delay = std::chrono::seconds(10);
  unsigned max_attempts = 5;  // calls for one batch before it is dropped

  friend bool operator==(const TraceExportOptions&, const TraceExportOptions&) = default;
};

/// The process that the spans come from.
struct TraceResource {
  std::string deployment;
  std::string host;
  std::string failure_domain;
};

struct FinishedTrace {
  std::shared_ptr<const Trace> trace;
  std::uint64_t start_unix_ns = 0;  // of the first span
};

/// The next span to encode of a list of traces.
struct SpanPosition {
  std::size_t trace = 0;
  std::size_t span = 0;

  friend bool operator==(const SpanPosition&, const SpanPosition&) = default;
};

/// Encodes up to `max_spans` spans from `position` on and advances it. The result is the body of an export call, and
/// so is a concatenation of such results. The first span of each trace becomes a server span, the others client
/// spans; each "key=value" attribute becomes an attribute, a whole number as an integer.
std::string EncodeSpans(const std::vector<FinishedTrace>& traces, const TraceResource& resource,
                        std::size_t max_spans, SpanPosition& position);

class TraceExporter {
 public:
  TraceExporter(EventLoop& loop, Metrics& metrics, TraceExportOptions options, TraceResource resource);
  ~TraceExporter();
  TraceExporter(const TraceExporter&) = delete;
  TraceExporter& operator=(const TraceExporter&) = delete;

  /// Queues a trace that has ended just now, or drops it when the queue is full.
  void Enqueue(std::shared_ptr<const Trace> trace);

  /// Spans that wait, those of a running call excluded.
  [[nodiscard]] std::size_t queued_spans() const { return queued_spans_; }

 private:
  void StartBatch();
  void EncodeNextSlice();
  void SendBatch();
  void HandleResult(const HttpResult& result);
  void FinishBatch(const std::string& result, std::size_t undelivered_spans);
  void Schedule(Duration delay, void (TraceExporter::*action)());
  void CountSpans(const std::string& result, std::size_t spans);

  EventLoop& loop_;
  Metrics& metrics_;
  TraceExportOptions options_;
  TraceResource resource_;
  HttpClient http_;
  Jitter jitter_;
  std::deque<FinishedTrace> queue_;  // oldest first
  std::size_t queued_spans_ = 0;     // in queue_, at most options_.max_queued_spans
  bool batch_in_progress_ = false;   // a batch is encoded or sent
  std::vector<FinishedTrace> batch_;
  SpanPosition encode_position_;  // up to which batch_ is encoded in request_body_
  std::string request_body_;
  std::size_t batch_span_count_ = 0;  // in batch_
  unsigned batch_attempts_ = 0;       // calls made for request_body_
  bool last_call_failed_ = false;     // the last call failed
  TimerId timer_ = 0;                 // next batch or next attempt; 0 while a call runs or nothing waits
};

}  // namespace pimentomoor
