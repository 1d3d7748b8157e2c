// Implementation of the known records of one kind.
#include "pimentomoor/record_state.h"

#include <iterator>
#include <tuple>
#include <utility>

namespace pimentomoor {

namespace {

// Enough for several minutes of removals. Daemons that ask for older ones get the names of all records.
constexpr std::size_t kMaxRememberedRemovals = 1'024;
constexpr std::size_t kMaxPastRevisions = 16;  // of a record; a copy is some seconds old

void EndCarried(CarriedRecord& carried) {
  carried.settled = true;
  carried.payload.clear();
}

}  // namespace

RestorePolicy PolicyOf(RecordKind kind) {
  switch (kind) {
    case RecordKind::kRouting:
      // The table in force never reverts, so a daemon that starts later takes it from its peers as well.
      return {.lost_hold = std::chrono::hours(24)};
    case RecordKind::kUpstreams:
      // A missing entry is handled like any deleted one. An entry of an upstream that has left is removed by the
      // store after three silent intervals of 1.2 s; one that is still there after that belongs to a living upstream.
      return {.keeps_lost = false, .removed_hold = std::chrono::seconds(6)};
    default:
      return {};
  }
}

void MergeCarried(CarriedRecords& own, const CarriedRecords& other) {
  for (const auto& [name, theirs] : other.by_name) {
    const auto found = own.by_name.find(name);
    if (found == own.by_name.end()) {
      own.by_name[name] = theirs;
      continue;
    }
    CarriedRecord& ours = found->second;
    std::set<std::uint64_t> revisions = ours.removed_revisions;
    revisions.insert(theirs.removed_revisions.begin(), theirs.removed_revisions.end());
    const auto rank = [](const CarriedRecord& carried) { return std::tuple(carried.position, carried.removed); };
    // The end of what is carried is knowledge of the current era, and so holds whatever the position.
    const bool settled = ours.removed == theirs.removed && (ours.settled || theirs.settled);
    const TimePoint until = std::min(ours.until, theirs.until);
    if (rank(theirs) > rank(ours)) {
      ours = theirs;
    } else if (rank(theirs) == rank(ours)) {
      ours.until = until;
    }
    if (settled) {
      EndCarried(ours);
    }
    while (revisions.size() > kMaxPastRevisions) {
      revisions.erase(revisions.begin());
    }
    ours.removed_revisions = std::move(revisions);
  }
}

std::uint64_t DigestCarried(const CarriedRecords& carried) {
  if (carried.by_name.empty()) {
    return 0;
  }
  std::uint64_t hash = 14'695'981'039'346'656'037U;  // FNV-1a
  const auto add_byte = [&hash](unsigned char byte) { hash = (hash ^ byte) * 1'099'511'628'211U; };
  const auto add_number = [&add_byte](std::uint64_t number) {
    for (unsigned shift = 0; shift < 64; shift += 8) {
      add_byte(static_cast<unsigned char>(number >> shift));
    }
  };
  for (const auto& [name, record] : carried.by_name) {
    std::for_each(name.begin(), name.end(), [&](char c) { add_byte(static_cast<unsigned char>(c)); });
    add_number(record.position.era);
    add_number(record.position.revision);
    add_number((record.removed ? 1U : 0U) + (record.settled ? 2U : 0U));
  }
  return std::max<std::uint64_t>(hash, 1);
}

bool RecordState::ApplyList(StorePosition position, std::vector<StoredRecord> records, TimePoint now) {
  if (loaded() && position.era != era_) {
    if (position.era > era_) {
      EnterEra(position, std::move(records), now);
    }
    return position.era == era_;
  }
  if (position.revision < store_revision_) {
    return false;  // a peer has delivered a newer state since the list began
  }
  era_ = position.era;
  store_revision_ = position.revision;
  std::vector<std::string> names;
  for (auto& record : records) {
    names.push_back(record.name);
    if (!IsSuperseded(record.name, record.revision)) {
      Put(std::move(record), now);
    }
  }
  for (const auto& [name, record] : records_) {
    if (record.revision > store_revision_) {
      names.push_back(name);  // a peer has shown a change that is newer than the list
    }
  }
  RemoveAllExcept(names, store_revision_, now);
  return true;
}

bool RecordState::ApplyEvents(const RecordEvents& answer, TimePoint now) {
  for (const auto& event : answer.events) {
    // A peer may have delivered this change and later ones since the watch began. A removal may name the revision of
    // the record that it removes, which says nothing about the time of the removal.
    const bool known = !event.deleted && event.record.revision <= store_revision_;
    if (known || IsSuperseded(event.record.name, event.record.revision)) {
      continue;
    }
    if (event.deleted) {
      Remove(event.record.name, event.record.revision, now);
    } else {
      Put(event.record, now);
    }
  }
  store_revision_ = std::max(store_revision_, answer.store_revision);
  return !answer.events.empty();
}

bool RecordState::Adopt(const RecordDelta& delta, TimePoint now) {
  if (loaded() && delta.era != era_) {
    if (delta.era < era_ || delta.store_revision == 0 || !delta.lists_existing_names) {
      return false;
    }
    EnterEra({delta.era, delta.store_revision}, delta.changed, now);
    content_revision_ = std::max(content_revision_, delta.content_revision);
    MergeAndReconcile(delta.carried, now);
    return true;
  }
  const bool has_news = delta.store_revision > store_revision_ || delta.content_revision > content_revision_;
  if (has_news) {
    era_ = delta.era;
    // A delta can be complete only up to a revision before store_revision_ and still hold newer records, when the
    // peer's list ended with pages that show later changes. Such a delta doesn't tell which records exist at
    // store_revision_.
    const bool delta_is_older = delta.store_revision < store_revision_;
    for (const auto& record : delta.changed) {
      const auto known = records_.find(record.name);
      const std::uint64_t known_revision =
          std::max(delta_is_older ? store_revision_ : 0, known == records_.end() ? 0 : known->second.revision);
      if (record.revision > known_revision) {
        Put(record, now);
      }
    }
    for (const auto& removal : delta.removed) {
      const auto known = records_.find(removal.name);
      if (known != records_.end() &&
          removal.revision > std::max(delta_is_older ? store_revision_ : 0, known->second.revision)) {
        Remove(removal.name, removal.revision, now);
      }
    }
    if (!delta_is_older && delta.lists_existing_names) {
      std::vector<std::string> names = delta.existing_names;
      for (const auto& [name, record] : records_) {
        if (record.revision > delta.store_revision) {
          names.push_back(name);  // newer than the delta
        }
      }
      RemoveAllExcept(names, delta.store_revision, now);
    }
    store_revision_ = std::max(store_revision_, delta.store_revision);
    content_revision_ = std::max(content_revision_, delta.content_revision);
  }
  const bool merged = loaded() && MergeAndReconcile(delta.carried, now);
  return has_news || merged;
}

void RecordState::EnterEra(StorePosition position, std::vector<StoredRecord> records, TimePoint now) {
  CarriedRecords carried = CollectCarried(now);
  std::set<std::string> in_force = NamesInForce();
  const std::map<std::string, StoredRecord> previous = std::exchange(records_, {});
  for (const auto& [name, record] : previous) {
    if (policy_.keeps_lost) {
      NotePastRevision(name, record.revision);
    }
  }
  suppressed_.clear();
  written_.clear();
  removals_.clear();
  removals_complete_after_ = std::max<std::uint64_t>(position.revision, 1);
  carried_ = std::move(carried);
  era_ = position.era;
  store_revision_ = position.revision;
  content_revision_ = 0;
  changed_at_ = now;
  for (auto& record : records) {
    content_revision_ = std::max(content_revision_, record.revision);
    LimitContent(record);
    const std::string name = record.name;
    records_[name] = std::move(record);
  }
  for (const auto& [name, record] : records_) {
    const auto known = previous.find(name);
    if (IsSuppressed(record, now)) {
      suppressed_.insert(name);
    } else if (known == previous.end() || known->second != record || !in_force.contains(name)) {
      handlers_.on_put(record);
    }
  }
  for (const auto& name : NamesInForce()) {
    in_force.erase(name);
  }
  for (const auto& name : in_force) {
    handlers_.on_delete(name);
  }
}

CarriedRecords RecordState::CollectCarried(TimePoint now) const {
  CarriedRecords result;
  auto& by_name = result.by_name;
  const std::set<std::string> lost = LostNames();
  for (const auto& [name, carried] : carried_.by_name) {
    if (carried.removed && by_name.size() < kMaxRememberedRemovals) {
      by_name[name] = MakeRemoved(name, carried.position, carried.removed_content, now);
      by_name[name].removed_revisions.insert(carried.removed_revisions.begin(), carried.removed_revisions.end());
    } else if (!carried.removed && lost.contains(name)) {
      by_name[name] = {.position = carried.position, .payload = carried.payload, .until = now + policy_.lost_hold};
    } else if (!carried.removed) {  // its end in this era is known, maybe from a peer only
      by_name[name] = MakeRemoved(name, {.era = era_}, {}, now);
      by_name[name].removed_revisions.insert(carried.position.revision);
    }
  }
  for (const auto& removal : removals_) {
    by_name[removal.removed.name] =
        MakeRemoved(removal.removed.name, {.era = era_, .revision = removal.removed.revision}, removal.content, now);
  }
  for (const auto& [name, record] : records_) {
    const auto carried = carried_.by_name.find(name);
    if (suppressed_.contains(name)) {
      by_name[name] = MakeRemoved(name, carried->second.position, VersionOf(record), now);
      by_name[name].removed_revisions.insert(record.revision);
    } else if (!policy_.keeps_lost) {
      by_name.erase(name);
    } else if (carried != carried_.by_name.end() && !carried->second.removed && !carried->second.settled &&
               !written_.contains(name)) {
      by_name[name] = carried->second;
      by_name[name].until = now + policy_.lost_hold;
    } else {
      // What the first list of an era holds was written in an earlier one, as far as is known.
      const std::uint64_t era = era_ > 0 && !written_.contains(name) ? era_ - 1 : era_;
      by_name[name] = {.position = {.era = era, .revision = record.revision},
                       .payload = record.payload,
                       .until = now + policy_.lost_hold};
    }
  }
  return result;
}

CarriedRecord RecordState::MakeRemoved(const std::string& name, StorePosition position, ContentVersion content,
                                       TimePoint now) const {
  CarriedRecord carried{
      .position = position, .removed = true, .removed_content = content, .until = now + policy_.removed_hold};
  if (const auto past = past_revisions_.find(name); past != past_revisions_.end()) {
    carried.removed_revisions = past->second;
  }
  return carried;
}

void RecordState::NotePastRevision(const std::string& name, std::uint64_t revision) {
  if (past_revisions_.size() >= kMaxRememberedRemovals && !past_revisions_.contains(name)) {
    past_revisions_.erase(past_revisions_.begin());
  }
  auto& revisions = past_revisions_[name];
  revisions.insert(revision);
  if (revisions.size() > kMaxPastRevisions) {
    revisions.erase(revisions.begin());
  }
}

bool RecordState::MergeAndReconcile(const CarriedRecords& carried, TimePoint now) {
  if (!policy_.keeps_lost || carried.by_name.empty()) {
    return false;
  }
  std::set<std::string> no_longer = NamesInForce();
  const CarriedRecords before = carried_;
  MergeCarried(carried_, carried);
  for (const auto& removal : removals_) {
    Settle(removal.removed.name);
  }
  for (const auto& [name, record] : records_) {
    if (IsSuppressed(record, now)) {
      suppressed_.insert(name);
    } else if (suppressed_.erase(name) > 0) {
      handlers_.on_put(record);
    }
  }
  for (const auto& [name, record] : carried_.by_name) {
    const auto known = before.by_name.find(name);
    if (!record.removed && !record.settled &&
        (known == before.by_name.end() || known->second.payload != record.payload)) {
      handlers_.on_put({.name = name, .payload = record.payload});
    }
  }
  for (const auto& name : NamesInForce()) {
    no_longer.erase(name);
  }
  for (const auto& name : no_longer) {
    handlers_.on_delete(name);
  }
  return DigestCarried(carried_) != DigestCarried(before);
}

bool RecordState::Expire(TimePoint now) {
  bool changed = false;
  for (const auto& name : std::set<std::string>(suppressed_)) {
    const StoredRecord& record = records_.at(name);
    if (!IsSuppressed(record, now)) {
      suppressed_.erase(name);
      handlers_.on_put(record);
      changed = true;
    }
  }
  for (const auto& name : LostNames()) {
    if (now >= carried_.by_name.at(name).until) {
      Settle(name);
      handlers_.on_delete(name);
      changed = true;
    }
  }
  return changed;
}

TimePoint RecordState::NextExpiry() const {
  TimePoint next = TimePoint::max();
  for (const auto& [name, carried] : carried_.by_name) {
    const bool has_effect =
        carried.removed ? suppressed_.contains(name) : !carried.settled && !records_.contains(name);
    if (has_effect) {
      next = std::min(next, carried.until);
    }
  }
  return next;
}

RecordDelta RecordState::MakeDelta(StorePosition after, TimePoint now) const {
  const bool same_era = after.era == era_;
  const std::uint64_t after_revision = same_era ? after.revision : 0;
  RecordDelta delta{.store_revision = store_revision_, .content_revision = content_revision_};
  delta.era = era_;
  delta.lists_existing_names =
      !same_era || removals_complete_after_ == 0 || after_revision < removals_complete_after_;
  for (const auto& [name, record] : records_) {
    if (delta.lists_existing_names) {
      delta.existing_names.push_back(name);
    }
    if (!same_era || record.revision > after_revision) {
      delta.changed.push_back(record);
    }
  }
  if (!delta.lists_existing_names) {
    for (const auto& removal : removals_) {
      if (removal.removed.revision > after_revision) {
        delta.removed.push_back(removal.removed);
      }
    }
  }
  if (policy_.keeps_lost) {
    delta.carried = carried_;
    for (auto& [name, carried] : delta.carried.by_name) {
      if (now >= carried.until) {
        EndCarried(carried);
      }
    }
  }
  return delta;
}

std::set<std::string> RecordState::NamesInForce() const {
  std::set<std::string> names = LostNames();
  for (const auto& [name, record] : records_) {
    if (!suppressed_.contains(name)) {
      names.insert(name);
    }
  }
  return names;
}

std::set<std::string> RecordState::LostNames() const {
  std::set<std::string> names;
  for (const auto& [name, carried] : carried_.by_name) {
    if (!carried.removed && !carried.settled && !records_.contains(name)) {
      names.insert(name);
    }
  }
  return names;
}

bool RecordState::IsSuppressed(const StoredRecord& record, TimePoint now) const {
  const auto found = carried_.by_name.find(record.name);
  if (found == carried_.by_name.end() || !found->second.removed || found->second.settled ||
      now >= found->second.until || written_.contains(record.name)) {
    return false;
  }
  // The copy holds the record as it was known before its removal. One that was written anew differs.
  const ContentVersion version = VersionOf(record);
  return version == ContentVersion{} ? found->second.removed_revisions.contains(record.revision)
                                     : version <= found->second.removed_content;
}

void RecordState::Settle(const std::string& name) {
  const auto found = carried_.by_name.find(name);
  if (found != carried_.by_name.end() && !found->second.removed) {
    EndCarried(found->second);
  }
}

bool RecordState::IsSuperseded(const std::string& name, std::uint64_t revision) const {
  if (const auto known = records_.find(name); known != records_.end()) {
    return known->second.revision > revision;
  }
  return std::any_of(removals_.begin(), removals_.end(), [&](const Removal& removal) {
    return removal.removed.name == name && removal.removed.revision > revision;
  });
}

void RecordState::LimitContent(StoredRecord& record) const {
  const bool has_status = kind_ == RecordKind::kRollouts;
  if (!has_status || record.status.size() > max_entry_bytes_) {
    record.status.clear();
  }
  record.created_revision = has_status ? record.created_revision : 0;
  if (kind_ != RecordKind::kRouting && record.payload.size() > max_entry_bytes_) {
    handlers_.on_oversized();
    record.payload.clear();
  }
}

void RecordState::Put(StoredRecord record, TimePoint now) {
  content_revision_ = std::max(content_revision_, record.revision);
  LimitContent(record);
  auto& known = records_[record.name];
  if (known == record) {
    return;
  }
  if (policy_.keeps_lost && known.revision > 0) {
    NotePastRevision(record.name, known.revision);
  }
  known = std::move(record);
  changed_at_ = now;
  Settle(known.name);
  if (policy_.keeps_lost && removals_complete_after_ > 0) {  // not of the first list
    written_.insert(known.name);
  }
  if (IsSuppressed(known, now)) {
    suppressed_.insert(known.name);
    return;
  }
  suppressed_.erase(known.name);
  handlers_.on_put(known);
}

void RecordState::Remove(const std::string& name, std::uint64_t revision, TimePoint now) {
  Removal removal{.removed = {.name = name, .revision = revision}};
  if (const auto known = records_.find(name); known != records_.end()) {
    NotePastRevision(name, known->second.revision);
    removal.content = VersionOf(known->second);
    records_.erase(known);
  }
  suppressed_.erase(name);
  Settle(name);
  // Peers learn of a removal as of any other change: by a newer content revision.
  content_revision_ = std::max(content_revision_, revision);
  removals_.push_back(std::move(removal));
  if (removals_.size() > kMaxRememberedRemovals) {
    removals_complete_after_ = std::max(removals_complete_after_, removals_.front().removed.revision);
    removals_.pop_front();
  }
  changed_at_ = now;
  handlers_.on_delete(name);
}

void RecordState::RemoveAllExcept(const std::vector<std::string>& names, std::uint64_t revision, TimePoint now) {
  if (removals_complete_after_ == 0) {
    removals_complete_after_ = std::max<std::uint64_t>(revision, 1);  // at the first list
  }
  const std::set<std::string> kept(names.begin(), names.end());
  std::vector<std::string> removed_names;
  for (const auto& [name, record] : records_) {
    if (!kept.contains(name)) {
      removed_names.push_back(name);
    }
  }
  for (const auto& name : removed_names) {
    Remove(name, revision, now);
  }
}

}  // namespace pimentomoor
