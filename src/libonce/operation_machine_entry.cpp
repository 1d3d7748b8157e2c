// The entry's part of the operation token protocol: ask the home, and the witness when the home does not answer.
#include <algorithm>

#include "pimentomoor/operation_machine.h"
#include "pimentomoor/operation_token.h"

namespace pimentomoor {

std::uint64_t OperationMachine::Run(TimePoint now, const std::string& token_text, std::string body,
                                    Duration remaining, OperationEffects& effects) {
  const std::uint64_t id = next_run_++;
  const std::optional<proto::Token> token = DecodeToken(token_text, options_.token_key);
  if (!token) {
    effects.answers.push_back({.run = id, .result = MakeOperationResult(proto::OPERATION_NOT_RUN, "invalid token")});
    return id;
  }
  if (remaining <= Duration::zero()) {
    effects.answers.push_back({.run = id, .result = MakeOperationResult(proto::OPERATION_UNKNOWN, "no time left")});
    return id;
  }
  EntryRun& run = runs_[id];
  run.token = *token;
  run.body_hash = HashOperationBody(body);
  run.body = std::move(body);
  run.deadline = now + remaining;
  run.home_until = now + std::min(options_.peer_timeout, remaining / 2);
  SendRun(now, id, run, effects);
  Start(now, Timer::kRun, id, run.repeat, run.home_until);
  Drain(now, effects);
  return id;
}

void OperationMachine::SendRun(TimePoint now, std::uint64_t id, EntryRun& run, OperationEffects& effects) {
  // No incarnation is expected at the receiver: a restarted home answers that it does not know the token, which is
  // faster than silence.
  proto::Envelope envelope = Header(0);
  proto::RunToken& request = *envelope.mutable_run_token();
  *request.mutable_token() = run.token;
  request.set_request_id(id);
  request.set_body(run.body);
  request.set_remaining_us(std::chrono::duration_cast<std::chrono::microseconds>(run.deadline - now).count());
  Emit(run.token.home().peer_address(), std::move(envelope), effects);
}

void OperationMachine::AskWitness(TimePoint now, std::uint64_t id, EntryRun& run, OperationEffects& effects) {
  run.asks_witness = true;
  SendClose(id, run, effects);
  Start(now, Timer::kRun, id, run.repeat, run.deadline);
}

void OperationMachine::SendClose(std::uint64_t id, EntryRun& run, OperationEffects& effects) {
  proto::Envelope envelope = Header(0);
  *envelope.mutable_close_token()->mutable_token() = run.token;
  envelope.mutable_close_token()->set_request_id(id);
  Emit(run.token.witness().peer_address(), std::move(envelope), effects);
}

void OperationMachine::TickRun(TimePoint now, std::uint64_t id, OperationEffects& effects) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    return;
  }
  EntryRun& run = found->second;
  if (now >= run.deadline) {
    return Answer(id, run.witness_result.value_or(MakeOperationResult(proto::OPERATION_UNKNOWN, "no answer in time")),
                  effects);
  }
  if (!run.asks_witness && now >= run.home_until) {
    return AskWitness(now, id, run, effects);
  }
  if (run.asks_witness) {
    if (!run.witness_result) {
      SendClose(id, run, effects);
    }
    return Again(now, Timer::kRun, id, run.repeat, run.deadline);
  }
  if (!run.home_answered) {
    SendRun(now, id, run, effects);
  }
  Again(now, Timer::kRun, id, run.repeat, run.home_until);
}

void OperationMachine::OnRunReply(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::RunTokenReply& reply = envelope.run_token_reply();
  const auto found = runs_.find(reply.request_id());
  if (found == runs_.end() || found->second.token.serial() != reply.token().serial()) {
    return;
  }
  EntryRun& run = found->second;
  const std::uint64_t id = found->first;
  const bool from_home = envelope.from().incarnation() == run.token.home().incarnation();
  if (!from_home || reply.result().outcome() == proto::OPERATION_OUTCOME_UNSPECIFIED) {
    if (!run.asks_witness) {
      AskWitness(now, id, run, effects);
    }
    return;
  }
  if (reply.result().outcome() != proto::OPERATION_RUNNING) {
    return Answer(id, reply.result(), effects);
  }
  if (!run.home_answered && !run.asks_witness) {
    run.home_answered = true;
    run.body.clear();
    // The rest of the time is for the witness, in case the home dies while the operation runs.
    run.home_until = std::max(run.home_until, run.deadline - options_.peer_timeout);
    SetTimer(Timer::kRun, id, run.repeat, run.home_until);
  }
}

void OperationMachine::OnCloseReply(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::CloseTokenReply& reply = envelope.close_token_reply();
  if (reply.request_id() == 0) {
    const auto report = reports_.find(reply.token().serial());
    // A confirmed "unknown" is not the end when the outcome has become certain meanwhile.
    const auto known = home_.result(reply.token().serial());
    if (report != reports_.end() && reply.token().home().incarnation() == options_.self.incarnation() &&
        (!known || !Refines(reply.result(), *known))) {
      ClearTimer(Timer::kReport, report->first, report->second.repeat);
      reports_.erase(report);
    }
    return;
  }
  const auto found = runs_.find(reply.request_id());
  if (found == runs_.end() || found->second.token.serial() != reply.token().serial()) {
    return;
  }
  EntryRun& run = found->second;
  const std::uint64_t bound = reply.result().body_hash();
  if (bound != 0 && bound != run.body_hash) {
    return Answer(found->first, MakeOperationResult(proto::OPERATION_NOT_RUN, "token used with another body", bound),
                  effects);
  }
  // A home that answered is still running the operation and may report before the deadline.
  if (reply.result().outcome() == proto::OPERATION_UNKNOWN && run.home_answered && now < run.deadline) {
    run.witness_result = reply.result();
    return;
  }
  Answer(found->first, reply.result(), effects);
}

void OperationMachine::Answer(std::uint64_t id, proto::OperationResult result, OperationEffects& effects) {
  const auto found = runs_.find(id);
  ClearTimer(Timer::kRun, id, found->second.repeat);
  runs_.erase(found);
  effects.answers.push_back({.run = id, .result = std::move(result)});
}

}  // namespace pimentomoor
