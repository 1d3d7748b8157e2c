// The gateway daemons of a cell as one daemon knows them, from heartbeats that it got itself and from the lists of
// others. Pure: the time is an argument.
//
// A daemon sends its heartbeats to the first members of each failure domain only, so that the cost of a daemon does
// not grow with the square of the cell. Those daemons hear everyone and tell the rest what changed.
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
  Duration alive_for = std::chrono::milliseconds(1'600);  // after the last heartbeat
  // In shared budgets, after it was last alive. Longer than regions lose each other: the parts of a cell that was cut
  // would otherwise each divide the whole allowance among themselves.
  Duration counted_for = std::chrono::minutes(15);
  Duration remembered_for = std::chrono::seconds(30);  // what a silent daemon told, to tell others of its end
  std::size_t own_domain_targets = 2;                  // daemons of its failure domain that get its heartbeats
  std::size_t other_domain_targets = 1;                // of each other failure domain
  std::size_t max_members = 256;                       // more are ignored
  std::size_t max_member_bytes = 1'024;                // encoded; a larger member is malformed

  friend bool operator==(const MemberListOptions&, const MemberListOptions&) = default;
};

class MemberList {
 public:
  explicit MemberList(proto::GatewayMember self, MemberListOptions options = {});

  /// State of this daemon, which the lists of others show.
  void UpdateSelf(proto::GatewayMember self) { self_ = std::move(self); }
  [[nodiscard]] const proto::GatewayMember& self() const { return self_; }

  /// Takes a heartbeat or a reply. False when it is malformed or the list is full.
  bool Receive(const proto::GatewayHeartbeat& heartbeat, TimePoint now);

  /// A heartbeat to `address`, with what this daemon knows of that daemon's list.
  [[nodiscard]] proto::GatewayHeartbeat MakeHeartbeat(const std::string& address) const;
  /// The reply to `heartbeat`, with the members that changed since its sender asked last.
  [[nodiscard]] proto::GatewayHeartbeat MakeReply(const proto::GatewayHeartbeat& heartbeat, TimePoint now);

  /// The daemons that are alive, ordered by peer address, without this one.
  [[nodiscard]] std::vector<proto::GatewayMember> Alive(TimePoint now) const;
  /// Peer addresses that get this daemon's heartbeats.
  [[nodiscard]] std::vector<std::string> Targets(TimePoint now) const;
  /// Peer addresses of daemons that sent to this one lately: they get news at once.
  [[nodiscard]] std::vector<std::string> Listeners(TimePoint now) const;
  /// Daemons that share budgets, this one included: alive now or within counted_for, here or as another daemon counts
  /// them. 0 while no other daemon has been heard.
  [[nodiscard]] std::size_t CountForBudgets(TimePoint now);

 private:
  struct Heard {
    proto::GatewayMember member;
    TimePoint at;
    std::uint64_t changed_version = 0;  // of this daemon's list
    std::size_t counted = 0;            // daemons that it counts itself
    bool listed_alive = true;           // as the list last told it
  };
  struct Reported {
    std::map<std::string, proto::GatewayMember> alive;  // by peer address, at most max_members
    std::uint64_t incarnation = 0;                      // of the reporting daemon
    std::uint64_t version = 0;
    TimePoint at;
  };
  [[nodiscard]] bool IsComplete(const proto::GatewayMember& member) const;
  void TakeChanges(const proto::GatewayHeartbeat& reply, TimePoint now);
  void ExpireHeard(TimePoint now);

  proto::GatewayMember self_;
  MemberListOptions options_;
  std::map<std::string, Heard> heard_;           // by peer address
  std::map<std::string, Reported> reported_;     // by the peer address of the daemon that reported
  std::map<std::string, TimePoint> last_alive_;  // at most max_members; empty only before the first one is heard
  std::uint64_t version_ = 0;                    // grows with each change of heard_
};

}  // namespace pimentomoor
