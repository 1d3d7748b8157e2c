// Parsing of deployment descriptions and writing of catalog objects.
#include "deployment.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace pimentomoor {
namespace {

constexpr std::size_t kMaxUpstreams = 1'000;  // one process listens on a port for each upstream

[[noreturn]] void Fail(const YAML::Node& node, const std::string& what) {
  throw std::runtime_error("deployment description, line " + std::to_string(node.Mark().line + 1) + ": " + what);
}

void CheckKeys(const YAML::Node& node, const std::set<std::string>& known) {
  if (!node.IsMap()) {
    Fail(node, "expected a map");
  }
  for (const auto& item : node) {
    const auto key = item.first.as<std::string>();
    if (!known.contains(key)) {
      Fail(item.first, "unknown key '" + key + "'");
    }
  }
}

template <typename T>
T GetOrDefault(const YAML::Node& node, const std::string& key, T fallback) {
  if (!node[key]) {
    return fallback;
  }
  try {
    return node[key].as<T>();
  } catch (const YAML::Exception&) {
    Fail(node[key], "bad value for '" + key + "'");
  }
}

template <typename T>
T Require(const YAML::Node& node, const std::string& key) {
  if (!node[key]) {
    Fail(node, "missing key '" + key + "'");
  }
  return GetOrDefault<T>(node, key, T{});
}

Duration Milliseconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

Duration GetMilliseconds(const YAML::Node& node, const std::string& key, Duration fallback) {
  return node[key] ? Milliseconds(GetOrDefault<double>(node, key, 0)) : fallback;
}

std::vector<SnapshotSpec> ParseSnapshots(const YAML::Node& node, std::uint32_t shards) {
  std::vector<SnapshotSpec> result;
  for (const auto& item : node["snapshots"]) {
    CheckKeys(item, {"version", "shards", "published"});
    result.push_back({.version = Require<std::uint64_t>(item, "version"),
                      .shard_count = GetOrDefault<std::uint32_t>(item, "shards", shards),
                      .published = GetOrDefault<bool>(item, "published", true)});
  }
  if (result.empty()) {
    result.push_back({.version = 1, .shard_count = shards});
  }
  return result;
}

UpstreamSpec ParseUpstream(const YAML::Node& node, Duration response_delay) {
  UpstreamSpec spec;
  spec.slots = GetOrDefault<std::size_t>(node, "slots", spec.slots);
  spec.max_queued = GetOrDefault<std::size_t>(node, "queue", spec.slots);
  spec.max_connections = GetOrDefault<std::size_t>(node, "connections", spec.max_connections);
  spec.connect_delay = GetMilliseconds(node, "connect_ms", spec.connect_delay);
  spec.median_service_time = GetMilliseconds(node, "median_ms", spec.median_service_time);
  spec.service_time_sigma = GetOrDefault<double>(node, "sigma", spec.service_time_sigma);
  spec.cold_requests = GetOrDefault<std::uint64_t>(node, "cold_requests", spec.cold_requests);
  spec.cold_factor = GetOrDefault<double>(node, "cold_factor", spec.cold_factor);
  spec.straggler_probability = GetOrDefault<double>(node, "straggler_probability", spec.straggler_probability);
  spec.straggler_factor = GetOrDefault<double>(node, "straggler_factor", spec.straggler_factor);
  spec.response_delay = response_delay;
  if (spec.slots == 0 || spec.max_connections == 0) {
    Fail(node, "slots and connections must be at least 1");
  }
  return spec;
}

std::string ServiceName(const std::string& name, std::size_t index, std::size_t count) {
  if (count == 1) {
    return name;
  }
  char number[24];
  std::snprintf(number, sizeof number, "-%02zu", index + 1);
  return name + number;
}

// Where the next upstream is placed. Port 0 stays 0, so that each upstream takes a free port.
struct NextPlacement {
  std::uint16_t port = 0;
  std::size_t domain_offset = 0;
};

void AddServices(const YAML::Node& node, Duration response_delay, NextPlacement& next, Deployment& deployment) {
  CheckKeys(node, {"name", "count", "kind", "searchers", "shards", "replicas", "slots", "queue", "connections",
                   "connect_ms", "median_ms", "sigma", "cold_requests", "cold_factor", "straggler_probability",
                   "straggler_factor", "snapshots"});
  const auto kind = GetOrDefault<std::string>(node, "kind", "search");
  if (kind != "search" && kind != "execute") {
    Fail(node["kind"], "kind must be 'search' or 'execute', not '" + kind + "'");
  }
  const auto count = GetOrDefault<std::size_t>(node, "count", 1);
  const auto searchers = Require<std::size_t>(node, "searchers");
  const auto shards = GetOrDefault<std::uint32_t>(node, "shards", 1);
  for (std::size_t i = 0; i < count; ++i) {
    ServiceSpec service{.name = ServiceName(Require<std::string>(node, "name"), i, count),
                        .runs_operations = kind == "execute",
                        .replicas_per_shard = std::min(searchers, GetOrDefault<std::size_t>(node, "replicas", 2)),
                        .snapshots = ParseSnapshots(node, shards)};
    for (std::size_t position = 0; position < searchers; ++position) {
      UpstreamSpec upstream = ParseUpstream(node, response_delay);
      upstream.address = "127.0.0.1:" + std::to_string(next.port);
      next.port += next.port == 0 ? 0 : 1;
      upstream.service = service.name;
      upstream.position = position;
      upstream.runs_operations = service.runs_operations;
      upstream.failure_domain = deployment.failure_domains[FailureDomainIndex(
          position, searchers, deployment.failure_domains.size(), next.domain_offset)];
      service.upstreams.push_back(upstream);
    }
    ++next.domain_offset;
    if (deployment.FindService(service.name) != nullptr) {
      Fail(node, "service '" + service.name + "' is listed twice");
    }
    deployment.services.push_back(std::move(service));
  }
}

std::size_t CountUpstreams(const Deployment& deployment) {
  std::size_t count = 0;
  for (const auto& service : deployment.services) {
    count += service.upstreams.size();
  }
  return count;
}

}  // namespace

std::vector<std::size_t> ServiceSpec::ReplicaPositions(std::uint32_t shard) const {
  std::vector<std::size_t> result;
  for (std::size_t i = 0; i < replicas_per_shard; ++i) {
    result.push_back((shard + i) % upstreams.size());
  }
  return result;
}

std::set<std::uint32_t> ServiceSpec::ShardsAtPosition(const SnapshotSpec& snapshot, std::size_t position) const {
  std::set<std::uint32_t> result;
  for (std::uint32_t shard = 0; shard < snapshot.shard_count; ++shard) {
    const auto holders = ReplicaPositions(shard);
    if (std::find(holders.begin(), holders.end(), position) != holders.end()) {
      result.insert(shard);
    }
  }
  return result;
}

const SnapshotSpec* ServiceSpec::FindSnapshot(std::uint64_t version) const {
  const auto found = std::find_if(snapshots.begin(), snapshots.end(),
                                  [&](const SnapshotSpec& snapshot) { return snapshot.version == version; });
  return found == snapshots.end() ? nullptr : &*found;
}

const ServiceSpec* Deployment::FindService(const std::string& service) const {
  const auto found =
      std::find_if(services.begin(), services.end(), [&](const ServiceSpec& spec) { return spec.name == service; });
  return found == services.end() ? nullptr : &*found;
}

std::size_t FailureDomainIndex(std::size_t position, std::size_t count, std::size_t domains, std::size_t offset) {
  const bool last_collides_with_first = position + 1 == count && position > 0 && position % domains == 0;
  return (offset + position + (last_collides_with_first ? 1 : 0)) % domains;
}

Deployment ParseDeployment(const std::string& yaml) {
  try {
    const YAML::Node root = YAML::Load(yaml);
    CheckKeys(root, {"deployment", "failure_domains", "one_way_ms", "first_port", "services"});
    Deployment deployment{.name = Require<std::string>(root, "deployment"),
                          .failure_domains = Require<std::vector<std::string>>(root, "failure_domains")};
    if (deployment.failure_domains.empty()) {
      Fail(root, "'failure_domains' is empty");
    }
    NextPlacement next{.port = GetOrDefault<std::uint16_t>(root, "first_port", 0)};
    for (const auto& node : root["services"]) {
      AddServices(node, GetMilliseconds(root, "one_way_ms", Duration{}), next, deployment);
    }
    if (const auto count = CountUpstreams(deployment); count > kMaxUpstreams) {
      Fail(root, std::to_string(count) + " upstreams exceed the limit of " + std::to_string(kMaxUpstreams));
    }
    return deployment;
  } catch (const YAML::Exception& error) {
    throw std::runtime_error(std::string("deployment description: ") + error.what());
  }
}

Deployment LoadDeployment(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("read deployment description '" + path + "': cannot open the file");
  }
  std::ostringstream text;
  text << file.rdbuf();
  try {
    return ParseDeployment(text.str());
  } catch (const std::runtime_error& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
}

std::string CatalogYaml(const ServiceSpec& service) {
  YAML::Emitter out;
  out << YAML::BeginMap << YAML::Key << "service" << YAML::Value << service.name << YAML::Key << "kind" << YAML::Value
      << (service.runs_operations ? "execute" : "search") << YAML::Key << "snapshots" << YAML::Value
      << YAML::BeginSeq;
  for (const auto& snapshot : service.snapshots) {
    if (!snapshot.published) {
      continue;
    }
    out << YAML::BeginMap << YAML::Key << "version" << YAML::Value << snapshot.version << YAML::Key << "shards"
        << YAML::Value << YAML::BeginSeq;
    for (std::uint32_t shard = 0; shard < snapshot.shard_count; ++shard) {
      out << YAML::Flow << YAML::BeginMap << YAML::Key << "shard" << YAML::Value << shard << YAML::Key << "replicas"
          << YAML::Value << YAML::BeginSeq;
      for (const auto position : service.ReplicaPositions(shard)) {
        out << YAML::DoubleQuoted << service.upstreams[position].address;
      }
      out << YAML::EndSeq << YAML::EndMap;
    }
    out << YAML::EndSeq << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::Key << "upstreams" << YAML::Value << YAML::BeginSeq;
  for (const auto& upstream : service.upstreams) {
    out << YAML::Flow << YAML::BeginMap << YAML::Key << "address" << YAML::Value << YAML::DoubleQuoted
        << upstream.address << YAML::Key << "failure_domain" << YAML::Value << upstream.failure_domain << YAML::Key
        << "slots" << YAML::Value << upstream.slots << YAML::Key << "connections" << YAML::Value
        << upstream.max_connections << YAML::Key << "connect_ms" << YAML::Value
        << std::chrono::ceil<std::chrono::milliseconds>(upstream.connect_delay).count() << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

}  // namespace pimentomoor
