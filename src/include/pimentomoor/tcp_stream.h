// A TCP connection on the event loop: connect, read as it arrives, buffered writes, and how the connection ended.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "pimentomoor/event_loop.h"
#include "pimentomoor/io_socket.h"

namespace pimentomoor {

enum class StreamEnd {
  kClosed,         // the peer closed in order: all that it sent has arrived
  kReset,          // reset, timed out or otherwise broken: bytes may be missing
  kConnectFailed,  // never connected: nothing was sent
};

/// Receives the events of a TcpStream. A handler may destroy the stream from inside a call.
class TcpStreamHandler {
 public:
  virtual ~TcpStreamHandler() = default;
  virtual void OnConnected() {}
  /// `bytes` are valid during the call only.
  virtual void OnData(std::string_view bytes) = 0;
  virtual void OnEnd(StreamEnd end) = 0;
  /// All written bytes have been handed to the kernel after some had to wait.
  virtual void OnDrained() {}
};

struct TcpOptions {
  // The kernel ends a connection whose sent bytes stay unacknowledged for so long; zero leaves its default of
  // minutes.
  Duration user_timeout{};
  // Probes an idle connection after this time and then every second; zero sends none.
  Duration keepalive_idle{};
};

class TcpStream final : public IoHandler {
 public:
  /// Starts a connection to "IP:port". Returns null when it fails at once; otherwise OnConnected() or
  /// OnEnd(kConnectFailed) follows.
  static std::unique_ptr<TcpStream> Connect(EventLoop& loop, const std::string& address, TcpStreamHandler& handler,
                                            const TcpOptions& options = {});

  /// Takes over an accepted connection.
  TcpStream(EventLoop& loop, int fd, TcpStreamHandler& handler, const TcpOptions& options = {});
  ~TcpStream() override = default;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Sends `bytes`, or keeps what the kernel does not take yet. A failure is reported by OnEnd().
  void Write(std::string_view bytes);

  /// Ends the sending direction once all bytes are sent.
  void ShutdownWrite();

  [[nodiscard]] bool connected() const { return connected_; }
  /// Nothing listens at the address. A connection that was taken and then reset, or not answered, is not refused.
  [[nodiscard]] bool connect_refused() const { return connect_refused_; }
  [[nodiscard]] std::size_t unsent_bytes() const { return unsent_.size(); }

 private:
  void OnReadable() override;
  void OnWritable() override;
  void FinishConnect();
  void FlushUnsent();

  TcpStreamHandler& handler_;
  IoSocket io_;
  bool connected_ = true;
  bool connect_refused_ = false;
  bool shutdown_requested_ = false;
  std::string unsent_;  // bytes that the kernel has not taken, in order
};

/// Accepts TCP connections.
class TcpListener final : public IoHandler {
 public:
  using AcceptCallback = std::function<void(int fd)>;  // takes ownership of the descriptor

  /// Binds and listens on "IP:port". Throws std::system_error that names the address.
  TcpListener(EventLoop& loop, const std::string& address, AcceptCallback on_accept);

  /// "IP:port" as bound, with the port that the kernel chose for port 0.
  [[nodiscard]] std::string address() const;

 private:
  void OnReadable() override;
  void OnWritable() override {}

  AcceptCallback on_accept_;
  IoSocket io_;
};

}  // namespace pimentomoor
