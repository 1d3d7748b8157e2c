// The entry's side of a query: pins a snapshot, scatters sub-queries to the owners, hedges, retries, and answers.
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
  std::string host;            // for trace spans
  std::string failure_domain;  // replicas in it are preferred
  bool naive = false;          // uniform replica choice, no hedges, unlimited retries
  DeadlineSettings deadlines;
  HedgeSettings hedge;
  ExtraSubQueryBudgetSettings extra_budget;
  std::uint32_t max_running_queries = 10'000;  // queries at once; more are refused as not run
  std::uint32_t default_row_limit = 10;        // rows
  std::uint32_t max_row_limit = 1'000;
  std::size_t max_text_bytes = std::size_t{16} * 1024;
};

/// What the coordinator asks of the rest of the daemon.
struct CoordinatorHooks {
  /// The owner of an upstream that may get work now, or null.
  std::function<const proto::Daemon*(const std::string& upstream, const std::string& failure_domain)> usable_owner;
  /// Sends to an owner; false when nothing was sent.
  std::function<bool(const proto::Daemon& owner, const proto::SubQueries&)> send;
  std::function<void(const proto::Daemon& owner, const proto::CancelSubQueries&)> cancel;
  std::function<void(std::uint64_t fingerprint, std::function<void(proto::CanaryVerdict, std::uint32_t strikes)>)>
      ask_crash_guard;
  /// All copies of a canary ended; those at `struck` lost their connection.
  std::function<void(std::uint64_t fingerprint, bool succeeded, const std::vector<std::string>& struck)>
      report_canary;
  std::function<void(const std::string& customer, const AccessPlan&, std::function<void(bool, std::string)>)>
      acquire_credit;
  std::function<void(const std::string& customer)> release_credit;
  std::function<const CustomerPlans*()> plans;  // null until the first version is known
  std::function<const AccessPlans*()> access;   // null until the first version is known
  /// The catalog of a service, or null when it is unknown.
  std::function<std::shared_ptr<const Catalog>(const std::string& service)> catalog;
  /// Searchers no longer hold the newest snapshot that catalog() names: asks for a newer catalog. May be null.
  std::function<void(const std::string& service)> refresh_catalog;
};

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

  /// Answers from an owner. Those of ended queries and of other incarnations are dropped.
  void HandleAnswers(const proto::SubAnswers& answers);

  [[nodiscard]] std::size_t running_queries() const { return queries_.size(); }

 private:
  struct Query;
  struct UpstreamView;
  struct EndedCanary;
  struct Target;

  // Admission.
  [[nodiscard]] std::string CheckRequest(const proto::QueryRequest& request) const;
  const AccessPlan* AdmitByPlan(Query& query);
  void Admit(Query& query);
  void OnCanaryVerdict(std::uint64_t id, proto::CanaryVerdict verdict, std::uint32_t strikes);
  bool PinSnapshot(Query& query, std::uint64_t not_before);

  // Scatter.
  static std::vector<std::size_t> WaitingShards(const Query& query);
  std::vector<std::size_t> PickCanaryShard(const Query& query);
  void ScatterAll(Query& query);
  void SendShards(Query& query, const std::vector<std::size_t>& shards, bool hedge);
  std::optional<Target> PickReplica(const Query& query, const ShardProgress& shard);
  const proto::Daemon* UsableOwner(const Query& query, const std::string& upstream) const;
  void SetSoftTimer(Query& query);
  void SetHedgeTimer(Query& query);
  void HedgeCanary(Query& query);
  void HedgeLate(Query& query);

  // Gather.
  void HandleAnswer(Query& query, const proto::SubAnswer& answer);
  void EndCanary(Query& query, bool succeeded);
  void KeepCanary(Query& query);
  void HandleLateAnswer(std::uint64_t query_id, const proto::SubAnswer& answer);
  void NoteUpstream(Query& query, const proto::SubAnswer& answer, const std::string& upstream);
  void Retry(Query& query, std::size_t shard, AnswerEffect effect);
  void ScheduleNextRound(Query& query);
  void StartRound(Query& query);
  bool RestartOnNewSnapshot(Query& query);
  void CheckEnd(Query& query);
  void Refuse(Query& query, const std::string& outcome, const std::string& reason);
  void CancelTimers(const Query& query);
  void Finish(Query& query, proto::QueryAnswer answer);
  void CancelWaiting(const Query& query, bool send);

  EventLoop& loop_;
  Metrics& metrics_;
  TraceStore& traces_;
  CoordinatorOptions options_;
  CoordinatorHooks hooks_;
  std::uint64_t next_query_ = 1;
  std::uint64_t next_sub_query_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Query>> queries_;  // running, by id
  // Queries that ended while copies of their canary ran, by id: the crash guard waits for the copies.
  std::map<std::uint64_t, std::unique_ptr<EndedCanary>> ended_canaries_;
  std::map<std::string, LatencyWindow> latencies_;  // by service
  std::unordered_map<std::string, std::unique_ptr<UpstreamView>> upstreams_;
  ExtraSubQueryBudget extra_budget_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed, for late callbacks
};

/// Identifies requests that are equal for the crash guard: a hash of customer, service and text, never 0.
std::uint64_t Fingerprint(const std::string& customer, const std::string& service, const std::string& text);

}  // namespace pimentomoor
