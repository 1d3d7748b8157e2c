// Tests of the timeouts of callers' connections, and of answers that callers read slowly.
#include "pimentomoor/caller_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <vector>

#include "socket_address.h"
#include "test_loop.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kClockStep = milliseconds(500);  // longer than the interval of the server's timeout checks
constexpr std::size_t kReadBytes = std::size_t{128} * 1024;  // that a slow reader takes at a time

// A caller that records what it receives and whether its connection has ended.
struct TestCaller final : TcpStreamHandler {
  TestCaller(EventLoop& loop, const std::string& address) : stream(TcpStream::Connect(loop, address, *this)) {}
  void OnData(std::string_view bytes) override { received.append(bytes); }
  void OnEnd(StreamEnd /*end*/) override {
    ended = true;
    stream.reset();
  }
  std::unique_ptr<TcpStream> stream;
  std::string received;
  bool ended = false;
};

// A caller on a blocking socket that sends one request and reads its answer when it is told to.
class SlowReader {
 public:
  explicit SlowReader(const std::string& server_address) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int receive_bytes = 16 * 1024;
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
    const sockaddr_in address = ParseSocketAddress(server_address);
    CHECK_EQUAL(0, connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    CHECK_EQUAL(static_cast<ssize_t>(request.size()), send(fd_, request.data(), request.size(), MSG_NOSIGNAL));
  }
  ~SlowReader() { close(fd_); }
  SlowReader(const SlowReader&) = delete;
  SlowReader& operator=(const SlowReader&) = delete;

  /// Reads what has arrived, at most `max_bytes`. Returns whether the connection is open.
  bool Read(std::size_t max_bytes) {
    std::string buffer(max_bytes, '\0');
    const ssize_t count = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    received_ += count > 0 ? static_cast<std::size_t>(count) : 0;
    return count > 0 || (count < 0 && errno == EAGAIN);
  }
  [[nodiscard]] std::size_t received() const { return received_; }

 private:
  const int fd_;
  std::size_t received_ = 0;
};

}  // namespace

TEST_GROUP(CallerServer) {
  ManualClock clock;
  EventLoop loop{clock};
  Metrics metrics;
  const FieldNames names{.request_id = "id"};
  static constexpr std::size_t kBodyBytes = std::size_t{8} * 1024 * 1024;
  BufferBudget budget{loop, 2 * kBodyBytes};
  CallerServer server{loop,
                      metrics,
                      names,
                      {.address = "127.0.0.1:0"},
                      [](const auto& exchange) { exchange->Respond({.body = std::string(kBodyBytes, '.')}); },
                      &budget};

  /// Returns the time until `done` returns true, at most about 100 seconds. Meanwhile `caller`, unless it is null,
  /// sends a request head that never ends, a few bytes every half second.
  Duration TimeUntil(TestCaller * caller, const std::function<bool()>& done) {
    const TimePoint start = clock.Now();
    while (!done() && clock.Now() - start < seconds(100)) {
      if (caller != nullptr && caller->stream != nullptr) {
        caller->stream->Write(caller->received.empty() && clock.Now() == start ? "GET / HTTP/1.1\r\na: " : "a");
      }
      for (int turn = 0; turn < 4; ++turn) {
        loop.RunOnce(milliseconds(2));
      }
      clock.Advance(kClockStep);
    }
    return clock.Now() - start;
  }
  /// Whether `time` is `limit` or up to four clock steps more.
  static bool IsAbout(Duration time, Duration limit) { return time >= limit && time <= limit + 4 * kClockStep; }
};

// Guards against callers that hold a connection without limit by sending a head byte by byte or nothing at all. The
// default limits apply before a routing table is known, and those of the table after that.
TEST(CallerServer, SlowHeadsAndIdleConnectionsAreBounded) {
  for (const bool has_routing_table : {false, true}) {
    if (has_routing_table) {
      server.SetLimits({}, seconds(4), seconds(7));
    }
    TestCaller slow(loop, server.address());
    CHECK(IsAbout(TimeUntil(&slow, [&] { return !slow.received.empty(); }), seconds(has_routing_table ? 4 : 10)));
    STRNCMP_EQUAL("HTTP/1.1 408 ", slow.received.c_str(), 13);
    TestCaller idle(loop, server.address());
    CHECK(IsAbout(TimeUntil(nullptr, [&] { return idle.ended; }), seconds(has_routing_table ? 7 : 30)));
  }
}

// Guards against a connection that stays open without limit because its caller does not read the last answer.
TEST(CallerServer, CallerThatDoesNotReadItsAnswerIsBounded) {
  const sockaddr_in address = ParseSocketAddress(server.address());
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  CHECK_EQUAL(0, connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  CHECK_EQUAL(static_cast<ssize_t>(request.size()), send(fd, request.data(), request.size(), MSG_NOSIGNAL));
  CHECK(RunTurns(
      loop, clock, [&] { return server.open_connections() == 1; }, seconds(5)));
  const Duration time = TimeUntil(nullptr, [&] { return server.open_connections() == 0; });
  CHECK(IsAbout(time, seconds(30)));
  close(fd);
}

// Guards against a planned stop that closes a connection, or ends the process, while a caller still reads its answer:
// the answer counts as running until its last byte is sent, and its connection isn't idle.
TEST(CallerServer, AnswerIsRunningUntilItIsSent) {
  SlowReader reader(server.address());
  CHECK(RunTurns(
      loop, clock, [&] { return server.running_requests() == 1; }, seconds(5)));
  server.StopAccepting();
  for (int turn = 0; turn < 20; ++turn) {
    loop.RunOnce(milliseconds(1));
  }
  CHECK_EQUAL(1U, server.running_requests());
  for (int step = 0; step < 100'000 && reader.received() < kBodyBytes; ++step) {
    CHECK(reader.Read(kReadBytes));
    loop.RunOnce(Duration::zero());
  }
  CHECK(reader.received() > kBodyBytes);
  CHECK(RunTurns(
      loop, clock, [&] { return server.running_requests() == 0; }, seconds(5)));
}

// Guards against cutting off a caller that reads its answer slowly, when it takes longer than the idle timeout.
TEST(CallerServer, SlowReadingIsNotIdle) {
  server.SetLimits({}, seconds(4), seconds(7));
  SlowReader reader(server.address());
  CHECK(RunTurns(
      loop, clock, [&] { return server.running_requests() == 1; }, seconds(5)));
  const TimePoint start = clock.Now();
  while (server.running_requests() == 1 && clock.Now() - start < seconds(60)) {
    CHECK(reader.Read(kReadBytes));
    for (int turn = 0; turn < 4; ++turn) {
      loop.RunOnce(milliseconds(1));
    }
    clock.Advance(kClockStep);
  }
  CHECK(clock.Now() - start > 2 * seconds(7));
  while (reader.received() < kBodyBytes) {
    CHECK(reader.Read(kReadBytes));
    loop.RunOnce(milliseconds(1));
  }
  CHECK_EQUAL(0U, metrics.counter("pimentomoor_caller_answers_given_up_total", "reason=\"not read\""));
}

// Guards against callers that ask for large answers and don't read them, until the daemon has no memory left.
TEST(CallerServer, UnreadAnswersAreBoundedTogether) {
  std::vector<std::unique_ptr<SlowReader>> readers;
  for (int i = 0; i < 6; ++i) {
    readers.push_back(std::make_unique<SlowReader>(server.address()));
    for (int turn = 0; turn < 20; ++turn) {
      loop.RunOnce(milliseconds(1));
    }
    CHECK(budget.bytes() <= budget.limit_bytes());
  }
  CHECK(metrics.counter("pimentomoor_caller_answers_given_up_total", "reason=\"memory\"") >= 1);
  CHECK(server.running_requests() >= 1);
  readers.clear();
  CHECK(RunTurns(
      loop, clock, [&] { return server.open_connections() == 0; }, seconds(5)));
  CHECK_EQUAL(0U, budget.bytes());
}

}  // namespace pimentomoor
