// Fuzz target: heartbeats between gateways. The member list and what it sends stay within their bounds.
//
// The input is a sequence of datagrams, each a length byte and its bytes. Length 255 takes the rest of the
// input, and a zero length lets time pass.
#include "fuzz_target.h"
#include "pimentomoor/member_list.h"

namespace pimentomoor::fuzz {

namespace {

// Small, so that an input of a few heartbeats fills the list.
constexpr std::size_t kMaxMembers = 2;

proto::GatewayMember Self() {
  proto::GatewayMember self;
  self.set_host("self");
  self.set_incarnation(1);
  self.set_failure_domain("a");
  self.set_caller_address("127.0.0.1:1");
  self.set_peer_address("127.0.0.1:2");
  return self;
}

void CheckBounds(MemberList& members, const proto::GatewayHeartbeat& heartbeat, TimePoint now) {
  const auto reply = members.MakeReply(heartbeat, now);
  Check(reply.reply() && static_cast<std::size_t>(reply.changes_size()) <= kMaxMembers, "a reply is bounded");
  Check(reply.ByteSizeLong() <= (kMaxMembers + 1) * 1024, "a reply has at most 1 KiB for each member");
  const auto alive = members.LivePeers(now);
  Check(alive.size() <= kMaxMembers, "the list is bounded");
  for (const auto& member : alive) {
    Check(member.peer_address() != members.self().peer_address(), "the list is without this daemon");
    Check(member.ByteSizeLong() <= 1024, "a member has at most 1 KiB");
    Check(member.peer_address().find_first_not_of("0123456789.:") == std::string::npos,
          "an address has one spelling");
    Check(members.MakeHeartbeat(member.peer_address()).changes_size() == 0, "a heartbeat lists no members");
  }
  Check(members.HeartbeatTargets(now).size() <= alive.size(), "only members get heartbeats");
  Check(members.LiveDirectPeers(now).size() <= kMaxMembers, "the listeners are bounded");
  const std::size_t count = members.CountDaemonsForBudgets(now);
  Check((alive.empty() || count > alive.size()) && count <= kMaxMembers + 1, "the count for budgets is bounded");
}

void ReceiveAll(std::string_view input) {
  MemberList members(Self(), {.max_members = kMaxMembers});
  TimePoint now = TimePoint() + std::chrono::hours(1);
  while (!input.empty()) {
    const std::size_t size = static_cast<std::uint8_t>(input.front());
    const std::string_view datagram = input.substr(1, size == 255 ? input.npos : size);
    input.remove_prefix(1 + datagram.size());
    proto::GatewayHeartbeat heartbeat;
    if (size == 0) {
      now += std::chrono::milliseconds(1'700);  // longer than heartbeat_timeout
    } else if (heartbeat.ParseFromArray(datagram.data(), static_cast<int>(datagram.size()))) {
      members.Receive(heartbeat, now);
      CheckBounds(members, heartbeat, now);
    }
  }
}

}  // namespace

}  // namespace pimentomoor::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size) {
  pimentomoor::fuzz::ReceiveAll({reinterpret_cast<const char*>(bytes), size});
  return 0;
}
