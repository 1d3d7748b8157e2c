// Stand-ins for the searchers (upstreams) of a deployment: one HTTP server per searcher, all in one process.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "deployment.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"
#include "upstream_model.h"

namespace pimentomoor {

struct StandinSearchersOptions {
  Deployment deployment;
  std::uint64_t seed = 1;
  std::uint16_t admin_port = 0;                                // 0 takes a free port
  Duration restart_delay = std::chrono::milliseconds(500);     // time between a crash and the restart
  Duration drain_announce_duration = std::chrono::seconds(2);  // responses say "draining"; new requests are served
  Duration drain_refuse_duration = std::chrono::seconds(2);    // new requests get 503; then the upstream stops
  /// Called with the service after a control command published or retired one of its snapshots; may be empty.
  std::function<void(const ServiceSpec&)> on_catalog_changed;
};

/// One execution of an operation.
struct ExecutionRecord {
  std::string upstream;
  std::string body;
};
/// Executions by operation token, for checks that no operation ran twice. The log survives restarts of upstreams.
using ExecutionLog = std::map<std::string, std::vector<ExecutionRecord>>;

/// Adds the counters. High-water marks and last_after_drain become the larger of both.
UpstreamCounters SumCounters(const UpstreamCounters& a, const UpstreamCounters& b);

/// Formats the counters as JSON: "total", "tokens" (number of distinct tokens executed), "repeated_tokens" (tokens
/// executed more than once) and the list "upstreams". `addresses` are those of `upstreams`, in the same order.
std::string CountersJson(const std::vector<const UpstreamModel*>& upstreams,
                         const std::vector<std::string>& addresses, const ExecutionLog& executions,
                         const std::vector<std::string>& repeated_tokens);

/// Formats the log as a JSON object that maps each token to a list of its executions with "upstream" and "body".
std::string ExecutionsJson(const ExecutionLog& executions);

/// A fault to inject into the upstreams that match all selectors. An empty selector matches every upstream.
struct ControlCommand {
  std::string upstream;        // selector: address
  std::string service;         // selector
  std::string failure_domain;  // selector
  /// One of:
  ///   "cold"               become cold, with the same incarnation
  ///   "restart"            crash and start again after the restart delay
  ///   "drain"              drain and stop; `factor` multiplies the durations of the drain
  ///   "stop", "start"      close the listener and all connections, or listen again
  ///   "slow"               `factor` multiplies service times
  ///   "straggler"          sets the straggler `probability` and `factor`
  ///   "publish", "retire"  publish or retire the snapshot `version` of `service`
  std::string fault;
  double factor = 1;
  double probability = 0;
  std::uint64_t version = 0;
};

/// Parses a command. Throws std::runtime_error that names an unknown key or fault.
ControlCommand ParseControlCommand(const std::string& yaml);

/// Runs all upstreams of a deployment and an admin server, which serves
///   PUT /control            applies a ControlCommand, YAML
///   GET /counters           counters, JSON
///   GET /executions         execution log, JSON
///   GET /catalog?service=X  current catalog object of a service, YAML
class StandinSearchers {
 public:
  /// Starts a server for each upstream and writes its port into the deployment. Throws std::system_error when a port
  /// is not free.
  StandinSearchers(EventLoop& loop, StandinSearchersOptions options);
  ~StandinSearchers();
  StandinSearchers(const StandinSearchers&) = delete;
  StandinSearchers& operator=(const StandinSearchers&) = delete;

  [[nodiscard]] const Deployment& deployment() const { return options_.deployment; }
  [[nodiscard]] std::string admin_address() const { return admin_server_.address(); }
  [[nodiscard]] const ExecutionLog& executions() const { return executions_; }
  /// Tokens that were executed more than once.
  [[nodiscard]] std::vector<std::string> RepeatedTokens() const;
  /// Throws std::out_of_range for an unknown address.
  [[nodiscard]] const UpstreamModel& upstream(const std::string& address) const;
  [[nodiscard]] UpstreamCounters TotalCounters() const;
  [[nodiscard]] std::string CountersJson() const;

  /// Applies a command to all upstreams that it selects and returns their number. Throws std::runtime_error when it
  /// selects none.
  std::size_t ApplyCommand(const ControlCommand& command);

 private:
  class Upstream;

  /// Publishes or retires a snapshot. Returns the number of upstreams of its service, or 0 when there is no such
  /// snapshot.
  [[nodiscard]] std::size_t SetSnapshotPublished(const ControlCommand& command);
  void RegisterAdminHandlers();

  EventLoop& loop_;
  StandinSearchersOptions options_;
  ExecutionLog executions_;
  std::map<std::string, std::unique_ptr<Upstream>> upstreams_;  // by address
  HttpServer admin_server_;
};

}  // namespace pimentomoor
