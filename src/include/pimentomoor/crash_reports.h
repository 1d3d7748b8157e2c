// Decides which requests are refused because they crash the upstreams that run them. Callers send a failed request
// again, through any daemon, so the daemons share what they saw.
//
// A crash is evidence against each request that was running at the upstream; a success of the same request at any
// daemon withdraws all evidence known there. A request with enough evidence and no success is refused. It stays
// refused while it still comes, and is forgotten when no daemon has seen it for some time.
//
// Crashes that are close together in time are one incident, whoever saw them and however many there were: upstreams
// that are killed together say little about a request that all of them ran. Only incidents are counted and reported.
//
// What the daemons share are counters of each reporter that only grow, so that reports can be merged in any order,
// any number of times, and through other daemons.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// What one daemon, the reporter, says of one request.
struct CrashReportEntry {
  std::uint64_t fingerprint = 0;  // identifies the request, see FingerprintRequest()
  std::uint64_t reporter = 0;     // incarnation of the daemon that saw the crashes
  std::uint32_t crashes = 0;      // incidents that the reporter saw while the request was running
  // The reporter found that the request must be refused, until its evidence up to this number is withdrawn; 0: never.
  std::uint32_t refusal = 0;
  std::uint32_t withdrawn = 0;  // evidence of the reporter up to this number is withdrawn
  std::uint32_t sightings = 0;  // times at which the reporter said that the refused request still comes
  Duration age{};               // time since any daemon saw the request
  Duration incident_age{};      // time since the last of `crashes`

  friend bool operator==(const CrashReportEntry&, const CrashReportEntry&) = default;
};

/// When a request is refused, and for how long evidence is kept.
struct CrashReportSettings {
  std::uint32_t refusal_threshold = 3;  // incidents, over all daemons, from which on the request is refused
  // Crashes within this time of the first one are the same incident.
  Duration merge_interval = std::chrono::milliseconds(500);
  // Times since the request was last seen for which evidence is kept. A refused request that comes again within an
  // hour is refused at once. Withdrawn evidence only has to outlive the reports of it that are under way.
  Duration evidence_retention = std::chrono::minutes(10);
  Duration refusal_retention = std::chrono::hours(1);
  Duration withdrawn_retention = std::chrono::seconds(15);
  // A daemon tells the others at most this often that a refused request still comes.
  Duration sighting_interval = std::chrono::minutes(2);
  // Pairs of request and reporter. Beyond it the evidence that matters least is dropped: withdrawn, then not refused,
  // then oldest.
  std::size_t max_entries = 128;

  friend bool operator==(const CrashReportSettings&, const CrashReportSettings&) = default;
};

/// The evidence that one daemon knows: its own and that of other daemons.
class CrashReports {
 public:
  explicit CrashReports(std::uint64_t reporter, CrashReportSettings settings = {})
      : reporter_(reporter), settings_(settings) {}

  /// Records that an upstream crashed at that time while the request was running there.
  void RecordCrash(std::uint64_t fingerprint, TimePoint crashed_at);
  /// Records that the request ran to its end. Returns whether that withdraws evidence, which others have to know.
  bool RecordSuccess(std::uint64_t fingerprint, TimePoint now);
  /// Records that a refused request came again. Returns whether others have to know.
  bool RecordRefusal(std::uint64_t fingerprint, TimePoint now);
  /// Merges a report of another daemon, whether it comes from that daemon or was relayed by a third one.
  void Merge(const CrashReportEntry& entry, TimePoint now);

  /// Whether there is evidence against the request that no success has withdrawn.
  [[nodiscard]] bool IsSuspected(std::uint64_t fingerprint, TimePoint now) const;
  /// Whether the request must be refused.
  [[nodiscard]] bool IsRefused(std::uint64_t fingerprint, TimePoint now) const;
  [[nodiscard]] std::size_t RefusedCount(TimePoint now) const;
  /// The reports of all daemons that this daemon knows, which it sends in its heartbeats.
  [[nodiscard]] std::vector<CrashReportEntry> Entries(TimePoint now) const;

 private:
  struct Counters {
    std::uint32_t crashes = 0;
    std::uint32_t refusal = 0;
    std::uint32_t withdrawn = 0;
    std::uint32_t sightings = 0;
    TimePoint last_incident{};  // time of the last of `crashes`

    [[nodiscard]] std::uint32_t crashes_left() const { return crashes - std::min(crashes, withdrawn); }
  };
  struct Evidence {
    std::map<std::uint64_t, Counters> by_reporter;
    // Known times of incidents since the last success, ordered and at least merge_interval apart; at most
    // refusal_threshold.
    std::vector<TimePoint> incidents;
    TimePoint last_seen{};
    TimePoint last_sighting{};  // last time at which this daemon reported a sighting

    [[nodiscard]] std::size_t crashes_left() const;    // sum over the reporters of what is not withdrawn
    [[nodiscard]] std::size_t CountIncidents() const;  // since the last success
    [[nodiscard]] bool refused() const;
    [[nodiscard]] bool withdrawn() const;
  };

  [[nodiscard]] Duration Retention(const Evidence& evidence) const;
  [[nodiscard]] const Evidence* Find(std::uint64_t fingerprint, TimePoint now) const;
  /// Adds an incident. Returns false when it is a known one.
  bool AddIncident(Evidence& evidence, TimePoint at) const;
  /// Reports the refusal when the threshold is reached.
  void RefuseAtThreshold(Evidence& evidence);
  void Expire(TimePoint now);
  /// Drops evidence while there are more entries than max_entries, but not that on `fingerprint`.
  void MakeRoom(std::uint64_t fingerprint);

  std::uint64_t reporter_;
  CrashReportSettings settings_;
  std::map<std::uint64_t, Evidence> by_fingerprint_;
};

/// Hash of method, host, target and body, by which a request that is sent again is recognised.
std::uint64_t FingerprintRequest(std::string_view method, std::string_view host, std::string_view target,
                                 std::string_view body);

}  // namespace pimentomoor
