// Protocol of operation tokens as a pure state machine: entry, home and witness of one daemon.
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
  Duration peer_timeout = std::chrono::milliseconds(300);        // silence after which home or witness count as gone
  std::size_t max_tokens = 100'000;                              // issued here, and again as witness for others
  std::string token_key;                                         // for the integrity check, shared by the deployment
  std::size_t max_result_bytes = std::size_t{32} * 1024 * 1024;  // answers kept for resends
};

struct OperationEffects {
  struct Message {
    std::string address;
    proto::Envelope envelope;
  };
  struct Dispatch {
    proto::Token token;
    std::string body;
    Duration remaining{};
  };
  struct Answer {
    std::uint64_t run = 0;  // as returned by OperationMachine::Run
    proto::OperationResult result;
  };

  std::vector<Message> messages;
  std::vector<Dispatch> dispatches;
  std::vector<Answer> answers;
  bool handed_over = false;
};

class OperationMachine {
 public:
  explicit OperationMachine(OperationOptions options);

  /// Returns the token's text; nothing when the table is full or the daemon is leaving.
  std::optional<std::string> IssueToken(TimePoint now, const proto::Daemon& witness, const std::string& customer,
                                        const std::string& service);

  /// Entry: runs the operation or finds out what became of it. The answer arrives in `effects` under the returned
  /// id, at the latest when `remaining` has passed.
  std::uint64_t Run(TimePoint now, const std::string& token_text, std::string body, Duration remaining,
                    OperationEffects& effects);

  void Receive(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);

  /// The dispatcher's result for an element of OperationEffects::dispatches.
  void FinishDispatch(TimePoint now, const proto::Token& token, const proto::OperationResult& result,
                      OperationEffects& effects);

  /// Planned stop: opens no more tokens, waits for the running ones and confirms every outcome with its witness.
  void HandOverOutcomes(TimePoint now, OperationEffects& effects);

  /// Runs what is due. Call at NextWake().
  void Tick(TimePoint now, OperationEffects& effects);
  [[nodiscard]] std::optional<TimePoint> NextWake() const;

 private:
  enum class Timer { kRun, kHome, kReport, kHandOver };
  using TimerKey = std::tuple<TimePoint, Timer, std::uint64_t>;

  // A request that waits for its next repetition. The interval doubles, since a silent peer is more likely gone
  // than slow, and bodies can be large.
  struct Repeat {
    TimePoint wake;
    Duration interval{};
  };
  struct EntryRun {
    proto::Token token;
    std::string body;
    std::uint64_t body_hash = 0;
    TimePoint deadline;
    TimePoint home_until;  // the witness is asked from then on
    bool home_answered = false;
    bool asks_witness = false;
    std::optional<proto::OperationResult> witness_result;
    Repeat repeat;
  };
  struct Waiter {
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint64_t request_id = 0;
    friend bool operator==(const Waiter&, const Waiter&) = default;
  };
  struct HomeRun {
    proto::Token token;
    std::string body;  // empty once dispatched
    std::vector<Waiter> waiters;
    bool dispatched = false;
    TimePoint open_until;
    TimePoint deadline;
    Repeat repeat;
  };
  struct Report {
    proto::Token token;
    TimePoint until;
    Repeat repeat;
  };

  proto::Envelope Header(std::uint64_t to_incarnation) const;
  void Emit(const std::string& address, proto::Envelope envelope, OperationEffects& effects);
  void Drain(TimePoint now, OperationEffects& effects);
  void Handle(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void Start(TimePoint now, Timer timer, std::uint64_t id, Repeat& repeat, TimePoint limit);
  void Again(TimePoint now, Timer timer, std::uint64_t id, Repeat& repeat, TimePoint limit);
  void SetTimer(Timer timer, std::uint64_t id, Repeat& repeat, TimePoint when);
  void ClearTimer(Timer timer, std::uint64_t id, const Repeat& repeat);

  // Entry.
  void SendRun(TimePoint now, std::uint64_t id, EntryRun& run, OperationEffects& effects);
  void AskWitness(TimePoint now, std::uint64_t id, EntryRun& run, OperationEffects& effects);
  void SendClose(std::uint64_t id, EntryRun& run, OperationEffects& effects);
  void TickRun(TimePoint now, std::uint64_t id, OperationEffects& effects);
  void OnRunReply(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void OnCloseReply(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void Answer(std::uint64_t id, proto::OperationResult result, OperationEffects& effects);

  // Home.
  void OnRunToken(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void Open(TimePoint now, const proto::RunToken& request, const Waiter& waiter, OperationEffects& effects);
  void SendOpen(const HomeRun& run, OperationEffects& effects);
  void OnOpenReply(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void TickHome(TimePoint now, std::uint64_t serial, OperationEffects& effects);
  void Finish(TimePoint now, const proto::Token& token, const proto::OperationResult& result,
              OperationEffects& effects);
  void ReplyRun(const Waiter& waiter, const proto::Token& token, const proto::OperationResult& result,
                OperationEffects& effects);
  void SendReport(std::uint64_t serial, const Report& report, OperationEffects& effects);
  void TickReport(TimePoint now, std::uint64_t serial, OperationEffects& effects);
  void CheckHandOver(TimePoint now, OperationEffects& effects);

  // Witness.
  void OnOpenToken(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void OnCloseToken(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void OnOutcome(TimePoint now, const proto::Envelope& envelope, OperationEffects& effects);
  void ReplyClose(const proto::Envelope& to, const proto::Token& token, std::uint64_t request_id,
                  const proto::OperationResult& result, OperationEffects& effects);

  OperationOptions options_;
  HomeLedger home_;
  WitnessLedger witness_;
  std::uint64_t next_run_ = 1;
  std::map<std::uint64_t, EntryRun> runs_;      // by request id
  std::map<std::uint64_t, HomeRun> home_runs_;  // by serial: opening or dispatched
  std::map<std::uint64_t, Report> reports_;     // by serial: outcomes that the witness has not confirmed
  std::set<TimerKey> timers_;                   // holds exactly one entry per element of the three maps
  std::vector<proto::Envelope> local_;          // messages to this daemon, handled before a call returns
  bool leaving_ = false;
  bool handed_over_ = false;
  Repeat hand_over_;  // its wake is the time after which unconfirmed outcomes are given up
};

}  // namespace pimentomoor
