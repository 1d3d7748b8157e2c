// Customers of a routing table: who may call, how often, and with which priority.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentomoor {

/// SHA-256 digest of a key. Keys themselves are not kept, so that no log, trace or crash report can contain one.
using KeyDigest = std::array<std::uint8_t, 32>;

/// One customer of the routing table.
struct CustomerSpec {
  std::string name;
  std::vector<KeyDigest> keys;
  std::optional<unsigned> priority;  // replaces the priority of the route
  double requests_per_s = 0;         // usage cap over all daemons together; 0: none
  double burst = 0;                  // requests beyond the rate that an idle customer may send at once

  friend bool operator==(const CustomerSpec&, const CustomerSpec&) = default;
};

}  // namespace pimentomoor
