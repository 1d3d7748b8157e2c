// Hash functions and ranking for rendezvous hashing.
#include "pimentomoor/rendezvous.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pimentomoor {
namespace {

// FNV-1a hash, whose result doesn't depend on byte order or word size.
std::uint64_t HashBytes(std::string_view bytes) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char byte : bytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
  }
  return hash;
}

// Finaliser of SplitMix64. It is needed because FNV-1a leaves the high bits of similar names alike.
std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

std::uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  return Mix(Mix(HashBytes(key)) ^ HashBytes(node));
}

std::uint64_t VersionHash(std::string_view key, std::uint64_t version) {
  return Mix(Mix(HashBytes(key)) + Mix(version));
}

std::vector<std::size_t> RankByRendezvous(std::string_view key, std::span<const std::string> nodes) {
  std::vector<std::uint64_t> weights;
  weights.reserve(nodes.size());
  for (const std::string& node : nodes) {
    weights.push_back(RendezvousWeight(key, node));
  }
  std::vector<std::size_t> order(nodes.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return weights[a] != weights[b] ? weights[a] > weights[b] : nodes[a] < nodes[b];
  });
  return order;
}

std::optional<proto::Daemon> FirstByRendezvous(std::string_view key, std::span<const proto::Daemon> daemons,
                                               std::optional<std::uint64_t> excluded_incarnation) {
  const proto::Daemon* first = nullptr;
  std::uint64_t highest = 0;
  for (const proto::Daemon& daemon : daemons) {
    if (daemon.incarnation() == excluded_incarnation) {
      continue;
    }
    const std::uint64_t weight = RendezvousWeight(key, daemon.host());
    if (first == nullptr || weight > highest) {
      first = &daemon;
      highest = weight;
    }
  }
  return first == nullptr ? std::nullopt : std::optional(*first);
}

}  // namespace pimentomoor
