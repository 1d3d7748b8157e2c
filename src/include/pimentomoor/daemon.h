// One `pimentomoor serve` process: builds the tasks, connects them, and stops them in order.
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

class Daemon {
 public:
  /// Binds both listeners. Throws when an address can't be used.
  Daemon(EventLoop& loop, Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();

  /// Planned stop: leaves the entry addresses at once, serves on while callers still hold them, hands over upstreams
  /// and operation outcomes, waits for running queries, then calls `stopped`. A second call is ignored. Ends at the
  /// latest after the drain timeout.
  void Stop(std::function<void()> stopped);

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
  void OnHostListChanged(const HostList& hosts);
  void ApplyHostListToUpstreams(const HostList& hosts, const std::vector<CatalogUpstream>& upstreams);
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
  std::unique_ptr<TraceExporter> trace_exporter_;  // null when the export is off
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
  std::set<std::string> leaving_upstreams_;      // by the host list
  std::set<std::string> ever_listed_addresses_;  // all that the host list has shown
  bool placement_flush_posted_ = false;          // FlushPlacements() is posted
  bool stopping_ = false;
  bool own_outage_ = false;          // this host or its failure domain is taken out: it left the view
  bool leaving_for_outage_ = false;  // leaving the view because of the outage has not finished
};

}  // namespace pimentomoor
