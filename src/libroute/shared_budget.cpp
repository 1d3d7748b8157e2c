// Implementation of the shared budgets.
#include "pimentomoor/shared_budget.h"

#include <algorithm>

namespace pimentomoor {

std::int64_t RetryWindow::IndexAt(TimePoint now, Duration window) {
  return now.time_since_epoch() / (window / static_cast<std::int64_t>(kSlots));
}

RetryWindow::Slot& RetryWindow::SlotAt(TimePoint now, Duration window) {
  const std::int64_t index = IndexAt(now, window);
  Slot& slot = slots_[PlaceOf(index)];
  if (slot.index != index) {
    slot = Slot{.index = index};
  }
  return slot;
}

void RetryWindow::CountRequest(TimePoint now, Duration window) { ++SlotAt(now, window).requests; }
void RetryWindow::CountExtra(TimePoint now, Duration window) { ++SlotAt(now, window).extras; }

double RetryWindow::SteadyRequests(TimePoint now, Duration window) const {
  // A span of a window's length contains this many whole slots, wherever it begins.
  constexpr auto kWholeSlots = static_cast<std::int64_t>(kSlots) - 1;
  const std::int64_t current = IndexAt(now, window);
  const auto requests_at = [this](std::int64_t index) -> std::int64_t {
    const Slot& slot = slots_[PlaceOf(index)];
    return slot.index == index ? slot.requests : 0;
  };
  // Of the spans that end before the current slot, the last one first; each later one begins and ends a slot earlier.
  std::int64_t sum = 0;
  for (std::int64_t index = current - kWholeSlots; index < current; ++index) {
    sum += requests_at(index);
  }
  std::int64_t fewest = sum;
  for (std::int64_t end = current; end > current - static_cast<std::int64_t>(kSlots); --end) {
    sum += requests_at(end - 1 - kWholeSlots) - requests_at(end - 1);
    fewest = std::min(fewest, sum);
  }
  return static_cast<double>(fewest);
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
  const double share = window_passed && daemons > 0 ? settings.allowance / static_cast<double>(daemons) : 0.0;
  const double bound = settings.ratio * window.SteadyRequests(now, settings.window) + share;
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
