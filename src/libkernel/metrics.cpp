// Implementation of the metrics. Quantiles of summaries are estimated with the P-square algorithm of
// Boost.Accumulators.
#include "pimentomoor/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace pimentomoor {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.99, 0.999};

using SummaryAccumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

// Renders the name of a series with its labels; `extra_label` is one more label.
std::string WithLabels(const std::string& name, const std::string& labels, const std::string& extra_label = "") {
  std::string all = labels;
  if (!extra_label.empty()) {
    all += (all.empty() ? "" : ",") + extra_label;
  }
  return all.empty() ? name : name + "{" + all + "}";
}

}  // namespace

struct Metrics::Summary {
  SummaryAccumulator values{acc::extended_p_square_probabilities = kQuantiles};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

template <typename Value>
Value& Metrics::FindOrCreate(Series<Value>& series, std::string_view name, std::string_view labels) {
  const auto found = series.find(KeyView(name, labels));
  return found != series.end() ? found->second : series[Key(name, labels)];
}

void Metrics::Count(std::string_view name, std::uint64_t increment, std::string_view labels) {
  FindOrCreate(counters_, name, labels) += increment;
}

void Metrics::SetGauge(std::string_view name, double value, std::string_view labels) {
  FindOrCreate(gauges_, name, labels) = value;
}

void Metrics::Observe(std::string_view name, Duration value, std::string_view labels) {
  auto& summary = FindOrCreate(summaries_, name, labels);
  if (!summary) {
    summary = std::make_unique<Summary>();
  }
  summary->values(std::chrono::duration<double>(value).count());
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view labels) const {
  const auto found = counters_.find(KeyView(name, labels));
  return found == counters_.end() ? 0 : found->second;
}

std::vector<std::pair<std::string, std::uint64_t>> Metrics::CountersOf(std::string_view name) const {
  std::vector<std::pair<std::string, std::uint64_t>> found;
  for (auto it = counters_.lower_bound(KeyView(name, "")); it != counters_.end() && it->first.first == name; ++it) {
    found.emplace_back(it->first.second, it->second);
  }
  return found;
}

std::string Metrics::Render() const {
  std::ostringstream out;
  std::string previous_name;
  const auto write_type = [&](const std::string& name, const char* type) {
    if (name != previous_name) {
      out << "# TYPE " << name << ' ' << type << '\n';
      previous_name = name;
    }
  };
  for (const auto& [key, value] : counters_) {
    write_type(key.first, "counter");
    out << WithLabels(key.first, key.second) << ' ' << value << '\n';
  }
  for (const auto& [key, value] : gauges_) {
    write_type(key.first, "gauge");
    out << WithLabels(key.first, key.second) << ' ' << value << '\n';
  }
  for (const auto& [key, summary] : summaries_) {
    write_type(key.first, "summary");
    const auto& values = summary->values;
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      std::ostringstream quantile;
      quantile << "quantile=\"" << kQuantiles[i] << '"';
      out << WithLabels(key.first, key.second, quantile.str()) << ' ' << acc::extended_p_square(values)[i] << '\n';
    }
    out << WithLabels(key.first + "_sum", key.second) << ' ' << acc::sum(values) << '\n';
    out << WithLabels(key.first + "_count", key.second) << ' ' << acc::count(values) << '\n';
  }
  return out.str();
}

}  // namespace pimentomoor
