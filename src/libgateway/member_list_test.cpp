// Tests of the member list: daemons that exchange heartbeats over a network that loses, repeats and reorders them.
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

// Daemons that send heartbeats to their targets and, as seeds, to the first two addresses.
struct SimulatedCell {
  std::vector<std::optional<MemberList>> lists;
  int loss_percent;
  std::mt19937 random;
  std::vector<std::pair<std::size_t, proto::GatewayHeartbeat>> late_replies;
  TimePoint now{std::chrono::hours(1)};

  bool Lost() { return static_cast<int>(random() % 100) < loss_percent; }

  // One heartbeat of every daemon; replies arrive in a random order, some of them in the next step.
  void Step() {
    now += std::chrono::milliseconds(400);
    auto replies = std::exchange(late_replies, {});
    for (std::size_t from = 0; from < lists.size(); ++from) {
      const auto targets = lists[from] ? lists[from]->HeartbeatTargets(now) : std::vector<std::string>{};
      for (std::size_t to = 0; to < lists.size(); ++to) {
        if (!lists[from] || (to >= 2 && std::ranges::find(targets, AddressOf(to)) == targets.end())) {
          continue;
        }
        const proto::GatewayHeartbeat heartbeat = lists[from]->MakeHeartbeat(AddressOf(to));
        if (!Lost() && lists[to] && lists[to]->Receive(heartbeat, now)) {
          (random() % 4 == 0 ? late_replies : replies).emplace_back(from, lists[to]->MakeReply(heartbeat, now));
        }
      }
    }
    std::ranges::shuffle(replies, random);
    for (const auto& [to, reply] : replies) {
      if (!Lost() && lists[to]) {
        lists[to]->Receive(reply, now);
      }
    }
  }

  // Whether the daemon lists exactly the other living daemons, in their current incarnations.
  [[nodiscard]] bool ListsTheLiving(std::size_t index) const {
    std::vector<std::uint64_t> listed;
    std::vector<std::uint64_t> living;
    for (const auto& member : lists[index]->LivePeers(now)) {
      listed.push_back(member.incarnation());
    }
    for (std::size_t i = 0; i < lists.size(); ++i) {
      if (i != index && lists[i]) {
        living.push_back(lists[i]->self().incarnation());
      }
    }
    return listed == living;
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

// Guards against a dead daemon that stays in the directory and in the sets of senders, a living one that is missing,
// and one that is listed with the incarnation of its predecessor.
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
      } else {  // at once, or after a kill
        list.emplace(Member(static_cast<std::size_t>(&list - cell.lists.data()), ++incarnation));
      }
      for (int step = *rc::gen::inRange(0, 6); step > 0; --step) {
        cell.Step();
      }
    }
    cell.loss_percent = 0;
    // A dead daemon is heard for 1.6 s, and by those that others told for one exchange more.
    for (int step = 0; step < 10; ++step) {
      cell.Step();
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      RC_ASSERT((!cell.lists[i] || cell.ListsTheLiving(i)));
    }
  }));
}

// Guards against a reply that was overtaken by a newer one and brings a dead member back, and against versions of a
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
