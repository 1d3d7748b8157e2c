// Implementation of the shared budgets.
#include "pimentomoor/shared_budget.h"

#include <algorithm>
#include <limits>

namespace pimentomoor {

std::int64_t RetryBudgetWindow::IndexAt(TimePoint now, Duration window) {
  return now.time_since_epoch() / (window / static_cast<std::int64_t>(kSlots));
}

RetryBudgetWindow::Slot& RetryBudgetWindow::SlotAt(TimePoint now, Duration window) {
  const std::int64_t index = IndexAt(now, window);
  Slot& slot = slots_[PlaceOf(index)];
  if (slot.index != index) {
    slot = Slot{.index = index};
  }
  return slot;
}

void RetryBudgetWindow::CountRequest(TimePoint now, Duration window) { ++SlotAt(now, window).requests; }
void RetryBudgetWindow::CountExtraRequest(TimePoint now, Duration window) { ++SlotAt(now, window).extras; }

double RetryBudgetWindow::ExtraRequestsLeft(TimePoint now, const RetryBudgetSettings& settings) const {
  constexpr auto kWindow = static_cast<std::int64_t>(kSlots);
  const std::int64_t current = IndexAt(now, settings.window);
  const auto at = [this](std::int64_t index) {
    const Slot& slot = slots_[PlaceOf(index)];
    return slot.index == index ? slot : Slot{};
  };
  // Sums for windows that begin in slot `first`: of whole slots before it, of slots after it, and of extras.
  double before = 0;
  double inside = 0;
  double extras = 0;
  for (std::int64_t index = current - kWindow + 1; index < current; ++index) {
    before += at(index).requests;
  }
  double left = std::numeric_limits<double>::max();
  for (std::int64_t first = current; first >= current - kWindow; --first) {
    extras += at(first).extras;
    const double requests = settings.current_window_share * inside + (1 - settings.current_window_share) * before;
    left = std::min(left, settings.safety * settings.ratio * requests - extras);
    inside += at(first).requests;
    before += static_cast<double>(at(first - kWindow).requests) - at(first - 1).requests;
  }
  return left;
}

double ExtraRequestsLeft(const RetryBudgetWindow& window, const RetryBudgetSettings& settings, std::size_t daemons,
                         TimePoint started, TimePoint now) {
  // Daemons learn of each other within half a second; until then, each may add by a larger share.
  constexpr Duration kHeardWithin = std::chrono::milliseconds(500);
  const bool window_passed = now - started >= settings.window + kHeardWithin;
  const double share = window_passed && daemons > 0 ? settings.allowance / static_cast<double>(daemons) : 0.0;
  return window.ExtraRequestsLeft(now, settings) + settings.safety * share;
}

bool MaySendExtraRequest(const RetryBudgetWindow& window, const RetryBudgetSettings& settings, std::size_t daemons,
                         TimePoint started, TimePoint now) {
  return ExtraRequestsLeft(window, settings, daemons, started, now) >= 1;
}

std::size_t ColdSenderCount(double slack, std::size_t daemons) {
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(slack, 1.0)), 1,
                                 std::max<std::size_t>(daemons, 1));
}

bool ColdRateLimiter::TryTake(TimePoint now, double rate, double slack, std::size_t daemons) {
  const double parts = static_cast<double>(std::max<std::size_t>(daemons, 1));
  const double capacity = std::max(1.0, slack / parts);
  if (refilled_ == TimePoint{}) {
    tokens_ = std::min(1.0, slack / parts);
  } else {
    tokens_ = std::min(capacity, tokens_ + std::chrono::duration<double>(now - refilled_).count() * rate / parts);
  }
  refilled_ = now;
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

}  // namespace pimentomoor
