// Splits a query's time over its hops and decides when to answer and when to refuse.
#pragma once

#include <cstdint>
#include <optional>

#include "pimentomoor/clock.h"

namespace pimentomoor {

struct DeadlineSettings {
  bool coverage_first = false;  // true: wait for missing shards until `hard`; false: answer at `soft`
  Duration soft = std::chrono::milliseconds(95);
  Duration hard = std::chrono::seconds(2);                  // default and upper limit of the caller's deadline
  Duration reserve_per_hop = std::chrono::milliseconds(2);  // time for the answer's way back

  friend bool operator==(const DeadlineSettings&, const DeadlineSettings&) = default;
};

struct QueryDeadlines {
  TimePoint soft{};  // never after hard
  TimePoint hard{};

  friend bool operator==(const QueryDeadlines&, const QueryDeadlines&) = default;
};

/// `requested` is the caller's deadline, counted from `arrival`; it is cut to settings.hard, and a negative one to 0.
QueryDeadlines PlanDeadlines(const DeadlineSettings& settings, TimePoint arrival, std::optional<Duration> requested);

/// Ignores the caller's deadline and answers at the hard one only.
QueryDeadlines PlanDeadlinesNaive(const DeadlineSettings& settings, TimePoint arrival,
                                  std::optional<Duration> requested);

/// Time that a sub-query may take from `now`, when its answer still has `hops` hops to go to the caller. It counts
/// from the time of the answer: `soft`, or `hard` with coverage_first. 0 when nothing is left: don't send it.
Duration SubQueryBudget(const DeadlineSettings& settings, const QueryDeadlines& deadlines, TimePoint now,
                        std::uint32_t hops);

/// The whole time to the hard deadline, without a reserve for the way back.
Duration SubQueryBudgetNaive(const DeadlineSettings& settings, const QueryDeadlines& deadlines, TimePoint now,
                             std::uint32_t hops);

/// Whether the answer goes to the caller now, with `covered` of `total` shards.
bool ShouldAnswer(const DeadlineSettings& settings, const QueryDeadlines& deadlines, TimePoint now,
                  std::uint32_t covered, std::uint32_t total);

/// Waits for all shards until the hard deadline.
bool ShouldAnswerNaive(const DeadlineSettings& settings, const QueryDeadlines& deadlines, TimePoint now,
                       std::uint32_t covered, std::uint32_t total);

/// Part of the mean service time that a request is given to run before its deadline. With less, most of the answers
/// of an overloaded upstream come too late: its queue settles where the last request just starts in time.
constexpr double kServiceTimeMargin = 1.5;

/// Whether to refuse a request because it can't be answered before its deadline. `queued` requests are ahead of it at
/// an upstream that runs `concurrency_limit` at once; `remaining` is the time to the deadline. A queue means that all
/// slots are busy: the running requests are taken to finish evenly spread over the service time, the first one now. A
/// request with an empty queue before it is always tried: after an upstream became faster, its answers correct the
/// mean.
bool ShouldShed(std::uint32_t queued, std::uint32_t concurrency_limit, Duration mean_service_time,
                Duration remaining);

/// Whether to refuse a request that has `waited` in the queue, because its answer would come after its deadline. One
/// that did not wait is always tried.
bool ShouldShedBeforeStart(Duration waited, Duration mean_service_time, Duration remaining);

/// Refuses only what is already late.
bool ShouldShedNaive(std::uint32_t queued, std::uint32_t concurrency_limit, Duration mean_service_time,
                     Duration remaining);

}  // namespace pimentomoor
