// Member list of a gateway daemon: the other daemons of its cell, learned from their heartbeats and from the member
// lists in their replies. Does no I/O and reads no clock: the time is an argument.
//
// The first daemons of each failure domain, by peer address, are its relays. They receive the heartbeats of every
// daemon of their domain and exchange member lists with the relays of other domains; the other daemons of the domain
// take their lists from them. The state of a daemon is forwarded at most twice: a relay sends to relays of other
// domains only the members whose heartbeats it receives itself, and to its own domain also the members that relays of
// another domain listed of that domain. So lists that repeat each other can't keep a dead daemon listed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway.pb.h"
#include "pimentomoor/clock.h"

namespace pimentomoor {

struct MemberListOptions {
  // Time between heartbeats in small failure domains; it grows with the domain up to max_heartbeat_interval.
  Duration heartbeat_interval = std::chrono::milliseconds(400);
  Duration max_heartbeat_interval = std::chrono::milliseconds(1'200);
  // Heartbeats that a relay sends or receives in each heartbeat_interval before the interval grows.
  std::size_t relay_heartbeats_per_interval = 50;
  // Time after its last datagram during which a daemon counts as alive, when it sends at heartbeat_interval.
  Duration heartbeat_timeout = std::chrono::milliseconds(1'600);
  // Timeout at max_heartbeat_interval. The rest of the 4 s within which all daemons must have dropped a dead one is
  // for its removal to reach them.
  Duration max_heartbeat_timeout = std::chrono::milliseconds(2'400);
  // Time during which a dead daemon still counts in shared budgets. Longer than network partitions between regions
  // last: the parts of a partitioned cell would otherwise each divide the whole allowance among themselves.
  Duration budget_retention = std::chrono::minutes(15);
  // Extra validity of the list of a silent relay, for members whose heartbeats this daemon never received: the
  // relay's successor needs one exchange to list them.
  Duration received_list_grace = std::chrono::milliseconds(800);
  // Upper bound of the timeout and the grace together.
  Duration max_received_list_lifetime = std::chrono::milliseconds(2'700);
  // Time for which the state and the list of a silent daemon are kept, so that other daemons learn of its end.
  Duration silent_peer_retention = std::chrono::seconds(30);
  // Minimum time between updates of an own list of more than small_list_size entries: while a cell starts, every
  // reply changes the list.
  Duration min_list_update_interval = std::chrono::milliseconds(50);
  std::size_t small_list_size = 64;
  std::size_t relays_per_domain = 2;
  // Up to this number of relays in the cell, each exchanges lists with all others; beyond it, only with those of its
  // rank in other failure domains.
  std::size_t max_full_mesh_relays = 8;
  std::size_t max_members = 8'192;       // further members are ignored; leaves room for daemons that ended lately
  std::size_t max_received_lists = 128;  // number of peers whose member lists are kept
  std::size_t max_member_bytes = 1'024;  // size of an encoded member; a larger one is malformed
  // Encoded size of a reply with its sender and changes, so that it fits into one packet; it has at least one change.
  std::size_t max_reply_bytes = 1'180;

  friend bool operator==(const MemberListOptions&, const MemberListOptions&) = default;
};

class MemberList {
 public:
  explicit MemberList(proto::GatewayMember self, MemberListOptions options = {});

  /// Sets the state of this daemon, which heartbeats and replies carry to its peers.
  void UpdateSelf(proto::GatewayMember self);
  [[nodiscard]] const proto::GatewayMember& self() const { return self_; }
  /// Number of this daemon's state; grows with each change.
  [[nodiscard]] std::uint32_t self_state_number() const { return self_state_number_; }

  /// Applies a received heartbeat or reply. Returns false when it is malformed, was sent by the previous run of its
  /// sender, or the list is full.
  bool Receive(const proto::GatewayHeartbeat& heartbeat, TimePoint now);

  /// A heartbeat to `address`, with the version up to which this daemon knows that daemon's list.
  [[nodiscard]] proto::GatewayHeartbeat MakeHeartbeat(const std::string& address) const;
  /// The reply to `heartbeat`, with the members that changed after the list version that its sender knows, as many as
  /// fit.
  [[nodiscard]] proto::GatewayHeartbeat MakeReply(const proto::GatewayHeartbeat& heartbeat, TimePoint now);
  /// An unsolicited reply to `address` with this daemon's state and without members.
  [[nodiscard]] proto::GatewayHeartbeat MakeAnnouncement(const std::string& address) const;
  /// An unsolicited reply with the list changes that `address` does not know yet. Without changes when it knows all
  /// or does not take the list from this daemon.
  [[nodiscard]] proto::GatewayHeartbeat MakePush(const std::string& address, TimePoint now);

  /// The other daemons that are alive, ordered by peer address. Valid until the next call.
  [[nodiscard]] const std::vector<proto::GatewayMember>& LivePeers(TimePoint now) const;
  /// Changes whenever the result of LivePeers changes.
  [[nodiscard]] std::uint64_t LivePeersVersion(TimePoint now) const;
  /// Version of the list that this daemon sends to its peers.
  [[nodiscard]] std::uint64_t ListVersion(TimePoint now);
  /// Peer addresses to which this daemon sends heartbeats.
  [[nodiscard]] std::vector<std::string> HeartbeatTargets(TimePoint now) const;
  [[nodiscard]] bool IsRelay(TimePoint now) const { return RankInDomain(now) < options_.relays_per_domain; }
  /// Peer addresses of live daemons whose datagrams this daemon receives itself. Such peers get announcements and
  /// pushes without asking. Daemons of other failure domains come first.
  [[nodiscard]] std::vector<std::string> LiveDirectPeers(TimePoint now) const;
  /// Time between heartbeats. Grows with the size of the failure domain, which bounds the traffic of its relays.
  [[nodiscard]] Duration HeartbeatInterval(TimePoint now) const;
  /// State that the daemon at `address` sent to this one; nullptr when no datagram of it is remembered.
  [[nodiscard]] const proto::GatewayMember* FindDirectPeer(const std::string& address) const;
  /// Digest of crash reports in the last datagram from `address`; 0 when none is remembered.
  [[nodiscard]] std::uint64_t CrashesDigestOf(const std::string& address) const;
  /// Whether reports of leaving upstreams with this digest are news to the daemon at `address`: its last datagram had
  /// another digest. False while none is remembered, and for a daemon of a build without these reports.
  [[nodiscard]] bool LacksLeavingReports(const std::string& address, std::uint64_t digest) const;
  /// Peer addresses of daemons that are dead now and were alive within budget_retention.
  [[nodiscard]] std::vector<std::string> DepartedPeers(TimePoint now);
  /// Number of daemons that share budgets, this one included: those alive now or within budget_retention, or the
  /// largest number that a peer counts. 0 while no other daemon is known.
  [[nodiscard]] std::size_t CountDaemonsForBudgets(TimePoint now);

 private:
  /// A daemon whose heartbeats or replies this daemon receives itself.
  struct DirectPeer {
    proto::GatewayMember member;
    TimePoint received_at;                        // time of the peer's last datagram
    Duration timeout{};                           // time after received_at at which the peer counts as dead
    std::size_t counted_daemons = 0;              // daemons that share budgets, as the peer counts them
    std::uint32_t state_number = 0;               // number of the state in `member`, set by the peer
    std::uint32_t known_self_state_number = 0;    // number of this daemon's state that the peer knows
    std::uint64_t previous_incarnation = 0;       // incarnation before a restart, whose late datagrams are ignored
    std::uint64_t known_list_version = 0;         // version of this daemon's list that the peer knows
    std::uint64_t crashes_digest = 0;             // digest of the crash reports that the peer knows
    std::optional<std::uint64_t> leaving_digest;  // of the leaving upstreams that the peer knows; unset in old builds
    bool wants_list = false;                      // whether the peer's last heartbeat asked for this daemon's list
    mutable bool live = false;                    // whether live_peers_ includes the peer
  };
  /// The member list of a peer, as its replies and pushes sent it.
  struct ReceivedList {
    std::map<std::string, proto::GatewayMember> live_members;  // by peer address, at most max_members
    std::string failure_domain;                                // failure domain of the peer
    std::uint64_t peer_incarnation = 0;
    std::uint64_t version = 0;
    TimePoint renewed_at;  // time at which the list was last known to be up to date
    Duration timeout{};    // time after renewed_at at which the list expires, without the grace
    // How live_peers_ uses the list: 2 all its members, 1 (in the grace) those that are no direct peers, 0 none.
    mutable int validity = 0;
  };
  /// An entry of the list that this daemon sends to its peers.
  struct ListEntry {
    proto::GatewayMember member;
    bool alive = true;
    bool direct = false;        // whether the member is a live direct peer
    bool ever_direct = false;   // whether the member is or once was a live direct peer
    std::uint64_t version = 0;  // version of own_list_ at the last change of the entry
    TimePoint changed_at;
  };
  /// Whether the addresses are valid, the failure domain is set and the size is within max_member_bytes.
  [[nodiscard]] bool IsValid(const proto::GatewayMember& member) const;
  /// Timeout of a daemon that sends heartbeats at `interval`.
  [[nodiscard]] Duration HeartbeatTimeout(Duration interval) const;
  /// Number of live daemons of this failure domain with a lower peer address than this one.
  [[nodiscard]] std::size_t RankInDomain(TimePoint now) const;
  void ApplyListChanges(const proto::GatewayHeartbeat& reply, Duration timeout, TimePoint now);
  void RefreshLivePeers(TimePoint now) const;
  void UpdateList(TimePoint now);
  /// Sets the sender: only its address and incarnation when `identity_only`, else its whole state.
  void FillSelf(proto::GatewayHeartbeat& heartbeat, bool identity_only) const;
  /// Adds the changes of own_list_ after `known_version`. `other_domain` tells whether `receiver` is in another
  /// failure domain than this daemon; it then gets direct peers only.
  void AddChanges(proto::GatewayHeartbeat& reply, std::uint64_t known_version, const std::string& receiver,
                  bool other_domain) const;
  void RemoveExpired(TimePoint now);

  proto::GatewayMember self_;
  MemberListOptions options_;
  std::uint32_t self_state_number_;
  std::map<std::string, DirectPeer> direct_peers_;      // by peer address, at most max_members
  std::map<std::string, ReceivedList> received_lists_;  // by peer address of their sender, at most max_received_lists
  std::map<std::string, ListEntry> own_list_;           // by peer address; the list that peers receive
  std::map<std::uint64_t, std::string> addresses_by_version_;  // keys of own_list_ by version of their last change
  std::uint64_t own_list_version_ = 0;                         // grows with each change of own_list_
  std::uint64_t own_list_input_version_ = 0;                   // input_version_ from which own_list_ was built
  TimePoint own_list_updated_at_{};
  TimePoint expired_removed_at_{};  // time of the last removal by RemoveExpired

  // The live daemons, rebuilt when an input changed or the first of them may have expired.
  mutable std::vector<proto::GatewayMember> live_peers_;
  mutable TimePoint next_expiry_{};
  mutable std::uint64_t input_version_ = 1;  // grows with changes and expiries in direct_peers_ and received_lists_
  mutable std::uint64_t live_input_version_ = 0;  // input_version_ from which live_peers_ was built
  mutable std::uint64_t live_peers_version_ = 0;  // grows when live_peers_ is rebuilt
  // Time at which a daemon left live_peers_, by peer address; at most max_members together with live_peers_.
  mutable std::map<std::string, TimePoint> departed_peers_;
};

}  // namespace pimentomoor
