// The roll-outs of a gateway daemon: follows the orders in the store, exchanges reports with the other daemons, and
// writes the status of the orders. The decisions are those of rollout.h; which upstreams a request may go to is up to
// ServiceRollout.
#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway.pb.h"
#include "pimentomoor/backoff.h"
#include "pimentomoor/persistent_http_client.h"
#include "service_rollout.h"

namespace pimentomoor {

/// The fleet as this daemon sees it.
struct RolloutFleet {
  std::size_t rank = 0;  // ready daemons that reach the store and have a lower peer address
  bool store_answers = true;
  bool serves_callers = false;                 // the directory names this daemon
  std::vector<std::uint64_t> serving_daemons;  // incarnations of the other daemons that the directory names
  Duration heartbeat_interval{};
};

class GatewayRollouts {
 public:
  struct Options {
    EventLoop& loop;
    Metrics& metrics;
    const PlatformCodec& codec;
    UpstreamSet& upstreams;
    std::string store_address;
    RolloutSettings settings;
    std::uint64_t incarnation = 0;
    std::function<RolloutFleet()> describe_fleet;  // called only while there is an order
    std::function<void()> announce;                // tells the other daemons this daemon's reports at once
  };

  explicit GatewayRollouts(Options options);
  ~GatewayRollouts();
  GatewayRollouts(const GatewayRollouts&) = delete;
  GatewayRollouts& operator=(const GatewayRollouts&) = delete;

  void SetSettings(const RolloutSettings& settings) { options_.settings = settings; }
  /// Applies all known orders, after a change.
  void OnRecords(const std::map<std::string, StoredRecord>& records);
  /// Is called with each announced upstream. `serving` tells that this daemon has known all upstreams before.
  void OnUpstream(const std::string& service, const std::string& version, bool serving);
  /// Records which daemons the directory names, among which the slack is divided.
  void RecordServingDaemons(const std::vector<std::string>& others, bool self);
  void Tick();

  void FillHeartbeat(proto::GatewayHeartbeat& heartbeat) const;
  void OnHeartbeat(const proto::GatewayHeartbeat& heartbeat);
  /// Writes the orders as a JSON list.
  void RenderStatus(std::ostream& out) const;

 private:
  void Begin(const RolloutRecord& record, bool seen_to_appear);
  ServiceRollout& FindOrCreate(const std::string& service);
  /// Sets or removes the gate of the service.
  void UpdateGate(const std::shared_ptr<ServiceRollout>& rollout, const std::string& service);
  void ForgetUnknownVersions();
  void Act(ServiceRollout& rollout);
  void WriteStatus(ServiceRollout& rollout, RolloutState state);
  void ReadBack(ServiceRollout& rollout);
  void OnStoreAnswer(ServiceRollout& rollout, bool written, const std::optional<ResponseMessage>& response);
  /// Whether this daemon reports on the order to the others.
  [[nodiscard]] bool Reports(const RolloutProgress& progress) const;

  Options options_;
  std::map<std::string, std::shared_ptr<ServiceRollout>> rollouts_;  // by service
  std::map<std::string, std::set<std::string>> known_versions_;      // of the upstreams, by service
  std::map<std::string, TimePoint> serving_daemons_;                 // when last named, by caller address
  bool serves_callers_ = false;
  bool orders_known_ = false;  // OnRecords() was called
  RolloutFleet fleet_;
  TimePoint fleet_at_{};
  TimePoint ticked_at_{};
  TimePoint versions_checked_at_{};
  std::unique_ptr<PersistentHttpClient> client_;  // null until the first call
  bool call_running_ = false;
  Jitter jitter_;
};

}  // namespace pimentomoor
