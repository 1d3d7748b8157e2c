// Tests of query deadlines and load shedding.
#include "pimentomoor/deadline_policy.h"

#include <cstdlib>

#include "CppUTest/TestHarness.h"  // after the others: its macro "new" breaks standard headers
#include "property.h"

namespace pimentomoor {

using std::chrono::milliseconds;

TEST_GROUP(DeadlinePolicy){};

// Guards against sub-query budgets that are negative, that grow as time passes or with the number of hops, or that
// let the answer miss the caller's deadline.
TEST(DeadlinePolicy, BudgetIsMonotoneAndNeverNegative) {
  CHECK(CheckProperty(1'000, "split", [] {
    const DeadlineSettings settings{.coverage_first = *rc::gen::arbitrary<bool>()};
    const TimePoint arrival{std::chrono::hours(1)};
    const milliseconds requested(*rc::gen::inRange(-100, 4'000));
    const milliseconds extension(*rc::gen::inRange(0, 1'000));
    const TimePoint now = arrival + milliseconds(*rc::gen::inRange(0, 3'000));
    const auto hops = *rc::gen::inRange<std::uint32_t>(0, 10);
    const QueryDeadlines deadlines = PlanDeadlines(settings, arrival, requested);
    const Duration budget = SubQueryBudget(settings, deadlines, now, hops);
    RC_ASSERT(arrival <= deadlines.soft && deadlines.soft <= deadlines.hard);
    RC_ASSERT(deadlines.hard <= arrival + std::max<Duration>(requested, Duration::zero()));
    RC_ASSERT(deadlines.hard <= arrival + settings.hard);
    RC_ASSERT(budget >= Duration::zero());
    RC_ASSERT((budget == Duration::zero() || now + budget + settings.reserve_per_hop * hops <= deadlines.hard));
    RC_ASSERT(SubQueryBudget(settings, deadlines, now + extension, hops) <= budget);
    RC_ASSERT(SubQueryBudget(settings, deadlines, now, hops + 1) <= budget);
    RC_ASSERT(SubQueryBudget(settings, PlanDeadlines(settings, arrival, requested + extension), now, hops) >= budget);
    RC_ASSERT(PlanDeadlines(settings, arrival, settings.hard) == PlanDeadlines(settings, arrival, std::nullopt));
  }));
}

// Guards against incomplete answers that are sent after the soft deadline without coverage_first, and before the hard
// deadline with coverage_first.
TEST(DeadlinePolicy, CoverageFirstSelectsTheDeadlineOfIncompleteAnswers) {
  for (const bool coverage_first : {false, true}) {
    const DeadlineSettings settings{.coverage_first = coverage_first};
    const TimePoint arrival{std::chrono::hours(1)};
    const QueryDeadlines deadlines = PlanDeadlines(settings, arrival, milliseconds(500));
    CHECK(ShouldAnswer(settings, deadlines, arrival, 40, 40));
    CHECK(!ShouldAnswer(settings, deadlines, arrival + milliseconds(94), 39, 40));
    CHECK_EQUAL(!coverage_first, ShouldAnswer(settings, deadlines, arrival + milliseconds(95), 39, 40));
    CHECK_EQUAL(!coverage_first, ShouldAnswer(settings, deadlines, arrival + milliseconds(499), 39, 40));
    CHECK(ShouldAnswer(settings, deadlines, arrival + milliseconds(500), 0, 40));
  }
}

// Guards against shedding a request that can be answered in time, and against queueing one that can't: an overloaded
// upstream that accepts every request that can start in time answers nearly all of them too late.
TEST(DeadlinePolicy, ShedsExactlyTheRequestsThatEndTooLate) {
  CHECK(CheckProperty(1'000, "shed", [] {
    const auto queued = *rc::gen::inRange<std::uint32_t>(0, 200);
    const auto concurrency_limit = *rc::gen::inRange<std::uint32_t>(1, 7);
    const std::int64_t service_ms = *rc::gen::inRange(0, 50);
    const milliseconds remaining(*rc::gen::inRange(-10, 2'000));
    const std::int64_t twice_end_time =
        2 * service_ms * queued + 3 * service_ms * concurrency_limit;  // in ms / concurrency_limit
    const bool late = queued > 0 && twice_end_time >= 2 * remaining.count() * concurrency_limit;
    RC_ASSERT(ShouldShed(queued, concurrency_limit, milliseconds(service_ms), remaining) ==
              (late || remaining.count() <= 0));
    RC_ASSERT(ShouldShed(queued, 0, milliseconds(service_ms), remaining));
  }));
}

// Guards against starting a queued request whose answer can't come in time, which would block a cold upstream for
// nothing. Also guards against a mean service time that never recovers because every request is refused.
TEST(DeadlinePolicy, ShedsLateQueuedRequestsButNotOnesThatDidNotWait) {
  CHECK(ShouldShedBeforeStart(milliseconds(5), milliseconds(20), milliseconds(29)));
  CHECK_FALSE(ShouldShedBeforeStart(milliseconds(5), milliseconds(20), milliseconds(30)));
  CHECK_FALSE(ShouldShedBeforeStart(milliseconds(0), milliseconds(20), milliseconds(1)));
  CHECK(ShouldShedBeforeStart(milliseconds(0), milliseconds(0), milliseconds(0)));
}

}  // namespace pimentomoor
