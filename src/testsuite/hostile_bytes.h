// Generator of hostile input for listeners: random, truncated, mutated and oversized messages. Equal seeds give equal
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

  /// Draws a number from 0 to `limit` - 1.
  std::size_t NextBelow(std::size_t limit) { return static_cast<std::size_t>(random_() % limit); }
  /// Draws a string of at most `max_bytes` random bytes.
  std::string RandomBytes(std::size_t max_bytes);
  /// Draws a proper prefix of `valid`, which must not be empty.
  std::string Truncate(const std::string& valid) { return valid.substr(0, NextBelow(valid.size())); }
  /// Replaces, inserts, removes or repeats a few bytes of `valid`.
  std::string Mutate(std::string valid);
  /// Draws random bytes, or truncates or mutates `valid`.
  std::string NextMessage(const std::string& valid);

 private:
  std::mt19937_64 random_;
};

}  // namespace pimentomoor
