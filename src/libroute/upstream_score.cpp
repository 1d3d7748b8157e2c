// Implementation of the choice between the upstreams of a service.
#include "pimentomoor/upstream_score.h"

#include <algorithm>
#include <cmath>

namespace pimentomoor {

namespace {

constexpr double kLatencyWeight = 0.25;   // weight of a new sample in the moving average of `slowness`
constexpr double kFailureWeight = 0.3;    // weight of a new sample in the moving average of `failure_rate`
constexpr double kMaxLatencyRatio = 6.0;  // so that one pause doesn't outweigh many normal answers
constexpr double kFailureCost = 6.0;
constexpr double kLastResortCost = 100.0;
constexpr double kNoConnectionCost = 0.25;  // opening a connection takes several milliseconds
// The request and the answer cross failure domains, which costs time and bytes. Less than the cost of a full set of
// slots, so that an upstream of the own domain is preferred while it has a free slot, but not when it is slow or
// paused.
constexpr double kOtherDomainCost = 0.9;
// High enough that upstreams outside the subset are used only when those inside are much slower or unusable.
constexpr double kOutsideSubsetCost = 3.0;
// High enough that a request waits at a paced upstream only when no other one takes it; less than kLastResortCost.
constexpr double kNoRoomCost = 50.0;
constexpr Duration kMinBackoff = std::chrono::milliseconds(250);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

double DecayTowardsNeutral(double value, double neutral, TimePoint updated_at, Duration half_life, TimePoint now) {
  const double half_lives =
      std::chrono::duration<double>(now - updated_at) / std::chrono::duration<double>(half_life);
  return neutral + (value - neutral) * std::exp2(-std::max(half_lives, 0.0));
}

}  // namespace

double CurrentSlowness(const UpstreamSignals& signals, TimePoint now) {
  return DecayTowardsNeutral(signals.slowness, 1.0, signals.slowness_updated_at, kSlownessHalfLife, now);
}

double CurrentFailureRate(const UpstreamSignals& signals, TimePoint now) {
  return DecayTowardsNeutral(signals.failure_rate, 0.0, signals.failure_rate_updated_at, kFailureHalfLife, now);
}

void RecordLatency(UpstreamSignals& signals, Duration latency, Duration expected, TimePoint now) {
  const double ratio =
      std::min(kMaxLatencyRatio, std::chrono::duration<double>(latency) / std::chrono::duration<double>(expected));
  const double slowness = CurrentSlowness(signals, now);
  signals.slowness = slowness + kLatencyWeight * (ratio - slowness);
  signals.slowness_updated_at = now;
  signals.failure_rate = CurrentFailureRate(signals, now) * (1.0 - kFailureWeight);
  signals.failure_rate_updated_at = now;
  signals.connect_failures = 0;
  signals.backoff_until = TimePoint{};
}

void RecordFailure(UpstreamSignals& signals, TimePoint now) {
  const double rate = CurrentFailureRate(signals, now);
  signals.failure_rate = rate + kFailureWeight * (1.0 - rate);
  signals.failure_rate_updated_at = now;
}

void RecordConnectFailure(UpstreamSignals& signals, TimePoint now) {
  RecordFailure(signals, now);
  constexpr unsigned kMaxDoublings = 8;
  const Duration backoff = kMinBackoff * (std::int64_t{1} << std::min(signals.connect_failures, kMaxDoublings));
  signals.backoff_until = now + std::min(backoff, kMaxBackoff);
  ++signals.connect_failures;
}

double ScoreUpstream(const UpstreamCandidate& candidate, Duration expected) {
  const double age =
      std::chrono::duration<double>(candidate.oldest_unanswered) / std::chrono::duration<double>(expected);
  // An unanswered request that is younger than the expected latency says nothing; an older one shows that the
  // upstream is slow or has paused.
  const double slowness = std::max(candidate.slowness, age);
  const double load = 1.0 + static_cast<double>(candidate.unanswered) / static_cast<double>(candidate.slots);
  return slowness * load + kFailureCost * candidate.failure_rate + (candidate.last_resort ? kLastResortCost : 0.0) +
         (candidate.connection_ready ? 0.0 : kNoConnectionCost) + (candidate.same_domain ? 0.0 : kOtherDomainCost) +
         (candidate.in_subset ? 0.0 : kOutsideSubsetCost) + (candidate.has_room ? 0.0 : kNoRoomCost);
}

std::size_t ChooseUpstream(std::span<const UpstreamCandidate> candidates, Duration expected, std::size_t tie_break) {
  std::size_t best = 0;
  double best_score = 0;
  for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
    const std::size_t index = (tie_break + offset) % candidates.size();
    const double score = ScoreUpstream(candidates[index], expected);
    if (offset == 0 || score < best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

std::size_t ChooseUpstreamNaive(std::span<const UpstreamCandidate> candidates, Duration /*expected*/,
                                std::size_t tie_break) {
  return tie_break % candidates.size();
}

}  // namespace pimentomoor
