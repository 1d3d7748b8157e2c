// Tests of the ledgers where the generated histories rarely go: forgotten and refused tokens.
#include "pimentomoor/operation_ledger.h"

// clang-format off: CppUTest's macros for new and delete must follow all other headers.
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kLifetime = std::chrono::minutes(10);

proto::OperationResult Ran(const std::string& body) {
  proto::OperationResult result = MakeOperationResult(proto::OPERATION_RAN, "");
  result.set_body(body);
  return result;
}

}  // namespace

TEST_GROUP(OperationLedger){};

// Guards against a witness that opens a closed token again after it has freed the record, whatever the clocks show.
TEST(OperationLedger, ForgottenClosedTokenIsNeverOpened) {
  WitnessLedger witness({});
  CHECK(witness.Close(kStart, 7, 5).outcome() == proto::OPERATION_NOT_RUN);
  const TimePoint later = kStart + 2 * kLifetime;
  CHECK(!witness.Open(later, 7, 5, 1));
  LONGS_EQUAL(0, witness.size());
  CHECK(!witness.Open(later, 7, 4, 1));  // issued before 5, so expired as well
  CHECK(witness.Open(later, 7, 6, 1));
  CHECK(witness.Open(later, 8, 5, 1));  // another home incarnation
}

// Guards against "not run" for an opened token that the witness has forgotten.
TEST(OperationLedger, ForgottenOpenedTokenIsUnknown) {
  WitnessLedger witness({});
  CHECK(witness.Open(kStart, 7, 5, 1));
  CHECK(witness.Close(kStart + 2 * kLifetime, 7, 5).outcome() == proto::OPERATION_UNKNOWN);
}

// Guards against a full witness that promises "not run" for a token that it cannot remember.
TEST(OperationLedger, FullWitnessRefusesAndPromisesNothing) {
  WitnessLedger witness({.max_tokens = 1});
  CHECK(witness.Open(kStart, 7, 1, 1));
  CHECK(!witness.Open(kStart, 7, 2, 1));
  CHECK(witness.Close(kStart, 7, 3).outcome() == proto::OPERATION_UNKNOWN);
  CHECK(witness.Open(kStart, 7, 1, 1));
}

// Guards against forgetting without a watermark when too many home incarnations were seen.
TEST(OperationLedger, WitnessKeepsRecordsWithoutRoomForAWatermark) {
  WitnessLedger witness({.max_homes = 1});
  CHECK(witness.Close(kStart, 7, 5).outcome() == proto::OPERATION_NOT_RUN);
  CHECK(witness.Close(kStart, 8, 5).outcome() == proto::OPERATION_NOT_RUN);
  CHECK(!witness.Open(kStart + 2 * kLifetime, 8, 5, 1));
  CHECK(!witness.Open(kStart + 4 * kLifetime, 8, 5, 1));
}

// Guards against a home that issues tokens beyond its table by forgetting live ones.
TEST(OperationLedger, FullHomeRefusesNewTokensUntilOldOnesAreDone) {
  HomeLedger home({.max_tokens = 1});
  const auto serial = home.Issue(kStart);
  CHECK(serial.has_value());
  CHECK(!home.Issue(kStart + kLifetime).has_value());
  CHECK(home.Run(kStart + kLifetime, *serial, 1).result.outcome() == proto::OPERATION_NOT_RUN);
  CHECK(home.Issue(kStart + 4 * kLifetime).has_value());
  CHECK(home.Run(kStart + 4 * kLifetime, *serial, 1).result.outcome() == proto::OPERATION_UNKNOWN);
}

// Guards against a dispatch of a token that expired while the witness was asked, and against a second dispatch.
TEST(OperationLedger, HomeDispatchesOnceAndOnlyBeforeExpiry) {
  HomeLedger home({});
  const auto first = home.Issue(kStart);
  const auto second = home.Issue(kStart);
  CHECK(home.Run(kStart, *first, 1).step == HomeLedger::Step::kOpen);
  CHECK(home.Run(kStart, *first, 1).step == HomeLedger::Step::kJoin);
  CHECK(home.Opened(kStart, *first));
  CHECK(!home.Opened(kStart, *first));
  CHECK(home.Run(kStart, *second, 1).step == HomeLedger::Step::kOpen);
  CHECK(!home.Opened(kStart + kLifetime, *second));
  CHECK(home.Run(kStart + kLifetime, *second, 1).result.outcome() == proto::OPERATION_NOT_RUN);
}

// Guards against memory that grows with the size of answers, and against a changed outcome.
TEST(OperationLedger, LargeAnswersAreDroppedButNotTheirOutcome) {
  HomeLedger home({.max_result_bytes = 10});
  const auto serial = home.Issue(kStart);
  CHECK(home.Run(kStart, *serial, 1).step == HomeLedger::Step::kOpen);
  CHECK(home.Opened(kStart, *serial));
  CHECK(home.Finish(kStart, *serial, MakeOperationResult(proto::OPERATION_UNKNOWN, "late")));
  CHECK(home.Finish(kStart, *serial, Ran("12345678901")));
  CHECK(!home.Finish(kStart, *serial, MakeOperationResult(proto::OPERATION_NOT_RUN, "")));
  CHECK(home.result(*serial)->outcome() == proto::OPERATION_RAN);
  CHECK(home.result(*serial)->body().empty());
}

}  // namespace pimentomoor
