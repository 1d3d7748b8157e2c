// Tests of the division of a cold searcher's rate among daemons that disagree on who is alive.
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

constexpr Duration kStep = std::chrono::milliseconds(100);
constexpr int kSteps = 300;
constexpr int kStepsOfASecond = 10;
constexpr int kHeardAfter = 4;    // steps after its start
constexpr int kAliveFor = 15;     // steps without a heartbeat
constexpr double kSlack = 3.5;    // 0.7 of 5, as UpstreamSet calls it
constexpr double kFactor = 1.05;  // 0.7 of 1.5
constexpr TimePoint kStart{std::chrono::hours(1)};

struct Daemon {
  std::string name;
  bool alive = true;
  int group = 0;  // daemons of different groups do not hear each other
  int started = -1'000;
  std::vector<int> heard_at;  // steps, by daemon
  ColdUpstreamSenders known;
  ColdRateLimiter allowance;
};

struct Event {
  int step;
  enum Kind { kCut, kHeal, kKill, kStart } kind;
  std::vector<int> groups;  // of kCut
  std::size_t daemon = 0;
};

// Restarts happen only while all daemons hear each other: one that starts cut off knows none of the others.
std::vector<Event> GenEvents(std::size_t daemons) {
  std::vector<Event> events;
  for (int step = 20; step < kSteps; step += *rc::gen::inRange(20, 90)) {
    if (*rc::gen::arbitrary<bool>()) {
      events.push_back({step, Event::kCut, *rc::gen::container<std::vector<int>>(daemons, rc::gen::inRange(0, 4))});
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
    if (event.kind == Event::kCut || event.kind == Event::kHeal) {
      daemons[i].group = event.kind == Event::kCut ? event.groups[i] : 0;
    }
  }
  Daemon& daemon = daemons[event.daemon];
  if (event.kind == Event::kKill) {
    daemon.alive = false;
  } else if (event.kind == Event::kStart) {
    daemon = {.name = daemon.name, .started = event.step, .heard_at = std::vector<int>(daemons.size(), -1'000)};
  }
}

// The largest excess over the bound in any second; at most 0 when it holds.
double WorstExcess(std::vector<Daemon> daemons, const std::vector<Event>& events, const std::vector<bool>& bursts,
                   double rate, bool naive) {
  std::vector<double> sent(kSteps);
  for (int step = 0; step < kSteps; ++step) {
    const TimePoint now = kStart + step * kStep;
    for (const auto& event : events) {
      if (event.step == step) {
        Apply(event, daemons);
      }
    }
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      Daemon& self = daemons[i];
      std::vector<std::string> view;
      for (std::size_t j = 0; j < daemons.size(); ++j) {
        const Daemon& other = daemons[j];
        if (i != j && other.alive && other.group == self.group &&
            step - std::max(self.started, other.started) >= kHeardAfter) {
          self.heard_at[j] = step;
        }
        if (i != j && step - self.heard_at[j] < kAliveFor) {
          view.push_back(other.name);
        }
      }
      self.known.RecordLiveDaemons(view, now);
      std::size_t senders = self.known.SenderCount("searcher", self.name, kSlack);
      if (naive) {  // among the daemons that are alive in its own view
        senders = ColdSenderCount(kSlack, view.size() + 1);
        senders = DaemonPosition("searcher", self.name, view) < senders ? senders : 0;
      }
      while (self.alive && step - self.started > kHeardAfter && senders > 0 &&
             bursts[static_cast<std::size_t>(step)] && self.allowance.TryTake(now, rate * kFactor, kSlack, senders)) {
        sent[static_cast<std::size_t>(step)] += 1;
      }
    }
  }
  double worst = -rate;
  for (auto first = sent.begin(); first + kStepsOfASecond <= sent.end(); ++first) {
    worst = std::max(worst, std::accumulate(first, first + kStepsOfASecond, 0.0) - rate * 1.5 - 5);
  }
  return worst;
}

}  // namespace

TEST_GROUP(ColdUpstreamSenders){};

// Guards against a cold searcher that gets its rate several times, from daemons that are cut off from each other and
// that each take themselves for its senders, through cuts, ends and restarts.
TEST(ColdUpstreamSenders, RateHoldsWhileDaemonsDisagreeOnWhoIsAlive) {
  int naive_exceeded = 0;
  CHECK(CheckProperty(500, "cold searcher of daemons with different views", [&] {
    std::vector<Daemon> daemons(*rc::gen::inRange<std::size_t>(2, 13));
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      daemons[i].name = "10.0.0." + std::to_string(i) + ":8104";
      daemons[i].heard_at.assign(daemons.size(), -1);
    }
    const double rate = *rc::gen::inRange(1, 40);
    const auto events = GenEvents(daemons.size());
    std::vector<bool> bursts(kSteps);
    for (int step = 0; step < kSteps; step += *rc::gen::inRange(1, 8)) {
      bursts[static_cast<std::size_t>(step)] = true;
    }
    naive_exceeded += WorstExcess(daemons, events, bursts, rate, true) > 0 ? 1 : 0;
    RC_ASSERT(WorstExcess(daemons, events, bursts, rate, false) <= 0);
  }));
  CHECK(naive_exceeded > 50);
}

// Guards against a cold searcher that no daemon may send to, and against a rate that is divided among daemons that
// are gone for good.
TEST(ColdUpstreamSenders, ThreeOfTheDaemonsSendAndOldOnesAreForgotten) {
  const std::vector<std::string> names{"d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"};
  std::size_t senders = 0;
  for (const auto& self : names) {
    std::vector<std::string> others = names;
    std::erase(others, self);
    ColdUpstreamSenders daemons;
    CHECK_EQUAL(1U, daemons.SenderCount("searcher", self, kSlack));  // alone
    daemons.RecordLiveDaemons(others, kStart);
    daemons.RecordLiveDaemons({}, kStart + std::chrono::minutes(14));
    senders += daemons.SenderCount("searcher", self, kSlack) == 3 ? 1 : 0;
    daemons.RecordLiveDaemons({}, kStart + std::chrono::minutes(16));
    CHECK_EQUAL(1U, daemons.SenderCount("searcher", self, kSlack));
  }
  CHECK_EQUAL(3U, senders);
}

}  // namespace pimentomoor
