// Traces of gateway requests: one span for the request and one for each exchange with a searcher. Spans are built
// only for a request that ended slow, refused, failed or partial, and for a sample of the others.
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

constexpr std::size_t kMaxTracedRequestIdBytes = 128;  // of a request id; a trace keeps the beginning of a longer one

struct RequestTraceOptions {
  std::size_t max_traces = 64;     // traces; at most about 1 MB with max_hops
  std::size_t max_exchanges = 40;  // spans of exchanges in one trace; the least telling ones are left out
  unsigned sample_every = 256;     // of the requests that ended well and in time, one is recorded
  // Recorded traces per second beyond a burst. Building a trace costs more than refusing a request, and faster
  // recording would replace all traces before an operator can read one.
  double traces_per_s = 2;
  double burst = 32;
};

/// The exchanges of one running request, in order of time. Recording one stores a pointer and a few words.
struct RequestTrace {
  /// To be called before UpstreamLink::Send().
  void OnSend(const UpstreamExchangePtr& exchange, SendReason reason, TimePoint now);
  static void OnEnd(UpstreamExchange& exchange, ExchangeOutcome outcome, int status, TimePoint now);

  std::vector<UpstreamExchangePtr> exchanges;
};

/// How a request ended.
struct RequestSummary {
  std::string_view route;
  std::string_view outcome;  // as counted, for example `outcome="partial"`
  bool ok = false;           // the caller got a success that lacks nothing
  int status = 0;
  std::size_t received_parts = 0;  // that arrived
  std::size_t missing_parts = 0;   // parts that did not
  Duration objective = Duration::max();
};

/// Decides which requests are recorded, and keeps their traces.
class RequestTracer {
 public:
  RequestTracer(Metrics& metrics, std::string host, RequestTraceOptions options = {});

  /// Records the request when it is worth it. `trace` may have exchanges that still run.
  void OnRequestEnd(const CallerExchange& caller, const RequestTrace& trace, const RequestSummary& end,
                    TimePoint now);

  [[nodiscard]] const TraceStore& store() const { return store_; }

 private:
  bool TakeAllowance(TimePoint now);

  Metrics& metrics_;
  std::string host_;
  RequestTraceOptions options_;
  TraceStore store_;
  unsigned good_requests_ = 0;  // since the last sample
  double allowance_;
  TimePoint refilled_{};
};

}  // namespace pimentomoor
