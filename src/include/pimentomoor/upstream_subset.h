// Deterministic subsetting: decides which daemons send to which upstreams of a service when each upstream accepts
// fewer connections than there are daemons.
//
// The daemons are ordered by a hash with the name of the service. The daemon at position p sends to the c upstreams
// from index p * c on, modulo the number of upstreams. Thus every daemon has the same number of upstreams, and the
// numbers of daemons per upstream differ by at most one. When the upstreams accept connections from all daemons, each
// daemon sends to all upstreams.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace pimentomoor {

/// Position of the daemon `self` among itself and `others`, ordered by a hash with `key`; 0 is the first.
std::size_t DaemonPosition(std::string_view key, std::string_view self, std::span<const std::string> others);

/// The upstreams of one service to which a daemon sends. The upstreams are numbered from 0.
struct UpstreamSubset {
  std::size_t first = 0;                 // index of the first upstream, before the modulo
  std::size_t count = 0;                 // number of upstreams in the subset
  std::size_t daemons_per_upstream = 1;  // largest number of daemons that send to one upstream

  friend bool operator==(const UpstreamSubset&, const UpstreamSubset&) = default;
};

/// Subset of the daemon `self`. `others` are the other daemons that are alive, `upstreams` is the number of upstreams
/// of the service, and `connections` is the number of connections that each upstream accepts from all daemons
/// together. A daemon sends to at least one upstream.
UpstreamSubset SubsetForDaemon(std::string_view service, std::string_view self, std::span<const std::string> others,
                               std::size_t upstreams, std::size_t connections);

/// Whether `subset` contains the upstream at `index` of `upstreams`.
bool IsInSubset(const UpstreamSubset& subset, std::size_t index, std::size_t upstreams);

}  // namespace pimentomoor
