// The connections of this daemon to one searcher: kept connections within its share of the searcher's limit, requests
// that wait for one, and what the answers tell of the searcher.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pimentomoor/event_loop.h"
#include "pimentomoor/http1_message.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/shared_budget.h"
#include "pimentomoor/upstream_score.h"

namespace pimentomoor {

class UpstreamLink;

/// Part of a searcher's connections that the daemons use together: the rest is for daemons that just started and for
/// connections that the searcher has not seen closing.
constexpr double kUsableConnectionShare = 0.8;

/// What a searcher announces of itself. One lifetime of a searcher has one id and one birth.
struct UpstreamEntry {
  std::string id;
  std::string service;
  std::string address;  // "IP:port"
  std::string failure_domain;
  unsigned slots = 1;
  bool draining = false;
  Duration cold_remaining{};        // for so long after the entry was written
  std::uint64_t start_unix_ms = 0;  // Unix time of the start
  std::uint64_t sequence = 0;       // counts the entries of one lifetime

  friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

/// A request as it is sent to searchers, without the fields that differ between them.
struct UpstreamRequest {
  std::string head;  // request line and fields, without the final empty line
  std::string body;
  std::string request_id;
  std::uint64_t fingerprint = 0;
  bool idempotent = false;
  bool is_head = false;
  bool collect_fields = false;  // the answer's fields are passed on
};

enum class ExchangeOutcome {
  kAnswered,   // a whole response that carries the request's id
  kNotSent,    // not a byte was sent: the searcher can't have run it
  kLost,       // sent, and the connection ended or went silent: it may have run
  kMalformed,  // sent, and the response is no whole response in the protocol: it may have run
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

/// One request at one searcher.
class UpstreamExchange {
 public:
  std::shared_ptr<const UpstreamRequest> request;
  std::weak_ptr<ExchangeHandler> handler;  // expired or reset: the outcome only updates what is known of the searcher
  std::size_t part_index = 0;              // of the owner
  std::shared_ptr<UpstreamLink> link;
  TimePoint deadline;           // the searcher stops work then
  Duration expected_latency{};  // usual latency of such a request
  TimePoint sent_at{};
  TimePoint give_up_at{};  // when the connection of an unanswered request is closed
  bool sent = false;
  bool done = false;
  // Of the owner, for traces.
  SendReason send_reason = SendReason::kFirst;
  ExchangeOutcome outcome = ExchangeOutcome::kNotSent;  // valid once ended_at is set
  int answer_status = 0;                                // 0 without an answer
  TimePoint queued_at{};
  TimePoint ended_at{};  // unset while the owner waits for it, and when the owner gave it up
};
using UpstreamExchangePtr = std::shared_ptr<UpstreamExchange>;

/// What all links of a daemon share.
struct LinkContext {
  EventLoop& loop;
  Metrics& metrics;
  const FieldNames& names;
  std::string failure_domain;
  // A searcher crashed while it ran the request.
  std::function<void(const UpstreamRequest&)> on_crash = [](const UpstreamRequest&) {};
  MessageLimits response_limits{.head_bytes = 64 * 1024, .body_bytes = std::uint64_t{8} * 1024 * 1024};
};

class UpstreamConnection;

class UpstreamLink : public std::enable_shared_from_this<UpstreamLink> {
 public:
  UpstreamLink(LinkContext& context, UpstreamEntry entry);
  ~UpstreamLink();
  UpstreamLink(const UpstreamLink&) = delete;
  UpstreamLink& operator=(const UpstreamLink&) = delete;

  [[nodiscard]] const UpstreamEntry& entry() const { return entry_; }
  void Update(UpstreamEntry entry, TimePoint now);

  /// Sends now over a kept connection, or when one becomes free.
  void Send(const UpstreamExchangePtr& exchange);

  /// The owner no longer needs the answer. An unsent request is dropped; a sent one may use its connection until
  /// `give_up_at`, since closing it costs a new connection.
  void Cancel(const UpstreamExchangePtr& exchange, TimePoint give_up_at);

  /// No new requests: closes idle connections and returns what waits as kNotSent. Running requests go on.
  void Retire();

  /// Ends everything without telling the owners of requests. Without it a link whose requests still run is never
  /// destroyed, because they refer to it.
  void Close();

  /// Ends connections and requests whose time is over.
  void Sweep(TimePoint now);

  /// The searcher said that it is not the expected one: it gets nothing until its entry changes.
  void MarkMisdirected() { misdirected_ = true; }

  /// Its entry is gone, which may be the store's loss and not the searcher's end: used only when there is no other.
  void SetEntryMissing(bool missing) { doubtful_ = missing; }

  [[nodiscard]] bool usable() const { return !retired_ && !misdirected_ && !entry_.draining; }
  [[nodiscard]] bool misdirected() const { return misdirected_; }
  [[nodiscard]] bool entry_missing() const { return doubtful_; }
  [[nodiscard]] bool cold(TimePoint now) const { return now < cold_until_; }
  void SetColdFor(Duration left, TimePoint now) { cold_until_ = now + left; }
  [[nodiscard]] UpstreamCandidate MakeCandidate(TimePoint now) const;
  [[nodiscard]] bool busy() const { return !connections_.empty() || !waiting_.empty(); }

  UpstreamSignals signals;
  ColdRateLimiter cold_allowance;
  unsigned max_connections = 1;  // of the service, from all daemons together
  std::size_t sender_count = 1;  // daemons that share them
  bool in_subset = true;         // this daemon is one of them

 private:
  friend class UpstreamConnection;
  [[nodiscard]] std::size_t ConnectionLimit() const;
  void OpenConnection();
  /// Gives waiting requests to idle connections and opens more while the limit allows.
  void Pump();
  void Finish(const UpstreamExchangePtr& exchange, ExchangeOutcome outcome, ResponseMessage response);
  void FailWaiting();
  void Drop(UpstreamConnection* connection);
  /// A request was lost without a byte of an answer: connects at once, because a refused connection tells a crash.
  void SuspectCrash(const UpstreamExchangePtr& exchange);
  void OnConnectFailed(UpstreamConnection* connection);
  /// Reports the requests that were lost just before a connection was refused.
  void ReportCrash();

  LinkContext& context_;
  UpstreamEntry entry_;
  std::vector<std::unique_ptr<UpstreamConnection>> connections_;  // the most recently used idle one is last
  std::deque<UpstreamExchangePtr> waiting_;                       // not sent yet
  std::vector<std::pair<TimePoint, std::shared_ptr<const UpstreamRequest>>> suspects_;  // lost lately
  std::vector<UpstreamExchangePtr> unanswered_;                                         // sent, oldest first
  TimePoint cold_until_{};
  bool retired_ = false;
  bool misdirected_ = false;
  bool doubtful_ = false;
};

}  // namespace pimentomoor
