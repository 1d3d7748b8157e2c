// Settings of one daemon, read from a YAML file and checked as a whole before start.
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

/// The decisions that settings select. `naive` turns all of them into their baseline variants.
struct PolicySettings {
  bool naive = false;
  DeadlineSettings deadlines;  // coverage_first, soft_deadline_ms, hard_deadline_ms
  HedgeSettings hedge;
  ExtraSubQueryBudgetSettings extra_budget;
  CrashGuardMode crash_guard_mode = CrashGuardMode::kStrict;
  Duration answer_hold{};  // how long an owner holds answers back for others of the same query

  friend bool operator==(const PolicySettings&, const PolicySettings&) = default;
};

/// How long a leaving daemon serves callers after the time to live of its address has passed: callers may have asked
/// for addresses just before the stop, and their clocks and networks add some time.
constexpr Duration kEntryTtlMargin = std::chrono::seconds(1);

struct Settings {
  std::string deployment;                        // prefix of the platform's keys
  std::string host;                              // unique in the deployment
  std::string failure_domain;                    // of this host
  std::string cell = std::string(kDefaultCell);  // whose view this daemon joins
  std::string http_address;                      // "IP:port" for callers and operators
  std::string peer_address;                      // "IP:port" for other daemons
  std::vector<std::string> platform_endpoints;   // "IP:port" of the platform's endpoints
  std::vector<std::string> seed_peers;           // peer addresses that a new daemon asks when the platform is down
  std::string token_key;                         // shared by all daemons of the deployment, at least 16 bytes
  std::string log_level = "info";                // "debug", "info", "warn" or "error"
  Duration entry_ttl = std::chrono::seconds(3);  // how long callers keep an entry address
  Duration drain_timeout = std::chrono::seconds(30);  // longest planned stop, at least entry_ttl + kEntryTtlMargin
  Duration added_peer_delay{};                        // added to messages between daemons, for experiments
  PolicySettings policy;
  TraceExportOptions trace_export;  // off without an address

  friend bool operator==(const Settings&, const Settings&) = default;
};

/// Reads settings; unknown keys are refused. Throws ConfigError that names `source`, line, key and value.
Settings ParseSettings(std::string_view text, std::string_view source);

}  // namespace pimentomoor
