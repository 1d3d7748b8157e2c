// Implementation of the splitting of JSON text.
#include "pimentomoor/json_scan.h"

#include <algorithm>
#include <string>

namespace pimentomoor {

namespace {

constexpr std::string_view kSpace = " \t\r\n";
constexpr std::string_view kEndsScalar = " \t\r\n,]}";

// A position in JSON text that moves over its structure.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) {}

  // Moves over white space and then over `expected` if that follows. Returns whether it did.
  bool Accept(char expected) {
    SkipSpace();
    if (at_ == text_.size() || text_[at_] != expected) {
      return false;
    }
    ++at_;
    return true;
  }
  void Require(char expected) {
    if (!Accept(expected)) {
      Fail(std::string("expected '") + expected + "'");
    }
  }
  void RequireEnd() {
    SkipSpace();
    if (at_ != text_.size()) {
      Fail("expected the end of the text");
    }
  }

  // Moves over a string and returns the text between its quotes.
  std::string_view TakeString() {
    Require('"');
    const std::size_t begin = at_;
    for (; at_ < text_.size() && text_[at_] != '"'; ++at_) {
      at_ += text_[at_] == '\\' ? 1 : 0;
    }
    if (at_ >= text_.size()) {
      Fail("a string has no end");
    }
    return text_.substr(begin, at_++ - begin);
  }

  // Moves over a value of any type and returns its text.
  std::string_view TakeValue() {
    SkipSpace();
    const std::size_t begin = at_;
    std::string open_brackets;  // the closing brackets that are due, innermost last
    do {
      SkipSpace();
      const char next = at_ < text_.size() ? text_[at_] : '\0';
      if (next == '"') {
        TakeString();
      } else if (next == '{' || next == '[') {
        open_brackets += next == '{' ? '}' : ']';
        ++at_;
      } else if (!open_brackets.empty() && next == open_brackets.back()) {
        open_brackets.pop_back();
        ++at_;
      } else if (!open_brackets.empty() && (next == ',' || next == ':')) {
        ++at_;
      } else {
        TakeScalar();
      }
    } while (!open_brackets.empty());
    return text_.substr(begin, at_ - begin);
  }

 private:
  void SkipSpace() { at_ = std::min(text_.find_first_not_of(kSpace, at_), text_.size()); }
  void TakeScalar() {
    const std::size_t begin = at_;
    at_ = std::min(text_.find_first_of(kEndsScalar, at_), text_.size());
    if (at_ == begin) {
      Fail("expected a value");
    }
  }
  [[noreturn]] void Fail(const std::string& problem) const {
    throw JsonStructureError(problem + " at byte " + std::to_string(at_));
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

}  // namespace

std::vector<JsonMember> SplitJsonObject(std::string_view text) {
  Scanner scanner(text);
  std::vector<JsonMember> members;
  scanner.Require('{');
  if (!scanner.Accept('}')) {
    do {
      const std::string_view key = scanner.TakeString();
      scanner.Require(':');
      members.push_back({.key = key, .value = scanner.TakeValue()});
    } while (scanner.Accept(','));
    scanner.Require('}');
  }
  scanner.RequireEnd();
  return members;
}

std::vector<std::string_view> SplitJsonList(std::string_view text) {
  Scanner scanner(text);
  std::vector<std::string_view> items;
  scanner.Require('[');
  if (!scanner.Accept(']')) {
    do {
      items.push_back(scanner.TakeValue());
    } while (scanner.Accept(','));
    scanner.Require(']');
  }
  scanner.RequireEnd();
  return items;
}

}  // namespace pimentomoor
