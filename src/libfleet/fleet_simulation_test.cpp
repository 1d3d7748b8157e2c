// Properties of simulated histories.
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

bool CheckHistories(int cases, const std::string& name, std::size_t min_hosts,
                    History (*run)(std::uint64_t seed, std::size_t hosts)) {
  return CheckProperty(cases, name, [&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto hosts = *rc::gen::inRange<std::size_t>(min_hosts, 6);
    const History history = run(seed, hosts);
    RC_CLASSIFY(history.requests > 100 && history.epochs > 5 && history.accepted > 0);
    if (!history.error.empty()) {
      RC_FAIL(history.error);
    }
  });
}

}  // namespace

TEST_GROUP(FleetSimulation){};

// Guards against two senders to one upstream, versions that go back, a lease without an accepted version, and a fleet
// that stays without an owner after disturbances.
TEST(FleetSimulation, RandomHistoriesKeepOneSenderAndRecover) {
  CHECK(CheckHistories(20, "one sender for each upstream", 1, RunDisturbed));
}

// Guards against a takeover after a catalog change that does not wait until other daemons have the new placements:
// without PlacementRollout, the old owner keeps its lease among daemons that have the old placements too.
TEST(FleetSimulation, CatalogMovesKeepOneSender) {
  CHECK(CheckHistories(6, "one sender for each upstream while the catalog changes", 3, RunCatalogMoves));
}

// Guards against a view that is written before a majority acknowledged the one before it: without MayWriteNextView,
// the members cut off keep their lease, and the others take over their upstreams.
TEST(FleetSimulation, ChainsOfViewsKeepOneSender) {
  CHECK(CheckHistories(6, "one sender for each upstream while views change", 5, RunJoinsBehindPartition));
}

// Guards against a view, a lease or an owner that crosses cells, against a cell that changes when all daemons of
// another one fail, and against a directory that stays behind.
TEST(FleetSimulation, CellsDoNotAffectEachOther) {
  CHECK(CheckHistories(8, "two cells on one platform", 4, RunTwoCells));
}

}  // namespace pimentomoor
