// Simulated histories of a cell, from which tests take whether every invariant held.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace pimentomoor {

struct HistoryResult {
  std::string error;  // first broken invariant, or what keeps the healed cell from full service; empty: none
  std::uint64_t sent_requests = 0;  // to upstreams
  std::uint64_t last_epoch = 0;
  std::uint64_t accepted_versions = 0;  // of the configuration
};

/// Disturbances of all kinds for 60 s. Every history ends with 30 s without any, then the cell must be healthy.
HistoryResult RunRandomDisruptions(std::uint64_t seed, std::size_t hosts);

/// Catalog changes that move upstreams between owners while only one host can learn of them: platform and objects of
/// the others are cut off for longer than a takeover takes.
HistoryResult RunCatalogChanges(std::uint64_t seed, std::size_t hosts);

/// One or two hosts form the cell and are then cut off from everything else, while all others join one after another.
/// Only the rule on the next epoch keeps the new members from reaching a majority without the old ones.
HistoryResult RunJoinsDuringPartition(std::uint64_t seed, std::size_t hosts);

/// Two cells on one platform. All hosts of the first one fail, which must change nothing in the second, then return;
/// after that both are disturbed.
HistoryResult RunOutageOfOtherCell(std::uint64_t seed, std::size_t hosts);

}  // namespace pimentomoor
