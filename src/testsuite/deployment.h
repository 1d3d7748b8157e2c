// Description of a deployment of upstreams, which the stand-ins serve, the catalog objects list and the load tool
// checks answers against.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// One index snapshot of a service.
struct SnapshotSpec {
  std::uint64_t version = 0;
  std::uint32_t shard_count = 0;
  bool published = true;  // searchers refuse an unpublished snapshot until a control command publishes it
};

/// One upstream (searcher). Shard s of a snapshot is held by the upstreams at positions s, s+1, ... of the service,
/// modulo the number of upstreams.
struct UpstreamSpec {
  std::string address;  // "IP:port"
  std::string service;
  std::string failure_domain;
  std::size_t position = 0;      // index in ServiceSpec::upstreams
  bool runs_operations = false;  // serves POST /execute as well as POST /search
  std::size_t slots = 3;
  std::size_t max_queued = 3;  // requests that may wait for a slot; further ones are shed
  std::size_t max_connections = 30;
  Duration connect_delay{};  // added to the first request on a new connection
  Duration median_service_time = std::chrono::milliseconds(8);
  double service_time_sigma = 0.35;  // standard deviation of the logarithm of the service time; 0 makes it constant
  std::uint64_t cold_requests = 10;  // number of requests that a cold upstream serves before it is warm
  double cold_factor = 4;            // multiplies service times while the upstream is cold
  double straggler_probability = 0;  // probability that a request is a straggler
  double straggler_factor = 10;      // multiplies the service time of a straggler
  Duration response_delay{};         // network delay added to each response
};

/// One service and its upstreams.
struct ServiceSpec {
  std::string name;
  bool runs_operations = false;  // upstreams serve POST /execute as well as POST /search
  std::size_t replicas_per_shard = 2;
  std::vector<SnapshotSpec> snapshots;
  std::vector<UpstreamSpec> upstreams;  // index is UpstreamSpec::position

  /// Positions of the upstreams that hold `shard`.
  [[nodiscard]] std::vector<std::size_t> ReplicaPositions(std::uint32_t shard) const;
  /// Shards that the upstream at `position` holds in `snapshot`.
  [[nodiscard]] std::set<std::uint32_t> ShardsAtPosition(const SnapshotSpec& snapshot, std::size_t position) const;
  /// Null when the service has no such snapshot.
  [[nodiscard]] const SnapshotSpec* FindSnapshot(std::uint64_t version) const;
};

struct Deployment {
  std::string name;
  std::vector<std::string> failure_domains;
  std::vector<ServiceSpec> services;  // with unique names

  /// Null when the deployment has no such service.
  [[nodiscard]] const ServiceSpec* FindService(const std::string& service) const;
};

/// Parses a description. When its key `first_port` is 0 or missing, all addresses have port 0. Throws
/// std::runtime_error that names the line and the key of an unknown key or bad value.
Deployment ParseDeployment(const std::string& yaml);
/// Reads a description file. Throws std::runtime_error that names the file.
Deployment LoadDeployment(const std::string& path);

/// Index of the failure domain of the upstream at `position` out of `count`. Domains are assigned in turn, starting
/// at `offset`. With at least three domains, neighbouring positions differ, as do the last and the first.
std::size_t FailureDomainIndex(std::size_t position, std::size_t count, std::size_t domains, std::size_t offset);

/// Formats the catalog object of a service as YAML. It lists published snapshots only. connect_ms is rounded up
/// because the catalog holds whole milliseconds.
std::string CatalogYaml(const ServiceSpec& service);

}  // namespace pimentomoor
