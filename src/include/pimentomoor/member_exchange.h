// Schedule of a gateway daemon's heartbeats: when it sends them and to which peers, and what it replies. Does no I/O
// and reads no clock: the caller passes the time and sends the returned datagrams.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pimentomoor/member_list.h"

namespace pimentomoor {

struct MemberExchangeOptions {
  std::vector<std::string> seeds;  // peer addresses that are contacted first; may be stale
  // Time between heartbeats to the seeds until a first daemon has answered, and between calls of Tick.
  Duration join_interval = std::chrono::milliseconds(100);
  // Time after the start from which the heartbeat interval holds even when no daemon has answered.
  Duration join_duration = std::chrono::seconds(2);
  // Time between heartbeats of a relay to seeds that are no targets.
  Duration seed_interval = std::chrono::seconds(3);
  std::size_t departed_per_seed_round = 4;  // number of departed daemons that are contacted with the seeds
  // An unanswered heartbeat is sent again up to this many times, so that one lost datagram doesn't delay a change by
  // a heartbeat interval.
  std::size_t heartbeat_resends = 2;
  // From this number of live peers on, a daemon that is no relay takes the member list from one relay instead of all.
  std::size_t single_source_min_peers = 64;
  // Rate and burst of the bytes that unsolicited announcements and list changes may use. Changes beyond them wait for
  // the next heartbeat. The rate holds at the shortest heartbeat interval, and falls with the square of a longer one.
  double push_bytes_per_s = 8'000;
  double push_burst_bytes = 12'000;
  std::size_t max_datagram_bytes = 1'350;      // so that a datagram fits into one packet
  std::size_t crash_bytes_per_datagram = 600;  // bytes of crash reports; fewer at longer heartbeat intervals
  // Bytes of reports of leaving upstreams; fewer at longer heartbeat intervals.
  std::size_t leaving_bytes_per_datagram = 400;
  std::size_t rollout_bytes_per_datagram = 600;  // bytes of roll-out reports of other daemons; there are few orders
  // A change of the load alone reaches all daemons through all relays, which costs bytes in proportion to the daemons
  // of the cell and of the failure domain. So it is announced at most once in (daemons of the cell x daemons of the
  // domain x this time).
  Duration load_announce_interval_per_pair = std::chrono::milliseconds(40);
  MemberListOptions list;

  friend bool operator==(const MemberExchangeOptions&, const MemberExchangeOptions&) = default;
};

struct MemberDatagram {
  std::string receiver_address;
  proto::GatewayHeartbeat heartbeat;
};

class MemberExchange {
 public:
  /// `self_heartbeat` has this daemon as its sender, its content revisions, and all its reports of crashes and of
  /// leaving upstreams.
  MemberExchange(proto::GatewayHeartbeat self_heartbeat, MemberExchangeOptions options, TimePoint now);

  void SetSeeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }
  /// Sets further daemons that are contacted like seeds, beginning with the next Tick.
  void SetContacts(std::vector<std::string> contacts);
  /// Sets this daemon's state, in the form that the constructor takes. Call before any of the following functions
  /// when the state may have changed.
  void UpdateSelf(proto::GatewayHeartbeat self_heartbeat, TimePoint now);

  /// Returns the datagrams that are due. Call every join_interval.
  [[nodiscard]] std::vector<MemberDatagram> Tick(TimePoint now);
  /// Processes a received datagram and returns the datagrams that follow from it. `accepted` becomes false when the
  /// member list refused the datagram.
  [[nodiscard]] std::vector<MemberDatagram> Receive(const proto::GatewayHeartbeat& heartbeat, TimePoint now,
                                                    bool& accepted);
  /// Returns announcements of this daemon's changed state to its targets and to its live direct peers.
  [[nodiscard]] std::vector<MemberDatagram> Announce(TimePoint now);

  [[nodiscard]] MemberList& members() { return members_; }
  [[nodiscard]] const MemberList& members() const { return members_; }

 private:
  /// Heartbeats sent to one target.
  struct TargetState {
    TimePoint next_heartbeat_at;
    TimePoint last_sent_at;
    std::size_t resends = 0;    // number since next_heartbeat_at was set or a reply needed another heartbeat
    bool answered = true;       // whether the last heartbeat was answered
    bool unresponsive = false;  // whether no heartbeat of an interval was answered, and none since
  };
  /// Whether this daemon takes the member list from the target `address`.
  [[nodiscard]] bool IsListSource(const std::string& address, const std::vector<std::string>& targets) const;
  void AddHeartbeat(const std::string& address, std::vector<MemberDatagram>& out);
  /// Adds the due heartbeats to targets; with `unsent_only`, only to targets that got none yet.
  void AddTargetHeartbeats(TimePoint now, bool unsent_only, std::vector<MemberDatagram>& out);
  void AddSeedHeartbeats(TimePoint now, std::vector<MemberDatagram>& out);
  /// Adds list changes for live direct peers, within the push budget.
  void AddPushes(TimePoint now, std::vector<MemberDatagram>& out);
  void RefillPushBudget(TimePoint now);
  /// Adds this daemon's roll-out reports to `heartbeat`, and those of others that fit.
  void AddRolloutReports(proto::GatewayHeartbeat& heartbeat);
  /// Adds `heartbeat` with this daemon's content revisions and those reports that fit.
  void AddDatagram(const std::string& address, proto::GatewayHeartbeat heartbeat, std::vector<MemberDatagram>& out);
  void AddCrashReports(const std::string& address, proto::GatewayHeartbeat& heartbeat);
  void AddLeavingReports(const std::string& address, proto::GatewayHeartbeat& heartbeat);

  MemberExchangeOptions options_;
  proto::GatewayHeartbeat self_heartbeat_;  // this daemon's state at the last UpdateSelf
  std::uint64_t crashes_digest_ = 0;        // digest of the crash reports in self_heartbeat_
  std::uint64_t leaving_digest_ = 0;        // digest of the leaving upstreams in self_heartbeat_
  MemberList members_;
  TimePoint started_;
  TimePoint load_announced_at_{};
  Duration load_announce_interval_{};
  std::uint32_t announced_state_number_ = 0;  // state number of this daemon at the last Announce
  std::vector<std::string> contacts_;         // peer addresses
  TimePoint seeds_contacted_at_{};
  std::string last_departed_contacted_;  // peer address after which the next seed round continues
  // Index of the first report in the next datagram; rotates, so that all are sent.
  std::size_t next_crash_report_ = 0;
  std::size_t next_leaving_report_ = 0;
  std::size_t next_rollout_report_ = 0;  // the same for roll-out reports of other daemons
  std::uint64_t pushed_list_version_ = 0;
  double push_budget_bytes_ = 0;
  TimePoint push_budget_refilled_at_;
  std::map<std::string, TargetState> target_states_;  // by peer address of the target
  std::vector<std::string> targets_;                  // peer addresses to which heartbeats are sent regularly
  std::uint64_t targets_live_peers_version_ = 0;      // LivePeersVersion from which targets_ was computed
  bool list_exceeds_reply_ = false;                   // whether a peer's list did not fit into one reply
  bool own_domain_only_ = false;                      // whether targets_ holds only daemons of this failure domain
  std::size_t live_peer_count_ = 0;                   // number of live peers when targets_ was computed
  Duration heartbeat_interval_{};
};

}  // namespace pimentomoor
