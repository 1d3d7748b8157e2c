// Tests of the upstream state at its owner.
#include "pimentomoor/upstream_policy.h"

#include <algorithm>
#include <cstdlib>
#include <random>

#include "CppUTest/TestHarness.h"  // after the others: its macro "new" breaks standard headers
#include "property.h"

namespace pimentomoor {

namespace {

using std::chrono::milliseconds;

// Drives one state through a random history and keeps its own books of what the upstream bears.
class History {
 public:
  explicit History(std::uint64_t seed) : random_(seed) {
    limits_ = {.slots = Pick(1, 7), .connections = Pick(1, 9), .cold_concurrency_limit = Pick(1, 2)};
    limits_.lost_connection_hold = milliseconds(Pick(0, 1'500));
    limits_.timeout_hold = milliseconds(Pick(0, 1'500));
    ceiling_ = std::min(limits_.slots, limits_.connections);
  }

  void Step() {
    const std::uint32_t kind = Pick(0, 9);
    if (kind < 2) {
      now_ += milliseconds(Pick(0, 9) == 0 ? Pick(0, 20'000) : Pick(0, 300));
      process_ += Pick(0, 19) == 0 ? 1 : 0;
    } else if (kind == 2) {
      ReadHostList(Pick(0, 7) != 0, Pick(0, 7) == 0);
    } else if (kind == 3) {
      const std::uint64_t hint = Pick(0, 3) == 0 ? process_ : Pick(1, static_cast<std::uint32_t>(process_));
      state_ = OnIncarnationHint(state_, hint, now_);
      draining_ = draining_ && hint == seen_;
    } else if (kind < 7) {
      TryStart();
    } else if (!running_.empty()) {
      FinishRandom();
    }
    RC_ASSERT(state_.running == running_.size());
  }

  // Ends in a phase without faults, in which the upstream must come back into full service.
  void CheckRecovery() {
    ReadHostList(false, false);
    ReadHostList(true, false);
    for (int i = 0; i < 400; ++i) {
      now_ += milliseconds(50);
      TryStart();
      if (!running_.empty()) {
        Finish(0, {.incarnation = running_.front().process});
      }
    }
    RC_ASSERT(state_.phase == UpstreamPhase::kWarm && ConcurrencyLimit(state_, limits_) == ceiling_);
  }

 private:
  struct Running {
    TimePoint started;
    std::uint64_t process;
  };

  std::uint32_t Pick(std::uint32_t low, std::uint32_t high) {
    return low + static_cast<std::uint32_t>(random_() % (high - low + 1));
  }

  void TryStart() {
    if (!MayStart(state_, limits_, now_)) {
      return;
    }
    RC_ASSERT(!draining_);
    RC_ASSERT((state_.phase != UpstreamPhase::kDown || now_ - last_start_ >= limits_.probe_interval));
    last_start_ = now_;
    running_.push_back({.started = now_, .process = process_});
    state_ = OnStart(state_, now_);
    const auto held =
        std::count_if(abandoned_.begin(), abandoned_.end(), [this](TimePoint end) { return now_ < end; });
    // The reference allows one step per success and per ramp_interval since the last sign of cold.
    const std::int64_t raises = std::min<std::int64_t>((now_ - cold_time_) / limits_.ramp_interval, successes_);
    const std::int64_t bears = std::min<std::int64_t>(ceiling_, limits_.cold_concurrency_limit + raises);
    RC_ASSERT(static_cast<std::int64_t>(running_.size()) + held <= bears);
    RC_ASSERT(OccupiedSlots(state_, now_) <= ConcurrencyLimit(state_, limits_));
  }

  void FinishRandom() {
    const std::size_t index = random_() % running_.size();
    AttemptReport report{.result = Pick(0, 2) != 0 ? AttemptResult::kOk : static_cast<AttemptResult>(Pick(0, 6))};
    if (report.result <= AttemptResult::kShed || report.result >= AttemptResult::kError) {
      report.incarnation = running_[index].process;
      report.cold = Pick(0, 19) == 0;
      report.draining = Pick(0, 29) == 0;
    }
    Finish(index, report);
  }

  void Finish(std::size_t index, AttemptReport report) {
    const Running attempt = running_[index];
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    report.latency = now_ - attempt.started;
    const bool lost = report.result == AttemptResult::kConnectionLost;
    if (lost || report.result == AttemptResult::kTimeout) {
      abandoned_.push_back(now_ + (lost ? limits_.lost_connection_hold : limits_.timeout_hold));
    }
    // Two restarts within one request leave open which process is the current one; its next answer shows it.
    const bool current = report.incarnation == seen_ || attempt.started > seen_since_;
    const bool newer = report.incarnation > seen_ && current;
    if ((newer && seen_ != 0) || report.cold || lost || report.result == AttemptResult::kConnectFailed ||
        report.result == AttemptResult::kShed) {
      cold_time_ = now_;
      successes_ = 0;
    } else if (report.result == AttemptResult::kOk && attempt.started > cold_time_) {
      ++successes_;
    }
    draining_ = (draining_ && !(newer && seen_ != 0)) || (report.draining && report.incarnation >= seen_ && current);
    seen_since_ = newer ? now_ : seen_since_;
    seen_ = newer ? report.incarnation : seen_;
    state_ = OnFinish(state_, limits_, report, now_);
    left_ = left_ && state_.phase == UpstreamPhase::kDraining;
  }

  void ReadHostList(bool listed, bool leaving) {
    state_ = OnHostList(state_, listed, leaving, now_);
    left_ = left_ || (state_.phase == UpstreamPhase::kDraining && (!listed || leaving));
    if (listed && !leaving && left_) {
      draining_ = left_ = false;
    }
  }

  std::mt19937_64 random_;
  UpstreamLimits limits_;
  std::uint32_t ceiling_ = 0;
  TimePoint now_{std::chrono::hours(1)};
  UpstreamState state_ = InitialUpstreamState(now_);
  std::vector<Running> running_;
  std::vector<TimePoint> abandoned_;  // when each abandoned request has stopped at the latest
  std::uint64_t process_ = 1;         // incarnation that takes new requests
  std::uint64_t seen_ = 0;            // incarnation of the newest process in an answer
  TimePoint seen_since_{};
  TimePoint cold_time_ = now_;
  TimePoint last_start_{};
  std::int64_t successes_ = 0;  // of requests that started after cold_time_
  bool draining_ = false;
  bool left_ = false;  // the host list has shown the draining upstream as leaving or gone
};

}  // namespace

TEST_GROUP(UpstreamPolicy) {
  const UpstreamLimits limits = {};
  TimePoint now{std::chrono::hours(1)};
  UpstreamState state = InitialUpstreamState(now);

  void Run(AttemptReport report, int latency_ms) {
    state = OnStart(state, now);
    now += milliseconds(latency_ms);
    report.latency = milliseconds(latency_ms);
    state = OnFinish(state, limits, report, now);
  }
  // Brings the upstream into full service and fills the latency baseline.
  void setup() override {
    for (int i = 0; i < 40; ++i) {
      Run({.incarnation = 1}, 100);
    }
  }
};

// Guards against more requests than a cold, draining or failed upstream bears, and against one that never recovers.
TEST(UpstreamPolicy, RandomHistoriesStayWithinWhatTheUpstreamBears) {
  CHECK(CheckProperty(1'000, "upstream bears its load", [] {
    History history(*rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i < 400; ++i) {
      history.Step();
    }
    history.CheckRecovery();
  }));
}

// Guards against an upstream that turns cold without a flag and keeps its full load, against a single slow query that
// makes it cold, and against one that has become slower for good and turns cold forever.
TEST(UpstreamPolicy, OnlyARunOfSlowAnswersMakesItCold) {
  int times_cold = 0;
  for (std::uint32_t i = 1; i <= 200; ++i) {
    Run({.incarnation = 1}, 500);
    times_cold += state.cold_since == now ? 1 : 0;
    CHECK_EQUAL(i >= limits.cold_after_slow_answers ? 1 : 0, times_cold);
  }
  CHECK(state.phase == UpstreamPhase::kWarm);
}

// Guards against a restarted process that is called down or draining for what the previous one did.
TEST(UpstreamPolicy, ReportsOfThePreviousProcessOnlyMakeItCold) {
  state = OnStart(OnStart(OnStart(state, now), now), now);
  Run({.incarnation = 2}, 10);
  state = OnFinish(state, limits, {.latency = milliseconds(10), .incarnation = 1, .draining = true}, now);
  for (int i = 0; i < 2; ++i) {
    state = OnFinish(state, limits, {.result = AttemptResult::kConnectionLost, .latency = milliseconds(10)}, now);
  }
  CHECK(state.phase == UpstreamPhase::kCold);
  CHECK_EQUAL(2, state.incarnation);
}

// Guards against a failed upstream that gets more than probes, that comes back by an answer from before its failure,
// or that is probed at an address that the host list has dropped; and against failures that add up over good answers.
TEST(UpstreamPolicy, ConnectionFailuresInARowLeaveOnlyProbes) {
  const AttemptReport failure{.result = AttemptResult::kConnectFailed};
  state = OnStart(state, now);
  Run(failure, 1);
  Run({.incarnation = 1}, 1);
  Run(failure, 1);
  CHECK(state.phase == UpstreamPhase::kCold);
  Run(failure, 1);
  state = OnFinish(state, limits, {.latency = milliseconds(4), .incarnation = 1}, now);
  CHECK(state.phase == UpstreamPhase::kDown);
  CHECK(!MayStart(state, limits, now + milliseconds(999)));
  CHECK(MayStart(state, limits, now + milliseconds(1'000)));
  CHECK(!MayStart(OnHostList(state, false, false, now), limits, now + milliseconds(1'000)));
  now += milliseconds(1'000);
  Run({.incarnation = 1}, 1);
  CHECK(state.phase == UpstreamPhase::kCold);
}

// Guards against an upstream that refuses requests and gets the next one at once.
TEST(UpstreamPolicy, ShedAnswersPauseTheUpstream) {
  Run({.result = AttemptResult::kShed}, 1);
  CHECK(!MayStart(state, limits, now + limits.shed_pause - milliseconds(1)));
  CHECK(MayStart(state, limits, now + limits.shed_pause));
}

// Guards against the lagging host list draining a process that has just restarted, or leaving one in service that
// leaves, and against a drain that ends because the list still shows the time before it.
TEST(UpstreamPolicy, HostListOnlyConfirms) {
  Run({.incarnation = 1, .draining = true}, 10);
  CHECK(OnHostList(state, true, false, now).phase == UpstreamPhase::kDraining);
  Run({.incarnation = 2}, 10);
  CHECK(OnHostList(state, true, true, now + milliseconds(4'000)).phase == UpstreamPhase::kCold);
  CHECK(OnHostList(state, true, true, now + milliseconds(6'000)).phase == UpstreamPhase::kDraining);
}

// Guards against a health endpoint that shows a wrong incarnation and restarts work on a draining upstream each time.
TEST(UpstreamPolicy, HintEndsADrainOncePerValue) {
  for (const UpstreamPhase expected : {UpstreamPhase::kCold, UpstreamPhase::kDraining}) {
    Run({.incarnation = 1, .draining = true}, 10);
    CHECK(!MayQueue(state, limits, 0, now));
    state = OnIncarnationHint(state, 7, now);
    CHECK(state.phase == expected);
  }
}

// Guards against a handover that loads an upstream which restarted between its two owners, also before its first
// answer, and against one that makes a warm upstream ramp up again.
TEST(UpstreamPolicy, HandoverGivesTheAllowanceWithTheFirstAnswerOfTheSameIncarnation) {
  const UpstreamLimits limits{.slots = 6};
  const TimePoint taken{std::chrono::hours(1)};
  CHECK(TakenOverUpstreamState(limits, 0, 7, taken) == InitialUpstreamState(taken));
  CHECK(TakenOverUpstreamState(limits, 6, 0, taken) == InitialUpstreamState(taken));
  const auto after_answer = [&](std::uint32_t concurrency_limit, AttemptReport report) {
    UpstreamState state = TakenOverUpstreamState(limits, concurrency_limit, 7, taken);
    LONGS_EQUAL(1, ConcurrencyLimit(state, limits));
    state = OnStart(state, taken + milliseconds(1));
    report.latency = milliseconds(9);
    return OnFinish(state, limits, report, taken + milliseconds(10));
  };
  CHECK(after_answer(9, {.incarnation = 7}).phase == UpstreamPhase::kWarm);
  LONGS_EQUAL(6, ConcurrencyLimit(after_answer(9, {.incarnation = 7}), limits));
  LONGS_EQUAL(4, ConcurrencyLimit(after_answer(4, {.incarnation = 7}), limits));
  LONGS_EQUAL(1, ConcurrencyLimit(after_answer(9, {.incarnation = 8}), limits));
  LONGS_EQUAL(1, ConcurrencyLimit(after_answer(9, {.incarnation = 7, .cold = true}), limits));
  LONGS_EQUAL(1, ConcurrencyLimit(after_answer(9, {.result = AttemptResult::kConnectionLost}), limits));
}

// Guards against an upstream that stays out for good when its owner met it while it drained and no answer named its
// incarnation: the first hint shows the draining process, a second one its successor.
TEST(UpstreamPolicy, SecondHintEndsADrainWithoutAKnownIncarnation) {
  state = InitialUpstreamState(now);
  Run({.result = AttemptResult::kShed, .draining = true}, 10);
  state = OnIncarnationHint(state, 7, now);
  CHECK(state.phase == UpstreamPhase::kDraining);
  state = OnIncarnationHint(state, 8, now);
  CHECK(state.phase == UpstreamPhase::kCold);
}

}  // namespace pimentomoor
