// Implementation of the routing table and of the weighted round robin.
#include "pimentomoor/routing_table.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <numeric>

namespace pimentomoor {

RoutingTable::RoutingTable(RoutingTableSpec spec) : spec_(std::move(spec)) {
  for (const auto& route : spec_.routes) {
    by_host_[route.host].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const RouteSpec* left, const RouteSpec* right) {
      return left->prefix.size() > right->prefix.size();
    });
  }
  for (const auto& customer : spec_.customers) {
    for (const auto& key : customer.keys) {
      const auto [holder, inserted] = by_key_.emplace(key, &customer);
      repeated_keys_ += !inserted && holder->second != &customer ? 1 : 0;
    }
  }
}

bool RoutingTable::EqualDigests::operator()(const KeyDigest& left, const KeyDigest& right) const {
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

const CustomerSpec* RoutingTable::FindCustomer(std::string_view key) const {
  const auto found = by_key_.find(DigestKey(key));
  return found == by_key_.end() ? nullptr : found->second;
}

const RouteSpec* RoutingTable::Find(std::string_view host, std::string_view path) const {
  const auto found = by_host_.find(std::string(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const RouteSpec* route : found->second) {
    if (path.starts_with(route->prefix)) {
      return route;
    }
  }
  return nullptr;
}

const RouteSpec* FindRouteNaive(const RoutingTableSpec& spec, std::string_view host, std::string_view path) {
  const RouteSpec* best = nullptr;
  for (const auto& route : spec.routes) {
    if (route.host == host && path.starts_with(route.prefix) &&
        (best == nullptr || route.prefix.size() > best->prefix.size())) {
      best = &route;
    }
  }
  return best;
}

std::size_t WeightedChooser::Choose(const std::vector<WeightedService>& targets) {
  if (targets != targets_) {
    targets_ = targets;
    credit_.assign(targets.size(), 0.0);
  }
  if (targets.size() == 1) {
    return 0;
  }
  const double total =
      std::accumulate(targets.begin(), targets.end(), 0.0, [](double sum, const auto& t) { return sum + t.weight; });
  for (std::size_t i = 0; i < targets.size(); ++i) {
    credit_[i] += targets[i].weight;
  }
  const auto chosen = static_cast<std::size_t>(std::max_element(credit_.begin(), credit_.end()) - credit_.begin());
  credit_[chosen] -= total;
  return chosen;
}

}  // namespace pimentomoor
