// Budgets that all daemons share without talking on the request path. Each daemon takes its part from what it counts
// itself and from the number of daemons; the sum of the parts stays below the bound also while daemons start and die.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "pimentomoor/clock.h"

namespace pimentomoor {

struct RetryBudgetSettings {
  double ratio = 0.2;     // extra arrivals per request
  double allowance = 52;  // extra arrivals of all daemons together in a window, beyond the ratio
  Duration window = std::chrono::seconds(10);
  // Part of the bound that is used: an attempt that was sent late in one window can arrive in the next one.
  double safety = 0.92;
  // Part of the ratio that comes from requests of the same window: without it a growing load has no retries for a
  // window; with nothing else, retries can't come in bursts.
  double current_window_share = 0.5;

  friend bool operator==(const RetryBudgetSettings&, const RetryBudgetSettings&) = default;
};

/// Requests and extra arrivals of one service at this daemon, over a sliding window.
class RetryBudgetWindow {
 public:
  void CountRequest(TimePoint now, Duration window);
  void CountExtraRequest(TimePoint now, Duration window);

  /// Extra arrivals that the ratio alone leaves, negative when they come from the allowance: the least over all
  /// windows that hold `now`, also those that end later and to which no further request may come. Each window of
  /// extras may take current_window_share of the ratio from its own requests and the rest from the window before it;
  /// both are sums over daemons for the same window, so the daemons' parts add up to the bound whenever each of them
  /// spends.
  [[nodiscard]] double ExtraRequestsLeft(TimePoint now, const RetryBudgetSettings& settings) const;

 private:
  static constexpr std::size_t kSlots = 20;              // of a window
  static constexpr std::size_t kKeptSlots = 2 * kSlots;  // beside the current one
  struct Slot {
    std::int64_t index = -1;  // number of the slot since the clock's start
    std::uint32_t requests = 0;
    std::uint32_t extras = 0;
  };
  static std::int64_t IndexAt(TimePoint now, Duration window);
  static std::size_t PlaceOf(std::int64_t index) { return static_cast<std::size_t>(index) % (kKeptSlots + 1); }
  Slot& SlotAt(TimePoint now, Duration window);

  std::array<Slot, kKeptSlots + 1> slots_{};
};

/// Extra arrivals that this daemon may still add in the current window; negative when its part has shrunk below what
/// it has used. `daemons` is 0 while it is unknown; the daemon then has the ratio only. `started` is the start of
/// this process: its predecessor at the same address, or the fewer daemons before it, may have spent the allowance of
/// the last window at its end. So for one window a new process has the ratio only; a part that grows during this time
/// exceeds the sum.
double ExtraRequestsLeft(const RetryBudgetWindow& window, const RetryBudgetSettings& settings, std::size_t daemons,
                         TimePoint started, TimePoint now);

/// Whether one more extra arrival stays within this daemon's part.
bool MaySendExtraRequest(const RetryBudgetWindow& window, const RetryBudgetSettings& settings, std::size_t daemons,
                         TimePoint started, TimePoint now);

/// How many of `daemons` may send to one cold upstream: each needs the allowance of a whole request, and together
/// they have `slack` requests.
std::size_t ColdSenderCount(double slack, std::size_t daemons);

/// Requests that a cold upstream may get from this daemon: a token bucket with this daemon's part of the rate.
class ColdRateLimiter {
 public:
  /// Takes one request's allowance. `rate` and `slack` are those of all daemons together.
  bool TryTake(TimePoint now, double rate, double slack, std::size_t daemons);

 private:
  double tokens_ = 0;
  TimePoint refilled_{};
};

}  // namespace pimentomoor
