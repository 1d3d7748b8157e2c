// Implementation of SystemClock.
#include "pimentomoor/clock.h"

#include <ctime>

namespace pimentomoor {

TimePoint SystemClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace pimentomoor
