// Readiness events of one non-blocking descriptor on the event loop.
//
// The caller reads and writes the descriptor itself, so that it sees how a connection ended (end of stream or reset),
// which h2o's own socket functions do not tell apart.
#pragma once

#include "pimentomoor/event_loop.h"

struct st_h2o_socket_t;

namespace pimentomoor {

/// Receives readiness events. A handler may destroy the IoSocket from inside a call.
class IoHandler {
 public:
  virtual ~IoHandler() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
};

class IoSocket {
 public:
  /// Takes ownership of `fd`, which must be non-blocking. `handler` must outlive the socket.
  IoSocket(EventLoop& loop, int fd, IoHandler& handler);
  ~IoSocket();
  IoSocket(const IoSocket&) = delete;
  IoSocket& operator=(const IoSocket&) = delete;

  /// Calls OnReadable() whenever there is something to read, an end or an error, until StopReading().
  void StartReading();
  void StopReading();

  /// Calls OnWritable() once, when the descriptor is next writable or failed.
  void NotifyWritable();

  [[nodiscard]] int fd() const { return fd_; }

 private:
  IoHandler& handler_;
  int fd_;
  st_h2o_socket_t* socket_;         // owns fd_
  bool awaiting_writable_ = false;  // h2o accepts one notification at a time
};

}  // namespace pimentomoor
