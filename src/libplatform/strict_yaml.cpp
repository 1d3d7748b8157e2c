// Implements the bounded YAML reader. It builds the tree of nodes from the events of yaml-cpp's parser, so that the
// limits apply while the text is read.
#include "pimentomoor/strict_yaml.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <istream>
#include <streambuf>

namespace pimentomoor {
namespace {

constexpr std::size_t kMaxQuotedBytes = 80;  // keeps an error message on about one line

std::string FormatMessage(std::string_view source, int line, std::string_view key, std::string_view problem) {
  std::string text(source);
  if (line > 0) {
    text += ":" + std::to_string(line);
  }
  text += ": ";
  if (!key.empty()) {
    text += "key " + QuoteForError(key) + ": ";
  }
  return text.append(problem);
}

/// Stream buffer that reads a text in memory without copying it.
class StringViewBuffer final : public std::streambuf {
 public:
  explicit StringViewBuffer(std::string_view text) {
    char* begin = const_cast<char*>(text.data());  // the get area is never written to
    setg(begin, begin, begin + text.size());
  }
};

/// Builds a tree of nodes and throws ConfigError for what the reader refuses.
class TreeBuilder final : public YAML::EventHandler {
 public:
  TreeBuilder(std::string_view source, const YamlLimits& limits) : source_(source), limits_(limits) {}

  YamlNode TakeRoot() { return std::move(root_); }

  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    AddScalar({.kind = YamlNode::Kind::kNull, .line = Line(mark)}, "", anchor);
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    throw ConfigError(source_, Line(mark), CurrentKey(), "aliases are not allowed");
  }

  void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                const std::string& value) override {
    const bool quoted = tag == "!";
    const bool is_null = !quoted && (value.empty() || value == "~" || value == "null");
    AddScalar({.kind = is_null ? YamlNode::Kind::kNull : YamlNode::Kind::kScalar,
               .line = Line(mark),
               .scalar = value,
               .quoted = quoted},
              tag, anchor);
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    BeginCollection({.kind = YamlNode::Kind::kSequence, .line = Line(mark)}, tag, anchor);
  }
  void OnSequenceEnd() override { EndCollection(); }

  void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    BeginCollection({.kind = YamlNode::Kind::kMap, .line = Line(mark)}, tag, anchor);
  }
  void OnMapEnd() override { EndCollection(); }

 private:
  /// A map or sequence whose end was not read yet.
  struct OpenCollection {
    YamlNode node;
    bool has_key = false;  // whether the node is a map and the value of `key` was not read yet
    std::string key;
    int key_line = 0;
  };

  static int Line(const YAML::Mark& mark) { return mark.line + 1; }

  /// Key whose value is being read; empty outside a map.
  std::string CurrentKey() const { return open_collections_.empty() ? std::string() : open_collections_.back().key; }

  void CheckNode(const YamlNode& node, const std::string& tag, YAML::anchor_t anchor) {
    if (anchor != 0) {
      throw ConfigError(source_, node.line, CurrentKey(), "anchors are not allowed");
    }
    if (!tag.empty() && tag != "?" && tag != "!") {
      throw ConfigError(source_, node.line, CurrentKey(), "tag " + QuoteForError(tag) + " is not allowed");
    }
    if (++node_count_ > limits_.max_nodes) {
      throw ConfigError(source_, node.line, CurrentKey(),
                        "more than " + std::to_string(limits_.max_nodes) + " values");
    }
  }

  void AddScalar(YamlNode node, const std::string& tag, YAML::anchor_t anchor) {
    CheckNode(node, tag, anchor);
    Attach(std::move(node));
  }

  void BeginCollection(YamlNode node, const std::string& tag, YAML::anchor_t anchor) {
    CheckNode(node, tag, anchor);
    if (!open_collections_.empty() && open_collections_.back().node.kind == YamlNode::Kind::kMap &&
        !open_collections_.back().has_key) {
      throw ConfigError(source_, node.line, "", "a map or sequence cannot be a key");
    }
    if (open_collections_.size() >= limits_.max_depth) {
      throw ConfigError(source_, node.line, CurrentKey(),
                        "nested deeper than " + std::to_string(limits_.max_depth) + " levels");
    }
    open_collections_.push_back({.node = std::move(node)});
  }

  void EndCollection() {
    YamlNode node = std::move(open_collections_.back().node);
    open_collections_.pop_back();
    if (node.kind == YamlNode::Kind::kMap) {
      RefuseDuplicateKeys(node);
    }
    Attach(std::move(node));
  }

  /// Adds a complete node to the innermost open collection, or makes it the root.
  void Attach(YamlNode node) {
    if (open_collections_.empty()) {
      root_ = std::move(node);
      return;
    }
    OpenCollection& parent = open_collections_.back();
    if (parent.node.kind == YamlNode::Kind::kSequence) {
      parent.node.items.push_back(std::move(node));
    } else if (!parent.has_key) {
      SetKey(parent, std::move(node));
    } else {
      parent.node.keys.push_back(std::move(parent.key));
      parent.node.items.push_back(std::move(node));
      parent.key.clear();
      parent.has_key = false;
    }
  }

  void SetKey(OpenCollection& parent, YamlNode node) const {
    if (node.kind != YamlNode::Kind::kScalar || node.scalar.empty()) {
      throw ConfigError(source_, node.line, "", "an empty key");
    }
    parent.key = std::move(node.scalar);
    parent.key_line = node.line;
    parent.has_key = true;
  }

  void RefuseDuplicateKeys(const YamlNode& map) const {
    std::vector<std::pair<std::string_view, int>> keys;
    keys.reserve(map.keys.size());
    for (std::size_t i = 0; i < map.keys.size(); ++i) {
      keys.emplace_back(map.keys[i], map.items[i].line);
    }
    std::sort(keys.begin(), keys.end());
    for (std::size_t i = 1; i < keys.size(); ++i) {
      if (keys[i].first == keys[i - 1].first) {
        throw ConfigError(source_, keys[i].second, keys[i].first,
                          "duplicate of the key in line " + std::to_string(keys[i - 1].second));
      }
    }
  }

  std::string source_;
  const YamlLimits& limits_;
  YamlNode root_;
  std::vector<OpenCollection> open_collections_;  // innermost last
  std::size_t node_count_ = 0;
};

}  // namespace

ConfigError::ConfigError(std::string_view source, int line, std::string_view key, std::string_view problem)
    : std::runtime_error(FormatMessage(source, line, key, problem)), line_(line), key_(key), findings_(what()) {}

void ConfigFindings::Add(const ConfigError& error) {
  if (full()) {
    return;
  }
  const std::string& lines = error.findings();
  if (!first_) {
    first_ = error;
  }
  text_.append(text_.empty() ? "" : "\n").append(lines);
  line_count_ += static_cast<std::size_t>(1 + std::count(lines.begin(), lines.end(), '\n'));
}

void ConfigFindings::ThrowIfAny() const {
  if (first_) {
    // The findings of a nested map or list may already end with this text.
    constexpr std::string_view kTruncated = "\nand possibly more, which were not read";
    throw ConfigError(*first_, full() && !text_.ends_with(kTruncated) ? text_ + std::string(kTruncated) : text_);
  }
}

std::string QuoteForError(std::string_view value) {
  std::string quoted = "'";
  for (const char c : value.substr(0, kMaxQuotedBytes)) {
    const auto byte = static_cast<unsigned char>(c);
    quoted += byte < 0x20 || byte == 0x7f ? '?' : c;
  }
  return quoted + (value.size() > kMaxQuotedBytes ? "...'" : "'");
}

YamlNode ParseStrictYaml(std::string_view text, std::string_view source, const YamlLimits& limits) {
  if (text.size() > limits.max_bytes) {
    throw ConfigError(source, 0, "",
                      std::to_string(text.size()) + " bytes, more than " + std::to_string(limits.max_bytes));
  }
  StringViewBuffer buffer(text);
  std::istream stream(&buffer);
  TreeBuilder builder(source, limits);
  try {
    YAML::Parser parser(stream);
    if (!parser.HandleNextDocument(builder)) {
      return {};
    }
    TreeBuilder second_document(source, limits);
    if (parser.HandleNextDocument(second_document)) {
      throw ConfigError(source, 0, "", "more than one YAML document");
    }
  } catch (const YAML::Exception& error) {
    throw ConfigError(source, error.mark.is_null() ? 0 : error.mark.line + 1, "", "not YAML: " + error.msg);
  }
  return builder.TakeRoot();
}

bool IsPlainText(std::string_view text, std::size_t max_bytes) {
  const bool printable = std::none_of(text.begin(), text.end(),
                                      [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
  return !text.empty() && text.size() <= max_bytes && printable;
}

std::string ReadYamlText(const YamlNode& node, std::string_view source, std::string_view path,
                         std::size_t max_bytes) {
  if (node.kind != YamlNode::Kind::kScalar) {
    throw ConfigError(source, node.line, path, "expected text");
  }
  if (!IsPlainText(node.scalar, max_bytes)) {
    throw ConfigError(source, node.line, path,
                      QuoteForError(node.scalar) + " is not text of 1 to " + std::to_string(max_bytes) +
                          " bytes without control characters");
  }
  return node.scalar;
}

std::uint64_t ReadYamlUnsigned(const YamlNode& node, std::string_view source, std::string_view path,
                               std::uint64_t min, std::uint64_t max) {
  const char* begin = node.scalar.data();
  const char* end = begin + node.scalar.size();
  std::uint64_t value = 0;
  const auto [rest, error] = std::from_chars(begin, end, value);
  if (node.kind != YamlNode::Kind::kScalar || node.quoted || error != std::errc() || rest != end || value < min ||
      value > max) {
    throw ConfigError(source, node.line, path,
                      QuoteForError(node.scalar) + " is not a whole number from " + std::to_string(min) + " to " +
                          std::to_string(max));
  }
  return value;
}

YamlMapReader::YamlMapReader(const YamlNode& node, std::string_view source, std::string path)
    : node_(node), source_(source), path_(std::move(path)) {
  if (node.kind != YamlNode::Kind::kMap) {
    throw ConfigError(source_, node.line, path_,
                      node.kind == YamlNode::Kind::kScalar ? QuoteForError(node.scalar) + " is not a map of keys"
                                                           : "expected a map of keys");
  }
}

const YamlNode* YamlMapReader::Find(std::string_view key) {
  known_keys_.emplace_back(key);
  const auto found = std::find(node_.keys.begin(), node_.keys.end(), key);
  return found == node_.keys.end() ? nullptr : &node_.items[static_cast<std::size_t>(found - node_.keys.begin())];
}

const YamlNode& YamlMapReader::Require(std::string_view key) {
  const YamlNode* found = Find(key);
  if (found == nullptr) {
    Fail(node_.line, key, "missing");
  }
  return *found;
}

std::string YamlMapReader::RequireText(std::string_view key, std::size_t max_bytes) {
  return ReadYamlText(Require(key), source_, PathOf(key), max_bytes);
}

std::string YamlMapReader::OptionalText(std::string_view key, std::size_t max_bytes) {
  const YamlNode* found = Find(key);
  return found == nullptr ? std::string() : ReadYamlText(*found, source_, PathOf(key), max_bytes);
}

std::uint64_t YamlMapReader::RequireUnsigned(std::string_view key, std::uint64_t min, std::uint64_t max) {
  return ReadYamlUnsigned(Require(key), source_, PathOf(key), min, max);
}

std::uint64_t YamlMapReader::OptionalUnsigned(std::string_view key, std::uint64_t fallback, std::uint64_t min,
                                              std::uint64_t max) {
  const YamlNode* found = Find(key);
  return found == nullptr ? fallback : ReadYamlUnsigned(*found, source_, PathOf(key), min, max);
}

bool YamlMapReader::OptionalBool(std::string_view key, bool fallback) {
  const YamlNode* found = Find(key);
  if (found == nullptr) {
    return fallback;
  }
  if (found->kind != YamlNode::Kind::kScalar || found->quoted ||
      (found->scalar != "true" && found->scalar != "false")) {
    Fail(found->line, key, QuoteForError(found->scalar) + " is neither true nor false");
  }
  return found->scalar == "true";
}

const std::vector<YamlNode>& YamlMapReader::OptionalSequence(std::string_view key, std::size_t max_items) {
  static const std::vector<YamlNode> none;
  const YamlNode* found = Find(key);
  if (found == nullptr || found->kind == YamlNode::Kind::kNull) {
    return none;
  }
  if (found->kind != YamlNode::Kind::kSequence) {
    Fail(
        found->line, key,
        found->kind == YamlNode::Kind::kScalar ? QuoteForError(found->scalar) + " is not a list" : "expected a list");
  }
  if (found->items.size() > max_items) {
    Fail(found->line, key, std::to_string(found->items.size()) + " items, more than " + std::to_string(max_items));
  }
  return found->items;
}

const std::vector<YamlNode>& YamlMapReader::RequireSequence(std::string_view key, std::size_t max_items) {
  Require(key);
  return OptionalSequence(key, max_items);
}

void YamlMapReader::RefuseUnknownKeys() const {
  ConfigFindings unknown;
  for (std::size_t i = 0; i < node_.keys.size() && !unknown.full(); ++i) {
    const std::string& key = node_.keys[i];
    const YamlNode& value = node_.items[i];
    if (std::find(known_keys_.begin(), known_keys_.end(), key) == known_keys_.end()) {
      const std::string value_text =
          value.kind == YamlNode::Kind::kScalar ? " with value " + QuoteForError(value.scalar) : "";
      unknown.CollectErrors([&] { Fail(value.line, key, "unknown key" + value_text); });
    }
  }
  unknown.ThrowIfAny();
}

void YamlMapReader::Finish() {
  CollectErrors([this] { RefuseUnknownKeys(); });
  findings_.ThrowIfAny();
}

std::string YamlMapReader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void YamlMapReader::Fail(int line, std::string_view key, std::string_view problem) const {
  throw ConfigError(source_, line, PathOf(key), problem);
}

}  // namespace pimentomoor
