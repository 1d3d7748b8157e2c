// Tests of the decision how long answers are held back.
#include "pimentomoor/answer_hold.h"

#include "CppUTest/TestHarness.h"  // after the others: its macro "new" breaks standard headers
#include "property.h"

namespace pimentomoor {

TEST_GROUP(AnswerHold){};

// Guards against an answer that is held after its deadline, for longer than the limit, or although nothing can join
// it or the entry waits for it to try another replica; and against one that leaves before the naive variant sends it.
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
