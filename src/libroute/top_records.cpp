// Implementation of the merge of fixed-size records.
#include "pimentomoor/top_records.h"

#include <algorithm>
#include <cstring>

namespace pimentomoor {

namespace {

struct Greater {
  template <typename Record>
  bool operator()(const Record& left, const Record& right) const {
    return std::memcmp(left.data(), right.data(), kRecordBytes) > 0;  // compares unsigned bytes
  }
};

}  // namespace

void TopRecords::Add(std::string_view part) {
  for (; part.size() >= kRecordBytes; part.remove_prefix(kRecordBytes)) {
    Record record;
    std::memcpy(record.data(), part.data(), kRecordBytes);
    if (heap_.size() < limit_) {
      heap_.push_back(record);
      std::push_heap(heap_.begin(), heap_.end(), Greater());
    } else if (!heap_.empty() && Greater()(record, heap_.front())) {
      std::pop_heap(heap_.begin(), heap_.end(), Greater());
      heap_.back() = record;
      std::push_heap(heap_.begin(), heap_.end(), Greater());
    }
  }
}

std::string TopRecords::Merge() const {
  std::vector<Record> records = heap_;
  std::sort_heap(records.begin(), records.end(), Greater());
  std::string merged;
  merged.reserve(records.size() * kRecordBytes);
  for (const auto& record : records) {
    merged.append(record.data(), record.size());
  }
  return merged;
}

std::string MergeRecordsNaive(const std::vector<std::string>& parts, std::size_t limit) {
  std::vector<std::string> records;
  for (const auto& part : parts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size(); at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  std::sort(records.begin(), records.end(), std::greater<>());
  std::string merged;
  for (std::size_t i = 0; i < std::min(limit, records.size()); ++i) {
    merged += records[i];
  }
  return merged;
}

}  // namespace pimentomoor
