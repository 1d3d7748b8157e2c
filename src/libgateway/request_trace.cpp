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

constexpr std::array<const char*, 3> kReasons = {"first", "retry", "hedge"};                     // by SendReason
constexpr std::array<const char*, 4> kOutcomes = {"answered", "not-sent", "lost", "malformed"};  // by ExchangeOutcome

bool HasEnded(const UpstreamExchange& exchange) { return exchange.ended_at != TimePoint{}; }

// What is known of an exchange that the request no longer waited for is only whether it was sent.
const char* OutcomeOf(const UpstreamExchange& exchange) {
  return HasEnded(exchange) ? kOutcomes[static_cast<std::size_t>(exchange.outcome)]
         : exchange.sent    ? "unanswered"
                            : "unsent";
}

bool IsPlain(const UpstreamExchange& exchange) {
  return exchange.send_reason == SendReason::kFirst && HasEnded(exchange) &&
         exchange.outcome == ExchangeOutcome::kAnswered && exchange.answer_status < 300;
}

TimePoint EndOf(const UpstreamExchange& exchange, TimePoint now) {
  return HasEnded(exchange) ? exchange.ended_at : now;
}

// Up to `count` exchanges in order of time. Those that went as planned are left out first, the shortest ones before.
std::vector<const UpstreamExchange*> MostTelling(const std::vector<UpstreamExchangePtr>& exchanges, std::size_t count,
                                                 TimePoint now) {
  std::vector<std::pair<Duration, const UpstreamExchange*>> ranked;
  for (const auto& exchange : exchanges) {
    const Duration took = EndOf(*exchange, now) - exchange->queued_at;
    ranked.emplace_back(IsPlain(*exchange) ? took : Duration::max(), exchange.get());
  }
  if (ranked.size() > count) {
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    ranked.resize(count);
  }
  std::vector<const UpstreamExchange*> kept;
  std::transform(ranked.begin(), ranked.end(), std::back_inserter(kept),
                 [](const auto& entry) { return entry.second; });
  std::stable_sort(kept.begin(), kept.end(), [](auto* a, auto* b) { return a->queued_at < b->queued_at; });
  return kept;
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

// `outcome="no searcher"` as an attribute: a value without quotes and spaces.
std::string AttributeOf(std::string_view label) {
  std::string text(label);
  std::erase(text, '"');
  std::replace(text.begin(), text.end(), ' ', '-');
  return text;
}

Span DescribeExchange(const UpstreamExchange& exchange, const Span& request, TimePoint started, TimePoint now) {
  const TimePoint end = EndOf(exchange, now);
  const TimePoint sent = exchange.sent ? exchange.sent_at : end;
  std::string attributes = "searcher=" + AttributeOf(exchange.link->entry().id);
  attributes += " service=" + AttributeOf(exchange.link->entry().service);
  attributes += std::string(" send=") + kReasons[static_cast<std::size_t>(exchange.send_reason)];
  attributes += " wait_us=" + std::to_string(Microseconds(sent - exchange.queued_at));
  attributes += " searcher_us=" + std::to_string(Microseconds(end - sent));
  attributes += std::string(" outcome=") + OutcomeOf(exchange);
  if (exchange.answer_status != 0) {
    attributes += " status=" + std::to_string(exchange.answer_status);
  }
  return {.name = "gateway.exchange",
          .span_id = NewSpanId(),
          .parent_id = request.span_id,
          .host = exchange.link->entry().address,
          .start = exchange.queued_at - started,
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
      allowance_(options.burst) {}

bool RequestTracer::TakeAllowance(TimePoint now) {
  const double elapsed = std::chrono::duration<double>(now - refilled_).count();
  allowance_ = std::min(options_.burst, allowance_ + elapsed * options_.traces_per_s);
  refilled_ = now;
  if (allowance_ < 1) {
    metrics_.Count("pimentomoor_trace_skipped_total");
    return false;
  }
  allowance_ -= 1;
  return true;
}

void RequestTracer::OnRequestEnd(const CallerExchange& caller, const RequestTrace& trace, const RequestSummary& end,
                                 TimePoint now) {
  const bool late = now - caller.received_at > end.objective;
  if (end.ok && !late) {
    if (++good_requests_ < options_.sample_every) {
      return;
    }
    good_requests_ = 0;
  }
  if (!TakeAllowance(now)) {
    return;
  }
  metrics_.Count("pimentomoor_trace_recorded_total");
  const RequestMessage& request = caller.request;
  const TraceContext context = ParseTraceparent(FieldValue(request.forward_fields, "traceparent"));
  const auto hops = MostTelling(trace.exchanges, options_.max_exchanges, now);
  Trace recorded{.trace_id = context.trace_id,
                 .duration = now - caller.received_at,
                 .request_id = request.request_id.substr(0, kMaxTracedRequestIdBytes)};
  std::string attributes = "route=" + AttributeOf(end.route) + " " + AttributeOf(end.outcome) +
                           " status=" + std::to_string(end.status) + " parts=" + std::to_string(end.received_parts) +
                           " missing=" + std::to_string(end.missing_parts) + (late ? " late=true" : "");
  if (hops.size() < trace.exchanges.size()) {
    attributes += " exchanges_left_out=" + std::to_string(trace.exchanges.size() - hops.size());
  }
  recorded.spans.reserve(hops.size() + 1);
  recorded.spans.push_back({.name = "gateway.request",
                            .span_id = NewSpanId(),
                            .parent_id = context.span_id,
                            .host = host_,
                            .duration = recorded.duration,
                            .attributes = std::move(attributes)});
  for (const UpstreamExchange* hop : hops) {
    recorded.spans.push_back(DescribeExchange(*hop, recorded.spans.front(), caller.received_at, now));
  }
  store_.Add(std::move(recorded));
}

}  // namespace pimentomoor
