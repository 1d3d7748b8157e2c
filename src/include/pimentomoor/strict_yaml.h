// A bounded YAML reader for text that operators, the platform or other hosts supply.
//
// It reads one document of maps, sequences and scalars. Anchors, aliases, merge keys, tags and duplicate keys are
// refused: aliases make a small text describe an exponentially large tree, and a duplicate key hides one of its
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

/// Wrong text in a list, settings file or answer. what() is "<source>:<line>: key '<key>': <problem>" of the first
/// finding, as are line() and key().
class ConfigError : public std::runtime_error {
 public:
  /// `line` counts from 1; 0 leaves it out, as does an empty `key`.
  ConfigError(std::string_view source, int line, std::string_view key, std::string_view problem);
  /// Several findings: `first` with the lines of all of them.
  ConfigError(const ConfigError& first, std::string findings) : ConfigError(first) {
    findings_ = std::move(findings);
  }

  [[nodiscard]] int line() const { return line_; }
  [[nodiscard]] const std::string& key() const { return key_; }
  /// A line in the form of what() for each finding.
  [[nodiscard]] const std::string& findings() const { return findings_; }

 private:
  int line_;
  std::string key_;
  std::string findings_;
};

/// Collects the findings of one text, so that its author sees all of them at once.
class ConfigFindings {
 public:
  /// Runs `read` and keeps the ConfigError that it throws; returns whether it threw none.
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

  /// Enough findings for one message: reading on would only cost time, since a text that is wrong throughout has
  /// thousands.
  [[nodiscard]] bool full() const { return lines_ >= kMaxLines; }

  /// Throws one ConfigError with all findings; does nothing when there are none.
  void ThrowIfAny() const;

 private:
  void Add(const ConfigError& error);

  static constexpr std::size_t kMaxLines = 100;

  std::optional<ConfigError> first_;
  std::string text_;       // a line for each finding
  std::size_t lines_ = 0;  // in text_
};

struct YamlLimits {
  std::size_t max_bytes = std::size_t{1024} * 1024;
  std::size_t max_nodes = 200'000;
  std::size_t max_depth = 16;
};

/// One node of a parsed document.
struct YamlNode {
  enum class Kind { kNull, kScalar, kSequence, kMap };

  Kind kind = Kind::kNull;
  int line = 0;                   // from 1
  std::string scalar;             // of kScalar
  bool quoted = false;            // the scalar stands in quotes, so it is text and no number
  std::vector<YamlNode> items;    // of kSequence, and the values of kMap
  std::vector<std::string> keys;  // of kMap: unique, each at the index of its value in items
};

/// Parses one document; an empty text gives kNull. Throws ConfigError.
YamlNode ParseStrictYaml(std::string_view text, std::string_view source, const YamlLimits& limits = {});

/// Quotes `value` for an error message: control characters are replaced and long values are cut.
std::string QuoteForError(std::string_view value);

/// Reads typed fields of one map and refuses what it does not expect. `path` names the map in errors, for example
/// "plans[2]"; the top of a document has an empty path.
class YamlMapReader {
 public:
  /// Throws ConfigError when `node` is no map. `node` must outlive the reader.
  YamlMapReader(const YamlNode& node, std::string_view source, std::string path);

  /// Returns null when the key is missing.
  const YamlNode* Find(std::string_view key);
  /// Throws ConfigError when the key is missing.
  const YamlNode& Require(std::string_view key);

  /// Text of 1 to `max_bytes` bytes without control characters.
  std::string RequireText(std::string_view key, std::size_t max_bytes);
  std::string OptionalText(std::string_view key, std::size_t max_bytes);
  std::uint64_t RequireUnsigned(std::string_view key, std::uint64_t min, std::uint64_t max);
  std::uint64_t OptionalUnsigned(std::string_view key, std::uint64_t fallback, std::uint64_t min, std::uint64_t max);
  bool OptionalBool(std::string_view key, bool fallback);
  /// The items of a sequence with at most `max_items` items; a missing or null key gives an empty sequence.
  const std::vector<YamlNode>& OptionalSequence(std::string_view key, std::size_t max_items);
  const std::vector<YamlNode>& RequireSequence(std::string_view key, std::size_t max_items);

  /// Throws ConfigError that names the keys that were neither found nor required.
  void RefuseUnknownKeys() const;

  /// Runs `read` and keeps its ConfigError for Finish(); returns whether it threw none.
  template <typename Read>
  bool CollectErrors(Read&& read) {
    return findings_.CollectErrors(std::forward<Read>(read));
  }
  /// Refuses unknown keys and throws all that CollectErrors() has kept as one ConfigError.
  void Finish();

  [[nodiscard]] std::string PathOf(std::string_view key) const;
  [[noreturn]] void Fail(int line, std::string_view key, std::string_view problem) const;

 private:
  const YamlNode& node_;
  std::string source_;
  std::string path_;
  std::vector<std::string> known_;  // keys asked for so far
  ConfigFindings findings_;
};

/// Whether `text` has 1 to `max_bytes` bytes and no control characters.
bool IsPlainText(std::string_view text, std::size_t max_bytes);

/// Converts one scalar; `path` names it in errors.
std::string ReadYamlText(const YamlNode& node, std::string_view source, std::string_view path, std::size_t max_bytes);
std::uint64_t ReadYamlUnsigned(const YamlNode& node, std::string_view source, std::string_view path,
                               std::uint64_t min, std::uint64_t max);

}  // namespace pimentomoor
