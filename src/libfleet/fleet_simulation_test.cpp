// Tests of invariants of FleetCore in random simulated histories.
#include "fleet_simulation.h"

#include <cstdlib>
#include <string>

#include "property.h"

// Last, because its macros redefine new.
// clang-format off
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

// Runs `cases` histories with random seeds and host counts; true when every history kept the invariants.
bool CheckHistories(int cases, const std::string& name, std::size_t min_hosts,
                    HistoryResult (*run)(std::uint64_t seed, std::size_t hosts)) {
  return CheckProperty(cases, name, [&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto hosts = *rc::gen::inRange<std::size_t>(min_hosts, 6);
    const HistoryResult history = run(seed, hosts);
    RC_CLASSIFY(history.sent_requests > 100 && history.last_epoch > 5 && history.accepted_versions > 0);
    if (!history.error.empty()) {
      RC_FAIL(history.error);
    }
  });
}

}  // namespace

TEST_GROUP(FleetSimulation){};

// Guards against two daemons that send to one upstream, versions that decrease, a lease held without an accepted
// version, and upstreams that stay without an owner after the disturbances have ended.
TEST(FleetSimulation, RandomHistoriesKeepOneSenderAndRecover) {
  CHECK(CheckHistories(20, "one sender for each upstream", 1, RunRandomDisruptions));
}

// Guards against a takeover after a catalog change that doesn't wait until other daemons have the new placements.
// Without PlacementRollout, the old owner would keep its lease by replies of daemons that also have the old
// placements.
TEST(FleetSimulation, CatalogMovesKeepOneSender) {
  CHECK(CheckHistories(6, "one sender for each upstream while the catalog changes", 3, RunCatalogChanges));
}

// Guards against a view that is written before a majority has acknowledged the one before it. Without
// MayWriteNextView(), members that are cut off would keep their lease while the others take over their upstreams.
TEST(FleetSimulation, ChainsOfViewsKeepOneSender) {
  CHECK(CheckHistories(6, "one sender for each upstream while views change", 5, RunJoinsDuringPartition));
}

// Guards against a view, a lease or an owner that spans two cells, a cell that changes when all daemons of another
// one fail, and a daemon that keeps an old view of another cell.
TEST(FleetSimulation, CellsDoNotAffectEachOther) {
  CHECK(CheckHistories(8, "two cells on one platform", 4, RunOutageOfOtherCell));
}

}  // namespace pimentomoor
