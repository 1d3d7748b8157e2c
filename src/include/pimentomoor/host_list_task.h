// Keeps the platform's host list in a daemon: polls the platform, or requests the list from the members that poll it.
//
// A daemon that doesn't poll keeps a request pending at each poller. A poller answers only requests that arrived
// before its poll began, so the send time of the request bounds the age of the list in the answer (a relay).
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peer.pb.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/host_list_client.h"
#include "pimentomoor/host_list_relay.h"
#include "pimentomoor/http.h"
#include "pimentomoor/metrics.h"

namespace pimentomoor {

/// Calls from HostListTask to other parts of the daemon.
struct HostListTaskHooks {
  std::function<std::uint64_t()> own_incarnation;            // incarnation of this daemon
  std::function<bool()> joined;                              // whether this daemon is a member of the view
  std::function<std::vector<proto::Daemon>()> live_members;  // live members of the view, without leaving ones
  /// Returns the member of the view with this incarnation; null when there is none.
  std::function<const proto::Daemon*(std::uint64_t)> find_member;
  /// Sends a message to a peer address; returns false when nothing was sent.
  std::function<bool(const std::string& address, const proto::Envelope&)> send;
  std::function<void(const HostList&)> on_list_changed;  // called for the first list and for each changed one
};

/// Settings of HostListTask.
struct HostListTaskOptions {
  HostListClientOptions client;
  bool everyone_polls = false;  // naive policy: every daemon polls the platform
};

/// Keeps one host list, and relays it to other members while this daemon polls.
class HostListTask {
 public:
  /// Starts at once. `loop`, `http` and `metrics` must outlive the task.
  HostListTask(EventLoop& loop, HttpClient& http, Metrics& metrics, HostListTaskOptions options,
               HostListTaskHooks hooks);
  ~HostListTask();
  HostListTask(const HostListTask&) = delete;
  HostListTask& operator=(const HostListTask&) = delete;

  /// Handles host_list_request and host_list_relay; ignores other messages.
  void HandleMessage(const proto::Envelope& message);

  /// The held list; absent until the first one is known.
  [[nodiscard]] const std::optional<HostList>& list() const { return history_.list(); }
  /// Whether this daemon polls the platform now.
  [[nodiscard]] bool polling() const { return client_ && client_->polling(); }
  /// Source of the newest confirmation of the held list: "platform" for a poll by this daemon, the host name of the
  /// member that relayed it, "former member" when that member has left the view, or "none" without a list.
  [[nodiscard]] std::string source() const;
  /// Upper bound of the time since the platform showed the held list; absent without a list.
  [[nodiscard]] std::optional<Duration> age() const;

 private:
  // A request from another member that waits for its answer.
  struct PendingRequest {
    std::uint64_t id = 0;
    std::optional<std::uint64_t> known_digest;  // digest of the list that the member holds; absent without a list
  };

  // Requests from one member to this daemon.
  struct Subscriber {
    std::uint64_t newest_request_id = 0;
    std::optional<PendingRequest> for_next_poll;  // arrived after the start of the last poll
    // Arrived before the start of the running or last poll, and is not answered yet.
    std::optional<PendingRequest> for_started_poll;
  };

  // Unanswered requests from this daemon to one poller, as pairs of request id and send time, newest last.
  using SentRequests = std::deque<std::pair<std::uint64_t, TimePoint>>;

  void Tick();
  void SendRequestsToPollers(const std::vector<proto::Daemon>& live, const std::vector<std::string>& pollers);
  void SendRequest(const proto::Daemon& poller);
  void HandleRequest(const proto::Envelope& message);
  void HandleRelay(const proto::Envelope& message);
  void OnPollStarted();
  void OnPollAnswered();
  void AnswerSubscribers();
  void ApplyRelay(const proto::HostListRelay& relay, const HostListReadTime& candidate_time);
  void CountRelay(const std::string& result);
  [[nodiscard]] proto::Envelope NewMessage(std::uint64_t to_incarnation) const;

  EventLoop& loop_;
  Metrics& metrics_;
  HostListTaskHooks hooks_;
  bool everyone_polls_;
  HostListHistory history_;
  HostListReadTime read_time_;  // read time of history_.list()
  TimePoint poll_started_at_{};
  std::uint64_t polled_digest_ = 0;                            // digest of client_->last_list()
  std::map<std::uint64_t, Subscriber> subscribers_;            // by incarnation; members of the view only
  std::map<std::uint64_t, SentRequests> requests_to_pollers_;  // by incarnation; current pollers only
  std::uint64_t last_request_id_ = 0;                          // last id used in a request of this daemon
  TimerId timer_ = 0;
  std::unique_ptr<HostListClient> client_;  // declared last, because its constructor calls OnPollStarted()
};

}  // namespace pimentomoor
