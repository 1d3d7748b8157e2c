// Draws random bytes, and truncates or mutates valid messages.
#include "hostile_bytes.h"

#include <utility>

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxChanges = 4;
constexpr std::size_t kByteValues = 256;

}  // namespace

std::string HostileInputGenerator::RandomBytes(std::size_t max_bytes) {
  std::string bytes(NextBelow(max_bytes + 1), '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(NextBelow(kByteValues));
  }
  return bytes;
}

std::string HostileInputGenerator::Mutate(std::string valid) {
  for (std::size_t changes_left = NextBelow(kMaxChanges) + 1; changes_left > 0 && !valid.empty(); --changes_left) {
    const std::size_t at = NextBelow(valid.size());
    switch (NextBelow(4)) {
      case 0:
        valid[at] = static_cast<char>(NextBelow(kByteValues));
        break;
      case 1:
        valid.insert(at, RandomBytes(8));
        break;
      case 2:
        valid.erase(at, NextBelow(8) + 1);
        break;
      default:
        valid.insert(at, valid.substr(at, NextBelow(64)));
        break;
    }
  }
  return valid;
}

std::string HostileInputGenerator::NextMessage(const std::string& valid) {
  switch (valid.empty() ? 0 : NextBelow(3)) {
    case 0:
      return RandomBytes(512);
    case 1:
      return Truncate(valid);
    default:
      return Mutate(valid);
  }
}

}  // namespace pimentomoor
