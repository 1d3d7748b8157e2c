// Implementation of the pace of upstreams that have just started or recovered.
#include "pimentomoor/upstream_pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentomoor {

namespace {

// Requests at once that all daemons together start with. An upstream that bears fewer refuses or slows down at once.
constexpr double kInitialTotal = 2;
constexpr double kMinTotal = 0.5;  // least sum of the limits, so that an upstream that fails is probed
// A daemon whose limit is below 1 may wait long for its first answer, so until then its limit doubles in this time or
// in two usual latencies. It stays within the daemon's part of the upstream's room.
constexpr Duration kBlindDoublingTime = std::chrono::milliseconds(250);
constexpr Duration kBlindDoublingTimeAfterCut = std::chrono::seconds(1);
// Latency that is assumed of an upstream that has not answered yet, as a multiple of the usual one. Searchers that
// have just started take up to this long.
constexpr double kUnknownSlowness = 2;
constexpr Duration kAssumedUsual = std::chrono::milliseconds(50);

// Weight of an earlier sample in the moving average `ratio`; it halves in the time, since with many daemons one of
// them gets an answer only every second or so.
constexpr double kEarlierWeight = 0.6;
constexpr Duration kEarlierHalfLife = std::chrono::milliseconds(500);
// A sample counts as at most this multiple of the average, so that one answer that is held up doesn't cut the limit
// by more than a little.
constexpr double kMaxSampleRatio = 4;
// The limit is cut when the average exceeds this multiple of the usual latency, or of the upstream's own least one if
// that is more: an upstream that is always slow is not cut for it.
constexpr double kSlowRatio = 2;
constexpr double kMinSlowCut = 0.5;
constexpr double kMaxSlowCut = 0.9;
constexpr double kRefusalCut = 0.7;
constexpr double kFailureCut = 0.5;
constexpr double kRaiseSteps = 4;  // rounds of additive raises from zero to the ceiling, at most one request each
constexpr double kBelowCut = 0.9;
// Time after a cut during which the limit stays below the one that was cut. Without it, an upstream that collapses
// beyond some number of requests would collapse every few round trips.
constexpr Duration kProbeInterval = std::chrono::seconds(2);

constexpr Duration kSettleTime = std::chrono::seconds(1);       // without a cut, before a pace that bears all ends
constexpr Duration kUnusedTime = std::chrono::seconds(3);       // a pace that didn't limit anything ends after it
constexpr Duration kMaxCalmTime = std::chrono::seconds(10);     // a pace at the ceiling without cuts ends after it
constexpr Duration kMaxFailingTime = std::chrono::seconds(30);  // a pace after a failure ends without requests

double Share(double total, const PaceConditions& conditions) {
  return total / static_cast<double>(std::max<std::size_t>(conditions.senders, 1));
}

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

Duration UsualLatency(const UpstreamPace& pace) { return pace.usual > Duration::zero() ? pace.usual : kAssumedUsual; }

// Time between the starts of two requests that keeps the mean number of running ones at `limit`, which is below 1.
Duration SendInterval(const UpstreamPace& pace, double limit) {
  const double slowness = pace.ratio > 0 ? std::max(pace.ratio, 1.0) : kUnknownSlowness;
  return Scale(UsualLatency(pace), slowness / limit);
}

bool HasRoomAt(double limit, const UpstreamPace& pace, const PaceConditions& conditions) {
  if (limit >= 1) {
    return static_cast<double>(conditions.running) + 1 <= limit;
  }
  if (conditions.running > 0) {
    return false;
  }
  const Duration interval = SendInterval(pace, limit);
  return pace.sent_at == TimePoint{}
             ? conditions.now - std::max(pace.began_at, conditions.cold_until) >= Scale(interval, pace.phase)
             : conditions.now - pace.sent_at >= interval;
}

void SetLimit(UpstreamPace& pace, double limit, PaceChange change, TimePoint now) {
  if (limit != pace.limit) {
    pace.limit = limit;
    pace.last_change = change;
    pace.changed_at = now;
  }
}

// Largest limit that a raise may reach now.
double MaxRaise(const UpstreamPace& pace, const PaceConditions& conditions) {
  const bool probes = pace.cut_limit == 0 || conditions.now - pace.cut_at >= kProbeInterval;
  return probes ? PaceCeiling(conditions) : std::min(PaceCeiling(conditions), pace.cut_limit * kBelowCut);
}

// Cuts at most once in a round trip: requests that were sent before the last cut tell nothing about the new limit.
bool Cut(UpstreamPace& pace, double factor, PaceChange change, TimePoint sent_at, const PaceConditions& conditions) {
  if (sent_at < pace.cut_at) {
    return false;
  }
  pace.cut_limit = pace.limit >= 1 ? std::floor(pace.limit) : pace.limit;
  pace.cut_at = conditions.now;
  SetLimit(pace, std::max(pace.cut_limit * factor, std::min(pace.limit, Share(kMinTotal, conditions))), change,
           conditions.now);
  return true;
}

void Raise(UpstreamPace& pace, TimePoint sent_at, const PaceConditions& conditions) {
  // A request that left room says nothing about a higher limit.
  if (pace.limit >= 1 && pace.bound_at < sent_at) {
    return;
  }
  double limit = 0;
  if (pace.cut_limit == 0) {
    limit = pace.limit + std::min(pace.limit, 1.0);  // doubles in each round trip
  } else {
    const double step = std::min(1.0, PaceCeiling(conditions) / kRaiseSteps);
    limit = pace.limit + step / std::max(pace.limit, 1.0);
  }
  SetLimit(pace, std::max(pace.limit, std::min(limit, MaxRaise(pace, conditions))), PaceChange::kAnswered,
           conditions.now);
}

// Returns whether the answers have become slow.
bool RecordRatio(UpstreamPace& pace, Duration latency, Duration since_last) {
  const double sample = std::chrono::duration<double>(latency) / std::chrono::duration<double>(UsualLatency(pace));
  if (pace.ratio == 0) {
    pace.ratio = pace.base_ratio = sample;
  } else {
    const double earlier = kEarlierWeight * std::exp2(-std::chrono::duration<double>(since_last) /
                                                      std::chrono::duration<double>(kEarlierHalfLife));
    pace.ratio = earlier * pace.ratio + (1 - earlier) * std::min(sample, kMaxSampleRatio * std::max(pace.ratio, 1.0));
    pace.base_ratio = std::min(pace.base_ratio, pace.ratio);
  }
  return pace.ratio > kSlowRatio * std::max(pace.base_ratio, 1.0);
}

}  // namespace

const char* ToString(PaceReason reason) {
  switch (reason) {
    case PaceReason::kStart:
      return "start";
    case PaceReason::kCold:
      return "cold";
    case PaceReason::kCrash:
      return "crash";
    case PaceReason::kOutageEnd:
      return "outage end";
    case PaceReason::kFailures:
      return "failures";
  }
  return "";
}

const char* ToString(PaceChange change) {
  switch (change) {
    case PaceChange::kBegan:
      return "began";
    case PaceChange::kAnswered:
      return "answered";
    case PaceChange::kSlow:
      return "slow";
    case PaceChange::kRefused:
      return "refused";
    case PaceChange::kFailed:
      return "failed";
  }
  return "";
}

void BeginPace(UpstreamPace& pace, PaceReason reason, double phase, const PaceConditions& conditions) {
  pace = {.active = true,
          .reason = reason,
          .failures_in_a_row = pace.failures_in_a_row,
          .limit = std::min(Share(kInitialTotal, conditions), PaceCeiling(conditions)),
          .phase = phase,
          .usual = pace.usual,
          .began_at = conditions.now,
          .changed_at = conditions.now};
}

double PaceCeiling(const PaceConditions& conditions) { return Share(std::max(conditions.slots, 1U), conditions); }

double CurrentPaceLimit(const UpstreamPace& pace, const PaceConditions& conditions) {
  const double ceiling = PaceCeiling(conditions);
  double limit = pace.limit;
  const Duration waited = conditions.now - std::max({pace.began_at, pace.outcome_at, conditions.cold_until});
  if (limit < 1 && waited > Duration::zero()) {
    const bool cut = pace.cut_limit > 0;
    const Duration doubling_time =
        std::max(cut ? kBlindDoublingTimeAfterCut : kBlindDoublingTime, 2 * UsualLatency(pace));
    const double raised =
        limit * std::exp2(std::chrono::duration<double>(waited) / std::chrono::duration<double>(doubling_time));
    limit = std::max(limit, std::min({raised, 1.0, MaxRaise(pace, conditions)}));
  }
  return std::min(limit, ceiling);
}

bool HasPaceRoom(const UpstreamPace& pace, const PaceConditions& conditions) {
  return !pace.active || conditions.cold_bounded || HasRoomAt(CurrentPaceLimit(pace, conditions), pace, conditions);
}

bool HasFixedRampRoom(const UpstreamPace& pace, const PaceConditions& conditions) {
  const double elapsed =
      std::chrono::duration<double>(conditions.now - pace.began_at) / std::chrono::duration<double>(kFixedRampTime);
  if (!pace.active || elapsed >= 1) {
    return true;
  }
  const double start = Share(kInitialTotal, conditions);
  return HasRoomAt(start + (PaceCeiling(conditions) - start) * elapsed, pace, conditions);
}

void RecordPaceSend(UpstreamPace& pace, const PaceConditions& conditions) {
  if (!pace.active) {
    return;
  }
  const double limit = CurrentPaceLimit(pace, conditions);
  const bool bound =
      limit >= 1 ? static_cast<double>(conditions.running) + 2 > limit
                 : pace.sent_at != TimePoint{} && conditions.now - pace.sent_at < 2 * SendInterval(pace, limit);
  if (bound) {
    pace.bound_at = conditions.now;
  }
  pace.sent_at = conditions.now;
}

bool RecordPaceOutcome(UpstreamPace& pace, PaceOutcome outcome, TimePoint sent_at, const PaceConditions& conditions) {
  if (outcome == PaceOutcome::kAnswered) {
    pace.failures_in_a_row = 0;
  } else if (outcome == PaceOutcome::kFailed) {
    ++pace.failures_in_a_row;
  }
  if (!pace.active || sent_at < pace.began_at) {
    return false;
  }
  pace.limit = CurrentPaceLimit(pace, conditions);
  const Duration since_last = conditions.now - std::exchange(pace.outcome_at, conditions.now);
  pace.failing = outcome == PaceOutcome::kFailed || (pace.failing && outcome == PaceOutcome::kRefused);
  if (outcome == PaceOutcome::kFailed) {
    return Cut(pace, kFailureCut, PaceChange::kFailed, sent_at, conditions);
  }
  if (outcome == PaceOutcome::kRefused) {
    return Cut(pace, kRefusalCut, PaceChange::kRefused, sent_at, conditions);
  }
  if (RecordRatio(pace, conditions.now - sent_at, since_last)) {
    const double factor = kSlowRatio * std::max(pace.base_ratio, 1.0) / pace.ratio;
    return Cut(pace, std::clamp(factor, kMinSlowCut, kMaxSlowCut), PaceChange::kSlow, sent_at, conditions);
  }
  Raise(pace, sent_at, conditions);
  return false;
}

bool IsPaceOver(const UpstreamPace& pace, const PaceConditions& conditions) {
  if (conditions.now < conditions.cold_until) {
    return false;
  }
  const TimePoint calm_since = std::max({pace.began_at, pace.cut_at, conditions.cold_until});
  if (pace.failing) {
    return conditions.now - std::max(calm_since, pace.sent_at) >= kMaxFailingTime;
  }
  const double limit = CurrentPaceLimit(pace, conditions);
  const bool at_ceiling = limit >= PaceCeiling(conditions);
  const Duration unused_time = limit < 1 ? std::max(kUnusedTime, 2 * SendInterval(pace, limit)) : kUnusedTime;
  const bool fast = pace.ratio > 0 && pace.ratio <= kSlowRatio;
  const bool settled = pace.cut_limit == 0 || conditions.now - pace.cut_at >= kSettleTime;
  return (at_ceiling && fast && settled) || (at_ceiling && conditions.now - calm_since >= kMaxCalmTime) ||
         conditions.now - std::max(calm_since, pace.bound_at) >= unused_time;
}

}  // namespace pimentomoor
