// Tests of the gather state machine: compares it with a simple reference over generated sequences of answers.
#include "pimentomoor/gather.h"

#include <algorithm>
#include <cstdlib>
#include <optional>

#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

constexpr std::uint64_t kSnapshot = 7;

struct GeneratedAnswer {
  std::uint64_t id;
  std::uint32_t shard;
  std::uint64_t snapshot;
  int status;
};

CatalogSnapshot MakeSnapshot(std::uint32_t shards) {
  CatalogSnapshot snapshot{.version = kSnapshot};
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    snapshot.shards.push_back({.shard = shard, .upstreams = {"a", "b"}});
  }
  return snapshot;
}

proto::SubAnswer MakeAnswer(const GeneratedAnswer& generated) {
  proto::SubAnswer answer;
  answer.set_id(generated.id);
  answer.set_shard(generated.shard);
  answer.set_snapshot(generated.snapshot);
  answer.set_status(static_cast<proto::SubStatus>(generated.status));
  proto::Row* row = answer.add_rows();
  // The row id names snapshot and shard, so that the test notices a row of another shard or snapshot.
  row->set_id(std::to_string(generated.snapshot) + "/" + std::to_string(generated.shard));
  row->set_score(static_cast<double>(generated.id % 5));
  return answer;
}

// Attempts have the ids 1 to 2 * shards: shard s has the attempts s + 1 and shards + s + 1.
std::uint32_t ShardOfAttempt(std::uint64_t id, std::uint32_t shards) {
  return static_cast<std::uint32_t>((id - 1) % shards);
}

rc::Gen<GeneratedAnswer> GenAnswer(std::uint32_t shards) {
  return rc::gen::build<GeneratedAnswer>(
      rc::gen::set(&GeneratedAnswer::id, rc::gen::inRange<std::uint64_t>(1, 2UL * shards + 3)),
      rc::gen::set(&GeneratedAnswer::shard, rc::gen::inRange<std::uint32_t>(0, shards)),
      rc::gen::set(
          &GeneratedAnswer::snapshot,
          rc::gen::element<std::uint64_t>(std::uint64_t{kSnapshot}, std::uint64_t{kSnapshot}, kSnapshot - 1)),
      rc::gen::set(&GeneratedAnswer::status, rc::gen::element<int>(1, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9)));
}

bool RanOrMayHaveRun(int status) { return status == 1 || status >= 7; }

}  // namespace

TEST_GROUP(Gather){};

// Guards against an answer to the caller that reports a shard as covered which is not, contains rows of another
// snapshot or shard, counts a repeated answer or one for another shard, or says "not_run" although an attempt may
// have run.
TEST(Gather, ClaimsExactlyWhatValidAnswersCovered) {
  CHECK(CheckProperty(2'000, "gather equals the naive reference", [] {
    const auto shards = *rc::gen::inRange<std::uint32_t>(1, 12);
    const auto answers = *rc::gen::container<std::vector<GeneratedAnswer>>(GenAnswer(shards));
    GatherState state = StartGather(MakeSnapshot(shards));
    for (std::uint64_t id = 1; id <= 2UL * shards; ++id) {
      RecordAttempt(state, ShardOfAttempt(id, shards), id, id <= shards ? "a" : "b");
    }
    // The reference goes through all answers and keeps the first valid one of each shard.
    std::map<std::uint32_t, std::uint64_t> expected;
    std::set<std::uint64_t> ended;
    bool may_have_run = false;
    for (const auto& answer : answers) {
      const bool known = answer.id >= 1 && answer.id <= 2UL * shards && !ended.contains(answer.id) &&
                         ShardOfAttempt(answer.id, shards) == answer.shard;
      if (known) {
        ended.insert(answer.id);
        may_have_run |= RanOrMayHaveRun(answer.status);
        if (answer.status == proto::SUB_OK && answer.snapshot == kSnapshot) {
          expected.emplace(answer.shard, answer.id);
        }
      }
      std::size_t index = 0;
      RecordAnswer(state, MakeAnswer(answer), &index);
    }
    const proto::QueryAnswer result = BuildAnswer(state, 1'000);
    std::set<std::uint32_t> covered(result.covered().begin(), result.covered().end());
    RC_ASSERT(static_cast<std::size_t>(result.covered_size()) == covered.size());
    RC_ASSERT(covered.size() == expected.size());
    for (const auto& [shard, id] : expected) {
      RC_ASSERT(covered.contains(shard));
    }
    RC_ASSERT(static_cast<std::uint32_t>(result.covered_size() + result.missing_size()) == shards);
    RC_ASSERT(static_cast<std::size_t>(result.rows_size()) == expected.size());
    for (const auto& row : result.rows()) {
      const auto shard = static_cast<std::uint32_t>(std::stoul(row.id().substr(row.id().find('/') + 1)));
      RC_ASSERT(row.id() == std::to_string(kSnapshot) + "/" + std::to_string(shard));
      RC_ASSERT(row.score() == static_cast<double>(expected.at(shard) % 5));
    }
    RC_ASSERT((result.outcome() == "complete") == (expected.size() == shards));
    RC_ASSERT((result.outcome() == "not_run") == (expected.empty() && !may_have_run && ended.size() == 2UL * shards));
  }));
}

// Guards against merged rows whose order or limit depends on the order of arrival: they must be the sorted rows of
// all shards, cut at the limit.
TEST(Gather, MergeEqualsSortingAllRows) {
  CHECK(CheckProperty(2'000, "merge", [] {
    const auto scores = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    const auto limit = *rc::gen::inRange<std::size_t>(0, 20);
    GatherState state = StartGather(MakeSnapshot(3));
    std::vector<std::pair<double, std::string>> naive;
    for (std::size_t i = 0; i < scores.size(); ++i) {
      proto::Row row;
      row.set_id("row" + std::to_string(i));
      row.set_score(scores[i]);
      state.shards[i % 3].rows.push_back(row);
      naive.emplace_back(-scores[i], row.id());
    }
    std::sort(naive.begin(), naive.end());
    naive.resize(std::min(limit, naive.size()));
    const auto merged = MergeRows(state, limit);
    RC_ASSERT(merged.size() == naive.size());
    for (std::size_t i = 0; i < naive.size(); ++i) {
      RC_ASSERT(merged[i].id() == naive[i].second);
    }
  }));
}

// Guards against a row that the caller gets twice because two shards return it, as overlapping shards do during a
// repartitioning.
TEST(Gather, RowOfTwoShardsAppearsOnce) {
  GatherState state = StartGather(MakeSnapshot(2));
  proto::Row row;
  row.set_id("same");
  state.shards[0].rows.push_back(row);
  state.shards[1].rows.push_back(row);
  LONGS_EQUAL(1, MergeRows(state, 10).size());
}

}  // namespace pimentomoor
