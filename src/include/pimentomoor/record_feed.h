// Follows one kind of objects: lists them in the platform's store, then watches for changes, and starts over when the
// store has dropped the history; or takes the changes that another daemon has learned. Holds the last known objects
// while neither answers.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pimentomoor/backoff.h"
#include "pimentomoor/kept_http_client.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/platform_codec.h"

namespace pimentomoor {

struct RecordFeedOptions {
  Duration list_timeout = std::chrono::milliseconds(2'500);
  Duration watch_wait = std::chrono::seconds(25);
  // Of the daemon that verifies for all: a watch can miss a change, or its connection go silent, without an error.
  Duration verify_wait = std::chrono::milliseconds(1'800);
  Duration probe_wait = std::chrono::milliseconds(100);   // while the store fails: an answer is wanted at once
  Duration watch_grace = std::chrono::milliseconds(700);  // beyond the wait, until an unanswered watch has failed
  Duration min_watch_interval = std::chrono::milliseconds(100);  // joins changes in quick succession into one call
  Duration min_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::milliseconds(1'500);
  // Before the first list nothing is served, so that the return of the store has to be noticed within a second.
  Duration max_first_backoff = std::chrono::milliseconds(700);
  // A list beyond these is given up, because a store that always names one more page would fill the memory. The
  // target of 75,000 searchers takes 1,500 pages of 50 and about 15 MB.
  std::size_t max_list_pages = 4'000;
  std::size_t max_list_bytes = std::size_t{32} << 20U;  // names and payloads

  friend bool operator==(const RecordFeedOptions&, const RecordFeedOptions&) = default;
};

struct RemovedRecord {
  std::string name;
  std::uint64_t revision = 0;  // at which it was known to be gone

  friend bool operator==(const RemovedRecord&, const RemovedRecord&) = default;
};

/// What one daemon knows of a kind beyond a revision that another one named.
struct RecordDelta {
  std::uint64_t store_revision = 0;    // up to which the objects are complete
  std::uint64_t content_revision = 0;  // of the newest change
  std::vector<StoredRecord> changed;
  std::vector<std::string> existing_names;  // of all objects that exist, unless `removed` tells what is gone
  std::vector<RemovedRecord> removed;
  bool lists_existing_names = true;
};

class RecordFeed {
 public:
  struct Handlers {
    std::function<void(const StoredRecord&)> on_put;
    std::function<void(const std::string& name)> on_delete;
    std::function<void()> on_batch_applied;               // after the changes of one answer
    std::function<void()> on_store_availability_changed;  // the store began or ceased to answer
  };
  enum class Source {
    kPeers,       // no calls to the store while it is not known to fail
    kLongWatch,   // long watches
    kShortWatch,  // short watches, for all daemons that hear this one
  };

  RecordFeed(EventLoop& loop, Metrics& metrics, const PlatformCodec& codec, RecordKind kind, std::string address,
             Handlers handlers, RecordFeedOptions options = {});
  ~RecordFeed();

  /// Where changes come from. Begins without a source.
  void SetSource(Source source);

  /// Takes what a peer knows; ignored when this daemon knows as much.
  void Adopt(const RecordDelta& delta);
  /// What changed after `after`, of which the asking daemon knows everything before. Names all objects when this
  /// daemon no longer knows what was removed since.
  [[nodiscard]] RecordDelta MakeDelta(std::uint64_t after) const;
  /// The revision that a daemon passes to another one's MakeDelta().
  [[nodiscard]] std::uint64_t delta_base_revision() const { return std::min(revision_, content_revision_); }

  /// A peer knows a change of `content_revision` that neither the running watch nor a peer has told: asks the store
  /// once more for it.
  void Recheck(std::uint64_t content_revision);

  [[nodiscard]] RecordKind kind() const { return kind_; }
  [[nodiscard]] bool loaded() const { return revision_ > 0; }
  [[nodiscard]] std::uint64_t store_revision() const { return revision_; }
  /// Revision of the newest known change of this kind; the same at every daemon that knows the change.
  [[nodiscard]] std::uint64_t content_revision() const { return content_revision_; }
  /// When this daemon last learned of a change; unset before the first list.
  [[nodiscard]] TimePoint changed_at() const { return changed_at_; }
  [[nodiscard]] const std::map<std::string, StoredRecord>& records() const { return records_; }
  [[nodiscard]] Source source() const { return source_; }
  /// The store has not answered this daemon since then; TimePoint::max() while it answers.
  [[nodiscard]] TimePoint store_unavailable_since() const { return failing_since_; }
  [[nodiscard]] bool store_unavailable() const { return failing_since_ != TimePoint::max(); }

 private:
  void Call();
  void List();
  void OnPage(const std::optional<ResponseMessage>& response);
  [[nodiscard]] bool IsListTooLong() const;
  void Watch();
  void OnEvents(const std::optional<ResponseMessage>& response);
  void Put(const StoredRecord& record);
  void RemoveAllExcept(const std::vector<std::string>& names, std::uint64_t revision);
  void Remove(const std::string& name, std::uint64_t revision);
  void Retry();
  void Succeeded();
  void CallLater(Duration delay);

  EventLoop& loop_;
  Metrics& metrics_;
  const PlatformCodec& codec_;
  const RecordKind kind_;
  const Handlers handlers_;
  const RecordFeedOptions options_;
  KeptHttpClient client_;
  Jitter jitter_;
  Source source_ = Source::kPeers;
  std::map<std::string, StoredRecord> records_;
  std::uint64_t revision_ = 0;  // of the store, up to which records_ is complete; 0 before the first list
  std::uint64_t content_revision_ = 0;
  TimePoint changed_at_{};
  std::deque<RemovedRecord> removed_;     // at most kMaxRemoved, complete after removed_since_
  std::uint64_t removed_since_ = 0;       // 0 before the first list
  std::uint64_t rechecked_revision_ = 0;  // of a peer, for which the store was asked again
  std::vector<StoredRecord> listed_;      // pages of the running list
  std::size_t listed_pages_ = 0;
  std::size_t listed_bytes_ = 0;
  std::uint64_t list_revision_ = 0;  // of its first page: the watch repeats what changed between the pages
  bool listing_ = false;             // the next call lists; a list that failed starts over
  bool calling_ = false;             // a call is running or due
  TimePoint last_watch_{};
  TimePoint failing_since_ = TimePoint::max();
  unsigned failures_ = 0;  // in a row
  TimerId timer_ = 0;
};

}  // namespace pimentomoor
