// Arrival times of an open-loop load and percentiles of its latencies. Pure functions.
#pragma once

#include <cstdint>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

enum class ArrivalKind { kPoisson, kFixed };

constexpr Duration kMaxLoadDuration = std::chrono::seconds(60);
constexpr std::size_t kMaxArrivals = 1'000'000;  // bounds memory: a latency and the state of a query for each arrival

/// Returns offsets from the start of the load, ascending and below `duration`, with `rate` arrivals per second on
/// average. The same seed gives the same offsets. Throws std::invalid_argument for a rate or duration that is not
/// positive, a duration above kMaxLoadDuration, or more than kMaxArrivals arrivals.
std::vector<Duration> ArrivalTimes(ArrivalKind kind, double rate, Duration duration, std::uint64_t seed);

/// Returns the nearest-rank percentile: the smallest value that at least `percent` % of the values don't exceed.
/// `sorted` is in ascending order. Returns 0 for an empty vector.
Duration Percentile(const std::vector<Duration>& sorted, double percent);

}  // namespace pimentomoor
