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
#include "pimentomoor/member_exchange.h"
#include "pimentomoor/metrics.h"

namespace pimentomoor {

class GatewayPeers final : public IoHandler {
 public:
  /// Fills the sender, the content revisions and all crash reports of a heartbeat.
  using Describe = std::function<void(proto::GatewayHeartbeat&)>;
  /// Gets each accepted heartbeat, with a complete sender.
  using Listener = std::function<void(const proto::GatewayHeartbeat&)>;

  /// Binds the peer address that `describe` names. Throws std::system_error that names it.
  GatewayPeers(EventLoop& loop, Metrics& metrics, const MemberExchangeOptions& options, Describe describe,
               Listener listener);
  ~GatewayPeers() override;

  /// Tells the daemons that listen to this one, and its own targets, that its state has changed.
  void Announce();

  /// Seeds can change while the daemon runs.
  void SetSeeds(std::vector<std::string> seeds) { exchange_.SetSeeds(std::move(seeds)); }

  /// Valid until the next call.
  [[nodiscard]] const std::vector<proto::GatewayMember>& LivePeers() const {
    return exchange_.members().LivePeers(loop_.Now());
  }
  /// Changes whenever the result of LivePeers changes.
  [[nodiscard]] std::uint64_t LivePeersVersion() const { return exchange_.members().LivePeersVersion(loop_.Now()); }
  [[nodiscard]] bool IsRelay() const { return exchange_.members().IsRelay(loop_.Now()); }
  [[nodiscard]] Duration HeartbeatInterval() const { return exchange_.members().HeartbeatInterval(loop_.Now()); }
  [[nodiscard]] std::size_t CountDaemonsForBudgets() {
    return exchange_.members().CountDaemonsForBudgets(loop_.Now());
  }

 private:
  void OnReadable() override;
  void OnWritable() override {}
  void Receive(proto::GatewayHeartbeat heartbeat);
  void Tick();
  [[nodiscard]] proto::GatewayHeartbeat Described() const;
  void Send(const std::vector<MemberDatagram>& datagrams);

  EventLoop& loop_;
  Metrics& metrics_;
  Describe describe_;
  Listener listener_;
  MemberExchange exchange_;
  Duration tick_;
  std::unique_ptr<IoSocket> socket_;
  TimerId timer_ = 0;
};

}  // namespace pimentomoor
