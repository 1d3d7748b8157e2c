// FleetCore: the current view and the state derived from it, which is membership, lease epoch, ownership and liveness
// of members.
#include <algorithm>
#include <utility>

#include "pimentomoor/fleet_core.h"
#include "pimentomoor/rendezvous.h"

namespace pimentomoor {
namespace {

constexpr std::string_view kCatalogPrefix = "catalog/";

}  // namespace

const proto::Daemon* FleetCore::FindMember(const std::string& host) const {
  const auto& members = view_.members();
  const auto found = std::find_if(members.begin(), members.end(), [&](const auto& m) { return m.host() == host; });
  return found == members.end() ? nullptr : &*found;
}

const proto::Daemon* FleetCore::FindMemberByIncarnation(std::uint64_t incarnation) const {
  const auto& members = view_.members();
  const auto found =
      std::find_if(members.begin(), members.end(), [&](const auto& m) { return m.incarnation() == incarnation; });
  return found == members.end() ? nullptr : &*found;
}

const FleetCore::Peer* FleetCore::FindPeer(const proto::Daemon& daemon) const {
  const auto found = peers_.find(daemon.incarnation());
  return found == peers_.end() ? nullptr : &found->second;
}

// Adopts a view that is newer by both epoch and platform version; returns whether it did.
bool FleetCore::AdoptView(const PlatformObject& object) {
  proto::View next;
  if (object.version <= view_object_.version) {
    return false;
  }
  if (!next.ParseFromString(object.value) || next.epoch() <= view_.epoch()) {
    Count("views_refused_total");
    return false;
  }
  view_object_ = {.key = view_key_, .version = object.version, .value = object.value};
  view_ = std::move(next);
  OnViewChanged(joined_);
  return true;
}

void FleetCore::OnViewChanged(bool was_member) {
  FlushPlacements();
  const TimePoint now = Now();
  Count("views_total");
  joined_ = FindMemberByIncarnation(options_.self.incarnation()) != nullptr;
  StartLeaseEpoch(lease_, view_.epoch(), joined_ ? static_cast<std::size_t>(view_.members_size()) : 0);
  ownership_.SetView(view_, now);
  if (!rollout_.settled) {
    rollout_.majority_at.reset();
    rollout_.all_at.reset();
  }
  std::map<std::uint64_t, Peer> known;
  known.swap(peers_);
  epoch_acks_ = StartEpoch(view_, now);
  const auto keep = [&](const proto::Daemon& member) {
    const auto found = known.find(member.incarnation());
    peers_.insert({member.incarnation(), found == known.end() ? Peer{.first_seen_at = now} : found->second});
    OnEpochReported(epoch_acks_, member.incarnation(), peers_[member.incarnation()].epoch, now);
  };
  std::for_each(view_.members().begin(), view_.members().end(), keep);
  std::for_each(view_.previous_members().begin(), view_.previous_members().end(), keep);
  OnEpochReported(epoch_acks_, options_.self.incarnation(), view_.epoch(), now);
  OnAnswerFrom(epoch_acks_, options_.self.peer_address(), options_.self.incarnation(), now);
  Log("view_changed", {{"epoch", std::to_string(view_.epoch())},
                       {"members", std::to_string(view_.members_size())},
                       {"member", joined_ ? "true" : "false"}});
  if (was_member && !joined_) {
    if (leaving_) {
      left_view_ = true;
      leave_deadline_ = now + options_.leave_timeout;
    } else {
      StartNewIncarnation();
    }
  }
  ForwardAcknowledgement();
  SendHeartbeats();
}

// Continues as a new incarnation. The old one owns nothing from here on, and its heartbeats and replies are void, so
// a process never acts as two incarnations.
void FleetCore::StartNewIncarnation() {
  options_.self.set_incarnation(RandomId());
  *callback_incarnation_ = options_.self.incarnation();
  joined_ = left_view_ = sending_stopped_ = writing_view_ = joining_ = renewing_lease_ = false;
  reading_keys_.clear();
  released_upstreams_.clear();
  for (auto& [incarnation, peer] : peers_) {
    peer.known_digest = 0;  // no peer knows versions of the new incarnation
  }
  join_failures_ = 0;
  StartLeaseEpoch(lease_, view_.epoch(), 0);
  ownership_.SetSelf(options_.self);
  next_join_ = Now() + Jitter(options_.heartbeat_period);
  Count("incarnations_total");
  Log("new_incarnation", {{"host", options_.self.host()}, {"incarnation", std::to_string(*callback_incarnation_)}});
  if (incarnation_changed_) {
    incarnation_changed_(options_.self);
  }
}

void FleetCore::ForwardAcknowledgement() {
  if (epoch_acks_.acknowledged_at) {
    ownership_.OnEpochAcknowledged(*epoch_acks_.acknowledged_at);
  }
}

void FleetCore::SetPlacements(std::vector<UpstreamPlacement> placements) {
  if (!ownership_.SetPlacements(std::move(placements), Now())) {
    return;
  }
  rollout_ = PlacementRollout{.settled = false};
  for (const auto& [key, version] : store_.versions()) {
    if (key.starts_with(kCatalogPrefix)) {
      rollout_.required_versions[key] = version;
    }
  }
  UpdateRollout();
  FinishTakeovers();
}

void FleetCore::DeferPlacements(std::function<std::vector<UpstreamPlacement>()> source) {
  placement_source_ = std::move(source);
}

void FleetCore::FlushPlacements() {
  if (placement_source_) {
    SetPlacements(std::exchange(placement_source_, nullptr)());
  }
}

bool FleetCore::HasRequiredPlacements(const proto::Daemon& daemon) const {
  if (daemon.incarnation() == options_.self.incarnation()) {
    return true;
  }
  const Peer* peer = FindPeer(daemon);
  return peer != nullptr && Covers(peer->versions.map(), rollout_.required_versions);
}

// Whether a peer has newer catalog versions than this daemon: by them that peer may own an upstream that this daemon
// regards as its own.
bool FleetCore::KnowsNewerPlacements() const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    const auto& versions = item.second.versions.map();
    return std::any_of(versions.begin(), versions.end(), [&](const auto& entry) {
      return entry.first.starts_with(kCatalogPrefix) && entry.second > store_.version(entry.first);
    });
  });
}

// Settles new placements once no daemon can send by older ones. A daemon with older placements loses its lease within
// the lease duration after a majority has the newer ones, because members with newer versions don't renew it. When
// all have the newer ones, only requests that were sent before can still run.
void FleetCore::UpdateRollout() {
  if (rollout_.settled || !joined_ || KnowsNewerPlacements()) {
    return;
  }
  const TimePoint now = Now();
  const auto has = [&](const proto::Daemon& daemon) { return HasRequiredPlacements(daemon); };
  const auto& members = view_.members();
  const auto& previous = view_.previous_members();
  const auto count = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), has));
  if (!rollout_.majority_at && count >= Majority(static_cast<std::size_t>(members.size()))) {
    rollout_.majority_at = now;
  }
  if (!rollout_.all_at && count == static_cast<std::size_t>(members.size()) &&
      std::all_of(previous.begin(), previous.end(), has)) {
    rollout_.all_at = now;
  }
  const bool alone = members.size() == 1 && previous.empty();
  rollout_.settled = alone || (rollout_.all_at && now >= *rollout_.all_at + kMaxSubQueryDuration) ||
                     (rollout_.majority_at && now >= *rollout_.majority_at + TakeoverWait(options_.lease_duration));
}

void FleetCore::FinishTakeovers() {
  for (const proto::UpstreamHandover& handover : ownership_.FinishTakeovers(rollout_.settled, Now())) {
    Count("takeovers_total");
    if (ownership_gained_) {
      ownership_gained_(handover);
    }
  }
}

bool FleetCore::HoldsLease() const { return joined_ && !sending_stopped_ && LeaseValid(lease_, Now()); }

bool FleetCore::MaySendTo(const std::string& upstream) const {
  return HoldsLease() && ownership_.IsTakenOver(upstream);
}

const proto::Daemon* FleetCore::OwnerOf(const std::string& upstream) const {
  const std::string* host = ownership_.OwnerHost(upstream);
  return host == nullptr ? nullptr : FindMember(*host);
}

bool FleetCore::IsSilent(const proto::Daemon& member, Duration limit) const {
  const Peer* peer = FindPeer(member);
  if (peer == nullptr) {
    return true;
  }
  return Now() - std::max({peer->heard_at.value_or(peer->first_seen_at), peer->first_seen_at, awake_since_}) > limit;
}

bool FleetCore::IsLive(const std::string& host) const {
  const proto::Daemon* member = FindMember(host);
  if (member == nullptr) {
    return false;
  }
  if (member->incarnation() == options_.self.incarnation()) {
    return true;
  }
  const Peer* peer = FindPeer(*member);
  return peer != nullptr && peer->heard_at && Now() - *peer->heard_at <= options_.suspect_after;
}

bool FleetCore::IsLeaving(const std::string& host) const {
  const proto::Daemon* member = FindMember(host);
  if (host == options_.self.host()) {
    return leaving_;
  }
  const Peer* peer = member == nullptr ? nullptr : FindPeer(*member);
  return peer != nullptr && peer->leaving;
}

std::vector<proto::Daemon> FleetCore::LiveMembers() const {
  std::vector<proto::Daemon> result;
  for (const proto::Daemon& member : view_.members()) {
    if (IsLive(member.host()) && !IsLeaving(member.host())) {
      result.push_back(member);
    }
  }
  return result;
}

std::uint64_t FleetCore::ReportedVersion(const std::string& host, const std::string& key) const {
  if (host == options_.self.host()) {
    return store_.version(key);
  }
  const proto::Daemon* member = FindMember(host);
  const Peer* peer = member == nullptr ? nullptr : FindPeer(*member);
  if (peer == nullptr) {
    return 0;
  }
  const auto found = peer->versions.map().find(key);
  return found == peer->versions.map().end() ? 0 : found->second;
}

bool FleetCore::HearsMajority() const {
  const auto& members = view_.members();
  const auto live = std::count_if(members.begin(), members.end(), [&](const auto& m) { return IsLive(m.host()); });
  return static_cast<std::size_t>(live) >= Majority(static_cast<std::size_t>(members.size()));
}

// Whether this daemon removes `member` from the view. Of the live members, the first by rendezvous weight for the
// silent member's host does it. A daemon that hears less than a majority may itself be cut off, so it removes only
// members that the host list shows as gone.
bool FleetCore::ShouldRemove(const proto::Daemon& member, bool hears_majority) const {
  if (member.incarnation() == options_.self.incarnation() || !IsSilent(member, options_.remove_after)) {
    return false;
  }
  if (!hears_majority && !(is_host_gone_ && is_host_gone_(member.host()))) {
    return false;
  }
  std::vector<std::string> live;
  for (const proto::Daemon& other : LiveMembers()) {
    live.push_back(other.host());
  }
  return !live.empty() && live[RankByRendezvous(member.host(), live).front()] == options_.self.host();
}

}  // namespace pimentomoor
