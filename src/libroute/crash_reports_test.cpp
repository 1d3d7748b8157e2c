// Tests of the evidence against requests that crash upstreams, in simulated fleets whose daemons restart and are cut
// off from each other.
#include "pimentomoor/crash_reports.h"

#include <algorithm>
#include <random>

#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kCrashing = 1;  // crashes each upstream that runs it
constexpr std::uint64_t kSound = 2;     // was running at each upstream that crashed, and else succeeds
constexpr Duration kStep = milliseconds(50);

// Daemons that exchange their reports each step, and requests that arrive at random daemons.
class CrashSimulation {
 public:
  CrashSimulation(std::size_t daemons, std::uint32_t seed) : random_(seed) {
    for (std::size_t i = 0; i < daemons; ++i) {
      daemons_.emplace_back(++next_reporter_);
    }
    parts_.assign(daemons, 0);
  }

  /// Replaces the daemon by one that knows nothing.
  void Restart(std::size_t daemon) { daemons_[daemon] = CrashReports(++next_reporter_); }
  /// Cuts the daemons into parts that don't hear each other.
  void Cut(std::vector<int> parts) { parts_ = std::move(parts); }

  /// Sends the request that crashes upstreams to a random daemon. Returns whether it ran.
  bool SendCrashing() {
    CrashReports& daemon = daemons_[random_() % daemons_.size()];
    if (daemon.IsRefused(kCrashing, now_)) {
      daemon.RecordRefusal(kCrashing, now_);
      return false;
    }
    daemon.RecordCrash(kCrashing, now_);
    daemon.RecordCrash(kSound, now_);
    ++crashes_;
    return true;
  }
  /// Sends the sound request to a random daemon. Returns whether it ran.
  bool SendSound() {
    CrashReports& daemon = daemons_[random_() % daemons_.size()];
    if (daemon.IsRefused(kSound, now_)) {
      return false;
    }
    daemon.RecordSuccess(kSound, now_);
    return true;
  }

  /// Advances the time, and exchanges reports between each two daemons that hear each other; one in four is lost.
  void Step(Duration step = kStep) {
    now_ += step;
    for (std::size_t from = 0; from < daemons_.size(); ++from) {
      const auto entries = daemons_[from].Entries(now_);
      for (std::size_t to = 0; to < daemons_.size(); ++to) {
        if (from != to && parts_[from] == parts_[to] && random_() % 4 != 0) {
          for (const auto& entry : entries) {
            daemons_[to].Merge(entry, now_);
          }
        }
      }
    }
  }

  [[nodiscard]] unsigned crashes() const { return crashes_; }
  [[nodiscard]] bool RefusedByAll(std::uint64_t fingerprint) const {
    return std::all_of(daemons_.begin(), daemons_.end(),
                       [&](const auto& daemon) { return daemon.IsRefused(fingerprint, now_); });
  }
  [[nodiscard]] bool KnownToAny(std::uint64_t fingerprint) const {
    return std::any_of(daemons_.begin(), daemons_.end(), [&](const auto& daemon) {
      const auto entries = daemon.Entries(now_);
      return std::any_of(entries.begin(), entries.end(),
                         [&](const auto& entry) { return entry.fingerprint == fingerprint; });
    });
  }

 private:
  std::mt19937 random_;
  std::uint64_t next_reporter_ = 0;
  std::vector<CrashReports> daemons_;
  std::vector<int> parts_;
  TimePoint now_{std::chrono::hours(24)};
  unsigned crashes_ = 0;
};

}  // namespace

TEST_GROUP(CrashReports){};

// Guards against a request that gets through again, because a refusal that still holds is forgotten or a daemon that
// starts doesn't learn of it, and against sound requests that are refused for the crashes of another one.
TEST(CrashReports, CrashingRequestStaysRefusedWhileItComesAndSoundOnesAreServed) {
  CHECK(CheckProperty(30, "crashes of a request that comes for hours", [] {
    const auto daemons = *rc::gen::inRange<std::size_t>(2, 9);
    const auto seed = *rc::gen::inRange<std::uint32_t>(1, 1'000'000);
    CrashSimulation simulation(daemons, seed);
    std::mt19937 random(seed);
    // The request comes again each 250 ms and sound ones each 50 ms; daemons restart one at a time.
    for (int step = 0; step < 1'200; ++step) {
      if (step % 5 == 0) {
        simulation.SendCrashing();
      }
      RC_ASSERT(simulation.SendSound());
      if (random() % 100 == 0) {
        simulation.Restart(random() % daemons);
        simulation.Step();
        simulation.Step();
      }
      simulation.Step();
    }
    // Three counted crashes, and those within the merge interval of each.
    constexpr unsigned kMaxCrashes = 3 * (500 / 250 + 1);
    RC_ASSERT(simulation.crashes() <= kMaxCrashes);
    RC_ASSERT(simulation.RefusedByAll(kCrashing));
    // It then comes each quarter of an hour, for five hours.
    const unsigned before = simulation.crashes();
    for (int quarter = 0; quarter < 20; ++quarter) {
      for (int minute = 0; minute < 15; ++minute) {
        simulation.Step(minutes(1));
      }
      RC_ASSERT(!simulation.SendCrashing());
    }
    RC_ASSERT(simulation.crashes() == before);
  }));
}

// Guards against a cut in which each part counts anew for ever: each part gets three counted tries at most, and after
// the cut the request is refused everywhere.
TEST(CrashReports, EachPartOfACutFleetGetsThreeCountedTries) {
  CHECK(CheckProperty(30, "crashes during a cut", [] {
    const auto daemons = *rc::gen::inRange<std::size_t>(2, 9);
    const int parts = *rc::gen::inRange(1, 4);
    CrashSimulation simulation(daemons, *rc::gen::inRange<std::uint32_t>(1, 1'000'000));
    std::vector<int> cut(daemons);
    for (int& part : cut) {
      part = *rc::gen::inRange(0, parts);
    }
    simulation.Cut(cut);
    for (int step = 0; step < 2'400; ++step) {
      if (step % 20 == 0) {  // each second, so that each crash counts
        simulation.SendCrashing();
      }
      simulation.Step();
    }
    RC_ASSERT(simulation.crashes() <= 3U * static_cast<unsigned>(parts));
    simulation.Cut(std::vector<int>(daemons, 0));
    for (int step = 0; step < 40; ++step) {
      simulation.Step();
    }
    RC_ASSERT(simulation.RefusedByAll(kCrashing));
    const unsigned before = simulation.crashes();
    for (int i = 0; i < 20; ++i) {
      simulation.SendCrashing();
      simulation.Step();
    }
    RC_ASSERT(simulation.crashes() == before);
  }));
}

// Guards against a sound request that is refused for good after one outage, because a daemon reports the crashes of
// all its copies at once and others count each of them.
TEST(CrashReports, CrashesOfOneOutageInOneReportCountOnce) {
  CrashReports first(1);
  CrashReports second(2);
  TimePoint now{std::chrono::hours(24)};
  for (int outage = 1; outage <= 3; ++outage) {
    now += seconds(10);
    for (int copy = 0; copy < 5; ++copy) {
      first.RecordCrash(kSound, now + milliseconds(copy));
    }
    for (const auto& entry : first.Entries(now + milliseconds(5))) {
      second.Merge(entry, now + milliseconds(5));
    }
    CHECK_EQUAL(outage == 3, first.IsRefused(kSound, now + milliseconds(5)));
    CHECK_EQUAL(outage == 3, second.IsRefused(kSound, now + milliseconds(5)));
  }
}

// Guards against counting one outage several times, because daemons learn of it at different times: their connections
// are refused later, or their reports are lost, repeated or relayed.
TEST(CrashReports, OutagesCountOnceHoweverTheyAreReported) {
  CHECK(CheckProperty(100, "refusals after two outages, and after a third one", [] {
    std::mt19937 random(*rc::gen::inRange<std::uint32_t>(1, 1'000'000));
    const auto daemon_count = *rc::gen::inRange<std::size_t>(2, 9);
    const auto loss_percent = *rc::gen::inRange<std::uint32_t>(0, 91);
    std::vector<CrashReports> daemons;
    for (std::size_t i = 0; i < daemon_count; ++i) {
      daemons.emplace_back(i + 1);
    }
    TimePoint now{std::chrono::hours(24)};
    const auto refusing = [&] {
      return std::count_if(daemons.begin(), daemons.end(),
                           [&](const auto& daemon) { return daemon.IsRefused(kSound, now); });
    };
    for (int outage = 1; outage <= 3; ++outage) {
      struct Detection {
        TimePoint at;
        TimePoint crashed_at;
        std::size_t daemon;
      };
      std::vector<Detection> detections;
      const std::uint32_t copies = 1 + random() % 20;
      for (std::uint32_t i = 0; i < copies; ++i) {
        const TimePoint crashed_at = now + milliseconds(random() % 100);
        detections.push_back({crashed_at + milliseconds(random() % 800), crashed_at, random() % daemon_count});
      }
      std::ranges::sort(detections, {}, &Detection::at);
      const TimePoint end = now + milliseconds(1'500 + random() % 20'000);
      std::size_t detected = 0;
      while (now < end) {
        now += kStep;
        for (; detected < detections.size() && detections[detected].at <= now; ++detected) {
          daemons[detections[detected].daemon].RecordCrash(kSound, detections[detected].crashed_at);
        }
        for (const auto& from : daemons) {
          for (auto& to : daemons) {
            if (&from != &to && random() % 100 >= loss_percent) {
              for (const auto& entry : from.Entries(now)) {
                to.Merge(entry, now);
              }
            }
          }
        }
        RC_ASSERT(outage == 3 || refusing() == 0);
      }
    }
    RC_ASSERT(refusing() > 0);
  }));
}

// Guards against evidence that never ends, because daemons that forget it learn it again from those that forget
// later.
TEST(CrashReports, EvidenceEndsWhenTheRequestIsNoLongerSeen) {
  CrashSimulation simulation(4, 1);
  for (int step = 0; step < 200; ++step) {
    if (step % 20 == 0) {
      simulation.SendCrashing();
    }
    simulation.Step();
  }
  CHECK(simulation.RefusedByAll(kCrashing));
  for (int minute = 0; minute < 59; ++minute) {
    if (minute == 50) {
      simulation.Restart(0);  // it learns late of evidence that is old
    }
    simulation.Step(minutes(1));
  }
  CHECK(simulation.RefusedByAll(kCrashing));
  for (int minute = 0; minute < 6; ++minute) {
    simulation.Step(minutes(1));
  }
  CHECK_FALSE(simulation.KnownToAny(kCrashing));
  CHECK(simulation.SendCrashing());
}

// Guards against memory that grows with the number of different requests, and against evidence on a request that is
// refused being dropped for such requests.
TEST(CrashReports, ManyDifferentRequestsDropNoRefusal) {
  constexpr CrashReportSettings kSettings;
  CrashReports reports(1);
  TimePoint now{std::chrono::hours(24)};
  for (int i = 0; i < 3; ++i) {
    reports.RecordCrash(kCrashing, now += seconds(1));
  }
  CHECK(reports.IsRefused(kCrashing, now));
  for (std::uint64_t other = 100; other < 1'100; ++other) {
    reports.RecordCrash(other, now += milliseconds(1));
    reports.Merge({.fingerprint = other, .reporter = 2, .crashes = 1}, now);
    CHECK(reports.Entries(now).size() <= kSettings.max_entries);
  }
  CHECK(reports.IsRefused(kCrashing, now));
  CHECK_EQUAL(1U, reports.RefusedCount(now));
}

// Guards against a refusal that outlives the proof that the request is sound.
TEST(CrashReports, SuccessWithdrawsAllEvidence) {
  CrashReports first(1);
  CrashReports second(2);
  TimePoint now{std::chrono::hours(24)};
  for (int i = 0; i < 3; ++i) {
    first.RecordCrash(kSound, now += seconds(1));
  }
  const auto exchange = [&] {
    for (const auto& entry : first.Entries(now)) {
      second.Merge(entry, now);
    }
    for (const auto& entry : second.Entries(now)) {
      first.Merge(entry, now);
    }
  };
  exchange();
  CHECK(second.IsRefused(kSound, now));
  CHECK(second.RecordSuccess(kSound, now));  // of a copy that was running when it was refused
  CHECK_FALSE(second.RecordSuccess(kSound, now));
  exchange();
  CHECK_FALSE(first.IsRefused(kSound, now) || second.IsRefused(kSound, now));
  // Evidence counts from the beginning after that.
  for (int i = 0; i < 2; ++i) {
    second.RecordCrash(kSound, now += seconds(1));
    exchange();
    CHECK_FALSE(first.IsRefused(kSound, now) || second.IsRefused(kSound, now));
  }
  second.RecordCrash(kSound, now += seconds(1));
  exchange();
  CHECK(first.IsRefused(kSound, now) && second.IsRefused(kSound, now));
}

// Guards against a daemon that can't report a refusal, because it has withdrawn its own evidence and learns of all
// new crashes from others.
TEST(CrashReports, RefusalOfADaemonWithoutNewEvidenceOfItsOwn) {
  CrashReports daemon(1);
  TimePoint now{std::chrono::hours(24)};
  daemon.RecordCrash(kCrashing, now);
  CHECK(daemon.RecordSuccess(kCrashing, now));
  for (std::uint64_t reporter = 2; reporter < 5; ++reporter) {
    CHECK_FALSE(daemon.IsRefused(kCrashing, now));
    daemon.Merge({.fingerprint = kCrashing, .reporter = reporter, .crashes = 1}, now += seconds(1));
  }
  CHECK(daemon.IsRefused(kCrashing, now));
}

}  // namespace pimentomoor
