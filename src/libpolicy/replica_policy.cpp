// Implementation of the choice of a replica.
#include "pimentomoor/replica_policy.h"

#include <algorithm>
#include <cmath>

namespace pimentomoor {

namespace {

// Latency assumed for a replica without a measurement, so that its load still counts in its cost.
constexpr Duration kLatencyFloor = std::chrono::microseconds(100);

bool IsEligible(const ReplicaCandidate& candidate) { return candidate.usable && !candidate.tried; }
bool IsUsable(const ReplicaCandidate& candidate) { return candidate.usable; }

// Index of the n-th candidate (counted from 0) for which `accept` holds. More than n candidates must be accepted.
template <typename Accept>
std::size_t NthAcceptedIndex(std::span<const ReplicaCandidate> candidates, std::size_t n, Accept accept) {
  std::size_t index = 0;
  while (!accept(candidates[index]) || n-- > 0) {
    ++index;
  }
  return index;
}

// Whether `a` costs less than `b`, or the same but is the only one in the chooser's failure domain.
bool IsBetter(const ReplicaCandidate& a, const ReplicaCandidate& b) {
  const double cost_a = ReplicaCost(a);
  const double cost_b = ReplicaCost(b);
  return cost_a != cost_b ? cost_a < cost_b : a.same_domain && !b.same_domain;
}

}  // namespace

LatencyEstimate AddAnswerLatency(const LatencyEstimate& estimate, Duration latency, TimePoint now) {
  constexpr int kWeightDivisor = 8;  // the newest answer counts for one eighth of the average
  const Duration previous = CurrentLatency(estimate, now);
  const bool measured = estimate.value > Duration::zero();
  return {.value = measured ? (previous * (kWeightDivisor - 1) + latency) / kWeightDivisor : latency,
          .updated_at = now};
}

LatencyEstimate AddUnansweredWait(const LatencyEstimate& estimate, Duration waited, TimePoint now) {
  return waited > CurrentLatency(estimate, now) ? AddAnswerLatency(estimate, waited, now) : estimate;
}

Duration CurrentLatency(const LatencyEstimate& estimate, TimePoint now) {
  const double half_lives = static_cast<double>((now - estimate.updated_at).count()) / kLatencyHalfLife.count();
  return Duration(static_cast<Duration::rep>(static_cast<double>(estimate.value.count()) * std::exp2(-half_lives)));
}

double ReplicaCost(const ReplicaCandidate& candidate) {
  const double requests_ahead = 1.0 + candidate.load_percent / 100.0 + candidate.outstanding;
  return static_cast<double>(std::max(candidate.latency, kLatencyFloor).count()) * requests_ahead;
}

std::optional<std::size_t> ChooseReplica(std::span<const ReplicaCandidate> candidates, std::uint64_t random) {
  const auto eligible = static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), IsEligible));
  if (eligible == 0) {
    return std::nullopt;
  }
  const std::size_t first = (random & 0xffffffffU) % eligible;
  const std::size_t a = NthAcceptedIndex(candidates, first, IsEligible);
  if (eligible == 1) {
    return a;
  }
  std::size_t second = (random >> 32U) % (eligible - 1);
  if (second >= first) {
    ++second;
  }
  const std::size_t b = NthAcceptedIndex(candidates, second, IsEligible);
  return IsBetter(candidates[b], candidates[a]) ? b : a;
}

std::optional<std::size_t> ChooseReplicaNaive(std::span<const ReplicaCandidate> candidates, std::uint64_t random) {
  const auto usable = static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), IsUsable));
  if (usable == 0) {
    return std::nullopt;
  }
  return NthAcceptedIndex(candidates, random % usable, IsUsable);
}

}  // namespace pimentomoor
