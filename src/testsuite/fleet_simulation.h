// Simulated histories of the daemons of a deployment, for tests of the fleet's invariants (see
// simulated_deployment.h). Each function runs one history; equal arguments give the same history.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace pimentomoor {

struct HistoryResult {
  // First broken invariant, or what keeps a cell from full service after the disruptions. Empty when the history is
  // correct.
  std::string error;
  std::uint64_t sent_requests = 0;      // to upstreams
  std::uint64_t last_epoch = 0;         // of the first cell's view
  std::uint64_t accepted_versions = 0;  // of the configuration, counted for each cell
};

/// Runs random disruptions of all kinds for 60 s. Like every history, it ends with 30 s without disruptions, after
/// which the cell must be in full service.
HistoryResult RunRandomDisruptions(std::uint64_t seed, std::size_t hosts);

/// Changes the catalog so that upstreams move between owners, while only one host can learn of the change: the others
/// get no objects from the platform or from each other for longer than a takeover takes.
HistoryResult RunCatalogChanges(std::uint64_t seed, std::size_t hosts);

/// Forms a cell of one or two hosts and cuts them off from everything else, while all others join one after another.
/// Only the rule that a majority acknowledges a view before the next one is written (MayWriteNextView()) keeps the
/// new members from reaching a majority without the old ones.
HistoryResult RunJoinsDuringPartition(std::uint64_t seed, std::size_t hosts);

/// Runs two cells on one platform. All hosts of the first cell fail, which must change neither the view nor the
/// service of the second, and then return; after that, both cells are disrupted.
HistoryResult RunOutageOfOtherCell(std::uint64_t seed, std::size_t hosts);

}  // namespace pimentomoor
