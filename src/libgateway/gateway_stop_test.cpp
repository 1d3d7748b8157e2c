// Tests of the planned stop of a gateway daemon while requests run and arrive, with a store, callers and an upstream
// (searcher) on loopback.
#include <algorithm>
#include <list>

#include "pimentomoor/gateway.h"
#include "pimentomoor/http.h"
#include "request_harness.h"
#include "test_address.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kDrainTimeout = milliseconds(2'400);
constexpr Duration kWorkTime = milliseconds(1'200);

std::string Object(const std::string& name, const std::string& spec) {
  return R"({"meta":{"name":")" + name + R"(","rev":3},"spec":)" + spec + "}";
}

}  // namespace

TEST_GROUP(GatewayStop) {
  SystemClock clock;
  EventLoop loop{clock};
  HttpServer store{loop, {}};
  std::unique_ptr<PlatformCodec> codec = MakePlatformCodec();
  GatewaySettings settings;
  std::unique_ptr<ScriptedSearcher> searcher;
  std::unique_ptr<Gateway> gateway;
  std::list<Caller> callers;
  bool stopped = false;

  void Serve(const std::string& kind, const std::string& items) {
    store.Handle("/api/objects/" + kind, [items](const HttpRequest& request, const HttpResponder& respond) {
      const bool watch = request.query.starts_with("watch");
      respond({.body = watch ? "{\"events\":[],\"store-revision\":5}"
                             : "{\"items\":[" + items + "],\"has-more\":false,\"store-revision\":5}"});
    });
  }

  void setup() override {
    SearcherScript script{.response = ""};
    for (int i = 0; i < 100; ++i) {
      script.first_responses.push_back({.response = ResponseWithLength("whole"), .delay = kWorkTime});
    }
    searcher = std::make_unique<ScriptedSearcher>(loop, script);
    Serve("config", Object("main", R"({"version":7,"routes":[{"name":"one","host":"h","prefix":"/","type":"unsafe",
                                       "timeout-ms":5000,"slo-ms":800,"backend":"s"}],
                                       "services":[{"name":"s","health-path":"/","max-conns":30}]})"));
    Serve("servers", Object("a", R"({"backend":"s","address":")" + searcher->address() +
                                     R"(","zone":"z","slots":12,"state":"ready","cold-left-ms":0,"seq":1})"));
    Serve("evacuations", "");
    settings = {.host = "gateway-1",
                .failure_domain = "z",
                .caller_address = TakeTestAddress(),
                .ready_address = TakeTestAddress(),
                .directory_address = TakeTestAddress(),
                .peer_address = TakeTestAddress(),
                .store_address = store.address(),
                .drain_timeout = kDrainTimeout};
    gateway = std::make_unique<Gateway>(loop, settings, *codec);
    gateway->Start();
    CHECK(loop.RunUntil([&] { return gateway->ready(); }, seconds(10)));
  }

  Caller& Call() {
    return callers.emplace_back(loop, settings.caller_address, "POST", "id-" + std::to_string(callers.size()));
  }

  /// Stops the daemon and sends a request each 100 ms until it no longer accepts connections or has stopped. Then the
  /// daemon and its connections end, as they do with the process.
  void StopUnderLoad() {
    gateway->Stop([this] { stopped = true; });
    const TimePoint end = loop.Now() + kDrainTimeout;
    while (!stopped && loop.Now() < end) {
      Call();
      loop.RunUntil([this] { return stopped; }, milliseconds(100));
    }
    CHECK(stopped);
    gateway.reset();
    loop.RunUntil([] { return false; }, milliseconds(50));  // answers in the kernel's buffers arrive
  }
};

// Guards against requests that a stopping daemon takes late and cuts off without an answer when its time is up.
TEST(GatewayStop, EveryRequestThatIsTakenIsAnswered) {
  StopUnderLoad();
  unsigned served = 0, promised_not_run = 0;
  for (const auto& caller : callers) {
    // A connection that was refused or closed before its request was read has not been taken.
    CHECK(caller.answered() || caller.connect_failed);
    served += caller.status() == 200;
    promised_not_run += caller.status() == 503;
  }
  CHECK(served >= 3);
  const auto taken = static_cast<unsigned>(
      std::count_if(callers.begin(), callers.end(), [](const auto& caller) { return caller.answered(); }));
  CHECK_EQUAL(taken - promised_not_run, searcher->arrivals());
}

// Guards against sending a request to an upstream that is unlikely to answer it before the daemon ends: its caller
// could be served elsewhere.
TEST(GatewayStop, RequestThatCantFinishInTimeIsRefused) {
  auto& before = Call();
  CHECK(loop.RunUntil([&] { return before.answered(); }, seconds(3)));
  gateway->Stop([this] { stopped = true; });
  auto& early = Call();
  loop.RunUntil([] { return false; }, kDrainTimeout / 2 - milliseconds(200));
  auto& late = Call();
  CHECK(loop.RunUntil([&] { return stopped; }, kDrainTimeout));
  loop.RunUntil([] { return false; }, milliseconds(50));
  CHECK_EQUAL(200, early.status());
  CHECK_EQUAL(503, late.status());
  CHECK_EQUAL(2U, searcher->arrivals());
}

}  // namespace pimentomoor
