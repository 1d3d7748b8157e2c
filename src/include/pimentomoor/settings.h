// Settings of one daemon of the query tier, read from a YAML file and checked as a whole before the daemon starts.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/cell.h"
#include "pimentomoor/clock.h"
#include "pimentomoor/crash_guard.h"
#include "pimentomoor/deadline_policy.h"
#include "pimentomoor/hedge_policy.h"
#include "pimentomoor/trace_exporter.h"

namespace pimentomoor {

/// Choice and parameters of the policies, from the map `policy` of the settings file.
struct PolicySettings {
  bool naive = false;                        // replaces all policies by their baseline variants
  DeadlineSettings deadlines;                // keys coverage_first, soft_deadline_ms, hard_deadline_ms
  HedgeSettings hedge;                       // keys hedge, hedge_quantile_percent
  ExtraSubQueryBudgetSettings extra_budget;  // keys extra_percent, extra_burst, hedge_burst_percent
  CrashGuardMode crash_guard_mode = CrashGuardMode::kStrict;  // key canary
  /// Longest time that an owner holds answers for others of the same query; key answer_hold_us.
  Duration answer_hold{};

  friend bool operator==(const PolicySettings&, const PolicySettings&) = default;
};

/// Time for which a leaving daemon still accepts connections after the time to live of its entry address has passed.
/// Callers may have asked for addresses just before the stop, and their clocks and networks add some time.
constexpr Duration kEntryTtlMargin = std::chrono::seconds(1);

/// Settings of one daemon. Fields without a comment on their key have the key of the same name, durations with the
/// suffix _ms.
struct Settings {
  std::string deployment;                        // prefix of the platform's keys
  std::string host;                              // unique in the deployment
  std::string failure_domain;                    // failure domain of this host
  std::string cell = std::string(kDefaultCell);  // cell whose view this daemon joins
  std::string http_address;                      // "IP:port" for callers and operators
  std::string peer_address;                      // "IP:port" for other daemons
  /// "IP:port" of each endpoint of the platform, at least one; key platform.
  std::vector<std::string> platform_endpoints;
  std::vector<std::string> seed_peers;  // peer addresses that are asked for objects when the platform is down
  std::string token_key;                // shared by all daemons of the deployment, at least 16 bytes
  std::string log_level = "info";       // "debug", "info", "warn" or "error"
  Duration entry_ttl = std::chrono::seconds(3);       // how long callers may keep an entry address
  Duration drain_timeout = std::chrono::seconds(30);  // limit of a planned stop, at least entry_ttl + kEntryTtlMargin
  Duration added_peer_delay{};  // added to each message to another daemon, for experiments; key peer_delay_us
  PolicySettings policy;
  TraceExportOptions trace_export;  // off without an address

  friend bool operator==(const Settings&, const Settings&) = default;
};

/// Parses settings and refuses unknown keys. Throws ConfigError that names `source`, line, key and value.
Settings ParseSettings(std::string_view text, std::string_view source);

}  // namespace pimentomoor
