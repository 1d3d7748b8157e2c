// The home's part of the operation token protocol: issue, open at the witness, dispatch once, report the outcome.
#include <algorithm>

#include "pimentomoor/operation_machine.h"
#include "pimentomoor/operation_token.h"

namespace pimentomoor {
namespace {

// Resends that wait for one running operation; a further one gets no final answer and asks the witness.
constexpr std::size_t kMaxWaiters = 64;

// An hour; keeps additions to the clock from overflowing for any value in a message.
constexpr std::uint64_t kMaxRemainingUs = 3'600'000'000;

}  // namespace

std::optional<std::string> OperationMachine::IssueToken(TimePoint now, const proto::Daemon& witness,
                                                        const std::string& customer, const std::string& service) {
  if (leaving_) {
    return std::nullopt;
  }
  proto::Token token;
  *token.mutable_home() = TokenAddress(options_.self);
  *token.mutable_witness() = TokenAddress(witness);
  token.set_customer(customer);
  token.set_service(service);
  token.set_serial(~std::uint64_t{0});
  (void)EncodeToken(token, options_.token_key);  // throws for names that don't fit, before a serial is taken
  const std::optional<std::uint64_t> serial = home_.Issue(now);
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
    return ReplyRun(waiter, request.token(), proto::OperationResult(), effects);
  }
  const HomeLedger::RunDecision decision =
      home_.Run(now, request.token().serial(), HashOperationBody(request.body()));
  if (decision.step == HomeLedger::Step::kAnswer) {
    return ReplyRun(waiter, request.token(), decision.result, effects);
  }
  if (decision.step == HomeLedger::Step::kOpen) {
    Open(now, request, waiter, effects);
  }
  const auto found = home_runs_.find(request.token().serial());
  if (found == home_runs_.end()) {
    return;
  }
  std::vector<Waiter>& waiters = found->second.waiters;
  if (std::find(waiters.begin(), waiters.end(), waiter) == waiters.end() && waiters.size() < kMaxWaiters) {
    waiters.push_back(waiter);
  }
  ReplyRun(waiter, request.token(), MakeOperationResult(proto::OPERATION_RUNNING, ""), effects);
}

void OperationMachine::Open(TimePoint now, const proto::RunToken& request, const Waiter& waiter,
                            OperationEffects& effects) {
  const std::uint64_t serial = request.token().serial();
  const Duration remaining = std::chrono::microseconds(std::min(request.remaining_us(), kMaxRemainingUs));
  HomeRun& run = home_runs_[serial];
  run.token = request.token();
  run.body = request.body();
  run.waiters = {waiter};
  run.deadline = now + remaining;
  run.open_until = now + std::min(remaining, options_.peer_timeout);
  if (leaving_) {
    return Finish(now, request.token(), MakeOperationResult(proto::OPERATION_NOT_RUN, "home is leaving"), effects);
  }
  SendOpen(run, effects);
  Start(now, Timer::kHome, serial, run.repeat, run.open_until);
}

void OperationMachine::SendOpen(const HomeRun& run, OperationEffects& effects) {
  // No incarnation is expected at the receiver: a restarted witness refuses, which is faster than silence.
  proto::Envelope envelope = Header(0);
  *envelope.mutable_open_token()->mutable_token() = run.token;
  envelope.mutable_open_token()->set_body_hash(HashOperationBody(run.body));
  Emit(run.token.witness().peer_address(), std::move(envelope), effects);
}

void OperationMachine::OnOpenReply(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects) {
  const proto::OpenTokenReply& reply = envelope.open_token_reply();
  const auto found = home_runs_.find(reply.token().serial());
  if (found == home_runs_.end() || found->second.dispatched ||
      reply.token().home().incarnation() != options_.self.incarnation()) {
    return;
  }
  HomeRun& run = found->second;
  const proto::Token token = run.token;
  if (!reply.opened()) {
    return Finish(now, token, MakeOperationResult(proto::OPERATION_NOT_RUN, "the witness refused to open the token"),
                  effects);
  }
  if (envelope.from().incarnation() != token.witness().incarnation()) {
    return;
  }
  if (now >= run.deadline) {
    return Finish(now, token, MakeOperationResult(proto::OPERATION_NOT_RUN, "no time left"), effects);
  }
  if (!home_.Opened(now, token.serial())) {
    return Finish(now, token, MakeOperationResult(proto::OPERATION_NOT_RUN, "token expired"), effects);
  }
  run.dispatched = true;
  SetTimer(Timer::kHome, token.serial(), run.repeat, run.deadline);
  effects.dispatches.push_back(
      {.token = token, .body = std::exchange(run.body, {}), .remaining = run.deadline - now});
}

void OperationMachine::TickHome(TimePoint now, std::uint64_t serial, OperationEffects& effects) {
  const auto found = home_runs_.find(serial);
  if (found == home_runs_.end()) {
    return;
  }
  HomeRun& run = found->second;
  const proto::Token token = run.token;
  if (run.dispatched) {
    return Finish(now, token, MakeOperationResult(proto::OPERATION_UNKNOWN, "no answer from the upstream in time"),
                  effects);
  }
  if (now >= run.open_until) {
    return Finish(now, token, MakeOperationResult(proto::OPERATION_NOT_RUN, "the witness does not answer"), effects);
  }
  SendOpen(run, effects);
  Again(now, Timer::kHome, serial, run.repeat, run.open_until);
}

void OperationMachine::FinishDispatch(TimePoint now, const proto::Token& token, const proto::OperationResult& result,
                                      OperationEffects& effects) {
  const bool certain = result.outcome() == proto::OPERATION_RAN || result.outcome() == proto::OPERATION_NOT_RUN;
  Finish(now, token, certain ? result : MakeOperationResult(proto::OPERATION_UNKNOWN, result.reason()), effects);
  Drain(now, effects);
}

void OperationMachine::Finish(TimePoint now, const proto::Token& token, const proto::OperationResult& result,
                              OperationEffects& effects) {
  const std::uint64_t serial = token.serial();
  const bool changed = home_.Finish(now, serial, result);
  const auto found = home_runs_.find(serial);
  if (found != home_runs_.end()) {
    proto::OperationResult reply = home_.result(serial).value_or(result);
    // The waiting callers get the body even when the ledger has no room for it.
    if (reply.outcome() == result.outcome()) {
      reply.set_body(result.body());
      reply.set_reason(result.reason());
    }
    for (const Waiter& waiter : found->second.waiters) {
      ReplyRun(waiter, token, reply, effects);
    }
    ClearTimer(Timer::kHome, serial, found->second.repeat);
    home_runs_.erase(found);
  }
  if (changed) {
    Report& report = reports_[serial];
    report.token = token;
    report.until = now + options_.token_lifetime;
    SendReport(serial, report, effects);
    Start(now, Timer::kReport, serial, report.repeat, report.until);
  }
}

void OperationMachine::ReplyRun(const Waiter& waiter, const proto::Token& token, const proto::OperationResult& result,
                                OperationEffects& effects) {
  proto::Envelope envelope = Header(waiter.incarnation);
  proto::RunTokenReply& reply = *envelope.mutable_run_token_reply();
  *reply.mutable_token() = token;
  reply.set_request_id(waiter.request_id);
  *reply.mutable_result() = result;
  Emit(waiter.address, std::move(envelope), effects);
}

void OperationMachine::SendReport(std::uint64_t serial, const Report& report, OperationEffects& effects) {
  const std::optional<proto::OperationResult> result = home_.result(serial);
  if (!result) {
    return;
  }
  proto::Envelope envelope = Header(0);
  *envelope.mutable_token_outcome()->mutable_token() = report.token;
  *envelope.mutable_token_outcome()->mutable_result() = *result;
  Emit(report.token.witness().peer_address(), std::move(envelope), effects);
}

void OperationMachine::TickReport(TimePoint now, std::uint64_t serial, OperationEffects& effects) {
  const auto found = reports_.find(serial);
  if (found == reports_.end()) {
    return;
  }
  if (now >= found->second.until) {
    reports_.erase(found);
    return;
  }
  SendReport(serial, found->second, effects);
  Again(now, Timer::kReport, serial, found->second.repeat, found->second.until);
}

}  // namespace pimentomoor
