// Rendezvous (highest random weight) hashing: every daemon ranks the same nodes for a key in the same order, and a
// node that joins or leaves changes only the keys that it ranks first for.
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

/// Weight of `node` for `key`. The value is part of the protocol between daemons: it is the same in every build and
/// on every host.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view node);

/// Hash of `key` and `version` for digests of version maps. The value is part of the protocol between daemons.
std::uint64_t VersionHash(std::string_view key, std::uint64_t version);

/// Indexes into `nodes`, highest weight first; equal weights are ordered by name.
std::vector<std::size_t> RankByRendezvous(std::string_view key, std::span<const std::string> nodes);

/// The daemon whose host has the highest weight for `key`, other than that of the incarnation `excluded_incarnation`;
/// none when there is no other.
std::optional<proto::Daemon> FirstByRendezvous(std::string_view key, std::span<const proto::Daemon> daemons,
                                               std::optional<std::uint64_t> excluded_incarnation = std::nullopt);

}  // namespace pimentomoor
