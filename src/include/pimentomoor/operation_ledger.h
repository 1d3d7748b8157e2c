// Records of operation tokens at their home and at their witness.
//
// Serials of one home incarnation increase in issue order and all tokens have the same lifetime, so tokens expire in
// serial order. When the witness forgets a record it raises a watermark for that home incarnation to the record's
// serial, and from then on refuses to open any token up to the watermark. A token above the watermark without a
// record was therefore never opened, and closing it proves that it did not run. This holds whatever the two clocks
// show. The clocks only decide when memory is freed: the witness keeps a record for 1.05 lifetimes on its own clock,
// counted from a moment after the token was issued, so a live token is not refused while clock rates differ by less
// than 5%.
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
  std::size_t max_tokens = 100'000;  // records held; a full table refuses new tokens
  std::size_t max_result_bytes =
      std::size_t{32} * 1024 * 1024;  // answers held; a result beyond that is kept without its body
  std::size_t max_homes = 10'000;     // home incarnations with a watermark at one witness
};

[[nodiscard]] proto::OperationResult MakeOperationResult(proto::OperationOutcome outcome, std::string reason,
                                                         std::uint64_t body_hash = 0);

/// Whether `next` tells more than `known`: the outcome was unknown and is now certain.
[[nodiscard]] bool Refines(const proto::OperationResult& known, const proto::OperationResult& next);

/// Tokens issued by this process. Decides for each token whether and when it may be dispatched.
class HomeLedger {
 public:
  enum class Step { kOpen, kJoin, kAnswer };
  struct RunDecision {
    Step step = Step::kAnswer;
    proto::OperationResult result;  // for kAnswer
  };

  explicit HomeLedger(LedgerLimits limits) : limits_(limits) {}

  /// Returns the new token's serial, or nothing when the table is full.
  std::optional<std::uint64_t> Issue(TimePoint now);

  /// A caller wants to run the token. The first body is bound. kOpen: ask the witness; kJoin: wait for the run that
  /// is under way; kAnswer: the result is final.
  RunDecision Run(TimePoint now, std::uint64_t serial, std::uint64_t body_hash);

  /// The witness has recorded the token as opened. Returns true exactly once per token, and only when it must be
  /// dispatched now; a token that expired meanwhile is closed.
  bool Opened(TimePoint now, std::uint64_t serial);

  /// Records the outcome. An outcome that is certain is never changed. Returns whether the record changed.
  bool Finish(TimePoint now, std::uint64_t serial, const proto::OperationResult& result);

  /// Returns the recorded outcome, or nothing while there is none.
  [[nodiscard]] std::optional<proto::OperationResult> result(std::uint64_t serial) const;
  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  enum class State { kIssued, kOpening, kDispatched, kFinished };
  struct Record {
    State state = State::kIssued;
    TimePoint expiry;
    TimePoint touched;  // of issue or of the outcome; the record is kept two lifetimes after it
    std::uint64_t body_hash = 0;
    proto::OperationResult result;
  };

  void Forget(TimePoint now);

  LedgerLimits limits_;
  std::uint64_t next_serial_ = 1;
  std::size_t result_bytes_ = 0;  // sum of the body sizes in records_
  std::unordered_map<std::uint64_t, Record> records_;
  std::deque<std::pair<TimePoint, std::uint64_t>> touched_;  // ordered by time; outdated entries are skipped
};

/// Tokens of other homes for which this process is the witness.
class WitnessLedger {
 public:
  explicit WitnessLedger(LedgerLimits limits) : limits_(limits) {}

  /// Returns whether the token is recorded as opened with this body. False is final: its home must close it.
  bool Open(TimePoint now, std::uint64_t home, std::uint64_t serial, std::uint64_t body_hash);

  /// Closes the token unless it was opened. The result is NOT_RUN, UNKNOWN or the outcome that the home reported; it
  /// names the body hash of an opened token.
  proto::OperationResult Close(TimePoint now, std::uint64_t home, std::uint64_t serial);

  /// The home reports an outcome. Returns whether the witness holds a certain outcome, or the same one, afterwards.
  bool Record(TimePoint now, std::uint64_t home, std::uint64_t serial, const proto::OperationResult& result);

  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  using Key = std::pair<std::uint64_t, std::uint64_t>;  // home incarnation, serial
  struct Entry {
    TimePoint touched;
    bool opened = false;  // otherwise closed
    std::uint64_t body_hash = 0;
    proto::OperationResult result;
  };

  void Forget(TimePoint now);
  [[nodiscard]] bool Forgotten(const Key& key) const;
  Entry* Insert(TimePoint now, const Key& key);
  void Touch(TimePoint now, const Key& key, Entry& entry);

  LedgerLimits limits_;
  std::size_t result_bytes_ = 0;  // sum of the body sizes in records_
  std::map<Key, Entry> records_;
  std::unordered_map<std::uint64_t, std::uint64_t> watermarks_;  // highest forgotten serial by home incarnation
  std::deque<std::pair<TimePoint, Key>> touched_;                // ordered by time; outdated entries are skipped
};

}  // namespace pimentomoor
