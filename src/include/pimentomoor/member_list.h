// The gateway daemons of a cell as one daemon knows them, from heartbeats that it got itself and from the lists of
// others. Pure: the time is an argument.
//
// The first daemons of each failure domain, by address, are its relays. They hear every daemon of their domain and
// exchange lists with the relays of other domains; the others of the domain take their lists from them. What a daemon
// tells passes through at most two others: a relay tells relays of other domains only what it heard itself, and
// passes on to its own domain what the relays of another domain told of that domain. So no daemon is kept alive by
// lists that repeat each other.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway.pb.h"
#include "pimentomoor/clock.h"

namespace pimentomoor {

struct MemberListOptions {
  Duration interval = std::chrono::milliseconds(400);        // between heartbeats, in small failure domains
  Duration max_interval = std::chrono::milliseconds(1'200);  // in large ones
  std::size_t domain_per_interval = 50;                   // daemons of a domain that a relay hears in each `interval`
  Duration alive_for = std::chrono::milliseconds(1'600);  // after the last heartbeat
  // With max_interval. The rest of the 4 s after which a dead daemon must be unknown is for its end to reach all.
  Duration max_alive_for = std::chrono::milliseconds(2'400);
  // In shared budgets, after it was last alive. Longer than regions lose each other: the parts of a cell that was cut
  // would otherwise each divide the whole allowance among themselves.
  Duration counted_for = std::chrono::minutes(15);
  // For members that only a silent relay told of: its successor needs an exchange to tell of them.
  Duration report_grace = std::chrono::milliseconds(800);
  Duration max_report_for = std::chrono::milliseconds(2'700);
  Duration remembered_for = std::chrono::seconds(30);  // what a silent daemon told, to tell others of its end
  // A larger list is brought up to date for replies this often at most: while a cell starts, every reply changes it.
  Duration list_interval = std::chrono::milliseconds(50);
  std::size_t small_list = 64;
  std::size_t relays = 2;                // of each failure domain
  std::size_t meshed_relays = 8;         // up to this many, all relays exchange lists; beyond it, those of equal rank
  std::size_t max_members = 8'192;       // more are ignored; room for those that ended lately
  std::size_t max_reports = 128;         // daemons whose lists are kept
  std::size_t max_member_bytes = 1'024;  // encoded; a larger member is malformed
  std::size_t max_changes_bytes =
      1'180;  // in a reply with the sender, so that it fits into one packet; at least one change

  friend bool operator==(const MemberListOptions&, const MemberListOptions&) = default;
};

class MemberList {
 public:
  explicit MemberList(proto::GatewayMember self, MemberListOptions options = {});

  /// State of this daemon, which the lists of others show.
  void UpdateSelf(proto::GatewayMember self);
  [[nodiscard]] const proto::GatewayMember& self() const { return self_; }
  [[nodiscard]] std::uint32_t self_state() const { return self_state_; }

  /// Takes a heartbeat or a reply. False when it is malformed, older than the sender's restart, or the list is full.
  bool Receive(const proto::GatewayHeartbeat& heartbeat, TimePoint now);

  /// A heartbeat to `address`, with what this daemon knows of that daemon's list.
  [[nodiscard]] proto::GatewayHeartbeat MakeHeartbeat(const std::string& address) const;
  /// The reply to `heartbeat`, with the members that changed since its sender asked last, as many as fit.
  [[nodiscard]] proto::GatewayHeartbeat MakeReply(const proto::GatewayHeartbeat& heartbeat, TimePoint now);
  /// A reply without members that nobody asked for: this daemon's state.
  [[nodiscard]] proto::GatewayHeartbeat MakeNews(const std::string& address) const;
  /// The changes that `address` does not have yet; without changes when it has all, or does not ask for them.
  [[nodiscard]] proto::GatewayHeartbeat MakePush(const std::string& address, TimePoint now);

  /// The daemons that are alive, ordered by peer address, without this one. Valid until the next call.
  [[nodiscard]] const std::vector<proto::GatewayMember>& LivePeers(TimePoint now) const;
  /// Changes whenever the result of LivePeers changes.
  [[nodiscard]] std::uint64_t LivePeersVersion(TimePoint now) const;
  /// Version of the list that this daemon tells.
  [[nodiscard]] std::uint64_t ListVersion(TimePoint now);
  /// Peer addresses that get this daemon's heartbeats.
  [[nodiscard]] std::vector<std::string> HeartbeatTargets(TimePoint now) const;
  [[nodiscard]] bool IsRelay(TimePoint now) const { return RankInDomain(now) < options_.relays; }
  /// Peer addresses of daemons that sent to this one lately: they get news at once. Other failure domains come first.
  [[nodiscard]] std::vector<std::string> LiveDirectPeers(TimePoint now) const;
  /// Time between heartbeats: grows with the failure domain, so that its relays stay within their bytes.
  [[nodiscard]] Duration HeartbeatInterval(TimePoint now) const;
  /// What is known of a daemon that was heard; nullptr when it was not.
  [[nodiscard]] const proto::GatewayMember* FindHeard(const std::string& address) const;
  /// The daemon's digest of crash reports, as it told last.
  [[nodiscard]] std::uint64_t CrashesDigestOf(const std::string& address) const;
  /// Addresses that were alive within counted_for and are not now.
  [[nodiscard]] std::vector<std::string> Departed(TimePoint now);
  /// Daemons that share budgets, this one included: alive now or within counted_for, here or as another daemon counts
  /// them. 0 while no other daemon has been heard.
  [[nodiscard]] std::size_t CountDaemonsForBudgets(TimePoint now);

 private:
  struct Heard {
    proto::GatewayMember member;
    TimePoint at;
    Duration alive_for{};
    std::size_t counted = 0;                 // daemons that it counts itself
    std::uint32_t state = 0;                 // of `member`
    std::uint32_t known_state = 0;           // of this daemon, as it knows it
    std::uint64_t previous_incarnation = 0;  // whose late datagrams are ignored
    std::uint64_t known_version = 0;         // of this daemon's list, as it asked last
    std::uint64_t crashes_digest = 0;
    bool asks = false;          // for the list
    mutable bool live = false;  // as alive_ shows it
  };
  struct Reported {
    std::map<std::string, proto::GatewayMember> alive;  // by peer address, at most max_members
    std::string failure_domain;                         // of the reporting daemon
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    TimePoint at;
    Duration alive_for{};
    mutable int live = 0;  // as alive_ shows it: 2 when it counts, 1 for members that were not heard, 0 expired
  };
  struct Entry {  // of the list that this daemon tells
    proto::GatewayMember member;
    bool alive = true;
    bool heard = false;         // by this daemon itself
    bool heard_before = false;  // now or earlier
    std::uint64_t version = 0;
    TimePoint changed;
  };
  [[nodiscard]] bool IsComplete(const proto::GatewayMember& member) const;
  [[nodiscard]] Duration AliveFor(Duration interval) const;
  [[nodiscard]] std::size_t RankInDomain(TimePoint now) const;
  void TakeChanges(const proto::GatewayHeartbeat& reply, Duration alive_for, TimePoint now);
  void TakeAlive(TimePoint now) const;
  void UpdateList(TimePoint now);
  void FillOwnState(proto::GatewayHeartbeat& heartbeat, bool brief) const;
  void AddChanges(proto::GatewayHeartbeat& reply, std::uint64_t known, const std::string& receiver,
                  bool other_domain) const;
  void Forget(TimePoint now);

  proto::GatewayMember self_;
  MemberListOptions options_;
  std::uint32_t self_state_;
  std::map<std::string, Heard> heard_;        // by peer address, at most max_members
  std::map<std::string, Reported> reported_;  // by the peer address of the daemon that reported
  std::map<std::string, Entry> list_;         // what this daemon tells, by peer address
  std::map<std::uint64_t, std::string> log_;  // addresses of list_ by version of their last change
  std::uint64_t version_ = 0;                 // grows with each change of list_
  std::uint64_t listed_changes_ = 0;          // value of changes_ that list_ shows
  TimePoint listed_{};
  TimePoint forgotten_{};

  // The living, rebuilt when something changed or the first of them may have expired.
  mutable std::vector<proto::GatewayMember> alive_;
  mutable TimePoint next_expiry_{};
  mutable std::uint64_t changes_ = 1;        // of heard_ and reported_, and expiries
  mutable std::uint64_t alive_changes_ = 0;  // value of changes_ that alive_ shows
  mutable std::uint64_t alive_version_ = 0;
  mutable std::map<std::string, TimePoint> departed_;  // when it was last alive; with the living at most max_members
};

}  // namespace pimentomoor
