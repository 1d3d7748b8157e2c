// Random numbers for identifiers and jitter. They are predictable and not fit for secrets.
#pragma once

#include <cstdint>
#include <string>

namespace pimentomoor {

/// Returns a 64-bit random number. The generator is seeded from the operating system, so processes get different ids.
std::uint64_t RandomId();

/// Returns `digits` random hexadecimal digits in lower case.
std::string RandomHex(std::size_t digits);

}  // namespace pimentomoor
