// Tests of the ledgers of home and witness in cases that the generated histories of operation_machine_test.cpp rarely
// reach: dropped records and refused tokens.
#include "pimentomoor/operation_ledger.h"

// clang-format off: CppUTest's macros for new and delete must follow all other headers.
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kLifetime = std::chrono::minutes(10);

proto::OperationResult RanWithBody(const std::string& body) {
  proto::OperationResult result = MakeOperationResult(proto::OPERATION_RAN, "");
  result.set_body(body);
  return result;
}

}  // namespace

TEST_GROUP(OperationLedger){};

// Guards against a witness that opens a closed token after it has dropped the record, whatever the clocks show.
TEST(OperationLedger, ForgottenClosedTokenIsNeverOpened) {
  WitnessLedger witness({});
  CHECK(witness.Close(kStart, 7, 5).outcome() == proto::OPERATION_NOT_RUN);
  const TimePoint later = kStart + 2 * kLifetime;
  CHECK(!witness.Open(later, 7, 5, 1));
  LONGS_EQUAL(0, witness.size());
  CHECK(!witness.Open(later, 7, 4, 1));  // issued before serial 5, so expired as well
  CHECK(witness.Open(later, 7, 6, 1));
  CHECK(witness.Open(later, 8, 5, 1));  // another home incarnation
}

// Guards against the answer "not run" for an opened token whose record the witness has dropped.
TEST(OperationLedger, ForgottenOpenedTokenIsUnknown) {
  WitnessLedger witness({});
  CHECK(witness.Open(kStart, 7, 5, 1));
  CHECK(witness.Close(kStart + 2 * kLifetime, 7, 5).outcome() == proto::OPERATION_UNKNOWN);
}

// Guards against a witness with a full table that answers "not run" for a token it cannot record as closed.
TEST(OperationLedger, FullWitnessRefusesAndPromisesNothing) {
  WitnessLedger witness({.max_tokens = 1});
  CHECK(witness.Open(kStart, 7, 1, 1));
  CHECK(!witness.Open(kStart, 7, 2, 1));
  CHECK(witness.Close(kStart, 7, 3).outcome() == proto::OPERATION_UNKNOWN);
  CHECK(witness.Open(kStart, 7, 1, 1));
}

// Guards against a record that is dropped without a watermark, because the table of watermarks is full.
TEST(OperationLedger, WitnessKeepsRecordsWithoutRoomForAWatermark) {
  WitnessLedger witness({.max_watermarks = 1});
  CHECK(witness.Close(kStart, 7, 5).outcome() == proto::OPERATION_NOT_RUN);
  CHECK(witness.Close(kStart, 8, 5).outcome() == proto::OPERATION_NOT_RUN);
  CHECK(!witness.Open(kStart + 2 * kLifetime, 8, 5, 1));
  CHECK(!witness.Open(kStart + 4 * kLifetime, 8, 5, 1));
}

// Guards against a home with a full table that drops the records of live tokens to issue new ones.
TEST(OperationLedger, FullHomeRefusesNewTokensUntilOldOnesAreDone) {
  HomeLedger home({.max_tokens = 1});
  const auto serial = home.IssueSerial(kStart);
  CHECK(serial.has_value());
  CHECK(!home.IssueSerial(kStart + kLifetime).has_value());
  CHECK(home.DecideRun(kStart + kLifetime, *serial, 1).result.outcome() == proto::OPERATION_NOT_RUN);
  CHECK(home.IssueSerial(kStart + 4 * kLifetime).has_value());
  CHECK(home.DecideRun(kStart + 4 * kLifetime, *serial, 1).result.outcome() == proto::OPERATION_UNKNOWN);
}

// Guards against the dispatch of a token that expired while the witness was asked, and against a second dispatch.
TEST(OperationLedger, HomeDispatchesOnceAndOnlyBeforeExpiry) {
  HomeLedger home({});
  const auto first = home.IssueSerial(kStart);
  const auto second = home.IssueSerial(kStart);
  CHECK(home.DecideRun(kStart, *first, 1).step == HomeLedger::NextStep::kOpenAtWitness);
  CHECK(home.DecideRun(kStart, *first, 1).step == HomeLedger::NextStep::kJoinRun);
  CHECK(home.TryMarkDispatched(kStart, *first));
  CHECK(!home.TryMarkDispatched(kStart, *first));
  CHECK(home.DecideRun(kStart, *second, 1).step == HomeLedger::NextStep::kOpenAtWitness);
  CHECK(!home.TryMarkDispatched(kStart + kLifetime, *second));
  CHECK(home.DecideRun(kStart + kLifetime, *second, 1).result.outcome() == proto::OPERATION_NOT_RUN);
}

// Guards against stored answers that exceed the byte limit, and against a certain outcome that is changed.
TEST(OperationLedger, LargeAnswersAreDroppedButNotTheirOutcome) {
  HomeLedger home({.max_result_bytes = 10});
  const auto serial = home.IssueSerial(kStart);
  CHECK(home.DecideRun(kStart, *serial, 1).step == HomeLedger::NextStep::kOpenAtWitness);
  CHECK(home.TryMarkDispatched(kStart, *serial));
  CHECK(home.RecordOutcome(kStart, *serial, MakeOperationResult(proto::OPERATION_UNKNOWN, "late")));
  CHECK(home.RecordOutcome(kStart, *serial, RanWithBody("12345678901")));
  CHECK(!home.RecordOutcome(kStart, *serial, MakeOperationResult(proto::OPERATION_NOT_RUN, "")));
  CHECK(home.result(*serial)->outcome() == proto::OPERATION_RAN);
  CHECK(home.result(*serial)->body().empty());
}

}  // namespace pimentomoor
