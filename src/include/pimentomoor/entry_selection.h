// Which daemons the directory names. Callers pick one of the named addresses at random, so in a large cell the
// directory names only as many daemons as the load needs, those with most processor time first: their connections to
// searchers stay in use, and a query of many shards is not spread over a host with a tenth of a core.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace pimentomoor {

/// One daemon that could be named.
struct EntryCandidate {
  std::string address;  // for callers
  std::string failure_domain;
  std::uint32_t capacity_millicores = 0;  // processor time that it may use
  std::uint32_t load_parts_per_s = 0;     // requests that it sends to searchers

  friend bool operator==(const EntryCandidate&, const EntryCandidate&) = default;
};

struct EntrySelectionSettings {
  double cpu_us_per_part = 70;       // processor time of one request to a searcher, with its part of the merge
  double target_utilization = 0.25;  // of a daemon's processor time: beyond it, answers wait for each other
  std::size_t min_entries = 6;       // so that the end of one concerns few callers
  std::size_t min_per_domain = 2;    // so that a failure domain can be lost
  std::size_t max_entries = 64;      // that callers read

  friend bool operator==(const EntrySelectionSettings&, const EntrySelectionSettings&) = default;
};

/// Addresses of the selected daemons. Every daemon selects the same ones from the same candidates. Takes the largest
/// of each failure domain in turn until their capacity carries the load of all candidates.
std::vector<std::string> SelectEntries(std::span<const EntryCandidate> candidates,
                                       const EntrySelectionSettings& settings);

/// All candidates, in order, up to max_entries.
std::vector<std::string> SelectEntriesNaive(std::span<const EntryCandidate> candidates,
                                            const EntrySelectionSettings& settings);

/// Rounds a load to steps of half, so that small changes are not news to the whole cell. Stays at `previous`, the
/// last result, until the load has left its step by a quarter of one: a load that fluctuates by less than a tenth
/// around a step's end would change the selection with each measurement otherwise.
std::uint32_t QuantizeLoad(double parts_per_s, std::uint32_t previous);

}  // namespace pimentomoor
