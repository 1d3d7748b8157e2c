// Formats load reports and parses the counters of the stand-in searchers.
#include <yaml-cpp/yaml.h>

#include <cstdio>
#include <sstream>
#include <stdexcept>

#include "load_generator.h"
#include "pimentomoor/json_text.h"

namespace pimentomoor {
namespace {

struct ReportField {
  std::string name;
  std::string value;  // valid JSON
};

std::string Decimal(double value, int digits) {
  char text[40];
  std::snprintf(text, sizeof text, "%.*f", digits, value);
  return text;
}

std::string Milliseconds(Duration value) {
  return Decimal(std::chrono::duration<double, std::milli>(value).count(), 2);
}

std::string CountsJson(const std::map<std::string, std::uint64_t>& counts) {
  std::string out = "{";
  for (const auto& [name, count] : counts) {
    out += (out.size() > 1 ? ", " : "") + JsonQuote(name) + ": " + std::to_string(count);
  }
  return out + "}";
}

std::string ListJson(const std::vector<std::string>& items) {
  std::string out = "[";
  for (const auto& item : items) {
    out += (out.size() > 1 ? ", " : "") + JsonQuote(item);
  }
  return out + "]";
}

std::vector<ReportField> ReportFields(const LoadReport& report, const SearcherTotals* searchers) {
  std::vector<ReportField> fields = {
      {"sent", std::to_string(report.sent)},
      {"answered", std::to_string(report.answered)},
      {"outcomes", CountsJson(report.outcomes)},
      {"missing_shards", CountsJson(report.missing_shards)},
      {"unanswered", std::to_string(report.unanswered)},
      {"failures", CountsJson(report.failures)},
      {"refused_connections", std::to_string(report.refused_connections)},
      {"resent", std::to_string(report.resent)},
      {"wrong", std::to_string(report.wrong)},
      {"wrong_examples", ListJson(report.wrong_examples)},
      {"late", std::to_string(report.late)},
      {"p50_ms", Milliseconds(Percentile(report.latencies, 50))},
      {"p99_ms", Milliseconds(Percentile(report.latencies, 99))},
      {"p99_9_ms", Milliseconds(Percentile(report.latencies, 99.9))},
      {"max_ms", Milliseconds(Percentile(report.latencies, 100))},
      {"coverage", Decimal(report.coverage(), 6)},
      {"complete_share", Decimal(report.complete_share(), 6)},
      {"max_send_lag_ms", Milliseconds(report.max_send_lag)},
  };
  if (searchers != nullptr) {
    const double useful = static_cast<double>(report.useful_sub_queries);
    fields.push_back({"sub_queries", std::to_string(searchers->requests)});
    fields.push_back({"sub_queries_per_useful",
                      useful == 0 ? "null" : Decimal(static_cast<double>(searchers->requests) / useful, 4)});
    fields.push_back({"sheds", std::to_string(searchers->sheds)});
    fields.push_back({"overload_violations", std::to_string(searchers->overload_violations)});
    fields.push_back({"wrong_snapshots", std::to_string(searchers->wrong_snapshots)});
    fields.push_back({"crashes", std::to_string(searchers->crashes)});
  }
  return fields;
}

}  // namespace

SearcherTotals ParseCounters(const std::string& json) {
  try {
    const YAML::Node total = YAML::Load(json)["total"];  // JSON is a subset of YAML
    return {.requests = total["requests"].as<std::uint64_t>(),
            .sheds = total["sheds"].as<std::uint64_t>(),
            .overload_violations = total["overload_violations"].as<std::uint64_t>(),
            .wrong_snapshots = total["wrong_snapshots"].as<std::uint64_t>(),
            .crashes = total["crashes"].as<std::uint64_t>()};
  } catch (const YAML::Exception& error) {
    throw std::runtime_error(std::string("read counters: ") + error.what());
  }
}

SearcherTotals operator-(const SearcherTotals& after, const SearcherTotals& before) {
  return {.requests = after.requests - before.requests,
          .sheds = after.sheds - before.sheds,
          .overload_violations = after.overload_violations - before.overload_violations,
          .wrong_snapshots = after.wrong_snapshots - before.wrong_snapshots,
          .crashes = after.crashes - before.crashes};
}

std::string ReportJson(const LoadReport& report, const SearcherTotals* searchers) {
  std::string out = "{";
  for (const auto& field : ReportFields(report, searchers)) {
    out += (out.size() > 1 ? ", " : "") + JsonQuote(field.name) + ": " + field.value;
  }
  return out + "}\n";
}

std::string ReportText(const LoadReport& report, const SearcherTotals* searchers) {
  std::ostringstream out;
  for (const auto& field : ReportFields(report, searchers)) {
    out << field.name << std::string(field.name.size() < 24 ? 24 - field.name.size() : 1, ' ') << field.value << "\n";
  }
  return out.str();
}

}  // namespace pimentomoor
