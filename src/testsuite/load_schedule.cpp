// Generates arrival times and computes percentiles.
#include "load_schedule.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <stdexcept>
#include <string>

namespace pimentomoor {

std::vector<Duration> ArrivalTimes(ArrivalKind kind, double rate, Duration duration, std::uint64_t seed) {
  if (!(rate > 0) || duration <= Duration{} || duration > kMaxLoadDuration) {
    throw std::invalid_argument("load schedule: rate " + std::to_string(rate) + " and duration " +
                                std::to_string(std::chrono::duration<double>(duration).count()) +
                                " s must be positive, and the duration at most 60 s");
  }
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(rate);
  std::vector<Duration> times;
  double at = kind == ArrivalKind::kPoisson ? gap(random) : 0;
  for (;;) {
    const auto offset = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
    if (offset >= duration) {
      return times;
    }
    if (times.size() == kMaxArrivals) {
      throw std::invalid_argument("load schedule: more than " + std::to_string(kMaxArrivals) + " arrivals");
    }
    times.push_back(offset);
    at = kind == ArrivalKind::kPoisson ? at + gap(random) : static_cast<double>(times.size()) / rate;
  }
}

Duration Percentile(const std::vector<Duration>& sorted, double percent) {
  if (sorted.empty()) {
    return {};
  }
  // Without the subtraction, a floating-point error could round up an exact rank, such as 99.9% of 1,000.
  const double rank = std::ceil(percent * static_cast<double>(sorted.size()) / 100 - 1e-9);
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

}  // namespace pimentomoor
