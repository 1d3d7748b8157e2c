// The routing table in force: which service, split of services or set of shards answers a request, and within which
// limits. One version is immutable; a request keeps the version that it began with.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// One target of a route and its part of the requests.
struct WeightedService {
  std::string service;
  double weight = 1.0;

  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

struct RouteSpec {
  std::string name;
  std::string host;    // in lower case
  std::string prefix;  // begins and ends with a slash
  bool idempotent = false;
  Duration timeout = std::chrono::seconds(5);    // longest time that a request is kept waiting
  Duration objective = std::chrono::seconds(1);  // an answer within this time earns its full worth
  unsigned max_attempts = 1;                     // searchers, for each shard, that one request may run on
  unsigned priority = 0;                         // 0 is the highest
  // Exactly one of the two is not empty.
  std::vector<WeightedService> targets;  // one service, or a split by weight
  std::vector<std::string> shards;       // services that all answer; their records are merged
  std::size_t top_records = 0;           // records in a merged answer
  double min_shard_share = 1.0;          // share of the shards without which an answer is no success

  friend bool operator==(const RouteSpec&, const RouteSpec&) = default;
};

struct RoutedServiceSpec {
  std::string name;
  std::string health_path;
  unsigned max_connections = 1;    // to one searcher, from all callers together
  Duration cold_duration{};        // after the start of a searcher
  double cold_requests_per_s = 0;  // requests per second that a cold searcher bears; 0 states no limit

  friend bool operator==(const RoutedServiceSpec&, const RoutedServiceSpec&) = default;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
  std::uint32_t head_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{1024} * 1024;
  Duration head_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(30);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

struct RoutingTableSpec {
  std::uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::vector<RoutedServiceSpec> services;
  CallerLimits limits;

  friend bool operator==(const RoutingTableSpec&, const RoutingTableSpec&) = default;
};

class RoutingTable {
 public:
  explicit RoutingTable(RoutingTableSpec spec);

  [[nodiscard]] std::uint64_t version() const { return spec_.version; }
  [[nodiscard]] const CallerLimits& limits() const { return spec_.limits; }
  [[nodiscard]] const RoutingTableSpec& spec() const { return spec_; }

  /// The route of `host` whose prefix is the longest that begins `path`; null when there is none.
  [[nodiscard]] const RouteSpec* Find(std::string_view host, std::string_view path) const;

 private:
  RoutingTableSpec spec_;
  // Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const RouteSpec*>> by_host_;
};

/// The same decision by a scan over all routes; the baseline in tests.
const RouteSpec* FindRouteNaive(const RoutingTableSpec& spec, std::string_view host, std::string_view path);

/// Chooses targets in proportion to their weights: after n choices each has its share within one choice.
class WeightedChooser {
 public:
  /// Index into `targets`, which must not be empty. The state is kept while the weights stay the same.
  std::size_t Choose(const std::vector<WeightedService>& targets);

 private:
  std::vector<WeightedService> targets_;
  std::vector<double> credit_;  // sums to 0
};

}  // namespace pimentomoor
