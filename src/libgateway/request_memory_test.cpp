// Tests of the memory that requests of callers hold in the request path, with callers and searchers on loopback.
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

#include "request_harness.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::seconds;

constexpr std::size_t kSmallBodyBytes = 8'000;  // arrives at a searcher in one piece
constexpr std::size_t kBodyBytes = 200'000;

// A searcher that reads the beginning of each request, answers at once, and reads no further.
class EarlySearcher {
 public:
  explicit EarlySearcher(EventLoop& loop) : listener_(loop, "127.0.0.1:0", [this](int fd) { Accept(fd); }) {}
  ~EarlySearcher() {
    for (const int fd : connections_) {
      close(fd);
    }
  }
  EarlySearcher(const EarlySearcher&) = delete;
  EarlySearcher& operator=(const EarlySearcher&) = delete;

  [[nodiscard]] std::string address() const { return listener_.address(); }
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  void AnswerNew(const std::string& response) {
    for (; answered_ < connections_.size(); ++answered_) {
      char bytes[100];
      if (recv(connections_[answered_], bytes, sizeof(bytes), 0) <= 0) {
        return;
      }
      CHECK(send(connections_[answered_], response.data(), response.size(), MSG_NOSIGNAL) > 0);
    }
  }

 private:
  void Accept(int fd) {
    const int receive_bytes = 16 * 1024;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
    connections_.push_back(fd);
  }

  std::vector<int> connections_;
  std::size_t answered_ = 0;
  TcpListener listener_;
};

}  // namespace

TEST_GROUP(RequestMemory) { RequestHarness harness; };

// Guards against a refusal of a request that an upstream has received, and against a failure of one that none has.
TEST(RequestMemory, RevokedRequestsAreAnsweredTruthfully) {
  harness.SetRoute(SingleRoute(false), 1);  // one connection, so that the second request waits for it
  auto& searcher = harness.AddSearcher("s", {});
  auto& sent = harness.Call("POST", kCallerRequestId, std::string(kSmallBodyBytes, 'b'));
  CHECK(harness.loop.RunUntil([&] { return searcher.arrivals() == 1; }, seconds(1)));
  auto& waiting = harness.Call("POST", "waiting", std::string(kSmallBodyBytes, 'b'));
  CHECK(harness.loop.RunUntil([&] { return harness.caller_budget.bytes() > 3 * kSmallBodyBytes; }, seconds(1)));
  harness.caller_budget.SetLimit(kSmallBodyBytes + 1'000);  // that of two connections, and of no request
  CHECK(harness.WaitForAnswer(sent) && harness.WaitForAnswer(waiting));
  CHECK_EQUAL(502, sent.status());
  CHECK_EQUAL(503, waiting.status());
  CHECK(waiting.Contains("\r\nRetry-After: 0.200\r\n"));
  harness.Wait(std::chrono::milliseconds(100));
  CHECK_EQUAL(1U, harness.arrivals());
  CHECK_EQUAL(0U, searcher.cancelled_requests());
}

// Guards against the body of a request that runs on after its caller has left and can't be sent again.
TEST(RequestMemory, BodyIsDroppedWhenItsCallerHasLeft) {
  harness.SetRoute(SingleRoute(false));
  auto& searcher = harness.AddSearcher("s", {});
  auto& caller = harness.Call("POST", kCallerRequestId, std::string(kBodyBytes, 'b'));
  CHECK(harness.loop.RunUntil([&] { return searcher.arrivals() > 0 && harness.caller_budget.bytes() > kBodyBytes; },
                              seconds(1)));
  harness.Wait(std::chrono::milliseconds(100));
  caller.Leave();
  CHECK(harness.loop.RunUntil([&] { return harness.caller_budget.bytes() == 0; }, seconds(1)));
  CHECK_EQUAL(0U, searcher.cancelled_requests());
}

// Guards against the next request in the place of the rest of a body, when a searcher answers before it has read it.
TEST(RequestMemory, ConnectionWithAnUnfinishedBodyIsNotUsedAgain) {
  EarlySearcher searcher(harness.loop);
  harness.SetRoute(SingleRoute(false));
  harness.upstreams.Announce({.id = "early", .service = "s", .address = searcher.address(), .failure_domain = "a"});
  harness.server.SetLimits({.body_bytes = std::size_t{32} << 20U}, seconds(10), seconds(30));
  for (std::size_t i = 1; i <= 2; ++i) {
    const std::string id = "request-" + std::to_string(i);
    auto& caller = harness.Call("POST", id, std::string(std::size_t{16} << 20U, 'b'));
    CHECK(harness.loop.RunUntil(
        [&] {
          searcher.AnswerNew(IdentifiedResponse(id, "early"));
          return caller.answered();
        },
        seconds(4)));
    CHECK_EQUAL(200, caller.status());
    CHECK_EQUAL(i, searcher.connections());
  }
}

// Guards against requests whose state for many shards counts in no bound.
TEST(RequestMemory, ShardsOfARequestCount) {
  constexpr std::size_t kShards = 100;
  harness.SetRoute(GatherRoute(kShards, 1.0, seconds(1), seconds(2)));
  for (std::size_t i = 0; i < kShards; ++i) {
    harness.AddSearcher("shard-" + std::to_string(i), {});
  }
  harness.Call();
  CHECK(harness.loop.RunUntil([&] { return harness.arrivals() == kShards; }, seconds(2)));
  CHECK(harness.caller_budget.bytes() >= kShards * 1'024);
}

}  // namespace pimentomoor
