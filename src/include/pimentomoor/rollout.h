// Moves the traffic of one service to the upstreams of another version, in steps, and takes it back where they answer
// worse. This file holds what one daemon knows of one order and what follows from it. Pure: the time, the counts and
// the state of the fleet are arguments; the gateway sends the messages and writes to the store.
//
// The daemons share reports whose numbers only grow, so that they can be merged in any order, any number of times,
// and through other daemons. Each daemon bounds its own sends to the new version, so that the sum over the daemons
// keeps the bound whatever they know of each other. Each daemon judges the sum of all counts that it knows; the first
// one to find the version bad says so in its report, and no daemon takes that back.
//
// Before an order is complete, the daemons stop sending to the old upstreams, because these end without draining.
// They do so in rounds of two switch steps: an odd one for requests that may not be repeated, and then an even one
// for all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/clock.h"
#include "pimentomoor/rollout_evidence.h"

namespace pimentomoor {

/// Bounds on what a bad version may get from all daemons together.
struct RolloutSettings {
  double canary_share = 0.1;  // part of the requests to the service between the order and its time limit
  double canary_slack = 50;   // requests beyond that part
  // Time after the fiftieth bad answer from which on the version may get no request.
  Duration rollback_time = std::chrono::seconds(5);

  friend bool operator==(const RolloutSettings&, const RolloutSettings&) = default;
};

/// State of an order, as the system writes it to the store. A later one is never replaced by an earlier one.
enum class RolloutState : std::uint8_t { kNone, kRunning, kComplete, kRolledBack };
constexpr bool IsFinal(RolloutState state) {
  return state == RolloutState::kComplete || state == RolloutState::kRolledBack;
}
std::string_view ToString(RolloutState state);

/// An operator's order to move a service to another version.
struct RolloutOrder {
  std::string name;  // of the object in the store
  std::string service;
  std::string target_version;
  Duration duration{};        // time limit, from the order on
  std::uint64_t created = 0;  // revision at which the object was created

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

/// Number by which the daemons name the order to each other.
std::uint64_t IdOf(const RolloutOrder& order);

/// What one daemon, the reporter, says of one order. All numbers only grow.
struct RolloutReport {
  std::uint64_t order = 0;     // IdOf() the order
  std::uint64_t reporter = 0;  // incarnation of the daemon
  std::uint32_t beat = 0;      // grows every kRolloutReportInterval
  std::uint32_t requests = 0;  // requests to the service
  std::uint32_t target_sends = 0;
  std::uint32_t switch_step = 0;   // newest switch step that the reporter knows
  std::uint32_t settled_step = 0;  // switch step at which no non-idempotent request was left at other upstreams
  Duration age{};                  // time since the order; 0 when the reporter doesn't know it
  bool bad = false;                // the version is bad
  RolloutState state = RolloutState::kNone;
  RolloutTallies target;  // answers of the new version, at most kMaxTargetCells
  RolloutTallies others;  // answers of the other versions, by route, at most kMaxOtherCells

  friend bool operator==(const RolloutReport&, const RolloutReport&) = default;
};
constexpr std::size_t kMaxTargetCells = 16;
constexpr std::size_t kMaxOtherCells = 8;
constexpr Duration kRolloutReportInterval = std::chrono::milliseconds(300);
constexpr Duration kMaxRolloutAge = std::chrono::hours(24);  // a greater age in a report is ignored

/// What one daemon knows of one order.
struct RolloutProgress {
  struct Peer {
    RolloutReport report;
    TimePoint grown_at{};  // time at which the beat last grew here
  };

  RolloutOrder order;
  RolloutReport own;
  std::map<std::uint64_t, Peer> peers;  // reports of other daemons by reporter, at most kMaxRolloutPeers
  TimePoint learned_at{};
  TimePoint started_at{};   // when the order was given, as far as known here
  bool age_known = false;   // started_at comes from having seen the order appear, here or at another daemon
  double slack_part = 0;    // part of the slack that this daemon may use
  std::uint32_t sends = 0;  // sends to the new version that were not taken back unsent
  std::uint32_t unsafe_at_others = 0;        // non-idempotent requests that run at other upstreams
  double canary_credit = 0;                  // spreads canary sends over the requests of a pulse
  std::int64_t pulse = 0;                    // number of the current pulse
  std::uint32_t requests_at_pulse = 0;       // own.requests at its begin
  std::uint32_t requests_of_last_pulse = 0;  // requests of the pulse before it
  TimePoint beat_at{};

  // Derived from the reports by EvaluateRollout().
  RolloutTallies target;
  RolloutTallies others;
  std::uint32_t requests = 0;
  std::uint32_t target_sends = 0;
  RolloutEvidence evidence;

  bool bad = false;  // never becomes false again
  TimePoint bad_at{};
  std::string reason;                        // why the version is bad
  RolloutState state = RolloutState::kNone;  // newest known
  std::uint32_t switch_step = 0;
  TimePoint switch_at{};  // when switch_step became known here
};
constexpr std::size_t kMaxRolloutPeers = 128;

/// `slack_part` is this daemon's part of the slack. `seen_to_appear` tells that this process ran before the order
/// came. A daemon that starts later has no part of the slack, because its predecessor may have used it, and takes the
/// age of the order from its peers; until then it assumes that half of the time has passed.
RolloutProgress BeginRollout(RolloutOrder order, std::uint64_t reporter, double slack_part, bool seen_to_appear,
                             TimePoint now);

/// Merges a report of another daemon, whether it comes from that daemon or was relayed.
void MergeRolloutReport(RolloutProgress& progress, const RolloutReport& report, TimePoint now);
void SetRolloutState(RolloutProgress& progress, RolloutState state);
void SetSwitchStep(RolloutProgress& progress, std::uint32_t step, TimePoint now);
void MarkBad(RolloutProgress& progress, std::string reason, TimePoint now);
void CountRolloutAnswer(RolloutProgress& progress, bool from_target, const RolloutCell& cell, bool bad);

/// Sums the reports, judges the version and brings this daemon's report up to date. `target_upstreams` is the number
/// of the version's upstreams that are known.
void EvaluateRollout(RolloutProgress& progress, std::size_t target_upstreams, const RolloutEvidenceSettings& settings,
                     TimePoint now);

/// When the order is decided, as time since it: early enough for the write, late enough that a version that turns bad
/// later is seen.
Duration DecisionAge(Duration duration);

/// Number of the step, from 0, and the part of the bound that it allows to use.
std::size_t RolloutStepAt(Duration age, Duration duration, std::uint32_t target_answers);
double RolloutStepFraction(std::size_t step);
std::size_t CurrentStep(const RolloutProgress& progress, TimePoint now);

/// Sends to the new version that this daemon may have made in all, of `requests` requests to the service.
double AllowedTargetSends(const RolloutSettings& settings, double slack_part, std::uint32_t requests,
                          double fraction);

/// Where a request is sent first.
enum class RolloutChoice : std::uint8_t {
  kOthers,  // to another version
  kCanary,  // to the upstream of the new version at which the canary traffic is concentrated
  kTarget,  // to any upstream of the new version
};
/// Counts a request that is sent to the service for the first time.
void CountRolloutRequest(RolloutProgress& progress, TimePoint now);
/// Chooses the version for a request. `other_upstreams` is the number of usable upstreams of other versions. Call
/// CountRolloutRequest() when the request is sent, and add the send to RolloutProgress::sends when it goes to the new
/// version.
RolloutChoice ChooseRolloutVersion(RolloutProgress& progress, const RolloutSettings& settings, bool idempotent,
                                   std::size_t other_upstreams, TimePoint now);
/// The naive variant: a fixed ladder of shares, of each daemon's own requests.
RolloutChoice ChooseRolloutVersionNaive(RolloutProgress& progress, TimePoint now);
/// Number of the current pulse, by which the daemons choose the same upstream for the canary traffic.
std::int64_t CurrentPulse(const RolloutProgress& progress, TimePoint now);
/// Whether a switch step is in force.
bool IsSwitching(const RolloutProgress& progress, TimePoint now);

/// State of the fleet, for DecideRollout().
struct RolloutSituation {
  std::size_t rank = 0;  // number of live daemons that decide before this one
  bool store_answers = true;
  RolloutState stored_state = RolloutState::kNone;  // status of the order in the store, as far as known here
  Duration stored_state_age = Duration::max();      // time since stored_state was read or written
  std::size_t usable_targets = 0;                   // warm usable upstreams of the new version
  std::size_t usable_others = 0;
  bool reports_recent = true;  // the reports of all live daemons that serve callers are recent
  bool settled = true;         // these daemons have settled the current switch step
};
enum class RolloutAction : std::uint8_t { kNone, kWriteRunning, kWriteComplete, kWriteRolledBack, kNextSwitchStep };

/// What this daemon has to do now. Any daemon may get an answer; those of higher rank wait for the ones before them.
RolloutAction DecideRollout(const RolloutProgress& progress, const RolloutSituation& situation, TimePoint now);
/// The naive variant: complete at the decision time, by the first daemon alone.
RolloutAction DecideRolloutNaive(const RolloutProgress& progress, const RolloutSituation& situation, TimePoint now);

/// Whether the report of each listed daemon is recent, and whether each has settled the current switch step.
struct RolloutReportCheck {
  bool recent = true;
  bool settled = true;
};
RolloutReportCheck CheckRolloutReports(const RolloutProgress& progress, const std::vector<std::uint64_t>& daemons,
                                       Duration max_age, TimePoint now);

}  // namespace pimentomoor
