// Tests of the object store client and the host list client against the platform's stand-in.
#include "pimentomoor/http_platform_client.h"

#include "pimentomoor/host_list_client.h"
#include "pimentomoor/strict_yaml.h"
#include "property.h"
#include "standin_platform.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kKey = "config/outages";
constexpr Duration kWait = seconds(5);

std::string HostsJson(const std::string& state) {
  return R"({"hosts":[{"address":"127.0.0.1:1","failure_domain":"a","state":")" + state + R"("}]})";
}

}  // namespace

TEST_GROUP(PlatformClient) {
  SystemClock clock;
  EventLoop loop{clock};
  HttpClient http{loop};
  StandinPlatform platform{loop, {.watch_limit = seconds(2)}};
  std::vector<std::uint64_t> seen_versions;  // reported by the watch

  HttpPlatformClientOptions Options() const {
    return {.endpoints = {platform.address()},
            .timeout = milliseconds(200),
            .min_retry_delay = milliseconds(10),
            .max_retry_delay = milliseconds(100),
            .total_timeout = milliseconds(600),
            .watch_timeout = milliseconds(500)};
  }

  PlatformReply Put(HttpPlatformClient & client, std::uint64_t expected, const std::string& value) {
    std::optional<PlatformReply> result;
    client.Put(kKey, expected, value, [&](const PlatformReply& reply) { result = reply; });
    CHECK(loop.RunUntil([&] { return result.has_value(); }, kWait));
    return result.value_or(PlatformReply{});
  }

  PlatformReply Get(HttpPlatformClient & client, const std::string& key) {
    std::optional<PlatformReply> result;
    client.Get(key, [&](const PlatformReply& reply) { result = reply; });
    CHECK(loop.RunUntil([&] { return result.has_value(); }, kWait));
    return result.value_or(PlatformReply{});
  }

  void Watch(HttpPlatformClient & client, std::uint64_t after) {
    client.Watch(kKey, after, [this](const PlatformReply& reply) { seen_versions.push_back(reply.object.version); });
  }

  bool WaitForVersion(std::uint64_t version) {
    return loop.RunUntil([&] { return !seen_versions.empty() && seen_versions.back() == version; }, kWait);
  }
};

// Guards against an update that overwrites a version which its writer has not read.
TEST(PlatformClient, UpdatesAreConditional) {
  HttpPlatformClient client(loop, http, Options());
  CHECK(Get(client, kKey).status == PlatformStatus::kNotFound);
  const PlatformReply created = Put(client, 0, "one");
  CHECK(created.status == PlatformStatus::kOk);
  platform.Write("other", "x");

  const PlatformReply second_create = Put(client, 0, "two");
  CHECK(second_create.status == PlatformStatus::kConflict);
  CHECK(second_create.object == (PlatformObject{kKey, created.object.version, "one"}));

  const PlatformReply updated = Put(client, created.object.version, "two");
  CHECK(updated.status == PlatformStatus::kOk);
  CHECK(updated.object.version > created.object.version + 1);  // versions grow across all keys
  CHECK(Put(client, created.object.version, "three").status == PlatformStatus::kConflict);
  CHECK(Get(client, kKey).object == (PlatformObject{kKey, updated.object.version, "two"}));
}

// Guards against an update whose lost answer is reported as a failure, and against a retry that conflicts with the
// update's own first write.
TEST(PlatformClient, LostAnswerIsUnknownAndNotRepeated) {
  HttpPlatformClient client(loop, http, Options());
  platform.SetFaults({.lose_answers = 1});
  CHECK(Put(client, 0, "one").status == PlatformStatus::kUnavailable);
  LONGS_EQUAL(1, platform.calls().put);
  STRCMP_EQUAL("one", Get(client, kKey).object.value.c_str());
}

// Guards against calls with values and keys that the platform doesn't accept.
TEST(PlatformClient, RefusesOversizedValuesAndWrongKeys) {
  HttpPlatformClient client(loop, http, Options());
  CHECK(Put(client, 0, std::string(kMaxObjectBytes + 1, 'x')).status == PlatformStatus::kInvalid);
  CHECK(Get(client, "../x").status == PlatformStatus::kInvalid);
  LONGS_EQUAL(0, platform.calls().put + platform.calls().get);
  CHECK(Put(client, 0, std::string(kMaxObjectBytes, 'x')).status == PlatformStatus::kOk);
  LONGS_EQUAL(kMaxObjectBytes, Get(client, kKey).object.value.size());
}

// Guards against a read that fails although another endpoint works, and against a read that never ends in an outage.
TEST(PlatformClient, ReadsMoveToAnotherEndpointAndTimeOut) {
  StandinPlatform down(loop, {});
  down.SetFaults({.outage = PlatformOutage::kRefuse});
  HttpPlatformClientOptions options = Options();
  options.endpoints.insert(options.endpoints.begin(), down.address());
  HttpPlatformClient client(loop, http, options);
  CHECK(Put(client, 0, "one").status == PlatformStatus::kOk);
  CHECK(Get(client, kKey).status == PlatformStatus::kOk);

  for (const auto outage : {PlatformOutage::kRefuse, PlatformOutage::kHang}) {
    platform.SetFaults({.outage = outage});
    CHECK(Get(client, kKey).status == PlatformStatus::kUnavailable);
  }
  CHECK(Put(client, 1, "two").status == PlatformStatus::kUnavailable);
}

// Guards against a watch that ends in an outage, misses a version written during it, or reports a version twice.
TEST(PlatformClient, WatchResumesAfterAnOutage) {
  HttpPlatformClient client(loop, http, Options());
  const std::uint64_t first = platform.Write(kKey, "one");
  Watch(client, 0);
  CHECK(WaitForVersion(first));
  std::uint64_t last = first;
  for (const auto outage : {PlatformOutage::kRefuse, PlatformOutage::kHang}) {
    platform.SetFaults({.outage = outage});
    last = platform.Write(kKey, "in the outage");
    loop.RunUntil([] { return false; }, milliseconds(300));
    LONGS_EQUAL(last - 1, seen_versions.back());
    platform.SetFaults({});
    CHECK(WaitForVersion(last));
  }
  LONGS_EQUAL(3, seen_versions.size());
  client.StopWatch(kKey);
  platform.Write(kKey, "after the stop");
  loop.RunUntil([] { return false; }, milliseconds(50));
  CHECK(seen_versions.back() == last);
}

// Guards against a configuration that reverts because the platform serves an old version to a watch, and against a
// client that floods the platform with calls after an old version.
TEST(PlatformClient, WatchDropsOldVersions) {
  HttpPlatformClient client(loop, http, Options());
  platform.Write(kKey, "one");
  const std::uint64_t second = platform.Write(kKey, "two");
  platform.SetFaults({.stale_watch = true});
  Watch(client, second);
  CHECK(loop.RunUntil([&] { return platform.calls().watch == 2; }, kWait));
  loop.RunUntil([] { return false; }, milliseconds(300));
  CHECK(seen_versions.empty());
  CHECK(platform.calls().watch <= 3);
  CHECK(WaitForVersion(platform.Write(kKey, "three")));
}

// Guards against a callback after its client was destroyed.
TEST(PlatformClient, DestructionEndsAllCalls) {
  platform.SetFaults({.delay = milliseconds(20)});
  {
    HttpPlatformClient client(loop, http, Options());
    client.Get(kKey, [](const PlatformReply&) { FAIL("called after destruction"); });
    client.Put(kKey, 0, "x", [](const PlatformReply&) { FAIL("called after destruction"); });
    Watch(client, 0);
  }
  loop.RunUntil([] { return false; }, milliseconds(100));
}

// Guards against retry delays that are below half of the full delay, exceed the maximum or overflow.
TEST(PlatformClient, BackoffStaysInItsBounds) {
  CHECK(CheckProperty(1'000, "backoff", [](unsigned attempt) {
    const double random = *rc::gen::inRange(0, 1'000) / 1'000.0;
    const Duration delay = BackoffDelay(attempt, milliseconds(100), seconds(5), random);
    RC_ASSERT(delay >= milliseconds(50) && delay <= seconds(5));
    RC_ASSERT(attempt < 6 || delay >= milliseconds(2'500));
  }));
}

// Guards against a host list that is lost in an outage, and against a client that misses a change or reports one
// twice.
TEST(PlatformClient, HostListIsKeptInAnOutageAndFollowsChanges) {
  int changes = 0;
  platform.SetHostList(HostsJson("live"));
  HostListClient client(loop, http,
                        {.endpoints = {platform.address()},
                         .poll_interval = milliseconds(20),
                         .timeout = milliseconds(100),
                         .max_retry_delay = milliseconds(100)},
                        [&](const HostList&) { ++changes; });
  CHECK(loop.RunUntil([&] { return changes == 1; }, kWait));
  platform.SetFaults({.host_list_lag = milliseconds(300)});
  const TimePoint changed_at = loop.Now();
  platform.SetHostList(HostsJson("leaving"));
  CHECK(loop.RunUntil([&] { return changes == 2; }, kWait));
  CHECK(loop.Now() - changed_at >= milliseconds(300));
  CHECK(FindHost(*client.last_list(), "127.0.0.1:1")->state == HostState::kLeaving);

  platform.SetFaults({.outage = PlatformOutage::kRefuse});
  CHECK(loop.RunUntil([&] { return !client.last_error().empty(); }, kWait));
  LONGS_EQUAL(1, client.last_list()->hosts.size());
  platform.SetFaults({});
  CHECK(loop.RunUntil([&] { return client.last_error().empty(); }, kWait));
  LONGS_EQUAL(2, changes);
}

// Guards against a crash on a malformed host list, and against an error that doesn't name the wrong line and key.
TEST(PlatformClient, HostListErrorsNameTheKey) {
  const auto error_of = [](const std::string& text) {
    try {
      ParseHostList(text, "list");
    } catch (const ConfigError& error) {
      return std::string(error.what());
    }
    return std::string("no error");
  };
  STRCMP_EQUAL("list:1: key 'hosts[0].state': 'gone' is neither 'live' nor 'leaving'",
               error_of(HostsJson("gone")).c_str());
  STRCMP_EQUAL("list:1: key 'hosts': missing", error_of("{}").c_str());
  STRCMP_EQUAL("no error", error_of(R"({"hosts": [], "region": "x"})").c_str());
  const std::string text = HostsJson("live");
  for (std::size_t size = 0; size < text.size(); ++size) {
    CHECK(error_of(text.substr(0, size)) != "no error");
  }
}

}  // namespace pimentomoor
