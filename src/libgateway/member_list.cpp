// Implementation of the member list.
#include "pimentomoor/member_list.h"

#include <algorithm>
#include <string_view>

#include "pimentomoor/config_lists.h"

namespace pimentomoor {

namespace {

// Range of the state number at which a run of the process begins.
constexpr std::uint32_t kInitialStateNumbers = 1'000'000;
constexpr Duration kExpiryInterval = std::chrono::seconds(1);

bool HasSameState(const proto::GatewayMember& left, const proto::GatewayMember& right) {
  return left.incarnation() == right.incarnation() && left.ready() == right.ready() &&
         left.store_answers() == right.store_answers() && left.load_parts_per_s() == right.load_parts_per_s() &&
         left.capacity_millicores() == right.capacity_millicores() && left.fleet_known() == right.fleet_known() &&
         left.caller_address() == right.caller_address() && left.failure_domain() == right.failure_domain();
}

}  // namespace

MemberList::MemberList(proto::GatewayMember self, MemberListOptions options)
    : self_(std::move(self)),
      options_(options),
      // The first state number differs between runs of the process, so that a peer doesn't take the state of one run
      // for that of another.
      self_state_number_(static_cast<std::uint32_t>(1 + self_.incarnation() % kInitialStateNumbers)) {}

void MemberList::UpdateSelf(proto::GatewayMember self) {
  if (!HasSameState(self_, self)) {
    ++self_state_number_;
  }
  self_ = std::move(self);
}

bool MemberList::IsValid(const proto::GatewayMember& member) const {
  // The size includes unknown fields, because protobuf keeps and forwards them.
  return IsSocketAddress(member.peer_address()) && IsSocketAddress(member.caller_address()) &&
         !member.failure_domain().empty() && member.ByteSizeLong() <= options_.max_member_bytes;
}

Duration MemberList::HeartbeatTimeout(Duration interval) const {
  const Duration slowed = std::clamp(interval, options_.heartbeat_interval, options_.max_heartbeat_interval) -
                          options_.heartbeat_interval;
  const double share =
      options_.max_heartbeat_interval > options_.heartbeat_interval
          ? static_cast<double>(slowed.count()) /
                static_cast<double>((options_.max_heartbeat_interval - options_.heartbeat_interval).count())
          : 0;
  return options_.heartbeat_timeout + std::chrono::duration_cast<Duration>(
                                          share * std::chrono::duration<double, Duration::period>(
                                                      options_.max_heartbeat_timeout - options_.heartbeat_timeout));
}

bool MemberList::Receive(const proto::GatewayHeartbeat& heartbeat, TimePoint now) {
  const proto::GatewayMember& sender = heartbeat.sender();
  const std::string& address = sender.peer_address();
  if (address == self_.peer_address()) {
    return false;
  }
  auto found = direct_peers_.find(address);
  if (found != direct_peers_.end() && found->second.previous_incarnation != 0 &&
      sender.incarnation() == found->second.previous_incarnation) {
    return false;
  }
  const bool identity_only = heartbeat.sender_state() != 0 && sender.caller_address().empty();
  if (identity_only && (found == direct_peers_.end() || found->second.member.incarnation() != sender.incarnation() ||
                        found->second.state_number < heartbeat.sender_state())) {
    // The datagram holds only the sender's identity and refers to a state that is unknown here. A heartbeat is
    // accepted nevertheless: the reply to it names the state known here, and the sender then sends its whole state.
    return !heartbeat.reply() && IsSocketAddress(address);
  }
  if (!identity_only &&
      (!IsValid(sender) || (found == direct_peers_.end() && direct_peers_.size() >= options_.max_members))) {
    return false;
  }
  DirectPeer& peer = identity_only ? found->second : direct_peers_[address];
  if (!identity_only) {
    const bool restarted = peer.member.incarnation() != sender.incarnation();
    if (restarted) {
      const bool had_predecessor = !peer.member.peer_address().empty();
      peer = {.previous_incarnation = had_predecessor ? peer.member.incarnation() : 0, .live = peer.live};
    }
    // Datagrams can arrive out of order: an older state doesn't replace a newer one.
    if (restarted || heartbeat.sender_state() == 0 || heartbeat.sender_state() >= peer.state_number) {
      input_version_ += restarted || !HasSameState(peer.member, sender) ? 1 : 0;
      peer.member = sender;
      peer.state_number = heartbeat.sender_state();
    }
  }
  if (heartbeat.counted_daemons() > 0) {  // announcements and pushes don't set it
    peer.counted_daemons = heartbeat.counted_daemons();
  }
  peer.received_at = now;
  peer.timeout = HeartbeatTimeout(std::chrono::milliseconds(heartbeat.interval_ms()));
  peer.known_self_state_number = heartbeat.known_state();
  peer.crashes_digest = heartbeat.crashes_digest();
  peer.leaving_digest = heartbeat.has_leaving_digest() ? std::optional(heartbeat.leaving_digest()) : std::nullopt;
  input_version_ += peer.live ? 0 : 1;
  if (!heartbeat.reply()) {
    peer.wants_list = !heartbeat.skip_list();
    peer.known_list_version = heartbeat.known_incarnation() == self_.incarnation() ? heartbeat.known_version() : 0;
  } else if (!heartbeat.skip_list()) {
    ApplyListChanges(heartbeat, peer.timeout, now);
  }
  return true;
}

void MemberList::ApplyListChanges(const proto::GatewayHeartbeat& reply, Duration timeout, TimePoint now) {
  const std::string& sender = reply.sender().peer_address();
  if (!received_lists_.contains(sender) && received_lists_.size() >= options_.max_received_lists) {
    return;
  }
  ReceivedList& list = received_lists_[sender];
  if (list.peer_incarnation != reply.sender().incarnation()) {
    list = {.peer_incarnation = reply.sender().incarnation()};
    ++input_version_;
  }
  // Replies can arrive out of order, and a reply to a previous run of this daemon starts at a list version that this
  // run doesn't have.
  if (reply.list_version() < list.version || reply.base_version() > list.version) {
    return;
  }
  list.failure_domain = direct_peers_.at(sender).member.failure_domain();
  list.version = reply.list_version();
  // An expired list may hold daemons that ended since, so its validity is renewed only when it has been read to its
  // end.
  if (!reply.more() || list.renewed_at == TimePoint{} || now - list.renewed_at < list.timeout) {
    list.renewed_at = now;
  }
  list.timeout = timeout;
  input_version_ += list.validity < 2 || reply.changes_size() > 0 ? 1 : 0;
  for (const auto& change : reply.changes()) {
    const std::string& address = change.member().peer_address();
    if (address == self_.peer_address()) {
      continue;
    }
    if (!change.alive()) {
      list.live_members.erase(address);
    } else if (IsValid(change.member()) &&
               (list.live_members.contains(address) || list.live_members.size() < options_.max_members)) {
      list.live_members[address] = change.member();
    }
  }
}

void MemberList::FillSelf(proto::GatewayHeartbeat& heartbeat, bool identity_only) const {
  if (identity_only) {
    heartbeat.mutable_sender()->set_peer_address(self_.peer_address());
    heartbeat.mutable_sender()->set_incarnation(self_.incarnation());
  } else {
    *heartbeat.mutable_sender() = self_;
  }
  heartbeat.set_sender_state(self_state_number_);
}

proto::GatewayHeartbeat MemberList::MakeHeartbeat(const std::string& address) const {
  proto::GatewayHeartbeat heartbeat = MakeAnnouncement(address);
  heartbeat.clear_reply();
  heartbeat.clear_skip_list();
  heartbeat.set_counted_daemons(static_cast<std::uint32_t>(1 + live_peers_.size() + departed_peers_.size()));
  if (const auto found = received_lists_.find(address); found != received_lists_.end()) {
    heartbeat.set_known_version(found->second.version);
    heartbeat.set_known_incarnation(found->second.peer_incarnation);
  }
  return heartbeat;
}

proto::GatewayHeartbeat MemberList::MakeAnnouncement(const std::string& address) const {
  proto::GatewayHeartbeat announcement;
  const auto found = direct_peers_.find(address);
  FillSelf(announcement, found != direct_peers_.end() && found->second.known_self_state_number == self_state_number_);
  announcement.set_known_state(found == direct_peers_.end() ? 0 : found->second.state_number);
  announcement.set_reply(true);
  announcement.set_skip_list(true);
  return announcement;
}

proto::GatewayHeartbeat MemberList::MakeReply(const proto::GatewayHeartbeat& heartbeat, TimePoint now) {
  UpdateList(now);
  const std::string& address = heartbeat.sender().peer_address();
  proto::GatewayHeartbeat reply;
  FillSelf(reply, heartbeat.known_state() == self_state_number_);
  reply.set_reply(true);
  reply.set_counted_daemons(static_cast<std::uint32_t>(1 + live_peers_.size() + departed_peers_.size()));
  const auto found = direct_peers_.find(address);
  const bool sender_known =
      found != direct_peers_.end() && found->second.member.incarnation() == heartbeat.sender().incarnation();
  reply.set_known_state(sender_known ? found->second.state_number : 0);
  if (!sender_known || heartbeat.skip_list()) {
    reply.set_skip_list(true);
    return reply;
  }
  AddChanges(reply, heartbeat.known_incarnation() == self_.incarnation() ? heartbeat.known_version() : 0, address,
             found->second.member.failure_domain() != self_.failure_domain());
  return reply;
}

proto::GatewayHeartbeat MemberList::MakePush(const std::string& address, TimePoint now) {
  UpdateList(now);
  proto::GatewayHeartbeat push = MakeAnnouncement(address);
  const auto found = direct_peers_.find(address);
  if (found != direct_peers_.end() && found->second.wants_list && found->second.known_list_version != 0) {
    AddChanges(push, found->second.known_list_version, address,
               found->second.member.failure_domain() != self_.failure_domain());
    push.set_skip_list(push.changes_size() == 0);
  }
  return push;
}

void MemberList::AddChanges(proto::GatewayHeartbeat& reply, std::uint64_t known_version, const std::string& receiver,
                            bool other_domain) const {
  reply.set_base_version(known_version);
  reply.set_list_version(own_list_version_);
  if (known_version == 0 && other_domain) {
    // A daemon that starts needs the relays of its own domain first. The loop below adds them again at their version.
    const std::string& domain = direct_peers_.at(receiver).member.failure_domain();
    for (const auto& [address, peer] : direct_peers_) {
      if (peer.live && address != receiver && peer.member.failure_domain() == domain &&
          static_cast<std::size_t>(reply.changes_size()) < options_.relays_per_domain) {
        reply.add_changes()->set_alive(true);
        *reply.mutable_changes(reply.changes_size() - 1)->mutable_member() = peer.member;
      }
    }
  }
  std::size_t bytes = reply.ByteSizeLong();
  for (auto next = addresses_by_version_.upper_bound(known_version); next != addresses_by_version_.end(); ++next) {
    const ListEntry& entry = own_list_.at(next->second);
    if (next->second == receiver || (other_domain && !entry.ever_direct)) {
      continue;
    }
    proto::ListedMember change;
    change.set_alive(entry.alive && (!other_domain || entry.direct));
    if (change.alive()) {
      *change.mutable_member() = entry.member;
    } else {
      change.mutable_member()->set_peer_address(next->second);
      change.mutable_member()->set_incarnation(entry.member.incarnation());
    }
    bytes += change.ByteSizeLong() + 3;  // tag and length of the field
    const auto count = static_cast<std::size_t>(reply.changes_size());
    if ((bytes > options_.max_reply_bytes && count > 0) || count >= options_.max_members) {
      reply.set_list_version(next->first - 1);
      reply.set_more(true);
      return;
    }
    *reply.add_changes() = std::move(change);
  }
}

void MemberList::RefreshLivePeers(TimePoint now) const {
  if (live_input_version_ == input_version_ && now < next_expiry_) {
    return;
  }
  next_expiry_ = TimePoint::max();
  const auto expires = [&](TimePoint at) {
    next_expiry_ = at > now ? std::min(next_expiry_, at) : next_expiry_;
    return at <= now;
  };
  for (const auto& [address, peer] : direct_peers_) {
    const bool live = !expires(peer.received_at + peer.timeout);
    input_version_ += live == peer.live ? 0 : 1;
    peer.live = live;
  }
  for (const auto& [sender, list] : received_lists_) {
    const Duration lifetime =
        std::min(list.timeout + options_.received_list_grace, options_.max_received_list_lifetime);
    const int validity = !expires(list.renewed_at + list.timeout) ? 2 : !expires(list.renewed_at + lifetime) ? 1 : 0;
    input_version_ += validity == list.validity ? 0 : 1;
    list.validity = validity;
  }
  if (live_input_version_ == input_version_) {
    return;
  }
  // Direct peers come first, because std::unique keeps the first of equal addresses: when the incarnations of a
  // member differ, the one that this daemon received itself counts.
  std::vector<const proto::GatewayMember*> candidates;
  for (const auto& [address, peer] : direct_peers_) {
    if (peer.live) {
      candidates.push_back(&peer.member);
    }
  }
  for (const auto& [sender, list] : received_lists_) {
    for (const auto& [address, member] : list.live_members) {
      if (list.validity == 2 || (list.validity == 1 && !direct_peers_.contains(address))) {
        candidates.push_back(&member);
      }
    }
  }
  const auto address_of = [](const auto* member) -> const std::string& { return member->peer_address(); };
  std::ranges::stable_sort(candidates, {}, address_of);
  candidates.erase(
      std::unique(candidates.begin(), candidates.end(),
                  [&](const auto* left, const auto* right) { return address_of(left) == address_of(right); }),
      candidates.end());
  candidates.resize(std::min(candidates.size(), options_.max_members));
  for (const auto& member : live_peers_) {
    if (!std::ranges::binary_search(candidates, member.peer_address(), {}, address_of)) {
      departed_peers_[member.peer_address()] = now;
    }
  }
  std::vector<proto::GatewayMember> members;
  members.reserve(candidates.size());
  for (const auto* member : candidates) {
    members.push_back(*member);
    departed_peers_.erase(member->peer_address());
  }
  while (!departed_peers_.empty() && members.size() + departed_peers_.size() > options_.max_members) {
    departed_peers_.erase(departed_peers_.begin());
  }
  live_peers_ = std::move(members);
  live_input_version_ = input_version_;
  ++live_peers_version_;
}

void MemberList::UpdateList(TimePoint now) {
  if (own_list_.size() > options_.small_list_size && now - own_list_updated_at_ < options_.min_list_update_interval) {
    return;
  }
  own_list_updated_at_ = now;
  RefreshLivePeers(now);
  RemoveExpired(now);
  if (own_list_input_version_ == live_input_version_) {
    return;
  }
  own_list_input_version_ = live_input_version_;
  std::map<std::string_view, std::pair<const proto::GatewayMember*, bool>> members;  // second: is direct
  for (const auto& [address, peer] : direct_peers_) {
    if (peer.live) {
      members.emplace_hint(members.end(), address, std::pair(&peer.member, true));
    }
  }
  for (const auto& [sender, list] : received_lists_) {
    if (list.failure_domain == self_.failure_domain()) {
      continue;
    }
    for (const auto& [address, member] : list.live_members) {
      if (member.failure_domain() == list.failure_domain &&
          (list.validity == 2 || (list.validity == 1 && !direct_peers_.contains(address)))) {
        members.emplace(address, std::pair(&member, false));
      }
    }
  }
  const auto set_changed = [&](const std::string& address, ListEntry& entry) {
    addresses_by_version_.erase(entry.version);
    entry.version = ++own_list_version_;
    entry.changed_at = now;
    addresses_by_version_.emplace_hint(addresses_by_version_.end(), entry.version, address);
  };
  for (auto& [address, entry] : own_list_) {
    if (entry.alive && !members.contains(address)) {
      entry.alive = false;
      set_changed(address, entry);
    }
  }
  for (const auto& [address, member_and_direct] : members) {
    const auto& [member, direct] = member_and_direct;
    auto found = own_list_.find(member->peer_address());
    if (found == own_list_.end()) {
      if (own_list_.size() >= options_.max_members) {
        continue;
      }
      found = own_list_.try_emplace(member->peer_address()).first;
    } else if (found->second.alive && found->second.direct == direct && HasSameState(found->second.member, *member)) {
      continue;
    }
    ListEntry& entry = found->second;
    entry.member = *member;
    entry.alive = true;
    entry.direct = direct;
    entry.ever_direct = entry.ever_direct || direct;
    set_changed(found->first, entry);
  }
}

void MemberList::RemoveExpired(TimePoint now) {
  if (now - expired_removed_at_ < kExpiryInterval) {
    return;
  }
  expired_removed_at_ = now;
  std::erase_if(departed_peers_, [&](const auto& entry) { return now - entry.second >= options_.budget_retention; });
  std::erase_if(direct_peers_,
                [&](const auto& entry) { return now - entry.second.received_at >= options_.silent_peer_retention; });
  std::erase_if(received_lists_,
                [&](const auto& entry) { return now - entry.second.renewed_at >= options_.silent_peer_retention; });
  // Entries of ended members are kept for longer than peers keep this list: a peer either learns of the end from the
  // changes, or has dropped the list and reads it from its beginning.
  std::erase_if(own_list_, [&](const auto& item) {
    const bool expired = !item.second.alive && now - item.second.changed_at >= 2 * options_.silent_peer_retention;
    if (expired) {
      addresses_by_version_.erase(item.second.version);
    }
    return expired;
  });
}

const std::vector<proto::GatewayMember>& MemberList::LivePeers(TimePoint now) const {
  RefreshLivePeers(now);
  return live_peers_;
}

std::uint64_t MemberList::LivePeersVersion(TimePoint now) const {
  RefreshLivePeers(now);
  return live_peers_version_;
}

std::uint64_t MemberList::ListVersion(TimePoint now) {
  UpdateList(now);
  return own_list_version_;
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
  std::size_t own_domain_peers = 0;
  for (const auto& member : LivePeers(now)) {
    if (member.failure_domain() == self_.failure_domain()) {
      // A relay is itself one of the relays_per_domain first daemons of its domain.
      if (own_domain_peers + (rank < options_.relays_per_domain ? 1 : 0) < options_.relays_per_domain) {
        targets.push_back(member.peer_address());
      }
      ++own_domain_peers;
    } else if (auto& found = relays[member.failure_domain()]; found.size() < options_.relays_per_domain) {
      found.push_back(&member.peer_address());
    }
  }
  if (rank >= options_.relays_per_domain) {
    return targets;
  }
  std::size_t relay_count = std::min(own_domain_peers + 1, options_.relays_per_domain);
  for (const auto& [domain, found] : relays) {
    relay_count += found.size();
  }
  for (const auto& [domain, found] : relays) {
    for (std::size_t i = 0; i < found.size(); ++i) {
      if (relay_count <= options_.max_full_mesh_relays || i == std::min(rank, found.size() - 1)) {
        targets.push_back(*found[i]);
      }
    }
  }
  return targets;
}

std::vector<std::string> MemberList::LiveDirectPeers(TimePoint now) const {
  RefreshLivePeers(now);
  std::vector<std::string> addresses;
  for (const bool own_domain : {false, true}) {
    for (const auto& [address, peer] : direct_peers_) {
      if (peer.live && own_domain == (peer.member.failure_domain() == self_.failure_domain())) {
        addresses.push_back(address);
      }
    }
  }
  return addresses;
}

Duration MemberList::HeartbeatInterval(TimePoint now) const {
  // A relay receives the heartbeats of its own domain, and exchanges them in both directions with one relay of each
  // other domain.
  std::size_t relay_heartbeats = 1;
  std::string_view last;
  std::map<std::string_view, bool> other_domains;
  for (const auto& member : LivePeers(now)) {
    relay_heartbeats += member.failure_domain() == self_.failure_domain() ? 1 : 0;
    if (member.failure_domain() != last) {
      last = member.failure_domain();
      other_domains.emplace(last, true);
    }
  }
  other_domains.erase(self_.failure_domain());
  relay_heartbeats += 2 * other_domains.size();
  return std::clamp(options_.heartbeat_interval * static_cast<Duration::rep>(relay_heartbeats) /
                        static_cast<Duration::rep>(std::max<std::size_t>(options_.relay_heartbeats_per_interval, 1)),
                    options_.heartbeat_interval, options_.max_heartbeat_interval);
}

const proto::GatewayMember* MemberList::FindDirectPeer(const std::string& address) const {
  const auto found = direct_peers_.find(address);
  return found == direct_peers_.end() ? nullptr : &found->second.member;
}

std::uint64_t MemberList::CrashesDigestOf(const std::string& address) const {
  const auto found = direct_peers_.find(address);
  return found == direct_peers_.end() ? 0 : found->second.crashes_digest;
}

bool MemberList::LacksLeavingReports(const std::string& address, std::uint64_t digest) const {
  const auto found = direct_peers_.find(address);
  return found != direct_peers_.end() && found->second.leaving_digest && *found->second.leaving_digest != digest;
}

std::vector<std::string> MemberList::DepartedPeers(TimePoint now) {
  UpdateList(now);
  std::vector<std::string> addresses;
  for (const auto& [address, last_alive] : departed_peers_) {
    addresses.push_back(address);
  }
  return addresses;
}

std::size_t MemberList::CountDaemonsForBudgets(TimePoint now) {
  RefreshLivePeers(now);
  std::erase_if(departed_peers_, [&](const auto& entry) { return now - entry.second >= options_.budget_retention; });
  RemoveExpired(now);
  std::size_t counted =
      live_peers_.empty() && departed_peers_.empty() ? 0 : 1 + live_peers_.size() + departed_peers_.size();
  for (const auto& [address, peer] : direct_peers_) {
    counted = std::max(counted, std::min(peer.counted_daemons, options_.max_members));
  }
  return counted;
}

}  // namespace pimentomoor
