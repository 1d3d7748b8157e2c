// Tells the operator commands on how many daemons a version of a list is in force. A version is accepted once it is
// in force on a majority of the members of each cell.
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

/// A member of a view, as a daemon's status names it.
struct StatusMember {
  std::string host;
  std::string http_address;  // "IP:port"; empty when the status does not contain it

  friend bool operator==(const StatusMember&, const StatusMember&) = default;
};

/// Newest view of another cell that a daemon knows.
struct StatusCell {
  std::string cell;
  std::uint64_t epoch = 0;
  std::vector<StatusMember> members;

  friend bool operator==(const StatusCell&, const StatusCell&) = default;
};

/// Answer of a daemon to `GET /status`.
struct DaemonStatus {
  std::string host;
  std::uint64_t epoch = 0;
  std::string lease;  // whether the daemon holds a lease, in the daemon's text, for example "true"
  bool leaving = false;
  std::map<std::string, std::uint64_t> versions;  // versions in force, by object key
  std::vector<StatusMember> members;              // members of the view at `epoch`
  std::vector<std::string> outages;               // failure domains and hosts that operators took out of service
  std::string cell = std::string(kDefaultCell);   // cell of the daemon
  std::vector<StatusCell> other_cells;

  friend bool operator==(const DaemonStatus&, const DaemonStatus&) = default;
};

/// Parses the JSON of GET /status. Required keys: host, epoch, lease, versions {key: version} and members; optional
/// ones: leaving, outages {failure_domains, hosts}, cell and other_cells. A member is a host name or a map with host
/// and http_address. Other keys are ignored. Throws ConfigError, which names `source`.
DaemonStatus ParseDaemonStatus(std::string_view text, std::string_view source);

/// Number of members of one cell that have a version in force.
struct CellAcceptance {
  std::string cell;
  std::size_t member_count = 0;    // members of the cell's newest view among the statuses
  std::size_t in_force_count = 0;  // members that have the version or a later one in force

  [[nodiscard]] bool accepted() const { return in_force_count > member_count / 2; }
  friend bool operator==(const CellAcceptance&, const CellAcceptance&) = default;
};

/// Number of members of all cells that have a version in force.
struct Acceptance {
  std::size_t member_count = 0;                    // members of all cells; 0 when no daemon reported a view
  std::size_t in_force_count = 0;                  // members that have the version or a later one in force
  std::vector<std::string> hosts_without_version;  // hosts of the members that lack the version, by cell name
  std::vector<CellAcceptance> cells;               // cells that have members, ordered by name

  /// Whether the version is in force on a majority of each cell. Each cell needs one because a daemon renews its
  /// lease with a majority of its own cell.
  [[nodiscard]] bool accepted() const {
    return !cells.empty() &&
           std::all_of(cells.begin(), cells.end(), [](const auto& cell) { return cell.accepted(); });
  }
  [[nodiscard]] bool in_force_everywhere() const { return member_count > 0 && in_force_count == member_count; }
  friend bool operator==(const Acceptance&, const Acceptance&) = default;
};

/// Counts the members that have `version` of `key`, or a later version, in force. The members of a cell are those of
/// its newest view in `statuses`.
Acceptance EvaluateAcceptance(const std::vector<DaemonStatus>& statuses, const std::string& key,
                              std::uint64_t version);

struct AcceptanceMonitorOptions {
  std::vector<std::string> daemons;  // HTTP addresses, "IP:port"; the members that statuses name are added
  std::string key;                   // for example "config/plans"
  std::uint64_t version = 0;
  std::string value;  // text of the version, which is sent to the daemons that lack it
  Duration poll_interval = std::chrono::milliseconds(200);  // from a daemon's answer to the next poll of it
  Duration timeout = std::chrono::seconds(1);               // timeout of one call to a daemon
};

/// Pushes a version to the daemons that lack it and polls their status, until the monitor is destroyed.
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
  /// Errors of the last status calls, by address of the daemon; daemons whose last call succeeded are left out.
  [[nodiscard]] std::map<std::string, std::string> errors() const;

 private:
  struct Daemon;

  void AddDaemon(const std::string& address);
  void PushVersion(const std::string& address);
  void PollStatus(const std::string& address);
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
