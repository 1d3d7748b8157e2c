// Implementation of the replica choice.
#include "pimentomoor/replica_policy.h"

#include <algorithm>
#include <cmath>

namespace pimentomoor {

namespace {

// Stands in for the latency of a replica that has not been measured, so that its load still counts.
constexpr Duration kLatencyFloor = std::chrono::microseconds(100);

bool IsEligible(const ReplicaCandidate& candidate) { return candidate.usable && !candidate.tried; }
bool IsUsable(const ReplicaCandidate& candidate) { return candidate.usable; }

// Index of the candidate number `n` among those that `accept` takes; there must be more than n of them.
template <typename Accept>
std::size_t NthIndex(std::span<const ReplicaCandidate> candidates, std::size_t n, Accept accept) {
  std::size_t index = 0;
  while (!accept(candidates[index]) || n-- > 0) {
    ++index;
  }
  return index;
}

bool IsBetter(const ReplicaCandidate& a, const ReplicaCandidate& b) {
  const double cost_a = ReplicaCost(a);
  const double cost_b = ReplicaCost(b);
  return cost_a != cost_b ? cost_a < cost_b : a.same_domain && !b.same_domain;
}

}  // namespace

LatencyEstimate AddAnswerLatency(const LatencyEstimate& estimate, Duration latency, TimePoint now) {
  constexpr int kWeight = 8;  // the newest answer counts one eighth
  const Duration old = CurrentLatency(estimate, now);
  const bool measured = estimate.value > Duration::zero();
  return {.value = measured ? (old * (kWeight - 1) + latency) / kWeight : latency, .updated_at = now};
}

LatencyEstimate AddUnansweredWait(const LatencyEstimate& estimate, Duration waited, TimePoint now) {
  return waited > CurrentLatency(estimate, now) ? AddAnswerLatency(estimate, waited, now) : estimate;
}

Duration CurrentLatency(const LatencyEstimate& estimate, TimePoint now) {
  const double half_lives = static_cast<double>((now - estimate.updated_at).count()) / kLatencyHalfLife.count();
  return Duration(static_cast<Duration::rep>(static_cast<double>(estimate.value.count()) * std::exp2(-half_lives)));
}

double ReplicaCost(const ReplicaCandidate& candidate) {
  const double ahead = 1.0 + candidate.load_percent / 100.0 + candidate.outstanding;
  return static_cast<double>(std::max(candidate.latency, kLatencyFloor).count()) * ahead;
}

std::optional<std::size_t> ChooseReplica(std::span<const ReplicaCandidate> candidates, std::uint64_t random) {
  const auto eligible = static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), IsEligible));
  if (eligible == 0) {
    return std::nullopt;
  }
  const std::size_t first = (random & 0xffffffffU) % eligible;
  const std::size_t a = NthIndex(candidates, first, IsEligible);
  if (eligible == 1) {
    return a;
  }
  std::size_t second = (random >> 32U) % (eligible - 1);
  if (second >= first) {
    ++second;
  }
  const std::size_t b = NthIndex(candidates, second, IsEligible);
  return IsBetter(candidates[b], candidates[a]) ? b : a;
}

std::optional<std::size_t> ChooseReplicaNaive(std::span<const ReplicaCandidate> candidates, std::uint64_t random) {
  const auto usable = static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), IsUsable));
  if (usable == 0) {
    return std::nullopt;
  }
  return NthIndex(candidates, random % usable, IsUsable);
}

}  // namespace pimentomoor
