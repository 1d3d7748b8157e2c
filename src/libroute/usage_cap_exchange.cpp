// Implementation of usage caps at one daemon as an entry. The home's part is in usage_cap_home.cpp.
#include "pimentomoor/usage_cap_exchange.h"

#include <algorithm>
#include <utility>

namespace pimentomoor {

UsageCapExchange::UsageCapExchange(UsageMember self, TimePoint now, UsageCapOptions options)
    : self_(std::move(self)), options_(options), started_(now), base_(now), last_time_(now) {}

bool UsageCapExchange::TakeCredit(Entry& entry, TimePoint now) {
  if (entry.credits > 0 && now < entry.credits_expire_at) {
    --entry.credits;
    return true;
  }
  entry.credits = 0;
  entry.stock = std::min(entry.stock, StockLimitNow(now));
  if (entry.stock == 0) {
    return false;
  }
  --entry.stock;
  return true;
}

UsageDecision UsageCapExchange::Request(std::uint64_t customer, std::uint64_t ticket, Duration max_wait,
                                        TimePoint now) {
  NoteTime(now);
  const auto cap = caps_.find(customer);
  if (!enabled() || cap == caps_.end() || cap->second.requests_per_s <= 0) {
    return {};
  }
  Entry& entry = entries_[customer];
  if (entry.waiting.empty() && TakeCredit(entry, now)) {
    if (entry.stock < StockLimitNow(now)) {
      entry.wants_stock = true;
      pending_.insert(customer);
      next_due_ = now;
    }
    return {};
  }
  if (now < entry.blocked_until) {
    ++entry.unreported_refusals;
    return RefuseUntilNextSlot(entry, now);
  }
  entry.waiting.push_back({.ticket = ticket, .deadline = now + max_wait});
  const UsageMember* home = FindHome(customer);
  if (home != nullptr && home->address == self_.address) {
    // The home is this daemon, so the decision needs no message.
    Ask(customer, entry, now);
    const UsageDecision decision = results_.back().decision;
    results_.pop_back();
    return decision;
  }
  pending_.insert(customer);
  next_due_ = now;
  return {.verdict = UsageVerdict::kWait};
}

double UsageCapExchange::NextSpread() {
  constexpr std::uint32_t kGoldenRatio = 0x9e3779b9;  // of 2^32; its multiples spread evenly
  spread_ += kGoldenRatio;
  return static_cast<double>(spread_) / 4294967296.0;
}

UsageDecision UsageCapExchange::RefuseUntilNextSlot(Entry& entry, TimePoint now) {
  constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
  const Duration wait = std::max(entry.next_slot_at - now, kMinRetryAfter);
  if (entry.slot_spacing == Duration::zero()) {
    return {.verdict = UsageVerdict::kRefuse,
            .retry_after = std::chrono::duration_cast<Duration>(wait * (1 + 0.5 * NextSpread())),
            .home_unavailable = true};
  }
  if (wait < options_.retry_horizon) {
    entry.next_slot_at = now + wait + entry.slot_spacing;
    return {.verdict = UsageVerdict::kRefuse, .retry_after = wait};
  }
  // More requests wait than tokens become free within the horizon. They come back spread over its second half.
  entry.next_slot_at = now + options_.retry_horizon;
  return {.verdict = UsageVerdict::kRefuse,
          .retry_after = std::chrono::duration_cast<Duration>(options_.retry_horizon * (0.5 + 0.5 * NextSpread()))};
}

UsageDecision UsageCapExchange::RefuseForSilence(const Entry& entry, TimePoint now) {
  constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
  constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);
  // A home that has been silent for longer is more likely gone, and another daemon replaces it only later.
  const Duration silent = entry.home_silent_since == TimePoint{} ? Duration::zero() : now - entry.home_silent_since;
  return {.verdict = UsageVerdict::kRefuse,
          .retry_after = std::chrono::duration_cast<Duration>(std::clamp(silent, kMinRetryAfter, kMaxRetryAfter) *
                                                              (0.5 + NextSpread())),
          .home_unavailable = true};
}

void UsageCapExchange::AdmitWaiting(std::uint64_t customer, Entry& entry, TimePoint now) {
  while (!entry.waiting.empty() && TakeCredit(entry, now)) {
    results_.push_back({.ticket = entry.waiting.front().ticket, .customer = customer, .decision = {}});
    entry.waiting.pop_front();
  }
}

void UsageCapExchange::RefuseWaiting(std::uint64_t customer, Entry& entry, std::size_t count, TimePoint now) {
  for (; count > 0 && !entry.waiting.empty(); --count) {
    results_.push_back(
        {.ticket = entry.waiting.front().ticket, .customer = customer, .decision = RefuseUntilNextSlot(entry, now)});
    entry.waiting.pop_front();
  }
}

void UsageCapExchange::ApplyGrant(Entry& entry, const UsageGrant& grant, Duration validity, TimePoint now) {
  const OpenAsk open = std::move(*entry.open);
  entry.open.reset();
  const TimePoint expires_at = open.sent_at + std::min(validity, GrantValidity(settings_, options_));
  if (now >= expires_at) {
    return;
  }
  entry.home_silent_since = {};
  totals_.credits_received += grant.granted;
  if (now >= entry.credits_expire_at) {
    entry.credits = 0;
  }
  // Credits that are left of an earlier grant would outlive their expiry under that of the new ones.
  entry.credits_expire_at = entry.credits > 0 ? std::min(entry.credits_expire_at, expires_at) : expires_at;
  entry.credits += grant.granted;
  const std::uint64_t customer = grant.customer;
  AdmitWaiting(customer, entry, now);
  const std::uint32_t lacking = StockLimitNow(now) - std::min(StockLimitNow(now), entry.stock);
  const std::uint32_t to_stock = std::min(entry.credits, lacking);
  entry.stock += to_stock;
  entry.credits -= to_stock;
  const bool refused = grant.unavailable || grant.granted < open.ask.needed;
  if (!refused) {
    return;
  }
  entry.next_slot_at = now + grant.first_free;
  entry.slot_spacing = grant.spacing;
  entry.blocked_until = now + std::min(grant.first_free, options_.max_block_time);
  const std::size_t counted =
      std::min<std::size_t>(entry.waiting.size(), open.ask.needed - std::min(open.ask.needed, grant.granted));
  // Those that came after the ask have not been counted by the home.
  entry.unreported_refusals += static_cast<std::uint32_t>(entry.waiting.size() - counted);
  RefuseWaiting(customer, entry, entry.waiting.size(), now);
}

void UsageCapExchange::EndExpired(std::uint64_t customer, Entry& entry, TimePoint now) {
  if (entry.open && now >= entry.open->sent_at + GrantValidity(settings_, options_)) {
    entry.open.reset();
    ++totals_.asks_unanswered;
  }
  while (!entry.waiting.empty() && entry.waiting.front().deadline <= now) {
    results_.push_back(
        {.ticket = entry.waiting.front().ticket, .customer = customer, .decision = RefuseForSilence(entry, now)});
    entry.waiting.pop_front();
  }
}

void UsageCapExchange::Ask(std::uint64_t customer, Entry& entry, TimePoint now) {
  const UsageAsk ask{.customer = customer,
                     .id = next_ask_id_++,
                     .needed = static_cast<std::uint32_t>(entry.waiting.size()),
                     .stock = StockLimitNow(now) - std::min(StockLimitNow(now), entry.stock),
                     .refused = std::exchange(entry.unreported_refusals, 0)};
  entry.wants_stock = false;
  totals_.credits_asked += ask.needed + ask.stock;
  const UsageMember* home = FindHome(customer);
  entry.open = OpenAsk{.ask = ask,
                       .home_address = home == nullptr ? "" : home->address,
                       .home_incarnation = home == nullptr ? 0 : home->incarnation,
                       .sent_at = now,
                       .next_send_at = now + options_.resend_delay,
                       .resend_delay = options_.resend_delay};
  if (home == nullptr || home->address == self_.address) {
    ApplyGrant(entry, Answer(ask, self_.incarnation, now), options_.max_grant_validity, now);
    return;
  }
  ++totals_.asks_sent;
  if (entry.home_silent_since == TimePoint{}) {
    entry.home_silent_since = now;
  }
  MessageTo(home->address, home->incarnation, 1, 0).asks.push_back(ask);
}

TimePoint UsageCapExchange::Step(std::uint64_t customer, Entry& entry, TimePoint now) {
  EndExpired(customer, entry, now);
  if (entry.open && !entry.waiting.empty()) {
    // Another daemon may have become the home, and the open ask then gets no answer.
    const UsageMember* home = FindHome(customer);
    if (home == nullptr || home->incarnation != entry.open->home_incarnation) {
      entry.open.reset();
    }
  }
  if (!entry.open && (!entry.waiting.empty() || entry.wants_stock)) {
    Ask(customer, entry, now);
  } else if (entry.open && now >= entry.open->next_send_at) {
    OpenAsk& open = *entry.open;
    open.resend_delay *= 2;
    open.next_send_at = now + open.resend_delay;
    ++totals_.asks_repeated;
    MessageTo(open.home_address, open.home_incarnation, 1, 0).asks.push_back(open.ask);
  }
  TimePoint due = TimePoint::max();
  if (entry.open) {
    due = std::min(entry.open->next_send_at, entry.open->sent_at + GrantValidity(settings_, options_));
  }
  return entry.waiting.empty() ? due : std::min(due, entry.waiting.front().deadline);
}

std::vector<UsageMessage> UsageCapExchange::TakeMessages(TimePoint now) {
  NoteTime(now);
  next_due_ = TimePoint::max();
  for (auto item = pending_.begin(); item != pending_.end();) {
    const auto found = entries_.find(*item);
    const TimePoint due = found == entries_.end() ? TimePoint::max() : Step(*item, found->second, now);
    next_due_ = std::min(next_due_, due);
    item = due == TimePoint::max() ? pending_.erase(item) : std::next(item);
  }
  return std::exchange(outbox_, {});
}

void UsageCapExchange::Receive(const UsageMessage& message, TimePoint now) {
  NoteTime(now);
  if (message.receiver_incarnation != self_.incarnation || !enabled()) {
    return;
  }
  for (const auto& ask : message.asks) {
    const UsageGrant grant = Answer(ask, message.sender_incarnation, now);
    MessageTo(message.sender_address, message.sender_incarnation, 0, 1).grants.push_back(grant);
    next_due_ = now;
  }
  for (const auto& grant : message.grants) {
    const auto found = entries_.find(grant.customer);
    if (found != entries_.end() && found->second.open && found->second.open->ask.id == grant.id) {
      ApplyGrant(found->second, grant, message.validity, now);
      if (!found->second.waiting.empty()) {
        next_due_ = now;
      }
    }
  }
}

UsageMessage& UsageCapExchange::MessageTo(const std::string& address, std::uint64_t incarnation, std::size_t asks,
                                          std::size_t grants) {
  for (auto& message : outbox_) {
    if (message.receiver_address == address && message.receiver_incarnation == incarnation &&
        message.asks.size() + asks <= kMaxItems && message.grants.size() + grants <= kMaxItems) {
      return message;
    }
  }
  outbox_.push_back({.sender_address = self_.address,
                     .sender_incarnation = self_.incarnation,
                     .receiver_address = address,
                     .receiver_incarnation = incarnation,
                     .validity = GrantValidity(settings_, options_)});
  return outbox_.back();
}

}  // namespace pimentomoor
