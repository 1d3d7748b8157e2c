// Implementation of trace contexts and the trace store.
#include "pimentomoor/trace.h"

#include <algorithm>
#include <sstream>

#include "pimentomoor/json_text.h"
#include "pimentomoor/random.h"

namespace pimentomoor {

namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
// Length of "VERSION-TRACE_ID-SPAN_ID-FLAGS": 2, 32, 16 and 2 digits with three dashes.
constexpr std::size_t kTraceparentLength = 55;

bool IsHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool IsZero(std::string_view digits) { return digits.find_first_not_of('0') == digits.npos; }

std::int64_t Microseconds(Duration value) {
  return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

void RenderTrace(std::ostream& out, const Trace& trace) {
  out << "{\"trace_id\":" << JsonQuote(trace.trace_id) << ",\"duration_us\":" << Microseconds(trace.duration);
  if (!trace.request_id.empty()) {
    out << ",\"request_id\":" << JsonQuote(trace.request_id);
  }
  out << ",\"spans\":[";
  for (std::size_t i = 0; i < trace.spans.size(); ++i) {
    const Span& span = trace.spans[i];
    out << (i == 0 ? "" : ",") << "\n  {\"name\":" << JsonQuote(span.name)
        << ",\"span_id\":" << JsonQuote(span.span_id) << ",\"parent_id\":" << JsonQuote(span.parent_id)
        << ",\"host\":" << JsonQuote(span.host) << ",\"start_us\":" << Microseconds(span.start_offset)
        << ",\"duration_us\":" << Microseconds(span.duration) << ",\"attributes\":" << JsonQuote(span.attributes)
        << "}";
  }
  out << "]}";
}

}  // namespace

TraceContext ParseTraceparent(std::string_view header) {
  if (header.size() == kTraceparentLength && header.starts_with("00-")) {
    const std::string_view trace_id = header.substr(3, kTraceIdDigits);
    const std::string_view span_id = header.substr(4 + kTraceIdDigits, kSpanIdDigits);
    if (IsHex(trace_id) && IsHex(span_id) && !IsZero(trace_id) && !IsZero(span_id)) {
      return {.trace_id = std::string(trace_id), .span_id = std::string(span_id)};
    }
  }
  return {.trace_id = RandomHex(kTraceIdDigits)};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + context.trace_id + "-" + context.span_id + "-01";
}

std::string NewSpanId() { return RandomHex(kSpanIdDigits); }

void TraceStore::Add(Trace trace) {
  traces_.push_back(std::make_shared<const Trace>(std::move(trace)));
  if (listener_) {
    listener_(traces_.back());
  }
  if (traces_.size() > capacity_) {
    traces_.pop_front();
  }
}

std::string TraceStore::RenderSlowest(std::size_t count, std::string_view request_id) const {
  std::vector<const Trace*> slowest;
  for (const auto& trace : traces_) {
    if (request_id.empty() || trace->request_id == request_id) {
      slowest.push_back(trace.get());
    }
  }
  std::sort(slowest.begin(), slowest.end(),
            [](const Trace* left, const Trace* right) { return left->duration > right->duration; });
  slowest.resize(std::min(count, slowest.size()));
  std::ostringstream out;
  out << "{\"traces\":[";
  for (std::size_t i = 0; i < slowest.size(); ++i) {
    out << (i == 0 ? "\n" : ",\n");
    RenderTrace(out, *slowest[i]);
  }
  out << "]}\n";
  return out.str();
}

}  // namespace pimentomoor
