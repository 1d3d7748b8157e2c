// Limits per customer on the rate and the concurrency of queries. One member of the cell, the customer's home, grants
// them as credits to the entries, the daemons that receive the customer's queries.
//
// The home keeps the customer's only token bucket, so all credits ever granted stay within burst + rate * time. An
// entry spends granted credits without asking for 200 ms. This time counts from when the entry sent the request, so
// that a delayed reply is not valid for longer. A home that starts or resumes begins with at most one full burst. An
// entry that gets no reply falls back to a bucket of its own with 1/N of the rate, N being the number of members,
// that starts with one credit. In every interval of t seconds the entries together therefore start at most burst +
// rate * (t + 0.2) queries, plus one query per entry and one burst when the home changes. The bound does not hold
// while some entries reach the home and others do not: each entry that does not adds 1/N of the rate.
//
// The concurrency is divided in the same way: the home reserves for each entry the slots that the entry may still
// use. The reservation is exact while messages take less than CreditOptions::home_timeout.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "peer.pb.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/metrics.h"

namespace pimentomoor {

/// Limits of one customer's plan.
struct CustomerLimits {
  double queries_per_second = 0;
  std::uint32_t burst = 1;  // credits that an idle customer accumulates; 0 counts as 1
  std::uint32_t concurrency = 1;
  friend bool operator==(const CustomerLimits&, const CustomerLimits&) = default;
};

struct CreditOptions {
  proto::Daemon self;
  Duration grant_validity = std::chrono::milliseconds(200);           // of a grant, from when its request was sent
  Duration home_timeout = std::chrono::milliseconds(100);             // without a reply the entry then falls back
  Duration limited_request_interval = std::chrono::milliseconds(20);  // after a grant of less than was requested
  Duration max_query_duration = std::chrono::seconds(2);  // the home assumes for queries of a silent entry
  std::size_t max_customers = 10'000;                     // at the entry, and as many at the home
  std::size_t max_waiting_queries = 1'000;                // of one customer, for a reply of the home
};

/// A token bucket whose tokens are credits.
struct CreditBucket {
  double level = 0;
  TimePoint refilled_at;
};

/// Adds the credits for the time since the last refill, up to `burst`.
void Refill(CreditBucket& bucket, double rate, double burst, TimePoint now);

// --- home ---

/// What the home grants to one entry for CreditOptions::grant_validity.
struct CreditGrant {
  std::uint32_t credits = 0;
  std::uint32_t concurrency = 0;  // queries that the entry may run at once
};

/// Credits of all customers for which this member is the home.
struct CreditHomeState {
  struct ConcurrencyGrant {
    TimePoint granted_at;
    std::uint32_t concurrency = 0;
  };
  struct EntryState {
    std::uint32_t wanted = 0;   // credits in the last request
    std::uint32_t running = 0;  // running queries in the last request
    TimePoint last_request_at;
    std::uint64_t last_request_id = 0;
    CreditGrant last_grant;                           // sent again when the request is repeated
    std::deque<ConcurrencyGrant> concurrency_grants;  // the entry may use them or run queries under them
  };
  struct Customer {
    CustomerLimits limits;
    CreditBucket bucket;
    std::map<std::uint64_t, EntryState> entries;  // by incarnation
  };
  std::unordered_map<std::string, Customer> customers;
};

/// Request of one entry for credits of one customer.
struct EntryCreditRequest {
  std::uint64_t entry_incarnation = 0;
  std::uint64_t request_id = 0;  // increases with each new request of the entry
  std::uint32_t wanted = 0;      // credits
  std::uint32_t running = 0;     // queries running at the entry
};

/// Grants credits and concurrency to an entry. A repetition of its last request gets the same grant again, and an
/// older request gets nothing.
[[nodiscard]] CreditGrant GrantCredits(CreditHomeState& home, const CreditOptions& options, TimePoint now,
                                       const std::string& customer, const CustomerLimits& limits,
                                       const EntryCreditRequest& request);

// --- entry ---

/// Credits of one customer at one entry.
struct EntryCredits {
  std::uint32_t credits = 0;      // unspent ones of the last grant
  std::uint32_t concurrency = 0;  // of the last grant
  TimePoint expiry;               // of credits and concurrency
  // Unspent credits of the grant before the last one. They keep their own expiry, so that all credits held at any
  // time were granted within the last CreditOptions::grant_validity.
  std::uint32_t previous_credits = 0;
  TimePoint previous_expiry;
  std::uint32_t running = 0;                 // queries of the customer at this entry
  bool in_fallback = false;                  // the home does not answer
  CreditBucket fallback_bucket{.level = 1};  // not reset between fallbacks, or each would start with a credit
  std::uint32_t fallback_concurrency = 0;
  // Queries in the current and the previous demand period, each of which lasts CreditOptions::grant_validity.
  TimePoint demand_period_start;
  std::uint32_t demand = 0;
  std::uint32_t previous_demand = 0;
  TimePoint next_request_at;  // time before which no request is sent
};

enum class SpendResult { kAllowed, kNoCredit, kNoConcurrency };

/// Counts a query as demand, from which CreditsToRequest() estimates the next period.
void CountDemand(EntryCredits& entry, const CreditOptions& options, TimePoint now);

/// Spends one credit and takes one concurrency slot if the entry has both. `member_count` divides the plan in
/// fallback.
[[nodiscard]] SpendResult TrySpendCredit(EntryCredits& entry, const CustomerLimits& limits,
                                         std::uint32_t member_count, TimePoint now);

/// Returns how many credits to request, beyond those held, when `waiting` queries wait for credits. 0 means that no
/// request is due.
[[nodiscard]] std::uint32_t CreditsToRequest(const EntryCredits& entry, const CreditOptions& options, TimePoint now,
                                             std::uint32_t waiting);

/// Adds the grant that answers a request sent at `sent`. Unspent credits that are still valid are kept.
void ApplyGrant(EntryCredits& entry, const CreditOptions& options, TimePoint now, TimePoint sent,
                const CreditGrant& grant);

/// Makes the entry use 1/member_count of the plan, because the home does not answer.
void StartFallback(EntryCredits& entry, const CustomerLimits& limits, std::uint32_t member_count, TimePoint now);

/// Enforces the limits of customers at one daemon on the event loop: as the entry of its own queries, and as the home
/// of the customers for which it ranks first.
class CustomerLimitsTask {
 public:
  using Send = std::function<bool(const std::string& peer_address, const proto::Envelope&)>;
  using FindHome = std::function<std::optional<proto::Daemon>(const std::string& customer)>;
  /// Returns the number of live members of the cell, this daemon included.
  using CountMembers = std::function<std::size_t()>;
  /// Returns the limits of a customer's plan, which this daemon needs as the customer's home.
  using FindLimits = std::function<std::optional<CustomerLimits>(const std::string& customer)>;
  using Done = std::function<void(bool allowed, std::string reason)>;

  /// `loop` and `metrics` must outlive the task.
  CustomerLimitsTask(EventLoop& loop, CreditOptions options, Send send, FindHome find_home,
                     CountMembers count_members, FindLimits find_limits, Metrics& metrics);
  ~CustomerLimitsTask();
  CustomerLimitsTask(const CustomerLimitsTask&) = delete;
  CustomerLimitsTask& operator=(const CustomerLimitsTask&) = delete;

  /// Asks whether a query may run. `done` is called once: before Acquire() returns when the entry holds credits, and
  /// otherwise when the home has answered or home_timeout has passed. A query that arrives while a request is open
  /// may wait for a second one. Call Release() when an allowed query has ended.
  void Acquire(const std::string& customer, const CustomerLimits& limits, Done done);
  void Release(const std::string& customer);

  /// Handles credit_request and credit_reply, and ignores other messages.
  void HandleMessage(const proto::Envelope& envelope);

 private:
  // Credits, waiting queries and requests of one customer at this entry.
  struct Customer {
    CustomerLimits limits;
    EntryCredits entry;
    std::deque<Done> waiting_queries;
    std::uint64_t open_request_id = 0;    // of the request without a reply; 0 for none
    TimePoint request_sent_at;            // of the last request
    std::uint32_t requested_credits = 0;  // in the last request
    std::uint32_t reported_running = 0;   // queries running at this entry, in the last request
    proto::Daemon home;
    TimerId request_timer = 0;  // sends the open request again
    TimerId report_timer = 0;   // reports the number of running queries
  };

  Customer* FindOrCreate(const std::string& name);
  void RequestCredits(const std::string& name, Customer& customer, std::uint32_t wanted);
  void SendRequest(const std::string& name);
  void OnGrant(const std::string& name, Customer& customer, const CreditGrant& grant);
  void OnHomeUnavailable(const std::string& name, Customer& customer);
  void AnswerWaiting(const std::string& name, Customer& customer, bool limited);
  void AnswerAcquire(const Done& done, SpendResult result, bool fallback);
  void ScheduleReport(const std::string& name, Customer& customer);
  void ReportRunningQueries(const std::string& name);
  void OnRequest(const proto::Envelope& envelope);
  void OnReply(const proto::CreditReply& reply);
  void SendTo(const proto::Daemon& peer, proto::Envelope envelope);
  [[nodiscard]] std::uint32_t MemberCount() const;

  EventLoop& loop_;
  CreditOptions options_;
  Send send_;
  FindHome find_home_;
  CountMembers count_members_;
  FindLimits find_limits_;
  Metrics& metrics_;
  CreditHomeState credit_home_;
  std::unordered_map<std::string, Customer> customers_;
  std::uint64_t next_request_id_ = 1;
  std::shared_ptr<int> alive_ = std::make_shared<int>();  // expires with the task, for callbacks that destroy it
};

}  // namespace pimentomoor
