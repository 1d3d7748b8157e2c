// Limits how many upstreams one request can crash.
//
// Requests with equal customer, service and text share a fingerprint. A strike is an upstream whose connection was
// lost after a request with the fingerprint had been sent to it. A fingerprint that has not succeeded yet may run
// only as a canary: one sub-query, sent in at most kMaxCanaryCopies copies by its entry, the daemon that received the
// request.
//
// For each fingerprint one member of the cell, the sentinel, grants canaries one at a time and counts strikes. Each
// copy that a granted canary may send counts against max_strikes until the entry reports that all copies have ended
// and which upstreams they struck. A canary that expires without a report leaves one presumed strike per copy. Since
// copies that may be running and strikes together never exceed max_strikes, a fingerprint that never succeeds crashes
// at most max_strikes upstreams, whatever reports are lost. A strike alone does not end a canary, because another
// copy may still be running.
//
// The entry also tells the standby, the member that ranks next after the sentinel, when a canary starts and ends.
// When the sentinel does not answer, entries ask the standby, which therefore knows of the same canaries. Requests to
// either name the strikes that the entry knows of, and every member records the strikes that other members broadcast.
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
  kOff,          // every request runs at once, and this daemon reports no strikes
  kAfterStrike,  // a fingerprint needs a canary only while it has strikes and has not succeeded since the last one
  kStrict        // a fingerprint that has not succeeded needs a canary
};

struct CrashGuardOptions {
  proto::Daemon self;
  CrashGuardMode mode = CrashGuardMode::kStrict;
  std::size_t max_strikes = 3;                                 // strikes of one fingerprint that end its requests
  Duration quarantine_duration = std::chrono::minutes(10);     // after the last strike, when all are forgotten
  Duration canary_timeout = std::chrono::seconds(2);           // the longest deadline of a sub-query
  Duration sentinel_timeout = std::chrono::milliseconds(100);  // without a reply the entry then asks the standby
  std::size_t max_fingerprints = 20'000;                       // with a canary or strikes; requests of others wait
  std::size_t max_proven_fingerprints = 100'000;               // further ones replace the least recently used
  std::size_t max_pending_requests = 10'000;                   // unanswered ones to sentinels; further ones wait
};

/// Identifies a canary by the incarnation of its entry and the entry's request id.
using CanaryId = std::pair<std::uint64_t, std::uint64_t>;

/// Copies of a canary that its entry may send while the fingerprint has no strike. With strikes it may send one.
constexpr std::uint32_t kMaxCanaryCopies = 2;

/// Records of one member about fingerprints: canaries, strikes and which have succeeded.
struct CrashGuardState {
  struct Canary {
    CanaryId id;
    std::uint32_t copies = 0;  // copies that the entry may send, each of which may crash an upstream
  };
  struct FingerprintRecord {
    std::vector<std::string> struck_upstreams;  // all different, at most max_strikes
    std::vector<Canary> unreported_canaries;    // expired without a report, or running beside `running_canary`
    std::optional<Canary> running_canary;       // no other canary is granted meanwhile
    TimePoint running_canary_expiry;
    std::deque<CanaryId> ended_canaries;  // reported ones, latest last; a repeated request does not grant them again
    TimePoint expiry;                     // time when the record is dropped, or the running canary expires
  };

  std::unordered_map<std::uint64_t, FingerprintRecord> records;
  std::set<std::pair<TimePoint, std::uint64_t>> expiries;  // exactly one pair (expiry, fingerprint) per record
  std::list<std::uint64_t> proven_order;                   // fingerprints that succeeded, most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> proven;  // positions in proven_order
};

/// Answer of a sentinel to an entry that asks for a canary.
struct CanaryDecision {
  proto::CanaryVerdict verdict = proto::CANARY_WAIT;
  std::uint32_t strikes = 0;  // including presumed ones
};

/// Returns the key by which members are ranked for a fingerprint with rendezvous hashing. The first one is the
/// sentinel, the next one the standby.
std::string SentinelRendezvousKey(std::uint64_t fingerprint);

/// At the sentinel: decides whether an entry that would send at most `copies` copies gets a canary. A repeated
/// request with the id of the running canary is granted again.
[[nodiscard]] CanaryDecision DecideCanaryRequest(CrashGuardState& state, const CrashGuardOptions& options,
                                                 TimePoint now, std::uint64_t fingerprint, const CanaryId& id,
                                                 std::uint32_t copies = kMaxCanaryCopies);

/// At the sentinel and the standby: records a canary that another member granted.
void RecordRunningCanary(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                         std::uint64_t fingerprint, const CanaryId& id, std::uint32_t copies);

/// At the sentinel and the standby: ends a canary whose copies have all ended. `struck` are the upstreams where a
/// copy lost its connection. `succeeded` marks the fingerprint as proven.
void RecordCanaryResult(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                        std::uint64_t fingerprint, const CanaryId& id, bool succeeded,
                        const std::vector<std::string>& struck = {});

/// At any member: records that the connection to `upstream` was lost after a request with the fingerprint had been
/// sent to it. The running canary goes on, and the fingerprint is no longer proven.
void RecordStrike(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now, std::uint64_t fingerprint,
                  const std::string& upstream);

/// Records strikes that another member knows of. Those recorded before are skipped, so that a fingerprint that has
/// succeeded since then stays proven.
void RecordKnownStrikes(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now,
                        std::uint64_t fingerprint, const std::vector<std::string>& upstreams);

/// Returns the number of strikes of the fingerprint, including presumed ones.
[[nodiscard]] std::size_t StrikeCount(const CrashGuardState& state, std::uint64_t fingerprint);

/// Records that a request with the fingerprint has succeeded.
void MarkProven(CrashGuardState& state, const CrashGuardOptions& options, std::uint64_t fingerprint);

/// Returns whether the fingerprint has succeeded since its last strike, and makes it the most recently used.
[[nodiscard]] bool IsProven(CrashGuardState& state, std::uint64_t fingerprint);

/// Turns expired canaries into presumed strikes and drops expired records, of all fingerprints.
void ExpireCanaries(CrashGuardState& state, const CrashGuardOptions& options, TimePoint now);

/// Runs the crash guard of one daemon on the event loop: as the entry of its own requests, and as sentinel or standby
/// of the fingerprints for which it ranks first or second.
class CrashGuardTask {
 public:
  using Send = std::function<bool(const std::string& peer_address, const proto::Envelope&)>;
  using FindSentinel = std::function<std::optional<proto::Daemon>(std::uint64_t fingerprint)>;
  /// Returns the live members of the cell, this daemon included.
  using ListMembers = std::function<std::vector<proto::Daemon>()>;
  using Done = std::function<void(proto::CanaryVerdict verdict, std::uint32_t strikes)>;

  /// `loop` and `metrics` must outlive the task.
  CrashGuardTask(EventLoop& loop, CrashGuardOptions options, Send send, FindSentinel find_sentinel,
                 ListMembers list_members, Metrics& metrics);
  ~CrashGuardTask();
  CrashGuardTask(const CrashGuardTask&) = delete;
  CrashGuardTask& operator=(const CrashGuardTask&) = delete;

  /// Asks whether a request may run. `done` is called once, possibly before Admit() returns, with one of:
  /// CANARY_PROVEN: run the request; CANARY_GRANTED: run one sub-query, in at most two copies when `strikes` is 0 and
  /// in one otherwise, then call ReportResult(); CANARY_WAIT: ask again later; CANARY_QUARANTINED: refuse the
  /// request.
  void Admit(std::uint64_t fingerprint, Done done);

  /// Reports that all copies of this entry's canary have ended: `succeeded` if one of them answered, and `struck`
  /// names the upstreams where a copy lost its connection.
  void ReportResult(std::uint64_t fingerprint, bool succeeded, const std::vector<std::string>& struck = {});

  /// Reports that the connection to `upstream` was lost after a canary or another sub-query had been sent to it.
  void ReportStrike(std::uint64_t fingerprint, const std::string& upstream);

  /// Handles canary_request, canary_reply, canary_result and strike, and ignores other messages.
  void HandleMessage(const proto::Envelope& envelope);

 private:
  // A request for a canary that its sentinel has not answered yet.
  struct PendingRequest {
    std::uint64_t fingerprint = 0;
    proto::Daemon asked_member;
    TimePoint deadline;         // of the reply by asked_member
    bool asks_standby = false;  // the sentinel did not answer, so asked_member is the standby
    Done done;
    TimerId timer = 0;  // sends the request again
  };

  void HandleFrom(const proto::Daemon& sender, const proto::Envelope& envelope);
  void SendCanaryRequest(std::uint64_t id);
  // Returns the member that ranks next after `sentinel`; none when there is no other.
  [[nodiscard]] std::optional<proto::Daemon> FindStandby(std::uint64_t fingerprint,
                                                         const proto::Daemon& sentinel) const;
  [[nodiscard]] proto::Envelope BuildCanaryRequest(std::uint64_t fingerprint, std::uint64_t id,
                                                   std::uint32_t copies) const;
  void NotifySentinels(std::uint64_t fingerprint, const proto::Envelope& envelope,
                       std::uint64_t informed_incarnation);
  void OnCanaryReply(std::uint64_t from, std::uint64_t id, CanaryDecision decision);
  void DecideLocally(std::uint64_t fingerprint, std::uint64_t id, bool as_standby, const Done& done);
  // Calls `done` with the decision of the member `decider_incarnation`, and records a granted canary.
  void AnswerAdmit(std::uint64_t fingerprint, std::uint64_t id, std::uint64_t decider_incarnation,
                   CanaryDecision decision, const Done& done);
  void RememberGrantedCanary(std::uint64_t fingerprint, std::uint64_t id);
  void SendTo(const proto::Daemon& peer, proto::Envelope envelope);

  EventLoop& loop_;
  CrashGuardOptions options_;
  Send send_;
  FindSentinel find_sentinel_;
  ListMembers list_members_;
  Metrics& metrics_;
  CrashGuardState state_;
  std::uint64_t next_request_id_ = 1;
  std::map<std::uint64_t, PendingRequest> pending_requests_;  // by request id
  // A canary of this entry that has not been reported yet.
  struct GrantedCanary {
    std::uint64_t request_id = 0;
    TimePoint expiry;
  };
  std::unordered_map<std::uint64_t, GrantedCanary> granted_canaries_;  // of this entry, by fingerprint
  // Pairs (expiry, fingerprint) of granted_canaries_, ordered by time; outdated pairs are skipped.
  std::deque<std::pair<TimePoint, std::uint64_t>> granted_expiries_;
};

}  // namespace pimentomoor
