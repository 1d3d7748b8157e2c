// Implementation of the choice of a snapshot.
#include "pimentomoor/snapshot_policy.h"

#include <algorithm>
#include <numeric>

namespace pimentomoor {

namespace {

// Indexes of the snapshots that have shards, newest first.
std::vector<std::size_t> IndexesNewestFirst(std::span<const CatalogSnapshot> snapshots) {
  std::vector<std::size_t> order(snapshots.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::erase_if(order, [&](std::size_t index) { return snapshots[index].shards.empty(); });
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return snapshots[a].version > snapshots[b].version; });
  return order;
}

}  // namespace

std::size_t CountCoveredShards(const CatalogSnapshot& snapshot,
                               const std::function<bool(const std::string&)>& usable) {
  return static_cast<std::size_t>(
      std::count_if(snapshot.shards.begin(), snapshot.shards.end(), [&](const ShardReplicas& shard) {
        return std::any_of(shard.upstreams.begin(), shard.upstreams.end(), usable);
      }));
}

std::optional<std::size_t> ChooseSnapshot(std::span<const CatalogSnapshot> snapshots,
                                          const std::function<bool(const std::string&)>& usable) {
  std::optional<std::size_t> best;
  std::size_t best_covered = 0;
  for (const std::size_t index : IndexesNewestFirst(snapshots)) {
    const std::size_t shards = snapshots[index].shards.size();
    const std::size_t covered = CountCoveredShards(snapshots[index], usable);
    if (covered == shards) {
      return index;
    }
    // Compares the fractions covered / shards by cross-multiplication, without rounding.
    if (!best || covered * snapshots[*best].shards.size() > best_covered * shards) {
      best = index;
      best_covered = covered;
    }
  }
  return best;
}

std::optional<std::size_t> ChooseSnapshotNaive(std::span<const CatalogSnapshot> snapshots,
                                               const std::function<bool(const std::string&)>& /*usable*/) {
  const std::vector<std::size_t> order = IndexesNewestFirst(snapshots);
  return order.empty() ? std::nullopt : std::optional(order.front());
}

}  // namespace pimentomoor
