// Implementation of the decisions of a roll-out.
#include "pimentomoor/rollout.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pimentomoor {

namespace {

using std::chrono::milliseconds;

// Part of the bound that is used: requests are counted here when they are sent, and at upstreams when they arrive.
constexpr double kUsedShareOfBound = 0.9;

// Steps of a roll-out. A step begins at the latest at `latest`, and at `earliest` when as many answers of the new
// version have been seen; both are parts of the time until the decision. A part of the bound is left for late steps,
// because a version may turn bad late, and the rest for the switch before the end, when it gets all requests and may
// still be taken back.
struct Step {
  double fraction;
  double earliest;
  double latest;
  std::uint32_t answers;
};
constexpr std::array<Step, 4> kSteps = {{{.fraction = 0.35, .earliest = 0, .latest = 0, .answers = 0},
                                         {.fraction = 0.6, .earliest = 0.15, .latest = 0.3, .answers = 6},
                                         {.fraction = 0.8, .earliest = 0.3, .latest = 0.5, .answers = 12},
                                         {.fraction = 0.95, .earliest = 0.45, .latest = 0.7, .answers = 20}}};

// Canary traffic comes in pulses to one upstream at a time, because some faults show only under load. All daemons
// have the same pulses as far as they agree on the age of the order.
constexpr Duration kPulsePeriod = milliseconds(1'600);
constexpr Duration kPulseLength = milliseconds(800);
// A daemon with fewer requests in a period sends canary traffic at any time of it.
constexpr std::uint32_t kFewRequests = 8;
// Load of the upstream that gets the canary traffic, as a multiple of the load of one of the others.
constexpr double kCanaryLoad = 1.5;

// A daemon of the next rank acts when the one before it has not done so for this time.
constexpr Duration kRankDelay = milliseconds(1'000);
// Time for which a switch step is in force. When the order isn't complete by then, the old upstreams are used again.
constexpr Duration kSwitchTime = milliseconds(2'500);
constexpr Duration kSwitchPause = milliseconds(1'500);  // time from the end of a round to the next one
// Longest wait for the reports that a step is settled, and shortest time of a step, in which its news reach others.
constexpr Duration kMaxUnsafeWait = milliseconds(900);
constexpr Duration kMaxSwitchWait = milliseconds(1'100);
// Shortest time of the step in which the version gets all requests. Faults under load have to be seen and reported.
constexpr Duration kMinSwitchWait = milliseconds(900);
// Time before the limit at which the order is decided with what is known.
constexpr Duration kLastCall = milliseconds(600);
constexpr std::uint32_t kEnoughAnswers = 12;
// Factor of RolloutEvidenceSettings::rest_threshold once the order is to be decided: a bad version that is completed
// does more harm than a good one that is taken back.
constexpr double kDecisionRestFactor = 0.7;
// Requests from which on a version without any answer counts as unproven.
constexpr std::uint32_t kRequestsToProve = 20;
// A state that the store has lost is written again after this time, in which records on their way have arrived.
constexpr Duration kRewriteDelay = std::chrono::seconds(3);

Duration PartOf(Duration whole, double part) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(whole.count()) * part));
}

Duration AgeOf(const RolloutProgress& progress, TimePoint now) { return now - progress.started_at; }

void MergeTallies(RolloutTallies& known, const RolloutTallies& other, std::size_t max_cells) {
  for (const auto& [cell, tally] : other) {
    const auto found = known.find(cell);
    if (found == known.end()) {
      if (known.size() < max_cells) {
        known.emplace(cell, tally);
      }
      continue;
    }
    found->second.answers = std::max(found->second.answers, tally.answers);
    found->second.bad = std::max(found->second.bad, tally.bad);
  }
}

void AddTallies(RolloutTallies& sum, const RolloutTallies& tallies) {
  for (const auto& [cell, tally] : tallies) {
    sum[cell].answers += tally.answers;
    sum[cell].bad += tally.bad;
  }
}

void AddReport(RolloutProgress& progress, const RolloutReport& report) {
  AddTallies(progress.target, report.target);
  AddTallies(progress.others, report.others);
  progress.requests += report.requests;
  progress.target_sends += report.target_sends;
}

// Whether the version has shown enough to complete the order.
bool HasShownEnough(const RolloutProgress& progress, const RolloutSituation& situation, bool last_call) {
  const std::uint32_t answers = SumTallies(progress.target).answers;
  if (situation.usable_targets == 0) {
    return false;  // at `complete` the others stop, and nothing would be left
  }
  if (last_call) {
    return answers > 0 || progress.requests < kRequestsToProve;
  }
  return answers >= kEnoughAnswers && situation.usable_targets >= situation.usable_others;
}

RolloutAction DecideSwitch(const RolloutProgress& progress, const RolloutSituation& situation, bool last_call,
                           TimePoint now) {
  const Duration in_step = now - progress.switch_at;
  if (!IsSwitching(progress, now)) {
    const bool may_begin = progress.switch_step == 0 || in_step >= kSwitchTime + kSwitchPause;
    return may_begin && situation.store_answers ? RolloutAction::kNextSwitchStep : RolloutAction::kNone;
  }
  const bool unsafe_only = progress.switch_step % 2 == 1;
  const bool waited = last_call || in_step >= (unsafe_only ? kMaxUnsafeWait : kMaxSwitchWait);
  const bool seen = unsafe_only || in_step >= kMinSwitchWait;
  if (!waited && !(situation.reports_recent && situation.settled && seen)) {
    return RolloutAction::kNone;
  }
  return unsafe_only ? RolloutAction::kNextSwitchStep : RolloutAction::kWriteComplete;
}

}  // namespace

std::string_view ToString(RolloutState state) {
  constexpr std::array<std::string_view, 4> kNames = {"none", "running", "complete", "rolled_back"};
  return kNames[static_cast<std::size_t>(state)];
}

std::uint64_t IdOf(const RolloutOrder& order) {
  std::uint64_t hash = 14'695'981'039'346'656'037U;  // FNV-1a
  const auto add = [&hash](std::string_view bytes) {
    for (const char c : bytes) {
      hash = (hash ^ static_cast<unsigned char>(c)) * 1'099'511'628'211U;
    }
    hash = (hash ^ 0xffU) * 1'099'511'628'211U;
  };
  add(order.name);
  add(order.service);
  add(order.target_version);
  add(std::to_string(order.duration.count()));
  add(std::to_string(order.created));
  return hash;
}

RolloutProgress BeginRollout(RolloutOrder order, std::uint64_t reporter, double slack_part, bool seen_to_appear,
                             TimePoint now) {
  RolloutProgress progress{.order = std::move(order)};
  progress.own.order = IdOf(progress.order);
  progress.own.reporter = reporter;
  progress.learned_at = now;
  progress.started_at = seen_to_appear ? now : now - progress.order.duration / 2;
  progress.age_known = seen_to_appear;
  progress.slack_part = seen_to_appear ? slack_part : 0;
  progress.evidence.snapshot_at = now;
  return progress;
}

void MarkBad(RolloutProgress& progress, std::string reason, TimePoint now) {
  if (!progress.bad) {
    progress.bad = true;
    progress.bad_at = now;
    progress.reason = std::move(reason);
    progress.own.bad = true;
  }
}

void SetRolloutState(RolloutProgress& progress, RolloutState state) {
  // The first final state holds: it was written under the condition that no other one was there.
  if (state > progress.state && !IsFinal(progress.state)) {
    progress.state = state;
    progress.own.state = state;
  }
}

void SetSwitchStep(RolloutProgress& progress, std::uint32_t step, TimePoint now) {
  if (step > progress.switch_step) {
    progress.switch_step = step;
    progress.switch_at = now;
    progress.own.switch_step = step;
  }
}

void MergeRolloutReport(RolloutProgress& progress, const RolloutReport& report, TimePoint now) {
  if (report.order != progress.own.order || report.reporter == progress.own.reporter) {
    return;
  }
  auto found = progress.peers.find(report.reporter);
  if (found == progress.peers.end()) {
    if (progress.peers.size() >= kMaxRolloutPeers) {
      return;
    }
    found = progress.peers.emplace(report.reporter, RolloutProgress::Peer{}).first;
    found->second.report.order = report.order;
    found->second.report.reporter = report.reporter;
  }
  RolloutReport& known = found->second.report;
  if (report.beat > known.beat) {
    found->second.grown_at = now;
  }
  known.beat = std::max(known.beat, report.beat);
  known.requests = std::max(known.requests, report.requests);
  known.target_sends = std::max(known.target_sends, report.target_sends);
  known.switch_step = std::max(known.switch_step, report.switch_step);
  known.settled_step = std::max(known.settled_step, report.settled_step);
  known.age = std::max(known.age, report.age);
  known.bad = known.bad || report.bad;
  known.state = std::max(known.state, report.state);
  MergeTallies(known.target, report.target, kMaxTargetCells);
  MergeTallies(known.others, report.others, kMaxOtherCells);
  if (report.age > Duration::zero() && report.age <= kMaxRolloutAge) {
    const TimePoint started_at = now - report.age;
    progress.started_at = progress.age_known ? std::min(progress.started_at, started_at) : started_at;
    progress.age_known = true;
  }
  if (report.bad) {
    MarkBad(progress, "found bad by another daemon", now);
  }
  SetSwitchStep(progress, report.switch_step, now);
  if (IsFinal(report.state)) {
    SetRolloutState(progress, report.state);
  }
}

void CountRolloutAnswer(RolloutProgress& progress, bool from_target, const RolloutCell& cell, bool bad) {
  RolloutTallies& tallies = from_target ? progress.own.target : progress.own.others;
  if (tallies.size() >= (from_target ? kMaxTargetCells : kMaxOtherCells) && !tallies.contains(cell)) {
    return;
  }
  RolloutTally& tally = tallies[cell];
  ++tally.answers;
  tally.bad += bad ? 1 : 0;
}

void EvaluateRollout(RolloutProgress& progress, std::size_t target_upstreams, const RolloutEvidenceSettings& settings,
                     TimePoint now) {
  progress.own.target_sends = std::max(progress.own.target_sends, progress.sends);
  progress.own.age = progress.age_known ? AgeOf(progress, now) : Duration::zero();
  if (now - progress.beat_at >= kRolloutReportInterval) {
    progress.beat_at = now;
    ++progress.own.beat;
  }
  if (IsSwitching(progress, now) && progress.unsafe_at_others == 0) {
    progress.own.settled_step = progress.switch_step;
  }
  progress.target.clear();
  progress.others.clear();
  progress.requests = 0;
  progress.target_sends = 0;
  AddReport(progress, progress.own);
  for (const auto& [reporter, peer] : progress.peers) {
    AddReport(progress, peer.report);
  }
  UpdateEvidence(progress.evidence, progress.target, progress.others, settings, now);
  RolloutEvidenceSettings judged = settings;
  if (AgeOf(progress, now) >= DecisionAge(progress.order.duration)) {
    judged.rest_threshold *= kDecisionRestFactor;
  }
  if (!progress.bad && !IsFinal(progress.state) && IsBadVersion(progress.evidence, target_upstreams, judged)) {
    MarkBad(progress, DescribeEvidence(progress.evidence, progress.others), now);
  }
}

Duration DecisionAge(Duration duration) {
  const Duration margin = std::clamp<Duration>(PartOf(duration, 0.25), milliseconds(2'500), std::chrono::seconds(8));
  return std::max(duration - margin, duration / 2);
}

std::size_t RolloutStepAt(Duration age, Duration duration, std::uint32_t target_answers) {
  const Duration decision_age = DecisionAge(duration);
  std::size_t step = 0;
  for (std::size_t i = 1; i < kSteps.size(); ++i) {
    const bool shown = age >= PartOf(decision_age, kSteps[i].earliest) && target_answers >= kSteps[i].answers;
    if (shown || age >= PartOf(decision_age, kSteps[i].latest)) {
      step = i;
    }
  }
  return step;
}

double RolloutStepFraction(std::size_t step) { return kSteps[std::min(step, kSteps.size() - 1)].fraction; }

std::size_t CurrentStep(const RolloutProgress& progress, TimePoint now) {
  return RolloutStepAt(AgeOf(progress, now), progress.order.duration, SumTallies(progress.target).answers);
}

double AllowedTargetSends(const RolloutSettings& settings, double slack_part, std::uint32_t requests,
                          double fraction) {
  return kUsedShareOfBound * fraction * (settings.canary_share * requests + slack_part);
}

std::int64_t CurrentPulse(const RolloutProgress& progress, TimePoint now) {
  return AgeOf(progress, now) / kPulsePeriod;
}

bool IsSwitching(const RolloutProgress& progress, TimePoint now) {
  return progress.switch_step > 0 && now - progress.switch_at < kSwitchTime && !progress.bad &&
         !IsFinal(progress.state);
}

void CountRolloutRequest(RolloutProgress& progress, TimePoint now) {
  ++progress.own.requests;
  if (const std::int64_t pulse = CurrentPulse(progress, now); pulse != progress.pulse) {
    progress.requests_of_last_pulse = progress.own.requests - progress.requests_at_pulse;
    progress.requests_at_pulse = progress.own.requests;
    progress.pulse = pulse;
  }
}

RolloutChoice ChooseRolloutVersion(RolloutProgress& progress, const RolloutSettings& settings, bool idempotent,
                                   std::size_t other_upstreams, TimePoint now) {
  if (progress.state == RolloutState::kComplete) {
    return RolloutChoice::kTarget;
  }
  if (progress.bad || progress.state == RolloutState::kRolledBack) {
    return RolloutChoice::kOthers;
  }
  if (IsSwitching(progress, now) && (progress.switch_step % 2 == 0 || !idempotent)) {
    return RolloutChoice::kTarget;
  }
  const bool in_pulse =
      AgeOf(progress, now) % kPulsePeriod < kPulseLength || progress.requests_of_last_pulse < kFewRequests;
  const double allowed = AllowedTargetSends(settings, progress.slack_part, progress.own.requests,
                                            RolloutStepFraction(CurrentStep(progress, now)));
  if (!in_pulse || progress.sends + 1 > allowed) {
    return RolloutChoice::kOthers;
  }
  progress.canary_credit +=
      std::min(1.0, kCanaryLoad / static_cast<double>(std::max<std::size_t>(other_upstreams, 1)));
  if (progress.canary_credit < 1) {
    return RolloutChoice::kOthers;
  }
  progress.canary_credit -= 1;
  return RolloutChoice::kCanary;
}

RolloutChoice ChooseRolloutVersionNaive(RolloutProgress& progress, TimePoint now) {
  constexpr std::array<double, 4> kLadder = {0.05, 0.1, 0.25, 0.5};  // a quarter of the time until the decision each
  if (progress.state == RolloutState::kComplete) {
    return RolloutChoice::kTarget;
  }
  if (progress.bad || progress.state == RolloutState::kRolledBack) {
    return RolloutChoice::kOthers;
  }
  const auto rung = static_cast<std::size_t>(kLadder.size() * AgeOf(progress, now) /
                                             std::max(DecisionAge(progress.order.duration), Duration(1)));
  progress.canary_credit += kLadder[std::min(rung, kLadder.size() - 1)];
  if (progress.canary_credit < 1) {
    return RolloutChoice::kOthers;
  }
  progress.canary_credit -= 1;
  return RolloutChoice::kCanary;
}

RolloutAction DecideRollout(const RolloutProgress& progress, const RolloutSituation& situation, TimePoint now) {
  const Duration rank_delay = kRankDelay * static_cast<Duration::rep>(situation.rank);
  if (IsFinal(progress.state)) {
    // The store has an older state: it was restored from a copy, or the write was lost with it.
    const bool lost = situation.stored_state != progress.state && !IsFinal(situation.stored_state) &&
                      situation.stored_state_age >= kRewriteDelay + rank_delay;
    return !lost                                       ? RolloutAction::kNone
           : progress.state == RolloutState::kComplete ? RolloutAction::kWriteComplete
                                                       : RolloutAction::kWriteRolledBack;
  }
  if (progress.bad) {
    return now - progress.bad_at >= rank_delay ? RolloutAction::kWriteRolledBack : RolloutAction::kNone;
  }
  const Duration age = AgeOf(progress, now);
  const Duration decision_age = DecisionAge(progress.order.duration);
  const bool last_call = age >= progress.order.duration - kLastCall;
  if (age >= decision_age + rank_delay && HasShownEnough(progress, situation, last_call)) {
    // A step that another daemon has begun is left to it while it goes on.
    if (situation.rank > 0 && IsSwitching(progress, now) && now - progress.switch_at < rank_delay) {
      return RolloutAction::kNone;
    }
    return DecideSwitch(progress, situation, last_call, now);
  }
  if (age >= progress.order.duration * 3 / 2 + rank_delay && progress.requests >= kRequestsToProve &&
      SumTallies(progress.target).answers == 0) {
    return RolloutAction::kWriteRolledBack;  // no upstream of the version has ever answered
  }
  const bool write_running = progress.state == RolloutState::kNone && now - progress.learned_at >= rank_delay;
  return write_running ? RolloutAction::kWriteRunning : RolloutAction::kNone;
}

RolloutAction DecideRolloutNaive(const RolloutProgress& progress, const RolloutSituation& situation, TimePoint now) {
  if (IsFinal(progress.state) || situation.rank > 0) {
    return RolloutAction::kNone;
  }
  if (progress.bad) {
    return RolloutAction::kWriteRolledBack;
  }
  return AgeOf(progress, now) >= DecisionAge(progress.order.duration) ? RolloutAction::kWriteComplete
                                                                      : RolloutAction::kNone;
}

RolloutReportCheck CheckRolloutReports(const RolloutProgress& progress, const std::vector<std::uint64_t>& daemons,
                                       Duration max_age, TimePoint now) {
  RolloutReportCheck check;
  check.settled = progress.own.settled_step >= progress.switch_step;
  for (const std::uint64_t daemon : daemons) {
    const auto found = progress.peers.find(daemon);
    if (daemon == progress.own.reporter) {
      continue;
    }
    if (found == progress.peers.end() || now - found->second.grown_at > max_age) {
      check.recent = false;
      check.settled = false;
      continue;
    }
    check.settled = check.settled && found->second.report.settled_step >= progress.switch_step;
  }
  return check;
}

}  // namespace pimentomoor
