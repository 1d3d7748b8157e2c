// State that the source files of the coordinator share: running queries, detached canaries and upstream statistics.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pimentomoor/coordinator.h"
#include "pimentomoor/replica_policy.h"

namespace pimentomoor {

struct Coordinator::Query {
  std::uint64_t id = 0;
  proto::QueryRequest request;
  Done done;
  TraceContext trace_context;
  Trace recorded_trace;  // spans recorded so far
  TimePoint arrival{};
  QueryDeadlines deadlines;
  std::uint64_t fingerprint = 0;
  std::shared_ptr<const Catalog> catalog;  // version that the query keeps while newer ones arrive
  std::optional<GatherState> gather;       // set once a snapshot is pinned
  bool holds_credit = false;               // the query must be released from the customer's limits
  bool awaiting_crash_guard = false;       // the crash guard has not yet allowed the query to start or to go on
  bool canary_running = false;             // only copies of the canary were sent; the crash guard waits for a report
  std::uint32_t canary_strikes = 0;        // strikes of the fingerprint when the crash guard granted the canary
  std::vector<std::string> canary_struck_upstreams;  // upstreams that lost the connection of a copy of the canary
  bool restarted_on_newer_snapshot = false;          // a query restarts on a newer snapshot at most once
  bool progress_check_due = false;  // call FinishOrScheduleRetry() after the message that is being handled
  std::uint32_t retry_rounds = 0;   // how often all replicas were made available again
  std::unordered_map<std::uint64_t, TimePoint> sent_at;  // send time by sub-query id
  TimerId hedge_timer = 0;
  TimerId soft_deadline_timer = 0;
  TimerId hard_deadline_timer = 0;
  TimerId retry_timer = 0;  // next retry round or next question to the crash guard
};

// A canary with copies that still run after the end of their query.
struct Coordinator::DetachedCanary {
  std::uint64_t fingerprint = 0;
  std::map<std::uint64_t, std::string> running_copies;  // upstream by sub-query id, never empty
  std::vector<std::string> struck_upstreams;            // upstreams that lost the connection of a copy
  bool succeeded = false;                               // a copy was answered
  // When it fires, the canary is dropped without a report. The crash guard then presumes that the copies crashed
  // their upstreams.
  TimerId timer = 0;
};

// What this entry knows of an upstream.
struct Coordinator::UpstreamStats {
  std::uint32_t load_percent = 0;  // from the last successful answer
  std::uint32_t outstanding = 0;   // sub-queries of this entry that wait for an answer
  LatencyEstimate latency;         // from send to answer, measured at this entry
};

// Replica that gets a sub-query, and the owner of that replica.
struct Coordinator::Target {
  const std::string* upstream = nullptr;  // points into the shard's list of replicas
  const proto::Daemon* owner = nullptr;
};

}  // namespace pimentomoor
