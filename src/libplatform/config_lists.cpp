// Implements the parsers of the operators' lists and of catalogs, and the lookups in them.
#include "pimentomoor/config_lists.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <functional>

namespace pimentomoor {
namespace {

// Limits on counts and values. They exceed the needs of the target deployment (75,000 upstreams over all services)
// and are low enough that a malformed text costs little before it is refused. The 1 MB limit on the text usually
// applies first.
constexpr std::size_t kMaxCustomers = 20'000;
constexpr std::size_t kMaxPlans = 1'000;
constexpr std::size_t kMaxServicesPerPlan = 1'000;
constexpr std::size_t kMaxOutageEntries = 10'000;
constexpr std::size_t kMaxSnapshots = 16;
constexpr std::size_t kMaxShards = 10'000;
constexpr std::size_t kMaxReplicas = 32;
constexpr std::size_t kMaxUpstreams = 10'000;
constexpr std::uint64_t kMaxPlanLimit = 10'000'000;  // queries per second, burst and concurrency of a plan
constexpr std::uint64_t kMaxUpstreamLimit = 10'000;  // slots and connections of an upstream
constexpr std::uint64_t kMaxConnectMs = 10'000;
constexpr std::uint64_t kMaxVersion = INT64_MAX;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' ||
         c == '-';
}

bool IsName(std::string_view text) { return !text.empty() && std::all_of(text.begin(), text.end(), IsNameCharacter); }

std::string ItemPath(std::string_view list, std::size_t index) {
  return std::string(list) + "[" + std::to_string(index) + "]";
}

std::string RequireName(YamlMapReader& map, std::string_view key) {
  std::string name = map.RequireText(key, kMaxNameBytes);
  if (!IsName(name)) {
    map.Fail(map.Require(key).line, key,
             QuoteForError(name) + " has a character other than letters, digits, '.', '_' and '-'");
  }
  return name;
}

std::string ReadUpstreamAddress(const YamlNode& node, std::string_view source, std::string_view path) {
  std::string address = ReadYamlText(node, source, path, kMaxNameBytes);
  if (!IsSocketAddress(address)) {
    throw ConfigError(source, node.line, path, QuoteForError(address) + " is not \"IP:port\"");
  }
  return address;
}

ChangeStamp ReadStamp(YamlMapReader& map) {
  map.Find("operator");  // marks the key as known even if reading `writer` throws
  return {.writer = map.OptionalText("writer", kMaxNameBytes),
          .operator_name = map.OptionalText("operator", kMaxNameBytes)};
}

/// Orders `values` by `name` and reports equal names in `findings`. `nodes` are the items of the list; `item_indexes`
/// has the index of the item that each value was read from.
template <typename Value, typename Name>
void SortUnique(std::vector<Value>& values, const std::vector<std::size_t>& item_indexes,
                const std::vector<YamlNode>& nodes, std::string_view source, const std::string& list, Name name,
                ConfigFindings& findings) {
  std::vector<std::size_t> order(values.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return name(values[a]) < name(values[b]); });
  std::vector<Value> sorted;
  sorted.reserve(values.size());
  for (const std::size_t i : order) {
    if (!sorted.empty() && name(sorted.back()) == name(values[i])) {
      std::string quoted_name;
      if constexpr (std::is_convertible_v<decltype(name(values[i])), std::string_view>) {
        quoted_name = QuoteForError(name(values[i]));
      } else {
        quoted_name = std::to_string(name(values[i]));
      }
      findings.CollectErrors([&] {
        throw ConfigError(source, nodes[item_indexes[i]].line, ItemPath(list, item_indexes[i]),
                          quoted_name + " is listed twice");
      });
      if (findings.full()) {
        break;
      }
    }
    sorted.push_back(std::move(values[i]));
  }
  values = std::move(sorted);
}

/// Reads each item of `list` with `read(node, path)`, orders the values by `name` and refuses equal names. Throws one
/// ConfigError with the findings of all items.
template <typename Read, typename Name>
auto ReadList(const std::vector<YamlNode>& items, std::string_view source, const std::string& list, Read read,
              Name name) {
  std::vector<decltype(read(items[0], list))> values;
  std::vector<std::size_t> item_indexes;
  ConfigFindings findings;
  values.reserve(items.size());
  item_indexes.reserve(items.size());
  for (std::size_t i = 0; i < items.size() && !findings.full(); ++i) {
    if (findings.CollectErrors([&] { values.push_back(read(items[i], ItemPath(list, i))); })) {
      item_indexes.push_back(i);
    }
  }
  SortUnique(values, item_indexes, items, source, list, name, findings);
  findings.ThrowIfAny();
  return values;
}

std::vector<std::string> ReadNames(YamlMapReader& map, std::string_view key, std::string_view source,
                                   std::size_t max_items, const std::function<bool(std::string_view)>& valid,
                                   std::string_view expected) {
  return ReadList(
      map.OptionalSequence(key, max_items), source, map.PathOf(key),
      [&](const YamlNode& item, const std::string& path) {
        std::string name = ReadYamlText(item, source, path, kMaxNameBytes);
        if (!valid(name)) {
          throw ConfigError(source, item.line, path, QuoteForError(name) + " is not " + std::string(expected));
        }
        return name;
      },
      [](const std::string& name) -> const std::string& { return name; });
}

bool IsServicePattern(std::string_view text) {
  if (text.ends_with('*')) {
    text.remove_suffix(1);
    return text.empty() || IsName(text);
  }
  return IsName(text);
}

bool IsIpAddress(const std::string& text) {
  in_addr address{};
  // inet_pton stops at a NUL, so bytes after one would give the same address a second spelling.
  return text.find('\0') == std::string::npos && inet_pton(AF_INET, text.c_str(), &address) == 1;
}

/// Returns the IP address of "IP:port"; an empty view for a text without a port.
std::string_view IpPart(std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  return address.substr(0, colon);
}

CustomerPlan ReadCustomerPlan(const YamlNode& node, std::string_view source, const std::string& path) {
  YamlMapReader map(node, source, path);
  CustomerPlan plan;
  map.CollectErrors([&] { plan.customer = map.RequireText("customer", kMaxNameBytes); });
  map.CollectErrors([&] { plan.plan = RequireName(map, "plan"); });
  map.Finish();
  return plan;
}

AccessPlan ReadAccessPlan(const YamlNode& node, std::string_view source, const std::string& path) {
  YamlMapReader map(node, source, path);
  AccessPlan plan;
  map.CollectErrors([&] { plan.name = RequireName(map, "name"); });
  map.CollectErrors([&] {
    map.Require("services");
    plan.services = ReadNames(map, "services", source, kMaxServicesPerPlan, IsServicePattern,
                              "a service name or a prefix that ends in '*'");
  });
  const auto read = [&map](std::uint32_t& value, std::string_view key, std::uint64_t max) {
    map.CollectErrors([&] { value = static_cast<std::uint32_t>(map.RequireUnsigned(key, 1, max)); });
  };
  read(plan.queries_per_second, "queries_per_second", kMaxPlanLimit);
  read(plan.burst, "burst", kMaxPlanLimit);
  read(plan.concurrency, "concurrency", kMaxPlanLimit);
  read(plan.max_deadline_ms, "max_deadline_ms", kMaxQueryDeadlineMs);
  map.Finish();
  return plan;
}

CatalogUpstream ReadUpstream(const YamlNode& node, std::string_view source, const std::string& path) {
  YamlMapReader map(node, source, path);
  CatalogUpstream upstream;
  upstream.address = ReadUpstreamAddress(map.Require("address"), source, map.PathOf("address"));
  upstream.failure_domain = RequireName(map, "failure_domain");
  upstream.slots = static_cast<std::uint32_t>(map.RequireUnsigned("slots", 1, kMaxUpstreamLimit));
  upstream.connections = static_cast<std::uint32_t>(map.RequireUnsigned("connections", 1, kMaxUpstreamLimit));
  upstream.connect_ms = static_cast<std::uint32_t>(map.OptionalUnsigned("connect_ms", 0, 0, kMaxConnectMs));
  map.RefuseUnknownKeys();
  return upstream;
}

ShardReplicas ReadShard(const YamlNode& node, std::string_view source, const std::string& path,
                        const Catalog& catalog) {
  YamlMapReader map(node, source, path);
  ShardReplicas shard;
  shard.shard = static_cast<std::uint32_t>(map.RequireUnsigned("shard", 0, UINT32_MAX));
  const auto& replicas = map.RequireSequence("replicas", kMaxReplicas);
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    const std::string replica_path = ItemPath(map.PathOf("replicas"), i);
    std::string address = ReadUpstreamAddress(replicas[i], source, replica_path);
    if (FindUpstream(catalog, address) == nullptr) {
      throw ConfigError(source, replicas[i].line, replica_path, QuoteForError(address) + " is not in 'upstreams'");
    }
    if (std::find(shard.upstreams.begin(), shard.upstreams.end(), address) != shard.upstreams.end()) {
      throw ConfigError(source, replicas[i].line, replica_path, QuoteForError(address) + " is listed twice");
    }
    shard.upstreams.push_back(std::move(address));
  }
  map.RefuseUnknownKeys();
  return shard;
}

CatalogSnapshot ReadSnapshot(const YamlNode& node, std::string_view source, const std::string& path,
                             const Catalog& catalog) {
  YamlMapReader map(node, source, path);
  CatalogSnapshot snapshot;
  snapshot.version = map.RequireUnsigned("version", 1, kMaxVersion);
  snapshot.shards = ReadList(
      map.RequireSequence("shards", kMaxShards), source, map.PathOf("shards"),
      [&](const YamlNode& item, const std::string& item_path) { return ReadShard(item, source, item_path, catalog); },
      [](const ShardReplicas& shard) { return shard.shard; });
  map.RefuseUnknownKeys();
  return snapshot;
}

ServiceKind ReadKind(YamlMapReader& map) {
  const std::string kind = map.RequireText("kind", kMaxNameBytes);
  if (kind != "search" && kind != "execute") {
    map.Fail(map.Require("kind").line, "kind", QuoteForError(kind) + " is neither 'search' nor 'execute'");
  }
  return kind == "search" ? ServiceKind::kSearch : ServiceKind::kExecute;
}

}  // namespace

CustomerPlans ParseCustomerPlans(std::string_view text, std::string_view source) {
  const YamlNode root = ParseStrictYaml(text, source);
  YamlMapReader map(root, source, "");
  CustomerPlans result;
  map.CollectErrors([&] {
    result.plans = ReadList(
        map.RequireSequence("plans", kMaxCustomers), source, "plans",
        [&](const YamlNode& item, const std::string& path) { return ReadCustomerPlan(item, source, path); },
        [](const CustomerPlan& plan) -> const std::string& { return plan.customer; });
  });
  map.CollectErrors([&] { result.stamp = ReadStamp(map); });
  map.Finish();
  return result;
}

AccessPlans ParseAccessPlans(std::string_view text, std::string_view source) {
  const YamlNode root = ParseStrictYaml(text, source);
  YamlMapReader map(root, source, "");
  AccessPlans result;
  map.CollectErrors([&] {
    result.plans = ReadList(
        map.RequireSequence("plans", kMaxPlans), source, "plans",
        [&](const YamlNode& item, const std::string& path) { return ReadAccessPlan(item, source, path); },
        [](const AccessPlan& plan) -> const std::string& { return plan.name; });
  });
  map.CollectErrors([&] { result.stamp = ReadStamp(map); });
  map.Finish();
  return result;
}

Outages ParseOutages(std::string_view text, std::string_view source) {
  const YamlNode root = ParseStrictYaml(text, source);
  YamlMapReader map(root, source, "");
  Outages result;
  // Both lists are required: a truncated text, read as one with an empty list, would bring hosts back into service.
  map.CollectErrors([&] {
    map.Require("failure_domains");
    result.failure_domains =
        ReadNames(map, "failure_domains", source, kMaxOutageEntries, IsName, "the name of a failure domain");
  });
  map.CollectErrors([&] {
    map.Require("hosts");
    result.hosts = ReadNames(
        map, "hosts", source, kMaxOutageEntries,
        [](std::string_view host) { return IsName(host) || IsSocketAddress(host) || IsIpAddress(std::string(host)); },
        "a host name, an IP address or \"IP:port\"");
  });
  map.CollectErrors([&] { result.stamp = ReadStamp(map); });
  map.Finish();
  return result;
}

Catalog ParseCatalog(std::string_view text, std::string_view source) {
  const YamlNode root = ParseStrictYaml(text, source);
  YamlMapReader map(root, source, "");
  Catalog result;
  result.service = RequireName(map, "service");
  result.kind = ReadKind(map);
  result.upstreams = ReadList(
      map.RequireSequence("upstreams", kMaxUpstreams), source, "upstreams",
      [&](const YamlNode& item, const std::string& path) { return ReadUpstream(item, source, path); },
      [](const CatalogUpstream& upstream) -> const std::string& { return upstream.address; });
  const auto& snapshots = result.kind == ServiceKind::kSearch ? map.RequireSequence("snapshots", kMaxSnapshots)
                                                              : map.OptionalSequence("snapshots", kMaxSnapshots);
  result.snapshots = ReadList(
      snapshots, source, "snapshots",
      [&](const YamlNode& item, const std::string& path) { return ReadSnapshot(item, source, path, result); },
      [](const CatalogSnapshot& snapshot) { return snapshot.version; });
  result.stamp = ReadStamp(map);
  map.RefuseUnknownKeys();
  return result;
}

ChangeStamp ParseStamp(std::string_view text) {
  try {
    const YamlNode root = ParseStrictYaml(text, "stamp");
    YamlMapReader map(root, "stamp", "");
    return ReadStamp(map);
  } catch (const ConfigError&) {
    return {};
  }
}

std::string RenderOutages(const Outages& outages) {
  const auto list = [](const std::vector<std::string>& names) {
    std::string text = "[";
    for (const std::string& name : names) {
      text += (text.size() > 1 ? ", \"" : "\"") + name + "\"";
    }
    return text + "]\n";
  };
  const std::string text = "failure_domains: " + list(outages.failure_domains) + "hosts: " + list(outages.hosts);
  return outages.stamp == ChangeStamp{} ? text : WithStamp(text, outages.stamp);
}

std::string WithStamp(std::string_view text, const ChangeStamp& stamp) {
  const auto quoted = [](const std::string& value) {
    std::string result = "\"";
    for (const char c : value) {
      if (c == '"' || c == '\\') {
        result += '\\';
      }
      result += c;
    }
    return result + "\"\n";
  };
  std::string result;
  while (!text.empty()) {
    const auto end = text.find('\n');
    const std::string_view line = text.substr(0, end == std::string_view::npos ? text.size() : end + 1);
    text.remove_prefix(line.size());
    if (!line.starts_with("writer:") && !line.starts_with("operator:")) {
      result += line;
    }
  }
  if (!result.empty() && result.back() != '\n') {
    result += '\n';
  }
  if (!stamp.writer.empty()) {
    result += "writer: " + quoted(stamp.writer);
  }
  if (!stamp.operator_name.empty()) {
    result += "operator: " + quoted(stamp.operator_name);
  }
  return result;
}

const std::string* FindCustomerPlan(const CustomerPlans& plans, std::string_view customer) {
  const auto found =
      std::lower_bound(plans.plans.begin(), plans.plans.end(), customer,
                       [](const CustomerPlan& plan, std::string_view name) { return plan.customer < name; });
  return found == plans.plans.end() || found->customer != customer ? nullptr : &found->plan;
}

const AccessPlan* FindAccessPlan(const AccessPlans& access, std::string_view plan) {
  const auto found =
      std::lower_bound(access.plans.begin(), access.plans.end(), plan,
                       [](const AccessPlan& candidate, std::string_view name) { return candidate.name < name; });
  return found == access.plans.end() || found->name != plan ? nullptr : &*found;
}

bool AllowsService(const AccessPlan& plan, std::string_view service) {
  return std::any_of(plan.services.begin(), plan.services.end(), [&](std::string_view pattern) {
    return pattern.ends_with('*') ? service.starts_with(pattern.substr(0, pattern.size() - 1)) : service == pattern;
  });
}

const AccessPlan* FindCustomerAccessPlan(const CustomerPlans* plans, const AccessPlans* access,
                                         std::string_view customer) {
  const std::string* name = plans == nullptr ? nullptr : FindCustomerPlan(*plans, customer);
  return name == nullptr || access == nullptr ? nullptr : FindAccessPlan(*access, *name);
}

PlanDecision FindAllowedPlan(const CustomerPlans* plans, const AccessPlans* access, const std::string& customer,
                             const std::string& service) {
  if (plans == nullptr || access == nullptr) {
    return {.refusal = "no configuration"};
  }
  const std::string* name = FindCustomerPlan(*plans, customer);
  if (name == nullptr) {
    return {.refusal = "customer '" + customer + "' has no plan"};
  }
  const AccessPlan* plan = FindAccessPlan(*access, *name);
  if (plan == nullptr || !AllowsService(*plan, service)) {
    return {.refusal = "plan '" + *name + "' may not use service '" + service + "'"};
  }
  return {.plan = plan};
}

bool IsInOutage(const Outages& outages, std::string_view host_or_address, std::string_view failure_domain) {
  const auto contains = [](const std::vector<std::string>& names, std::string_view name) {
    return !name.empty() && std::binary_search(names.begin(), names.end(), name, std::less<>());
  };
  return contains(outages.failure_domains, failure_domain) || contains(outages.hosts, host_or_address) ||
         contains(outages.hosts, IpPart(host_or_address));
}

const CatalogUpstream* FindUpstream(const Catalog& catalog, std::string_view address) {
  const auto found = std::lower_bound(
      catalog.upstreams.begin(), catalog.upstreams.end(), address,
      [](const CatalogUpstream& upstream, std::string_view wanted) { return upstream.address < wanted; });
  return found == catalog.upstreams.end() || found->address != address ? nullptr : &*found;
}

bool IsSocketAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view port_text = text.substr(colon + 1);
  unsigned port = 0;
  const auto [rest, error] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  // A leading zero would give one upstream two spellings, and so two owners, each with its own set of slots.
  if (error != std::errc() || rest != port_text.data() + port_text.size() || port_text.front() == '0' ||
      port > 65'535) {
    return false;
  }
  return IsIpAddress(std::string(text.substr(0, colon)));
}

std::string ReadAddress(const YamlNode& node, std::string_view source, std::string_view path) {
  std::string address = ReadYamlText(node, source, path, kMaxNameBytes);
  if (!IsSocketAddress(address)) {
    throw ConfigError(source, node.line, path, QuoteForError(address) + " is not an IP number and a port");
  }
  return address;
}

std::string RequireAddress(YamlMapReader& reader, std::string_view key) {
  std::string address = reader.RequireText(key, kMaxNameBytes);
  if (!IsSocketAddress(address)) {
    reader.Fail(reader.Require(key).line, key, QuoteForError(address) + " is not an IP number and a port");
  }
  return address;
}

}  // namespace pimentomoor
