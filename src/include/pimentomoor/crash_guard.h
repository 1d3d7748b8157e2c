// Limits how many upstreams one request can crash.
//
// For each fingerprint one member of the cell, the sentinel, grants canaries one at a time and counts strikes. Every
// granted canary stays charged with the copies that its entry may send, until the entry reports that all copies have
// ended and which upstreams they struck; without a report it expires into as many presumed strikes. Since running and
// charged copies together never exceed max_strikes, a fingerprint that never succeeds crashes at most max_strikes
// upstreams, whatever reports are lost. A strike alone does not end a canary, because another copy may still run.
//
// The entry also tells the standby, the next member in rank, of each running canary and its end. When the sentinel
// does not answer, entries ask the standby, which therefore continues from the same charges. Requests name the
// strikes that the entry knows, and every member records broadcast strikes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peer.pb.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/metrics.h"

namespace pimentomoor {

enum class CrashGuardMode {
  kOff,          // every request runs at once
  kAfterStrike,  // a fingerprint needs canaries only while it has strikes
  kStrict        // a fingerprint that has not succeeded needs a canary
};

struct CrashGuardOptions {
  proto::Daemon self;
  CrashGuardMode mode = CrashGuardMode::kStrict;
  std::size_t max_strikes = 3;                                 // different upstreams
  Duration quarantine = std::chrono::minutes(10);              // strikes are forgotten after the last one
  Duration canary_timeout = std::chrono::seconds(2);           // the longest sub-query deadline
  Duration sentinel_timeout = std::chrono::milliseconds(100);  // then the entry asks the standby
  std::size_t max_fingerprints = 20'000;                       // with a canary or strikes; further ones wait
  std::size_t max_proven = 100'000;                            // least recently used ones are dropped
  std::size_t max_pending = 10'000;                            // requests to sentinels; further ones wait
};

/// One canary: the entry's incarnation and its request id.
using CanaryId = std::pair<std::uint64_t, std::uint64_t>;

// Copies of a canary that its entry may send while there is no strike; one copy afterwards.
constexpr std::uint32_t kCanaryCopies = 2;

struct CrashGuardState {
  struct Charge {
    CanaryId id;
    std::uint32_t copies = 0;  // upstreams that the canary may crash
  };
  struct Record {
    std::vector<std::string> upstreams;  // struck, all different, at most max_strikes
    std::vector<Charge> presumed;        // expired without a report, or running beside `canary`
    std::optional<Charge> canary;        // running; no other is granted meanwhile
    TimePoint canary_expiry;
    std::deque<CanaryId> ended;  // canaries that were reported; a repeated request must not grant them again
    TimePoint until;             // the record is dropped then, unless a canary is running
  };

  std::unordered_map<std::uint64_t, Record> records;
  std::set<std::pair<TimePoint, std::uint64_t>> expiries;  // holds exactly (until, fingerprint) of all records
  std::list<std::uint64_t> proven_order;                   // most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> proven;
};

struct CanaryDecision {
  proto::CanaryVerdict verdict = proto::CANARY_WAIT;
  std::uint32_t strikes = 0;  // including presumed ones
};

/// Key by which members are ranked as sentinels of a fingerprint: the first one is the sentinel, the next the
/// standby.
std::string SentinelRendezvousKey(std::uint64_t fingerprint);

/// Sentinel: decides on a request of an entry that sends at most `copies`. Repeated requests with one id get the same
/// canary.
[[nodiscard]] CanaryDecision RequestCanary(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                                           std::uint64_t fingerprint, const CanaryId& id,
                                           std::uint32_t copies = kCanaryCopies);

/// Standby: another sentinel granted this canary.
void RecordRunningCanary(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                         std::uint64_t fingerprint, const CanaryId& id, std::uint32_t copies);

/// Sentinel and standby: all copies of a canary ended, and those at the `struck` upstreams lost their connection.
/// `succeeded` proves the fingerprint.
void RecordCanaryResult(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                        std::uint64_t fingerprint, const CanaryId& id, bool succeeded,
                        const std::vector<std::string>& struck = {});

/// Any member: `upstream` was lost after the fingerprint was sent to it. Does not end a canary.
void RecordStrike(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now, std::uint64_t fingerprint,
                  const std::string& upstream);

/// Counts strikes that another member knows. Those counted before do not end the proof of a later success.
void RecordKnownStrikes(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                        std::uint64_t fingerprint, const std::vector<std::string>& upstreams);

/// Number of strikes, including presumed ones.
[[nodiscard]] std::size_t StrikeCount(const CrashGuardState& state, std::uint64_t fingerprint);

void MarkProven(CrashGuardState& state, const CrashGuardOptions& options, std::uint64_t fingerprint);
/// Whether the fingerprint has succeeded since its last strike; refreshes its place in the cache.
[[nodiscard]] bool IsProven(CrashGuardState& state, std::uint64_t fingerprint);

/// Expires canaries and drops old records. The other functions call it for their own fingerprint's needs.
void ExpireCanaries(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now);

class CrashGuardTask {
 public:
  using Send = std::function<bool(const std::string& peer_address, const proto::Envelope&)>;
  using Sentinel = std::function<std::optional<proto::Daemon>(std::uint64_t fingerprint)>;
  using Peers = std::function<std::vector<proto::Daemon>()>;
  using Done = std::function<void(proto::CanaryVerdict verdict, std::uint32_t strikes)>;

  /// `loop` and `metrics` must outlive the task.
  CrashGuardTask(EventLoop& loop, CrashGuardOptions options, Send send, Sentinel sentinel, Peers peers,
                 Metrics& metrics);
  ~CrashGuardTask();
  CrashGuardTask(const CrashGuardTask&) = delete;
  CrashGuardTask& operator=(const CrashGuardTask&) = delete;

  /// Asks whether a request may run. `done` is called once, maybe before Admit() returns. CANARY_GRANTED: run one
  /// sub-query, twice when `strikes` is 0, and call ReportResult. CANARY_WAIT: ask again later.
  void Admit(std::uint64_t fingerprint, Done done);

  /// All copies of the canary ended: one answered (`succeeded`), and those at `struck` lost their connection.
  void ReportResult(std::uint64_t fingerprint, bool succeeded, const std::vector<std::string>& struck = {});

  /// A connection to `upstream` was lost after the request was sent, by a canary or any other sub-query.
  void ReportStrike(std::uint64_t fingerprint, const std::string& upstream);

  /// Takes canary_request, canary_reply, canary_result and strike; ignores the rest.
  void HandleMessage(const proto::Envelope& envelope);

 private:
  struct Pending {
    std::uint64_t fingerprint = 0;
    proto::Daemon sentinel;
    TimePoint deadline;
    bool standby = false;  // the sentinel did not answer, the standby is asked
    Done done;
    TimerId timer = 0;
  };

  void Take(const proto::Daemon& sender, const proto::Envelope& envelope);
  void Ask(std::uint64_t id);
  // The next member in rank after `sentinel`, or none.
  [[nodiscard]] std::optional<proto::Daemon> Standby(std::uint64_t fingerprint, const proto::Daemon& sentinel) const;
  [[nodiscard]] proto::Envelope BuildRequest(std::uint64_t fingerprint, std::uint64_t id, std::uint32_t copies) const;
  void TellOtherSentinels(std::uint64_t fingerprint, const proto::Envelope& envelope, std::uint64_t informed);
  void Finish(std::uint64_t from, std::uint64_t id, CanaryDecision decision);
  void DecideLocally(std::uint64_t fingerprint, std::uint64_t id, bool standby, const Done& done);
  // `granter` is the incarnation of the member that decided.
  void Tell(std::uint64_t fingerprint, std::uint64_t id, std::uint64_t granter, CanaryDecision decision,
            const Done& done);
  void HoldCanary(std::uint64_t fingerprint, std::uint64_t id);
  void SendTo(const proto::Daemon& peer, proto::Envelope envelope);

  EventLoop& loop_;
  CrashGuardOptions options_;
  Send send_;
  Sentinel sentinel_;
  Peers peers_;
  Metrics& metrics_;
  CrashGuardState state_;
  std::uint64_t next_request_ = 1;
  std::map<std::uint64_t, Pending> pending_;  // by request id
  struct Held {
    std::uint64_t request_id = 0;
    TimePoint expiry;
  };
  std::unordered_map<std::uint64_t, Held> held_;                   // granted to this entry, by fingerprint
  std::deque<std::pair<TimePoint, std::uint64_t>> held_expiries_;  // ordered by time; outdated entries are skipped
};

}  // namespace pimentomoor
