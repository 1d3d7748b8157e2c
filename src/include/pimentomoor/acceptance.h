// Whether a version of a list is in force on the daemons, as the operator commands show it.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/cell.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"

namespace pimentomoor {

struct StatusMember {
  std::string host;
  std::string http_address;  // "IP:port"; empty when the status does not give it

  friend bool operator==(const StatusMember&, const StatusMember&) = default;
};

/// View of another cell than the daemon's, as the daemon knows it.
struct StatusCell {
  std::string cell;
  std::uint64_t epoch = 0;
  std::vector<StatusMember> members;

  friend bool operator==(const StatusCell&, const StatusCell&) = default;
};

/// What `GET /status` of a daemon says.
struct DaemonStatus {
  std::string host;
  std::uint64_t epoch = 0;
  std::string lease;  // as the daemon writes it, for example "true"
  bool leaving = false;
  std::map<std::string, std::uint64_t> versions;  // in force, by object key
  std::vector<StatusMember> members;              // of the view at `epoch`
  std::vector<std::string> outages;               // failure domains and hosts taken out
  std::string cell = std::string(kDefaultCell);   // of the daemon
  std::vector<StatusCell> other_cells;

  friend bool operator==(const DaemonStatus&, const DaemonStatus&) = default;
};

/// Parses the JSON of GET /status: host, epoch, lease, versions {key: version}, members, and if present leaving,
/// outages {failure_domains, hosts}, cell and other_cells. Members are host names or maps with host and http_address.
/// Other keys are ignored. Throws ConfigError.
DaemonStatus ParseDaemonStatus(std::string_view text, std::string_view source);

struct CellAcceptance {
  std::string cell;
  std::size_t member_count = 0;    // of the newest view that a daemon reported
  std::size_t in_force_count = 0;  // members that have the version or a later one

  [[nodiscard]] bool accepted() const { return in_force_count > member_count / 2; }
  friend bool operator==(const CellAcceptance&, const CellAcceptance&) = default;
};

struct Acceptance {
  std::size_t member_count = 0;                    // of all cells; 0 when no daemon reported a view
  std::size_t in_force_count = 0;                  // of these
  std::vector<std::string> hosts_without_version;  // hosts of the other members
  std::vector<CellAcceptance> cells;               // that have members, ordered by name

  /// A daemon renews its lease with a majority of its own cell, so each cell needs one.
  [[nodiscard]] bool accepted() const {
    return !cells.empty() &&
           std::all_of(cells.begin(), cells.end(), [](const auto& cell) { return cell.accepted(); });
  }
  [[nodiscard]] bool in_force_everywhere() const { return member_count > 0 && in_force_count == member_count; }
  friend bool operator==(const Acceptance&, const Acceptance&) = default;
};

/// Counts members of each cell's newest view among `statuses` that have `version` of `key` in force.
Acceptance EvaluateAcceptance(const std::vector<DaemonStatus>& statuses, const std::string& key,
                              std::uint64_t version);

struct AcceptanceMonitorOptions {
  std::vector<std::string> daemons;  // HTTP addresses, "IP:port"; members named in the answers are added
  std::string key;                   // for example "config/plans"
  std::uint64_t version = 0;
  std::string value;
  Duration poll_interval = std::chrono::milliseconds(200);  // between polls of one daemon
  Duration timeout = std::chrono::seconds(1);               // of one call
};

/// Pushes a version to daemons that lack it and polls their status until it is destroyed.
class AcceptanceMonitor {
 public:
  using Callback = std::function<void(const Acceptance&)>;

  /// `changed` runs whenever the counts change. It must not destroy the monitor. `loop` and `http` must outlive the
  /// monitor.
  AcceptanceMonitor(EventLoop& loop, HttpClient& http, AcceptanceMonitorOptions options, Callback changed);
  ~AcceptanceMonitor();
  AcceptanceMonitor(const AcceptanceMonitor&) = delete;
  AcceptanceMonitor& operator=(const AcceptanceMonitor&) = delete;

  [[nodiscard]] const Acceptance& current() const { return current_; }
  /// Why the last call to each daemon failed, by address; daemons without a failure are left out.
  [[nodiscard]] std::map<std::string, std::string> errors() const;

 private:
  struct Daemon;

  void Add(const std::string& address);
  void Push(const std::string& address);
  void Poll(const std::string& address);
  void OnStatus(const std::string& address, const HttpResult& result);
  void Evaluate();

  EventLoop& loop_;
  HttpClient& http_;
  AcceptanceMonitorOptions options_;
  Callback changed_;
  Acceptance current_;
  std::map<std::string, std::unique_ptr<Daemon>> daemons_;  // by address
};

}  // namespace pimentomoor
