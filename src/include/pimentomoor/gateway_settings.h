// Settings of one gateway daemon, read from a YAML file and checked as a whole before start.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/entry_selection.h"
#include "pimentomoor/request_run.h"
#include "pimentomoor/rollout.h"
#include "pimentomoor/upstream_set.h"
#include "pimentomoor/usage_cap.h"

namespace pimentomoor {

/// What callers together can make a daemon hold.
struct CallerSettings {
  std::size_t memory_bytes = std::size_t{48} << 20U;  // requests, unread answers and connections; key `memory_mb`
  std::size_t max_connections = 2'175;                // on caller_address; the other listeners get shares of it

  friend bool operator==(const CallerSettings&, const CallerSettings&) = default;
};

struct GatewaySettings {
  std::string host;                           // unique in the deployment
  std::string failure_domain;                 // failure domain of this host
  std::string caller_address;                 // "IP:port" that receives callers' requests
  std::string ready_address;                  // "IP:port" that answers the platform's readiness checks
  std::string directory_address;              // "IP:port" that tells callers which daemons to connect to
  std::string peer_address;                   // "IP:port" for other daemons, over TCP and UDP
  std::vector<std::string> seed_peers;        // addresses of other daemons, with the port of peer_address
  std::string store_address;                  // "IP:port" of the platform's store
  std::uint32_t capacity_millicores = 1'000;  // CPU that this daemon may use; 1,000 is one core
  std::string log_level = "info";
  Duration entry_ttl = std::chrono::seconds(2);             // how long callers may cache the directory's answer
  Duration drain_timeout = std::chrono::seconds(6);         // time from the stop signal until the process is killed
  Duration drain_time = UpstreamHoldSettings().drain_time;  // key `drain_ms`
  RetryBudgetSettings retry;
  ColdUpstreamSettings cold_upstreams;      // key `cold`
  UsageCapSettings usage_caps;              // off without the key `usage_caps`
  std::optional<RolloutSettings> rollouts;  // without it, orders of roll-outs are not followed
  PaceSettings pace;
  RequestSettings requests;
  EntrySelectionSettings entry_selection;
  CallerSettings callers;  // defaults from key `machine`

  friend bool operator==(const GatewaySettings&, const GatewaySettings&) = default;
};

/// Parses settings and refuses unknown keys. Throws ConfigError that names `source`, line, key and value of each
/// mistake.
GatewaySettings ParseGatewaySettings(std::string_view text, std::string_view source);

}  // namespace pimentomoor
