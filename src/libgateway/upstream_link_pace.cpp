// Pace of the link to an upstream that has just started or recovered: when it begins and ends, and which outcomes of
// exchanges it counts.
#include <functional>

#include "pimentomoor/log.h"
#include "pimentomoor/upstream_link.h"

namespace pimentomoor {

namespace {

// Whether the upstream says that it had no room or no time. It may say so without the field that proves it, and a 504
// is its answer when the time limit passes in its queue or while it works.
bool IsRefusal(const ResponseMessage& response) {
  return response.not_run || response.status == 429 || response.status == 503 || response.status == 504;
}

// Position of this daemon's first request among those of all daemons, in [0, 1).
double PacePhase(const std::string& upstream_id, std::uint64_t daemon_id) {
  constexpr std::size_t kSteps = 1'024;
  const std::size_t hash = std::hash<std::string>()(upstream_id + "/" + std::to_string(daemon_id));
  return static_cast<double>(hash % kSteps) / static_cast<double>(kSteps);
}

}  // namespace

PaceConditions UpstreamLink::MakePaceConditions(TimePoint now) const {
  return {.now = now,
          .slots = std::max(entry_.slots, 1U),
          .senders = senders_known ? std::max<std::size_t>(sender_count, 1) : kAssumedPaceSenders,
          .running = unanswered_.size(),
          .cold_until = std::max(cold_until_, assumed_cold_until_),
          .cold_bounded = limits_cold_rate && cold(now)};
}

bool UpstreamLink::HasRoomAtPace(TimePoint now, std::size_t pending) const {
  if (!pace.active) {
    return true;
  }
  PaceConditions conditions = MakePaceConditions(now);
  conditions.running += pending;
  return HasPaceRoom(pace, conditions);
}

void UpstreamLink::StartPace(PaceReason reason) {
  // What an upstream says of its cold time, and failures in a row, don't start a pace anew.
  const bool restarts = reason == PaceReason::kCrash || reason == PaceReason::kOutageEnd;
  if (!context_.pace.enabled || retired_ || (pace.active && !restarts)) {
    return;
  }
  if (!pace.active) {
    LogInfo("upstream pace begins",
            {{"upstream", entry_.id}, {"service", entry_.service}, {"reason", ToString(reason)}});
  }
  context_.metrics.Count("pimentomoor_upstream_pace_begun_total", 1,
                         std::string("reason=\"") + ToString(reason) + "\"");
  BeginPace(pace, reason, PacePhase(entry_.id, context_.daemon_id), MakePaceConditions(context_.loop.Now()));
}

void UpstreamLink::RecordPace(const UpstreamExchange& exchange, ExchangeOutcome outcome,
                              const ResponseMessage& response) {
  // A connection that this daemon closed for a cancelled request, and another instance, say nothing about the
  // upstream.
  if (outcome == ExchangeOutcome::kNotSent || response.status == 421 ||
      (outcome == ExchangeOutcome::kLost && exchange.handler.expired())) {
    return;
  }
  const bool answered = outcome == ExchangeOutcome::kAnswered;
  const PaceOutcome pace_outcome = answered && IsRefusal(response)     ? PaceOutcome::kRefused
                                   : answered && response.status < 500 ? PaceOutcome::kAnswered
                                                                       : PaceOutcome::kFailed;
  pace.usual = exchange.expected_latency;
  const PaceConditions conditions = MakePaceConditions(context_.loop.Now());
  if (RecordPaceOutcome(pace, pace_outcome, exchange.sent_at, conditions)) {
    context_.metrics.Count("pimentomoor_upstream_pace_cuts_total", 1,
                           std::string("reason=\"") + ToString(pace.last_change) + "\"");
    if (!conditions.cold_bounded) {  // a request that is placed anew there would take a second cold token
      ReleaseWaiting([](const UpstreamExchange&) { return true; });
    }
  }
  if (pace.failures_in_a_row >= kPaceFailureRun) {
    StartPace(PaceReason::kFailures);
  }
}

void UpstreamLink::RecordPaceConnectFailure() {
  const TimePoint now = context_.loop.Now();
  RecordPaceOutcome(pace, PaceOutcome::kFailed, now, MakePaceConditions(now));
  if (pace.failures_in_a_row >= kPaceFailureRun) {
    StartPace(PaceReason::kFailures);
  }
}

void UpstreamLink::EndPaceIfOver(TimePoint now) {
  if (context_.pace.enabled && !IsPaceOver(pace, MakePaceConditions(now))) {
    return;
  }
  pace = {.failures_in_a_row = pace.failures_in_a_row, .usual = pace.usual};
  LogInfo("upstream pace ends", {{"upstream", entry_.id}, {"service", entry_.service}});
  SendWaiting();
}

}  // namespace pimentomoor
