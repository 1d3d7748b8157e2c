// Reads the health endpoints of draining upstreams, which get no requests, for a new incarnation at the same address.
//
// Health endpoints may be stale or misleading, so only the incarnation is used, and only to let a draining upstream
// start cold again.
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

/// Returns the incarnation that a health answer such as `{"status":"warm","incarnation":"17"}` names; 0 when it names
/// none or is malformed.
std::uint64_t ParseHealthIncarnation(std::string_view body);

struct HealthReaderOptions {
  Duration period = std::chrono::seconds(1);  // between two reads of one upstream
  Duration timeout = std::chrono::milliseconds(500);
  std::size_t max_concurrent_reads = 32;  // reads at once; the others wait for the next period
};

struct HealthReaderHooks {
  std::function<std::vector<std::string>()> draining_upstreams;  // upstreams to read, addresses "IP:port"
  std::function<void(const std::string& upstream, std::uint64_t incarnation)> report_incarnation;
};

class HealthReader {
 public:
  /// Starts to read. `loop` and `http` must outlive the reader.
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
  std::string last_read_upstream_;       // read last: the next period goes on behind it
  TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed, for callbacks of reads
};

}  // namespace pimentomoor
