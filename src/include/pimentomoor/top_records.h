// Merges the answers of several shards (parts) that consist of fixed-size records: keeps the greatest records,
// compared byte by byte.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pimentomoor {

constexpr std::size_t kRecordBytes = 16;

/// Keeps the greatest `limit` records of all added parts. Each of several equal records counts.
class TopRecords {
 public:
  explicit TopRecords(std::size_t limit) : limit_(limit) {}

  /// Adds the records of one part. A remainder at its end that is shorter than a record is ignored.
  void Add(std::string_view part);

  /// The kept records in descending order, concatenated.
  [[nodiscard]] std::string Merge() const;

 private:
  using Record = std::array<char, kRecordBytes>;

  std::size_t limit_;
  std::vector<Record> heap_;  // min-heap of at most limit_ records
};

/// Sorts all records and keeps the first `limit`; the baseline in tests.
std::string MergeRecordsNaive(const std::vector<std::string>& parts, std::size_t limit);

}  // namespace pimentomoor
