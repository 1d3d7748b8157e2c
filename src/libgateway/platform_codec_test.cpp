// Tests of the platform's formats with values that once ended the process or were silently changed.
#include "pimentomoor/platform_codec.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {

TEST_GROUP(PlatformCodec){};

// Guards against a stack overflow (writing the spec of an object recursed for each of its levels), and against one
// such object hiding all others of its page.
TEST(PlatformCodec, DeeplyNestedObjectIsUnreadableAndHidesNoOther) {
  constexpr std::size_t kLevels = 500'000;  // a value of the store has up to 1 MB
  const std::string body = R"({"store-revision":1,"items":[{"meta":{"name":"a","rev":1},"spec":)" +
                           std::string(kLevels, '[') + std::string(kLevels, ']') +
                           R"(},{"meta":{"name":"b","rev":2},"spec":{}}]})";
  const auto codec = MakePlatformCodec();
  const RecordPage page = codec->ParsePage(body);
  CHECK_EQUAL(2U, page.records.size());
  CHECK_FALSE(codec->ParseUpstream(page.records[0]).has_value());
  STRCMP_EQUAL("b", page.records[1].name.c_str());
}

// Guards against counting brackets in a string as levels.
TEST(PlatformCodec, BracketsInStringsAreNoLevels) {
  const std::string body =
      R"({"store-revision":1,"items":[{"meta":{"name":"\")" + std::string(100, '[') + R"(","rev":1},"spec":"{\\"}]})";
  CHECK_EQUAL(1U, MakePlatformCodec()->ParsePage(body).records.size());
}

// Guards against a list that goes on after another object than the last one, or a request that can't be parsed: a
// name may hold characters that end a parameter, the query or the request line.
TEST(PlatformCodec, LastNameOfAPageIsEncoded) {
  const auto codec = MakePlatformCodec();
  STRCMP_EQUAL("/api/objects/servers?after=a%20b%26c%3D%25%2B%23%0D%0A%C3%A9-1.2",
               codec->ListTarget(RecordKind::kUpstreams, "a b&c=%+#\r\n\xc3\xa9-1.2").c_str());
}

// Guards against a limit of 0 bytes: 2^32 was cut to 32 bits.
TEST(PlatformCodec, HeadLimitBeyond32BitsIsMalformed) {
  const std::string payload = R"({"version":1,"routes":[],"services":[],"limits":{"max-header-bytes":4294967296,)"
                              R"("max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1}})";
  CHECK_THROWS(FormatError, static_cast<void>(MakePlatformCodec()->ParseRoutingTable(payload)));
}

}  // namespace pimentomoor
