// A roll-out over simulated daemons, upstreams and a store, without a network. Daemons join, end, freeze, are cut off
// and lose reports; the store is away, refuses a daemon, loses answers and runs calls late. Counts what the users'
// rules count: requests that reach the new version, and its bad answers.
#pragma once

#include <cstdint>
#include <string>

#include "pimentomoor/clock.h"
#include "pimentomoor/rollout.h"

namespace pimentomoor {

enum class VersionKind : std::uint8_t { kGood, kFailing, kSlow, kLate, kUnderLoad, kOneRoute };

/// What happens to the fleet beside the order. Times of day are drawn from the seed.
enum class FleetFault : std::uint8_t {
  kNone,
  kLossyReports,        // a third of all reports are lost, the others are up to 1.2 s late
  kLeaderEnds,          // the first daemon ends shortly before it decides, and starts again
  kLeaderFreezes,       // the first daemon stands still shortly before it decides
  kDaemonCut,           // one daemon hears and tells nothing for some seconds
  kAllRestart,          // all daemons start again in the middle
  kStoreAway,           // the store answers nobody for some seconds
  kStoreRefusesLeader,  // the store refuses all writes of the first daemon
  kAnswersLost,         // half of the writes are done, half of these seconds later, and not answered
  kUpstreamFails,       // one of the new upstreams fails, whatever its version
  kNewUpstreamsOut,     // the new upstreams are out of use in the middle of the order
};

struct RolloutScenario {
  VersionKind kind = VersionKind::kGood;
  FleetFault fault = FleetFault::kNone;
  bool naive = false;  // fixed ladder
  std::uint32_t seed = 1;
  std::size_t daemons = 6;
  std::size_t upstreams = 3;  // of each version
  double requests_per_s = 40;
  Duration duration = std::chrono::seconds(12);
  double bad_share = 0.5;  // part of the answers of a bad version that are bad
};

struct RolloutResult {
  RolloutState state = RolloutState::kNone;  // in the store, at the end
  Duration decided_after{};                  // time from the order to the final state
  std::uint32_t requests = 0;                // that reached the service up to the time limit
  std::uint32_t target_requests = 0;         // those of them that reached the new version
  std::uint32_t bad_answers = 0;             // of the new version
  std::uint32_t late_requests = 0;           // sent to the new version over 5 s after its fiftieth bad answer
  std::uint32_t cut_unsafe = 0;              // non-idempotent requests at old upstreams when these stopped
  std::string reason;

  /// Whether a bad version got more than the rules allow.
  [[nodiscard]] bool ExceedsExposure(const RolloutSettings& settings) const {
    return late_requests > 0 || target_requests > settings.canary_share * requests + settings.canary_slack;
  }
};

RolloutResult SimulateRollout(const RolloutScenario& scenario);

}  // namespace pimentomoor
