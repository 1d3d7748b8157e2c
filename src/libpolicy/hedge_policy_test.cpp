// Tests of the latency window, the hedge delay and the budget of extra sub-queries.
#include "pimentomoor/hedge_policy.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <random>
#include <vector>

#include "CppUTest/TestHarness.h"  // after the others: its macro "new" breaks standard headers
#include "property.h"

namespace pimentomoor {

using std::chrono::milliseconds;

TEST_GROUP(HedgePolicy){};

// Guards against a quantile that lies below the quantile of the sorted samples or more than the width of a bucket
// above it.
TEST(HedgePolicy, QuantileMatchesSortedSamples) {
  CHECK(CheckProperty(1'000, "quantile", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::vector<std::int64_t> samples(1 + random() % 300);
    LatencyWindow window;
    for (std::int64_t& sample : samples) {
      sample = static_cast<std::int64_t>(1'000 + random() % (std::uint64_t{1} << (random() % 35)));
      Record(window, Duration(sample));
    }
    std::sort(samples.begin(), samples.end());
    const double quantile = static_cast<double>(random() % 101) / 100;
    const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(samples.size())));
    const std::int64_t exact = samples[std::max<std::size_t>(rank, 1) - 1];
    const std::int64_t estimate = Quantile(window, quantile)->count();
    RC_ASSERT(estimate >= exact);
    RC_ASSERT(estimate <= exact + exact / LatencyWindow::kBucketsPerOctave + 1);
  }));
}

// Guards against a window that never forgets old latencies, and against an index out of range for latencies outside
// the tracked range.
TEST(HedgePolicy, WindowForgetsOldLatenciesAndAcceptsExtremes) {
  LatencyWindow window;
  CHECK(!Quantile(window, 0.5));
  for (std::uint32_t i = 0; i < 20 * LatencyWindow::kMaxSamples; ++i) {
    Record(window, milliseconds(i < 18 * LatencyWindow::kMaxSamples ? 50 : 5));
  }
  CHECK(*Quantile(window, 0.8) < milliseconds(6));
  Record(window, Duration::max());
  Record(window, Duration::min());
  CHECK(*Quantile(window, 0) <= std::chrono::microseconds(2));
  CHECK(*Quantile(window, 1) >= std::chrono::seconds(60));
}

// Guards against a hedge delay outside its limits, a delay derived from too few samples, and a hedge although hedging
// is disabled.
TEST(HedgePolicy, DelayStaysWithinLimits) {
  const HedgeSettings settings;
  for (const Duration typical : {milliseconds(0), milliseconds(10), milliseconds(500)}) {
    LatencyWindow window;
    for (std::uint32_t samples = 0; samples < kMinHedgeSamples; ++samples) {
      CHECK(HedgeDelay(window, settings) == settings.max_delay);
      Record(window, typical);
    }
    const Duration delay = *HedgeDelay(window, settings);
    CHECK(delay >= std::clamp(typical, settings.min_delay, settings.max_delay));
    CHECK(delay <= std::clamp(typical + typical / 16, settings.min_delay, settings.max_delay));
    CHECK(!HedgeDelay(window, {.enabled = false}));
  }
}

// Guards against retry storms: however sub-queries fail, extra sub-queries stay within burst + ratio * first
// attempts, and the budget fills again afterwards. Also guards against hedges that leave no tokens for retries.
TEST(HedgePolicy, ExtraSubQueriesStayWithinTheBudget) {
  CHECK(CheckProperty(1'000, "budget", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const auto ratio_percent = static_cast<std::uint32_t>(random() % 100);
    const auto burst = static_cast<std::uint32_t>(random() % 30);
    const ExtraSubQueryBudgetSettings settings{.ratio = ratio_percent / 100.0, .burst = static_cast<double>(burst)};
    ExtraSubQueryBudget budget;
    std::uint32_t tokens_taken = 0;
    std::uint32_t hedges = 0;
    for (std::uint32_t first_attempts = 1; first_attempts < 1'000; ++first_attempts) {
      RefillForFirstAttempt(budget, settings);
      for (std::uint64_t tries = random() % 4; tries > 0; --tries) {
        const bool hedge = random() % 2 == 0;
        const bool allowed =
            TryTakeToken(budget, settings, hedge ? ExtraSubQueryKind::kHedge : ExtraSubQueryKind::kRetry);
        tokens_taken += allowed ? 1 : 0;
        hedges += allowed && hedge ? 1 : 0;
      }
      RC_ASSERT(tokens_taken * 100 <= burst * 100 + ratio_percent * first_attempts);
      RC_ASSERT(hedges * 200 <= burst * 100 + ratio_percent * 2 * first_attempts);  // hedge_share is 0.5
    }
    RC_ASSERT(tokens_taken >= burst);
    for (int i = 0; i < 100; ++i) {
      RefillForFirstAttempt(budget, settings);
    }
    RC_ASSERT(TryTakeToken(budget, settings, ExtraSubQueryKind::kRetry) == (burst > 0 && ratio_percent > 0));
    ExtraSubQueryBudget drained_by_hedges;
    while (TryTakeToken(drained_by_hedges, settings, ExtraSubQueryKind::kHedge)) {
    }
    for (std::uint32_t i = 0; i < burst - burst / 2; ++i) {
      RC_ASSERT(TryTakeToken(drained_by_hedges, settings, ExtraSubQueryKind::kRetry));
    }
  }));
}

}  // namespace pimentomoor
