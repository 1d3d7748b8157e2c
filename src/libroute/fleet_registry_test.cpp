// Tests of the decisions about the registry of gateway daemons, and of registries that several registrars write.
#include "pimentomoor/fleet_registry.h"

#include <algorithm>
#include <random>

#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(24)};

proto::GatewayMember Member(const std::string& address, const std::string& domain, bool store_answers = true) {
  proto::GatewayMember member;
  member.set_peer_address(address);
  member.set_failure_domain(domain);
  member.set_store_answers(store_answers);
  return member;
}

RegistryEntry Entry(const std::string& address) { return {.name = address, .peer_address = address, .revision = 1}; }

}  // namespace

TEST_GROUP(FleetRegistry){};

// Guards against a cell without a registrar, or with one that can't read the store or whose contacts reach no relay.
TEST(FleetRegistry, OneRelayThatTheStoreAnswersIsTheRegistrar) {
  const auto self = Member("10.0.0.4:1", "b");
  CHECK(IsRegistrar(self, {}, 2));
  CHECK_FALSE(IsRegistrar(Member("10.0.0.4:1", "b", false), {}, 2));
  CHECK_FALSE(IsRegistrar(self, {Member("10.0.0.1:1", "a")}, 2));
  CHECK(IsRegistrar(self, {Member("10.0.0.1:1", "a", false), Member("10.0.0.5:1", "c")}, 2));
  // The third daemon of a domain is no relay.
  const std::vector<proto::GatewayMember> others = {Member("10.0.0.1:1", "a", false),
                                                    Member("10.0.0.2:1", "a", false), Member("10.0.0.3:1", "a")};
  CHECK(IsRegistrar(self, others, 2));
  const std::vector<proto::GatewayMember> own_domain = {Member("10.0.0.1:1", "b", false),
                                                        Member("10.0.0.2:1", "b", false)};
  CHECK_FALSE(IsRegistrar(self, own_domain, 2));
}

// Guards against a registrar that also watches the store for its failure domain, and against two registrars or none.
TEST(FleetRegistry, SecondRelayOfADomainIsTheRegistrar) {
  const std::vector<proto::GatewayMember> cell = {Member("10.0.0.1:1", "a"), Member("10.0.0.2:1", "b"),
                                                  Member("10.0.0.3:1", "b"), Member("10.0.0.4:1", "a"),
                                                  Member("10.0.0.5:1", "b")};
  const auto registrars = [](const std::vector<proto::GatewayMember>& members) {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < members.size(); ++i) {
      std::vector<proto::GatewayMember> peers = members;
      peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
      if (IsRegistrar(members[i], peers, 2)) {
        found.push_back(i);
      }
    }
    return found;
  };
  CHECK(registrars(cell) == std::vector<std::size_t>{2});
  auto turned_away = cell;
  turned_away[2].set_store_answers(false);
  CHECK(registrars(turned_away) == std::vector<std::size_t>{3});
  turned_away[3].set_store_answers(false);
  CHECK(registrars(turned_away) == std::vector<std::size_t>{0});
  turned_away[0].set_store_answers(false);
  CHECK(registrars(turned_away) == std::vector<std::size_t>{1});
}

// Guards against removing the entry of a cell that has just been found, and against keeping those of daemons that are
// gone.
TEST(FleetRegistry, EntriesOfFoundAndOfSilentDaemonsAreObsolete) {
  const FleetRegistryOptions options;
  FleetRegistryState state;
  ApplyRegistry(state, {Entry("10.0.0.1:1"), Entry("10.0.0.2:1"), Entry("10.0.0.3:1")}, "10.0.0.1:1");
  const std::vector<proto::GatewayMember> peers = {Member("10.0.0.2:1", "a")};
  UpdateSilentDaemons(state, {}, kStart);
  CHECK_TRUE(state.registered);
  CHECK_FALSE(IsWholeFleet(state));
  LONGS_EQUAL(2, RegistryContacts(state, options).size());
  POINTERS_EQUAL(nullptr, FindObsoleteEntry(state, options, kStart));
  UpdateSilentDaemons(state, peers, kStart + seconds(1));
  CHECK(RegistryContacts(state, options) == std::vector<std::string>{"10.0.0.3:1"});
  CHECK(*FindObsoleteEntry(state, options, kStart + seconds(1)) == Entry("10.0.0.2:1"));
  ApplyRegistry(state, {Entry("10.0.0.1:1"), Entry("10.0.0.3:1")}, "10.0.0.1:1");
  UpdateSilentDaemons(state, peers, kStart + seconds(2));
  POINTERS_EQUAL(nullptr, FindObsoleteEntry(state, options, kStart + options.silent_retention - seconds(1)));
  CHECK(*FindObsoleteEntry(state, options, kStart + options.silent_retention) == Entry("10.0.0.3:1"));
  ApplyRegistry(state, {Entry("10.0.0.1:1")}, "10.0.0.1:1");
  UpdateSilentDaemons(state, peers, kStart + options.silent_retention);
  CHECK(IsWholeFleet(state));
}

// Guards against two cells that both take themselves for the whole fleet, whatever the order of their calls.
TEST(FleetRegistry, OneOfTwoRegistrarsReadsTheEntryOfTheOther) {
  CHECK(CheckProperty(200, "cells that take themselves for the whole fleet", [] {
    const auto count = *rc::gen::inRange<std::size_t>(2, 6);
    std::mt19937 random(*rc::gen::inRange<std::uint32_t>(1, 1'000'000));
    struct Registrar {
      FleetRegistryState state;
      int calls = 0;
    };
    std::vector<Registrar> registrars(count);
    std::vector<RegistryEntry> registry;
    const auto address = [](std::size_t i) { return "10.0.0." + std::to_string(i + 1) + ":1"; };
    // Each writes its entry and reads the registry twice, in a drawn order.
    for (std::size_t done = 0; done < 3 * count;) {
      const std::size_t i = random() % count;
      if (registrars[i].calls == 3) {
        continue;
      }
      if (registrars[i].calls++ == 0) {
        registry.push_back(Entry(address(i)));
      } else {
        ApplyRegistry(registrars[i].state, registry, address(i));
        UpdateSilentDaemons(registrars[i].state, {}, kStart);
      }
      ++done;
      RC_ASSERT(std::ranges::count_if(registrars, [](const auto& each) { return IsWholeFleet(each.state); }) <= 1);
    }
    for (std::size_t i = 0; i < count; ++i) {
      ApplyRegistry(registrars[i].state, registry, address(i));
      UpdateSilentDaemons(registrars[i].state, {}, kStart);
      RC_ASSERT(!IsWholeFleet(registrars[i].state));
    }
  }));
}

}  // namespace pimentomoor
