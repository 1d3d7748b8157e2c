// Implementation of socket address parsing and formatting.
#include "socket_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <stdexcept>

namespace pimentomoor {

sockaddr_in ParseSocketAddress(std::string_view text) {
  const auto fail = [&] {
    throw std::invalid_argument("parse address: '" + std::string(text) + "' is not an IPv4 address with a port");
  };
  const std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (colon == text.npos || inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address.sin_addr) != 1) {
    fail();
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    fail();
  }
  address.sin_port = htons(port);
  return address;
}

std::string FormatSocketAddress(const sockaddr_in& address) {
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace pimentomoor
