// Encoding and checking of operation tokens.
#include "pimentomoor/operation_token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <array>
#include <stdexcept>

namespace pimentomoor {
namespace {

constexpr char kTokenVersion = 1;
constexpr std::size_t kTagBytes = 16;  // 128 bits are infeasible to guess and keep the token short
constexpr std::string_view kBase64UrlAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

const unsigned char* UnsignedBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::string ComputeTag(std::string_view payload, std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  // HMAC() would reuse an earlier key for a null pointer, which an empty view may have and an empty string never has.
  const std::string key_copy(key);
  if (HMAC(EVP_sha256(), key_copy.data(), static_cast<int>(key_copy.size()), UnsignedBytes(payload), payload.size(),
           digest.data(), &size) == nullptr) {
    throw std::runtime_error("encode operation token: HMAC-SHA256 failed");
  }
  return std::string(reinterpret_cast<const char*>(digest.data()), kTagBytes);
}

std::string ToBase64Url(std::string_view bytes) {
  std::string text;
  std::uint32_t bits = 0;
  int bit_count = 0;
  for (const char byte : bytes) {
    bits = (bits << 8U) | static_cast<unsigned char>(byte);
    for (bit_count += 8; bit_count >= 6; bit_count -= 6) {
      text += kBase64UrlAlphabet[(bits >> (bit_count - 6)) & 63U];
    }
  }
  if (bit_count > 0) {
    text += kBase64UrlAlphabet[(bits << (6 - bit_count)) & 63U];
  }
  return text;
}

std::optional<std::string> FromBase64Url(std::string_view text) {
  std::string bytes;
  std::uint32_t bits = 0;
  int bit_count = 0;
  for (const char letter : text) {
    const std::size_t value = kBase64UrlAlphabet.find(letter);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(value);
    bit_count += 6;
    if (bit_count >= 8) {
      bit_count -= 8;
      bytes += static_cast<char>((bits >> bit_count) & 255U);
    }
  }
  // Only the canonical text of the bytes is accepted, without a surplus letter and without set bits after the last
  // byte.
  const bool canonical = bit_count < 6 && (bits & ((1U << bit_count) - 1U)) == 0;
  return canonical ? std::optional(bytes) : std::nullopt;
}

}  // namespace

proto::Daemon CopyAddressFields(const proto::Daemon& daemon) {
  proto::Daemon address;
  address.set_peer_address(daemon.peer_address());
  address.set_incarnation(daemon.incarnation());
  return address;
}

std::string EncodeToken(const proto::Token& token, std::string_view key) {
  if (token.customer().size() > kMaxTokenNameBytes || token.service().size() > kMaxTokenNameBytes) {
    throw std::invalid_argument("encode operation token: customer or service is longer than " +
                                std::to_string(kMaxTokenNameBytes) + " bytes");
  }
  const std::string payload = kTokenVersion + token.SerializeAsString();
  std::string text = ToBase64Url(payload + ComputeTag(payload, key));
  if (text.size() > kMaxTokenTextBytes) {
    throw std::invalid_argument("encode operation token: text of " + std::to_string(text.size()) +
                                " bytes is longer than " + std::to_string(kMaxTokenTextBytes));
  }
  return text;
}

std::optional<proto::Token> DecodeToken(std::string_view text, std::string_view key) {
  if (text.size() > kMaxTokenTextBytes) {
    return std::nullopt;
  }
  const std::optional<std::string> bytes = FromBase64Url(text);
  if (!bytes || bytes->size() < 1 + kTagBytes) {
    return std::nullopt;
  }
  const std::string payload = bytes->substr(0, bytes->size() - kTagBytes);
  const std::string expected = ComputeTag(payload, key);
  if (CRYPTO_memcmp(expected.data(), bytes->data() + payload.size(), kTagBytes) != 0 || payload[0] != kTokenVersion) {
    return std::nullopt;
  }
  proto::Token token;
  if (!token.ParseFromString(payload.substr(1))) {
    return std::nullopt;
  }
  return token;
}

std::uint64_t HashOperationBody(std::string_view body) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(UnsignedBytes(body), body.size(), digest.data());
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < 8; ++i) {
    hash = (hash << 8U) | digest.at(i);
  }
  return hash == 0 ? 1 : hash;
}

}  // namespace pimentomoor
