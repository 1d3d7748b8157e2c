// Tests of the parsers of the operators' lists and of catalogs, and of the lookups in them.
#include "pimentomoor/config_lists.h"

#include <algorithm>
#include <cstdlib>
#include <functional>

#include "property.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

constexpr std::string_view kPlansText =
    "plans:\n  - {customer: hermanos, plan: gold}\n  - {customer: dno, plan: flag}\n";
constexpr std::string_view kAccessText =
    "plans: [{name: gold, services: [remates-*, contratos], queries_per_second: 200, burst: 50, concurrency: 40, "
    "max_deadline_ms: 1000}]\n";
constexpr std::string_view kOutagesText = "failure_domains: [a]\nhosts: [h1, \"127.0.0.1:7001\", 127.0.0.9]\n";
constexpr std::string_view kCatalogText =
    "service: remates-1\nkind: search\n"
    "snapshots: [{version: 7, shards: [{shard: 0, replicas: [\"127.0.0.1:9001\"]}]}]\n"
    "upstreams: [{address: \"127.0.0.1:9001\", failure_domain: a, slots: 3, connections: 30, connect_ms: 6}]\n";

const std::function<void(std::string_view)> kParsers[] = {
    [](std::string_view text) { ParseCustomerPlans(text, "fuzz"); },
    [](std::string_view text) { ParseAccessPlans(text, "fuzz"); },
    [](std::string_view text) { ParseOutages(text, "fuzz"); },
    [](std::string_view text) { ParseCatalog(text, "fuzz"); },
};
constexpr std::string_view kTexts[] = {kPlansText, kAccessText, kOutagesText, kCatalogText};

/// Runs all parsers. They may throw ConfigError; any other exception fails the test.
void ParseWithAll(std::string_view text) {
  for (const auto& parse : kParsers) {
    try {
      parse(text);
    } catch (const ConfigError&) {
    }
  }
}

std::string ErrorOf(std::size_t parser, std::string_view text) {
  try {
    kParsers[parser](text);
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "no error";
}

void CheckError(std::size_t parser, std::string_view text, std::string_view expected) {
  STRCMP_EQUAL(std::string(expected).c_str(), ErrorOf(parser, text).c_str());
}

}  // namespace

TEST_GROUP(ConfigLists){};

// Guards against a parser that reports only the first of several wrong lines, and against a report without a limit.
TEST(ConfigLists, AllFindingsOfAListAreReported) {
  const auto findings_of = [](std::string_view text) -> std::string {
    try {
      ParseCustomerPlans(text, "fuzz");
    } catch (const ConfigError& error) {
      return error.findings();
    }
    return "";
  };
  STRCMP_EQUAL(
      "fuzz:2: key 'plans[0].plan': 'p/q' has a character other than letters, digits, '.', '_' and '-'\n"
      "fuzz:3: key 'plans[1].plan': missing\n"
      "fuzz:3: key 'plans[1].paln': unknown key with value 'p'\n"
      "fuzz:5: key 'x': unknown key with value '1'",
      findings_of("plans:\n- {customer: a, plan: p/q}\n- {customer: b, paln: p}\n- {customer: c, plan: p}\nx: 1\n")
          .c_str());
  std::string text = "plans:\n";
  for (int i = 0; i < 1'000; ++i) {
    text += "- {}\n";
  }
  const std::string findings = findings_of(text);
  LONGS_EQUAL(100, std::count(findings.begin(), findings.end(), '\n'));
}

// Guards against a parser that returns other values than the text has.
TEST(ConfigLists, ParsesTheDocumentedFormats) {
  const CustomerPlans plans = ParseCustomerPlans(kPlansText, "p");
  STRCMP_EQUAL("gold", FindCustomerPlan(plans, "hermanos")->c_str());
  POINTERS_EQUAL(nullptr, FindCustomerPlan(plans, "nobody"));

  const AccessPlans access = ParseAccessPlans(kAccessText, "a");
  const AccessPlan* gold = FindAccessPlan(access, "gold");
  CHECK(gold != nullptr);
  CHECK(gold->queries_per_second == 200 && gold->burst == 50 && gold->concurrency == 40);
  LONGS_EQUAL(1000, gold->max_deadline_ms);
  CHECK(AllowsService(*gold, "remates-12") && AllowsService(*gold, "contratos"));
  CHECK_FALSE(AllowsService(*gold, "contratos-2") || AllowsService(*gold, "remates"));

  const Catalog catalog = ParseCatalog(kCatalogText, "c");
  CHECK(catalog.snapshots == std::vector<CatalogSnapshot>({{.version = 7, .shards = {{0, {"127.0.0.1:9001"}}}}}));
  LONGS_EQUAL(30, FindUpstream(catalog, "127.0.0.1:9001")->connections);
}

// Guards against a refusal with a wrong reason, and against a lookup that misses a customer's limits or finds some
// for a customer without a plan.
TEST(ConfigLists, DecidesWhatACustomerMayUse) {
  const CustomerPlans plans = ParseCustomerPlans(kPlansText, "p");
  const AccessPlans access = ParseAccessPlans(kAccessText, "a");
  const AccessPlans none;
  POINTERS_EQUAL(FindAccessPlan(access, "gold"), FindAllowedPlan(&plans, &access, "hermanos", "contratos").plan);
  POINTERS_EQUAL(FindAccessPlan(access, "gold"), FindCustomerAccessPlan(&plans, &access, "hermanos"));
  POINTERS_EQUAL(nullptr, FindCustomerAccessPlan(&plans, &access, "nobody"));
  POINTERS_EQUAL(nullptr, FindCustomerAccessPlan(&plans, nullptr, "hermanos"));
  POINTERS_EQUAL(nullptr, FindCustomerAccessPlan(nullptr, &access, "hermanos"));
  STRCMP_EQUAL("no configuration", FindAllowedPlan(nullptr, &access, "hermanos", "contratos").refusal.c_str());
  STRCMP_EQUAL("no configuration", FindAllowedPlan(&plans, nullptr, "hermanos", "contratos").refusal.c_str());
  STRCMP_EQUAL("customer 'nobody' has no plan", FindAllowedPlan(&plans, &access, "nobody", "x").refusal.c_str());
  for (const AccessPlans* lists : {&access, &none}) {
    STRCMP_EQUAL("plan 'gold' may not use service 'remates'",
                 FindAllowedPlan(&plans, lists, "hermanos", "remates").refusal.c_str());
  }
}

// Guards against an outage that doesn't cover a listed host or failure domain, and against one that covers others.
TEST(ConfigLists, FindsOutagesByDomainHostAndAddress) {
  const Outages outages = ParseOutages(kOutagesText, "o");
  CHECK(IsInOutage(outages, "any", "a") && IsInOutage(outages, "h1", "b"));
  CHECK(IsInOutage(outages, "127.0.0.1:7001", "b") && IsInOutage(outages, "127.0.0.9:1234", "b"));
  CHECK_FALSE(IsInOutage(outages, "127.0.0.1:7002", "b") || IsInOutage(outages, "h2", "") ||
              IsInOutage(outages, "", "b"));
}

// Guards against two accepted spellings of one upstream's address, which would give the upstream two owners, and
// against addresses that the network layer can't use.
TEST(ConfigLists, AddressesHaveOneSpelling) {
  CHECK(IsSocketAddress("127.0.0.1:1") && IsSocketAddress("10.255.0.9:65535"));
  for (const char* wrong : {"127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:080", "127.0.0.01:80", "1.2.3:80",
                            "127.0.0.1:65536", "127.0.0.1:+80", "127.0.0.1: 80", "[::1]:80", "localhost:80", ":80"}) {
    CHECK_FALSE(IsSocketAddress(wrong));
  }
  CHECK_FALSE(IsSocketAddress(std::string_view("127.0.0.1\0:80", 13)));
}

// Guards against errors from which an operator can't tell which line is wrong.
TEST(ConfigLists, ErrorsNameSourceLineKeyAndValue) {
  CheckError(0, "plans:\n- {customer: x, plan: g}\n- {customer: x, plan: h}\n",
             "fuzz:3: key 'plans[1]': 'x' is listed twice");
  CheckError(0, "plans: []\nplan: 3\n", "fuzz:2: key 'plan': unknown key with value '3'");
  CheckError(0, "plans: []\nplans: []\n", "fuzz:2: key 'plans': duplicate of the key in line 1");
  CheckError(1, "plans:\n- name: g\n  services: []\n  queries_per_second: -1\n",
             "fuzz:4: key 'plans[0].queries_per_second': '-1' is not a whole number from 1 to 10000000");
  CheckError(2, "failure_domains: [a]\n", "fuzz:1: key 'hosts': missing");
  CheckError(2, "failure_domains: [a]\nhosts: [\"1.2.3.4:99999\"]\n",
             "fuzz:2: key 'hosts[0]': '1.2.3.4:99999' is not a host name, an IP address or \"IP:port\"");
  CheckError(3, "service: s\nkind: serch\n", "fuzz:2: key 'kind': 'serch' is neither 'search' nor 'execute'");
  CheckError(3,
             "service: s\nkind: search\nupstreams: []\n"
             "snapshots:\n- version: 1\n  shards: [{shard: 0, replicas: [\"127.0.0.1:1\"]}]\n",
             "fuzz:6: key 'snapshots[0].shards[0].replicas[0]': '127.0.0.1:1' is not in 'upstreams'");
}

// Guards against aliases, which let a small text describe a huge tree, against deep nesting, and against texts over
// the platform's limit.
TEST(ConfigLists, RefusesAliasesDepthAndSize) {
  CheckError(0, "a: &x [1]\nplans: *x\n", "fuzz:1: key 'a': anchors are not allowed");
  CHECK(ErrorOf(0, std::string(5'000, '[')).starts_with("fuzz:1: "));
  CHECK(ErrorOf(0, "plans: !!set {}").find("tag") != std::string::npos);
  CHECK(ErrorOf(0, std::string(1024 * 1024 + 1, ' ')).find("1048577 bytes") != std::string::npos);
  std::string many = "plans:\n";
  for (int i = 0; i < 20'001; ++i) {
    many += "- 1\n";
  }
  CheckError(0, many, "fuzz:2: key 'plans': 20001 items, more than 20000");
}

// Guards against a crash, or an exception other than ConfigError, on random bytes, which a damaged object or answer
// may contain.
TEST(ConfigLists, SurvivesRandomBytes) {
  CHECK(CheckProperty(1'000, "random bytes", [](const std::string& text) { ParseWithAll(text); }));
  CHECK(CheckProperty(1'000, "random YAML tokens", [] {
    const auto tokens = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "plans", ": ", "- ", "[", "]", "{", "}", ",", "\n", "  ", "'", "\"", "&a", "*a", "!", "|", ">", "?", "#", "%",
        "---", "...", "\t", "1", "~", "<<", "\xff\xfe", std::string(1, '\0'), "\\x"));
    std::string text;
    for (const auto& token : tokens) {
      text += token;
    }
    ParseWithAll(text);
  }));
}

// Guards against a crash of the parsers on a truncated or damaged list.
TEST(ConfigLists, SurvivesTruncationAndDamage) {
  for (std::size_t i = 0; i < std::size(kTexts); ++i) {
    for (std::size_t size = 0; size < kTexts[i].size(); ++size) {
      ParseWithAll(kTexts[i].substr(0, size));
    }
  }
  CHECK(CheckProperty(1'000, "one byte replaced", [] {
    std::string text(kTexts[*rc::gen::inRange<std::size_t>(0, std::size(kTexts))]);
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    ParseWithAll(text);
  }));
}

// Guards against a stamp that is lost or duplicated, and against one that changes the list it is added to.
TEST(ConfigLists, StampIsReplacedAndReadBack) {
  const ChangeStamp first{.writer = "w1", .operator_name = "A \"quoted\" \\ name"};
  const ChangeStamp second{.writer = "w2", .operator_name = "b"};
  for (std::size_t i = 0; i < std::size(kTexts); ++i) {
    const std::string stamped = WithStamp(kTexts[i], first);
    CHECK(ParseStamp(stamped) == first);
    kParsers[i](stamped);
    STRCMP_EQUAL(WithStamp(kTexts[i], second).c_str(), WithStamp(stamped, second).c_str());
  }
  CHECK(ParseStamp("plans: [") == ChangeStamp{});
  Outages outages = ParseOutages(kOutagesText, "o");
  outages.stamp = first;
  CHECK(ParseOutages(RenderOutages(outages), "o") == outages);
}

}  // namespace pimentomoor
