// Implementation of the decision how long an owner holds back the answers of a query.
#include "pimentomoor/answer_hold.h"

#include <algorithm>

namespace pimentomoor {

TimePoint AnswerSendTime(const HeldAnswers& held, Duration max_hold) {
  if (held.outstanding == 0 || held.any_failed) {
    return held.first_ready;
  }
  return std::min(held.first_ready + max_hold, held.deadline);
}

TimePoint AnswerSendTimeNaive(const HeldAnswers& held, Duration /*max_hold*/) { return held.first_ready; }

}  // namespace pimentomoor
