// The entry's and the sentinel's messages about crashing requests.
#include <algorithm>
#include <utility>

#include "pimentomoor/crash_guard.h"
#include "pimentomoor/rendezvous.h"

namespace pimentomoor {

namespace {

// The standby grants one copy. An entry sends a second one only of a canary without strikes.
CanaryDecision ForOneCopy(CanaryDecision decision) {
  decision.strikes = std::max(decision.strikes, 1U);
  return decision;
}

}  // namespace

CrashGuardTask::CrashGuardTask(EventLoop& loop, CrashGuardOptions options, Send send, Sentinel sentinel, Peers peers,
                               Metrics& metrics)
    : loop_(loop),
      options_(std::move(options)),
      send_(std::move(send)),
      sentinel_(std::move(sentinel)),
      peers_(std::move(peers)),
      metrics_(metrics) {}

CrashGuardTask::~CrashGuardTask() {
  for (const auto& [id, pending] : pending_) {
    loop_.Cancel(pending.timer);
  }
}

void CrashGuardTask::Admit(std::uint64_t fingerprint, Done done) {
  ExpireCanaries(state_, options_, loop_.Now());
  const auto strikes = static_cast<std::uint32_t>(StrikeCount(state_, fingerprint));
  const std::uint64_t id = next_request_++;
  if (options_.mode != CrashGuardMode::kOff && strikes >= options_.max_strikes) {
    return Tell(fingerprint, id, options_.self.incarnation(),
                {.verdict = proto::CANARY_QUARANTINED, .strikes = strikes}, done);
  }
  if (options_.mode == CrashGuardMode::kOff || (options_.mode == CrashGuardMode::kAfterStrike && strikes == 0) ||
      IsProven(state_, fingerprint)) {
    return Tell(fingerprint, id, options_.self.incarnation(), {.verdict = proto::CANARY_PROVEN, .strikes = strikes},
                done);
  }
  const std::optional<proto::Daemon> sentinel = sentinel_(fingerprint);
  if (!sentinel || sentinel->incarnation() == options_.self.incarnation()) {
    return DecideLocally(fingerprint, id, false, done);
  }
  if (pending_.size() >= options_.max_pending) {
    return Tell(fingerprint, id, options_.self.incarnation(), {.strikes = strikes}, done);
  }
  pending_[id] = {.fingerprint = fingerprint,
                  .sentinel = *sentinel,
                  .deadline = loop_.Now() + options_.sentinel_timeout,
                  .done = std::move(done)};
  Ask(id);
}

void CrashGuardTask::Ask(std::uint64_t id) {
  const auto found = pending_.find(id);
  Pending& pending = found->second;
  if (loop_.Now() >= pending.deadline) {
    metrics_.Count("pimentomoor_canary_sentinel_timeouts_total");
    const auto standby = pending.standby ? std::nullopt : Standby(pending.fingerprint, pending.sentinel);
    if (!standby || standby->incarnation() == options_.self.incarnation()) {
      const auto node = pending_.extract(found);
      if (standby) {
        return DecideLocally(node.mapped().fingerprint, id, true, node.mapped().done);
      }
      // Nobody who may know of running canaries answers: a grant could exceed the limit.
      return Tell(node.mapped().fingerprint, id, options_.self.incarnation(), {}, node.mapped().done);
    }
    pending.sentinel = *standby;
    pending.standby = true;
    pending.deadline = loop_.Now() + options_.sentinel_timeout;
  }
  SendTo(pending.sentinel, BuildRequest(pending.fingerprint, id, pending.standby ? 1 : kCanaryCopies));
  // A third of the timeout leaves room for two repetitions after a lost message.
  pending.timer =
      loop_.CallAfter(options_.sentinel_timeout / 3 + std::chrono::milliseconds(1), [this, id] { Ask(id); });
}

std::optional<proto::Daemon> CrashGuardTask::Standby(std::uint64_t fingerprint, const proto::Daemon& sentinel) const {
  return FirstByRendezvous(SentinelRendezvousKey(fingerprint), peers_(), sentinel.incarnation());
}

proto::Envelope CrashGuardTask::BuildRequest(std::uint64_t fingerprint, std::uint64_t id,
                                             std::uint32_t copies) const {
  proto::Envelope envelope;
  proto::CanaryRequest& request = *envelope.mutable_canary_request();
  request.set_fingerprint(fingerprint);
  request.set_request_id(id);
  request.set_copies(copies);
  if (const auto found = state_.records.find(fingerprint); found != state_.records.end()) {
    request.mutable_struck()->Add(found->second.upstreams.begin(), found->second.upstreams.end());
  }
  return envelope;
}

// Hands the message to the sentinel and the standby, except to the member of the incarnation `informed`.
void CrashGuardTask::TellOtherSentinels(std::uint64_t fingerprint, const proto::Envelope& envelope,
                                        std::uint64_t informed) {
  const std::optional<proto::Daemon> sentinel = sentinel_(fingerprint);
  if (!sentinel) {
    return;
  }
  for (const auto& target : {sentinel, Standby(fingerprint, *sentinel)}) {
    if (!target || target->incarnation() == informed) {
      continue;
    }
    if (target->incarnation() == options_.self.incarnation()) {
      Take(options_.self, envelope);
    } else {
      SendTo(*target, envelope);
    }
  }
}

void CrashGuardTask::DecideLocally(std::uint64_t fingerprint, std::uint64_t id, bool standby, const Done& done) {
  const CanaryDecision decision = RequestCanary(state_, options_, loop_.Now(), fingerprint,
                                                {options_.self.incarnation(), id}, standby ? 1 : kCanaryCopies);
  Tell(fingerprint, id, options_.self.incarnation(), standby ? ForOneCopy(decision) : decision, done);
}

void CrashGuardTask::Tell(std::uint64_t fingerprint, std::uint64_t id, std::uint64_t granter, CanaryDecision decision,
                          const Done& done) {
  if (decision.verdict == proto::CANARY_GRANTED) {
    HoldCanary(fingerprint, id);
    proto::Envelope note = BuildRequest(fingerprint, id, decision.strikes == 0 ? kCanaryCopies : 1);
    note.mutable_canary_request()->set_running(true);
    TellOtherSentinels(fingerprint, note, granter);
  }
  metrics_.Count("pimentomoor_canary_verdicts_total", 1,
                 "verdict=\"" + proto::CanaryVerdict_Name(decision.verdict) + "\"");
  done(decision.verdict, decision.strikes);
}

void CrashGuardTask::HoldCanary(std::uint64_t fingerprint, std::uint64_t id) {
  const TimePoint now = loop_.Now();
  while (!held_expiries_.empty() && held_expiries_.front().first <= now) {
    const auto found = held_.find(held_expiries_.front().second);
    if (found != held_.end() && found->second.expiry <= now) {
      held_.erase(found);
    }
    held_expiries_.pop_front();
  }
  // Twice the timeout, so that a late result still clears the presumed strike at the sentinel.
  const TimePoint expiry = now + 2 * options_.canary_timeout;
  held_[fingerprint] = {.request_id = id, .expiry = expiry};
  held_expiries_.emplace_back(expiry, fingerprint);
}

void CrashGuardTask::ReportResult(std::uint64_t fingerprint, bool succeeded, const std::vector<std::string>& struck) {
  const auto found = held_.find(fingerprint);
  if (found == held_.end()) {
    return;
  }
  const std::uint64_t id = found->second.request_id;
  held_.erase(found);
  RecordCanaryResult(state_, options_, loop_.Now(), fingerprint, {options_.self.incarnation(), id}, succeeded,
                     struck);
  if (succeeded) {
    MarkProven(state_, options_, fingerprint);
  }
  proto::Envelope envelope;
  proto::CanaryResult& result = *envelope.mutable_canary_result();
  result.set_fingerprint(fingerprint);
  result.set_request_id(id);
  result.set_succeeded(succeeded);
  result.mutable_struck()->Add(struck.begin(), struck.end());
  TellOtherSentinels(fingerprint, envelope, options_.self.incarnation());
}

void CrashGuardTask::ReportStrike(std::uint64_t fingerprint, const std::string& upstream) {
  if (options_.mode == CrashGuardMode::kOff) {
    return;
  }
  metrics_.Count("pimentomoor_strikes_total");
  RecordStrike(state_, options_, loop_.Now(), fingerprint, upstream);
  for (const proto::Daemon& peer : peers_()) {
    if (peer.incarnation() != options_.self.incarnation()) {
      proto::Envelope envelope;
      envelope.mutable_strike()->set_fingerprint(fingerprint);
      envelope.mutable_strike()->set_upstream(upstream);
      SendTo(peer, std::move(envelope));
    }
  }
}

void CrashGuardTask::HandleMessage(const proto::Envelope& envelope) {
  if (envelope.to_incarnation() != 0 && envelope.to_incarnation() != options_.self.incarnation()) {
    return;
  }
  Take(envelope.from(), envelope);
}

void CrashGuardTask::Take(const proto::Daemon& sender, const proto::Envelope& envelope) {
  const std::uint64_t from = sender.incarnation();
  if (envelope.has_canary_request()) {
    const proto::CanaryRequest& request = envelope.canary_request();
    const CanaryId id{from, request.request_id()};
    RecordKnownStrikes(state_, options_, loop_.Now(), request.fingerprint(),
                       {request.struck().begin(), request.struck().end()});
    if (request.running()) {
      return RecordRunningCanary(state_, options_, loop_.Now(), request.fingerprint(), id, request.copies());
    }
    const CanaryDecision decision =
        RequestCanary(state_, options_, loop_.Now(), request.fingerprint(), id, request.copies());
    proto::Envelope reply;
    reply.mutable_canary_reply()->set_request_id(request.request_id());
    reply.mutable_canary_reply()->set_verdict(decision.verdict);
    reply.mutable_canary_reply()->set_strikes(decision.strikes);
    SendTo(sender, std::move(reply));
  } else if (envelope.has_canary_reply()) {
    Finish(from, envelope.canary_reply().request_id(),
           {.verdict = envelope.canary_reply().verdict(), .strikes = envelope.canary_reply().strikes()});
  } else if (envelope.has_canary_result()) {
    const proto::CanaryResult& result = envelope.canary_result();
    RecordCanaryResult(state_, options_, loop_.Now(), result.fingerprint(), {from, result.request_id()},
                       result.succeeded(), {result.struck().begin(), result.struck().end()});
  } else if (envelope.has_strike()) {
    RecordStrike(state_, options_, loop_.Now(), envelope.strike().fingerprint(), envelope.strike().upstream());
  }
}

void CrashGuardTask::Finish(std::uint64_t from, std::uint64_t id, CanaryDecision decision) {
  const auto found = pending_.find(id);
  if (found == pending_.end() || found->second.sentinel.incarnation() != from) {
    return;  // late: the standby was asked instead
  }
  const auto node = pending_.extract(found);
  loop_.Cancel(node.mapped().timer);
  if (decision.verdict == proto::CANARY_PROVEN) {
    MarkProven(state_, options_, node.mapped().fingerprint);
  }
  Tell(node.mapped().fingerprint, id, from, node.mapped().standby ? ForOneCopy(decision) : decision,
       node.mapped().done);
}

void CrashGuardTask::SendTo(const proto::Daemon& peer, proto::Envelope envelope) {
  *envelope.mutable_from() = options_.self;
  envelope.set_to_incarnation(peer.incarnation());
  if (!send_(peer.peer_address(), envelope)) {
    metrics_.Count("pimentomoor_canary_messages_refused_total");
  }
}

}  // namespace pimentomoor
