// Chooses between the upstreams of a service by what this daemon observes of them: unanswered requests and their age,
// recent latencies and recent failures.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// What a daemon has observed of one upstream. Latencies are divided by the expected latency of their request, so
/// that requests with different amounts of work share one value.
struct UpstreamSignals {
  double slowness = 1.0;                // moving average of latency / expected latency
  double failure_rate = 0.0;            // moving average of the share of failed requests
  TimePoint slowness_updated_at{};      // time of the last update of `slowness`, which decays towards 1
  TimePoint failure_rate_updated_at{};  // time of the last update of `failure_rate`, which decays towards 0
  TimePoint backoff_until{};            // no requests are sent before this time unless there is no other upstream
  unsigned connect_failures = 0;        // consecutive failed connection attempts

  friend bool operator==(const UpstreamSignals&, const UpstreamSignals&) = default;
};

/// Half-lives with which `slowness` and `failure_rate` decay, so that an upstream without new samples gets requests
/// again, which then probe it.
constexpr Duration kSlownessHalfLife = std::chrono::milliseconds(1'500);
constexpr Duration kFailureHalfLife = std::chrono::milliseconds(1'200);

/// Records the latency of an answer. `expected` is the usual latency of such a request. Also lowers the failure rate
/// and ends the backoff.
void RecordLatency(UpstreamSignals& signals, Duration latency, Duration expected, TimePoint now);
/// Records a failed request.
void RecordFailure(UpstreamSignals& signals, TimePoint now);
/// Records a connection that was refused or timed out. The backoff doubles with each consecutive failure.
void RecordConnectFailure(UpstreamSignals& signals, TimePoint now);

/// The decayed value of `slowness` or `failure_rate` at `now`.
double CurrentSlowness(const UpstreamSignals& signals, TimePoint now);
double CurrentFailureRate(const UpstreamSignals& signals, TimePoint now);

/// The state of one upstream at the time of a choice.
struct UpstreamCandidate {
  double slowness = 1.0;         // result of CurrentSlowness()
  double failure_rate = 0.0;     // result of CurrentFailureRate()
  std::size_t unanswered = 0;    // unanswered requests of this daemon, including those that wait for a connection
  Duration oldest_unanswered{};  // age of the oldest unanswered request
  std::size_t slots = 1;         // requests that the upstream runs at once
  // The upstream is in backoff or its entry in the store is gone. Its cost excludes it while others are available.
  bool last_resort = false;
  bool connection_ready = true;  // false: the request would have to wait for a connection
  bool same_domain = true;       // the upstream is in this daemon's failure domain
  bool in_subset = true;         // the upstream is in this daemon's UpstreamSubset
  bool has_room = true;          // false: the upstream's pace lets no further request be sent now

  friend bool operator==(const UpstreamCandidate&, const UpstreamCandidate&) = default;
};

/// Expected cost of sending a request to the candidate; lower is better. `expected` is the usual latency of such a
/// request.
double ScoreUpstream(const UpstreamCandidate& candidate, Duration expected);

/// Index of the candidate with the lowest score. Of equal scores, `tie_break` decides: a counter makes them take
/// turns. `candidates` must not be empty.
std::size_t ChooseUpstream(std::span<const UpstreamCandidate> candidates, Duration expected, std::size_t tie_break);

/// Chooses the candidates in turn, whatever their state is; the baseline in tests.
std::size_t ChooseUpstreamNaive(std::span<const UpstreamCandidate> candidates, Duration expected,
                                std::size_t tie_break);

}  // namespace pimentomoor
