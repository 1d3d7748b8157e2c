// Discrete-event simulation for tests of state machines without I/O: scheduled events run in the order of their
// times, and the simulated clock advances from event to event.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Base class of a simulation. Events with equal times run in the order in which they were scheduled.
class Timeline {
 public:
  /// Advances the clock by `duration` and runs the events that are due on the way.
  void Advance(Duration duration) {
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.begin()->first <= end) {
      now_ = events_.begin()->first;
      events_.extract(events_.begin()).mapped()();
    }
    now_ = end;
  }

 protected:
  Timeline() = default;
  ~Timeline() = default;

  void ScheduleAt(TimePoint time, std::function<void()> event) { events_.emplace(time, std::move(event)); }

  TimePoint now_{std::chrono::hours(1)};

 private:
  std::multimap<TimePoint, std::function<void()>> events_;
};

}  // namespace pimentomoor
