// Decides how many requests an upstream may run at once: its slots, a ramp after a cold start, drains, and probes of
// an upstream whose connections fail.
//
// Only the owner of an upstream (the daemon that sends the requests of all daemons to it) holds its UpstreamState, so
// the counters cover the whole fleet. The functions are pure; `now` must not decrease between calls.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Phase of an upstream in its owner's view.
enum class UpstreamPhase {
  kCold,      // runs at most UpstreamLimits::cold_concurrency_limit requests at once
  kWarming,   // the concurrency limit grows towards that of kWarm
  kWarm,      // the concurrency limit is the lower of slots and connections
  kDraining,  // gets no new requests until a new incarnation appears or the host list shows that it left and returned
  kDown,      // connections fail: gets one request per UpstreamLimits::probe_interval as a probe
};

/// Name of the phase, as in logs and status answers.
std::string_view ToString(UpstreamPhase phase);

/// Limits of one upstream and the thresholds of its phases.
struct UpstreamLimits {
  std::uint32_t slots = 3;                   // requests that the upstream runs at once
  std::uint32_t connections = 30;            // connections that it accepts; a running request occupies one
  std::uint32_t max_queue = 64;              // requests that may wait at the owner
  std::uint32_t cold_concurrency_limit = 1;  // requests that a cold upstream may run at once
  // Shortest time between two raises of the concurrency limit.
  Duration ramp_interval = std::chrono::milliseconds(500);
  Duration probe_interval = std::chrono::seconds(1);  // shortest time between two probes of a down upstream
  double slow_latency_factor = 4;                     // an answer is slow above this multiple of the median latency
  // Number of consecutive slow answers that make the upstream cold. With 5% slow queries and 32,667 answers a second,
  // a run of 5 occurs by chance every 100 s and a run of 8 every 9 days.
  std::uint32_t cold_after_slow_answers = 8;
  // Time for which a request counts as running after its connection was lost before the answer.
  Duration lost_connection_hold = std::chrono::seconds(1);
  // Time for which a request counts as running after its deadline passed without an answer. Upstreams stop work at
  // the deadline that the request names, so the hold only covers a late stop. With lost_connection_hold instead, one
  // late answer made a cold upstream unusable for a second, and its shards were missing in the answers.
  Duration timeout_hold = std::chrono::milliseconds(100);
  // Time after a shed answer in which no request starts. Without it, an upstream that sheds at the cold concurrency
  // limit would get requests as fast as it refuses them.
  Duration shed_pause = std::chrono::milliseconds(100);
  // Number of consecutive connection failures that make the upstream down. The first failure makes it cold, because
  // the upstream may have restarted.
  std::uint32_t down_after_failures = 2;

  friend bool operator==(const UpstreamLimits&, const UpstreamLimits&) = default;
};

/// The latest latencies of a warm upstream and their median, against which slow answers are detected.
struct LatencyBaseline {
  // At least twice the default cold_after_slow_answers, so that a run of slow answers doesn't move the median with
  // which they are compared.
  static constexpr std::uint32_t kSamples = 32;

  std::array<Duration, kSamples> samples{};  // ring buffer
  std::uint32_t count = 0;                   // number of valid samples, at most kSamples
  std::uint32_t next = 0;                    // position in `samples` that is overwritten next
  Duration median{};                         // median of the samples at its latest update; 0: too few samples

  friend bool operator==(const LatencyBaseline&, const LatencyBaseline&) = default;
};

/// What the owner knows of one upstream.
struct UpstreamState {
  UpstreamPhase phase = UpstreamPhase::kCold;
  std::uint32_t concurrency_limit = 1;  // limit of the ramp; ConcurrencyLimit() applies phase and limits
  // Concurrency limit that applies from the first good answer of `incarnation` on; 0: the ramp applies. Nonzero only
  // while the upstream is cold after a handover.
  std::uint32_t resumed_concurrency_limit = 0;
  std::uint32_t running = 0;      // requests started and not yet finished; OccupiedSlots() adds the abandoned ones
  std::uint64_t incarnation = 0;  // incarnation of the upstream in its last answer; 0: none seen

  // Time at which each abandoned request (one that may still run although its answer is no longer expected) stops
  // counting. Ascending, at most UpstreamLimits::slots entries.
  std::vector<TimePoint> abandoned;
  TimePoint cold_since{};         // time at which the upstream last became cold or down
  TimePoint last_raise{};         // time of the last raise of the concurrency limit; not before cold_since
  TimePoint last_start{};         // time at which the last request started
  TimePoint pause_until{};        // no request starts before this time, after a shed answer
  TimePoint incarnation_since{};  // time at which an answer first named `incarnation`

  // Incarnation that OnIncarnationHint() does not take for a new one: the last hint, or the previous `incarnation`.
  std::uint64_t hinted_incarnation = 0;
  std::uint32_t consecutive_connection_failures = 0;
  std::uint32_t consecutive_slow_answers = 0;
  LatencyBaseline baseline;
  bool listed = true;            // the host list contains the upstream
  bool leave_confirmed = false;  // while draining: the host list has shown the upstream as leaving or gone

  friend bool operator==(const UpstreamState&, const UpstreamState&) = default;
};

/// Outcome of one request that was started at an upstream.
enum class AttemptResult {
  kOk,              // a whole answer without an error
  kShed,            // the upstream refused the request before it ran, for example with status 503
  kConnectFailed,   // no connection was established, so nothing was sent
  kNotSent,         // the owner stopped the request before it was written: says nothing about the upstream
  kConnectionLost,  // the connection was lost after the request was sent: it may still run
  kTimeout,         // no answer came in time, or the owner closed the connection: the request may still run
  kError,           // the upstream answered with an error
  kWrongSnapshot,   // the upstream doesn't hold the shard in the query's snapshot
};

/// What one finished request tells about its upstream.
struct AttemptReport {
  AttemptResult result = AttemptResult::kOk;
  Duration latency{};  // time from OnStart() to OnFinish(); OnFinish() derives the start of the request from it
  std::uint64_t incarnation = 0;  // incarnation named by the answer; 0: no answer, or none named
  bool cold = false;              // the answer says that the upstream is cold
  bool draining = false;          // the answer says that the upstream is draining

  friend bool operator==(const AttemptReport&, const AttemptReport&) = default;
};

/// The state with which an owner starts: cold.
UpstreamState InitialUpstreamState(TimePoint now);

/// The state after a takeover from an owner that was alive and had no request left at the upstream.
/// `concurrency_limit` and `incarnation` are what the previous owner knew. The upstream may have restarted meanwhile,
/// so it starts cold and gets the concurrency limit with the first good answer of that incarnation. Without an
/// incarnation (0), or with a limit that is not above the cold one, the result is the initial state.
UpstreamState TakenOverUpstreamState(const UpstreamLimits& limits, std::uint32_t concurrency_limit,
                                     std::uint64_t incarnation, TimePoint now);

/// Number of requests that may run at once in the current phase; never above slots or connections. 0 while draining,
/// at most 1 while down.
std::uint32_t ConcurrencyLimit(const UpstreamState& state, const UpstreamLimits& limits);

/// Number of requests that occupy a slot at the upstream: those that run and those that were abandoned and may still
/// run.
std::uint32_t OccupiedSlots(const UpstreamState& state, TimePoint now);

/// Whether another request may start now.
bool MayStart(const UpstreamState& state, const UpstreamLimits& limits, TimePoint now);

/// Ignores phase and abandoned requests: any upstream with a free slot may get a request. The baseline in tests.
bool MayStartNaive(const UpstreamState& state, const UpstreamLimits& limits, TimePoint now);

/// Whether a request may wait at the owner behind `queued` others. No request may wait for a draining upstream, and
/// for a down one only the request that can start at once as the next probe.
bool MayQueue(const UpstreamState& state, const UpstreamLimits& limits, std::uint32_t queued, TimePoint now);

/// Considers only the length of the queue; the baseline in tests.
bool MayQueueNaive(const UpstreamState& state, const UpstreamLimits& limits, std::uint32_t queued, TimePoint now);

/// Returns the state after a request has started. Call it for each request, directly after MayStart() allowed it.
UpstreamState OnStart(UpstreamState state, TimePoint now);

/// Returns the state after a request has finished. Call it exactly once for each OnStart().
UpstreamState OnFinish(UpstreamState state, const UpstreamLimits& limits, const AttemptReport& report, TimePoint now);

/// Returns the state after a reading of the host list, which lags behind. `leaving` drains the upstream, except in
/// the first seconds after a new incarnation, when the entry may still describe the previous one. A draining upstream
/// becomes cold when the list has shown it as leaving or gone and then shows it as live. An upstream that is not
/// listed but answers stays in use; one that is down gets no further probes while it is not listed.
UpstreamState OnHostList(UpstreamState state, bool listed, bool leaving, TimePoint now);

/// Returns the state after a reading of the upstream's health endpoint, which may show a stale or wrong incarnation.
/// A new incarnation makes a draining upstream cold, once per value, and changes nothing else. A draining upstream
/// gets no requests, so that its health endpoint is the only place where a restart within the lag of the host list is
/// seen.
UpstreamState OnIncarnationHint(UpstreamState state, std::uint64_t incarnation, TimePoint now);

}  // namespace pimentomoor
