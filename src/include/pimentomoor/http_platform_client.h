// PlatformClient for the platform's HTTP interface:
//
//   GET /objects/<key>                     200 with ETag "<version>", or 404
//   PUT /objects/<key>                     with If-Match: "<version>" or If-None-Match: *; 409 or 412 on conflict
//   GET /watch?key=<key>&after=<version>   answered when a newer version exists; 204 after at most 25 s
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
  std::vector<std::string> endpoints;                         // "IP:port", at least one
  Duration timeout = std::chrono::seconds(1);                 // timeout of one attempt, except for watches
  Duration min_retry_delay = std::chrono::milliseconds(100);  // longest delay before the first retry
  Duration max_retry_delay = std::chrono::seconds(5);
  Duration total_timeout = std::chrono::seconds(5);   // timeout of a Get or Put with all its attempts
  Duration watch_timeout = std::chrono::seconds(26);  // the platform ends a watch after 25 s
  Metrics* metrics = nullptr;                         // counts calls by kind and result; may be null
};

/// A call that fails without an answer, or a watch answered with a transient error status, moves the client on to the
/// next endpoint. Gets and watches are retried. A Put is retried only when nothing of it was sent, since a second Put
/// could conflict with the first one.
class HttpPlatformClient final : public PlatformClient {
 public:
  /// `loop` and `http` must outlive the client. Throws std::invalid_argument on a missing or malformed endpoint.
  HttpPlatformClient(EventLoop& loop, HttpClient& http, HttpPlatformClientOptions options);
  ~HttpPlatformClient() override;
  HttpPlatformClient(const HttpPlatformClient&) = delete;
  HttpPlatformClient& operator=(const HttpPlatformClient&) = delete;

  void Get(const std::string& key, PlatformCallback done) override;
  void Put(const std::string& key, std::uint64_t expected_version, std::string value, PlatformCallback done) override;

  /// Replaces an earlier watch of the same key. Drops versions that are not above the last reported one.
  void Watch(const std::string& key, std::uint64_t after_version, PlatformCallback changed) override;
  void StopWatch(const std::string& key) override;

 private:
  struct Request;
  struct WatchState;

  void StartRequest(std::unique_ptr<Request> request);
  void SendAttempt(std::uint64_t id);
  void OnAnswer(std::uint64_t id, HttpResult result);
  void RetryLater(std::uint64_t id, const std::string& error);
  void Finish(std::uint64_t id, const PlatformReply& reply);
  void FetchConflictingVersion(std::uint64_t id);
  void PollWatch(const std::string& key, std::uint64_t id);
  void OnWatchAnswer(const std::string& key, std::uint64_t id, const HttpResult& result);
  [[nodiscard]] Duration RetryDelay(unsigned attempt);
  void MoveToNextEndpoint(const std::string& failed_endpoint);
  void CountCall(std::string_view call, std::string_view result);

  EventLoop& loop_;
  HttpClient& http_;
  HttpPlatformClientOptions options_;
  Jitter jitter_;
  std::size_t endpoint_index_ = 0;  // endpoint of the next call; advances after failures
  std::uint64_t next_id_ = 1;       // for requests and watches
  std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
  std::map<std::string, std::unique_ptr<WatchState>> watches_;
};

/// Returns the version in an ETag such as "17", quotes included; none when the tag has another form.
std::optional<std::uint64_t> ParseVersionTag(std::string_view tag);

/// Whether a key needs no escaping in a path: it has 1 to 200 letters, digits, '.', '_', '-', ':' and single inner
/// '/', and no segment of it begins with '.'.
bool IsObjectKey(std::string_view key);

}  // namespace pimentomoor
