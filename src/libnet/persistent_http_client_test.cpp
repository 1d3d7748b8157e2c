// Tests of the client of the store and of other daemons, against servers that answer with anything.
#include "pimentomoor/persistent_http_client.h"

#include "scripted_searcher.h"
#include "test_loop.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr Duration kPrompt = std::chrono::milliseconds(500);  // before the timeout

}  // namespace

TEST_GROUP(PersistentHttpClient) {
  SystemClock clock;
  EventLoop loop{clock};
  const FieldNames names{.request_id = "id"};

  /// Status of the response that a client takes from a server with this response; 0 without one.
  int StatusOf(const std::string& response, BufferBudget* budget = nullptr) {
    ScriptedSearcher server(loop, {.response = response});
    PersistentHttpClient client(loop, names, server.address(), budget);
    std::optional<int> status;
    const TimePoint start = loop.Now();
    client.Get("/", kTimeout, [&](const auto& message) { status = message ? message->status : 0; });
    CHECK(loop.RunUntil([&] { return status.has_value(); }, 2 * kTimeout));
    CHECK_TEXT(loop.Now() - start < kPrompt, response.substr(0, 40).c_str());
    return *status;
  }
};

// Guards against a response of the store or of another daemon that is taken for an answer although its status is none
// of an answer, and against one that is taken for interim.
TEST(PersistentHttpClient, OnlyStatusesOfAnswersAreTaken) {
  const std::string rest = " X\r\nContent-Length: 0\r\n\r\n";
  for (const char* status : {"000", "0", "99", "600", "999", "-20", "+20", "2a0", "2000", "", "101"}) {
    const std::string response = std::string("HTTP/1.1 ").append(status).append(rest);
    CHECK_EQUAL_TEXT(0, StatusOf(response), status);
    CHECK_EQUAL_TEXT(0, StatusOf(std::string(response).append("HTTP/1.1 200").append(rest)), status);
  }
  CHECK_EQUAL(410, StatusOf("HTTP/1.1 410" + rest));
}

// Guards against an interim response that counts as the answer, and against interim responses without end.
TEST(PersistentHttpClient, InterimResponsesAreSkippedWithinABound) {
  const std::string interim = "HTTP/1.1 103 X\r\n\r\n";
  const std::string final = "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n";
  std::string many;
  for (unsigned i = 0; i < kMaxInterimResponses; ++i) {
    many += interim;
  }
  CHECK_EQUAL(200, StatusOf(many + final));
  CHECK_EQUAL(0, StatusOf(many + interim + final));
}

// Guards against responses of the store and of other daemons that count in no bound.
TEST(PersistentHttpClient, UnfinishedResponsesCountInTheBudget) {
  BufferBudget budget(loop, std::size_t{1} << 20U);
  const std::string body(std::size_t{2} << 20U, '.');
  CHECK_EQUAL(0, StatusOf("HTTP/1.1 200 X\r\nContent-Length: 3000000\r\n\r\n" + body, &budget));
  CHECK_EQUAL(0U, budget.bytes());
}

}  // namespace pimentomoor
