// The routing table: says for each request which service, split over several services or set of shards answers it,
// and within which limits. A RoutingTable is one version and immutable; a request uses the version with which it
// started.
#pragma once

#include <cstdint>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pimentomoor/clock.h"
#include "pimentomoor/customer.h"

namespace pimentomoor {

/// One service of a split and its weight.
struct WeightedService {
  std::string service;
  double weight = 1.0;

  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// A route: the requests that it matches and how they are answered. The platform codec reads it from the published
/// routing object, which names some fields differently.
struct RouteSpec {
  std::string name;
  std::string host;                              // host of the request, in lower case
  std::string prefix;                            // prefix of the request's path; begins and ends with a slash
  bool idempotent = false;                       // a request may run more than once
  Duration timeout = std::chrono::seconds(5);    // longest time after which a request is answered
  Duration objective = std::chrono::seconds(1);  // target latency; a merged answer may lack late shards after it
  unsigned max_attempts = 1;                     // upstreams on which a request may run, for each shard
  unsigned priority = 0;                         // 0 is the highest priority
  bool is_public = false;                        // requests need no key, even when the table names customers
  // Exactly one of `targets` and `shards` is not empty.
  std::vector<WeightedService> targets;  // one service, or several among which the requests are split by weight
  std::vector<std::string> shards;       // services that all answer a request; their records are merged
  std::size_t top_records = 0;           // number of records in a merged answer
  double min_shard_share = 1.0;          // share of the shards that must have answered for a success

  friend bool operator==(const RouteSpec&, const RouteSpec&) = default;
};

/// A service to which routes send requests.
struct RoutedServiceSpec {
  std::string name;
  std::string health_path;         // path of the health endpoint of its upstreams
  unsigned max_connections = 1;    // connections that one upstream accepts from all daemons together
  Duration cold_duration{};        // time after its start for which an upstream is cold
  double cold_requests_per_s = 0;  // requests per second that a cold upstream can take; 0: not limited

  friend bool operator==(const RoutedServiceSpec&, const RoutedServiceSpec&) = default;
};

/// Limits on the requests of callers.
struct CallerLimits {
  std::uint32_t head_bytes = 16 * 1024;                   // largest request head
  std::uint64_t body_bytes = std::uint64_t{1024} * 1024;  // largest request body
  Duration head_timeout = std::chrono::seconds(10);       // time for a request head to arrive
  Duration idle_timeout = std::chrono::seconds(30);       // time without a request after which a connection is closed

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// The contents of one version of the routing table.
struct RoutingTableSpec {
  std::uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::vector<RoutedServiceSpec> services;
  // Names differ, because shares and caps are kept by name.
  std::vector<CustomerSpec> customers;
  // The table has a list of customers, of which none may be usable. Requests need a key then, too.
  bool lists_customers = false;
  std::size_t unusable_customers = 0;  // customers and keys that were left out, because they are malformed
  CallerLimits limits;

  friend bool operator==(const RoutingTableSpec&, const RoutingTableSpec&) = default;
};

/// One version of the routing table, indexed for lookups.
class RoutingTable {
 public:
  explicit RoutingTable(RoutingTableSpec spec);

  [[nodiscard]] std::uint64_t version() const { return spec_.version; }
  [[nodiscard]] const CallerLimits& limits() const { return spec_.limits; }
  [[nodiscard]] const RoutingTableSpec& spec() const { return spec_; }

  /// The route of `host` with the longest prefix of `path`; null when there is none. Of routes with the same prefix,
  /// the first one in the table.
  [[nodiscard]] const RouteSpec* Find(std::string_view host, std::string_view path) const;

  /// Whether requests on routes that are not public need the key of a customer.
  [[nodiscard]] bool requires_keys() const { return spec_.lists_customers || !spec_.customers.empty(); }
  /// The customer that holds the key; null when there is none. Of several customers, the first one in the table.
  [[nodiscard]] const CustomerSpec* FindCustomer(std::string_view key) const;
  /// Number of keys that an earlier customer of the table holds, too.
  [[nodiscard]] std::size_t repeated_keys() const { return repeated_keys_; }

 private:
  // Compares digests in constant time.
  struct EqualDigests {
    bool operator()(const KeyDigest& left, const KeyDigest& right) const;
  };
  // Any bytes of a digest are a hash of the key.
  struct HashDigest {
    std::size_t operator()(const KeyDigest& digest) const {
      std::size_t hash = 0;
      std::memcpy(&hash, digest.data(), sizeof(hash));
      return hash;
    }
  };

  RoutingTableSpec spec_;
  // Routes of each host, with the longest prefix first. The pointers refer to spec_.
  std::unordered_map<std::string, std::vector<const RouteSpec*>> by_host_;
  // The customer that holds each key. The pointers refer to spec_.
  std::unordered_map<KeyDigest, const CustomerSpec*, HashDigest, EqualDigests> by_key_;
  std::size_t repeated_keys_ = 0;
};

/// The same lookup by a scan over all routes; the baseline in tests.
const RouteSpec* FindRouteNaive(const RoutingTableSpec& spec, std::string_view host, std::string_view path);

/// Decides whether a request may run. On a public route it runs without a key, and a valid key still names its
/// customer. `route` belongs to `table`.
AccessDecision DecideAccess(const RoutingTable& table, const RouteSpec& route, const PresentedKey& key);

/// RoutingTable::FindCustomer() by a scan over all customers; the baseline in tests.
const CustomerSpec* FindCustomerNaive(const RoutingTableSpec& spec, std::string_view key);

/// Smooth weighted round robin: after n choices, the number of choices of each target differs by less than one from
/// its share of n.
class WeightedChooser {
 public:
  /// Returns an index into `targets`, which must not be empty. The state is reset when `targets` differs from the
  /// last call.
  std::size_t Choose(const std::vector<WeightedService>& targets);

 private:
  std::vector<WeightedService> targets_;
  std::vector<double> credit_;  // accumulated weight of each target minus its choices; the sum is 0
};

}  // namespace pimentomoor
