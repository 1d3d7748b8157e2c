// The lease of a daemon: without a valid lease it sends nothing to upstreams.
//
// Replies of members to heartbeats renew the lease. It runs from the send time of the newest heartbeat such
// that a majority of the view, this daemon included, has replied to that heartbeat or a later one. A daemon that was
// paused sees the lease expire by comparing the clock with `expires_at`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Smallest number of members that is more than half of `members`.
constexpr std::size_t Majority(std::size_t members) { return members / 2 + 1; }

/// Lease of this daemon, and the heartbeats whose replies can renew it.
struct LeaseState {
  Duration duration = std::chrono::milliseconds(2'500);
  std::uint64_t epoch = 0;  // epoch of the view; replies that name another one don't count
  std::size_t members = 0;  // number of members of the view, this daemon included; 0 when it is not a member
  // Send times of this epoch's heartbeats, by sequence number; those older than `duration` are dropped.
  std::map<std::uint64_t, TimePoint> send_times;
  // By incarnation of the peer: send time of the newest heartbeat that it replied to.
  std::map<std::uint64_t, TimePoint> newest_replied;
  TimePoint expires_at{};  // never moves back, except that EndLease() resets it
};

/// Moves to a new epoch. Replies to heartbeats of earlier epochs no longer count. The remaining lease time is kept,
/// because the new owners of upstreams wait for it (see takeover.h). `members` is 0 when this daemon is not in the
/// view; then the lease ends.
void StartLeaseEpoch(LeaseState& state, std::uint64_t epoch, std::size_t members);

/// Records that a heartbeat was sent. In a view with one member this renews the lease.
void OnHeartbeatSent(LeaseState& state, std::uint64_t sequence, TimePoint now);

/// Properties of a reply to a heartbeat that decide whether it counts for the renewal of the lease.
struct LeaseReply {
  std::uint64_t incarnation = 0;         // sender of the reply: another member of the current view
  std::uint64_t sequence = 0;            // sequence number of the heartbeat
  std::uint64_t epoch = 0;               // epoch that the reply names
  bool peer_has_newer_versions = false;  // the peer holds a newer version of an object than this daemon
  bool peer_versions_unknown = false;    // the reply and earlier reports don't show all versions that the peer holds
  bool peer_lacks_keys = false;  // the peer lacks an object that this daemon holds, so it can't confirm its version
};

/// Counts a reply and renews the lease when a majority has replied. Returns whether the reply counted.
bool OnHeartbeatReply(LeaseState& state, const LeaseReply& reply);

/// Renews the lease after a read of the view and of all objects from the platform that was sent at `sent`. The caller
/// has checked that the view and the versions read are in force here and that the view names `epoch`.
void OnPlatformRead(LeaseState& state, std::uint64_t epoch, TimePoint sent);

/// Ends the lease at once.
void EndLease(LeaseState& state);

/// Whether this daemon is a member and its lease has not expired.
bool LeaseValid(const LeaseState& state, TimePoint now);

}  // namespace pimentomoor
