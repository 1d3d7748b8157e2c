// Tests of the choice of a snapshot.
#include "pimentomoor/snapshot_policy.h"

#include <cstdlib>
#include <random>
#include <tuple>

#include "CppUTest/TestHarness.h"  // after the others: its macro "new" breaks standard headers
#include "property.h"

namespace pimentomoor {

TEST_GROUP(SnapshotPolicy){};

// Guards against a query that is pinned to a snapshot with uncovered shards while an older snapshot is fully covered,
// and against a query that is pinned to an old snapshot without need. The expected snapshot has the maximum of
// (covered fraction, version).
TEST(SnapshotPolicy, PrefersCoverageThenTheNewestVersion) {
  CHECK(CheckProperty(1'000, "snapshot", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::vector<CatalogSnapshot> snapshots(random() % 5);
    const std::uint64_t usable_upstreams = random() % 2 == 0 ? random() : random() & random();
    const auto usable = [usable_upstreams](const std::string& upstream) {
      return (usable_upstreams >> std::stoul(upstream)) % 2 == 1;
    };
    std::optional<std::size_t> best;
    std::tuple<double, std::uint64_t> best_rank;
    for (std::size_t s = 0; s < snapshots.size(); ++s) {
      snapshots[s] = {.version = 10 * (random() % 100) + s, .shards = std::vector<ShardReplicas>(random() % 5)};
      double covered = 0;
      for (ShardReplicas& shard : snapshots[s].shards) {
        shard.upstreams = {std::to_string(random() % 64), std::to_string(random() % 64)};
        covered += usable(shard.upstreams[0]) || usable(shard.upstreams[1]) ? 1 : 0;
      }
      const auto shards = static_cast<double>(snapshots[s].shards.size());
      const std::tuple rank(covered / shards, snapshots[s].version);
      if (shards > 0 && (!best || rank > best_rank)) {
        best = s;
        best_rank = rank;
      }
    }
    RC_ASSERT(ChooseSnapshot(snapshots, usable) == best);
    RC_ASSERT(ChooseSnapshotNaive(snapshots, usable) ==
              ChooseSnapshot(snapshots, [](const std::string&) { return true; }));
  }));
}

}  // namespace pimentomoor
