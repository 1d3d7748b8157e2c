// The owner's side of a query: runs sub-queries at the upstreams that this daemon owns.
//
// The dispatcher is the only sender to its upstreams, so its counters enforce slots, connections and the cold-start
// limit for the whole fleet. Every sub-query that is not cancelled is answered exactly once, with a status that
// says whether the sub-query can have run.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "peer.pb.h"
#include "pimentomoor/config_lists.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/upstream_policy.h"

namespace pimentomoor {

namespace proto {
class SearchResponse;
}

struct DispatcherOptions {
  // Baseline: only the slots limit applies, without a cold-start limit. Only late sub-queries are shed, and no
  // answers are held.
  bool naive = false;
  std::uint32_t max_queued_per_upstream = 64;  // sub-queries that wait for one upstream
  Duration answer_hold{};                      // longest time that answers wait for others of the same query
};

/// Calls from the dispatcher to other parts of the daemon.
struct DispatcherHooks {
  /// Returns whether this daemon owns the upstream, holds its lease and has completed the takeover.
  std::function<bool(const std::string& upstream)> may_send;
  /// Returns whether operators have taken the upstream or its failure domain out of service.
  std::function<bool(const std::string& upstream, const std::string& failure_domain)> in_outage;
  std::function<void(const proto::Daemon& entry, const proto::SubAnswers& answers)> send_answers;
  /// Reports that the upstream lost a connection on which the request with this fingerprint was sent. May be null.
  std::function<void(std::uint64_t fingerprint, const std::string& upstream)> report_strike;
};

/// Queues the sub-queries of all entries for each upstream and sends them as the upstream policy allows.
class Dispatcher {
 public:
  Dispatcher(EventLoop& loop, HttpClient& client, Metrics& metrics, DispatcherOptions options, DispatcherHooks hooks);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Sets limits and failure domains of the upstreams of one service.
  void ConfigureUpstreams(const std::vector<CatalogUpstream>& upstreams);

  /// Queues the sub-queries of one message, or answers those that are refused.
  void Submit(const proto::Daemon& entry, const proto::SubQueries& message);

  /// Drops the named sub-queries that still wait. Running ones continue, because to stop one its HTTP/1.1 connection
  /// would have to be closed and a new one opened.
  void Cancel(std::uint64_t entry_incarnation, const proto::CancelSubQueries& message);

  /// Resets the state of an upstream that this daemon took over from another owner. The upstream counts as cold,
  /// because its current state is unknown; `handover` is what the previous owner knew.
  void TakeOverUpstream(const proto::UpstreamHandover& handover);
  /// Returns what the next owner of an upstream should know of it.
  [[nodiscard]] proto::UpstreamHandover BuildHandover(const std::string& upstream) const;

  /// Applies whether the host list shows the upstream, and whether as leaving.
  void ApplyHostListEntry(const std::string& upstream, bool listed, bool leaving);

  /// Returns the draining upstreams that this daemon may send to, in no particular order.
  [[nodiscard]] std::vector<std::string> DrainingUpstreams() const;

  /// Applies the incarnation that the upstream's health endpoint showed. A new one makes a draining upstream cold, so
  /// that it gets requests again.
  void ApplyIncarnationHint(const std::string& upstream, std::uint64_t incarnation);

  /// True while a request runs at the upstream, or may still run there after the request's connection was closed.
  [[nodiscard]] bool HasOutstandingRequests(const std::string& upstream) const;

  [[nodiscard]] std::size_t running_requests() const { return running_requests_; }
  [[nodiscard]] std::size_t queued_sub_queries() const { return queued_sub_queries_; }

 private:
  struct Query;            // one query of an entry: its answers that are not sent yet
  struct Batch;            // one SubQueries message, shared by its sub-queries
  struct PendingSubQuery;  // a sub-query that is queued or running
  struct Upstream;         // state and queue of one upstream

  Upstream& FindOrAddUpstream(const std::string& address);
  static void LogPhaseChange(const Upstream& upstream, UpstreamPhase before);
  void ProcessQueue(Upstream& upstream);
  void StartRequest(Upstream& upstream, PendingSubQuery pending);
  void FinishRequest(Upstream& upstream, const PendingSubQuery& pending, const HttpResult& result);
  bool RefuseBeforeQueueing(const Upstream& upstream, const PendingSubQuery& pending);
  std::shared_ptr<Query> FindOrAddQuery(const proto::Daemon& entry, const proto::SubQueries& message);
  proto::SubAnswer& AddAnswer(const PendingSubQuery& pending);
  void CompleteAnswer(const PendingSubQuery& pending, proto::SubStatus status);
  void AnswerNotRun(const PendingSubQuery& pending, proto::SubStatus status, const std::string& reason);
  void CountAnswer(proto::SubStatus status);
  void ScheduleFlush();
  void FlushAnswers();
  void SendAnswers(Query& query);
  void EraseQueryIfEnded(const Query& query);
  void ArmQueueTimer();
  [[nodiscard]] bool ShouldShedFirst(const Upstream& upstream, TimePoint now) const;
  [[nodiscard]] bool MayStartNow(const Upstream& upstream) const;
  [[nodiscard]] std::uint32_t LoadPercent(const Upstream& upstream) const;

  EventLoop& loop_;
  HttpClient& client_;
  Metrics& metrics_;
  DispatcherOptions options_;
  DispatcherHooks hooks_;
  std::unordered_map<std::string, std::unique_ptr<Upstream>> upstreams_;
  // Queries with a sub-query that waits or runs, or with a held answer; by entry incarnation and query id.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::shared_ptr<Query>> queries_;
  // Holds each query with unsent answers; may also hold one whose answers were sent before the flush.
  std::vector<std::shared_ptr<Query>> queries_with_held_answers_;
  std::unique_ptr<proto::SearchResponse> reused_response_;  // keeps its memory from one parsed response to the next
  std::size_t running_requests_ = 0;                        // at all upstreams
  std::size_t queued_sub_queries_ = 0;                      // sum of all queue lengths
  TimerId queue_timer_ = 0;                                 // set while any queue is not empty
  TimerId flush_timer_ = 0;                                 // set while answers are held beyond this event loop turn
  bool flush_posted_ = false;
  // Set to false by the destructor. Callbacks that may run after it hold a copy and check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pimentomoor
