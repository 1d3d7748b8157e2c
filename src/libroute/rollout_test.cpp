// Tests of the decisions of a roll-out: generated histories of fleets against the users' bounds, the comparison of
// versions, and the parts of the bound.
#include "pimentomoor/rollout.h"

#include <algorithm>
#include <iostream>
#include <random>

#include "rollout_simulation.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last, because it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RolloutSettings kSettings;
constexpr std::array kBadKinds = {VersionKind::kFailing, VersionKind::kSlow, VersionKind::kLate,
                                  VersionKind::kUnderLoad, VersionKind::kOneRoute};
constexpr std::array kFaults = {FleetFault::kNone,          FleetFault::kLossyReports,       FleetFault::kLeaderEnds,
                                FleetFault::kLeaderFreezes, FleetFault::kDaemonCut,          FleetFault::kAllRestart,
                                FleetFault::kStoreAway,     FleetFault::kStoreRefusesLeader, FleetFault::kAnswersLost,
                                FleetFault::kUpstreamFails, FleetFault::kNewUpstreamsOut};

RolloutScenario MakeScenario(VersionKind kind, FleetFault fault, std::uint32_t seed) {
  std::mt19937 random(seed);
  const auto pick = [&random](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
  return {.kind = kind,
          .fault = fault,
          .seed = seed,
          .daemons = static_cast<std::size_t>(pick(2, 10)),
          .upstreams = static_cast<std::size_t>(pick(2, 4)),
          .requests_per_s = pick(0, 3) == 0 ? 8.4 : pick(25, 150),
          .duration = seconds(pick(12, 24)),
          .bad_share = pick(40, 90) / 100.0};
}

std::string Describe(const RolloutScenario& scenario, const RolloutResult& result) {
  return "kind " + std::to_string(static_cast<int>(scenario.kind)) + " fault " +
         std::to_string(static_cast<int>(scenario.fault)) + " seed " + std::to_string(scenario.seed) + " daemons " +
         std::to_string(scenario.daemons) + " rate " + std::to_string(scenario.requests_per_s) + " share " +
         std::to_string(scenario.bad_share) + ": " + std::string(ToString(result.state)) + " after " +
         std::to_string(result.decided_after / milliseconds(1)) + " of " +
         std::to_string(scenario.duration / milliseconds(1)) + " ms, " + std::to_string(result.target_requests) +
         " of " + std::to_string(result.requests) + " requests, " + std::to_string(result.bad_answers) + " bad, " +
         std::to_string(result.late_requests) + " late, " + std::to_string(result.cut_unsafe) + " cut, " +
         result.reason + "\n";
}

// Time by which the order has to be decided. Some faults hold it up: nothing is written while the store is away, and
// what is on its way may be done up to 6 s later.
Duration DecisionLimit(const RolloutScenario& scenario) {
  switch (scenario.fault) {
    case FleetFault::kStoreAway:
    case FleetFault::kAnswersLost:
    case FleetFault::kNewUpstreamsOut:
      return scenario.duration + seconds(7);
    case FleetFault::kLeaderFreezes:
    case FleetFault::kDaemonCut:
    case FleetFault::kAllRestart:
      return scenario.duration + seconds(2);
    default:
      return scenario.duration;
  }
}

}  // namespace

TEST_GROUP(Rollout){};

// Guards against a bad version that gets more than its part or is completed, whatever its fault and whatever happens
// to the daemons, their reports and the store meanwhile.
TEST(Rollout, BadVersionsAreTakenBackWithinTheBound) {
  for (const VersionKind kind :
       {VersionKind::kFailing, VersionKind::kSlow, VersionKind::kLate, VersionKind::kOneRoute}) {
    for (const FleetFault fault : kFaults) {
      for (std::uint32_t seed = 1; seed <= 4 && fault != FleetFault::kAllRestart; ++seed) {
        const RolloutScenario scenario = MakeScenario(kind, fault, seed);
        const RolloutResult result = SimulateRollout(scenario);
        CHECK_TEXT(result.state == RolloutState::kRolledBack && !result.ExceedsExposure(kSettings),
                   Describe(scenario, result).c_str());
      }
    }
  }
}

// The same for faults that show only under load, and for a restart of all daemons, which takes the slack away. Few
// answers can then hide the fault, so a few histories may fail; the limits are above what is measured.
TEST(Rollout, FaultsUnderLoadAndRestartsHideFewBadVersions) {
  unsigned hidden_by_load = 0;
  unsigned hidden_by_restart = 0;
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    for (const FleetFault fault : kFaults) {
      if (fault != FleetFault::kAllRestart) {
        const RolloutResult result = SimulateRollout(MakeScenario(VersionKind::kUnderLoad, fault, seed));
        hidden_by_load += result.state != RolloutState::kRolledBack ? 1 : 0;
      }
    }
    for (const VersionKind kind : kBadKinds) {
      const RolloutResult result = SimulateRollout(MakeScenario(kind, FleetFault::kAllRestart, seed));
      hidden_by_restart += result.state != RolloutState::kRolledBack ? 1 : 0;
    }
  }
  CHECK_TEXT(hidden_by_load <= 2, std::to_string(hidden_by_load).c_str());        // of 40
  CHECK_TEXT(hidden_by_restart <= 3, std::to_string(hidden_by_restart).c_str());  // of 20
}

// Guards against a good version that is taken back or not completed in time, and against non-idempotent requests at
// the old upstreams when these stop. Chance, and one upstream that fails half of its requests, may condemn a few.
TEST(Rollout, GoodVersionsAreCompletedInTime) {
  unsigned condemned = 0;
  unsigned late = 0;
  unsigned cut = 0;
  for (const FleetFault fault : kFaults) {
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
      const RolloutScenario scenario = MakeScenario(VersionKind::kGood, fault, seed);
      const RolloutResult result = SimulateRollout(scenario);
      CHECK_TEXT(IsFinal(result.state), Describe(scenario, result).c_str());
      condemned += result.state == RolloutState::kRolledBack ? 1 : 0;
      late += result.decided_after > DecisionLimit(scenario) ? 1 : 0;
      // While answers are lost, the store may do a write seconds after the daemons have gone back.
      cut += result.cut_unsafe > 0 && fault != FleetFault::kAnswersLost ? 1 : 0;
    }
  }
  CHECK_TEXT(condemned <= 5, std::to_string(condemned).c_str());  // of 110
  CHECK_TEXT(late <= 3, std::to_string(late).c_str());
  CHECK_EQUAL(0U, cut);
}

// The naive ladder is what the decisions are compared with: it condemns good versions for usual pauses, and bad ones
// that show late or under load get more than their part or are completed.
TEST(Rollout, FixedLadderFails) {
  unsigned condemned = 0;
  unsigned exposed = 0;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    for (const VersionKind kind : {VersionKind::kGood, VersionKind::kLate, VersionKind::kUnderLoad}) {
      RolloutScenario scenario = MakeScenario(kind, FleetFault::kNone, seed);
      scenario.naive = true;
      const RolloutResult result = SimulateRollout(scenario);
      condemned += kind == VersionKind::kGood && result.state == RolloutState::kRolledBack ? 1 : 0;
      exposed += kind != VersionKind::kGood && result.ExceedsExposure(kSettings) ? 1 : 0;
    }
  }
  CHECK_TEXT(condemned >= 3, std::to_string(condemned).c_str());
  CHECK_TEXT(exposed >= 4, std::to_string(exposed).c_str());
}

// Guards against a sum of the daemons' parts beyond the bound, for any traffic and any division of the slack.
TEST(Rollout, PartsOfTheBoundAddUpToLessThanTheBound) {
  for (const std::size_t daemons : {1U, 6U, 76U}) {
    for (const std::uint32_t requests : {0U, 3U, 100U, 10'000U}) {
      const double part = AllowedTargetSends(kSettings, kSettings.canary_slack / static_cast<double>(daemons),
                                             requests, RolloutStepFraction(3));
      CHECK(part * static_cast<double>(daemons) <=
            kSettings.canary_share * requests * static_cast<double>(daemons) + kSettings.canary_slack);
    }
  }
}

// Guards against exposure that a restarted daemon hands out a second time.
TEST(Rollout, DaemonThatStartsDuringAnOrderHasNoSlack) {
  const TimePoint now = TimePoint() + seconds(100);
  const RolloutOrder order{.service = "s", .target_version = "v2", .duration = seconds(12)};
  RolloutProgress progress = BeginRollout(order, 1, 50, false, now);
  for (int i = 0; i < 5; ++i) {
    CountRolloutRequest(progress, now);
    CHECK(ChooseRolloutVersion(progress, kSettings, true, 3, now) == RolloutChoice::kOthers);
  }
  // The age of the order comes from a peer; until then half of the time counts as past.
  CHECK(now - progress.started_at == seconds(6));
  MergeRolloutReport(progress, {.order = IdOf(order), .reporter = 2, .beat = 1, .age = seconds(3)}, now);
  CHECK(now - progress.started_at == seconds(3));
}

// Guards against reports whose effect depends on their order, on repetition or on the daemon that passes them on, and
// against a verdict that is taken back.
TEST(Rollout, ReportsMergeInAnyOrder) {
  const TimePoint now = TimePoint() + seconds(100);
  const RolloutOrder order{.service = "s", .target_version = "v2", .duration = seconds(12)};
  const RolloutCell cell{.upstream = 1, .route = 2};
  const RolloutReport early{.order = IdOf(order),
                            .reporter = 2,
                            .beat = 1,
                            .requests = 5,
                            .bad = true,
                            .target = {{cell, {.answers = 2, .bad = 1}}}};
  const RolloutReport late{
      .order = IdOf(order), .reporter = 2, .beat = 2, .requests = 9, .target = {{cell, {.answers = 4, .bad = 1}}}};
  RolloutProgress one = BeginRollout(order, 1, 5, true, now);
  RolloutProgress other = BeginRollout(order, 3, 5, true, now);
  for (const auto& report : {early, late, early}) {
    MergeRolloutReport(one, report, now);
  }
  for (const auto& report : {late, early}) {
    MergeRolloutReport(other, report, now);
  }
  CHECK(one.peers.at(2).report == other.peers.at(2).report);
  EvaluateRollout(one, 2, {}, now);
  CHECK(one.bad && one.target.at(cell) == (RolloutTally{.answers = 4, .bad = 1}) && one.requests == 9);
  MergeRolloutReport(one, {.order = 77, .reporter = 2, .beat = 9, .requests = 99}, now);  // of another order
  CHECK_EQUAL(9U, one.peers.at(2).report.requests);
}

// Guards against a version that is condemned for one upstream, or for a fault that hits all versions.
TEST(Rollout, OneUpstreamOrACommonFaultCondemnsNoVersion) {
  const TimePoint now = TimePoint() + seconds(100);
  const RolloutEvidenceSettings settings;
  RolloutEvidence one_upstream;
  UpdateEvidence(one_upstream, {{{.upstream = 1, .route = 1}, {.answers = 20, .bad = 15}}},
                 {{{.upstream = 0, .route = 1}, {.answers = 200, .bad = 4}}}, settings, now);
  CHECK(IsFaultyUpstream(one_upstream, 1, settings));
  CHECK_FALSE(IsBadVersion(one_upstream, 2, settings));
  CHECK(IsBadVersion(one_upstream, 1, settings));
  CHECK_FALSE(IsFaultyUpstream(one_upstream, 2, settings));
  RolloutEvidence common;
  UpdateEvidence(common,
                 {{{.upstream = 1, .route = 1}, {.answers = 10, .bad = 4}},
                  {{.upstream = 2, .route = 1}, {.answers = 10, .bad = 5}}},
                 {{{.upstream = 0, .route = 1}, {.answers = 200, .bad = 90}}}, settings, now);
  CHECK_FALSE(IsBadVersion(common, 2, settings));
}

// Guards against a state that is written after the order was decided, and against a lost one that stays lost.
TEST(Rollout, FinalStateHoldsAndIsWrittenAgainWhenTheStoreLosesIt) {
  const TimePoint now = TimePoint() + seconds(100);
  RolloutProgress progress =
      BeginRollout({.service = "s", .target_version = "v2", .duration = seconds(12)}, 1, 5, true, now);
  MarkBad(progress, "test", now);
  CHECK(DecideRollout(progress, {}, now) == RolloutAction::kWriteRolledBack);
  CHECK(DecideRollout(progress, {.rank = 1}, now) == RolloutAction::kNone);
  CHECK(DecideRollout(progress, {.rank = 1}, now + seconds(1)) == RolloutAction::kWriteRolledBack);
  SetRolloutState(progress, RolloutState::kRolledBack);
  SetRolloutState(progress, RolloutState::kComplete);
  CHECK(progress.state == RolloutState::kRolledBack);
  const RolloutState stored = RolloutState::kRunning;
  CHECK(DecideRollout(progress, {.stored_state = stored, .stored_state_age = seconds(1)}, now) ==
        RolloutAction::kNone);
  CHECK(DecideRollout(progress, {.stored_state = stored, .stored_state_age = seconds(4)}, now) ==
        RolloutAction::kWriteRolledBack);
}

}  // namespace pimentomoor
