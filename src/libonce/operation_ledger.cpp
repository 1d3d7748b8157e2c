// Records of operation tokens at the home and at the witness, and the decisions on them.
#include "pimentomoor/operation_ledger.h"

namespace pimentomoor {
namespace {

bool IsCertain(const proto::OperationResult& result) {
  return result.outcome() == proto::OPERATION_RAN || result.outcome() == proto::OPERATION_NOT_RUN;
}

// Copies `from` into `stored`, without the body when `stored_bytes`, the sum of all stored bodies, would exceed
// `max_bytes`. Updates `stored_bytes`.
void StoreResult(const proto::OperationResult& from, proto::OperationResult& stored, std::size_t& stored_bytes,
                 std::size_t max_bytes) {
  stored_bytes -= stored.body().size();
  stored = from;
  if (stored_bytes + stored.body().size() > max_bytes) {
    stored.clear_body();
    stored.set_reason("the answer was too large to keep");
  }
  stored_bytes += stored.body().size();
}

}  // namespace

proto::OperationResult MakeOperationResult(proto::OperationOutcome outcome, std::string reason,
                                           std::uint64_t body_hash) {
  proto::OperationResult result;
  result.set_outcome(outcome);
  result.set_reason(std::move(reason));
  result.set_body_hash(body_hash);
  return result;
}

bool ResolvesUncertainOutcome(const proto::OperationResult& known, const proto::OperationResult& next) {
  return !IsCertain(known) && IsCertain(next);
}

std::optional<std::uint64_t> HomeLedger::IssueSerial(TimePoint now) {
  DropExpiredRecords(now);
  if (records_.size() >= limits_.max_tokens) {
    return std::nullopt;
  }
  const std::uint64_t serial = next_serial_++;
  records_[serial] = TokenRecord{.expiry = now + limits_.token_lifetime, .updated_at = now};
  update_queue_.emplace_back(now, serial);
  return serial;
}

HomeLedger::RunDecision HomeLedger::DecideRun(TimePoint now, std::uint64_t serial, std::uint64_t body_hash) {
  DropExpiredRecords(now);
  const auto found = records_.find(serial);
  if (found == records_.end()) {
    return {.result = MakeOperationResult(proto::OPERATION_UNKNOWN, "the home no longer holds the token")};
  }
  TokenRecord& record = found->second;
  if (record.state == State::kIssued && now >= record.expiry) {
    RecordOutcome(now, serial, MakeOperationResult(proto::OPERATION_NOT_RUN, "token expired"));
  }
  if (record.state == State::kIssued) {
    record.body_hash = body_hash;
    record.state = State::kOpening;
    return {.step = NextStep::kOpenAtWitness};
  }
  if (record.body_hash != 0 && record.body_hash != body_hash) {
    return {.result =
                MakeOperationResult(proto::OPERATION_NOT_RUN, "token used with another body", record.body_hash)};
  }
  if (record.state == State::kFinished) {
    return {.result = record.result};
  }
  return {.step = NextStep::kJoinRun};
}

bool HomeLedger::TryMarkDispatched(TimePoint now, std::uint64_t serial) {
  const auto found = records_.find(serial);
  if (found == records_.end() || found->second.state != State::kOpening) {
    return false;
  }
  if (now >= found->second.expiry) {
    RecordOutcome(now, serial, MakeOperationResult(proto::OPERATION_NOT_RUN, "token expired"));
    return false;
  }
  found->second.state = State::kDispatched;
  return true;
}

bool HomeLedger::RecordOutcome(TimePoint now, std::uint64_t serial, const proto::OperationResult& result) {
  const auto found = records_.find(serial);
  if (found == records_.end()) {
    return false;
  }
  TokenRecord& record = found->second;
  if (record.state == State::kFinished && !ResolvesUncertainOutcome(record.result, result)) {
    return false;
  }
  record.state = State::kFinished;
  StoreResult(result, record.result, result_bytes_, limits_.max_result_bytes);
  record.result.set_body_hash(record.body_hash);
  record.updated_at = now;
  update_queue_.emplace_back(now, serial);
  return true;
}

std::optional<proto::OperationResult> HomeLedger::result(std::uint64_t serial) const {
  const auto found = records_.find(serial);
  if (found == records_.end() || found->second.state != State::kFinished) {
    return std::nullopt;
  }
  return found->second.result;
}

void HomeLedger::DropExpiredRecords(TimePoint now) {
  while (!update_queue_.empty() && update_queue_.front().first + 2 * limits_.token_lifetime <= now) {
    const auto [time, serial] = update_queue_.front();
    const auto found = records_.find(serial);
    const bool outdated = found == records_.end() || found->second.updated_at != time;
    const bool running =
        !outdated && (found->second.state == State::kOpening || found->second.state == State::kDispatched);
    update_queue_.pop_front();
    // The record of a running operation stays, and is queued again when the outcome is recorded.
    if (!outdated && !running) {
      result_bytes_ -= found->second.result.body().size();
      records_.erase(found);
    }
  }
}

bool WitnessLedger::Open(TimePoint now, std::uint64_t home, std::uint64_t serial, std::uint64_t body_hash) {
  DropExpiredRecords(now);
  const TokenKey key{home, serial};
  const auto found = records_.find(key);
  if (found != records_.end()) {
    const TokenRecord& record = found->second;
    return record.opened && record.body_hash == body_hash &&
           record.result.outcome() == proto::OPERATION_OUTCOME_UNSPECIFIED;
  }
  TokenRecord* record = InsertRecord(now, key);
  if (record == nullptr) {
    return false;
  }
  record->opened = true;
  record->body_hash = body_hash;
  return true;
}

proto::OperationResult WitnessLedger::Close(TimePoint now, std::uint64_t home, std::uint64_t serial) {
  DropExpiredRecords(now);
  const TokenKey key{home, serial};
  auto found = records_.find(key);
  if (found == records_.end()) {
    if (IsUpToWatermark(key)) {
      return MakeOperationResult(proto::OPERATION_UNKNOWN, "the witness no longer holds the token");
    }
    if (InsertRecord(now, key) == nullptr) {
      return MakeOperationResult(proto::OPERATION_UNKNOWN, "the witness cannot hold more tokens");
    }
    found = records_.find(key);
    found->second.result = MakeOperationResult(proto::OPERATION_NOT_RUN, "closed before it was opened");
  }
  const TokenRecord& record = found->second;
  if (record.result.outcome() != proto::OPERATION_OUTCOME_UNSPECIFIED) {
    return record.result;
  }
  return MakeOperationResult(proto::OPERATION_UNKNOWN, "opened; the home reported no outcome", record.body_hash);
}

bool WitnessLedger::RecordOutcome(TimePoint now, std::uint64_t home, std::uint64_t serial,
                                  const proto::OperationResult& result) {
  DropExpiredRecords(now);
  const TokenKey key{home, serial};
  auto found = records_.find(key);
  if (found == records_.end()) {
    // A token that was never opened here has not run, so NOT_RUN is the only outcome that its home can report.
    if (result.outcome() != proto::OPERATION_NOT_RUN || InsertRecord(now, key) == nullptr) {
      return false;
    }
    found = records_.find(key);
  }
  TokenRecord& record = found->second;
  const bool was_closed = !record.opened && record.result.outcome() == proto::OPERATION_NOT_RUN;
  const bool unset = record.result.outcome() == proto::OPERATION_OUTCOME_UNSPECIFIED;
  if (!was_closed && (unset || ResolvesUncertainOutcome(record.result, result))) {
    StoreResult(result, record.result, result_bytes_, limits_.max_result_bytes);
    if (record.body_hash != 0) {
      record.result.set_body_hash(record.body_hash);
    }
    MarkUpdated(now, key, record);
  }
  return IsCertain(record.result) || record.result.outcome() == result.outcome();
}

bool WitnessLedger::IsUpToWatermark(const TokenKey& key) const {
  const auto found = watermarks_.find(key.first);
  return found != watermarks_.end() && key.second <= found->second;
}

WitnessLedger::TokenRecord* WitnessLedger::InsertRecord(TimePoint now, const TokenKey& key) {
  if (IsUpToWatermark(key) || records_.size() >= limits_.max_tokens) {
    return nullptr;
  }
  TokenRecord& record = records_[key];
  MarkUpdated(now, key, record);
  return &record;
}

void WitnessLedger::MarkUpdated(TimePoint now, const TokenKey& key, TokenRecord& record) {
  record.updated_at = now;
  update_queue_.emplace_back(now, key);
}

void WitnessLedger::DropExpiredRecords(TimePoint now) {
  const Duration retention = limits_.token_lifetime + limits_.token_lifetime / 20;
  while (!update_queue_.empty() && update_queue_.front().first + retention <= now) {
    const auto [time, key] = update_queue_.front();
    const auto found = records_.find(key);
    if (found != records_.end() && found->second.updated_at == time) {
      // Without a free watermark the record stays, and the table refuses new tokens once it is full.
      if (!watermarks_.contains(key.first) && watermarks_.size() >= limits_.max_watermarks) {
        return;
      }
      std::uint64_t& watermark = watermarks_[key.first];
      watermark = std::max(watermark, key.second);
      result_bytes_ -= found->second.result.body().size();
      records_.erase(found);
    }
    update_queue_.pop_front();
  }
}

}  // namespace pimentomoor
