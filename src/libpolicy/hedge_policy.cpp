// Implementation of the latency window, the hedge delay and the budget of extra sub-queries.
#include "pimentomoor/hedge_policy.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace pimentomoor {

namespace {

constexpr std::uint32_t kBucketsPerOctaveLog2 = std::countr_zero(LatencyWindow::kBucketsPerOctave);
constexpr std::int64_t kMillion = 1'000'000;
constexpr std::int64_t kNanosecondsPerMicrosecond = 1'000;  // the unit of Duration is the nanosecond
constexpr std::int64_t kMaxTrackedNanoseconds = kNanosecondsPerMicrosecond << LatencyWindow::kOctaves;
constexpr double kMaxTokens = 1e12;  // larger settings are clamped: in millionths, they would overflow 64 bits

// Index of the bucket of a latency. Octave o covers [2^o, 2^(o+1)) microseconds and is divided into kBucketsPerOctave
// equal buckets.
std::size_t BucketOf(Duration latency) {
  const std::int64_t clamped = std::clamp(latency.count(), kNanosecondsPerMicrosecond, kMaxTrackedNanoseconds);
  const std::uint64_t scaled_us =
      (static_cast<std::uint64_t>(clamped) << kBucketsPerOctaveLog2) / kNanosecondsPerMicrosecond;
  const auto octave = static_cast<std::uint32_t>(std::bit_width(scaled_us)) - 1 - kBucketsPerOctaveLog2;
  const std::uint64_t bucket_in_octave = (scaled_us >> octave) - LatencyWindow::kBucketsPerOctave;
  return std::min<std::size_t>((std::size_t{octave} << kBucketsPerOctaveLog2) + bucket_in_octave,
                               LatencyWindow::kBuckets - 1);
}

// Upper end of the range of latencies that a bucket covers.
Duration BucketEnd(std::size_t bucket) {
  const std::uint64_t octave = bucket >> kBucketsPerOctaveLog2;
  const std::uint64_t bucket_in_octave = bucket & (LatencyWindow::kBucketsPerOctave - 1);
  const std::uint64_t scaled_end_us = (LatencyWindow::kBucketsPerOctave + bucket_in_octave + 1) << octave;
  return Duration(static_cast<std::int64_t>((scaled_end_us * kNanosecondsPerMicrosecond) >> kBucketsPerOctaveLog2));
}

void Halve(LatencyWindow& window) {
  window.total = 0;
  for (std::uint32_t& weight : window.weights) {
    weight /= 2;
    window.total += weight;
  }
}

std::int64_t ToMillionths(double value) {
  return std::isnan(value) ? 0 : static_cast<std::int64_t>(std::clamp(value, 0.0, kMaxTokens) * kMillion);
}

}  // namespace

void Record(LatencyWindow& window, Duration latency) {
  if (window.total >= LatencyWindow::kMaxSamples * LatencyWindow::kSampleWeight) {
    Halve(window);
  }
  window.weights[BucketOf(latency)] += LatencyWindow::kSampleWeight;
  window.total += LatencyWindow::kSampleWeight;
}

std::optional<Duration> Quantile(const LatencyWindow& window, double quantile) {
  if (window.total == 0) {
    return std::nullopt;
  }
  const double target_weight = std::clamp(quantile, 0.0, 1.0) * window.total;
  std::uint32_t sum = 0;
  for (std::size_t bucket = 0; bucket < LatencyWindow::kBuckets; ++bucket) {
    sum += window.weights[bucket];
    if (sum > 0 && sum >= target_weight) {
      return BucketEnd(bucket);
    }
  }
  return BucketEnd(LatencyWindow::kBuckets - 1);
}

std::optional<Duration> HedgeDelay(const LatencyWindow& window, const HedgeSettings& settings) {
  if (!settings.enabled) {
    return std::nullopt;
  }
  if (window.total < kMinHedgeSamples * LatencyWindow::kSampleWeight) {
    return settings.max_delay;
  }
  const Duration delay = Quantile(window, settings.quantile).value_or(settings.max_delay);
  return std::min(std::max(delay, settings.min_delay), settings.max_delay);
}

std::optional<Duration> HedgeDelayNaive(const LatencyWindow& /*window*/, const HedgeSettings& settings) {
  return settings.enabled ? std::optional(settings.max_delay) : std::nullopt;
}

void RefillForFirstAttempt(ExtraSubQueryBudget& budget, const ExtraSubQueryBudgetSettings& settings) {
  budget.deficit_millionths = std::max<std::int64_t>(0, budget.deficit_millionths - ToMillionths(settings.ratio));
}

bool TryTakeToken(ExtraSubQueryBudget& budget, const ExtraSubQueryBudgetSettings& settings, ExtraSubQueryKind kind) {
  const double limit = kind == ExtraSubQueryKind::kHedge ? settings.burst * settings.hedge_share : settings.burst;
  if (budget.deficit_millionths + kMillion > ToMillionths(limit)) {
    return false;
  }
  budget.deficit_millionths += kMillion;
  return true;
}

bool TryTakeTokenNaive(ExtraSubQueryBudget& /*budget*/, const ExtraSubQueryBudgetSettings& /*settings*/,
                       ExtraSubQueryKind /*kind*/) {
  return true;
}

}  // namespace pimentomoor
