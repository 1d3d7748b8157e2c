// Follows the records of one kind: either lists them in the platform's store and then watches for changes, or takes
// the changes that another daemon has learned. Lists anew when the store has dropped the change history. Keeps the
// last known records while neither the store nor a peer answers.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pimentomoor/backoff.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/persistent_http_client.h"
#include "pimentomoor/platform_codec.h"

namespace pimentomoor {

struct RecordFeedOptions {
  Duration list_timeout = std::chrono::milliseconds(2'500);  // timeout of the call for one page of a list
  // Wait of a watch: the time after which the store answers it even without changes.
  Duration long_watch_wait = std::chrono::seconds(25);
  // Wait of the watches in the daemon that verifies for all that no change was missed: a watch can miss a change, or
  // its connection go silent, without an error.
  Duration short_watch_wait = std::chrono::milliseconds(1'800);
  // Wait of a watch while the store is unavailable, when an answer is needed at once to tell whether it is back.
  Duration probe_wait = std::chrono::milliseconds(100);
  // Time beyond its wait after which an unanswered watch has failed.
  Duration watch_timeout_margin = std::chrono::milliseconds(700);
  // Time between the starts of two watches, so that changes in quick succession share one call.
  Duration min_watch_interval = std::chrono::milliseconds(100);
  Duration min_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::milliseconds(1'500);
  // Maximum backoff before the first list. Nothing is served until then, so the return of the store has to be noticed
  // within a second.
  Duration max_first_list_backoff = std::chrono::milliseconds(700);
  // A list beyond these limits is abandoned, because a store that always names one more page would fill the memory.
  // The target of 75,000 searchers takes 1,500 pages of 50 and about 15 MB.
  std::size_t max_list_pages = 4'000;
  std::size_t max_list_bytes = std::size_t{32} << 20U;  // bytes of names and payloads
  // A larger entry of an upstream or an outage is kept without its payload, and so names no upstream. Valid ones have
  // a few hundred bytes.
  std::size_t max_entry_bytes = std::size_t{16} << 10U;
  BufferBudget* buffer_budget = nullptr;  // unfinished answers of the store count in it; null: no bound on the sum

  friend bool operator==(const RecordFeedOptions&, const RecordFeedOptions&) = default;
};

struct RemovedRecord {
  std::string name;
  std::uint64_t revision = 0;  // store revision at which the record was known to be gone

  friend bool operator==(const RemovedRecord&, const RemovedRecord&) = default;
};

/// What one daemon knows of a kind after a revision that another one named. Sent as proto::GatewayRecords, whose
/// fields `records`, `names` and `lists_names` hold `changed`, `existing_names` and `lists_existing_names`.
struct RecordDelta {
  std::uint64_t store_revision = 0;    // store revision up to which the records are complete
  std::uint64_t content_revision = 0;  // revision of the newest change
  std::vector<StoredRecord> changed;
  std::vector<std::string> existing_names;  // names of all existing records when lists_existing_names is set
  std::vector<RemovedRecord> removed;       // removals, when lists_existing_names is not set
  bool lists_existing_names = true;
};

class RecordFeed {
 public:
  struct Handlers {
    std::function<void(const StoredRecord&)> on_put;
    std::function<void(const std::string& name)> on_delete;
    std::function<void()> on_batch_applied;               // called after the changes of one answer or delta
    std::function<void()> on_store_availability_changed;  // called when the store stops answering or answers again
  };
  /// Where changes come from.
  enum class Source {
    kPeers,       // other daemons; the store is called only for Recheck and until a failure ends
    kLongWatch,   // watches of the store with long_watch_wait
    kShortWatch,  // watches of the store with short_watch_wait, which verify for all daemons
  };

  RecordFeed(EventLoop& loop, Metrics& metrics, const PlatformCodec& codec, RecordKind kind, std::string address,
             Handlers handlers, RecordFeedOptions options = {});
  ~RecordFeed();

  /// Sets the source of changes. The first one is kPeers.
  void SetSource(Source source);

  /// Applies the records that a peer knows. Ignored when this daemon knows as much.
  void Adopt(const RecordDelta& delta);
  /// Changes after revision `after`, up to which the asking daemon knows everything. Names all existing records when
  /// this daemon no longer knows which ones were removed since.
  [[nodiscard]] RecordDelta MakeDelta(std::uint64_t after) const;
  /// Revision up to which this daemon knows everything. The daemon names it to a peer, which passes it to
  /// MakeDelta().
  [[nodiscard]] std::uint64_t delta_base_revision() const { return std::min(store_revision_, content_revision_); }

  /// Calls the store anew because a peer knows a change of `content_revision` that neither the running watch nor a
  /// peer has delivered. Does so at most once for a revision.
  void Recheck(std::uint64_t content_revision);

  [[nodiscard]] RecordKind kind() const { return kind_; }
  /// Whether the records were known completely once, from a list or a peer.
  [[nodiscard]] bool loaded() const { return store_revision_ > 0; }
  /// Store revision up to which records() is complete; 0 before the first list.
  [[nodiscard]] std::uint64_t store_revision() const { return store_revision_; }
  /// Revision of the newest known change of this kind; the same at every daemon that knows the change.
  [[nodiscard]] std::uint64_t content_revision() const { return content_revision_; }
  /// Time at which this daemon last learned of a change; unset before the first list.
  [[nodiscard]] TimePoint changed_at() const { return changed_at_; }
  [[nodiscard]] const std::map<std::string, StoredRecord>& records() const { return records_; }
  [[nodiscard]] Source source() const { return source_; }
  /// Time since which the store has not answered this daemon; TimePoint::max() while it answers.
  [[nodiscard]] TimePoint store_unavailable_since() const { return store_unavailable_since_; }
  [[nodiscard]] bool store_unavailable() const { return store_unavailable_since_ != TimePoint::max(); }

 private:
  void StartCall();
  void StartList();
  void OnListPage(const std::optional<ResponseMessage>& response);
  [[nodiscard]] bool IsListTooLong() const;
  void StartWatch();
  void OnWatchAnswer(const std::optional<ResponseMessage>& response);
  /// Counts records that were left out because they have no readable name, and logs the first ones.
  void CountUnreadable(std::size_t records);
  /// Applies a complete list, unless a newer state is known.
  void ApplyList(std::vector<StoredRecord> records);
  /// Whether a newer change or removal of the record is known than one of `revision`.
  [[nodiscard]] bool IsSuperseded(const std::string& name, std::uint64_t revision) const;
  void Put(StoredRecord record);
  void RemoveAllExcept(const std::vector<std::string>& names, std::uint64_t revision);
  void Remove(const std::string& name, std::uint64_t revision);
  void OnCallFailed();
  void OnCallSucceeded();
  void ScheduleCall(Duration delay);

  EventLoop& loop_;
  Metrics& metrics_;
  const PlatformCodec& codec_;
  const RecordKind kind_;
  const Handlers handlers_;
  const RecordFeedOptions options_;
  PersistentHttpClient client_;
  Jitter jitter_;
  Source source_ = Source::kPeers;
  std::map<std::string, StoredRecord> records_;
  std::uint64_t store_revision_ = 0;
  std::uint64_t content_revision_ = 0;
  TimePoint changed_at_{};
  std::deque<RemovedRecord> removals_;         // oldest first, at most kMaxRememberedRemovals
  std::uint64_t removals_complete_after_ = 0;  // revision after which removals_ is complete; 0 before the first list
  std::uint64_t rechecked_revision_ = 0;       // content revision of a peer for which Recheck called the store
  std::vector<StoredRecord> listed_records_;   // records in the pages of the running list
  std::size_t listed_pages_ = 0;
  std::size_t listed_bytes_ = 0;
  // Store revision of the running list's first page. The watch begins there, and so delivers the changes made between
  // the pages.
  std::uint64_t first_page_revision_ = 0;
  bool list_pending_ = false;  // whether the next call lists; a list that failed starts over
  bool call_pending_ = false;  // whether a call is running or due
  bool unreadable_logged_ = false;
  TimePoint last_watch_at_{};
  TimePoint store_unavailable_since_ = TimePoint::max();
  unsigned consecutive_failures_ = 0;
  TimerId timer_ = 0;
};

}  // namespace pimentomoor
