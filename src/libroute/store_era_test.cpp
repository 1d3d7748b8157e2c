// Tests of the decisions on eras of the platform's store.
#include "pimentomoor/store_era.h"

#include <string>

#include "property.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

}  // namespace

TEST_GROUP(StoreEra){};

// Guards against text that passes for an era, and against an overflow.
TEST(StoreEra, ReadsOnlyShortDecimalNumbers) {
  CHECK(ParseStoreEra("0") == 0);
  CHECK(ParseStoreEra("007") == 7);
  CHECK(ParseStoreEra("999999999999999") == 999'999'999'999'999);
  for (const char* text : {"", " ", "-1", "+1", "1.0", "1e3", "0x1", "1 2", "one", "1000000000000000",
                           "99999999999999999999999999", "18446744073709551616"}) {
    CHECK_TEXT(!ParseStoreEra(text), text);
  }
}

// Guards against a restoration that is missed, and one that is seen where there is none.
TEST(StoreEra, RisesWithTheStoreAndIgnoresOlderAnswers) {
  StoreEraView view;
  CHECK(ClassifyAnswer(view, 4, kStart) == AnswerEra::kCurrent);
  CHECK(ClassifyAnswer(view, 4, kStart) == AnswerEra::kCurrent);
  CHECK(ClassifyAnswer(view, 5, kStart) == AnswerEra::kNewer);
  CHECK(ClassifyAnswer(view, 4, kStart) == AnswerEra::kDoubtful);
  CHECK(ClassifyAnswer(view, std::nullopt, kStart) == AnswerEra::kDoubtful);
  CHECK(ClassifyAnswer(view, 5 + kMaxEraStep + 1, kStart) == AnswerEra::kDoubtful);
  CHECK(ClassifyAnswer(view, 7, kStart) == AnswerEra::kNewer);
  LONGS_EQUAL(7, view.era);
  StoreEraView unstated;
  CHECK(ClassifyAnswer(unstated, std::nullopt, kStart) == AnswerEra::kCurrent);
  CHECK(ClassifyAnswer(unstated, std::nullopt, kStart) == AnswerEra::kCurrent);
  LONGS_EQUAL(0, unstated.era);
  CHECK(ClassifyAnswer(unstated, 0, kStart) == AnswerEra::kNewer);  // the store begins to state an era
  LONGS_EQUAL(1, unstated.era);
  CHECK(ClassifyAnswer(unstated, 1, kStart) == AnswerEra::kNewer);
  LONGS_EQUAL(2, unstated.era);
}

// Guards against a store that is ignored for ever because its count has begun anew or is no longer stated.
TEST(StoreEra, LastingFallBeginsAnotherEra) {
  StoreEraView view;
  ClassifyAnswer(view, 9, kStart);
  for (const std::optional<std::uint64_t> stated : {std::optional<std::uint64_t>(2), {}}) {
    const std::uint64_t era = view.era;
    const TimePoint fallen_at = view.doubtful_since == TimePoint::max() ? kStart : view.doubtful_since;
    CHECK(ClassifyAnswer(view, stated, fallen_at) == AnswerEra::kDoubtful);
    CHECK(ClassifyAnswer(view, stated, fallen_at + kDoubtfulEraPatience / 2) == AnswerEra::kDoubtful);
    CHECK(ClassifyAnswer(view, stated, fallen_at + kDoubtfulEraPatience) == AnswerEra::kNewer);
    CHECK(ClassifyAnswer(view, stated, fallen_at + kDoubtfulEraPatience) == AnswerEra::kCurrent);
    LONGS_EQUAL(era + 1, view.era);
  }
}

// Guards against headers that make a feed list without end. Steps are 100 ms, the usual time between two calls.
TEST(StoreEra, AnswersWithoutRisingErasBeginFewNewOnes) {
  CHECK(CheckProperty(500, "eras from a store whose count does not rise", [] {
    StoreEraView view;
    ClassifyAnswer(view, 8, kStart);
    int newer = 0;
    constexpr int kSteps = 600;  // one minute
    for (int step = 0; step < kSteps; ++step) {
      const auto draw = *rc::gen::inRange(0, 10);
      const std::optional<std::uint64_t> stated =
          draw < 8 ? std::optional<std::uint64_t>(static_cast<std::uint64_t>(draw)) : std::nullopt;
      const std::uint64_t before = view.era;
      newer += ClassifyAnswer(view, stated, kStart + step * std::chrono::milliseconds(100)) == AnswerEra::kNewer;
      RC_ASSERT(view.era >= before);
    }
    // After each of the six lasting falls, the values up to 7 can rise a few times.
    RC_ASSERT(newer <= 6 * 8);
  }));
}

}  // namespace pimentomoor
