// Traces: a span for each hop of a query, and a bounded store of the slowest recent ones.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Identifies a trace and the span under which new spans hang, as in the W3C traceparent header.
struct TraceContext {
  std::string trace_id;  // 32 hexadecimal digits
  std::string span_id;   // 16 hexadecimal digits; empty in a new trace, whose first span has no parent

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

/// Parses a traceparent header; starts a new trace when it is missing or malformed, or when an id is all zeros.
TraceContext ParseTraceparent(std::string_view header);
std::string FormatTraceparent(const TraceContext& context);

/// A random span id.
std::string NewSpanId();

struct Span {
  std::string name;  // for example "entry.query", "owner.queue", "upstream.search"
  std::string span_id;
  std::string parent_id;
  std::string host;         // that ran it, or the upstream's address
  Duration start_offset{};  // after the start of the trace's first span
  Duration duration{};
  std::string attributes;  // "key=value" pairs separated by spaces

  friend bool operator==(const Span&, const Span&) = default;
};

struct Trace {
  std::string trace_id;
  Duration duration{};
  std::vector<Span> spans;  // the first one covers the whole trace
  std::string request_id;   // of the caller; empty when requests are found by trace id only
};

/// Keeps the most recent traces; older ones are dropped.
class TraceStore {
 public:
  using Listener = std::function<void(const std::shared_ptr<const Trace>&)>;

  explicit TraceStore(std::size_t capacity = 512) : capacity_(capacity) {}

  void Add(Trace trace);
  /// Sets the function that gets every added trace.
  void OnAdd(Listener listener) { listener_ = std::move(listener); }
  /// JSON with the `count` slowest stored traces, slowest first; those of one request when `request_id` is not empty.
  /// Durations are in microseconds.
  [[nodiscard]] std::string RenderSlowest(std::size_t count, std::string_view request_id = "") const;

 private:
  std::size_t capacity_;
  std::deque<std::shared_ptr<const Trace>> traces_;  // oldest first, at most capacity_
  Listener listener_;
};

}  // namespace pimentomoor
