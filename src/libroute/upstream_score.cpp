// Implementation of the choice between searchers.
#include "pimentomoor/upstream_score.h"

#include <algorithm>
#include <cmath>

namespace pimentomoor {

namespace {

constexpr double kLatencyWeight = 0.25;
constexpr double kFailureWeight = 0.3;
constexpr double kMaxRatio = 6.0;  // one pause must not outweigh many normal answers
constexpr double kFailureCost = 6.0;
constexpr double kRestingCost = 100.0;
constexpr double kConnectCost = 0.25;      // a new connection costs several milliseconds
constexpr double kOtherDomainCost = 0.15;  // two crossings between failure domains, and their bytes
// High enough that other daemons' searchers are used only when the own ones are much slower or unusable.
constexpr double kOutsideShareCost = 3.0;
constexpr Duration kMinRest = std::chrono::milliseconds(250);
constexpr Duration kMaxRest = std::chrono::seconds(2);

double Fade(double value, double neutral, TimePoint since, Duration half_life, TimePoint now) {
  const double halves = std::chrono::duration<double>(now - since) / std::chrono::duration<double>(half_life);
  return neutral + (value - neutral) * std::exp2(-std::max(halves, 0.0));
}

}  // namespace

double CurrentSlowness(const UpstreamSignals& signals, TimePoint now) {
  return Fade(signals.slowness, 1.0, signals.slowness_updated_at, kSlownessHalfLife, now);
}

double CurrentFailureRate(const UpstreamSignals& signals, TimePoint now) {
  return Fade(signals.failure_rate, 0.0, signals.failure_rate_updated_at, kFailureHalfLife, now);
}

void RecordLatency(UpstreamSignals& signals, Duration latency, Duration expected, TimePoint now) {
  const double ratio =
      std::min(kMaxRatio, std::chrono::duration<double>(latency) / std::chrono::duration<double>(expected));
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
  const Duration rest = kMinRest * (std::int64_t{1} << std::min(signals.connect_failures, kMaxDoublings));
  signals.backoff_until = now + std::min(rest, kMaxRest);
  ++signals.connect_failures;
}

double ScoreUpstream(const UpstreamCandidate& candidate, Duration expected) {
  const double age =
      std::chrono::duration<double>(candidate.oldest_unanswered) / std::chrono::duration<double>(expected);
  // Below the expected latency an unanswered request says nothing; beyond it, the searcher is slow or pausing.
  const double slowness = std::max(candidate.slowness, age);
  const double load = 1.0 + static_cast<double>(candidate.unanswered) / static_cast<double>(candidate.slots);
  return slowness * load + kFailureCost * candidate.failure_rate + (candidate.last_resort ? kRestingCost : 0.0) +
         (candidate.connection_ready ? 0.0 : kConnectCost) + (candidate.same_domain ? 0.0 : kOtherDomainCost) +
         (candidate.in_subset ? 0.0 : kOutsideShareCost);
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
