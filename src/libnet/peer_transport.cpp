// Implementation of the peer transport with ZeroMQ: one PULL socket for receiving, and one PUSH socket for each peer.
#include "pimentomoor/peer_transport.h"

#include <algorithm>
#include <map>
#include <stdexcept>
#include <string>
#include <zmq.hpp>

#include "peer.pb.h"

namespace pimentomoor {

namespace {

// Intervals of the attempts to reconnect to a peer, which grow from the minimum to the maximum.
constexpr int kReconnectMinMs = 50;
constexpr int kReconnectMaxMs = 1'000;
// Maximum number of messages handled in one turn of the event loop, so that timers and callers' requests are not
// starved.
constexpr int kMaxMessagesPerTurn = 256;

}  // namespace

class PeerTransport::Impl {
 public:
  Impl(EventLoop& loop, PeerTransportOptions options);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Send(const std::string& address, const proto::Envelope& message);
  void Disconnect(const std::string& address) { peers_.erase(address); }

  std::string address_;
  Handler handler_;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
  std::uint64_t received_messages_dropped_ = 0;

 private:
  void ReceivePending();
  zmq::socket_t& PeerSocket(const std::string& address);
  bool SendNow(const std::string& address, const std::string& bytes);

  EventLoop& loop_;
  PeerTransportOptions options_;
  zmq::context_t context_{1};
  zmq::socket_t receiver_;
  struct Peer {
    zmq::socket_t socket;
    std::uint64_t last_use = 0;  // value of use_count_ at the latest use
  };

  std::map<std::string, Peer> peers_;  // at most options_.max_peers
  std::uint64_t use_count_ = 0;        // number of uses of all peers, as a clock for Peer::last_use
  // False after destruction; checked by posted callbacks.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

PeerTransport::Impl::Impl(EventLoop& loop, PeerTransportOptions options)
    : loop_(loop), options_(std::move(options)), receiver_(context_, zmq::socket_type::pull) {
  receiver_.set(zmq::sockopt::rcvhwm, options_.high_water_mark);
  receiver_.set(zmq::sockopt::maxmsgsize, options_.max_message_bytes);
  receiver_.set(zmq::sockopt::linger, 0);
  try {
    receiver_.bind("tcp://" + options_.listen_address);
  } catch (const zmq::error_t& error) {
    throw std::runtime_error("listen for peers on " + options_.listen_address + ": " + error.what());
  }
  const std::string endpoint = receiver_.get(zmq::sockopt::last_endpoint);
  address_ = endpoint.substr(std::string("tcp://").size());
  loop_.WatchReadable(receiver_.get(zmq::sockopt::fd), [this] { ReceivePending(); });
}

PeerTransport::Impl::~Impl() {
  *alive_ = false;
  loop_.Unwatch(receiver_.get(zmq::sockopt::fd));
}

void PeerTransport::Impl::ReceivePending() {
  // ZMQ_FD is edge-triggered and does not signal again while messages are waiting, so messages are read until
  // ZMQ_EVENTS reports none.
  for (int i = 0; i < kMaxMessagesPerTurn; ++i) {
    if ((receiver_.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0) {
      return;
    }
    zmq::message_t frame;
    if (!receiver_.recv(frame, zmq::recv_flags::dontwait)) {
      return;
    }
    bytes_received_ += frame.size();
    // The arena avoids most memory allocations for a message with many rows.
    google::protobuf::Arena arena;
    auto& message = *google::protobuf::Arena::CreateMessage<proto::Envelope>(&arena);
    if (frame.more() || !message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
      ++received_messages_dropped_;
      continue;
    }
    if (handler_) {
      handler_(message);
    }
  }
  loop_.Post([this, alive = alive_] {
    if (*alive) {
      ReceivePending();
    }
  });
}

zmq::socket_t& PeerTransport::Impl::PeerSocket(const std::string& address) {
  const auto it = peers_.find(address);
  if (it != peers_.end()) {
    it->second.last_use = ++use_count_;
    return it->second.socket;
  }
  if (peers_.size() >= options_.max_peers) {
    peers_.erase(std::min_element(peers_.begin(), peers_.end(), [](const auto& left, const auto& right) {
      return left.second.last_use < right.second.last_use;
    }));
  }
  zmq::socket_t socket(context_, zmq::socket_type::push);
  socket.set(zmq::sockopt::sndhwm, options_.high_water_mark);
  socket.set(zmq::sockopt::linger, 0);
  // Without this option, a message for a peer that is down would be queued and delivered to the restarted process.
  socket.set(zmq::sockopt::immediate, true);
  const auto heartbeat_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(options_.heartbeat_interval).count();
  socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(heartbeat_ms));
  socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(heartbeat_ms * 3));
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMinMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
  socket.connect("tcp://" + address);
  return peers_.emplace(address, Peer{.socket = std::move(socket), .last_use = ++use_count_}).first->second.socket;
}

bool PeerTransport::Impl::SendNow(const std::string& address, const std::string& bytes) {
  try {
    if (!PeerSocket(address).send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
      return false;
    }
  } catch (const zmq::error_t&) {
    peers_.erase(address);  // the address is malformed, or ZeroMQ has closed the socket
    return false;
  }
  bytes_sent_ += bytes.size();
  return true;
}

bool PeerTransport::Impl::Send(const std::string& address, const proto::Envelope& message) {
  std::string bytes;
  if (!message.SerializeToString(&bytes)) {
    return false;
  }
  if (options_.added_send_delay == Duration::zero()) {
    return SendNow(address, bytes);
  }
  loop_.CallAfter(options_.added_send_delay, [this, alive = alive_, address, bytes = std::move(bytes)] {
    if (*alive) {
      SendNow(address, bytes);
    }
  });
  return true;
}

PeerTransport::PeerTransport(EventLoop& loop, PeerTransportOptions options)
    : impl_(std::make_unique<Impl>(loop, std::move(options))) {}
PeerTransport::~PeerTransport() = default;

std::string PeerTransport::address() const { return impl_->address_; }
void PeerTransport::OnMessage(Handler handler) { impl_->handler_ = std::move(handler); }

bool PeerTransport::Send(const std::string& address, const proto::Envelope& message) {
  return impl_->Send(address, message);
}

void PeerTransport::Disconnect(const std::string& address) { impl_->Disconnect(address); }
std::uint64_t PeerTransport::bytes_sent() const { return impl_->bytes_sent_; }
std::uint64_t PeerTransport::bytes_received() const { return impl_->bytes_received_; }
std::uint64_t PeerTransport::received_messages_dropped() const { return impl_->received_messages_dropped_; }

}  // namespace pimentomoor
