// Tests of the splitting of JSON text, against the text that was put together.
#include "pimentomoor/json_scan.h"

#include <string>

#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {
namespace {

// Text of a JSON value, also of kinds that readers refuse: numbers out of range, lone surrogates, invalid UTF-8.
std::string MakeValue(unsigned depth) {
  const auto kind = *rc::gen::inRange(0, depth == 0 ? 3 : 5);
  if (kind <= 1) {
    return *rc::gen::element<std::string>("1", "-0.5e3", "1e400", "true", "null", "99999999999999999999999999");
  }
  if (kind == 2) {
    std::string text = "\"";
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
      text +=
          *rc::gen::element<std::string>("a", "{", "}", "[", "]", ",", ":", "\\\"", "\\\\", "\\ud83d", "\xff", " ");
    }
    return text + "\"";
  }
  const bool is_list = kind == 3;
  std::string text = is_list ? "[" : "{";
  const int count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) {
    text += i == 0 ? "" : *rc::gen::element<std::string>(",", " , ");
    text += is_list ? MakeValue(depth - 1) : "\"k\": " + MakeValue(depth - 1);
  }
  return text + (is_list ? "]" : " }");
}

}  // namespace

TEST_GROUP(JsonScan){};

// Guards against a value that ends too early or too late, so that a neighbour is lost or changed.
TEST(JsonScan, ValuesAreFoundWhateverTheyHold) {
  CHECK(CheckProperty(3'000, "split equals joined", [] {
    constexpr unsigned kDepth = 4;
    std::vector<std::string> values;
    std::string list = "[";
    std::string object = "{";
    const int count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
      values.push_back(MakeValue(kDepth));
      const std::string comma = i == 0 ? "" : ",";
      list.append(comma).append(" ").append(values.back()).append("\n");
      object.append(comma).append("\"key").append(std::to_string(i)).append("\" :").append(values.back());
    }
    list += "] ";
    object = " " + object + "}";
    const auto items = SplitJsonList(list);
    const auto members = SplitJsonObject(object);
    RC_ASSERT(items.size() == values.size() && members.size() == values.size());
    for (std::size_t i = 0; i < values.size(); ++i) {
      RC_ASSERT(items[i] == values[i]);
      RC_ASSERT(members[i].key == "key" + std::to_string(i) && members[i].value == values[i]);
    }
  }));
}

// Guards against reading beyond the end of cut text, and against accepting text that is no list or object.
TEST(JsonScan, OtherTextIsRefused) {
  const std::string list = R"([{"a":[1,"x\"]"]},null])";
  for (std::size_t cut = 0; cut < list.size(); ++cut) {
    CHECK_THROWS(JsonStructureError, static_cast<void>(SplitJsonList(std::string_view(list).substr(0, cut))));
  }
  CHECK_EQUAL(2U, SplitJsonList(list).size());
  for (const char* text : {"", "1", "{}", "[1", "[1]]", "[1,]", "[,]", "[{]}]", "[\"a]", "[\"\\", "[1 2]"}) {
    CHECK_THROWS(JsonStructureError, static_cast<void>(SplitJsonList(text)));
  }
  for (const char* text : {"", "[]", "{a:1}", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{\"a\":1}}", "{\"a\":[}"}) {
    CHECK_THROWS(JsonStructureError, static_cast<void>(SplitJsonObject(text)));
  }
  const std::string deep = std::string(300'000, '[') + std::string(300'000, ']');
  CHECK_EQUAL(1U, SplitJsonList(deep).size());
}

}  // namespace pimentomoor
