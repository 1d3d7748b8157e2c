// Follows the records of one kind: either lists them in the platform's store and then watches for changes, or takes
// the changes that another daemon has learned. Lists anew when the store has dropped the change history. Keeps the
// last known records while neither the store nor a peer answers.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pimentomoor/backoff.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/persistent_http_client.h"
#include "pimentomoor/platform_codec.h"
#include "pimentomoor/record_state.h"

namespace pimentomoor {

struct RecordFeedOptions {
  Duration list_timeout = std::chrono::milliseconds(2'500);  // timeout of the call for one page of a list
  // Wait of a watch: the time after which the store answers it even without changes.
  Duration long_watch_wait = std::chrono::seconds(25);
  // Wait of the watches in the daemon that verifies for all that no change was missed: a watch can miss a change, or
  // its connection go silent, without an error.
  Duration short_watch_wait = std::chrono::milliseconds(1'800);
  // Wait of a watch whose answer is needed at once, to tell whether the store answers this daemon.
  Duration probe_wait = std::chrono::milliseconds(100);
  // Time beyond its wait after which an unanswered watch has failed.
  Duration watch_timeout_margin = std::chrono::milliseconds(700);
  // Time between the starts of two watches, so that changes in quick succession share one call.
  Duration min_watch_interval = std::chrono::milliseconds(100);
  // Time between two lists for new eras, so that a store whose era rises with each answer is not listed all the time.
  Duration min_era_list_interval = std::chrono::seconds(1);
  // Time for which a feed that follows peers waits for them to deliver a new era before it lists the store.
  Duration peer_era_wait = std::chrono::milliseconds(1'500);
  // Time before a list for a new era. While the store doesn't answer, all daemons call it; those that don't have to
  // read it are told so within this time after its return.
  Duration source_choice_wait = std::chrono::milliseconds(150);
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

class RecordFeed {
 public:
  struct Handlers {
    std::function<void(const StoredRecord&)> on_put;
    std::function<void(const std::string& name)> on_delete;
    std::function<void()> on_batch_applied;               // called after the changes of one answer or delta
    std::function<void()> on_store_availability_changed;  // called when the store stops answering or answers again
    /// Orders the states of a record across eras of the store; may be unset.
    std::function<ContentVersion(const StoredRecord&)> content_version;
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

  /// Applies the records that a peer knows. Ignored when this daemon knows as much, or a later era. Returns whether
  /// anything was applied.
  bool Adopt(const RecordDelta& delta);
  /// Changes after `after`, up to which the asking daemon knows everything; see RecordState::MakeDelta().
  [[nodiscard]] RecordDelta MakeDelta(StorePosition after) const;
  /// Position up to which this daemon knows everything. The daemon names it to a peer, which passes it to
  /// MakeDelta().
  [[nodiscard]] StorePosition delta_base() const {
    return {.era = era(), .revision = std::min(state_.store_revision(), state_.content_revision())};
  }

  /// Calls the store anew because a peer, or the feed of another kind, knows a change or an era that neither the
  /// running watch nor a peer has delivered. Does so at most once for a position, and not while such a call runs.
  void Recheck(StorePosition position);

  [[nodiscard]] RecordKind kind() const { return kind_; }
  /// Whether the records were known completely once, from a list or a peer.
  [[nodiscard]] bool loaded() const { return state_.loaded(); }
  /// Era of the store to which records() and the revisions belong: the number of restorations as the store states it,
  /// 0 when it states none. Revisions of different eras must not be compared.
  [[nodiscard]] std::uint64_t era() const { return state_.era(); }
  /// Newest era that the store has shown to this feed, of which the records may not be known yet.
  [[nodiscard]] std::uint64_t newest_era() const { return std::max(view_.era, state_.era()); }
  /// Store revision up to which records() is complete; 0 before the first list.
  [[nodiscard]] std::uint64_t store_revision() const { return state_.store_revision(); }
  /// Revision of the newest known change of this kind; the same at every daemon that knows the change.
  [[nodiscard]] std::uint64_t content_revision() const { return state_.content_revision(); }
  /// Era and revision of the newest known change.
  [[nodiscard]] StorePosition content_position() const { return {.era = era(), .revision = content_revision()}; }
  /// Time at which this daemon last learned of a change; unset before the first list.
  [[nodiscard]] TimePoint changed_at() const { return state_.changed_at(); }
  /// The records as the store has them.
  [[nodiscard]] const std::map<std::string, StoredRecord>& records() const { return state_.records(); }
  /// Names of the records in force, which differ from those of records() after a restoration of the store.
  [[nodiscard]] std::set<std::string> NamesInForce() const { return state_.NamesInForce(); }
  /// Digest of what was carried over from the previous era and is told to peers; 0 when there is nothing.
  [[nodiscard]] std::uint64_t carried_digest() const {
    return PolicyOf(kind_).keeps_lost ? DigestCarried(state_.carried()) : 0;
  }
  [[nodiscard]] const RecordState& state() const { return state_; }
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
  /// Reads the era of an answer. Returns false when the answer must not be applied: the next call is scheduled then.
  [[nodiscard]] bool AcceptEra(const ResponseMessage& response);
  /// Lists the store next, for the first time in a new era.
  void ScheduleEraList();
  /// Whether the next call is a list.
  [[nodiscard]] bool NeedsList() const { return !loaded() || list_pending_ || view_.era > era(); }
  /// Calls on_batch_applied, and sees to the end of what is carried over.
  void OnApplied();
  void OnCallFailed();
  void OnCallSucceeded();
  void SetStoreAvailable();
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
  RecordState state_;
  StoreEraView view_;          // eras in the store's answers
  StorePosition rechecked_{};  // position for which Recheck called the store
  TimePoint last_era_list_at_{};
  std::vector<StoredRecord> listed_records_;  // records in the pages of the running list
  std::size_t listed_pages_ = 0;
  std::size_t listed_bytes_ = 0;
  // Store revision of the running list's first page. The watch begins there, and so delivers the changes made between
  // the pages.
  std::uint64_t first_page_revision_ = 0;
  std::uint64_t list_era_ = 0;  // era of the running list
  bool list_pending_ = false;   // whether the next call lists; a list that failed starts over
  bool call_pending_ = false;   // whether a call is running or due
  // Whether the running or due call shows if the store answers this daemon: the first one for a source, and that of
  // Recheck. A watch then has probe_wait.
  bool confirming_ = false;
  bool unreadable_logged_ = false;
  TimePoint last_watch_at_{};
  TimePoint store_unavailable_since_ = TimePoint::max();
  unsigned consecutive_failures_ = 0;
  TimerId timer_ = 0;
  TimerId expiry_timer_ = 0;  // of what is carried over
};

}  // namespace pimentomoor
