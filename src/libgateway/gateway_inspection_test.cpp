// Tests of a gateway's interfaces for operators: traces, /status, the subcommands that read them, and settings
// errors.
#include <log4cxx/logger.h>
#include <unistd.h>

#include "command_runner.h"
#include "pimentomoor/gateway.h"
#include "pimentomoor/http.h"
#include "pimentomoor/strict_yaml.h"
#include "test_address.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;

constexpr const char* kTraceId = "4bf92f3577b34da6a3ce929d0e0e4736";

std::string Object(const std::string& name, const std::string& spec) {
  return R"({"meta":{"name":")" + name + R"(","rev":3},"spec":)" + spec + "}";
}

std::string Searcher(const std::string& id, const std::string& service, const std::string& address) {
  return Object(id, R"({"backend":")" + service + R"(","address":")" + address +
                        R"(","zone":"z","slots":2,"state":"ready","cold-left-ms":0,"seq":1})");
}

constexpr const char* kTable = R"({"version":7,"routes":[
  {"name":"one","host":"127.0.0.1","prefix":"/one/","type":"safe","timeout-ms":5000,"backend":"good"},
  {"name":"all","host":"127.0.0.1","prefix":"/all/","type":"safe","timeout-ms":5000,"slo-ms":200,"attempts":2,
   "gather":["good","bad"],"top-k":1,"min-parts":0.5}],
  "services":[{"name":"good","health-path":"/","max-conns":9},{"name":"bad","health-path":"/","max-conns":9}]})";

}  // namespace

TEST_GROUP(GatewayInspection) {
  SystemClock clock;
  EventLoop loop{clock};
  HttpServer store{loop, {}};
  HttpServer good{loop, {}};
  HttpServer bad{loop, {}};
  std::unique_ptr<PlatformCodec> codec = MakePlatformCodec();
  GatewaySettings settings;
  std::unique_ptr<Gateway> gateway;
  HttpClient client{loop};

  void Serve(const std::string& kind, const std::string& items) {
    store.Handle("/api/objects/" + kind, [items](const HttpRequest& request, const HttpResponder& respond) {
      const bool watch = request.query.starts_with("watch");
      respond({.body = watch ? "{\"events\":[],\"store-revision\":5}"
                             : "{\"items\":[" + items + "],\"has-more\":false,\"store-revision\":5}"});
    });
  }

  void setup() override {
    Serve("config", Object("main", kTable));
    Serve("servers", Searcher("a", "good", good.address()) + "," + Searcher("b", "bad", bad.address()) + "," +
                         Searcher("c", "bad", bad.address()));
    Serve("evacuations", "");
    good.Handle("/", [](const HttpRequest& request, const HttpResponder& respond) {
      respond({.headers = {{"x-request-id", std::string(FindHeader(request.headers, "x-request-id"))},
                           {"x-stamp", "stamp-a"}},
               .body = "0123456789abcdef"});
    });
    bad.Handle("/", [](const HttpRequest&, const HttpResponder& respond) { respond({.status = 500}); });
    settings = {.host = "gateway-1",
                .failure_domain = "z",
                .caller_address = TakeTestAddress(),
                .ready_address = TakeTestAddress(),
                .directory_address = TakeTestAddress(),
                .peer_address = TakeTestAddress(),
                .store_address = store.address(),
                .retry = {.window = std::chrono::seconds(1)}};
    gateway = std::make_unique<Gateway>(loop, settings, *codec);
    gateway->Start();
    // A new process has no allowance for retries during the first window of its retry budget.
    const TimePoint allowed_at = loop.Now() + settings.retry.window + std::chrono::milliseconds(600);
    CHECK(loop.RunUntil([&] { return gateway->ready() && loop.Now() >= allowed_at; }, std::chrono::seconds(10)));
  }

  int Send(const std::string& path, const std::string& request_id) {
    int status = 0;
    client.Call({.target = settings.caller_address,
                 .path = path,
                 .headers = {{"x-request-id", request_id},
                             {"traceparent", std::string("00-") + kTraceId + "-00f067aa0ba902b7-01"}},
                 .timeout = std::chrono::seconds(8)},
                [&status](const HttpResult& result) { status = result.status; });
    CHECK(loop.RunUntil([&status] { return status != 0; }, std::chrono::seconds(10)));
    return status;
  }

  CommandResult Run(const std::vector<std::string>& words) {
    const std::string output = "/tmp/pimentomoor-gateway-test-" + std::to_string(getpid());
    return WaitForCommand(loop, StartCommand(words, output), output);
  }
};

static void CheckContains(const CommandResult& result, const std::string& text) {
  STRCMP_CONTAINS(text.c_str(), result.output.c_str());
}

// Guards against a partial answer whose failed exchanges can't be found, and against traces of successful requests.
TEST(GatewayInspection, ExplainShowsTheExchangesOfAPartialAnswer) {
  LONGS_EQUAL(200, Send("/all/q", "request 1"));
  LONGS_EQUAL(200, Send("/one/q", "good"));
  const CommandResult partial = Run({"explain", "--daemon", settings.peer_address, "request 1"});
  LONGS_EQUAL(0, partial.exit_code);
  for (const std::string& text :
       {std::string(": trace ") + kTraceId + ", parts 1, missing 1\n", std::string("partial"), std::string("first"),
        std::string("retry"), good.address() + "  answered  200\n", bad.address() + "  answered  500\n"}) {
    CheckContains(partial, text);
  }
  const CommandResult unknown = Run({"explain", "--daemon", settings.peer_address, "good"});
  LONGS_EQUAL(1, unknown.exit_code);
  CheckContains(unknown, "no daemon that answered has a trace of request 'good'");
  LONGS_EQUAL(2, Run({"explain", "--daemon", settings.peer_address}).exit_code);
}

// Guards against a dead daemon that hides the others in the status, or that is missing in the error output.
TEST(GatewayInspection, StatusShowsDaemonsBesideADeadOne) {
  const std::string dead = TakeTestAddress();
  const CommandResult result = Run({"gateway-status", "--daemon", dead, "--daemon", settings.peer_address});
  LONGS_EQUAL(1, result.exit_code);
  for (const std::string& text : {"pimentomoor gateway-status: " + dead + ": ", std::string("  3/3 "),
                                  settings.peer_address + "  gateway-1  z       yes    7 "}) {
    CheckContains(result, text);
  }
  LONGS_EQUAL(2, Run({"gateway-status", "--daemon", "nowhere"}).exit_code);
}

// Guards against a daemon that starts and uses an upstream that is leaving, because its entry doesn't say so and only
// other daemons know it, and against a status and traces that hide why an upstream isn't used.
TEST(GatewayInspection, DaemonThatStartsLearnsOfLeavingUpstreams) {
  good.Handle("/", [](const HttpRequest& request, const HttpResponder& respond) {
    respond({.headers = {{"x-request-id", std::string(FindHeader(request.headers, "x-request-id"))},
                         {"server-leaving", "1"},
                         {"x-stamp", "stamp-a"}},
             .body = "0123456789abcdef"});
  });
  bad.Handle("/", [](const HttpRequest&, const HttpResponder& respond) {
    respond({.status = 503, .headers = {{"x-not-run", "1"}, {"retry-after", "30"}}});
  });
  LONGS_EQUAL(200, Send("/all/q", "request 1"));
  const CommandResult partial = Run({"explain", "--daemon", settings.peer_address, "request 1"});
  for (const std::string& text :
       {std::string("parts 1, missing 1, paused 1\n"), good.address() + "  answered,leaving ",
        bad.address() + "  answered,pause-30000ms  503\n"}) {
    CheckContains(partial, text);
  }
  const auto status = [&](const std::string& address) {
    std::string body;
    client.Call({.target = address, .path = "/status", .timeout = std::chrono::seconds(2)},
                [&body](const HttpResult& result) { body = result.body; });
    CHECK(loop.RunUntil([&body] { return !body.empty(); }, std::chrono::seconds(3)));
    return body;
  };
  STRCMP_CONTAINS("\"a\":\"leaving\"", status(settings.peer_address).c_str());
  STRCMP_CONTAINS("\"b\":\"paused\"", status(settings.peer_address).c_str());
  CheckContains(Run({"gateway-status", "--daemon", settings.peer_address}), "  0/3 ");

  settings.host = "gateway-2";
  settings.seed_peers = {settings.peer_address};
  for (std::string* address : {&settings.caller_address, &settings.ready_address, &settings.directory_address,
                               &settings.peer_address, &settings.store_address}) {
    *address = TakeTestAddress();
  }
  Gateway follower(loop, settings, *codec);  // no store listens at its address, so it gets the entries from the seed
  follower.Start();
  CHECK(loop.RunUntil([&follower] { return follower.ready(); }, std::chrono::seconds(10)));
  const std::string follower_status = status(settings.peer_address);
  STRCMP_CONTAINS("\"a\":\"leaving\"", follower_status.c_str());
  CHECK(follower_status.find("\"b\":\"paused\"") == follower_status.npos);
}

// Guards against a pace that operators can't see, or that stays after the settings switched it off.
TEST(GatewayInspection, StatusShowsPacesUntilTheyAreSwitchedOff) {
  gateway.reset();
  settings.pace.enabled = true;
  gateway = std::make_unique<Gateway>(loop, settings, *codec);
  gateway->Start();
  CHECK(loop.RunUntil([&] { return gateway->ready(); }, std::chrono::seconds(10)));
  const auto status = [&] {
    std::string body;
    client.Call({.target = settings.peer_address, .path = "/status", .timeout = std::chrono::seconds(2)},
                [&body](const HttpResult& result) { body = result.body; });
    CHECK(loop.RunUntil([&body] { return !body.empty(); }, std::chrono::seconds(3)));
    return body;
  };
  STRCMP_CONTAINS(R"("a":{"began":"start","age_ms":)", status().c_str());
  STRCMP_CONTAINS(R"("last_change":"began")", status().c_str());
  settings.pace.enabled = false;
  gateway->ApplySettings(settings);
  loop.RunUntil([] { return false; }, milliseconds(60));
  STRCMP_CONTAINS(R"("paced_searchers":{})", status().c_str());
}

// Guards against one object whose name is invalid UTF-8 stopping the relay of all objects between daemons.
TEST(GatewayInspection, RelayPassesNamesOfInvalidUtf8) {
  Serve("servers", Searcher("bad\xff", "good", good.address()));
  gateway.reset();
  gateway = std::make_unique<Gateway>(loop, settings, *codec);
  gateway->Start();
  settings.host = "gateway-2";
  settings.seed_peers = {settings.peer_address};
  for (std::string* address : {&settings.caller_address, &settings.ready_address, &settings.directory_address,
                               &settings.peer_address, &settings.store_address}) {
    *address = TakeTestAddress();
  }
  Gateway follower(loop, settings, *codec);  // no store listens at its address, so it gets the objects from the seed
  follower.Start();
  CHECK(loop.RunUntil([&follower] { return follower.ready(); }, std::chrono::seconds(10)));
}

// Guards against a changed log level that is accepted but has no effect.
TEST(GatewayInspection, ChangedLogLevelTakesEffect) {
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
  const log4cxx::LevelPtr before = logger->getLevel();
  settings.log_level = "error";
  gateway->ApplySettings(settings);
  const bool applied = logger->getLevel()->equals(log4cxx::Level::getError());
  logger->setLevel(before);
  CHECK(applied);
}

// Guards against the cost of recording every refusal under overload, and against successful requests that are never
// sampled.
TEST_GROUP(RequestTracer){};
TEST(RequestTracer, RecordsASampleWithinItsRate) {
  Metrics metrics;
  RequestTracer tracer(metrics, "h", {.sample_every = 4, .traces_per_s = 1, .burst = 3});
  const CallerExchange caller(nullptr, {.request_id = "r"}, TimePoint(std::chrono::seconds(1)), false);
  const auto end = [&](bool success, milliseconds after) {
    tracer.OnRequestEnd(caller, {}, {.ok = success, .objective = milliseconds(100)}, caller.received_at + after);
    return metrics.counter("pimentomoor_trace_recorded_total");
  };
  LONGS_EQUAL(0, end(true, milliseconds(100)) + end(true, milliseconds(100)) + end(true, milliseconds(100)));
  LONGS_EQUAL(1, end(true, milliseconds(100)));
  LONGS_EQUAL(2, end(true, milliseconds(101)));
  LONGS_EQUAL(3, end(false, milliseconds(101)));
  LONGS_EQUAL(3, end(false, milliseconds(102)));
  LONGS_EQUAL(1, metrics.counter("pimentomoor_trace_skipped_total"));
  LONGS_EQUAL(4, end(false, milliseconds(1'200)));
}

// Guards against reporting only one of several wrong keys, and against changed error texts.
TEST_GROUP(GatewaySettingsFindings){};
TEST(GatewaySettingsFindings, AllFindingsAreReportedAtOnce) {
  const std::string good =
      "failure_domain: z\ncaller_address: 127.0.0.1:1\nready_address: 127.0.0.1:2\n"
      "directory_address: 127.0.0.1:3\nstore_address: 127.0.0.1:5\n";
  const auto error_of = [&](const std::string& text) -> std::string {
    try {
      ParseGatewaySettings(good + text, "g.yaml");
    } catch (const ConfigError& error) {
      return error.findings();
    }
    return "";
  };
  STRCMP_EQUAL("", error_of("host: h\npeer_address: 127.0.0.1:4\n").c_str());
  STRCMP_EQUAL("g.yaml:1: key 'host': missing", error_of("peer_address: 127.0.0.1:4\n").c_str());
  STRCMP_EQUAL(
      "g.yaml:1: key 'host': missing\n"
      "g.yaml:6: key 'peer_address': 'x' is not an IP number and a port\n"
      "g.yaml:7: key 'entry_ttl_s': '0' is not a whole number from 1 to 60\n"
      "g.yaml:8: key 'retry.ratio': '-1' is not a number from 0.000000 to 10.000000\n"
      "g.yaml:8: key 'retry.rate': unknown key with value '1'\n"
      "g.yaml:9: key 'hots': unknown key with value 'h'",
      error_of("peer_address: x\nentry_ttl_s: 0\nretry: {ratio: -1, rate: 1}\nhots: h\n").c_str());
}

}  // namespace pimentomoor
