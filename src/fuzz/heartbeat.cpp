// Fuzz target: heartbeats that a gateway receives from others. The member list and the messages that it makes must
// stay within their bounds.
//
// The input is a sequence of datagrams, each of them a length byte and as many bytes. Length 255 means the rest of
// the input. Length 0 stands for no datagram but for time that passes.
#include "fuzz_target.h"
#include "pimentomoor/gateway_usage.h"
#include "pimentomoor/member_list.h"
#include "pimentomoor/platform_codec.h"

namespace pimentomoor::fuzz {

namespace {

// Small, so that a few heartbeats fill the list.
constexpr std::size_t kMaxMembers = 2;

proto::GatewayMember MakeSelf() {
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
  const auto live_peers = members.LivePeers(now);
  Check(live_peers.size() <= kMaxMembers, "the list is bounded");
  for (const auto& member : live_peers) {
    Check(member.peer_address() != members.self().peer_address(), "the list is without this daemon");
    Check(member.ByteSizeLong() <= 1024, "a member has at most 1 KiB");
    Check(member.peer_address().find_first_not_of("0123456789.:") == std::string::npos,
          "an address has one spelling");
    Check(members.MakeHeartbeat(member.peer_address()).changes_size() == 0, "a heartbeat lists no members");
  }
  Check(members.HeartbeatTargets(now).size() <= live_peers.size(), "only members get heartbeats");
  Check(members.LiveDirectPeers(now).size() <= kMaxMembers, "the listeners are bounded");
  const std::size_t count = members.CountDaemonsForBudgets(now);
  Check((live_peers.empty() || count > live_peers.size()) && count <= kMaxMembers + 1,
        "the count for budgets is bounded");
}

// A message about usage caps must not make a daemon grant more credits than the message can ask for.
void ReceiveUsage(const proto::GatewayUsage& bytes, TimePoint now) {
  const UsageMember self{.address = "127.0.0.1:2", .incarnation = bytes.receiver_incarnation()};
  UsageCapExchange exchange(self, now - std::chrono::seconds(4));
  exchange.SetSettings({.window = std::chrono::seconds(5), .excess = 0.1, .slack = 20});
  exchange.SetCaps({{1, {.requests_per_s = 1, .burst = 2}}});
  exchange.SetMembers({}, true, now - std::chrono::seconds(4));
  for (int tenths = 40; tenths >= 0; --tenths) {
    exchange.SetContact(1, {}, now - std::chrono::milliseconds(100) * tenths);
  }
  try {
    exchange.Receive(ParseUsageMessage(bytes), now);
  } catch (const FormatError&) {
    return;
  }
  const auto answers = exchange.TakeMessages(now);
  Check(answers.size() <= 1 + UsageCapExchange::kMaxItems, "the answers are bounded");
  Check(exchange.totals().credits_granted <= 8, "no more is granted than the bucket holds");
}

void ReceiveDatagrams(std::string_view input) {
  MemberList members(MakeSelf(), {.max_members = kMaxMembers});
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
      ReceiveUsage(heartbeat.usage(), now);
      CheckBounds(members, heartbeat, now);
    }
  }
}

}  // namespace

}  // namespace pimentomoor::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size) {
  pimentomoor::fuzz::ReceiveDatagrams({reinterpret_cast<const char*>(bytes), size});
  return 0;
}
