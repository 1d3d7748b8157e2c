// Records of operation tokens at their home and at their witness.
//
// The home is the daemon that issued a token, and the only one that dispatches its operation. The witness is a daemon
// in another failure domain. It records whether the token was opened, that is, may have been dispatched, so that it
// can answer when the home is gone. A token that the witness has closed is never opened.
//
// Serials of one home incarnation increase in issue order and all tokens have the same lifetime, so tokens expire in
// serial order. When the witness drops a record it raises a watermark for that home incarnation to the record's
// serial, and from then on refuses to open any token up to the watermark. A token above the watermark without a
// record was therefore never opened, and closing it proves that it did not run. This holds whatever the clocks of
// home and witness show. The clocks only decide when memory is freed: the witness keeps a record for 1.05 lifetimes
// on its own clock, counted from a moment after the token was issued, so a live token is not refused while clock
// rates differ by less than 5%.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "peer.pb.h"
#include "pimentomoor/clock.h"

namespace pimentomoor {

struct LedgerLimits {
  Duration token_lifetime = std::chrono::minutes(10);
  std::size_t max_tokens = 100'000;  // records; a full table refuses new tokens
  // Bytes of the stored answers. A result beyond the limit is kept without its body.
  std::size_t max_result_bytes = std::size_t{32} * 1024 * 1024;
  std::size_t max_watermarks = 10'000;  // home incarnations with a watermark at one witness
};

/// Returns a result without a body. `body_hash` is that of the operation, or 0 when it is unknown.
[[nodiscard]] proto::OperationResult MakeOperationResult(proto::OperationOutcome outcome, std::string reason,
                                                         std::uint64_t body_hash = 0);

/// Returns whether the outcome is certain (RAN or NOT_RUN) in `next` and is not certain in `known`.
[[nodiscard]] bool ResolvesUncertainOutcome(const proto::OperationResult& known, const proto::OperationResult& next);

/// Records of the tokens that this process issued. Decides for each token whether and when its operation may be
/// dispatched.
class HomeLedger {
 public:
  enum class NextStep {
    kOpenAtWitness,  // ask the witness to open the token
    kJoinRun,        // wait for the outcome of the run that is in progress
    kAnswer          // reply with the result, which is final
  };
  struct RunDecision {
    NextStep step = NextStep::kAnswer;
    proto::OperationResult result;  // for kAnswer
  };

  explicit HomeLedger(LedgerLimits limits) : limits_(limits) {}

  /// Adds a token and returns its serial, or nothing when the table is full.
  std::optional<std::uint64_t> IssueSerial(TimePoint now);

  /// Decides how to handle a request to run the token. The first request binds the token to its body.
  RunDecision DecideRun(TimePoint now, std::uint64_t serial, std::uint64_t body_hash);

  /// Called when the witness has opened the token. Returns true exactly once per token, and the operation must then
  /// be dispatched. A token that has expired meanwhile gets the outcome NOT_RUN instead.
  bool TryMarkDispatched(TimePoint now, std::uint64_t serial);

  /// Records the outcome, and returns whether the record changed. An outcome that is certain is never changed.
  bool RecordOutcome(TimePoint now, std::uint64_t serial, const proto::OperationResult& result);

  /// Returns the recorded outcome, or nothing while there is none.
  [[nodiscard]] std::optional<proto::OperationResult> result(std::uint64_t serial) const;
  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  enum class State {
    kIssued,
    kOpening,  // the witness has been asked to open the token
    kDispatched,
    kFinished  // the outcome is recorded
  };
  struct TokenRecord {
    State state = State::kIssued;
    TimePoint expiry;
    TimePoint updated_at;  // of the issue or the last outcome; kept for two lifetimes from then
    std::uint64_t body_hash = 0;
    proto::OperationResult result;
  };

  void DropExpiredRecords(TimePoint now);

  LedgerLimits limits_;
  std::uint64_t next_serial_ = 1;
  std::size_t result_bytes_ = 0;  // sum of the body sizes in records_
  std::unordered_map<std::uint64_t, TokenRecord> records_;
  // Pairs (updated_at, serial), ordered by time; outdated pairs are skipped.
  std::deque<std::pair<TimePoint, std::uint64_t>> update_queue_;
};

/// Records of the tokens for which this process is the witness.
class WitnessLedger {
 public:
  explicit WitnessLedger(LedgerLimits limits) : limits_(limits) {}

  /// Opens the token for this body unless it was closed. Returns whether it is open with this body and has no
  /// outcome. False is final: the home must not dispatch the operation.
  bool Open(TimePoint now, std::uint64_t home, std::uint64_t serial, std::uint64_t body_hash);

  /// Closes the token unless it was opened. Returns NOT_RUN, UNKNOWN or the outcome that the home reported, with the
  /// body hash of an opened token.
  proto::OperationResult Close(TimePoint now, std::uint64_t home, std::uint64_t serial);

  /// Records an outcome that the home reports. Returns whether the record then has a certain outcome or the reported
  /// one, so that the home can stop reporting.
  bool RecordOutcome(TimePoint now, std::uint64_t home, std::uint64_t serial, const proto::OperationResult& result);

  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  using TokenKey = std::pair<std::uint64_t, std::uint64_t>;  // home incarnation, serial
  struct TokenRecord {
    TimePoint updated_at;
    bool opened = false;  // otherwise the token is closed
    std::uint64_t body_hash = 0;
    proto::OperationResult result;
  };

  void DropExpiredRecords(TimePoint now);
  // Returns whether the serial is at or below the watermark of its home incarnation.
  [[nodiscard]] bool IsUpToWatermark(const TokenKey& key) const;
  // Returns nothing for a token up to the watermark and when the table is full.
  TokenRecord* InsertRecord(TimePoint now, const TokenKey& key);
  void MarkUpdated(TimePoint now, const TokenKey& key, TokenRecord& record);

  LedgerLimits limits_;
  std::size_t result_bytes_ = 0;  // sum of the body sizes in records_
  std::map<TokenKey, TokenRecord> records_;
  std::unordered_map<std::uint64_t, std::uint64_t> watermarks_;  // highest dropped serial, by home incarnation
  std::deque<std::pair<TimePoint, TokenKey>> update_queue_;  // (updated_at, key) by time; outdated pairs are skipped
};

}  // namespace pimentomoor
