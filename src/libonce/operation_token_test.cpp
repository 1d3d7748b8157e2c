// Tests of the text form of operation tokens.
#include "pimentomoor/operation_token.h"

#include <cstdlib>

#include "property.h"

// clang-format off: CppUTest's macros for new and delete must follow all other headers.
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

proto::Token SampleToken(std::uint64_t serial, const std::string& customer) {
  proto::Token token;
  token.mutable_home()->set_peer_address("127.0.0.1:7001");
  token.mutable_home()->set_incarnation(serial * 31 + 1);
  token.mutable_witness()->set_peer_address("127.0.0.2:7001");
  token.mutable_witness()->set_incarnation(serial * 37 + 1);
  token.set_serial(serial);
  token.set_customer(customer);
  token.set_service("cobranzas");
  return token;
}

}  // namespace

TEST_GROUP(OperationToken){};

// Guards against a token whose text loses a field or contains a character that must be escaped in a URL.
TEST(OperationToken, RoundTripIsExactAndUrlSafe) {
  CHECK(CheckProperty(1'000, "decode(encode(token)) == token", [](std::uint64_t serial) {
    const auto customer = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
    RC_PRE(customer.size() <= kMaxTokenNameBytes);
    const proto::Token token = SampleToken(serial, customer);
    const std::string text = EncodeToken(token, "key");
    RC_ASSERT(text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_") ==
              std::string::npos);
    const auto decoded = DecodeToken(text, "key");
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->SerializeAsString() == token.SerializeAsString());
    RC_ASSERT(!DecodeToken(text, "other key").has_value());
  }));
}

// Guards against a caller that alters a token to address another daemon or serial, and against a crash on such text.
TEST(OperationToken, AlteredTextIsRefused) {
  CHECK(CheckProperty(1'000, "any changed, cut or extended text is refused", [](std::uint64_t serial) {
    const std::string text = EncodeToken(SampleToken(serial, "quiroga"), "key");
    std::string changed = text;
    switch (*rc::gen::inRange(0, 3)) {
      case 0: {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        changed[position] = *rc::gen::distinctFrom(rc::gen::arbitrary<char>(), text[position]);
        break;
      }
      case 1:
        changed.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
        break;
      default:
        changed += *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>());
        break;
    }
    RC_ASSERT(!DecodeToken(changed, "key").has_value());
  }));
}

// Guards against a crash on arbitrary input, including text above the size limit.
TEST(OperationToken, ArbitraryTextIsRefused) {
  CHECK(CheckProperty(1'000, "random text is refused",
                      [](const std::string& text) { RC_ASSERT(!DecodeToken(text, "key").has_value()); }));
  CHECK(!DecodeToken(std::string(100'000, 'A'), "key").has_value());
  CHECK(!DecodeToken("", "").has_value());
  CHECK_THROWS(std::invalid_argument,
               (void)EncodeToken(SampleToken(1, std::string(kMaxTokenNameBytes + 1, 'a')), "key"));
}

}  // namespace pimentomoor
