// Tests of the known records of one kind over generated histories of a store that is restored from older copies, and
// of several daemons that read it or each other, late, cut off and out of order.
#include "pimentomoor/record_state.h"

#include <random>

#include "property.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kStepLength = std::chrono::milliseconds(100);
constexpr int kHistorySteps = 400;
constexpr int kMaxRewriteDelay = 40;   // steps from a restoration until the operator has written again what was lost
constexpr int kSettlingSteps = 1'000;  // longer than all that is kept across a restoration
const std::vector<std::string> kNames{"a", "b", "c"};

/// A store with one kind of records, and the operator who writes it.
struct Store {
  struct Copy {
    std::uint64_t revision = 10;
    std::map<std::string, StoredRecord> records;
  };

  /// `operation` tells the writes of a name apart.
  void Write(const std::string& name, bool exists, int operation) {
    if (!exists && !now.records.contains(name)) {
      return;
    }
    ++now.revision;
    if (exists) {
      now.records[name] = {.name = name, .revision = now.revision, .payload = std::to_string(operation)};
    } else {
      now.records.erase(name);
    }
    history.push_back({{.name = name, .revision = now.revision, .payload = std::to_string(operation)}, !exists});
  }
  void Restore(const Copy& copy) {
    now = copy;
    ++era;
    std::erase_if(history, [&](const RecordEvent& event) { return event.record.revision > now.revision; });
  }
  /// The changes after `revision`; nothing when the store doesn't have that revision.
  [[nodiscard]] std::optional<RecordEvents> Watch(std::uint64_t revision) const {
    if (revision > now.revision) {
      return std::nullopt;
    }
    RecordEvents events{.store_revision = now.revision};
    std::copy_if(history.begin(), history.end(), std::back_inserter(events.events),
                 [&](const RecordEvent& event) { return event.record.revision > revision; });
    return events;
  }

  Copy now;
  std::uint64_t era = 1;
  std::vector<RecordEvent> history;
};

/// An answer of the store that is on its way.
struct Answer {
  int due = -1;  // step of its arrival; -1: none
  std::uint64_t era = 0;
  bool is_list = false;
  Store::Copy list;
  std::optional<RecordEvents> events;
};

/// Reads the store or a peer as RecordFeed does.
struct Daemon {
  explicit Daemon(bool is_naive) : naive(is_naive) {}
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  [[nodiscard]] std::uint64_t Era(std::uint64_t era) const { return naive ? 0 : era; }

  void Call(const Store& store, int due) {
    answer = {.due = due, .era = store.era, .is_list = list_next || !state.loaded() || view.era > state.era()};
    answer.list = store.now;
    answer.events = answer.is_list ? std::nullopt : store.Watch(state.store_revision());
  }
  void Receive(TimePoint now) {
    answer.due = -1;
    if (ClassifyAnswer(view, Era(answer.era), now) == AnswerEra::kDoubtful) {
      return;
    }
    if (answer.is_list) {
      std::vector<StoredRecord> records;
      for (const auto& [name, record] : answer.list.records) {
        records.push_back(record);
      }
      state.ApplyList({.era = view.era, .revision = answer.list.revision}, std::move(records), now);
      list_next = false;
    } else if (!answer.events || view.era > state.era()) {
      list_next = true;
    } else {
      state.ApplyEvents(*answer.events, now);
    }
  }
  void Adopt(RecordDelta delta, TimePoint now) {
    delta.era = Era(delta.era);
    const std::uint64_t before = state.era();
    state.Adopt(delta, now);
    if (!view.known || state.era() > view.era) {
      view = {.known = true, .era = state.era(), .stated = state.era()};
    }
    if (state.era() != before && !answer.is_list) {
      answer.due = -1;
    }
  }
  const bool naive;
  std::map<std::string, int> last_seen;  // last operation of a name that was in force
  RecordState state{
      RecordKind::kOutages,
      100,
      {.on_put = [this](const StoredRecord& record) { last_seen[record.name] = std::stoi(record.payload); },
       .on_delete = [](const std::string&) {},
       .on_oversized = [] {},
       .content_version = {}}};
  StoreEraView view;
  Answer answer;
  bool list_next = false;
  int cut_until = 0;
};

struct Fetch {
  int due = 0;
  std::size_t to = 0;
  RecordDelta delta;
};

/// Plays a history of random events and counts how often a record at a daemon went back from what the operator had
/// wanted and the daemon known.
class History {
 public:
  History(std::size_t daemons, std::uint64_t seed, bool naive) : random_(seed) {
    for (std::size_t i = 0; i < daemons; ++i) {
      daemons_.push_back(std::make_unique<Daemon>(naive));
    }
  }

  int Play() {
    for (step_ = 0; step_ < kHistorySteps; ++step_) {
      if (OneIn(12)) {
        const auto& name = kNames[static_cast<std::size_t>(Draw(0, 2))];
        wanted_[name] = !wanted_[name];
        store_.Write(name, wanted_[name], ++operations_[name]);
      }
      if (OneIn(60) && !copies_.empty()) {
        Restore();
      }
      PlayDaemons();
    }
    for (; step_ < kHistorySteps + kSettlingSteps; ++step_) {
      PlayDaemons();
    }
    return reversions_;
  }

  /// Whether all daemons have what the operator wants in the end.
  [[nodiscard]] bool Agrees() const {
    std::set<std::string> names;
    for (const auto& [name, exists] : wanted_) {
      if (exists) {
        names.insert(name);
      }
    }
    return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& daemon) {
      return daemon->state.NamesInForce() == names && daemon->state.records() == store_.now.records;
    });
  }

 private:
  int Draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }
  bool OneIn(int count) { return Draw(1, count) == 1; }
  [[nodiscard]] TimePoint now() const { return kStart + step_ * kStepLength; }

  void Restore() {
    const Store::Copy copy = copies_[static_cast<std::size_t>(Draw(0, static_cast<int>(copies_.size()) - 1))];
    store_.Restore(copy);
    for (const auto& name : kNames) {
      rewrite_at_[name] = step_ + Draw(0, kMaxRewriteDelay);
    }
  }

  void PlayDaemons() {
    for (const auto& [name, at] : rewrite_at_) {
      if (at == step_ && store_.now.records.contains(name) != wanted_[name]) {
        store_.Write(name, wanted_[name], operations_[name]);
      }
    }
    copies_.push_back(store_.now);
    if (copies_.size() > 30) {
      copies_.erase(copies_.begin());
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      PlayDaemon(i);
      for (const auto& name : kNames) {
        CountReversion(i, name);
      }
    }
  }

  // A daemon knows an operation of a name once its records were those of the store after it. An operation that
  // removed the name is known only if the record that it removed was.
  void CountReversion(std::size_t i, const std::string& name) {
    Daemon& daemon = *daemons_[i];
    int& known = known_operations_[{i, name}];
    const int operation = operations_[name];
    const bool in_force = daemon.state.NamesInForce().contains(name);
    if (daemon.state.records() == store_.now.records && in_force == wanted_[name] &&
        daemon.last_seen[name] == (wanted_[name] ? operation : operation - 1)) {
      known = operation;
    } else if (operation > 0 && known == operation && in_force != wanted_[name] && !IsSameRevision(daemon, name)) {
      ++reversions_;
      known = 0;
    }
  }

  // Whether the record has by chance the revision of the one that was removed in the previous era, so that it can't
  // be told from that for some seconds.
  static bool IsSameRevision(const Daemon& daemon, const std::string& name) {
    const auto record = daemon.state.records().find(name);
    const auto carried = daemon.state.carried().by_name.find(name);
    return record != daemon.state.records().end() && carried != daemon.state.carried().by_name.end() &&
           carried->second.removed && carried->second.removed_revisions.contains(record->second.revision);
  }

  void PlayDaemon(std::size_t i) {
    Daemon& daemon = *daemons_[i];
    const bool settling = step_ >= kHistorySteps;
    if (settling) {
      daemon.cut_until = std::min(daemon.cut_until, kHistorySteps);
    } else if (OneIn(100)) {
      daemon.cut_until = step_ + Draw(1, 120);
    }
    const bool cut = step_ < daemon.cut_until;
    if (daemon.state.Expire(now()) && cut) {
      // The stated time has passed, and the daemon couldn't hear of the operator's newer word.
      for (const auto& name : kNames) {
        known_operations_[{i, name}] = 0;
      }
    }
    for (auto& fetch : fetches_) {
      if (fetch.to == i && fetch.due <= step_) {
        daemon.Adopt(std::move(fetch.delta), now());
      }
    }
    std::erase_if(fetches_, [&](const Fetch& fetch) { return fetch.to == i && fetch.due <= step_; });
    if (daemon.answer.due >= 0 && daemon.answer.due <= step_) {
      daemon.Receive(now());
    }
    if (cut) {
      return;
    }
    const int delay = settling ? 0 : Draw(0, 7);
    if (daemon.answer.due < 0 && (settling || i == 0 || OneIn(6))) {
      daemon.Call(store_, step_ + delay);
    }
    const std::size_t from = static_cast<std::size_t>(step_) % daemons_.size();
    if (from != i && (settling || OneIn(3)) && step_ >= daemons_[from]->cut_until && daemons_[from]->state.loaded()) {
      const StorePosition after{.era = daemon.state.era(),
                                .revision = std::min(daemon.state.store_revision(), daemon.state.content_revision())};
      fetches_.push_back({.due = step_ + delay, .to = i, .delta = daemons_[from]->state.MakeDelta(after, now())});
    }
  }

  std::mt19937_64 random_;
  Store store_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<Fetch> fetches_;
  std::vector<Store::Copy> copies_;  // of the last steps, oldest first
  std::map<std::string, bool> wanted_;
  std::map<std::string, int> operations_;  // number of the operator's changes of a name
  std::map<std::pair<std::size_t, std::string>, int> known_operations_;
  std::map<std::string, int> rewrite_at_;
  int step_ = 0;
  int reversions_ = 0;
};

StoredRecord Entry(const std::string& name, std::uint64_t revision, const std::string& payload = "{}") {
  return {.name = name, .revision = revision, .payload = payload};
}

}  // namespace

TEST_GROUP(RecordState) {
  std::string changes;
  RecordState::Handlers handlers{.on_put = [this](const StoredRecord& record) { changes += "+" + record.name; },
                                 .on_delete = [this](const std::string& name) { changes += "-" + name; },
                                 .on_oversized = [] {},
                                 .content_version = {}};
  std::string TakeChanges() { return std::exchange(changes, ""); }
};

// Guards against an outage that is undone by a copy without it, one that was removed and returns with a copy, and a
// daemon that never agrees with the store again.
TEST(RecordState, NothingGoesBackOverRestorations) {
  int naive_failures = 0;
  CHECK(CheckProperty(120, "records of daemons over restorations of the store", [&] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 5);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    History history(daemons, seed, false);
    RC_ASSERT(history.Play() == 0);
    RC_ASSERT(history.Agrees());
    History naive(daemons, seed, true);
    const bool naive_failed = naive.Play() > 0 || !naive.Agrees();
    naive_failures += naive_failed ? 1 : 0;
  }));
  CHECK_TEXT(naive_failures >= 25, std::to_string(naive_failures).c_str());
}

// Guards against an outage that is held for ever because the copy lost it and nobody writes it again, and a removed
// one that is never put in force although it exists.
TEST(RecordState, WhatIsKeptEndsAfterAStatedTime) {
  RecordState state(RecordKind::kOutages, 100, handlers);
  state.ApplyList({.era = 1, .revision = 20}, {Entry("old", 5), Entry("new", 18)}, kStart);
  state.ApplyEvents({.events = {{Entry("old", 5), true}}, .store_revision = 21}, kStart);
  STRCMP_EQUAL("+old+new-old", TakeChanges().c_str());
  CHECK(state.ApplyList({.era = 2, .revision = 10}, {Entry("old", 5)}, kStart));
  STRCMP_EQUAL("", TakeChanges().c_str());
  CHECK((state.NamesInForce() == std::set<std::string>{"new"}));
  const RestorePolicy policy = PolicyOf(RecordKind::kOutages);
  CHECK(state.NextExpiry() == kStart + policy.removed_hold);
  CHECK_FALSE(state.Expire(kStart + policy.removed_hold - kStepLength));
  CHECK(state.Expire(kStart + policy.removed_hold));
  STRCMP_EQUAL("+old", TakeChanges().c_str());
  CHECK(state.NextExpiry() == kStart + policy.lost_hold);
  CHECK(state.Expire(kStart + policy.lost_hold));
  STRCMP_EQUAL("-new", TakeChanges().c_str());
  CHECK(state.NextExpiry() == TimePoint::max());
}

// Guards against an upstream that has left and returns with a copy, and against one that is alive and stays unused.
// Entries are ordered by their payload here, as by birth and sequence in the gateway.
TEST(RecordState, DepartedUpstreamReturnsOnlyWithANewerEntry) {
  handlers.content_version = [](const StoredRecord& record) {
    return ContentVersion{.birth = 1, .sequence = std::stoull(record.payload)};
  };
  RecordState state(RecordKind::kUpstreams, 100, handlers);
  state.ApplyList({.era = 1, .revision = 20}, {Entry("u", 5, "7"), Entry("v", 6, "7"), Entry("w", 19, "1")}, kStart);
  state.ApplyEvents({.events = {{Entry("u", 21, "7"), true}, {Entry("v", 22, "7"), true}}, .store_revision = 22},
                    kStart);
  TakeChanges();
  state.ApplyList({.era = 2, .revision = 10}, {Entry("u", 4, "6"), Entry("v", 4, "6")}, kStart);
  STRCMP_EQUAL("-w", TakeChanges().c_str());  // the caller uses it as a last resort for a while
  LONGS_EQUAL(2, state.suppressed_count());
  state.ApplyEvents({.events = {{Entry("u", 11, "8"), false}, {Entry("w", 12, "2"), false}}, .store_revision = 12},
                    kStart);
  STRCMP_EQUAL("+u+w", TakeChanges().c_str());
  // A second copy brings the entry back once more.
  state.ApplyList({.era = 3, .revision = 10}, {Entry("u", 4, "6"), Entry("v", 4, "6")}, kStart);
  STRCMP_EQUAL("+u-w", TakeChanges().c_str());
  state.Expire(kStart + PolicyOf(RecordKind::kUpstreams).removed_hold);
  STRCMP_EQUAL("+v", TakeChanges().c_str());
}

// Guards against a daemon that starts after a restoration and takes the older table, and against a peer's old record
// that outlives the operator's newer one.
TEST(RecordState, LaterDaemonTakesTheLostTableFromPeers) {
  RecordState state(RecordKind::kRouting, 100, handlers);
  state.ApplyList({.era = 1, .revision = 20}, {Entry("main", 18, "v2")}, kStart);
  state.ApplyList({.era = 2, .revision = 10}, {Entry("main", 9, "v1")}, kStart);
  std::vector<std::string> payloads;
  handlers.on_put = [&](const StoredRecord& record) { payloads.push_back(record.payload); };
  RecordState later(RecordKind::kRouting, 100, handlers);
  CHECK(later.Adopt(state.MakeDelta({}, kStart), kStart));
  CHECK((payloads == std::vector<std::string>{"v1", "v2"}));
  CHECK_FALSE(later.Adopt(state.MakeDelta({.era = 2, .revision = 10}, kStart), kStart));
  CHECK(DigestCarried(later.carried()) == DigestCarried(state.carried()));
  state.ApplyEvents({.events = {{Entry("main", 12, "v3"), false}}, .store_revision = 12}, kStart);
  payloads.clear();
  RecordState last(RecordKind::kRouting, 100, handlers);
  CHECK(last.Adopt(state.MakeDelta({}, kStart), kStart));
  CHECK((payloads == std::vector<std::string>{"v3"}));
}

}  // namespace pimentomoor
