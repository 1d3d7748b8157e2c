// Tests of a whole daemon in the test process: hostile input at its listeners, host lists, and configuration objects.
#include "pimentomoor/daemon.h"

#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <zmq.hpp>

#include "hostile_bytes.h"
#include "peer.pb.h"
#include "standin_platform.h"
#include "standin_searcher.h"
#include "test_loop.h"
#if defined(__SANITIZE_ADDRESS__)
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();  // the compiler's header is not always installed
#endif

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTestTimeout = std::chrono::seconds(30);
constexpr std::uint64_t kSeed = 6;
constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
// Memory limit for the control data of a daemon. Hostile input must not make the allocated memory grow by more.
constexpr std::size_t kMaxMemoryGrowth = 64 * kMegabyte;
constexpr const char* kDeployment = R"(
deployment: test
failure_domains: [a]
services:
  - {name: orders, kind: execute, searchers: 2, shards: 2, median_ms: 2, sigma: 0, snapshots: [{version: 7}]}
)";

std::size_t AllocatedBytes() {
#if defined(__SANITIZE_ADDRESS__)
  return __sanitizer_get_current_allocated_bytes();
#else
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
#endif
}

std::string PostRequestText(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nhost: a\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Settings MakeSettings(const std::string& platform, const std::string& host = "entry-1") {
  Settings settings;
  settings.deployment = "test";
  settings.host = host;
  settings.failure_domain = "a";
  settings.http_address = "127.0.0.1:0";
  settings.peer_address = "127.0.0.1:0";
  settings.platform_endpoints = {platform};
  settings.token_key = "loopback-deployment-key";
  return settings;
}

}  // namespace

TEST_GROUP(Daemon) {
  ManualClock clock;
  EventLoop loop{clock};
  HttpClient client{loop};
  StandinPlatform platform{loop, {}};
  StandinSearchers searchers{loop, {.deployment = ParseDeployment(kDeployment)}};
  std::unique_ptr<Daemon> daemon;
  std::string last_body;

  void setup() override {
    platform.Write("test/config/plans", "plans:\n  - {customer: load, plan: full}\n");
    platform.Write("test/config/access",
                   "plans:\n  - {name: full, services: [\"*\"], queries_per_second: 20000, burst: 2000, "
                   "concurrency: 5000, max_deadline_ms: 2000}\n");
    platform.Write("test/config/outages", "failure_domains: []\nhosts: []\n");
    platform.Write("test/catalog/index", "services:\n  - orders\n");
  }

  void Start() {
    platform.Write("test/catalog/orders", CatalogYaml(searchers.deployment().services[0]));
    StartWithoutCatalog();
    CHECK_TRUE(RunUntil([this] { return AnswersCompletely(); }, kTestTimeout));
  }

  void StartWithoutCatalog() {
    daemon = std::make_unique<Daemon>(loop, MakeSettings(platform.address()));
    daemon->Start();
  }

  bool RunUntil(const std::function<bool()>& done, Duration limit) { return RunTurns(loop, clock, done, limit); }
  void RunLoopTurns(int count) {
    RunUntil([] { return false; }, milliseconds(count));
  }

  HttpResult Call(const std::string& method, const std::string& path, const std::string& body = "") {
    std::optional<HttpResult> answer;
    client.Call({.target = daemon->http_address(), .method = method, .path = path, .body = body},
                [&](HttpResult result) { answer = std::move(result); });
    CHECK_TRUE(RunUntil([&] { return answer.has_value(); }, kTestTimeout));
    last_body = answer->body;
    return *answer;
  }

  bool AnswersCompletely() {
    return Call("POST", "/v1/query", R"({"customer":"load","service":"orders","text":"bulls","deadline_ms":500})")
               .body.find(R"("outcome":"complete")") != std::string::npos;
  }

  // Opens a connection, sends `bytes` and returns the first bytes of the answer. They are empty when the daemon
  // closes the connection or waits for more bytes.
  std::string Send(const std::string& address, const std::string& bytes) {
    sockaddr_in target = Resolve(address);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CHECK_EQUAL(0, connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)));
    std::size_t sent = 0;
    int idle = 0;
    std::string answer;
    char buffer[256];
    while (idle < 3) {
      const ssize_t written =
          sent == bytes.size() ? 0 : send(fd, bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
      sent += written > 0 ? static_cast<std::size_t>(written) : 0;
      idle = written > 0 ? 0 : idle + 1;
      RunLoopTurns(1);
      const ssize_t got = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (got == 0) {
        break;
      }
      if (got > 0) {
        answer.append(buffer, static_cast<std::size_t>(got));
        break;
      }
    }
    close(fd);
    return answer;
  }

  static sockaddr_in Resolve(const std::string& address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1))));
    return result;
  }

  std::string PeerAddress() {
    CHECK_TRUE(Call("GET", "/status").ok());
    proto::View view;
    CHECK_TRUE(view.ParseFromString(platform.Read("test/view").second));
    return view.members(0).peer_address();
  }
};

// Guards against input at the HTTP listener that ends the daemon, keeps it from answering queries, or stays in
// memory.
TEST(Daemon, HostileHttpInputIsSurvived) {
  Start();
  HostileInputGenerator bytes(kSeed);
  const std::string token = Call("POST", "/v1/operations", R"({"customer":"load","service":"orders"})").body;
  const std::vector<std::string> valid = {
      PostRequestText("/v1/query", R"({"customer":"load","service":"orders","text":"bulls","deadline_ms":500})"),
      PostRequestText("/v1/operations", R"({"customer":"load","service":"orders"})"),
      PostRequestText("/v1/operations/" + token.substr(0, 100), "line 1"),
      "GET /v1/entries?customer=load&failure_domain=a HTTP/1.1\r\nhost: a\r\n\r\n",
      "GET /traces?slow=10 HTTP/1.1\r\nhost: a\r\n\r\n",
      "POST /v1/query HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"a\":\r\n0\r\n\r\n",
      "PUT /admin/config/plans?version=9 HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\n{{{{{{{{"};
  const std::size_t before = AllocatedBytes();
  for (int i = 0; i < 1'500; ++i) {
    Send(daemon->http_address(), bytes.NextMessage(valid[bytes.NextBelow(valid.size())]));
  }
  // JSON arrays that are nested too deeply for a recursive parser.
  const std::string nested(kMegabyte - 1, '[');
  for (const char* path : {"/v1/query", "/v1/operations", "/v1/operations/x"}) {
    CHECK_FALSE(Call("POST", path, nested).ok());
  }
  CHECK_FALSE(Call("PUT", "/admin/config/plans?version=9", nested).ok());
  for (int i = 0; i < 100; ++i) {
    LONGS_EQUAL(413, Call("POST", "/v1/query", std::string(kMegabyte + 1, ' ')).status);
    CHECK_FALSE(Call("POST", "/v1/query", bytes.RandomBytes(kMegabyte)).ok());
  }
  CHECK_TRUE(AnswersCompletely());
  CHECK(AllocatedBytes() < before + kMaxMemoryGrowth);
}

// Guards against a refusal with the outcome "failed" instead of "not_run", when its reason would quote invalid UTF-8
// from the request.
TEST(Daemon, RefusalOfInvalidUtf8SaysNotRun) {
  Start();
  for (const char* body : {"\xff\xfe", "{\"customer\":\"\xff\"}", "{\"\xc3\":1}"}) {
    const HttpResult query = Call("POST", "/v1/query", body);
    LONGS_EQUAL(400, query.status);
    CHECK(query.body.find(R"("outcome":"not_run")") != std::string::npos);
    CHECK(query.body.find('\xff') == std::string::npos);
    LONGS_EQUAL(400, Call("POST", "/v1/operations", body).status);
  }
}

// Guards against a daemon that accepts a request head above the documented limit of 16 KB.
TEST(Daemon, OversizedRequestHeadIsRefused) {
  Start();
  const std::string head = "GET /status HTTP/1.1\r\nhost: a\r\n";
  CHECK_TRUE(Send(daemon->http_address(), head + "x-a: " + std::string(15'000, 'x') + "\r\n\r\n").find(" 200 ") !=
             std::string::npos);
  CHECK_TRUE(Send(daemon->http_address(), head + "x-a: " + std::string(17'000, 'x') + "\r\n\r\n").find(" 200 ") ==
             std::string::npos);
  CHECK_TRUE(Send(daemon->http_address(), head + "x-a: " + std::string(2 * kMegabyte, 'x')).find(" 200 ") ==
             std::string::npos);
  CHECK_TRUE(AnswersCompletely());
}

// Guards against input at the peer listener that ends the daemon, keeps it from answering queries, or stays in
// memory.
TEST(Daemon, HostilePeerInputIsSurvived) {
  Start();
  HostileInputGenerator bytes(kSeed);
  const std::string address = PeerAddress();
  const std::size_t before = AllocatedBytes();
  // Input below the framing: no ZeroMQ greeting, or a greeting and then a frame that announces 2^62 bytes.
  const std::string greeting =
      std::string("\xff\0\0\0\0\0\0\0\x01\x7f\x03\0NULL", 16) + std::string(48, '\0') + std::string("\x02\x40", 2);
  for (int i = 0; i < 200; ++i) {
    Send(address, bytes.NextMessage(greeting + std::string(64, '\0')));
  }
  // Messages of every kind with changed or missing bytes, from a sender that is not a member.
  std::vector<std::string> kinds;
  const auto* body = proto::Envelope::descriptor()->FindOneofByName("body");
  for (int i = 0; i < body->field_count(); ++i) {
    proto::Envelope message;
    message.mutable_from()->set_host("stranger");
    message.mutable_from()->set_peer_address("127.0.0.1:1");
    message.mutable_from()->set_incarnation(17);
    auto* part = message.GetReflection()->MutableMessage(&message, body->field(i));
    for (int j = 0; j < part->GetDescriptor()->field_count(); ++j) {
      const auto* field = part->GetDescriptor()->field(j);
      if (field->type() == google::protobuf::FieldDescriptor::TYPE_STRING && !field->is_repeated()) {
        part->GetReflection()->SetString(part, field, "orders");
      }
    }
    kinds.push_back(message.SerializeAsString());
  }
  zmq::context_t context{1};
  zmq::socket_t socket(context, zmq::socket_type::push);
  socket.set(zmq::sockopt::linger, 0);
  socket.connect("tcp://" + address);
  const auto send = [&](const std::string& payload, zmq::send_flags flags = zmq::send_flags::none) {
    CHECK_TRUE(
        RunUntil([&] { return socket.send(zmq::buffer(payload), flags | zmq::send_flags::dontwait).has_value(); },
                 kTestTimeout));
  };
  for (int i = 0; i < 3'000; ++i) {
    send(bytes.NextMessage(kinds[bytes.NextBelow(kinds.size())]));
  }
  send("first part", zmq::send_flags::sndmore);
  send("second part");
  for (int i = 0; i < 30; ++i) {
    send(std::string(4 * kMegabyte - 1, '\xff'));
    RunLoopTurns(1);
  }
  send(std::string(5 * kMegabyte, 'x'));  // above the size limit of a message: the daemon closes the connection
  RunLoopTurns(1'000);
  CHECK_TRUE(RunUntil([this] { return AnswersCompletely(); }, kTestTimeout));
  CHECK(AllocatedBytes() < before + kMaxMemoryGrowth);
}

// Guards against sockets that are kept for peers that no longer exist. ZeroMQ allows 1,023 sockets in a process, so a
// daemon that kept one for each address it ever had a message from could finally connect to no new peer.
TEST(Daemon, ManyPeerAddressesLeaveSocketsForNewPeers) {
  Start();
  zmq::context_t context{1};
  zmq::socket_t socket(context, zmq::socket_type::push);
  socket.set(zmq::sockopt::linger, 0);
  socket.connect("tcp://" + PeerAddress());
  PeerTransport peer(loop, {});
  bool answered = false;
  peer.OnMessage([&](const proto::Envelope&) { answered = true; });
  const auto write_as = [&](const std::string& sender) {
    proto::Envelope message;
    message.mutable_from()->set_peer_address(sender);
    message.mutable_from()->set_incarnation(17);
    message.mutable_sub_queries()->add_items()->set_upstream("127.0.0.1:1");
    const std::string payload = message.SerializeAsString();
    CHECK_TRUE(RunUntil([&] { return socket.send(zmq::buffer(payload), zmq::send_flags::dontwait).has_value(); },
                        kTestTimeout));
  };
  for (int i = 1; i <= 3'000; ++i) {
    write_as("127.0.0.1:" + std::to_string(i));
    RunLoopTurns(1);
  }
  // The last sender exists. It repeats its message until the daemon has connected back to it and answered.
  for (int i = 0; i < 100 && !answered; ++i) {
    write_as(peer.address());
    RunLoopTurns(20);
  }
  CHECK_TRUE(answered);
  CHECK_TRUE(AnswersCompletely());
}

// Guards against requests to a leaving upstream when the host list arrived before the catalog that names the
// upstream.
TEST(Daemon, HostListBeforeTheCatalogIsFollowed) {
  const auto& upstreams = searchers.deployment().services[0].upstreams;
  platform.SetHostList("{\"hosts\":[{\"address\":\"" + upstreams[0].address +
                       "\",\"failure_domain\":\"a\",\"state\":\"leaving\"}]}");
  StartWithoutCatalog();
  RunLoopTurns(3'000);
  platform.Write("test/catalog/orders", CatalogYaml(searchers.deployment().services[0]));
  CHECK_TRUE(RunUntil([this] { return AnswersCompletely(); }, kTestTimeout));
  LONGS_EQUAL(0, searchers.upstream(upstreams[0].address).counters().requests);
}

// Guards against a malformed version, from the platform or from a peer, that replaces the last valid version, is
// reported as in force, makes the daemon lose its lease, or keeps the next valid version from coming into force.
TEST(Daemon, MalformedVersionLeavesTheLastGoodOneInForce) {
  Start();
  PeerTransport peer(loop, {});
  const std::string address = PeerAddress();
  const auto status_has = [this](const std::string& text) {
    return Call("GET", "/status").body.find(text) != std::string::npos;
  };
  const auto version_of = [](const std::string& key, std::uint64_t version, const char* before) {
    return "\"" + key + "\":" + before + std::to_string(version);
  };
  const std::vector<std::string> keys = {"config/plans", "config/access", "config/outages", "catalog/orders"};
  for (const bool from_peer : {false, true}) {
    std::vector<std::pair<std::uint64_t, std::string>> good;
    std::uint64_t bad_version = 0;
    for (const std::string& key : keys) {
      good.push_back(platform.Read("test/" + key));
      CHECK_TRUE(RunUntil([&] { return status_has(version_of(key, good.back().first, "")); }, kTestTimeout));
      // A catalog that names another service than its key counts as malformed too.
      const std::string bad = key == "catalog/orders"
                                  ? "service: other" + good.back().second.substr(good.back().second.find('\n'))
                                  : "plans: [{";
      proto::Envelope message;
      message.mutable_from()->set_incarnation(17);
      auto* object = message.mutable_objects()->add_objects();
      object->set_key(key);
      object->set_version(bad_version = good.back().first + 10);
      object->set_value(bad);
      if (!from_peer) {
        bad_version = platform.Write("test/" + key, bad);
      } else {
        CHECK_TRUE(RunUntil([&] { return peer.Send(address, message); }, kTestTimeout));
      }
      CHECK_TRUE(RunUntil([&] { return status_has(version_of(key, bad_version, "{\"version\":")); }, kTestTimeout));
    }
    RunLoopTurns(3'000);  // longer than the lease duration
    for (std::size_t i = 0; i < keys.size(); ++i) {
      CHECK_TRUE(status_has(version_of(keys[i], good[i].first, "")));
    }
    CHECK_TRUE(status_has("\"lease\":true"));
    CHECK_TRUE(AnswersCompletely());
    for (std::size_t i = 0; i < keys.size(); ++i) {
      while (platform.Write("test/" + keys[i], good[i].second) <= bad_version) {
      }
    }
    CHECK_TRUE(RunUntil([&] { return status_has("\"refused\":{}"); }, kTestTimeout));
  }
  CHECK_TRUE(Call("GET", "/metrics").body.find("pimentomoor_config_refused_total 8") != std::string::npos);
}

// Guards against a daemon that ends when the platform holds a catalog under another service's key.
TEST(Daemon, CatalogUnderTheKeyOfAnotherServiceIsRefused) {
  Start();
  platform.Write("test/catalog/unknown", platform.Read("test/catalog/orders").second);
  platform.Write("test/catalog/index", "services:\n  - orders\n  - unknown\n");
  CHECK_TRUE(RunUntil(
      [&] { return Call("GET", "/status").body.find("\"refused\":{\"catalog/unknown\"") != std::string::npos; },
      kTestTimeout));
  CHECK_TRUE(AnswersCompletely());
}

// Guards against two operations that an upstream takes for the same one. Each home numbers its tokens from 1, so the
// number alone is the same for tokens of several homes, and an upstream that has run the first would not run the
// second.
TEST(Daemon, OperationsOfTwoHomesHaveDifferentTokens) {
  Start();
  Daemon other(loop, MakeSettings(platform.address(), "entry-2"));
  other.Start();
  const auto run = [this](const std::string& entry, const std::string& line) {
    std::optional<HttpResult> answer;
    const auto call = [&](const std::string& path, const std::string& body) {
      answer.reset();
      client.Call({.target = entry, .method = "POST", .path = path, .body = body},
                  [&](HttpResult result) { answer = std::move(result); });
      CHECK_TRUE(RunUntil([&] { return answer.has_value(); }, kTestTimeout));
      return answer->body;
    };
    const std::string issued = call("/v1/operations", R"({"customer":"load","service":"orders"})");
    constexpr std::string_view kKey = "\"token\":\"";
    const std::size_t begin = issued.find(kKey);
    if (begin == std::string::npos) {
      return false;
    }
    const std::string token =
        issued.substr(begin + kKey.size(), issued.find('"', begin + kKey.size()) - begin - kKey.size());
    return call("/v1/operations/" + token, line).find(R"("outcome":"ran")") != std::string::npos;
  };
  CHECK_TRUE(RunUntil([&] { return run(daemon->http_address(), "line 1"); }, kTestTimeout));
  CHECK_TRUE(RunUntil([&] { return run(other.http_address(), "line 2"); }, kTestTimeout));
  LONGS_EQUAL(0, searchers.RepeatedTokens().size());
}

}  // namespace pimentomoor
