// Conversion between socket addresses and "IP:port" texts.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace pimentomoor {

/// Parses "IP:port" with a numeric IPv4 address. Throws std::invalid_argument with the text when it is malformed.
sockaddr_in ParseSocketAddress(std::string_view text);

/// Returns the address as "IP:port".
std::string FormatSocketAddress(const sockaddr_in& address);

}  // namespace pimentomoor
