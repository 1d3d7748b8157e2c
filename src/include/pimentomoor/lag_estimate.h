// Estimates how late the event loop runs due timers. On a host with a small CPU share, ready work waits behind
// earlier work. The request path subtracts this lag from its deadlines so that answers still arrive in time.
#pragma once

#include <algorithm>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Moving average of timer lateness that weights increases twice as much as decreases, so it errs on the high side.
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
