// Decides when a sub-query is hedged (sent to a second replica as well) and how many extra sub-queries, which are
// retries and hedges, an entry may send.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Histogram of recent latencies with logarithmic buckets. All weights are halved when the window is full, so that
/// older samples count less and less.
struct LatencyWindow {
  static constexpr std::uint32_t kBucketsPerOctave = 16;  // Quantile() exceeds the exact value by at most 1/16
  static constexpr std::uint32_t kOctaves = 26;  // from 1 us to 67 s; other latencies count in the nearest bucket
  static constexpr std::size_t kBuckets = std::size_t{kOctaves} * kBucketsPerOctave;
  static constexpr std::uint32_t kSampleWeight = 16;  // above 1, so that a single sample of the tail survives halving
  static constexpr std::uint32_t kMaxSamples = 4'096;

  std::array<std::uint32_t, kBuckets> weights{};
  std::uint32_t total = 0;  // sum of `weights`, at most kMaxSamples * kSampleWeight

  friend bool operator==(const LatencyWindow&, const LatencyWindow&) = default;
};

/// Adds a latency to the histogram.
void Record(LatencyWindow& window, Duration latency);

/// Upper end of the bucket that holds the quantile; `quantile` is in [0, 1]. Empty when the window has no samples.
std::optional<Duration> Quantile(const LatencyWindow& window, double quantile);

/// When sub-queries are hedged.
struct HedgeSettings {
  bool enabled = true;
  double quantile = 0.95;  // a sub-query that runs for longer than this quantile of the latencies is hedged
  // With a shorter delay, the duplicates cost more load than the shorter wait gains.
  Duration min_delay = std::chrono::milliseconds(2);
  // A quarter of the default soft deadline: the answer to a later hedge comes too late when incomplete answers are
  // sent at the soft deadline. Also the delay while there are too few samples; with 200 ms, services with few queries
  // were never hedged.
  Duration max_delay = std::chrono::milliseconds(24);

  friend bool operator==(const HedgeSettings&, const HedgeSettings&) = default;
};

/// Number of samples below which the window says nothing about the tail: of 20 samples, one lies above the quantile
/// of 0.95.
constexpr std::uint32_t kMinHedgeSamples = 20;

/// Time after which a running sub-query is hedged: the quantile of the window, clamped to min_delay and max_delay, or
/// max_delay with fewer than kMinHedgeSamples samples. Empty when hedging is disabled.
std::optional<Duration> HedgeDelay(const LatencyWindow& window, const HedgeSettings& settings);

/// Always max_delay, whatever the latencies are; empty when hedging is disabled.
std::optional<Duration> HedgeDelayNaive(const LatencyWindow& window, const HedgeSettings& settings);

/// Size of the budget of extra sub-queries.
struct ExtraSubQueryBudgetSettings {
  double ratio = 0.05;  // extra sub-queries allowed per first attempt
  double burst = 20;    // extra sub-queries allowed beyond the ratio; the capacity of the token bucket
  // Share of the burst that hedges may use. The rest is reserved for retries: a shard without a retry is missing in
  // the answer, while a shard without a hedge is only late.
  double hedge_share = 0.5;

  friend bool operator==(const ExtraSubQueryBudgetSettings&, const ExtraSubQueryBudgetSettings&) = default;
};

/// Reason for an extra sub-query.
enum class ExtraSubQueryKind { kRetry, kHedge };

/// Token bucket that retries and hedges share; a new bucket is full.
///
/// Invariant: after n first attempts, at most burst + ratio * n tokens have been taken, of which hedges have taken at
/// most hedge_share * burst + ratio * n, whatever the outcome of the sub-queries.
struct ExtraSubQueryBudget {
  // Tokens missing from the full bucket, in millionths of a token. An integer keeps the invariant exact over any
  // number of calls.
  std::int64_t deficit_millionths = 0;

  friend bool operator==(const ExtraSubQueryBudget&, const ExtraSubQueryBudget&) = default;
};

/// Adds `ratio` tokens. Call it for each first attempt of a sub-query.
void RefillForFirstAttempt(ExtraSubQueryBudget& budget, const ExtraSubQueryBudgetSettings& settings);

/// Takes one token for an extra sub-query. Returns false when no token is left for this kind; the retry or hedge must
/// then not be sent.
bool TryTakeToken(ExtraSubQueryBudget& budget, const ExtraSubQueryBudgetSettings& settings, ExtraSubQueryKind kind);

/// Allows every extra sub-query; the baseline in tests.
bool TryTakeTokenNaive(ExtraSubQueryBudget& budget, const ExtraSubQueryBudgetSettings& settings,
                       ExtraSubQueryKind kind);

}  // namespace pimentomoor
