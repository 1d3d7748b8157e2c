// Events in the order of their time, on a clock that advances from event to event; for tests of pure state machines.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Base of a simulated world. Events of equal time run in the order in which they were added.
class Timeline {
 public:
  void Advance(Duration time) {
    const TimePoint end = now_ + time;
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
