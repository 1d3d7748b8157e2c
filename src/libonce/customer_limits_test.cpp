// Tests of customers' credits, compared with one token bucket that sees all queries.
#include "pimentomoor/customer_limits.h"

#include <cstdlib>
#include <random>

#include "property.h"
#include "timeline.h"

// clang-format off: CppUTest's macros for new and delete must follow all other headers.
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;

// A single token bucket for all queries of the customer. A query beyond its level makes the level negative.
struct NaiveBucket {
  double rate = 0;
  double capacity = 0;
  double level = 0;
  TimePoint last_spent_at;

  void SpendCredit(TimePoint now) {
    level = std::min(capacity, level + rate * std::chrono::duration<double>(now - last_spent_at).count());
    last_spent_at = now;
    level -= 1;
  }
};

struct Event {
  std::size_t entry = 0;
  int wait_ms = 0;
};

// Simulates the entries and the homes of one customer, with message delays and homes that die and are replaced.
class CreditHistory : public Timeline {
 public:
  CreditHistory(std::uint32_t seed, std::size_t entries, CustomerLimits limits)
      : random_(seed), limits_(limits), entries_(entries), open_request_ids_(entries), incarnations_(entries) {
    for (std::uint64_t& id : incarnations_) {
      id = next_incarnation_++;
    }
    const double excess = limits.queries_per_second * 0.2 + static_cast<double>(entries);
    naive_bucket_ = {.rate = limits.queries_per_second,
                     .capacity = limits.burst + excess,
                     .level = limits.burst + excess,
                     .last_spent_at = now_};
  }

  int Pick(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }

  void Query(std::size_t e) {
    ++query_count_;
    CountDemand(entries_[e], options_, now_);
    RequestCredits(e, !SpendCredit(e));
  }

  // Replaces the home by one with a full bucket. Entries with a request at the old home notice by their timeout.
  void ReplaceHome() {
    home_ = CreditHomeState();
    ++home_incarnation_;
    home_alive_ = true;
    naive_bucket_.capacity += limits_.burst;
    naive_bucket_.level += limits_.burst;
  }
  void KillHome() { home_alive_ = false; }

  // Replaces an entry that dies by another incarnation. Upstreams finish the queries of the dead one.
  void ReplaceEntry(std::size_t e) {
    entries_[e] = EntryCredits();
    open_request_ids_[e] = 0;
    incarnations_[e] = next_incarnation_++;
  }

  // Returns the concurrency that the home grants to a new entry which requests the whole plan.
  std::uint32_t FreeSlots() {
    const EntryCreditRequest request{
        .entry_incarnation = next_incarnation_++, .request_id = ++last_request_id_, .wanted = limits_.concurrency};
    return GrantCredits(home_, options_, now_, "c", limits_, request).concurrency;
  }

  int longest_query_ms = 100;
  int max_message_delay_ms = 20;  // per message
  int lost_request_percent = 0;   // of requests to the home

  [[nodiscard]] double lowest_naive_level() const { return lowest_naive_level_; }
  [[nodiscard]] int allowed_count() const { return allowed_count_; }
  [[nodiscard]] int query_count() const { return query_count_; }
  [[nodiscard]] std::uint32_t max_running() const { return max_running_; }

 private:
  bool SpendCredit(std::size_t e) {
    const auto members = static_cast<std::uint32_t>(entries_.size());
    if (TrySpendCredit(entries_[e], limits_, members, now_) != SpendResult::kAllowed) {
      return false;
    }
    naive_bucket_.SpendCredit(now_);
    lowest_naive_level_ = std::min(lowest_naive_level_, naive_bucket_.level);
    ++allowed_count_;
    max_running_ = std::max(max_running_, ++running_);
    ScheduleAt(now_ + milliseconds(Pick(longest_query_ms)), [this, e, id = incarnations_[e]] {
      --running_;
      entries_[e].running -= incarnations_[e] == id ? 1 : 0;
    });
    return true;
  }

  void RequestCredits(std::size_t e, bool waits) {
    const std::uint32_t wanted = CreditsToRequest(entries_[e], options_, now_, waits ? 1 : 0);
    if (open_request_ids_[e] != 0 || wanted == 0) {
      return;
    }
    const EntryCreditRequest request{.entry_incarnation = incarnations_[e],
                                     .request_id = ++last_request_id_,
                                     .wanted = wanted,
                                     .running = entries_[e].running};
    open_request_ids_[e] = request.request_id;
    const TimePoint sent = now_;
    const std::uint64_t incarnation = home_incarnation_;
    if (!home_alive_) {
      ScheduleAt(now_ + options_.home_timeout, [=, this] { TimeOutRequest(e, request.request_id, waits); });
      return;
    }
    if (lost_request_percent > 0) {
      ScheduleAt(now_ + options_.home_timeout, [=, this] { TimeOutRequest(e, request.request_id, waits); });
    }
    for (int copies = Pick(100) < lost_request_percent ? 0 : 1 + Pick(2); copies > 0; --copies) {
      ScheduleAt(now_ + milliseconds(Pick(max_message_delay_ms)),
                 [=, this] { ReceiveAtHome(e, request, sent, incarnation, waits); });
    }
  }

  void ReceiveAtHome(std::size_t e, const EntryCreditRequest& request, TimePoint sent, std::uint64_t incarnation,
                     bool waits) {
    if (!home_alive_ || incarnation != home_incarnation_) {
      ScheduleAt(sent + options_.home_timeout, [=, this] { TimeOutRequest(e, request.request_id, waits); });
      return;
    }
    const CreditGrant grant = GrantCredits(home_, options_, now_, "c", limits_, request);
    ScheduleAt(now_ + milliseconds(Pick(max_message_delay_ms)), [=, this] {
      if (open_request_ids_[e] != request.request_id) {
        return;
      }
      open_request_ids_[e] = 0;
      ApplyGrant(entries_[e], options_, now_, sent, grant);
      if (waits) {
        (void)SpendCredit(e);
      }
    });
  }

  void TimeOutRequest(std::size_t e, std::uint64_t request_id, bool waits) {
    if (open_request_ids_[e] != request_id) {
      return;
    }
    open_request_ids_[e] = 0;
    StartFallback(entries_[e], limits_, static_cast<std::uint32_t>(entries_.size()), now_);
    entries_[e].next_request_at = now_ + options_.grant_validity;
    if (waits) {
      (void)SpendCredit(e);
    }
  }

  std::mt19937 random_;
  CreditOptions options_;
  CustomerLimits limits_;
  CreditHomeState home_;
  bool home_alive_ = true;
  std::uint64_t home_incarnation_ = 1;
  std::vector<EntryCredits> entries_;
  std::vector<std::uint64_t> open_request_ids_;  // by entry: the request without a reply; 0 for none
  std::vector<std::uint64_t> incarnations_;      // by entry
  std::uint64_t next_incarnation_ = 1;
  std::uint32_t running_ = 0;  // queries at upstreams, those of dead entries included
  std::uint64_t last_request_id_ = 0;
  NaiveBucket naive_bucket_;
  double lowest_naive_level_ = 0;
  int query_count_ = 0;
  int allowed_count_ = 0;
  std::uint32_t max_running_ = 0;
};

}  // namespace

TEST_GROUP(CustomerLimits) {
  CreditOptions options;
  CreditHomeState home;
  TimePoint now{std::chrono::hours(1)};

  CreditGrant Grant(const CustomerLimits& limits, const EntryCreditRequest& request) {
    return GrantCredits(home, options, now, "c", limits, request);
  }
};

// Guards against entries that together exceed the rate of the plan, in steady state and when the home is replaced.
TEST(CustomerLimits, SumStaysWithinThePlan) {
  CHECK(CheckProperty(500, "naive bucket never below zero", [](std::uint32_t seed) {
    const CustomerLimits limits{.queries_per_second = static_cast<double>(*rc::gen::element(1, 20, 300)),
                                .burst = *rc::gen::element<std::uint32_t>(1, 10, 60),
                                .concurrency = 1000};
    const auto entries = *rc::gen::inRange<std::size_t>(1, 7);
    CreditHistory history(seed, entries, limits);
    for (int i = 0; i < 600; ++i) {
      history.Query(history.Pick(static_cast<int>(entries)));
      history.Advance(milliseconds(history.Pick(50) == 0 ? history.Pick(3000) : history.Pick(10)));
      if (history.Pick(150) == 0) {
        history.KillHome();
        history.Advance(milliseconds(history.Pick(700)));
      } else if (history.Pick(100) == 0) {
        history.ReplaceHome();
      }
    }
    RC_ASSERT(history.lowest_naive_level() >= 0);
  }));
}

// Guards against limits that refuse most of what the plan allows.
TEST(CustomerLimits, MostOfThePlanIsUsable) {
  CHECK(CheckProperty(100, "usable", [](std::uint32_t seed) {
    const CustomerLimits limits{.queries_per_second = 200, .burst = 40, .concurrency = 1000};
    CreditHistory history(seed, 4, limits);
    // Sends four times the rate of the plan for ten seconds, most of it at one entry.
    for (int i = 0; i < 8000; ++i) {
      history.Query(history.Pick(3) == 0 ? history.Pick(4) : 0);
      history.Advance(std::chrono::microseconds(1250));
    }
    RC_ASSERT(history.allowed_count() >= 1800);
    RC_ASSERT(history.allowed_count() <= 2040 + 4);
  }));
}

// Guards against entries that together run more queries at once than the plan allows.
TEST(CustomerLimits, ConcurrencyStaysWithinThePlan) {
  CHECK(CheckProperty(100, "concurrency", [](std::uint32_t seed) {
    const CustomerLimits limits{
        .queries_per_second = 1000, .burst = 1000, .concurrency = *rc::gen::element<std::uint32_t>(1, 5, 30)};
    CreditHistory history(seed, 4, limits);
    history.longest_query_ms = 2000;
    // Demand moves between entries, so that entries without demand still run queries while others request their
    // slots.
    for (int phase = 0; phase < 20; ++phase) {
      const int entry = history.Pick(4);
      for (int i = history.Pick(60); i > 0; --i) {
        history.Query(history.Pick(8) == 0 ? history.Pick(4) : entry);
        history.Advance(milliseconds(history.Pick(10)));
      }
      history.Advance(milliseconds(history.Pick(800)));
    }
    RC_ASSERT(history.max_running() <= limits.concurrency);
    RC_ASSERT(history.allowed_count() > 0);
  }));
}

// Guards against concurrency slots that are granted twice while demand moves between entries, messages are late,
// duplicated and lost, and entries die and are replaced; and against slots of dead entries that stay reserved. While
// all entries reach the home in time the concurrency of the plan is never exceeded. An entry in fallback adds its
// share of the plan.
TEST(CustomerLimits, ConcurrencyHoldsOverLateAndLostMessagesAndDeadEntries) {
  CHECK(CheckProperty(300, "concurrency", [](std::uint32_t seed) {
    constexpr std::uint32_t kEntries = 4;
    const CustomerLimits limits{
        .queries_per_second = 2000, .burst = 1000, .concurrency = *rc::gen::element<std::uint32_t>(1, 5, 40)};
    CreditHistory history(seed, kEntries, limits);
    history.longest_query_ms = *rc::gen::element(150, 2000);
    history.max_message_delay_ms = 50;
    history.lost_request_percent = *rc::gen::element(0, 0, 20);
    std::uint32_t replaced = 0;
    for (int phase = 0; phase < 20; ++phase) {
      // Queries arrive at one entry, then at another that takes the slots which the home considers free.
      const int first = history.Pick(kEntries);
      const int second = history.Pick(kEntries);
      for (int i = 0; i < 60; ++i) {
        // Bursts also start queries between a request and its reply, under the previous grant.
        for (int burst = history.Pick(12) == 0 ? 25 : 1; burst > 0; --burst) {
          history.Query(i < 30 ? first : second);
        }
        history.Advance(milliseconds(history.Pick(12)));
      }
      if (history.Pick(4) == 0) {
        history.ReplaceEntry(history.Pick(2) == 0 ? first : second);
        ++replaced;
      }
      history.Advance(milliseconds(history.Pick(3) == 0 ? history.Pick(2'500) : history.Pick(300)));
    }
    const std::uint32_t share = std::max<std::uint32_t>(1, limits.concurrency / kEntries);
    const std::uint32_t overshoot = history.lost_request_percent == 0 ? 0 : (kEntries + replaced) * share;
    RC_ASSERT(history.max_running() <= limits.concurrency + overshoot);
    RC_ASSERT(history.max_running() == limits.concurrency || history.lost_request_percent > 0 ||
              limits.concurrency == 40);
    history.Advance(std::chrono::milliseconds(200 + 100 + 2'000 + 2 * 50));
    RC_ASSERT(history.FreeSlots() == limits.concurrency);
  }));
}

// Guards against concurrency slots that are granted again while an entry may still take them under an earlier grant,
// or while it runs more queries than it was granted, as after a fallback.
TEST(CustomerLimits, EarlierGrantsAndReportedQueriesStayReserved) {
  const CustomerLimits limits{.queries_per_second = 100, .burst = 100, .concurrency = 10};
  LONGS_EQUAL(7, Grant(limits, {.entry_incarnation = 1, .request_id = 1, .wanted = 7}).concurrency);
  now += options.grant_validity + options.home_timeout - milliseconds(1);
  LONGS_EQUAL(1, Grant(limits, {.entry_incarnation = 1, .request_id = 2, .wanted = 1}).concurrency);
  LONGS_EQUAL(3, Grant(limits, {.entry_incarnation = 2, .request_id = 1, .wanted = 10}).concurrency);
  now += milliseconds(1);
  LONGS_EQUAL(1, Grant(limits, {.entry_incarnation = 1, .request_id = 3, .wanted = 1}).concurrency);
  LONGS_EQUAL(9, Grant(limits, {.entry_incarnation = 2, .request_id = 2, .wanted = 10}).concurrency);
  LONGS_EQUAL(1, Grant(limits, {.entry_incarnation = 1, .request_id = 4, .wanted = 1, .running = 6}).concurrency);
  now += options.grant_validity + options.home_timeout;
  LONGS_EQUAL(4, Grant(limits, {.entry_incarnation = 2, .request_id = 3, .wanted = 10}).concurrency);
}

// Guards against a repeated request that takes credits twice.
TEST(CustomerLimits, RepeatedRequestGetsTheSameGrant) {
  const CustomerLimits limits{.queries_per_second = 0, .burst = 10, .concurrency = 10};
  LONGS_EQUAL(4, Grant(limits, {.entry_incarnation = 1, .request_id = 2, .wanted = 4}).credits);
  LONGS_EQUAL(4, Grant(limits, {.entry_incarnation = 1, .request_id = 2, .wanted = 4}).credits);
  LONGS_EQUAL(0, Grant(limits, {.entry_incarnation = 1, .request_id = 1, .wanted = 4}).credits);
  LONGS_EQUAL(6, Grant(limits, {.entry_incarnation = 1, .request_id = 3, .wanted = 8}).credits);
}

// Guards against a slow rate whose bucket is divided into less than one credit for each entry, so that none gets any.
TEST(CustomerLimits, SlowPlanStillGrantsSingleCredits) {
  const CustomerLimits limits{.queries_per_second = 1, .burst = 1, .concurrency = 10};
  for (std::uint64_t entry = 1; entry <= 6; ++entry) {
    LONGS_EQUAL(1, Grant(limits, {.entry_incarnation = entry, .request_id = 1, .wanted = 1}).credits);
    LONGS_EQUAL(0, Grant(limits, {.entry_incarnation = entry, .request_id = 2, .wanted = 1}).credits);
    now += std::chrono::seconds(1);
  }
}

// Guards against credits that stay valid for longer after a delayed reply, and against a table of customers that
// grows beyond its limit or never frees idle customers.
TEST(CustomerLimits, CreditsExpireAndTablesAreBounded) {
  const CustomerLimits limits{.queries_per_second = 1, .burst = 5, .concurrency = 5};
  EntryCredits entry;
  ApplyGrant(entry, options, now + options.grant_validity, now, {.credits = 5, .concurrency = 5});
  CHECK(TrySpendCredit(entry, limits, 1, now + options.grant_validity) == SpendResult::kNoCredit);

  options.max_customers = 1;
  const EntryCreditRequest request{.entry_incarnation = 1, .request_id = 1, .wanted = 1};
  LONGS_EQUAL(1, GrantCredits(home, options, now, "a", limits, request).credits);
  LONGS_EQUAL(0, GrantCredits(home, options, now, "b", limits, request).credits);
  now += std::chrono::seconds(10);
  LONGS_EQUAL(1, GrantCredits(home, options, now, "b", limits, request).credits);
}

}  // namespace pimentomoor
