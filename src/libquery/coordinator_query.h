// State of one running query and of the upstreams as an entry sees them; shared by the parts of the coordinator.
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
  Trace recorded_trace;
  TimePoint arrival{};
  QueryDeadlines deadlines;
  std::uint64_t fingerprint = 0;
  std::shared_ptr<const Catalog> catalog;            // the query keeps this version while newer ones arrive
  std::optional<GatherState> gather;                 // set once a snapshot is pinned
  bool holds_credit = false;                         // the customer's limit must be released
  bool awaiting_crash_guard = false;                 // the crash guard has not yet allowed it to run, or to run on
  bool canary_running = false;                       // only the canary was sent; the crash guard waits for its report
  std::uint32_t canary_strikes = 0;                  // counted by the crash guard when it granted the canary
  std::vector<std::string> canary_struck_upstreams;  // upstreams that lost the connection of a copy of the canary
  bool restarted_on_newer_snapshot = false;          // the one restart on a newer snapshot was used
  bool progress_check_due = false;  // an answer of the message being handled may have ended the query
  std::uint32_t retry_rounds = 0;   // how often all replicas were tried
  std::unordered_map<std::uint64_t, TimePoint> sent_at;  // by sub-query id
  TimerId hedge_timer = 0;
  TimerId soft_deadline_timer = 0;
  TimerId hard_deadline_timer = 0;
  TimerId retry_timer = 0;
};

// The copies of a canary that still run after the end of their query.
struct Coordinator::DetachedCanary {
  std::uint64_t fingerprint = 0;
  std::map<std::uint64_t, std::string> running_copies;  // upstream by sub-query id, never empty
  std::vector<std::string> struck_upstreams;
  bool succeeded = false;
  TimerId timer = 0;  // gives up: the crash guard then presumes that the copies crashed their upstreams
};

struct Coordinator::UpstreamStats {
  std::uint32_t load_percent = 0;  // from the last answer
  std::uint32_t outstanding = 0;   // sub-queries of this entry
  LatencyEstimate latency;         // as seen by this entry
};

/// The replica that gets a sub-query, and its owner.
struct Coordinator::Target {
  const std::string* upstream = nullptr;  // in the shard's list of replicas
  const proto::Daemon* owner = nullptr;
};

}  // namespace pimentomoor
