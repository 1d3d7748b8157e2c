// Readiness events of one non-blocking descriptor on the event loop.
//
// The owner reads and writes the descriptor itself, so that it can tell the end of a stream from a reset, which h2o's
// socket functions report alike.
#pragma once

#include "pimentomoor/event_loop.h"

struct st_h2o_socket_t;

namespace pimentomoor {

/// Receives the readiness events of an IoSocket. An event handler may destroy the IoSocket.
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

  /// Calls OnReadable() whenever data, the end of the stream or an error can be read, until StopReading().
  void StartReading();
  void StopReading();

  /// Calls OnWritable() once, as soon as the descriptor is writable or has failed. Requests made before that call are
  /// merged.
  void NotifyWritable();

  [[nodiscard]] int fd() const { return fd_; }

 private:
  IoHandler& handler_;
  int fd_;
  st_h2o_socket_t* socket_;         // owns fd_
  bool awaiting_writable_ = false;  // a notification is pending; h2o accepts only one at a time
};

}  // namespace pimentomoor
