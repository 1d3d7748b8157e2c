// Runs the operation token protocol of one daemon on the event loop.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "pimentomoor/event_loop.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/operation_machine.h"

namespace pimentomoor {

class OperationTask {
 public:
  using Done = std::function<void(proto::OperationResult)>;
  using Send = std::function<bool(const std::string& peer_address, const proto::Envelope&)>;
  /// Runs an operation at an upstream, at most once, and calls `done` once with RAN, NOT_RUN (no byte was sent) or
  /// UNKNOWN. After `remaining` the outcome counts as UNKNOWN, and a later call of `done` with a certain outcome
  /// replaces it for later resends.
  using Dispatch =
      std::function<void(const proto::Token& token, const std::string& body, Duration remaining, Done done)>;
  /// Returns a live daemon in another failure domain, or nothing.
  using ChooseWitness = std::function<std::optional<proto::Daemon>()>;

  /// `loop` and `metrics` must outlive the task.
  OperationTask(EventLoop& loop, OperationOptions options, Send send, Dispatch dispatch, ChooseWitness choose_witness,
                Metrics& metrics);
  ~OperationTask();
  OperationTask(const OperationTask&) = delete;
  OperationTask& operator=(const OperationTask&) = delete;

  /// Returns the text of a new token. The text is empty when there is no witness, the table is full, or the daemon is
  /// leaving. Throws std::invalid_argument when a name is too long.
  std::string IssueToken(const std::string& customer, const std::string& service);

  /// Has the operation run, or finds out its outcome; the token may come from any home. `done` is called once, at the
  /// latest after `remaining` and possibly before Run() returns, with RAN, NOT_RUN or UNKNOWN.
  void Run(const std::string& token_text, std::string body, Duration remaining, Done done);

  /// Handles open_token, close_token, run_token, their replies and token_outcome, and ignores other messages.
  void HandleMessage(const proto::Envelope& envelope);

  /// Prepares a planned stop: opens no more tokens, waits for the running operations and reports every outcome to its
  /// witness. `done` is called once, also when a witness does not confirm in time.
  void HandOverOutcomes(std::function<void()> done);

 private:
  void Apply(OperationEffects effects);
  void StartDispatch(const OperationEffects::Dispatch& dispatch);
  void SetTimer();

  EventLoop& loop_;
  OperationMachine machine_;
  Send send_;
  Dispatch dispatch_;
  ChooseWitness choose_witness_;
  Metrics& metrics_;
  std::map<std::uint64_t, Done> done_by_run_;  // by the machine's run id
  std::function<void()> on_handed_over_;
  TimerId timer_ = 0;
  std::optional<TimePoint> timer_due_;
  std::shared_ptr<OperationTask*> alive_;  // expires with the task, for dispatch results that come later
};

}  // namespace pimentomoor
