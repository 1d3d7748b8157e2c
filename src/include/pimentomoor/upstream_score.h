// Chooses between the searchers of a service by what this daemon sees of them: unanswered requests and their age,
// recent slowness and recent failures. Pure functions over plain structs, with a naive variant.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// What a daemon knows of one searcher. Times are relative to the expected latency of the request, so that kinds of
/// requests with different work share one value.
struct UpstreamSignals {
  double slowness = 1.0;            // smoothed latency / expected latency
  double failure_rate = 0.0;        // smoothed share of failed requests
  TimePoint slowness_updated_at{};  // of the last change; both values fade with time
  TimePoint failure_rate_updated_at{};
  TimePoint backoff_until{};  // no requests before, unless there is no other searcher
  unsigned connect_failures = 0;

  friend bool operator==(const UpstreamSignals&, const UpstreamSignals&) = default;
};

/// Half-lives after which a searcher without new samples is trusted again; traffic then probes it.
constexpr Duration kSlownessHalfLife = std::chrono::milliseconds(1'500);
constexpr Duration kFailureHalfLife = std::chrono::milliseconds(1'200);

void RecordLatency(UpstreamSignals& signals, Duration latency, Duration expected, TimePoint now);
void RecordFailure(UpstreamSignals& signals, TimePoint now);
/// A refused or timed out connection: the searcher rests for a time that doubles with each one in a row.
void RecordConnectFailure(UpstreamSignals& signals, TimePoint now);

double CurrentSlowness(const UpstreamSignals& signals, TimePoint now);
double CurrentFailureRate(const UpstreamSignals& signals, TimePoint now);

/// One searcher as it stands for a choice.
struct UpstreamCandidate {
  double slowness = 1.0;
  double failure_rate = 0.0;
  std::size_t unanswered = 0;    // requests of this daemon
  Duration oldest_unanswered{};  // age of the oldest of them
  std::size_t slots = 1;         // requests that the searcher runs at a time
  bool last_resort = false;
  bool connection_ready = true;  // false: the request would wait for a connection
  bool same_domain = true;       // in this daemon's failure domain
  bool in_subset = true;         // this daemon is one of its senders

  friend bool operator==(const UpstreamCandidate&, const UpstreamCandidate&) = default;
};

/// Expected cost of sending to the candidate; lower is better. `expected` is the usual latency of such a request.
double ScoreUpstream(const UpstreamCandidate& candidate, Duration expected);

/// Index of the candidate with the lowest score; `tie_break` rotates between equal ones. `candidates` is not empty.
std::size_t ChooseUpstream(std::span<const UpstreamCandidate> candidates, Duration expected, std::size_t tie_break);

/// Takes the candidates in turn, whatever is known of them.
std::size_t ChooseUpstreamNaive(std::span<const UpstreamCandidate> candidates, Duration expected,
                                std::size_t tie_break);

}  // namespace pimentomoor
