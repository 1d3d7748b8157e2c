// Assignment of upstreams to owners. Every daemon computes the same result from the view and the catalog alone.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "peer.pb.h"

namespace pimentomoor {

/// One upstream of the catalog. The upstreams of one group are replicas: they serve the same shards.
struct UpstreamPlacement {
  std::string upstream;        // "IP:port"
  std::string failure_domain;  // failure domain of the upstream
  std::string group;           // name of the replica group
  std::uint32_t replica = 0;   // number of the upstream within its group

  friend bool operator==(const UpstreamPlacement&, const UpstreamPlacement&) = default;
};

/// Maps each upstream to the host name of its owner. Empty when the view has no members.
///
/// Replicas of a group get different owners when there are enough members. Where possible, the owners of a group lie
/// in different failure domains, each in the domain of its upstream: if the owners of two replicas lay in each
/// other's domain, the loss of one domain would take one replica and the owner of the other. An owner gets at
/// most 1.25 times the mean number of upstreams, or up to twice the mean where only that keeps the domains apart, and
/// more only where replicas of a group would otherwise share an owner.
std::map<std::string, std::string> AssignOwners(const proto::View& view,
                                                std::span<const UpstreamPlacement> placements);

}  // namespace pimentomoor
