// Decides how long an owner holds answers of one query back, so that more of them share a message.
#pragma once

#include <cstddef>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Answers of one query that are ready at an owner.
struct HeldAnswers {
  TimePoint first_ready{};      // when the oldest of them became ready
  TimePoint deadline{};         // of the sub-queries, the earliest
  std::size_t outstanding = 0;  // sub-queries of the query that wait or run at this owner
  bool any_failed = false;      // one of them is not OK: the entry may try another replica

  friend bool operator==(const HeldAnswers&, const HeldAnswers&) = default;
};

/// When the answers leave; at or before `first_ready` means at once. They leave at once when the query has nothing
/// outstanding at this owner or one of them any_failed, else after `max_hold`, but never after their deadline.
TimePoint AnswerSendTime(const HeldAnswers& held, Duration max_hold);

/// Holds nothing back.
TimePoint AnswerSendTimeNaive(const HeldAnswers& held, Duration max_hold);

}  // namespace pimentomoor
