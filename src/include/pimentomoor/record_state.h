// The known records of one kind: merges lists and watches of the store with what peers know, within an era of the
// store and across eras. Keeps in force what a restored copy has lost, until it is written anew or a time has passed.
// Uses no network and no clock of its own.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "pimentomoor/platform_codec.h"
#include "pimentomoor/store_era.h"

namespace pimentomoor {

struct RemovedRecord {
  std::string name;
  std::uint64_t revision = 0;  // store revision at which the record was known to be gone

  friend bool operator==(const RemovedRecord&, const RemovedRecord&) = default;
};

/// Order of the states of a record that its writer gives it, valid across eras. Zero: the writer gives none.
struct ContentVersion {
  std::uint64_t birth = 0;
  std::uint64_t sequence = 0;

  friend bool operator==(const ContentVersion&, const ContentVersion&) = default;
  friend auto operator<=>(const ContentVersion& left, const ContentVersion& right) {
    return std::tie(left.birth, left.sequence) <=> std::tie(right.birth, right.sequence);
  }
};

/// What was known last of a record in an earlier era.
struct CarriedRecord {
  StorePosition position;                     // of the last change
  bool removed = false;                       // the last change was a removal
  std::set<std::uint64_t> removed_revisions;  // when `removed`: revisions that the record had
  ContentVersion removed_content;             // when `removed`: version of the record that was removed
  std::string payload;                        // content that was in force; empty when `removed` or `settled`
  bool settled = false;                       // the current era has a newer change, or the time has passed
  TimePoint until{};                          // has an effect until then

  friend bool operator==(const CarriedRecord&, const CarriedRecord&) = default;
};

/// The carried records of one kind. MergeCarried() makes two daemons agree on them.
struct CarriedRecords {
  std::map<std::string, CarriedRecord> by_name;

  friend bool operator==(const CarriedRecords&, const CarriedRecords&) = default;
};

/// Adds what `other` knows. Of two changes of a record the later one holds, a removal before a change of the same
/// position.
void MergeCarried(CarriedRecords& own, const CarriedRecords& other);
/// Equal at two daemons that carry the same; 0 when there is nothing.
std::uint64_t DigestCarried(const CarriedRecords& carried);

/// What is kept across a restoration, by kind.
struct RestorePolicy {
  bool keeps_lost = true;  // records that the copy lacks stay in force, and daemons tell each other of them
  Duration lost_hold = std::chrono::seconds(60);
  Duration removed_hold = std::chrono::seconds(5);  // time for which a removed record of the copy is not in force
};
RestorePolicy PolicyOf(RecordKind kind);

/// What one daemon knows of a kind after a revision that another one named. Sent as proto::GatewayRecords, whose
/// fields `records`, `names` and `lists_names` hold `changed`, `existing_names` and `lists_existing_names`.
struct RecordDelta {
  std::uint64_t store_revision = 0;    // store revision up to which the records are complete
  std::uint64_t content_revision = 0;  // revision of the newest change
  std::vector<StoredRecord> changed;
  std::vector<std::string> existing_names;  // names of all existing records when lists_existing_names is set
  std::vector<RemovedRecord> removed;       // removals, when lists_existing_names is not set
  bool lists_existing_names = true;
  std::uint64_t era = 0;                    // era of all revisions above
  std::optional<std::uint64_t> stated_era;  // as StoreEraView::stated
  CarriedRecords carried;                   // with `until` counted from now
};

class RecordState {
 public:
  struct Handlers {
    std::function<void(const StoredRecord&)> on_put;
    std::function<void(const std::string& name)> on_delete;
    std::function<void()> on_oversized;  // called when the content of an entry is dropped
    /// Orders the states of a record across eras; may be unset.
    std::function<ContentVersion(const StoredRecord&)> content_version;
  };

  RecordState(RecordKind kind, std::size_t max_entry_bytes, Handlers handlers)
      : kind_(kind), policy_(PolicyOf(kind)), max_entry_bytes_(max_entry_bytes), handlers_(std::move(handlers)) {}

  /// The functions below return whether they applied or changed anything. A list is applied unless a newer state is
  /// known.
  bool ApplyList(StorePosition position, std::vector<StoredRecord> records, TimePoint now);
  /// Applies the answer to a watch of the current era.
  bool ApplyEvents(const RecordEvents& answer, TimePoint now);
  /// Applies what a peer knows, unless it is of an earlier era or no news.
  bool Adopt(const RecordDelta& delta, TimePoint now);
  /// Ends what is carried until now.
  bool Expire(TimePoint now);
  /// Time at which Expire() has something to do; TimePoint::max() when nothing is carried.
  [[nodiscard]] TimePoint NextExpiry() const;

  /// Changes after `after`, up to which the asking daemon knows everything. Holds all records when the asking daemon
  /// knows another era, and names all existing ones when the removals since then are no longer known.
  [[nodiscard]] RecordDelta MakeDelta(StorePosition after, TimePoint now) const;

  [[nodiscard]] bool loaded() const { return store_revision_ > 0; }
  [[nodiscard]] std::uint64_t era() const { return era_; }
  [[nodiscard]] std::uint64_t store_revision() const { return store_revision_; }
  [[nodiscard]] std::uint64_t content_revision() const { return content_revision_; }
  [[nodiscard]] TimePoint changed_at() const { return changed_at_; }
  /// The records as the store has them in the current era.
  [[nodiscard]] const std::map<std::string, StoredRecord>& records() const { return records_; }
  [[nodiscard]] const CarriedRecords& carried() const { return carried_; }
  /// Names of the records in force: those in the store without the suppressed ones, and those that a copy lost.
  [[nodiscard]] std::set<std::string> NamesInForce() const;
  [[nodiscard]] std::size_t suppressed_count() const { return suppressed_.size(); }
  [[nodiscard]] std::size_t lost_count() const { return LostNames().size(); }

 private:
  /// Replaces the records by those of a newer era and carries over what was known of the previous one.
  void EnterEra(StorePosition position, std::vector<StoredRecord> records, TimePoint now);
  [[nodiscard]] CarriedRecords CollectCarried(TimePoint now) const;
  bool MergeAndReconcile(const CarriedRecords& carried, TimePoint now);
  [[nodiscard]] bool IsSuppressed(const StoredRecord& record, TimePoint now) const;
  [[nodiscard]] std::set<std::string> LostNames() const;
  /// Marks that the current era has a change of the record.
  void Settle(const std::string& name);
  /// Whether a newer change or removal of the record is known than one of `revision`.
  [[nodiscard]] bool IsSuperseded(const std::string& name, std::uint64_t revision) const;
  /// Drops the content of an entry that is too large.
  void LimitContent(StoredRecord& record) const;
  void Put(StoredRecord record, TimePoint now);
  void RemoveAllExcept(const std::vector<std::string>& names, std::uint64_t revision, TimePoint now);
  void Remove(const std::string& name, std::uint64_t revision, TimePoint now);
  [[nodiscard]] ContentVersion VersionOf(const StoredRecord& record) const {
    return handlers_.content_version ? handlers_.content_version(record) : ContentVersion{};
  }

  /// A removal and the version of the record that was removed.
  struct Removal {
    RemovedRecord removed;
    ContentVersion content;
  };
  /// Remembers a revision that a record had and has no longer.
  void NotePastRevision(const std::string& name, std::uint64_t revision);
  [[nodiscard]] CarriedRecord MakeRemoved(const std::string& name, StorePosition position, ContentVersion content,
                                          TimePoint now) const;

  const RecordKind kind_;
  const RestorePolicy policy_;
  const std::size_t max_entry_bytes_;
  const Handlers handlers_;
  std::uint64_t era_ = 0;
  std::map<std::string, StoredRecord> records_;
  std::uint64_t store_revision_ = 0;
  std::uint64_t content_revision_ = 0;
  TimePoint changed_at_{};
  std::deque<Removal> removals_;               // of the current era, oldest first, at most kMaxRememberedRemovals
  std::uint64_t removals_complete_after_ = 0;  // revision after which removals_ is complete; 0 before the first list
  CarriedRecords carried_;
  // Revisions that records had, also in earlier eras, by name: a copy may hold any of them. At most kMaxPastRevisions
  // of kMaxRememberedRemovals names.
  std::map<std::string, std::set<std::uint64_t>> past_revisions_;
  std::set<std::string> written_;     // names of records that changed since the first list of the current era
  std::set<std::string> suppressed_;  // names of records_ that are not in force, because they come from the copy
};

}  // namespace pimentomoor
