// TCP connections and listeners on the event loop. A TcpStream delivers data as it arrives, buffers writes, and
// reports how the connection ended.
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

/// How a connection ended.
enum class StreamEnd {
  kClosed,         // the peer closed it in order, so all bytes that the peer sent have arrived
  kReset,          // reset, timed out or otherwise broken, so bytes may be missing
  kConnectFailed,  // never established, so nothing was sent
};

/// Receives the events of a TcpStream. An event handler may destroy the stream.
class TcpStreamHandler {
 public:
  virtual ~TcpStreamHandler() = default;
  virtual void OnConnected() {}
  /// Data has arrived. `bytes` is valid during this call only.
  virtual void OnData(std::string_view bytes) = 0;
  /// The connection has ended. The handler is expected to destroy the stream.
  virtual void OnEnd(StreamEnd end) = 0;
  /// The kernel has taken all written bytes, after it could not take them all at once, or can take more of those that
  /// TcpStream::WriteSome() left.
  virtual void OnDrained() {}
};

struct TcpOptions {
  // Time after which the kernel ends a connection whose sent bytes are not acknowledged. Zero leaves the kernel's
  // default, which is several minutes.
  Duration user_timeout{};
  // Idle time after which the kernel sends the first keep-alive probe; further ones follow every second. Zero
  // disables the probes.
  Duration keepalive_idle{};
};

/// A TCP connection.
class TcpStream final : public IoHandler {
 public:
  /// Starts connecting to the "IP:port" in `address`. Returns null when that fails immediately; otherwise
  /// OnConnected() or OnEnd(kConnectFailed) follows.
  static std::unique_ptr<TcpStream> Connect(EventLoop& loop, const std::string& address, TcpStreamHandler& handler,
                                            const TcpOptions& options = {});

  /// Takes ownership of the descriptor of an accepted connection.
  TcpStream(EventLoop& loop, int fd, TcpStreamHandler& handler, const TcpOptions& options = {});
  ~TcpStream() override = default;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Sends `bytes`, and buffers those that the kernel can't take yet. OnEnd() reports a failure.
  void Write(std::string_view bytes);

  /// Sends as much of `bytes` as the kernel takes now, buffers nothing, and returns the number of bytes sent. When
  /// that is less than all, OnDrained() follows as soon as the kernel can take more.
  std::size_t WriteSome(std::string_view bytes);

  /// Shuts down the sending direction once all buffered bytes are sent.
  void ShutdownWrite();

  [[nodiscard]] bool connected() const { return connected_; }
  /// Whether connecting failed because nothing listens at the address. False when the connection was accepted and
  /// then reset, or when the server did not reply.
  [[nodiscard]] bool connect_refused() const { return connect_refused_; }
  /// Limits the bytes that the kernel takes before it sends them, so that unsent_bytes() follows what the peer
  /// receives.
  void LimitKernelBuffer();

  /// Number of buffered bytes that the kernel has not taken.
  [[nodiscard]] std::size_t unsent_bytes() const { return unsent_.size() - unsent_begin_; }
  /// IP address of the peer, without the port; empty when it is unknown.
  [[nodiscard]] std::string peer_host() const;

 private:
  void OnReadable() override;
  void OnWritable() override;
  void FinishConnect();
  void FlushUnsent();

  TcpStreamHandler& handler_;
  IoSocket io_;
  bool connected_ = true;
  bool connect_refused_ = false;
  bool shutdown_requested_ = false;  // ShutdownWrite() was called
  std::string unsent_;               // written bytes, in order; those from unsent_begin_ on are not sent
  std::size_t unsent_begin_ = 0;
};

/// IP address of the peer of a connected socket, without the port; empty when it is unknown.
std::string PeerHost(int fd);

/// Listens for TCP connections and accepts them. While the process has no descriptor left, it accepts none.
class TcpListener final : public IoHandler {
 public:
  using AcceptCallback = std::function<void(int fd)>;  // takes ownership of `fd`

  /// Binds and listens on the "IP:port" in `address`. Throws std::system_error with the address when that fails.
  TcpListener(EventLoop& loop, const std::string& address, AcceptCallback on_accept);
  ~TcpListener() override { loop_.Cancel(resume_timer_); }
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// The bound "IP:port", with the port that the kernel chose when port 0 was given.
  [[nodiscard]] std::string address() const;

 private:
  void OnReadable() override;
  void OnWritable() override {}

  EventLoop& loop_;
  AcceptCallback on_accept_;
  IoSocket io_;
  TimerId resume_timer_ = 0;  // set while accepting is paused
};

}  // namespace pimentomoor
