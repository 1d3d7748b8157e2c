// Implementation of the simulated histories.
#include "fleet_simulation.h"

#include "simulated_deployment.h"

namespace pimentomoor {
namespace {

using simulation::SimulatedDeployment;
using simulation::SimulationOptions;
using std::chrono::milliseconds;

// Returns options that differ by seed in what fails most. With 95% of the messages with objects lost, daemons stay
// behind the others in epoch and versions.
SimulationOptions OptionsFor(std::uint64_t seed, std::size_t hosts) {
  return {.loss_probability = seed % 5 == 0 ? 0.2 : 0.02,
          .object_loss_probability = seed % 2 == 0 ? 0.95 : 0.02,
          .disruption_probability = static_cast<double>(seed % 3 + 1) * 0.005,
          .host_count = hosts};
}

HistoryResult MakeResult(SimulatedDeployment& deployment) {
  HistoryResult history{.sent_requests = deployment.sent_requests(),
                        .last_epoch = deployment.last_epoch(),
                        .accepted_versions = deployment.accepted_versions()};
  history.error = deployment.error();
  if (history.error.empty() && !deployment.DescribeUnhealthyCells().empty()) {
    history.error = "after healing: " + deployment.DescribeUnhealthyCells();
  }
  return history;
}

// Ends the disruptions and gives the cells 30 s to recover.
void HealAndSettle(SimulatedDeployment& deployment) {
  deployment.Heal();
  deployment.Run(std::chrono::seconds(30), false);
}

}  // namespace

HistoryResult RunRandomDisruptions(std::uint64_t seed, std::size_t hosts) {
  SimulatedDeployment deployment(seed, OptionsFor(seed, hosts));
  for (std::size_t i = 0; i < hosts; ++i) {
    deployment.StartHost(i);
  }
  deployment.Run(std::chrono::seconds(60), true);
  HealAndSettle(deployment);
  return MakeResult(deployment);
}

HistoryResult RunCatalogChanges(std::uint64_t seed, std::size_t hosts) {
  SimulatedDeployment deployment(seed, {.disruption_probability = 0.001, .host_count = hosts});
  for (std::size_t i = 0; i < hosts; ++i) {
    deployment.StartHost(i);
  }
  deployment.Run(std::chrono::seconds(15), false);
  for (int round = 0; round < 3; ++round) {
    const auto connected_host = static_cast<std::size_t>(deployment.RandomFraction() * static_cast<double>(hosts));
    deployment.CutOffObjects(connected_host, milliseconds(6'000) + deployment.RandomDuration(milliseconds(4'000)));
    deployment.WriteCatalog();
    deployment.Run(std::chrono::seconds(12), true);
  }
  HealAndSettle(deployment);
  return MakeResult(deployment);
}

HistoryResult RunJoinsDuringPartition(std::uint64_t seed, std::size_t hosts) {
  SimulatedDeployment deployment(seed, {.disruption_probability = 0.001, .host_count = hosts});
  const std::size_t first_hosts = 1 + seed % 2;
  for (std::size_t i = 0; i < first_hosts; ++i) {
    deployment.StartHost(i);
  }
  deployment.Run(std::chrono::seconds(12), false);
  deployment.IsolateFirstHosts(first_hosts, std::chrono::seconds(18));
  for (std::size_t i = first_hosts; i < hosts; ++i) {
    deployment.StartHost(i);
    deployment.Run(deployment.RandomDuration(milliseconds(1'000)), false);
  }
  deployment.Run(std::chrono::seconds(16), true);
  HealAndSettle(deployment);
  return MakeResult(deployment);
}

HistoryResult RunOutageOfOtherCell(std::uint64_t seed, std::size_t hosts) {
  SimulatedDeployment deployment(seed, {.loss_probability = 0.002,
                                        .object_loss_probability = 0.002,
                                        .disruption_probability = 0.003,
                                        .host_count = hosts,
                                        .cell_count = 2});
  for (std::size_t i = 0; i < hosts; ++i) {
    deployment.StartHost(i);
  }
  deployment.Run(std::chrono::seconds(20), false);
  const std::uint64_t epoch = deployment.CurrentView(1).epoch();
  for (std::size_t i = 0; i < hosts; i += 2) {
    deployment.Kill(i);
  }
  for (int second = 0; second < 15; ++second) {
    deployment.Run(std::chrono::seconds(1), false);
    if (deployment.error().empty() &&
        (!deployment.DescribeUnhealthyCell(1).empty() || deployment.CurrentView(1).epoch() != epoch)) {
      return {.error = "without the other cell: " + deployment.DescribeUnhealthyCell(1)};
    }
  }
  for (std::size_t i = 0; i < hosts; i += 2) {
    deployment.StartHost(i);
  }
  deployment.Run(std::chrono::seconds(30), true);
  HealAndSettle(deployment);
  return MakeResult(deployment);
}

}  // namespace pimentomoor
