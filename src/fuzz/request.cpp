// Fuzz target: requests of callers. The message or the error must not depend on how the bytes are split into pieces.
//
// The last three bytes of the input are the size of the pieces (one byte) and the size of the first piece (two
// bytes); the request precedes them.
#include <tuple>

#include "fuzz_target.h"
#include "pimentomoor/platform_codec.h"

namespace pimentomoor::fuzz {

namespace {

auto TieFields(const RequestMessage& message) {
  return std::tie(message.method, message.target, message.host, message.request_id, message.deadline_ms,
                  message.forward_fields, message.customer_fields, message.body, message.has_body, message.keep_alive,
                  message.expects_continue);
}

void ReadRequest(FuzzedDataProvider& data) {
  static const auto codec = MakePlatformCodec();
  const std::size_t first_piece_bytes = data.ConsumeIntegral<std::uint16_t>();
  const std::size_t piece_bytes = data.ConsumeIntegralInRange<std::size_t>(1, 256);
  const std::string input = data.ConsumeRemainingBytesAsString();
  RequestReader whole(codec->field_names(), SmallLimits());
  const ReadResult expected = ReadInPieces(whole, input, input.size(), 1);
  RequestReader pieces(codec->field_names(), SmallLimits());
  const ReadResult actual = ReadInPieces(pieces, input, first_piece_bytes % (input.size() + 1), piece_bytes);
  Check(StatusesAgree(expected.status, actual.status, whole.head_complete(), input),
        "the status does not depend on the split");
  if (expected.status != ReadStatus::kComplete) {
    return;
  }
  Check(actual.consumed_bytes == expected.consumed_bytes, "the end of the message does not depend on the split");
  const RequestMessage& message = whole.message();
  Check(TieFields(pieces.message()) == TieFields(message), "the message does not depend on the split");
  Check(message.body.size() <= SmallLimits().body_bytes, "the body is within the limit");
  Check(message.target.starts_with('/'), "the target is a path");
  std::size_t customer_bytes = 0;
  for (const auto& field : message.customer_fields) {
    customer_bytes += field.forwarded ? field.line.view().size() : 0;
  }
  Check(message.AllForwardFields().size() == message.forward_fields.size() + customer_bytes,
        "no field is lost or sent twice");
  static_cast<void>(message.FindKey());
  static_cast<void>(codec->IsResolveRequest(message) || codec->IsReadinessRequest(message));
}

}  // namespace

}  // namespace pimentomoor::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size) {
  FuzzedDataProvider data(bytes, size);
  pimentomoor::fuzz::ReadRequest(data);
  return 0;
}
