// Customers of a routing table: who may call, how often, and with which priority.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentomoor {

/// SHA-256 digest of a key. Keys themselves are not kept, so that no log, trace or crash report can contain one.
using KeyDigest = std::array<std::uint8_t, 32>;

/// Throws std::runtime_error when the digest can't be computed.
KeyDigest DigestKey(std::string_view key);

/// One customer of the routing table.
struct CustomerSpec {
  std::string name;
  std::vector<KeyDigest> keys;
  std::optional<unsigned> priority;  // replaces the priority of the route
  double requests_per_s = 0;         // usage cap over all daemons together; 0: none
  double burst = 0;                  // requests beyond the rate that an idle customer may send at once

  friend bool operator==(const CustomerSpec&, const CustomerSpec&) = default;
};

/// The key that a request carries. `text` refers to the request and is empty when it carries none.
struct PresentedKey {
  std::string_view text;
  bool conflicting = false;  // the request carries several keys that differ

  friend bool operator==(const PresentedKey&, const PresentedKey&) = default;
};

/// For whom a request runs, and how urgent it is.
struct RequestOwner {
  const CustomerSpec* customer = nullptr;  // points into the request's routing table; null: no customer
  unsigned priority = 0;                   // the customer's, otherwise the route's; 0 is the highest

  friend bool operator==(const RequestOwner&, const RequestOwner&) = default;
};

/// Result of the check of a request's key.
struct AccessDecision {
  const char* refusal = nullptr;  // reason of the refusal; null: the request may run
  RequestOwner owner;

  friend bool operator==(const AccessDecision&, const AccessDecision&) = default;
};

}  // namespace pimentomoor
