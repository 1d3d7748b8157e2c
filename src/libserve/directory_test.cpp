// Tests of the directory: which cell serves a service, and which entries a caller gets.
#include "pimentomoor/directory.h"

#include <algorithm>

#include "pimentomoor/config_state.h"
#include "pimentomoor/rendezvous.h"
#include "property.h"

// CppUTest comes last, because its macros redefine operator new.
// clang-format off
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

std::string ApplyIndexText(const std::string& text) {
  return ConfigState().Apply({.key = std::string(kCatalogIndexKey), .version = 1, .value = text});
}

}  // namespace

TEST_GROUP(Directory){};

// Guards against an entry in outage, an entry of another failure domain before one of the caller's, and a choice that
// depends on the order of the members: callers would move to other entries whenever a view is written.
TEST(Directory, ChoosesByDomainThenWeightWithoutOutages) {
  CHECK(CheckProperty(500, "entries", [] {
    std::vector<proto::Daemon> members(*rc::gen::inRange<std::size_t>(0, 9));
    Outages outages;
    for (std::size_t i = 0; i < members.size(); ++i) {
      members[i].set_host("h" + std::to_string(i));
      members[i].set_http_address("127.0.0.1:" + std::to_string(1'000 + i));
      members[i].set_failure_domain(std::string(1, *rc::gen::inRange('a', 'd')));
      if (*rc::gen::inRange(0, 4) == 0) {
        outages.hosts.push_back(*rc::gen::arbitrary<bool>() ? members[i].host() : members[i].http_address());
      }
    }
    std::sort(outages.hosts.begin(), outages.hosts.end());  // ordered like the result of ParseOutages()
    if (*rc::gen::arbitrary<bool>()) {
      outages.failure_domains.emplace_back("c");
    }
    const std::string caller = *rc::gen::elementOf(std::vector<std::string>{"", "front 7", "front 8"});
    const auto chosen = ChooseEntries(members, outages, {.name = caller, .failure_domain = "a"}, 2);
    // Reference implementation: takes the best remaining member twice.
    std::vector<std::string> expected;
    for (int round = 0; round < 2; ++round) {
      const proto::Daemon* best = nullptr;
      for (const proto::Daemon& member : members) {
        const bool out = std::count(outages.hosts.begin(), outages.hosts.end(), member.host()) > 0 ||
                         std::count(outages.hosts.begin(), outages.hosts.end(), member.http_address()) > 0 ||
                         (member.failure_domain() == "c" && !outages.failure_domains.empty());
        if (out || std::count(expected.begin(), expected.end(), member.host()) > 0) {
          continue;
        }
        const auto rank = [&](const proto::Daemon& daemon) {
          return std::pair(daemon.failure_domain() == "a", RendezvousWeight("caller/" + caller, daemon.host()));
        };
        best = best == nullptr || rank(member) > rank(*best) ? &member : best;
      }
      if (best != nullptr) {
        expected.push_back(best->host());
      }
    }
    std::vector<std::string> hosts;
    hosts.reserve(chosen.size());
    for (const proto::Daemon& daemon : chosen) {
      hosts.push_back(daemon.host());
    }
    RC_ASSERT(hosts == expected);
    std::reverse(members.begin(), members.end());
    const auto again = ChooseEntries(members, outages, {.name = caller, .failure_domain = "a"}, 2);
    RC_ASSERT(std::equal(again.begin(), again.end(), hosts.begin(), hosts.end(),
                         [](const proto::Daemon& daemon, const std::string& host) { return daemon.host() == host; }));
  }));
}

// Guards against a malformed index that is accepted and assigns a service to no cell or to two cells, and against a
// daemon that keeps the catalog of a service after the index has assigned the service to another cell.
TEST(Directory, IndexNamesOneCellForEachService) {
  STRCMP_EQUAL("", ApplyIndexText("services: [a, a, {service: b}, {service: c, cell: south}]\n").c_str());
  for (const char* wrong : {"services: [{cell: south}]\n", "services: [{service: a, cell: ..}]\n",
                            "services: [{service: a, cell: \"x/y\"}]\n", "services: [{service: a, zell: b}]\n",
                            "services: [a, {service: a, cell: south}]\n", "services: [{service: a, cell: }]\n"}) {
    CHECK_TEXT(!ApplyIndexText(wrong).empty(), wrong);
  }
  const PlatformObject catalog{
      .key = "catalog/a", .version = 1, .value = "service: a\nkind: search\nsnapshots: []\nupstreams: []\n"};
  const auto index = [](const char* cell) {
    return PlatformObject{.key = std::string(kCatalogIndexKey),
                          .version = 1,
                          .value = std::string("services: [{service: a, cell: ") + cell + "}]\n"};
  };
  ConfigState config("south");
  STRCMP_EQUAL("", config.Apply(index("south")).c_str());
  STRCMP_EQUAL("", config.Apply(catalog).c_str());
  LONGS_EQUAL(1, config.catalogs().size());
  STRCMP_EQUAL("", config.OtherCellOf("a").c_str());
  STRCMP_EQUAL("", config.Apply(index("main")).c_str());
  STRCMP_EQUAL("", config.Apply(catalog).c_str());
  LONGS_EQUAL(0, config.catalogs().size());
  STRCMP_EQUAL("main", config.OtherCellOf("a").c_str());
}

}  // namespace pimentomoor
