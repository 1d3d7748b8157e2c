// Implementation of the heartbeats between gateway daemons.
#include "pimentomoor/gateway_peers.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <set>
#include <system_error>

#include "../libnet/socket_address.h"
#include "pimentomoor/log.h"

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxDatagram = 8 * 1024;
constexpr std::size_t kMaxPeers = 256;  // of one cell; more are ignored and counted
constexpr Duration kReportedFor = std::chrono::seconds(5);

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

bool IsAddress(const std::string& text) {
  try {
    ParseSocketAddress(text);
    return true;
  } catch (const std::invalid_argument&) {
    return false;
  }
}

}  // namespace

GatewayPeers::GatewayPeers(EventLoop& loop, Metrics& metrics, GatewayPeersOptions options, Describe describe,
                           Listener listener)
    : loop_(loop),
      metrics_(metrics),
      options_(std::move(options)),
      describe_(std::move(describe)),
      listener_(std::move(listener)),
      socket_(std::make_unique<IoSocket>(loop, OpenDatagramSocket(options_.peer_address), *this)) {
  socket_->StartReading();
  timer_ = loop_.CallAfter(Duration::zero(), [this] { Tick(); });
}

GatewayPeers::~GatewayPeers() { loop_.Cancel(timer_); }

std::vector<const GatewayPeers::Peer*> GatewayPeers::Alive() const {
  std::vector<const Peer*> alive;
  for (const auto& [address, peer] : peers_) {
    if (loop_.Now() - peer.heard_at < options_.alive_for) {
      alive.push_back(&peer);
    }
  }
  return alive;
}

std::size_t GatewayPeers::CountForBudgets() const {
  return 1 + static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [this](const auto& entry) {
           return loop_.Now() - entry.second.heard_at < options_.counted_for;
         }));
}

void GatewayPeers::Tick() {
  const TimePoint now = loop_.Now();
  std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.heard_at >= options_.forgotten_after; });
  std::erase_if(reported_peers_, [&](const auto& entry) { return now - entry.second >= kReportedFor; });
  Announce();
  timer_ = loop_.CallAfter(options_.interval, [this] { Tick(); });
}

void GatewayPeers::Announce() {
  proto::GatewayHeartbeat heartbeat;
  describe_(heartbeat);
  heartbeat.set_peer_address(options_.peer_address);
  for (const Peer* peer : Alive()) {
    heartbeat.add_known_peers(peer->heartbeat.peer_address());
  }
  const std::string bytes = heartbeat.SerializeAsString();
  std::set<std::string> targets(options_.seed_peers.begin(), options_.seed_peers.end());
  for (const auto& [address, peer] : peers_) {
    targets.insert(address);
  }
  for (const auto& [address, reported] : reported_peers_) {
    targets.insert(address);
  }
  targets.erase(options_.peer_address);
  for (const auto& address : targets) {
    Send(address, bytes);
  }
}

void GatewayPeers::Send(const std::string& address, const std::string& bytes) {
  const sockaddr_in target = ParseSocketAddress(address);
  sendto(socket_->fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&target),
         sizeof(target));
}

void GatewayPeers::OnReadable() {
  std::array<char, kMaxDatagram> buffer;
  while (true) {
    const ssize_t received = recv(socket_->fd(), buffer.data(), buffer.size(), 0);
    if (received < 0) {
      return;
    }
    proto::GatewayHeartbeat heartbeat;
    if (!heartbeat.ParseFromArray(buffer.data(), static_cast<int>(received)) ||
        !IsAddress(heartbeat.peer_address()) || !IsAddress(heartbeat.caller_address())) {
      metrics_.Count("pimentomoor_gateway_heartbeats_malformed_total");
      continue;
    }
    if (heartbeat.peer_address() == options_.peer_address) {
      continue;
    }
    if (!peers_.contains(heartbeat.peer_address()) && peers_.size() >= kMaxPeers) {
      metrics_.Count("pimentomoor_gateway_peers_refused_total");
      continue;
    }
    for (const auto& address : heartbeat.known_peers()) {
      if (!peers_.contains(address) && reported_peers_.size() < kMaxPeers && IsAddress(address)) {
        reported_peers_[address] = loop_.Now();
      }
    }
    reported_peers_.erase(heartbeat.peer_address());
    auto& peer = peers_[heartbeat.peer_address()];
    if (peer.heartbeat.incarnation() != heartbeat.incarnation()) {
      LogInfo("daemon joined", {{"host", heartbeat.host()}, {"address", heartbeat.peer_address()}});
    }
    peer = {.heartbeat = heartbeat, .heard_at = loop_.Now()};
    listener_(heartbeat);
  }
}

}  // namespace pimentomoor
