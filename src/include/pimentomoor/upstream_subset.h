// Which daemons send to which searchers of a service when the searchers do not take connections from all of them.
//
// The daemons stand in an order that is drawn for each service; the one at position p sends to the c searchers that
// begin at p * c, counted around. So every daemon has the same number of searchers, and every searcher the same
// number of daemons, up to one. While the searchers take connections from all daemons, the set is all of them.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace pimentomoor {

/// Position of the daemon `self` among it and `others`, in an order that is drawn for `key`; 0 is the first.
std::size_t DaemonPosition(std::string_view key, std::string_view self, std::span<const std::string> others);

/// The searchers of one service that a daemon sends to.
struct UpstreamSubset {
  std::size_t first = 0;                 // index of the first searcher, before counting around
  std::size_t count = 0;                 // searchers that it sends to
  std::size_t daemons_per_upstream = 1;  // daemons that send to one searcher, at most

  friend bool operator==(const UpstreamSubset&, const UpstreamSubset&) = default;
};

/// Share of the daemon `self`. `others` are the other daemons that are alive, `searchers` the number of searchers of
/// the service, and `connections` how many each of them takes from all daemons together. A daemon sends to one
/// searcher at least.
UpstreamSubset SubsetForDaemon(std::string_view service, std::string_view self, std::span<const std::string> others,
                               std::size_t searchers, std::size_t connections);

/// Whether the share holds the searcher at `index` of `searchers`.
bool IsInSubset(const UpstreamSubset& share, std::size_t index, std::size_t searchers);

}  // namespace pimentomoor
