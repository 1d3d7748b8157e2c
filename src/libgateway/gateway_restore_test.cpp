// Tests of gateway daemons whose store comes back from an older copy: one daemon that reads the store, one that only
// hears the first, and one that starts afterwards.
#include <list>

#include "gateway_store.h"
#include "pimentomoor/gateway.h"
#include "test_address.h"

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
  std::list<GatewaySettings> settings;
  std::list<Gateway> gateways;
  HttpClient client{loop};

  void Start(bool reads_store) {
    settings.push_back({.host = "gateway-" + std::to_string(settings.size()),
                        .failure_domain = "z",
                        .caller_address = TakeTestAddress(),
                        .ready_address = TakeTestAddress(),
                        .directory_address = TakeTestAddress(),
                        .peer_address = TakeTestAddress(),
                        .store_address = reads_store ? store_address : TakeTestAddress()});
    settings.back().seed_peers = {settings.front().peer_address};
    gateways.emplace_back(loop, settings.back(), *codec).Start();
    CHECK(loop.RunUntil([this] { return gateways.back().ready(); }, seconds(10)));
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
  /// Whether the status of all daemons holds all the texts.
  bool AllShow(const std::vector<std::string>& texts) {
    std::size_t answers = 0, matches = 0;
    for (const auto& daemon : settings) {
      client.Call(
          {.target = daemon.peer_address, .path = "/status", .timeout = seconds(1)}, [&](const HttpResult& result) {
            ++answers;
            matches +=
                std::all_of(texts.begin(), texts.end(),
                            [&](const std::string& text) { return result.body.find(text) != std::string::npos; })
                    ? 1
                    : 0;
          });
    }
    loop.RunUntil([&] { return answers == settings.size(); }, seconds(2));
    return matches == settings.size();
  }
  bool AllShowWithin(Duration limit, const std::vector<std::string>& texts) {
    for (const TimePoint end = loop.Now() + limit; loop.Now() < end;) {
      if (AllShow(texts)) {
        return true;
      }
      loop.RunUntil([] { return false; }, milliseconds(20));
    }
    return false;
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
  CHECK(AllShowWithin(seconds(3), in_force));
  store.Restore(loop.Now() - copied_at);
  CHECK(AllShowWithin(seconds(5), {"\"routing\":{\"revision\":4,\"era\":2", "\"outages\":{\"revision\":4,\"era\":2",
                                   "\"upstreams\":{\"revision\":4,\"era\":2"}));
  CHECK(AllShow(in_force));
  Start(true);
  Start(false);
  const std::vector<std::string> known_to_all = {"\"routing_version\":8", "\"idle\":\"out\""};
  CHECK(AllShowWithin(seconds(5), known_to_all));
  for (const TimePoint end = loop.Now() + seconds(3); loop.Now() < end;) {
    CHECK(AllShow(known_to_all));
  }
  for (const auto& gateway : std::list<const Gateway*>{&gateways.front(), &*std::next(gateways.begin())}) {
    LONGS_EQUAL(1, gateway->metrics().counter("pimentomoor_store_restores_total"));
  }
  WriteOutage(true);
  WriteOutage(false);
  WriteTable("9");
  WriteUpstream(3, true);
  CHECK(AllShowWithin(
      seconds(5), {"\"routing_version\":9", "\"fetch\":{\"misdirected\":0,\"draining\":0,\"leaving\":0,\"out\":0,",
                   "\"drained\":\"draining\""}));
}

}  // namespace pimentomoor
