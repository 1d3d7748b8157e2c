// Tests of ManualClock and SystemClock.
#include "pimentomoor/clock.h"

#include <CppUTest/TestHarness.h>

namespace pimentomoor {

TEST_GROUP(Clock){};

// Guards against a manual clock that advances on its own, which would make tests of timeouts depend on machine load.
TEST(Clock, ManualClockMovesOnlyWhenAdvanced) {
  ManualClock clock;
  const TimePoint start = clock.Now();
  CHECK(clock.Now() == start);
  clock.Advance(std::chrono::milliseconds(5));
  CHECK(clock.Now() - start == std::chrono::milliseconds(5));
}

// Guards against a system clock source whose time can decrease.
TEST(Clock, SystemClockNeverGoesBack) {
  const SystemClock clock;
  TimePoint last = clock.Now();
  for (int i = 0; i < 1'000; ++i) {
    const TimePoint now = clock.Now();
    CHECK(now >= last);
    last = now;
  }
}

}  // namespace pimentomoor
