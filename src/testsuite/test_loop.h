// Runs an event loop with a clock that advances by one millisecond per turn of the loop, so that the result of a test
// does not depend on the load of the machine. Sockets still use real I/O: a request over loopback takes a few turns.
#pragma once

#include <functional>

#include "pimentomoor/clock.h"
#include "pimentomoor/event_loop.h"

namespace pimentomoor {

/// Runs turns of the loop until `done` returns true or `limit` has passed on `clock`. Returns false when the limit
/// was reached. `loop` must use `clock`.
inline bool RunTurns(EventLoop& loop, ManualClock& clock, const std::function<bool()>& done, Duration limit) {
  const TimePoint end = clock.Now() + limit;
  while (!done()) {
    if (clock.Now() >= end) {
      return false;
    }
    loop.RunOnce(std::chrono::milliseconds(1));
    clock.Advance(std::chrono::milliseconds(1));
  }
  return true;
}

}  // namespace pimentomoor
