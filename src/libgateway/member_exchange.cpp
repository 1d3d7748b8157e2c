// Implementation of the schedule of heartbeats.
#include "pimentomoor/member_exchange.h"

#include <algorithm>
#include <functional>

namespace pimentomoor {

namespace {

constexpr std::size_t kCrashReportBytes = 26;  // encoded, at most
constexpr std::size_t kPacketBytes = 28;       // heads of IP and UDP

// Equal for the same reports in any order.
std::uint64_t DigestOf(const proto::GatewayHeartbeat& described) {
  std::uint64_t digest = 0;
  for (const auto& report : described.crashes()) {
    std::uint64_t hash = report.fingerprint() * 0x9e3779b97f4a7c15 + report.reporter();
    hash = (hash ^ (hash >> 32)) * 0xd6e8feb86659fd93 + report.crashes();
    digest += (hash ^ (hash >> 29)) * 0x9e3779b97f4a7c15;
  }
  return digest;
}

}  // namespace

MemberExchange::MemberExchange(proto::GatewayHeartbeat described, MemberExchangeOptions options, TimePoint now)
    : options_(std::move(options)),
      described_(std::move(described)),
      crashes_digest_(DigestOf(described_)),
      members_(described_.sender(), options_.list),
      started_(now),
      push_bytes_(options_.push_burst_bytes),
      push_filled_(now),
      interval_(options_.list.interval) {}

void MemberExchange::UpdateSelf(proto::GatewayHeartbeat described, TimePoint now) {
  described_ = std::move(described);
  crashes_digest_ = DigestOf(described_);
  proto::GatewayMember self = described_.sender();
  const std::uint32_t load = self.load_parts_per_s();
  self.set_load_parts_per_s(members_.self().load_parts_per_s());
  const std::uint32_t state = members_.self_state();
  members_.UpdateSelf(self);
  if (load != self.load_parts_per_s()) {
    // A changed state is told anyway, and the load with it.
    if (members_.self_state() != state || now - load_told_ >= load_interval_) {
      load_told_ = now;
      self.set_load_parts_per_s(load);
      members_.UpdateSelf(std::move(self));
    }
  }
}

void MemberExchange::Add(const std::string& address, proto::GatewayHeartbeat heartbeat,
                         std::vector<MemberDatagram>& out) {
  *heartbeat.mutable_content_revisions() = described_.content_revisions();
  heartbeat.set_interval_ms(static_cast<std::uint32_t>(interval_ / std::chrono::milliseconds(1)));
  heartbeat.set_crashes_digest(crashes_digest_);
  const int reports = described_.crashes_size();
  if (reports > 0 && members_.CrashesDigestOf(address) != crashes_digest_) {
    const std::size_t used = heartbeat.ByteSizeLong() + kCrashReportBytes;
    const std::size_t room = options_.max_datagram_bytes - std::min(options_.max_datagram_bytes, used);
    const std::size_t allowed = options_.crash_report_bytes * options_.list.interval / interval_;
    const std::size_t count = std::min({std::max(room, kCrashReportBytes) / kCrashReportBytes,
                                        allowed / kCrashReportBytes, static_cast<std::size_t>(reports)});
    for (std::size_t i = 0; i < count; ++i) {
      *heartbeat.add_crashes() = described_.crashes(static_cast<int>(next_crash_++ % reports));
    }
  }
  out.push_back({.receiver_address = address, .heartbeat = std::move(heartbeat)});
}

bool MemberExchange::IsSource(const std::string& address, const std::vector<std::string>& targets) const {
  if (targets.size() > options_.list.relays || targets.empty()) {
    return true;  // a relay, which takes the lists of all
  }
  const std::string& source = targets[std::hash<std::string>()(members_.self().peer_address()) % targets.size()];
  const auto asked = asked_.find(source);
  return address == source || asked == asked_.end() || asked->second.failing;
}

void MemberExchange::Ask(const std::string& address, std::vector<MemberDatagram>& out) {
  proto::GatewayHeartbeat heartbeat = members_.MakeHeartbeat(address);
  if (alive_ >= options_.single_source_from && !IsSource(address, targets_)) {
    heartbeat.set_skip_list(true);
  }
  Add(address, std::move(heartbeat), out);
}

void MemberExchange::AskTargets(TimePoint now, bool new_only, std::vector<MemberDatagram>& out) {
  // Before a daemon that starts in a large cell knows its domain, it seems to itself to be a relay of it.
  const bool own_domain_only = large_ && now - started_ < options_.join_time;
  if (const std::uint64_t version = members_.LivePeersVersion(now);
      version != targets_version_ || own_domain_only != own_domain_only_) {
    targets_version_ = version;
    own_domain_only_ = own_domain_only;
    targets_ = members_.HeartbeatTargets(now);
    const auto is_own = [&, &alive = members_.LivePeers(now)](const std::string& address) {
      const auto member = std::ranges::lower_bound(alive, address, {}, &proto::GatewayMember::peer_address);
      return member != alive.end() && member->failure_domain() == members_.self().failure_domain();
    };
    if (own_domain_only && std::ranges::any_of(targets_, is_own)) {
      std::erase_if(targets_, std::not_fn(is_own));
    }
    interval_ = members_.HeartbeatInterval(now);
    const auto& alive = members_.LivePeers(now);
    alive_ = alive.size();
    const auto own = std::ranges::count_if(
        alive, [&](const auto& member) { return member.failure_domain() == members_.self().failure_domain(); });
    load_interval_ = options_.load_interval_per_pair * static_cast<Duration::rep>(alive.size() + 1) *
                     static_cast<Duration::rep>(own + 1);
    std::erase_if(asked_,
                  [&](const auto& entry) { return std::ranges::find(targets_, entry.first) == targets_.end(); });
  }
  const Duration retry = interval_ / 4;
  for (const auto& address : targets_) {
    Asked& asked = asked_[address];
    if (new_only && asked.sent != TimePoint{}) {
      continue;
    }
    asked.failing =
        asked.failing || (!asked.answered && asked.tries >= options_.retries && now - asked.sent >= retry);
    if (now >= asked.next) {
      asked.next = now + interval_;
      asked.tries = 0;
    } else if (asked.answered || asked.tries >= options_.retries || now - asked.sent < retry) {
      continue;
    } else {
      ++asked.tries;
    }
    asked.sent = now;
    asked.answered = false;
    Ask(address, out);
  }
}

void MemberExchange::AskSeeds(TimePoint now, std::vector<MemberDatagram>& out) {
  // Seeds are asked on, more rarely, so that two halves of a cell that lost each other meet again.
  const bool alone = targets_.empty();
  const Duration pause = !alone                                ? options_.seed_interval
                         : now - started_ < options_.join_time ? options_.join_interval
                                                               : interval_;
  if (now - seeds_asked_ < pause || (!alone && !members_.IsRelay(now))) {
    return;
  }
  seeds_asked_ = now;
  const auto ask = [&](const std::string& address) {
    if (address != members_.self().peer_address() && std::ranges::find(targets_, address) == targets_.end()) {
      Ask(address, out);
    }
  };
  // One that is alive is on this side, and would be heard too rarely to stay so in the lists of first-hand members.
  const auto& alive = members_.LivePeers(now);
  for (const auto& seed : options_.seeds) {
    if (!std::ranges::binary_search(alive, seed, {}, &proto::GatewayMember::peer_address)) {
      ask(seed);
    }
  }
  // All seeds may be gone, or on this side of a cut.
  const auto departed = members_.Departed(now);
  auto next = std::ranges::upper_bound(departed, departed_asked_);
  for (std::size_t i = 0; i < std::min(departed.size(), options_.departed_asked); ++i) {
    next = next == departed.end() ? departed.begin() : next;
    departed_asked_ = *next++;
    ask(departed_asked_);
  }
}

void MemberExchange::FillPushBytes(TimePoint now) {
  const double slowed = std::chrono::duration<double>(options_.list.interval) / interval_;
  push_bytes_ = std::min(options_.push_burst_bytes,
                         push_bytes_ + options_.push_bytes_per_s * slowed * slowed *
                                           std::chrono::duration<double>(now - push_filled_).count());
  push_filled_ = now;
}

void MemberExchange::PushChanges(TimePoint now, std::vector<MemberDatagram>& out) {
  FillPushBytes(now);
  const std::uint64_t version = members_.ListVersion(now);
  if (version == pushed_version_) {
    return;
  }
  pushed_version_ = version;
  for (const auto& address : members_.LiveDirectPeers(now)) {
    if (push_bytes_ <= 0) {
      return;
    }
    proto::GatewayHeartbeat push = members_.MakePush(address, now);
    // One that lacks more than a packet is asking for it already.
    if (push.changes_size() > 0 && !push.more()) {
      push_bytes_ -= static_cast<double>(push.ByteSizeLong() + kPacketBytes);
      Add(address, std::move(push), out);
    }
  }
}

std::vector<MemberDatagram> MemberExchange::Tick(TimePoint now) {
  std::vector<MemberDatagram> out;
  AskTargets(now, false, out);
  AskSeeds(now, out);
  PushChanges(now, out);
  return out;
}

std::vector<MemberDatagram> MemberExchange::Receive(const proto::GatewayHeartbeat& heartbeat, TimePoint now,
                                                    bool& taken) {
  std::vector<MemberDatagram> out;
  taken = members_.Receive(heartbeat, now);
  if (!taken) {
    return out;
  }
  const std::string& address = heartbeat.sender().peer_address();
  if (!heartbeat.reply()) {
    Add(address, members_.MakeReply(heartbeat, now), out);
    return out;
  }
  const auto asked = asked_.find(address);
  large_ = large_ || heartbeat.more();
  const bool answer = heartbeat.counted_daemons() > 0;  // news and pushed changes don't tell it
  if (answer && asked != asked_.end() && !asked->second.answered) {
    asked->second.answered = true;
    asked->second.failing = false;
    // The sender doesn't know this daemon's state, or has more to tell.
    if (heartbeat.known_state() != members_.self_state() || heartbeat.more()) {
      asked->second.answered = false;
      asked->second.tries = 0;
      asked->second.sent = now;
      Ask(address, out);
    }
  }
  // A daemon that starts learns of its relays from the seeds, and asks them without waiting for its turn.
  if (now - started_ < options_.join_time && alive_ < options_.single_source_from) {
    AskTargets(now, true, out);
  }
  return out;
}

std::vector<MemberDatagram> MemberExchange::Announce(TimePoint now) {
  std::vector<MemberDatagram> out;
  FillPushBytes(now);
  // A planned stop is always told. Listeners learn of new contents with their next heartbeat, if not now.
  const bool state_changed = members_.self_state() != announced_state_;
  announced_state_ = members_.self_state();
  std::vector<std::string> receivers = targets_;
  for (auto& listener : members_.LiveDirectPeers(now)) {
    if (std::ranges::find(targets_, listener) == targets_.end()) {
      receivers.push_back(std::move(listener));
    }
  }
  for (std::size_t i = 0; i < receivers.size(); ++i) {
    if (i >= targets_.size() && !state_changed && push_bytes_ <= 0) {
      break;
    }
    Add(receivers[i], members_.MakeNews(receivers[i]), out);
    push_bytes_ -= static_cast<double>(out.back().heartbeat.ByteSizeLong() + kPacketBytes);
  }
  return out;
}

}  // namespace pimentomoor
