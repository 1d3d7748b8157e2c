// Implementation of the member list.
#include "pimentomoor/member_list.h"

#include <algorithm>

#include "pimentomoor/config_lists.h"

namespace pimentomoor {

namespace {

bool SameMember(const proto::GatewayMember& left, const proto::GatewayMember& right) {
  return left.incarnation() == right.incarnation() && left.ready() == right.ready() &&
         left.store_answers() == right.store_answers() && left.load_parts_per_s() == right.load_parts_per_s() &&
         left.capacity_millicores() == right.capacity_millicores() &&
         left.caller_address() == right.caller_address() && left.failure_domain() == right.failure_domain();
}

}  // namespace

MemberList::MemberList(proto::GatewayMember self, MemberListOptions options)
    : self_(std::move(self)), options_(options) {}

bool MemberList::IsComplete(const proto::GatewayMember& member) const {
  // The size counts unknown fields as well, which protobuf keeps and sends on.
  return IsSocketAddress(member.peer_address()) && IsSocketAddress(member.caller_address()) &&
         !member.failure_domain().empty() && member.ByteSizeLong() <= options_.max_member_bytes;
}

bool MemberList::Receive(const proto::GatewayHeartbeat& heartbeat, TimePoint now) {
  const proto::GatewayMember& sender = heartbeat.sender();
  const std::string& address = sender.peer_address();
  if (!IsComplete(sender) || address == self_.peer_address() ||
      (!heard_.contains(address) && heard_.size() >= options_.max_members)) {
    return false;
  }
  Heard& heard = heard_[address];
  if (!heard.listed_alive || !SameMember(heard.member, sender) || heard.changed_version == 0) {
    heard.changed_version = ++version_;
  }
  heard.member = sender;
  if (heartbeat.counted_daemons() > 0) {  // news of a changed state does not tell it
    heard.counted = heartbeat.counted_daemons();
  }
  heard.at = now;
  heard.listed_alive = true;
  if (heartbeat.reply()) {
    TakeChanges(heartbeat, now);
  }
  return true;
}

void MemberList::TakeChanges(const proto::GatewayHeartbeat& reply, TimePoint now) {
  Reported& reported = reported_[reply.sender().peer_address()];
  if (reported.incarnation != reply.sender().incarnation()) {
    reported = {.incarnation = reply.sender().incarnation()};
  }
  // Replies can arrive in another order than they were sent.
  if (reply.list_version() < reported.version) {
    return;
  }
  reported.version = reply.list_version();
  reported.at = now;
  for (const auto& change : reply.changes()) {
    const std::string& address = change.member().peer_address();
    if (!IsComplete(change.member()) || address == self_.peer_address()) {
      continue;
    }
    if (!change.alive()) {
      reported.alive.erase(address);
    } else if (reported.alive.contains(address) || reported.alive.size() < options_.max_members) {
      reported.alive[address] = change.member();
    }
  }
}

proto::GatewayHeartbeat MemberList::MakeHeartbeat(const std::string& address) const {
  proto::GatewayHeartbeat heartbeat;
  *heartbeat.mutable_sender() = self_;
  heartbeat.set_counted_daemons(static_cast<std::uint32_t>(1 + last_alive_.size()));
  if (const auto found = reported_.find(address); found != reported_.end()) {
    heartbeat.set_known_version(found->second.version);
    heartbeat.set_known_incarnation(found->second.incarnation);
  }
  return heartbeat;
}

proto::GatewayHeartbeat MemberList::MakeReply(const proto::GatewayHeartbeat& heartbeat, TimePoint now) {
  ExpireHeard(now);
  proto::GatewayHeartbeat reply;
  *reply.mutable_sender() = self_;
  reply.set_reply(true);
  reply.set_counted_daemons(static_cast<std::uint32_t>(1 + last_alive_.size()));
  reply.set_list_version(version_);
  const std::uint64_t known = heartbeat.known_incarnation() == self_.incarnation() ? heartbeat.known_version() : 0;
  for (const auto& [address, heard] : heard_) {
    if (heard.changed_version > known && address != heartbeat.sender().peer_address()) {
      auto* change = reply.add_changes();
      *change->mutable_member() = heard.member;
      change->set_alive(heard.listed_alive);
    }
  }
  return reply;
}

void MemberList::ExpireHeard(TimePoint now) {
  for (auto& [address, heard] : heard_) {
    if (heard.listed_alive && now - heard.at >= options_.alive_for) {
      heard.listed_alive = false;
      heard.changed_version = ++version_;
    }
  }
}

std::vector<proto::GatewayMember> MemberList::Alive(TimePoint now) const {
  // Of several incarnations, a heartbeat that this daemon got itself decides, so these come first. heard_ is bounded.
  std::map<std::string, const proto::GatewayMember*> alive;
  std::map<std::string, const proto::GatewayMember*> told;
  for (const auto& [address, heard] : heard_) {
    if (now - heard.at < options_.alive_for) {
      alive[address] = &heard.member;
    }
  }
  for (const auto& [reporter, reported] : reported_) {
    if (now - reported.at < options_.alive_for) {
      for (const auto& [address, member] : reported.alive) {
        told[address] = &member;
      }
    }
  }
  for (const auto& [address, member] : told) {
    if (alive.size() < options_.max_members) {
      alive.emplace(address, member);
    }
  }
  std::vector<proto::GatewayMember> members;
  members.reserve(alive.size());
  for (const auto& [address, member] : alive) {
    members.push_back(*member);
  }
  return members;
}

std::vector<std::string> MemberList::Targets(TimePoint now) const {
  std::map<std::string, std::size_t> taken;  // by failure domain
  std::vector<std::string> targets;
  for (const auto& member : Alive(now)) {
    const bool own = member.failure_domain() == self_.failure_domain();
    if (taken[member.failure_domain()]++ < (own ? options_.own_domain_targets : options_.other_domain_targets)) {
      targets.push_back(member.peer_address());
    }
  }
  return targets;
}

std::vector<std::string> MemberList::Listeners(TimePoint now) const {
  std::vector<std::string> listeners;
  for (const auto& [address, heard] : heard_) {
    if (now - heard.at < options_.alive_for) {
      listeners.push_back(address);
    }
  }
  return listeners;
}

std::size_t MemberList::CountForBudgets(TimePoint now) {
  std::erase_if(last_alive_, [&](const auto& entry) { return now - entry.second >= options_.counted_for; });
  for (const auto& member : Alive(now)) {
    if (last_alive_.contains(member.peer_address()) || last_alive_.size() < options_.max_members) {
      last_alive_[member.peer_address()] = now;
    }
  }
  std::erase_if(heard_, [&](const auto& entry) { return now - entry.second.at >= options_.remembered_for; });
  std::erase_if(reported_, [&](const auto& entry) { return now - entry.second.at >= options_.remembered_for; });
  std::size_t counted = last_alive_.empty() ? 0 : 1 + last_alive_.size();
  for (const auto& [address, heard] : heard_) {
    counted = std::max(counted, std::min(heard.counted, options_.max_members));
  }
  return counted;
}

}  // namespace pimentomoor
