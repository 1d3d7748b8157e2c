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

const std::string kRejectionWithoutId =
    std::string("HTTP/1.1 503 Full\r\n") + platform_names::kNotRunField + ": 1\r\nContent-Length: 0\r\n\r\n";

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

// Guards against a late response without a request id, such as a second copy of one, that passes for the answer to
// the next request on its connection.
TEST(LateResponses, ResponseWithoutAnIdIsNotTheAnswerToALaterRequest) {
  harness.SetRoute(SingleRoute(false), 1);
  auto& searcher =
      harness.AddSearcher("s", {.response = IdentifiedResponse("second", "second"),
                                .first_responses = {{.response = IdentifiedResponse("first", "first")},
                                                    {.response = kRejectionWithoutId, .delay = milliseconds(20)}}});
  harness.Wait(kRetryBudgetOpensAfter);
  auto& first = harness.Call("POST", "first");
  CHECK(harness.WaitForAnswer(first));
  auto& second = harness.Call("POST", "second");
  CHECK(harness.WaitForAnswer(second));
  CHECK_EQUAL(502, second.status());
  harness.Wait(milliseconds(100));
  CHECK_EQUAL(2U, searcher.arrivals());
  CHECK_EQUAL(1U, searcher.connections());
}

// Guards against refusing all answers of an upstream that never names its requests.
TEST(LateResponses, UpstreamThatNamesNoRequestGetsOneOnEachConnection) {
  harness.SetRoute(SingleRoute(false));
  auto& searcher = harness.AddSearcher("s", {.response = ResponseWithLength("whole")});
  for (unsigned i = 1; i <= 3; ++i) {
    auto& caller = harness.Call("POST", "id-" + std::to_string(i));
    CHECK(harness.WaitForAnswer(caller));
    CHECK_EQUAL(200, caller.status());
    CHECK_EQUAL(i, searcher.connections());
  }
}

}  // namespace pimentomoor
