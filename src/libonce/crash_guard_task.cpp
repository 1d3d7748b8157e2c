// Messages of the crash guard between entries, sentinels and standbys.
#include <algorithm>
#include <utility>

#include "pimentomoor/crash_guard.h"
#include "pimentomoor/rendezvous.h"

namespace pimentomoor {

namespace {

// Makes the entry send one copy, which is what a standby grants: an entry sends a second copy only when the decision
// names no strikes.
CanaryDecision LimitToOneCopy(CanaryDecision decision) {
  decision.strikes = std::max(decision.strikes, 1U);
  return decision;
}

}  // namespace

CrashGuardTask::CrashGuardTask(EventLoop& loop, CrashGuardOptions options, Send send, FindSentinel find_sentinel,
                               ListMembers list_members, Metrics& metrics)
    : loop_(loop),
      options_(std::move(options)),
      send_(std::move(send)),
      find_sentinel_(std::move(find_sentinel)),
      list_members_(std::move(list_members)),
      metrics_(metrics) {}

CrashGuardTask::~CrashGuardTask() {
  for (const auto& [id, pending] : pending_requests_) {
    loop_.Cancel(pending.timer);
  }
}

void CrashGuardTask::Admit(std::uint64_t fingerprint, Done done) {
  ExpireCanaries(state_, options_, loop_.Now());
  const auto strikes = static_cast<std::uint32_t>(StrikeCount(state_, fingerprint));
  const std::uint64_t id = next_request_id_++;
  if (options_.mode != CrashGuardMode::kOff && strikes >= options_.max_strikes) {
    return AnswerAdmit(fingerprint, id, options_.self.incarnation(),
                       {.verdict = proto::CANARY_QUARANTINED, .strikes = strikes}, done);
  }
  if (options_.mode == CrashGuardMode::kOff || (options_.mode == CrashGuardMode::kAfterStrike && strikes == 0) ||
      IsProven(state_, fingerprint)) {
    return AnswerAdmit(fingerprint, id, options_.self.incarnation(),
                       {.verdict = proto::CANARY_PROVEN, .strikes = strikes}, done);
  }
  const std::optional<proto::Daemon> sentinel = find_sentinel_(fingerprint);
  if (!sentinel || sentinel->incarnation() == options_.self.incarnation()) {
    return DecideLocally(fingerprint, id, false, done);
  }
  if (pending_requests_.size() >= options_.max_pending_requests) {
    return AnswerAdmit(fingerprint, id, options_.self.incarnation(), {.strikes = strikes}, done);
  }
  pending_requests_[id] = {.fingerprint = fingerprint,
                           .asked_member = *sentinel,
                           .deadline = loop_.Now() + options_.sentinel_timeout,
                           .done = std::move(done)};
  SendCanaryRequest(id);
}

void CrashGuardTask::SendCanaryRequest(std::uint64_t id) {
  const auto found = pending_requests_.find(id);
  PendingRequest& pending = found->second;
  if (loop_.Now() >= pending.deadline) {
    metrics_.Count("pimentomoor_canary_sentinel_timeouts_total");
    const auto standby = pending.asks_standby ? std::nullopt : FindStandby(pending.fingerprint, pending.asked_member);
    if (!standby || standby->incarnation() == options_.self.incarnation()) {
      const auto node = pending_requests_.extract(found);
      if (standby) {
        return DecideLocally(node.mapped().fingerprint, id, true, node.mapped().done);
      }
      // Neither the sentinel nor the standby answers. Only they know of running canaries, so a grant could exceed the
      // limit, and the request waits.
      return AnswerAdmit(node.mapped().fingerprint, id, options_.self.incarnation(), {}, node.mapped().done);
    }
    pending.asked_member = *standby;
    pending.asks_standby = true;
    pending.deadline = loop_.Now() + options_.sentinel_timeout;
  }
  SendTo(pending.asked_member,
         BuildCanaryRequest(pending.fingerprint, id, pending.asks_standby ? 1 : kMaxCanaryCopies));
  // A third of the timeout leaves time for two retries after a lost message.
  pending.timer = loop_.CallAfter(options_.sentinel_timeout / 3 + std::chrono::milliseconds(1),
                                  [this, id] { SendCanaryRequest(id); });
}

std::optional<proto::Daemon> CrashGuardTask::FindStandby(std::uint64_t fingerprint,
                                                         const proto::Daemon& sentinel) const {
  return FirstByRendezvous(SentinelRendezvousKey(fingerprint), list_members_(), sentinel.incarnation());
}

proto::Envelope CrashGuardTask::BuildCanaryRequest(std::uint64_t fingerprint, std::uint64_t id,
                                                   std::uint32_t copies) const {
  proto::Envelope envelope;
  proto::CanaryRequest& request = *envelope.mutable_canary_request();
  request.set_fingerprint(fingerprint);
  request.set_request_id(id);
  request.set_copies(copies);
  if (const auto found = state_.records.find(fingerprint); found != state_.records.end()) {
    request.mutable_struck()->Add(found->second.struck_upstreams.begin(), found->second.struck_upstreams.end());
  }
  return envelope;
}

// Passes the message to the sentinel and the standby, except to the member `informed_incarnation`, which knows it.
void CrashGuardTask::NotifySentinels(std::uint64_t fingerprint, const proto::Envelope& envelope,
                                     std::uint64_t informed_incarnation) {
  const std::optional<proto::Daemon> sentinel = find_sentinel_(fingerprint);
  if (!sentinel) {
    return;
  }
  for (const auto& target : {sentinel, FindStandby(fingerprint, *sentinel)}) {
    if (!target || target->incarnation() == informed_incarnation) {
      continue;
    }
    if (target->incarnation() == options_.self.incarnation()) {
      HandleFrom(options_.self, envelope);
    } else {
      SendTo(*target, envelope);
    }
  }
}

void CrashGuardTask::DecideLocally(std::uint64_t fingerprint, std::uint64_t id, bool as_standby, const Done& done) {
  const CanaryDecision decision =
      DecideCanaryRequest(state_, options_, loop_.Now(), fingerprint, {options_.self.incarnation(), id},
                          as_standby ? 1 : kMaxCanaryCopies);
  AnswerAdmit(fingerprint, id, options_.self.incarnation(), as_standby ? LimitToOneCopy(decision) : decision, done);
}

void CrashGuardTask::AnswerAdmit(std::uint64_t fingerprint, std::uint64_t id, std::uint64_t decider_incarnation,
                                 CanaryDecision decision, const Done& done) {
  if (decision.verdict == proto::CANARY_GRANTED) {
    RememberGrantedCanary(fingerprint, id);
    proto::Envelope notice = BuildCanaryRequest(fingerprint, id, decision.strikes == 0 ? kMaxCanaryCopies : 1);
    notice.mutable_canary_request()->set_running(true);
    NotifySentinels(fingerprint, notice, decider_incarnation);
  }
  metrics_.Count("pimentomoor_canary_verdicts_total", 1,
                 "verdict=\"" + proto::CanaryVerdict_Name(decision.verdict) + "\"");
  done(decision.verdict, decision.strikes);
}

void CrashGuardTask::RememberGrantedCanary(std::uint64_t fingerprint, std::uint64_t id) {
  const TimePoint now = loop_.Now();
  while (!granted_expiries_.empty() && granted_expiries_.front().first <= now) {
    const auto found = granted_canaries_.find(granted_expiries_.front().second);
    if (found != granted_canaries_.end() && found->second.expiry <= now) {
      granted_canaries_.erase(found);
    }
    granted_expiries_.pop_front();
  }
  // Kept for twice the timeout, so that a late result still clears the presumed strikes at the sentinel.
  const TimePoint expiry = now + 2 * options_.canary_timeout;
  granted_canaries_[fingerprint] = {.request_id = id, .expiry = expiry};
  granted_expiries_.emplace_back(expiry, fingerprint);
}

void CrashGuardTask::ReportResult(std::uint64_t fingerprint, bool succeeded, const std::vector<std::string>& struck) {
  const auto found = granted_canaries_.find(fingerprint);
  if (found == granted_canaries_.end()) {
    return;
  }
  const std::uint64_t id = found->second.request_id;
  granted_canaries_.erase(found);
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
  NotifySentinels(fingerprint, envelope, options_.self.incarnation());
}

void CrashGuardTask::ReportStrike(std::uint64_t fingerprint, const std::string& upstream) {
  if (options_.mode == CrashGuardMode::kOff) {
    return;
  }
  metrics_.Count("pimentomoor_strikes_total");
  RecordStrike(state_, options_, loop_.Now(), fingerprint, upstream);
  for (const proto::Daemon& peer : list_members_()) {
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
  HandleFrom(envelope.from(), envelope);
}

void CrashGuardTask::HandleFrom(const proto::Daemon& sender, const proto::Envelope& envelope) {
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
        DecideCanaryRequest(state_, options_, loop_.Now(), request.fingerprint(), id, request.copies());
    proto::Envelope reply;
    reply.mutable_canary_reply()->set_request_id(request.request_id());
    reply.mutable_canary_reply()->set_verdict(decision.verdict);
    reply.mutable_canary_reply()->set_strikes(decision.strikes);
    SendTo(sender, std::move(reply));
  } else if (envelope.has_canary_reply()) {
    OnCanaryReply(from, envelope.canary_reply().request_id(),
                  {.verdict = envelope.canary_reply().verdict(), .strikes = envelope.canary_reply().strikes()});
  } else if (envelope.has_canary_result()) {
    const proto::CanaryResult& result = envelope.canary_result();
    RecordCanaryResult(state_, options_, loop_.Now(), result.fingerprint(), {from, result.request_id()},
                       result.succeeded(), {result.struck().begin(), result.struck().end()});
  } else if (envelope.has_strike()) {
    RecordStrike(state_, options_, loop_.Now(), envelope.strike().fingerprint(), envelope.strike().upstream());
  }
}

void CrashGuardTask::OnCanaryReply(std::uint64_t from, std::uint64_t id, CanaryDecision decision) {
  const auto found = pending_requests_.find(id);
  if (found == pending_requests_.end() || found->second.asked_member.incarnation() != from) {
    return;  // late reply: the standby was asked instead
  }
  const auto node = pending_requests_.extract(found);
  loop_.Cancel(node.mapped().timer);
  if (decision.verdict == proto::CANARY_PROVEN) {
    MarkProven(state_, options_, node.mapped().fingerprint);
  }
  AnswerAdmit(node.mapped().fingerprint, id, from, node.mapped().asks_standby ? LimitToOneCopy(decision) : decision,
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
