// Takeovers and releases of upstreams as views and placements change.
#include "pimentomoor/ownership_table.h"

#include <algorithm>
#include <utility>

namespace pimentomoor {
namespace {

const proto::Daemon* FindMemberByHost(const google::protobuf::RepeatedPtrField<proto::Daemon>& members,
                                      const std::string& host) {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const proto::Daemon& member) { return member.host() == host; });
  return found == members.end() ? nullptr : &*found;
}

bool ContainsIncarnation(const google::protobuf::RepeatedPtrField<proto::Daemon>& members,
                         std::uint64_t incarnation) {
  return std::any_of(members.begin(), members.end(),
                     [&](const proto::Daemon& member) { return member.incarnation() == incarnation; });
}

}  // namespace

struct OwnershipTable::EpochChange {
  std::uint64_t from_epoch = 0;
  std::uint64_t to_epoch = 0;
};

void OwnershipTable::SetSelf(const proto::Daemon& self) {
  self_ = self;
  owned_.clear();
  given_up_.clear();
  ever_taken_over_.clear();
  is_member_ = ContainsIncarnation(view_.members(), self_.incarnation());
}

void OwnershipTable::Recompute() {
  owners_ = AssignOwners(view_, placements_);
  proto::View previous;
  *previous.mutable_members() = view_.previous_members();
  previous_owners_ = AssignOwners(previous, placements_);
}

// Whether this incarnation owned the upstream in the previous view, by the current placements.
bool OwnershipTable::OwnedInPreviousView(const std::string& upstream) const {
  const auto found = previous_owners_.find(upstream);
  return found != previous_owners_.end() && found->second == self_.host() &&
         ContainsIncarnation(view_.previous_members(), self_.incarnation());
}

const proto::Daemon* OwnershipTable::FindPreviousOwner(const std::string& upstream) const {
  const auto found = previous_owners_.find(upstream);
  return found == previous_owners_.end() ? nullptr : FindMemberByHost(view_.previous_members(), found->second);
}

void OwnershipTable::SetView(const proto::View& view, TimePoint now) {
  const EpochChange change{.from_epoch = view_.epoch(), .to_epoch = view.epoch()};
  view_ = view;
  is_member_ = ContainsIncarnation(view_.members(), self_.incarnation());
  acknowledged_ = view_.previous_members().empty();
  Recompute();
  DropLostUpstreams(change);
  for (auto& [upstream, takeover] : owned_) {
    // A view is written only after a majority has acknowledged the epoch before it, and so the epoch of this
    // takeover.
    if (!takeover.done && !takeover.excluded_at) {
      takeover.excluded_at = now;
    }
  }
  if (!is_member_) {
    return;
  }
  for (const auto& [upstream, owner] : owners_) {
    if (owner == self_.host() && !owned_.contains(upstream)) {
      StartTakeover(upstream, now);
    }
  }
}

// Removes upstreams that have another owner in the new view, or may have had one in a view that was skipped. Only an
// upstream whose takeover was done is remembered for a release: otherwise an earlier owner may still be sending.
void OwnershipTable::DropLostUpstreams(const EpochChange& change) {
  std::erase_if(given_up_, [&](const auto& item) { return item.second + 1 < change.to_epoch; });
  const bool adjacent = change.to_epoch == change.from_epoch + 1;
  const bool one_skipped = change.to_epoch == change.from_epoch + 2;
  for (auto item = owned_.begin(); item != owned_.end();) {
    const auto& [upstream, takeover] = *item;
    const bool kept_between = adjacent || (one_skipped && OwnedInPreviousView(upstream));
    const auto owner = owners_.find(upstream);
    if (kept_between && is_member_ && owner != owners_.end() && owner->second == self_.host()) {
      ++item;
      continue;
    }
    if (takeover.done && (adjacent || one_skipped)) {
      given_up_[upstream] = kept_between ? change.to_epoch : change.to_epoch - 1;
    }
    item = owned_.erase(item);
  }
}

void OwnershipTable::StartTakeover(const std::string& upstream, TimePoint now) {
  Takeover takeover{.epoch = view_.epoch()};
  const proto::Daemon* previous = FindPreviousOwner(upstream);
  if (previous == nullptr) {
    takeover.released = true;
  } else if (OwnedInPreviousView(upstream)) {
    // This incarnation is the previous owner too, so only owners of still earlier epochs could send. A majority
    // excluded them before this view was written.
    takeover.excluded_at = now;
  } else {
    takeover.previous_owner = *previous;
    if (acknowledged_) {
      takeover.excluded_at = now;
    }
  }
  given_up_.erase(upstream);
  owned_[upstream] = std::move(takeover);
}

bool OwnershipTable::SetPlacements(std::vector<UpstreamPlacement> placements, TimePoint now) {
  std::sort(placements.begin(), placements.end(),
            [](const UpstreamPlacement& a, const UpstreamPlacement& b) { return a.upstream < b.upstream; });
  if (placements == placements_) {
    return false;
  }
  placements_ = std::move(placements);
  Recompute();
  const auto owned_here = [&](const std::string& upstream) {
    const auto found = owners_.find(upstream);
    return is_member_ && found != owners_.end() && found->second == self_.host();
  };
  std::erase_if(owned_, [&](const auto& item) { return !owned_here(item.first); });
  for (const auto& [upstream, owner] : owners_) {
    if (owned_here(upstream) && !owned_.contains(upstream)) {
      StartTakeover(upstream, now);
    }
  }
  return true;
}

void OwnershipTable::OnEpochAcknowledged(TimePoint now) {
  acknowledged_ = true;
  for (auto& [upstream, takeover] : owned_) {
    if (!takeover.done && !takeover.excluded_at) {
      takeover.excluded_at = now;
    }
  }
}

void OwnershipTable::OnReleased(std::uint64_t from_incarnation, std::uint64_t epoch,
                                const std::vector<proto::UpstreamHandover>& upstreams) {
  for (const proto::UpstreamHandover& handover : upstreams) {
    const auto found = owned_.find(handover.upstream());
    if (found != owned_.end() && found->second.epoch == epoch && from_incarnation != 0 &&
        found->second.previous_owner.incarnation() == from_incarnation) {
      found->second.released = true;
      found->second.handover = handover;
    }
  }
}

std::vector<std::string> OwnershipTable::Releasable(
    std::uint64_t epoch, const std::vector<std::string>& upstreams,
    const std::function<bool(const std::string&)>& outstanding) const {
  std::vector<std::string> result;
  for (const std::string& upstream : upstreams) {
    const auto found = given_up_.find(upstream);
    if (found != given_up_.end() && found->second == epoch && !(outstanding && outstanding(upstream))) {
      result.push_back(upstream);
    }
  }
  return result;
}

std::vector<proto::UpstreamHandover> OwnershipTable::FinishTakeovers(bool placements_settled, TimePoint now) {
  std::vector<proto::UpstreamHandover> gained;
  if (!placements_settled) {
    return gained;
  }
  for (auto& [upstream, takeover] : owned_) {
    if (!takeover.done && TakeoverDone(takeover, lease_duration_, now)) {
      takeover.done = true;
      ever_taken_over_.insert(upstream);
      takeover.handover.set_upstream(upstream);
      gained.push_back(takeover.handover);
    }
  }
  return gained;
}

std::vector<OwnershipTable::Acquisition> OwnershipTable::Acquisitions() const {
  std::map<std::pair<std::uint64_t, std::uint64_t>, Acquisition> grouped;
  for (const auto& [upstream, takeover] : owned_) {
    if (takeover.done || takeover.released || takeover.previous_owner.incarnation() == 0) {
      continue;
    }
    Acquisition& acquisition = grouped[{takeover.previous_owner.incarnation(), takeover.epoch}];
    acquisition.previous_owner = takeover.previous_owner;
    acquisition.epoch = takeover.epoch;
    acquisition.upstreams.push_back(upstream);
  }
  std::vector<Acquisition> result;
  result.reserve(grouped.size());
  for (auto& [key, acquisition] : grouped) {
    result.push_back(std::move(acquisition));
  }
  return result;
}

const std::string* OwnershipTable::OwnerHost(const std::string& upstream) const {
  const auto found = owners_.find(upstream);
  return found == owners_.end() ? nullptr : &found->second;
}

bool OwnershipTable::IsTakenOver(const std::string& upstream) const {
  const auto found = owned_.find(upstream);
  return found != owned_.end() && found->second.done;
}

bool OwnershipTable::AnyEverTakenOver(const std::function<bool(const std::string&)>& condition) const {
  return std::any_of(ever_taken_over_.begin(), ever_taken_over_.end(), condition);
}

std::vector<std::string> OwnershipTable::GivenUp() const {
  std::vector<std::string> result;
  result.reserve(given_up_.size());
  for (const auto& [upstream, epoch] : given_up_) {
    result.push_back(upstream);
  }
  return result;
}

}  // namespace pimentomoor
