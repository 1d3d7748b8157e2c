// Fuzz target: answers of the store. Every parser gets the whole input and may throw no exception but FormatError.
#include "fuzz_target.h"
#include "pimentomoor/platform_codec.h"

namespace pimentomoor::fuzz {

namespace {

// Runs `parse` and ignores a FormatError.
template <typename Parse>
void AllowFormatError(Parse parse) {
  try {
    parse();
  } catch (const FormatError&) {  // expected for most inputs
  }
}

void ParseAndCheckRecord(const PlatformCodec& codec, const StoredRecord& record) {
  AllowFormatError([&] {
    const RoutingTable table(codec.ParseRoutingTable(record.payload));
    for (const auto& route : table.spec().routes) {
      Check(route.targets.empty() != route.shards.empty(), "a route names services or shards");
      Check(route.max_attempts >= 1, "a route allows an attempt");
      Check(route.timeout >= Duration::zero() && route.objective >= Duration::zero(), "no time is negative");
      static_cast<void>(table.Find(route.host, route.prefix));
    }
  });
  if (const auto entry = codec.ParseRegistryEntry(record)) {
    Check(!entry->peer_address.empty() && entry->name == record.name, "the registry entry is the record's");
  }
  if (const auto entry = codec.ParseUpstream(record)) {
    Check(entry->id == record.name && entry->cold_remaining >= Duration::zero(), "the searcher is the record's");
  }
}

void ParseWithAllParsers(std::string_view body) {
  static const auto codec = MakePlatformCodec();
  ParseAndCheckRecord(*codec, {.name = "s1", .revision = 1, .payload = std::string(body)});
  AllowFormatError([&] {
    for (const auto& record : codec->ParsePage(body).records) {
      ParseAndCheckRecord(*codec, record);
    }
  });
  AllowFormatError([&] {
    for (const auto& event : codec->ParseEvents(body).events) {
      ParseAndCheckRecord(*codec, event.record);
    }
  });
}

}  // namespace

}  // namespace pimentomoor::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size) {
  pimentomoor::fuzz::ParseWithAllParsers({reinterpret_cast<const char*>(bytes), size});
  return 0;
}
