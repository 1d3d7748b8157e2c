// Implementation of query deadlines and load shedding.
#include "pimentomoor/deadline_policy.h"

#include <algorithm>

namespace pimentomoor {

QueryDeadlines PlanDeadlines(const DeadlineSettings& settings, TimePoint arrival, std::optional<Duration> requested) {
  const Duration hard = std::max(Duration::zero(), std::min(requested.value_or(settings.hard), settings.hard));
  const Duration soft = std::max(Duration::zero(), std::min(settings.soft, hard));
  return {.soft = arrival + soft, .hard = arrival + hard};
}

QueryDeadlines PlanDeadlinesNaive(const DeadlineSettings& settings, TimePoint arrival,
                                  std::optional<Duration> /*requested*/) {
  return {.soft = arrival + settings.hard, .hard = arrival + settings.hard};
}

Duration SubQueryBudget(const DeadlineSettings& settings, const QueryDeadlines& deadlines, TimePoint now,
                        std::uint32_t hops) {
  const TimePoint answer = settings.coverage_first ? deadlines.hard : deadlines.soft;
  return std::max(Duration::zero(), answer - now - settings.reserve_per_hop * std::int64_t{hops});
}

Duration SubQueryBudgetNaive(const DeadlineSettings& /*settings*/, const QueryDeadlines& deadlines, TimePoint now,
                             std::uint32_t /*hops*/) {
  return std::max(Duration::zero(), deadlines.hard - now);
}

bool ShouldAnswer(const DeadlineSettings& settings, const QueryDeadlines& deadlines, TimePoint now,
                  std::uint32_t covered, std::uint32_t total) {
  return covered >= total || now >= (settings.coverage_first ? deadlines.hard : deadlines.soft);
}

bool ShouldAnswerNaive(const DeadlineSettings& /*settings*/, const QueryDeadlines& deadlines, TimePoint now,
                       std::uint32_t covered, std::uint32_t total) {
  return covered >= total || now >= deadlines.hard;
}

bool ShouldShed(std::uint32_t queued, std::uint32_t concurrency_limit, Duration mean_service_time,
                Duration remaining) {
  if (remaining <= Duration::zero() || concurrency_limit == 0) {
    return true;
  }
  // Floating point, because the product of a long queue and a long service time overflows 64 bits.
  const auto mean = static_cast<double>(mean_service_time.count());
  const double wait = mean * queued / concurrency_limit;
  return queued > 0 && wait + kServiceTimeMargin * mean >= static_cast<double>(remaining.count());
}

bool ShouldShedBeforeStart(Duration waited, Duration mean_service_time, Duration remaining) {
  const double needed = kServiceTimeMargin * static_cast<double>(mean_service_time.count());
  return remaining <= Duration::zero() ||
         (waited > Duration::zero() && static_cast<double>(remaining.count()) < needed);
}

bool ShouldShedNaive(std::uint32_t /*queued*/, std::uint32_t /*concurrency_limit*/, Duration /*mean_service_time*/,
                     Duration remaining) {
  return remaining <= Duration::zero();
}

}  // namespace pimentomoor
