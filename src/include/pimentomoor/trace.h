// Request traces: one span for each hop of a request, and a bounded store of the most recent traces.
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

/// Identifies a trace and the parent of new spans in it, as the W3C traceparent header does.
struct TraceContext {
  std::string trace_id;  // 32 hexadecimal digits
  std::string span_id;   // 16 hexadecimal digits; empty in a new trace, whose root span has no parent

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

/// Parses the value of a traceparent header. Starts a new trace when the value is empty or malformed, or when one of
/// its ids is all zeros.
TraceContext ParseTraceparent(std::string_view header);
/// Formats the value of a traceparent header, with the sampled flag set.
std::string FormatTraceparent(const TraceContext& context);

/// Returns a random span id.
std::string NewSpanId();

struct Span {
  std::string name;  // for example "entry.query", "owner.queue", "upstream.search"
  std::string span_id;
  std::string parent_id;
  std::string host;         // host that recorded the span, or address of the upstream
  Duration start_offset{};  // from the start of the trace's first span
  Duration duration{};
  std::string attributes;  // "key=value" pairs separated by spaces

  friend bool operator==(const Span&, const Span&) = default;
};

struct Trace {
  std::string trace_id;
  Duration duration{};
  std::vector<Span> spans;  // the first span covers the whole trace
  std::string request_id;   // request id sent by the caller; empty when requests are found by trace id only
};

/// Keeps the `capacity` most recent traces.
class TraceStore {
 public:
  using Listener = std::function<void(const std::shared_ptr<const Trace>&)>;

  explicit TraceStore(std::size_t capacity = 512) : capacity_(capacity) {}

  void Add(Trace trace);
  /// Sets the function that is called with every added trace.
  void OnAdd(Listener listener) { listener_ = std::move(listener); }
  /// Returns JSON with the `count` slowest stored traces, slowest first. When `request_id` is not empty, only traces
  /// with this request id are included. Times are in microseconds.
  [[nodiscard]] std::string RenderSlowest(std::size_t count, std::string_view request_id = "") const;

 private:
  std::size_t capacity_;
  std::deque<std::shared_ptr<const Trace>> traces_;  // oldest first, at most capacity_
  Listener listener_;
};

}  // namespace pimentomoor
