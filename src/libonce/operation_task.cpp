// Carries out the effects of the operation machine on the event loop.
#include "pimentomoor/operation_task.h"

#include <utility>

namespace pimentomoor {
namespace {

std::string OutcomeLabel(const proto::OperationResult& result) {
  switch (result.outcome()) {
    case proto::OPERATION_RAN:
      return "outcome=\"ran\"";
    case proto::OPERATION_NOT_RUN:
      return "outcome=\"not_run\"";
    default:
      return "outcome=\"unknown\"";
  }
}

}  // namespace

OperationTask::OperationTask(EventLoop& loop, OperationOptions options, Send send, Dispatch dispatch,
                             ChooseWitness choose_witness, Metrics& metrics)
    : loop_(loop),
      machine_(std::move(options)),
      send_(std::move(send)),
      dispatch_(std::move(dispatch)),
      choose_witness_(std::move(choose_witness)),
      metrics_(metrics),
      alive_(std::make_shared<OperationTask*>(this)) {}

OperationTask::~OperationTask() { loop_.Cancel(timer_); }

std::string OperationTask::IssueToken(const std::string& customer, const std::string& service) {
  const std::optional<proto::Daemon> witness = choose_witness_();
  const std::optional<std::string> text =
      witness ? machine_.IssueToken(loop_.Now(), *witness, customer, service) : std::nullopt;
  metrics_.Count("pimentomoor_operation_tokens_total", 1, text ? "result=\"issued\"" : "result=\"refused\"");
  return text.value_or("");
}

void OperationTask::Run(const std::string& token_text, std::string body, Duration remaining, Done done) {
  OperationEffects effects;
  const std::uint64_t id = machine_.Run(loop_.Now(), token_text, std::move(body), remaining, effects);
  done_by_run_[id] = std::move(done);
  Apply(std::move(effects));
}

void OperationTask::HandleMessage(const proto::Envelope& envelope) {
  OperationEffects effects;
  machine_.Receive(loop_.Now(), envelope, effects);
  Apply(std::move(effects));
}

void OperationTask::HandOverOutcomes(std::function<void()> done) {
  on_handed_over_ = std::move(done);
  OperationEffects effects;
  machine_.HandOverOutcomes(loop_.Now(), effects);
  Apply(std::move(effects));
}

// Callbacks may call methods of the task. Each such call applies its own effects before the rest of these, which is
// safe because the protocol does not rely on an order between calls. A callback may also destroy the task, and the
// rest of the effects is then dropped.
void OperationTask::Apply(OperationEffects effects) {
  const std::weak_ptr<OperationTask*> alive = alive_;
  SetTimer();
  for (const OperationEffects::Message& message : effects.messages) {
    if (!send_(message.address, message.envelope)) {
      metrics_.Count("pimentomoor_operation_messages_refused_total");
    }
  }
  for (const OperationEffects::Dispatch& dispatch : effects.dispatches) {
    StartDispatch(dispatch);
    if (alive.expired()) {
      return;
    }
  }
  for (OperationEffects::Answer& answer : effects.answers) {
    const auto found = done_by_run_.find(answer.run_id);
    if (found == done_by_run_.end()) {
      continue;
    }
    const Done done = std::move(found->second);
    done_by_run_.erase(found);
    metrics_.Count("pimentomoor_operations_total", 1, OutcomeLabel(answer.result));
    done(std::move(answer.result));
    if (alive.expired()) {
      return;
    }
  }
  if (effects.handed_over && on_handed_over_) {
    std::exchange(on_handed_over_, nullptr)();
  }
}

void OperationTask::StartDispatch(const OperationEffects::Dispatch& dispatch) {
  const std::weak_ptr<OperationTask*> alive = alive_;
  const proto::Token token = dispatch.token;
  dispatch_(token, dispatch.body, dispatch.remaining, [alive, token](const proto::OperationResult& result) {
    const std::shared_ptr<OperationTask*> task = alive.lock();
    if (!task) {
      return;
    }
    OperationTask& self = **task;
    OperationEffects effects;
    self.machine_.FinishDispatch(self.loop_.Now(), token, result, effects);
    self.Apply(std::move(effects));
  });
}

void OperationTask::SetTimer() {
  const std::optional<TimePoint> wake = machine_.NextWake();
  if (wake == timer_due_) {
    return;
  }
  loop_.Cancel(timer_);
  timer_ = 0;
  timer_due_ = wake;
  if (wake) {
    timer_ = loop_.CallAt(*wake, [this] {
      timer_due_.reset();
      timer_ = 0;
      OperationEffects effects;
      machine_.Tick(loop_.Now(), effects);
      Apply(std::move(effects));
    });
  }
}

}  // namespace pimentomoor
