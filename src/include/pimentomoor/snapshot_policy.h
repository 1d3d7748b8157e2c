// Chooses the index snapshot that a query is pinned to.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pimentomoor {

struct ShardReplicas {
  std::uint32_t shard = 0;
  std::vector<std::string> upstreams;  // "IP:port"

  friend bool operator==(const ShardReplicas&, const ShardReplicas&) = default;
};

struct CatalogSnapshot {
  std::uint64_t version = 0;
  std::vector<ShardReplicas> shards;

  friend bool operator==(const CatalogSnapshot&, const CatalogSnapshot&) = default;
};

/// Shards of `snapshot` that have a usable replica.
std::size_t CountCoveredShards(const CatalogSnapshot& snapshot,
                               const std::function<bool(const std::string&)>& usable);

/// Index of the newest snapshot in which every shard has a usable replica; when there is none, of the one that covers
/// the largest fraction of its shards, the newer of equal ones. The order of `snapshots` has no meaning. A snapshot
/// without shards is never chosen: it would make an empty answer look complete. Nothing when no other is left.
std::optional<std::size_t> ChooseSnapshot(std::span<const CatalogSnapshot> snapshots,
                                          const std::function<bool(const std::string&)>& usable);

/// The newest snapshot, covered or not.
std::optional<std::size_t> ChooseSnapshotNaive(std::span<const CatalogSnapshot> snapshots,
                                               const std::function<bool(const std::string&)>& usable);

}  // namespace pimentomoor
