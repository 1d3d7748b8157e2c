// Tests of the state machine of a stand-in upstream.
#include "upstream_model.h"

#include <algorithm>
#include <cstdlib>

#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {
namespace {

constexpr TimePoint kNoDeadline = TimePoint::max();
const TimePoint kStart{std::chrono::hours(1)};

// More than 8 standard deviations above the service time of other requests.
constexpr Duration kMinStragglerTime = std::chrono::milliseconds(150);

UpstreamModel MakeConstantTimeModel(UpstreamSpec spec = {}) {
  spec.service_time_sigma = 0;
  return {std::move(spec), 1};
}

}  // namespace

TEST_GROUP(UpstreamModel){};

// Guards against a stand-in that hides overload by running or queueing more than its limits.
TEST(UpstreamModel, RunsSlotsThenQueuesThenSheds) {
  UpstreamModel model = MakeConstantTimeModel({.slots = 2, .max_queued = 1});
  CHECK(model.Admit(1, kNoDeadline) == Admission::kStarted);
  CHECK(model.Admit(2, kNoDeadline) == Admission::kStarted);
  CHECK(model.Admit(3, kNoDeadline) == Admission::kQueued);
  CHECK(model.Admit(4, kNoDeadline) == Admission::kShed);
  const auto dequeued = model.Finish(kStart, 1);
  CHECK(dequeued.started == std::vector<JobId>{3});
  LONGS_EQUAL(1, model.counters().sheds);
  LONGS_EQUAL(2, model.counters().running_high);
}

// Guards against a queued request that starts after its deadline, so that its caller counts it twice.
TEST(UpstreamModel, DropsQueuedRequestsWhoseDeadlinePassed) {
  UpstreamModel model = MakeConstantTimeModel({.slots = 1, .max_queued = 2});
  model.Admit(1, kNoDeadline);
  model.Admit(2, kStart);
  model.Admit(3, kNoDeadline);
  const auto dequeued = model.Finish(kStart + std::chrono::milliseconds(1), 1);
  CHECK(dequeued.expired == std::vector<JobId>{2});
  CHECK(dequeued.started == std::vector<JobId>{3});
  LONGS_EQUAL(1, model.counters().expired);
}

// Guards against a cold upstream that takes full load, which would hide a query tier that doesn't ramp up its load.
TEST(UpstreamModel, ColdUpstreamRunsOneRequestAtATimeUntilWarm) {
  UpstreamModel model = MakeConstantTimeModel({.slots = 3, .cold_requests = 2, .cold_factor = 4});
  const Duration warm = model.DrawServiceTime();
  const auto incarnation = model.incarnation();
  model.Restart();
  CHECK(model.incarnation() != incarnation);
  CHECK(model.DrawServiceTime() == warm * 4);
  for (JobId id = 1; id <= 2; ++id) {
    CHECK(model.Admit(id, kNoDeadline) == Admission::kStarted);
    CHECK(model.Admit(id + 100, kNoDeadline) == Admission::kOverload);
    model.Finish(kStart, id);
  }
  CHECK_FALSE(model.cold());
  CHECK(model.DrawServiceTime() == warm);
  LONGS_EQUAL(2, model.counters().overload_violations);
}

// Guards against drain counters that miss requests, which would hide a violation of invariant 8: a draining upstream
// gets no new work.
TEST(UpstreamModel, CountsRequestsAfterDrainBegan) {
  UpstreamModel model = MakeConstantTimeModel();
  model.Receive(kStart, 1);
  model.BeginDrain(kStart);
  model.Receive(kStart + std::chrono::milliseconds(7), 1);
  CHECK(model.Admit(1, kNoDeadline) == Admission::kStarted);
  model.RefuseRequests();
  CHECK(model.Admit(2, kNoDeadline) == Admission::kDraining);
  LONGS_EQUAL(1, model.counters().after_drain);
  CHECK(model.counters().last_after_drain == std::chrono::milliseconds(7));
}

// Guards against new connections without connect_delay, which would hide the cost of cancelling by closing
// connections.
TEST(UpstreamModel, ChargesEachNewConnectionOnce) {
  UpstreamModel model = MakeConstantTimeModel({.connect_delay = std::chrono::milliseconds(6)});
  CHECK(model.Receive(kStart, 1) == std::chrono::milliseconds(6));
  CHECK(model.Receive(kStart, 1) == Duration{});
  CHECK(model.Receive(kStart, 2) == std::chrono::milliseconds(6));
  CHECK(model.Receive(kStart, 1) == Duration{});
  CHECK(model.Receive(kStart, 2) == std::chrono::milliseconds(6));
  LONGS_EQUAL(3, model.counters().connects);
}

// Guards against service times without the median, spread and stragglers of the UpstreamSpec.
TEST(UpstreamModel, ServiceTimesFollowTheSpec) {
  UpstreamModel model(
      {.median_service_time = std::chrono::milliseconds(8), .service_time_sigma = 0.35, .straggler_factor = 100}, 3);
  model.SetStraggler(0.05, 100);
  std::vector<Duration> times(10'000);
  std::generate(times.begin(), times.end(), [&] { return model.DrawServiceTime(); });
  std::sort(times.begin(), times.end());
  // 5% stragglers move the median to the 52.6th percentile of the log-normal part:
  // 8 ms * exp(0.35 * 0.066) = 8.19 ms.
  DOUBLES_EQUAL(8.19e6, static_cast<double>(times[5'000].count()), 0.15e6);
  const auto stragglers = std::count_if(times.begin(), times.end(), [](Duration t) { return t > kMinStragglerTime; });
  DOUBLES_EQUAL(500, static_cast<double>(stragglers), 80);
}

// Guards against lost or repeated jobs: each admitted job must start or expire once, within the slot limit.
TEST(UpstreamModel, EachAdmittedJobStartsOrExpiresOnce) {
  CHECK(CheckProperty(1'000, "each admitted job starts or expires once", [] {
    UpstreamModel model = MakeConstantTimeModel({.slots = *rc::gen::inRange<std::size_t>(1, 4),
                                                 .max_queued = *rc::gen::inRange<std::size_t>(0, 4),
                                                 .cold_requests = 2});
    std::set<JobId> running;
    std::set<JobId> waiting;
    TimePoint now = kStart;
    JobId id = 0;
    const auto finish = [&] {
      const JobId done = *running.begin();
      running.erase(done);
      const auto dequeued = model.Finish(now, done);
      for (const JobId started : dequeued.started) {
        RC_ASSERT(waiting.erase(started) == 1U);
        running.insert(started);
      }
      for (const JobId expired : dequeued.expired) {
        RC_ASSERT(waiting.erase(expired) == 1U);
      }
    };
    for (const auto step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8))) {
      now += std::chrono::milliseconds(1);
      if (step == 0) {
        model.TurnCold();
      } else if (step < 4 && !running.empty()) {
        finish();
      } else {
        const auto admission = model.Admit(++id, now + std::chrono::milliseconds(step));
        const bool allowed = running.size() < (model.cold() ? 1 : model.spec().slots);
        RC_ASSERT((admission == Admission::kStarted) == allowed);
        if (admission == Admission::kStarted) {
          running.insert(id);
        } else if (admission == Admission::kQueued) {
          waiting.insert(id);
        }
      }
      RC_ASSERT(model.running_jobs() == running.size());
      RC_ASSERT(model.queued_jobs() == waiting.size());
      RC_ASSERT(waiting.size() <= model.spec().max_queued);
    }
    while (!running.empty()) {
      finish();
    }
    RC_ASSERT(waiting.empty());
  }));
}

}  // namespace pimentomoor
