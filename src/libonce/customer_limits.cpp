// State of customers' credits at their homes and at the entries, and the decisions on them.
#include "pimentomoor/customer_limits.h"

#include <algorithm>
#include <cmath>

namespace pimentomoor {
namespace {

double EffectiveBurst(const CustomerLimits& limits) { return std::max<std::uint32_t>(1, limits.burst); }

// Returns the concurrency slots that the entry uses or may still take, as far as the home can know.
std::uint32_t ReservedConcurrency(const CreditHomeState::EntryState& entry) {
  std::uint32_t reserved = entry.running;
  for (const CreditHomeState::ConcurrencyGrant& concurrency_grant : entry.concurrency_grants) {
    reserved = std::max(reserved, concurrency_grant.concurrency);
  }
  return reserved;
}

// Drops entries that have been silent for so long that all their grants and queries have ended.
void DropSilentEntries(CreditHomeState::Customer& customer, const CreditOptions& options, TimePoint now) {
  std::erase_if(customer.entries, [&](const auto& item) {
    return item.second.last_request_at + options.grant_validity + options.home_timeout + options.max_query_duration <=
           now;
  });
}

// Returns whether the customer can be dropped: a full bucket without entries is the same as a new one.
bool IsIdle(CreditHomeState::Customer& customer, const CreditOptions& options, TimePoint now) {
  DropSilentEntries(customer, options, now);
  Refill(customer.bucket, customer.limits.queries_per_second, EffectiveBurst(customer.limits), now);
  return customer.entries.empty() && customer.bucket.level >= EffectiveBurst(customer.limits);
}

CreditHomeState::Customer* FindOrCreate(CreditHomeState& home, const CreditOptions& options, TimePoint now,
                                        const std::string& name, const CustomerLimits& limits) {
  const auto found = home.customers.find(name);
  if (found != home.customers.end()) {
    return &found->second;
  }
  if (home.customers.size() >= options.max_customers) {
    for (auto item = home.customers.begin(); item != home.customers.end();) {
      item = IsIdle(item->second, options, now) ? home.customers.erase(item) : std::next(item);
    }
  }
  if (home.customers.size() >= options.max_customers) {
    return nullptr;
  }
  CreditHomeState::Customer& customer = home.customers[name];
  customer.bucket = {.level = EffectiveBurst(limits), .refilled_at = now};
  return &customer;
}

// Returns the credits of the last grant and the one before. The concurrency of the last grant applies to both, so
// neither can be spent after its expiry.
std::uint32_t UsableCredits(const EntryCredits& entry, TimePoint now) {
  if (entry.in_fallback || now >= entry.expiry) {
    return 0;
  }
  return entry.credits + (now < entry.previous_expiry ? entry.previous_credits : 0);
}

std::uint32_t GrantFromBucket(CreditHomeState::Customer& customer, const CreditOptions& options, TimePoint now,
                              std::uint32_t wanted) {
  double total_wanted = 0;
  for (const auto& [id, entry] : customer.entries) {
    total_wanted += entry.last_request_at + 2 * options.grant_validity > now ? entry.wanted : 0;
  }
  const double share = total_wanted > 0 ? customer.bucket.level * wanted / total_wanted : 0;
  // An entry gets one credit when the bucket holds one. Otherwise a bucket that refills slowly would never reach a
  // whole credit for each of many entries.
  const double granted = std::min<double>(wanted, std::floor(std::max(share, std::min(1.0, customer.bucket.level))));
  customer.bucket.level -= granted;
  return static_cast<std::uint32_t>(granted);
}

std::uint32_t GrantConcurrency(const CreditHomeState::Customer& customer, const CustomerLimits& limits,
                               const EntryCreditRequest& request) {
  std::uint64_t others = 0;
  for (const auto& [id, other] : customer.entries) {
    others += id == request.entry_incarnation ? 0 : ReservedConcurrency(other);
  }
  const std::uint64_t free = limits.concurrency > others ? limits.concurrency - others : 0;
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(free, std::uint64_t{request.running} + request.wanted));
}

}  // namespace

void Refill(CreditBucket& bucket, double rate, double burst, TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.level = std::min(burst, bucket.level + std::max(0.0, seconds) * std::max(0.0, rate));
  bucket.refilled_at = std::max(bucket.refilled_at, now);
}

CreditGrant GrantCredits(CreditHomeState& home, const CreditOptions& options, TimePoint now, const std::string& name,
                         const CustomerLimits& limits, const EntryCreditRequest& request) {
  CreditHomeState::Customer* customer = FindOrCreate(home, options, now, name, limits);
  if (customer == nullptr) {
    return {};
  }
  customer->limits = limits;
  DropSilentEntries(*customer, options, now);
  Refill(customer->bucket, limits.queries_per_second, EffectiveBurst(limits), now);

  CreditHomeState::EntryState& entry = customer->entries[request.entry_incarnation];
  if (request.request_id <= entry.last_request_id) {
    return request.request_id == entry.last_request_id ? entry.last_grant : CreditGrant{};
  }
  entry.wanted = request.wanted;
  entry.running = request.running;
  entry.last_request_at = now;
  // The request's number of running queries covers all queries under grants that had expired when it was sent.
  std::erase_if(entry.concurrency_grants, [&](const CreditHomeState::ConcurrencyGrant& concurrency_grant) {
    return concurrency_grant.granted_at + options.grant_validity + options.home_timeout <= now;
  });
  const CreditGrant grant{.credits = GrantFromBucket(*customer, options, now, request.wanted),
                          .concurrency = GrantConcurrency(*customer, limits, request)};
  entry.concurrency_grants.push_back({.granted_at = now, .concurrency = grant.concurrency});
  entry.last_request_id = request.request_id;
  entry.last_grant = grant;
  return grant;
}

void CountDemand(EntryCredits& entry, const CreditOptions& options, TimePoint now) {
  if (now >= entry.demand_period_start + options.grant_validity) {
    entry.previous_demand = now >= entry.demand_period_start + 2 * options.grant_validity ? 0 : entry.demand;
    entry.demand = 0;
    entry.demand_period_start = now;
  }
  ++entry.demand;
}

SpendResult TrySpendCredit(EntryCredits& entry, const CustomerLimits& limits, std::uint32_t member_count,
                           TimePoint now) {
  if (entry.in_fallback) {
    Refill(entry.fallback_bucket, limits.queries_per_second / member_count,
           std::max(1.0, EffectiveBurst(limits) / member_count), now);
    if (entry.running >= entry.fallback_concurrency) {
      return SpendResult::kNoConcurrency;
    }
    if (entry.fallback_bucket.level < 1) {
      return SpendResult::kNoCredit;
    }
    entry.fallback_bucket.level -= 1;
    ++entry.running;
    return SpendResult::kAllowed;
  }
  if (UsableCredits(entry, now) == 0) {
    return SpendResult::kNoCredit;
  }
  if (entry.running >= entry.concurrency) {
    return SpendResult::kNoConcurrency;
  }
  const bool use_previous = now < entry.previous_expiry && entry.previous_credits > 0;
  --(use_previous ? entry.previous_credits : entry.credits);
  ++entry.running;
  return SpendResult::kAllowed;
}

std::uint32_t CreditsToRequest(const EntryCredits& entry, const CreditOptions& options, TimePoint now,
                               std::uint32_t waiting) {
  if (now < entry.next_request_at) {
    return 0;
  }
  const std::uint32_t expected = std::max({waiting, entry.demand, entry.previous_demand});
  // A request while a quarter of the credits or of their time is left keeps busy customers from waiting for the
  // reply.
  const std::uint32_t held = UsableCredits(entry, now);
  const bool low = entry.in_fallback || held <= expected / 4 || now + options.grant_validity / 4 >= entry.expiry;
  if (waiting == 0 && !low) {
    return 0;
  }
  return std::max<std::uint32_t>(1, expected > held ? expected - held : 0);
}

void ApplyGrant(EntryCredits& entry, const CreditOptions& options, TimePoint now, TimePoint sent,
                const CreditGrant& grant) {
  const bool held = !entry.in_fallback && now < entry.expiry;
  entry.in_fallback = false;
  entry.previous_credits = held ? entry.credits : 0;
  entry.previous_expiry = entry.expiry;
  entry.credits = grant.credits;
  entry.concurrency = grant.concurrency;
  entry.expiry = sent + options.grant_validity;
}

void StartFallback(EntryCredits& entry, const CustomerLimits& limits, std::uint32_t member_count, TimePoint now) {
  if (entry.in_fallback) {
    return;
  }
  entry.in_fallback = true;
  entry.credits = 0;
  entry.previous_credits = 0;
  // The fallback bucket does not refill while the home grants credits. Otherwise every outage of the home would add
  // one credit per entry.
  entry.fallback_bucket = {.level = std::min(1.0, entry.fallback_bucket.level), .refilled_at = now};
  entry.fallback_concurrency = std::max<std::uint32_t>(1, limits.concurrency / member_count);
}

}  // namespace pimentomoor
