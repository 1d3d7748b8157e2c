// Exchange of heartbeats by UDP with the other gateway daemons of the cell. A daemon needs the others to answer
// callers that ask where to connect, to divide shared budgets, and to learn that another daemon has a newer state.
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
  /// Fills a heartbeat with this daemon as its sender, its content revisions and all its crash reports.
  using HeartbeatFiller = std::function<void(proto::GatewayHeartbeat&)>;
  /// Is called with each accepted heartbeat or reply whose sender's state is known; the sender is complete.
  using HeartbeatHandler = std::function<void(const proto::GatewayHeartbeat&)>;
  /// Is called with each received message about usage caps, of which nothing has been checked.
  using UsageHandler = std::function<void(const proto::GatewayUsage&)>;

  /// Binds the peer address of the sender that `fill_heartbeat` sets. Throws std::system_error with the address when
  /// that fails.
  GatewayPeers(EventLoop& loop, Metrics& metrics, const MemberExchangeOptions& options,
               HeartbeatFiller fill_heartbeat, HeartbeatHandler on_heartbeat);
  ~GatewayPeers() override;

  /// Sends this daemon's changed state to its heartbeat targets and its live direct peers.
  void Announce();

  void SetUsageHandler(UsageHandler on_usage) { on_usage_ = std::move(on_usage); }
  /// Sends a message about usage caps to the daemon at a peer address. Returns its size.
  std::size_t SendUsage(const std::string& address, proto::GatewayUsage usage);
  /// Last time at which another daemon answered a heartbeat of this one, and so had received it.
  [[nodiscard]] TimePoint answered_at() const { return answered_at_; }

  /// Replaces the seeds, which can change while the daemon runs.
  void SetSeeds(std::vector<std::string> seeds) { exchange_.SetSeeds(std::move(seeds)); }

  /// Sets further daemons that are contacted like seeds.
  void SetContacts(std::vector<std::string> contacts) { exchange_.SetContacts(std::move(contacts)); }

  /// The other daemons that are alive, ordered by peer address. Valid until the next call.
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
  [[nodiscard]] proto::GatewayHeartbeat MakeSelfHeartbeat() const;
  void Send(const std::vector<MemberDatagram>& datagrams);
  void SendBytes(const std::string& address, const std::string& bytes);

  EventLoop& loop_;
  Metrics& metrics_;
  HeartbeatFiller fill_heartbeat_;
  HeartbeatHandler on_heartbeat_;
  UsageHandler on_usage_ = [](const proto::GatewayUsage&) {};
  TimePoint answered_at_{};
  MemberExchange exchange_;
  Duration tick_interval_;
  std::unique_ptr<IoSocket> socket_;
  TimerId timer_ = 0;
};

}  // namespace pimentomoor
