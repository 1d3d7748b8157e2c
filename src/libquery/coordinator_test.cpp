// Tests of the coordinator with fake owners that lose, delay, repeat and mix up answers.
#include "pimentomoor/coordinator.h"

#include <cstdlib>
#include <optional>

#include "coordinator_hooks.h"
#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

// What a fake owner does with one sub-query.
enum class Fate { kAnswer, kAnswerTwice, kLose, kLate, kNotRun, kWrongSnapshot, kCrossed, kConnectionLost };

constexpr std::uint32_t kShards = 5;
constexpr Duration kStep = std::chrono::milliseconds(1);

// One entry with fake owners: every sub-query meets the next fate of a list, then always kAnswer.
class FakeFleet {
 public:
  FakeFleet(std::vector<Fate> fates, bool coverage_first) : fates_(std::move(fates)) {
    owner_.set_host("owner");
    catalog_ = std::make_shared<Catalog>();
    catalog_->service = "s";
    catalog_->snapshots.push_back({.version = 3});
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
      const std::string first = "127.0.0.1:" + std::to_string(100 + shard);
      const std::string second = "127.0.0.1:" + std::to_string(200 + shard);
      catalog_->snapshots[0].shards.push_back({.shard = shard, .upstreams = {first, second}});
      catalog_->upstreams.push_back({.address = first, .failure_domain = "a"});
    }
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
      catalog_->upstreams.push_back({.address = "127.0.0.1:" + std::to_string(200 + shard), .failure_domain = "b"});
    }
    AllowAllServices(plans_, access_);
    CoordinatorOptions options;
    options.deadlines.coverage_first = coverage_first;
    coordinator_.emplace(loop_, metrics_, traces_, options, Hooks());
  }

  void Ask() {
    proto::QueryRequest request;
    request.set_customer("c");
    request.set_service("s");
    request.set_text("t");
    request.set_limit(1'000);
    request.set_deadline_ms(400);
    coordinator_->Run(request, ParseTraceparent(""), [this](proto::QueryAnswer answer) {
      ++answers_;
      answer_ = std::move(answer);
    });
  }

  // The searchers drop the snapshot of the catalog in favour of `version`, which the entry does not know yet.
  void Retire(std::uint64_t version) { oldest_held_ = version; }
  // The entry learns of a catalog with this snapshot only.
  void Learn(std::uint64_t version) {
    catalog_ = std::make_shared<Catalog>(*catalog_);
    catalog_->snapshots[0].version = version;
  }

  void RunFor(Duration time) {
    for (Duration passed{}; passed < time; passed += kStep) {
      clock_.Advance(kStep);
      loop_.RunOnce(Duration::zero());
    }
  }

  int answers_ = 0;
  proto::QueryAnswer answer_;
  std::uint32_t sent_ = 0;
  int refreshes_ = 0;
  std::uint64_t platform_ = 0;  // snapshot of the catalog that the entry finds when it asks; 0: none
  bool any_ran_ = false;
  std::optional<proto::CanaryVerdict> verdict_;
  std::uint32_t strikes_ = 3;

 private:
  CoordinatorHooks Hooks() {
    CoordinatorHooks hooks = UnlimitedHooks(plans_, access_, catalog_);
    hooks.usable_owner = [this](const std::string&, const std::string&) { return &owner_; };
    hooks.send = [this](const proto::Daemon&, const proto::SubQueries& message) {
      for (const auto& item : message.items()) {
        Receive(message, item);
      }
      return true;
    };
    hooks.ask_crash_guard = [this](std::uint64_t, const auto& done) {
      done(verdict_.value_or(proto::CANARY_PROVEN), strikes_);
    };
    hooks.report_canary = [](std::uint64_t, bool, const auto&) {};
    hooks.refresh_catalog = [this](const std::string& service) {
      ++refreshes_;
      if (service == "s" && platform_ != 0) {
        loop_.CallAfter(std::chrono::milliseconds(4), [this] { Learn(platform_); });
      }
    };
    return hooks;
  }

  void Receive(const proto::SubQueries& message, const proto::SubQuery& item) {
    const Fate fate = sent_ < fates_.size() ? fates_[sent_] : Fate::kAnswer;
    ++sent_;
    any_ran_ |= fate != Fate::kNotRun && fate != Fate::kWrongSnapshot;
    proto::SubAnswer answer;
    answer.set_id(item.id());
    answer.set_shard(item.shard());
    answer.set_snapshot(message.snapshot());
    answer.set_status(proto::SUB_OK);
    answer.add_rows()->set_id(std::to_string(message.snapshot()) + "/" + std::to_string(item.shard()));
    Duration delay = std::chrono::milliseconds(5);
    if (message.snapshot() < oldest_held_) {
      answer.set_status(proto::SUB_WRONG_SNAPSHOT);
    }
    switch (fate) {
      case Fate::kLose:
        return;
      case Fate::kLate:
        delay = std::chrono::milliseconds(300);
        break;
      case Fate::kNotRun:
        answer.set_status(proto::SUB_NOT_RUN_OVERLOAD);
        break;
      case Fate::kWrongSnapshot:
        answer.set_snapshot(message.snapshot() - 1);
        answer.mutable_rows(0)->set_id("old");
        break;
      case Fate::kCrossed:
        answer.set_shard((item.shard() + 1) % kShards);
        break;
      case Fate::kConnectionLost:
        answer.set_status(proto::SUB_CONNECTION_LOST);
        break;
      default:
        break;
    }
    for (int copies = fate == Fate::kAnswerTwice ? 2 : 1; copies > 0; --copies) {
      proto::SubAnswers answers;
      answers.set_query_id(message.query_id());
      *answers.add_items() = answer;
      loop_.CallAfter(delay * copies, [this, answers] { coordinator_->HandleAnswers(answers); });
    }
  }

  std::vector<Fate> fates_;
  std::uint64_t oldest_held_ = 0;  // snapshot
  ManualClock clock_;
  EventLoop loop_{clock_};
  Metrics metrics_;
  TraceStore traces_;
  proto::Daemon owner_;
  std::shared_ptr<Catalog> catalog_;
  CustomerPlans plans_;
  AccessPlans access_;
  std::optional<Coordinator> coordinator_;
};

}  // namespace

TEST_GROUP(Coordinator){};

// Guards against a lost, second, late, mixed or untruthful answer, whatever happens to the sub-queries: exactly one
// answer by the deadline, rows of the pinned snapshot and of the covered shards only, "not run" only when nothing
// ran.
TEST(Coordinator, AnswersOnceAndTruthfullyUnderAnyFates) {
  CHECK(CheckProperty(300, "any fates", [] {
    const auto fates = *rc::gen::container<std::vector<Fate>>(
        rc::gen::element(Fate::kAnswer, Fate::kAnswerTwice, Fate::kLose, Fate::kLate, Fate::kNotRun,
                         Fate::kWrongSnapshot, Fate::kCrossed, Fate::kConnectionLost));
    FakeFleet fleet(fates, *rc::gen::arbitrary<bool>());
    fleet.Ask();
    fleet.RunFor(std::chrono::milliseconds(450));
    RC_ASSERT(fleet.answers_ == 1);
    fleet.RunFor(std::chrono::milliseconds(400));  // late answers must not bring a second one
    RC_ASSERT(fleet.answers_ == 1);
    const auto& answer = fleet.answer_;
    RC_ASSERT(answer.snapshot() == 3U);
    RC_ASSERT(static_cast<std::uint32_t>(answer.covered_size() + answer.missing_size()) == kShards);
    RC_ASSERT(answer.rows_size() == answer.covered_size());
    const std::set<std::uint32_t> covered(answer.covered().begin(), answer.covered().end());
    for (const auto& row : answer.rows()) {
      RC_ASSERT(row.id().starts_with("3/"));
      RC_ASSERT(covered.contains(static_cast<std::uint32_t>(std::stoul(row.id().substr(2)))));
    }
    RC_ASSERT(answer.outcome() != "not_run" || !fleet.any_ran_);
    // First attempts, free retries on the second replica, and the extra budget bound the load.
    RC_ASSERT(fleet.sent_ <= kShards * 2 + 21 + kShards);
  }));
}

// Guards against coverage that is given up although a replica is left and time remains.
TEST(Coordinator, RetriesOnTheOtherReplicaUntilComplete) {
  FakeFleet fleet({Fate::kNotRun, Fate::kConnectionLost, Fate::kWrongSnapshot}, true);
  fleet.Ask();
  fleet.RunFor(std::chrono::milliseconds(100));
  STRCMP_EQUAL("complete", fleet.answer_.outcome().c_str());
  LONGS_EQUAL(kShards + 3, fleet.sent_);
}

// Guards against a tail-weighted query that waits for a lost shard beyond its soft deadline, and against a
// coverage-weighted one that does not wait.
TEST(Coordinator, SoftDeadlineAnswersPartiallyOnlyWhenTailCountsMost) {
  // The first shard's sub-query and its hedge are late.
  const std::vector<Fate> fates = {Fate::kLate,   Fate::kAnswer, Fate::kAnswer,
                                   Fate::kAnswer, Fate::kAnswer, Fate::kLate};
  FakeFleet tail(fates, false);
  tail.Ask();
  tail.RunFor(std::chrono::milliseconds(100));
  STRCMP_EQUAL("partial", tail.answer_.outcome().c_str());
  LONGS_EQUAL(kShards - 1, tail.answer_.covered_size());
  FakeFleet coverage(fates, true);
  coverage.Ask();
  coverage.RunFor(std::chrono::milliseconds(350));
  STRCMP_EQUAL("complete", coverage.answer_.outcome().c_str());
}

// Guards against timers of a query that are set again by its second canary and fire after its end, which ended the
// whole daemon.
TEST(Coordinator, SecondCanaryKeepsSnapshotAndTimers) {
  FakeFleet fleet({Fate::kConnectionLost}, false);
  fleet.verdict_ = proto::CANARY_GRANTED;
  fleet.Ask();
  fleet.RunFor(std::chrono::milliseconds(500));
  LONGS_EQUAL(1, fleet.answers_);
  STRCMP_EQUAL("complete", fleet.answer_.outcome().c_str());
  LONGS_EQUAL(kShards + 1, fleet.sent_);
}

// Guards against a query that loses all shards because the searchers drop its snapshot before its entry learns of the
// next one: a canary has to restart on it like any other query.
TEST(Coordinator, RetiredSnapshotRestartsOnTheNextOne) {
  for (const auto verdict : {proto::CANARY_PROVEN, proto::CANARY_GRANTED}) {
    FakeFleet fleet({}, false);
    fleet.verdict_ = verdict;
    fleet.strikes_ = 0;
    fleet.Retire(4);
    fleet.Ask();
    fleet.RunFor(std::chrono::milliseconds(15));
    fleet.Learn(4);
    fleet.RunFor(std::chrono::milliseconds(90));
    STRCMP_EQUAL("complete", fleet.answer_.outcome().c_str());
    LONGS_EQUAL(4, fleet.answer_.snapshot());
  }
}

// Guards against an entry that pins a retired snapshot until heartbeats bring the next catalog, up to half a second
// later, and answers nothing in between.
TEST(Coordinator, RetiredSnapshotAsksForTheNextCatalog) {
  for (const auto verdict : {proto::CANARY_PROVEN, proto::CANARY_GRANTED}) {
    FakeFleet fleet({}, false);
    fleet.verdict_ = verdict;
    fleet.strikes_ = 0;
    fleet.Retire(4);
    fleet.platform_ = 4;
    fleet.Ask();
    fleet.RunFor(std::chrono::milliseconds(60));
    STRCMP_EQUAL("complete", fleet.answer_.outcome().c_str());
    LONGS_EQUAL(4, fleet.answer_.snapshot());
    CHECK(fleet.refreshes_ > 0);
  }
  FakeFleet held({Fate::kNotRun, Fate::kConnectionLost}, true);  // other failures say nothing of the catalog
  held.Ask();
  held.RunFor(std::chrono::milliseconds(100));
  LONGS_EQUAL(0, held.refreshes_);
}

// Guards against a canary that is sent to more than one shard, or a quarantined request that reaches an upstream.
TEST(Coordinator, CanaryRunsAloneAndQuarantinedRequestNotAtAll) {
  FakeFleet canary({Fate::kLate}, true);
  canary.verdict_ = proto::CANARY_GRANTED;
  canary.Ask();
  canary.RunFor(std::chrono::milliseconds(250));
  LONGS_EQUAL(1, canary.sent_);
  canary.RunFor(std::chrono::milliseconds(100));
  LONGS_EQUAL(kShards, canary.sent_);
  FakeFleet refused({}, true);
  refused.verdict_ = proto::CANARY_QUARANTINED;
  refused.Ask();
  LONGS_EQUAL(0, refused.sent_);
  STRCMP_EQUAL("failed", refused.answer_.outcome().c_str());
}

// Guards against a canary at a straggler that costs the coverage of the whole query, and against one that is copied
// after a strike or more than once.
TEST(Coordinator, LateCanaryIsHedgedOnceWhileThereIsNoStrike) {
  FakeFleet first({Fate::kLate}, false);
  first.verdict_ = proto::CANARY_GRANTED;
  first.strikes_ = 0;
  first.Ask();
  first.RunFor(std::chrono::milliseconds(90));
  LONGS_EQUAL(kShards + 1, first.sent_);
  STRCMP_EQUAL("complete", first.answer_.outcome().c_str());
  FakeFleet struck({Fate::kLate}, false);
  struck.verdict_ = proto::CANARY_GRANTED;
  struck.strikes_ = 1;
  struck.Ask();
  struck.RunFor(std::chrono::milliseconds(90));
  LONGS_EQUAL(1, struck.sent_);
  FakeFleet both({Fate::kLate, Fate::kLate}, false);
  both.verdict_ = proto::CANARY_GRANTED;
  both.strikes_ = 0;
  both.Ask();
  both.RunFor(std::chrono::milliseconds(90));
  LONGS_EQUAL(2, both.sent_);
}

// Guards against a new canary that is asked for while a copy of the last one still runs: it would exceed the crash
// guard's limit.
TEST(Coordinator, FailedCanaryWaitsForItsOtherCopy) {
  FakeFleet fleet({Fate::kLate, Fate::kConnectionLost}, true);
  fleet.verdict_ = proto::CANARY_GRANTED;
  fleet.strikes_ = 0;
  fleet.Ask();
  fleet.RunFor(std::chrono::milliseconds(250));
  LONGS_EQUAL(2, fleet.sent_);
  fleet.RunFor(std::chrono::milliseconds(100));
  STRCMP_EQUAL("complete", fleet.answer_.outcome().c_str());
}

// Guards against more than two copies of a canary: a round that was waiting starts while a hedge runs, and sets the
// hedge timer again.
TEST(Coordinator, RoundsAndHedgesSendAtMostTwoCopiesOfACanary) {
  FakeFleet fleet({Fate::kNotRun, Fate::kNotRun, Fate::kNotRun, Fate::kNotRun, Fate::kLate, Fate::kLate, Fate::kLate},
                  true);
  fleet.verdict_ = proto::CANARY_GRANTED;
  fleet.strikes_ = 0;
  fleet.Ask();
  fleet.RunFor(std::chrono::milliseconds(200));
  CHECK(fleet.sent_ <= 6);  // four that did not run, and two copies
  LONGS_EQUAL(0, fleet.answers_);
}

}  // namespace pimentomoor
