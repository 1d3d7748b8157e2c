// Requests that crash the searchers which run them. Their callers send them again, through any daemon, so the daemons
// share what they saw; after a few crashes the request is refused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Crashes that one daemon saw while a request was running.
struct CrashReportEntry {
  std::uint64_t fingerprint = 0;
  std::uint64_t reporter = 0;  // incarnation of the daemon that saw them
  std::uint32_t crashes = 0;

  friend bool operator==(const CrashReportEntry&, const CrashReportEntry&) = default;
};

struct CrashReportSettings {
  std::uint32_t refusal_threshold = 3;  // crashes seen by all daemons together
  // Crashes within this time count as one: searchers that are killed together, or one that several attempts of the
  // same query were running on, say little about the query.
  Duration merge_interval = std::chrono::milliseconds(500);
  Duration retention = std::chrono::seconds(60);
  std::size_t max_entries = 64;

  friend bool operator==(const CrashReportSettings&, const CrashReportSettings&) = default;
};

class CrashReports {
 public:
  explicit CrashReports(std::uint64_t reporter, CrashReportSettings settings = {})
      : reporter_(reporter), settings_(settings) {}

  /// A searcher crashed while the request was running there.
  void RecordCrash(std::uint64_t fingerprint, TimePoint now);
  /// Takes another daemon's report; also one that was passed on.
  void Merge(const CrashReportEntry& entry, TimePoint now);

  [[nodiscard]] bool IsRefused(std::uint64_t fingerprint, TimePoint now) const;
  /// What this daemon knows, for its heartbeats.
  [[nodiscard]] std::vector<CrashReportEntry> Entries(TimePoint now) const;

 private:
  struct Seen {
    std::uint32_t crashes = 0;
    TimePoint at;  // of the last one
  };
  using Key = std::pair<std::uint64_t, std::uint64_t>;  // fingerprint, reporter

  [[nodiscard]] bool IsRecent(std::uint64_t fingerprint, TimePoint now) const;
  void Count(std::uint64_t fingerprint, std::uint32_t crashes, TimePoint now);
  void Expire(TimePoint now);

  std::uint64_t reporter_;
  CrashReportSettings settings_;
  std::map<Key, Seen> seen_;               // as each daemon counts; at most max_entries
  std::map<std::uint64_t, Seen> counted_;  // by fingerprint, over all daemons; none without an entry of seen_
};

/// Identifies a request that is sent again: the same method, host, target and body.
std::uint64_t FingerprintRequest(std::string_view method, std::string_view host, std::string_view target,
                                 std::string_view body);

}  // namespace pimentomoor
