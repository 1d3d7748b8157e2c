// The entry's side of a query: pins an index snapshot, scatters sub-queries to the owners of the upstreams, hedges
// and retries them, and gathers the answer to the caller.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "caller.pb.h"
#include "peer.pb.h"
#include "pimentomoor/config_lists.h"
#include "pimentomoor/deadline_policy.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/gather.h"
#include "pimentomoor/hedge_policy.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/trace.h"

namespace pimentomoor {

struct CoordinatorOptions {
  std::string host;            // host name of this daemon, for trace spans
  std::string failure_domain;  // of this daemon; replicas in the same one are preferred
  bool naive = false;          // baseline: uniform replica choice, no hedges, unlimited retries
  DeadlineSettings deadlines;
  HedgeSettings hedge;
  ExtraSubQueryBudgetSettings extra_budget;
  std::uint32_t max_running_queries = 10'000;  // further queries are refused as not run
  std::uint32_t default_row_limit = 10;        // rows of an answer when the request names no limit
  std::uint32_t max_row_limit = 1'000;         // requests for more rows are refused
  std::size_t max_text_bytes = std::size_t{16} * 1024;
};

/// Calls from the coordinator to other parts of the daemon.
struct CoordinatorHooks {
  /// Returns the daemon that owns an upstream; null when the upstream or its owner may not get work now.
  std::function<const proto::Daemon*(const std::string& upstream, const std::string& failure_domain)> usable_owner;
  /// Sends sub-queries to an owner; returns false when nothing was sent.
  std::function<bool(const proto::Daemon& owner, const proto::SubQueries&)> send;
  /// Tells an owner which sub-queries it need not start.
  std::function<void(const proto::Daemon& owner, const proto::CancelSubQueries&)> cancel;
  /// Asks the crash guard whether a request may run on all shards, or as a canary on one shard first. The callback
  /// may be called before this returns.
  std::function<void(std::uint64_t fingerprint, std::function<void(proto::CanaryVerdict, std::uint32_t strikes)>)>
      ask_crash_guard;
  /// Reports to the crash guard that all copies of a canary ended. The copies at `struck_upstreams` lost their
  /// connection; `succeeded` means that another copy was answered.
  std::function<void(std::uint64_t fingerprint, bool succeeded, const std::vector<std::string>& struck_upstreams)>
      report_canary;
  /// Asks for one query within the customer's rate and concurrency limits. The callback gets whether the query may
  /// run, and the reason of a refusal.
  std::function<void(const std::string& customer, const AccessPlan&, std::function<void(bool, std::string)>)>
      acquire_credit;
  /// Ends a query that acquire_credit allowed.
  std::function<void(const std::string& customer)> release_credit;
  std::function<const CustomerPlans*()> plans;  // the customers' plans; null until the first version is known
  std::function<const AccessPlans*()> access;   // the limits of each plan; null until the first version is known
  /// Returns the catalog of a service; null when it is unknown.
  std::function<std::shared_ptr<const Catalog>(const std::string& service)> catalog;
  /// Asks for a newer catalog of a service, because searchers no longer hold the newest snapshot that catalog()
  /// names. May be null.
  std::function<void(const std::string& service)> refresh_catalog;
};

/// Runs the queries that callers send to this daemon.
class Coordinator {
 public:
  using Done = std::function<void(proto::QueryAnswer)>;

  Coordinator(EventLoop& loop, Metrics& metrics, TraceStore& traces, CoordinatorOptions options,
              CoordinatorHooks hooks);
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  /// Runs a query; `done` is called once, at the latest at its hard deadline.
  void Run(proto::QueryRequest request, const TraceContext& trace, Done done);

  /// Takes answers from an owner. Answers to a query that has ended count only for its canary. The daemon drops
  /// answers for another of its incarnations before this call.
  void HandleAnswers(const proto::SubAnswers& answers);

  [[nodiscard]] std::size_t running_queries() const { return queries_.size(); }

 private:
  struct Query;
  struct UpstreamStats;
  struct DetachedCanary;
  struct Target;

  // Admission: decides whether and on which snapshot a query runs.
  // Returns why a request is invalid; empty when it is valid.
  [[nodiscard]] std::string ValidateRequest(const proto::QueryRequest& request) const;
  const AccessPlan* AdmitByPlan(Query& query);
  void AskCrashGuard(Query& query);
  void OnCanaryVerdict(std::uint64_t id, proto::CanaryVerdict verdict, std::uint32_t strikes);
  bool PinSnapshot(Query& query, std::uint64_t not_before);

  // Scatter: chooses replicas and sends sub-queries.
  static std::vector<std::size_t> ShardsWithoutAttempt(const Query& query);
  std::vector<std::size_t> PickCanaryShard(const Query& query);
  void ScatterAll(Query& query);
  void SendSubQueries(Query& query, const std::vector<std::size_t>& shards, bool hedge);
  std::optional<Target> PickReplica(const Query& query, const ShardProgress& shard);
  const proto::Daemon* UsableOwner(const Query& query, const std::string& upstream) const;
  void SetSoftDeadlineTimer(Query& query);
  void SetHedgeTimer(Query& query);
  void HedgeCanary(Query& query);
  void HedgeLateShards(Query& query);

  // Gather: applies answers and ends queries.
  void HandleAnswer(Query& query, const proto::SubAnswer& answer);
  void EndCanary(Query& query, bool succeeded);
  void DetachCanary(Query& query);
  void HandleLateAnswer(std::uint64_t query_id, const proto::SubAnswer& answer);
  void RecordUpstreamAnswer(Query& query, const proto::SubAnswer& answer, const std::string& upstream);
  void Retry(Query& query, std::size_t shard, AnswerEffect effect);
  void ScheduleRetryRound(Query& query);
  void StartRetryRound(Query& query);
  bool RestartOnNewSnapshot(Query& query);
  void FinishOrScheduleRetry(Query& query);
  void Refuse(Query& query, const std::string& outcome, const std::string& reason);
  void CancelTimers(const Query& query);
  void Finish(Query& query, proto::QueryAnswer answer);
  void CancelRunningAttempts(const Query& query, bool notify_owners);

  EventLoop& loop_;
  Metrics& metrics_;
  TraceStore& traces_;
  CoordinatorOptions options_;
  CoordinatorHooks hooks_;
  std::uint64_t next_query_id_ = 1;
  std::uint64_t next_sub_query_id_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Query>> queries_;  // running queries by id
  // Canaries with running copies whose query has ended, by query id. The crash guard waits for all copies to end.
  std::map<std::uint64_t, std::unique_ptr<DetachedCanary>> detached_canaries_;
  std::map<std::string, LatencyWindow> latencies_by_service_;  // latencies of successful sub-queries
  std::unordered_map<std::string, std::unique_ptr<UpstreamStats>> upstream_stats_;  // by address of the upstream
  ExtraSubQueryBudget extra_budget_;
  // Set to false by the destructor. Callbacks that may run after it hold a copy and check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Hash of customer, service and text, never 0. The crash guard treats requests with equal fingerprints as one.
std::uint64_t Fingerprint(const std::string& customer, const std::string& service, const std::string& text);

}  // namespace pimentomoor
