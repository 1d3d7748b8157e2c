// Implementation of the latency window, the hedge delay and the budget of extra sub-queries.
#include "pimentomoor/hedge_policy.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace pimentomoor {

namespace {

constexpr std::uint32_t kSubBits = std::countr_zero(LatencyWindow::kBucketsPerOctave);
constexpr std::int64_t kMillion = 1'000'000;
constexpr std::int64_t kMicrosecond = 1'000;  // in units of Duration
constexpr std::int64_t kLongest = kMicrosecond << LatencyWindow::kOctaves;
constexpr double kMaxSetting = 1e12;  // in millionths it still fits 64 bits

// Octave o covers [2^o, 2^(o+1)) microseconds, in kBucketsPerOctave equal parts.
std::size_t BucketOf(Duration latency) {
  const std::int64_t clamped = std::clamp(latency.count(), kMicrosecond, kLongest);
  const std::uint64_t in_parts = (static_cast<std::uint64_t>(clamped) << kSubBits) / kMicrosecond;
  const auto octave = static_cast<std::uint32_t>(std::bit_width(in_parts)) - 1 - kSubBits;
  const std::uint64_t part = (in_parts >> octave) - LatencyWindow::kBucketsPerOctave;
  return std::min<std::size_t>((std::size_t{octave} << kSubBits) + part, LatencyWindow::kBuckets - 1);
}

Duration BucketEnd(std::size_t bucket) {
  const std::uint64_t octave = bucket >> kSubBits;
  const std::uint64_t part = bucket & (LatencyWindow::kBucketsPerOctave - 1);
  const std::uint64_t parts_us = (LatencyWindow::kBucketsPerOctave + part + 1) << octave;
  return Duration(static_cast<std::int64_t>((parts_us * kMicrosecond) >> kSubBits));
}

void Halve(LatencyWindow& window) {
  window.total = 0;
  for (std::uint32_t& weight : window.weights) {
    weight /= 2;
    window.total += weight;
  }
}

std::int64_t Millionths(double value) {
  return std::isnan(value) ? 0 : static_cast<std::int64_t>(std::clamp(value, 0.0, kMaxSetting) * kMillion);
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
  const double wanted = std::clamp(quantile, 0.0, 1.0) * window.total;
  std::uint32_t sum = 0;
  for (std::size_t bucket = 0; bucket < LatencyWindow::kBuckets; ++bucket) {
    sum += window.weights[bucket];
    if (sum > 0 && sum >= wanted) {
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
  budget.deficit_millionths = std::max<std::int64_t>(0, budget.deficit_millionths - Millionths(settings.ratio));
}

bool TryTakeToken(ExtraSubQueryBudget& budget, const ExtraSubQueryBudgetSettings& settings, ExtraSubQueryKind use) {
  const double limit = use == ExtraSubQueryKind::kHedge ? settings.burst * settings.hedge_share : settings.burst;
  if (budget.deficit_millionths + kMillion > Millionths(limit)) {
    return false;
  }
  budget.deficit_millionths += kMillion;
  return true;
}

bool TryTakeTokenNaive(ExtraSubQueryBudget& /*budget*/, const ExtraSubQueryBudgetSettings& /*settings*/,
                       ExtraSubQueryKind /*use*/) {
  return true;
}

}  // namespace pimentomoor
