// Chooses the replica of a shard that gets a sub-query.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "pimentomoor/clock.h"

namespace pimentomoor {

struct ReplicaCandidate {
  std::string upstream;            // "IP:port"
  bool usable = true;              // its owner is reachable and accepts work for it
  bool tried = false;              // already got this sub-query
  bool same_domain = false;        // in the failure domain of the chooser
  std::uint32_t load_percent = 0;  // queued plus running at the owner, in percent of the slots, from the last answer
  std::uint32_t outstanding = 0;   // sub-queries of the chooser that wait for this upstream
  Duration latency{};              // recent latency seen by the chooser; 0: none measured

  friend bool operator==(const ReplicaCandidate&, const ReplicaCandidate&) = default;
};

/// What a chooser knows of a replica's latency.
struct LatencyEstimate {
  Duration value{};  // exponentially weighted; 0: none measured
  TimePoint updated_at{};

  friend bool operator==(const LatencyEstimate&, const LatencyEstimate&) = default;
};

/// Adds the latency of an answer.
LatencyEstimate AddAnswerLatency(const LatencyEstimate& estimate, Duration latency, TimePoint now);

/// Adds an attempt that had no answer after `waited`. It raises the estimate and never lowers it: without this, a
/// replica that answers too late for every query would stay unmeasured and look like the best one.
LatencyEstimate AddUnansweredWait(const LatencyEstimate& estimate, Duration waited, TimePoint now);

/// The estimate at `now`. It halves with each kLatencyHalfLife without a new one, so that a replica that was slow is
/// tried again.
Duration CurrentLatency(const LatencyEstimate& estimate, TimePoint now);

constexpr Duration kLatencyHalfLife = std::chrono::seconds(2);

/// Expected wait at the replica, in arbitrary units: latency times the requests ahead.
double ReplicaCost(const ReplicaCandidate& candidate);

/// Picks two different candidates by `random` and returns the index of the cheaper one; of equal ones, the one in the
/// same domain. Two random choices keep choosers with the same stale load figures from all taking the same replica.
/// Never returns an unusable or tried one; nothing when no other is left.
std::optional<std::size_t> ChooseReplica(std::span<const ReplicaCandidate> candidates, std::uint64_t random);

/// Uniform among the usable ones, tried or not.
std::optional<std::size_t> ChooseReplicaNaive(std::span<const ReplicaCandidate> candidates, std::uint64_t random);

}  // namespace pimentomoor
