// Implementation of TCP connections and listeners.
#include "pimentomoor/tcp_stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

#include "socket_address.h"

namespace pimentomoor {

namespace {

constexpr int kListenBacklog = 1024;
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
constexpr int kUnsentInKernelBytes = 128 * 1024;
constexpr int kKeepaliveProbes = 2;  // unanswered probes after which the kernel ends the connection
constexpr int kKeepaliveIntervalS = 1;
constexpr Duration kNoDescriptorPause = std::chrono::milliseconds(100);  // in accepting connections

template <typename Value>
void SetOption(int fd, int level, int option, Value value) {
  setsockopt(fd, level, option, &value, sizeof(value));
}

void ApplyOptions(int fd, const TcpOptions& options) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  if (options.user_timeout > Duration::zero()) {
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(options.user_timeout);
    SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned>(timeout.count()));
  }
  if (options.keepalive_idle > Duration::zero()) {
    const auto idle = std::chrono::ceil<std::chrono::seconds>(options.keepalive_idle);
    SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(idle.count()));
    SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalS);
    SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  }
}

int OpenSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

int OpenListener(const std::string& address) {
  const sockaddr_in bound = ParseSocketAddress(address);
  const int fd = OpenSocket();
  SetOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const int error = errno;
    close(fd);
    throw std::system_error(error, std::generic_category(), "listen on " + address);
  }
  return fd;
}

}  // namespace

std::unique_ptr<TcpStream> TcpStream::Connect(EventLoop& loop, const std::string& address, TcpStreamHandler& handler,
                                              const TcpOptions& options) {
  const sockaddr_in peer = ParseSocketAddress(address);
  const int fd = OpenSocket();
  if (fd < 0) {
    return nullptr;
  }
  ApplyOptions(fd, options);
  const int result = connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer));
  if (result != 0 && errno != EINPROGRESS) {
    close(fd);
    return nullptr;
  }
  auto stream = std::make_unique<TcpStream>(loop, fd, handler);
  // A connection that is established immediately is reported by the event loop too, never from inside Connect().
  stream->connected_ = false;
  stream->io_.StopReading();
  stream->io_.NotifyWritable();
  return stream;
}

TcpStream::TcpStream(EventLoop& loop, int fd, TcpStreamHandler& handler, const TcpOptions& options)
    : handler_(handler), io_(loop, fd, *this) {
  ApplyOptions(fd, options);
  io_.StartReading();
}

void TcpStream::Write(std::string_view bytes) {
  if (connected_ && unsent_bytes() == 0) {
    const ssize_t sent = send(io_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    } else if (errno != EAGAIN && errno != EINTR) {
      return;  // OnReadable() reports the end of the connection
    }
  }
  if (!bytes.empty()) {
    unsent_.append(bytes);
    io_.NotifyWritable();
  }
}

std::size_t TcpStream::WriteSome(std::string_view bytes) {
  if (!connected_ || unsent_bytes() > 0 || bytes.empty()) {
    return 0;
  }
  const ssize_t sent = send(io_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent < 0 && errno != EAGAIN && errno != EINTR) {
    return 0;  // OnReadable() reports the end of the connection
  }
  const auto taken = static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
  if (taken < bytes.size()) {
    io_.NotifyWritable();
  }
  return taken;
}

void TcpStream::LimitKernelBuffer() { SetOption(io_.fd(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, kUnsentInKernelBytes); }

void TcpStream::ShutdownWrite() {
  shutdown_requested_ = true;
  if (unsent_bytes() == 0 && connected_) {
    shutdown(io_.fd(), SHUT_WR);
  }
}

void TcpStream::OnReadable() {
  // Shared by all streams, because only one thread runs the event loop and handlers copy the bytes they keep.
  static std::array<char, kReadBytes> buffer;
  const ssize_t received = recv(io_.fd(), buffer.data(), buffer.size(), 0);
  if (received > 0) {
    handler_.OnData(std::string_view(buffer.data(), static_cast<std::size_t>(received)));
  } else if (received == 0) {
    handler_.OnEnd(StreamEnd::kClosed);
  } else if (errno != EAGAIN && errno != EINTR) {
    handler_.OnEnd(StreamEnd::kReset);
  }
}

void TcpStream::OnWritable() {
  if (connected_) {
    FlushUnsent();
  } else {
    FinishConnect();
  }
}

void TcpStream::FinishConnect() {
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(io_.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    connect_refused_ = error == ECONNREFUSED;
    handler_.OnEnd(StreamEnd::kConnectFailed);
    return;
  }
  connected_ = true;
  io_.StartReading();
  if (unsent_bytes() > 0) {
    io_.NotifyWritable();
  }
  handler_.OnConnected();
}

void TcpStream::FlushUnsent() {
  // Nothing is unsent after WriteSome().
  const ssize_t sent = send(io_.fd(), unsent_.data() + unsent_begin_, unsent_bytes(), MSG_NOSIGNAL);
  if (sent < 0 && errno != EAGAIN && errno != EINTR) {
    return;  // OnReadable() reports the end of the connection
  }
  unsent_begin_ += sent > 0 ? static_cast<std::size_t>(sent) : 0;
  if (unsent_bytes() > 0) {
    io_.NotifyWritable();
    return;
  }
  std::string().swap(unsent_);  // an assignment would keep the memory
  unsent_begin_ = 0;
  if (shutdown_requested_) {
    shutdown(io_.fd(), SHUT_WR);
  }
  handler_.OnDrained();
}

std::string TcpStream::peer_host() const { return PeerHost(io_.fd()); }

std::string PeerHost(int fd) {
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
    return "";
  }
  const std::string address = FormatSocketAddress(peer);
  return address.substr(0, address.rfind(':'));
}

TcpListener::TcpListener(EventLoop& loop, const std::string& address, AcceptCallback on_accept)
    : loop_(loop), on_accept_(std::move(on_accept)), io_(loop, OpenListener(address), *this) {
  io_.StartReading();
}

std::string TcpListener::address() const {
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(io_.fd(), reinterpret_cast<sockaddr*>(&bound), &size);
  return FormatSocketAddress(bound);
}

void TcpListener::OnReadable() {
  while (true) {
    const int fd = accept4(io_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EMFILE || errno == ENFILE) {
        // The connection stays in the kernel's queue and would wake the loop in each turn.
        io_.StopReading();
        resume_timer_ = loop_.CallAfter(kNoDescriptorPause, [this] { io_.StartReading(); });
      }
      return;
    }
    on_accept_(fd);
  }
}

}  // namespace pimentomoor
