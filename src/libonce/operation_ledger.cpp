// State machines of the home and the witness of operation tokens.
#include "pimentomoor/operation_ledger.h"

namespace pimentomoor {
namespace {

bool IsCertain(const proto::OperationResult& result) {
  return result.outcome() == proto::OPERATION_RAN || result.outcome() == proto::OPERATION_NOT_RUN;
}

// Copies `from` into `held` and keeps `held_bytes` equal to the sum of the stored bodies.
void Store(const proto::OperationResult& from, proto::OperationResult& held, std::size_t& held_bytes,
           std::size_t max_bytes) {
  held_bytes -= held.body().size();
  held = from;
  if (held_bytes + held.body().size() > max_bytes) {
    held.clear_body();
    held.set_reason("the answer was too large to keep");
  }
  held_bytes += held.body().size();
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

bool Refines(const proto::OperationResult& known, const proto::OperationResult& next) {
  return !IsCertain(known) && IsCertain(next);
}

std::optional<std::uint64_t> HomeLedger::Issue(TimePoint now) {
  Forget(now);
  if (records_.size() >= limits_.max_tokens) {
    return std::nullopt;
  }
  const std::uint64_t serial = next_serial_++;
  records_[serial] = Record{.expiry = now + limits_.token_lifetime, .touched = now};
  touched_.emplace_back(now, serial);
  return serial;
}

HomeLedger::RunDecision HomeLedger::Run(TimePoint now, std::uint64_t serial, std::uint64_t body_hash) {
  Forget(now);
  const auto found = records_.find(serial);
  if (found == records_.end()) {
    return {.result = MakeOperationResult(proto::OPERATION_UNKNOWN, "the home no longer holds the token")};
  }
  Record& record = found->second;
  if (record.state == State::kIssued && now >= record.expiry) {
    Finish(now, serial, MakeOperationResult(proto::OPERATION_NOT_RUN, "token expired"));
  }
  if (record.state == State::kIssued) {
    record.body_hash = body_hash;
    record.state = State::kOpening;
    return {.step = Step::kOpen};
  }
  if (record.body_hash != 0 && record.body_hash != body_hash) {
    return {.result =
                MakeOperationResult(proto::OPERATION_NOT_RUN, "token used with another body", record.body_hash)};
  }
  if (record.state == State::kFinished) {
    return {.result = record.result};
  }
  return {.step = Step::kJoin};
}

bool HomeLedger::Opened(TimePoint now, std::uint64_t serial) {
  const auto found = records_.find(serial);
  if (found == records_.end() || found->second.state != State::kOpening) {
    return false;
  }
  if (now >= found->second.expiry) {
    Finish(now, serial, MakeOperationResult(proto::OPERATION_NOT_RUN, "token expired"));
    return false;
  }
  found->second.state = State::kDispatched;
  return true;
}

bool HomeLedger::Finish(TimePoint now, std::uint64_t serial, const proto::OperationResult& result) {
  const auto found = records_.find(serial);
  if (found == records_.end()) {
    return false;
  }
  Record& record = found->second;
  if (record.state == State::kFinished && !Refines(record.result, result)) {
    return false;
  }
  record.state = State::kFinished;
  Store(result, record.result, result_bytes_, limits_.max_result_bytes);
  record.result.set_body_hash(record.body_hash);
  record.touched = now;
  touched_.emplace_back(now, serial);
  return true;
}

std::optional<proto::OperationResult> HomeLedger::result(std::uint64_t serial) const {
  const auto found = records_.find(serial);
  if (found == records_.end() || found->second.state != State::kFinished) {
    return std::nullopt;
  }
  return found->second.result;
}

void HomeLedger::Forget(TimePoint now) {
  while (!touched_.empty() && touched_.front().first + 2 * limits_.token_lifetime <= now) {
    const auto [time, serial] = touched_.front();
    const auto found = records_.find(serial);
    const bool outdated = found == records_.end() || found->second.touched != time;
    const bool running =
        !outdated && (found->second.state == State::kOpening || found->second.state == State::kDispatched);
    touched_.pop_front();
    // A running token gets a new queue entry when it finishes.
    if (!outdated && !running) {
      result_bytes_ -= found->second.result.body().size();
      records_.erase(found);
    }
  }
}

bool WitnessLedger::Open(TimePoint now, std::uint64_t home, std::uint64_t serial, std::uint64_t body_hash) {
  Forget(now);
  const Key key{home, serial};
  const auto found = records_.find(key);
  if (found != records_.end()) {
    const Entry& entry = found->second;
    return entry.opened && entry.body_hash == body_hash &&
           entry.result.outcome() == proto::OPERATION_OUTCOME_UNSPECIFIED;
  }
  Entry* entry = Insert(now, key);
  if (entry == nullptr) {
    return false;
  }
  entry->opened = true;
  entry->body_hash = body_hash;
  return true;
}

proto::OperationResult WitnessLedger::Close(TimePoint now, std::uint64_t home, std::uint64_t serial) {
  Forget(now);
  const Key key{home, serial};
  auto found = records_.find(key);
  if (found == records_.end()) {
    if (Forgotten(key)) {
      return MakeOperationResult(proto::OPERATION_UNKNOWN, "the witness no longer holds the token");
    }
    if (Insert(now, key) == nullptr) {
      return MakeOperationResult(proto::OPERATION_UNKNOWN, "the witness cannot hold more tokens");
    }
    found = records_.find(key);
    found->second.result = MakeOperationResult(proto::OPERATION_NOT_RUN, "closed before it was opened");
  }
  const Entry& entry = found->second;
  if (entry.result.outcome() != proto::OPERATION_OUTCOME_UNSPECIFIED) {
    return entry.result;
  }
  return MakeOperationResult(proto::OPERATION_UNKNOWN, "opened; the home reported no outcome", entry.body_hash);
}

bool WitnessLedger::Record(TimePoint now, std::uint64_t home, std::uint64_t serial,
                           const proto::OperationResult& result) {
  Forget(now);
  const Key key{home, serial};
  auto found = records_.find(key);
  if (found == records_.end()) {
    // An outcome of a token that was never opened here can only be that the home closed it.
    if (result.outcome() != proto::OPERATION_NOT_RUN || Insert(now, key) == nullptr) {
      return false;
    }
    found = records_.find(key);
  }
  Entry& entry = found->second;
  const bool was_closed = !entry.opened && entry.result.outcome() == proto::OPERATION_NOT_RUN;
  const bool unset = entry.result.outcome() == proto::OPERATION_OUTCOME_UNSPECIFIED;
  if (!was_closed && (unset || Refines(entry.result, result))) {
    Store(result, entry.result, result_bytes_, limits_.max_result_bytes);
    if (entry.body_hash != 0) {
      entry.result.set_body_hash(entry.body_hash);
    }
    Touch(now, key, entry);
  }
  return IsCertain(entry.result) || entry.result.outcome() == result.outcome();
}

bool WitnessLedger::Forgotten(const Key& key) const {
  const auto found = watermarks_.find(key.first);
  return found != watermarks_.end() && key.second <= found->second;
}

WitnessLedger::Entry* WitnessLedger::Insert(TimePoint now, const Key& key) {
  if (Forgotten(key) || records_.size() >= limits_.max_tokens) {
    return nullptr;
  }
  Entry& entry = records_[key];
  Touch(now, key, entry);
  return &entry;
}

void WitnessLedger::Touch(TimePoint now, const Key& key, Entry& entry) {
  entry.touched = now;
  touched_.emplace_back(now, key);
}

void WitnessLedger::Forget(TimePoint now) {
  const Duration kept = limits_.token_lifetime + limits_.token_lifetime / 20;
  while (!touched_.empty() && touched_.front().first + kept <= now) {
    const auto [time, key] = touched_.front();
    const auto found = records_.find(key);
    if (found != records_.end() && found->second.touched == time) {
      // Without room for a watermark the record stays, and the table refuses new tokens once it is full.
      if (!watermarks_.contains(key.first) && watermarks_.size() >= limits_.max_homes) {
        return;
      }
      std::uint64_t& watermark = watermarks_[key.first];
      watermark = std::max(watermark, key.second);
      result_bytes_ -= found->second.result.body().size();
      records_.erase(found);
    }
    touched_.pop_front();
  }
}

}  // namespace pimentomoor
