// Settings of one gateway daemon, read from a YAML file and checked as a whole before start.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/entry_selection.h"
#include "pimentomoor/request_run.h"
#include "pimentomoor/upstream_set.h"

namespace pimentomoor {

struct GatewaySettings {
  std::string host;                     // unique in the deployment
  std::string failure_domain;           // of this host
  std::string caller_address;           // "IP:port" for callers' requests
  std::string ready_address;            // "IP:port" for the platform's readiness checks
  std::string directory_address;        // "IP:port" for callers that ask where to connect
  std::string peer_address;             // "IP:port" for other daemons, TCP and UDP
  std::vector<std::string> seed_peers;  // addresses of other daemons; the port is replaced by that of peer_address
  std::string store_address;            // "IP:port" of the platform's store
  std::uint32_t capacity_millicores = 1'000;  // processor time that this host may use
  std::string log_level = "info";
  Duration entry_ttl = std::chrono::seconds(2);      // how long callers keep the directory's answer
  Duration drain_timeout = std::chrono::seconds(6);  // from the stop signal until the process is ended by force
  RetryBudgetSettings retry;
  ColdUpstreamSettings cold_upstreams;
  RequestSettings requests;
  EntrySelectionSettings entry_selection;

  friend bool operator==(const GatewaySettings&, const GatewaySettings&) = default;
};

/// Reads settings; unknown keys are refused. Throws ConfigError that names `source`, line, key and value.
GatewaySettings ParseGatewaySettings(std::string_view text, std::string_view source);

}  // namespace pimentomoor
