// Polls the platform's list of hosts. The list lags, so it confirms what heartbeats show and decides nothing alone.
// HostListTask decides whether a daemon polls or gets the list from another one.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/backoff.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"
#include "pimentomoor/metrics.h"

namespace pimentomoor {

enum class HostState { kLive, kLeaving };

struct ListedHost {
  std::string address;  // "IP:port"
  std::string failure_domain;
  HostState state = HostState::kLive;

  friend bool operator==(const ListedHost&, const ListedHost&) = default;
};

struct HostList {
  std::vector<ListedHost> hosts;  // ordered by address, unique

  friend bool operator==(const HostList&, const HostList&) = default;
};

/// Parses `{"hosts":[{"address":"IP:port","failure_domain":"a","state":"live"|"leaving"}]}`. Other keys are ignored,
/// since the platform may add some. Throws ConfigError that names source, line and key.
HostList ParseHostList(std::string_view text, std::string_view source);

/// Orders `hosts` by address and applies the checks of ParseHostList to them: number of hosts, addresses, failure
/// domains, no address twice. Throws ConfigError.
HostList MakeHostList(std::vector<ListedHost> hosts, std::string_view source);

/// Null when the list has no host at `address`.
const ListedHost* FindHost(const HostList& list, std::string_view address);

enum class HostPresence {
  kNotListedYet,  // never shown: the list lags
  kLive,
  kLeaving,
  kNoLongerListed,  // shown before and not any more
};

/// What the newest list says of an address; `shown` has every address of this and all earlier lists.
HostPresence FindHostPresence(const HostList& list, const std::set<std::string>& shown, const std::string& address);

struct HostListClientOptions {
  std::vector<std::string> endpoints;  // "IP:port", at least one
  Duration poll_interval = std::chrono::seconds(1);
  Duration timeout = std::chrono::seconds(1);          // of one call
  Duration max_retry_delay = std::chrono::seconds(5);  // longest delay between calls in an outage
  Metrics* metrics = nullptr;                          // counts polls by result when set
  std::function<void()> on_call_started;               // called before each call
  std::function<void()> on_valid_answer;               // called after each valid answer, after `changed`
};

class HostListClient {
 public:
  using Callback = std::function<void(const HostList&)>;

  /// Starts to poll; `changed` runs for the first list and whenever the list differs from the last one. It must not
  /// destroy the client. `loop` and `http` must outlive the client. Throws std::invalid_argument on a missing or
  /// malformed endpoint.
  HostListClient(EventLoop& loop, HttpClient& http, HostListClientOptions options, Callback changed);
  ~HostListClient();
  HostListClient(const HostListClient&) = delete;
  HostListClient& operator=(const HostListClient&) = delete;

  /// Ends or resumes polling. The running call is dropped at the end; the first call after it is made at once.
  void SetPolling(bool active);
  [[nodiscard]] bool polling() const { return active_; }

  /// The last list received, also in an outage; none before the first answer since the last SetPolling(true).
  [[nodiscard]] const std::optional<HostList>& last_list() const { return last_; }
  /// When the last valid answer came.
  [[nodiscard]] std::optional<TimePoint> last_answer_at() const { return last_answer_; }
  /// Why the last poll failed; empty after a valid answer.
  [[nodiscard]] const std::string& last_error() const { return last_error_; }

 private:
  void Poll();
  void OnAnswer(const HttpResult& result);
  bool Accept(const std::string& body);

  EventLoop& loop_;
  HttpClient& http_;
  HostListClientOptions options_;
  Callback changed_;
  Jitter jitter_;
  bool active_ = true;
  std::size_t endpoint_ = 0;
  unsigned failures_ = 0;  // in a row
  std::string last_body_;  // an equal body is not parsed again
  std::optional<HostList> last_;
  std::optional<TimePoint> last_answer_;
  std::string last_error_;
  HttpCallId call_ = 0;
  TimerId timer_ = 0;
};

}  // namespace pimentomoor
