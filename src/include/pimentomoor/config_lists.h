// The lists that operators edit and the catalogs of services: types, parsers and lookups.
//
// Each list and each catalog is one platform object in YAML. The parsers throw ConfigError that names source, line,
// key and value.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/snapshot_policy.h"
#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {

// Platform keys of the lists, and the prefix of the keys of catalogs, which the name of the service follows.
constexpr std::string_view kPlansKey = "config/plans";
constexpr std::string_view kAccessKey = "config/access";
constexpr std::string_view kOutagesKey = "config/outages";
constexpr std::string_view kCatalogPrefix = "catalog/";

constexpr std::size_t kMaxNameBytes = 128;
// Longest deadline of a query and of its sub-queries, which a takeover of their upstream waits for.
constexpr std::uint64_t kMaxQueryDeadlineMs = 2'000;

/// The writer of a version of a list: the optional top-level keys `writer` and `operator`.
struct ChangeStamp {
  std::string writer;         // random id of the conditional update that wrote the version
  std::string operator_name;  // the person or program that made the change

  friend bool operator==(const ChangeStamp&, const ChangeStamp&) = default;
};

struct CustomerPlan {
  std::string customer;
  std::string plan;

  friend bool operator==(const CustomerPlan&, const CustomerPlan&) = default;
};

/// The list at kPlansKey: the plan of each customer.
struct CustomerPlans {
  std::vector<CustomerPlan> plans;  // ordered by customer, which is unique
  ChangeStamp stamp;

  friend bool operator==(const CustomerPlans&, const CustomerPlans&) = default;
};

/// The services and limits of one plan. Each customer of the plan has these limits for itself.
struct AccessPlan {
  std::string name;
  std::vector<std::string> services;  // service names, or prefixes of them that end in '*'
  std::uint32_t queries_per_second = 0;
  std::uint32_t burst = 0;        // capacity of the token bucket for the rate, in queries
  std::uint32_t concurrency = 0;  // queries that may run at once
  std::uint32_t max_deadline_ms = 0;

  friend bool operator==(const AccessPlan&, const AccessPlan&) = default;
};

/// The list at kAccessKey: what each plan allows.
struct AccessPlans {
  std::vector<AccessPlan> plans;  // ordered by name, which is unique
  ChangeStamp stamp;

  friend bool operator==(const AccessPlans&, const AccessPlans&) = default;
};

/// The list at kOutagesKey: what operators have taken out of service.
struct Outages {
  std::vector<std::string> failure_domains;  // ordered, unique
  std::vector<std::string> hosts;            // ordered, unique; host names, IP addresses or "IP:port"
  ChangeStamp stamp;

  friend bool operator==(const Outages&, const Outages&) = default;
};

/// One back-end server of a service.
struct CatalogUpstream {
  std::string address;  // "IP:port"
  std::string failure_domain;
  std::uint32_t slots = 0;        // requests that the upstream runs at once
  std::uint32_t connections = 0;  // connections that the upstream accepts
  std::uint32_t connect_ms = 0;   // time to open a connection

  friend bool operator==(const CatalogUpstream&, const CatalogUpstream&) = default;
};

enum class ServiceKind {
  kSearch,   // idempotent, scattered over the shards of a snapshot
  kExecute,  // runs operations at most once
};

/// The snapshots and upstreams of one service.
struct Catalog {
  std::string service;
  ServiceKind kind = ServiceKind::kSearch;
  std::vector<CatalogSnapshot> snapshots;  // ordered by version, which is unique
  std::vector<CatalogUpstream> upstreams;  // ordered by address, which is unique; each replica is one of these
  ChangeStamp stamp;

  friend bool operator==(const Catalog&, const Catalog&) = default;
};

/// `source` names the text in errors: a file name or an object key.
CustomerPlans ParseCustomerPlans(std::string_view text, std::string_view source);
AccessPlans ParseAccessPlans(std::string_view text, std::string_view source);
Outages ParseOutages(std::string_view text, std::string_view source);
Catalog ParseCatalog(std::string_view text, std::string_view source);

/// Reads only the stamp of a list or catalog. The result is empty when the text is not valid or has no stamp; no
/// ConfigError is thrown.
ChangeStamp ParseStamp(std::string_view text);

/// Formats `outages` as YAML that ParseOutages() parses to an equal value.
std::string RenderOutages(const Outages& outages);

/// Returns `text` without its top-level writer and operator lines, followed by those of `stamp`.
std::string WithStamp(std::string_view text, const ChangeStamp& stamp);

/// Returns the name of a customer's plan; null when the customer has none.
const std::string* FindCustomerPlan(const CustomerPlans& plans, std::string_view customer);

/// Returns the plan with the name `plan`; null when there is none.
const AccessPlan* FindAccessPlan(const AccessPlans& access, std::string_view plan);

/// Whether the customers of a plan may use a service.
bool AllowsService(const AccessPlan& plan, std::string_view service);

/// Returns the plan of a customer with its limits; null when the customer has none, or when a list is null because it
/// is not known yet.
const AccessPlan* FindCustomerAccessPlan(const CustomerPlans* plans, const AccessPlans* access,
                                         std::string_view customer);

/// The plan under which a customer may use a service, or the reason why it may not.
struct PlanDecision {
  const AccessPlan* plan = nullptr;  // null when the customer may not use the service
  std::string refusal;               // reason of the refusal; empty when the customer may use the service
};

/// Decides whether a customer may use a service. A null list is one that is not known yet, which is a refusal.
PlanDecision FindAllowedPlan(const CustomerPlans* plans, const AccessPlans* access, const std::string& customer,
                             const std::string& service);

/// Whether operators have taken an upstream or daemon out of service. `host_or_address` is a host name, an IP address
/// or "IP:port"; an IP address in `outages` covers all ports of that address.
bool IsInOutage(const Outages& outages, std::string_view host_or_address, std::string_view failure_domain);

/// Returns the upstream at an address; null when the catalog has none.
const CatalogUpstream* FindUpstream(const Catalog& catalog, std::string_view address);

/// Whether `text` is "IPv4:port" in its canonical spelling: four decimal numbers and a port from 1 to 65535, all
/// without leading zeros.
bool IsSocketAddress(std::string_view text);

/// Read an "IP:port" from a settings file. Both throw ConfigError when the value is not an address; `path` names the
/// value in the error.
std::string ReadAddress(const YamlNode& node, std::string_view source, std::string_view path);
std::string RequireAddress(YamlMapReader& reader, std::string_view key);

}  // namespace pimentomoor
