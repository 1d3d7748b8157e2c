// How late the event loop runs what is due: on a host with a small share of a core, work that is ready waits for work
// before it. Answers that must arrive in time are sent earlier by as much.
#pragma once

#include <algorithm>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// High estimate of the recent lateness of timers: rises at once, and decays with each timely sample.
class LagEstimate {
 public:
  void Record(Duration lateness) {
    const double sample = std::max(std::chrono::duration<double>(lateness).count(), 0.0);
    seconds_ = sample > seconds_ ? seconds_ + kRise * (sample - seconds_) : seconds_ + kDecay * (sample - seconds_);
  }
  [[nodiscard]] Duration value() const {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds_));
  }

 private:
  static constexpr double kRise = 0.1;
  static constexpr double kDecay = 0.05;
  double seconds_ = 0;
};

}  // namespace pimentomoor
