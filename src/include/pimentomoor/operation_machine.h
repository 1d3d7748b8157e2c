// Protocol of operation tokens, which let a non-idempotent operation run at most once, as a pure state machine: the
// parts of entry, home and witness in one daemon.
//
// A caller gets a token from any daemon, the token's home, and sends it with its operation to any daemon, the entry,
// as often as it likes. The entry asks the home to run the operation. The home has the token opened at the witness, a
// daemon in another failure domain, then dispatches the operation to an upstream once, and reports the outcome to the
// witness. When the home does not answer, the entry asks the witness to close the token: a token that was not opened
// can then no longer run.
//
// Inputs are calls that carry the time; effects are collected in OperationEffects. The machine never relies on a
// message arriving: every request is repeated until it is answered or its time has passed.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "peer.pb.h"
#include "pimentomoor/operation_ledger.h"

namespace pimentomoor {

struct OperationOptions {
  proto::Daemon self;
  Duration token_lifetime = std::chrono::minutes(10);
  Duration peer_timeout = std::chrono::milliseconds(300);  // without a reply home or witness then count as gone
  std::size_t max_tokens = 100'000;                        // at the home, and as many at the witness
  std::string token_key;                                   // HMAC key, shared by the daemons of the deployment
  // Bytes of the answers stored for resends, at the home and again at the witness.
  std::size_t max_result_bytes = std::size_t{32} * 1024 * 1024;
};

/// What the caller of the machine has to do after a call.
struct OperationEffects {
  struct Message {
    std::string address;
    proto::Envelope envelope;
  };
  struct Dispatch {
    proto::Token token;
    std::string body;
    Duration remaining{};  // until the deadline of the run
  };
  struct Answer {
    std::uint64_t run_id = 0;  // as returned by OperationMachine::Run()
    proto::OperationResult result;
  };

  std::vector<Message> messages;
  std::vector<Dispatch> dispatches;
  std::vector<Answer> answers;
  bool handed_over = false;  // HandOverOutcomes() has completed
};

/// The protocol's state in one daemon.
class OperationMachine {
 public:
  explicit OperationMachine(OperationOptions options);

  /// Issues a token and returns its text, or nothing when the table is full or the daemon is leaving. Throws
  /// std::invalid_argument when a name is too long.
  std::optional<std::string> IssueToken(TimePoint now, const proto::Daemon& witness, const std::string& customer,
                                        const std::string& service);

  /// At the entry: has the operation run, or finds out its outcome. OperationEffects::answers of this or a later call
  /// has the result under the returned id, at the latest when `remaining` has passed.
  std::uint64_t Run(TimePoint now, const std::string& token_text, std::string body, Duration remaining,
                    OperationEffects& effects);

  /// Handles a message of the protocol and ignores others.
  void Receive(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);

  /// Takes the dispatcher's result for an element of OperationEffects::dispatches.
  void FinishDispatch(TimePoint now, const proto::Token& token, const proto::OperationResult& result,
                      OperationEffects& effects);

  /// Prepares a planned stop: opens no more tokens, waits for the running operations and repeats every outcome to its
  /// witness until the witness confirms it.
  void HandOverOutcomes(TimePoint now, OperationEffects& effects);

  /// Handles the timers that are due. Call it at NextWake().
  void Tick(TimePoint now, OperationEffects& effects);
  [[nodiscard]] std::optional<TimePoint> NextWake() const;

 private:
  enum class TimerKind { kEntryRun, kHomeRun, kReport, kHandOver };
  using TimerKey = std::tuple<TimePoint, TimerKind, std::uint64_t>;

  // Timer for the next repetition of a request, or for a deadline. The interval doubles with each repetition, since a
  // silent peer is more likely gone than slow, and bodies can be large.
  struct RetryTimer {
    TimePoint wake;
    Duration interval{};
  };
  // A run that a caller has requested at this entry.
  struct EntryRun {
    proto::Token token;
    std::string body;
    std::uint64_t body_hash = 0;
    TimePoint deadline;
    TimePoint ask_witness_at;  // time from which on the witness is asked
    bool home_reports_running = false;
    bool witness_asked = false;
    // The answer when the home reports no outcome before the deadline.
    std::optional<proto::OperationResult> witness_result;
    RetryTimer retry_timer;
  };
  // A request of an entry to run a token, which gets a reply when the outcome is known.
  struct Waiter {
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint64_t request_id = 0;
    friend bool operator==(const Waiter&, const Waiter&) = default;
  };
  // A run of a token that this home issued.
  struct HomeRun {
    proto::Token token;
    std::string body;  // empty once dispatched
    std::vector<Waiter> waiters;
    bool dispatched = false;
    TimePoint open_deadline;  // of the reply of the witness
    TimePoint deadline;
    RetryTimer retry_timer;
  };
  // An outcome that is repeated to the witness until the witness confirms it.
  struct OutcomeReport {
    proto::Token token;
    TimePoint give_up_at;
    RetryTimer retry_timer;
  };

  // Returns a message from this daemon. `to_incarnation` 0 addresses any incarnation of the receiver.
  proto::Envelope MakeEnvelope(std::uint64_t to_incarnation) const;
  // Adds the message to `effects`, or to local_messages_ when it is for this daemon.
  void SendTo(const std::string& address, proto::Envelope envelope, OperationEffects& effects);
  void HandleLocalMessages(TimePoint now, OperationEffects& effects);
  void Handle(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  // Sets the timer for the first retry, no later than `latest`.
  void StartRetries(TimePoint now, TimerKind kind, std::uint64_t id, RetryTimer& retry_timer, TimePoint latest);
  // Doubles the interval and sets the timer for the next retry, no later than `latest`.
  void ScheduleRetry(TimePoint now, TimerKind kind, std::uint64_t id, RetryTimer& retry_timer, TimePoint latest);
  void SetTimer(TimerKind kind, std::uint64_t id, RetryTimer& retry_timer, TimePoint when);
  void ClearTimer(TimerKind kind, std::uint64_t id, const RetryTimer& retry_timer);

  // At the entry.
  void SendRunRequest(TimePoint now, std::uint64_t id, EntryRun& run, OperationEffects& effects);
  void AskWitness(TimePoint now, std::uint64_t id, EntryRun& run, OperationEffects& effects);
  void SendCloseRequest(std::uint64_t id, EntryRun& run, OperationEffects& effects);
  void OnEntryRunTimer(TimePoint now, std::uint64_t id, OperationEffects& effects);
  void OnRunTokenReply(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void OnCloseTokenReply(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void AnswerRun(std::uint64_t id, proto::OperationResult result, OperationEffects& effects);

  // At the home.
  void OnRunToken(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void StartHomeRun(TimePoint now, const proto::RunToken& request, const Waiter& waiter, OperationEffects& effects);
  void SendOpenRequest(const HomeRun& run, OperationEffects& effects);
  void OnOpenTokenReply(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void OnHomeRunTimer(TimePoint now, std::uint64_t serial, OperationEffects& effects);
  void FinishHomeRun(TimePoint now, const proto::Token& token, const proto::OperationResult& result,
                     OperationEffects& effects);
  void SendRunReply(const Waiter& waiter, const proto::Token& token, const proto::OperationResult& result,
                    OperationEffects& effects);
  void SendOutcomeReport(std::uint64_t serial, const OutcomeReport& report, OperationEffects& effects);
  void OnReportTimer(TimePoint now, std::uint64_t serial, OperationEffects& effects);
  // Ends the planned stop when all outcomes are confirmed or its time has passed.
  void CheckHandOver(TimePoint now, OperationEffects& effects);

  // At the witness.
  void OnOpenToken(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void OnCloseToken(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void OnTokenOutcome(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void SendCloseReply(const proto::Envelope& to, const proto::Token& token, std::uint64_t request_id,
                      const proto::OperationResult& result, OperationEffects& effects);

  OperationOptions options_;
  HomeLedger home_ledger_;
  WitnessLedger witness_ledger_;
  std::uint64_t next_run_id_ = 1;
  std::map<std::uint64_t, EntryRun> entry_runs_;    // by request id
  std::map<std::uint64_t, HomeRun> home_runs_;      // by serial: tokens being opened or dispatched
  std::map<std::uint64_t, OutcomeReport> reports_;  // by serial: outcomes that the witness has not confirmed
  std::set<TimerKey> timers_;  // exactly one per element of the three maps, and one while hand_over_timer_ is set
  std::vector<proto::Envelope> local_messages_;  // messages to this daemon, handled before a call returns
  bool leaving_ = false;
  bool handed_over_ = false;
  RetryTimer hand_over_timer_;  // wakes at the time when unconfirmed outcomes are given up
};

}  // namespace pimentomoor
