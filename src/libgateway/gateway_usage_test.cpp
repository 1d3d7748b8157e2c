// Tests of usage caps in gateway daemons that exchange messages on one event loop.
#include "pimentomoor/gateway_usage.h"

#include <sstream>

#include "pimentomoor/gateway_peers.h"
#include "pimentomoor/member_list.h"
#include "pimentomoor/platform_codec.h"
#include "test_address.h"
#include "test_loop.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

using std::chrono::milliseconds;

const CustomerSpec kCapped{.name = "quill", .requests_per_s = 1, .burst = 3};
const CustomerSpec kUncapped{.name = "free"};

// Two daemons, of which only the second is ready and so the home of all customers.
struct Cell {
  ManualClock clock;
  EventLoop loop{clock};
  Metrics metrics;
  std::vector<proto::GatewayUsage> sent;
  bool connected = true;
  std::unique_ptr<GatewayUsage> entry;
  std::unique_ptr<GatewayUsage> home;

  explicit Cell(const UsageCapSettings& settings) {
    const auto make = [&](const std::string& address, std::uint64_t incarnation) {
      return std::make_unique<GatewayUsage>(
          loop, metrics, UsageMember{.address = address, .incarnation = incarnation, .failure_domain = "a"}, settings,
          [this](const std::string& receiver, const proto::GatewayUsage& message) {
            sent.push_back(message);
            if (connected) {
              loop.Post([this, receiver, message] { (receiver == "10.0.0.1:1" ? entry : home)->Receive(message); });
            }
            return message.ByteSizeLong();
          });
    };
    entry = make("10.0.0.1:1", 1);
    home = make("10.0.0.2:1", 2);
    entry->SetCustomers({kCapped, kUncapped});
    home->SetCustomers({kCapped, kUncapped});
    Run(milliseconds(5'000));
  }
  void Run(Duration duration) {
    proto::GatewayMember first;
    first.set_peer_address("10.0.0.1:1");
    first.set_incarnation(1);
    proto::GatewayMember second = first;
    second.set_peer_address("10.0.0.2:1");
    second.set_incarnation(2);
    second.set_ready(true);
    for (const TimePoint end = clock.Now() + duration; clock.Now() < end; clock.Advance(milliseconds(1))) {
      entry->SetPeers({second}, 1, false, 2, clock.Now());
      home->SetPeers({first}, 1, true, 2, clock.Now());
      loop.RunOnce(Duration::zero());
    }
  }
  // Sends `count` requests and returns how many have been admitted after 200 ms; all are decided by then.
  int Admit(const CustomerSpec& customer, int count) {
    int decided = 0;
    int admitted = 0;
    for (int i = 0; i < count; ++i) {
      entry->Admit(customer, milliseconds(200), [&](bool is_admitted, Duration retry_after) {
        ++decided;
        admitted += is_admitted ? 1 : 0;
        CHECK(is_admitted || retry_after > Duration::zero());
      });
    }
    Run(milliseconds(200));
    LONGS_EQUAL(count, decided);
    return admitted;
  }
};

}  // namespace

TEST_GROUP(GatewayUsage){};

// Guards against requests beyond the cap that run, and against excess that operators can't see.
TEST(GatewayUsage, RefusesAndReportsRequestsOverTheCap) {
  Cell cell({.window = std::chrono::seconds(5), .excess = 0.1, .slack = 20});
  const int admitted = cell.Admit(kCapped, 30);
  CHECK(admitted >= 3 && admitted <= 6);
  const auto labels = [](const char* decision) {
    return std::string("customer=\"quill\",decision=\"") + decision + "\"";
  };
  LONGS_EQUAL(admitted, cell.metrics.counter("pimentomoor_usage_requests_total", labels("admitted")));
  LONGS_EQUAL(30 - admitted, cell.metrics.counter("pimentomoor_usage_requests_total", labels("over cap")));
  CHECK(cell.sent.size() <= 4);  // one ask for all requests of a turn
  std::ostringstream over;
  cell.entry->RenderOverCap(over);
  CHECK(over.str() == "\"quill\":" + std::to_string(30 - admitted));
  cell.Run(milliseconds(11'000));
  over.str("");
  cell.entry->RenderOverCap(over);
  CHECK(over.str().empty());
}

// Guards against a request that waits without end for a home that doesn't answer.
TEST(GatewayUsage, RefusesWhenTheHomeDoesNotAnswer) {
  Cell cell({.window = std::chrono::seconds(5), .excess = 0.1, .slack = 20});
  cell.connected = false;
  LONGS_EQUAL(0, cell.Admit(kCapped, 2));
  CHECK(cell.metrics.counter("pimentomoor_usage_requests_total", "customer=\"quill\",decision=\"no home\"") == 2);
}

// Guards against messages and refusals in a deployment without caps.
TEST(GatewayUsage, SendsNothingWithoutCaps) {
  Cell capped({.window = std::chrono::seconds(5), .excess = 0.1, .slack = 20});
  LONGS_EQUAL(50, capped.Admit(kUncapped, 50));
  Cell off({});
  LONGS_EQUAL(50, off.Admit(kCapped, 50));
  CHECK(capped.sent.empty() && off.sent.empty());
}

// Guards against messages that the socket of the heartbeats loses or takes for heartbeats, and against a daemon that
// doesn't notice whether others answer it.
TEST(GatewayUsage, MessagesPassThroughTheSocketOfTheHeartbeats) {
  SystemClock clock;
  EventLoop loop(clock);
  Metrics metrics;
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<GatewayPeers>> peers;
  std::vector<proto::GatewayUsage> received;
  for (std::uint64_t i = 0; i < 2; ++i) {
    addresses.push_back(TakeTestAddress());
    peers.push_back(std::make_unique<GatewayPeers>(
        loop, metrics, MemberExchangeOptions{.seeds = {addresses[0]}},
        [i, address = addresses[i]](proto::GatewayHeartbeat& heartbeat) {
          heartbeat.mutable_sender()->set_peer_address(address);
          heartbeat.mutable_sender()->set_caller_address(address);
          heartbeat.mutable_sender()->set_failure_domain("a");
          heartbeat.mutable_sender()->set_incarnation(i + 1);
        },
        [](const proto::GatewayHeartbeat&) {}));
    peers[i]->SetUsageHandler([&](const proto::GatewayUsage& message) { received.push_back(message); });
  }
  CHECK(loop.RunUntil([&] { return peers[1]->LivePeers().size() == 1; }, std::chrono::seconds(5)));
  CHECK(loop.RunUntil([&] { return loop.Now() - peers[1]->answered_at() < milliseconds(500); },
                      std::chrono::seconds(5)));
  const UsageMessage message{.sender_address = addresses[0], .sender_incarnation = 1, .receiver_incarnation = 2};
  CHECK(peers[0]->SendUsage(addresses[1], FormatUsageMessage(message)) > 0);
  CHECK(loop.RunUntil([&] { return received.size() == 1; }, std::chrono::seconds(5)));
  CHECK(ParseUsageMessage(received[0]) == message);
  CHECK(metrics.counter("pimentomoor_gateway_heartbeats_refused_total") == 0);
}

// Guards against a message that changes on its way, that doesn't fit into one packet, or that a daemon takes for a
// heartbeat; a daemon of a build without this message reads it as a heartbeat without a sender.
TEST(GatewayUsage, MessagesAreCheckedAndAreNoHeartbeats) {
  UsageMessage message{.sender_address = "10.0.0.1:1", .sender_incarnation = 3, .receiver_incarnation = 4};
  message.validity = milliseconds(250);
  for (std::uint64_t i = 0; i < UsageCapExchange::kMaxItems; ++i) {
    message.asks.push_back({.customer = ~i, .id = 1'000'000 + i, .needed = 300, .stock = 2, .refused = 500});
  }
  proto::GatewayHeartbeat datagram;
  *datagram.mutable_usage() = FormatUsageMessage(message);
  CHECK(datagram.ByteSizeLong() <= 1'350);
  CHECK(ParseUsageMessage(datagram.usage()) == message);
  proto::GatewayMember self;
  self.set_peer_address("10.0.0.9:1");
  CHECK(!MemberList(self).Receive(datagram, TimePoint{} + std::chrono::hours(1)));
  datagram.mutable_usage()->add_asks();
  CHECK_THROWS(FormatError, ParseUsageMessage(datagram.usage()));
  datagram.mutable_usage()->clear_asks();
  datagram.mutable_usage()->set_sender_address("nowhere");
  CHECK_THROWS(FormatError, ParseUsageMessage(datagram.usage()));
}

}  // namespace pimentomoor
