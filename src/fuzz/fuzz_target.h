// Shared by the fuzz targets: the check of a property, and reading a message from pieces.
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

/// Ends the process when `holds` is false, so that libFuzzer writes the input to a file.
inline void Check(bool holds, const char* property) {
  if (!holds) {
    std::fprintf(stderr, "property violated: %s\n", property);
    std::abort();
  }
}

struct ReadResult {
  ReadStatus status = ReadStatus::kNeedMore;
  std::size_t used = 0;  // bytes of the input that the reader removed
};

/// Passes `input` as a connection does: `first` bytes, then `step` bytes at a time, each with the rest that the
/// reader left. Every piece is an allocation of its own size, so that AddressSanitizer sees a read beyond its end.
template <typename Reader>
ReadResult ReadInPieces(Reader& reader, std::string_view input, std::size_t first, std::size_t step) {
  ReadResult result;
  for (std::size_t end = std::min(first, input.size());; end = std::min(end + step, input.size())) {
    const std::vector<char> piece(input.begin() + result.used, input.begin() + end);
    std::string_view bytes(piece.data(), piece.size());
    result.status = reader.Read(bytes);
    result.used = end - bytes.size();
    if (result.status != ReadStatus::kNeedMore || end == input.size()) {
      return result;
    }
  }
}

/// Whether two splits of one input agree. Beast notices two faults at another time with more pieces: one in a head
/// that is not complete, and a quoted chunk extension across lines. Neither may become a message.
inline bool Agree(ReadStatus whole, ReadStatus pieces, bool head_complete, std::string_view input) {
  const bool head_failed = !head_complete && whole != ReadStatus::kNeedMore;
  const bool quoted = head_complete && input.find(';') != input.npos && input.find('"') != input.npos;
  return whole == pieces ||
         ((head_failed || quoted) && whole != ReadStatus::kComplete && pieces != ReadStatus::kComplete);
}

/// Small limits, so that short inputs reach them.
inline MessageLimits SmallLimits() { return {.head_bytes = 512, .body_bytes = 64}; }

}  // namespace pimentomoor::fuzz
