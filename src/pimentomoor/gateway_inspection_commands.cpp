// Subcommands for operators of gateways: `gateway-status` shows all daemons in one table, `explain` the hops of one
// request.
#include <algorithm>
#include <iostream>

#include "daemon_fetch.h"
#include "pimentomoor/command_registry.h"
#include "pimentomoor/strict_yaml.h"
#include "text_table.h"

namespace pimentomoor {
namespace {

constexpr std::size_t kMaxText = 4'096;
constexpr std::size_t kMaxItems = 1'000;  // traces, or spans of one

// `text` of a map of counts, as "name:count,..."; "-" when there is none above 0.
std::string JoinCounts(const YamlNode& node, std::string_view source, std::string_view path) {
  std::string text;
  for (std::size_t i = 0; i < node.keys.size(); ++i) {
    const std::uint64_t count = ReadYamlUnsigned(node.items[i], source, path, 0, UINT64_MAX);
    if (count > 0) {
      text.append(text.empty() ? "" : ",").append(node.keys[i]).append(":").append(std::to_string(count));
    }
  }
  return text.empty() ? "-" : PrintableText(text);
}

// A time in milliseconds as seconds with one decimal; "-" for null.
std::string Seconds(const YamlNode& node, std::string_view source, std::string_view path) {
  if (node.kind == YamlNode::Kind::kNull) {
    return "-";
  }
  const std::uint64_t tenths = ReadYamlUnsigned(node, source, path, 0, UINT64_MAX) / 100;
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + "s";
}

struct ServicesSummary {
  std::uint64_t ready = 0;
  std::uint64_t all = 0;
  std::size_t without_ready = 0;             // services
  std::uint64_t least_retries = UINT64_MAX;  // of any service
};

ServicesSummary SummarizeServices(const YamlNode& node, std::string_view source) {
  ServicesSummary summary;
  for (std::size_t i = 0; i < node.items.size(); ++i) {
    const std::string path = "services." + node.keys[i];
    YamlMapReader service(node.items[i], source, path);
    const std::uint64_t ready = service.RequireUnsigned("ready", 0, UINT64_MAX);
    summary.ready += ready;
    summary.all += ready;
    for (const char* state : {"misdirected", "draining", "out", "doubtful", "resting", "cold"}) {
      summary.all += service.RequireUnsigned(state, 0, UINT64_MAX);
    }
    summary.without_ready += ready == 0 ? 1 : 0;
    summary.least_retries = std::min(summary.least_retries, service.RequireUnsigned("retries_left", 0, UINT64_MAX));
  }
  return summary;
}

// For each kind of objects where its changes come from and how long ago the last one came.
std::string SummarizeStore(const YamlNode& node, std::string_view source) {
  std::string text;
  for (std::size_t i = 0; i < node.items.size(); ++i) {
    YamlMapReader kind(node.items[i], source, "store." + node.keys[i]);
    text += (text.empty() ? "" : " ") + node.keys[i] + "=" + kind.RequireText("source", kMaxText) + ":" +
            Seconds(kind.Require("changed_ms"), source, "changed_ms");
    if (!kind.OptionalBool("answers", true)) {
      text += ":failing-" + Seconds(kind.Require("failing_ms"), source, "failing_ms");
    }
  }
  return PrintableText(text);
}

const TableRow kStatusHeader = {"DAEMON",    "HOST",       "DOMAIN",  "READY",   "TABLE",    "TABLE-AGE", "ALIVE",
                                "SEARCHERS", "NONE-READY", "RETRIES", "RUNNING", "REFUSALS", "FAILURES",  "STORE"};

TableRow StatusRow(const std::string& daemon, const std::string& body) {
  const std::string source = "GET " + daemon + "/status";
  const YamlNode root = ParseStrictYaml(body, source);
  YamlMapReader map(root, source, "");
  const ServicesSummary services = SummarizeServices(map.Require("services"), source);
  return {daemon,
          PrintableText(map.RequireText("host", kMaxText)),
          PrintableText(map.RequireText("failure_domain", kMaxText)),
          map.OptionalBool("stopping", false) ? "stopping"
          : map.OptionalBool("ready", false)  ? "yes"
                                              : "no",
          std::to_string(map.RequireUnsigned("routing_version", 0, UINT64_MAX)),
          Seconds(map.Require("routing_age_ms"), source, "routing_age_ms"),
          std::to_string(map.RequireUnsigned("daemons_alive", 0, UINT64_MAX)),
          std::to_string(services.ready) + "/" + std::to_string(services.all),
          std::to_string(services.without_ready),
          services.least_retries == UINT64_MAX ? "-" : std::to_string(services.least_retries),
          std::to_string(map.RequireUnsigned("running_requests", 0, UINT64_MAX)),
          JoinCounts(map.Require("refusals"), source, "refusals"),
          JoinCounts(map.Require("failures"), source, "failures"),
          SummarizeStore(map.Require("store"), source)};
}

// Calls `show(i, body)` for the answer of each daemon; names those that gave none, or a malformed one, and returns
// their number.
template <typename Show>
std::size_t ShowAnswers(const std::string& command, const std::vector<std::string>& daemons,
                        const std::vector<HttpResult>& results, Show show) {
  std::vector<std::string> errors;
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    try {
      show(i, RequireBody(results[i]));
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
    const auto results = FetchAll(daemons, "/status", options.Timeout());
    std::vector<TableRow> rows = {kStatusHeader};
    for (const std::string& daemon : daemons) {
      rows.emplace_back(kStatusHeader.size(), "-").front() = daemon;
    }
    const std::size_t failed = ShowAnswers(args[0], daemons, results, [&](std::size_t i, const std::string& body) {
      rows[i + 1] = StatusRow(daemons[i], body);
    });
    PrintTable(rows);
    return failed == 0 ? 0 : 1;
  });
}

// The value of `key` in "key=value" pairs separated by spaces; "-" when it is missing.
std::string Attribute(std::string_view attributes, std::string_view key) {
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

std::string Milliseconds(std::uint64_t microseconds) {
  const std::string fraction = std::to_string(1'000 + microseconds % 1'000);
  return std::to_string(microseconds / 1'000) + "." + fraction.substr(1);
}

// The same of an attribute in microseconds.
std::string AttributeMs(std::string_view attributes, std::string_view key) {
  const std::string text = Attribute(attributes, key);
  const bool digits = !text.empty() && text.size() < 19 && text.find_first_not_of("0123456789") == text.npos;
  return digits ? Milliseconds(std::stoull(text)) : "-";
}

TableRow HopRow(YamlMapReader& span, const std::string& attributes, bool first) {
  return {Milliseconds(span.RequireUnsigned("start_us", 0, UINT64_MAX)),
          Milliseconds(span.RequireUnsigned("duration_us", 0, UINT64_MAX)),
          AttributeMs(attributes, "wait_us"),
          AttributeMs(attributes, "searcher_us"),
          first ? "request" : Attribute(attributes, "send"),
          Attribute(attributes, first ? "route" : "searcher"),
          PrintableText(span.RequireText("host", kMaxText)),
          Attribute(attributes, "outcome"),
          Attribute(attributes, "status")};
}

// A daemon lists the spans in order of time.
void PrintTrace(const YamlNode& node, std::string_view source, const std::string& daemon) {
  YamlMapReader trace(node, source, "traces");
  std::string parts;
  std::vector<TableRow> rows = {
      {"START-MS", "TOOK-MS", "WAIT-MS", "SEARCHER-MS", "HOP", "NAME", "AT", "OUTCOME", "STATUS"}};
  for (const YamlNode& item : trace.RequireSequence("spans", kMaxItems)) {
    YamlMapReader span(item, source, "spans");
    const std::string attributes = PrintableText(span.RequireText("attributes", kMaxText));
    if (rows.size() == 1) {
      parts = ", parts " + Attribute(attributes, "parts") + ", missing " + Attribute(attributes, "missing");
    }
    rows.push_back(HopRow(span, attributes, rows.size() == 1));
  }
  std::cout << daemon << ": trace " << PrintableText(trace.RequireText("trace_id", kMaxText)) << parts << "\n";
  PrintTable(rows);
}

int RunExplain(const std::vector<std::string>& args) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line(
        "Shows the hops of a slow, refused, failed or partial request; exit code 1 when no daemon has it or one does "
        "not answer",
        ' ', "", true);
    const DaemonOptions options(line);
    TCLAP::UnlabeledValueArg<std::string> request("request-id", "The request's id", true, "", "REQUEST-ID", line);
    ParseCommandLine(line, args);
    const std::vector<std::string> daemons = options.Daemons();
    const auto results = FetchAll(daemons, "/traces?request=" + UrlEncode(request.getValue()), options.Timeout());
    std::size_t found = 0;
    const std::size_t failed = ShowAnswers(args[0], daemons, results, [&](std::size_t i, const std::string& body) {
      const std::string source = "GET " + daemons[i] + "/traces";
      const YamlNode root = ParseStrictYaml(body, source);
      YamlMapReader map(root, source, "");
      for (const YamlNode& trace : map.RequireSequence("traces", kMaxItems)) {
        PrintTrace(trace, source, daemons[i]);
        ++found;
      }
    });
    if (found == 0) {
      std::cerr << "pimentomoor explain: no daemon that answered has a trace of request "
                << QuoteForError(request.getValue())
                << "; only the last slow, refused, failed and partial requests are kept, and a sample\n";
    }
    return failed == 0 && found > 0 ? 0 : 1;
  });
}

const RegisterCommand kGatewayStatus({.name = "gateway-status",
                                      .summary = "show the status of gateway daemons",
                                      .run = RunGatewayStatus});
const RegisterCommand kExplain({.name = "explain", .summary = "show the hops of one request", .run = RunExplain});

}  // namespace
}  // namespace pimentomoor
