// Tests of the publication of catalog objects.
#include "catalog_publisher.h"

#include <map>
#include <utility>

#include "test_loop.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {
namespace {

constexpr Duration kTestTimeout = std::chrono::seconds(5);

/// Serves the part of the platform's object API that the publisher uses: GET and conditional PUT.
class FakePlatform {
 public:
  explicit FakePlatform(EventLoop& loop) : server_(loop, {}) {
    server_.Handle("/objects/", [this](const HttpRequest& request, const HttpResponder& respond) {
      auto& [version, value] = objects_[request.path];
      if (failing_calls_ > 0) {
        --failing_calls_;
        respond({.status = 503});
        return;
      }
      const std::string etag = "\"" + std::to_string(version) + "\"";
      if (request.method == "GET") {
        respond({.status = version == 0 ? 404 : 200, .headers = {{"etag", etag}}, .body = value});
        return;
      }
      const bool condition_holds = version == 0 ? FindHeader(request.headers, "if-none-match") == "*"
                                                : FindHeader(request.headers, "if-match") == etag;
      if (condition_holds) {
        ++version;
        value = request.body;
      }
      respond({.status = condition_holds ? 200 : 412});
    });
  }

  [[nodiscard]] std::string address() const { return server_.address(); }
  [[nodiscard]] const std::map<std::string, std::pair<int, std::string>>& objects() const { return objects_; }
  void FailNextCalls(int calls) { failing_calls_ = calls; }

 private:
  std::map<std::string, std::pair<int, std::string>> objects_;  // version and value, by path
  int failing_calls_ = 0;
  HttpServer server_;
};

Deployment TwentyServices() {
  return ParseDeployment("{deployment: d, failure_domains: [a], services: [{name: s, count: 20, searchers: 2}]}");
}

}  // namespace

TEST_GROUP(CatalogPublisher) {
  ManualClock clock;
  EventLoop loop{clock};
  HttpClient client{loop};
  FakePlatform platform{loop};
  CatalogPublisher publisher{loop, client, platform.address(), "d"};

  void WaitUntilWritten() {
    CHECK(RunTurns(
        loop, clock, [this] { return publisher.pending_count() == 0; }, kTestTimeout));
  }
};

// Guards against services that stay without a catalog object when the first calls to the platform fail.
TEST(CatalogPublisher, CreatesAllObjectsDespiteFailures) {
  platform.FailNextCalls(15);
  const auto deployment = TwentyServices();
  for (const auto& service : deployment.services) {
    publisher.Publish(service);
  }
  WaitUntilWritten();
  LONGS_EQUAL(20, publisher.written_count());
  LONGS_EQUAL(20, platform.objects().size());
  CHECK(platform.objects().at("/objects/d/catalog/s-07").second == CatalogYaml(deployment.services[6]));
}

// Guards against an older catalog object that stays at the platform when a newer one is published during its write.
TEST(CatalogPublisher, LastPublishedObjectStays) {
  auto service = TwentyServices().services[0];
  publisher.Publish(service);
  WaitUntilWritten();
  for (std::uint64_t version = 2; version < 6; ++version) {
    service.snapshots.push_back({.version = version, .shard_count = 1});
    publisher.Publish(service);
    loop.RunOnce(std::chrono::milliseconds(1));
  }
  WaitUntilWritten();
  CHECK(platform.objects().at("/objects/d/catalog/s-01").second == CatalogYaml(service));
}

}  // namespace pimentomoor
