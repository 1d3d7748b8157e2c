// State machine of one stand-in upstream: admission, queue, cold start, drain and service times, without I/O or
// timers.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <set>
#include <vector>

#include "deployment.h"
#include "pimentomoor/clock.h"

namespace pimentomoor {

using JobId = std::uint64_t;

enum class Admission {
  kStarted,
  kQueued,
  kShed,      // refused: all slots and the queue are full
  kOverload,  // refused: the upstream is cold and already runs a request
  kDraining,  // refused: the upstream stops soon
};

enum class DrainPhase {
  kNone,
  kAnnounced,  // serves requests; responses say that the upstream drains
  kRefusing,   // refuses new requests
};

/// Counters that a restart doesn't reset. GET /counters returns them under the names of these fields, and
/// last_after_drain as last_after_drain_ms.
struct UpstreamCounters {
  std::uint64_t requests = 0;             // requests received
  std::size_t running_high = 0;           // largest number of jobs that ran at the same time
  std::size_t connections_high = 0;       // largest number of open connections
  std::uint64_t served = 0;               // jobs finished, including searches that their deadline ended
  std::uint64_t sheds = 0;                // requests refused with kShed
  std::uint64_t overload_violations = 0;  // requests refused with kOverload
  std::uint64_t executions = 0;           // operations started
  std::uint64_t after_drain = 0;          // requests received after a drain began
  Duration last_after_drain{};            // time from the start of the drain to the last request received after it
  std::uint64_t wrong_snapshots = 0;      // searches for a shard or snapshot that the upstream doesn't hold
  std::uint64_t misdirected = 0;          // requests for another service, and operations at a search-only upstream
  std::uint64_t expired = 0;              // queued jobs whose deadline passed before they started
  std::uint64_t crashes = 0;
  std::uint64_t connects = 0;  // new connections that were charged UpstreamSpec::connect_delay
};

class UpstreamModel {
 public:
  UpstreamModel(UpstreamSpec spec, std::uint64_t seed);

  [[nodiscard]] const UpstreamSpec& spec() const { return spec_; }
  [[nodiscard]] const UpstreamCounters& counters() const { return counters_; }
  UpstreamCounters& counters() { return counters_; }
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  [[nodiscard]] bool cold() const { return cold_; }
  [[nodiscard]] DrainPhase drain_phase() const { return drain_phase_; }
  [[nodiscard]] std::size_t running_jobs() const { return running_.size(); }
  [[nodiscard]] std::size_t queued_jobs() const { return queue_.size(); }

  /// Counts a received request. Returns the delay before it is admitted: connect_delay when the request may be the
  /// first on a new connection, otherwise 0. `open_connections` is the server's number of open connections.
  Duration Receive(TimePoint now, std::size_t open_connections);

  /// Starts, queues or refuses a received request. A queued job doesn't start after `deadline`.
  Admission Admit(JobId id, TimePoint deadline);

  /// Jobs that left the queue when a slot became free.
  struct DequeuedJobs {
    std::vector<JobId> started;
    std::vector<JobId> expired;  // jobs whose deadline passed while they were queued
  };

  /// Ends a running job, frees its slot and starts queued jobs.
  DequeuedJobs Finish(TimePoint now, JobId id);

  /// Draws a log-normal service time, multiplied by the slow factor, and by the straggler and cold factors if they
  /// apply.
  Duration DrawServiceTime();

  /// Models a restart of the process: a new incarnation, cold, with an empty queue and no running jobs.
  void Restart();
  /// Makes the upstream cold without a new incarnation, like the loss of its caches.
  void TurnCold() { cold_ = true, served_while_cold_ = 0; }
  void BeginDrain(TimePoint now);
  void RefuseRequests() { drain_phase_ = DrainPhase::kRefusing; }
  void SetSlowFactor(double factor) { slow_factor_ = factor; }
  void SetStraggler(double probability, double factor);

 private:
  struct QueuedJob {
    JobId id;
    TimePoint deadline;
  };

  [[nodiscard]] std::size_t RunningLimit() const { return cold_ ? 1 : spec_.slots; }
  void Start(JobId id);

  UpstreamSpec spec_;
  std::mt19937_64 random_;
  UpstreamCounters counters_;
  std::uint64_t incarnation_ = 0;
  bool cold_ = false;
  std::uint64_t served_while_cold_ = 0;
  double slow_factor_ = 1;
  DrainPhase drain_phase_ = DrainPhase::kNone;
  TimePoint drain_start_;
  std::size_t charged_connections_ = 0;  // open connections whose first request was delayed by connect_delay
  std::set<JobId> running_;
  std::deque<QueuedJob> queue_;
};

}  // namespace pimentomoor
