// Counters, gauges and summaries of durations, rendered in the Prometheus text exposition format.
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

/// The set of metrics of one process. Names are "pimentomoor_<part>_<what>_<unit>". Labels are passed as in the
/// exposition format without braces, for example `reason="overload"`. Not thread-safe: use it from the event loop's
/// thread only.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds `increment` to a counter, which starts at 0.
  void Count(std::string_view name, std::uint64_t increment = 1, std::string_view labels = "");
  void SetGauge(std::string_view name, double value, std::string_view labels = "");
  /// Adds a duration to a summary in seconds, which is rendered as the quantiles 0.5, 0.99 and 0.999, a sum and a
  /// count.
  void Observe(std::string_view name, Duration value, std::string_view labels = "");

  /// The value of a counter; 0 when nothing was counted.
  [[nodiscard]] std::uint64_t counter(std::string_view name, std::string_view labels = "") const;
  /// The label sets and values of all counters named `name`.
  [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> CountersOf(std::string_view name) const;
  /// All metrics in the text exposition format.
  [[nodiscard]] std::string Render() const;

 private:
  struct Summary;
  using Key = std::pair<std::string, std::string>;  // name, labels
  using KeyView = std::pair<std::string_view, std::string_view>;
  // Compares keys with views of them, so that updating an existing series allocates no memory.
  struct KeyLess {
    using is_transparent = void;
    bool operator()(const KeyView& left, const KeyView& right) const { return left < right; }
  };
  template <typename Value>
  using Series = std::map<Key, Value, KeyLess>;

  template <typename Value>
  static Value& FindOrCreate(Series<Value>& series, std::string_view name, std::string_view labels);

  Series<std::uint64_t> counters_;
  Series<double> gauges_;
  Series<std::unique_ptr<Summary>> summaries_;
};

}  // namespace pimentomoor
