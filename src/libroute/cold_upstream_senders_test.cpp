// Tests of the division of a cold upstream's rate among daemons that disagree on which daemons are alive.
#include "pimentomoor/cold_upstream_senders.h"

#include <algorithm>
#include <numeric>

#include "pimentomoor/shared_budget.h"
#include "pimentomoor/upstream_subset.h"
#include "property.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

constexpr Duration kStepLength = std::chrono::milliseconds(100);
constexpr int kHistorySteps = 300;
constexpr int kStepsPerSecond = 10;
constexpr int kDiscoverySteps = 4;  // steps from the start of a daemon until it and the others hear each other
constexpr int kAliveSteps = 15;     // steps without a heartbeat after which a daemon counts as dead
// Defaults of ColdUpstreamSettings: slack 5 and rate_factor 1.5, each times safety 0.7.
constexpr double kSafeSlack = 3.5;
constexpr double kSafeRateFactor = 1.05;
constexpr TimePoint kStart{std::chrono::hours(1)};

struct Daemon {
  std::string name;
  bool alive = true;
  int partition = 0;          // daemons in different partitions do not hear each other
  int started = -1'000;       // step of the start
  std::vector<int> heard_at;  // step at which each daemon was last heard
  ColdUpstreamSenders cold_senders;
  ColdRateLimiter limiter;
};

struct Event {
  int step;
  enum Kind { kPartition, kHeal, kKill, kStart } kind;
  std::vector<int> partitions;  // for kPartition: the partition of each daemon
  std::size_t daemon = 0;       // for kKill and kStart
};

// Generates random events. Daemons restart only while all daemons hear each other, because a daemon that starts in
// another partition knows none of the others.
std::vector<Event> GenEvents(std::size_t daemons) {
  std::vector<Event> events;
  for (int step = 20; step < kHistorySteps; step += *rc::gen::inRange(20, 90)) {
    if (*rc::gen::arbitrary<bool>()) {
      events.push_back(
          {step, Event::kPartition, *rc::gen::container<std::vector<int>>(daemons, rc::gen::inRange(0, 4))});
      step += *rc::gen::inRange(1, 120);
      events.push_back({step, Event::kHeal});
    } else {
      const auto daemon = *rc::gen::inRange<std::size_t>(0, daemons);
      events.push_back({step, Event::kKill, {}, daemon});
      step += *rc::gen::inRange(10, 40);
      events.push_back({step, Event::kStart, {}, daemon});
    }
  }
  return events;
}

void Apply(const Event& event, std::vector<Daemon>& daemons) {
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    if (event.kind == Event::kPartition || event.kind == Event::kHeal) {
      daemons[i].partition = event.kind == Event::kPartition ? event.partitions[i] : 0;
    }
  }
  Daemon& daemon = daemons[event.daemon];
  if (event.kind == Event::kKill) {
    daemon.alive = false;
  } else if (event.kind == Event::kStart) {
    daemon = {.name = daemon.name, .started = event.step, .heard_at = std::vector<int>(daemons.size(), -1'000)};
  }
}

// Largest number of requests above the bound (rate * 1.5 + 5) in any second; at most 0 when the bound holds.
double MaxExcess(std::vector<Daemon> daemons, const std::vector<Event>& events, const std::vector<bool>& bursts,
                 double rate, bool naive) {
  std::vector<double> sent(kHistorySteps);
  for (int step = 0; step < kHistorySteps; ++step) {
    const TimePoint now = kStart + step * kStepLength;
    for (const auto& event : events) {
      if (event.step == step) {
        Apply(event, daemons);
      }
    }
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      Daemon& self = daemons[i];
      std::vector<std::string> alive_others;
      for (std::size_t j = 0; j < daemons.size(); ++j) {
        const Daemon& other = daemons[j];
        if (i != j && other.alive && other.partition == self.partition &&
            step - std::max(self.started, other.started) >= kDiscoverySteps) {
          self.heard_at[j] = step;
        }
        if (i != j && step - self.heard_at[j] < kAliveSteps) {
          alive_others.push_back(other.name);
        }
      }
      self.cold_senders.RecordLiveDaemons(alive_others, now);
      std::size_t senders = self.cold_senders.SenderCount("searcher", self.name, kSafeSlack);
      if (naive) {  // chooses among the daemons that `self` takes to be alive
        senders = ColdSenderCount(kSafeSlack, alive_others.size() + 1);
        senders = DaemonPosition("searcher", self.name, alive_others) < senders ? senders : 0;
      }
      while (self.alive && step - self.started > kDiscoverySteps && senders > 0 &&
             bursts[static_cast<std::size_t>(step)] &&
             self.limiter.TryTake(now, rate * kSafeRateFactor, kSafeSlack, senders)) {
        sent[static_cast<std::size_t>(step)] += 1;
      }
    }
  }
  double max_excess = -rate;
  for (auto first = sent.begin(); first + kStepsPerSecond <= sent.end(); ++first) {
    max_excess = std::max(max_excess, std::accumulate(first, first + kStepsPerSecond, 0.0) - rate * 1.5 - 5);
  }
  return max_excess;
}

}  // namespace

TEST_GROUP(ColdUpstreamSenders){};

// Guards against a cold upstream that gets a multiple of its rate, because daemons that are partitioned from each
// other all count themselves among its senders, while daemons are partitioned, killed and restarted.
TEST(ColdUpstreamSenders, RateHoldsWhileDaemonsDisagreeOnWhoIsAlive) {
  int naive_violations = 0;
  CHECK(CheckProperty(500, "cold searcher of daemons with different views", [&] {
    std::vector<Daemon> daemons(*rc::gen::inRange<std::size_t>(2, 13));
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      daemons[i].name = "10.0.0." + std::to_string(i) + ":8104";
      daemons[i].heard_at.assign(daemons.size(), -1);
    }
    const double rate = *rc::gen::inRange(1, 40);
    const auto events = GenEvents(daemons.size());
    std::vector<bool> bursts(kHistorySteps);
    for (int step = 0; step < kHistorySteps; step += *rc::gen::inRange(1, 8)) {
      bursts[static_cast<std::size_t>(step)] = true;
    }
    naive_violations += MaxExcess(daemons, events, bursts, rate, true) > 0 ? 1 : 0;
    RC_ASSERT(MaxExcess(daemons, events, bursts, rate, false) <= 0);
  }));
  CHECK(naive_violations > 50);
}

// Guards against a cold upstream that no daemon may send to, and against a rate that is divided among daemons that
// have been gone for more than 15 minutes.
TEST(ColdUpstreamSenders, ThreeOfTheDaemonsSendAndOldOnesAreForgotten) {
  const std::vector<std::string> names{"d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"};
  std::size_t senders = 0;
  for (const auto& self : names) {
    std::vector<std::string> others = names;
    std::erase(others, self);
    ColdUpstreamSenders daemons;
    CHECK_EQUAL(1U, daemons.SenderCount("searcher", self, kSafeSlack));  // no other daemon is known
    daemons.RecordLiveDaemons(others, kStart);
    daemons.RecordLiveDaemons({}, kStart + std::chrono::minutes(14));
    senders += daemons.SenderCount("searcher", self, kSafeSlack) == 3 ? 1 : 0;
    daemons.RecordLiveDaemons({}, kStart + std::chrono::minutes(16));
    CHECK_EQUAL(1U, daemons.SenderCount("searcher", self, kSafeSlack));
  }
  CHECK_EQUAL(3U, senders);
}

}  // namespace pimentomoor
