// Follows one kind of objects in the platform's store: lists them, then watches for changes, and starts over when the
// store has dropped the history. Holds the last known objects while the store is away.
#pragma once

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
  Duration watch_grace = std::chrono::milliseconds(700);  // beyond the wait, until an unanswered watch has failed
  Duration min_watch_interval = std::chrono::milliseconds(100);  // joins changes in quick succession into one call
  Duration min_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::milliseconds(1'500);

  friend bool operator==(const RecordFeedOptions&, const RecordFeedOptions&) = default;
};

class RecordFeed {
 public:
  struct Handlers {
    std::function<void(const StoredRecord&)> on_put;
    std::function<void(const std::string& name)> on_delete;
    std::function<void()> on_batch;  // after the changes of one answer
  };

  RecordFeed(EventLoop& loop, Metrics& metrics, const PlatformCodec& codec, RecordKind kind, std::string address,
             Handlers handlers, RecordFeedOptions options = {});
  ~RecordFeed();

  void Start();

  /// Takes a peer's newer copy while the store does not answer; older copies are ignored.
  void Adopt(std::vector<StoredRecord> records, std::uint64_t revision);
  /// A peer knows a change of `content_revision`: asks the store again when the running watch has not told it.
  void Recheck(std::uint64_t content_revision);
  /// Whether this daemon verifies the kind by short watches, for all daemons that hear it.
  void SetVerifying(bool verifying);

  [[nodiscard]] RecordKind kind() const { return kind_; }
  [[nodiscard]] bool loaded() const { return revision_ > 0; }
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Revision of the newest known change of this kind; the same at every daemon that knows the change.
  [[nodiscard]] std::uint64_t content_revision() const { return content_revision_; }
  [[nodiscard]] const std::map<std::string, StoredRecord>& records() const { return records_; }
  /// The store has not answered since then; TimePoint::max() while it answers.
  [[nodiscard]] TimePoint failing_since() const { return failing_since_; }

 private:
  void List();
  void OnPage(const std::optional<ResponseMessage>& response);
  void Watch();
  void OnEvents(const std::optional<ResponseMessage>& response);
  void Replace(std::vector<StoredRecord> records, std::uint64_t revision);
  void Retry();
  void Succeeded();
  void CallLater(Duration delay, void (RecordFeed::*step)());

  EventLoop& loop_;
  Metrics& metrics_;
  const PlatformCodec& codec_;
  const RecordKind kind_;
  const Handlers handlers_;
  const RecordFeedOptions options_;
  KeptHttpClient client_;
  Jitter jitter_;
  std::map<std::string, StoredRecord> records_;
  std::uint64_t revision_ = 0;  // of the store, up to which records_ is complete; 0 before the first list
  std::uint64_t content_revision_ = 0;
  std::uint64_t rechecked_revision_ = 0;  // of a peer, for which the store was asked again
  std::vector<StoredRecord> listed_;      // pages of the running list
  std::uint64_t list_revision_ = 0;       // of its first page: the watch repeats what changed between the pages
  TimePoint last_watch_{};
  bool verifying_ = false;
  TimePoint failing_since_ = TimePoint::max();
  unsigned failures_ = 0;  // in a row
  TimerId timer_ = 0;
};

}  // namespace pimentomoor
