// The owner's side of a query: runs sub-queries at the upstreams that this daemon owns.
//
// The dispatcher is the only sender to its upstreams, so its counters enforce slots, connections and the cold-start
// allowance for the whole fleet. Every sub-query is answered exactly once, with a status that says whether it can
// have run.
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
  bool naive = false;                          // slots only, no cold-start allowance, no shedding, no answers held
  std::uint32_t max_queued_per_upstream = 64;  // sub-queries that wait for one upstream
  Duration answer_hold{};                      // how long answers wait for others of the same query
};

/// What the dispatcher asks of the rest of the daemon.
struct DispatcherHooks {
  std::function<bool(const std::string& upstream)> may_send;  // owned, lease held, takeover over
  std::function<bool(const std::string& upstream, const std::string& failure_domain)> in_outage;
  std::function<void(const proto::Daemon& entry, const proto::SubAnswers& answers)> send_answers;
  std::function<void(std::uint64_t fingerprint, const std::string& upstream)> report_strike;
};

class Dispatcher {
 public:
  Dispatcher(EventLoop& loop, HttpClient& client, Metrics& metrics, DispatcherOptions options, DispatcherHooks hooks);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Sets limits and failure domains of the upstreams of one service.
  void ConfigureUpstreams(const std::vector<CatalogUpstream>& upstreams);

  /// Queues the sub-queries of one message.
  void Submit(const proto::Daemon& entry, const proto::SubQueries& message);

  /// Drops sub-queries that still wait; running ones go on, because closing an HTTP/1.1 connection costs a new one.
  void Cancel(std::uint64_t entry_incarnation, const proto::CancelSubQueries& message);

  /// The upstream was taken over from another owner: its state is unknown, so it counts as cold.
  void TakeOverUpstream(const proto::UpstreamHandover& handover);
  /// What the next owner of an upstream should know of it.
  [[nodiscard]] proto::UpstreamHandover BuildHandover(const std::string& upstream) const;

  void ApplyHostListEntry(const std::string& upstream, bool listed, bool leaving);

  /// Draining upstreams that this daemon may send to, in the order of their addresses.
  [[nodiscard]] std::vector<std::string> DrainingUpstreams() const;

  /// The health endpoint named this incarnation: a new one lets a draining upstream start cold again.
  void ApplyIncarnationHint(const std::string& upstream, std::uint64_t incarnation);

  /// True while a request runs at the upstream, or may still run there after its connection was closed.
  [[nodiscard]] bool HasOutstandingRequests(const std::string& upstream) const;

  [[nodiscard]] std::size_t running_requests() const { return running_requests_; }
  [[nodiscard]] std::size_t queued_sub_queries() const { return queued_sub_queries_; }

 private:
  struct Query;            // the answers to one query of an entry that are not sent yet
  struct Batch;            // the part of a message that its sub-queries share
  struct PendingSubQuery;  // one sub-query
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
  // By entry incarnation and query id; those with a sub-query that waits or runs, or an answer that is held.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::shared_ptr<Query>> queries_;
  std::vector<std::shared_ptr<Query>> queries_with_held_answers_;  // all queries with held answers
  std::unique_ptr<proto::SearchResponse>
      reused_response_;                 // kept, so that its memory is used for each response again
  std::size_t running_requests_ = 0;    // requests at upstreams
  std::size_t queued_sub_queries_ = 0;  // sum of all queue lengths
  TimerId queue_timer_ = 0;             // set while any queue is not empty
  TimerId flush_timer_ = 0;             // set while answers are held beyond this turn
  bool flush_posted_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed, for posted callbacks
};

}  // namespace pimentomoor
