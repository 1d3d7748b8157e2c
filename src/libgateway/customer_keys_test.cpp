// Tests of the keys of customers with a whole gateway daemon on loopback, and stand-ins for its store and an
// upstream.
#include "gateway_store.h"
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

constexpr const char* kCustomers = R"([{"name":"alpha","api-keys":["first-key","second-key"]}])";
// The upstream's reader keeps all fields but this one in RequestMessage::forward_fields.
const FieldNames kUpstreamFieldNames{.request_id = platform_names::kRequestIdField};

// The upstream takes one request at a time, so that others wait for it.
std::string MakeTable(unsigned version, const std::string& customers, bool is_public = false) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","host":"h","prefix":"/","type":"unsafe","timeout-ms":5000,"backend":"s","public":)" +
         (is_public ? "true" : "false") + R"(}],"services":[{"name":"s","health-path":"/","max-conns":1}])" +
         (customers.empty() ? "" : R"(,"tenants":)" + customers) + "}";
}

std::string MakeRequest(const std::string& fields, const std::string& end = "\r\n") {
  return std::string("POST /q HTTP/1.1\r\nHost: h\r\n") + platform_names::kRequestIdField + ": " + kCallerRequestId +
         "\r\n" + fields + end;
}

}  // namespace

TEST_GROUP(CustomerKeys) {
  SystemClock clock;
  EventLoop loop{clock};
  Metrics metrics;
  std::unique_ptr<PlatformCodec> codec = MakePlatformCodec();
  const std::string store_address = TakeTestAddress();
  GatewayStore store{loop, metrics, codec->field_names(), store_address};
  std::vector<std::shared_ptr<CallerExchange>> arrivals;
  bool holds_answers = false;
  CallerServer upstream{loop, metrics, kUpstreamFieldNames, {.address = "127.0.0.1:0"}, [this](const auto& exchange) {
                          arrivals.push_back(exchange);
                          if (!holds_answers) {
                            Answer(*exchange);
                          }
                        }};
  GatewaySettings settings{.host = "gateway-1",
                           .failure_domain = "z",
                           .caller_address = TakeTestAddress(),
                           .ready_address = TakeTestAddress(),
                           .directory_address = TakeTestAddress(),
                           .peer_address = TakeTestAddress(),
                           .store_address = store_address,
                           .usage_caps = {.window = seconds(5), .excess = 0.1, .slack = 20}};
  std::unique_ptr<Gateway> gateway;
  std::list<Caller> callers;

  void setup() override {
    store.ChangeObject(std::string(platform_names::kUpstreamKind), "i-1",
                       FormatUpstreamEntry({.id = "i-1",
                                            .service = "s",
                                            .address = upstream.address(),
                                            .failure_domain = "z",
                                            .slots = 9,
                                            .sequence = 1}));
    gateway = std::make_unique<Gateway>(loop, settings, *codec);
    gateway->Start();
  }

  static void Answer(CallerExchange & exchange) {
    exchange.Respond({.fields = std::string(platform_names::kRequestIdField) + ": " + exchange.request.request_id +
                                "\r\n" + platform_names::kStampField + ": s\r\n"});
  }

  /// Publishes a table and waits until it is in force.
  void Publish(unsigned version, const std::string& customers, bool is_public = false) {
    store.ChangeObject(std::string(platform_names::kRoutingKind), std::string(platform_names::kRoutingObjectName),
                       MakeTable(version, customers, is_public));
    const std::string in_force = "\"routing_version\":" + std::to_string(version) + ",";
    const TimePoint limit = loop.Now() + seconds(5);
    while (!gateway->ready() || Fetch("/status").find(in_force) == std::string::npos) {
      CHECK(loop.Now() < limit);
      loop.RunUntil([] { return false; }, milliseconds(10));
    }
  }

  Caller& Call(const std::string& request) { return callers.emplace_back(loop, settings.caller_address, request); }

  /// Returns the status of the answer.
  int Send(const std::string& request) {
    Caller& caller = Call(request);
    CHECK(loop.RunUntil([&] { return caller.answered(); }, seconds(3)));
    return caller.status();
  }

  /// Returns the body of a page of the peer listener.
  std::string Fetch(const std::string& path) {
    PersistentHttpClient client(loop, codec->field_names(), settings.peer_address);
    std::optional<std::string> body;
    client.Get(path, seconds(1), [&](const auto& response) { body = response ? response->body : ""; });
    CHECK(loop.RunUntil([&] { return body.has_value(); }, seconds(2)));
    return *body;
  }
};

// Guards against a key that reaches an upstream, and against an upstream that takes the request for another
// customer's.
TEST(CustomerKeys, UpstreamGetsTheNameOfTheCustomerAndNoKey) {
  Publish(1, kCustomers);
  const std::string received = "Host: h\r\nx-tenant: alpha\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  for (const std::string& request :
       {MakeRequest("Api-Key: first-key\r\n"), MakeRequest("api-key:second-key\r\nX-Tenant: beta\r\n"),
        MakeRequest("X-TENANT: beta\r\nAPI-KEY: first-key\r\nx-tenant: gamma\r\nApi-Key: first-key\r\n"),
        MakeRequest("Connection: api-key, x-tenant\r\nApi-Key: first-key\r\nX-Tenant: beta\r\n"),
        MakeRequest("Api-Key: first-key\r\n" + chunked, "\r\n0\r\nApi-Key: second-key\r\nX-Tenant: beta\r\n\r\n")}) {
    arrivals.clear();
    CHECK_EQUAL_TEXT(200, Send(request), request.c_str());
    CHECK_EQUAL_TEXT(1U, arrivals.size(), request.c_str());
    const std::string& fields = arrivals.front()->request.forward_fields;
    CHECK_TEXT(fields.starts_with(received), fields.c_str());
    CHECK_TEXT(fields.find("key") == std::string::npos && fields.find("beta") == std::string::npos, fields.c_str());
  }
  Publish(2, kCustomers, true);
  for (const auto& [key, customer] : {std::pair("first-key", "x-tenant: alpha\r\n"), std::pair("wrong-key", "")}) {
    arrivals.clear();
    CHECK_EQUAL(200, Send(MakeRequest(std::string("X-Tenant: beta\r\nApi-Key: ") + key + "\r\n")));
    const std::string& fields = arrivals.front()->request.forward_fields;
    CHECK_TEXT(fields.starts_with(std::string("Host: h\r\n") + customer), fields.c_str());
    CHECK_TEXT(fields.find("key") == std::string::npos && fields.find("beta") == std::string::npos, fields.c_str());
  }
}

// Guards against requests without a valid key that reach an upstream, against keys in what operators read, and
// against a daemon without a table that says that it knows no key.
TEST(CustomerKeys, RequestsWithoutAValidKeyAreRefused) {
  CHECK_EQUAL(503, Send(MakeRequest("Api-Key: first-key\r\n")));
  Publish(1, kCustomers);
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  for (const std::string& request :
       {MakeRequest(""), MakeRequest("Api-Key:\r\n"), MakeRequest("X-Tenant: alpha\r\n"),
        MakeRequest("Authorization: first-key\r\n"), MakeRequest("Api-Key: wrong-key\r\n"),
        MakeRequest("Api-Key: First-key\r\n"), MakeRequest("Api-Key: first-ke\r\n"),
        MakeRequest("Api-Key: first-key, second-key\r\n"),
        MakeRequest("Api-Key: " + std::string(8'192, 'k') + "\r\n"),
        MakeRequest("Api-Key: first-key\r\nApi-Key: second-key\r\n"),
        MakeRequest(chunked, "\r\n0\r\nApi-Key: first-key\r\n\r\n")}) {
    CHECK_EQUAL_TEXT(401, Send(request), request.c_str());
  }
  CHECK(arrivals.empty());
  const auto refused = [this](const std::string& reason) {
    return gateway->metrics().counter("pimentomoor_run_refused_total", "reason=\"" + reason + "\"");
  };
  CHECK_EQUAL(5U, refused("no key"));
  CHECK_EQUAL(5U, refused("unknown key"));
  CHECK_EQUAL(1U, refused("conflicting keys"));
  STRCMP_CONTAINS("unauthorized", Fetch("/traces?slow=20").c_str());
  for (const char* page : {"/metrics", "/status", "/traces?slow=20"}) {
    const std::string body = Fetch(page);
    for (const char* key : {"first-ke", "second-key", "wrong-key", "kkkk"}) {
      CHECK_TEXT(body.find(key) == std::string::npos, (std::string(page) + " shows " + key).c_str());
    }
  }
}

// Guards against a withdrawn key that goes on, also after an older table, and against a request that is lost because
// its key is withdrawn while it waits: it was admitted under the table with which it started.
TEST(CustomerKeys, WithdrawnKeyIsRefusedWhileWaitingRequestsRun) {
  Publish(2, kCustomers);
  holds_answers = true;
  std::vector<Caller*> waiting(3);
  for (Caller*& caller : waiting) {
    caller = &Call(MakeRequest("Api-Key: first-key\r\n"));
  }
  CHECK(loop.RunUntil([&] { return arrivals.size() == 1; }, seconds(1)));
  Publish(3, R"([{"name":"beta","api-keys":["second-key"]}])");
  CHECK_EQUAL(401, Send(MakeRequest("Api-Key: first-key\r\n")));
  CHECK_EQUAL(1U, arrivals.size());
  holds_answers = false;
  Answer(*arrivals.front());
  for (Caller* caller : waiting) {
    CHECK(loop.RunUntil([&] { return caller->answered(); }, seconds(3)));
    CHECK_EQUAL(200, caller->status());
  }
  CHECK_EQUAL(200, Send(MakeRequest("Api-Key: second-key\r\n")));
  CHECK_EQUAL(4U, arrivals.size());
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    STRCMP_CONTAINS(i < 3 ? "x-tenant: alpha\r\n" : "x-tenant: beta\r\n",
                    arrivals[i]->request.forward_fields.c_str());
  }
  store.ChangeObject(std::string(platform_names::kRoutingKind), std::string(platform_names::kRoutingObjectName),
                     MakeTable(2, kCustomers));
  for (int i = 0; i < 20; ++i) {
    CHECK_EQUAL(401, Send(MakeRequest("Api-Key: first-key\r\n")));
    loop.RunUntil([] { return false; }, milliseconds(30));
  }
}

// Guards against requests beyond a cap that reach an upstream, and against a refusal without a time to come back.
TEST(CustomerKeys, RequestsOverTheCapAreRefusedBeforeTheyRun) {
  const auto table = [](const std::string& cap) {
    return R"([{"name":"alpha","api-keys":["first-key"])" + cap + "}]";
  };
  Publish(1, table(R"(,"rate-per-s":0.5,"burst":2)"));
  // A daemon that has just started grants nothing for a while.
  const auto send = [this] { return Send(MakeRequest("Api-Key: first-key\r\n")); };
  CHECK(loop.RunUntil([&] { return send() == 200; }, seconds(5)));
  arrivals.clear();
  std::size_t served = 0;
  for (int i = 0; i < 20; ++i) {
    const int status = send();
    CHECK(status == 200 || status == 429);
    served += status == 200 ? 1 : 0;
    if (status == 429) {
      CHECK(callers.back().Contains("\r\nRetry-After: "));
    }
  }
  CHECK(served <= 7 && served == arrivals.size());
  STRCMP_CONTAINS("\"alpha\":", Fetch("/status").c_str());
  Publish(2, table(""));
  for (int i = 0; i < 20; ++i) {
    CHECK_EQUAL(200, send());
  }
}

// Guards against a deployment without customers whose upstreams get other fields than before.
TEST(CustomerKeys, WithoutCustomersAllFieldsAreForwarded) {
  Publish(1, "");
  CHECK_EQUAL(200, Send(MakeRequest("A: 1\r\nApi-Key: first-key\r\nB: 2\r\nX-Tenant: beta\r\nAPI-key: k\r\n")));
  const std::string& fields = arrivals.front()->request.forward_fields;
  CHECK_TEXT(fields.starts_with("Host: h\r\nA: 1\r\nApi-Key: first-key\r\nB: 2\r\nX-Tenant: beta\r\nAPI-key: k\r\n"),
             fields.c_str());
  CHECK_TEXT(fields.find("x-tenant") == std::string::npos, fields.c_str());
}

}  // namespace pimentomoor
