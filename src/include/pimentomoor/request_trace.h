// Traces of gateway requests: one span for the request and one for each exchange with an upstream. Spans are built
// only for requests that were slow, refused, failed or partial, and for a sample of the others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/caller_server.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/trace.h"
#include "pimentomoor/upstream_link.h"

namespace pimentomoor {

constexpr std::size_t kMaxTracedRequestIdBytes = 128;  // longer request ids are truncated in traces

struct RequestTraceOptions {
  std::size_t max_traces = 64;     // stored traces; about 1 MB at most with max_exchanges
  std::size_t max_exchanges = 40;  // exchange spans in one trace; quick successful first sends are left out first
  unsigned sample_every = 256;     // one of so many complete and timely requests is recorded
  // Token bucket for recorded traces. Building a trace costs more than refusing a request, and faster recording would
  // replace all stored traces before an operator can read one.
  double traces_per_s = 2;
  double burst = 32;
};

/// Exchanges of one running request, ordered by time. Recording an exchange stores a pointer and a few words.
struct RequestTrace {
  /// Must be called before UpstreamLink::Send().
  void OnSend(const UpstreamExchangePtr& exchange, SendReason reason, TimePoint now);
  static void OnEnd(UpstreamExchange& exchange, ExchangeOutcome outcome, int status, TimePoint now);

  std::vector<UpstreamExchangePtr> exchanges;
};

/// Result of a request.
struct RequestSummary {
  std::string_view route;
  std::string_view outcome;  // label of the answer counter, for example `outcome="partial"`
  bool ok = false;           // the caller got a complete success, or left before the answer
  int status = 0;
  std::size_t received_parts = 0;  // parts whose answer arrived
  std::size_t missing_parts = 0;   // parts without an answer
  std::size_t paused_parts = 0;    // of these, parts all of whose upstreams had asked for a pause
  Duration objective = Duration::max();
};

/// Decides which requests are recorded, and stores their traces.
class RequestTracer {
 public:
  RequestTracer(Metrics& metrics, std::string host, RequestTraceOptions options = {});

  /// Records the request if it was late or not ok, or is the next sample. `trace` may hold running exchanges.
  void OnRequestEnd(const CallerExchange& caller, const RequestTrace& trace, const RequestSummary& summary,
                    TimePoint now);

  [[nodiscard]] const TraceStore& store() const { return store_; }

 private:
  bool TryTakeToken(TimePoint now);

  Metrics& metrics_;
  std::string host_;
  RequestTraceOptions options_;
  TraceStore store_;
  unsigned requests_since_sample_ = 0;  // ok and timely requests since the last sample
  double tokens_;
  TimePoint refilled_at_{};
};

}  // namespace pimentomoor
