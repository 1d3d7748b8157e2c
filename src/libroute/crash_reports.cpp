// Implementation of the evidence against requests that crash upstreams.
#include "pimentomoor/crash_reports.h"

#include <algorithm>
#include <tuple>

namespace pimentomoor {

bool CrashReports::Evidence::refused() const {
  return std::any_of(by_reporter.begin(), by_reporter.end(),
                     [](const auto& reported) { return reported.second.refusal > reported.second.withdrawn; });
}

std::size_t CrashReports::Evidence::crashes_left() const {
  std::size_t crashes = 0;
  for (const auto& [reporter, counters] : by_reporter) {
    crashes += counters.crashes_left();
  }
  return crashes;
}

std::size_t CrashReports::Evidence::CountIncidents() const {
  // Incidents of different reporters may be the same, so their numbers are not added up.
  std::size_t count = incidents.size();
  for (const auto& [reporter, counters] : by_reporter) {
    count = std::max<std::size_t>(count, counters.crashes_left());
  }
  return count;
}

bool CrashReports::Evidence::withdrawn() const {
  return std::all_of(by_reporter.begin(), by_reporter.end(), [](const auto& reported) {
    return std::max(reported.second.crashes, reported.second.refusal) <= reported.second.withdrawn;
  });
}

Duration CrashReports::Retention(const Evidence& evidence) const {
  return evidence.refused()     ? settings_.refusal_retention
         : evidence.withdrawn() ? settings_.withdrawn_retention
                                : settings_.evidence_retention;
}

void CrashReports::Expire(TimePoint now) {
  std::erase_if(by_fingerprint_,
                [&](const auto& entry) { return now - entry.second.last_seen >= Retention(entry.second); });
}

void CrashReports::MakeRoom(std::uint64_t fingerprint) {
  const auto entry_count = [this] {
    std::size_t count = 0;
    for (const auto& [key, evidence] : by_fingerprint_) {
      count += evidence.by_reporter.size();
    }
    return count;
  };
  while (by_fingerprint_.size() > 1 && entry_count() > settings_.max_entries) {
    const auto least = std::min_element(by_fingerprint_.begin(), by_fingerprint_.end(),
                                        [fingerprint](const auto& left, const auto& right) {
                                          const auto rank = [fingerprint](const auto& entry) {
                                            const Evidence& evidence = entry.second;
                                            return std::tuple(entry.first == fingerprint, evidence.refused(),
                                                              !evidence.withdrawn(), evidence.last_seen);
                                          };
                                          return rank(left) < rank(right);
                                        });
    by_fingerprint_.erase(least);
  }
}

bool CrashReports::AddIncident(Evidence& evidence, TimePoint at) const {
  const bool known = std::any_of(evidence.incidents.begin(), evidence.incidents.end(), [&](TimePoint incident) {
    return std::chrono::abs(at - incident) < settings_.merge_interval;
  });
  if (known || evidence.incidents.size() >= settings_.refusal_threshold) {
    return !known;
  }
  evidence.incidents.insert(std::upper_bound(evidence.incidents.begin(), evidence.incidents.end(), at), at);
  return true;
}

void CrashReports::RefuseAtThreshold(Evidence& evidence) {
  if (evidence.CountIncidents() >= settings_.refusal_threshold && !evidence.refused()) {
    Counters& own = evidence.by_reporter[reporter_];
    own.refusal = std::max(own.crashes, own.withdrawn + 1);
  }
}

void CrashReports::RecordCrash(std::uint64_t fingerprint, TimePoint crashed_at) {
  Expire(crashed_at);
  Evidence& evidence = by_fingerprint_[fingerprint];
  evidence.last_seen = std::max(evidence.last_seen, crashed_at);
  if (AddIncident(evidence, crashed_at)) {
    Counters& own = evidence.by_reporter[reporter_];
    ++own.crashes;
    own.last_incident = crashed_at;
    RefuseAtThreshold(evidence);
  }
  MakeRoom(fingerprint);
}

bool CrashReports::RecordSuccess(std::uint64_t fingerprint, TimePoint now) {
  const auto found = by_fingerprint_.find(fingerprint);
  if (found == by_fingerprint_.end() || found->second.withdrawn()) {
    return false;
  }
  Evidence& evidence = found->second;
  for (auto& [reporter, counters] : evidence.by_reporter) {
    counters.withdrawn = std::max({counters.withdrawn, counters.crashes, counters.refusal});
  }
  evidence.incidents.clear();
  evidence.last_seen = now;
  return true;
}

bool CrashReports::RecordRefusal(std::uint64_t fingerprint, TimePoint now) {
  const auto found = by_fingerprint_.find(fingerprint);
  if (found == by_fingerprint_.end()) {
    return false;
  }
  Evidence& evidence = found->second;
  evidence.last_seen = now;
  if (now - evidence.last_sighting < settings_.sighting_interval) {
    return false;
  }
  evidence.last_sighting = now;
  ++evidence.by_reporter[reporter_].sightings;
  return true;
}

void CrashReports::Merge(const CrashReportEntry& entry, TimePoint now) {
  Expire(now);
  const bool known = by_fingerprint_.contains(entry.fingerprint);
  Evidence& evidence = by_fingerprint_[entry.fingerprint];
  Counters& known_counters = evidence.by_reporter[entry.reporter];
  const std::uint32_t new_crashes = entry.crashes - std::min(entry.crashes, known_counters.crashes);
  const bool news = new_crashes > 0 || entry.refusal > known_counters.refusal ||
                    entry.withdrawn > known_counters.withdrawn || entry.sightings > known_counters.sightings;
  known_counters = {
      .crashes = std::max(known_counters.crashes, entry.crashes),
      .refusal = std::max(known_counters.refusal, entry.refusal),
      .withdrawn = std::max(known_counters.withdrawn, entry.withdrawn),
      .sightings = std::max(known_counters.sightings, entry.sightings),
      .last_incident = new_crashes > 0 ? now - entry.incident_age : known_counters.last_incident,
  };
  if (news || !known) {
    evidence.last_seen = std::max(evidence.last_seen, now - entry.age);
  }
  if (const std::size_t left = evidence.crashes_left(); evidence.incidents.size() > left) {
    evidence.incidents.erase(evidence.incidents.begin(),
                             evidence.incidents.end() - static_cast<std::ptrdiff_t>(left));
  }
  if (new_crashes > 0 && entry.crashes > known_counters.withdrawn) {
    AddIncident(evidence, known_counters.last_incident);
    RefuseAtThreshold(evidence);
  }
  Expire(now);  // the report may be older than its retention
  MakeRoom(entry.fingerprint);
}

const CrashReports::Evidence* CrashReports::Find(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = by_fingerprint_.find(fingerprint);
  return found == by_fingerprint_.end() || now - found->second.last_seen >= Retention(found->second) ? nullptr
                                                                                                     : &found->second;
}

bool CrashReports::IsSuspected(std::uint64_t fingerprint, TimePoint now) const {
  const Evidence* evidence = Find(fingerprint, now);
  return evidence != nullptr && !evidence->withdrawn();
}

bool CrashReports::IsRefused(std::uint64_t fingerprint, TimePoint now) const {
  if (by_fingerprint_.empty()) {
    return false;
  }
  const Evidence* evidence = Find(fingerprint, now);
  return evidence != nullptr && evidence->refused();
}

std::size_t CrashReports::RefusedCount(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(by_fingerprint_.begin(), by_fingerprint_.end(), [&](const auto& entry) {
        return entry.second.refused() && now - entry.second.last_seen < settings_.refusal_retention;
      }));
}

std::vector<CrashReportEntry> CrashReports::Entries(TimePoint now) const {
  std::vector<CrashReportEntry> entries;
  for (const auto& [fingerprint, evidence] : by_fingerprint_) {
    const Duration age = now - evidence.last_seen;
    if (age >= Retention(evidence)) {
      continue;
    }
    for (const auto& [reporter, counters] : evidence.by_reporter) {
      entries.push_back({.fingerprint = fingerprint,
                         .reporter = reporter,
                         .crashes = counters.crashes,
                         .refusal = counters.refusal,
                         .withdrawn = counters.withdrawn,
                         .sightings = counters.sightings,
                         .age = age,
                         .incident_age = now - counters.last_incident});
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
