// Tests of what callers together can make a server hold: memory, connections, and turns of the event loop.
#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "pimentomoor/caller_server.h"
#include "socket_address.h"
#include "test_loop.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

constexpr std::size_t kLimitBytes = std::size_t{1} << 20U;
constexpr std::size_t kBodyBytes = 300'000;  // three of them are within the limit
constexpr std::size_t kMaxConnections = 4;
constexpr Duration kWait = std::chrono::seconds(5);

// Opens a connection from `source`, an IP address of the loopback network.
int ConnectFrom(const std::string& source, const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in from = ParseSocketAddress(source + ":0");
  const sockaddr_in to = ParseSocketAddress(address);
  CHECK_EQUAL(0, bind(fd, reinterpret_cast<const sockaddr*>(&from), sizeof(from)));
  CHECK_EQUAL(0, connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
  CHECK_EQUAL(0, fcntl(fd, F_SETFL, O_NONBLOCK));
  return fd;
}

struct MemoryCaller final : TcpStreamHandler {
  MemoryCaller(EventLoop& loop, const std::string& address, const std::string& bytes,
               const std::string& source = "127.0.0.1")
      : stream(std::make_unique<TcpStream>(loop, ConnectFrom(source, address), *this)) {
    stream->Write(bytes);
  }
  void OnData(std::string_view bytes) override { received.append(bytes); }
  void OnEnd(StreamEnd /*end*/) override {
    ended = true;
    stream.reset();
  }
  std::unique_ptr<TcpStream> stream;
  std::string received;
  bool ended = false;
};

std::string Post(std::size_t announced_bytes, std::size_t sent_bytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(announced_bytes) + "\r\n\r\n" +
         std::string(sent_bytes, 'b');
}
std::string Get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"; }

}  // namespace

TEST_GROUP(CallerMemory) {
  ManualClock clock;
  EventLoop loop{clock};
  Metrics metrics;
  const FieldNames names{.request_id = "id"};
  BufferBudget budget{loop, kLimitBytes};
  std::vector<std::shared_ptr<CallerExchange>> running;
  CallerServer server{loop,
                      metrics,
                      names,
                      {.address = "127.0.0.1:0", .max_connections = kMaxConnections},
                      [this](const auto& exchange) {
                        if (exchange->request.path() == "/at-once") {
                          exchange->Respond({.status = 404});
                        } else {
                          running.push_back(exchange);
                        }
                      },
                      &budget};
  std::vector<std::unique_ptr<MemoryCaller>> callers;

  MemoryCaller& Call(const std::string& bytes) {
    callers.push_back(std::make_unique<MemoryCaller>(loop, server.address(), bytes));
    return *callers.back();
  }
  bool WaitUntil(const std::function<bool()>& done) { return RunTurns(loop, clock, done, kWait); }
  std::uint64_t Revoked(const std::string& what) {
    return metrics.counter("pimentomoor_caller_memory_revoked_total", "what=\"" + what + "\"");
  }
  void teardown() override {
    callers.clear();
    WaitUntil([this] { return server.open_connections() == 0; });
    running.clear();
    CHECK_EQUAL(0U, budget.bytes());
  }
};

// Guards against bodies that never end and count in no bound, and against a refusal that isn't one.
TEST(CallerMemory, UnfinishedBodiesAreRefusedBeyondTheLimit) {
  for (int i = 0; i < 4; ++i) {
    Call(Post(kBodyBytes + 1, kBodyBytes));
  }
  CHECK(WaitUntil([this] { return Revoked("body") > 0; }));
  CHECK(budget.bytes() <= kLimitBytes);
  CHECK(WaitUntil([this] {
    return std::any_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->ended; });
  }));
  unsigned refused = 0;
  for (const auto& caller : callers) {
    refused +=
        caller->received.starts_with("HTTP/1.1 503 ") && caller->received.find("Retry-After: ") != std::string::npos;
  }
  CHECK_EQUAL(Revoked("body"), refused);
  CHECK(running.empty());
}

// Guards against bodies of running requests that count in no bound, and against dropping the bytes of a request that
// something still holds.
TEST(CallerMemory, BodiesOfRunningRequestsCountUntilTheyAreDropped) {
  unsigned revoked = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    Call(Post(kBodyBytes, kBodyBytes));
    if (i == 3) {
      CHECK(WaitUntil([&] { return revoked == 1 && running.size() == 3; }));
      break;
    }
    CHECK(WaitUntil([&] { return running.size() == i + 1; }));
    running.back()->on_revoked = [&, exchange = std::weak_ptr(running.back())] {
      ++revoked;
      exchange.lock()->Respond({.status = 503});
      std::erase(running, exchange.lock());
    };
    CHECK(budget.bytes() >= (i + 1) * kBodyBytes);
  }
  CHECK(budget.bytes() >= 3 * kBodyBytes && budget.bytes() <= kLimitBytes);
  // The caller leaves, and the request is still held.
  const auto held = running.back();
  callers.clear();
  CHECK(WaitUntil([this] { return server.open_connections() == 0; }));
  running.clear();
  CHECK(budget.bytes() >= kBodyBytes && budget.bytes() < 2 * kBodyBytes);
}

// Guards against requests that wait behind a running one and count in no bound, and against losing the running one.
TEST(CallerMemory, RequestsAheadAreDroppedAndTheRunningOneIsAnswered) {
  budget.SetLimit(100'000);
  std::string ahead;
  while (ahead.size() < 150'000) {
    ahead += Get("/");
  }
  auto& caller = Call(ahead);
  CHECK(WaitUntil([this] { return Revoked("requests ahead") == 1; }));
  CHECK_EQUAL(1U, running.size());
  CHECK(budget.bytes() <= budget.limit_bytes());
  running.front()->Respond({.body = "the answer"});
  CHECK(WaitUntil([&] { return caller.ended; }));
  CHECK(caller.received.find("the answer") != std::string::npos);
  CHECK(caller.received.find("Connection: close") != std::string::npos);
  CHECK_EQUAL(1U, running.size());
}

// Guards against a caller whose requests are answered at once and that keeps the event loop from all others.
TEST(CallerMemory, RequestsAheadLeaveTurnsToOthers) {
  constexpr unsigned kRequests = 400;
  std::string ahead;
  for (unsigned i = 0; i < kRequests; ++i) {
    ahead += Get("/at-once");
  }
  auto& greedy = Call(ahead);
  std::size_t most_in_a_turn = 0;
  const auto answers = [&] {
    std::size_t count = 0;
    for (std::size_t at = 0; (at = greedy.received.find("HTTP/1.1 404", at)) != std::string::npos; ++at) {
      ++count;
    }
    return count;
  };
  for (std::size_t before = 0, turn = 0; before < kRequests && turn < 1'000; ++turn) {
    loop.RunOnce(std::chrono::milliseconds(1));
    const std::size_t now = answers();
    most_in_a_turn = std::max(most_in_a_turn, now - before);
    before = now;
  }
  CHECK_EQUAL(kRequests, answers());
  CHECK(most_in_a_turn <= 64);
}

// Guards against callers that take all connections and keep out others, and against displacing a caller with few.
TEST(CallerMemory, ConnectionsBeyondTheLimitDisplaceWaitingOnes) {
  // One running request, then waiting connections from the same address.
  auto& busy = Call(Get("/"));
  CHECK(WaitUntil([this] { return running.size() == 1; }));
  for (std::size_t i = 1; i < kMaxConnections; ++i) {
    Call("");
  }
  CHECK(WaitUntil([this] { return server.open_connections() == kMaxConnections; }));
  auto& own = Call("");
  CHECK(WaitUntil([&] { return own.ended; }));
  CHECK_EQUAL(kMaxConnections, server.open_connections());
  // A caller at another address takes the place of the connection that waits longest.
  auto& first_waiting = *callers[1];
  MemoryCaller other(loop, server.address(), Get("/"), "127.0.0.9");
  CHECK(WaitUntil([this] { return running.size() == 2; }));
  CHECK(WaitUntil([&] { return first_waiting.ended; }));
  CHECK_FALSE(busy.ended);
  CHECK_EQUAL(kMaxConnections, server.open_connections());
  CHECK_EQUAL(1U, metrics.counter("pimentomoor_caller_connections_displaced_total"));
}

}  // namespace pimentomoor
