// Stand-ins for the searchers of a deployment: one HTTP server per upstream, all in one process.
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
  std::uint16_t admin_port = 0;  // 0 takes a free port
  Duration restart_delay = std::chrono::milliseconds(500);
  Duration drain_announce_duration = std::chrono::seconds(2);  // answers say "draining"; new work is still taken
  Duration drain_refuse_duration = std::chrono::seconds(2);    // new work gets 503; then the upstream stops
  /// Called after a control command published or retired a snapshot; may be empty.
  std::function<void(const ServiceSpec&)> catalog_changed;
};

/// Executions of operations, for checks that none ran twice. Survives restarts of upstreams.
struct ExecutionRecord {
  std::string upstream;
  std::string body;
};
using ExecutionLog = std::map<std::string, std::vector<ExecutionRecord>>;  // by token

/// Adds counts; high-water marks are the larger of both.
UpstreamCounters Sum(const UpstreamCounters& a, const UpstreamCounters& b);

/// Counters as JSON: "total", "tokens" (distinct tokens executed), "repeated_tokens" and a list "upstreams".
/// `addresses` names the upstreams in the same order.
std::string CountersJson(const std::vector<const UpstreamModel*>& upstreams,
                         const std::vector<std::string>& addresses, const ExecutionLog& executions,
                         const std::vector<std::string>& repeated);

/// The log as JSON: a list of executions, each with "upstream" and "body", for each token.
std::string ExecutionsJson(const ExecutionLog& executions);

/// A fault to inject. Empty selectors match every upstream.
struct ControlCommand {
  std::string upstream;
  std::string service;
  std::string failure_domain;
  /// "cold" (turn cold, same incarnation), "restart" (crash and start again), "drain" (factor of its times),
  /// "stop", "start", "slow" (factor), "straggler" (probability, factor), "publish" or "retire" (version of a
  /// snapshot of the service).
  std::string fault;
  double factor = 1;
  double probability = 0;
  std::uint64_t version = 0;
};

/// Reads a command. Throws std::runtime_error that names an unknown key or fault.
ControlCommand ParseControl(const std::string& yaml);

/// All upstreams of a deployment and the admin server. `PUT /control` takes a ControlCommand as YAML; `GET /counters`
/// returns the counters as JSON; `GET /executions` returns the execution log as JSON; `GET /catalog?service=X`
/// returns the current catalog object.
class StandinSearchers {
 public:
  /// Starts a server for each upstream and writes the ports taken into the deployment. Throws std::system_error when
  /// a port is not free.
  StandinSearchers(EventLoop& loop, StandinSearchersOptions options);
  ~StandinSearchers();
  StandinSearchers(const StandinSearchers&) = delete;
  StandinSearchers& operator=(const StandinSearchers&) = delete;

  [[nodiscard]] const Deployment& deployment() const { return options_.deployment; }
  [[nodiscard]] std::string admin_address() const { return admin_.address(); }
  [[nodiscard]] const ExecutionLog& executions() const { return executions_; }
  /// Tokens that were executed more than once.
  [[nodiscard]] std::vector<std::string> RepeatedTokens() const;
  /// Throws std::out_of_range for an unknown address.
  [[nodiscard]] const UpstreamModel& upstream(const std::string& address) const;
  [[nodiscard]] UpstreamCounters Total() const;
  [[nodiscard]] std::string CountersJson() const;

  /// Applies a command to all upstreams that it selects; returns how many. Throws std::runtime_error when none match.
  std::size_t ApplyCommand(const ControlCommand& command);

 private:
  class Upstream;

  [[nodiscard]] std::size_t ChangeSnapshot(const ControlCommand& command);
  void ServeAdmin();

  EventLoop& loop_;
  StandinSearchersOptions options_;
  ExecutionLog executions_;
  std::map<std::string, std::unique_ptr<Upstream>> upstreams_;  // by address
  HttpServer admin_;
};

}  // namespace pimentomoor
