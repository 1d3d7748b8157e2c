// Implementation of the settings parser: keys, defaults, bounds, and limits between keys.
#include "pimentomoor/settings.h"

#include "pimentomoor/config_lists.h"
#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxAddresses = 64;
constexpr std::size_t kMinTokenKeyBytes = 16;
constexpr std::uint64_t kMaxPeerDelayMs = 1'000;
constexpr std::uint64_t kMaxEntryTtlMs = 60'000;
constexpr std::uint64_t kMaxDrainTimeoutMs = 300'000;
constexpr std::uint64_t kHundredPercent = 100;
constexpr std::uint64_t kMaxQueueSpans = 65'536;
constexpr std::uint64_t kMaxBatchSpans = 4'096;  // bounds the size of the body of an export call
constexpr std::uint64_t kMaxAnswerHoldUs = 20'000;
constexpr std::uint64_t kMaxExportDurationMs = 60'000;

Duration Milliseconds(std::uint64_t value) { return std::chrono::milliseconds(value); }

std::string FormatMilliseconds(Duration value) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()) + " ms";
}

// Requires that the drain timeout covers the time to live of the entry address with its margin. A daemon that ended
// earlier would close the connections of callers that still hold its address.
void CheckDrainTimeout(YamlMapReader& reader, const YamlNode& root, const Settings& settings) {
  if (settings.drain_timeout >= settings.entry_ttl + kEntryTtlMargin) {
    return;
  }
  const YamlNode* key_node = reader.Find("drain_timeout_ms");
  if (key_node == nullptr) {
    key_node = reader.Find("entry_ttl_ms");
  }
  reader.Fail(key_node == nullptr ? root.line : key_node->line, "drain_timeout_ms",
              FormatMilliseconds(settings.drain_timeout) + " is shorter than entry_ttl_ms plus " +
                  FormatMilliseconds(kEntryTtlMargin) + " (" +
                  FormatMilliseconds(settings.entry_ttl + kEntryTtlMargin) +
                  "), for which callers keep using a leaving daemon");
}

std::vector<std::string> ReadAddresses(YamlMapReader& reader, std::string_view source, std::string_view key,
                                       const std::vector<YamlNode>& items) {
  std::vector<std::string> addresses;
  addresses.reserve(items.size());
  for (const auto& item : items) {
    addresses.push_back(ReadAddress(item, source, reader.PathOf(key)));
  }
  return addresses;
}

CrashGuardMode ReadCanaryMode(YamlMapReader& reader) {
  const std::string text = reader.OptionalText("canary", kMaxNameBytes);
  if (text.empty() || text == "strict") {
    return CrashGuardMode::kStrict;
  }
  if (text == "after_strike") {
    return CrashGuardMode::kAfterStrike;
  }
  if (text != "off") {
    reader.Fail(reader.Require("canary").line, "canary", QuoteForError(text) + " is not strict, after_strike or off");
  }
  return CrashGuardMode::kOff;
}

PolicySettings ReadPolicy(const YamlNode& node, std::string_view source) {
  YamlMapReader reader(node, source, "policy");
  PolicySettings policy;
  policy.naive = reader.OptionalBool("naive", false);
  policy.deadlines.coverage_first = reader.OptionalBool("coverage_first", false);
  policy.deadlines.soft = Milliseconds(reader.OptionalUnsigned("soft_deadline_ms", 95, 1, kMaxQueryDeadlineMs));
  policy.deadlines.hard =
      Milliseconds(reader.OptionalUnsigned("hard_deadline_ms", kMaxQueryDeadlineMs, 1, kMaxQueryDeadlineMs));
  policy.hedge.enabled = reader.OptionalBool("hedge", true);
  policy.hedge.quantile =
      static_cast<double>(reader.OptionalUnsigned("hedge_quantile_percent", 95, 50, 99)) / kHundredPercent;
  policy.extra_budget.ratio =
      static_cast<double>(reader.OptionalUnsigned("extra_percent", 5, 0, kHundredPercent)) / kHundredPercent;
  policy.extra_budget.burst = static_cast<double>(reader.OptionalUnsigned("extra_burst", 20, 0, 10'000));
  policy.extra_budget.hedge_share =
      static_cast<double>(reader.OptionalUnsigned("hedge_burst_percent", 50, 0, kHundredPercent)) / kHundredPercent;
  policy.crash_guard_mode = ReadCanaryMode(reader);
  policy.answer_hold = std::chrono::microseconds(reader.OptionalUnsigned("answer_hold_us", 0, 0, kMaxAnswerHoldUs));
  reader.RefuseUnknownKeys();
  if (policy.deadlines.soft > policy.deadlines.hard) {
    reader.Fail(node.line, "soft_deadline_ms", "is above hard_deadline_ms");
  }
  return policy;
}

TraceExportOptions ReadTraceExport(const YamlNode& node, std::string_view source) {
  YamlMapReader reader(node, source, "trace_export");
  TraceExportOptions options;
  options.address = RequireAddress(reader, "address");
  options.max_queued_spans = reader.OptionalUnsigned("queue_spans", options.max_queued_spans, 1, kMaxQueueSpans);
  options.max_batch_spans = reader.OptionalUnsigned("batch_spans", options.max_batch_spans, 1, kMaxBatchSpans);
  options.batch_interval = Milliseconds(reader.OptionalUnsigned("interval_ms", 1'000, 10, kMaxExportDurationMs));
  options.call_timeout = Milliseconds(reader.OptionalUnsigned("timeout_ms", 2'000, 10, kMaxExportDurationMs));
  reader.RefuseUnknownKeys();
  if (options.max_batch_spans > options.max_queued_spans) {
    reader.Fail(node.line, "batch_spans",
                std::to_string(options.max_batch_spans) + " is above queue_spans (" +
                    std::to_string(options.max_queued_spans) + ")");
  }
  return options;
}

}  // namespace

Settings ParseSettings(std::string_view text, std::string_view source) {
  const YamlNode root = ParseStrictYaml(text, source);
  YamlMapReader reader(root, source, "");
  Settings settings;
  settings.deployment = reader.RequireText("deployment", kMaxNameBytes);
  settings.host = reader.RequireText("host", kMaxNameBytes);
  settings.failure_domain = reader.RequireText("failure_domain", kMaxNameBytes);
  settings.cell = ReadCellName(reader);
  settings.http_address = RequireAddress(reader, "http_address");
  settings.peer_address = RequireAddress(reader, "peer_address");
  settings.platform_endpoints =
      ReadAddresses(reader, source, "platform", reader.RequireSequence("platform", kMaxAddresses));
  settings.seed_peers =
      ReadAddresses(reader, source, "seed_peers", reader.OptionalSequence("seed_peers", kMaxAddresses));
  settings.token_key = reader.RequireText("token_key", kMaxNameBytes);
  const std::string log_level = reader.OptionalText("log_level", kMaxNameBytes);
  settings.log_level = log_level.empty() ? "info" : log_level;
  settings.entry_ttl = Milliseconds(reader.OptionalUnsigned("entry_ttl_ms", 3'000, 100, kMaxEntryTtlMs));
  settings.drain_timeout =
      Milliseconds(reader.OptionalUnsigned("drain_timeout_ms", 30'000, 1'000, kMaxDrainTimeoutMs));
  settings.added_peer_delay =
      std::chrono::microseconds(reader.OptionalUnsigned("peer_delay_us", 0, 0, kMaxPeerDelayMs * 1'000));
  if (const YamlNode* policy = reader.Find("policy"); policy != nullptr) {
    settings.policy = ReadPolicy(*policy, source);
  }
  if (const YamlNode* trace_export = reader.Find("trace_export"); trace_export != nullptr) {
    settings.trace_export = ReadTraceExport(*trace_export, source);
  }
  reader.RefuseUnknownKeys();
  CheckDrainTimeout(reader, root, settings);
  if (settings.platform_endpoints.empty()) {
    reader.Fail(root.line, "platform", "names no endpoint");
  }
  if (settings.token_key.size() < kMinTokenKeyBytes) {
    reader.Fail(reader.Require("token_key").line, "token_key",
                "has fewer than " + std::to_string(kMinTokenKeyBytes) + " bytes");
  }
  if (!log_level.empty() && log_level != "debug" && log_level != "info" && log_level != "warn" &&
      log_level != "error") {
    reader.Fail(reader.Require("log_level").line, "log_level",
                QuoteForError(log_level) + " is not debug, info, warn or error");
  }
  return settings;
}

}  // namespace pimentomoor
