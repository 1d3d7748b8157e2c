// Delays before the retries of a failed call.
#pragma once

#include <algorithm>
#include <random>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Returns the delay before retry `attempt`, counted from 0. The full delay doubles from `min` up to `max`; the
/// result lies between half of it and all of it, in proportion to `random` in [0, 1), so that clients that failed
/// together do not retry together.
constexpr Duration BackoffDelay(unsigned attempt, Duration min, Duration max, double random) {
  constexpr unsigned kMaxDoublings = 20;  // keeps the product below from overflowing
  const Duration full = std::min(max, min * (std::int64_t{1} << std::min(attempt, kMaxDoublings)));
  const Duration half = full / 2;
  return half + Duration(static_cast<Duration::rep>(static_cast<double>(half.count()) * random));
}

/// Source of random numbers in [0, 1) for BackoffDelay(), seeded by the system.
class Jitter {
 public:
  double operator()() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

 private:
  std::mt19937_64 engine_{std::random_device{}()};
};

}  // namespace pimentomoor
