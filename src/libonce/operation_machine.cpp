// Timers, messages to this daemon, the witness's part and the planned stop of the operation token protocol.
#include "pimentomoor/operation_machine.h"

#include <algorithm>

namespace pimentomoor {
namespace {

LedgerLimits Limits(const OperationOptions& options) {
  return {.token_lifetime = options.token_lifetime,
          .max_tokens = options.max_tokens,
          .max_result_bytes = options.max_result_bytes};
}

}  // namespace

OperationMachine::OperationMachine(OperationOptions options)
    : options_(std::move(options)), home_(Limits(options_)), witness_(Limits(options_)) {}

void OperationMachine::Receive(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  if (envelope.to_incarnation() != 0 && envelope.to_incarnation() != options_.self.incarnation()) {
    return;
  }
  Handle(now, envelope, effects);
  Drain(now, effects);
}

void OperationMachine::Handle(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  switch (envelope.body_case()) {
    case proto::Envelope::kRunToken:
      return OnRunToken(now, envelope, effects);
    case proto::Envelope::kRunTokenReply:
      return OnRunReply(now, envelope, effects);
    case proto::Envelope::kOpenToken:
      return OnOpenToken(now, envelope, effects);
    case proto::Envelope::kOpenTokenReply:
      return OnOpenReply(now, envelope, effects);
    case proto::Envelope::kCloseToken:
      return OnCloseToken(now, envelope, effects);
    case proto::Envelope::kCloseTokenReply:
      return OnCloseReply(now, envelope, effects);
    case proto::Envelope::kTokenOutcome:
      return OnOutcome(now, envelope, effects);
    default:
      return;
  }
}

proto::Envelope OperationMachine::Header(std::uint64_t to_incarnation) const {
  proto::Envelope envelope;
  *envelope.mutable_from() = options_.self;
  envelope.set_to_incarnation(to_incarnation);
  return envelope;
}

void OperationMachine::Emit(const std::string& address, proto::Envelope envelope, OperationEffects& effects) {
  if (address == options_.self.peer_address()) {
    local_.push_back(std::move(envelope));
  } else {
    effects.messages.push_back({.address = address, .envelope = std::move(envelope)});
  }
}

void OperationMachine::Drain(TimePoint now, OperationEffects& effects) {
  while (!local_.empty()) {
    const std::vector<proto::Envelope> batch = std::exchange(local_, {});
    for (const proto::Envelope& envelope : batch) {
      if (envelope.to_incarnation() == 0 || envelope.to_incarnation() == options_.self.incarnation()) {
        Handle(now, envelope, effects);
      }
    }
  }
  CheckHandOver(now, effects);
}

void OperationMachine::Start(TimePoint now, Timer timer, std::uint64_t id, Repeat& repeat, TimePoint limit) {
  ClearTimer(timer, id, repeat);
  // A first message is often refused because the connection is not up yet, so the first repetition comes early.
  repeat.interval = options_.peer_timeout / 12;
  SetTimer(timer, id, repeat, std::min(now + repeat.interval, limit));
}

void OperationMachine::Again(TimePoint now, Timer timer, std::uint64_t id, Repeat& repeat, TimePoint limit) {
  repeat.interval = std::min<Duration>(repeat.interval * 2, std::chrono::seconds(5));
  SetTimer(timer, id, repeat, std::min(now + repeat.interval, limit));
}

void OperationMachine::SetTimer(Timer timer, std::uint64_t id, Repeat& repeat, TimePoint when) {
  ClearTimer(timer, id, repeat);
  repeat.wake = when;
  timers_.insert({when, timer, id});
}

void OperationMachine::ClearTimer(Timer timer, std::uint64_t id, const Repeat& repeat) {
  timers_.erase({repeat.wake, timer, id});
}

std::optional<TimePoint> OperationMachine::NextWake() const {
  return timers_.empty() ? std::nullopt : std::optional(std::get<0>(*timers_.begin()));
}

void OperationMachine::Tick(TimePoint now, OperationEffects& effects) {
  while (!timers_.empty() && std::get<0>(*timers_.begin()) <= now) {
    const auto [when, timer, id] = *timers_.begin();
    timers_.erase(timers_.begin());
    switch (timer) {
      case Timer::kRun:
        TickRun(now, id, effects);
        break;
      case Timer::kHome:
        TickHome(now, id, effects);
        break;
      case Timer::kReport:
        TickReport(now, id, effects);
        break;
      case Timer::kHandOver:
        break;
    }
    Drain(now, effects);
  }
  Drain(now, effects);
}

void OperationMachine::OnOpenToken(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::OpenToken& request = envelope.open_token();
  // An earlier incarnation of this daemon may have closed the token, so this one never opens it.
  const bool mine = request.token().witness().incarnation() == options_.self.incarnation();
  const std::uint64_t home = request.token().home().incarnation();
  proto::Envelope reply = Header(envelope.from().incarnation());
  *reply.mutable_open_token_reply()->mutable_token() = request.token();
  reply.mutable_open_token_reply()->set_opened(
      mine && witness_.Open(now, home, request.token().serial(), request.body_hash()));
  Emit(envelope.from().peer_address(), std::move(reply), effects);
}

void OperationMachine::OnCloseToken(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::Token& token = envelope.close_token().token();
  const bool mine = token.witness().incarnation() == options_.self.incarnation();
  const proto::OperationResult result =
      mine ? witness_.Close(now, token.home().incarnation(), token.serial())
           : MakeOperationResult(proto::OPERATION_UNKNOWN, "home unreachable and witness restarted");
  ReplyClose(envelope, token, envelope.close_token().request_id(), result, effects);
}

void OperationMachine::OnOutcome(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::Token& token = envelope.token_outcome().token();
  const bool mine = token.witness().incarnation() == options_.self.incarnation();
  // A restarted witness can't keep the outcome; the confirmation ends the home's repetitions.
  if (mine && !witness_.Record(now, token.home().incarnation(), token.serial(), envelope.token_outcome().result())) {
    return;
  }
  ReplyClose(envelope, token, 0, envelope.token_outcome().result(), effects);
}

void OperationMachine::ReplyClose(const proto::Envelope& to, const proto::Token& token, std::uint64_t request_id,
                                  const proto::OperationResult& result, OperationEffects& effects) {
  proto::Envelope reply = Header(to.from().incarnation());
  proto::CloseTokenReply& body = *reply.mutable_close_token_reply();
  *body.mutable_token() = token;
  body.set_request_id(request_id);
  *body.mutable_result() = result;
  if (request_id == 0) {
    body.mutable_result()->clear_body();
  }
  Emit(to.from().peer_address(), std::move(reply), effects);
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
    Finish(now, token, MakeOperationResult(proto::OPERATION_NOT_RUN, "home is leaving"), effects);
  }
  for (auto& [serial, report] : reports_) {
    SendReport(serial, report, effects);
    Start(now, Timer::kReport, serial, report.repeat, report.until);
  }
  // Ten timeouts are enough for several repetitions to every witness that is alive.
  SetTimer(Timer::kHandOver, 0, hand_over_, last_deadline + 10 * options_.peer_timeout);
  Drain(now, effects);
}

void OperationMachine::CheckHandOver(TimePoint now, OperationEffects& effects) {
  if (!leaving_ || handed_over_) {
    return;
  }
  if ((home_runs_.empty() && reports_.empty()) || now >= hand_over_.wake) {
    ClearTimer(Timer::kHandOver, 0, hand_over_);
    handed_over_ = true;
    effects.handed_over = true;
  }
}

}  // namespace pimentomoor
