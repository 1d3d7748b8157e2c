// Derives the deadlines of a query and of its sub-queries, and decides when the query is answered and which requests
// are shed because they would miss their deadline.
#pragma once

#include <cstdint>
#include <optional>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Deadlines that apply to every query, relative to its arrival.
struct DeadlineSettings {
  // true: an incomplete answer waits for missing shards until `hard`; false: it is sent at `soft`
  bool coverage_first = false;
  Duration soft = std::chrono::milliseconds(95);
  Duration hard = std::chrono::seconds(2);                  // default and maximum of the caller's deadline
  Duration reserve_per_hop = std::chrono::milliseconds(2);  // time reserved for an answer to travel back over one hop

  friend bool operator==(const DeadlineSettings&, const DeadlineSettings&) = default;
};

/// Deadlines of one query.
///
/// Invariant: `soft` is never after `hard`.
struct QueryDeadlines {
  TimePoint soft{};  // with coverage_first == false, an incomplete answer is sent at this time
  TimePoint hard{};  // the query is answered with whatever has arrived by this time

  friend bool operator==(const QueryDeadlines&, const QueryDeadlines&) = default;
};

/// Deadlines of a query that arrived at `arrival`. `requested` is the caller's deadline relative to `arrival`; it is
/// clamped to the range from 0 to settings.hard.
QueryDeadlines PlanDeadlines(const DeadlineSettings& settings, TimePoint arrival, std::optional<Duration> requested);

/// Ignores the caller's deadline and uses settings.hard for both deadlines; the baseline in tests.
QueryDeadlines PlanDeadlinesNaive(const DeadlineSettings& settings, TimePoint arrival,
                                  std::optional<Duration> requested);

/// Time that a sub-query may take from `now` on: the time to the query's deadline (`soft`, or `hard` with
/// coverage_first) minus the reserve for the `hops` hops from the upstream's answer to the caller. When it is 0, the
/// sub-query must not be sent.
Duration SubQueryBudget(const DeadlineSettings& settings, const QueryDeadlines& deadlines, TimePoint now,
                        std::uint32_t hops);

/// The whole time to the hard deadline, without a reserve for the hops.
Duration SubQueryBudgetNaive(const DeadlineSettings& settings, const QueryDeadlines& deadlines, TimePoint now,
                             std::uint32_t hops);

/// Whether to answer the caller now, when `covered` of `total` shards have answered.
bool ShouldAnswer(const DeadlineSettings& settings, const QueryDeadlines& deadlines, TimePoint now,
                  std::uint32_t covered, std::uint32_t total);

/// Waits for missing shards until the hard deadline, whatever coverage_first says.
bool ShouldAnswerNaive(const DeadlineSettings& settings, const QueryDeadlines& deadlines, TimePoint now,
                       std::uint32_t covered, std::uint32_t total);

/// Multiple of the mean service time that a request must have left before its deadline when it starts. With a smaller
/// multiple, most answers of an overloaded upstream come too late, because its queue settles at the length at which
/// the last request just starts in time.
constexpr double kServiceTimeMargin = 1.5;

/// Whether to refuse a request because it can't be answered before its deadline. `queued` requests are ahead of it at
/// an upstream that runs `concurrency_limit` requests at once; `remaining` is the time to the deadline. When requests
/// are queued, all slots are taken to be busy and to become free at even intervals over the service time, the first
/// one now. A request that finds an empty queue is refused only when its deadline has passed or the concurrency limit
/// is 0: its answer corrects the mean service time after the upstream has become faster.
bool ShouldShed(std::uint32_t queued, std::uint32_t concurrency_limit, Duration mean_service_time,
                Duration remaining);

/// Whether to refuse a request that is about to start after it has `waited` in the queue, because its answer would
/// come after its deadline. A request that did not wait is refused only when its deadline has passed.
bool ShouldShedBeforeStart(Duration waited, Duration mean_service_time, Duration remaining);

/// Refuses a request only when its deadline has passed.
bool ShouldShedNaive(std::uint32_t queued, std::uint32_t concurrency_limit, Duration mean_service_time,
                     Duration remaining);

}  // namespace pimentomoor
