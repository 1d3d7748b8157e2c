// Tests of responses that an upstream (searcher) sends late, a second time, or without saying which request they
// answer, with a caller and upstreams on loopback.
#include "request_harness.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A searcher that rejects the first request and sends that rejection again while it runs the second one.
SearcherScript LateSecondRejection() {
  return {.response = IdentifiedResponse(kCallerRequestId, "late run"),
          .first_responses = {
              {.response = Rejection(kCallerRequestId), .resend = milliseconds(20)},
              {.response = IdentifiedResponse(kCallerRequestId, "first run"), .delay = milliseconds(150)}}};
}

}  // namespace

TEST_GROUP(LateResponses) { RequestHarness harness; };

// Guards against a late second copy of a rejection that passes for the answer to the next send of the same request:
// the request then runs twice, or is refused although it runs.
TEST(LateResponses, SecondCopyOfARejectionIsNotTheAnswerToTheNextSend) {
  constexpr unsigned kManyConnections = 30;
  constexpr unsigned kOneConnection = 1;
  for (const unsigned max_connections : {kManyConnections, kOneConnection}) {
    RequestHarness harness;
    harness.SetRoute(SingleRoute(false), max_connections);
    auto& searcher = harness.AddSearcher("s", LateSecondRejection());
    harness.Wait(kRetryBudgetOpensAfter);
    auto& caller = harness.Call("POST");
    CHECK(harness.WaitForAnswer(caller));
    CHECK_EQUAL(200, caller.status());
    CHECK(caller.Contains("first run"));
    harness.Wait(milliseconds(100));
    CHECK_EQUAL(2U, searcher.arrivals());
  }
}

}  // namespace pimentomoor
