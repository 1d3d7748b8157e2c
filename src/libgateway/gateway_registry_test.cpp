// Tests of gateway daemons that find each other through the registry in the store, with daemons and a store on
// loopback.
#include "gateway_registry.h"

#include "gateway_fleet.h"
#include "gateway_store.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time from the start in which daemons that reach the store find each other; docs/platform.md.
constexpr Duration kDiscoveryTime = seconds(6);

}  // namespace

TEST_GROUP(GatewayRegistry) {
  SystemClock clock;
  EventLoop loop{clock};
  Metrics store_metrics;
  std::unique_ptr<PlatformCodec> codec = MakePlatformCodec();
  std::string store_address = TakeTestAddress();
  GatewayStore store{loop, store_metrics, codec->field_names(), store_address};
  GatewayFleet fleet{loop, *codec};
  std::vector<std::string> peers;
  std::string gone = TakeTestAddress();  // of a daemon that no longer runs

  void setup() override {
    store.ChangeObject(std::string(platform_names::kRoutingKind), std::string(platform_names::kRoutingObjectName),
                       FormatRoutingTable("1", 0));
    for (int i = 0; i < 4; ++i) {
      peers.push_back(TakeTestAddress());
    }
  }

  void Start(std::size_t index, const std::vector<std::string>& seeds) {
    fleet.Start({.failure_domain = "zone-" + std::to_string(index % 2),
                 .peer_address = peers[index],
                 .seed_peers = seeds,
                 .store_address = store_address});
  }
};

// Guards against two cells that both use the shared budgets in full, such as the cap of a customer, because the seeds
// of neither name a daemon of the other.
TEST(GatewayRegistry, CellsWhoseSeedsDontNameEachOtherBecomeOne) {
  for (std::size_t i = 0; i < 4; ++i) {
    const std::size_t first = i < 2 ? 0 : 2;
    Start(i, {peers[first], peers[first + 1], gone});
  }
  CHECK(fleet.AllShowWithin(kDiscoveryTime, {"\"daemons_alive\":4,\"daemons_counted\":4,\"fleet_known\":true"}));
}

// Guards against a daemon that stays alone because all its seeds are gone.
TEST(GatewayRegistry, DaemonWhoseSeedsAreGoneFindsTheOthers) {
  Start(0, {peers[0], peers[1], gone});
  Start(1, {peers[0], peers[1], gone});
  CHECK(fleet.AllShowWithin(kDiscoveryTime, {"\"daemons_alive\":2,\"daemons_counted\":2,\"fleet_known\":true"}));
  Start(2, {gone});
  CHECK(fleet.AllShowWithin(kDiscoveryTime, {"\"daemons_alive\":3,\"daemons_counted\":3,\"fleet_known\":true"}));
}

// Guards against a cell that uses the whole of the shared budgets while it can't know whether it is the whole fleet,
// and against one that stays at its part when the store is back.
TEST(GatewayRegistry, CellThatCantRegisterLeavesHalfOfTheBudgetsToOthers) {
  store.SetRefusesCreation(true);
  Start(0, {peers[0], peers[1], gone});
  Start(1, {peers[0], peers[1], gone});
  CHECK(fleet.AllShowWithin(kDiscoveryTime, {"\"daemons_alive\":2,\"daemons_counted\":4,\"fleet_known\":false"}));
  fleet.Wait(seconds(2));
  CHECK_EQUAL(2U, fleet.CountShowing({"\"daemons_alive\":2,\"daemons_counted\":4,\"fleet_known\":false"}));
  store.SetRefusesCreation(false);
  CHECK(fleet.AllShowWithin(kDiscoveryTime, {"\"daemons_alive\":2,\"daemons_counted\":2,\"fleet_known\":true"}));
}

// Guards against a daemon that never counts itself as the only one, and refuses customers with a cap, because its
// seeds are gone.
TEST(GatewayRegistry, OnlyDaemonOfAFleetKnowsIt) {
  store.ChangeObject(std::string(platform_names::kRegistryKind), "corrupt", "{\"peer-address\":7}");
  Start(0, {gone});
  CHECK(fleet.AllShowWithin(kDiscoveryTime, {"\"daemons_alive\":1,\"daemons_counted\":1,\"fleet_known\":true"}));
}

}  // namespace pimentomoor
