// Rendezvous (highest random weight) hashing: every daemon ranks the same nodes for a key in the same order, and when
// a node joins or leaves, the first node changes only for the keys that rank this node first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peer.pb.h"

namespace pimentomoor {

/// Weight of `node` for `key`. The value is part of the protocol between daemons, so it must be the same in every
/// build and on every host.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view node);

/// Hash of `key` and `version`, from which digests of version maps are built. The value is part of the protocol
/// between daemons.
std::uint64_t VersionHash(std::string_view key, std::uint64_t version);

/// Indexes into `nodes`, ordered by decreasing weight for `key`; nodes of equal weight are ordered by name.
std::vector<std::size_t> RankByRendezvous(std::string_view key, std::span<const std::string> nodes);

/// Daemon whose host has the highest weight for `key`, leaving out `excluded_incarnation`; none when no daemon
/// remains.
std::optional<proto::Daemon> FirstByRendezvous(std::string_view key, std::span<const proto::Daemon> daemons,
                                               std::optional<std::uint64_t> excluded_incarnation = std::nullopt);

}  // namespace pimentomoor
