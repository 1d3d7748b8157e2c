// Text form of operation tokens.
//
// A token is a version byte, a serialised proto::Token and a truncated HMAC-SHA256 over both, in unpadded base64url.
// The key is shared by the daemons of a deployment, so any entry can check a token that another daemon issued.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "peer.pb.h"

namespace pimentomoor {

inline constexpr std::size_t kMaxTokenNameBytes = 128;   // of customer and service each
inline constexpr std::size_t kMaxTokenTextBytes = 1024;  // longer texts are refused without decoding

/// Returns a copy of `daemon` with only its peer address and incarnation, which are enough to send it messages.
[[nodiscard]] proto::Daemon CopyAddressFields(const proto::Daemon& daemon);

/// Returns the text of `token`. Throws std::invalid_argument when customer or service is longer than
/// kMaxTokenNameBytes or the text would exceed kMaxTokenTextBytes.
[[nodiscard]] std::string EncodeToken(const proto::Token& token, std::string_view key);

/// Returns the token of `text`, or nothing when the text is malformed or its tag was not made with `key`.
[[nodiscard]] std::optional<proto::Token> DecodeToken(std::string_view text, std::string_view key);

/// Returns the first 64 bits of the SHA-256 of an operation's body, and 1 when they are 0, because 0 stands for an
/// unknown body.
[[nodiscard]] std::uint64_t HashOperationBody(std::string_view body);

}  // namespace pimentomoor
