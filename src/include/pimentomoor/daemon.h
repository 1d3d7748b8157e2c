// The daemon of the subcommand `serve`: builds the daemon's tasks, connects them, routes messages to them, and leaves
// the fleet in order.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pimentomoor/config_state.h"
#include "pimentomoor/coordinator.h"
#include "pimentomoor/crash_guard.h"
#include "pimentomoor/customer_limits.h"
#include "pimentomoor/dispatcher.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/fleet_task.h"
#include "pimentomoor/health_reader.h"
#include "pimentomoor/host_list_task.h"
#include "pimentomoor/http.h"
#include "pimentomoor/http_platform_client.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/operation_dispatch.h"
#include "pimentomoor/operation_task.h"
#include "pimentomoor/peer_transport.h"
#include "pimentomoor/settings.h"
#include "pimentomoor/trace.h"
#include "pimentomoor/trace_exporter.h"

namespace pimentomoor {

/// One daemon of the query tier. Member functions are grouped by the file that defines them.
class Daemon {
 public:
  /// Binds the HTTP and the peer listener. Throws when an address can't be used. `loop` must outlive the daemon.
  Daemon(EventLoop& loop, Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Starts to join the view of the cell, and to read the host list and the health of draining upstreams.
  void Start();

  /// Planned stop: removes this daemon from the entry addresses that callers get at once, but continues to serve
  /// callers that still hold its address. Hands over its upstreams and operation outcomes, waits for running
  /// requests, then calls `stopped`, at the latest after the drain timeout. A second call is ignored.
  void Stop(std::function<void()> stopped);

  /// "IP:port" of the HTTP listener.
  [[nodiscard]] std::string http_address() const { return server_.address(); }

 private:
  // daemon.cpp
  void HandleMessage(const proto::Envelope& message);
  bool SendTo(const proto::Daemon& peer, proto::Envelope message);
  [[nodiscard]] const proto::Daemon* UsableOwner(const std::string& upstream,
                                                 const std::string& failure_domain) const;
  [[nodiscard]] std::optional<proto::Daemon> HighestRankedMember(const std::string& key) const;
  [[nodiscard]] std::optional<proto::Daemon> ChooseWitness() const;
  void ApplyObject(const PlatformObject& object);
  void ApplyCatalogIndex(bool catalogs_dropped);
  void ApplyCatalog(const std::string& service);
  void SchedulePlacements();
  [[nodiscard]] std::vector<UpstreamPlacement> BuildPlacements() const;
  void OnHostListChanged(const HostList& host_list);
  void ApplyHostListToUpstreams(const HostList& host_list, const std::vector<CatalogUpstream>& upstreams);
  [[nodiscard]] bool IsHostGone(const std::string& host) const;

  // daemon_tasks.cpp
  void BuildTasks();
  void BuildDispatcher();
  void BuildCoordinator();
  void BuildHostListTask();
  void BuildTraceExporter();

  // daemon_stop.cpp
  void CheckOwnOutage();
  void WaitForDrain(TimePoint deadline, const std::shared_ptr<int>& pending_handovers, std::function<void()> stopped);

  // caller_api.cpp
  void RegisterHandlers();
  void HandleEntries(const HttpRequest& request, const HttpResponder& respond);
  [[nodiscard]] std::vector<proto::Daemon> EntryCandidates(const std::string& other_cell) const;
  void HandleQuery(const HttpRequest& request, const HttpResponder& respond);
  void HandleIssueToken(const HttpRequest& request, const HttpResponder& respond);
  void HandleRunToken(const HttpRequest& request, const HttpResponder& respond);
  void HandleStatus(const HttpResponder& respond);
  [[nodiscard]] std::string RenderHostList() const;
  [[nodiscard]] std::string RenderCellFields() const;
  [[nodiscard]] std::pair<std::size_t, std::size_t> CountOwnedUpstreams() const;
  void HandleMetrics(const HttpResponder& respond);
  void HandleAdminConfig(const HttpRequest& request, const HttpResponder& respond);

  EventLoop& loop_;
  Settings settings_;
  Metrics metrics_;
  TraceStore traces_;
  std::unique_ptr<TraceExporter> trace_exporter_;  // null when the trace export is off
  ConfigState config_;
  HttpClient upstream_http_;
  HttpClient platform_http_;
  HttpServer server_;
  PeerTransport transport_;
  HttpPlatformClient platform_;
  std::unique_ptr<FleetTask> fleet_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<Coordinator> coordinator_;
  std::unique_ptr<CrashGuardTask> crash_guard_;
  std::unique_ptr<CustomerLimitsTask> customer_limits_;
  std::unique_ptr<OperationDispatch> operation_dispatch_;
  std::unique_ptr<OperationTask> operations_;
  std::unique_ptr<HostListTask> host_list_;  // null before Start()
  std::unique_ptr<HealthReader> health_reader_;
  std::set<std::string> leaving_upstreams_;      // addresses that the host list shows as leaving
  std::set<std::string> ever_listed_addresses_;  // addresses that any host list has shown
  bool placement_flush_posted_ = false;          // a call of FleetCore::FlushPlacements() is posted to loop_
  bool stopping_ = false;                        // Stop() was called
  // Operators took the host or failure domain of this daemon out of service, so it left the view or is leaving it.
  bool own_outage_ = false;
  bool leaving_for_outage_ = false;  // the call of FleetCore::Leave() for own_outage_ has not finished
};

}  // namespace pimentomoor
