// Implementation of the subsets of upstreams.
#include "pimentomoor/upstream_subset.h"

#include <algorithm>
#include <cstdint>

namespace pimentomoor {

namespace {

// FNV-1a with a final mix, so that addresses that differ in one digit get unrelated hashes.
std::uint64_t HashPair(std::string_view service, std::string_view daemon) {
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  constexpr std::uint64_t kMix = 0xff51afd7ed558ccd;
  constexpr unsigned kShift = 33;
  std::uint64_t hash = kOffset;
  for (const std::string_view text : {service, std::string_view("/"), daemon}) {
    for (const char c : text) {
      hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
    }
  }
  hash = (hash ^ (hash >> kShift)) * kMix;
  return hash ^ (hash >> kShift);
}

}  // namespace

std::size_t DaemonPosition(std::string_view key, std::string_view self, std::span<const std::string> others) {
  const std::uint64_t own_hash = HashPair(key, self);
  return static_cast<std::size_t>(std::count_if(
      others.begin(), others.end(), [&](const std::string& other) { return HashPair(key, other) < own_hash; }));
}

UpstreamSubset SubsetForDaemon(std::string_view service, std::string_view self, std::span<const std::string> others,
                               std::size_t upstreams, std::size_t connections) {
  const std::size_t daemons = others.size() + 1;
  if (upstreams == 0 || connections >= daemons) {
    return {.count = upstreams, .daemons_per_upstream = daemons};
  }
  const std::size_t position = DaemonPosition(service, self, others);
  const std::size_t count = std::clamp<std::size_t>(connections * upstreams / daemons, 1, upstreams);
  // The subsets follow each other around the ring of upstreams, so that they overlap evenly.
  return {.first = position * count,
          .count = count,
          .daemons_per_upstream = (daemons * count + upstreams - 1) / upstreams};
}

bool IsInSubset(const UpstreamSubset& subset, std::size_t index, std::size_t upstreams) {
  return upstreams > 0 && (index + upstreams - subset.first % upstreams) % upstreams < subset.count;
}

}  // namespace pimentomoor
