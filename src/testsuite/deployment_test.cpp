// Tests of deployment descriptions, catalog objects and reference rows.
#include "deployment.h"

#include <yaml-cpp/yaml.h>

#include <stdexcept>

#include "pimentomoor/config_lists.h"
#include "reference.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {
namespace {

std::string ParseError(const std::string& yaml) {
  try {
    ParseDeployment(yaml);
  } catch (const std::runtime_error& error) {
    return error.what();
  }
  return "";
}

}  // namespace

TEST_GROUP(Deployment){};

// Guards against an outage of one failure domain that takes out all replicas of a shard.
TEST(Deployment, NeighboursAreInDifferentDomains) {
  for (std::size_t domains = 3; domains <= 5; ++domains) {
    for (std::size_t count = 2; count <= 40; ++count) {
      for (std::size_t i = 0; i < count; ++i) {
        CHECK(FailureDomainIndex(i, count, domains, 1) != FailureDomainIndex((i + 1) % count, count, domains, 1));
      }
    }
  }
}

// Guards against a catalog object that lists other upstreams than those that hold the shard.
TEST(Deployment, CatalogListsReplicasOfEachShard) {
  const auto deployment = ParseDeployment(
      "{deployment: d, failure_domains: [a, b, c], first_port: 9001, services: [{name: s, kind: execute, "
      "searchers: 4, shards: 5, slots: 6, connect_ms: 1.5, snapshots: [{version: 7}, {version: 8, published: "
      "false}]}]}");
  const auto& service = deployment.services[0];
  const YAML::Node catalog = YAML::Load(CatalogYaml(service));
  STRCMP_EQUAL("execute", catalog["kind"].as<std::string>().c_str());
  LONGS_EQUAL(1, catalog["snapshots"].size());
  for (const auto& shard : catalog["snapshots"][0]["shards"]) {
    LONGS_EQUAL(2, shard["replicas"].size());
    for (const auto& replica : shard["replicas"]) {
      const std::size_t position = std::stoul(replica.as<std::string>().substr(10)) - 9001;
      CHECK(service.ShardsAtPosition(service.snapshots[0], position).contains(shard["shard"].as<std::uint32_t>()));
    }
  }
  STRCMP_EQUAL("127.0.0.1:9004", catalog["upstreams"][3]["address"].as<std::string>().c_str());
  LONGS_EQUAL(2, catalog["upstreams"][3]["connect_ms"].as<int>());
}

// Guards against catalog objects that the parser of the daemons refuses.
TEST(Deployment, DaemonsAcceptTheCatalog) {
  const auto deployment = ParseDeployment(
      "{deployment: d, failure_domains: [a, b, c], first_port: 9001, services: [{name: s, searchers: 9, shards: 9, "
      "connections: 100, connect_ms: 0.5, snapshots: [{version: 7}, {version: 8, shards: 4}]}]}");
  const Catalog catalog = ParseCatalog(CatalogYaml(deployment.services[0]), "catalog/s");
  CHECK(catalog.kind == ServiceKind::kSearch);
  LONGS_EQUAL(9, catalog.upstreams.size());
  LONGS_EQUAL(9, catalog.snapshots[0].shards.size());
  LONGS_EQUAL(4, catalog.snapshots[1].shards.size());
}

// Guards against a misspelt key that is silently ignored, so that its default applies.
TEST(Deployment, RefusesUnknownKeysAndBadValues) {
  CHECK(ParseError("{deployment: d, failure_domains: [a],\nservices: [{name: s, searchers: 1, slotz: 2}]}")
            .find("line 2: unknown key 'slotz'") != std::string::npos);
  CHECK(
      ParseError("{deployment: d, failure_domains: [a], services: [{name: s, searchers: many}]}").find("searchers") !=
      std::string::npos);
  CHECK(!ParseError("{deployment: d, failure_domains: [], services: []}").empty());
  CHECK(!ParseError("[").empty());
}

// Guards against equal row ids in different snapshots, shards or services, which would hide rows from a wrong source.
TEST(Deployment, ReferenceRowsDifferBySource) {
  std::set<std::string> ids;
  std::size_t rows = 0;
  for (const std::string service : {"a", "b"}) {
    for (const std::uint64_t snapshot : {1, 2}) {
      for (const std::uint32_t shard : {0, 1}) {
        for (const std::string text : {"x", "y", "z"}) {
          for (const auto& row : ReferenceRows(service, snapshot, shard, text, 0)) {
            ids.insert(row.id());
            ++rows;
          }
        }
      }
    }
  }
  CHECK(rows > 24);
  LONGS_EQUAL(rows, ids.size());
}

}  // namespace pimentomoor
