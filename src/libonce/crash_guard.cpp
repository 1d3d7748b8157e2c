// The sentinel's decisions on canaries and strikes.
#include "pimentomoor/crash_guard.h"

#include <algorithm>

namespace pimentomoor {
namespace {

using Record = CrashGuardState::Record;

constexpr std::size_t kMaxEnded = 8;  // repeated requests arrive within one sentinel timeout, so few suffice

std::size_t Strikes(const Record& record) {
  std::size_t strikes = record.upstreams.size();
  for (const CrashGuardState::Charge& charge : record.presumed) {
    strikes += charge.copies;
  }
  return strikes;
}

bool IsRunning(const Record& record, const CanaryId& id) { return record.canary && record.canary->id == id; }

bool IsPresumed(const Record& record, const CanaryId& id) {
  return std::any_of(record.presumed.begin(), record.presumed.end(),
                     [&](const auto& charge) { return charge.id == id; });
}

Record* Find(CrashGuardState& state, std::uint64_t fingerprint) {
  const auto found = state.records.find(fingerprint);
  return found == state.records.end() ? nullptr : &found->second;
}

void SetUntil(CrashGuardState& state, std::uint64_t fingerprint, Record& record, TimePoint until) {
  state.expiries.erase({record.until, fingerprint});
  record.until = until;
  state.expiries.insert({until, fingerprint});
}

void Drop(CrashGuardState& state, std::uint64_t fingerprint) {
  if (const Record* record = Find(state, fingerprint)) {
    state.expiries.erase({record->until, fingerprint});
    state.records.erase(fingerprint);
  }
}

Record* FindOrCreate(CrashGuardState& state, const CrashGuardOptions& options, std::uint64_t fingerprint) {
  if (Record* record = Find(state, fingerprint)) {
    return record;
  }
  return state.records.size() >= options.max_fingerprints ? nullptr : &state.records[fingerprint];
}

// The times until which a record without a running canary is of use.
TimePoint KeepUntil(const Record& record, const CrashGuardOptions& options, TimePoint now) {
  return now + (Strikes(record) > 0 ? options.quarantine : options.canary_timeout);
}

void RememberEnded(Record& record, const CanaryId& id) {
  record.ended.push_back(id);
  if (record.ended.size() > kMaxEnded) {
    record.ended.pop_front();
  }
}

void StartCanary(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now, std::uint64_t fingerprint,
                 Record& record, const CrashGuardState::Charge& charge) {
  record.canary = charge;
  record.canary_expiry = now + options.canary_timeout;
  SetUntil(state, fingerprint, record, record.canary_expiry);
}

// Frees the charge of a canary; false when there is none.
bool EndCanary(Record& record, const CanaryId& id) {
  if (IsRunning(record, id)) {
    record.canary.reset();
  } else if (std::erase_if(record.presumed, [&](const auto& charge) { return charge.id == id; }) == 0) {
    return false;
  }
  RememberEnded(record, id);
  return true;
}

void Unprove(CrashGuardState& state, std::uint64_t fingerprint) {
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

CanaryDecision RequestCanary(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                             std::uint64_t fingerprint, const CanaryId& id, std::uint32_t copies) {
  ExpireCanaries(state, options, now);
  Record* record = Find(state, fingerprint);
  const auto strikes = static_cast<std::uint32_t>(record == nullptr ? 0 : Strikes(*record));
  if (strikes >= options.max_strikes) {
    return {.verdict = proto::CANARY_QUARANTINED, .strikes = strikes};
  }
  if (IsProven(state, fingerprint)) {
    return {.verdict = proto::CANARY_PROVEN, .strikes = strikes};
  }
  if (record != nullptr && IsRunning(*record, id)) {
    return {.verdict = proto::CANARY_GRANTED, .strikes = strikes};
  }
  if (record != nullptr && (record->canary.has_value() || Contains(record->ended, id) || IsPresumed(*record, id))) {
    return {.verdict = proto::CANARY_WAIT, .strikes = strikes};
  }
  record = FindOrCreate(state, options, fingerprint);
  if (record == nullptr) {
    return {.verdict = proto::CANARY_WAIT, .strikes = strikes};
  }
  StartCanary(state, options, now, fingerprint, *record,
              {.id = id, .copies = strikes == 0 ? std::min(copies, kCanaryCopies) : 1});
  return {.verdict = proto::CANARY_GRANTED, .strikes = strikes};
}

void RecordRunningCanary(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                         std::uint64_t fingerprint, const CanaryId& id, std::uint32_t copies) {
  ExpireCanaries(state, options, now);
  Record* record = FindOrCreate(state, options, fingerprint);
  if (record == nullptr || IsRunning(*record, id) || IsPresumed(*record, id) || Contains(record->ended, id)) {
    return;
  }
  const CrashGuardState::Charge charge{.id = id, .copies = std::clamp(copies, 1U, kCanaryCopies)};
  if (!record->canary) {
    StartCanary(state, options, now, fingerprint, *record, charge);
  } else if (Strikes(*record) < options.max_strikes) {
    record->presumed.push_back(charge);
  }
}

void RecordCanaryResult(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                        std::uint64_t fingerprint, const CanaryId& id, bool succeeded,
                        const std::vector<std::string>& struck) {
  ExpireCanaries(state, options, now);
  RecordKnownStrikes(state, options, now, fingerprint, struck);
  Record* record = Find(state, fingerprint);
  if (record == nullptr || !EndCanary(*record, id)) {
    return;
  }
  SetUntil(state, fingerprint, *record, record->canary ? record->canary_expiry : KeepUntil(*record, options, now));
  if (succeeded) {
    MarkProven(state, options, fingerprint);
  }
}

void RecordStrike(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now, std::uint64_t fingerprint,
                  const std::string& upstream) {
  ExpireCanaries(state, options, now);
  Unprove(state, fingerprint);
  Record* record = FindOrCreate(state, options, fingerprint);
  if (record == nullptr || Contains(record->upstreams, upstream) || record->upstreams.size() >= options.max_strikes) {
    return;
  }
  record->upstreams.push_back(upstream);
  SetUntil(state, fingerprint, *record, record->canary ? record->canary_expiry : KeepUntil(*record, options, now));
}

void RecordKnownStrikes(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                        std::uint64_t fingerprint, const std::vector<std::string>& upstreams) {
  for (const std::string& upstream : upstreams) {
    const Record* record = Find(state, fingerprint);
    if (record == nullptr || !Contains(record->upstreams, upstream)) {
      RecordStrike(state, options, now, fingerprint, upstream);
    }
  }
}

std::size_t StrikeCount(const CrashGuardState& state, std::uint64_t fingerprint) {
  const auto found = state.records.find(fingerprint);
  return found == state.records.end() ? 0 : Strikes(found->second);
}

void MarkProven(CrashGuardState& state, const CrashGuardOptions& options, std::uint64_t fingerprint) {
  Unprove(state, fingerprint);
  state.proven_order.push_front(fingerprint);
  state.proven[fingerprint] = state.proven_order.begin();
  if (state.proven.size() > options.max_proven) {
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
    Record& record = state.records.at(fingerprint);
    if (!record.canary) {
      Drop(state, fingerprint);
      continue;
    }
    record.presumed.push_back(*record.canary);
    record.canary.reset();
    SetUntil(state, fingerprint, record, record.canary_expiry + options.quarantine);
  }
}

}  // namespace pimentomoor
