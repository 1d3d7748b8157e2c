// Caps on the requests of one customer over all daemons: how many a daemon may admit, as free functions over plain
// structs. UsageCapExchange builds the exchange between daemons from them.
//
// Load: customers that send several times their cap for seconds, beside customers within theirs, while daemons end,
// join, freeze and lose contact. In every window, the admitted requests stay within
//
//   (rate x window + burst) x (1 + excess) + slack.
//
// One daemon, the customer's home, keeps a token bucket and grants credits to the daemons that receive the requests.
// Excess and slack are divided among the things that a home can't know: half of the excess for grants that are spent
// up to their validity after the bucket paid for them; UsageCapOptions::stock_share of the slack for credits that
// daemons hold without an expiry; twice partition_share for homes on several sides of a partition; reserve_share for
// the tokens from which such stock is filled. The rest covers the time in which two daemons act as home of a
// customer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Cap of one customer over all daemons together.
struct UsageCap {
  double requests_per_s = 0;  // 0: no cap
  double burst = 0;           // requests beyond the rate that an idle customer may send at once

  friend bool operator==(const UsageCap&, const UsageCap&) = default;
};

/// The bound that caps have to keep, from the deployment's settings.
struct UsageCapSettings {
  Duration window{};  // 0: caps are not enforced
  double excess = 0;  // fraction of the cap by which a window may exceed it
  double slack = 0;   // requests of one customer by which a window may exceed its cap, beside the excess

  friend bool operator==(const UsageCapSettings&, const UsageCapSettings&) = default;
};

/// Largest number of requests that the settings allow in one window.
double MaxRequestsPerWindow(const UsageCap& cap, const UsageCapSettings& settings);

struct UsageCapOptions {
  double stock_share = 0.4;       // of the slack
  double partition_share = 0.15;  // of the slack
  double reserve_share = 0.125;   // of the slack
  // Upper bound of the time for which a grant is valid. Longer than a round trip between failure domains and the lag
  // of a busy event loop.
  Duration max_grant_validity = std::chrono::milliseconds(250);
  // Time for which a daemon that becomes the home of a customer grants nothing. Daemons notice the end of contact at
  // different times, up to this far apart.
  Duration settle_time = std::chrono::milliseconds(2'000);
  // A daemon that did nothing for longer may have been replaced as home in the meantime.
  Duration freeze_gap = std::chrono::milliseconds(1'000);
  // A daemon whose heartbeats have not been answered for longer treats itself as partitioned, because the others may
  // not hear it although it hears them. Covers three heartbeats.
  Duration max_unheard_time = std::chrono::milliseconds(1'300);
  Duration resend_delay = std::chrono::milliseconds(6);      // before the first repetition; doubles with each
  Duration max_block_time = std::chrono::milliseconds(250);  // without a question to the home after a refusal
  Duration retry_horizon = std::chrono::seconds(10);         // no refusal names a later time
  Duration member_retention = std::chrono::minutes(15);      // as long as MemberListOptions::budget_retention

  friend bool operator==(const UsageCapOptions&, const UsageCapOptions&) = default;
};

/// Time for which credits may be spent, from when the daemon that spends them asked for them.
Duration GrantValidity(const UsageCapSettings& settings, const UsageCapOptions& options);

// --- home ---

/// The part of a cap that one home may grant.
struct UsageShare {
  double requests_per_s = 0;
  double capacity = 0;         // largest level of the bucket
  double stock_threshold = 0;  // credits for stock are granted only while this much is left

  friend bool operator==(const UsageShare&, const UsageShare&) = default;
};

/// Share of a home that hears from `live` of `counted` daemons, itself included. The shares of all sides of a
/// partition together exceed the whole cap by at most 2 x partition_share of the slack, in rate and in capacity.
UsageShare ComputeHomeShare(const UsageCap& cap, const UsageCapSettings& settings, const UsageCapOptions& options,
                            std::size_t live, std::size_t counted);

/// Token bucket of one customer at its home.
struct UsageBucket {
  double level = 0;
  TimePoint refilled_at{};
  TimePoint next_slot_at{};  // when the next token is free that no refused request was told of
};

/// Bucket of a home that may grant from `opens_at` on and has granted nothing since. Begins with at most one token,
/// because the predecessor may have granted the burst.
UsageBucket OpenUsageBucket(const UsageShare& share, TimePoint opens_at);

/// Adds the tokens for the time since the last refill. Call with the old share before the share changes, or the time
/// that has passed would count at the new rate.
void RefillUsageBucket(UsageBucket& bucket, const UsageShare& share, TimePoint now);

/// Request of one daemon for credits of one customer.
struct UsageAsk {
  std::uint64_t customer = 0;  // CustomerKey() of the customer's name
  std::uint64_t id = 0;        // grows with each new ask of the daemon
  std::uint32_t needed = 0;    // requests that wait for a credit
  std::uint32_t stock = 0;     // credits that the daemon lacks in its stock
  std::uint32_t refused = 0;   // requests that the daemon refused itself since its last ask

  friend bool operator==(const UsageAsk&, const UsageAsk&) = default;
};

/// The home's answer to an ask.
struct UsageGrant {
  std::uint64_t customer = 0;
  std::uint64_t id = 0;
  std::uint32_t granted = 0;
  bool unavailable = false;  // the daemon is not, or not yet, the home and grants nothing
  Duration first_free{};     // when granted < needed: time to the token for the first refused request
  Duration spacing{};        // time between the tokens of refused requests

  friend bool operator==(const UsageGrant&, const UsageGrant&) = default;
};

/// Grants credits from `bucket` and gives each refused request the time at which a token will be free for it.
UsageGrant GrantUsage(UsageBucket& bucket, const UsageShare& share, const UsageCapOptions& options,
                      const UsageAsk& ask, TimePoint now);

/// What the naive variants of a daemon admit without any exchange: a bucket with the whole cap at each daemon, or
/// with an equal share of it. The baselines in tests.
enum class NaiveUsageVariant { kWholeCap, kEqualShare };
UsageShare ComputeNaiveShare(NaiveUsageVariant variant, const UsageCap& cap, std::size_t daemons);

// --- choice of homes and of the daemons with a stock ---

/// A daemon as the caps see it.
struct UsageMember {
  std::string address;  // peer address
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  std::uint32_t capacity_millicores = 0;
  bool ready = false;  // only such daemons are homes

  friend bool operator==(const UsageMember&, const UsageMember&) = default;
};

/// Hash of a customer's name, by which messages name the customer.
std::uint64_t CustomerKey(std::string_view name);
/// Hash of a daemon's address for HomeScore().
std::uint64_t MemberKey(std::string_view address);
/// Rank of a daemon as home of a customer; the ready daemon with the highest score is the home.
std::uint64_t HomeScore(std::uint64_t customer, std::uint64_t member);

/// Number of credits without an expiry that the daemon `self` may hold of each customer. `recent` are all daemons
/// heard of within member_retention, itself included. Only the daemons that the directory names first get any, so
/// that the sum over all daemons stays within stock_share of the slack.
std::uint32_t StockLimit(std::span<const UsageMember> recent, std::string_view self, const UsageCapSettings& settings,
                         const UsageCapOptions& options);

}  // namespace pimentomoor
