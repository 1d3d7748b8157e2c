// Records of canaries and strikes, and the sentinel's decisions on them.
#include "pimentomoor/crash_guard.h"

#include <algorithm>

namespace pimentomoor {
namespace {

using FingerprintRecord = CrashGuardState::FingerprintRecord;

// A few are enough, because repeated requests arrive within one sentinel_timeout.
constexpr std::size_t kMaxEndedCanaries = 8;

std::size_t CountStrikes(const FingerprintRecord& record) {
  std::size_t strikes = record.struck_upstreams.size();
  for (const CrashGuardState::Canary& canary : record.unreported_canaries) {
    strikes += canary.copies;
  }
  return strikes;
}

bool IsRunning(const FingerprintRecord& record, const CanaryId& id) {
  return record.running_canary && record.running_canary->id == id;
}

bool IsUnreported(const FingerprintRecord& record, const CanaryId& id) {
  return std::any_of(record.unreported_canaries.begin(), record.unreported_canaries.end(),
                     [&](const auto& canary) { return canary.id == id; });
}

FingerprintRecord* FindRecord(CrashGuardState& state, std::uint64_t fingerprint) {
  const auto found = state.records.find(fingerprint);
  return found == state.records.end() ? nullptr : &found->second;
}

void SetExpiry(CrashGuardState& state, std::uint64_t fingerprint, FingerprintRecord& record, TimePoint expiry) {
  state.expiries.erase({record.expiry, fingerprint});
  record.expiry = expiry;
  state.expiries.insert({expiry, fingerprint});
}

void DropRecord(CrashGuardState& state, std::uint64_t fingerprint) {
  if (const FingerprintRecord* record = FindRecord(state, fingerprint)) {
    state.expiries.erase({record->expiry, fingerprint});
    state.records.erase(fingerprint);
  }
}

FingerprintRecord* FindOrCreateRecord(CrashGuardState& state, const CrashGuardOptions& options,
                                      std::uint64_t fingerprint) {
  if (FingerprintRecord* record = FindRecord(state, fingerprint)) {
    return record;
  }
  return state.records.size() >= options.max_fingerprints ? nullptr : &state.records[fingerprint];
}

// Returns the expiry of a record without a running canary: strikes count for the whole quarantine, and ended canaries
// are remembered for one canary timeout.
TimePoint ExpiryWithoutCanary(const FingerprintRecord& record, const CrashGuardOptions& options, TimePoint now) {
  return now + (CountStrikes(record) > 0 ? options.quarantine_duration : options.canary_timeout);
}

void RememberEndedCanary(FingerprintRecord& record, const CanaryId& id) {
  record.ended_canaries.push_back(id);
  if (record.ended_canaries.size() > kMaxEndedCanaries) {
    record.ended_canaries.pop_front();
  }
}

void StartCanary(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now, std::uint64_t fingerprint,
                 FingerprintRecord& record, const CrashGuardState::Canary& canary) {
  record.running_canary = canary;
  record.running_canary_expiry = now + options.canary_timeout;
  SetExpiry(state, fingerprint, record, record.running_canary_expiry);
}

// Removes the canary and its presumed strikes. Returns false when the record does not hold it.
bool EndCanary(FingerprintRecord& record, const CanaryId& id) {
  if (IsRunning(record, id)) {
    record.running_canary.reset();
  } else if (std::erase_if(record.unreported_canaries, [&](const auto& canary) { return canary.id == id; }) == 0) {
    return false;
  }
  RememberEndedCanary(record, id);
  return true;
}

void ClearProof(CrashGuardState& state, std::uint64_t fingerprint) {
  const auto found = state.proven.find(fingerprint);
  if (found != state.proven.end()) {
    state.proven_order.erase(found->second);
    state.proven.erase(found);
  }
}

template <class Container, class Value>
bool Contains(const Container& container, const Value& value) {
  return std::find(container.begin(), container.end(), value) != container.end();
}

}  // namespace

std::string SentinelRendezvousKey(std::uint64_t fingerprint) { return "fingerprint/" + std::to_string(fingerprint); }

CanaryDecision DecideCanaryRequest(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                                   std::uint64_t fingerprint, const CanaryId& id, std::uint32_t copies) {
  ExpireCanaries(state, options, now);
  FingerprintRecord* record = FindRecord(state, fingerprint);
  const auto strikes = static_cast<std::uint32_t>(record == nullptr ? 0 : CountStrikes(*record));
  if (strikes >= options.max_strikes) {
    return {.verdict = proto::CANARY_QUARANTINED, .strikes = strikes};
  }
  if (IsProven(state, fingerprint)) {
    return {.verdict = proto::CANARY_PROVEN, .strikes = strikes};
  }
  if (record != nullptr && IsRunning(*record, id)) {
    return {.verdict = proto::CANARY_GRANTED, .strikes = strikes};
  }
  if (record != nullptr &&
      (record->running_canary.has_value() || Contains(record->ended_canaries, id) || IsUnreported(*record, id))) {
    return {.verdict = proto::CANARY_WAIT, .strikes = strikes};
  }
  record = FindOrCreateRecord(state, options, fingerprint);
  if (record == nullptr) {
    return {.verdict = proto::CANARY_WAIT, .strikes = strikes};
  }
  StartCanary(state, options, now, fingerprint, *record,
              {.id = id, .copies = strikes == 0 ? std::min(copies, kMaxCanaryCopies) : 1});
  return {.verdict = proto::CANARY_GRANTED, .strikes = strikes};
}

void RecordRunningCanary(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                         std::uint64_t fingerprint, const CanaryId& id, std::uint32_t copies) {
  ExpireCanaries(state, options, now);
  FingerprintRecord* record = FindOrCreateRecord(state, options, fingerprint);
  if (record == nullptr || IsRunning(*record, id) || IsUnreported(*record, id) ||
      Contains(record->ended_canaries, id)) {
    return;
  }
  const CrashGuardState::Canary canary{.id = id, .copies = std::clamp(copies, 1U, kMaxCanaryCopies)};
  if (!record->running_canary) {
    StartCanary(state, options, now, fingerprint, *record, canary);
  } else if (CountStrikes(*record) < options.max_strikes) {
    record->unreported_canaries.push_back(canary);
  }
}

void RecordCanaryResult(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                        std::uint64_t fingerprint, const CanaryId& id, bool succeeded,
                        const std::vector<std::string>& struck) {
  ExpireCanaries(state, options, now);
  RecordKnownStrikes(state, options, now, fingerprint, struck);
  FingerprintRecord* record = FindRecord(state, fingerprint);
  if (record == nullptr || !EndCanary(*record, id)) {
    return;
  }
  SetExpiry(state, fingerprint, *record,
            record->running_canary ? record->running_canary_expiry : ExpiryWithoutCanary(*record, options, now));
  if (succeeded) {
    MarkProven(state, options, fingerprint);
  }
}

void RecordStrike(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now, std::uint64_t fingerprint,
                  const std::string& upstream) {
  ExpireCanaries(state, options, now);
  ClearProof(state, fingerprint);
  FingerprintRecord* record = FindOrCreateRecord(state, options, fingerprint);
  if (record == nullptr || Contains(record->struck_upstreams, upstream) ||
      record->struck_upstreams.size() >= options.max_strikes) {
    return;
  }
  record->struck_upstreams.push_back(upstream);
  SetExpiry(state, fingerprint, *record,
            record->running_canary ? record->running_canary_expiry : ExpiryWithoutCanary(*record, options, now));
}

void RecordKnownStrikes(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                        std::uint64_t fingerprint, const std::vector<std::string>& upstreams) {
  for (const std::string& upstream : upstreams) {
    const FingerprintRecord* record = FindRecord(state, fingerprint);
    if (record == nullptr || !Contains(record->struck_upstreams, upstream)) {
      RecordStrike(state, options, now, fingerprint, upstream);
    }
  }
}

std::size_t StrikeCount(const CrashGuardState& state, std::uint64_t fingerprint) {
  const auto found = state.records.find(fingerprint);
  return found == state.records.end() ? 0 : CountStrikes(found->second);
}

void MarkProven(CrashGuardState& state, const CrashGuardOptions& options, std::uint64_t fingerprint) {
  ClearProof(state, fingerprint);
  state.proven_order.push_front(fingerprint);
  state.proven[fingerprint] = state.proven_order.begin();
  if (state.proven.size() > options.max_proven_fingerprints) {
    state.proven.erase(state.proven_order.back());
    state.proven_order.pop_back();
  }
}

bool IsProven(CrashGuardState& state, std::uint64_t fingerprint) {
  const auto found = state.proven.find(fingerprint);
  if (found == state.proven.end()) {
    return false;
  }
  state.proven_order.splice(state.proven_order.begin(), state.proven_order, found->second);
  return true;
}

void ExpireCanaries(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now) {
  while (!state.expiries.empty() && state.expiries.begin()->first <= now) {
    const std::uint64_t fingerprint = state.expiries.begin()->second;
    FingerprintRecord& record = state.records.at(fingerprint);
    if (!record.running_canary) {
      DropRecord(state, fingerprint);
      continue;
    }
    record.unreported_canaries.push_back(*record.running_canary);
    record.running_canary.reset();
    SetExpiry(state, fingerprint, record, record.running_canary_expiry + options.quarantine_duration);
  }
}

}  // namespace pimentomoor
