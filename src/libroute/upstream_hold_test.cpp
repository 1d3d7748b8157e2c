// Tests of leaving and paused upstreams: the reading of pauses, what a refused caller is told, and simulated fleets
// of daemons that restart, are of different builds and get answers late.
#include "pimentomoor/upstream_hold.h"

#include <algorithm>
#include <limits>
#include <random>
#include <set>

#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// The rules of the platform; docs/platform.md, section 3.
constexpr Duration kDrainBound = milliseconds(3'000);
constexpr Duration kPauseReactionBound = milliseconds(500);
constexpr unsigned kRequestsInPauseBound = 2;

constexpr Duration kStep = milliseconds(50);
constexpr Duration kMaxLateness = milliseconds(1'500);

struct SimulatedUpstream {
  std::uint64_t start = 1;  // number of its lifetime
  bool leaving = false;
  TimePoint full_until{};  // it rejects requests until then and asks for a pause
  [[nodiscard]] LifetimeKey key(std::size_t index) const {
    return MakeLifetimeKey("u" + std::to_string(index), start);
  }
};

struct SimulatedDaemon {
  UpstreamHolds holds;
  bool exchanges_reports = true;                   // false: a daemon of a build that neither sends nor reads them
  unsigned run = 0;                                // number of its process
  std::map<LifetimeKey, TimePoint> heard_leaving;  // from an answer to this process
  // By lifetime: begin and end of each pause that this process was asked for, and the requests that arrived within.
  struct Pause {
    TimePoint begin;
    TimePoint end;
    unsigned arrivals = 0;
  };
  std::map<LifetimeKey, std::vector<Pause>> pauses;
};

// Daemons that send a request each step to upstreams whose answers arrive late, and exchange reports with one peer.
class HoldSimulation {
 public:
  HoldSimulation(std::size_t daemons, std::size_t old_daemons, std::uint32_t seed, bool naive)
      : random_(seed), settings_({.naive = naive}), upstreams_(4) {
    for (std::size_t i = 0; i < daemons; ++i) {
      daemons_.push_back({.holds = UpstreamHolds(settings_), .exchanges_reports = i >= old_daemons});
    }
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      ChangeUpstreams();
      DeliverAnswers();
      if (random_() % 60 == 0) {
        Restart(random_() % daemons_.size());
      }
      for (auto& daemon : daemons_) {
        daemon.holds.Expire(now_);
        Exchange(daemon, daemons_[random_() % daemons_.size()]);
        Send(daemon);
      }
    }
  }

  [[nodiscard]] bool broken() const { return broken_; }
  [[nodiscard]] unsigned served() const { return served_; }

 private:
  struct Answer {
    TimePoint arrives;
    std::size_t daemon, run;
    LifetimeKey key;
    UpstreamNotice notice;
  };

  void ChangeUpstreams() {
    SimulatedUpstream& upstream = upstreams_[random_() % upstreams_.size()];
    switch (random_() % 40) {
      case 0:
        upstream.leaving = true;
        break;
      case 1:
        upstream = {.start = upstream.start + 1};
        break;
      case 2:
        upstream.full_until = now_ + milliseconds(random_() % 4'000);
        break;
      default:
        break;
    }
  }

  // A daemon that starts takes all reports of a running one, as it takes the entries of the upstreams.
  void Restart(std::size_t index) {
    SimulatedDaemon& daemon = daemons_[index];
    daemon = {
        .holds = UpstreamHolds(settings_), .exchanges_reports = daemon.exchanges_reports, .run = daemon.run + 1};
    for (auto& peer : daemons_) {
      if (&peer != &daemon) {
        Exchange(peer, daemon);
      }
    }
  }

  void Exchange(const SimulatedDaemon& from, SimulatedDaemon& to) {
    if (&from == &to || !from.exchanges_reports || !to.exchanges_reports) {
      return;
    }
    for (const auto& report : from.holds.Reports(now_)) {
      to.holds.Merge(report, now_);
      // An upstream that this process knows of for longer than the bound must not be used again.
      known_by_exchange_.emplace(report.key, now_ - report.age);
    }
  }

  void Send(SimulatedDaemon& daemon) {
    std::vector<std::size_t> usable, last_resort;
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      const auto admission = AdmissionOf(daemon.holds.Find(upstreams_[i].key(i)), now_, settings_);
      if (admission != UpstreamAdmission::kNone) {
        (admission == UpstreamAdmission::kAll ? usable : last_resort).push_back(i);
      }
    }
    const auto& candidates = usable.empty() ? last_resort : usable;
    if (candidates.empty()) {
      return;
    }
    const std::size_t chosen = candidates[random_() % candidates.size()];
    const SimulatedUpstream& upstream = upstreams_[chosen];
    const LifetimeKey key = upstream.key(chosen);
    CheckArrival(daemon, key);
    UpstreamNotice notice{.leaving = upstream.leaving};
    if (now_ < upstream.full_until) {
      const double left = std::chrono::duration<double>(upstream.full_until - now_).count();
      notice = ReadNotice(503, upstream.leaving, std::to_string(left), settings_);
    } else {
      ++served_;
    }
    const Duration lateness =
        random_() % 10 == 0 ? milliseconds(random_() % (kMaxLateness / milliseconds(1))) : milliseconds(0);
    answers_.push_back({.arrives = now_ + lateness,
                        .daemon = static_cast<std::size_t>(&daemon - daemons_.data()),
                        .run = daemon.run,
                        .key = key,
                        .notice = notice});
  }

  void DeliverAnswers() {
    for (const auto& answer : answers_) {
      SimulatedDaemon& daemon = daemons_[answer.daemon];
      if (answer.arrives > now_ || daemon.run != answer.run || answer.notice.empty()) {
        continue;
      }
      daemon.holds.Record(answer.key, answer.notice, now_);
      if (answer.notice.leaving) {
        daemon.heard_leaving.emplace(answer.key, now_);
      }
      if (answer.notice.pause > Duration::zero()) {
        daemon.pauses[answer.key].push_back({.begin = now_ + kPauseReactionBound, .end = now_ + answer.notice.pause});
      }
    }
    std::erase_if(answers_, [this](const Answer& answer) { return answer.arrives <= now_; });
  }

  void CheckArrival(SimulatedDaemon& daemon, LifetimeKey key) {
    const auto heard = daemon.heard_leaving.find(key);
    broken_ = broken_ || (heard != daemon.heard_leaving.end() && now_ > heard->second + kDrainBound);
    const auto known = known_by_exchange_.find(key);
    broken_ = broken_ || (daemon.exchanges_reports && known != known_by_exchange_.end() &&
                          now_ > known->second + kDrainBound + seconds(1));
    for (auto& pause : daemon.pauses[key]) {
      pause.arrivals += now_ > pause.begin && now_ < pause.end ? 1 : 0;
      broken_ = broken_ || pause.arrivals > kRequestsInPauseBound;
    }
  }

  std::mt19937 random_;
  UpstreamHoldSettings settings_;
  std::vector<SimulatedUpstream> upstreams_;
  std::vector<SimulatedDaemon> daemons_;
  std::vector<Answer> answers_;
  std::map<LifetimeKey, TimePoint> known_by_exchange_;
  TimePoint now_{std::chrono::hours(24)};
  bool broken_ = false;
  unsigned served_ = 0;
};

}  // namespace

TEST_GROUP(UpstreamHold){};

// Guards against requests to upstreams that are leaving or paused, also by daemons that have restarted, and against
// new lifetimes that aren't used. The naive variant must break the bounds, or the simulation would prove nothing.
TEST(UpstreamHold, BoundsHoldInFleetsThatRestartAndGetAnswersLate) {
  unsigned broken_naive = 0, served = 0;
  CHECK(CheckProperty(300, "histories of leaving and paused upstreams", [&] {
    const auto daemons = *rc::gen::inRange<std::size_t>(2, 7);
    const auto old_daemons = *rc::gen::inRange<std::size_t>(0, daemons - 1);
    const auto seed = *rc::gen::inRange<std::uint32_t>(1, 1'000'000);
    HoldSimulation simulation(daemons, old_daemons, seed, false);
    simulation.Run(seconds(40));
    RC_ASSERT(!simulation.broken());
    served += simulation.served();
    HoldSimulation naive(daemons, old_daemons, seed, true);
    naive.Run(seconds(40));
    broken_naive += naive.broken() ? 1 : 0;
  }));
  CHECK(broken_naive >= 290);
  CHECK(served > 300 * 400);  // a fifth of what the smallest fleets can serve
}

// Guards against values of Retry-After that lift a pause too early, take an upstream out of use for good, or
// overflow.
TEST(UpstreamHold, PausesThatCannotBeReadAreBounded) {
  const UpstreamHoldSettings settings;
  for (const auto& [text, expected] :
       std::vector<std::pair<std::string, Duration>>{{"", Duration::zero()},
                                                     {"0", Duration::zero()},
                                                     {"0.0", Duration::zero()},
                                                     {"1e-400", Duration::zero()},
                                                     {"2", seconds(2)},
                                                     {"+2", seconds(2)},
                                                     {"0.25", milliseconds(250)},
                                                     {".5", milliseconds(500)},
                                                     {"3599.5", milliseconds(3'599'500)},
                                                     {"3600", settings.max_pause},
                                                     {"86400", settings.max_pause},
                                                     {"18446744073709551616", settings.max_pause},
                                                     {"1e308", settings.max_pause},
                                                     {"1e999", settings.max_pause},
                                                     {std::string(400, '9'), settings.max_pause},
                                                     {"inf", settings.max_pause},
                                                     {"nan", settings.unreadable_pause},
                                                     {"-5", settings.unreadable_pause},
                                                     {"-inf", settings.unreadable_pause},
                                                     {"+-5", settings.unreadable_pause},
                                                     {"0x10", settings.unreadable_pause},
                                                     {" 5", settings.unreadable_pause},
                                                     {"5,5", settings.unreadable_pause},
                                                     {"5 s", settings.unreadable_pause},
                                                     {"soon", settings.unreadable_pause},
                                                     {std::string("5\0", 2), settings.unreadable_pause},
                                                     {"Wed, 21 Oct 2026 07:28:00 GMT", settings.unreadable_pause}}) {
    CHECK_TEXT(ParsePause(text, settings) == expected, text.c_str());
    CHECK(ReadNotice(429, false, text, settings).empty());
  }
  CHECK(ReadNotice(503, true, "1.5", settings) == (UpstreamNotice{.leaving = true, .pause = milliseconds(1'500)}));
  CHECK(CheckProperty(2'000, "numbers of seconds", [&settings] {
    const auto ms = *rc::gen::inRange<std::int64_t>(1, 3'600'000);
    const std::string text = std::to_string(static_cast<double>(ms) / 1'000);
    RC_ASSERT(ParsePause(text, settings) >= milliseconds(ms) - std::chrono::microseconds(1));
    RC_ASSERT(ParsePause(text, settings) <= milliseconds(ms) + std::chrono::microseconds(1));
    RC_ASSERT(ParsePause(*rc::gen::arbitrary<std::string>(), settings) <= settings.max_pause);
  }));
}

// Guards against refused callers that are told to wait longer than they would, less than usual, or that all return at
// the same time.
TEST(UpstreamHold, RefusedCallersReturnSpreadAndInTime) {
  constexpr Duration kUsual = milliseconds(60);
  CHECK(CheckProperty(2'000, "refused callers", [kUsual] {
    const Duration earliest = milliseconds(*rc::gen::inRange(-100, 4'000'000));
    const Duration left = milliseconds(*rc::gen::inRange(-100, 60'000));
    std::set<std::int64_t> returns;
    for (std::uint64_t seed = 0; seed < 1'024; seed += 32) {
      const Duration delay = RefusalDelay(earliest, left, kUsual, seed);
      RC_ASSERT(delay >= kUsual);
      RC_ASSERT(delay <= std::max(left / 3, kUsual + milliseconds(20)));
      RC_ASSERT(delay >= std::min(earliest, left / 3) - milliseconds(250));
      RC_ASSERT(left / 3 < earliest + milliseconds(250) || delay >= earliest);
      returns.insert(delay / milliseconds(1));
    }
    RC_ASSERT(returns.size() >= 15U);
  }));
}

// Guards against daemons that remind each other of a lifetime for ever, and against forgetting it before.
TEST(UpstreamHold, LeavingLifetimesAgeOutOfAllDaemons) {
  std::vector<UpstreamHolds> daemons(3);
  const TimePoint start{std::chrono::hours(24)};
  daemons[0].Record(7, {.leaving = true}, start);
  const auto known = [&] {
    return std::count_if(daemons.begin(), daemons.end(),
                         [](const auto& daemon) { return daemon.Find(7).leaving_since.has_value(); });
  };
  for (TimePoint now = start; now < start + minutes(66); now += milliseconds(500)) {
    for (std::size_t from = 0; from < daemons.size(); ++from) {
      for (auto report : daemons[from].Reports(now)) {
        report.age = std::chrono::duration_cast<milliseconds>(report.age);
        daemons[(from + 1) % daemons.size()].Merge(report, now + milliseconds(3));
      }
    }
    if (now == start + minutes(30)) {
      daemons[0] = UpstreamHolds();
    }
    for (auto& daemon : daemons) {
      daemon.Expire(now);
    }
    CHECK(now < start + milliseconds(500) || now > start + minutes(59) || known() >= 2);
  }
  LONGS_EQUAL(0, known());
}

// Guards against memory that grows with the lifetimes, and against forgetting the newest of them.
TEST(UpstreamHold, NewestLifetimesAreKeptWithinTheBounds) {
  UpstreamHolds holds({.max_leaving = 4, .max_paused = 4});
  const TimePoint start{std::chrono::hours(24)};
  for (LifetimeKey key = 1; key <= 10; ++key) {
    holds.Record(key, {.leaving = true, .pause = seconds(key)}, start + milliseconds(key));
  }
  LONGS_EQUAL(4, holds.leaving_count());
  CHECK(holds.Find(10).leaving_since && holds.Find(10).paused_until > start && holds.any_paused(start));
  CHECK(holds.Find(1) == UpstreamHold{});
  CHECK(!holds.Merge({.key = 11, .age = minutes(30)}, start + seconds(1)));
  CHECK(holds.Merge({.key = 12}, start + seconds(1)));
  CHECK(MakeLifetimeKey("a", 1) != MakeLifetimeKey("a", 2));
  CHECK(MakeLifetimeKey("i-7f3a91c2", 1'700'000'000'000) == 0xb1a3dacfc5a4fb55);  // the same in all builds
}

}  // namespace pimentomoor
