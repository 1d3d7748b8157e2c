// Implementation of the shared budgets.
#include "pimentomoor/shared_budget.h"

#include <algorithm>
#include <limits>

namespace pimentomoor {

std::int64_t RetryBudgetWindow::SlotIndexAt(TimePoint now, Duration window) {
  return now.time_since_epoch() / (window / static_cast<std::int64_t>(kSlots));
}

RetryBudgetWindow::Slot& RetryBudgetWindow::SlotAt(TimePoint now, Duration window) {
  const std::int64_t index = SlotIndexAt(now, window);
  Slot& slot = slots_[SlotPosition(index)];
  if (slot.index != index) {
    slot = Slot{.index = index};
  }
  return slot;
}

void RetryBudgetWindow::CountRequest(TimePoint now, Duration window) { ++SlotAt(now, window).requests; }
void RetryBudgetWindow::CountExtraRequest(TimePoint now, Duration window) { ++SlotAt(now, window).extra_requests; }

double RetryBudgetWindow::ExtraRequestsLeft(TimePoint now, const RetryBudgetSettings& settings) const {
  constexpr auto kWindowSlots = static_cast<std::int64_t>(kSlots);
  const std::int64_t current = SlotIndexAt(now, settings.window);
  const auto slot_at = [this](std::int64_t index) {
    const Slot& slot = slots_[SlotPosition(index)];
    return slot.index == index ? slot : Slot{};
  };
  // Sums for the window that begins in slot `first_slot`: requests in the whole slots of the preceding window,
  // requests in the slots after `first_slot`, and extra requests since `first_slot`.
  double requests_before = 0;
  double requests_inside = 0;
  double extra_requests = 0;
  for (std::int64_t index = current - kWindowSlots + 1; index < current; ++index) {
    requests_before += slot_at(index).requests;
  }
  double extra_requests_left = std::numeric_limits<double>::max();
  for (std::int64_t first_slot = current; first_slot >= current - kWindowSlots; --first_slot) {
    extra_requests += slot_at(first_slot).extra_requests;
    const double requests =
        settings.current_window_share * requests_inside + (1 - settings.current_window_share) * requests_before;
    extra_requests_left = std::min(extra_requests_left, settings.safety * settings.ratio * requests - extra_requests);
    requests_inside += slot_at(first_slot).requests;
    requests_before +=
        static_cast<double>(slot_at(first_slot - kWindowSlots).requests) - slot_at(first_slot - 1).requests;
  }
  return extra_requests_left;
}

double ExtraRequestsLeft(const RetryBudgetWindow& window, const RetryBudgetSettings& settings, std::size_t daemons,
                         TimePoint process_start, TimePoint now) {
  // Daemons learn of each other within half a second; until then, each of them takes too large a part of the
  // allowance.
  constexpr Duration kMaxDiscoveryTime = std::chrono::milliseconds(500);
  const bool window_passed = now - process_start >= settings.window + kMaxDiscoveryTime;
  const double allowance_part =
      window_passed && daemons > 0 ? settings.allowance / static_cast<double>(daemons) : 0.0;
  return window.ExtraRequestsLeft(now, settings) + settings.safety * allowance_part;
}

bool MaySendExtraRequest(const RetryBudgetWindow& window, const RetryBudgetSettings& settings, std::size_t daemons,
                         TimePoint process_start, TimePoint now) {
  return ExtraRequestsLeft(window, settings, daemons, process_start, now) >= 1;
}

std::size_t ColdSenderCount(double slack, std::size_t daemons) {
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(slack, 1.0)), 1,
                                 std::max<std::size_t>(daemons, 1));
}

bool ColdRateLimiter::TryTake(TimePoint now, double rate, double slack, std::size_t senders) {
  const double sender_count = static_cast<double>(std::max<std::size_t>(senders, 1));
  const double capacity = std::max(1.0, slack / sender_count);
  if (last_refill_ == TimePoint{}) {
    tokens_ = std::min(1.0, slack / sender_count);
  } else {
    tokens_ =
        std::min(capacity, tokens_ + std::chrono::duration<double>(now - last_refill_).count() * rate / sender_count);
  }
  last_refill_ = now;
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

}  // namespace pimentomoor
