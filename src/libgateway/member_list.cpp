// Implementation of the member list.
#include "pimentomoor/member_list.h"

#include <algorithm>
#include <string_view>

#include "pimentomoor/config_lists.h"

namespace pimentomoor {

namespace {

constexpr std::uint32_t kStateSpread = 1'000'000;
constexpr Duration kForgetInterval = std::chrono::seconds(1);

bool SameMember(const proto::GatewayMember& left, const proto::GatewayMember& right) {
  return left.incarnation() == right.incarnation() && left.ready() == right.ready() &&
         left.store_answers() == right.store_answers() && left.load_parts_per_s() == right.load_parts_per_s() &&
         left.capacity_millicores() == right.capacity_millicores() &&
         left.caller_address() == right.caller_address() && left.failure_domain() == right.failure_domain();
}

}  // namespace

MemberList::MemberList(proto::GatewayMember self, MemberListOptions options)
    : self_(std::move(self)),
      options_(options),
      // Differs between runs of a process, so that a peer doesn't take the state of one for that of another.
      self_state_(static_cast<std::uint32_t>(1 + self_.incarnation() % kStateSpread)) {}

void MemberList::UpdateSelf(proto::GatewayMember self) {
  if (!SameMember(self_, self)) {
    ++self_state_;
  }
  self_ = std::move(self);
}

bool MemberList::IsComplete(const proto::GatewayMember& member) const {
  // The size counts unknown fields as well, which protobuf keeps and sends on.
  return IsSocketAddress(member.peer_address()) && IsSocketAddress(member.caller_address()) &&
         !member.failure_domain().empty() && member.ByteSizeLong() <= options_.max_member_bytes;
}

Duration MemberList::AliveFor(Duration interval) const {
  const Duration slowed = std::clamp(interval, options_.interval, options_.max_interval) - options_.interval;
  const double share = options_.max_interval > options_.interval
                           ? static_cast<double>(slowed.count()) /
                                 static_cast<double>((options_.max_interval - options_.interval).count())
                           : 0;
  return options_.alive_for +
         std::chrono::duration_cast<Duration>(
             share * std::chrono::duration<double, Duration::period>(options_.max_alive_for - options_.alive_for));
}

bool MemberList::Receive(const proto::GatewayHeartbeat& heartbeat, TimePoint now) {
  const proto::GatewayMember& sender = heartbeat.sender();
  const std::string& address = sender.peer_address();
  if (address == self_.peer_address()) {
    return false;
  }
  auto found = heard_.find(address);
  if (found != heard_.end() && found->second.previous_incarnation != 0 &&
      sender.incarnation() == found->second.previous_incarnation) {
    return false;
  }
  const bool brief = heartbeat.sender_state() != 0 && sender.caller_address().empty();
  if (brief && (found == heard_.end() || found->second.member.incarnation() != sender.incarnation() ||
                found->second.state < heartbeat.sender_state())) {
    // The reply shows that its state is not known here; then it sends the state.
    return !heartbeat.reply() && IsSocketAddress(address);
  }
  if (!brief && (!IsComplete(sender) || (found == heard_.end() && heard_.size() >= options_.max_members))) {
    return false;
  }
  Heard& heard = brief ? found->second : heard_[address];
  if (!brief) {
    const bool restarted = heard.member.incarnation() != sender.incarnation();
    if (restarted) {
      const bool known = !heard.member.peer_address().empty();
      heard = {.previous_incarnation = known ? heard.member.incarnation() : 0, .live = heard.live};
    }
    // Datagrams can arrive in another order than they were sent.
    if (restarted || heartbeat.sender_state() == 0 || heartbeat.sender_state() >= heard.state) {
      changes_ += restarted || !SameMember(heard.member, sender) ? 1 : 0;
      heard.member = sender;
      heard.state = heartbeat.sender_state();
    }
  }
  if (heartbeat.counted_daemons() > 0) {  // news of a changed state does not tell it
    heard.counted = heartbeat.counted_daemons();
  }
  heard.at = now;
  heard.alive_for = AliveFor(std::chrono::milliseconds(heartbeat.interval_ms()));
  heard.known_state = heartbeat.known_state();
  heard.crashes_digest = heartbeat.crashes_digest();
  changes_ += heard.live ? 0 : 1;
  if (!heartbeat.reply()) {
    heard.asks = !heartbeat.skip_list();
    heard.known_version = heartbeat.known_incarnation() == self_.incarnation() ? heartbeat.known_version() : 0;
  } else if (!heartbeat.skip_list()) {
    TakeChanges(heartbeat, heard.alive_for, now);
  }
  return true;
}

void MemberList::TakeChanges(const proto::GatewayHeartbeat& reply, Duration alive_for, TimePoint now) {
  const std::string& reporter = reply.sender().peer_address();
  if (!reported_.contains(reporter) && reported_.size() >= options_.max_reports) {
    return;
  }
  Reported& reported = reported_[reporter];
  if (reported.incarnation != reply.sender().incarnation()) {
    reported = {.incarnation = reply.sender().incarnation()};
    ++changes_;
  }
  // Replies can arrive in another order than they were sent, and one to a previous run of this daemon starts at a
  // version that this run does not have.
  if (reply.list_version() < reported.version || reply.base_version() > reported.version) {
    return;
  }
  reported.failure_domain = heard_.at(reporter).member.failure_domain();
  reported.version = reply.list_version();
  // A list that was silent for long may show daemons that ended since; it counts again when it is read to its end.
  if (!reply.more() || reported.at == TimePoint{} || now - reported.at < reported.alive_for) {
    reported.at = now;
  }
  reported.alive_for = alive_for;
  changes_ += reported.live < 2 || reply.changes_size() > 0 ? 1 : 0;
  for (const auto& change : reply.changes()) {
    const std::string& address = change.member().peer_address();
    if (address == self_.peer_address()) {
      continue;
    }
    if (!change.alive()) {
      reported.alive.erase(address);
    } else if (IsComplete(change.member()) &&
               (reported.alive.contains(address) || reported.alive.size() < options_.max_members)) {
      reported.alive[address] = change.member();
    }
  }
}

void MemberList::FillOwnState(proto::GatewayHeartbeat& heartbeat, bool brief) const {
  if (brief) {
    heartbeat.mutable_sender()->set_peer_address(self_.peer_address());
    heartbeat.mutable_sender()->set_incarnation(self_.incarnation());
  } else {
    *heartbeat.mutable_sender() = self_;
  }
  heartbeat.set_sender_state(self_state_);
}

proto::GatewayHeartbeat MemberList::MakeHeartbeat(const std::string& address) const {
  proto::GatewayHeartbeat heartbeat = MakeNews(address);
  heartbeat.clear_reply();
  heartbeat.clear_skip_list();
  heartbeat.set_counted_daemons(static_cast<std::uint32_t>(1 + alive_.size() + departed_.size()));
  if (const auto found = reported_.find(address); found != reported_.end()) {
    heartbeat.set_known_version(found->second.version);
    heartbeat.set_known_incarnation(found->second.incarnation);
  }
  return heartbeat;
}

proto::GatewayHeartbeat MemberList::MakeNews(const std::string& address) const {
  proto::GatewayHeartbeat news;
  const auto found = heard_.find(address);
  FillOwnState(news, found != heard_.end() && found->second.known_state == self_state_);
  news.set_known_state(found == heard_.end() ? 0 : found->second.state);
  news.set_reply(true);
  news.set_skip_list(true);
  return news;
}

proto::GatewayHeartbeat MemberList::MakeReply(const proto::GatewayHeartbeat& heartbeat, TimePoint now) {
  UpdateList(now);
  const std::string& address = heartbeat.sender().peer_address();
  proto::GatewayHeartbeat reply;
  FillOwnState(reply, heartbeat.known_state() == self_state_);
  reply.set_reply(true);
  reply.set_counted_daemons(static_cast<std::uint32_t>(1 + alive_.size() + departed_.size()));
  const auto found = heard_.find(address);
  const bool known = found != heard_.end() && found->second.member.incarnation() == heartbeat.sender().incarnation();
  reply.set_known_state(known ? found->second.state : 0);
  if (!known || heartbeat.skip_list()) {
    reply.set_skip_list(true);
    return reply;
  }
  AddChanges(reply, heartbeat.known_incarnation() == self_.incarnation() ? heartbeat.known_version() : 0, address,
             found->second.member.failure_domain() != self_.failure_domain());
  return reply;
}

proto::GatewayHeartbeat MemberList::MakePush(const std::string& address, TimePoint now) {
  UpdateList(now);
  proto::GatewayHeartbeat push = MakeNews(address);
  const auto found = heard_.find(address);
  if (found != heard_.end() && found->second.asks && found->second.known_version != 0) {
    AddChanges(push, found->second.known_version, address,
               found->second.member.failure_domain() != self_.failure_domain());
    push.set_skip_list(push.changes_size() == 0);
  }
  return push;
}

void MemberList::AddChanges(proto::GatewayHeartbeat& reply, std::uint64_t known, const std::string& receiver,
                            bool other_domain) const {
  reply.set_base_version(known);
  reply.set_list_version(version_);
  if (known == 0 && other_domain) {
    // A daemon that starts needs relays of its own domain first. They come again in their turn.
    const std::string& domain = heard_.at(receiver).member.failure_domain();
    for (const auto& [address, heard] : heard_) {
      if (heard.live && address != receiver && heard.member.failure_domain() == domain &&
          static_cast<std::size_t>(reply.changes_size()) < options_.relays) {
        reply.add_changes()->set_alive(true);
        *reply.mutable_changes(reply.changes_size() - 1)->mutable_member() = heard.member;
      }
    }
  }
  std::size_t bytes = reply.ByteSizeLong();
  for (auto next = log_.upper_bound(known); next != log_.end(); ++next) {
    const Entry& entry = list_.at(next->second);
    if (next->second == receiver || (other_domain && !entry.heard_before)) {
      continue;
    }
    proto::ListedMember change;
    change.set_alive(entry.alive && (!other_domain || entry.heard));
    if (change.alive()) {
      *change.mutable_member() = entry.member;
    } else {
      change.mutable_member()->set_peer_address(next->second);
      change.mutable_member()->set_incarnation(entry.member.incarnation());
    }
    bytes += change.ByteSizeLong() + 3;  // and its tag and length
    const auto count = static_cast<std::size_t>(reply.changes_size());
    if ((bytes > options_.max_changes_bytes && count > 0) || count >= options_.max_members) {
      reply.set_list_version(next->first - 1);
      reply.set_more(true);
      return;
    }
    *reply.add_changes() = std::move(change);
  }
}

void MemberList::TakeAlive(TimePoint now) const {
  if (alive_changes_ == changes_ && now < next_expiry_) {
    return;
  }
  next_expiry_ = TimePoint::max();
  const auto expires = [&](TimePoint at) {
    next_expiry_ = at > now ? std::min(next_expiry_, at) : next_expiry_;
    return at <= now;
  };
  for (const auto& [address, heard] : heard_) {
    const bool live = !expires(heard.at + heard.alive_for);
    changes_ += live == heard.live ? 0 : 1;
    heard.live = live;
  }
  for (const auto& [reporter, reported] : reported_) {
    const Duration grace = std::min(reported.alive_for + options_.report_grace, options_.max_report_for);
    const int live = !expires(reported.at + reported.alive_for) ? 2 : !expires(reported.at + grace) ? 1 : 0;
    changes_ += live == reported.live ? 0 : 1;
    reported.live = live;
  }
  if (alive_changes_ == changes_) {
    return;
  }
  // Of several incarnations, a heartbeat that this daemon got itself decides, so these come first.
  std::vector<const proto::GatewayMember*> known;
  for (const auto& [address, heard] : heard_) {
    if (heard.live) {
      known.push_back(&heard.member);
    }
  }
  for (const auto& [reporter, reported] : reported_) {
    for (const auto& [address, member] : reported.alive) {
      if (reported.live == 2 || (reported.live == 1 && !heard_.contains(address))) {
        known.push_back(&member);
      }
    }
  }
  const auto address_of = [](const auto* member) -> const std::string& { return member->peer_address(); };
  std::ranges::stable_sort(known, {}, address_of);
  known.erase(std::unique(known.begin(), known.end(),
                          [&](const auto* left, const auto* right) { return address_of(left) == address_of(right); }),
              known.end());
  known.resize(std::min(known.size(), options_.max_members));
  for (const auto& member : alive_) {
    if (!std::ranges::binary_search(known, member.peer_address(), {}, address_of)) {
      departed_[member.peer_address()] = now;
    }
  }
  std::vector<proto::GatewayMember> members;
  members.reserve(known.size());
  for (const auto* member : known) {
    members.push_back(*member);
    departed_.erase(member->peer_address());
  }
  while (!departed_.empty() && members.size() + departed_.size() > options_.max_members) {
    departed_.erase(departed_.begin());
  }
  alive_ = std::move(members);
  alive_changes_ = changes_;
  ++alive_version_;
}

void MemberList::UpdateList(TimePoint now) {
  if (list_.size() > options_.small_list && now - listed_ < options_.list_interval) {
    return;
  }
  listed_ = now;
  TakeAlive(now);
  Forget(now);
  if (listed_changes_ == alive_changes_) {
    return;
  }
  listed_changes_ = alive_changes_;
  std::map<std::string_view, std::pair<const proto::GatewayMember*, bool>> told;  // and whether it was heard
  for (const auto& [address, heard] : heard_) {
    if (heard.live) {
      told.emplace_hint(told.end(), address, std::pair(&heard.member, true));
    }
  }
  for (const auto& [reporter, reported] : reported_) {
    if (reported.failure_domain == self_.failure_domain()) {
      continue;
    }
    for (const auto& [address, member] : reported.alive) {
      if (member.failure_domain() == reported.failure_domain &&
          (reported.live == 2 || (reported.live == 1 && !heard_.contains(address)))) {
        told.emplace(address, std::pair(&member, false));
      }
    }
  }
  const auto set_changed = [&](const std::string& address, Entry& entry) {
    log_.erase(entry.version);
    entry.version = ++version_;
    entry.changed = now;
    log_.emplace_hint(log_.end(), entry.version, address);
  };
  for (auto& [address, entry] : list_) {
    if (entry.alive && !told.contains(address)) {
      entry.alive = false;
      set_changed(address, entry);
    }
  }
  for (const auto& [address, known] : told) {
    const auto& [member, heard] = known;
    auto found = list_.find(member->peer_address());
    if (found == list_.end()) {
      if (list_.size() >= options_.max_members) {
        continue;
      }
      found = list_.try_emplace(member->peer_address()).first;
    } else if (found->second.alive && found->second.heard == heard && SameMember(found->second.member, *member)) {
      continue;
    }
    Entry& entry = found->second;
    entry.member = *member;
    entry.alive = true;
    entry.heard = heard;
    entry.heard_before = entry.heard_before || heard;
    set_changed(found->first, entry);
  }
}

void MemberList::Forget(TimePoint now) {
  if (now - forgotten_ < kForgetInterval) {
    return;
  }
  forgotten_ = now;
  std::erase_if(departed_, [&](const auto& entry) { return now - entry.second >= options_.counted_for; });
  std::erase_if(heard_, [&](const auto& entry) { return now - entry.second.at >= options_.remembered_for; });
  std::erase_if(reported_, [&](const auto& entry) { return now - entry.second.at >= options_.remembered_for; });
  // Longer than those that asked remember this list: they learn of an end, or read the list anew.
  std::erase_if(list_, [&](const auto& item) {
    const bool old = !item.second.alive && now - item.second.changed >= 2 * options_.remembered_for;
    if (old) {
      log_.erase(item.second.version);
    }
    return old;
  });
}

const std::vector<proto::GatewayMember>& MemberList::LivePeers(TimePoint now) const {
  TakeAlive(now);
  return alive_;
}

std::uint64_t MemberList::LivePeersVersion(TimePoint now) const {
  TakeAlive(now);
  return alive_version_;
}

std::uint64_t MemberList::ListVersion(TimePoint now) {
  UpdateList(now);
  return version_;
}

std::size_t MemberList::RankInDomain(TimePoint now) const {
  const auto& alive = LivePeers(now);
  return static_cast<std::size_t>(std::ranges::count_if(alive, [&](const auto& member) {
    return member.failure_domain() == self_.failure_domain() && member.peer_address() < self_.peer_address();
  }));
}

std::vector<std::string> MemberList::HeartbeatTargets(TimePoint now) const {
  const std::size_t rank = RankInDomain(now);
  std::vector<std::string> targets;
  std::map<std::string_view, std::vector<const std::string*>> relays;  // of other failure domains
  std::size_t own = 0;
  for (const auto& member : LivePeers(now)) {
    if (member.failure_domain() == self_.failure_domain()) {
      // A relay has itself among the first of its domain.
      if (own + (rank < options_.relays ? 1 : 0) < options_.relays) {
        targets.push_back(member.peer_address());
      }
      ++own;
    } else if (auto& found = relays[member.failure_domain()]; found.size() < options_.relays) {
      found.push_back(&member.peer_address());
    }
  }
  if (rank >= options_.relays) {
    return targets;
  }
  std::size_t count = std::min(own + 1, options_.relays);
  for (const auto& [domain, found] : relays) {
    count += found.size();
  }
  for (const auto& [domain, found] : relays) {
    for (std::size_t i = 0; i < found.size(); ++i) {
      if (count <= options_.meshed_relays || i == std::min(rank, found.size() - 1)) {
        targets.push_back(*found[i]);
      }
    }
  }
  return targets;
}

std::vector<std::string> MemberList::LiveDirectPeers(TimePoint now) const {
  TakeAlive(now);
  std::vector<std::string> listeners;
  for (const bool own : {false, true}) {
    for (const auto& [address, heard] : heard_) {
      if (heard.live && own == (heard.member.failure_domain() == self_.failure_domain())) {
        listeners.push_back(address);
      }
    }
  }
  return listeners;
}

Duration MemberList::HeartbeatInterval(TimePoint now) const {
  // A relay exchanges heartbeats both ways with one relay of each other domain.
  std::size_t load = 1;
  std::string_view last;
  std::map<std::string_view, bool> domains;
  for (const auto& member : LivePeers(now)) {
    load += member.failure_domain() == self_.failure_domain() ? 1 : 0;
    if (member.failure_domain() != last) {
      last = member.failure_domain();
      domains.emplace(last, true);
    }
  }
  domains.erase(self_.failure_domain());
  load += 2 * domains.size();
  return std::clamp(options_.interval * static_cast<Duration::rep>(load) /
                        static_cast<Duration::rep>(std::max<std::size_t>(options_.domain_per_interval, 1)),
                    options_.interval, options_.max_interval);
}

const proto::GatewayMember* MemberList::FindHeard(const std::string& address) const {
  const auto found = heard_.find(address);
  return found == heard_.end() ? nullptr : &found->second.member;
}

std::uint64_t MemberList::CrashesDigestOf(const std::string& address) const {
  const auto found = heard_.find(address);
  return found == heard_.end() ? 0 : found->second.crashes_digest;
}

std::vector<std::string> MemberList::Departed(TimePoint now) {
  UpdateList(now);
  std::vector<std::string> addresses;
  for (const auto& [address, at] : departed_) {
    addresses.push_back(address);
  }
  return addresses;
}

std::size_t MemberList::CountDaemonsForBudgets(TimePoint now) {
  TakeAlive(now);
  std::erase_if(departed_, [&](const auto& entry) { return now - entry.second >= options_.counted_for; });
  Forget(now);
  std::size_t counted = alive_.empty() && departed_.empty() ? 0 : 1 + alive_.size() + departed_.size();
  for (const auto& [address, heard] : heard_) {
    counted = std::max(counted, std::min(heard.counted, options_.max_members));
  }
  return counted;
}

}  // namespace pimentomoor
