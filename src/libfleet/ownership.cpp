// Assignment of upstreams to owners by rendezvous hashing with bounded load.
#include "pimentomoor/ownership.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <set>
#include <tuple>
#include <vector>

#include "pimentomoor/rendezvous.h"

namespace pimentomoor {
namespace {

// Member of the view that may become an owner.
struct Candidate {
  std::string host;
  std::string failure_domain;
  std::size_t load = 0;  // number of upstreams assigned so far
};

// Replicas of one group.
struct Group {
  std::uint64_t order = 0;  // hash of the name; groups are placed in this order, so that load limits favour no name
  std::string name;
  std::vector<const UpstreamPlacement*> replicas;
};

// Owners that the replicas of a group have got so far.
struct GroupOwners {
  std::set<std::size_t> indexes;  // indexes of the owners into the candidates
  std::set<std::string> domains;  // failure domains of the owners
};

// Conditions on the owner of an upstream.
struct Rule {
  bool in_upstream_domain;         // the owner lies in the upstream's failure domain
  bool in_domain_without_replica;  // the owner's domain holds no upstream of the group
  bool in_domain_without_owner;    // the owner's domain holds no other owner of the group
  bool owns_none_in_group;         // the owner owns no other upstream of the group
  bool under_strict_limit;         // the owner has fewer upstreams than 1.25 times the mean
  bool under_relaxed_limit;        // the owner has fewer upstreams than twice the mean
};

// Rules by decreasing preference. The first rule that a candidate meets decides; the last one is met by all.
constexpr std::array<Rule, 10> kRules{{
    {.in_upstream_domain = true,
     .in_domain_without_owner = true,
     .owns_none_in_group = true,
     .under_strict_limit = true},
    {.in_upstream_domain = true,
     .in_domain_without_owner = true,
     .owns_none_in_group = true,
     .under_relaxed_limit = true},
    {.in_domain_without_replica = true,
     .in_domain_without_owner = true,
     .owns_none_in_group = true,
     .under_strict_limit = true},
    {.in_domain_without_replica = true,
     .in_domain_without_owner = true,
     .owns_none_in_group = true,
     .under_relaxed_limit = true},
    {.in_domain_without_owner = true, .owns_none_in_group = true, .under_strict_limit = true},
    {.in_domain_without_owner = true, .owns_none_in_group = true, .under_relaxed_limit = true},
    {.owns_none_in_group = true, .under_strict_limit = true},
    {.owns_none_in_group = true},
    {.under_strict_limit = true},
    {},
}};

// Largest number of upstreams of an owner.
struct Limits {
  std::size_t strict = 0;   // 1.25 times the mean, rounded up
  std::size_t relaxed = 0;  // twice the mean, rounded up
};

std::vector<Candidate> CandidatesOf(const proto::View& view) {
  std::vector<Candidate> candidates;
  for (const proto::Daemon& member : view.members()) {
    candidates.push_back({.host = member.host(), .failure_domain = member.failure_domain()});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.host < b.host; });
  return candidates;
}

std::vector<Group> GroupsOf(std::span<const UpstreamPlacement> placements) {
  std::map<std::string, std::vector<const UpstreamPlacement*>> by_name;
  for (const UpstreamPlacement& placement : placements) {
    by_name[placement.group].push_back(&placement);
  }
  std::vector<Group> groups;
  for (auto& [name, replicas] : by_name) {
    std::sort(replicas.begin(), replicas.end(), [](const auto* a, const auto* b) {
      return std::tie(a->replica, a->upstream) < std::tie(b->replica, b->upstream);
    });
    groups.push_back({.order = RendezvousWeight(name, ""), .name = name, .replicas = std::move(replicas)});
  }
  std::sort(groups.begin(), groups.end(),
            [](const Group& a, const Group& b) { return std::tie(a.order, a.name) < std::tie(b.order, b.name); });
  return groups;
}

bool Fits(const Rule& rule, const Candidate& candidate, bool owns_in_group, const GroupOwners& group_owners,
          const Limits& limits, const UpstreamPlacement& placement, const std::set<std::string>& replica_domains) {
  return (!rule.in_upstream_domain || candidate.failure_domain == placement.failure_domain) &&
         (!rule.in_domain_without_replica || !replica_domains.contains(candidate.failure_domain)) &&
         (!rule.in_domain_without_owner || !group_owners.domains.contains(candidate.failure_domain)) &&
         (!rule.owns_none_in_group || !owns_in_group) &&
         (!rule.under_strict_limit || candidate.load < limits.strict) &&
         (!rule.under_relaxed_limit || candidate.load < limits.relaxed);
}

// Index of the first candidate in `order` that meets the most preferred rule that any candidate meets.
std::size_t ChooseOwner(const UpstreamPlacement& placement, const std::vector<Candidate>& candidates,
                        const std::vector<std::size_t>& order, const GroupOwners& group_owners, const Limits& limits,
                        const std::set<std::string>& replica_domains) {
  for (const Rule& rule : kRules) {
    for (const std::size_t index : order) {
      if (Fits(rule, candidates[index], group_owners.indexes.contains(index), group_owners, limits, placement,
               replica_domains)) {
        return index;
      }
    }
  }
  return order.front();  // not reached: every candidate meets the last rule
}

}  // namespace

std::map<std::string, std::string> AssignOwners(const proto::View& view,
                                                std::span<const UpstreamPlacement> placements) {
  std::map<std::string, std::string> owners;
  std::vector<Candidate> candidates = CandidatesOf(view);
  if (candidates.empty()) {
    return owners;
  }
  std::vector<std::string> hosts;
  hosts.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    hosts.push_back(candidate.host);
  }
  const std::size_t count = candidates.size();
  const Limits limits{.strict = (placements.size() * 5 + count * 4 - 1) / (count * 4),
                      .relaxed = (placements.size() * 2 + count - 1) / count};
  for (const Group& group : GroupsOf(placements)) {
    GroupOwners group_owners;
    std::set<std::string> replica_domains;
    for (const UpstreamPlacement* placement : group.replicas) {
      replica_domains.insert(placement->failure_domain);
    }
    for (const UpstreamPlacement* placement : group.replicas) {
      const std::vector<std::size_t> order = RankByRendezvous(placement->upstream, hosts);
      const std::size_t chosen = ChooseOwner(*placement, candidates, order, group_owners, limits, replica_domains);
      ++candidates[chosen].load;
      group_owners.indexes.insert(chosen);
      group_owners.domains.insert(candidates[chosen].failure_domain);
      owners[placement->upstream] = hosts[chosen];
    }
  }
  return owners;
}

}  // namespace pimentomoor
