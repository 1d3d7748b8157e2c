// Implementation of the addresses for tests. A process owns a block of ports while it holds the block's first port.
#include "test_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <vector>

namespace pimentomoor {

namespace {

// Linux gives the ports from 32768 on to connections. The tests with processes use ports below 30000.
constexpr int kFirstPort = 30'720;
constexpr int kEndPort = 32'768;
constexpr int kBlockPorts = 64;
constexpr int kBlocks = (kEndPort - kFirstPort) / kBlockPorts;
constexpr int kGivenPorts = kBlockPorts - 1;  // of each block; the first one is held

// Returns a socket that is bound to the port on loopback, or -1 when the port is in use. With `allow_time_wait`, it
// may have connections that this side has closed lately.
int BindPort(int port, bool allow_time_wait) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = allow_time_wait ? 1 : 0;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (fd >= 0 && (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled)) != 0 ||
                  bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)) {
    close(fd);
    return -1;
  }
  return fd;
}

// Takes a block that no other process holds, until this process ends. Returns its first port.
int TakeBlock() {
  for (int i = 0; i < kBlocks; ++i) {
    const int first_port = kFirstPort + (getpid() + i) % kBlocks * kBlockPorts;
    if (BindPort(first_port, false) >= 0) {
      return first_port;
    }
  }
  throw std::runtime_error("take test address: all blocks of ports are in use");
}

}  // namespace

std::string TakeTestAddress() {
  static std::vector<int> blocks = {TakeBlock()};
  static std::size_t next = 0;  // index of the next port among those of all blocks
  for (std::size_t tries = 0;; ++tries) {
    if (tries == blocks.size() * kGivenPorts) {
      next = tries;
      blocks.push_back(TakeBlock());
    }
    const int port = blocks[next / kGivenPorts] + 1 + static_cast<int>(next % kGivenPorts);
    next = (next + 1) % (blocks.size() * kGivenPorts);
    if (const int fd = BindPort(port, true); fd >= 0) {
      close(fd);
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

}  // namespace pimentomoor
