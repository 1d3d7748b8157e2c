// Heartbeats by UDP between the gateway daemons of a cell. A daemon needs the others to answer callers that ask where
// to connect, to divide shared budgets, and to learn that another daemon knows a newer state.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway.pb.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/io_socket.h"
#include "pimentomoor/member_list.h"
#include "pimentomoor/metrics.h"

namespace pimentomoor {

struct GatewayPeersOptions {
  std::vector<std::string> seed_peers;  // peer addresses that are asked first; may be stale
  Duration interval = std::chrono::milliseconds(400);
  Duration join_interval = std::chrono::milliseconds(100);  // until the first daemon has answered
  Duration join_time = std::chrono::seconds(2);             // after which `interval` holds in any case
  Duration seed_interval = std::chrono::seconds(3);         // between heartbeats to seeds that are no targets

  friend bool operator==(const GatewayPeersOptions&, const GatewayPeersOptions&) = default;
};

class GatewayPeers final : public IoHandler {
 public:
  /// Fills the sender and the content revisions of a heartbeat.
  using Describe = std::function<void(proto::GatewayHeartbeat&)>;
  using Listener = std::function<void(const proto::GatewayHeartbeat&)>;

  /// Binds the peer address that `describe` names. Throws std::system_error that names it.
  GatewayPeers(EventLoop& loop, Metrics& metrics, GatewayPeersOptions options, Describe describe, Listener listener);
  ~GatewayPeers() override;

  /// Tells the daemons that listen to this one, and its own targets, that its state has changed.
  void Announce();

  /// Seeds can change while the daemon runs.
  void SetSeeds(std::vector<std::string> seeds) { options_.seed_peers = std::move(seeds); }

  [[nodiscard]] std::vector<proto::GatewayMember> Alive() const { return members_.Alive(loop_.Now()); }
  [[nodiscard]] std::size_t CountForBudgets() { return members_.CountForBudgets(loop_.Now()); }

 private:
  void OnReadable() override;
  void OnWritable() override {}
  void Receive(const proto::GatewayHeartbeat& heartbeat);
  void Tick();
  void Send(const std::string& address, proto::GatewayHeartbeat heartbeat);

  EventLoop& loop_;
  Metrics& metrics_;
  GatewayPeersOptions options_;
  Describe describe_;
  Listener listener_;
  MemberList members_;
  std::unique_ptr<IoSocket> socket_;
  TimePoint started_;
  TimePoint seeds_asked_{};
  TimerId timer_ = 0;
};

}  // namespace pimentomoor
