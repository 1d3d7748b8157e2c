// Usage caps at one daemon as the home of customers: its view of the cell, and its answers to asks.
#include <algorithm>
#include <unordered_set>
#include <utility>

#include "pimentomoor/usage_cap_exchange.h"

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxAnswers = 128;  // entries whose last answer a home remembers for one customer
// A daemon whose share holds no whole token is cut off from most others. Its callers are served elsewhere.
constexpr Duration kPartitionedRetryAfter = std::chrono::seconds(1);

}  // namespace

void UsageCapExchange::NoteTime(TimePoint now) {
  if (now - last_time_ > options_.freeze_gap) {
    // Another daemon may have been the home in the meantime.
    home_customers_.clear();
    base_ = now;
  }
  last_time_ = std::max(last_time_, now);
  RecordLive(now);
}

void UsageCapExchange::SetCaps(std::unordered_map<std::uint64_t, UsageCap> caps) {
  caps_ = std::move(caps);
  const auto has_no_cap = [&](const auto& item) { return !caps_.contains(item.first); };
  std::erase_if(home_customers_, has_no_cap);
  for (auto& [customer, entry] : entries_) {
    entry.blocked_until = {};  // the cap may have been raised
    if (!caps_.contains(customer)) {
      for (const auto& request : entry.waiting) {
        results_.push_back({.ticket = request.ticket, .customer = customer, .decision = {}});
      }
    }
  }
  std::erase_if(entries_, has_no_cap);
}

void UsageCapExchange::SetMembers(const std::vector<UsageMember>& peers, bool ready, TimePoint now) {
  NoteTime(now);
  std::vector<UsageMember> homes;
  if (ready) {
    homes.push_back(self_);
  }
  std::copy_if(peers.begin(), peers.end(), std::back_inserter(homes),
               [](const UsageMember& peer) { return peer.ready; });
  std::unordered_set<std::uint64_t> incarnations;
  for (const auto& home : homes) {
    incarnations.insert(home.incarnation);
  }
  const bool lost_home = std::any_of(homes_.begin(), homes_.end(), [&](const UsageMember& home) {
    return !incarnations.contains(home.incarnation);
  });
  const bool was_ready = !homes_.empty() && homes_.front().incarnation == self_.incarnation;
  if (lost_home || (ready && !was_ready)) {
    base_ = now;
  }
  homes_ = std::move(homes);
  home_keys_.clear();
  for (const auto& home : homes_) {
    home_keys_.push_back(MemberKey(home.address));
  }
  std::erase_if(home_customers_, [&](const auto& item) {
    const UsageMember* home = FindHome(item.first);
    return home == nullptr || home->incarnation != self_.incarnation;
  });
  live_ = peers.size() + 1;
  RecordLive(now);

  for (const auto& [address, member] : recent_) {
    left_at_.try_emplace(address, now);
  }
  for (const auto& peer : peers) {
    recent_.insert_or_assign(peer.address, peer);
    left_at_.erase(peer.address);
  }
  std::erase_if(left_at_, [&](const auto& item) {
    return now - item.second >= options_.member_retention && recent_.erase(item.first) > 0;
  });
  std::vector<UsageMember> recent{self_};
  for (const auto& [address, member] : recent_) {
    recent.push_back(member);
  }
  stock_limit_ = StockLimit(recent, self_.address, settings_, options_);
}

void UsageCapExchange::SetContact(std::size_t counted, TimePoint heard_at, TimePoint now) {
  counted_ = counted;
  heard_at_ = heard_at;
  NoteTime(now);
}

void UsageCapExchange::RecordLive(TimePoint now) {
  const bool unheard = counted_ > 1 && now - heard_at_ > options_.max_unheard_time;
  const std::size_t live = unheard ? 1 : live_;
  while (!live_history_.empty() && live_history_.back().second > live) {
    live_history_.pop_back();
  }
  if (live_history_.empty() || live_history_.back().second < live) {
    live_history_.emplace_back(now, live);
  }
  // Each number holds until the time of the next one.
  while (live_history_.size() > 1 && live_history_[1].first + options_.settle_time <= now) {
    live_history_.pop_front();
  }
  const std::size_t live_for_shares = live_history_.front().second;
  if (10 * live_for_shares_ < 9 * std::min(live_for_shares, counted_)) {
    share_risen_at_ = now;
  }
  live_for_shares_ = live_for_shares;
}

const UsageMember* UsageCapExchange::FindHome(std::uint64_t customer) const {
  const UsageMember* best = nullptr;
  std::uint64_t best_score = 0;
  for (std::size_t i = 0; i < homes_.size(); ++i) {
    const std::uint64_t score = HomeScore(customer, home_keys_[i]);
    if (best == nullptr || score > best_score) {
      best = &homes_[i];
      best_score = score;
    }
  }
  return best;
}

UsageCapExchange::Home UsageCapExchange::OpenHome(const UsageShare& share) const {
  const TimePoint opens_at = base_ + options_.settle_time;
  return {
      .bucket = OpenUsageBucket(share, std::max(opens_at, share_risen_at_)), .share = share, .opens_at = opens_at};
}

UsageGrant UsageCapExchange::Answer(const UsageAsk& ask, std::uint64_t entry_incarnation, TimePoint now) {
  UsageGrant unavailable{
      .customer = ask.customer, .id = ask.id, .unavailable = true, .first_free = options_.max_block_time};
  const auto cap = caps_.find(ask.customer);
  const UsageMember* home = FindHome(ask.customer);
  if (cap == caps_.end() || home == nullptr || home->incarnation != self_.incarnation) {
    return unavailable;
  }
  const UsageShare share = ComputeHomeShare(cap->second, settings_, options_, live_for_shares_, counted_);
  if (share.capacity < 1) {
    unavailable.first_free = kPartitionedRetryAfter;
    return unavailable;
  }
  Home& state = home_customers_.try_emplace(ask.customer, OpenHome(share)).first->second;
  if (now < state.opens_at) {
    unavailable.first_free = state.opens_at - now;
    return unavailable;
  }
  if (state.share != share) {
    RefillUsageBucket(state.bucket, state.share, now);
    state.share = share;
  }
  while (!state.answers.empty() && (state.answers.size() > kMaxAnswers ||
                                    now - state.answers.front().at >= 2 * GrantValidity(settings_, options_))) {
    state.answers.pop_front();
  }
  const auto last = std::find_if(state.answers.begin(), state.answers.end(), [&](const Home::Answer& answer) {
    return answer.entry_incarnation == entry_incarnation;
  });
  if (last != state.answers.end() && ask.id <= last->grant.id) {
    // A repeated ask gets the same answer. An older one has been given up, and its answer would be ignored.
    return ask.id == last->grant.id ? last->grant : unavailable;
  }
  if (last != state.answers.end()) {
    state.answers.erase(last);
  }
  const UsageGrant grant = GrantUsage(state.bucket, share, options_, ask, now);
  totals_.credits_granted += grant.granted;
  state.answers.push_back({.entry_incarnation = entry_incarnation, .grant = grant, .at = now});
  return grant;
}

}  // namespace pimentomoor
