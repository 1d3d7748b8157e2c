// Implementation of the counts of upstream crashes by request.
#include "pimentomoor/crash_reports.h"

#include <algorithm>

namespace pimentomoor {

void CrashReports::Expire(TimePoint now) {
  const auto expired = [&](const auto& entry) { return now - entry.second.last_counted >= settings_.retention; };
  std::erase_if(by_reporter_, expired);
  std::erase_if(totals_, expired);
}

bool CrashReports::IsWithinMergeInterval(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = totals_.find(fingerprint);
  return found != totals_.end() && now - found->second.last_counted < settings_.merge_interval;
}

void CrashReports::AddToTotal(std::uint64_t fingerprint, std::uint32_t crashes, TimePoint now) {
  const bool within_interval = IsWithinMergeInterval(fingerprint, now);
  CrashCount& total = totals_[fingerprint];
  if (within_interval) {
    total.crashes = std::max(total.crashes, crashes);
  } else {
    total.crashes += crashes;
    total.last_counted = now;
  }
}

void CrashReports::RecordCrash(std::uint64_t fingerprint, TimePoint now) {
  Expire(now);
  if (IsWithinMergeInterval(fingerprint, now) ||
      (by_reporter_.size() >= settings_.max_entries && !by_reporter_.contains({fingerprint, reporter_}))) {
    return;
  }
  CrashCount& reported = by_reporter_[{fingerprint, reporter_}];
  ++reported.crashes;
  reported.last_counted = now;
  AddToTotal(fingerprint, 1, now);
}

void CrashReports::Merge(const CrashReportEntry& entry, TimePoint now) {
  Expire(now);
  if (entry.reporter == reporter_ || entry.crashes == 0 ||
      (by_reporter_.size() >= settings_.max_entries && !by_reporter_.contains({entry.fingerprint, entry.reporter}))) {
    return;
  }
  CrashCount& reported = by_reporter_[{entry.fingerprint, entry.reporter}];
  if (entry.crashes > reported.crashes) {
    AddToTotal(entry.fingerprint, entry.crashes - reported.crashes, now);
    reported.crashes = entry.crashes;
    reported.last_counted = now;
  }
}

bool CrashReports::IsRefused(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = totals_.find(fingerprint);
  return found != totals_.end() && now - found->second.last_counted < settings_.retention &&
         found->second.crashes >= settings_.refusal_threshold;
}

std::vector<CrashReportEntry> CrashReports::Entries(TimePoint now) const {
  std::vector<CrashReportEntry> entries;
  for (const auto& [key, reported] : by_reporter_) {
    if (now - reported.last_counted < settings_.retention) {
      entries.push_back({.fingerprint = key.first, .reporter = key.second, .crashes = reported.crashes});
    }
  }
  return entries;
}

std::uint64_t FingerprintRequest(std::string_view method, std::string_view host, std::string_view target,
                                 std::string_view body) {
  // FNV-1a, because daemons exchange fingerprints and the value must be the same in all builds.
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffset;
  for (const std::string_view text : {method, host, target, body}) {
    for (const char c : text) {
      hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
    }
    hash = (hash ^ 0xff) * kPrime;  // separator that is no byte of method, host or target
  }
  return hash;
}

}  // namespace pimentomoor
