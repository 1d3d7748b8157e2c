// Tests of the state that the owner of an upstream keeps for it.
#include "pimentomoor/upstream_policy.h"

#include <algorithm>
#include <cstdlib>
#include <random>

#include "CppUTest/TestHarness.h"  // after the others: its macro "new" breaks standard headers
#include "property.h"

namespace pimentomoor {

namespace {

using std::chrono::milliseconds;

// Drives one UpstreamState through random events and checks it against a simpler model of the upstream, which says
// how many requests may run and whether the upstream is draining.
class RandomHistory {
 public:
  explicit RandomHistory(std::uint64_t seed) : random_(seed) {
    limits_ = {.slots = RandomIn(1, 7), .connections = RandomIn(1, 9), .cold_concurrency_limit = RandomIn(1, 2)};
    limits_.lost_connection_hold = milliseconds(RandomIn(0, 1'500));
    limits_.timeout_hold = milliseconds(RandomIn(0, 1'500));
    max_concurrency_ = std::min(limits_.slots, limits_.connections);
  }

  void Step() {
    const std::uint32_t event = RandomIn(0, 9);
    if (event < 2) {
      now_ += milliseconds(RandomIn(0, 9) == 0 ? RandomIn(0, 20'000) : RandomIn(0, 300));
      current_process_ += RandomIn(0, 19) == 0 ? 1 : 0;
    } else if (event == 2) {
      ReadHostList(RandomIn(0, 7) != 0, RandomIn(0, 7) == 0);
    } else if (event == 3) {
      const std::uint64_t hint =
          RandomIn(0, 3) == 0 ? current_process_ : RandomIn(1, static_cast<std::uint32_t>(current_process_));
      state_ = OnIncarnationHint(state_, hint, now_);
      draining_ = draining_ && hint == answered_process_;
    } else if (event < 7) {
      TryStart();
    } else if (!running_.empty()) {
      FinishRandom();
    }
    RC_ASSERT(state_.running == running_.size());
  }

  // Continues without faults; the upstream must become warm with its full concurrency limit.
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
    RC_ASSERT(state_.phase == UpstreamPhase::kWarm && ConcurrencyLimit(state_, limits_) == max_concurrency_);
  }

 private:
  struct Running {
    TimePoint started;
    std::uint64_t process;
  };

  std::uint32_t RandomIn(std::uint32_t low, std::uint32_t high) {
    return low + static_cast<std::uint32_t>(random_() % (high - low + 1));
  }

  void TryStart() {
    if (!MayStart(state_, limits_, now_)) {
      return;
    }
    RC_ASSERT(!draining_);
    RC_ASSERT((state_.phase != UpstreamPhase::kDown || now_ - last_start_ >= limits_.probe_interval));
    last_start_ = now_;
    running_.push_back({.started = now_, .process = current_process_});
    state_ = OnStart(state_, now_);
    const auto still_abandoned =
        std::count_if(abandoned_.begin(), abandoned_.end(), [this](TimePoint end) { return now_ < end; });
    // The model allows one raise per success and per ramp_interval since the upstream last showed that it is cold.
    const std::int64_t raises = std::min<std::int64_t>((now_ - cold_since_) / limits_.ramp_interval, successes_);
    const std::int64_t max_requests =
        std::min<std::int64_t>(max_concurrency_, limits_.cold_concurrency_limit + raises);
    RC_ASSERT(static_cast<std::int64_t>(running_.size()) + still_abandoned <= max_requests);
    RC_ASSERT(OccupiedSlots(state_, now_) <= ConcurrencyLimit(state_, limits_));
  }

  void FinishRandom() {
    const std::size_t index = random_() % running_.size();
    AttemptReport report{.result =
                             RandomIn(0, 2) != 0 ? AttemptResult::kOk : static_cast<AttemptResult>(RandomIn(0, 6))};
    if (report.result <= AttemptResult::kShed || report.result >= AttemptResult::kError) {
      report.incarnation = running_[index].process;
      report.cold = RandomIn(0, 19) == 0;
      report.draining = RandomIn(0, 29) == 0;
    }
    Finish(index, report);
  }

  void Finish(std::size_t index, AttemptReport report) {
    const Running attempt = running_[index];
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    report.latency = now_ - attempt.started;
    const bool connection_lost = report.result == AttemptResult::kConnectionLost;
    if (connection_lost || report.result == AttemptResult::kTimeout) {
      abandoned_.push_back(now_ + (connection_lost ? limits_.lost_connection_hold : limits_.timeout_hold));
    }
    // When the upstream restarts twice during one request, its next answer shows which process is the current one.
    const bool is_current = report.incarnation == answered_process_ || attempt.started > answered_process_since_;
    const bool is_newer = report.incarnation > answered_process_ && is_current;
    if ((is_newer && answered_process_ != 0) || report.cold || connection_lost ||
        report.result == AttemptResult::kConnectFailed || report.result == AttemptResult::kShed) {
      cold_since_ = now_;
      successes_ = 0;
    } else if (report.result == AttemptResult::kOk && attempt.started > cold_since_) {
      ++successes_;
    }
    draining_ = (draining_ && !(is_newer && answered_process_ != 0)) ||
                (report.draining && report.incarnation >= answered_process_ && is_current);
    answered_process_since_ = is_newer ? now_ : answered_process_since_;
    answered_process_ = is_newer ? report.incarnation : answered_process_;
    state_ = OnFinish(state_, limits_, report, now_);
    leave_shown_ = leave_shown_ && state_.phase == UpstreamPhase::kDraining;
  }

  void ReadHostList(bool listed, bool leaving) {
    state_ = OnHostList(state_, listed, leaving, now_);
    leave_shown_ = leave_shown_ || (state_.phase == UpstreamPhase::kDraining && (!listed || leaving));
    if (listed && !leaving && leave_shown_) {
      draining_ = leave_shown_ = false;
    }
  }

  std::mt19937_64 random_;
  UpstreamLimits limits_;
  std::uint32_t max_concurrency_ = 0;
  TimePoint now_{std::chrono::hours(1)};
  UpstreamState state_ = InitialUpstreamState(now_);
  std::vector<Running> running_;
  std::vector<TimePoint> abandoned_;    // latest time at which each abandoned request stops
  std::uint64_t current_process_ = 1;   // incarnation of the running process, which takes new requests
  std::uint64_t answered_process_ = 0;  // newest incarnation that an answer has named
  TimePoint answered_process_since_{};
  TimePoint cold_since_ = now_;
  TimePoint last_start_{};
  std::int64_t successes_ = 0;  // successful requests that started after cold_since_
  bool draining_ = false;
  bool leave_shown_ = false;  // the host list has shown the draining upstream as leaving or gone
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
  // Makes the upstream warm with all slots and fills the latency baseline.
  void setup() override {
    for (int i = 0; i < 40; ++i) {
      Run({.incarnation = 1}, 100);
    }
  }
};

// Guards against more running requests than a cold, draining or failed upstream may get, and against an upstream that
// never recovers.
TEST(UpstreamPolicy, RandomHistoriesStayWithinTheConcurrencyLimit) {
  CHECK(CheckProperty(1'000, "upstream bears its load", [] {
    RandomHistory history(*rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i < 400; ++i) {
      history.Step();
    }
    history.CheckRecovery();
  }));
}

// Guards against full load on an upstream that has become cold without saying so, against a single slow query that
// makes an upstream cold, and against an upstream that has become slower for good and becomes cold again and again.
TEST(UpstreamPolicy, OnlyConsecutiveSlowAnswersMakeItCold) {
  int times_cold = 0;
  for (std::uint32_t i = 1; i <= 200; ++i) {
    Run({.incarnation = 1}, 500);
    times_cold += state.cold_since == now ? 1 : 0;
    CHECK_EQUAL(i >= limits.cold_after_slow_answers ? 1 : 0, times_cold);
  }
  CHECK(state.phase == UpstreamPhase::kWarm);
}

// Guards against a restarted process that counts as down or draining because of reports about the previous process.
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

// Guards against a down upstream that gets more requests than probes, that becomes cold by the answer to a request
// from before its failure, or that is probed although the host list no longer contains it. Also guards against
// failures that add up although good answers came between them.
TEST(UpstreamPolicy, ConsecutiveConnectionFailuresLeaveOnlyProbes) {
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

// Guards against an upstream that sheds a request and gets the next one at once.
TEST(UpstreamPolicy, ShedAnswersPauseTheUpstream) {
  Run({.result = AttemptResult::kShed}, 1);
  CHECK(!MayStart(state, limits, now + limits.shed_pause - milliseconds(1)));
  CHECK(MayStart(state, limits, now + limits.shed_pause));
}

// Guards against a lagging host list that drains an upstream which has just restarted, against a leaving upstream
// that still gets requests, and against a drain that ends because the list still shows the state before the drain.
TEST(UpstreamPolicy, LaggingHostListNeitherDrainsARestartedUpstreamNorEndsADrain) {
  Run({.incarnation = 1, .draining = true}, 10);
  CHECK(OnHostList(state, true, false, now).phase == UpstreamPhase::kDraining);
  Run({.incarnation = 2}, 10);
  CHECK(OnHostList(state, true, true, now + milliseconds(4'000)).phase == UpstreamPhase::kCold);
  CHECK(OnHostList(state, true, true, now + milliseconds(6'000)).phase == UpstreamPhase::kDraining);
}

// Guards against a health endpoint that keeps showing a wrong incarnation and thereby ends every drain of the
// upstream.
TEST(UpstreamPolicy, HintEndsADrainOncePerValue) {
  for (const UpstreamPhase expected : {UpstreamPhase::kCold, UpstreamPhase::kDraining}) {
    Run({.incarnation = 1, .draining = true}, 10);
    CHECK(!MayQueue(state, limits, 0, now));
    state = OnIncarnationHint(state, 7, now);
    CHECK(state.phase == expected);
  }
}

// Guards against a handover after which the new owner sends full load to an upstream that has restarted meanwhile, or
// that has not answered it yet, and against a handover that makes a warm upstream ramp up again.
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

// Guards against an upstream that drains forever because its owner started to use it while it was draining and no
// answer named its incarnation. The first hint shows the draining process, the second hint its successor.
TEST(UpstreamPolicy, SecondHintEndsADrainWithoutAKnownIncarnation) {
  state = InitialUpstreamState(now);
  Run({.result = AttemptResult::kShed, .draining = true}, 10);
  state = OnIncarnationHint(state, 7, now);
  CHECK(state.phase == UpstreamPhase::kDraining);
  state = OnIncarnationHint(state, 8, now);
  CHECK(state.phase == UpstreamPhase::kCold);
}

}  // namespace pimentomoor
