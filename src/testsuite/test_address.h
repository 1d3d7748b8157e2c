// Addresses for tests that name a server's address before the server listens there, or after it has stopped.
#pragma once

#include <string>

namespace pimentomoor {

/// An address on loopback, "IP:port", at which nothing listens. It is given neither to another call nor to another
/// test process, and the kernel gives its port to no connection.
std::string TakeTestAddress();

}  // namespace pimentomoor
