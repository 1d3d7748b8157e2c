// Runs the operation token protocol on the event loop.
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
  /// UNKNOWN. A call after `remaining` still corrects an unknown outcome for later resends.
  using Dispatch =
      std::function<void(const proto::Token& token, const std::string& body, Duration remaining, Done done)>;
  /// Names a live daemon in another failure domain, or nothing.
  using ChooseWitness = std::function<std::optional<proto::Daemon>()>;

  /// `loop` and `metrics` must outlive the task.
  OperationTask(EventLoop& loop, OperationOptions options, Send send, Dispatch dispatch, ChooseWitness choose_witness,
                Metrics& metrics);
  ~OperationTask();
  OperationTask(const OperationTask&) = delete;
  OperationTask& operator=(const OperationTask&) = delete;

  /// Returns the text of a new token. Empty when there is no witness, the table is full, or the daemon is leaving.
  /// Throws std::invalid_argument when a name is too long.
  std::string IssueToken(const std::string& customer, const std::string& service);

  /// Runs the operation, at any entry. `done` is called once, at the latest after `remaining`, with RAN, NOT_RUN or
  /// UNKNOWN; it may be called before Run() returns.
  void Run(const std::string& token_text, std::string body, Duration remaining, Done done);

  /// Takes open_token, close_token, run_token, their replies, and token_outcome; ignores the rest.
  void HandleMessage(const proto::Envelope& envelope);

  /// Planned stop: opens no more tokens, waits for the running operations and gives every outcome to its witness.
  /// `done` is called once, also when a witness does not confirm in time.
  void HandOverOutcomes(std::function<void()> done);

 private:
  void Apply(OperationEffects effects);
  void StartDispatch(const OperationEffects::Dispatch& order);
  void SetTimer();

  EventLoop& loop_;
  OperationMachine machine_;
  Send send_;
  Dispatch dispatch_;
  ChooseWitness choose_witness_;
  Metrics& metrics_;
  std::map<std::uint64_t, Done> waiting_;  // by the machine's run id
  std::function<void()> handed_over_;
  TimerId timer_ = 0;
  std::optional<TimePoint> timer_time_;
  std::shared_ptr<OperationTask*> alive_;  // expires with the task; late dispatch results check it
};

}  // namespace pimentomoor
