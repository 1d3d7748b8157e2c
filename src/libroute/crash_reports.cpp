// Implementation of the reports of requests that crash searchers.
#include "pimentomoor/crash_reports.h"

#include <algorithm>
#include <functional>

namespace pimentomoor {

void CrashReports::Add(std::uint64_t fingerprint, std::string_view attempt, TimePoint now) {
  std::erase_if(seen_, [&](const auto& entry) { return now - entry.second.at >= settings_.kept_for; });
  if (seen_.size() >= settings_.max_entries && !seen_.contains({fingerprint, reporter_})) {
    return;
  }
  Seen& seen = seen_[{fingerprint, reporter_}];
  const std::uint64_t attempt_hash = std::hash<std::string_view>()(attempt);
  if (seen.last_attempt != attempt_hash) {
    seen.last_attempt = attempt_hash;
    seen.of_last_attempt = 0;
  }
  if (seen.of_last_attempt < settings_.max_per_attempt) {
    ++seen.of_last_attempt;
    ++seen.crashes;
    seen.at = now;
  }
}

void CrashReports::Merge(const CrashReportEntry& entry, TimePoint now) {
  if (entry.reporter == reporter_ || entry.crashes == 0 ||
      (seen_.size() >= settings_.max_entries && !seen_.contains({entry.fingerprint, entry.reporter}))) {
    return;
  }
  Seen& seen = seen_[{entry.fingerprint, entry.reporter}];
  if (entry.crashes > seen.crashes) {
    seen.crashes = entry.crashes;
    seen.at = now;
  }
}

bool CrashReports::IsRefused(std::uint64_t fingerprint, TimePoint now) const {
  std::uint32_t crashes = 0;
  for (auto entry = seen_.lower_bound({fingerprint, 0}); entry != seen_.end() && entry->first.first == fingerprint;
       ++entry) {
    crashes += now - entry->second.at < settings_.kept_for ? entry->second.crashes : 0;
  }
  return crashes >= settings_.refused_after;
}

std::vector<CrashReportEntry> CrashReports::Entries(TimePoint now) const {
  std::vector<CrashReportEntry> entries;
  for (const auto& [key, seen] : seen_) {
    if (now - seen.at < settings_.kept_for) {
      entries.push_back({.fingerprint = key.first, .reporter = key.second, .crashes = seen.crashes});
    }
  }
  return entries;
}

std::uint64_t FingerprintRequest(std::string_view method, std::string_view host, std::string_view target,
                                 std::string_view body) {
  // FNV-1a: daemons exchange fingerprints, so the value must not differ between builds.
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffset;
  for (const std::string_view text : {method, host, target, body}) {
    for (const char c : text) {
      hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
    }
    hash = (hash ^ 0xff) * kPrime;  // no byte of a field that precedes another
  }
  return hash;
}

}  // namespace pimentomoor
