// Timers, message routing, the witness's part and the planned stop of the operation token protocol.
#include "pimentomoor/operation_machine.h"

#include <algorithm>

namespace pimentomoor {
namespace {

LedgerLimits MakeLedgerLimits(const OperationOptions& options) {
  return {.token_lifetime = options.token_lifetime,
          .max_tokens = options.max_tokens,
          .max_result_bytes = options.max_result_bytes};
}

}  // namespace

OperationMachine::OperationMachine(OperationOptions options)
    : options_(std::move(options)),
      home_ledger_(MakeLedgerLimits(options_)),
      witness_ledger_(MakeLedgerLimits(options_)) {}

void OperationMachine::Receive(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  if (envelope.to_incarnation() != 0 && envelope.to_incarnation() != options_.self.incarnation()) {
    return;
  }
  Handle(now, envelope, effects);
  HandleLocalMessages(now, effects);
}

void OperationMachine::Handle(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  switch (envelope.body_case()) {
    case proto::Envelope::kRunToken:
      return OnRunToken(now, envelope, effects);
    case proto::Envelope::kRunTokenReply:
      return OnRunTokenReply(now, envelope, effects);
    case proto::Envelope::kOpenToken:
      return OnOpenToken(now, envelope, effects);
    case proto::Envelope::kOpenTokenReply:
      return OnOpenTokenReply(now, envelope, effects);
    case proto::Envelope::kCloseToken:
      return OnCloseToken(now, envelope, effects);
    case proto::Envelope::kCloseTokenReply:
      return OnCloseTokenReply(now, envelope, effects);
    case proto::Envelope::kTokenOutcome:
      return OnTokenOutcome(now, envelope, effects);
    default:
      return;
  }
}

proto::Envelope OperationMachine::MakeEnvelope(std::uint64_t to_incarnation) const {
  proto::Envelope envelope;
  *envelope.mutable_from() = options_.self;
  envelope.set_to_incarnation(to_incarnation);
  return envelope;
}

void OperationMachine::SendTo(const std::string& address, proto::Envelope envelope, OperationEffects& effects) {
  if (address == options_.self.peer_address()) {
    local_messages_.push_back(std::move(envelope));
  } else {
    effects.messages.push_back({.address = address, .envelope = std::move(envelope)});
  }
}

void OperationMachine::HandleLocalMessages(TimePoint now, OperationEffects& effects) {
  while (!local_messages_.empty()) {
    const std::vector<proto::Envelope> batch = std::exchange(local_messages_, {});
    for (const proto::Envelope& envelope : batch) {
      if (envelope.to_incarnation() == 0 || envelope.to_incarnation() == options_.self.incarnation()) {
        Handle(now, envelope, effects);
      }
    }
  }
  CheckHandOver(now, effects);
}

void OperationMachine::StartRetries(TimePoint now, TimerKind kind, std::uint64_t id, RetryTimer& retry_timer,
                                    TimePoint latest) {
  ClearTimer(kind, id, retry_timer);
  // The transport often refuses a first message because the connection is not up yet, so the first retry comes early.
  retry_timer.interval = options_.peer_timeout / 12;
  SetTimer(kind, id, retry_timer, std::min(now + retry_timer.interval, latest));
}

void OperationMachine::ScheduleRetry(TimePoint now, TimerKind kind, std::uint64_t id, RetryTimer& retry_timer,
                                     TimePoint latest) {
  retry_timer.interval = std::min<Duration>(retry_timer.interval * 2, std::chrono::seconds(5));
  SetTimer(kind, id, retry_timer, std::min(now + retry_timer.interval, latest));
}

void OperationMachine::SetTimer(TimerKind kind, std::uint64_t id, RetryTimer& retry_timer, TimePoint when) {
  ClearTimer(kind, id, retry_timer);
  retry_timer.wake = when;
  timers_.insert({when, kind, id});
}

void OperationMachine::ClearTimer(TimerKind kind, std::uint64_t id, const RetryTimer& retry_timer) {
  timers_.erase({retry_timer.wake, kind, id});
}

std::optional<TimePoint> OperationMachine::NextWake() const {
  return timers_.empty() ? std::nullopt : std::optional(std::get<0>(*timers_.begin()));
}

void OperationMachine::Tick(TimePoint now, OperationEffects& effects) {
  while (!timers_.empty() && std::get<0>(*timers_.begin()) <= now) {
    const auto [when, kind, id] = *timers_.begin();
    timers_.erase(timers_.begin());
    switch (kind) {
      case TimerKind::kEntryRun:
        OnEntryRunTimer(now, id, effects);
        break;
      case TimerKind::kHomeRun:
        OnHomeRunTimer(now, id, effects);
        break;
      case TimerKind::kReport:
        OnReportTimer(now, id, effects);
        break;
      case TimerKind::kHandOver:
        break;
    }
    HandleLocalMessages(now, effects);
  }
  HandleLocalMessages(now, effects);
}

void OperationMachine::OnOpenToken(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::OpenToken& request = envelope.open_token();
  // An earlier incarnation of this daemon may have closed the token, so only the incarnation that the token names as
  // its witness opens it.
  const bool is_witness = request.token().witness().incarnation() == options_.self.incarnation();
  const std::uint64_t home = request.token().home().incarnation();
  proto::Envelope reply = MakeEnvelope(envelope.from().incarnation());
  *reply.mutable_open_token_reply()->mutable_token() = request.token();
  reply.mutable_open_token_reply()->set_opened(
      is_witness && witness_ledger_.Open(now, home, request.token().serial(), request.body_hash()));
  SendTo(envelope.from().peer_address(), std::move(reply), effects);
}

void OperationMachine::OnCloseToken(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::Token& token = envelope.close_token().token();
  const bool is_witness = token.witness().incarnation() == options_.self.incarnation();
  const proto::OperationResult result =
      is_witness ? witness_ledger_.Close(now, token.home().incarnation(), token.serial())
                 : MakeOperationResult(proto::OPERATION_UNKNOWN, "home unreachable and witness restarted");
  SendCloseReply(envelope, token, envelope.close_token().request_id(), result, effects);
}

void OperationMachine::OnTokenOutcome(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::Token& token = envelope.token_outcome().token();
  const bool is_witness = token.witness().incarnation() == options_.self.incarnation();
  // A restarted witness doesn't record the outcome, but confirms it so that the home stops repeating it.
  if (is_witness && !witness_ledger_.RecordOutcome(now, token.home().incarnation(), token.serial(),
                                                   envelope.token_outcome().result())) {
    return;
  }
  SendCloseReply(envelope, token, 0, envelope.token_outcome().result(), effects);
}

void OperationMachine::SendCloseReply(const proto::Envelope& to, const proto::Token& token, std::uint64_t request_id,
                                      const proto::OperationResult& result, OperationEffects& effects) {
  proto::Envelope reply = MakeEnvelope(to.from().incarnation());
  proto::CloseTokenReply& body = *reply.mutable_close_token_reply();
  *body.mutable_token() = token;
  body.set_request_id(request_id);
  *body.mutable_result() = result;
  if (request_id == 0) {
    body.mutable_result()->clear_body();
  }
  SendTo(to.from().peer_address(), std::move(reply), effects);
}

void OperationMachine::HandOverOutcomes(TimePoint now, OperationEffects& effects) {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  std::vector<proto::Token> opening;
  TimePoint last_deadline = now;
  for (const auto& [serial, run] : home_runs_) {
    last_deadline = std::max(last_deadline, run.deadline);
    if (!run.dispatched) {
      opening.push_back(run.token);
    }
  }
  for (const proto::Token& token : opening) {
    FinishHomeRun(now, token, MakeOperationResult(proto::OPERATION_NOT_RUN, "home is leaving"), effects);
  }
  for (auto& [serial, report] : reports_) {
    SendOutcomeReport(serial, report, effects);
    StartRetries(now, TimerKind::kReport, serial, report.retry_timer, report.give_up_at);
  }
  // Ten timeouts after the last deadline are enough for several retries to every live witness.
  SetTimer(TimerKind::kHandOver, 0, hand_over_timer_, last_deadline + 10 * options_.peer_timeout);
  HandleLocalMessages(now, effects);
}

void OperationMachine::CheckHandOver(TimePoint now, OperationEffects& effects) {
  if (!leaving_ || handed_over_) {
    return;
  }
  if ((home_runs_.empty() && reports_.empty()) || now >= hand_over_timer_.wake) {
    ClearTimer(TimerKind::kHandOver, 0, hand_over_timer_);
    handed_over_ = true;
    effects.handed_over = true;
  }
}

}  // namespace pimentomoor
