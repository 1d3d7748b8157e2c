// The home's part of the operation token protocol: issues tokens, has them opened at the witness, dispatches each
// operation once and reports the outcome.
#include <algorithm>

#include "pimentomoor/operation_machine.h"
#include "pimentomoor/operation_token.h"

namespace pimentomoor {
namespace {

// Requests that wait for the outcome of one operation. The entry of a further one gets no outcome from the home and
// asks the witness.
constexpr std::size_t kMaxWaiters = 64;

// One hour. Limits the remaining time in a message, so that its sum with the current time cannot overflow.
constexpr std::uint64_t kMaxRemainingUs = 3'600'000'000;

}  // namespace

std::optional<std::string> OperationMachine::IssueToken(TimePoint now, const proto::Daemon& witness,
                                                        const std::string& customer, const std::string& service) {
  if (leaving_) {
    return std::nullopt;
  }
  proto::Token token;
  *token.mutable_home() = CopyAddressFields(options_.self);
  *token.mutable_witness() = CopyAddressFields(witness);
  token.set_customer(customer);
  token.set_service(service);
  token.set_serial(~std::uint64_t{0});
  (void)EncodeToken(token, options_.token_key);  // throws when a name is too long, before a serial is used
  const std::optional<std::uint64_t> serial = home_ledger_.IssueSerial(now);
  if (!serial) {
    return std::nullopt;
  }
  token.set_serial(*serial);
  return EncodeToken(token, options_.token_key);
}

void OperationMachine::OnRunToken(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::RunToken& request = envelope.run_token();
  const Waiter waiter{.address = envelope.from().peer_address(),
                      .incarnation = envelope.from().incarnation(),
                      .request_id = request.request_id()};
  if (request.token().home().incarnation() != options_.self.incarnation()) {
    return SendRunReply(waiter, request.token(), proto::OperationResult(), effects);
  }
  const HomeLedger::RunDecision decision =
      home_ledger_.DecideRun(now, request.token().serial(), HashOperationBody(request.body()));
  if (decision.step == HomeLedger::NextStep::kAnswer) {
    return SendRunReply(waiter, request.token(), decision.result, effects);
  }
  if (decision.step == HomeLedger::NextStep::kOpenAtWitness) {
    StartHomeRun(now, request, waiter, effects);
  }
  const auto found = home_runs_.find(request.token().serial());
  if (found == home_runs_.end()) {
    return;
  }
  std::vector<Waiter>& waiters = found->second.waiters;
  if (std::find(waiters.begin(), waiters.end(), waiter) == waiters.end() && waiters.size() < kMaxWaiters) {
    waiters.push_back(waiter);
  }
  SendRunReply(waiter, request.token(), MakeOperationResult(proto::OPERATION_RUNNING, ""), effects);
}

void OperationMachine::StartHomeRun(TimePoint now, const proto::RunToken& request, const Waiter& waiter,
                                    OperationEffects& effects) {
  const std::uint64_t serial = request.token().serial();
  const Duration remaining = std::chrono::microseconds(std::min(request.remaining_us(), kMaxRemainingUs));
  HomeRun& run = home_runs_[serial];
  run.token = request.token();
  run.body = request.body();
  run.waiters = {waiter};
  run.deadline = now + remaining;
  run.open_deadline = now + std::min(remaining, options_.peer_timeout);
  if (leaving_) {
    return FinishHomeRun(now, request.token(), MakeOperationResult(proto::OPERATION_NOT_RUN, "home is leaving"),
                         effects);
  }
  SendOpenRequest(run, effects);
  StartRetries(now, TimerKind::kHomeRun, serial, run.retry_timer, run.open_deadline);
}

void OperationMachine::SendOpenRequest(const HomeRun& run, OperationEffects& effects) {
  // The message addresses any incarnation of the witness. A restarted witness refuses, which is faster than a
  // timeout.
  proto::Envelope envelope = MakeEnvelope(0);
  *envelope.mutable_open_token()->mutable_token() = run.token;
  envelope.mutable_open_token()->set_body_hash(HashOperationBody(run.body));
  SendTo(run.token.witness().peer_address(), std::move(envelope), effects);
}

void OperationMachine::OnOpenTokenReply(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::OpenTokenReply& reply = envelope.open_token_reply();
  const auto found = home_runs_.find(reply.token().serial());
  if (found == home_runs_.end() || found->second.dispatched ||
      reply.token().home().incarnation() != options_.self.incarnation()) {
    return;
  }
  HomeRun& run = found->second;
  const proto::Token token = run.token;
  if (!reply.opened()) {
    return FinishHomeRun(
        now, token, MakeOperationResult(proto::OPERATION_NOT_RUN, "the witness refused to open the token"), effects);
  }
  if (envelope.from().incarnation() != token.witness().incarnation()) {
    return;
  }
  if (now >= run.deadline) {
    return FinishHomeRun(now, token, MakeOperationResult(proto::OPERATION_NOT_RUN, "no time left"), effects);
  }
  if (!home_ledger_.TryMarkDispatched(now, token.serial())) {
    return FinishHomeRun(now, token, MakeOperationResult(proto::OPERATION_NOT_RUN, "token expired"), effects);
  }
  run.dispatched = true;
  SetTimer(TimerKind::kHomeRun, token.serial(), run.retry_timer, run.deadline);
  effects.dispatches.push_back(
      {.token = token, .body = std::exchange(run.body, {}), .remaining = run.deadline - now});
}

void OperationMachine::OnHomeRunTimer(TimePoint now, std::uint64_t serial, OperationEffects& effects) {
  const auto found = home_runs_.find(serial);
  if (found == home_runs_.end()) {
    return;
  }
  HomeRun& run = found->second;
  const proto::Token token = run.token;
  if (run.dispatched) {
    return FinishHomeRun(
        now, token, MakeOperationResult(proto::OPERATION_UNKNOWN, "no answer from the upstream in time"), effects);
  }
  if (now >= run.open_deadline) {
    return FinishHomeRun(now, token, MakeOperationResult(proto::OPERATION_NOT_RUN, "the witness does not answer"),
                         effects);
  }
  SendOpenRequest(run, effects);
  ScheduleRetry(now, TimerKind::kHomeRun, serial, run.retry_timer, run.open_deadline);
}

void OperationMachine::FinishDispatch(TimePoint now, const proto::Token& token, const proto::OperationResult& result,
                                      OperationEffects& effects) {
  const bool certain = result.outcome() == proto::OPERATION_RAN || result.outcome() == proto::OPERATION_NOT_RUN;
  FinishHomeRun(now, token, certain ? result : MakeOperationResult(proto::OPERATION_UNKNOWN, result.reason()),
                effects);
  HandleLocalMessages(now, effects);
}

void OperationMachine::FinishHomeRun(TimePoint now, const proto::Token& token, const proto::OperationResult& result,
                                     OperationEffects& effects) {
  const std::uint64_t serial = token.serial();
  const bool changed = home_ledger_.RecordOutcome(now, serial, result);
  const auto found = home_runs_.find(serial);
  if (found != home_runs_.end()) {
    proto::OperationResult reply = home_ledger_.result(serial).value_or(result);
    // The waiting entries get the body even when the ledger has no space to store it.
    if (reply.outcome() == result.outcome()) {
      reply.set_body(result.body());
      reply.set_reason(result.reason());
    }
    for (const Waiter& waiter : found->second.waiters) {
      SendRunReply(waiter, token, reply, effects);
    }
    ClearTimer(TimerKind::kHomeRun, serial, found->second.retry_timer);
    home_runs_.erase(found);
  }
  if (changed) {
    OutcomeReport& report = reports_[serial];
    report.token = token;
    report.give_up_at = now + options_.token_lifetime;
    SendOutcomeReport(serial, report, effects);
    StartRetries(now, TimerKind::kReport, serial, report.retry_timer, report.give_up_at);
  }
}

void OperationMachine::SendRunReply(const Waiter& waiter, const proto::Token& token,
                                    const proto::OperationResult& result, OperationEffects& effects) {
  proto::Envelope envelope = MakeEnvelope(waiter.incarnation);
  proto::RunTokenReply& reply = *envelope.mutable_run_token_reply();
  *reply.mutable_token() = token;
  reply.set_request_id(waiter.request_id);
  *reply.mutable_result() = result;
  SendTo(waiter.address, std::move(envelope), effects);
}

void OperationMachine::SendOutcomeReport(std::uint64_t serial, const OutcomeReport& report,
                                         OperationEffects& effects) {
  const std::optional<proto::OperationResult> result = home_ledger_.result(serial);
  if (!result) {
    return;
  }
  proto::Envelope envelope = MakeEnvelope(0);
  *envelope.mutable_token_outcome()->mutable_token() = report.token;
  *envelope.mutable_token_outcome()->mutable_result() = *result;
  SendTo(report.token.witness().peer_address(), std::move(envelope), effects);
}

void OperationMachine::OnReportTimer(TimePoint now, std::uint64_t serial, OperationEffects& effects) {
  const auto found = reports_.find(serial);
  if (found == reports_.end()) {
    return;
  }
  if (now >= found->second.give_up_at) {
    reports_.erase(found);
    return;
  }
  SendOutcomeReport(serial, found->second, effects);
  ScheduleRetry(now, TimerKind::kReport, serial, found->second.retry_timer, found->second.give_up_at);
}

}  // namespace pimentomoor
