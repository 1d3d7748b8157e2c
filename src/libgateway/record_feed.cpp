// Implementation of the feed of one kind of records.
#include "pimentomoor/record_feed.h"

#include <algorithm>
#include <set>
#include <utility>

#include "pimentomoor/log.h"

namespace pimentomoor {

namespace {

// Enough for several minutes of removals. Daemons that ask for older ones get the names of all records.
constexpr std::size_t kMaxRememberedRemovals = 1'024;

}  // namespace

RecordFeed::RecordFeed(EventLoop& loop, Metrics& metrics, const PlatformCodec& codec, RecordKind kind,
                       std::string address, Handlers handlers, RecordFeedOptions options)
    : loop_(loop),
      metrics_(metrics),
      codec_(codec),
      kind_(kind),
      handlers_(std::move(handlers)),
      options_(options),
      client_(loop, codec.field_names(), std::move(address), options.buffer_budget) {}

RecordFeed::~RecordFeed() { loop_.Cancel(timer_); }

void RecordFeed::SetSource(Source source) {
  if (source == source_) {
    return;
  }
  source_ = source;
  if (store_unavailable()) {
    return;  // retries continue until the store answers
  }
  if (source == Source::kPeers) {
    client_.Abort();
    loop_.Cancel(timer_);
    call_pending_ = false;
    listed_records_.clear();
  } else if (!list_pending_ || !call_pending_) {
    client_.Abort();  // ends a running watch, which has the wait of the previous source
    ScheduleCall(Duration::zero());
  }
}

void RecordFeed::ScheduleCall(Duration delay) {
  call_pending_ = true;
  loop_.Cancel(timer_);
  timer_ = loop_.CallAfter(delay, [this] { StartCall(); });
}

void RecordFeed::StartCall() {
  if (!loaded() || list_pending_) {
    StartList();
  } else {
    StartWatch();
  }
}

void RecordFeed::StartList() {
  list_pending_ = true;
  if (listed_records_.empty()) {
    listed_pages_ = 0;
    listed_bytes_ = 0;
  }
  const std::string after = listed_records_.empty() ? "" : listed_records_.back().name;
  metrics_.Count("pimentomoor_store_calls_total", 1, "call=\"list\"");
  client_.Get(codec_.ListTarget(kind_, after), options_.list_timeout,
              [this](const std::optional<ResponseMessage>& response) { OnListPage(response); });
}

void RecordFeed::OnListPage(const std::optional<ResponseMessage>& response) {
  if (!response || response->status != 200) {
    OnCallFailed();
    return;
  }
  try {
    RecordPage page = codec_.ParsePage(response->body);
    if (listed_records_.empty()) {
      first_page_revision_ = page.store_revision;
    }
    CountUnreadable(page.unreadable_records);
    if (page.has_more && page.records.empty() && page.unreadable_records > 0) {
      // Without a name to continue after, the rest of the list stays unknown, and it must not pass for removed.
      OnCallFailed();
      return;
    }
    const bool more = page.has_more && !page.records.empty();
    ++listed_pages_;
    for (const auto& record : page.records) {
      listed_bytes_ += record.name.size() + record.payload.size();
    }
    std::move(page.records.begin(), page.records.end(), std::back_inserter(listed_records_));
    if (more && IsListTooLong()) {
      metrics_.Count("pimentomoor_store_list_too_long_total");
      LogWarn("store list too long", {{"kind", std::string(ToString(kind_))},
                                      {"pages", std::to_string(listed_pages_)},
                                      {"bytes", std::to_string(listed_bytes_)}});
      OnCallFailed();
      return;
    }
    if (more) {
      StartList();
      return;
    }
  } catch (const FormatError& error) {
    metrics_.Count("pimentomoor_store_malformed_total");
    LogWarn("store answer malformed", {{"kind", std::string(ToString(kind_))}, {"error", error.what()}});
    OnCallFailed();
    return;
  }
  list_pending_ = false;
  ApplyList(std::exchange(listed_records_, {}));
  OnCallSucceeded();
}

void RecordFeed::ApplyList(std::vector<StoredRecord> records) {
  if (first_page_revision_ < store_revision_) {
    return;  // a peer has delivered a newer state since the list began
  }
  store_revision_ = first_page_revision_;
  std::vector<std::string> names;
  for (auto& record : records) {
    names.push_back(record.name);
    if (!IsSuperseded(record.name, record.revision)) {
      Put(std::move(record));
    }
  }
  for (const auto& [name, record] : records_) {
    if (record.revision > store_revision_) {
      names.push_back(name);  // a peer has shown a change that is newer than the list
    }
  }
  RemoveAllExcept(names, store_revision_);
  handlers_.on_batch_applied();
}

bool RecordFeed::IsSuperseded(const std::string& name, std::uint64_t revision) const {
  if (const auto known = records_.find(name); known != records_.end()) {
    return known->second.revision > revision;
  }
  return std::any_of(removals_.begin(), removals_.end(), [&](const RemovedRecord& removal) {
    return removal.name == name && removal.revision > revision;
  });
}

bool RecordFeed::IsListTooLong() const {
  return listed_pages_ >= options_.max_list_pages || listed_bytes_ >= options_.max_list_bytes;
}

void RecordFeed::CountUnreadable(std::size_t records) {
  if (records == 0) {
    return;
  }
  metrics_.Count("pimentomoor_store_unreadable_records_total", records);
  if (!std::exchange(unreadable_logged_, true)) {
    LogWarn("store records unreadable",
            {{"kind", std::string(ToString(kind_))}, {"records", std::to_string(records)}});
  }
}

void RecordFeed::Put(StoredRecord record) {
  content_revision_ = std::max(content_revision_, record.revision);
  if (kind_ != RecordKind::kRollouts || record.status.size() > options_.max_entry_bytes) {
    record.status.clear();
  }
  record.created_revision = kind_ == RecordKind::kRollouts ? record.created_revision : 0;
  if (kind_ != RecordKind::kRouting && record.payload.size() > options_.max_entry_bytes) {
    metrics_.Count("pimentomoor_store_oversized_records_total");
    record.payload.clear();
  }
  auto& known = records_[record.name];
  if (known != record) {
    known = std::move(record);
    changed_at_ = loop_.Now();
    handlers_.on_put(known);
  }
}

void RecordFeed::Remove(const std::string& name, std::uint64_t revision) {
  records_.erase(name);
  // Peers learn of a removal as of any other change: by a newer content revision.
  content_revision_ = std::max(content_revision_, revision);
  removals_.push_back({.name = name, .revision = revision});
  if (removals_.size() > kMaxRememberedRemovals) {
    removals_complete_after_ = std::max(removals_complete_after_, removals_.front().revision);
    removals_.pop_front();
  }
  changed_at_ = loop_.Now();
  handlers_.on_delete(name);
}

void RecordFeed::RemoveAllExcept(const std::vector<std::string>& names, std::uint64_t revision) {
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
    Remove(name, revision);
  }
}

void RecordFeed::StartWatch() {
  last_watch_at_ = loop_.Now();
  metrics_.Count("pimentomoor_store_calls_total", 1, "call=\"watch\"");
  const bool probing = store_unavailable() || source_ == Source::kPeers;
  const Duration wait = probing                          ? options_.probe_wait
                        : source_ == Source::kShortWatch ? options_.short_watch_wait
                                                         : options_.long_watch_wait;
  client_.Get(codec_.WatchTarget(kind_, store_revision_, wait), wait + options_.watch_timeout_margin,
              [this](const std::optional<ResponseMessage>& response) { OnWatchAnswer(response); });
}

void RecordFeed::OnWatchAnswer(const std::optional<ResponseMessage>& response) {
  if (response && response->status == 410) {
    metrics_.Count("pimentomoor_store_history_lost_total");
    listed_records_.clear();
    StartList();
    return;
  }
  if (!response || response->status != 200) {
    OnCallFailed();
    return;
  }
  try {
    const RecordEvents answer = codec_.ParseEvents(response->body);
    CountUnreadable(answer.unreadable_records);
    for (const auto& event : answer.events) {
      // A peer may have delivered this change and later ones since the watch began. A removal may name the revision
      // of the record that it removes, which says nothing about the time of the removal.
      const bool known = !event.deleted && event.record.revision <= store_revision_;
      if (known || IsSuperseded(event.record.name, event.record.revision)) {
        continue;
      }
      if (event.deleted) {
        Remove(event.record.name, event.record.revision);
      } else {
        Put(event.record);
      }
    }
    store_revision_ = std::max(store_revision_, answer.store_revision);
    if (!answer.events.empty()) {
      handlers_.on_batch_applied();
    }
  } catch (const FormatError& error) {
    metrics_.Count("pimentomoor_store_malformed_total");
    LogWarn("store answer malformed", {{"kind", std::string(ToString(kind_))}, {"error", error.what()}});
    OnCallFailed();
    return;
  }
  OnCallSucceeded();
}

void RecordFeed::OnCallFailed() {
  metrics_.Count("pimentomoor_store_failures_total");
  const bool outage_began = !store_unavailable();
  if (outage_began) {
    store_unavailable_since_ = loop_.Now();
    LogWarn("store unavailable", {{"kind", std::string(ToString(kind_))}});
  }
  listed_records_.clear();
  const Duration max_backoff = loaded() ? options_.max_backoff : options_.max_first_list_backoff;
  ScheduleCall(BackoffDelay(consecutive_failures_++, options_.min_backoff, max_backoff, jitter_()));
  if (outage_began) {
    handlers_.on_store_availability_changed();
  }
}

void RecordFeed::OnCallSucceeded() {
  call_pending_ = false;
  consecutive_failures_ = 0;
  const bool recovered = store_unavailable();
  store_unavailable_since_ = TimePoint::max();
  if (source_ != Source::kPeers) {
    const Duration since = loop_.Now() - last_watch_at_;
    ScheduleCall(std::max(Duration::zero(), options_.min_watch_interval - since));
  }
  if (recovered) {
    LogInfo("store available", {{"kind", std::string(ToString(kind_))}});
    handlers_.on_store_availability_changed();
  }
}

void RecordFeed::Adopt(const RecordDelta& delta) {
  if (delta.store_revision <= store_revision_ && delta.content_revision <= content_revision_) {
    return;
  }
  metrics_.Count("pimentomoor_store_adopted_total");
  // A delta can be complete only up to a revision before store_revision_ and still hold newer records, when the
  // peer's list ended with pages that show later changes. Such a delta doesn't tell which records exist at
  // store_revision_.
  const bool delta_is_older = delta.store_revision < store_revision_;
  for (const auto& record : delta.changed) {
    const auto known = records_.find(record.name);
    const std::uint64_t known_revision =
        std::max(delta_is_older ? store_revision_ : 0, known == records_.end() ? 0 : known->second.revision);
    if (record.revision > known_revision) {
      Put(record);
    }
  }
  for (const auto& removal : delta.removed) {
    const auto known = records_.find(removal.name);
    if (known != records_.end() &&
        removal.revision > std::max(delta_is_older ? store_revision_ : 0, known->second.revision)) {
      Remove(removal.name, removal.revision);
    }
  }
  if (!delta_is_older && delta.lists_existing_names) {
    std::vector<std::string> names = delta.existing_names;
    for (const auto& [name, record] : records_) {
      if (record.revision > delta.store_revision) {
        names.push_back(name);  // newer than the delta
      }
    }
    RemoveAllExcept(names, delta.store_revision);
  }
  store_revision_ = std::max(store_revision_, delta.store_revision);
  content_revision_ = std::max(content_revision_, delta.content_revision);
  list_pending_ = false;
  handlers_.on_batch_applied();
}

RecordDelta RecordFeed::MakeDelta(std::uint64_t after) const {
  RecordDelta delta{.store_revision = store_revision_, .content_revision = content_revision_};
  delta.lists_existing_names = removals_complete_after_ == 0 || after < removals_complete_after_;
  for (const auto& [name, record] : records_) {
    if (delta.lists_existing_names) {
      delta.existing_names.push_back(name);
    }
    if (record.revision > after) {
      delta.changed.push_back(record);
    }
  }
  if (!delta.lists_existing_names) {
    std::copy_if(removals_.begin(), removals_.end(), std::back_inserter(delta.removed),
                 [after](const RemovedRecord& removal) { return removal.revision > after; });
  }
  return delta;
}

void RecordFeed::Recheck(std::uint64_t content_revision) {
  if (content_revision <= std::max(content_revision_, rechecked_revision_) || store_unavailable() ||
      (call_pending_ && loop_.Now() - last_watch_at_ < options_.min_watch_interval)) {
    return;
  }
  rechecked_revision_ = content_revision;
  metrics_.Count("pimentomoor_store_rechecks_total");
  client_.Abort();
  ScheduleCall(Duration::zero());
}

}  // namespace pimentomoor
