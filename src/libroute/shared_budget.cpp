// Implementation of the shared budgets.
#include "pimentomoor/shared_budget.h"

#include <algorithm>

namespace pimentomoor {

std::int64_t RetryWindow::IndexAt(TimePoint now, Duration window) {
  return now.time_since_epoch() / (window / static_cast<std::int64_t>(kSlots));
}

RetryWindow::Slot& RetryWindow::SlotAt(TimePoint now, Duration window) {
  const std::int64_t index = IndexAt(now, window);
  Slot& slot = slots_[static_cast<std::size_t>(index) % slots_.size()];
  if (slot.index != index) {
    slot = Slot{.index = index};
  }
  return slot;
}

void RetryWindow::CountRequest(TimePoint now, Duration window) { ++SlotAt(now, window).requests; }
void RetryWindow::CountExtra(TimePoint now, Duration window) { ++SlotAt(now, window).extras; }

double RetryWindow::requests(TimePoint now, Duration window) const {
  const std::int64_t oldest = IndexAt(now, window) - static_cast<std::int64_t>(kSlots);
  double sum = 0;
  for (const auto& slot : slots_) {
    sum += slot.index > oldest ? slot.requests : 0;
  }
  return sum;
}

double RetryWindow::extras(TimePoint now, Duration window) const {
  const std::int64_t oldest = IndexAt(now, window) - static_cast<std::int64_t>(kSlots);
  double sum = 0;
  for (const auto& slot : slots_) {
    sum += slot.index >= oldest ? slot.extras : 0;
  }
  return sum;
}

double ExtrasLeft(const RetryWindow& window, const RetryBudgetSettings& settings, std::size_t daemons,
                  TimePoint started, TimePoint now) {
  // Daemons learn of each other within half a second; until then, each may add by a larger share.
  constexpr Duration kHeardWithin = std::chrono::milliseconds(500);
  const bool window_passed = now - started >= settings.window + kHeardWithin;
  const double share =
      window_passed ? settings.allowance / static_cast<double>(std::max<std::size_t>(daemons, 1)) : 0.0;
  const double bound = settings.ratio * window.requests(now, settings.window) + share;
  return bound * settings.safety - window.extras(now, settings.window);
}

bool MayAddExtra(const RetryWindow& window, const RetryBudgetSettings& settings, std::size_t daemons,
                 TimePoint started, TimePoint now) {
  return ExtrasLeft(window, settings, daemons, started, now) >= 1;
}

std::size_t ColdSenders(double slack, std::size_t daemons) {
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(slack, 1.0)), 1,
                                 std::max<std::size_t>(daemons, 1));
}

bool ColdAllowance::Take(TimePoint now, double rate, double slack, std::size_t daemons) {
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
