// Stand-in for the platform: versioned objects with conditional updates and watches, a host list, and faults.
//
// The data listener serves
//   GET /objects/<key>                    200 with ETag "<version>", or 404
//   PUT /objects/<key>                    If-Match: "<version>" or If-None-Match: *
//   GET /watch?key=<key>&after=<version>  answered when a newer version exists; 204 after `watch_limit`
//   GET /hosts
// The control listener, which is reachable during an outage, serves
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
  kRefuse,  // the data listener closes its connections and refuses new ones
  kHang,    // data requests are counted but have no effect and get no response
};

struct PlatformFaults {
  PlatformOutage outage = PlatformOutage::kNone;
  Duration delay = Duration::zero();  // time before a data request is handled
  std::uint64_t lose_answers = 0;     // number of updates that take effect but get no response: connections close
  // The next watch of a key with at least two versions gets the version before the current one. Applies once.
  bool stale_watch = false;
  Duration host_list_lag = Duration::zero();  // time after which a new host list becomes visible

  friend bool operator==(const PlatformFaults&, const PlatformFaults&) = default;
};

/// Parses the body of PUT /faults. A missing key means no fault. `lose_answers` is a number of updates, or true for
/// all updates. Throws ConfigError.
PlatformFaults ParsePlatformFaults(std::string_view text, std::string_view source);

/// Numbers of requests received at the data listener. A waiting watch counts once; refused connections don't count.
/// GET /calls returns them under the names of these fields.
struct PlatformCalls {
  std::uint64_t get = 0;
  std::uint64_t put = 0;
  std::uint64_t watch = 0;
  std::uint64_t hosts = 0;
  std::uint64_t conflicts = 0;     // updates refused because their condition on the version failed
  std::uint64_t lost_answers = 0;  // updates that took effect without a response
};

struct StandinPlatformOptions {
  HttpServerOptions data;     // options of the data listener, which the system under test uses
  HttpServerOptions control;  // options of the control listener, which the test uses
  std::size_t max_value_bytes = std::size_t{1024} * 1024;
  Duration watch_limit = std::chrono::seconds(25);  // time after which a watch gets 204
};

class StandinPlatform {
 public:
  /// Throws std::system_error when a listener cannot bind.
  StandinPlatform(EventLoop& loop, StandinPlatformOptions options);
  ~StandinPlatform();
  StandinPlatform(const StandinPlatform&) = delete;
  StandinPlatform& operator=(const StandinPlatform&) = delete;

  /// "IP:port" of the data listener, which stays the same through an outage.
  [[nodiscard]] std::string address() const;
  [[nodiscard]] std::string control_address() const;
  [[nodiscard]] const PlatformCalls& calls() const { return calls_; }
  [[nodiscard]] const PlatformFaults& faults() const { return faults_; }
  /// Number of watches without a response.
  [[nodiscard]] std::size_t waiting_watches() const { return watches_.size(); }

  void SetFaults(const PlatformFaults& faults);
  /// Replaces the host list, which becomes visible after the lag. Throws ConfigError when `json` isn't a host list.
  void SetHostList(std::string json);
  /// Writes an object without a condition and returns its new version.
  std::uint64_t Write(const std::string& key, std::string value);
  /// Returns the version and the value of an object. The version is 0 when it does not exist.
  [[nodiscard]] std::pair<std::uint64_t, std::string> Read(const std::string& key) const;

 private:
  struct Object;
  struct WaitingWatch;

  void StartDataListener();
  void RegisterControlHandlers(HttpServer& server);
  void HandleData(const HttpRequest& request, const HttpResponder& respond);
  void Dispatch(const HttpRequest& request, const HttpResponder& respond);
  void HandleGet(const std::string& key, const HttpResponder& respond);
  void HandlePut(const std::string& key, const HttpRequest& request, const HttpResponder& respond);
  void HandleWatch(const HttpRequest& request, const HttpResponder& respond);
  void HandleHosts(const HttpRequest& request, const HttpResponder& respond);
  void HandleFaults(const HttpRequest& request, const HttpResponder& respond);
  void RespondToWatches(const std::string& key);
  const std::string& VisibleHostList();

  EventLoop& loop_;
  StandinPlatformOptions options_;
  PlatformFaults faults_;
  PlatformCalls calls_;
  std::uint64_t last_version_ = 0;  // last version given to an object; versions are unique across keys
  std::map<std::string, Object> objects_;
  std::map<std::uint64_t, WaitingWatch> watches_;
  std::uint64_t next_watch_id_ = 1;
  std::vector<std::pair<TimePoint, std::string>> host_list_history_;  // lists as JSON with the times they were set
  std::size_t visible_index_ = 0;            // index in host_list_history_ of the list that GET /hosts returns
  std::unique_ptr<HttpServer> data_server_;  // null while connections are refused
  std::string data_address_;
  std::unique_ptr<HttpServer> control_server_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // set to false at destruction, for delayed requests
};

}  // namespace pimentomoor
