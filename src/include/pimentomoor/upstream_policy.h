// Decides how many requests an upstream may run: slot limit, cold-start ramp, drain and probes of a failed upstream.
//
// Only the owner of an upstream holds its UpstreamState, so the counters cover the whole fleet. Time must not go back
// between calls.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

enum class UpstreamPhase {
  kCold,      // bears UpstreamLimits::cold_concurrency_limit requests at a time
  kWarming,   // the concurrency_limit grows towards the slot limit
  kWarm,      // all slots may be used
  kDraining,  // gets nothing new until a new incarnation appears or the host list shows that the address returned
  kDown,      // connections fail: gets one probe per UpstreamLimits::probe_interval
};

std::string_view ToString(UpstreamPhase phase);

struct UpstreamLimits {
  std::uint32_t slots = 3;
  std::uint32_t connections = 30;  // a running request occupies one connection
  std::uint32_t max_queue = 64;    // requests that wait at the owner
  std::uint32_t cold_concurrency_limit = 1;
  Duration ramp_interval =
      std::chrono::milliseconds(500);  // shortest time between two raises of the concurrency_limit
  Duration probe_interval = std::chrono::seconds(1);
  double slow_latency_factor = 4;  // an answer above this multiple of the median is slow
  // Slow answers in a row that make the upstream cold. With 5% of slow queries and 32,667 answers a second, a run of
  // 5 occurs by chance every 100 s and a run of 8 every 9 days.
  std::uint32_t cold_after_slow_answers = 8;
  // A request whose connection was lost before the answer came counts as running for this long.
  Duration lost_connection_hold = std::chrono::seconds(1);
  // The same for a request that got no answer by the deadline that it names. Upstreams stop at that deadline, so the
  // time only covers a late stop. With the hold of a lost connection, one late answer of a cold upstream took it out
  // for a second, and its callers lost their coverage.
  Duration timeout_hold = std::chrono::milliseconds(100);
  // No request starts for this long after a shed answer: an upstream that sheds at the cold concurrency_limit would
  // otherwise get requests as fast as it refuses them.
  Duration shed_pause = std::chrono::milliseconds(100);
  // Connection failures in a row that make the upstream down. The first one makes it cold, because the upstream may
  // have restarted.
  std::uint32_t down_after_failures = 2;

  friend bool operator==(const UpstreamLimits&, const UpstreamLimits&) = default;
};

/// The last latencies of a warm upstream. The upstream's median is taken over these.
struct LatencyBaseline {
  // At least twice the default cold_after_slow_answers, so that a run of slow answers doesn't move the median that it
  // is compared to.
  static constexpr std::uint32_t kSamples = 32;

  std::array<Duration, kSamples> samples{};
  std::uint32_t count = 0;  // at most kSamples
  std::uint32_t next = 0;   // position that is overwritten next
  Duration median{};        // of the samples at its last update; 0: too few samples

  friend bool operator==(const LatencyBaseline&, const LatencyBaseline&) = default;
};

struct UpstreamState {
  UpstreamPhase phase = UpstreamPhase::kCold;
  std::uint32_t concurrency_limit = 1;  // use ConcurrencyLimit(), which applies phase and limits
  // ConcurrencyLimit from the first good answer of `incarnation` on; 0: the ramp applies. Only while cold after a
  // handover.
  std::uint32_t resumed_concurrency_limit = 0;
  std::uint32_t running = 0;      // started and not yet finished; OccupiedSlots() adds abandoned requests
  std::uint64_t incarnation = 0;  // of the last answer; 0: none seen

  std::vector<TimePoint> abandoned;  // when each abandoned request stops counting, ascending, at most `slots`
  TimePoint cold_since{};            // last time that the upstream turned cold or down
  TimePoint last_raise{};            // of the concurrency_limit; not before cold_since
  TimePoint last_start{};
  TimePoint pause_until{};                            // no start before, after a shed answer
  TimePoint incarnation_since{};                      // when an answer first named `incarnation`
  std::uint64_t hinted_incarnation = 0;               // last one given to OnIncarnationHint, or the one replaced last
  std::uint32_t consecutive_connection_failures = 0;  // in a row
  std::uint32_t consecutive_slow_answers = 0;         // in a row
  LatencyBaseline baseline;
  bool listed = true;            // by the host list
  bool leave_confirmed = false;  // while draining: the host list has shown that the upstream left

  friend bool operator==(const UpstreamState&, const UpstreamState&) = default;
};

enum class AttemptResult {
  kOk,
  kShed,            // refused before it ran, for example by a 503
  kConnectFailed,   // no connection, so nothing was sent
  kNotSent,         // the owner stopped it before the write, which tells nothing about the upstream
  kConnectionLost,  // after the request was sent: it may still run
  kTimeout,         // no answer in time, or the owner closed the connection: it may still run
  kError,           // the upstream answered with an error
  kWrongSnapshot,   // the upstream doesn't hold shard and snapshot
};

struct AttemptReport {
  AttemptResult result = AttemptResult::kOk;
  Duration latency{};             // from OnStart to OnFinish: also tells when the request started
  std::uint64_t incarnation = 0;  // named by the answer; 0: no answer or not named
  bool cold = false;              // flag of the answer
  bool draining = false;          // flag of the answer

  friend bool operator==(const AttemptReport&, const AttemptReport&) = default;
};

/// The state after the owner's start or takeover: cold.
UpstreamState InitialUpstreamState(TimePoint now);

/// The state after a takeover from an owner that was live and had no request left at the upstream:
/// `concurrency_limit` and `incarnation` are what that owner knew. The upstream may have restarted meanwhile, so it
/// starts cold and gets the concurrency_limit with the first good answer of that incarnation. Without an incarnation
/// it is the initial state.
UpstreamState TakenOverUpstreamState(const UpstreamLimits& limits, std::uint32_t concurrency_limit,
                                     std::uint64_t incarnation, TimePoint now);

/// Requests that may run at once in this phase; never above slots or connections. 0 while draining, 1 while down.
std::uint32_t ConcurrencyLimit(const UpstreamState& state, const UpstreamLimits& limits);

/// Requests that occupy a slot at the upstream: the running ones and those that were abandoned and may still run.
std::uint32_t OccupiedSlots(const UpstreamState& state, TimePoint now);

/// Whether another request may start now.
bool MayStart(const UpstreamState& state, const UpstreamLimits& limits, TimePoint now);

/// Ignores phase and abandoned requests: any upstream with a free slot gets a request.
bool MayStartNaive(const UpstreamState& state, const UpstreamLimits& limits, TimePoint now);

/// Whether a request may wait at the owner behind `queued` others. A draining upstream takes none, a down one only
/// the request that can start as the next probe.
bool MayQueue(const UpstreamState& state, const UpstreamLimits& limits, std::uint32_t queued, TimePoint now);

/// Only the length of the queue counts.
bool MayQueueNaive(const UpstreamState& state, const UpstreamLimits& limits, std::uint32_t queued, TimePoint now);

/// Call for each request that starts, directly after MayStart allowed it.
UpstreamState OnStart(UpstreamState state, TimePoint now);

/// Call exactly once for each OnStart.
UpstreamState OnFinish(UpstreamState state, const UpstreamLimits& limits, const AttemptReport& report, TimePoint now);

/// Applies a reading of the host list, which lags. `leaving` drains the upstream, except in the first seconds after a
/// new incarnation, when the entry may still describe the previous one. A draining upstream becomes cold when the
/// list first confirms that it left and then shows it as live. A missing entry alone takes no answering upstream out;
/// it stops the probes of one that is down.
UpstreamState OnHostList(UpstreamState state, bool listed, bool leaving, TimePoint now);

/// Applies the incarnation shown by the health endpoint, which may be stale or wrong: a new one makes a draining
/// upstream cold, once per value, and changes nothing else. A draining upstream gets no requests, so a restart within
/// the lag of the host list shows only here.
UpstreamState OnIncarnationHint(UpstreamState state, std::uint64_t incarnation, TimePoint now);

}  // namespace pimentomoor
