// Tests of the member list with daemons that exchange heartbeats over a network that loses, delays and reorders them.
#include "pimentomoor/member_list.h"

#include <optional>
#include <random>

#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

std::string AddressOf(std::size_t index) { return "127.0.0.1:" + std::to_string(1'000 + index); }

proto::GatewayMember Member(std::size_t index, std::uint64_t incarnation) {
  proto::GatewayMember member;
  member.set_incarnation(incarnation);
  member.set_failure_domain(std::string(1, static_cast<char>('a' + index % 3)));
  member.set_caller_address(AddressOf(100 + index));
  member.set_peer_address(AddressOf(index));
  member.set_ready(true);
  return member;
}

// A cell of daemons, each of which sends heartbeats to its targets and to the seeds, which are the first two
// addresses.
struct SimulatedCell {
  std::vector<std::optional<MemberList>> lists;
  int loss_percent;
  std::mt19937 random;
  std::vector<std::pair<std::size_t, proto::GatewayHeartbeat>> delayed_replies;
  TimePoint now{std::chrono::hours(1)};

  bool IsLost() { return static_cast<int>(random() % 100) < loss_percent; }

  // Sends one round of heartbeats of every daemon. Replies arrive in a random order, some of them in the next step.
  void Step() {
    now += std::chrono::milliseconds(400);
    auto replies = std::exchange(delayed_replies, {});
    for (std::size_t from = 0; from < lists.size(); ++from) {
      const auto targets = lists[from] ? lists[from]->HeartbeatTargets(now) : std::vector<std::string>{};
      for (std::size_t to = 0; to < lists.size(); ++to) {
        if (!lists[from] || (to >= 2 && std::ranges::find(targets, AddressOf(to)) == targets.end())) {
          continue;
        }
        const proto::GatewayHeartbeat heartbeat = lists[from]->MakeHeartbeat(AddressOf(to));
        if (!IsLost() && lists[to] && lists[to]->Receive(heartbeat, now)) {
          (random() % 4 == 0 ? delayed_replies : replies).emplace_back(from, lists[to]->MakeReply(heartbeat, now));
        }
      }
    }
    std::ranges::shuffle(replies, random);
    for (const auto& [to, reply] : replies) {
      if (!IsLost() && lists[to]) {
        lists[to]->Receive(reply, now);
      }
    }
  }

  // Whether the daemon lists exactly the other live daemons, in their current incarnations.
  [[nodiscard]] bool ListsExactlyTheLive(std::size_t index) const {
    std::vector<std::uint64_t> listed;
    std::vector<std::uint64_t> live;
    for (const auto& member : lists[index]->LivePeers(now)) {
      listed.push_back(member.incarnation());
    }
    for (std::size_t i = 0; i < lists.size(); ++i) {
      if (i != index && lists[i]) {
        live.push_back(lists[i]->self().incarnation());
      }
    }
    return listed == live;
  }
};

proto::GatewayHeartbeat Reply(const proto::GatewayMember& sender, std::uint64_t version, bool alive) {
  proto::GatewayHeartbeat reply;
  *reply.mutable_sender() = sender;
  reply.set_reply(true);
  reply.set_list_version(version);
  *reply.add_changes()->mutable_member() = Member(2, 1);
  reply.mutable_changes(0)->set_alive(alive);
  return reply;
}

}  // namespace

TEST_GROUP(MemberList){};

// Guards against a dead daemon that stays listed, so that callers are sent to it and connections are divided with it,
// against a live daemon that is missing, and against one that is listed with the incarnation of a previous run.
TEST(MemberList, ListsConvergeToTheLivingMembers) {
  CHECK(CheckProperty(100, "member lists converge", [] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 14);
    SimulatedCell cell{.lists = std::vector<std::optional<MemberList>>(daemons),
                       .loss_percent = *rc::gen::inRange(0, 40),
                       .random = std::mt19937(*rc::gen::arbitrary<unsigned>())};
    std::uint64_t incarnation = 0;
    for (std::size_t i = 0; i < daemons; ++i) {
      cell.lists[i].emplace(Member(i, ++incarnation));
    }
    for (int change = *rc::gen::inRange(0, 8); change > 0; --change) {
      auto& list = cell.lists[*rc::gen::inRange<std::size_t>(0, daemons)];
      if (*rc::gen::arbitrary<bool>()) {
        list.reset();
      } else {  // a restart, right after a kill or later
        list.emplace(Member(static_cast<std::size_t>(&list - cell.lists.data()), ++incarnation));
      }
      for (int step = *rc::gen::inRange(0, 6); step > 0; --step) {
        cell.Step();
      }
    }
    cell.loss_percent = 0;
    // A dead daemon stays live for 1.6 s at those that received its heartbeats, and for one exchange more at those
    // that got it from received lists.
    for (int step = 0; step < 10; ++step) {
      cell.Step();
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      RC_ASSERT((!cell.lists[i] || cell.ListsExactlyTheLive(i)));
    }
  }));
}

// Guards against a reply that arrives after a newer one and brings a dead member back, and against list versions of a
// previous run that hide the list of a restarted daemon.
TEST(MemberList, OlderRepliesAreIgnored) {
  const TimePoint now{std::chrono::hours(1)};
  MemberList list(Member(0, 1));
  list.Receive(Reply(Member(1, 1), 5, false), now);
  list.Receive(Reply(Member(1, 1), 4, true), now);
  LONGS_EQUAL(1, list.LivePeers(now).size());
  list.Receive(Reply(Member(1, 2), 1, true), now);
  LONGS_EQUAL(2, list.LivePeers(now).size());
  LONGS_EQUAL(2, list.MakeHeartbeat(AddressOf(1)).known_incarnation());
}

}  // namespace pimentomoor
