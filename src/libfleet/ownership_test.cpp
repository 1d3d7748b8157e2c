// Tests of rendezvous hashing and owner assignment.
#include "pimentomoor/ownership.h"

#include <algorithm>
#include <cstdlib>
#include <set>

#include "pimentomoor/rendezvous.h"
#include "property.h"

// Last, because its macros redefine new.
// clang-format off
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

proto::View MakeView(std::size_t members, std::size_t domains) {
  proto::View view;
  view.set_epoch(1);
  for (std::size_t i = 0; i < members; ++i) {
    proto::Daemon* member = view.add_members();
    member->set_host("host-" + std::to_string(i));
    member->set_failure_domain("zone-" + std::to_string(i % domains));
    member->set_incarnation(i + 1);
  }
  return view;
}

std::vector<UpstreamPlacement> MakePlacements(std::size_t groups, std::size_t replicas, std::size_t domains) {
  std::vector<UpstreamPlacement> placements;
  for (std::size_t group = 0; group < groups; ++group) {
    for (std::size_t replica = 0; replica < replicas; ++replica) {
      placements.push_back({.upstream = "10.0." + std::to_string(group) + "." + std::to_string(replica) + ":80",
                            .failure_domain = "zone-" + std::to_string((group + replica) % domains),
                            .group = "group-" + std::to_string(group),
                            .replica = static_cast<std::uint32_t>(replica)});
    }
  }
  return placements;
}

// Number of upstreams whose owner differs.
std::size_t Moved(const std::map<std::string, std::string>& before, const std::map<std::string, std::string>& after) {
  return static_cast<std::size_t>(std::count_if(
      before.begin(), before.end(), [&](const auto& item) { return after.at(item.first) != item.second; }));
}

// Number of upstreams of each owner.
std::map<std::string, std::size_t> Loads(const std::map<std::string, std::string>& owners) {
  std::map<std::string, std::size_t> loads;
  for (const auto& [upstream, owner] : owners) {
    ++loads[owner];
  }
  return loads;
}

}  // namespace

TEST_GROUP(Ownership){};

// Guards against a change of the hash, after which daemons of two builds would disagree about owners during an
// upgrade. The values come from a separate implementation.
TEST(Ownership, WeightsAreStable) {
  CHECK(RendezvousWeight("config/plans", "host-1") == 0xe3690c6252023c0fULL);
  CHECK(RendezvousWeight("", "") == 0xa0490b007fca3c4bULL);
}

// Guards against a ranking that depends on the order in which the nodes are given.
TEST(Ownership, RankIgnoresNodeOrder) {
  CHECK(CheckProperty(1'000, "rank", [](const std::string& key, const std::set<std::string>& names) {
    std::vector<std::string> nodes(names.begin(), names.end());
    const auto rank = RankByRendezvous(key, nodes);
    std::vector<std::string> reversed(nodes.rbegin(), nodes.rend());
    const auto rank_reversed = RankByRendezvous(key, reversed);
    RC_ASSERT(rank.size() == nodes.size());
    for (std::size_t i = 0; i < rank.size(); ++i) {
      RC_ASSERT(nodes[rank[i]] == reversed[rank_reversed[i]]);
    }
  }));
}

// Guards against an upstream without an owner or with an unknown one, replicas that share an owner or owners that
// share a domain without need, and a result that depends on the order of the input. The test states the conditions
// directly; the one on domains holds only when all domains have equally many members.
TEST(Ownership, AssignmentIsValid) {
  CHECK(CheckProperty(1'000, "valid", [] {
    const auto members = *rc::gen::inRange<std::size_t>(1, 33);
    const auto domains = *rc::gen::inRange<std::size_t>(1, 5);
    const auto groups = *rc::gen::inRange<std::size_t>(0, 40);
    const auto replicas = *rc::gen::inRange<std::size_t>(1, 4);
    const proto::View view = MakeView(members, domains);
    auto placements = MakePlacements(groups, replicas, domains);
    const auto owners = AssignOwners(view, placements);
    std::reverse(placements.begin(), placements.end());
    RC_ASSERT(AssignOwners(view, placements) == owners);
    RC_ASSERT(owners.size() == placements.size());
    std::map<std::string, std::set<std::string>> hosts;
    std::map<std::string, std::set<std::string>> zones;
    for (const UpstreamPlacement& placement : placements) {
      const auto& all = view.members();
      const auto owner = std::find_if(
          all.begin(), all.end(), [&](const auto& member) { return member.host() == owners.at(placement.upstream); });
      RC_ASSERT(owner != all.end());
      hosts[placement.group].insert(owner->host());
      zones[placement.group].insert(owner->failure_domain());
    }
    for (const auto& [group, names] : hosts) {
      RC_ASSERT(names.size() == std::min(replicas, members));
      if (members % domains == 0) {
        RC_ASSERT(zones[group].size() == std::min({replicas, members, domains}));
      }
    }
  }));
}

// Guards against an owner with far more upstreams than others, and so with far more requests and connections to
// serve.
TEST(Ownership, LoadIsBalanced) {
  CHECK(CheckProperty(1'000, "balanced", [] {
    const auto domains = *rc::gen::inRange<std::size_t>(1, 5);
    const auto members = domains * *rc::gen::inRange<std::size_t>(1, 9);
    const auto groups = domains * *rc::gen::inRange<std::size_t>(1, 60);
    const auto placements = MakePlacements(groups, 2, domains);
    for (const auto& [owner, load] : Loads(AssignOwners(MakeView(members, domains), placements))) {
      RC_ASSERT(load <= (placements.size() * 2 + members - 1) / members);
    }
  }));
  const auto loads = Loads(AssignOwners(MakeView(6, 3), MakePlacements(96, 2, 3)));
  CHECK_EQUAL(6U, loads.size());
  for (const auto& [owner, load] : loads) {
    CHECK(load <= 40);  // 1.25 times the mean of 32
  }
}

// Guards against a member change that moves many upstreams, each of which starts cold at its new owner. One of n
// members that leaves owns 1/n of the upstreams; the load limits move some more.
TEST(Ownership, MemberChangeMovesFewUpstreams) {
  for (const std::size_t members : {3, 6, 12, 32}) {
    const auto placements = MakePlacements(400, 2, 3);
    const proto::View before = MakeView(members, 3);
    proto::View after = before;
    after.mutable_members()->DeleteSubrange(1, 1);
    const std::size_t moved = Moved(AssignOwners(before, placements), AssignOwners(after, placements));
    CHECK(moved <= 2 * placements.size() / members);
  }
}

// Guards against owners of two replicas that lie in each other's domain: the loss of one domain would then take one
// replica and the owner of the other.
TEST(Ownership, OwnersLieInTheDomainOfTheirUpstream) {
  const proto::View view = MakeView(6, 3);
  for (const UpstreamPlacement& placement : MakePlacements(20, 2, 3)) {
    const auto owners = AssignOwners(view, MakePlacements(20, 2, 3));
    const std::size_t index = std::stoul(owners.at(placement.upstream).substr(5));
    STRCMP_EQUAL(placement.failure_domain.c_str(), view.members(static_cast<int>(index)).failure_domain().c_str());
  }
}

// Guards against a crash on a view without members.
TEST(Ownership, EmptyViewOwnsNothing) { CHECK(AssignOwners(proto::View{}, MakePlacements(3, 2, 2)).empty()); }

}  // namespace pimentomoor
