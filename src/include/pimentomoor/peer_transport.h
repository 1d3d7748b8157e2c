// One-way messages between daemons over ZeroMQ PUSH/PULL sockets.
//
// Messages are delivered at most once, and not necessarily in order across reconnects. Send() refuses a message to a
// peer that is not connected, because a queued message could otherwise reach the peer after a restart.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "pimentomoor/event_loop.h"

namespace pimentomoor {

namespace proto {
class Envelope;
}  // namespace proto

struct PeerTransportOptions {
  std::string listen_address = "127.0.0.1:0";                      // "IP:port"; port 0 lets the kernel choose
  std::int64_t max_message_bytes = std::int64_t{4} * 1024 * 1024;  // a peer that sends more is disconnected
  // Maximum number of connections for sending; a new one replaces the least recently used. This is several times the
  // 32 daemons of a cell, and far below ZeroMQ's limit of 1,023 sockets, at which no new peer could be reached.
  std::size_t max_peers = 256;
  // Maximum number of messages queued in each direction of a connection; Send() refuses further ones.
  int high_water_mark = 1'000;
  Duration heartbeat_interval = std::chrono::seconds(1);  // a connection is closed after three intervals of silence
  Duration added_send_delay = Duration::zero();           // delays every message, to simulate distant peers
};

/// Sends messages to other daemons and receives theirs.
class PeerTransport {
 public:
  using Handler = std::function<void(const proto::Envelope&)>;

  /// Binds the receiving socket. Throws std::runtime_error with the address when that fails.
  PeerTransport(EventLoop& loop, PeerTransportOptions options);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// "IP:port" that peers send to.
  [[nodiscard]] std::string address() const;

  /// Sets the handler of received messages. Messages that can't be parsed are dropped and counted.
  void OnMessage(Handler handler);

  /// Queues `message` for the peer that listens at `address`, and connects to it when needed. Returns false when the
  /// message was not queued, because the peer is not connected yet or its queue is full. A queued message may still
  /// be lost. With an added_send_delay, queueing happens later and the result is always true.
  bool Send(const std::string& address, const proto::Envelope& message);

  /// Closes the connection for sending to a peer that has left. Send() opens it again when needed.
  void Disconnect(const std::string& address);

  [[nodiscard]] std::uint64_t bytes_sent() const;
  [[nodiscard]] std::uint64_t bytes_received() const;
  /// Number of received messages that could not be parsed.
  [[nodiscard]] std::uint64_t received_messages_dropped() const;

  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace pimentomoor
