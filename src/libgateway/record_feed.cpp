// Implementation of the feed of one kind of objects.
#include "pimentomoor/record_feed.h"

#include <algorithm>
#include <set>

#include "pimentomoor/log.h"

namespace pimentomoor {

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

void RecordFeed::Start() { List(); }

void RecordFeed::CallLater(Duration delay, void (RecordFeed::*step)()) {
  loop_.Cancel(timer_);
  timer_ = loop_.CallAfter(delay, [this, step] { (this->*step)(); });
}

void RecordFeed::List() {
  const std::string after = listed_.empty() ? "" : listed_.back().name;
  metrics_.Count("pimentomoor_store_calls_total", 1, "call=\"list\"");
  client_.Get(codec_.ListTarget(kind_, after), options_.list_timeout,
              [this](std::optional<ResponseMessage> response) { OnPage(response); });
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
    const bool more = page.more && !page.records.empty();
    std::move(page.records.begin(), page.records.end(), std::back_inserter(listed_));
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
  Succeeded();
  Replace(std::move(listed_), list_revision_);
  listed_.clear();
  Watch();
}

void RecordFeed::Replace(std::vector<StoredRecord> records, std::uint64_t revision) {
  revision_ = revision;
  std::set<std::string> kept;
  for (auto& record : records) {
    content_revision_ = std::max(content_revision_, record.revision);
    kept.insert(record.name);
    auto& held = records_[record.name];
    if (held != record) {
      held = std::move(record);
      handlers_.on_put(held);
    }
  }
  std::vector<std::string> gone;
  for (const auto& [name, record] : records_) {
    if (!kept.contains(name)) {
      gone.push_back(name);
    }
  }
  for (const auto& name : gone) {
    records_.erase(name);
    handlers_.on_delete(name);
  }
  handlers_.on_batch();
}

void RecordFeed::Watch() {
  last_watch_ = loop_.Now();
  metrics_.Count("pimentomoor_store_calls_total", 1, "call=\"watch\"");
  const Duration wait = verifying_ ? options_.verify_wait : options_.watch_wait;
  client_.Get(codec_.WatchTarget(kind_, revision_, wait), wait + options_.watch_grace,
              [this](std::optional<ResponseMessage> response) { OnEvents(response); });
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
      content_revision_ = std::max(content_revision_, event.record.revision);
      if (event.deleted) {
        records_.erase(event.record.name);
        handlers_.on_delete(event.record.name);
      } else {
        records_[event.record.name] = event.record;
        handlers_.on_put(event.record);
      }
    }
    revision_ = std::max(revision_, answer.store_revision);
    if (!answer.events.empty()) {
      handlers_.on_batch();
    }
  } catch (const FormatError& error) {
    metrics_.Count("pimentomoor_store_malformed_total");
    LogWarn("store answer malformed", {{"kind", std::string(ToString(kind_))}, {"error", error.what()}});
    Retry();
    return;
  }
  Succeeded();
  const Duration since = loop_.Now() - last_watch_;
  if (since >= options_.min_watch_interval) {
    Watch();
  } else {
    CallLater(options_.min_watch_interval - since, &RecordFeed::Watch);
  }
}

void RecordFeed::Retry() {
  metrics_.Count("pimentomoor_store_failures_total");
  if (failing_since_ == TimePoint::max()) {
    failing_since_ = loop_.Now();
    LogWarn("store unavailable", {{"kind", std::string(ToString(kind_))}});
  }
  listed_.clear();
  const Duration delay = BackoffDelay(failures_++, options_.min_backoff, options_.max_backoff, jitter_());
  CallLater(delay, loaded() ? &RecordFeed::Watch : &RecordFeed::List);
}

void RecordFeed::Succeeded() {
  if (failing_since_ != TimePoint::max()) {
    LogInfo("store available", {{"kind", std::string(ToString(kind_))}});
  }
  failing_since_ = TimePoint::max();
  failures_ = 0;
}

void RecordFeed::Adopt(std::vector<StoredRecord> records, std::uint64_t revision) {
  if (revision > revision_) {
    metrics_.Count("pimentomoor_store_adopted_total");
    Replace(std::move(records), revision);
  }
}

void RecordFeed::SetVerifying(bool verifying) {
  if (verifying == verifying_) {
    return;
  }
  verifying_ = verifying;
  // The waiting watch is long: it is replaced unless the store is failing, when a retry is due anyway.
  if (verifying_ && loaded() && failing_since_ == TimePoint::max()) {
    client_.Abort();
    CallLater(Duration::zero(), &RecordFeed::Watch);
  }
}

void RecordFeed::Recheck(std::uint64_t content_revision) {
  if (!loaded() || content_revision <= std::max(content_revision_, rechecked_revision_) ||
      loop_.Now() - last_watch_ < options_.min_watch_interval) {
    return;
  }
  rechecked_revision_ = content_revision;
  metrics_.Count("pimentomoor_store_rechecks_total");
  client_.Abort();
  CallLater(Duration::zero(), &RecordFeed::Watch);
}

}  // namespace pimentomoor
