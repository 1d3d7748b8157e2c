// Implementation of the state that the owner of an upstream keeps for it.
#include "pimentomoor/upstream_policy.h"

#include <algorithm>

namespace pimentomoor {

namespace {

// Time after a new incarnation in which a `leaving` entry of the host list is taken to describe the previous
// incarnation. It can't be much longer, because a leaving upstream must get no new requests after a few seconds.
constexpr Duration kMaxHostListLag = std::chrono::seconds(5);

// Number of samples below which the median is too uncertain to call an answer slow.
constexpr std::uint32_t kMinBaselineSamples = 16;

// Number of samples between two updates of the median. An update for each sample takes most of the time of
// OnFinish().
constexpr std::uint32_t kSamplesPerMedianUpdate = 8;

bool IsAnswer(AttemptResult result) {
  return result == AttemptResult::kOk || result == AttemptResult::kShed || result == AttemptResult::kError ||
         result == AttemptResult::kWrongSnapshot;
}

bool IsConnectionFailure(AttemptResult result) {
  return result == AttemptResult::kConnectFailed || result == AttemptResult::kConnectionLost;
}

bool MayStillRun(AttemptResult result) {
  return result == AttemptResult::kTimeout || result == AttemptResult::kConnectionLost;
}

std::uint32_t MaxConcurrencyLimit(const UpstreamLimits& limits) { return std::min(limits.slots, limits.connections); }

// Enters `phase` and restarts the ramp and the latency baseline.
void ResetToPhase(UpstreamState& state, UpstreamPhase phase, TimePoint now) {
  state.phase = phase;
  state.concurrency_limit = 1;
  state.resumed_concurrency_limit = 0;
  state.cold_since = now;
  state.last_raise = now;
  state.consecutive_slow_answers = 0;
  // The baseline is measured again once the upstream is warm. With the old median, an upstream that has become slower
  // for good would become cold again and again.
  state.baseline = {};
}

void TurnCold(UpstreamState& state, const UpstreamLimits& limits, TimePoint now) {
  ResetToPhase(state, UpstreamPhase::kCold, now);
  state.concurrency_limit = std::min(limits.cold_concurrency_limit, MaxConcurrencyLimit(limits));
}

void RaiseConcurrencyLimit(UpstreamState& state, const UpstreamLimits& limits, std::uint32_t concurrency_limit,
                           TimePoint now) {
  const std::uint32_t maximum = MaxConcurrencyLimit(limits);
  state.concurrency_limit = std::min(maximum, concurrency_limit);
  state.resumed_concurrency_limit = 0;
  state.phase = state.concurrency_limit >= maximum ? UpstreamPhase::kWarm : UpstreamPhase::kWarming;
  state.last_raise = now;
}

// Ends a running request. One that may still run at the upstream occupies its slot until the end of its hold.
void ReleaseSlot(UpstreamState& state, const UpstreamLimits& limits, AttemptResult result, TimePoint now) {
  state.running -= std::min(state.running, 1U);
  std::erase_if(state.abandoned, [now](TimePoint hold_end) { return hold_end <= now; });
  if (!MayStillRun(result)) {
    return;
  }
  const TimePoint hold_end =
      now + (result == AttemptResult::kTimeout ? limits.timeout_hold : limits.lost_connection_hold);
  state.abandoned.insert(std::upper_bound(state.abandoned.begin(), state.abandoned.end(), hold_end), hold_end);
  // Entries beyond the number of slots change no decision; only a caller that ignores MayStart() produces them.
  if (state.abandoned.size() > std::max(limits.slots, 1U)) {
    state.abandoned.erase(state.abandoned.begin());
  }
}

// Whether the report is taken to come from an earlier incarnation: the attempt started before the current incarnation
// was first seen, and its answer doesn't name the current one.
bool IsFromEarlierIncarnation(const UpstreamState& state, const AttemptReport& report, TimePoint started) {
  return started <= state.incarnation_since && report.incarnation != state.incarnation;
}

// Applies a report for which IsFromEarlierIncarnation() holds. It makes the upstream cold at most: the failures of
// one crash must not make the restarted process down, and the drain of the previous process must not drain it.
void ApplyReportOfEarlierIncarnation(UpstreamState& state, const UpstreamLimits& limits, AttemptResult result,
                                     TimePoint now) {
  if (result != AttemptResult::kTimeout && ConcurrencyLimit(state, limits) > 0 &&
      state.phase != UpstreamPhase::kDown) {
    TurnCold(state, limits, now);
  }
}

void AdoptIncarnation(UpstreamState& state, const UpstreamLimits& limits, std::uint64_t incarnation, TimePoint now) {
  if (incarnation == 0 || incarnation == state.incarnation) {
    return;
  }
  if (state.incarnation != 0) {
    state.hinted_incarnation = state.incarnation;
    state.consecutive_connection_failures = 0;
    TurnCold(state, limits, now);
  }
  state.incarnation_since = now;
  state.incarnation = incarnation;
}

void Drain(UpstreamState& state, bool leave_confirmed) {
  if (state.phase != UpstreamPhase::kDraining) {
    state.phase = UpstreamPhase::kDraining;
    state.leave_confirmed = leave_confirmed;
  }
}

void CountConnectionFailure(UpstreamState& state, const UpstreamLimits& limits, TimePoint now) {
  ++state.consecutive_connection_failures;
  if (state.phase == UpstreamPhase::kDown || state.consecutive_connection_failures >= limits.down_after_failures) {
    ResetToPhase(state, UpstreamPhase::kDown, now);
  } else {
    TurnCold(state, limits, now);
  }
}

void UpdateMedian(LatencyBaseline& baseline) {
  auto samples = baseline.samples;
  const auto middle = samples.begin() + baseline.count / 2;
  std::nth_element(samples.begin(), middle, samples.begin() + baseline.count);
  baseline.median = *middle;
}

void AddSample(LatencyBaseline& baseline, Duration latency) {
  baseline.samples[baseline.next] = latency;
  baseline.next = (baseline.next + 1) % LatencyBaseline::kSamples;
  baseline.count = std::min(baseline.count + 1, LatencyBaseline::kSamples);
  if (baseline.count >= kMinBaselineSamples && baseline.next % kSamplesPerMedianUpdate == 0) {
    UpdateMedian(baseline);
  }
}

// Counts the consecutive slow answers of a warm upstream; a timeout counts as an answer after the time that it
// waited. Returns whether there are enough of them to make the upstream cold.
bool CountSlowAnswer(UpstreamState& state, const UpstreamLimits& limits, const AttemptReport& report) {
  const bool ok = report.result == AttemptResult::kOk;
  if (state.phase != UpstreamPhase::kWarm || !(ok || report.result == AttemptResult::kTimeout)) {
    return false;
  }
  const double limit = limits.slow_latency_factor * static_cast<double>(state.baseline.median.count());
  const bool slow = limit > 0 && static_cast<double>(report.latency.count()) > limit;
  if (slow) {
    ++state.consecutive_slow_answers;
  } else if (ok) {
    state.consecutive_slow_answers = 0;
  }
  if (ok) {
    AddSample(state.baseline, report.latency);
  }
  return state.consecutive_slow_answers >= limits.cold_after_slow_answers;
}

// Whether the report allows the next raise of the ramp.
bool JustifiesRaise(const UpstreamState& state, const UpstreamLimits& limits, const AttemptReport& report,
                    TimePoint now) {
  const bool below_maximum =
      state.phase == UpstreamPhase::kCold || ConcurrencyLimit(state, limits) < MaxConcurrencyLimit(limits);
  return below_maximum && report.result == AttemptResult::kOk && now - state.last_raise >= limits.ramp_interval;
}

// Applies what a report says about the load that the upstream can take. The upstream is neither draining nor down.
void ApplyLoadReport(UpstreamState& state, const UpstreamLimits& limits, const AttemptReport& report, TimePoint now) {
  if (report.cold || report.result == AttemptResult::kShed) {
    TurnCold(state, limits, now);
    if (report.result == AttemptResult::kShed) {
      state.pause_until = now + limits.shed_pause;
    }
    return;
  }
  // An attempt that started before the upstream became cold says nothing about its current state.
  if (now - report.latency <= state.cold_since) {
    return;
  }
  if (CountSlowAnswer(state, limits, report)) {
    TurnCold(state, limits, now);
  } else if (state.resumed_concurrency_limit > 0 && report.result == AttemptResult::kOk &&
             report.incarnation == state.incarnation) {
    RaiseConcurrencyLimit(state, limits, state.resumed_concurrency_limit, now);
  } else if (JustifiesRaise(state, limits, report, now)) {
    RaiseConcurrencyLimit(state, limits, ConcurrencyLimit(state, limits) + 1, now);
  }
}

bool ProbeIsDue(const UpstreamState& state, const UpstreamLimits& limits, TimePoint now) {
  return state.listed && now - std::max(state.cold_since, state.last_start) >= limits.probe_interval;
}

}  // namespace

std::string_view ToString(UpstreamPhase phase) {
  switch (phase) {
    case UpstreamPhase::kCold:
      return "cold";
    case UpstreamPhase::kWarming:
      return "warming";
    case UpstreamPhase::kWarm:
      return "warm";
    case UpstreamPhase::kDraining:
      return "draining";
    case UpstreamPhase::kDown:
      return "down";
  }
  return "unknown";
}

UpstreamState InitialUpstreamState(TimePoint now) {
  UpstreamState state;
  ResetToPhase(state, UpstreamPhase::kCold, now);
  return state;
}

UpstreamState TakenOverUpstreamState(const UpstreamLimits& limits, std::uint32_t concurrency_limit,
                                     std::uint64_t incarnation, TimePoint now) {
  UpstreamState state = InitialUpstreamState(now);
  if (concurrency_limit > limits.cold_concurrency_limit && incarnation != 0) {
    state.resumed_concurrency_limit = concurrency_limit;
    state.incarnation = incarnation;
    state.incarnation_since = now;
  }
  return state;
}

std::uint32_t ConcurrencyLimit(const UpstreamState& state, const UpstreamLimits& limits) {
  const std::uint32_t maximum = MaxConcurrencyLimit(limits);
  switch (state.phase) {
    case UpstreamPhase::kCold:
      return std::min(maximum, limits.cold_concurrency_limit);
    case UpstreamPhase::kWarming:
    case UpstreamPhase::kWarm:
      return std::min(maximum, state.concurrency_limit);
    case UpstreamPhase::kDown:
      return std::min(maximum, 1U);
    case UpstreamPhase::kDraining:
      return 0;
  }
  return 0;
}

std::uint32_t OccupiedSlots(const UpstreamState& state, TimePoint now) {
  const auto held = std::count_if(state.abandoned.begin(), state.abandoned.end(),
                                  [now](TimePoint hold_end) { return hold_end > now; });
  return state.running + static_cast<std::uint32_t>(held);
}

bool MayStart(const UpstreamState& state, const UpstreamLimits& limits, TimePoint now) {
  if (state.phase == UpstreamPhase::kDown && !ProbeIsDue(state, limits, now)) {
    return false;
  }
  return now >= state.pause_until && OccupiedSlots(state, now) < ConcurrencyLimit(state, limits);
}

bool MayStartNaive(const UpstreamState& state, const UpstreamLimits& limits, TimePoint /*now*/) {
  return state.running < limits.slots;
}

bool MayQueue(const UpstreamState& state, const UpstreamLimits& limits, std::uint32_t queued, TimePoint now) {
  switch (state.phase) {
    case UpstreamPhase::kDraining:
      return false;
    case UpstreamPhase::kDown:
      return queued == 0 && MayStart(state, limits, now);
    default:
      return queued < limits.max_queue;
  }
}

bool MayQueueNaive(const UpstreamState& /*state*/, const UpstreamLimits& limits, std::uint32_t queued,
                   TimePoint /*now*/) {
  return queued < limits.max_queue;
}

UpstreamState OnStart(UpstreamState state, TimePoint now) {
  ++state.running;
  state.last_start = now;
  return state;
}

UpstreamState OnFinish(UpstreamState state, const UpstreamLimits& limits, const AttemptReport& report,
                       TimePoint now) {
  ReleaseSlot(state, limits, report.result, now);
  const TimePoint started = now - report.latency;
  if (IsFromEarlierIncarnation(state, report, started)) {
    ApplyReportOfEarlierIncarnation(state, limits, report.result, now);
    return state;
  }
  AdoptIncarnation(state, limits, report.incarnation, now);
  if (report.draining) {
    Drain(state, /*leave_confirmed=*/false);
  }
  if (state.phase == UpstreamPhase::kDraining) {
    return state;
  }
  if (IsConnectionFailure(report.result)) {
    CountConnectionFailure(state, limits, now);
    return state;
  }
  if (state.phase == UpstreamPhase::kDown) {
    if (!IsAnswer(report.result) || started <= state.cold_since) {
      return state;
    }
    TurnCold(state, limits, now);
  }
  if (IsAnswer(report.result)) {
    state.consecutive_connection_failures = 0;
  }
  ApplyLoadReport(state, limits, report, now);
  return state;
}

UpstreamState OnHostList(UpstreamState state, bool listed, bool leaving, TimePoint now) {
  state.listed = listed;
  const bool draining = state.phase == UpstreamPhase::kDraining;
  if (draining && (leaving || !listed)) {
    state.leave_confirmed = true;
  } else if (draining && state.leave_confirmed) {
    ResetToPhase(state, UpstreamPhase::kCold, now);
  } else if (!draining && leaving && now - state.incarnation_since >= kMaxHostListLag) {
    Drain(state, /*leave_confirmed=*/true);
  }
  return state;
}

UpstreamState OnIncarnationHint(UpstreamState state, std::uint64_t incarnation, TimePoint now) {
  const bool known = incarnation == state.incarnation || incarnation == state.hinted_incarnation;
  if (state.phase != UpstreamPhase::kDraining || incarnation == 0 || known) {
    return state;
  }
  // The first incarnation that is ever seen may be that of the draining process itself.
  const bool is_successor = state.incarnation != 0 || state.hinted_incarnation != 0;
  state.hinted_incarnation = incarnation;
  if (is_successor) {
    ResetToPhase(state, UpstreamPhase::kCold, now);
  }
  return state;
}

}  // namespace pimentomoor
