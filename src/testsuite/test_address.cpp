// Implementation of the addresses for tests. A process owns a block of ports while it holds the block's first port.
#include "test_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace pimentomoor {

namespace {

// Linux gives the ports from 32768 on to connections. The tests with processes use ports below 30000.
constexpr int kFirstPort = 30'720;
constexpr int kEndPort = 32'768;
constexpr int kBlockPorts = 64;
constexpr int kBlocks = (kEndPort - kFirstPort) / kBlockPorts;

// Returns a socket that is bound to the port on loopback, or -1 when the port is in use.
int BindPort(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (fd >= 0 && bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// Takes a block that no other process holds, until this process ends. Returns its first port.
int TakeBlock() {
  for (int i = 0; i < kBlocks; ++i) {
    const int first_port = kFirstPort + (getpid() + i) % kBlocks * kBlockPorts;
    if (BindPort(first_port) >= 0) {
      return first_port;
    }
  }
  throw std::runtime_error("take test address: all blocks of ports are in use");
}

}  // namespace

std::string TakeTestAddress() {
  static int block = TakeBlock();
  static int next_port = block + 1;
  while (true) {
    if (next_port == block + kBlockPorts) {
      block = TakeBlock();
      next_port = block + 1;
    }
    const int port = next_port++;
    if (const int fd = BindPort(port); fd >= 0) {
      close(fd);
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

}  // namespace pimentomoor
