// Implementation of the heartbeats between gateway daemons.
#include "pimentomoor/gateway_peers.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <system_error>

#include "../libnet/socket_address.h"

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxDatagram = std::size_t{32} * 1024;

int OpenDatagramSocket(const std::string& address) {
  const sockaddr_in bound = ParseSocketAddress(address);
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0) {
    const int error = errno;
    close(fd);
    throw std::system_error(error, std::generic_category(), "bind datagram socket to " + address);
  }
  return fd;
}

}  // namespace

GatewayPeers::GatewayPeers(EventLoop& loop, Metrics& metrics, const MemberExchangeOptions& options, Describe describe,
                           Listener listener)
    : loop_(loop),
      metrics_(metrics),
      describe_(std::move(describe)),
      listener_(std::move(listener)),
      exchange_(Described(), options, loop.Now()),
      tick_(options.join_interval),
      socket_(
          std::make_unique<IoSocket>(loop, OpenDatagramSocket(exchange_.members().self().peer_address()), *this)) {
  socket_->StartReading();
  timer_ = loop_.CallAfter(Duration::zero(), [this] { Tick(); });
}

GatewayPeers::~GatewayPeers() { loop_.Cancel(timer_); }

proto::GatewayHeartbeat GatewayPeers::Described() const {
  proto::GatewayHeartbeat heartbeat;
  describe_(heartbeat);
  return heartbeat;
}

void GatewayPeers::Tick() {
  exchange_.UpdateSelf(Described(), loop_.Now());
  Send(exchange_.Tick(loop_.Now()));
  timer_ = loop_.CallAfter(tick_, [this] { Tick(); });
}

void GatewayPeers::Announce() {
  exchange_.UpdateSelf(Described(), loop_.Now());
  Send(exchange_.Announce(loop_.Now()));
}

void GatewayPeers::Send(const std::vector<MemberDatagram>& datagrams) {
  for (const auto& datagram : datagrams) {
    const std::string bytes = datagram.heartbeat.SerializeAsString();
    const sockaddr_in target = ParseSocketAddress(datagram.receiver_address);
    metrics_.Count("pimentomoor_gateway_heartbeat_bytes_total", bytes.size());
    sendto(socket_->fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&target),
           sizeof(target));
  }
}

void GatewayPeers::OnReadable() {
  static std::array<char, kMaxDatagram> buffer;  // one thread runs the loop
  while (true) {
    const ssize_t received = recv(socket_->fd(), buffer.data(), buffer.size(), 0);
    if (received < 0) {
      return;
    }
    proto::GatewayHeartbeat heartbeat;
    if (heartbeat.ParseFromArray(buffer.data(), static_cast<int>(received))) {
      Receive(std::move(heartbeat));
    } else {
      metrics_.Count("pimentomoor_gateway_heartbeats_malformed_total");
    }
  }
}

void GatewayPeers::Receive(proto::GatewayHeartbeat heartbeat) {
  bool taken = false;
  exchange_.UpdateSelf(Described(), loop_.Now());
  Send(exchange_.Receive(heartbeat, loop_.Now(), taken));
  if (!taken) {
    metrics_.Count("pimentomoor_gateway_heartbeats_refused_total");
    return;
  }
  const proto::GatewayMember* sender = exchange_.members().FindHeard(heartbeat.sender().peer_address());
  if (sender != nullptr && sender->incarnation() == heartbeat.sender().incarnation()) {
    *heartbeat.mutable_sender() = *sender;
    listener_(heartbeat);
  }
}

}  // namespace pimentomoor
