// Implementation of the traces of gateway requests.
#include "pimentomoor/request_trace.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <utility>

namespace pimentomoor {

namespace {

std::int64_t Microseconds(Duration value) {
  return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

// Names in traces, indexed by SendReason and by ExchangeOutcome.
constexpr std::array<const char*, 3> kSendReasonNames = {"first", "retry", "hedge"};
constexpr std::array<const char*, 5> kOutcomeNames = {"answered", "not-sent", "lost", "truncated", "malformed"};

bool HasEnded(const UpstreamExchange& exchange) { return exchange.ended_at != TimePoint{}; }

// Name of the outcome. Of an exchange that had not ended when the request did, only whether it was sent is known.
const char* OutcomeName(const UpstreamExchange& exchange) {
  return HasEnded(exchange) ? kOutcomeNames[static_cast<std::size_t>(exchange.outcome)]
         : exchange.sent    ? "unanswered"
                            : "unsent";
}

bool IsFirstSendSuccess(const UpstreamExchange& exchange) {
  return exchange.send_reason == SendReason::kFirst && HasEnded(exchange) &&
         exchange.outcome == ExchangeOutcome::kAnswered && exchange.answer_status < 300;
}

TimePoint EndTime(const UpstreamExchange& exchange, TimePoint now) {
  return HasEnded(exchange) ? exchange.ended_at : now;
}

// Up to `count` exchanges ordered by time. Successful first sends are left out first, starting with the shortest.
std::vector<const UpstreamExchange*> SelectExchanges(const std::vector<UpstreamExchangePtr>& exchanges,
                                                     std::size_t count, TimePoint now) {
  std::vector<std::pair<Duration, const UpstreamExchange*>> ranked;
  for (const auto& exchange : exchanges) {
    const Duration duration = EndTime(*exchange, now) - exchange->queued_at;
    ranked.emplace_back(IsFirstSendSuccess(*exchange) ? duration : Duration::max(), exchange.get());
  }
  if (ranked.size() > count) {
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    ranked.resize(count);
  }
  std::vector<const UpstreamExchange*> selected;
  std::transform(ranked.begin(), ranked.end(), std::back_inserter(selected),
                 [](const auto& entry) { return entry.second; });
  std::stable_sort(selected.begin(), selected.end(), [](auto* a, auto* b) { return a->queued_at < b->queued_at; });
  return selected;
}

std::string_view FieldValue(std::string_view fields, std::string_view name) {
  while (!fields.empty()) {
    const std::size_t end = std::min(fields.find("\r\n"), fields.size());
    const std::string_view line = fields.substr(0, end);
    const std::size_t colon = line.find(": ");
    if (colon != line.npos && EqualsIgnoreCase(line.substr(0, colon), name)) {
      return line.substr(colon + 2);
    }
    fields.remove_prefix(std::min(end + 2, fields.size()));
  }
  return {};
}

// Converts text to a trace attribute: removes quotes and replaces spaces, as in `outcome=no-searcher`.
std::string ToAttribute(std::string_view label) {
  std::string text(label);
  std::erase(text, '"');
  std::replace(text.begin(), text.end(), ' ', '-');
  return text;
}

Span MakeExchangeSpan(const UpstreamExchange& exchange, const Span& request, TimePoint started, TimePoint now) {
  const TimePoint end = EndTime(exchange, now);
  const TimePoint sent = exchange.sent ? exchange.sent_at : end;
  // Traces call an upstream "searcher".
  std::string attributes = "searcher=" + ToAttribute(exchange.link->entry().id);
  attributes += " service=" + ToAttribute(exchange.link->entry().service);
  attributes += std::string(" send=") + kSendReasonNames[static_cast<std::size_t>(exchange.send_reason)];
  attributes += " wait_us=" + std::to_string(Microseconds(sent - exchange.queued_at));
  attributes += " searcher_us=" + std::to_string(Microseconds(end - sent));
  attributes += std::string(" outcome=") + OutcomeName(exchange);
  if (exchange.answer_status != 0) {
    attributes += " status=" + std::to_string(exchange.answer_status);
  }
  attributes += exchange.last_resort ? " last_resort=true" : "";
  attributes += exchange.notice.leaving ? " leaving=true" : "";
  if (exchange.notice.pause > Duration::zero()) {
    attributes += " pause_ms=" + std::to_string(Microseconds(exchange.notice.pause) / 1'000);
  }
  return {.name = "gateway.exchange",
          .span_id = NewSpanId(),
          .parent_id = request.span_id,
          .host = exchange.link->entry().address,
          .start_offset = exchange.queued_at - started,
          .duration = end - exchange.queued_at,
          .attributes = std::move(attributes)};
}

}  // namespace

void RequestTrace::OnSend(const UpstreamExchangePtr& exchange, SendReason reason, TimePoint now) {
  exchange->send_reason = reason;
  exchange->queued_at = now;
  exchanges.push_back(exchange);
}

void RequestTrace::OnEnd(UpstreamExchange& exchange, ExchangeOutcome outcome, int status, TimePoint now) {
  exchange.outcome = outcome;
  exchange.answer_status = status;
  exchange.ended_at = now;
}

RequestTracer::RequestTracer(Metrics& metrics, std::string host, RequestTraceOptions options)
    : metrics_(metrics),
      host_(std::move(host)),
      options_(options),
      store_(options.max_traces),
      tokens_(options.burst) {}

bool RequestTracer::TryTakeToken(TimePoint now) {
  const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(options_.burst, tokens_ + elapsed * options_.traces_per_s);
  refilled_at_ = now;
  if (tokens_ < 1) {
    metrics_.Count("pimentomoor_trace_skipped_total");
    return false;
  }
  tokens_ -= 1;
  return true;
}

void RequestTracer::OnRequestEnd(const CallerExchange& caller, const RequestTrace& trace,
                                 const RequestSummary& summary, TimePoint now) {
  const bool late = now - caller.received_at > summary.objective;
  if (summary.ok && !late) {
    if (++requests_since_sample_ < options_.sample_every) {
      return;
    }
    requests_since_sample_ = 0;
  }
  if (!TryTakeToken(now)) {
    return;
  }
  metrics_.Count("pimentomoor_trace_recorded_total");
  const RequestMessage& request = caller.request;
  const TraceContext context = ParseTraceparent(FieldValue(request.forward_fields, "traceparent"));
  const auto selected = SelectExchanges(trace.exchanges, options_.max_exchanges, now);
  Trace recorded{.trace_id = context.trace_id,
                 .duration = now - caller.received_at,
                 .request_id = request.request_id.substr(0, kMaxTracedRequestIdBytes)};
  std::string attributes = "route=" + ToAttribute(summary.route) + " " + ToAttribute(summary.outcome) +
                           " status=" + std::to_string(summary.status) +
                           " parts=" + std::to_string(summary.received_parts) +
                           " missing=" + std::to_string(summary.missing_parts) + (late ? " late=true" : "");
  if (summary.paused_parts > 0) {
    attributes += " paused=" + std::to_string(summary.paused_parts);
  }
  if (selected.size() < trace.exchanges.size()) {
    attributes += " exchanges_left_out=" + std::to_string(trace.exchanges.size() - selected.size());
  }
  recorded.spans.reserve(selected.size() + 1);
  recorded.spans.push_back({.name = "gateway.request",
                            .span_id = NewSpanId(),
                            .parent_id = context.span_id,
                            .host = host_,
                            .duration = recorded.duration,
                            .attributes = std::move(attributes)});
  for (const UpstreamExchange* exchange : selected) {
    recorded.spans.push_back(MakeExchangeSpan(*exchange, recorded.spans.front(), caller.received_at, now));
  }
  store_.Add(std::move(recorded));
}

}  // namespace pimentomoor
