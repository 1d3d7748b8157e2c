// Keeps the host list of a daemon: polls the platform, or asks the members that poll it.
//
// A daemon that doesn't poll keeps one request at each poller. A poller answers the requests that arrived before its
// poll began, so each answer proves how old it is at most.
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

struct HostListTaskHooks {
  std::function<std::uint64_t()> own_incarnation;                  // of this daemon
  std::function<bool()> joined;                                    // whether this daemon is a member of the view
  std::function<std::vector<proto::Daemon>()> live_members;        // of the view, without leaving ones
  std::function<const proto::Daemon*(std::uint64_t)> find_member;  // of the view, by incarnation; null for others
  std::function<bool(const std::string& address, const proto::Envelope&)> send;
  std::function<void(const HostList&)> on_list_changed;  // called for the first list and for each other one
};

struct HostListTaskOptions {
  HostListClientOptions client;
  bool everyone_polls = false;  // naive variant
};

class HostListTask {
 public:
  /// Starts at once. The references must outlive the task.
  HostListTask(EventLoop& loop, HttpClient& http, Metrics& metrics, HostListTaskOptions options,
               HostListTaskHooks hooks);
  ~HostListTask();
  HostListTask(const HostListTask&) = delete;
  HostListTask& operator=(const HostListTask&) = delete;

  /// Handles host_list_request and host_list_relay; ignores other messages.
  void HandleMessage(const proto::Envelope& message);

  [[nodiscard]] const std::optional<HostList>& list() const { return history_.list(); }
  /// Whether this daemon polls the platform now.
  [[nodiscard]] bool polling() const { return client_ && client_->polling(); }
  /// Where the newest confirmation of the list came from: "platform" (an own poll), the host name of a member,
  /// "former member", or "none".
  [[nodiscard]] std::string source() const;
  /// Longest time since the platform showed the list held; none without a list.
  [[nodiscard]] std::optional<Duration> age() const;

 private:
  struct PendingRequest {
    std::uint64_t id = 0;
    std::optional<std::uint64_t> known_digest;
  };

  // Requests of one member to this daemon.
  struct Subscriber {
    std::uint64_t newest_request_id = 0;
    std::optional<PendingRequest> for_next_poll;  // for the next poll
    std::optional<PendingRequest>
        for_started_poll;  // arrived before the running or last poll began, and not answered
  };

  // Requests of this daemon to one poller that are not answered: id and time, newest last.
  using SentRequests = std::deque<std::pair<std::uint64_t, TimePoint>>;

  void Tick();
  void SendRequestsToPollers(const std::vector<proto::Daemon>& live, const std::vector<std::string>& pollers);
  void SendRequest(const proto::Daemon& poller);
  void HandleRequest(const proto::Envelope& message);
  void HandleRelay(const proto::Envelope& message);
  void OnPollStarted();
  void OnPollAnswered();
  void AnswerSubscribers();
  void ApplyRelay(const proto::HostListRelay& relay, const HostListReadTime& candidate);
  void CountRelay(const std::string& result);
  [[nodiscard]] proto::Envelope NewMessage(std::uint64_t to) const;

  EventLoop& loop_;
  Metrics& metrics_;
  HostListTaskHooks hooks_;
  bool everyone_polls_;
  HostListHistory history_;
  HostListReadTime read_time_;  // for history_.list()
  TimePoint poll_started_at_{};
  std::uint64_t polled_digest_ = 0;                            // of client_->last_list()
  std::map<std::uint64_t, Subscriber> subscribers_;            // by incarnation, members of the view only
  std::map<std::uint64_t, SentRequests> requests_to_pollers_;  // by incarnation, current pollers only
  std::uint64_t last_request_id_ = 0;
  TimerId timer_ = 0;
  std::unique_ptr<HostListClient> client_;  // last, because its constructor calls OnPollStarted()
};

}  // namespace pimentomoor
