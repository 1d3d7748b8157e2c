// One-way messages between daemons over ZeroMQ PUSH/PULL sockets.
//
// Delivery is at most once and unordered across reconnects: a message to a peer that is not connected is refused by
// Send() instead of waiting in a queue and arriving after the peer has restarted.
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
  std::string listen_address = "127.0.0.1:0";                      // "IP:port"; port 0 takes a free port
  std::int64_t max_message_bytes = std::int64_t{4} * 1024 * 1024;  // a peer that sends more is disconnected
  // Connections kept for sending; the one unused for longest is closed for a new one. Several times the 32 daemons of
  // a cell, and far below ZeroMQ's limit of 1,023 sockets, at which no new peer could be reached.
  std::size_t max_peers = 256;
  int high_water_mark = 1'000;                            // messages queued in each direction before Send() refuses
  Duration heartbeat_interval = std::chrono::seconds(1);  // dead TCP connections are closed after three of these
  Duration added_send_delay = Duration::zero();  // delays every sent message, to model distance in experiments
};

class PeerTransport {
 public:
  using Handler = std::function<void(const proto::Envelope&)>;

  /// Binds. Throws std::runtime_error that names the address when that fails.
  PeerTransport(EventLoop& loop, PeerTransportOptions options);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  [[nodiscard]] std::string address() const;

  /// Called for every message that parses; others are counted and dropped.
  void OnMessage(Handler handler);

  /// Queues `message` for the peer listening at `address` and connects when needed. Returns false when it was not
  /// queued: the peer is not connected yet, or its queue is full. A sent message may still be lost.
  bool Send(const std::string& address, const proto::Envelope& message);

  /// Closes the connection to a peer that has left.
  void Disconnect(const std::string& address);

  [[nodiscard]] std::uint64_t bytes_sent() const;
  [[nodiscard]] std::uint64_t bytes_received() const;
  [[nodiscard]] std::uint64_t received_messages_dropped() const;

  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace pimentomoor
