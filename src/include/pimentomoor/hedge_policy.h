// Decides when a sub-query is sent to a second replica and how many extra sub-queries the tier may send.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Histogram of recent latencies with logarithmic buckets. All counts are halved when the window is full, so a sample
/// loses weight with the number of later ones.
struct LatencyWindow {
  static constexpr std::uint32_t kBucketsPerOctave = 16;  // a quantile is at most 1/16 above the sample
  static constexpr std::uint32_t kOctaves = 26;           // 1 us to 67 s; others count in the outermost bucket
  static constexpr std::size_t kBuckets = std::size_t{kOctaves} * kBucketsPerOctave;
  static constexpr std::uint32_t kSampleWeight = 16;  // above 1, so that halving keeps single samples of the tail
  static constexpr std::uint32_t kMaxSamples = 4'096;

  std::array<std::uint32_t, kBuckets> weights{};
  std::uint32_t total = 0;  // sum of weights, at most kMaxSamples * kSampleWeight

  friend bool operator==(const LatencyWindow&, const LatencyWindow&) = default;
};

void Record(LatencyWindow& window, Duration latency);

/// Upper end of the bucket that holds the quantile, `quantile` in [0, 1]; nothing when the window is empty.
std::optional<Duration> Quantile(const LatencyWindow& window, double quantile);

struct HedgeSettings {
  bool enabled = true;
  double quantile = 0.95;
  Duration min_delay = std::chrono::milliseconds(2);  // a duplicate costs more than a shorter wait gains
  // A quarter of the default soft deadline: the answer to a later hedge comes too late for a tail-weighted query. It
  // is also the delay while there are too few samples; with 200 ms, services with few queries had no hedges at all.
  Duration max_delay = std::chrono::milliseconds(24);

  friend bool operator==(const HedgeSettings&, const HedgeSettings&) = default;
};

/// Samples below which the window says nothing about the tail: at 0.95, 20 samples hold one above the quantile.
constexpr std::uint32_t kMinHedgeSamples = 20;

/// How long a sub-query runs before it is hedged: the quantile of the window, within min_delay and max_delay. With
/// fewer than kMinHedgeSamples it is max_delay. Nothing when hedging is disabled.
std::optional<Duration> HedgeDelay(const LatencyWindow& window, const HedgeSettings& settings);

/// max_delay whatever the latencies are.
std::optional<Duration> HedgeDelayNaive(const LatencyWindow& window, const HedgeSettings& settings);

struct ExtraSubQueryBudgetSettings {
  double ratio = 0.05;  // extra sub-queries per first attempt
  double burst = 20;    // extra sub-queries that may be sent before any first attempt
  // Part of the burst that hedges may use. The rest is left to retries: a shard that gets no retry is missing in the
  // answer, and one that gets no hedge is only late.
  double hedge_share = 0.5;

  friend bool operator==(const ExtraSubQueryBudgetSettings&, const ExtraSubQueryBudgetSettings&) = default;
};

enum class ExtraSubQueryKind { kRetry, kHedge };

/// Token bucket shared by retries and hedges. A new one is full. The number spent never exceeds
/// burst + ratio * earned, and that of hedges never hedge_share * burst + ratio * earned, whatever becomes of the
/// sub-queries.
struct ExtraSubQueryBudget {
  // Tokens taken from the full bucket, in millionths: integers keep the bound exact over any number of calls.
  std::int64_t deficit_millionths = 0;

  friend bool operator==(const ExtraSubQueryBudget&, const ExtraSubQueryBudget&) = default;
};

/// Call for each first attempt of a sub-query.
void RefillForFirstAttempt(ExtraSubQueryBudget& budget, const ExtraSubQueryBudgetSettings& settings);

/// Takes one token. Returns false when none is left for this use; then the retry or hedge must not be sent.
bool TryTakeToken(ExtraSubQueryBudget& budget, const ExtraSubQueryBudgetSettings& settings, ExtraSubQueryKind use);

/// Always allows it.
bool TryTakeTokenNaive(ExtraSubQueryBudget& budget, const ExtraSubQueryBudgetSettings& settings,
                       ExtraSubQueryKind use);

}  // namespace pimentomoor
