// Decides how long the owner of an upstream holds back the finished answers of one query, so that more answers share
// a message to the entry (the daemon that received the query).
#pragma once

#include <cstddef>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Finished answers of one query that an owner has not sent yet.
struct HeldAnswers {
  TimePoint first_ready{};      // time at which the oldest held answer became ready
  TimePoint deadline{};         // earliest deadline among the sub-queries of the held answers
  std::size_t outstanding = 0;  // sub-queries of the same query that wait or run at this owner
  bool any_failed = false;      // at least one held answer is not OK: the entry may try another replica

  friend bool operator==(const HeldAnswers&, const HeldAnswers&) = default;
};

/// Time at which to send the held answers; a time at or before `first_ready` means at once. They are sent at once
/// when the query has no outstanding sub-query at this owner or when any of them failed. Otherwise they are sent
/// `max_hold` after `first_ready`, or at their deadline if that is earlier.
TimePoint AnswerSendTime(const HeldAnswers& held, Duration max_hold);

/// Sends every answer at once; the baseline in tests.
TimePoint AnswerSendTimeNaive(const HeldAnswers& held, Duration max_hold);

}  // namespace pimentomoor
