// Chooses the replica of a shard to which a sub-query is sent. The chooser is the entry, the daemon that received the
// query.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// One upstream that holds a replica of the shard.
struct ReplicaCandidate {
  std::string upstream;      // "IP:port"
  bool usable = true;        // the owner of the upstream is reachable and accepts sub-queries for it
  bool tried = false;        // this sub-query was already sent to the upstream
  bool same_domain = false;  // the upstream is in the failure domain of the chooser
  // Requests queued and running at the owner, in percent of the upstream's concurrency limit; from its last answer.
  std::uint32_t load_percent = 0;
  std::uint32_t outstanding = 0;  // sub-queries of the chooser that this upstream has not answered yet
  Duration latency{};             // recent latency measured by the chooser; 0: none measured

  friend bool operator==(const ReplicaCandidate&, const ReplicaCandidate&) = default;
};

/// Estimate of a replica's latency, kept by the chooser.
struct LatencyEstimate {
  Duration value{};        // exponentially weighted moving average; 0: none measured
  TimePoint updated_at{};  // time at which `value` was current

  friend bool operator==(const LatencyEstimate&, const LatencyEstimate&) = default;
};

/// Returns the estimate with the latency of an answer added.
LatencyEstimate AddAnswerLatency(const LatencyEstimate& estimate, Duration latency, TimePoint now);

/// Returns the estimate with an attempt added that had no answer after `waited`. Such an attempt raises the estimate
/// and never lowers it. Without it, a replica that answers too late for every query would stay unmeasured and would
/// look like the best one.
LatencyEstimate AddUnansweredWait(const LatencyEstimate& estimate, Duration waited, TimePoint now);

/// The estimated latency at `now`. It halves with each kLatencyHalfLife since its last update, so that a replica that
/// was slow is tried again.
Duration CurrentLatency(const LatencyEstimate& estimate, TimePoint now);

/// Time after which CurrentLatency() halves when no new latency is added.
constexpr Duration kLatencyHalfLife = std::chrono::seconds(2);

/// Expected time to an answer of the replica, in arbitrary units: its latency times the number of requests ahead.
double ReplicaCost(const ReplicaCandidate& candidate);

/// Picks two different candidates by `random` among those that are usable and not yet tried, and returns the index of
/// the cheaper one; at equal cost, the one in the same failure domain is preferred. Two random choices prevent
/// choosers with the same stale loads from all taking the same replica. Empty when no such candidate is left.
std::optional<std::size_t> ChooseReplica(std::span<const ReplicaCandidate> candidates, std::uint64_t random);

/// Picks uniformly among the usable candidates, tried or not; the baseline in tests.
std::optional<std::size_t> ChooseReplicaNaive(std::span<const ReplicaCandidate> candidates, std::uint64_t random);

}  // namespace pimentomoor
