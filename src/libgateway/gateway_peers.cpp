// Implementation of the UDP exchange of heartbeats.
#include "pimentomoor/gateway_peers.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <system_error>

#include "../libnet/socket_address.h"

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxDatagramBytes = std::size_t{32} * 1024;

int OpenDatagramSocket(const std::string& address) {
  const sockaddr_in socket_address = ParseSocketAddress(address);
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&socket_address), sizeof(socket_address)) != 0) {
    const int error = errno;
    close(fd);
    throw std::system_error(error, std::generic_category(), "bind datagram socket to " + address);
  }
  return fd;
}

}  // namespace

GatewayPeers::GatewayPeers(EventLoop& loop, Metrics& metrics, const MemberExchangeOptions& options,
                           HeartbeatFiller fill_heartbeat, HeartbeatHandler on_heartbeat)
    : loop_(loop),
      metrics_(metrics),
      fill_heartbeat_(std::move(fill_heartbeat)),
      on_heartbeat_(std::move(on_heartbeat)),
      exchange_(MakeSelfHeartbeat(), options, loop.Now()),
      tick_interval_(options.join_interval),
      socket_(
          std::make_unique<IoSocket>(loop, OpenDatagramSocket(exchange_.members().self().peer_address()), *this)) {
  socket_->StartReading();
  timer_ = loop_.CallAfter(Duration::zero(), [this] { Tick(); });
}

GatewayPeers::~GatewayPeers() { loop_.Cancel(timer_); }

proto::GatewayHeartbeat GatewayPeers::MakeSelfHeartbeat() const {
  proto::GatewayHeartbeat heartbeat;
  fill_heartbeat_(heartbeat);
  return heartbeat;
}

void GatewayPeers::Tick() {
  exchange_.UpdateSelf(MakeSelfHeartbeat(), loop_.Now());
  Send(exchange_.Tick(loop_.Now()));
  timer_ = loop_.CallAfter(tick_interval_, [this] { Tick(); });
}

void GatewayPeers::Announce() {
  exchange_.UpdateSelf(MakeSelfHeartbeat(), loop_.Now());
  Send(exchange_.Announce(loop_.Now()));
}

void GatewayPeers::Send(const std::vector<MemberDatagram>& datagrams) {
  for (const auto& datagram : datagrams) {
    const std::string bytes = datagram.heartbeat.SerializeAsString();
    metrics_.Count("pimentomoor_gateway_heartbeat_bytes_total", bytes.size());
    SendBytes(datagram.receiver_address, bytes);
  }
}

std::size_t GatewayPeers::SendUsage(const std::string& address, proto::GatewayUsage usage) {
  proto::GatewayHeartbeat datagram;
  *datagram.mutable_usage() = std::move(usage);
  const std::string bytes = datagram.SerializeAsString();
  SendBytes(address, bytes);
  return bytes.size();
}

void GatewayPeers::SendBytes(const std::string& address, const std::string& bytes) {
  const sockaddr_in receiver = ParseSocketAddress(address);
  sendto(socket_->fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&receiver),
         sizeof(receiver));
}

void GatewayPeers::OnReadable() {
  static std::array<char, kMaxDatagramBytes> buffer;  // shared by all instances; one thread runs the event loop
  while (true) {
    const ssize_t received_bytes = recv(socket_->fd(), buffer.data(), buffer.size(), 0);
    if (received_bytes < 0) {
      return;
    }
    proto::GatewayHeartbeat heartbeat;
    if (!heartbeat.ParseFromArray(buffer.data(), static_cast<int>(received_bytes))) {
      metrics_.Count("pimentomoor_gateway_heartbeats_malformed_total");
    } else if (heartbeat.has_usage()) {
      on_usage_(heartbeat.usage());
    } else {
      Receive(std::move(heartbeat));
    }
  }
}

void GatewayPeers::Receive(proto::GatewayHeartbeat heartbeat) {
  bool accepted = false;
  exchange_.UpdateSelf(MakeSelfHeartbeat(), loop_.Now());
  Send(exchange_.Receive(heartbeat, loop_.Now(), accepted));
  if (!accepted) {
    metrics_.Count("pimentomoor_gateway_heartbeats_refused_total");
    return;
  }
  if (heartbeat.reply() && heartbeat.counted_daemons() > 0) {  // announcements and pushes don't set it
    answered_at_ = loop_.Now();
  }
  const proto::GatewayMember* sender = exchange_.members().FindDirectPeer(heartbeat.sender().peer_address());
  if (sender != nullptr && sender->incarnation() == heartbeat.sender().incarnation()) {
    *heartbeat.mutable_sender() = *sender;
    on_heartbeat_(heartbeat);
  }
}

}  // namespace pimentomoor
