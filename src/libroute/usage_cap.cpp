// Implementation of the decisions on usage caps.
#include "pimentomoor/usage_cap.h"

#include <algorithm>
#include <cmath>

#include "pimentomoor/entry_selection.h"

namespace pimentomoor {

namespace {

constexpr Duration kMinGrantValidity = std::chrono::milliseconds(50);
// Part of the reserve that stays in the bucket when stock is granted. It absorbs the jitter of requests that come
// exactly at the rate.
constexpr double kKeptReserve = 0.2;
// Level from which a token counts as whole, so that rounding doesn't delay it.
constexpr double kWholeToken = 1 - 1e-9;

double SecondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration DurationOf(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// A cap without a burst still has to hold one request.
double EffectiveBurst(const UsageCap& cap) { return std::max(cap.burst, 1.0); }

std::uint64_t Mix(std::uint64_t hash) {
  constexpr std::uint64_t kFirst = 0xff51afd7ed558ccd;
  constexpr std::uint64_t kSecond = 0xc4ceb9fe1a85ec53;
  constexpr unsigned kShift = 33;
  hash = (hash ^ (hash >> kShift)) * kFirst;
  hash = (hash ^ (hash >> kShift)) * kSecond;
  return hash ^ (hash >> kShift);
}

std::uint64_t HashText(std::string_view text) {
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffset;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  return Mix(hash);
}

}  // namespace

double MaxRequestsPerWindow(const UsageCap& cap, const UsageCapSettings& settings) {
  return (cap.requests_per_s * SecondsOf(settings.window) + cap.burst) * (1 + settings.excess) + settings.slack;
}

Duration GrantValidity(const UsageCapSettings& settings, const UsageCapOptions& options) {
  return std::clamp(DurationOf(SecondsOf(settings.window) * settings.excess / 2), kMinGrantValidity,
                    options.max_grant_validity);
}

UsageShare ComputeHomeShare(const UsageCap& cap, const UsageCapSettings& settings, const UsageCapOptions& options,
                            std::size_t live, std::size_t counted) {
  if (counted == 0) {
    return {};  // a daemon that has not heard any other can't know its share
  }
  const double part = std::min(1.0, static_cast<double>(live) / static_cast<double>(counted));
  const double extra = options.partition_share * settings.slack;
  const double reserve = options.reserve_share * settings.slack;
  const double capacity = EffectiveBurst(cap) + reserve;
  const double window = std::max(SecondsOf(settings.window), 1e-3);
  return {.requests_per_s = std::min(cap.requests_per_s, part * (cap.requests_per_s + extra / window)),
          .capacity = std::min(capacity, part * (capacity + extra)),
          .stock_threshold = EffectiveBurst(cap) + reserve * kKeptReserve};
}

UsageShare ComputeNaiveShare(NaiveUsageVariant variant, const UsageCap& cap, std::size_t daemons) {
  const double part = variant == NaiveUsageVariant::kWholeCap ? 1.0 : 1.0 / static_cast<double>(daemons);
  return {.requests_per_s = cap.requests_per_s * part,
          .capacity = std::max(1.0, EffectiveBurst(cap) * part),
          .stock_threshold = EffectiveBurst(cap)};
}

UsageBucket OpenUsageBucket(const UsageShare& share, TimePoint opens_at) {
  return {.level = std::min(1.0, share.capacity), .refilled_at = opens_at};
}

void RefillUsageBucket(UsageBucket& bucket, const UsageShare& share, TimePoint now) {
  const double seconds = std::max(0.0, SecondsOf(now - bucket.refilled_at));
  bucket.level = std::min(share.capacity, bucket.level + seconds * share.requests_per_s);
  bucket.refilled_at = std::max(bucket.refilled_at, now);
}

UsageGrant GrantUsage(UsageBucket& bucket, const UsageShare& share, const UsageCapOptions& options,
                      const UsageAsk& ask, TimePoint now) {
  RefillUsageBucket(bucket, share, now);
  UsageGrant grant{.customer = ask.customer, .id = ask.id};
  const auto take = [&](std::uint32_t wanted, double threshold) {
    const double free = std::floor(std::max(0.0, bucket.level - threshold) + (1 - kWholeToken));
    const auto taken = static_cast<std::uint32_t>(std::min<double>(wanted, free));
    bucket.level -= taken;
    grant.granted += taken;
    return taken;
  };
  const std::uint32_t refused = ask.needed - take(ask.needed, 0);
  take(ask.stock, share.stock_threshold);
  if (share.requests_per_s <= 0) {
    grant.first_free = options.retry_horizon;
    return grant;
  }
  grant.spacing = std::min(DurationOf(1 / share.requests_per_s), options.retry_horizon);
  if (refused + ask.refused > 0) {
    const TimePoint first =
        std::max(bucket.next_slot_at, now + DurationOf(std::max(0.0, 1 - bucket.level) / share.requests_per_s));
    grant.first_free = std::min(first - now, options.retry_horizon);
    bucket.next_slot_at = std::min(first + grant.spacing * std::min<std::uint32_t>(refused + ask.refused, 1'000),
                                   now + options.retry_horizon);
  }
  return grant;
}

std::uint64_t CustomerKey(std::string_view name) { return HashText(name); }
std::uint64_t MemberKey(std::string_view address) { return HashText(address); }
std::uint64_t HomeScore(std::uint64_t customer, std::uint64_t member) { return Mix(customer ^ Mix(member)); }

std::uint32_t StockLimit(std::span<const UsageMember> recent, std::string_view self, const UsageCapSettings& settings,
                         const UsageCapOptions& options) {
  std::vector<EntryCandidate> candidates;
  candidates.reserve(recent.size());
  for (const auto& member : recent) {
    candidates.push_back({.address = member.address,
                          .failure_domain = member.failure_domain,
                          .capacity_millicores = member.capacity_millicores});
  }
  const std::vector<std::string> entries = SelectEntries(candidates, {});
  const auto total = static_cast<std::size_t>(settings.slack * options.stock_share);
  const std::size_t holders = std::min(entries.size(), total);
  const auto rank = static_cast<std::size_t>(std::ranges::find(entries, self) - entries.begin());
  return rank < holders ? static_cast<std::uint32_t>(total / holders) : 0;
}

}  // namespace pimentomoor
