// Tests of the decision how long an owner holds back the answers of a query.
#include "pimentomoor/answer_hold.h"

#include "CppUTest/TestHarness.h"  // after the others: its macro "new" breaks standard headers
#include "property.h"

namespace pimentomoor {

TEST_GROUP(AnswerHold){};

// Guards against answers that are held past their deadline or for longer than `max_hold`, and against answers that
// are held although no further answer can join them or the entry needs them to try another replica. Also guards
// against answers that are sent before they are ready.
TEST(AnswerHold, HoldsOnlyWhileOthersMayJoin) {
  CHECK(CheckProperty(1'000, "answer hold", [] {
    const auto time = [] { return std::chrono::microseconds(*rc::gen::inRange(0, 5'000)); };
    HeldAnswers held;
    held.first_ready = TimePoint(time());
    held.deadline = held.first_ready + time();
    held.outstanding = *rc::gen::inRange<std::size_t>(0, 3);
    held.any_failed = *rc::gen::arbitrary<bool>();
    const Duration max_hold = time();
    const TimePoint sent = AnswerSendTime(held, max_hold);
    const bool at_once = held.outstanding == 0 || held.any_failed || max_hold == Duration::zero();
    RC_ASSERT(sent >= AnswerSendTimeNaive(held, max_hold));
    const TimePoint latest = std::min(held.deadline, held.first_ready + max_hold);
    RC_ASSERT(sent == (at_once ? held.first_ready : latest));
  }));
}

}  // namespace pimentomoor
