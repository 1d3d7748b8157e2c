// Helpers of the fuzz targets: the check of a property, and the reading of a message that arrives in pieces.
#pragma once

#include <fuzzer/FuzzedDataProvider.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "pimentomoor/http1_message.h"

namespace pimentomoor::fuzz {

/// Aborts the process when `holds` is false, so that libFuzzer writes the input to a file.
inline void Check(bool holds, const char* property) {
  if (!holds) {
    std::fprintf(stderr, "property violated: %s\n", property);
    std::abort();
  }
}

struct ReadResult {
  ReadStatus status = ReadStatus::kNeedMore;
  std::size_t consumed_bytes = 0;  // of the input
};

/// Passes `input` to the reader as a connection does: `first_bytes` bytes, then `step_bytes` more at a time, each
/// time together with the bytes that the reader has left. Every piece is an allocation of exactly its size, so that
/// AddressSanitizer detects a read beyond its end.
template <typename Reader>
ReadResult ReadInPieces(Reader& reader, std::string_view input, std::size_t first_bytes, std::size_t step_bytes) {
  ReadResult result;
  for (std::size_t end = std::min(first_bytes, input.size());; end = std::min(end + step_bytes, input.size())) {
    const std::vector<char> piece(input.begin() + result.consumed_bytes, input.begin() + end);
    std::string_view bytes(piece.data(), piece.size());
    result.status = reader.Read(bytes);
    result.consumed_bytes = end - bytes.size();
    if (result.status != ReadStatus::kNeedMore || end == input.size()) {
      return result;
    }
  }
}

/// Whether an input that was read as a whole and in pieces gave compatible statuses. Beast detects two kinds of
/// errors at a different point when there are more pieces: errors in an incomplete head, and quoted chunk extensions
/// across lines. For these the statuses may differ, but neither may be a complete message.
inline bool StatusesAgree(ReadStatus whole, ReadStatus pieces, bool head_complete, std::string_view input) {
  const bool head_failed = !head_complete && whole != ReadStatus::kNeedMore;
  const bool has_quoted_extension = head_complete && input.find(';') != input.npos && input.find('"') != input.npos;
  return whole == pieces ||
         ((head_failed || has_quoted_extension) && whole != ReadStatus::kComplete && pieces != ReadStatus::kComplete);
}

/// Limits of messages that are small, so that short inputs exceed them.
inline MessageLimits SmallLimits() { return {.head_bytes = 512, .body_bytes = 64}; }

}  // namespace pimentomoor::fuzz
