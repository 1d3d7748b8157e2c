// Polls the platform's list of hosts. The list lags behind the hosts, so it only confirms what heartbeats show and
// decides nothing alone. HostListTask decides whether a daemon polls or gets the list from another daemon.
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

/// One host of the platform's list.
struct ListedHost {
  std::string address;  // "IP:port"
  std::string failure_domain;
  HostState state = HostState::kLive;

  friend bool operator==(const ListedHost&, const ListedHost&) = default;
};

/// The hosts that the platform lists.
struct HostList {
  std::vector<ListedHost> hosts;  // ordered by address, which is unique

  friend bool operator==(const HostList&, const HostList&) = default;
};

/// Parses `{"hosts":[{"address":"IP:port","failure_domain":"a","state":"live"|"leaving"}]}`. Other keys are ignored,
/// since the platform may add further ones. Throws ConfigError that names source, line and key.
HostList ParseHostList(std::string_view text, std::string_view source);

/// Orders `hosts` by address and makes the checks of ParseHostList(): number of hosts, form of addresses and failure
/// domains, no address twice. Throws ConfigError.
HostList MakeHostList(std::vector<ListedHost> hosts, std::string_view source);

/// Returns the host at `address`; null when the list has none.
const ListedHost* FindHost(const HostList& list, std::string_view address);

/// What the newest host list shows of an address.
enum class HostPresence {
  kNotListedYet,  // no list has shown the address so far, as the list lags
  kLive,
  kLeaving,
  kNoLongerListed,  // an earlier list showed the address, the newest one doesn't
};

/// Returns the presence of an address in `list`, the newest one. `ever_listed` has every address of this list and of
/// all earlier ones.
HostPresence FindHostPresence(const HostList& list, const std::set<std::string>& ever_listed,
                              const std::string& address);

struct HostListClientOptions {
  std::vector<std::string> endpoints;                  // "IP:port", at least one
  Duration poll_interval = std::chrono::seconds(1);    // from an answer to the next call
  Duration timeout = std::chrono::seconds(1);          // timeout of one call
  Duration max_retry_delay = std::chrono::seconds(5);  // longest delay from a failed call to the next one
  Metrics* metrics = nullptr;                          // counts calls by result; may be null
  std::function<void()> on_call_started;               // called before each call
  std::function<void()> on_valid_answer;               // called after each valid answer, after `changed`
};

/// Polls the endpoints of the platform; a failed call moves it on to the next endpoint.
class HostListClient {
 public:
  using Callback = std::function<void(const HostList&)>;

  /// Starts to poll. `changed` is called with the first list and with each list that differs from the one before; it
  /// must not destroy the client. `loop` and `http` must outlive the client. Throws std::invalid_argument on a
  /// missing or malformed endpoint.
  HostListClient(EventLoop& loop, HttpClient& http, HostListClientOptions options, Callback changed);
  ~HostListClient();
  HostListClient(const HostListClient&) = delete;
  HostListClient& operator=(const HostListClient&) = delete;

  /// Stops or resumes polling. Stopping cancels the running call and drops the list; resuming makes a call at once.
  void SetPolling(bool polling);
  [[nodiscard]] bool polling() const { return polling_; }

  /// Newest list received; it is kept while calls fail. None before the first valid answer after polling began.
  [[nodiscard]] const std::optional<HostList>& last_list() const { return last_list_; }
  /// Arrival time of the newest valid answer.
  [[nodiscard]] std::optional<TimePoint> last_answer_at() const { return last_answer_at_; }
  /// Error of the last call; empty after a valid answer.
  [[nodiscard]] const std::string& last_error() const { return last_error_; }

 private:
  void Poll();
  void OnAnswer(const HttpResult& result);
  /// Parses the body of an answer. Returns whether the list changed; throws ConfigError for a malformed body.
  bool AcceptBody(const std::string& body);

  EventLoop& loop_;
  HttpClient& http_;
  HostListClientOptions options_;
  Callback changed_;
  Jitter jitter_;
  bool polling_ = true;
  std::size_t endpoint_index_ = 0;  // endpoint of the next call
  unsigned consecutive_failures_ = 0;
  std::string last_body_;  // body that last_list_ was parsed from; an equal body is not parsed again
  std::optional<HostList> last_list_;
  std::optional<TimePoint> last_answer_at_;
  std::string last_error_;
  HttpCallId call_ = 0;
  TimerId timer_ = 0;
};

}  // namespace pimentomoor
