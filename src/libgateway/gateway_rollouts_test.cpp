// Tests of roll-outs with gateway daemons, a store, callers and searchers on loopback.
#include <list>
#include <sstream>

#include "gateway_load.h"
#include "pimentomoor/gateway.h"
#include "request_harness.h"
#include "test_address.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned kOrderSeconds = 6;
constexpr RolloutSettings kRollouts;

}  // namespace

TEST_GROUP(GatewayRollouts) {
  SystemClock clock;
  EventLoop loop{clock};
  Metrics metrics;
  std::unique_ptr<PlatformCodec> codec = MakePlatformCodec();
  std::string store_address = TakeTestAddress();
  GatewayStore store{loop, metrics, codec->field_names(), store_address};
  std::list<GatewaySearcher> old_searchers;
  std::list<GatewaySearcher> new_searchers;
  std::list<GatewaySettings> settings;
  std::list<Gateway> gateways;
  std::unique_ptr<GatewayLoad> load;

  void setup() override {
    store.ChangeObject(std::string(platform_names::kRoutingKind), std::string(platform_names::kRoutingObjectName),
                       FormatRoutingTable("1", 0));
    AddSearchers(old_searchers, "v1", {"a", "b"});
    std::vector<std::string> peers = {TakeTestAddress(), TakeTestAddress()};
    for (std::size_t i = 0; i < peers.size(); ++i) {
      settings.push_back({.host = "gateway-" + std::to_string(i),
                          .failure_domain = "zone-" + std::to_string(i),
                          .caller_address = TakeTestAddress(),
                          .ready_address = TakeTestAddress(),
                          .directory_address = TakeTestAddress(),
                          .peer_address = peers[i],
                          .seed_peers = peers,
                          .store_address = store_address,
                          .retry = {.window = seconds(1)},
                          .rollouts = kRollouts});
      gateways.emplace_back(loop, settings.back(), *codec);
      gateways.back().Start();
    }
    CHECK(loop.RunUntil([&] { return gateways.front().ready() && gateways.back().ready(); }, seconds(10)));
    // The daemons know each other, and the retry budgets are open.
    Wait(milliseconds(2'000));
  }

  void AddSearchers(std::list<GatewaySearcher> & searchers, const std::string& version,
                    const std::vector<std::string>& replicas) {
    for (const std::string service : {"fetch", "order"}) {
      for (const auto& replica : replicas) {
        searchers.emplace_back(loop, metrics, store, service, replica, TakeTestAddress(), version);
      }
    }
  }

  void Wait(Duration time) {
    loop.RunUntil([] { return false; }, time);
  }

  void StartLoad() {
    load = std::make_unique<GatewayLoad>(loop, GatewayLoadOptions{.directories = {settings.front().directory_address,
                                                                                  settings.back().directory_address},
                                                                  .routes = {"fetch", "order"},
                                                                  .request_id_prefix = "r",
                                                                  .requests_per_s = 80,
                                                                  .seed = 1,
                                                                  .duration = seconds(kOrderSeconds + 2)});
  }

  void Order(const std::string& version) {
    for (const std::string service : {"fetch", "order"}) {
      store.ChangeObject(std::string(platform_names::kRolloutKind), service,
                         FormatRolloutOrder(service, version, kOrderSeconds));
    }
  }

  [[nodiscard]] bool HasState(const std::string& service, const std::string& state) {
    return store.StatusOf(std::string(platform_names::kRolloutKind), service) ==
           R"({"state":")" + state + R"(","target-version":"v2"})";
  }

  static unsigned Arrivals(const std::list<GatewaySearcher>& searchers, const std::string& service) {
    unsigned count = 0;
    for (const auto& searcher : searchers) {
      for (const auto& [id, arrivals] : searcher.arrivals()) {
        count += searcher.service() == service ? arrivals : 0;
      }
    }
    return count;
  }

  void CheckExposure(const std::string& service, unsigned before) {
    const unsigned to_new = Arrivals(new_searchers, service);
    const unsigned all = to_new + Arrivals(old_searchers, service) - before;
    CHECK(to_new > 10);
    CHECK(to_new <= kRollouts.canary_share * all + kRollouts.canary_slack);
  }
};

// Guards against an order for a good version that is not completed in time, that gives the version more than its part
// before it is completed, or whose end cuts off requests. The answers to the first writes of a status are lost.
TEST(GatewayRollouts, GoodVersionIsCompleted) {
  StartLoad();
  Wait(milliseconds(500));
  const unsigned before = Arrivals(old_searchers, "fetch");
  store.LoseStatusAnswers(3);
  Order("v2");
  AddSearchers(new_searchers, "v2", {"c", "d"});
  Wait(milliseconds(3'500));
  CheckExposure("fetch", before);
  const auto is_complete = [&] { return HasState("fetch", "complete") && HasState("order", "complete"); };
  CHECK(loop.RunUntil(is_complete, milliseconds(kOrderSeconds * 1'000 - 3'500)));
  for (auto& searcher : old_searchers) {
    searcher.SetFault(SearcherFault::kGone, 0, 1, {});  // they stop at once
  }
  for (const std::string name : {"fetch-a", "fetch-b", "order-a", "order-b"}) {
    store.ChangeObject(std::string(platform_names::kUpstreamKind), name, "null", true);
  }
  CHECK(loop.RunUntil([&] { return load->done(); }, seconds(10)));
  const std::string report = load->ReportFields();
  STRCMP_CONTAINS("\"failed\":0,\"wrong\":0", report.c_str());
  // Each order was written twice: running and complete.
  CHECK_EQUAL(4U, store.status_writes());
}

// Guards against a bad version that gets more than its part, that is completed, or that still gets requests after it
// was taken back. The store is away from the time of the order on, so the taking-back must not wait for it.
TEST(GatewayRollouts, BadVersionIsTakenBackWithoutTheStore) {
  StartLoad();
  Wait(milliseconds(500));
  const unsigned before = Arrivals(old_searchers, "fetch");
  Order("v2");
  AddSearchers(new_searchers, "v2", {"c", "d"});
  for (auto& searcher : new_searchers) {
    searcher.SetFault(SearcherFault::kFail, 100'000, 2, {});
  }
  Wait(milliseconds(600));
  store.SetMode(GatewayStore::Mode::kUnavailable);
  Wait(milliseconds(2'900));
  CheckExposure("fetch", before);
  const unsigned taken_back = Arrivals(new_searchers, "fetch");
  Wait(milliseconds(1'000));
  CHECK_EQUAL(taken_back, Arrivals(new_searchers, "fetch"));
  store.SetMode(GatewayStore::Mode::kNormal);
  const auto is_rolled_back = [&] { return HasState("fetch", "rolled_back") && HasState("order", "rolled_back"); };
  CHECK(loop.RunUntil(is_rolled_back, seconds(4)));
  CHECK(loop.RunUntil([&] { return load->done(); }, seconds(10)));
  CHECK_FALSE(load->has_wrong_answer());
  CHECK_EQUAL(taken_back, Arrivals(new_searchers, "fetch"));
}

// Guards against an order that is withdrawn and whose version then gets a share as if there had been none, and
// against upstreams of an unknown version that get a share before the order that names them arrives.
TEST(GatewayRollouts, VersionOfAWithdrawnOrLateOrderGetsNothing) {
  AddSearchers(new_searchers, "v2", {"c", "d"});
  StartLoad();
  Wait(milliseconds(800));
  CHECK_EQUAL(0U, Arrivals(new_searchers, "fetch"));
  Order("v2");
  Wait(milliseconds(1'500));
  CHECK(Arrivals(new_searchers, "fetch") > 0);
  store.ChangeObject(std::string(platform_names::kRolloutKind), "fetch", "null", true);
  Wait(milliseconds(500));
  const unsigned withdrawn = Arrivals(new_searchers, "fetch");
  Wait(milliseconds(1'500));
  CHECK_EQUAL(withdrawn, Arrivals(new_searchers, "fetch"));
}

}  // namespace pimentomoor
