// The link of this daemon to one upstream: a pool of kept connections within this daemon's share of the upstream's
// connection limit, a queue of requests that wait for a connection, and health signals from the answers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pimentomoor/admission.h"
#include "pimentomoor/buffer_budget.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http1_message.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/shared_budget.h"
#include "pimentomoor/upstream_hold.h"
#include "pimentomoor/upstream_pace.h"
#include "pimentomoor/upstream_score.h"

namespace pimentomoor {

class UpstreamLink;

/// Share of an upstream's connection limit that all daemons together use. The rest is for daemons that have just
/// started and for closed connections whose end the upstream has not seen yet.
constexpr double kUsableConnectionShare = 0.8;

/// Registration that an upstream writes to the store. An upstream keeps its id and start time until its process ends.
struct UpstreamEntry {
  std::string id;
  std::string service;
  std::string address;  // "IP:port"
  std::string failure_domain;
  std::string version;  // version of its software; empty when the upstream names none
  unsigned slots = 1;   // requests that the upstream runs at a time
  bool draining = false;
  Duration cold_remaining{};        // how long after writing the entry the upstream stays cold
  std::uint64_t start_unix_ms = 0;  // Unix time at which the upstream started
  std::uint64_t sequence = 0;       // number of this entry since the upstream started

  friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

/// A request as it is sent to upstreams, without the header fields that differ between upstreams.
struct UpstreamRequest {
  std::string head;                         // request line and header fields, without the final empty line
  std::shared_ptr<const std::string> body;  // shared with the caller's request; null when there is none
  std::string request_id;
  std::uint64_t fingerprint = 0;  // identifies the request in crash reports
  bool idempotent = false;
  bool is_head = false;         // the method is HEAD
  bool collect_fields = false;  // the answer's header fields are passed on to the caller
};

enum class ExchangeOutcome {
  kAnswered,   // a whole response arrived that belongs to the request
  kNotSent,    // nothing was sent, so the upstream can't have run the request
  kLost,       // sent, then the connection ended or went silent: the request may have run
  kTruncated,  // sent, then the connection ended in the middle of the response: the request may have run
  kMalformed,  // sent, but the response is invalid HTTP or too large: the request may have run
};

class UpstreamExchange;

/// Why an exchange was started.
enum class SendReason : std::uint8_t { kFirst, kRetry, kHedge };

/// Receives the outcome of an exchange. Called from the event loop, never from inside UpstreamLink::Send().
class ExchangeHandler {
 public:
  virtual ~ExchangeHandler() = default;
  virtual void OnExchangeDone(UpstreamExchange& exchange, ExchangeOutcome outcome, ResponseMessage& response) = 0;
};

/// Sees how an exchange ends, also when its handler no longer needs the answer.
class ExchangeObserver {
 public:
  virtual ~ExchangeObserver() = default;
  virtual void OnEnd(const UpstreamExchange& exchange, ExchangeOutcome outcome, const ResponseMessage& response) = 0;
};

/// One attempt to run a request, or one part of it, at one upstream.
class UpstreamExchange {
 public:
  std::shared_ptr<const UpstreamRequest> request;
  std::unique_ptr<ExchangeObserver> observer;  // null unless an order restricts the versions of the service
  std::weak_ptr<ExchangeHandler> handler;      // if expired or reset, the outcome only updates the signals
  std::size_t part_index = 0;                  // index of the request's part, for the handler
  std::shared_ptr<UpstreamLink> link;
  TimePoint deadline;           // the upstream stops work on the request then
  Duration expected_latency{};  // usual latency of requests of this route
  Duration least_work{};        // an unsent request leaves the queue when less than this is left until the deadline
  QueuePlace place;             // place in the queue; the link sets its turn and its deadline
  TimePoint sent_at{};
  TimePoint give_up_at{};  // the connection is closed then if there is no answer
  bool sent = false;
  bool whole_request_sent = false;  // no more of the request than the connection buffers is left to send
  bool done = false;
  bool admitted_cold = false;  // the upstream was cold when it was chosen, so its cold rate counts the exchange
  bool last_resort = false;    // the upstream was leaving when it was chosen
  // The handler sets these for traces.
  SendReason send_reason = SendReason::kFirst;
  ExchangeOutcome outcome = ExchangeOutcome::kNotSent;  // valid once ended_at is set
  int answer_status = 0;                                // HTTP status; 0 without an answer
  UpstreamNotice notice;                                // of the answer
  TimePoint queued_at{};
  TimePoint ended_at{};  // unset while the exchange runs, and after it was cancelled
};
using UpstreamExchangePtr = std::shared_ptr<UpstreamExchange>;

/// State that all links of a daemon share.
struct LinkContext {
  EventLoop& loop;
  Metrics& metrics;
  const FieldNames& names;
  BufferBudget& buffer_budget;  // bound on the unfinished answers of all upstreams
  std::string failure_domain;   // failure domain of this daemon
  // Called when it is known that an upstream crashed while it ran the request, with the time of the crash.
  std::function<void(const UpstreamRequest&, TimePoint)> on_crash = [](const UpstreamRequest&, TimePoint) {};
  // Called with each notice that an answer of the upstream holds; must pass the result to SetHold().
  std::function<void(UpstreamLink&, const UpstreamNotice&)> on_notice = [](UpstreamLink&, const UpstreamNotice&) {};
  UpstreamHoldSettings hold_settings = {};
  PaceSettings pace;
  std::uint64_t daemon_id = 0;  // differs between daemons; spreads their first requests to a paced upstream
  MessageLimits response_limits{.head_bytes = 64 * 1024, .body_bytes = std::uint64_t{8} * 1024 * 1024};
};

class UpstreamConnection;

/// Connection pool, request queue and health signals of one upstream.
class UpstreamLink : public std::enable_shared_from_this<UpstreamLink> {
 public:
  UpstreamLink(LinkContext& context, UpstreamEntry entry);
  ~UpstreamLink();
  UpstreamLink(const UpstreamLink&) = delete;
  UpstreamLink& operator=(const UpstreamLink&) = delete;

  [[nodiscard]] const UpstreamEntry& entry() const { return entry_; }
  /// Replaces the entry by a newer one of the same upstream process.
  void Update(UpstreamEntry entry, TimePoint now);

  /// Sends the request over an idle connection, or queues it until there is one.
  void Send(const UpstreamExchangePtr& exchange);

  /// Cancels an exchange whose answer is no longer needed. An unsent request is dropped. A sent one keeps its
  /// connection until `give_up_at`, because closing the connection costs opening a new one.
  void Cancel(const UpstreamExchangePtr& exchange, TimePoint give_up_at);

  /// Stops sending requests: closes idle connections and ends queued exchanges with kNotSent. Running requests go on.
  void Retire();

  /// Ends all exchanges without calling their handlers. Must be called before a link with running requests can be
  /// destroyed, because its exchanges hold references to it.
  void Close();

  /// Closes connections that were not established in time and ends overdue exchanges. Probes an upstream whose
  /// process has ended, so that its next one is noticed without a request.
  void Sweep(TimePoint now);

  /// Takes the upstream out of use while operators have its failure domain out of service. Its queue stays until
  /// ReleaseInadmissible(), so that the queues of a whole failure domain are released when all its links are marked.
  void SetInOutage(bool in_outage) { in_outage_ = in_outage; }
  /// Treats the upstream as cold until then, whatever its entry says.
  void AssumeColdUntil(TimePoint until) { assumed_cold_until_ = until; }
  /// Ends the queued exchanges that may no longer be sent to the upstream with kNotSent, so that their requests are
  /// placed anew: all of them when it is not usable, and when it has become cold those that its cold rate doesn't
  /// count.
  void ReleaseInadmissible();

  /// Applies what answers of this lifetime have said. Queued requests that the upstream may no longer get end with
  /// kNotSent in a later turn of the event loop, so that several links can be changed before any request is placed
  /// anew.
  void SetHold(const UpstreamHold& hold);

  /// Tells whether the entry is missing in the store. The store may have lost the entry of a running upstream, so the
  /// upstream is then used only when there is no other.
  void SetEntryMissing(bool missing) { entry_missing_ = missing; }

  [[nodiscard]] bool usable() const { return in_service() && admission() == UpstreamAdmission::kAll; }
  /// Whether the upstream may get requests that no usable one can serve, because it has begun to leave just now.
  [[nodiscard]] bool usable_as_last_resort() const {
    return in_service() && admission() == UpstreamAdmission::kLastResort;
  }
  [[nodiscard]] bool leaving() const { return hold_.leaving_since.has_value(); }
  [[nodiscard]] bool paused() const { return context_.loop.Now() < hold_.paused_until; }
  /// End of the pause of an upstream that is usable but for its pause; nothing for any other.
  [[nodiscard]] std::optional<TimePoint> ReturnTime() const {
    return in_service() && paused() && !leaving() ? std::optional(hold_.paused_until) : std::nullopt;
  }
  [[nodiscard]] LifetimeKey lifetime_key() const { return MakeLifetimeKey(entry_.id, entry_.start_unix_ms); }
  [[nodiscard]] bool misdirected() const { return misdirected_; }
  [[nodiscard]] bool in_outage() const { return in_outage_; }
  [[nodiscard]] bool entry_missing() const { return entry_missing_; }
  [[nodiscard]] bool cold(TimePoint now) const {
    return process_ended_ || now < std::max(cold_until_, assumed_cold_until_);
  }
  /// Whether the upstream has refused a connection and accepted none since. Whatever accepts the next one has just
  /// started. Known only of upstreams whose cold rate is limited.
  [[nodiscard]] bool process_ended() const { return process_ended_; }
  void SetColdFor(Duration left, TimePoint now);
  /// Describes the upstream for the choice between upstreams.
  [[nodiscard]] UpstreamCandidate MakeCandidate(TimePoint now) const;
  [[nodiscard]] bool has_waiting() const { return !waiting_.empty(); }
  /// What the upstream offers to a request with this place.
  [[nodiscard]] UpstreamRoom RoomFor(const QueuePlace& place, TimePoint now) const;
  [[nodiscard]] HedgeTarget MakeHedgeTarget() const;
  /// Limits the requests to an upstream that has just started or recovered, if the settings say so.
  void StartPace(PaceReason reason);
  /// Ends a pace that is no longer needed.
  void MaintainPace(TimePoint now) {
    if (pace.active) {
      EndPaceIfOver(now);
    }
  }
  [[nodiscard]] PaceConditions MakePaceConditions(TimePoint now) const;
  [[nodiscard]] bool busy() const { return !connections_.empty() || !waiting_.empty(); }
  [[nodiscard]] bool needs_sweep() const { return busy() || process_ended_; }

  UpstreamSignals signals;
  UpstreamPace pace;
  ColdRateLimiter cold_rate_limiter;
  unsigned max_connections = 1;   // connections that the upstream accepts from all daemons together
  std::size_t sender_count = 1;   // daemons that share max_connections
  bool senders_known = false;     // `sender_count` counts the daemons that live
  bool in_subset = true;          // this daemon is one of those that share max_connections
  bool limits_cold_rate = false;  // the service limits the rate of requests to a cold upstream
  Duration cold_duration{};       // time after its start for which an upstream of the service is cold

 private:
  friend class UpstreamConnection;
  [[nodiscard]] bool in_service() const { return !retired_ && !misdirected_ && !in_outage_ && !entry_.draining; }
  [[nodiscard]] UpstreamAdmission admission() const {
    return AdmissionOf(hold_, context_.loop.Now(), context_.hold_settings);
  }
  /// Reports the notice that the answer holds, if any.
  void ReadNoticeOf(const ResponseMessage& response);
  /// Ends the queued requests that a leaving or paused upstream may not get, in a later turn of the event loop.
  void ReleaseHeld();
  void CloseIdleConnections();
  [[nodiscard]] std::size_t ConnectionLimit() const;
  void OpenConnection();
  /// Whether one more connection may be opened. Closes an idle one for it when the limit is reached.
  [[nodiscard]] bool MakeRoomForConnection();
  /// Sends queued requests over idle connections and opens more connections while the limit allows.
  void SendWaiting();
  void Finish(const UpstreamExchangePtr& exchange, ExchangeOutcome outcome, ResponseMessage response);
  /// Whether the pace lets one more request be sent now, beside those that run and `pending` others.
  [[nodiscard]] bool HasRoomAtPace(TimePoint now, std::size_t pending) const;
  /// Records the end of a sent exchange for the pace. A lowered limit releases the queue, so that its requests are
  /// placed anew.
  void RecordPace(const UpstreamExchange& exchange, ExchangeOutcome outcome, const ResponseMessage& response);
  void RecordPaceConnectFailure();
  void EndPaceIfOver(TimePoint now);
  /// Ends the queued exchanges of which `predicate` is true with kNotSent.
  void ReleaseWaiting(const std::function<bool(const UpstreamExchange&)>& predicate);
  /// Takes the requests that can no longer be answered in time out of the queue, wherever they stand in it.
  void RemoveHopeless(TimePoint now);
  /// Brings the history of the queue up to date after a change of waiting_.
  void RecordQueueChange(unsigned departures = 0);
  void RemoveConnection(UpstreamConnection* connection);
  /// Remembers a request whose connection ended before its whole response, which may have crashed the upstream. Opens
  /// a connection if there is none, because a refused connection confirms the crash.
  void SuspectCrash(const UpstreamExchangePtr& exchange);
  void OnConnected();
  void OnConnectFailed(UpstreamConnection* connection);
  /// Records that no process listens at the upstream's address, so that the next one counts as cold from the start,
  /// before its entry is read.
  void RecordProcessEnd();
  /// Reports the requests that were lost within kCrashDetectionWindow before a connection was refused.
  void ReportCrashSuspects();

  LinkContext& context_;
  UpstreamEntry entry_;
  std::vector<std::unique_ptr<UpstreamConnection>> connections_;  // newest first; idle ones are used from the back
  // In the order of GoesBefore(). While the upstream is not usable, only those that it may get as the last resort.
  std::deque<UpstreamExchangePtr> waiting_;
  ServedTurns served_turns_;  // empty while waiting_ is
  QueueHistory queue_history_;
  std::vector<std::pair<TimePoint, std::shared_ptr<const UpstreamRequest>>>
      crash_suspects_;                           // requests whose connection ended lately, with the time of its end
  std::vector<UpstreamExchangePtr> unanswered_;  // sent and not done, oldest first
  TimePoint cold_until_{};
  TimePoint assumed_cold_until_{};
  bool process_ended_ = false;  // a connection was refused, and none has been accepted since
  TimePoint next_probe_at_{};   // valid while process_ended_
  UpstreamHold hold_;
  bool retired_ = false;
  bool misdirected_ = false;  // the upstream said that it is not the expected instance; until its entry changes
  bool in_outage_ = false;
  bool entry_missing_ = false;
};

}  // namespace pimentomoor
