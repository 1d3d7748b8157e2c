// Implementation of the gateway's settings reader.
#include "pimentomoor/gateway_settings.h"

#include <charconv>

#include "pimentomoor/config_lists.h"
#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxSeeds = 64;
constexpr std::uint64_t kMaxTtlS = 60;
constexpr double kMaxSeconds = 3'600;
constexpr std::uint64_t kMaxDrainMs = 600'000;

// Reads a decimal number in [min, max]. Returns `fallback` if the value is empty or missing.
double OptionalDecimal(YamlMapReader& reader, std::string_view key, double fallback, double min, double max) {
  const std::string text = reader.OptionalText(key, kMaxNameBytes);
  if (text.empty()) {
    return fallback;
  }
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  // NaN, which from_chars reads, compares false with every bound.
  const bool in_range = value >= min && value <= max;
  if (error != std::errc() || end != text.data() + text.size() || !in_range) {
    reader.Fail(reader.Require(key).line, key,
                QuoteForError(text) + " is not a number from " + std::to_string(min) + " to " + std::to_string(max));
  }
  return value;
}

// Reads a time in seconds, at least one second.
Duration OptionalSeconds(YamlMapReader& reader, std::string_view key, Duration fallback) {
  const double seconds =
      OptionalDecimal(reader, key, std::chrono::duration<double>(fallback).count(), 1, kMaxSeconds);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::vector<std::string> ReadSeeds(YamlMapReader& reader, std::string_view source, const std::string& peer_address) {
  // peer_address is empty if it was refused. The whole file is then refused, so the port doesn't matter.
  const std::string port = peer_address.empty() ? "" : peer_address.substr(peer_address.rfind(':'));
  std::vector<std::string> seeds;
  for (const auto& item : reader.OptionalSequence("seed_peers", kMaxSeeds)) {
    reader.CollectErrors([&] {
      const std::string address = ReadAddress(item, source, reader.PathOf("seed_peers"));
      seeds.push_back(address.substr(0, address.rfind(':')) + port);
    });
  }
  return seeds;
}

RetryBudgetSettings ReadRetry(const YamlNode& node, std::string_view source) {
  YamlMapReader reader(node, source, "retry");
  RetryBudgetSettings retry;
  reader.CollectErrors([&] { retry.ratio = OptionalDecimal(reader, "ratio", retry.ratio, 0, 10); });
  reader.CollectErrors(
      [&] { retry.allowance = OptionalDecimal(reader, "allowance", retry.allowance, 0, 1'000'000); });
  reader.CollectErrors([&] { retry.window = OptionalSeconds(reader, "window_s", retry.window); });
  reader.Finish();
  return retry;
}

ColdUpstreamSettings ReadCold(const YamlNode& node, std::string_view source) {
  YamlMapReader reader(node, source, "cold");
  ColdUpstreamSettings cold;
  reader.CollectErrors([&] { cold.rate_factor = OptionalDecimal(reader, "rate_factor", cold.rate_factor, 0, 100); });
  reader.CollectErrors([&] { cold.slack = OptionalDecimal(reader, "slack", cold.slack, 0, 1'000'000); });
  reader.Finish();
  return cold;
}

UsageCapSettings ReadUsageCaps(const YamlNode& node, std::string_view source) {
  constexpr Duration kDefaultWindow = std::chrono::seconds(5);
  YamlMapReader reader(node, source, "usage_caps");
  UsageCapSettings caps{.window = kDefaultWindow};
  reader.CollectErrors([&] { caps.window = OptionalSeconds(reader, "window_s", caps.window); });
  reader.CollectErrors([&] { caps.excess = OptionalDecimal(reader, "excess", caps.excess, 0, 10); });
  reader.CollectErrors([&] { caps.slack = OptionalDecimal(reader, "slack", caps.slack, 0, 1'000'000); });
  reader.Finish();
  return caps;
}

RolloutSettings ReadRollouts(const YamlNode& node, std::string_view source) {
  constexpr double kMinRollbackMs = 100;
  constexpr double kMaxRollbackMs = 3'600'000;
  YamlMapReader reader(node, source, "rollouts");
  RolloutSettings rollouts;
  reader.CollectErrors(
      [&] { rollouts.canary_share = OptionalDecimal(reader, "canary_share", rollouts.canary_share, 0, 1); });
  reader.CollectErrors(
      [&] { rollouts.canary_slack = OptionalDecimal(reader, "canary_slack", rollouts.canary_slack, 0, 1'000'000); });
  reader.CollectErrors([&] {
    const double fallback = std::chrono::duration<double, std::milli>(rollouts.rollback_time).count();
    rollouts.rollback_time = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
        OptionalDecimal(reader, "rollback_ms", fallback, kMinRollbackMs, kMaxRollbackMs)));
  });
  reader.Finish();
  return rollouts;
}

// Without the key, admission is naive.
AdmissionSettings ReadAdmission(const YamlNode& node, std::string_view source) {
  YamlMapReader reader(node, source, "admission");
  AdmissionSettings admission;
  reader.CollectErrors([&] { admission.naive = reader.OptionalBool("naive", false); });
  reader.Finish();
  return admission;
}

PaceSettings ReadPace(const YamlNode& node, std::string_view source) {
  YamlMapReader reader(node, source, "pace");
  PaceSettings pace;
  reader.CollectErrors([&] { pace.enabled = reader.OptionalBool("enabled", pace.enabled); });
  reader.Finish();
  return pace;
}

// Reads the CPU capacity of this host: share of a core times number of cores.
std::uint32_t ReadCapacity(YamlMapReader& reader) {
  constexpr double kMaxCores = 1'024;
  constexpr double kMillicores = 1'000;
  return static_cast<std::uint32_t>(kMillicores * OptionalDecimal(reader, "cpu_share", 1, 0, kMaxCores) *
                                    OptionalDecimal(reader, "cores", 1, 0, kMaxCores));
}

// Limits of the machine that a daemon runs on. The defaults are those of the smallest machine.
struct Machine {
  std::uint64_t memory_mb = 160;
  std::uint64_t max_fds = 4'100;
};

constexpr std::uint64_t kMaxMemoryMb = 1'048'576;
constexpr std::uint64_t kMaxDescriptors = 1'048'576;
// Descriptors that callers can't take: 200 for files, and 1,000 for searchers, other daemons and the store.
constexpr std::uint64_t kReservedDescriptors = 1'200;
constexpr std::uint64_t kMinDescriptors = 1'600;

Machine ReadMachine(const YamlNode& node, std::string_view source) {
  YamlMapReader reader(node, source, "machine");
  Machine machine;
  reader.CollectErrors(
      [&] { machine.memory_mb = reader.OptionalUnsigned("memory_mb", machine.memory_mb, 64, kMaxMemoryMb); });
  reader.CollectErrors([&] {
    machine.max_fds = reader.OptionalUnsigned("max_fds", machine.max_fds, kMinDescriptors, kMaxDescriptors);
  });
  reader.Finish();
  return machine;
}

// Three tenths of the memory, and three quarters of the descriptors that are not reserved; the rest of these is for
// the other listeners.
CallerSettings DefaultCallers(const Machine& machine) {
  return {.memory_bytes = machine.memory_mb * 3 / 10 << 20U,
          .max_connections = (machine.max_fds - kReservedDescriptors) * 3 / 4};
}

CallerSettings ReadCallers(const YamlNode& node, std::string_view source, const Machine& machine) {
  YamlMapReader reader(node, source, "callers");
  CallerSettings callers = DefaultCallers(machine);
  reader.CollectErrors([&] {
    callers.memory_bytes = reader.OptionalUnsigned("memory_mb", callers.memory_bytes >> 20U, 4, machine.memory_mb / 2)
                           << 20U;
  });
  reader.CollectErrors([&] {
    callers.max_connections = reader.OptionalUnsigned("max_connections", callers.max_connections, 16,
                                                      DefaultCallers(machine).max_connections);
  });
  reader.Finish();
  return callers;
}

std::string ReadLogLevel(YamlMapReader& reader) {
  std::string level = reader.OptionalText("log_level", kMaxNameBytes);
  if (level.empty()) {
    return "info";
  }
  if (level != "debug" && level != "info" && level != "warn" && level != "error") {
    reader.Fail(reader.Require("log_level").line, "log_level",
                QuoteForError(level) + " is not debug, info, warn or error");
  }
  return level;
}

}  // namespace

GatewaySettings ParseGatewaySettings(std::string_view text, std::string_view source) {
  const YamlNode root = ParseStrictYaml(text, source);
  YamlMapReader reader(root, source, "");
  GatewaySettings settings;
  reader.CollectErrors([&] { settings.host = reader.RequireText("host", kMaxNameBytes); });
  reader.CollectErrors([&] { settings.failure_domain = reader.RequireText("failure_domain", kMaxNameBytes); });
  reader.CollectErrors([&] { settings.caller_address = RequireAddress(reader, "caller_address"); });
  reader.CollectErrors([&] { settings.ready_address = RequireAddress(reader, "ready_address"); });
  reader.CollectErrors([&] { settings.directory_address = RequireAddress(reader, "directory_address"); });
  reader.CollectErrors([&] { settings.peer_address = RequireAddress(reader, "peer_address"); });
  reader.CollectErrors([&] { settings.seed_peers = ReadSeeds(reader, source, settings.peer_address); });
  reader.CollectErrors([&] { settings.store_address = RequireAddress(reader, "store_address"); });
  reader.CollectErrors([&] { settings.log_level = ReadLogLevel(reader); });
  reader.CollectErrors(
      [&] { settings.entry_ttl = std::chrono::seconds(reader.OptionalUnsigned("entry_ttl_s", 2, 1, kMaxTtlS)); });
  reader.CollectErrors(
      [&] { settings.drain_timeout = OptionalSeconds(reader, "drain_timeout_s", settings.drain_timeout); });
  reader.CollectErrors([&] {
    const auto fallback = settings.drain_time / std::chrono::milliseconds(1);
    settings.drain_time = std::chrono::milliseconds(
        reader.OptionalUnsigned("drain_ms", static_cast<std::uint64_t>(fallback), 0, kMaxDrainMs));
  });
  reader.CollectErrors([&] { settings.capacity_millicores = ReadCapacity(reader); });
  reader.CollectErrors([&] { settings.requests.naive = reader.OptionalBool("naive", false); });
  if (const YamlNode* retry = reader.Find("retry"); retry != nullptr) {
    reader.CollectErrors([&] { settings.retry = ReadRetry(*retry, source); });
  }
  if (const YamlNode* cold = reader.Find("cold"); cold != nullptr) {
    reader.CollectErrors([&] { settings.cold_upstreams = ReadCold(*cold, source); });
  }
  if (const YamlNode* caps = reader.Find("usage_caps"); caps != nullptr) {
    reader.CollectErrors([&] { settings.usage_caps = ReadUsageCaps(*caps, source); });
  }
  if (const YamlNode* rollouts = reader.Find("rollouts"); rollouts != nullptr) {
    reader.CollectErrors([&] { settings.rollouts = ReadRollouts(*rollouts, source); });
  }
  if (const YamlNode* admission = reader.Find("admission"); admission != nullptr) {
    reader.CollectErrors([&] { settings.requests.admission = ReadAdmission(*admission, source); });
  }
  if (const YamlNode* pace = reader.Find("pace"); pace != nullptr) {
    reader.CollectErrors([&] { settings.pace = ReadPace(*pace, source); });
  }
  Machine machine;
  if (const YamlNode* node = reader.Find("machine"); node != nullptr) {
    reader.CollectErrors([&] { machine = ReadMachine(*node, source); });
  }
  settings.callers = DefaultCallers(machine);
  if (const YamlNode* callers = reader.Find("callers"); callers != nullptr) {
    reader.CollectErrors([&] { settings.callers = ReadCallers(*callers, source, machine); });
  }
  reader.Finish();
  return settings;
}

}  // namespace pimentomoor
