// Tests of the choice of pollers, the comparison of host lists, and the relays between daemons.
#include "pimentomoor/host_list_relay.h"

#include <algorithm>
#include <set>

#include "pimentomoor/strict_yaml.h"
#include "property.h"

// Last, because its macros redefine new.
// clang-format off
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

HostList RandomList() {
  HostList list;
  for (int port = 1; port <= 6; ++port) {
    if (*rc::gen::inRange(0, 4) != 0) {
      list.hosts.push_back({.address = "127.0.0.1:" + std::to_string(port),
                            .failure_domain = *rc::gen::element<std::string>("a", "b"),
                            .state = *rc::gen::element(HostState::kLive, HostState::kLeaving)});
    }
  }
  return list;
}

bool Refuses(const HostListHistory& log, const proto::HostListRelay& relay) {
  try {
    (void)log.Apply(relay);
    return false;
  } catch (const ConfigError&) {
    return true;
  }
}

// Host list that arrives at this daemon.
struct Arrival {
  HostListReadTime read_time;
  TimePoint read_at;  // when the poller really read the list from the platform
  std::uint64_t digest = 0;
};

// Lists from two pollers and from polls by this daemon. The list on the platform alternates between three values, and
// messages take random times.
std::vector<Arrival> RandomArrivals() {
  std::vector<Arrival> arrivals;
  const auto count = *rc::gen::inRange(1, 30);
  const auto change_interval = *rc::gen::inRange(1, 20);
  for (int i = 0; i < count; ++i) {
    const int requested = *rc::gen::inRange(0, 100);
    const int read = requested + *rc::gen::inRange(0, 20);
    const int arrived = read + *rc::gen::inRange(0, 40);
    arrivals.push_back({.read_time = {.source = *rc::gen::inRange<std::uint64_t>(1, 4),
                                      .not_before = kStart + milliseconds(requested),
                                      .not_after = kStart + milliseconds(arrived)},
                        .read_at = kStart + milliseconds(read),
                        .digest = static_cast<std::uint64_t>(read / change_interval % 3 + 1)});
  }
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& a, const Arrival& b) { return a.read_time.not_after < b.read_time.not_after; });
  return arrivals;
}

}  // namespace

TEST_GROUP(HostListRelay){};

// Guards against a list of one poller that is replaced by an older list of the other. The naive rule, which takes the
// last list that arrived, must fail in some of the cases: otherwise the cases would prove nothing.
TEST(HostListRelay, AListIsNeverReplacedByAnOlderOne) {
  int naive_failures = 0;
  CHECK(CheckProperty(2'000, "no older list", [&] {
    std::optional<std::uint64_t> held;
    HostListReadTime read_time;
    TimePoint shown{};  // newest time at which the platform is known to have shown the held list
    TimePoint naive_shown{};
    for (const Arrival& arrival : RandomArrivals()) {
      naive_failures += arrival.read_at < naive_shown ? 1 : 0;
      naive_shown = arrival.read_at;
      const HostListDecision decision = DecideOnHostList(held, read_time, arrival.digest, arrival.read_time);
      RC_ASSERT((decision == HostListDecision::kConfirmed) == (held == arrival.digest));
      if (decision == HostListDecision::kTaken) {
        RC_ASSERT(arrival.read_at >= shown);
        held = arrival.digest;
      }
      if (decision != HostListDecision::kNotNewer) {
        shown = std::max(shown, arrival.read_at);
        RC_ASSERT(read_time.not_before <= shown && read_time.not_after >= shown);
      }
    }
  }));
  CHECK(naive_failures > 1'000);
}

// Guards against a daemon that keeps an old list although it could poll the platform, and against polls that relays
// make needless. The naive daemon polls once a second. In the model, a relay arrives once a second while a poller
// works, and shows the list at the time of the request, which was sent when the previous relay arrived.
TEST(HostListRelay, ADaemonWithoutRelaysPollsItself) {
  CHECK(CheckProperty(500, "fallback", [] {
    constexpr Duration kStep = milliseconds(250);
    const auto plan = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(1, 60), rc::gen::arbitrary<bool>()));
    std::optional<TimePoint> confirmed;
    std::optional<TimePoint> last_poll;
    TimePoint requested = kStart;
    TimePoint now = kStart;
    int polls = 0;
    int naive_polls = 0;
    int relays_lost = 0;  // number of steps without a working poller
    for (const auto& [steps, works] : plan) {
      for (int i = 0; i < steps; ++i, now += kStep) {
        naive_polls += (now - kStart) % seconds(1) == Duration::zero() ? 1 : 0;
        relays_lost += works ? 0 : 1;
        if (works && now - requested >= seconds(1)) {
          confirmed = std::max(confirmed.value_or(requested), requested);
          requested = now;
        }
        const HostListRole role{.member = true, .confirmed_at = confirmed};
        if (ShouldPollHostList(role, now) && (!last_poll || now - *last_poll >= seconds(1))) {
          ++polls;
          confirmed = last_poll = now;
        }
        RC_ASSERT(now - *confirmed <= kHostListMaxUnconfirmed + kStep);
        RC_ASSERT(ShouldPollHostList({.member = false, .confirmed_at = confirmed}, now));
        RC_ASSERT(ShouldPollHostList({.member = true, .poller = true, .confirmed_at = confirmed}, now));
        RC_ASSERT(ShouldPollHostList({.everyone_polls = true, .member = true, .confirmed_at = confirmed}, now));
      }
    }
    RC_ASSERT(polls <= naive_polls);
    // A relay shows the list as it was up to 1 s before, and the next relay is due 1 s later: a list gets too old for
    // a poll only after relays have been lost for 2 s.
    RC_ASSERT(polls <= 1 + relays_lost * kStep / seconds(2));
  }));
}

// Guards against an upstream that gets no work, and a member that counts as gone, because the host list lags and
// doesn't show them yet. The reference keeps all lists. The naive rule, by which an absent host is gone, must give
// different results.
TEST(HostListRelay, AnAddressThatWasNeverShownIsNewAndNotGone) {
  int naive_failures = 0;
  CHECK(CheckProperty(500, "presence", [&] {
    std::set<std::string> shown;
    std::vector<HostList> lists;
    for (int i = 0, count = *rc::gen::inRange(1, 5); i < count; ++i) {
      lists.push_back(RandomList());
      for (const ListedHost& host : lists.back().hosts) {
        shown.insert(host.address);
      }
    }
    for (int port = 1; port <= 7; ++port) {
      const std::string address = "127.0.0.1:" + std::to_string(port);
      const HostPresence presence = FindHostPresence(lists.back(), shown, address);
      const ListedHost* listed = FindHost(lists.back(), address);
      const bool ever = std::any_of(lists.begin(), lists.end(),
                                    [&](const HostList& list) { return FindHost(list, address) != nullptr; });
      RC_ASSERT((presence == HostPresence::kNotListedYet) == !ever);
      RC_ASSERT((presence == HostPresence::kNoLongerListed) == (ever && listed == nullptr));
      if (listed != nullptr) {
        RC_ASSERT((presence == HostPresence::kLeaving) == (listed->state == HostState::kLeaving));
      }
      naive_failures += listed == nullptr && presence != HostPresence::kNoLongerListed ? 1 : 0;
    }
  }));
  CHECK(naive_failures >= 500);  // port 7 is in no list
}

// Guards against members that choose different pollers, and against a choice that changes when a daemon leaves that
// is no poller.
TEST(HostListRelay, TwoPollersAreChosenByAll) {
  CHECK(CheckProperty(500, "pollers", [] {
    std::vector<std::string> hosts;
    for (int i = 0, count = *rc::gen::inRange(0, 33); i < count; ++i) {
      hosts.push_back("entry-" + std::to_string(i));
    }
    const std::vector<std::string> pollers = ChooseHostListPollers(hosts);
    RC_ASSERT(pollers.size() == std::min<std::size_t>(2, hosts.size()));
    std::reverse(hosts.begin(), hosts.end());
    RC_ASSERT(ChooseHostListPollers(hosts) == pollers);
    std::erase_if(hosts, [&](const std::string& host) { return host != pollers[0] && host.back() != '1'; });
    if (!hosts.empty()) {
      RC_ASSERT(ChooseHostListPollers(hosts).front() == pollers.front());
    }
  }));
}

// Guards against differences that don't turn an earlier list into the newest one.
TEST(HostListRelay, DifferencesLeadToTheNewestList) {
  CHECK(CheckProperty(500, "differences", [] {
    HostListHistory sender;
    std::vector<HostList> lists;
    for (int i = 0, count = *rc::gen::inRange(1, 8); i < count; ++i) {
      lists.push_back(RandomList());
      if (const std::uint64_t digest = HostListDigest(lists.back()); sender.digest() != digest) {
        sender.Replace(lists.back(), digest);
      }
    }
    lists.push_back({.hosts = {{.address = "127.0.0.1:9", .failure_domain = "c"}}});  // unknown to the sender
    for (const HostList& list : lists) {
      HostListHistory receiver;
      receiver.Replace(list, HostListDigest(list));
      proto::HostListRelay relay;
      RC_ASSERT(sender.FillRelay(receiver.digest(), relay));
      RC_ASSERT(relay.whole() == (&list == &lists.back()));
      RC_ASSERT(receiver.Apply(relay) == *sender.list());
      if (receiver.digest() == sender.digest()) {
        RC_ASSERT(relay.ByteSizeLong() <= 9U);
      }
      relay.set_digest(relay.digest() + 1);
      RC_ASSERT(Refuses(receiver, relay));
    }
  }));
}

// Guards against accepting hosts in a relay that would be refused in the platform's answer, and against relays of
// unlimited size.
TEST(HostListRelay, RelaysAreCheckedAsThePlatformsAnswer) {
  HostListHistory log;
  const HostList held{.hosts = {{.address = "127.0.0.1:1", .failure_domain = "a"}}};
  log.Replace(held, HostListDigest(held));
  const auto refuses = [&](const std::vector<std::pair<std::string, std::string>>& hosts, bool whole) {
    proto::HostListRelay relay;
    HostList list = whole ? HostList{} : held;
    for (const auto& [address, failure_domain] : hosts) {
      proto::ListedHost* host = relay.add_hosts();
      host->set_address(address);
      host->set_failure_domain(failure_domain);
      list.hosts.push_back({.address = address, .failure_domain = failure_domain});
    }
    relay.set_whole(whole);
    relay.set_digest(HostListDigest(list));
    return Refuses(log, relay);
  };
  for (const bool whole : {false, true}) {
    CHECK_FALSE(refuses({{"127.0.0.1:2", "b"}}, whole));
    CHECK_TRUE(refuses({{"entry-1", "b"}}, whole));
    CHECK_TRUE(refuses({{"127.0.0.1:0", "b"}, {"", "b"}}, whole));
    CHECK_TRUE(refuses({{"127.0.0.1:2", ""}}, whole));
    CHECK_TRUE(refuses({{"127.0.0.1:2", "b\n"}}, whole));
    CHECK_TRUE(refuses({{"127.0.0.1:2", std::string(129, 'b')}}, whole));
    CHECK_TRUE(refuses({{"127.0.0.1:2", "b"}, {"127.0.0.1:2", "c"}}, whole));
  }
  HostList large;
  for (int i = 0; i < 20'000; ++i) {
    large.hosts.push_back({.address = "127.0.0.1:" + std::to_string(10'000 + i), .failure_domain = "a"});
  }
  log.Replace(large, HostListDigest(large));
  proto::HostListRelay relay;
  CHECK_FALSE(log.FillRelay(std::nullopt, relay));
}

}  // namespace pimentomoor
