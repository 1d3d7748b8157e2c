// Addresses for tests that name a server's address before the server listens there, or after it has stopped.
#pragma once

#include <string>

namespace pimentomoor {

/// An address on loopback, "IP:port", at which nothing listens. No other test process gets it, and the kernel gives
/// its port to no connection. This process gets it again after 62 further addresses at the earliest.
std::string TakeTestAddress();

}  // namespace pimentomoor
