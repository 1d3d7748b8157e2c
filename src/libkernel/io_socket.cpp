// Implementation of readiness events with h2o sockets that have H2O_SOCKET_FLAG_DONT_READ set.
#include "pimentomoor/io_socket.h"

#include <h2o.h>

namespace pimentomoor {

IoSocket::IoSocket(EventLoop& loop, int fd, IoHandler& handler)
    : handler_(handler), fd_(fd), socket_(h2o_evloop_socket_create(loop.native(), fd, H2O_SOCKET_FLAG_DONT_READ)) {
  socket_->data = this;
}

IoSocket::~IoSocket() { h2o_socket_close(socket_); }

void IoSocket::StartReading() {
  h2o_socket_read_start(socket_, [](h2o_socket_t* socket, const char*) {
    static_cast<IoSocket*>(socket->data)->handler_.OnReadable();
  });
}

void IoSocket::StopReading() { h2o_socket_read_stop(socket_); }

void IoSocket::NotifyWritable() {
  if (awaiting_writable_) {
    return;
  }
  awaiting_writable_ = true;
  h2o_socket_notify_write(socket_, [](h2o_socket_t* socket, const char*) {
    auto* self = static_cast<IoSocket*>(socket->data);
    self->awaiting_writable_ = false;
    self->handler_.OnWritable();
  });
}

}  // namespace pimentomoor
