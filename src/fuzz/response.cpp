// Fuzz target: responses of searchers. A message must not depend on how the bytes are split into pieces, and a
// response that is cut off must not be complete.
//
// The input ends with a flag (the request was a HEAD request), the length at which the response is cut off, the size
// of the pieces and the size of the first piece; the response precedes them.
#include <tuple>

#include "fuzz_target.h"
#include "pimentomoor/platform_codec.h"

namespace pimentomoor::fuzz {

namespace {

auto TieFields(const ResponseMessage& message) {
  return std::tie(message.status, message.request_id, message.stamp, message.instance, message.cold_ms,
                  message.keep_alive_s, message.not_run, message.has_content_encoding, message.keep_alive,
                  message.forward_fields, message.body);
}

void ReadResponse(FuzzedDataProvider& data) {
  static const auto codec = MakePlatformCodec();
  const std::size_t first_piece_bytes = data.ConsumeIntegral<std::uint16_t>();
  const std::size_t piece_bytes = data.ConsumeIntegralInRange<std::size_t>(1, 256);
  const std::size_t cut_bytes = data.ConsumeIntegral<std::uint16_t>();
  const bool is_head_request = data.ConsumeBool();
  const std::string input = data.ConsumeRemainingBytesAsString();
  const auto make_reader = [&] { return ResponseReader(codec->field_names(), SmallLimits(), is_head_request, true); };
  ResponseReader whole = make_reader();
  const ReadResult expected = ReadInPieces(whole, input, input.size(), 1);
  ResponseReader pieces = make_reader();
  const ReadResult actual = ReadInPieces(pieces, input, first_piece_bytes % (input.size() + 1), piece_bytes);
  Check(StatusesAgree(expected.status, actual.status, whole.head_complete(), input),
        "the status does not depend on the split");
  const bool complete = expected.status == ReadStatus::kComplete;
  Check(!complete || actual.consumed_bytes == expected.consumed_bytes,
        "the end of the message does not depend on the split");
  if (complete && expected.consumed_bytes > 0) {
    ResponseReader cut_reader = make_reader();
    const std::string prefix = input.substr(0, cut_bytes % expected.consumed_bytes);
    Check(ReadInPieces(cut_reader, prefix, prefix.size(), 1).status == ReadStatus::kNeedMore,
          "a response that was cut is not complete");
    Check(cut_reader.ReadEnd() != ReadStatus::kComplete, "a connection's end does not complete a cut response");
  }
  if (expected.status == ReadStatus::kNeedMore) {
    const ReadStatus end = whole.ReadEnd();
    Check(pieces.ReadEnd() == end, "the status at the connection's end does not depend on the split");
    if (end != ReadStatus::kComplete) {
      return;
    }
    Check(!whole.message().keep_alive, "a response that ended with its connection does not keep it");
  } else if (!complete) {
    Check(actual.status != ReadStatus::kNeedMore || pieces.ReadEnd() != ReadStatus::kComplete,
          "a connection's end does not complete a malformed response");
    return;
  }
  Check(TieFields(pieces.message()) == TieFields(whole.message()), "the message does not depend on the split");
  Check(whole.message().body.size() <= SmallLimits().body_bytes, "the body is within the limit");
}

}  // namespace

}  // namespace pimentomoor::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size) {
  FuzzedDataProvider data(bytes, size);
  pimentomoor::fuzz::ReadResponse(data);
  return 0;
}
