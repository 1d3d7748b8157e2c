// Tests of gateway daemons whose store comes back from an older copy: one daemon that reads the store, one that only
// hears the first, and one that starts afterwards.
#include "gateway_fleet.h"
#include "gateway_store.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_GROUP(GatewayRestore) {
  SystemClock clock;
  EventLoop loop{clock};
  Metrics store_metrics;
  std::unique_ptr<PlatformCodec> codec = MakePlatformCodec();
  std::string store_address = TakeTestAddress();
  GatewayStore store{loop, store_metrics, codec->field_names(), store_address};
  GatewayFleet fleet{loop, *codec};

  void Start(bool reads_store) {
    const std::string first_peer = fleet.settings.empty() ? TakeTestAddress() : fleet.settings.front().peer_address;
    const Gateway& gateway = fleet.Start({.failure_domain = "z",
                                          .peer_address = fleet.settings.empty() ? first_peer : "",
                                          .seed_peers = {first_peer},
                                          .store_address = reads_store ? store_address : TakeTestAddress()});
    CHECK(loop.RunUntil([&] { return gateway.ready(); }, seconds(10)));
  }
  void WriteTable(const std::string& version) {
    store.ChangeObject(std::string(platform_names::kRoutingKind), std::string(platform_names::kRoutingObjectName),
                       FormatRoutingTable(version, 0));
  }
  void WriteOutage(bool exists) {
    store.ChangeObject(std::string(platform_names::kOutageKind), "out", exists ? "{}" : "null", !exists);
  }
  void WriteUpstream(unsigned sequence, bool draining) {
    store.ChangeObject(std::string(platform_names::kUpstreamKind), "drained",
                       FormatUpstreamEntry({.id = "drained",
                                            .service = "order",
                                            .address = "127.0.0.1:1",
                                            .failure_domain = "a",
                                            .draining = draining,
                                            .start_unix_ms = 1,
                                            .sequence = sequence}));
  }
};

// Guards against a table, an outage and a drain that are undone by an older copy of the store: at a daemon that reads
// it, at one that hears of it, and at one that starts later; and against words of the operator that are ignored then.
TEST(GatewayRestore, OlderCopyUndoesNothing) {
  store.SetEra(1);
  WriteTable("7");
  WriteUpstream(1, false);
  store.ChangeObject(std::string(platform_names::kUpstreamKind), "idle",
                     FormatUpstreamEntry({.id = "idle",
                                          .service = "fetch",
                                          .address = "127.0.0.1:1",
                                          .failure_domain = "out",
                                          .start_unix_ms = 1,
                                          .sequence = 1}));
  Start(true);
  Start(false);
  loop.RunUntil([] { return false; }, milliseconds(600));
  const TimePoint copied_at = loop.Now();
  WriteTable("8");
  WriteOutage(true);
  WriteUpstream(2, true);
  const std::vector<std::string> in_force = {"\"routing_version\":8", "\"idle\":\"out\"", "\"drained\":\"draining\""};
  CHECK(fleet.AllShowWithin(seconds(3), in_force));
  store.Restore(loop.Now() - copied_at);
  CHECK(fleet.AllShowWithin(seconds(5),
                            {"\"routing\":{\"revision\":4,\"era\":2", "\"outages\":{\"revision\":4,\"era\":2",
                             "\"upstreams\":{\"revision\":4,\"era\":2"}));
  CHECK(fleet.AllShow(in_force));
  Start(true);
  Start(false);
  const std::vector<std::string> known_to_all = {"\"routing_version\":8", "\"idle\":\"out\""};
  CHECK(fleet.AllShowWithin(seconds(5), known_to_all));
  for (const TimePoint end = loop.Now() + seconds(3); loop.Now() < end;) {
    CHECK(fleet.AllShow(known_to_all));
  }
  for (const auto& gateway :
       std::list<const Gateway*>{&fleet.gateways.front(), &*std::next(fleet.gateways.begin())}) {
    LONGS_EQUAL(1, gateway->metrics().counter("pimentomoor_store_restores_total"));
  }
  WriteOutage(true);
  WriteOutage(false);
  WriteTable("9");
  WriteUpstream(3, true);
  CHECK(fleet.AllShowWithin(
      seconds(5), {"\"routing_version\":9", "\"fetch\":{\"misdirected\":0,\"draining\":0,\"leaving\":0,\"out\":0,",
                   "\"drained\":\"draining\""}));
}

}  // namespace pimentomoor
