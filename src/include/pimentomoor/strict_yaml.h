// A bounded YAML reader for text that operators, the platform or other hosts supply.
//
// The reader accepts one document of maps, sequences and scalars. It refuses anchors, aliases, merge keys, tags and
// duplicate keys: aliases let a small text describe an exponentially large tree, and a duplicate key hides one of its
// values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pimentomoor {

/// Thrown for an invalid list, settings file or answer. what() is "<source>:<line>: key '<key>': <problem>". An error
/// may hold several findings; what(), line() and key() then describe the first one.
class ConfigError : public std::runtime_error {
 public:
  /// Creates an error with one finding. `line` counts from 1; a `line` of 0 and an empty `key` are left out of
  /// what().
  ConfigError(std::string_view source, int line, std::string_view key, std::string_view problem);
  /// Creates an error with several findings: `first` is the first one, `findings` has a line for each.
  ConfigError(const ConfigError& first, std::string findings) : ConfigError(first) {
    findings_ = std::move(findings);
  }

  [[nodiscard]] int line() const { return line_; }
  [[nodiscard]] const std::string& key() const { return key_; }
  /// All findings, each on a line in the form of what().
  [[nodiscard]] const std::string& findings() const { return findings_; }

 private:
  int line_;
  std::string key_;
  std::string findings_;  // one line per finding
};

/// Collects the errors found in one text, so that its author sees all of them at once.
class ConfigFindings {
 public:
  /// Calls `read` and keeps the findings of the ConfigError that it throws. Returns whether it threw none.
  template <typename Read>
  bool CollectErrors(Read&& read) {
    try {
      std::forward<Read>(read)();
      return true;
    } catch (const ConfigError& error) {
      Add(error);
      return false;
    }
  }

  /// Whether there are enough findings for one message. A text that is wrong throughout has thousands, and reading on
  /// would only cost time.
  [[nodiscard]] bool full() const { return line_count_ >= kMaxLines; }

  /// Throws one ConfigError with all findings when there are any.
  void ThrowIfAny() const;

 private:
  void Add(const ConfigError& error);

  static constexpr std::size_t kMaxLines = 100;

  std::optional<ConfigError> first_;
  std::string text_;            // one line per finding
  std::size_t line_count_ = 0;  // number of lines in text_
};

/// Limits on the size of a text and on the number and depth of its nodes.
struct YamlLimits {
  std::size_t max_bytes = std::size_t{1024} * 1024;
  std::size_t max_nodes = 200'000;
  std::size_t max_depth = 16;
};

/// One node of a parsed document.
struct YamlNode {
  enum class Kind { kNull, kScalar, kSequence, kMap };

  Kind kind = Kind::kNull;
  int line = 0;                   // line of the text where the node begins, from 1
  std::string scalar;             // text of a kScalar
  bool quoted = false;            // whether the scalar is quoted, which makes it text rather than a number
  std::vector<YamlNode> items;    // items of a kSequence, or values of a kMap
  std::vector<std::string> keys;  // keys of a kMap: unique, each at the index of its value in `items`
};

/// Parses one document; an empty text gives kNull. Throws ConfigError.
YamlNode ParseStrictYaml(std::string_view text, std::string_view source, const YamlLimits& limits = {});

/// Quotes `value` for an error message: control characters are replaced and long values are cut.
std::string QuoteForError(std::string_view value);

/// Reads the typed fields of one map and refuses unknown keys. `path` names the map in errors, for example
/// "plans[2]"; the map at the top of a document has an empty path.
class YamlMapReader {
 public:
  /// Throws ConfigError when `node` is not a map. `node` must outlive the reader.
  YamlMapReader(const YamlNode& node, std::string_view source, std::string path);

  /// Returns the value of a key and marks the key as known. Returns null when it is missing.
  const YamlNode* Find(std::string_view key);
  /// Like Find(), but throws ConfigError when the key is missing.
  const YamlNode& Require(std::string_view key);

  // The functions below return the value of a key and throw ConfigError when it has another type or is out of range.

  /// Returns text of 1 to `max_bytes` bytes without control characters.
  std::string RequireText(std::string_view key, std::size_t max_bytes);
  /// Returns an empty text when the key is missing.
  std::string OptionalText(std::string_view key, std::size_t max_bytes);
  std::uint64_t RequireUnsigned(std::string_view key, std::uint64_t min, std::uint64_t max);
  std::uint64_t OptionalUnsigned(std::string_view key, std::uint64_t fallback, std::uint64_t min, std::uint64_t max);
  bool OptionalBool(std::string_view key, bool fallback);
  /// Returns the items of a sequence of at most `max_items` items, none when the key is missing or its value is null.
  const std::vector<YamlNode>& OptionalSequence(std::string_view key, std::size_t max_items);
  /// Like OptionalSequence(), but throws ConfigError when the key is missing.
  const std::vector<YamlNode>& RequireSequence(std::string_view key, std::size_t max_items);

  /// Throws ConfigError when the map has keys that none of the functions above was called with.
  void RefuseUnknownKeys() const;

  /// Calls `read` and keeps the ConfigError that it throws for Finish(). Returns whether it threw none.
  template <typename Read>
  bool CollectErrors(Read&& read) {
    return findings_.CollectErrors(std::forward<Read>(read));
  }
  /// Checks for unknown keys, then throws one ConfigError with all errors kept by CollectErrors() when there are any.
  void Finish();

  /// Path of a key for errors: the path of the map, followed by the key.
  [[nodiscard]] std::string PathOf(std::string_view key) const;
  /// Throws ConfigError for `key` of this map.
  [[noreturn]] void Fail(int line, std::string_view key, std::string_view problem) const;

 private:
  const YamlNode& node_;
  std::string source_;
  std::string path_;
  std::vector<std::string> known_keys_;  // keys that were looked up so far
  ConfigFindings findings_;
};

/// Whether `text` has 1 to `max_bytes` bytes and no control characters.
bool IsPlainText(std::string_view text, std::size_t max_bytes);

/// Convert one scalar; `path` names it in errors. Both throw ConfigError when the node has another type or its value
/// is out of range.
std::string ReadYamlText(const YamlNode& node, std::string_view source, std::string_view path, std::size_t max_bytes);
std::uint64_t ReadYamlUnsigned(const YamlNode& node, std::string_view source, std::string_view path,
                               std::uint64_t min, std::uint64_t max);

}  // namespace pimentomoor
