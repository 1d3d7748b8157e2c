// Tests of the host list task with several daemons in one process. Messages between them are passed in memory, and
// the fleet is replaced by hooks.
#include "pimentomoor/host_list_task.h"

#include <algorithm>
#include <set>

#include "standin_platform.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = 6;

std::string HostListJson(int leaving_port) {
  std::string hosts;
  for (int port = 1; port <= 4; ++port) {
    hosts += std::string(hosts.empty() ? "" : ",") + R"({"address":"127.0.0.1:)" + std::to_string(port) +
             R"(","failure_domain":"a","state":")" + (port == leaving_port ? "leaving" : "live") + "\"}";
  }
  return "{\"hosts\":[" + hosts + "]}";
}

}  // namespace

TEST_GROUP(HostListTask) {
  struct Node {
    proto::Daemon self;
    Metrics metrics;
    std::unique_ptr<HostListTask> task;
    bool member = true;
    bool silent = false;  // sends and receives nothing, but still counts as live
  };

  ManualClock clock;
  EventLoop loop{clock};
  HttpClient http{loop};
  StandinPlatform platform{loop, {}};
  StandinPlatform unreachable_platform{loop, {}};  // refuses every call
  std::vector<std::unique_ptr<Node>> nodes;
  std::set<std::string> pollers;
  std::function<void(proto::Envelope&)> alter_message;  // changes messages between daemons, when set

  void setup() override {
    platform.SetHostList(HostListJson(0));
    unreachable_platform.SetFaults({.outage = PlatformOutage::kRefuse});
    for (std::size_t i = 0; i < kDaemons; ++i) {
      auto node = std::make_unique<Node>();
      node->self.set_host("entry-" + std::to_string(i + 1));
      node->self.set_peer_address("peer-" + std::to_string(i + 1));
      node->self.set_incarnation(i + 1);
      nodes.push_back(std::move(node));
    }
    std::vector<std::string> hosts;
    for (const proto::Daemon& member : Members()) {
      hosts.push_back(member.host());
    }
    for (const std::string& poller : ChooseHostListPollers(hosts)) {
      pollers.insert(poller);
    }
  }

  void teardown() override {
    for (const auto& node : nodes) {
      node->task.reset();
    }
  }

  std::vector<proto::Daemon> Members() const {
    std::vector<proto::Daemon> members;
    for (const auto& node : nodes) {
      if (node->member) {
        members.push_back(node->self);
      }
    }
    return members;
  }

  void StartAll(bool everyone_polls = false) {
    for (const auto& node : nodes) {
      StartOne(*node, platform, everyone_polls);
    }
  }

  void StartOne(Node & node, const StandinPlatform& node_platform, bool everyone_polls = false) {
    HostListTaskHooks hooks;
    hooks.own_incarnation = [&node] { return node.self.incarnation(); };
    hooks.joined = [&node] { return node.member; };
    hooks.live_members = [this] { return Members(); };
    hooks.find_member = [this](std::uint64_t incarnation) -> const proto::Daemon* {
      const bool known = incarnation >= 1 && incarnation <= nodes.size() && nodes[incarnation - 1]->member;
      return known ? &nodes[incarnation - 1]->self : nullptr;
    };
    hooks.send = [this, &node](const std::string& address, proto::Envelope message) {
      Node& target = *nodes[std::stoul(address.substr(5)) - 1];
      if (node.silent || target.silent || !target.task) {
        return !node.silent;
      }
      if (alter_message) {
        alter_message(message);
      }
      loop.Post([&target, message] { target.task->HandleMessage(message); });
      return true;
    };
    hooks.on_list_changed = [](const HostList&) {};
    node.task = std::make_unique<HostListTask>(
        loop, http, node.metrics,
        HostListTaskOptions{.client = {.endpoints = {node_platform.address()}}, .everyone_polls = everyone_polls},
        std::move(hooks));
  }

  // Advances the clock by 10 ms per turn, not by 1 ms as RunTurns() does: a call takes a few turns, and its timeout
  // is 100 turns.
  bool RunUntil(const std::function<bool()>& done, Duration limit) {
    const TimePoint end = clock.Now() + limit;
    while (!done() && clock.Now() < end) {
      loop.RunOnce(milliseconds(1));
      clock.Advance(milliseconds(10));
    }
    return done();
  }

  void RunFor(Duration time) {
    RunUntil([] { return false; }, time);
  }

  bool AllListAsLeaving(int leaving_port, Duration limit) {
    return RunUntil(
        [&] {
          return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
            const ListedHost* host = node->task->list()
                                         ? FindHost(*node->task->list(), "127.0.0.1:" + std::to_string(leaving_port))
                                         : nullptr;
            return node->silent || (host != nullptr && host->state == HostState::kLeaving);
          });
        },
        limit);
  }

  std::uint64_t RelayCount(const std::string& result) const {
    std::uint64_t sum = 0;
    for (const auto& node : nodes) {
      sum += node->metrics.counter("pimentomoor_host_list_relays_total", "result=\"" + result + "\"");
    }
    return sum;
  }
};

// Guards against polls by all daemons, which at the target size exceed the number of reads that the platform allows.
// The naive policy, in which all daemons poll, is run for the same time as a comparison.
TEST(HostListTask, TwoMembersPollForAll) {
  StartAll();
  RunFor(seconds(5));
  const std::uint64_t before = platform.calls().hosts;
  RunFor(seconds(10));
  const std::uint64_t polls = platform.calls().hosts - before;
  CHECK(polls >= 18 && polls <= 20);
  for (const auto& node : nodes) {
    CHECK_EQUAL(pollers.contains(node->self.host()), node->task->polling());
    CHECK_EQUAL(pollers.contains(node->self.host()), node->task->source() == "platform");
  }
  platform.SetHostList(HostListJson(2));
  CHECK_TRUE(AllListAsLeaving(2, milliseconds(2'500)));
  LONGS_EQUAL(0, RelayCount("malformed") + RelayCount("refused") + RelayCount("too_large"));
  StartAll(true);
  RunFor(milliseconds(500));
  const std::uint64_t naive_before = platform.calls().hosts;
  RunFor(seconds(10));
  CHECK(platform.calls().hosts - naive_before >= 9 * kDaemons);
}

// Guards against daemons that keep an old list while both pollers are silent but still count as live.
TEST(HostListTask, DaemonsPollWhenBothPollersAreSilent) {
  StartAll();
  RunFor(seconds(5));
  for (const auto& node : nodes) {
    node->silent = pollers.contains(node->self.host());
  }
  platform.SetHostList(HostListJson(3));
  CHECK_TRUE(AllListAsLeaving(3, kHostListMaxUnconfirmed + seconds(1)));
  for (const auto& node : nodes) {
    node->silent = false;
  }
  RunFor(seconds(6));
  for (const auto& node : nodes) {
    CHECK_EQUAL(pollers.contains(node->self.host()), node->task->polling());
  }
}

// Guards against an old list that is kept by a poller that does not reach the platform, or by the daemons that ask
// it.
TEST(HostListTask, PollerThatIsCutOffGetsTheListOfTheOther) {
  for (const auto& node : nodes) {
    StartOne(*node, node->self.host() == *pollers.begin() ? unreachable_platform : platform);
  }
  RunFor(seconds(5));
  platform.SetHostList(HostListJson(4));
  CHECK_TRUE(AllListAsLeaving(4, seconds(4)));
  CHECK(RelayCount("taken") >= kDaemons - 2);
}

// Guards against a daemon without a host list because it is not a member of the view yet: it must poll itself.
TEST(HostListTask, DaemonOutsideTheViewPolls) {
  nodes[0]->member = false;
  StartAll();
  RunFor(seconds(5));
  CHECK_TRUE(nodes[0]->task->polling());
  nodes[0]->member = true;
  RunFor(seconds(5));
  CHECK_EQUAL(pollers.contains("entry-1"), nodes[0]->task->polling());
}

// Guards against a malformed relay that is applied or ends the daemon. Malformed relays must be counted, and the
// daemons must poll the platform instead.
TEST(HostListTask, MalformedRelaysAreIgnored) {
  StartAll();
  RunFor(seconds(5));
  alter_message = [](proto::Envelope& message) {
    if (message.has_host_list_relay()) {
      proto::HostListRelay& relay = *message.mutable_host_list_relay();
      relay.set_digest(relay.digest() + 1);
      relay.add_hosts()->set_address("no address");
    }
  };
  platform.SetHostList(HostListJson(1));
  CHECK_TRUE(AllListAsLeaving(1, kHostListMaxUnconfirmed + seconds(2)));
  CHECK(RelayCount("malformed") >= kDaemons - 2);
  for (const auto& node : nodes) {
    LONGS_EQUAL(4, node->task->list()->hosts.size());
    CHECK_EQUAL(std::string("platform"), node->task->source());
  }
  const std::uint64_t before = RelayCount("refused");
  proto::Envelope stranger;
  stranger.mutable_from()->set_incarnation(99);
  stranger.mutable_host_list_relay()->set_request_id(1);
  nodes[0]->task->HandleMessage(stranger);
  stranger.mutable_host_list_request()->set_id(1);
  nodes[0]->task->HandleMessage(stranger);
  LONGS_EQUAL(before + 2, RelayCount("refused"));
}

}  // namespace pimentomoor
