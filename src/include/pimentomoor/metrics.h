// Counters, gauges and latency distributions, written in the Prometheus text exposition format.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// A process-wide set of named metrics. Names are "pimentomoor_<part>_<what>_<unit>"; a label set is written as in
/// the exposition format, for example `reason="overload"`. Not thread-safe: use from the loop's thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds `by` to a counter; creates it at 0.
  void Count(std::string_view name, std::uint64_t by = 1, std::string_view labels = "");
  void SetGauge(std::string_view name, double value, std::string_view labels = "");
  /// Records a duration in a summary with quantiles 0.5, 0.99 and 0.999, a sum and a count; unit seconds.
  void Observe(std::string_view name, Duration value, std::string_view labels = "");

  [[nodiscard]] std::uint64_t counter(std::string_view name, std::string_view labels = "") const;
  /// The counters of one name by label set.
  [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> CountersOf(std::string_view name) const;
  [[nodiscard]] std::string Render() const;

 private:
  struct Summary;
  using Key = std::pair<std::string, std::string>;  // name, labels
  using KeyView = std::pair<std::string_view, std::string_view>;
  // Compares views, so that counting an existing series allocates nothing.
  struct KeyLess {
    using is_transparent = void;
    bool operator()(const KeyView& left, const KeyView& right) const { return left < right; }
  };
  template <typename Value>
  using Series = std::map<Key, Value, KeyLess>;

  template <typename Value>
  static Value& Find(Series<Value>& series, std::string_view name, std::string_view labels);

  Series<std::uint64_t> counters_;
  Series<double> gauges_;
  Series<std::unique_ptr<Summary>> summaries_;
};

}  // namespace pimentomoor
