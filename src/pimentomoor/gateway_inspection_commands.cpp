// Subcommands for operators of gateways: `gateway-status` shows the status of gateway daemons in one table, and
// `explain` shows the hops of one request: the request itself and what was sent to searchers for it.
#include <algorithm>
#include <iostream>

#include "daemon_fetch.h"
#include "pimentomoor/command_registry.h"
#include "pimentomoor/strict_yaml.h"
#include "text_table.h"

namespace pimentomoor {
namespace {

constexpr std::size_t kMaxTextBytes = 4'096;      // bytes of one field
constexpr std::size_t kMaxSequenceItems = 1'000;  // traces of an answer, or spans of a trace

// Formats a map of counts as "name:count,..." without the counts of 0; "-" when none is left.
std::string FormatCounts(const YamlNode& node, std::string_view source, std::string_view path) {
  std::string text;
  for (std::size_t i = 0; i < node.keys.size(); ++i) {
    const std::uint64_t count = ReadYamlUnsigned(node.items[i], source, path, 0, UINT64_MAX);
    if (count > 0) {
      text.append(text.empty() ? "" : ",").append(node.keys[i]).append(":").append(std::to_string(count));
    }
  }
  return text.empty() ? "-" : PrintableText(text);
}

// Formats a time in milliseconds as seconds with one decimal; "-" for null.
std::string FormatSeconds(const YamlNode& node, std::string_view source, std::string_view path) {
  if (node.kind == YamlNode::Kind::kNull) {
    return "-";
  }
  const std::uint64_t tenths = ReadYamlUnsigned(node, source, path, 0, UINT64_MAX) / 100;
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + "s";
}

struct ServicesSummary {
  std::uint64_t ready_searchers = 0;
  std::uint64_t searchers = 0;
  std::size_t services_without_ready = 0;         // services without a ready searcher
  std::uint64_t least_retries_left = UINT64_MAX;  // least number of retries that a service has left
};

ServicesSummary SummarizeServices(const YamlNode& node, std::string_view source) {
  ServicesSummary summary;
  for (std::size_t i = 0; i < node.items.size(); ++i) {
    const std::string path = "services." + node.keys[i];
    YamlMapReader service(node.items[i], source, path);
    const std::uint64_t ready_searchers = service.RequireUnsigned("ready", 0, UINT64_MAX);
    summary.ready_searchers += ready_searchers;
    summary.searchers += ready_searchers;
    for (const char* state : {"misdirected", "draining", "out", "doubtful", "resting", "cold"}) {
      summary.searchers += service.RequireUnsigned(state, 0, UINT64_MAX);
    }
    for (const char* state : {"leaving", "paused"}) {  // missing in the answers of older daemons
      summary.searchers += service.OptionalUnsigned(state, 0, 0, UINT64_MAX);
    }
    summary.services_without_ready += ready_searchers == 0 ? 1 : 0;
    summary.least_retries_left =
        std::min(summary.least_retries_left, service.RequireUnsigned("retries_left", 0, UINT64_MAX));
  }
  return summary;
}

// Formats for each kind of records where changes come from, how long ago the last one arrived, and since when the
// store has not answered.
std::string SummarizeStore(const YamlNode& node, std::string_view source) {
  std::string text;
  for (std::size_t i = 0; i < node.items.size(); ++i) {
    YamlMapReader kind(node.items[i], source, "store." + node.keys[i]);
    text += (text.empty() ? "" : " ") + node.keys[i] + "=" + kind.RequireText("source", kMaxTextBytes) + ":" +
            FormatSeconds(kind.Require("changed_ms"), source, "changed_ms");
    if (!kind.OptionalBool("answers", true)) {
      text += ":failing-" + FormatSeconds(kind.Require("failing_ms"), source, "failing_ms");
    }
  }
  return PrintableText(text);
}

const TableRow kStatusHeader = {"DAEMON",    "HOST",     "DOMAIN",    "READY",      "TABLE",
                                "TABLE-AGE", "ALIVE",    "SEARCHERS", "NONE-READY", "RETRIES",
                                "RUNNING",   "OVER-CAP", "REFUSALS",  "FAILURES",   "STORE"};

// Formats the customers over their cap. A daemon of an older build doesn't tell them.
std::string FormatOverCap(YamlMapReader& map, std::string_view source) {
  const YamlNode* customers = map.Find("customers_over_cap");
  return customers == nullptr ? "-" : FormatCounts(*customers, source, "customers_over_cap");
}

TableRow StatusRow(const std::string& daemon, const std::string& body) {
  const std::string source = "GET " + daemon + "/status";
  const YamlNode root = ParseStrictYaml(body, source);
  YamlMapReader map(root, source, "");
  const ServicesSummary services = SummarizeServices(map.Require("services"), source);
  return {daemon,
          PrintableText(map.RequireText("host", kMaxTextBytes)),
          PrintableText(map.RequireText("failure_domain", kMaxTextBytes)),
          map.OptionalBool("stopping", false) ? "stopping"
          : map.OptionalBool("ready", false)  ? "yes"
                                              : "no",
          std::to_string(map.RequireUnsigned("routing_version", 0, UINT64_MAX)),
          FormatSeconds(map.Require("routing_age_ms"), source, "routing_age_ms"),
          std::to_string(map.RequireUnsigned("daemons_alive", 0, UINT64_MAX)),
          std::to_string(services.ready_searchers) + "/" + std::to_string(services.searchers),
          std::to_string(services.services_without_ready),
          services.least_retries_left == UINT64_MAX ? "-" : std::to_string(services.least_retries_left),
          std::to_string(map.RequireUnsigned("running_requests", 0, UINT64_MAX)),
          FormatOverCap(map, source),
          FormatCounts(map.Require("refusals"), source, "refusals"),
          FormatCounts(map.Require("failures"), source, "failures"),
          SummarizeStore(map.Require("store"), source)};
}

const TableRow kRolloutsHeader = {"DAEMON",   "SERVICE",    "VERSION", "STATE",      "AGE",   "STEP",
                                  "REQUESTS", "OF-VERSION", "BAD",     "OTHERS-BAD", "REASON"};

// Adds a row for each roll-out that the daemon follows.
void AddRolloutRows(const std::string& daemon, const std::string& body, std::vector<TableRow>& rows) {
  const std::string source = "GET " + daemon + "/status";
  const YamlNode root = ParseStrictYaml(body, source);
  YamlMapReader map(root, source, "");
  for (const YamlNode& item : map.OptionalSequence("rollouts", kMaxSequenceItems)) {
    YamlMapReader rollout(item, source, "rollouts");
    const auto number = [&rollout](const char* key) {
      return std::to_string(rollout.RequireUnsigned(key, 0, UINT64_MAX));
    };
    const std::string reason = rollout.OptionalText("reason", kMaxTextBytes);
    rows.push_back({daemon, PrintableText(rollout.RequireText("service", kMaxTextBytes)),
                    PrintableText(rollout.OptionalText("version", kMaxTextBytes)),
                    PrintableText(rollout.RequireText("state", kMaxTextBytes)),
                    FormatSeconds(rollout.Require("age_ms"), source, "age_ms") + "/" +
                        FormatSeconds(rollout.Require("duration_ms"), source, "duration_ms"),
                    number("step"), number("requests"), number("target_requests"),
                    number("target_bad") + "/" + number("target_answers"),
                    number("other_bad") + "/" + number("other_answers"),
                    reason.empty() ? "-" : PrintableText(reason)});
  }
}

// Calls `handle_answer(i, body)` for the answer of daemon i. Prints an error for each daemon without an answer or
// with a malformed one, and returns the number of these daemons.
template <typename Handler>
std::size_t HandleAnswers(const std::string& command, const std::vector<std::string>& daemons,
                          const std::vector<HttpResult>& results, Handler handle_answer) {
  std::vector<std::string> errors;
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    try {
      handle_answer(i, RequireBody(results[i]));
    } catch (const std::exception& error) {
      errors.push_back(daemons[i] + ": " + error.what());
    }
  }
  for (const std::string& error : errors) {
    std::cerr << "pimentomoor " << command << ": " << PrintableText(error) << "\n";
  }
  return errors.size();
}

int RunGatewayStatus(const std::vector<std::string>& args) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line("Shows the status of gateway daemons; exit code 1 when one does not answer", ' ', "", true);
    const DaemonOptions options(line);
    ParseCommandLine(line, args);
    const std::vector<std::string> daemons = options.Daemons();
    const auto results = FetchFromDaemons(daemons, "/status", options.Timeout());
    std::vector<TableRow> rows = {kStatusHeader};
    for (const std::string& daemon : daemons) {
      rows.emplace_back(kStatusHeader.size(), "-").front() = daemon;
    }
    std::vector<TableRow> rollouts = {kRolloutsHeader};
    const std::size_t failed_daemons =
        HandleAnswers(args[0], daemons, results, [&](std::size_t i, const std::string& body) {
          rows[i + 1] = StatusRow(daemons[i], body);
          AddRolloutRows(daemons[i], body, rollouts);
        });
    PrintTable(rows);
    if (rollouts.size() > 1) {
      std::cout << "\n";
      PrintTable(rollouts);
    }
    return failed_daemons == 0 ? 0 : 1;
  });
}

// Returns the value of `key` in "key=value" pairs separated by spaces; "-" when the key is missing.
std::string FindAttribute(std::string_view attributes, std::string_view key) {
  while (!attributes.empty()) {
    const std::size_t end = std::min(attributes.find(' '), attributes.size());
    const std::string_view pair = attributes.substr(0, end);
    if (pair.size() > key.size() && pair.starts_with(key) && pair[key.size()] == '=') {
      return std::string(pair.substr(key.size() + 1));
    }
    attributes.remove_prefix(std::min(end + 1, attributes.size()));
  }
  return "-";
}

std::string FormatMilliseconds(std::uint64_t microseconds) {
  const std::string fraction = std::to_string(1'000 + microseconds % 1'000);
  return std::to_string(microseconds / 1'000) + "." + fraction.substr(1);
}

// Returns the value of an attribute in microseconds, formatted in milliseconds; "-" when it is missing or no number.
std::string FindAttributeMs(std::string_view attributes, std::string_view key) {
  const std::string text = FindAttribute(attributes, key);
  const bool digits = !text.empty() && text.size() < 19 && text.find_first_not_of("0123456789") == text.npos;
  return digits ? FormatMilliseconds(std::stoull(text)) : "-";
}

// Returns the outcome of a hop, followed by what the answer said of its searcher, as in "answered,leaving".
std::string FormatOutcome(std::string_view attributes) {
  std::string text = FindAttribute(attributes, "outcome");
  text += FindAttribute(attributes, "last_resort") == "true" ? ",last-resort" : "";
  text += FindAttribute(attributes, "leaving") == "true" ? ",leaving" : "";
  if (const std::string pause = FindAttribute(attributes, "pause_ms"); pause != "-") {
    text += ",pause-" + pause + "ms";
  }
  return text;
}

// `is_request` tells that the span is the caller's request, and not a send to a searcher.
TableRow HopRow(YamlMapReader& span, const std::string& attributes, bool is_request) {
  return {FormatMilliseconds(span.RequireUnsigned("start_us", 0, UINT64_MAX)),
          FormatMilliseconds(span.RequireUnsigned("duration_us", 0, UINT64_MAX)),
          FindAttributeMs(attributes, "wait_us"),
          FindAttributeMs(attributes, "searcher_us"),
          is_request ? "request" : FindAttribute(attributes, "send"),
          FindAttribute(attributes, is_request ? "route" : "searcher"),
          PrintableText(span.RequireText("host", kMaxTextBytes)),
          FormatOutcome(attributes),
          FindAttribute(attributes, "status")};
}

// Prints one trace. A daemon lists the spans in order of time, so the first one is the caller's request.
void PrintTrace(const YamlNode& node, std::string_view source, const std::string& daemon) {
  YamlMapReader trace(node, source, "traces");
  std::string parts;
  std::vector<TableRow> rows = {
      {"START-MS", "TOOK-MS", "WAIT-MS", "SEARCHER-MS", "HOP", "NAME", "AT", "OUTCOME", "STATUS"}};
  for (const YamlNode& item : trace.RequireSequence("spans", kMaxSequenceItems)) {
    YamlMapReader span(item, source, "spans");
    const std::string attributes = PrintableText(span.RequireText("attributes", kMaxTextBytes));
    if (rows.size() == 1) {
      parts = ", parts " + FindAttribute(attributes, "parts") + ", missing " + FindAttribute(attributes, "missing");
      if (const std::string paused = FindAttribute(attributes, "paused"); paused != "-") {
        parts += ", paused " + paused;
      }
    }
    rows.push_back(HopRow(span, attributes, rows.size() == 1));
  }
  std::cout << daemon << ": trace " << PrintableText(trace.RequireText("trace_id", kMaxTextBytes)) << parts << "\n";
  PrintTable(rows);
}

int RunExplain(const std::vector<std::string>& args) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line(
        "Shows the hops of a slow, refused, failed or partial request; exit code 1 when no daemon has it or one does "
        "not answer",
        ' ', "", true);
    const DaemonOptions options(line);
    TCLAP::UnlabeledValueArg<std::string> request("request-id", "Id of the request", true, "", "REQUEST-ID", line);
    ParseCommandLine(line, args);
    const std::vector<std::string> daemons = options.Daemons();
    const auto results =
        FetchFromDaemons(daemons, "/traces?request=" + UrlEncode(request.getValue()), options.Timeout());
    std::size_t found_traces = 0;
    const std::size_t failed_daemons =
        HandleAnswers(args[0], daemons, results, [&](std::size_t i, const std::string& body) {
          const std::string source = "GET " + daemons[i] + "/traces";
          const YamlNode root = ParseStrictYaml(body, source);
          YamlMapReader map(root, source, "");
          for (const YamlNode& trace : map.RequireSequence("traces", kMaxSequenceItems)) {
            PrintTrace(trace, source, daemons[i]);
            ++found_traces;
          }
        });
    if (found_traces == 0) {
      std::cerr
          << "pimentomoor explain: no daemon that answered has a trace of request "
          << QuoteForError(request.getValue())
          << "; daemons keep only the last slow, refused, failed and partial requests and a sample of the others\n";
    }
    return failed_daemons == 0 && found_traces > 0 ? 0 : 1;
  });
}

const RegisterCommand kGatewayStatusCommand({.name = "gateway-status",
                                             .summary = "show the status of gateway daemons",
                                             .run = RunGatewayStatus});
const RegisterCommand kExplainCommand({.name = "explain",
                                       .summary = "show the hops of one request",
                                       .run = RunExplain});

}  // namespace
}  // namespace pimentomoor
