// Chooses the index snapshot that a query is pinned to. All sub-queries of a query read the same snapshot.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pimentomoor {

/// The upstreams that hold a replica of one shard of a snapshot.
struct ShardReplicas {
  std::uint32_t shard = 0;
  std::vector<std::string> upstreams;  // "IP:port"

  friend bool operator==(const ShardReplicas&, const ShardReplicas&) = default;
};

/// One snapshot of a service's index, as the catalog lists it.
struct CatalogSnapshot {
  std::uint64_t version = 0;  // a newer snapshot has a greater version
  std::vector<ShardReplicas> shards;

  friend bool operator==(const CatalogSnapshot&, const CatalogSnapshot&) = default;
};

/// Number of shards of `snapshot` that are covered: at least one of their replicas is usable.
std::size_t CountCoveredShards(const CatalogSnapshot& snapshot,
                               const std::function<bool(const std::string&)>& usable);

/// Index of the newest snapshot of which every shard is covered. When there is none, index of the snapshot with the
/// largest fraction of covered shards; of equal fractions, the newer snapshot is chosen. The order of `snapshots` has
/// no meaning. A snapshot without shards is never chosen, because it would make an empty answer look complete. Empty
/// when no snapshot has shards.
std::optional<std::size_t> ChooseSnapshot(std::span<const CatalogSnapshot> snapshots,
                                          const std::function<bool(const std::string&)>& usable);

/// Index of the newest snapshot that has shards, covered or not; the baseline in tests.
std::optional<std::size_t> ChooseSnapshotNaive(std::span<const CatalogSnapshot> snapshots,
                                               const std::function<bool(const std::string&)>& usable);

}  // namespace pimentomoor
