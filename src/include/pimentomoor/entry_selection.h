// Selects the daemons that the directory names to callers as entries. Callers pick one of the named addresses at
// random. In a large cell, the directory names only as many daemons as the load needs, those with the most processor
// time first. Thus their connections to upstreams stay in use, and no query of many shards is handled on a host with
// a tenth of a core.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace pimentomoor {

/// A daemon that may be selected.
struct EntryCandidate {
  std::string address;  // address at which callers reach the daemon
  std::string failure_domain;
  std::uint32_t capacity_millicores = 0;  // processor time that the daemon may use
  std::uint32_t load_parts_per_s = 0;     // requests per second that the daemon sends to upstreams

  friend bool operator==(const EntryCandidate&, const EntryCandidate&) = default;
};

/// How many daemons are selected.
struct EntrySelectionSettings {
  double cpu_us_per_part = 70;       // processor time of one request to an upstream, including its part of the merge
  double target_utilization = 0.25;  // share of a daemon's processor time above which answers queue up
  std::size_t min_entries = 6;       // limits the share of callers that are affected when one daemon ends
  std::size_t min_per_domain = 2;    // so that the loss of a failure domain leaves enough daemons
  std::size_t max_entries = 64;      // largest number of addresses that callers read from the directory

  friend bool operator==(const EntrySelectionSettings&, const EntrySelectionSettings&) = default;
};

/// Addresses of the selected daemons: the daemon with the largest capacity of each failure domain, then the second
/// largest of each, and so on, until their capacity suffices for the load of all candidates. Every daemon selects the
/// same addresses from the same candidates.
std::vector<std::string> SelectEntries(std::span<const EntryCandidate> candidates,
                                       const EntrySelectionSettings& settings);

/// The first max_entries candidates, in the order in which they are given; the baseline in tests.
std::vector<std::string> SelectEntriesNaive(std::span<const EntryCandidate> candidates,
                                            const EntrySelectionSettings& settings);

/// Rounds a load to a power of 1.5, so that small changes are not sent to the whole cell. Returns `previous`, the
/// last result, until the load is a quarter of a step beyond the end of the step of `previous`. Without this
/// hysteresis, a load that fluctuates by less than a tenth around the end of a step would change the selection with
/// each measurement.
std::uint32_t QuantizeLoad(double parts_per_s, std::uint32_t previous);

}  // namespace pimentomoor
