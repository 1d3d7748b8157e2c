// Implementation of the reports of requests that crash searchers.
#include "pimentomoor/crash_reports.h"

#include <algorithm>

namespace pimentomoor {

void CrashReports::Expire(TimePoint now) {
  const auto expired = [&](const auto& entry) { return now - entry.second.at >= settings_.retention; };
  std::erase_if(seen_, expired);
  std::erase_if(counted_, expired);
}

bool CrashReports::IsRecent(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = counted_.find(fingerprint);
  return found != counted_.end() && now - found->second.at < settings_.merge_interval;
}

void CrashReports::Count(std::uint64_t fingerprint, std::uint32_t crashes, TimePoint now) {
  const bool recent = IsRecent(fingerprint, now);
  Seen& counted = counted_[fingerprint];
  if (recent) {
    counted.crashes = std::max(counted.crashes, crashes);
  } else {
    counted.crashes += crashes;
    counted.at = now;
  }
}

void CrashReports::RecordCrash(std::uint64_t fingerprint, TimePoint now) {
  Expire(now);
  if (IsRecent(fingerprint, now) ||
      (seen_.size() >= settings_.max_entries && !seen_.contains({fingerprint, reporter_}))) {
    return;
  }
  Seen& seen = seen_[{fingerprint, reporter_}];
  ++seen.crashes;
  seen.at = now;
  Count(fingerprint, 1, now);
}

void CrashReports::Merge(const CrashReportEntry& entry, TimePoint now) {
  Expire(now);
  if (entry.reporter == reporter_ || entry.crashes == 0 ||
      (seen_.size() >= settings_.max_entries && !seen_.contains({entry.fingerprint, entry.reporter}))) {
    return;
  }
  Seen& seen = seen_[{entry.fingerprint, entry.reporter}];
  if (entry.crashes > seen.crashes) {
    Count(entry.fingerprint, entry.crashes - seen.crashes, now);
    seen.crashes = entry.crashes;
    seen.at = now;
  }
}

bool CrashReports::IsRefused(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = counted_.find(fingerprint);
  return found != counted_.end() && now - found->second.at < settings_.retention &&
         found->second.crashes >= settings_.refusal_threshold;
}

std::vector<CrashReportEntry> CrashReports::Entries(TimePoint now) const {
  std::vector<CrashReportEntry> entries;
  for (const auto& [key, seen] : seen_) {
    if (now - seen.at < settings_.retention) {
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
