// Fuzz target: good entries of the store among odd ones of other writers. Each good entry has to be read, whatever
// the odd ones hold.
//
// The input chooses the number and order of the entries and the content of the odd ones: JSON by its structure, with
// numbers and strings of any bytes.
#include <cstring>

#include "fuzz_target.h"
#include "pimentomoor/platform_codec.h"
#include "standin_formats.h"

namespace pimentomoor::fuzz {

namespace {

constexpr std::uint64_t kRevision = 7;
constexpr std::uint64_t kStoreRevision = 9;
constexpr int kMaxEntries = 8;
constexpr int kMaxDepth = 6;
constexpr std::size_t kMaxTextBytes = 24;

// Bytes that can't end the string around them, in any encoding.
std::string TakeStringText(FuzzedDataProvider& data) {
  std::string text;
  for (const char byte : data.ConsumeRandomLengthString(kMaxTextBytes)) {
    text += byte == '"' ? "\\\"" : byte == '\\' ? "\\u" : std::string(1, byte);
  }
  return text;
}

// Bytes that can't end a number or a literal.
std::string TakeScalar(FuzzedDataProvider& data) {
  std::string text = "1";
  for (const char byte : data.ConsumeRandomLengthString(kMaxTextBytes)) {
    text += std::string_view(" \t\r\n,:[]{}\"").find(byte) == std::string_view::npos ? byte : 'e';
  }
  return text;
}

std::string TakeValue(FuzzedDataProvider& data, int depth) {
  const int kind = data.ConsumeIntegralInRange(0, depth == 0 ? 1 : 3);
  if (kind <= 1) {
    return kind == 0 ? TakeScalar(data) : "\"" + TakeStringText(data) + "\"";
  }
  std::string text;
  for (int i = data.ConsumeIntegralInRange(0, 3); i > 0; --i) {
    text += text.empty() ? "" : ",";
    text += kind == 2 ? TakeValue(data, depth - 1) : "\"" + TakeStringText(data) + "\":" + TakeValue(data, depth - 1);
  }
  return kind == 2 ? "[" + text + "]" : "{" + text + "}";
}

void ReadEntries(FuzzedDataProvider& data) {
  static const auto codec = MakePlatformCodec();
  static const std::string good_spec = FormatUpstreamEntry(
      {.id = "", .service = "s", .address = "127.0.0.1:1", .failure_domain = "a", .slots = 2, .sequence = 7});
  std::vector<std::string> good_names;
  std::string items;
  std::string events;
  for (int i = data.ConsumeIntegralInRange(1, kMaxEntries); i > 0; --i) {
    std::string object;
    if (data.ConsumeBool()) {
      good_names.push_back("good-" + std::to_string(i));
      object = FormatObject(good_names.back(), kRevision, good_spec);
    } else {
      object = FormatObject("odd-NAME", kRevision, TakeValue(data, kMaxDepth));
      object.replace(object.find("NAME"), std::strlen("NAME"), TakeStringText(data));
    }
    items += (items.empty() ? "" : ",") + object;
    events += (events.empty() ? "" : ",") + FormatEvent(object, false);
  }
  const RecordPage page = codec->ParsePage(FormatPage(items, false, kStoreRevision));
  const RecordEvents answer = codec->ParseEvents(FormatEvents(events, kStoreRevision));
  Check(page.store_revision == kStoreRevision && answer.store_revision == kStoreRevision, "the revision moves on");
  std::vector<std::string> listed;
  for (const auto& record : page.records) {
    const auto entry = codec->ParseUpstream(record);
    if (entry && record.name.starts_with("good-") && entry->service == "s" && entry->slots == 2) {
      listed.push_back(record.name);
    }
  }
  Check(listed == good_names, "each good entry of a page is read");
  std::vector<std::string> changed;
  for (const auto& event : answer.events) {
    if (event.record.name.starts_with("good-") && codec->ParseUpstream(event.record)) {
      changed.push_back(event.record.name);
    }
  }
  Check(changed == good_names, "each good entry of a watch answer is read");
}

}  // namespace

}  // namespace pimentomoor::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size) {
  FuzzedDataProvider data(bytes, size);
  pimentomoor::fuzz::ReadEntries(data);
  return 0;
}
