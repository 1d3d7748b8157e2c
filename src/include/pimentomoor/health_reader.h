// Reads the health endpoints of draining upstreams to find a new incarnation at the same address. A draining upstream
// gets no requests, so no answer could name its incarnation.
//
// Health endpoints may be stale or misleading, so only the incarnation is used, and only to make a draining upstream
// cold, so that it gets requests again.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"

namespace pimentomoor {

/// Returns the incarnation that a health answer such as `{"status":"warm","incarnation":"17"}` names; 0 when the
/// answer names none or is malformed.
std::uint64_t ParseHealthIncarnation(std::string_view body);

struct HealthReaderOptions {
  Duration period = std::chrono::seconds(1);  // between two reads of one upstream
  Duration timeout = std::chrono::milliseconds(500);
  std::size_t max_concurrent_reads = 32;  // further upstreams wait for the next period
};

struct HealthReaderHooks {
  std::function<std::vector<std::string>()> draining_upstreams;  // addresses "IP:port" of the upstreams to read
  /// Called after each read that showed an incarnation.
  std::function<void(const std::string& upstream, std::uint64_t incarnation)> report_incarnation;
};

/// Reads the health endpoint of each draining upstream once per period.
class HealthReader {
 public:
  /// Starts the first reads after one period. `loop` and `http` must outlive the reader.
  HealthReader(EventLoop& loop, HttpClient& http, HealthReaderOptions options, HealthReaderHooks hooks);
  ~HealthReader();
  HealthReader(const HealthReader&) = delete;
  HealthReader& operator=(const HealthReader&) = delete;

 private:
  void StartReads();
  void ReadHealth(const std::string& upstream);

  EventLoop& loop_;
  HttpClient& http_;
  HealthReaderOptions options_;
  HealthReaderHooks hooks_;
  std::set<std::string> running_reads_;  // upstreams whose read has not ended, at most max_concurrent_reads
  std::string last_read_upstream_;       // the next period starts with the address that follows this one
  TimerId timer_ = 0;
  // Set to false by the destructor. Callbacks of reads that end after it hold a copy and check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pimentomoor
