// Counts the crashes of upstreams for each request that was running there. Callers send a failed request again,
// through any daemon, so the daemons share their counts; after a few crashes the request is refused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Number of upstream crashes that one daemon saw while a request was running.
struct CrashReportEntry {
  std::uint64_t fingerprint = 0;  // identifies the request, see FingerprintRequest()
  std::uint64_t reporter = 0;     // incarnation of the daemon that saw the crashes
  std::uint32_t crashes = 0;

  friend bool operator==(const CrashReportEntry&, const CrashReportEntry&) = default;
};

/// When a request is refused, and for how long crashes are remembered.
struct CrashReportSettings {
  std::uint32_t refusal_threshold = 3;  // crashes, over all daemons, from which on the request is refused
  // Crashes within this time count as one: upstreams that are killed together, or one upstream that ran several
  // attempts of the same query, say little about the query.
  Duration merge_interval = std::chrono::milliseconds(500);
  Duration retention = std::chrono::seconds(60);  // time after the last counted crash for which a count is kept
  std::size_t max_entries = 64;                   // pairs of request and reporter; further ones are ignored

  friend bool operator==(const CrashReportSettings&, const CrashReportSettings&) = default;
};

/// The crash counts that one daemon knows: its own and those that other daemons reported.
class CrashReports {
 public:
  explicit CrashReports(std::uint64_t reporter, CrashReportSettings settings = {})
      : reporter_(reporter), settings_(settings) {}

  /// Records that an upstream crashed while the request was running there.
  void RecordCrash(std::uint64_t fingerprint, TimePoint now);
  /// Merges a report of another daemon, whether it comes from that daemon or was relayed by a third one.
  void Merge(const CrashReportEntry& entry, TimePoint now);

  /// Whether the request has caused so many crashes that it must be refused.
  [[nodiscard]] bool IsRefused(std::uint64_t fingerprint, TimePoint now) const;
  /// The known counts of all daemons, which this daemon sends in its heartbeats.
  [[nodiscard]] std::vector<CrashReportEntry> Entries(TimePoint now) const;

 private:
  struct CrashCount {
    std::uint32_t crashes = 0;
    TimePoint last_counted;  // time at which the last crash was counted
  };
  using Key = std::pair<std::uint64_t, std::uint64_t>;  // fingerprint of the request, incarnation of the reporter

  [[nodiscard]] bool IsWithinMergeInterval(std::uint64_t fingerprint, TimePoint now) const;
  void AddToTotal(std::uint64_t fingerprint, std::uint32_t crashes, TimePoint now);
  void Expire(TimePoint now);

  std::uint64_t reporter_;
  CrashReportSettings settings_;
  std::map<Key, CrashCount> by_reporter_;  // count of each reporter; at most max_entries
  // Counts over all reporters, by fingerprint. Each key also has an entry in by_reporter_.
  std::map<std::uint64_t, CrashCount> totals_;
};

/// Hash of method, host, target and body, by which a request that is sent again is recognised.
std::uint64_t FingerprintRequest(std::string_view method, std::string_view host, std::string_view target,
                                 std::string_view body);

}  // namespace pimentomoor
