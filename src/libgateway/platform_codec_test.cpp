// Tests of the platform codec with values that crashed the process or were silently changed.
#include "pimentomoor/platform_codec.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last, because it redefines operator new
// clang-format on

namespace pimentomoor {

TEST_GROUP(PlatformCodec){};

// Guards against a stack overflow by recursion for each nesting level when the spec of an object is written, and
// against one deeply nested object that makes the other objects of its page unreadable.
TEST(PlatformCodec, DeeplyNestedObjectIsMalformedAndOthersOfItsPageAreRead) {
  constexpr std::size_t kLevels = 500'000;  // the store accepts values of up to 1 MB
  const std::string body = R"({"store-revision":1,"items":[{"meta":{"name":"a","rev":1},"spec":)" +
                           std::string(kLevels, '[') + std::string(kLevels, ']') +
                           R"(},{"meta":{"name":"b","rev":2},"spec":{}}]})";
  const auto codec = MakePlatformCodec();
  const RecordPage page = codec->ParsePage(body);
  CHECK_EQUAL(2U, page.records.size());
  CHECK_FALSE(codec->ParseUpstream(page.records[0]).has_value());
  STRCMP_EQUAL("b", page.records[1].name.c_str());
}

// Guards against counting brackets in a string as nesting levels.
TEST(PlatformCodec, BracketsInStringsAreNotNestingLevels) {
  const std::string body =
      R"({"store-revision":1,"items":[{"meta":{"name":"\")" + std::string(100, '[') + R"(","rev":1},"spec":"{\\"}]})";
  CHECK_EQUAL(1U, MakePlatformCodec()->ParsePage(body).records.size());
}

// Guards against a next page that begins after the wrong object, and against a request that can't be parsed: a name
// may hold characters that end a parameter, the query or the request line.
TEST(PlatformCodec, LastNameOfAPageIsPercentEncoded) {
  const auto codec = MakePlatformCodec();
  STRCMP_EQUAL("/api/objects/servers?after=a%20b%26c%3D%25%2B%23%0D%0A%C3%A9-1.2",
               codec->ListTarget(RecordKind::kUpstreams, "a b&c=%+#\r\n\xc3\xa9-1.2").c_str());
}

// Guards against a limit of 2^32 bytes that becomes 0 when it is truncated to 32 bits.
TEST(PlatformCodec, HeadLimitBeyond32BitsIsMalformed) {
  const std::string payload = R"({"version":1,"routes":[],"services":[],"limits":{"max-header-bytes":4294967296,)"
                              R"("max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1}})";
  CHECK_THROWS(FormatError, static_cast<void>(MakePlatformCodec()->ParseRoutingTable(payload)));
}

}  // namespace pimentomoor
