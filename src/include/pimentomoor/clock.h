// Monotonic clocks for leases, deadlines and quotas.
//
// SystemClock reads CLOCK_BOOTTIME, which never steps and also advances while the process is stopped or the machine
// is suspended. A resumed process therefore sees at once which of its leases and deadlines have expired.
#pragma once

#include <chrono>
#include <cstdint>

namespace pimentomoor {

using Duration = std::chrono::nanoseconds;

/// Clock type of time points counted from the boot of the machine. Time points of different hosts can't be compared.
struct BootTime {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootTime, Duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): name required by std::chrono
};

using TimePoint = BootTime::time_point;

/// Source of the current time. Components take a Clock by reference, so that tests can stop and advance time.
class Clock {
 public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual TimePoint Now() const = 0;
};

/// Reads the machine's CLOCK_BOOTTIME.
class SystemClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const override;
};

/// A clock for tests that changes only in Advance(). Starts at one hour, so that a time point minus a timeout stays
/// positive.
class ManualClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const override { return now_; }
  void Advance(Duration step) { now_ += step; }

 private:
  TimePoint now_{std::chrono::hours(1)};
};

}  // namespace pimentomoor
