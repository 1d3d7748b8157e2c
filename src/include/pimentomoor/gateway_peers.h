// The gateway daemons that are alive: heartbeats by UDP between all daemons of a cell. A daemon needs it to answer
// callers that ask where to connect, to divide shared budgets, and to notice that another daemon knows a newer state.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway.pb.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/io_socket.h"
#include "pimentomoor/metrics.h"

namespace pimentomoor {

struct GatewayPeersOptions {
  std::string peer_address;             // "IP:port" to bind
  std::vector<std::string> seed_peers;  // peer addresses that are asked first; may be stale
  Duration interval = std::chrono::milliseconds(400);
  Duration alive_for = std::chrono::milliseconds(1'500);  // after the last heartbeat
  Duration counted_for = std::chrono::seconds(12);        // in shared budgets, after the last heartbeat
  Duration forgotten_after = std::chrono::seconds(60);

  friend bool operator==(const GatewayPeersOptions&, const GatewayPeersOptions&) = default;
};

class GatewayPeers final : public IoHandler {
 public:
  struct Peer {
    proto::GatewayHeartbeat heartbeat;
    TimePoint heard_at;
  };
  /// Fills the heartbeat of this daemon.
  using Describe = std::function<void(proto::GatewayHeartbeat&)>;
  using Listener = std::function<void(const proto::GatewayHeartbeat&)>;

  GatewayPeers(EventLoop& loop, Metrics& metrics, GatewayPeersOptions options, Describe describe, Listener listener);
  ~GatewayPeers() override;

  /// Sends a heartbeat now, because the state that it tells has changed.
  void Announce();

  [[nodiscard]] std::vector<const Peer*> Alive() const;
  /// Daemons that share budgets, this one included: those that are alive and those that died within the last window.
  [[nodiscard]] std::size_t CountForBudgets() const;

 private:
  void OnReadable() override;
  void OnWritable() override {}
  void Tick();
  void Send(const std::string& address, const std::string& bytes);

  EventLoop& loop_;
  Metrics& metrics_;
  GatewayPeersOptions options_;
  Describe describe_;
  Listener listener_;
  std::unique_ptr<IoSocket> socket_;
  std::map<std::string, Peer> peers_;                // by peer address, without this daemon
  std::map<std::string, TimePoint> reported_peers_;  // addresses that others named and that have not answered yet
  TimerId timer_ = 0;
};

}  // namespace pimentomoor
