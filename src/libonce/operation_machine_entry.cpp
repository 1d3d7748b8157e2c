// The entry's part of the operation token protocol: asks the home to run the operation, and the witness to close the
// token when the home does not answer.
#include <algorithm>

#include "pimentomoor/operation_machine.h"
#include "pimentomoor/operation_token.h"

namespace pimentomoor {

std::uint64_t OperationMachine::Run(TimePoint now, const std::string& token_text, std::string body,
                                    Duration remaining, OperationEffects& effects) {
  const std::uint64_t id = next_run_id_++;
  const std::optional<proto::Token> token = DecodeToken(token_text, options_.token_key);
  if (!token) {
    effects.answers.push_back(
        {.run_id = id, .result = MakeOperationResult(proto::OPERATION_NOT_RUN, "invalid token")});
    return id;
  }
  if (remaining <= Duration::zero()) {
    effects.answers.push_back(
        {.run_id = id, .result = MakeOperationResult(proto::OPERATION_UNKNOWN, "no time left")});
    return id;
  }
  EntryRun& run = entry_runs_[id];
  run.token = *token;
  run.body_hash = HashOperationBody(body);
  run.body = std::move(body);
  run.deadline = now + remaining;
  run.ask_witness_at = now + std::min(options_.peer_timeout, remaining / 2);
  SendRunRequest(now, id, run, effects);
  StartRetries(now, TimerKind::kEntryRun, id, run.retry_timer, run.ask_witness_at);
  HandleLocalMessages(now, effects);
  return id;
}

void OperationMachine::SendRunRequest(TimePoint now, std::uint64_t id, EntryRun& run, OperationEffects& effects) {
  // The message addresses any incarnation of the home. A restarted home replies that it does not know the token,
  // which is faster than a timeout.
  proto::Envelope envelope = MakeEnvelope(0);
  proto::RunToken& request = *envelope.mutable_run_token();
  *request.mutable_token() = run.token;
  request.set_request_id(id);
  request.set_body(run.body);
  request.set_remaining_us(std::chrono::duration_cast<std::chrono::microseconds>(run.deadline - now).count());
  SendTo(run.token.home().peer_address(), std::move(envelope), effects);
}

void OperationMachine::AskWitness(TimePoint now, std::uint64_t id, EntryRun& run, OperationEffects& effects) {
  run.witness_asked = true;
  SendCloseRequest(id, run, effects);
  StartRetries(now, TimerKind::kEntryRun, id, run.retry_timer, run.deadline);
}

void OperationMachine::SendCloseRequest(std::uint64_t id, EntryRun& run, OperationEffects& effects) {
  proto::Envelope envelope = MakeEnvelope(0);
  *envelope.mutable_close_token()->mutable_token() = run.token;
  envelope.mutable_close_token()->set_request_id(id);
  SendTo(run.token.witness().peer_address(), std::move(envelope), effects);
}

void OperationMachine::OnEntryRunTimer(TimePoint now, std::uint64_t id, OperationEffects& effects) {
  const auto found = entry_runs_.find(id);
  if (found == entry_runs_.end()) {
    return;
  }
  EntryRun& run = found->second;
  if (now >= run.deadline) {
    return AnswerRun(
        id, run.witness_result.value_or(MakeOperationResult(proto::OPERATION_UNKNOWN, "no answer in time")), effects);
  }
  if (!run.witness_asked && now >= run.ask_witness_at) {
    return AskWitness(now, id, run, effects);
  }
  if (run.witness_asked) {
    if (!run.witness_result) {
      SendCloseRequest(id, run, effects);
    }
    return ScheduleRetry(now, TimerKind::kEntryRun, id, run.retry_timer, run.deadline);
  }
  if (!run.home_reports_running) {
    SendRunRequest(now, id, run, effects);
  }
  ScheduleRetry(now, TimerKind::kEntryRun, id, run.retry_timer, run.ask_witness_at);
}

void OperationMachine::OnRunTokenReply(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::RunTokenReply& reply = envelope.run_token_reply();
  const auto found = entry_runs_.find(reply.request_id());
  if (found == entry_runs_.end() || found->second.token.serial() != reply.token().serial()) {
    return;
  }
  EntryRun& run = found->second;
  const std::uint64_t id = found->first;
  const bool from_home = envelope.from().incarnation() == run.token.home().incarnation();
  if (!from_home || reply.result().outcome() == proto::OPERATION_OUTCOME_UNSPECIFIED) {
    if (!run.witness_asked) {
      AskWitness(now, id, run, effects);
    }
    return;
  }
  if (reply.result().outcome() != proto::OPERATION_RUNNING) {
    return AnswerRun(id, reply.result(), effects);
  }
  if (!run.home_reports_running && !run.witness_asked) {
    run.home_reports_running = true;
    run.body.clear();
    // The last peer_timeout before the deadline is left for the witness, in case the home dies while the operation
    // runs.
    run.ask_witness_at = std::max(run.ask_witness_at, run.deadline - options_.peer_timeout);
    SetTimer(TimerKind::kEntryRun, id, run.retry_timer, run.ask_witness_at);
  }
}

void OperationMachine::OnCloseTokenReply(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::CloseTokenReply& reply = envelope.close_token_reply();
  if (reply.request_id() == 0) {
    const auto report = reports_.find(reply.token().serial());
    // The witness may confirm UNKNOWN after the outcome has become certain. The report then goes on.
    const auto known = home_ledger_.result(reply.token().serial());
    if (report != reports_.end() && reply.token().home().incarnation() == options_.self.incarnation() &&
        (!known || !ResolvesUncertainOutcome(reply.result(), *known))) {
      ClearTimer(TimerKind::kReport, report->first, report->second.retry_timer);
      reports_.erase(report);
    }
    return;
  }
  const auto found = entry_runs_.find(reply.request_id());
  if (found == entry_runs_.end() || found->second.token.serial() != reply.token().serial()) {
    return;
  }
  EntryRun& run = found->second;
  const std::uint64_t bound_body_hash = reply.result().body_hash();
  if (bound_body_hash != 0 && bound_body_hash != run.body_hash) {
    return AnswerRun(found->first,
                     MakeOperationResult(proto::OPERATION_NOT_RUN, "token used with another body", bound_body_hash),
                     effects);
  }
  // A home that has replied RUNNING may still report the outcome before the deadline.
  if (reply.result().outcome() == proto::OPERATION_UNKNOWN && run.home_reports_running && now < run.deadline) {
    run.witness_result = reply.result();
    return;
  }
  AnswerRun(found->first, reply.result(), effects);
}

void OperationMachine::AnswerRun(std::uint64_t id, proto::OperationResult result, OperationEffects& effects) {
  const auto found = entry_runs_.find(id);
  ClearTimer(TimerKind::kEntryRun, id, found->second.retry_timer);
  entry_runs_.erase(found);
  effects.answers.push_back({.run_id = id, .result = std::move(result)});
}

}  // namespace pimentomoor
