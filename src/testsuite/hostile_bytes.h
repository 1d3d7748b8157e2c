// Generator of hostile input for listeners: random, truncated, altered and oversized messages. Equal seeds give equal
// sequences.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace pimentomoor {

class HostileInputGenerator {
 public:
  explicit HostileInputGenerator(std::uint64_t seed) : random_(seed) {}

  /// A number from 0 to `limit` - 1.
  std::size_t NextBelow(std::size_t limit) { return static_cast<std::size_t>(random_() % limit); }
  /// At most `max_bytes` bytes without structure.
  std::string RandomBytes(std::size_t max_bytes);
  /// A proper prefix of `valid`, which must not be empty.
  std::string Truncate(const std::string& valid) { return valid.substr(0, NextBelow(valid.size())); }
  /// `valid` with a few bytes replaced, inserted, removed or repeated.
  std::string Mutate(std::string valid);
  /// One of the three above.
  std::string NextMessage(const std::string& valid);

 private:
  std::mt19937_64 random_;
};

}  // namespace pimentomoor
