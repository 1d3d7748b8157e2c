// The lists that operators edit and the catalogs of services: values, parsers and lookups.
//
// Each is one platform object in YAML. The parsers throw ConfigError that names source, line, key and value.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/snapshot_policy.h"
#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {

constexpr std::string_view kPlansKey = "config/plans";
constexpr std::string_view kAccessKey = "config/access";
constexpr std::string_view kOutagesKey = "config/outages";
constexpr std::string_view kCatalogPrefix = "catalog/";

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::uint64_t kMaxQueryDeadlineMs = 2'000;  // longest sub-query deadline, which a takeover waits for

/// Who wrote a version of a list: the optional top-level keys `writer` and `operator`.
struct ChangeStamp {
  std::string writer;         // random id of the conditional update
  std::string operator_name;  // the person or program that made the change

  friend bool operator==(const ChangeStamp&, const ChangeStamp&) = default;
};

struct CustomerPlan {
  std::string customer;
  std::string plan;

  friend bool operator==(const CustomerPlan&, const CustomerPlan&) = default;
};

/// Which plan each customer has.
struct CustomerPlans {
  std::vector<CustomerPlan> plans;  // ordered by customer, unique
  ChangeStamp stamp;

  friend bool operator==(const CustomerPlans&, const CustomerPlans&) = default;
};

/// What the customers of one plan may use. The limits hold for each customer by itself.
struct AccessPlan {
  std::string name;
  std::vector<std::string> services;  // names, or prefixes that end in '*'
  std::uint32_t queries_per_second = 0;
  std::uint32_t burst = 0;
  std::uint32_t concurrency = 0;
  std::uint32_t max_deadline_ms = 0;

  friend bool operator==(const AccessPlan&, const AccessPlan&) = default;
};

struct AccessPlans {
  std::vector<AccessPlan> plans;  // ordered by name, unique
  ChangeStamp stamp;

  friend bool operator==(const AccessPlans&, const AccessPlans&) = default;
};

/// What operators have taken out of service.
struct Outages {
  std::vector<std::string> failure_domains;  // ordered, unique
  std::vector<std::string> hosts;            // ordered, unique: host names, IP addresses or "IP:port"
  ChangeStamp stamp;

  friend bool operator==(const Outages&, const Outages&) = default;
};

/// One back-end server of a service.
struct CatalogUpstream {
  std::string address;  // "IP:port"
  std::string failure_domain;
  std::uint32_t slots = 0;        // requests that it runs at once
  std::uint32_t connections = 0;  // connections that it accepts
  std::uint32_t connect_ms = 0;   // cost of a new connection

  friend bool operator==(const CatalogUpstream&, const CatalogUpstream&) = default;
};

enum class ServiceKind {
  kSearch,   // idempotent, scattered over the shards of a snapshot
  kExecute,  // runs operations at most once
};

struct Catalog {
  std::string service;
  ServiceKind kind = ServiceKind::kSearch;
  std::vector<CatalogSnapshot> snapshots;  // ordered by version, unique
  std::vector<CatalogUpstream> upstreams;  // ordered by address, unique; each replica is one of them
  ChangeStamp stamp;

  friend bool operator==(const Catalog&, const Catalog&) = default;
};

/// `source` names the text in errors: a file name or an object key.
CustomerPlans ParseCustomerPlans(std::string_view text, std::string_view source);
AccessPlans ParseAccessPlans(std::string_view text, std::string_view source);
Outages ParseOutages(std::string_view text, std::string_view source);
Catalog ParseCatalog(std::string_view text, std::string_view source);

/// Only the stamp, of any of the lists; empty when the text is no list or has none. Never throws ConfigError.
ChangeStamp ParseStamp(std::string_view text);

/// YAML that ParseOutages reads back to an equal value.
std::string RenderOutages(const Outages& outages);

/// Returns `text` with its top-level writer and operator lines replaced by those of `stamp`, at the end.
std::string WithStamp(std::string_view text, const ChangeStamp& stamp);

/// The plan of a customer; null when it has none.
const std::string* FindCustomerPlan(const CustomerPlans& plans, std::string_view customer);

/// The limits of a plan; null when no plan has that name.
const AccessPlan* FindAccessPlan(const AccessPlans& access, std::string_view plan);

bool AllowsService(const AccessPlan& plan, std::string_view service);

/// The limits of a customer's plan; null when it has none or a list is null, that is, not known yet.
const AccessPlan* FindCustomerAccessPlan(const CustomerPlans* plans, const AccessPlans* access,
                                         std::string_view customer);

struct PlanDecision {
  const AccessPlan* plan = nullptr;  // null when the customer may not use the service
  std::string refusal;               // why; empty when it may
};

/// Whether a customer may use a service. A list that is null is not known yet.
PlanDecision FindAllowedPlan(const CustomerPlans* plans, const AccessPlans* access, const std::string& customer,
                             const std::string& service);

/// Whether an upstream or daemon is taken out. `host_or_address` is a host name, an IP address or "IP:port"; an IP
/// address in the list covers all of its ports.
bool IsInOutage(const Outages& outages, std::string_view host_or_address, std::string_view failure_domain);

/// The upstream at an address; null when the catalog has none.
const CatalogUpstream* FindUpstream(const Catalog& catalog, std::string_view address);

/// True for "IPv4:port" in its only spelling: four decimal numbers and a port from 1 to 65535, no leading zeros.
bool IsSocketAddress(std::string_view text);

/// An address in a settings file. Throw ConfigError when the text is none.
std::string ReadAddress(const YamlNode& node, std::string_view source, std::string_view path);
std::string RequireAddress(YamlMapReader& reader, std::string_view key);

}  // namespace pimentomoor
