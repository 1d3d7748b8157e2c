// The registry of daemons of a gateway daemon: makes the calls to the store that a registrar has to make. The
// decisions are those of fleet_registry.h.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pimentomoor/backoff.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/fleet_registry.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/persistent_http_client.h"
#include "pimentomoor/platform_codec.h"

namespace pimentomoor {

class GatewayRegistry {
 public:
  struct Options {
    EventLoop& loop;
    Metrics& metrics;
    const PlatformCodec& codec;
    std::string store_address;
    std::string self_address;  // peer address of this daemon
    // Sets the daemons outside the cell that are contacted like seeds.
    std::function<void(std::vector<std::string>)> set_contacts;
    FleetRegistryOptions timing = {};
  };

  explicit GatewayRegistry(Options options);
  GatewayRegistry(const GatewayRegistry&) = delete;
  GatewayRegistry& operator=(const GatewayRegistry&) = delete;

  /// Starts the calls that are due. `peers` are the other daemons of the cell, ordered by peer address. Call about
  /// each 100 ms.
  void Tick(const proto::GatewayMember& self, const std::vector<proto::GatewayMember>& peers);

  /// Whether the cell of this daemon is known to be, or to have been, the whole fleet. The member list counts the
  /// daemons that leave the cell later.
  [[nodiscard]] bool fleet_known() const { return fleet_known_; }

 private:
  using Response = std::optional<ResponseMessage>;

  void Register();
  void OnRegistered(const Response& response);
  void Remove(const RegistryEntry& entry);
  void OnRemoved(const Response& response);
  void Read();
  void OnRead(const Response& response);
  void EndRound(bool succeeded);
  /// Callback that calls `handler` unless this object has been destroyed.
  [[nodiscard]] PersistentHttpClient::Callback Call(void (GatewayRegistry::*handler)(const Response&));
  [[nodiscard]] PersistentHttpClient& client();

  Options options_;
  FleetRegistryState state_;
  std::vector<std::string> contacts_;
  bool fleet_known_ = false;
  bool call_running_ = false;
  bool failing_ = false;  // the last round failed, which has been logged
  TimePoint next_round_at_;
  unsigned failed_rounds_ = 0;                    // in a row
  std::unique_ptr<PersistentHttpClient> client_;  // null until the first call
  Jitter jitter_;
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
};

}  // namespace pimentomoor
