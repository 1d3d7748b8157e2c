// Tests of the timeouts of callers' connections.
#include "pimentomoor/caller_server.h"

#include <sys/socket.h>
#include <unistd.h>

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

}  // namespace

TEST_GROUP(CallerServer) {
  ManualClock clock;
  EventLoop loop{clock};
  Metrics metrics;
  const FieldNames names{.request_id = "id"};
  CallerServer server{loop, metrics, names, {.address = "127.0.0.1:0"}, [](const auto& exchange) {
                        exchange->Respond({.body = std::string(std::size_t{8} * 1024 * 1024, '.')});
                      }};

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

}  // namespace pimentomoor
