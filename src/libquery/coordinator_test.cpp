// Tests of the coordinator with fake owners that lose, delay, repeat or falsify answers.
#include "pimentomoor/coordinator.h"

#include <cstdlib>
#include <optional>

#include "coordinator_hooks.h"
#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

// What a fake owner does with a sub-query. kWrongSnapshot and kWrongShard answer for another snapshot or shard.
enum class OwnerReaction {
  kAnswer,
  kAnswerTwice,
  kNoAnswer,
  kLateAnswer,
  kNotRun,
  kWrongSnapshot,
  kWrongShard,
  kConnectionLost
};

constexpr std::uint32_t kShards = 5;
constexpr Duration kClockStep = std::chrono::milliseconds(1);

// One entry with fake owners. They react to the sub-queries in the order of a list, and with kAnswer after its end.
class FakeFleet {
 public:
  FakeFleet(std::vector<OwnerReaction> reactions, bool coverage_first) : reactions_(std::move(reactions)) {
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

  void SendQuery() {
    proto::QueryRequest request;
    request.set_customer("c");
    request.set_service("s");
    request.set_text("t");
    request.set_limit(1'000);
    request.set_deadline_ms(400);
    coordinator_->Run(request, ParseTraceparent(""), [this](proto::QueryAnswer answer) {
      ++answer_count_;
      answer_ = std::move(answer);
    });
  }

  // From now on, the searchers refuse snapshots older than `version`. The entry's catalog does not change.
  void RetireSnapshotsBefore(std::uint64_t version) { oldest_held_snapshot_ = version; }
  // Gives the entry a catalog that has only this snapshot.
  void ReplaceCatalogSnapshot(std::uint64_t version) {
    catalog_ = std::make_shared<Catalog>(*catalog_);
    catalog_->snapshots[0].version = version;
  }

  void RunFor(Duration time) {
    for (Duration passed{}; passed < time; passed += kClockStep) {
      clock_.Advance(kClockStep);
      loop_.RunOnce(Duration::zero());
    }
  }

  int answer_count_ = 0;
  proto::QueryAnswer answer_;  // the last one
  std::uint32_t sent_sub_queries_ = 0;
  int catalog_refreshes_ = 0;
  std::uint64_t platform_snapshot_ = 0;  // snapshot of the catalog that a refresh brings; 0: a refresh brings none
  bool any_sub_query_ran_ = false;
  std::optional<proto::CanaryVerdict> verdict_;
  std::uint32_t strikes_ = 3;

 private:
  CoordinatorHooks Hooks() {
    CoordinatorHooks hooks = UnlimitedHooks(plans_, access_, catalog_);
    hooks.usable_owner = [this](const std::string&, const std::string&) { return &owner_; };
    hooks.send = [this](const proto::Daemon&, const proto::SubQueries& message) {
      for (const auto& item : message.items()) {
        ReceiveSubQuery(message, item);
      }
      return true;
    };
    hooks.ask_crash_guard = [this](std::uint64_t, const auto& done) {
      done(verdict_.value_or(proto::CANARY_PROVEN), strikes_);
    };
    hooks.report_canary = [](std::uint64_t, bool, const auto&) {};
    hooks.refresh_catalog = [this](const std::string& service) {
      ++catalog_refreshes_;
      if (service == "s" && platform_snapshot_ != 0) {
        loop_.CallAfter(std::chrono::milliseconds(4), [this] { ReplaceCatalogSnapshot(platform_snapshot_); });
      }
    };
    return hooks;
  }

  void ReceiveSubQuery(const proto::SubQueries& message, const proto::SubQuery& item) {
    const OwnerReaction reaction =
        sent_sub_queries_ < reactions_.size() ? reactions_[sent_sub_queries_] : OwnerReaction::kAnswer;
    ++sent_sub_queries_;
    any_sub_query_ran_ |= reaction != OwnerReaction::kNotRun && reaction != OwnerReaction::kWrongSnapshot;
    proto::SubAnswer answer;
    answer.set_id(item.id());
    answer.set_shard(item.shard());
    answer.set_snapshot(message.snapshot());
    answer.set_status(proto::SUB_OK);
    answer.add_rows()->set_id(std::to_string(message.snapshot()) + "/" + std::to_string(item.shard()));
    Duration delay = std::chrono::milliseconds(5);
    if (message.snapshot() < oldest_held_snapshot_) {
      answer.set_status(proto::SUB_WRONG_SNAPSHOT);
    }
    switch (reaction) {
      case OwnerReaction::kNoAnswer:
        return;
      case OwnerReaction::kLateAnswer:
        delay = std::chrono::milliseconds(300);
        break;
      case OwnerReaction::kNotRun:
        answer.set_status(proto::SUB_NOT_RUN_OVERLOAD);
        break;
      case OwnerReaction::kWrongSnapshot:
        answer.set_snapshot(message.snapshot() - 1);
        answer.mutable_rows(0)->set_id("old");
        break;
      case OwnerReaction::kWrongShard:
        answer.set_shard((item.shard() + 1) % kShards);
        break;
      case OwnerReaction::kConnectionLost:
        answer.set_status(proto::SUB_CONNECTION_LOST);
        break;
      default:
        break;
    }
    for (int copies = reaction == OwnerReaction::kAnswerTwice ? 2 : 1; copies > 0; --copies) {
      proto::SubAnswers answers;
      answers.set_query_id(message.query_id());
      *answers.add_items() = answer;
      loop_.CallAfter(delay * copies, [this, answers] { coordinator_->HandleAnswers(answers); });
    }
  }

  std::vector<OwnerReaction> reactions_;
  std::uint64_t oldest_held_snapshot_ = 0;  // version that the searchers hold at least
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

// Guards against a query that gets no answer by its deadline, two answers, or rows of another snapshot or of a shard
// that is not covered, and against "not_run" after a sub-query ran, whatever the owners do with the sub-queries.
TEST(Coordinator, AnswersOnceAndTruthfullyUnderAnyFates) {
  CHECK(CheckProperty(300, "any owner reactions", [] {
    const auto reactions = *rc::gen::container<std::vector<OwnerReaction>>(
        rc::gen::element(OwnerReaction::kAnswer, OwnerReaction::kAnswerTwice, OwnerReaction::kNoAnswer,
                         OwnerReaction::kLateAnswer, OwnerReaction::kNotRun, OwnerReaction::kWrongSnapshot,
                         OwnerReaction::kWrongShard, OwnerReaction::kConnectionLost));
    FakeFleet fleet(reactions, *rc::gen::arbitrary<bool>());
    fleet.SendQuery();
    fleet.RunFor(std::chrono::milliseconds(450));
    RC_ASSERT(fleet.answer_count_ == 1);
    fleet.RunFor(std::chrono::milliseconds(400));  // late sub-answers must not cause a second answer
    RC_ASSERT(fleet.answer_count_ == 1);
    const auto& answer = fleet.answer_;
    RC_ASSERT(answer.snapshot() == 3U);
    RC_ASSERT(static_cast<std::uint32_t>(answer.covered_size() + answer.missing_size()) == kShards);
    RC_ASSERT(answer.rows_size() == answer.covered_size());
    const std::set<std::uint32_t> covered(answer.covered().begin(), answer.covered().end());
    for (const auto& row : answer.rows()) {
      RC_ASSERT(row.id().starts_with("3/"));
      RC_ASSERT(covered.contains(static_cast<std::uint32_t>(std::stoul(row.id().substr(2)))));
    }
    RC_ASSERT(answer.outcome() != "not_run" || !fleet.any_sub_query_ran_);
    // The load is bounded: first attempts, free retries at the second replica and sub-queries of the extra budget.
    RC_ASSERT(fleet.sent_sub_queries_ <= kShards * 2 + 21 + kShards);
  }));
}

// Guards against a shard that is given up although it has an untried replica and time remains.
TEST(Coordinator, RetriesOnTheOtherReplicaUntilComplete) {
  FakeFleet fleet({OwnerReaction::kNotRun, OwnerReaction::kConnectionLost, OwnerReaction::kWrongSnapshot}, true);
  fleet.SendQuery();
  fleet.RunFor(std::chrono::milliseconds(100));
  STRCMP_EQUAL("complete", fleet.answer_.outcome().c_str());
  LONGS_EQUAL(kShards + 3, fleet.sent_sub_queries_);
}

// Guards against a query that waits for a late shard beyond its soft deadline although coverage_first is off, and
// against one that does not wait although it is on.
TEST(Coordinator, SoftDeadlineAnswersPartiallyOnlyWhenTailCountsMost) {
  // The first shard's sub-query and its hedge are late.
  const std::vector<OwnerReaction> reactions = {OwnerReaction::kLateAnswer, OwnerReaction::kAnswer,
                                                OwnerReaction::kAnswer,     OwnerReaction::kAnswer,
                                                OwnerReaction::kAnswer,     OwnerReaction::kLateAnswer};
  FakeFleet tail(reactions, false);
  tail.SendQuery();
  tail.RunFor(std::chrono::milliseconds(100));
  STRCMP_EQUAL("partial", tail.answer_.outcome().c_str());
  LONGS_EQUAL(kShards - 1, tail.answer_.covered_size());
  FakeFleet coverage(reactions, true);
  coverage.SendQuery();
  coverage.RunFor(std::chrono::milliseconds(350));
  STRCMP_EQUAL("complete", coverage.answer_.outcome().c_str());
}

// Guards against a crash of the daemon: the second canary of a query set the query's timers again, and they fired
// after the query had ended.
TEST(Coordinator, SecondCanaryKeepsSnapshotAndTimers) {
  FakeFleet fleet({OwnerReaction::kConnectionLost}, false);
  fleet.verdict_ = proto::CANARY_GRANTED;
  fleet.SendQuery();
  fleet.RunFor(std::chrono::milliseconds(500));
  LONGS_EQUAL(1, fleet.answer_count_);
  STRCMP_EQUAL("complete", fleet.answer_.outcome().c_str());
  LONGS_EQUAL(kShards + 1, fleet.sent_sub_queries_);
}

// Guards against a query that loses all shards because the searchers drop its snapshot before its entry learns of the
// next one. The query has to restart on the next snapshot, also while it runs a canary.
TEST(Coordinator, RetiredSnapshotRestartsOnTheNextOne) {
  for (const auto verdict : {proto::CANARY_PROVEN, proto::CANARY_GRANTED}) {
    FakeFleet fleet({}, false);
    fleet.verdict_ = verdict;
    fleet.strikes_ = 0;
    fleet.RetireSnapshotsBefore(4);
    fleet.SendQuery();
    fleet.RunFor(std::chrono::milliseconds(15));
    fleet.ReplaceCatalogSnapshot(4);
    fleet.RunFor(std::chrono::milliseconds(90));
    STRCMP_EQUAL("complete", fleet.answer_.outcome().c_str());
    LONGS_EQUAL(4, fleet.answer_.snapshot());
  }
}

// Guards against an entry that pins a retired snapshot, and so answers no query, until heartbeats bring the next
// catalog up to half a second later.
TEST(Coordinator, RetiredSnapshotAsksForTheNextCatalog) {
  for (const auto verdict : {proto::CANARY_PROVEN, proto::CANARY_GRANTED}) {
    FakeFleet fleet({}, false);
    fleet.verdict_ = verdict;
    fleet.strikes_ = 0;
    fleet.RetireSnapshotsBefore(4);
    fleet.platform_snapshot_ = 4;
    fleet.SendQuery();
    fleet.RunFor(std::chrono::milliseconds(60));
    STRCMP_EQUAL("complete", fleet.answer_.outcome().c_str());
    LONGS_EQUAL(4, fleet.answer_.snapshot());
    CHECK(fleet.catalog_refreshes_ > 0);
  }
  FakeFleet held({OwnerReaction::kNotRun, OwnerReaction::kConnectionLost},
                 true);  // other failures must not refresh the catalog
  held.SendQuery();
  held.RunFor(std::chrono::milliseconds(100));
  LONGS_EQUAL(0, held.catalog_refreshes_);
}

// Guards against a canary that is sent to more than one shard, and against a quarantined request that is sent at all.
TEST(Coordinator, CanaryRunsAloneAndQuarantinedRequestNotAtAll) {
  FakeFleet canary({OwnerReaction::kLateAnswer}, true);
  canary.verdict_ = proto::CANARY_GRANTED;
  canary.SendQuery();
  canary.RunFor(std::chrono::milliseconds(250));
  LONGS_EQUAL(1, canary.sent_sub_queries_);
  canary.RunFor(std::chrono::milliseconds(100));
  LONGS_EQUAL(kShards, canary.sent_sub_queries_);
  FakeFleet refused({}, true);
  refused.verdict_ = proto::CANARY_QUARANTINED;
  refused.SendQuery();
  LONGS_EQUAL(0, refused.sent_sub_queries_);
  STRCMP_EQUAL("failed", refused.answer_.outcome().c_str());
}

// Guards against a query that loses its coverage because its canary runs at a straggler, and against a canary that is
// hedged after a strike or more than once.
TEST(Coordinator, LateCanaryIsHedgedOnceWhileThereIsNoStrike) {
  FakeFleet first({OwnerReaction::kLateAnswer}, false);
  first.verdict_ = proto::CANARY_GRANTED;
  first.strikes_ = 0;
  first.SendQuery();
  first.RunFor(std::chrono::milliseconds(90));
  LONGS_EQUAL(kShards + 1, first.sent_sub_queries_);
  STRCMP_EQUAL("complete", first.answer_.outcome().c_str());
  FakeFleet struck({OwnerReaction::kLateAnswer}, false);
  struck.verdict_ = proto::CANARY_GRANTED;
  struck.strikes_ = 1;
  struck.SendQuery();
  struck.RunFor(std::chrono::milliseconds(90));
  LONGS_EQUAL(1, struck.sent_sub_queries_);
  FakeFleet both({OwnerReaction::kLateAnswer, OwnerReaction::kLateAnswer}, false);
  both.verdict_ = proto::CANARY_GRANTED;
  both.strikes_ = 0;
  both.SendQuery();
  both.RunFor(std::chrono::milliseconds(90));
  LONGS_EQUAL(2, both.sent_sub_queries_);
}

// Guards against a request for a new canary while a copy of the last one still runs, since together they could exceed
// the crash guard's limit.
TEST(Coordinator, FailedCanaryWaitsForItsOtherCopy) {
  FakeFleet fleet({OwnerReaction::kLateAnswer, OwnerReaction::kConnectionLost}, true);
  fleet.verdict_ = proto::CANARY_GRANTED;
  fleet.strikes_ = 0;
  fleet.SendQuery();
  fleet.RunFor(std::chrono::milliseconds(250));
  LONGS_EQUAL(2, fleet.sent_sub_queries_);
  fleet.RunFor(std::chrono::milliseconds(100));
  STRCMP_EQUAL("complete", fleet.answer_.outcome().c_str());
}

// Guards against more than two copies of a canary, which were sent when a scheduled retry round started while a hedge
// ran and set the hedge timer again.
TEST(Coordinator, RoundsAndHedgesSendAtMostTwoCopiesOfACanary) {
  FakeFleet fleet({OwnerReaction::kNotRun, OwnerReaction::kNotRun, OwnerReaction::kNotRun, OwnerReaction::kNotRun,
                   OwnerReaction::kLateAnswer, OwnerReaction::kLateAnswer, OwnerReaction::kLateAnswer},
                  true);
  fleet.verdict_ = proto::CANARY_GRANTED;
  fleet.strikes_ = 0;
  fleet.SendQuery();
  fleet.RunFor(std::chrono::milliseconds(200));
  CHECK(fleet.sent_sub_queries_ <= 6);  // four that did not run, and two copies with late answers
  LONGS_EQUAL(0, fleet.answer_count_);
}

}  // namespace pimentomoor
