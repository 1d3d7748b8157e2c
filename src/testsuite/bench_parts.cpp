// Implementation of the helpers that all measurements share.
#include "bench_parts.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <utility>
#include <vector>

namespace pimentomoor {

double ProcessCpuMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.at(values.size() / 2);
}

double MedianOfRuns(int runs, const std::function<double()>& measure) {
  measure();
  std::vector<double> values;
  values.reserve(static_cast<std::size_t>(runs));
  for (int i = 0; i < runs; ++i) {
    values.push_back(measure());
  }
  return Median(std::move(values));
}

std::vector<BenchPoint> MeasureSizes(const std::vector<std::size_t>& sizes, int runs,
                                     const std::function<double(std::size_t size)>& measure) {
  std::vector<std::vector<double>> values(sizes.size());
  for (int run = 0; run <= runs; ++run) {
    for (std::size_t i = 0; i < sizes.size(); ++i) {
      const double value = measure(sizes[i]);
      if (run > 0) {
        values[i].push_back(value);
      }
    }
  }
  std::vector<BenchPoint> points(sizes.size());
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    points[i] = {static_cast<double>(sizes[i]), Median(values[i])};
  }
  return points;
}

proto::Daemon BenchDaemon(std::size_t number) {
  proto::Daemon daemon;
  const std::string suffix = std::to_string(100 + number);
  daemon.set_host("pampa-sur-daemon-" + suffix);
  daemon.set_peer_address("10.20." + suffix + ".17:7401");
  daemon.set_http_address("10.20." + suffix + ".17:7400");
  daemon.set_failure_domain("pampa-sur-" + std::to_string(number % 3));
  daemon.set_incarnation(0x9e3779b97f4a7c15ULL * (number + 1));
  return daemon;
}

void FillBenchRow(proto::Row& row, std::size_t shard, std::size_t number) {
  row.set_id("record-" + std::to_string(100'000 + shard) + "-" + std::to_string(number));
  row.set_score(static_cast<double>(number) + 0.25);
  row.set_text("hire of bull, lot 1234, ends 31 December");
}

}  // namespace pimentomoor
