// Implementation of the heartbeats between gateway daemons.
#include "pimentomoor/gateway_peers.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <set>
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

proto::GatewayMember DescribeSelf(const GatewayPeers::Describe& describe) {
  proto::GatewayHeartbeat heartbeat;
  describe(heartbeat);
  return heartbeat.sender();
}

}  // namespace

GatewayPeers::GatewayPeers(EventLoop& loop, Metrics& metrics, GatewayPeersOptions options, Describe describe,
                           Listener listener)
    : loop_(loop),
      metrics_(metrics),
      options_(std::move(options)),
      describe_(std::move(describe)),
      listener_(std::move(listener)),
      members_(DescribeSelf(describe_)),
      socket_(std::make_unique<IoSocket>(loop, OpenDatagramSocket(members_.self().peer_address()), *this)),
      started_(loop.Now()) {
  socket_->StartReading();
  timer_ = loop_.CallAfter(Duration::zero(), [this] { Tick(); });
}

GatewayPeers::~GatewayPeers() { loop_.Cancel(timer_); }

void GatewayPeers::Tick() {
  const TimePoint now = loop_.Now();
  members_.UpdateSelf(DescribeSelf(describe_));
  const auto found = members_.Targets(now);
  std::set<std::string> targets(found.begin(), found.end());
  // Seeds are asked on, more rarely, so that two halves of a cell that lost each other meet again.
  if (targets.empty() || now - seeds_asked_ >= options_.seed_interval) {
    seeds_asked_ = now;
    targets.insert(options_.seed_peers.begin(), options_.seed_peers.end());
  }
  targets.erase(members_.self().peer_address());
  for (const auto& address : targets) {
    Send(address, members_.MakeHeartbeat(address));
  }
  const bool joining = found.empty() && now - started_ < options_.join_time;
  timer_ = loop_.CallAfter(joining ? options_.join_interval : options_.interval, [this] { Tick(); });
}

void GatewayPeers::Announce() {
  const TimePoint now = loop_.Now();
  members_.UpdateSelf(DescribeSelf(describe_));
  const auto listeners = members_.Listeners(now);
  std::set<std::string> receivers(listeners.begin(), listeners.end());
  for (const auto& address : members_.Targets(now)) {
    receivers.insert(address);
  }
  for (const auto& address : receivers) {
    // Sent as a reply without changes of the list: it tells this daemon's state and asks for no answer.
    proto::GatewayHeartbeat news;
    news.set_reply(true);
    Send(address, std::move(news));
  }
}

void GatewayPeers::Send(const std::string& address, proto::GatewayHeartbeat heartbeat) {
  describe_(heartbeat);
  const std::string bytes = heartbeat.SerializeAsString();
  const sockaddr_in target = ParseSocketAddress(address);
  metrics_.Count("pimentomoor_gateway_heartbeat_bytes_total", bytes.size());
  sendto(socket_->fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&target),
         sizeof(target));
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
      Receive(heartbeat);
    } else {
      metrics_.Count("pimentomoor_gateway_heartbeats_malformed_total");
    }
  }
}

void GatewayPeers::Receive(const proto::GatewayHeartbeat& heartbeat) {
  const TimePoint now = loop_.Now();
  if (!members_.Receive(heartbeat, now)) {
    metrics_.Count("pimentomoor_gateway_heartbeats_refused_total");
    return;
  }
  if (!heartbeat.reply()) {
    Send(heartbeat.sender().peer_address(), members_.MakeReply(heartbeat, now));
  }
  listener_(heartbeat);
}

}  // namespace pimentomoor
