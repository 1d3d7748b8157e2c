// Stand-in for the platform: versioned objects with conditional updates and watches, and a host list that lags.
//
// The data listener serves
//   GET /objects/<key>                    200 with ETag "<version>", or 404
//   PUT /objects/<key>                    If-Match: "<version>" or If-None-Match: *
//   GET /watch?key=<key>&after=<version>  held until a newer version exists; 204 after `watch_limit`
//   GET /hosts
// The control listener is reachable during an outage and serves
//   PUT /faults    YAML: outage (none, refuse or hang), delay_ms, lose_answers, stale_watch, host_list_lag_ms
//   PUT /hosts     replaces the host list, JSON
//   GET /calls     JSON counters of the calls received by the data listener
// The data listener serves the control paths as well while it is up.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"

namespace pimentomoor {

enum class PlatformOutage {
  kNone,
  kRefuse,  // connections are closed and new ones refused
  kHang,    // requests are received, ignored and never answered
};

struct PlatformFaults {
  PlatformOutage outage = PlatformOutage::kNone;
  Duration delay = Duration::zero();  // before a data request is handled
  std::uint64_t lose_answers = 0;     // this many updates take effect, but their connections close without an answer
  bool stale_watch = false;           // the next watch that can gets the version before the current one, once
  Duration host_list_lag = Duration::zero();

  friend bool operator==(const PlatformFaults&, const PlatformFaults&) = default;
};

/// Parses the body of PUT /faults; missing keys mean no fault. `lose_answers` is a count, or true for all. Throws
/// ConfigError.
PlatformFaults ParsePlatformFaults(std::string_view text, std::string_view source);

/// Calls received, refused connections excepted. A waiting watch counts once.
struct PlatformCalls {
  std::uint64_t get = 0;
  std::uint64_t put = 0;
  std::uint64_t watch = 0;
  std::uint64_t hosts = 0;
  std::uint64_t conflicts = 0;     // updates refused for their version
  std::uint64_t lost_answers = 0;  // updates that took effect without an answer
};

struct StandinPlatformOptions {
  HttpServerOptions data;     // the listener for the system under test
  HttpServerOptions control;  // the listener for the test
  std::size_t max_value_bytes = std::size_t{1024} * 1024;
  Duration watch_limit = std::chrono::seconds(25);
};

class StandinPlatform {
 public:
  /// Throws std::system_error when a listener cannot bind.
  StandinPlatform(EventLoop& loop, StandinPlatformOptions options);
  ~StandinPlatform();
  StandinPlatform(const StandinPlatform&) = delete;
  StandinPlatform& operator=(const StandinPlatform&) = delete;

  [[nodiscard]] std::string address() const;  // of the data listener, "IP:port"; the same through an outage
  [[nodiscard]] std::string control_address() const;
  [[nodiscard]] const PlatformCalls& calls() const { return calls_; }
  [[nodiscard]] const PlatformFaults& faults() const { return faults_; }
  [[nodiscard]] std::size_t waiting_watches() const { return watches_.size(); }

  void SetFaults(const PlatformFaults& faults);
  /// Throws ConfigError when `json` is no host list.
  void SetHostList(std::string json);
  /// Writes without a condition, as another client would; returns the new version.
  std::uint64_t Write(const std::string& key, std::string value);
  /// The current value of a key and its version; version 0 when it does not exist.
  [[nodiscard]] std::pair<std::uint64_t, std::string> Read(const std::string& key) const;

 private:
  struct Object;
  struct WaitingWatch;

  void StartDataListener();
  void RegisterControl(HttpServer& server);
  void HandleData(const HttpRequest& request, const HttpResponder& respond);
  void Dispatch(const HttpRequest& request, const HttpResponder& respond);
  void HandleGet(const std::string& key, const HttpResponder& respond);
  void HandlePut(const std::string& key, const HttpRequest& request, const HttpResponder& respond);
  void HandleWatch(const HttpRequest& request, const HttpResponder& respond);
  void HandleHosts(const HttpRequest& request, const HttpResponder& respond);
  void HandleFaults(const HttpRequest& request, const HttpResponder& respond);
  void AnswerWatches(const std::string& key);
  const std::string& VisibleHosts();

  EventLoop& loop_;
  StandinPlatformOptions options_;
  PlatformFaults faults_;
  PlatformCalls calls_;
  std::uint64_t last_version_ = 0;  // of any key; versions are never reused
  std::map<std::string, Object> objects_;
  std::map<std::uint64_t, WaitingWatch> watches_;
  std::uint64_t next_watch_ = 1;
  std::vector<std::pair<TimePoint, std::string>> host_lists_;  // with the time each was set, oldest first
  std::size_t shown_hosts_ = 0;                                // index of the list that callers see
  std::unique_ptr<HttpServer> data_;                           // null while connections are refused
  std::string data_address_;
  std::unique_ptr<HttpServer> control_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed, for delayed requests
};

}  // namespace pimentomoor
