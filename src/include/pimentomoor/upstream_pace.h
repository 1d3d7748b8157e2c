// Finds how many requests at once this daemon may have at an upstream that has just started or recovered, from how
// the upstream answers. While a pace is active, its limit starts at this daemon's part of a few requests. Good
// answers at the limit raise it, and slow answers, refusals and failures lower it. The pace ends when the upstream
// bears its whole room. An upstream without an active pace is not limited.
//
// Load: a search service of a few slots for each upstream and up to 80 daemons, each of which sees only its own
// requests.
#pragma once

#include <cstddef>
#include <cstdint>

#include "pimentomoor/clock.h"

namespace pimentomoor {

struct PaceSettings {
  bool enabled = false;

  friend bool operator==(const PaceSettings&, const PaceSettings&) = default;
};

/// Why a pace began.
enum class PaceReason : std::uint8_t { kStart, kCold, kCrash, kOutageEnd, kFailures };
/// Why the limit of a pace last changed.
enum class PaceChange : std::uint8_t { kBegan, kAnswered, kSlow, kRefused, kFailed };

const char* ToString(PaceReason reason);
const char* ToString(PaceChange change);

/// What the daemon knows of an upstream at the time of a decision.
struct PaceConditions {
  TimePoint now{};
  unsigned slots = 1;         // requests that the upstream runs at once
  std::size_t senders = 1;    // daemons that send to the upstream, with this one
  std::size_t running = 0;    // unanswered requests of this daemon at the upstream, and those that are chosen for it
  TimePoint cold_until{};     // end of the time for which the upstream says that it is cold
  bool cold_bounded = false;  // the upstream is cold and the rules bound the rate of requests to it
};

/// Number of daemons that is assumed while this daemon doesn't know how many there are.
constexpr std::size_t kAssumedPaceSenders = 16;
/// Number of consecutive failures after which the upstream is taken to be recovering.
constexpr unsigned kPaceFailureRun = 3;
/// An upstream that has written at most this many entries, one each second or so, has just started. Judging by the
/// count rather than by the time of its start leaves wrong clocks out.
constexpr std::uint64_t kPaceYoungEntries = 3;

/// State of the pace of one upstream at this daemon. Latencies are divided by the usual latency of their request.
struct UpstreamPace {
  bool active = false;
  PaceReason reason = PaceReason::kStart;
  PaceChange last_change = PaceChange::kBegan;
  bool failing = false;            // no good answer since the last failure
  unsigned failures_in_a_row = 0;  // counted also while the pace is not active
  double limit = 1;                // requests at once; below 1, the share of the time in which one request may run
  double cut_limit = 0;            // limit that the last cut reduced; 0: no cut since the pace began
  double ratio = 0;                // moving average of latency / usual latency; 0: no answer since the pace began
  double base_ratio = 0;           // least value of `ratio`
  double phase = 0;  // when this daemon's first request is due if its limit is below 1: share of the interval
  Duration usual{};  // usual latency of a recent request; zero: unknown
  TimePoint began_at{};
  TimePoint changed_at{};
  TimePoint cut_at{};
  TimePoint outcome_at{};  // last answer, refusal or failure since the pace began
  TimePoint sent_at{};     // last request since the pace began
  TimePoint bound_at{};    // last time at which a request used up the limit

  friend bool operator==(const UpstreamPace&, const UpstreamPace&) = default;
};

/// Starts a pace. `phase` in [0, 1) differs between daemons, so that their first requests are spread over time.
void BeginPace(UpstreamPace& pace, PaceReason reason, double phase, const PaceConditions& conditions);

/// The limit at `conditions.now`. Over all daemons, the limits add up to at most the upstream's slots.
double CurrentPaceLimit(const UpstreamPace& pace, const PaceConditions& conditions);
/// Largest limit of this daemon.
double PaceCeiling(const PaceConditions& conditions);

/// Whether one more request may be sent to the upstream now. Always true without an active pace and while the rules
/// bound the upstream's rate, so that the room below that bound is used whole.
bool HasPaceRoom(const UpstreamPace& pace, const PaceConditions& conditions);
/// The same for a limit that grows with the time alone, from the same start to the ceiling within kFixedRampTime; the
/// baseline in tests.
bool HasFixedRampRoom(const UpstreamPace& pace, const PaceConditions& conditions);
constexpr Duration kFixedRampTime = std::chrono::seconds(3);

/// Records that a request is sent; `conditions.running` doesn't count it yet.
void RecordPaceSend(UpstreamPace& pace, const PaceConditions& conditions);

enum class PaceOutcome : std::uint8_t {
  kAnswered,  // the upstream ran the request
  kRefused,   // it had no room for the request or no time to run it
  kFailed,    // an error of the upstream, or a lost connection
};
/// Records the end of a request that was sent at `sent_at`. Returns whether the limit was cut.
bool RecordPaceOutcome(UpstreamPace& pace, PaceOutcome outcome, TimePoint sent_at, const PaceConditions& conditions);

/// Whether an active pace is no longer needed.
bool IsPaceOver(const UpstreamPace& pace, const PaceConditions& conditions);

}  // namespace pimentomoor
