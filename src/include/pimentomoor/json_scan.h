// Splits JSON text into the members of an object or the items of a list without reading the values, so that a value
// that a JSON reader refuses, such as a lone surrogate or a number out of range, does not hide its neighbours.
#pragma once

#include <stdexcept>
#include <string_view>
#include <vector>

namespace pimentomoor {

/// Thrown for text whose strings, brackets or separators don't match. what() names the problem and the byte offset.
class JsonStructureError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct JsonMember {
  std::string_view key;    // text between the quotes, with its escape sequences
  std::string_view value;  // text of the value

  friend bool operator==(const JsonMember&, const JsonMember&) = default;
};

/// The members of the object that `text` holds, in order and with repeated keys. The views refer to `text`.
std::vector<JsonMember> SplitJsonObject(std::string_view text);

/// The items of the list that `text` holds.
std::vector<std::string_view> SplitJsonList(std::string_view text);

}  // namespace pimentomoor
