// PlatformClient over the platform's HTTP interface.
//
//   GET /objects/<key>             200 with ETag "<version>", or 404
//   PUT /objects/<key>             If-Match: "<version>" or If-None-Match: *; 409 or 412 on conflict
//   GET /watch?key=<key>&after=<version>   held until a newer version exists; 204 after at most 25 s
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/backoff.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/platform_client.h"

namespace pimentomoor {

struct HttpPlatformClientOptions {
  std::vector<std::string> endpoints;          // "IP:port", at least one
  Duration timeout = std::chrono::seconds(1);  // of one attempt, watches excepted
  Duration min_retry_delay = std::chrono::milliseconds(100);
  Duration max_retry_delay = std::chrono::seconds(5);
  Duration total_timeout = std::chrono::seconds(5);   // of a Get or Put with all its attempts
  Duration watch_timeout = std::chrono::seconds(26);  // the platform ends a watch after 25 s
  Metrics* metrics = nullptr;                         // counts calls by kind and result when set
};

/// Gets and watches go to the next endpoint after a failure. A Put is repeated only while nothing was sent.
class HttpPlatformClient final : public PlatformClient {
 public:
  /// `loop` and `http` must outlive the client. Throws std::invalid_argument on a missing or malformed endpoint.
  HttpPlatformClient(EventLoop& loop, HttpClient& http, HttpPlatformClientOptions options);
  ~HttpPlatformClient() override;
  HttpPlatformClient(const HttpPlatformClient&) = delete;
  HttpPlatformClient& operator=(const HttpPlatformClient&) = delete;

  void Get(const std::string& key, PlatformCallback done) override;
  void Put(const std::string& key, std::uint64_t expected_version, std::string value, PlatformCallback done) override;

  /// A second watch of a key replaces the first. Versions at or below the last reported one are dropped.
  void Watch(const std::string& key, std::uint64_t after_version, PlatformCallback changed) override;
  void StopWatch(const std::string& key) override;

 private:
  struct Request;
  struct WatchState;

  void Start(std::unique_ptr<Request> request);
  void Attempt(std::uint64_t id);
  void OnAnswer(std::uint64_t id, HttpResult result);
  void Retry(std::uint64_t id, const std::string& error);
  void Finish(std::uint64_t id, const PlatformReply& reply);
  void FetchConflicting(std::uint64_t id);
  void Poll(const std::string& key, std::uint64_t id);
  void OnWatchAnswer(const std::string& key, std::uint64_t id, const HttpResult& result);
  [[nodiscard]] Duration NextDelay(unsigned attempt);
  void NextEndpoint(const std::string& failed);
  void Count(std::string_view call, std::string_view result);

  EventLoop& loop_;
  HttpClient& http_;
  HttpPlatformClientOptions options_;
  Jitter jitter_;
  std::size_t endpoint_ = 0;  // index of the endpoint that answered last
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
  std::map<std::string, std::unique_ptr<WatchState>> watches_;
};

/// The version in an ETag such as "17", with its quotes; none when the text is anything else.
std::optional<std::uint64_t> ParseVersionTag(std::string_view tag);

/// True for keys that need no escaping in a path: 1 to 200 letters, digits, '.', '_', '-', ':' and single inner '/'.
bool IsObjectKey(std::string_view key);

}  // namespace pimentomoor
