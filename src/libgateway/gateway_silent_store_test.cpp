// Tests of gateway daemons one of which the store turns away in silence, with daemons and stores on loopback.
#include <deque>
#include <utility>

#include "gateway_fleet.h"
#include "gateway_store.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time from the acknowledgement of a version until it is in force; docs/platform.md.
constexpr Duration kApplyTime = seconds(3);
constexpr Duration kTimeBetweenVersions = milliseconds(80);

unsigned RoutingVersionIn(const std::string& status) {
  const std::string key = "\"routing_version\":";
  return static_cast<unsigned>(std::stoul(status.substr(status.find(key) + key.size())));
}

}  // namespace

// The two stores hold the same objects at the same revisions, as one store that turns a daemon away does.
TEST_GROUP(GatewaySilentStore) {
  SystemClock clock;
  EventLoop loop{clock};
  Metrics store_metrics;
  std::unique_ptr<PlatformCodec> codec = MakePlatformCodec();
  std::string silent_address = TakeTestAddress();
  std::string store_address = TakeTestAddress();
  GatewayStore silent_store{loop, store_metrics, codec->field_names(), silent_address};
  GatewayStore store{loop, store_metrics, codec->field_names(), store_address};
  GatewayFleet fleet{loop, *codec};

  void WriteTable(unsigned version) {
    for (auto* written : {&silent_store, &store}) {
      written->ChangeObject(std::string(platform_names::kRoutingKind),
                            std::string(platform_names::kRoutingObjectName),
                            FormatRoutingTable(std::to_string(version), 0));
    }
  }
};

// Guards against a daemon that watches the store for its failure domain and waits for it while the daemons of other
// domains know newer versions: it was late by the whole time in which versions came in quick succession (review/10).
TEST(GatewaySilentStore, VersionsOfOtherDaemonsAreInForceInTime) {
  WriteTable(1);
  const std::string first_peer = TakeTestAddress();
  fleet.Start({.failure_domain = "a", .peer_address = first_peer, .store_address = silent_address});
  fleet.Start({.failure_domain = "a", .seed_peers = {first_peer}, .store_address = silent_address});
  fleet.Start({.failure_domain = "b", .seed_peers = {first_peer}, .store_address = store_address});
  CHECK(fleet.AllShowWithin(seconds(10), {"\"daemons_alive\":3", "\"routing_version\":1"}));
  fleet.Wait(seconds(1));
  silent_store.SetMode(GatewayStore::Mode::kSilent);
  std::deque<std::pair<TimePoint, unsigned>> written;
  unsigned due = 1;  // the newest version that has to be in force
  for (const TimePoint end = loop.Now() + 2 * kApplyTime; loop.Now() < end; fleet.Wait(kTimeBetweenVersions)) {
    const unsigned version = static_cast<unsigned>(written.size()) + due + 1;
    WriteTable(version);
    written.emplace_back(loop.Now(), version);
    for (; loop.Now() - written.front().first >= kApplyTime; written.pop_front()) {
      due = written.front().second;
    }
    const std::vector<std::string> statuses = fleet.ReadStatuses();
    CHECK_EQUAL(3U, statuses.size());
    for (const auto& status : statuses) {
      CHECK(RoutingVersionIn(status) >= due);
    }
  }
  CHECK(due > 1);
  CHECK(fleet.CountShowing({"\"store_answers\":false"}) > 0);
}

}  // namespace pimentomoor
