// Implementation of the random identifiers with a Mersenne Twister that is seeded once per process.
#include "pimentomoor/random.h"

#include <random>

namespace pimentomoor {

std::uint64_t RandomId() {
  static std::mt19937_64 generator([] {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) ^ device();
  }());
  return generator();
}

std::string RandomHex(std::size_t digits) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  std::uint64_t bits = 0;
  for (std::size_t i = 0; i < digits; ++i) {
    if (i % 16 == 0) {
      bits = RandomId();
    }
    text += kDigits[bits & 0xf];
    bits >>= 4;
  }
  return text;
}

}  // namespace pimentomoor
