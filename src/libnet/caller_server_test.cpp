// Tests of the limits on callers' connections.
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

constexpr Duration kTurn = milliseconds(500);  // of the clock, longer than the server's sweeps

struct SlowCaller final : TcpStreamHandler {
  SlowCaller(EventLoop& loop, const std::string& address) : stream(TcpStream::Connect(loop, address, *this)) {}
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

  /// Time until `done`, while `caller` sends the next bytes of an endless head each half second.
  Duration TimeUntil(SlowCaller * caller, const std::function<bool()>& done) {
    const TimePoint since = clock.Now();
    while (!done() && clock.Now() - since < seconds(100)) {
      if (caller != nullptr && caller->stream != nullptr) {
        caller->stream->Write(caller->received.empty() && clock.Now() == since ? "GET / HTTP/1.1\r\na: " : "a");
      }
      for (int turn = 0; turn < 4; ++turn) {
        loop.RunOnce(milliseconds(2));
      }
      clock.Advance(kTurn);
    }
    return clock.Now() - since;
  }
  static bool IsAbout(Duration time, Duration limit) { return time >= limit && time <= limit + 4 * kTurn; }
};

// Guards against callers that hold connections without bound by sending a head byte by byte or nothing at all: with
// the limits of a routing table, and before one is known.
TEST(CallerServer, SlowHeadsAndIdleConnectionsAreBounded) {
  for (const bool has_table : {false, true}) {
    if (has_table) {
      server.SetLimits({}, seconds(4), seconds(7));
    }
    SlowCaller slow(loop, server.address());
    CHECK(IsAbout(TimeUntil(&slow, [&] { return !slow.received.empty(); }), seconds(has_table ? 4 : 10)));
    STRNCMP_EQUAL("HTTP/1.1 408 ", slow.received.c_str(), 13);
    SlowCaller idle(loop, server.address());
    CHECK(IsAbout(TimeUntil(nullptr, [&] { return idle.ended; }), seconds(has_table ? 7 : 30)));
  }
}

// Guards against a connection that is kept without bound because its caller does not read the last answer on it.
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
