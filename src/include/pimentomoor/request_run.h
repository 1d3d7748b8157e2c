// One request of a caller, from its route to its answer: the choice of searchers, retries and hedges within the
// shared budgets, and the merge of the shards' records.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pimentomoor/caller_server.h"
#include "pimentomoor/crash_reports.h"
#include "pimentomoor/hedge_policy.h"
#include "pimentomoor/lag_estimate.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/request_trace.h"
#include "pimentomoor/routing_table.h"
#include "pimentomoor/upstream_set.h"

namespace pimentomoor {

struct RequestSettings {
  // Before the objective: the way from the caller and back, across failure domains.
  Duration objective_margin = std::chrono::milliseconds(7);
  Duration connection_margin = std::chrono::milliseconds(5);  // more when the caller opened a connection for it
  double lag_factor = 1.5;         // of the loop's lag, before the request is read and before the answer is sent
  double max_margin_share = 0.35;  // of the objective
  Duration timeout_margin = std::chrono::milliseconds(25);  // before the caller's time limit
  double hedge_quantile = 0.95;
  double min_hedge_delay_share = 0.1;  // of the objective, before which no hedge is sent
  double max_hedge_delay_share = 0.6;
  Duration retry_pause = std::chrono::milliseconds(12);    // between tries to send a part that found no searcher
  Duration cancel_after = std::chrono::milliseconds(250);  // of requests whose caller has left
  Duration refusal_retry_after = std::chrono::milliseconds(60);  // that a refused caller is told to wait
  bool naive = false;                                            // searchers in turn, no hedges

  friend bool operator==(const RequestSettings&, const RequestSettings&) = default;
};

/// Latencies of one route's requests at searchers.
struct RouteLatency {
  LatencyWindow window;
  Duration expected{};  // smoothed
};

/// What all requests of a daemon share.
struct SharedRequestContext {
  EventLoop& loop;
  Metrics& metrics;
  const FieldNames& names;
  UpstreamSet& upstreams;
  CrashReports& crashes;
  RequestSettings settings;
  std::map<std::string, RouteLatency> latencies;           // by route name
  std::map<std::string, WeightedChooser> target_choosers;  // by route name
  LagEstimate loop_lag;                                    // of this daemon's loop
  std::uint64_t parts_sent = 0;                            // to searchers
  std::size_t next_tie_break = 0;                          // breaks ties between equal searchers
  RequestTracer* tracer = nullptr;                         // records nothing when null
};

class RequestRun final : public ExchangeHandler, public std::enable_shared_from_this<RequestRun> {
 public:
  RequestRun(SharedRequestContext& context, std::shared_ptr<CallerExchange> caller,
             std::shared_ptr<const RoutingTable> table, const RouteSpec& route);
  ~RequestRun() override;

  void Start();

 private:
  struct Part {
    ServiceState* service = nullptr;
    // Unanswered exchanges. Those of a part that is done are kept as well, because their work ends with the caller.
    std::vector<UpstreamExchangePtr> running;
    std::vector<std::string> tried;  // ids of the searchers that got it
    unsigned arrivals = 0;           // times that it was sent
    unsigned ran = 0;                // of these, times that it may have run
    bool done = false;
    bool waits_for_allowance = false;  // at the last try, only the allowance of cold searchers was missing
    std::string stamp;                 // of the answer that is in the merge
    TimePoint next_try{};              // of a hedge, or of another try when nothing is running
  };

  void OnExchangeDone(UpstreamExchange& exchange, ExchangeOutcome outcome, ResponseMessage& response) override;
  void OnCallerGone();
  void OnTimer();
  void ScheduleTimer();

  [[nodiscard]] bool gathers() const { return !route_.shards.empty(); }
  [[nodiscard]] TimePoint PartDeadline() const;
  [[nodiscard]] std::size_t NeededParts() const;
  [[nodiscard]] std::size_t ServableParts() const;
  [[nodiscard]] Duration HedgeDelayOfRoute() const;

  /// Which searchers a part may go to: only those that have not had it, or also those that turned it away.
  enum class Candidates { kUntried, kAll };
  /// Sends the part to one more searcher; false when there is none or a budget is used up.
  bool SendPart(std::size_t index, Candidates allowed);
  [[nodiscard]] std::shared_ptr<UpstreamLink> ChooseLink(Part& part, Candidates allowed);
  [[nodiscard]] bool MaySendAgain(const Part& part) const;

  void OnPartAnswered(std::size_t index, ResponseMessage& response);
  void OnPartFailed(std::size_t index);
  [[nodiscard]] bool IsPart(const ResponseMessage& response) const;
  void FinishPart(Part& part);
  void CheckGather();
  void RespondGather();
  void RespondSingle(ResponseMessage& response);
  void Refuse();
  void Fail(int status, const char* reason);
  void Respond(const OutgoingResponse& response, const char* outcome);
  void CancelRunning(TimePoint give_up_at);
  void RecordTrace(int status, const char* outcome);

  SharedRequestContext& context_;
  std::shared_ptr<CallerExchange> caller_;
  std::shared_ptr<const RoutingTable> table_;  // keeps route_ alive
  const RouteSpec& route_;
  RouteLatency& latency_;
  std::shared_ptr<UpstreamRequest> request_;
  std::vector<Part> parts_;
  std::size_t done_parts_ = 0;
  std::size_t lost_parts_ = 0;       // whose connection ended without an answer
  std::vector<std::string> bodies_;  // of the parts that are in
  TimePoint objective_at_{};         // when an incomplete answer is sent if it has enough parts
  TimePoint end_at_{};               // when the request is answered in any case
  TimerId timer_ = 0;
  TimePoint timer_due_{};
  bool may_have_run_ = false;
  ResponseMessage last_failure_;  // of a searcher that ran the request; status 0 when there was none
  bool finished_ = false;
  RequestTrace trace_;
};

}  // namespace pimentomoor
