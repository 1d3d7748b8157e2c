// Implementation of the gather state machine: records attempts and answers, merges rows and builds the answer.
#include "pimentomoor/gather.h"

#include <algorithm>
#include <unordered_set>

namespace pimentomoor {

namespace {

bool StatusMeansNotRun(proto::SubStatus status) {
  switch (status) {
    case proto::SUB_NOT_RUN_NOT_OWNER:
    case proto::SUB_NOT_RUN_OVERLOAD:
    case proto::SUB_NOT_RUN_UNAVAILABLE:
    case proto::SUB_NOT_RUN_SHED:
    case proto::SUB_WRONG_SNAPSHOT:
      return true;
    default:
      return false;
  }
}

std::string Outcome(const GatherState& state) {
  if (IsComplete(state)) {
    return "complete";
  }
  if (state.covered_shards > 0) {
    return "partial";
  }
  return state.may_have_run || HasRunningAttempts(state) ? "failed" : "not_run";
}

std::string MissingReason(const ShardProgress& shard) {
  if (!shard.running_attempts.empty()) {
    return "no answer before the deadline";
  }
  return shard.failure_reason.empty() ? "no usable replica" : shard.failure_reason;
}

}  // namespace

GatherState StartGather(const CatalogSnapshot& snapshot, std::size_t limit) {
  GatherState state{.snapshot = snapshot.version, .best_rows = BestRows(limit)};
  state.shards.reserve(snapshot.shards.size());
  for (const auto& shard : snapshot.shards) {
    state.shards.push_back({.shard = shard.shard, .replicas = shard.upstreams});
  }
  return state;
}

void RecordAttempt(GatherState& state, std::size_t shard_index, std::uint64_t id, const std::string& upstream) {
  state.shards[shard_index].tried_replicas.insert(upstream);
  state.shards[shard_index].running_attempts.emplace(id, upstream);
  state.shard_by_attempt.emplace(id, shard_index);
}

void DropAttempt(GatherState& state, std::size_t shard_index, std::uint64_t id, const std::string& reason) {
  state.shards[shard_index].running_attempts.erase(id);
  state.shard_by_attempt.erase(id);
  state.shards[shard_index].failure_reason = reason;
}

const std::string* AttemptUpstream(const GatherState& state, std::uint64_t id) {
  const auto found = state.shard_by_attempt.find(id);
  return found == state.shard_by_attempt.end() ? nullptr : &state.shards[found->second].running_attempts.at(id);
}

AnswerEffect RecordAnswer(GatherState& state, const proto::SubAnswer& answer, std::size_t* shard_index) {
  const auto found = state.shard_by_attempt.find(answer.id());
  if (found == state.shard_by_attempt.end() || state.shards[found->second].shard != answer.shard()) {
    return AnswerEffect::kIgnored;
  }
  *shard_index = found->second;
  state.shard_by_attempt.erase(found);
  ShardProgress& shard = state.shards[*shard_index];
  shard.running_attempts.erase(answer.id());
  if (!StatusMeansNotRun(answer.status())) {
    state.may_have_run = true;
  }
  if (answer.status() == proto::SUB_OK && answer.snapshot() == state.snapshot) {
    if (shard.covered) {
      return AnswerEffect::kIgnored;
    }
    shard.covered = true;
    for (const auto& row : answer.rows()) {
      if (state.best_rows.Add(row)) {
        shard.rows.push_back(row);
      }
    }
    ++state.covered_shards;
    return AnswerEffect::kCovered;
  }
  if (answer.status() == proto::SUB_OK || answer.status() == proto::SUB_WRONG_SNAPSHOT) {
    state.wrong_snapshot = true;
  }
  shard.failure_reason = answer.error().empty() ? "answer from another snapshot" : answer.error();
  if (shard.covered) {
    return AnswerEffect::kIgnored;
  }
  return StatusMeansNotRun(answer.status()) ? AnswerEffect::kNotRun : AnswerEffect::kFailed;
}

bool IsComplete(const GatherState& state) { return state.covered_shards == state.shards.size(); }

bool HasRunningAttempts(const GatherState& state) { return !state.shard_by_attempt.empty(); }

std::vector<proto::Row> MergeRows(const GatherState& state, std::size_t limit) {
  std::vector<const proto::Row*> all;
  for (const auto& shard : state.shards) {
    for (const auto& row : shard.rows) {
      all.push_back(&row);
    }
  }
  // Rows with equal scores and ids are ordered by text, so that the result does not depend on the order of arrival.
  std::sort(all.begin(), all.end(), [](const proto::Row* left, const proto::Row* right) {
    return RanksBefore(*left, *right) || (!RanksBefore(*right, *left) && left->text() < right->text());
  });
  std::unordered_set<std::string> seen;
  std::vector<proto::Row> merged;
  for (const proto::Row* row : all) {
    if (merged.size() == limit) {
      break;
    }
    if (seen.insert(row->id()).second) {
      merged.push_back(*row);
    }
  }
  return merged;
}

proto::QueryAnswer BuildAnswer(const GatherState& state, std::size_t limit) {
  proto::QueryAnswer answer;
  answer.set_outcome(Outcome(state));
  answer.set_snapshot(state.snapshot);
  answer.set_shards(static_cast<std::uint32_t>(state.shards.size()));
  for (const auto& shard : state.shards) {
    if (shard.covered) {
      answer.add_covered(shard.shard);
      continue;
    }
    auto* missing = answer.add_missing();
    missing->set_shard(shard.shard);
    missing->set_reason(MissingReason(shard));
  }
  for (auto& row : MergeRows(state, limit)) {
    *answer.add_rows() = std::move(row);
  }
  if (answer.missing_size() > 0) {
    answer.set_reason(std::to_string(answer.missing_size()) + " of " + std::to_string(answer.shards()) +
                      " shards are missing; first: " + answer.missing(0).reason());
  }
  return answer;
}

}  // namespace pimentomoor
