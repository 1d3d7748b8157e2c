// Implementation of the heartbeat schedule.
#include "pimentomoor/member_exchange.h"

#include <algorithm>
#include <functional>

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxCrashReportBytes = 54;    // encoded in a heartbeat
constexpr std::size_t kMaxLeavingReportBytes = 18;  // encoded in a heartbeat
constexpr std::size_t kIpUdpHeaderBytes = 28;
constexpr std::size_t kRolloutReportOverheadBytes = 4;  // tag and length of a report in a heartbeat

// Digest of the crash reports of `heartbeat`; the order of the reports makes no difference.
std::uint64_t ComputeCrashesDigest(const proto::GatewayHeartbeat& heartbeat) {
  std::uint64_t digest = 0;
  for (const auto& report : heartbeat.crashes()) {
    std::uint64_t hash = report.fingerprint() * 0x9e3779b97f4a7c15 + report.reporter();
    for (const std::uint32_t number : {report.crashes(), report.refusal(), report.withdrawn(), report.sightings()}) {
      hash = (hash ^ (hash >> 32)) * 0xd6e8feb86659fd93 + number;
    }
    digest += (hash ^ (hash >> 29)) * 0x9e3779b97f4a7c15;
  }
  return digest;
}

// Digest of the leaving upstreams of `heartbeat`; their order and age make no difference.
std::uint64_t ComputeLeavingDigest(const proto::GatewayHeartbeat& heartbeat) {
  std::uint64_t digest = 0;
  for (const auto& report : heartbeat.leaving()) {
    const std::uint64_t hash = report.lifetime() * 0x9e3779b97f4a7c15;
    digest += (hash ^ (hash >> 29)) * 0xd6e8feb86659fd93;
  }
  return digest;
}

}  // namespace

MemberExchange::MemberExchange(proto::GatewayHeartbeat self_heartbeat, MemberExchangeOptions options, TimePoint now)
    : options_(std::move(options)),
      self_heartbeat_(std::move(self_heartbeat)),
      crashes_digest_(ComputeCrashesDigest(self_heartbeat_)),
      leaving_digest_(ComputeLeavingDigest(self_heartbeat_)),
      members_(self_heartbeat_.sender(), options_.list),
      started_(now),
      push_budget_bytes_(options_.push_burst_bytes),
      push_budget_refilled_at_(now),
      heartbeat_interval_(options_.list.heartbeat_interval) {}

void MemberExchange::UpdateSelf(proto::GatewayHeartbeat self_heartbeat, TimePoint now) {
  self_heartbeat_ = std::move(self_heartbeat);
  crashes_digest_ = ComputeCrashesDigest(self_heartbeat_);
  leaving_digest_ = ComputeLeavingDigest(self_heartbeat_);
  proto::GatewayMember self = self_heartbeat_.sender();
  const std::uint32_t load = self.load_parts_per_s();
  self.set_load_parts_per_s(members_.self().load_parts_per_s());
  const std::uint32_t previous_state_number = members_.self_state_number();
  members_.UpdateSelf(self);
  if (load != self.load_parts_per_s()) {
    // A change of another part of the state is announced without delay, and the load with it.
    if (members_.self_state_number() != previous_state_number ||
        now - load_announced_at_ >= load_announce_interval_) {
      load_announced_at_ = now;
      self.set_load_parts_per_s(load);
      members_.UpdateSelf(std::move(self));
    }
  }
}

void MemberExchange::AddRolloutReports(proto::GatewayHeartbeat& heartbeat) {
  const auto& reports = self_heartbeat_.rollouts();
  if (reports.empty()) {
    return;
  }
  const std::size_t used_bytes = heartbeat.ByteSizeLong() + kMaxCrashReportBytes;
  std::size_t free_bytes = options_.max_datagram_bytes - std::min(options_.max_datagram_bytes, used_bytes);
  const auto add_if_it_fits = [&](const proto::RolloutReport& report, std::size_t& budget) {
    const std::size_t bytes = report.ByteSizeLong() + kRolloutReportOverheadBytes;
    if (bytes > std::min(budget, free_bytes)) {
      return false;
    }
    budget -= bytes;
    free_bytes -= bytes;
    *heartbeat.add_rollouts() = report;
    return true;
  };
  const std::uint64_t self = members_.self().incarnation();
  const auto others_begin =
      std::find_if(reports.begin(), reports.end(), [self](const auto& report) { return report.reporter() != self; });
  std::size_t own_budget = options_.rollout_bytes_per_datagram;
  for (auto report = reports.begin(); report != others_begin; ++report) {
    add_if_it_fits(*report, own_budget);
  }
  const auto others = static_cast<std::size_t>(reports.end() - others_begin);
  std::size_t budget = options_.rollout_bytes_per_datagram;
  for (std::size_t i = 0; i < others; ++i) {
    if (!add_if_it_fits(*(others_begin + static_cast<std::ptrdiff_t>(next_rollout_report_ % others)), budget)) {
      break;
    }
    ++next_rollout_report_;
  }
}

void MemberExchange::AddDatagram(const std::string& address, proto::GatewayHeartbeat heartbeat,
                                 std::vector<MemberDatagram>& out) {
  *heartbeat.mutable_content_revisions() = self_heartbeat_.content_revisions();
  *heartbeat.mutable_store_eras() = self_heartbeat_.store_eras();
  *heartbeat.mutable_carried_digests() = self_heartbeat_.carried_digests();
  heartbeat.set_interval_ms(static_cast<std::uint32_t>(heartbeat_interval_ / std::chrono::milliseconds(1)));
  AddCrashReports(address, heartbeat);
  AddLeavingReports(address, heartbeat);
  out.push_back({.receiver_address = address, .heartbeat = std::move(heartbeat)});
}

void MemberExchange::AddCrashReports(const std::string& address, proto::GatewayHeartbeat& heartbeat) {
  heartbeat.set_crashes_digest(crashes_digest_);
  AddRolloutReports(heartbeat);
  const int report_count = self_heartbeat_.crashes_size();
  if (report_count > 0 && members_.CrashesDigestOf(address) != crashes_digest_) {
    const std::size_t used_bytes = heartbeat.ByteSizeLong() + kMaxCrashReportBytes;
    const std::size_t free_bytes = options_.max_datagram_bytes - std::min(options_.max_datagram_bytes, used_bytes);
    const std::size_t allowed_bytes =
        options_.crash_bytes_per_datagram * options_.list.heartbeat_interval / heartbeat_interval_;
    const std::size_t count =
        std::min({std::max(free_bytes, kMaxCrashReportBytes) / kMaxCrashReportBytes,
                  allowed_bytes / kMaxCrashReportBytes, static_cast<std::size_t>(report_count)});
    for (std::size_t i = 0; i < count; ++i) {
      *heartbeat.add_crashes() = self_heartbeat_.crashes(static_cast<int>(next_crash_report_++ % report_count));
    }
  }
}

void MemberExchange::AddLeavingReports(const std::string& address, proto::GatewayHeartbeat& heartbeat) {
  heartbeat.set_leaving_digest(leaving_digest_);
  const auto report_count = static_cast<std::size_t>(self_heartbeat_.leaving_size());
  if (report_count == 0 || !members_.LacksLeavingReports(address, leaving_digest_)) {
    return;
  }
  const std::size_t used_bytes = std::min(options_.max_datagram_bytes, heartbeat.ByteSizeLong());
  const std::size_t allowed_bytes =
      options_.leaving_bytes_per_datagram * options_.list.heartbeat_interval / heartbeat_interval_;
  const std::size_t bytes = std::min(options_.max_datagram_bytes - used_bytes, allowed_bytes);
  const std::size_t count = std::min(bytes / kMaxLeavingReportBytes, report_count);
  for (std::size_t i = 0; i < count; ++i) {
    *heartbeat.add_leaving() = self_heartbeat_.leaving(static_cast<int>(next_leaving_report_++ % report_count));
  }
}

bool MemberExchange::IsListSource(const std::string& address, const std::vector<std::string>& targets) const {
  if (targets.size() > options_.list.relays_per_domain || targets.empty()) {
    return true;  // a relay takes the lists of all its targets, a daemon without targets that of any seed
  }
  const std::string& source = targets[std::hash<std::string>()(members_.self().peer_address()) % targets.size()];
  const auto state = target_states_.find(source);
  return address == source || state == target_states_.end() || state->second.unresponsive;
}

void MemberExchange::AddHeartbeat(const std::string& address, std::vector<MemberDatagram>& out) {
  proto::GatewayHeartbeat heartbeat = members_.MakeHeartbeat(address);
  if (live_peer_count_ >= options_.single_source_min_peers && !IsListSource(address, targets_)) {
    heartbeat.set_skip_list(true);
  }
  AddDatagram(address, std::move(heartbeat), out);
}

void MemberExchange::AddTargetHeartbeats(TimePoint now, bool unsent_only, std::vector<MemberDatagram>& out) {
  // A daemon that starts in a large cell knows few daemons of its domain at first and so ranks itself as a relay.
  // Until join_duration has passed, it keeps only the targets of its own domain, when it has any.
  const bool own_domain_only = list_exceeds_reply_ && now - started_ < options_.join_duration;
  if (const std::uint64_t version = members_.LivePeersVersion(now);
      version != targets_live_peers_version_ || own_domain_only != own_domain_only_) {
    targets_live_peers_version_ = version;
    own_domain_only_ = own_domain_only;
    targets_ = members_.HeartbeatTargets(now);
    const auto in_own_domain = [&, &alive = members_.LivePeers(now)](const std::string& address) {
      const auto member = std::ranges::lower_bound(alive, address, {}, &proto::GatewayMember::peer_address);
      return member != alive.end() && member->failure_domain() == members_.self().failure_domain();
    };
    if (own_domain_only && std::ranges::any_of(targets_, in_own_domain)) {
      std::erase_if(targets_, std::not_fn(in_own_domain));
    }
    heartbeat_interval_ = members_.HeartbeatInterval(now);
    const auto& alive = members_.LivePeers(now);
    live_peer_count_ = alive.size();
    const auto own_domain_peers = std::ranges::count_if(
        alive, [&](const auto& member) { return member.failure_domain() == members_.self().failure_domain(); });
    load_announce_interval_ = options_.load_announce_interval_per_pair *
                              static_cast<Duration::rep>(alive.size() + 1) *
                              static_cast<Duration::rep>(own_domain_peers + 1);
    std::erase_if(target_states_,
                  [&](const auto& entry) { return std::ranges::find(targets_, entry.first) == targets_.end(); });
  }
  const Duration resend_delay = heartbeat_interval_ / 4;
  for (const auto& address : targets_) {
    TargetState& state = target_states_[address];
    if (unsent_only && state.last_sent_at != TimePoint{}) {
      continue;
    }
    state.unresponsive = state.unresponsive || (!state.answered && state.resends >= options_.heartbeat_resends &&
                                                now - state.last_sent_at >= resend_delay);
    if (now >= state.next_heartbeat_at) {
      state.next_heartbeat_at = now + heartbeat_interval_;
      state.resends = 0;
    } else if (state.answered || state.resends >= options_.heartbeat_resends ||
               now - state.last_sent_at < resend_delay) {
      continue;
    } else {
      ++state.resends;
    }
    state.last_sent_at = now;
    state.answered = false;
    AddHeartbeat(address, out);
  }
}

void MemberExchange::SetContacts(std::vector<std::string> contacts) {
  contacts_ = std::move(contacts);
  if (!contacts_.empty()) {
    seeds_contacted_at_ = {};
  }
}

void MemberExchange::AddSeedHeartbeats(TimePoint now, std::vector<MemberDatagram>& out) {
  // Relays go on sending heartbeats to the seeds, at a longer interval, so that the parts of a partitioned cell find
  // each other again.
  const bool isolated = targets_.empty();
  const Duration interval = !isolated                                 ? options_.seed_interval
                            : now - started_ < options_.join_duration ? options_.join_interval
                                                                      : heartbeat_interval_;
  if (now - seeds_contacted_at_ < interval || (!isolated && !members_.IsRelay(now))) {
    return;
  }
  seeds_contacted_at_ = now;
  const auto add_heartbeat = [&](const std::string& address) {
    if (address != members_.self().peer_address() && std::ranges::find(targets_, address) == targets_.end()) {
      AddHeartbeat(address, out);
    }
  };
  // A live seed is in this part of the cell already. At this interval the seed and this daemon would expire again and
  // again as direct peers of each other.
  const auto& alive = members_.LivePeers(now);
  for (const auto* addresses : {&options_.seeds, &contacts_}) {
    for (const auto& address : *addresses) {
      if (!std::ranges::binary_search(alive, address, {}, &proto::GatewayMember::peer_address)) {
        add_heartbeat(address);
      }
    }
  }
  // Departed daemons are contacted as well, because all seeds may be gone or in this part of a partitioned cell.
  const auto departed = members_.DepartedPeers(now);
  auto next = std::ranges::upper_bound(departed, last_departed_contacted_);
  for (std::size_t i = 0; i < std::min(departed.size(), options_.departed_per_seed_round); ++i) {
    next = next == departed.end() ? departed.begin() : next;
    last_departed_contacted_ = *next++;
    add_heartbeat(last_departed_contacted_);
  }
}

void MemberExchange::RefillPushBudget(TimePoint now) {
  const double rate_factor = std::chrono::duration<double>(options_.list.heartbeat_interval) / heartbeat_interval_;
  push_budget_bytes_ =
      std::min(options_.push_burst_bytes,
               push_budget_bytes_ + options_.push_bytes_per_s * rate_factor * rate_factor *
                                        std::chrono::duration<double>(now - push_budget_refilled_at_).count());
  push_budget_refilled_at_ = now;
}

void MemberExchange::AddPushes(TimePoint now, std::vector<MemberDatagram>& out) {
  RefillPushBudget(now);
  const std::uint64_t version = members_.ListVersion(now);
  if (version == pushed_list_version_) {
    return;
  }
  pushed_list_version_ = version;
  for (const auto& address : members_.LiveDirectPeers(now)) {
    if (push_budget_bytes_ <= 0) {
      return;
    }
    proto::GatewayHeartbeat push = members_.MakePush(address, now);
    // A peer that lacks more than one packet of changes is already reading the list page by page.
    if (push.changes_size() > 0 && !push.more()) {
      push_budget_bytes_ -= static_cast<double>(push.ByteSizeLong() + kIpUdpHeaderBytes);
      AddDatagram(address, std::move(push), out);
    }
  }
}

std::vector<MemberDatagram> MemberExchange::Tick(TimePoint now) {
  std::vector<MemberDatagram> out;
  AddTargetHeartbeats(now, false, out);
  AddSeedHeartbeats(now, out);
  AddPushes(now, out);
  return out;
}

std::vector<MemberDatagram> MemberExchange::Receive(const proto::GatewayHeartbeat& heartbeat, TimePoint now,
                                                    bool& accepted) {
  std::vector<MemberDatagram> out;
  accepted = members_.Receive(heartbeat, now);
  if (!accepted) {
    return out;
  }
  const std::string& address = heartbeat.sender().peer_address();
  if (!heartbeat.reply()) {
    AddDatagram(address, members_.MakeReply(heartbeat, now), out);
    return out;
  }
  const auto state = target_states_.find(address);
  list_exceeds_reply_ = list_exceeds_reply_ || heartbeat.more();
  const bool solicited = heartbeat.counted_daemons() > 0;  // announcements and pushes don't set it
  if (solicited && state != target_states_.end() && !state->second.answered) {
    state->second.answered = true;
    state->second.unresponsive = false;
    // The next heartbeat follows at once when the sender doesn't know this daemon's state or has more list changes.
    if (heartbeat.known_state() != members_.self_state_number() || heartbeat.more()) {
      state->second.answered = false;
      state->second.resends = 0;
      state->second.last_sent_at = now;
      AddHeartbeat(address, out);
    }
  }
  // A daemon that starts learns of its targets from the seeds, and sends their first heartbeats without waiting for
  // Tick.
  if (now - started_ < options_.join_duration && live_peer_count_ < options_.single_source_min_peers) {
    AddTargetHeartbeats(now, true, out);
  }
  return out;
}

std::vector<MemberDatagram> MemberExchange::Announce(TimePoint now) {
  std::vector<MemberDatagram> out;
  RefillPushBudget(now);
  // Targets get every announcement. Other live direct peers get a changed state, such as a planned stop, whatever the
  // push budget; they learn of new content revisions in the reply to their next heartbeat at the latest.
  const bool state_changed = members_.self_state_number() != announced_state_number_;
  announced_state_number_ = members_.self_state_number();
  std::vector<std::string> receivers = targets_;
  for (auto& address : members_.LiveDirectPeers(now)) {
    if (std::ranges::find(targets_, address) == targets_.end()) {
      receivers.push_back(std::move(address));
    }
  }
  for (std::size_t i = 0; i < receivers.size(); ++i) {
    if (i >= targets_.size() && !state_changed && push_budget_bytes_ <= 0) {
      break;
    }
    AddDatagram(receivers[i], members_.MakeAnnouncement(receivers[i]), out);
    push_budget_bytes_ -= static_cast<double>(out.back().heartbeat.ByteSizeLong() + kIpUdpHeaderBytes);
  }
  return out;
}

}  // namespace pimentomoor
