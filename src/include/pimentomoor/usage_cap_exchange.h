// Usage caps at one daemon: as the entry of its own requests, and as the home of the customers for which it ranks
// first. Does no I/O and reads no clock: the caller passes the time and sends the returned messages, which may be
// lost, late, repeated and reordered.
//
// An entry admits a request with a credit that it holds, and otherwise asks the customer's home for one while the
// request waits. Credits of a grant end GrantValidity() after their ask was sent. Credits in the stock have no
// expiry: they let a first request pass at once, also while the home is gone, and their sum over all daemons is
// bounded. A process begins without stock, so a restart spends none twice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pimentomoor/usage_cap.h"

namespace pimentomoor {

/// One message to another daemon. It is dropped unless the receiver has the incarnation that it names.
struct UsageMessage {
  std::string sender_address;
  std::uint64_t sender_incarnation = 0;
  std::string receiver_address;
  std::uint64_t receiver_incarnation = 0;
  Duration validity{};  // of the grants, from when their asks were sent
  std::vector<UsageAsk> asks;
  std::vector<UsageGrant> grants;

  friend bool operator==(const UsageMessage&, const UsageMessage&) = default;
};

enum class UsageVerdict { kAdmit, kWait, kRefuse };

struct UsageDecision {
  UsageVerdict verdict = UsageVerdict::kAdmit;
  Duration retry_after{};         // of a refusal
  bool home_unavailable = false;  // the request was refused because no home grants, and not for the cap

  friend bool operator==(const UsageDecision&, const UsageDecision&) = default;
};

/// Decision on a request that waited.
struct UsageResult {
  std::uint64_t ticket = 0;
  std::uint64_t customer = 0;
  UsageDecision decision;
};

class UsageCapExchange {
 public:
  UsageCapExchange(UsageMember self, TimePoint now, UsageCapOptions options = {});

  void SetSettings(const UsageCapSettings& settings) { settings_ = settings; }
  /// Sets the caps by CustomerKey(). Customers without a cap may be left out.
  void SetCaps(std::unordered_map<std::uint64_t, UsageCap> caps);
  /// Sets the other daemons that are alive, and whether this one is ready. Call when either changes.
  void SetMembers(const std::vector<UsageMember>& peers, bool ready, TimePoint now);
  /// Sets the number of daemons heard of within member_retention, this one included (0: unknown), and the last time
  /// at which another daemon answered this one. Call at least every 100 ms.
  void SetContact(std::size_t counted, TimePoint heard_at, TimePoint now);

  /// Decides on one request. After kWait, a later TakeResults() holds the decision, at most `max_wait` from now plus
  /// the time between calls of TakeMessages().
  UsageDecision Request(std::uint64_t customer, std::uint64_t ticket, Duration max_wait, TimePoint now);
  void Receive(const UsageMessage& message, TimePoint now);

  /// Returns the messages that are due, at most one batch per receiver of kMaxItems asks and grants each, and ends
  /// the waiting of requests whose time is up. Call at the end of each turn that called Request() or Receive(), and
  /// at next_due().
  std::vector<UsageMessage> TakeMessages(TimePoint now);
  std::vector<UsageResult> TakeResults() { return std::exchange(results_, {}); }
  /// Time at which TakeMessages() has something to do without further input; TimePoint::max() when nothing waits.
  [[nodiscard]] TimePoint next_due() const { return next_due_; }

  /// Whether any customer has a cap.
  [[nodiscard]] bool enabled() const { return settings_.window > Duration::zero() && !caps_.empty(); }
  /// Asks sent and asks answered as a home, credits asked, received and granted. All numbers only grow.
  struct Totals {
    std::uint64_t asks_sent = 0;
    std::uint64_t asks_repeated = 0;
    std::uint64_t asks_unanswered = 0;
    std::uint64_t credits_asked = 0;
    std::uint64_t credits_received = 0;
    std::uint64_t credits_granted = 0;
  };
  [[nodiscard]] const Totals& totals() const { return totals_; }

  static constexpr std::size_t kMaxItems = 40;  // asks and grants of one message, so that it fits into one packet

 private:
  struct WaitingRequest {
    std::uint64_t ticket = 0;
    TimePoint deadline;
  };
  /// An ask without an answer.
  struct OpenAsk {
    UsageAsk ask;
    std::string home_address;
    std::uint64_t home_incarnation = 0;
    TimePoint sent_at;  // when it was sent first
    TimePoint next_send_at;
    Duration resend_delay{};
  };
  /// One customer at this daemon as an entry.
  struct Entry {
    std::uint32_t stock = 0;    // credits without an expiry, at most stock_limit_
    std::uint32_t credits = 0;  // credits of the last grants until credits_expire_at
    TimePoint credits_expire_at{};
    std::deque<WaitingRequest> waiting;
    std::optional<OpenAsk> open;
    bool wants_stock = false;  // a request took from the stock since the last ask
    std::uint32_t unreported_refusals = 0;
    TimePoint blocked_until{};  // requests are refused without a question until then
    TimePoint next_slot_at{};   // time that the next refusal names
    Duration slot_spacing{};
    TimePoint home_silent_since{};  // time of the first ask without an answer since the last answer
  };
  /// One customer at this daemon as its home.
  struct Home {
    struct Answer {
      std::uint64_t entry_incarnation = 0;
      UsageGrant grant;
      TimePoint at;
    };
    UsageBucket bucket;
    UsageShare share;  // at the last answer
    TimePoint opens_at;
    std::deque<Answer>
        answers;  // last answer to each entry within the validity of grants; repeated asks get it again
  };

  /// Notices a freeze and updates live_for_shares_. Called first in every call that passes the time.
  void NoteTime(TimePoint now);
  [[nodiscard]] const UsageMember* FindHome(std::uint64_t customer) const;
  /// Adds the number of live daemons at `now` to live_history_.
  void RecordLive(TimePoint now);
  /// Credits without an expiry that this daemon may hold of each customer.
  [[nodiscard]] std::uint32_t StockLimitNow(TimePoint now) const {
    return now - started_ < options_.settle_time ? 0 : stock_limit_;
  }
  /// The bucket of a customer for which this daemon has just become the home, or has been without requests.
  [[nodiscard]] Home OpenHome(const UsageShare& share) const;
  bool TakeCredit(Entry& entry, TimePoint now);
  UsageGrant Answer(const UsageAsk& ask, std::uint64_t entry_incarnation, TimePoint now);
  /// `validity` counts from when the open ask was sent.
  void ApplyGrant(Entry& entry, const UsageGrant& grant, Duration validity, TimePoint now);
  /// Decides on those that wait as far as credits reach.
  void AdmitWaiting(std::uint64_t customer, Entry& entry, TimePoint now);
  /// Refuses the requests that wait longest, `count` of them.
  void RefuseWaiting(std::uint64_t customer, Entry& entry, std::size_t count, TimePoint now);
  /// Refusal with the time of the next free token that no refused request was told of.
  [[nodiscard]] UsageDecision RefuseUntilNextSlot(Entry& entry, TimePoint now);
  /// Refusal while the home doesn't answer.
  [[nodiscard]] UsageDecision RefuseForSilence(const Entry& entry, TimePoint now);
  void EndExpired(std::uint64_t customer, Entry& entry, TimePoint now);
  /// Sends an ask when one is due. Returns the time of the next step for this customer.
  TimePoint Step(std::uint64_t customer, Entry& entry, TimePoint now);
  void Ask(std::uint64_t customer, Entry& entry, TimePoint now);
  UsageMessage& MessageTo(const std::string& address, std::uint64_t incarnation, std::size_t asks,
                          std::size_t grants);
  [[nodiscard]] double NextSpread();

  UsageMember self_;
  UsageCapOptions options_;
  UsageCapSettings settings_;
  std::unordered_map<std::uint64_t, UsageCap> caps_;
  std::vector<UsageMember> homes_;             // the ready daemons, this one included
  std::vector<std::uint64_t> home_keys_;       // MemberKey() of each of homes_
  std::map<std::string, UsageMember> recent_;  // all other daemons heard of within member_retention, by address
  std::map<std::string, TimePoint> left_at_;   // of those in recent_ that are not alive
  std::size_t counted_ = 0;
  TimePoint heard_at_{};
  std::size_t live_ = 1;  // daemons alive, this one included
  // Numbers of live daemons, each from a time on, in rising order. The first is the lowest within settle_time: a
  // share falls at once and rises only after settle_time.
  std::deque<std::pair<TimePoint, std::size_t>> live_history_;
  std::size_t live_for_shares_ = 1;
  TimePoint share_risen_at_;       // time until which the share was lower by more than a tenth
  std::uint32_t stock_limit_ = 0;  // from the members; see StockLimitNow()
  TimePoint started_;
  TimePoint base_;       // time since which this daemon may have become home of any customer
  TimePoint last_time_;  // time of the last call
  std::unordered_map<std::uint64_t, Entry> entries_;
  std::unordered_map<std::uint64_t, Home> home_customers_;
  std::set<std::uint64_t> pending_;  // customers with something that waits or is due
  std::vector<UsageMessage> outbox_;
  std::vector<UsageResult> results_;
  std::uint64_t next_ask_id_ = 1;
  std::uint32_t spread_ = 0;  // position in a sequence that spreads evenly over (0, 1)
  TimePoint next_due_ = TimePoint::max();
  Totals totals_;
};

}  // namespace pimentomoor
