// Implementation of the feed of one kind of objects.
#include "pimentomoor/record_feed.h"

#include <algorithm>
#include <set>

#include "pimentomoor/log.h"

namespace pimentomoor {

namespace {

// Several minutes of removals; daemons that ask for older ones get the names of all objects.
constexpr std::size_t kMaxRemoved = 1'024;

}  // namespace

RecordFeed::RecordFeed(EventLoop& loop, Metrics& metrics, const PlatformCodec& codec, RecordKind kind,
                       std::string address, Handlers handlers, RecordFeedOptions options)
    : loop_(loop),
      metrics_(metrics),
      codec_(codec),
      kind_(kind),
      handlers_(std::move(handlers)),
      options_(options),
      client_(loop, codec.field_names(), std::move(address)) {}

RecordFeed::~RecordFeed() { loop_.Cancel(timer_); }

void RecordFeed::SetSource(Source source) {
  if (source == source_) {
    return;
  }
  source_ = source;
  if (store_unavailable()) {
    return;  // retries go on until the store answers
  }
  if (source == Source::kPeers) {
    client_.Abort();
    loop_.Cancel(timer_);
    calling_ = false;
    listed_.clear();
  } else if (!listing_ || !calling_) {
    client_.Abort();  // a waiting watch of another length
    CallLater(Duration::zero());
  }
}

void RecordFeed::CallLater(Duration delay) {
  calling_ = true;
  loop_.Cancel(timer_);
  timer_ = loop_.CallAfter(delay, [this] { Call(); });
}

void RecordFeed::Call() {
  if (!loaded() || listing_) {
    List();
  } else {
    Watch();
  }
}

void RecordFeed::List() {
  listing_ = true;
  if (listed_.empty()) {
    listed_pages_ = 0;
    listed_bytes_ = 0;
  }
  const std::string after = listed_.empty() ? "" : listed_.back().name;
  metrics_.Count("pimentomoor_store_calls_total", 1, "call=\"list\"");
  client_.Get(codec_.ListTarget(kind_, after), options_.list_timeout,
              [this](const std::optional<ResponseMessage>& response) { OnPage(response); });
}

void RecordFeed::OnPage(const std::optional<ResponseMessage>& response) {
  if (!response || response->status != 200) {
    Retry();
    return;
  }
  try {
    RecordPage page = codec_.ParsePage(response->body);
    if (listed_.empty()) {
      list_revision_ = page.store_revision;
    }
    const bool more = page.has_more && !page.records.empty();
    ++listed_pages_;
    for (const auto& record : page.records) {
      listed_bytes_ += record.name.size() + record.payload.size();
    }
    std::move(page.records.begin(), page.records.end(), std::back_inserter(listed_));
    if (more && IsListTooLong()) {
      metrics_.Count("pimentomoor_store_list_too_long_total");
      LogWarn("store list too long", {{"kind", std::string(ToString(kind_))},
                                      {"pages", std::to_string(listed_pages_)},
                                      {"bytes", std::to_string(listed_bytes_)}});
      Retry();
      return;
    }
    if (more) {
      List();
      return;
    }
  } catch (const FormatError& error) {
    metrics_.Count("pimentomoor_store_malformed_total");
    LogWarn("store answer malformed", {{"kind", std::string(ToString(kind_))}, {"error", error.what()}});
    Retry();
    return;
  }
  listing_ = false;
  revision_ = list_revision_;
  std::vector<std::string> names;
  for (const auto& record : listed_) {
    names.push_back(record.name);
    Put(record);
  }
  listed_.clear();
  RemoveAllExcept(names, revision_);
  handlers_.on_batch_applied();
  Succeeded();
}

bool RecordFeed::IsListTooLong() const {
  return listed_pages_ >= options_.max_list_pages || listed_bytes_ >= options_.max_list_bytes;
}

void RecordFeed::Put(const StoredRecord& record) {
  content_revision_ = std::max(content_revision_, record.revision);
  auto& held = records_[record.name];
  if (held != record) {
    held = record;
    changed_at_ = loop_.Now();
    handlers_.on_put(held);
  }
}

void RecordFeed::Remove(const std::string& name, std::uint64_t revision) {
  records_.erase(name);
  // Others learn of a removal as of any change: by a newer content revision.
  content_revision_ = std::max(content_revision_, revision);
  removed_.push_back({.name = name, .revision = revision});
  if (removed_.size() > kMaxRemoved) {
    removed_since_ = std::max(removed_since_, removed_.front().revision);
    removed_.pop_front();
  }
  changed_at_ = loop_.Now();
  handlers_.on_delete(name);
}

void RecordFeed::RemoveAllExcept(const std::vector<std::string>& names, std::uint64_t revision) {
  if (removed_since_ == 0) {
    removed_since_ = std::max<std::uint64_t>(revision, 1);  // the first list
  }
  const std::set<std::string> kept(names.begin(), names.end());
  std::vector<std::string> gone;
  for (const auto& [name, record] : records_) {
    if (!kept.contains(name)) {
      gone.push_back(name);
    }
  }
  for (const auto& name : gone) {
    Remove(name, revision);
  }
}

void RecordFeed::Watch() {
  last_watch_ = loop_.Now();
  metrics_.Count("pimentomoor_store_calls_total", 1, "call=\"watch\"");
  const bool probe = store_unavailable() || source_ == Source::kPeers;
  const Duration wait = probe                            ? options_.probe_wait
                        : source_ == Source::kShortWatch ? options_.verify_wait
                                                         : options_.watch_wait;
  client_.Get(codec_.WatchTarget(kind_, revision_, wait), wait + options_.watch_grace,
              [this](const std::optional<ResponseMessage>& response) { OnEvents(response); });
}

void RecordFeed::OnEvents(const std::optional<ResponseMessage>& response) {
  if (response && response->status == 410) {
    metrics_.Count("pimentomoor_store_history_lost_total");
    listed_.clear();
    List();
    return;
  }
  if (!response || response->status != 200) {
    Retry();
    return;
  }
  try {
    const RecordEvents answer = codec_.ParseEvents(response->body);
    for (const auto& event : answer.events) {
      if (event.deleted) {
        Remove(event.record.name, event.record.revision);
      } else {
        Put(event.record);
      }
    }
    revision_ = std::max(revision_, answer.store_revision);
    if (!answer.events.empty()) {
      handlers_.on_batch_applied();
    }
  } catch (const FormatError& error) {
    metrics_.Count("pimentomoor_store_malformed_total");
    LogWarn("store answer malformed", {{"kind", std::string(ToString(kind_))}, {"error", error.what()}});
    Retry();
    return;
  }
  Succeeded();
}

void RecordFeed::Retry() {
  metrics_.Count("pimentomoor_store_failures_total");
  const bool began = !store_unavailable();
  if (began) {
    failing_since_ = loop_.Now();
    LogWarn("store unavailable", {{"kind", std::string(ToString(kind_))}});
  }
  listed_.clear();
  const Duration max_backoff = loaded() ? options_.max_backoff : options_.max_first_backoff;
  CallLater(BackoffDelay(failures_++, options_.min_backoff, max_backoff, jitter_()));
  if (began) {
    handlers_.on_store_availability_changed();
  }
}

void RecordFeed::Succeeded() {
  calling_ = false;
  failures_ = 0;
  const bool recovered = store_unavailable();
  failing_since_ = TimePoint::max();
  if (source_ != Source::kPeers) {
    const Duration since = loop_.Now() - last_watch_;
    CallLater(std::max(Duration::zero(), options_.min_watch_interval - since));
  }
  if (recovered) {
    LogInfo("store available", {{"kind", std::string(ToString(kind_))}});
    handlers_.on_store_availability_changed();
  }
}

void RecordFeed::Adopt(const RecordDelta& delta) {
  if (delta.store_revision <= revision_ && delta.content_revision <= content_revision_) {
    return;
  }
  metrics_.Count("pimentomoor_store_adopted_total");
  // A peer's list can begin before revision_ and still hold newer objects of its last pages. Such a list says nothing
  // about what else exists at revision_.
  const bool older = delta.store_revision < revision_;
  for (const auto& record : delta.changed) {
    const auto held = records_.find(record.name);
    const std::uint64_t known = std::max(older ? revision_ : 0, held == records_.end() ? 0 : held->second.revision);
    if (record.revision > known) {
      Put(record);
    }
  }
  for (const auto& gone : delta.removed) {
    const auto held = records_.find(gone.name);
    if (held != records_.end() && gone.revision > std::max(older ? revision_ : 0, held->second.revision)) {
      Remove(gone.name, gone.revision);
    }
  }
  if (!older && delta.lists_existing_names) {
    std::vector<std::string> names = delta.existing_names;
    for (const auto& [name, record] : records_) {
      if (record.revision > delta.store_revision) {
        names.push_back(name);  // newer than what the peer tells
      }
    }
    RemoveAllExcept(names, delta.store_revision);
  }
  revision_ = std::max(revision_, delta.store_revision);
  content_revision_ = std::max(content_revision_, delta.content_revision);
  listing_ = false;
  handlers_.on_batch_applied();
}

RecordDelta RecordFeed::MakeDelta(std::uint64_t after) const {
  RecordDelta delta{.store_revision = revision_, .content_revision = content_revision_};
  delta.lists_existing_names = removed_since_ == 0 || after < removed_since_;
  for (const auto& [name, record] : records_) {
    if (delta.lists_existing_names) {
      delta.existing_names.push_back(name);
    }
    if (record.revision > after) {
      delta.changed.push_back(record);
    }
  }
  if (!delta.lists_existing_names) {
    std::copy_if(removed_.begin(), removed_.end(), std::back_inserter(delta.removed),
                 [after](const RemovedRecord& gone) { return gone.revision > after; });
  }
  return delta;
}

void RecordFeed::Recheck(std::uint64_t content_revision) {
  if (content_revision <= std::max(content_revision_, rechecked_revision_) || store_unavailable() ||
      (calling_ && loop_.Now() - last_watch_ < options_.min_watch_interval)) {
    return;
  }
  rechecked_revision_ = content_revision;
  metrics_.Count("pimentomoor_store_rechecks_total");
  client_.Abort();
  CallLater(Duration::zero());
}

}  // namespace pimentomoor
