// Plays the pace of upstreams that have just started or recovered, in a queueing model of a service whose daemons
// each see only their own requests, and compares it with a fixed ramp and with no ramp. The variable PACE_TABLE in
// the environment makes the tests print what they measure.
#include "pimentomoor/upstream_pace.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

#include "pimentomoor/upstream_score.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kUsual = milliseconds(28);
constexpr double kUsualMs = 28;
constexpr int kLateMs = 140;  // answers after this time fail their callers
constexpr int kRunMs = 6'000;
constexpr int kWindowMs = 500;
constexpr int kSweepMs = 25;  // as Gateway::Tick()
constexpr std::size_t kSlots = 4;
constexpr std::size_t kQueue = 4;
constexpr std::size_t kUpstreams = 4;

enum class Ramp { kNone, kFixed, kPace };

/// How the upstreams that begin at the start of a run behave.
struct Case {
  const char* name;
  std::size_t daemons = 6;
  double load = 0.7;                    // offered requests, as a share of the capacity of the service
  std::size_t new_upstreams = 1;        // of kUpstreams; the others are warm
  std::size_t bears = kSlots + kQueue;  // requests at once beyond which it refuses, or collapses if `collapses`
  bool collapses = false;
  double speed_after_ramp = 1;  // share of the usual speed, from `slow_ms` on
  double speed_at_first = 1;    // before that
  int slow_ms = 0;
  int failing_ms = 0;     // answers with errors until then, at once
  int pause_at_ms = 0;    // pauses for 250 ms
  int restart_at_ms = 0;  // daemon 0 restarts, without a pace at the upstream if that has warmed up by then
};

struct Result {
  int ms_to_share = kRunMs;  // until the new upstreams carry 90% of their share
  int beyond = 0;            // requests that find a new upstream full or make it collapse
  int failed = 0;            // requests that fail or come late, at any upstream
  double max_limit_sum = 0;  // largest sum of the limits of all daemons, of one upstream
  int served = 0;            // by the new upstreams
  int paces = 0;             // paces that are active at the end of the run
  int begun_later = 0;       // paces that began after the start of the run
};

struct Job {
  std::size_t daemon;
  int sent_ms;
  double work_ms;
};

class Model {
 public:
  Model(const Case& c, Ramp ramp, unsigned seed) : case_(c), ramp_(ramp), random_(seed), views_(c.daemons) {
    for (std::size_t daemon = 0; daemon < c.daemons; ++daemon) {
      for (std::size_t u = 0; u < c.new_upstreams; ++u) {
        Begin(daemon, u);
      }
    }
  }

  Result Run() {
    const double per_ms = case_.load * kUpstreams * kSlots / kUsualMs;
    std::poisson_distribution<int> arrivals(per_ms);
    for (now_ms_ = 0; now_ms_ < kRunMs; ++now_ms_) {
      if (case_.restart_at_ms > 0 && now_ms_ == case_.restart_at_ms) {
        Restart();
      }
      for (std::size_t u = 0; u < kUpstreams; ++u) {
        Work(u);
      }
      for (int i = arrivals(random_); i > 0; --i) {
        Send(random_() % case_.daemons);
      }
      if (now_ms_ % kSweepMs == 0) {
        Measure();
      }
    }
    return result_;
  }

 private:
  struct View {
    UpstreamPace pace;
    UpstreamSignals signals;
    std::vector<int> unanswered;  // times at which the requests were sent, oldest first
  };

  [[nodiscard]] TimePoint Now() const { return kStart + milliseconds(now_ms_); }
  [[nodiscard]] PaceConditions Conditions(std::size_t daemon, std::size_t u) const {
    return {.now = Now(), .slots = kSlots, .senders = case_.daemons, .running = views_[daemon][u].unanswered.size()};
  }
  void Begin(std::size_t daemon, std::size_t u) {
    if (ramp_ != Ramp::kNone) {
      BeginPace(views_[daemon][u].pace, PaceReason::kStart, std::uniform_real_distribution<>(0, 1)(phase_random_),
                Conditions(daemon, u));
    }
  }
  void Restart() {
    // The new process knows that the upstream has just started, but not what its predecessor measured.
    for (std::size_t u = 0; u < kUpstreams; ++u) {
      views_[0][u] = {};
      std::erase_if(jobs_[u], [](const Job& job) { return job.daemon == 0; });
    }
    Begin(0, 0);
  }
  [[nodiscard]] bool HasRoom(std::size_t daemon, std::size_t u) const {
    const View& view = views_[daemon][u];
    const PaceConditions conditions = Conditions(daemon, u);
    return view.unanswered.size() < kSlots + 2 &&  // as UpstreamLink::ConnectionLimit()
           (ramp_ != Ramp::kPace || HasPaceRoom(view.pace, conditions)) &&
           (ramp_ != Ramp::kFixed || HasFixedRampRoom(view.pace, conditions));
  }

  void Send(std::size_t daemon) {
    std::vector<UpstreamCandidate> candidates;
    for (std::size_t u = 0; u < kUpstreams; ++u) {
      const View& view = views_[daemon][u];
      candidates.push_back({.slowness = CurrentSlowness(view.signals, Now()),
                            .failure_rate = CurrentFailureRate(view.signals, Now()),
                            .unanswered = view.unanswered.size(),
                            .oldest_unanswered = view.unanswered.empty()
                                                     ? Duration::zero()
                                                     : milliseconds(now_ms_ - view.unanswered.front()),
                            .slots = kSlots,
                            .has_room = HasRoom(daemon, u)});
    }
    const std::size_t u = ChooseUpstream(candidates, kUsual, next_tie_break_++);
    View& view = views_[daemon][u];
    if (!candidates[u].has_room) {
      ++result_.failed;  // the model has no queue in front of the upstreams
      return;
    }
    RecordPaceSend(view.pace, Conditions(daemon, u));
    view.unanswered.push_back(now_ms_);
    const std::size_t bears = u < case_.new_upstreams ? case_.bears : kSlots + kQueue;
    result_.beyond += u < case_.new_upstreams && jobs_[u].size() >= bears ? 1 : 0;
    if (jobs_[u].size() >= kSlots + kQueue) {
      End(daemon, u, now_ms_, PaceOutcome::kRefused);
      return;
    }
    jobs_[u].push_back({daemon, now_ms_, kUsualMs * std::uniform_real_distribution<>(0.7, 1.3)(random_)});
  }

  [[nodiscard]] double SpeedOf(std::size_t u) const {
    const bool paused = case_.pause_at_ms > 0 && now_ms_ >= case_.pause_at_ms && now_ms_ < case_.pause_at_ms + 250;
    if (u >= case_.new_upstreams) {
      return 1;
    }
    if (case_.collapses && jobs_[u].size() > case_.bears) {
      return 0.1;
    }
    return paused ? 0 : now_ms_ < case_.slow_ms ? case_.speed_at_first : case_.speed_after_ramp;
  }

  void Work(std::size_t u) {
    const double speed = SpeedOf(u);
    const bool failing = u < case_.new_upstreams && now_ms_ < case_.failing_ms;
    std::vector<Job> ended;
    for (std::size_t i = 0; i < std::min<std::size_t>(jobs_[u].size(), kSlots); ++i) {
      jobs_[u][i].work_ms -= speed;
    }
    std::erase_if(jobs_[u], [&](const Job& job) {
      if (job.work_ms <= 0 || failing) {
        ended.push_back(job);
      }
      return job.work_ms <= 0 || failing;
    });
    for (const auto& job : ended) {
      End(job.daemon, u, job.sent_ms, failing ? PaceOutcome::kFailed : PaceOutcome::kAnswered);
    }
  }

  void End(std::size_t daemon, std::size_t u, int sent_ms, PaceOutcome outcome) {
    View& view = views_[daemon][u];
    if (const auto found = std::find(view.unanswered.begin(), view.unanswered.end(), sent_ms);
        found != view.unanswered.end()) {
      view.unanswered.erase(found);
    }
    const Duration latency = milliseconds(now_ms_ - sent_ms);
    if (outcome == PaceOutcome::kAnswered) {
      RecordLatency(view.signals, latency, kUsual, Now());
    } else {
      RecordFailure(view.signals, Now());
    }
    const bool failed = outcome != PaceOutcome::kAnswered || now_ms_ - sent_ms > kLateMs;
    result_.failed += failed ? 1 : 0;
    if (u < case_.new_upstreams && !failed) {
      served_.push_back(now_ms_);
      ++result_.served;
    }
    view.pace.usual = kUsual;
    RecordPaceOutcome(view.pace, outcome, kStart + milliseconds(sent_ms), Conditions(daemon, u));
    if (ramp_ == Ramp::kPace && view.pace.failures_in_a_row >= kPaceFailureRun && !view.pace.active) {
      Begin(daemon, u);
      ++result_.begun_later;
    }
  }

  void Measure() {
    result_.paces = 0;
    for (std::size_t u = 0; u < case_.new_upstreams; ++u) {
      double sum = 0;
      for (std::size_t daemon = 0; daemon < case_.daemons; ++daemon) {
        UpstreamPace& pace = views_[daemon][u].pace;
        const PaceConditions conditions = Conditions(daemon, u);
        if (ramp_ == Ramp::kPace && pace.active && IsPaceOver(pace, conditions)) {
          pace = {};
        }
        sum += pace.active ? CurrentPaceLimit(pace, conditions) : 0;
        result_.paces += pace.active ? 1 : 0;
      }
      result_.max_limit_sum = std::max(result_.max_limit_sum, sum);
    }
    std::erase_if(served_, [this](int at) { return at <= now_ms_ - kWindowMs; });
    const double share = case_.load * kSlots / kUsualMs * kWindowMs * case_.speed_after_ramp *
                         static_cast<double>(std::min(case_.bears, kSlots) * case_.new_upstreams) / kSlots;
    if (result_.ms_to_share == kRunMs && static_cast<double>(served_.size()) >= 0.9 * share) {
      result_.ms_to_share = now_ms_;
    }
  }

  const Case& case_;
  const Ramp ramp_;
  int now_ms_ = 0;
  std::mt19937_64 random_;           // arrivals and work
  std::mt19937_64 phase_random_{1};  // apart, so that all ramps play the same arrivals
  std::vector<std::array<View, kUpstreams>> views_;
  std::array<std::vector<Job>, kUpstreams> jobs_;
  std::vector<int> served_;  // times of the good answers of the new upstreams in the last window
  std::size_t next_tie_break_ = 0;
  Result result_;
};

struct Results {
  Result none, fixed, pace;
};

Result PlaySeeds(const Case& c, Ramp ramp) {
  constexpr int kSeeds = 5;
  Result sum{.ms_to_share = 0};
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const Result result = Model(c, ramp, static_cast<unsigned>(seed)).Run();
    sum.ms_to_share += result.ms_to_share / kSeeds;
    sum.beyond += result.beyond;
    sum.failed += result.failed;
    sum.served += result.served;
    sum.max_limit_sum = std::max(sum.max_limit_sum, result.max_limit_sum);
    sum.paces += result.paces;
    sum.begun_later += result.begun_later;
  }
  return sum;
}

Results Play(const Case& c) {
  const Results results{PlaySeeds(c, Ramp::kNone), PlaySeeds(c, Ramp::kFixed), PlaySeeds(c, Ramp::kPace)};
  if (std::getenv("PACE_TABLE") != nullptr) {
    std::printf("\n| %s |", c.name);
    for (const Result& r : {results.none, results.fixed, results.pace}) {
      std::printf(" %d ms, %d, %d, %d |", r.ms_to_share, r.beyond, r.failed, r.served);
    }
    std::printf(" sum %.1f, active %d\n", results.pace.max_limit_sum, results.pace.paces);
  }
  CHECK(results.pace.max_limit_sum <= kSlots + 1e-9);  // the stated bound on the sum over daemons
  return results;
}

// The pace lets no more requests beyond what the upstream bears than no ramp does, fails no more callers, and serves
// as much. The margins are for chance: after the pace the runs differ in which requests meet.
void CheckNoWorse(const Results& results) {
  CHECK(results.pace.beyond <= results.none.beyond + 5);
  CHECK(results.pace.failed <= 1.1 * results.none.failed + 5);
  CHECK(results.pace.served >= 0.85 * results.none.served);
}

}  // namespace

TEST_GROUP(UpstreamPace){};

// Guards against leaving an upstream idle that is fast at once, and against a pace that stays without a reason.
TEST(UpstreamPace, FastUpstreamCarriesItsShareSoonerThanWithAFixedRamp) {
  const Results results = Play({.name = "fast at once"});
  CHECK(results.pace.ms_to_share < results.fixed.ms_to_share / 2);
  CHECK(results.pace.failed < results.fixed.failed);
  CHECK_EQUAL(0, results.pace.paces);
}

// Guards against flooding an upstream that is slow for 3 s after its start.
TEST(UpstreamPace, SlowStart) {
  CheckNoWorse(Play({.name = "slow for 3 s", .speed_at_first = 0.3, .slow_ms = 3'000}));
}

// Guards against probing an upstream that is back after a crash so seldom that it stays idle.
TEST(UpstreamPace, RecoveryAfterACrash) { CheckNoWorse(Play({.name = "fails for 1 s", .failing_ms = 1'000})); }

// Guards against failing the callers of a service most of whose upstreams recover at the same time.
TEST(UpstreamPace, TwoOfFourUpstreamsReturnAfterAnOutage) {
  CheckNoWorse(Play({.name = "2 of 4 return, slow for 2 s",
                     .load = 0.45,
                     .new_upstreams = 2,
                     .speed_at_first = 0.5,
                     .slow_ms = 2'000}));
}

// Guards against a ramp after a pause, which is no recovery.
TEST(UpstreamPace, PauseBeginsNoPace) {
  const Results results = Play({.name = "pauses for 250 ms", .pause_at_ms = 3'000});
  CHECK_EQUAL(0, results.pace.paces);
  CHECK_EQUAL(0, results.pace.begun_later);
}

// Guards against trusting the health of an upstream that answers with errors all the time.
TEST(UpstreamPace, UpstreamThatLiesAboutItsHealth) {
  const Results results = Play({.name = "always fails", .failing_ms = kRunMs});
  CheckNoWorse(results);
  CHECK(results.pace.paces > 0);
}

// Guards against more requests at once than an upstream bears whose slots promise more.
TEST(UpstreamPace, UpstreamThatCollapsesBeyondTwoRequests) {
  const Results results = Play({.name = "collapses beyond 2", .bears = 2, .collapses = true});
  CHECK(results.pace.beyond < results.none.beyond);
  CHECK(results.pace.failed < results.none.failed);
}

// Guards against starving an upstream that is slower than the others for good.
TEST(UpstreamPace, UpstreamThatStaysSlowGetsTheShareThatItServes) {
  const Results results = Play({.name = "stays slow", .speed_after_ramp = 0.3});
  CHECK(results.pace.served > 0.9 * results.none.served);
}

// Guards against 80 daemons that each start with one request.
TEST(UpstreamPace, EightyDaemonsStartAtTheSameMoment) {
  const Results slow =
      Play({.name = "80 daemons, slow for 3 s", .daemons = 80, .speed_at_first = 0.3, .slow_ms = 3'000});
  CHECK(slow.pace.beyond < slow.none.beyond / 2);
  const Results fast = Play({.name = "80 daemons, fast at once", .daemons = 80});
  CHECK(fast.pace.ms_to_share < fast.fixed.ms_to_share);
  CHECK(fast.pace.failed < fast.fixed.failed);
}

// Guards against a daemon that restarts and takes more than its part.
TEST(UpstreamPace, DaemonRestartsBesideIt) {
  CheckNoWorse(Play({.name = "a daemon restarts", .speed_at_first = 0.3, .slow_ms = 3'000, .restart_at_ms = 1'000}));
}

// Guards against raising the limit while answers grow slow, against a limit that probes an upstream no longer, and
// against cutting one whose answers are slow from the start on.
TEST(UpstreamPace, AnswersThatGrowSlowCutTheLimitToItsFloor) {
  PaceConditions conditions{.now = kStart, .slots = kSlots};
  UpstreamPace pace{.usual = kUsual};
  const auto answer_after = [&](Duration latency) {
    const TimePoint sent_at = conditions.now;
    conditions.running = kSlots - 1;
    RecordPaceSend(pace, conditions);
    conditions.now += latency;
    return RecordPaceOutcome(pace, PaceOutcome::kAnswered, sent_at, conditions);
  };
  BeginPace(pace, PaceReason::kStart, 0, conditions);
  CHECK(!answer_after(kUsual));
  DOUBLES_EQUAL(3, pace.limit, 1e-9);
  CHECK(answer_after(5 * kUsual));
  CHECK(pace.limit < 3);
  CHECK(pace.last_change == PaceChange::kSlow);
  for (int i = 0; i < 20; ++i) {
    answer_after(20 * kUsual);
  }
  DOUBLES_EQUAL(0.5, pace.limit, 1e-9);

  BeginPace(pace, PaceReason::kStart, 0, conditions);
  CHECK(!answer_after(4 * kUsual));
  CHECK(!answer_after(5 * kUsual));
  DOUBLES_EQUAL(4, pace.limit, 1e-9);
}

// Guards against a pace that reduces the rate of a cold upstream below the bound of the rules, and against a limit
// that is cut many times for requests that were sent together.
TEST(UpstreamPace, ColdBoundAndOneCutInARoundTrip) {
  PaceConditions conditions{.now = kStart, .slots = kSlots, .running = 100};
  UpstreamPace pace{.usual = kUsual};
  CHECK(HasPaceRoom(pace, conditions));
  BeginPace(pace, PaceReason::kCold, 0, conditions);
  CHECK(!HasPaceRoom(pace, conditions));
  conditions.cold_bounded = true;
  conditions.cold_until = kStart + milliseconds(100);
  CHECK(HasPaceRoom(pace, conditions));
  conditions.now += milliseconds(20);
  CHECK(RecordPaceOutcome(pace, PaceOutcome::kFailed, kStart, conditions));
  const double cut = pace.limit;
  CHECK(!RecordPaceOutcome(pace, PaceOutcome::kFailed, kStart, conditions));
  DOUBLES_EQUAL(cut, pace.limit, 1e-9);
  CHECK(pace.last_change == PaceChange::kFailed);
  CHECK(!IsPaceOver(pace, conditions));
}

}  // namespace pimentomoor
