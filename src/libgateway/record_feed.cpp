// Implementation of the feed of one kind of records.
#include "pimentomoor/record_feed.h"

#include <algorithm>
#include <utility>

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
      client_(loop, codec.field_names(), std::move(address), options.buffer_budget),
      state_(kind, options.max_entry_bytes,
             {.on_put = handlers_.on_put,
              .on_delete = handlers_.on_delete,
              .on_oversized = [this] { metrics_.Count("pimentomoor_store_oversized_records_total"); },
              .content_version = handlers_.content_version}) {}

RecordFeed::~RecordFeed() {
  loop_.Cancel(timer_);
  loop_.Cancel(expiry_timer_);
}

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
    confirming_ = false;
    listed_records_.clear();
  } else if (!list_pending_ || !call_pending_ || view_.era > era()) {
    client_.Abort();  // ends a running watch, which has the wait of the previous source
    confirming_ = true;
    ScheduleCall(Duration::zero());
  }
}

void RecordFeed::ScheduleCall(Duration delay) {
  call_pending_ = true;
  loop_.Cancel(timer_);
  timer_ = loop_.CallAfter(delay, [this] { StartCall(); });
}

void RecordFeed::StartCall() {
  if (NeedsList()) {
    StartList();
  } else {
    StartWatch();
  }
}

void RecordFeed::StartList() {
  list_pending_ = true;
  if (view_.era > era()) {
    last_era_list_at_ = loop_.Now();
  }
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
    const bool first_page = listed_records_.empty();
    if (!AcceptEra(*response)) {
      return;
    }
    if (first_page) {
      first_page_revision_ = page.store_revision;
      list_era_ = view_.era;
    } else if (list_era_ != view_.era) {  // restored between two pages
      ScheduleEraList();
      return;
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
  if (state_.ApplyList({.era = list_era_, .revision = first_page_revision_}, std::exchange(listed_records_, {}),
                       loop_.Now())) {
    OnApplied();
  }
  OnCallSucceeded();
}

bool RecordFeed::AcceptEra(const ResponseMessage& response) {
  if (ClassifyAnswer(view_, ParseStoreEra(response.store_era), loop_.Now()) != AnswerEra::kDoubtful) {
    return true;
  }
  metrics_.Count("pimentomoor_store_old_era_total", 1, "source=\"store\"");
  listed_records_.clear();
  ScheduleCall(BackoffDelay(consecutive_failures_++, options_.min_backoff, options_.max_backoff, jitter_()));
  return false;
}

void RecordFeed::ScheduleEraList() {
  list_pending_ = true;
  listed_records_.clear();
  const Duration since = loop_.Now() - last_era_list_at_;
  const bool from_peers = source_ == Source::kPeers && loaded();
  ScheduleCall(from_peers ? options_.peer_era_wait
                          : std::max(options_.source_choice_wait, options_.min_era_list_interval - since));
}

void RecordFeed::OnApplied() {
  handlers_.on_batch_applied();
  loop_.Cancel(expiry_timer_);
  expiry_timer_ = 0;
  if (const TimePoint next = state_.NextExpiry(); next != TimePoint::max()) {
    expiry_timer_ = loop_.CallAfter(std::max(Duration::zero(), next - loop_.Now()), [this] {
      expiry_timer_ = 0;
      if (state_.Expire(loop_.Now())) {
        LogInfo("records of an earlier store era expired", {{"kind", std::string(ToString(kind_))}});
      }
      OnApplied();
    });
  }
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

void RecordFeed::StartWatch() {
  last_watch_at_ = loop_.Now();
  metrics_.Count("pimentomoor_store_calls_total", 1, "call=\"watch\"");
  const bool probing =
      confirming_ || store_unavailable() || source_ == Source::kPeers || view_.doubtful_since != TimePoint::max();
  const Duration wait = probing                          ? options_.probe_wait
                        : source_ == Source::kShortWatch ? options_.short_watch_wait
                                                         : options_.long_watch_wait;
  client_.Get(codec_.WatchTarget(kind_, store_revision(), wait), wait + options_.watch_timeout_margin,
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
    if (!AcceptEra(*response)) {
      return;
    }
    if (view_.era > era()) {
      SetStoreAvailable();
      ScheduleEraList();
      return;
    }
    CountUnreadable(answer.unreadable_records);
    if (state_.ApplyEvents(answer, loop_.Now())) {
      OnApplied();
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
  confirming_ = false;
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
  confirming_ = false;
  consecutive_failures_ = 0;
  if (source_ != Source::kPeers) {
    const Duration since = loop_.Now() - last_watch_at_;
    ScheduleCall(std::max(Duration::zero(), options_.min_watch_interval - since));
  }
  SetStoreAvailable();
}

void RecordFeed::SetStoreAvailable() {
  if (store_unavailable()) {
    store_unavailable_since_ = TimePoint::max();
    LogInfo("store available", {{"kind", std::string(ToString(kind_))}});
    handlers_.on_store_availability_changed();
  }
}

bool RecordFeed::Adopt(const RecordDelta& delta) {
  if (loaded() && (delta.era < era() || !IsPlausibleEra(era(), delta.era))) {
    metrics_.Count("pimentomoor_store_old_era_total", 1, "source=\"peer\"");
    return false;
  }
  const bool enters_era = loaded() && delta.era > era();
  if (!state_.Adopt(delta, loop_.Now())) {
    return false;
  }
  metrics_.Count("pimentomoor_store_adopted_total");
  if (!view_.known || delta.era > view_.era) {
    view_ = {.known = true, .era = delta.era, .stated = delta.stated_era};
  }
  if (era() == view_.era) {
    list_pending_ = false;
  }
  if (enters_era && call_pending_) {
    // The running call names a revision of the previous era, beyond which the store may stay for long.
    client_.Abort();
    confirming_ = false;
    listed_records_.clear();
    if (source_ == Source::kPeers && !store_unavailable() && !NeedsList()) {
      loop_.Cancel(timer_);
      call_pending_ = false;
    } else {
      ScheduleCall(store_unavailable() ? options_.min_backoff : Duration::zero());
    }
  }
  OnApplied();
  return true;
}

RecordDelta RecordFeed::MakeDelta(StorePosition after) const {
  RecordDelta delta = state_.MakeDelta(after, loop_.Now());
  delta.stated_era = view_.era == era() ? view_.stated : std::nullopt;
  return delta;
}

void RecordFeed::Recheck(StorePosition position) {
  if (position <= std::max(content_position(), rechecked_) || store_unavailable() || confirming_ ||
      (call_pending_ && position.era > era() && view_.era >= position.era) ||  // a list is due
      (call_pending_ && loop_.Now() - last_watch_at_ < options_.min_watch_interval)) {
    return;
  }
  rechecked_ = position;
  metrics_.Count("pimentomoor_store_rechecks_total");
  client_.Abort();
  confirming_ = true;
  ScheduleCall(Duration::zero());
}

}  // namespace pimentomoor
