// Text that is wiped from memory when it is no longer needed, such as the key of a caller.
#pragma once

#include <openssl/crypto.h>

#include <cstddef>
#include <initializer_list>
#include <string_view>
#include <vector>

namespace pimentomoor {

class SecretText {
 public:
  SecretText() = default;
  /// Joins the parts.
  SecretText(std::initializer_list<std::string_view> parts) {
    std::size_t size = 0;
    for (const auto part : parts) {
      size += part.size();
    }
    bytes_.reserve(size);  // growing would leave copies behind
    for (const auto part : parts) {
      bytes_.insert(bytes_.end(), part.begin(), part.end());
    }
  }
  ~SecretText() { OPENSSL_cleanse(bytes_.data(), bytes_.size()); }
  SecretText(const SecretText&) = default;
  SecretText(SecretText&&) noexcept = default;
  SecretText& operator=(SecretText other) noexcept {
    bytes_.swap(other.bytes_);
    return *this;
  }

  [[nodiscard]] std::string_view view() const { return {bytes_.data(), bytes_.size()}; }

  friend bool operator==(const SecretText&, const SecretText&) = default;

 private:
  std::vector<char> bytes_;  // not a string, whose short texts stay behind in an object that was moved from
};

}  // namespace pimentomoor
