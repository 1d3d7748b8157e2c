// Budgets that all daemons share without messages on the request path: extra requests (retries and hedges) per
// service, and requests to a cold upstream. Each daemon derives its part from its own counts and the number of
// daemons. The sum of the parts stays within the bound, also while daemons start and die.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Bound on the extra requests of all daemons together to one service: in any window, `ratio` times the number of
/// requests, plus `allowance`.
struct RetryBudgetSettings {
  double ratio = 0.2;                          // extra requests per request
  double allowance = 52;                       // extra requests of all daemons together in a window, beyond the ratio
  Duration window = std::chrono::seconds(10);  // length of the sliding window
  // Fraction of the bound that the daemons use, because an attempt that is sent late in one window can arrive at the
  // upstream in the next one.
  double safety = 0.92;
  // Fraction of the ratio that is earned by requests of the same window; the rest is earned by the preceding window.
  // At 0, a growing load would have no retries for a whole window; at 1, retries could not come in bursts.
  double current_window_share = 0.5;

  friend bool operator==(const RetryBudgetSettings&, const RetryBudgetSettings&) = default;
};

/// Counts the requests and extra requests that this daemon has sent to one service, in slots of a sliding window.
class RetryBudgetWindow {
 public:
  void CountRequest(TimePoint now, Duration window);
  void CountExtraRequest(TimePoint now, Duration window);

  /// Number of extra requests that the ratio alone still allows; negative when extra requests have used the
  /// allowance. It is the minimum over all windows that contain `now`, including those that end later, as if no
  /// further request came in them. In each window, requests of the same window earn current_window_share of the
  /// ratio, and requests of the preceding window earn the rest. Both sums cover the same window at all daemons, so
  /// the daemons' parts add up to the bound at whatever time each of them spends its part.
  [[nodiscard]] double ExtraRequestsLeft(TimePoint now, const RetryBudgetSettings& settings) const;

 private:
  static constexpr std::size_t kSlots = 20;              // number of slots in a window
  static constexpr std::size_t kKeptSlots = 2 * kSlots;  // number of past slots that are kept beside the current one
  struct Slot {
    std::int64_t index = -1;  // number of the slot since the epoch of the clock; -1: unused
    std::uint32_t requests = 0;
    std::uint32_t extra_requests = 0;
  };
  static std::int64_t SlotIndexAt(TimePoint now, Duration window);
  static std::size_t SlotPosition(std::int64_t index) { return static_cast<std::size_t>(index) % (kKeptSlots + 1); }
  Slot& SlotAt(TimePoint now, Duration window);

  std::array<Slot, kKeptSlots + 1> slots_{};
};

/// Number of extra requests that this daemon may still send in the current window; negative when its part has become
/// smaller than what it has used. `daemons` is the number of daemons that share the allowance, or 0 while it is
/// unknown; the daemon then gets no part of the allowance. `process_start` is the time at which this process
/// started. For one window after it, the process gets no part of the allowance either: its predecessor at the
/// same address, or the other daemons while they were fewer, may have just spent the whole allowance. If the
/// part grew during this window instead, the sum of the parts would exceed the bound.
double ExtraRequestsLeft(const RetryBudgetWindow& window, const RetryBudgetSettings& settings, std::size_t daemons,
                         TimePoint process_start, TimePoint now);

/// Whether one more extra request stays within this daemon's part.
bool MaySendExtraRequest(const RetryBudgetWindow& window, const RetryBudgetSettings& settings, std::size_t daemons,
                         TimePoint process_start, TimePoint now);

/// Number of daemons, out of `daemons`, that may send to one cold upstream. Together they may send `slack` requests
/// beyond the upstream's rate, and each of them needs at least one whole request of these.
std::size_t ColdSenderCount(double slack, std::size_t daemons);

/// Limits the requests of this daemon to one cold upstream: a token bucket with this daemon's part of the rate.
class ColdRateLimiter {
 public:
  /// Takes the token for one request; returns false when there is none. `rate` (requests per second) and `slack`
  /// (burst in requests) are those of all `senders` daemons together.
  bool TryTake(TimePoint now, double rate, double slack, std::size_t senders);

 private:
  double tokens_ = 0;
  TimePoint last_refill_{};
};

}  // namespace pimentomoor
