// Merge of fixed-size records: the greatest k records of several parts, compared byte by byte.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pimentomoor {

constexpr std::size_t kRecordBytes = 16;

/// Keeps the greatest `limit` records of all added parts. Equal records all count.
class TopRecords {
 public:
  explicit TopRecords(std::size_t limit) : limit_(limit) {}

  /// Adds the records of one part. A remainder shorter than a record is ignored.
  void Add(std::string_view part);

  /// The records in descending order, one after the other.
  [[nodiscard]] std::string Merge() const;

 private:
  using Record = std::array<char, kRecordBytes>;

  std::size_t limit_;
  std::vector<Record> heap_;  // min-heap of at most limit_ records
};

/// Sorts all records and cuts; the baseline in tests.
std::string MergeRecordsNaive(const std::vector<std::string>& parts, std::size_t limit);

}  // namespace pimentomoor
