// The lease without which a daemon sends nothing to upstreams.
//
// The lease runs from the send time of the oldest heartbeat in the newest majority of replies. A daemon that was
// paused sees it expire by comparing the clock with `expires_at`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Smallest number of members that is more than half of `members`.
constexpr std::size_t Majority(std::size_t members) { return members / 2 + 1; }

struct LeaseState {
  Duration duration = std::chrono::milliseconds(2'500);
  std::uint64_t epoch = 0;  // replies that name another epoch don't count
  std::size_t members = 0;  // in the view of `epoch`, this daemon included; 0 when it is not a member
  std::map<std::uint64_t, TimePoint>
      send_times;  // heartbeats of this epoch by sequence number, pruned after `duration`
  std::map<std::uint64_t, TimePoint>
      newest_replied;      // by peer incarnation: send time of the newest heartbeat it replied to
  TimePoint expires_at{};  // never moves back, except when the daemon leaves the view
};

/// Moves to a new epoch. Replies to heartbeats of earlier epochs no longer count. The remaining lease time is kept:
/// the owners of the next epoch wait for it (see takeover.h). `members` is 0 when this daemon is not in the view,
/// which ends the lease.
void StartLeaseEpoch(LeaseState& state, std::uint64_t epoch, std::size_t members);

/// Records a heartbeat. In a view with one member it renews the lease.
void OnHeartbeatSent(LeaseState& state, std::uint64_t sequence, TimePoint now);

/// What decides whether a reply counts.
struct LeaseReply {
  std::uint64_t incarnation = 0;  // of a member of the current view, other than this daemon
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;
  bool peer_has_newer_versions = false;  // the reply shows an object version that is not in force here
  bool peer_versions_unknown = false;    // the reply and what is known of the peer don't show all of its versions
  bool peer_lacks_keys = false;  // the peer lacks an object that this daemon holds, so it can't vouch for its version
};

/// Counts a reply. Returns whether it counted.
bool OnHeartbeatReply(LeaseState& state, const LeaseReply& reply);

/// Renews the lease after a read of the view and of all objects that was sent at `sent` and whose results, all in
/// force now, named `epoch`.
void OnPlatformRead(LeaseState& state, std::uint64_t epoch, TimePoint sent);

/// Ends the lease at once.
void EndLease(LeaseState& state);

bool LeaseValid(const LeaseState& state, TimePoint now);

}  // namespace pimentomoor
