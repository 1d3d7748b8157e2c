// Histories of a simulated cell.
#include "fleet_simulation.h"

#include "fleet_world.h"

namespace pimentomoor {
namespace {

using simulation::Chances;
using simulation::World;
using std::chrono::milliseconds;

// Histories differ in what is disturbed most. With most objects lost, daemons stay behind in epoch and versions.
Chances ChancesFor(std::uint64_t seed, std::size_t hosts) {
  return {.lose = seed % 5 == 0 ? 0.2 : 0.02,
          .lose_objects = seed % 2 == 0 ? 0.95 : 0.02,
          .disrupt = static_cast<double>(seed % 3 + 1) * 0.005,
          .hosts = hosts};
}

HistoryResult Result(World& world) {
  HistoryResult history{
      .sent_requests = world.requests(), .last_epoch = world.epochs(), .accepted_versions = world.accepted()};
  history.error = world.error();
  if (history.error.empty() && !world.Unhealthy().empty()) {
    history.error = "after healing: " + world.Unhealthy();
  }
  return history;
}

void HealAndRun(World& world) {
  world.Heal();
  world.Run(std::chrono::seconds(30), false);
}

}  // namespace

HistoryResult RunRandomDisruptions(std::uint64_t seed, std::size_t hosts) {
  World world(seed, ChancesFor(seed, hosts));
  for (std::size_t i = 0; i < hosts; ++i) {
    world.StartHost(i);
  }
  world.Run(std::chrono::seconds(60), true);
  HealAndRun(world);
  return Result(world);
}

HistoryResult RunCatalogChanges(std::uint64_t seed, std::size_t hosts) {
  World world(seed, {.disrupt = 0.001, .hosts = hosts});
  for (std::size_t i = 0; i < hosts; ++i) {
    world.StartHost(i);
  }
  world.Run(std::chrono::seconds(15), false);
  for (int round = 0; round < 3; ++round) {
    const auto open = static_cast<std::size_t>(world.Unit() * static_cast<double>(hosts));
    world.HoldBackObjects(open, milliseconds(6'000) + world.Upto(milliseconds(4'000)));
    world.WriteCatalog();
    world.Run(std::chrono::seconds(12), true);
  }
  HealAndRun(world);
  return Result(world);
}

HistoryResult RunJoinsDuringPartition(std::uint64_t seed, std::size_t hosts) {
  World world(seed, {.disrupt = 0.001, .hosts = hosts});
  const std::size_t first = 1 + seed % 2;
  for (std::size_t i = 0; i < first; ++i) {
    world.StartHost(i);
  }
  world.Run(std::chrono::seconds(12), false);
  world.Isolate(first, std::chrono::seconds(18));
  for (std::size_t i = first; i < hosts; ++i) {
    world.StartHost(i);
    world.Run(world.Upto(milliseconds(1'000)), false);
  }
  world.Run(std::chrono::seconds(16), true);
  HealAndRun(world);
  return Result(world);
}

HistoryResult RunOutageOfOtherCell(std::uint64_t seed, std::size_t hosts) {
  World world(seed, {.lose = 0.002, .lose_objects = 0.002, .disrupt = 0.003, .hosts = hosts, .cells = 2});
  for (std::size_t i = 0; i < hosts; ++i) {
    world.StartHost(i);
  }
  world.Run(std::chrono::seconds(20), false);
  const std::uint64_t epoch = world.CurrentView(1).epoch();
  for (std::size_t i = 0; i < hosts; i += 2) {
    world.Kill(i);
  }
  for (int second = 0; second < 15; ++second) {
    world.Run(std::chrono::seconds(1), false);
    if (world.error().empty() && (!world.UnhealthyCell(1).empty() || world.CurrentView(1).epoch() != epoch)) {
      return {.error = "without the other cell: " + world.UnhealthyCell(1)};
    }
  }
  for (std::size_t i = 0; i < hosts; i += 2) {
    world.StartHost(i);
  }
  world.Run(std::chrono::seconds(30), true);
  HealAndRun(world);
  return Result(world);
}

}  // namespace pimentomoor
