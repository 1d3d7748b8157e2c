// Tests of the row selection: messages with and without dropped rows lead to the same result.
#include "pimentomoor/row_merge.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>

#include "coordinator_hooks.h"
#include "merge_answers.h"
#include "pimentomoor/coordinator.h"
#include "pimentomoor/gather.h"
#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

constexpr std::uint64_t kSnapshot = 7;
constexpr std::uint32_t kShards = 4;
constexpr std::uint64_t kAttemptCount = 2UL * kShards;  // one per replica: shard s has the attempts s + 1 and s + 5

struct GeneratedRow {
  int id;
  int score;  // -1 stands for NaN
};

struct GeneratedAnswer {
  std::uint64_t id;  // of the attempt; the entry knows no attempts 0 and kAttemptCount + 1
  int kind;          // 0: for another shard, 1: for another snapshot, 2: failed, else valid
  std::vector<GeneratedRow> rows;
};

using GeneratedMessage = std::vector<GeneratedAnswer>;

// Generates at most `max` elements. Without a maximum, the size of the nested containers would grow with the cube of
// the case number.
template <typename Element>
rc::Gen<std::vector<Element>> GenUpTo(int max, const rc::Gen<Element>& element) {
  return rc::gen::mapcat(rc::gen::inRange(0, max + 1), [element](int count) {
    return rc::gen::container<std::vector<Element>>(static_cast<std::size_t>(count), element);
  });
}

rc::Gen<GeneratedMessage> GenMessage() {
  const auto row = rc::gen::build<GeneratedRow>(rc::gen::set(&GeneratedRow::id, rc::gen::inRange(0, 12)),
                                                rc::gen::set(&GeneratedRow::score, rc::gen::inRange(-1, 6)));
  return GenUpTo(5, rc::gen::build<GeneratedAnswer>(
                        rc::gen::set(&GeneratedAnswer::id, rc::gen::inRange<std::uint64_t>(0, kAttemptCount + 2)),
                        rc::gen::set(&GeneratedAnswer::kind, rc::gen::inRange(0, 12)),
                        rc::gen::set(&GeneratedAnswer::rows, GenUpTo(5, row))));
}

proto::SubAnswers MakeMessage(const GeneratedMessage& generated, int message_number) {
  proto::SubAnswers message;
  for (const auto& generated_answer : generated) {
    proto::SubAnswer& answer = *message.add_items();
    answer.set_id(generated_answer.id);
    answer.set_shard(static_cast<std::uint32_t>(
        (generated_answer.id + (generated_answer.kind == 0 ? 0 : kAttemptCount - 1)) % kShards));
    answer.set_snapshot(generated_answer.kind == 1 ? kSnapshot - 1 : kSnapshot);
    answer.set_status(generated_answer.kind == 2 ? proto::SUB_FAILED : proto::SUB_OK);
    for (const auto& row : generated_answer.rows) {
      proto::Row& made_row = *answer.add_rows();
      made_row.set_id("r" + std::to_string(row.id));
      made_row.set_score(row.score < 0 ? std::numeric_limits<double>::quiet_NaN() : row.score);
      // The text names message, answer and row, so that the test notices a row of another answer.
      made_row.set_text(std::to_string(message_number) + "/" + std::to_string(message.items_size()) + "/" +
                        std::to_string(answer.rows_size()));
    }
  }
  return message;
}

GatherState MakeGather(std::size_t limit) {
  CatalogSnapshot snapshot{.version = kSnapshot};
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    snapshot.shards.push_back({.shard = shard, .upstreams = {"a", "b"}});
  }
  GatherState state = StartGather(snapshot, limit);
  for (std::uint64_t id = 1; id <= kAttemptCount; ++id) {
    RecordAttempt(state, (id - 1) % kShards, id, id <= kShards ? "a" : "b");
  }
  return state;
}

std::vector<std::string> Texts(const std::vector<proto::Row>& rows) {
  std::vector<std::string> texts;
  texts.reserve(rows.size());
  for (const auto& row : rows) {
    texts.push_back(row.text());
  }
  return texts;
}

// Returns the texts of the expected result: all rows in order, the first of each id, at most `limit`.
std::vector<std::string> ReferenceResult(std::vector<proto::Row> rows, std::size_t limit) {
  const auto rank = [](double score) { return std::isnan(score) ? -1.0 : score; };
  std::sort(rows.begin(), rows.end(), [&](const proto::Row& left, const proto::Row& right) {
    return std::tuple(-rank(left.score()), left.id(), left.text()) <
           std::tuple(-rank(right.score()), right.id(), right.text());
  });
  std::set<std::string> seen;
  std::erase_if(rows, [&](const proto::Row& row) { return !seen.insert(row.id()).second; });
  rows.resize(std::min(limit, rows.size()));
  return Texts(rows);
}

proto::SubAnswer Answer(std::uint64_t id, std::uint32_t shard,
                        const std::vector<std::pair<std::string, double>>& rows) {
  proto::SubAnswer answer;
  answer.set_id(id);
  answer.set_shard(shard);
  answer.set_snapshot(kSnapshot);
  answer.set_status(proto::SUB_OK);
  for (const auto& [name, score] : rows) {
    proto::Row& row = *answer.add_rows();
    row.set_id(name);
    row.set_score(score);
  }
  return answer;
}

// An entry with a catalog of two shards with two replicas each. The test provides the answers of the owners.
class TestEntry {
 public:
  TestEntry() {
    catalog_->service = "s";
    catalog_->snapshots.push_back({.version = kSnapshot});
    catalog_->snapshots[0].shards = {{.shard = 0, .upstreams = {"127.0.0.1:1", "127.0.0.1:3"}},
                                     {.shard = 1, .upstreams = {"127.0.0.1:2", "127.0.0.1:4"}}};
    for (int i = 1; i <= 4; ++i) {
      catalog_->upstreams.push_back({.address = "127.0.0.1:" + std::to_string(i), .failure_domain = "a"});
    }
    AllowAllServices(plans_, access_);
    CoordinatorHooks hooks = UnlimitedHooks(plans_, access_, catalog_);
    hooks.usable_owner = [this](const std::string&, const std::string&) { return &owner_; };
    hooks.send = [this](const proto::Daemon&, const proto::SubQueries& message) {
      merge_allowed_ = message.merge_rows();
      query_id_ = message.query_id();
      for (const auto& item : message.items()) {
        sent_sub_query_ids_[item.shard()].push_back(item.id());
      }
      return true;
    };
    hooks.ask_crash_guard = [this](std::uint64_t, const auto& done) { done(verdict_, 0); };
    hooks.report_canary = [](std::uint64_t, bool, const auto&) {};
    coordinator_.emplace(loop_, metrics_, traces_, CoordinatorOptions{}, std::move(hooks));
  }

  void SendQuery() {
    proto::QueryRequest request;
    request.set_customer("c");
    request.set_service("s");
    request.set_limit(2);
    request.set_deadline_ms(400);
    coordinator_->Run(request, ParseTraceparent(""), [this](const proto::QueryAnswer& answer) { answer_ = answer; });
  }

  // Passes answers to the entry as their owner sends them: in one message with merged rows.
  void ReceiveAnswers(const std::vector<proto::SubAnswer>& answers) {
    proto::SubAnswers message;
    message.set_query_id(query_id_);
    message.mutable_items()->Assign(answers.begin(), answers.end());
    MergeAnswers(message, 2);
    coordinator_->HandleAnswers(message);
  }

  std::vector<std::string> AnswerIds() const {
    std::vector<std::string> ids;
    for (const auto& row : answer_.rows()) {
      ids.push_back(row.id());
    }
    return ids;
  }

  ManualClock clock_;
  std::map<std::uint32_t, std::vector<std::uint64_t>> sent_sub_query_ids_;  // by shard
  bool merge_allowed_ = false;
  proto::CanaryVerdict verdict_ = proto::CANARY_PROVEN;
  proto::QueryAnswer answer_;

 private:
  EventLoop loop_{clock_};
  Metrics metrics_;
  TraceStore traces_;
  proto::Daemon owner_;
  std::shared_ptr<Catalog> catalog_ = std::make_shared<Catalog>();
  CustomerPlans plans_;
  AccessPlans access_;
  std::uint64_t query_id_ = 0;
  std::optional<Coordinator> coordinator_;
};

}  // namespace

TEST_GROUP(RowMerge){};

// Guards against a row that is missing in the result, or is in it without belonging there, because its owner or the
// entry dropped rows. The generated messages have shards that are answered twice, rejected and repeated answers,
// answers for another shard, and row ids that occur in several shards.
TEST(RowMerge, MergedResultEqualsUnmerged) {
  CHECK(CheckProperty(5'000, "merged equals unmerged", [] {
    const auto limit = *rc::gen::inRange<std::size_t>(1, 5);
    const auto messages = *GenUpTo(5, GenMessage());
    GatherState unmerged = MakeGather(0);
    GatherState merged = MakeGather(limit);
    std::vector<proto::Row> accepted_rows;
    bool any_incomplete = false;
    int message_number = 0;
    for (const auto& generated : messages) {
      const proto::SubAnswers original = MakeMessage(generated, ++message_number);
      proto::SubAnswers message = original;
      MergeAnswers(message, limit);
      const std::set<int> incomplete = FindIncompleteAnswers(merged, message);
      any_incomplete |= !incomplete.empty();
      for (int i = 0; i < message.items_size(); ++i) {
        std::size_t index = 0;
        RecordAnswer(unmerged, original.items(i), &index);
        if (incomplete.contains(i)) {
          message.mutable_items(i)->set_status(proto::SUB_FAILED);
        }
        if (RecordAnswer(merged, message.items(i), &index) == AnswerEffect::kCovered) {
          accepted_rows.insert(accepted_rows.end(), original.items(i).rows().begin(), original.items(i).rows().end());
        }
      }
      const auto result = Texts(MergeRows(merged, limit));
      // The result is the same as if each accepted answer had come with all its rows.
      RC_ASSERT(result == ReferenceResult(accepted_rows, limit));
      RC_ASSERT(any_incomplete || result == Texts(MergeRows(unmerged, limit)));
      RC_ASSERT(any_incomplete || merged.covered_shards == unmerged.covered_shards);
    }
  }));
}

// Guards against a loss of coverage: answers that are not used although none of their rows was dropped in favour of a
// rejected answer.
TEST(RowMerge, RejectedAnswerMattersOnlyWhenItsRowsDisplacedOthers) {
  GatherState state = MakeGather(2);
  std::size_t index = 0;
  RecordAnswer(state, Answer(1, 0, {{"a", 9}, {"b", 8}}), &index);
  proto::SubAnswers message;
  *message.add_items() = Answer(5, 0, {{"a", 9}, {"b", 8}});  // the loser of a hedge
  *message.add_items() = Answer(2, 1, {{"c", 7}, {"d", 6}});
  MergeAnswers(message, 2);
  LONGS_EQUAL(2, message.items(1).dropped_rows());
  CHECK(FindIncompleteAnswers(state, message).empty());  // the rows of attempt 1 replace those of the rejected answer
  GatherState other = MakeGather(2);
  RecordAnswer(other, Answer(1, 0, {{"a", 9}}), &index);
  CHECK((FindIncompleteAnswers(other, message) == std::set<int>{1}));
}

// Guards against undefined behaviour in sorting: a NaN score violates the strict weak order that sorting requires.
TEST(RowMerge, RowWithoutScoreComesLast) {
  GatherState state = MakeGather(0);
  std::size_t index = 0;
  RecordAnswer(state, Answer(1, 0, {{"a", std::numeric_limits<double>::quiet_NaN()}, {"b", 1}, {"c", 2}}), &index);
  const auto rows = MergeRows(state, 3);
  STRCMP_EQUAL("c", rows[0].id().c_str());
  STRCMP_EQUAL("b", rows[1].id().c_str());
  STRCMP_EQUAL("a", rows[2].id().c_str());
}

// Guards against a shard that is reported as covered although its owner dropped rows in favour of an answer that the
// entry rejects.
TEST(RowMerge, EntryAsksAgainAfterRejectedAnswer) {
  TestEntry entry;
  entry.SendQuery();
  CHECK(entry.merge_allowed_);
  entry.ReceiveAnswers({Answer(entry.sent_sub_query_ids_[0][0], 0, {})});
  entry.ReceiveAnswers({Answer(entry.sent_sub_query_ids_[0][0], 0, {{"x", 9}, {"y", 8}}),
                        Answer(entry.sent_sub_query_ids_[1][0], 1, {{"c", 7}})});
  LONGS_EQUAL(2, entry.sent_sub_query_ids_[1].size());
  entry.ReceiveAnswers({Answer(entry.sent_sub_query_ids_[1][1], 1, {{"c", 7}})});
  STRCMP_EQUAL("complete", entry.answer_.outcome().c_str());
  CHECK((entry.AnswerIds() == std::vector<std::string>{"c"}));
}

// Guards against a query that ends after the first answer of a merged message, without the rows of the second answer
// in favour of which the owner dropped rows of the first.
TEST(RowMerge, QueryEndsOnlyAfterWholeMessage) {
  TestEntry entry;
  entry.SendQuery();
  entry.clock_.Advance(std::chrono::milliseconds(120));  // after the soft deadline, before its timer runs
  entry.ReceiveAnswers({Answer(entry.sent_sub_query_ids_[0][0], 0, {{"a", 1}}),
                        Answer(entry.sent_sub_query_ids_[1][0], 1, {{"c", 7}, {"d", 6}})});
  STRCMP_EQUAL("complete", entry.answer_.outcome().c_str());
  CHECK((entry.AnswerIds() == std::vector<std::string>{"c", "d"}));
}

// Guards against merging of rows while a canary runs, whose answer alone decides whether the other shards are sent.
TEST(RowMerge, CanaryIsNotMerged) {
  TestEntry entry;
  entry.verdict_ = proto::CANARY_GRANTED;
  entry.SendQuery();
  CHECK_FALSE(entry.merge_allowed_);
}

}  // namespace pimentomoor
