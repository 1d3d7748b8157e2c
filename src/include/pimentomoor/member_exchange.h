// When a gateway daemon sends heartbeats, to whom, and what it answers. Pure: the caller gives the time and moves the
// datagrams.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pimentomoor/member_list.h"

namespace pimentomoor {

struct MemberExchangeOptions {
  std::vector<std::string> seeds;                           // peer addresses that are asked first; may be stale
  Duration join_interval = std::chrono::milliseconds(100);  // until the first daemon has answered
  Duration join_time = std::chrono::seconds(2);      // after which the interval of heartbeats holds in any case
  Duration seed_interval = std::chrono::seconds(3);  // between heartbeats of relays to seeds that are no targets
  std::size_t departed_asked = 4;                    // earlier members asked together with the seeds
  // An unanswered heartbeat is sent again, so that one lost datagram doesn't delay news by an interval.
  std::size_t retries = 2;
  std::size_t single_source_from =
      64;  // with this many daemons, a daemon takes the list from one relay, not from all
  // Changes are sent without being asked for within these bytes; beyond them they wait for the next heartbeat.
  double push_bytes_per_s = 8'000;  // with the shortest interval; falls with its square
  double push_burst_bytes = 12'000;
  std::size_t max_datagram_bytes = 1'350;  // fits into one packet
  std::size_t crash_report_bytes = 600;    // in one datagram; fewer with longer intervals
  // A changed load alone reaches everyone through all relays. Their bytes grow with the daemons of the cell and with
  // those of the domain, so it is told at most once in daemons x daemons of the domain x this time.
  Duration load_interval_per_pair = std::chrono::milliseconds(40);
  MemberListOptions list;

  friend bool operator==(const MemberExchangeOptions&, const MemberExchangeOptions&) = default;
};

struct MemberDatagram {
  std::string receiver_address;
  proto::GatewayHeartbeat heartbeat;
};

class MemberExchange {
 public:
  /// `described` is a heartbeat with this daemon as its sender, its content revisions and all its crash reports.
  MemberExchange(proto::GatewayHeartbeat described, MemberExchangeOptions options, TimePoint now);

  void SetSeeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }
  /// Call before any of the following when the state of this daemon may have changed.
  void UpdateSelf(proto::GatewayHeartbeat described, TimePoint now);

  /// To be called every join_interval: what is due now.
  [[nodiscard]] std::vector<MemberDatagram> Tick(TimePoint now);
  /// Takes a datagram, and returns the answer to it. `taken` is false when it was malformed or refused.
  [[nodiscard]] std::vector<MemberDatagram> Receive(const proto::GatewayHeartbeat& heartbeat, TimePoint now,
                                                    bool& taken);
  /// Tells the daemons that listen to this one, and its own targets, that its state has changed.
  [[nodiscard]] std::vector<MemberDatagram> Announce(TimePoint now);

  [[nodiscard]] MemberList& members() { return members_; }
  [[nodiscard]] const MemberList& members() const { return members_; }

 private:
  struct Asked {
    TimePoint next;  // heartbeat
    TimePoint sent;
    std::size_t tries = 0;  // since `next` was set
    bool answered = true;
    bool failing = false;  // left all tries of an interval unanswered, and none since was answered
  };
  [[nodiscard]] bool IsSource(const std::string& address, const std::vector<std::string>& targets) const;
  void Ask(const std::string& address, std::vector<MemberDatagram>& out);
  void AskTargets(TimePoint now, bool new_only, std::vector<MemberDatagram>& out);
  void AskSeeds(TimePoint now, std::vector<MemberDatagram>& out);
  void PushChanges(TimePoint now, std::vector<MemberDatagram>& out);
  void FillPushBytes(TimePoint now);
  void Add(const std::string& address, proto::GatewayHeartbeat heartbeat, std::vector<MemberDatagram>& out);

  MemberExchangeOptions options_;
  proto::GatewayHeartbeat described_;
  std::uint64_t crashes_digest_ = 0;
  MemberList members_;
  TimePoint started_;
  TimePoint load_told_{};
  Duration load_interval_{};
  std::uint32_t announced_state_ = 0;
  TimePoint seeds_asked_{};
  std::string departed_asked_;  // the last one
  std::size_t next_crash_ = 0;  // the first report of the next datagram, so that all get their turn
  std::uint64_t pushed_version_ = 0;
  double push_bytes_ = 0;
  TimePoint push_filled_;
  std::map<std::string, Asked> asked_;  // by target
  std::vector<std::string> targets_;
  std::uint64_t targets_version_ = 0;  // LivePeersVersion that targets_ shows
  bool large_ = false;                 // a list was longer than a reply
  bool own_domain_only_ = false;       // as targets_ shows it
  std::size_t alive_ = 0;              // and the number of living daemons
  Duration interval_{};
};

}  // namespace pimentomoor
