// Implementation of the row selection at the owner and at the entry.
#include "pimentomoor/row_merge.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <string_view>

#include "pimentomoor/gather.h"

namespace pimentomoor {

namespace {

double SortableScore(double score) { return std::isnan(score) ? -std::numeric_limits<double>::infinity() : score; }

bool KeyRanksBefore(double left_score, std::string_view left_id, double right_score, std::string_view right_id) {
  const double left = SortableScore(left_score);
  const double right = SortableScore(right_score);
  return left != right ? left > right : left_id < right_id;
}

// Returns for each answer whether RecordAnswer() will accept it when it gets the answers in this order.
std::vector<bool> PredictAccepted(const GatherState& state, const proto::SubAnswers& answers) {
  std::vector<bool> accepted;
  std::set<std::uint64_t> ended;
  std::set<std::size_t> covered;
  for (const auto& answer : answers.items()) {
    const auto found = state.shard_by_attempt.find(answer.id());
    if (found == state.shard_by_attempt.end() || state.shards[found->second].shard != answer.shard() ||
        !ended.insert(answer.id()).second) {
      accepted.push_back(false);
      continue;
    }
    accepted.push_back(answer.status() == proto::SUB_OK && answer.snapshot() == state.snapshot &&
                       !state.shards[found->second].covered && covered.insert(found->second).second);
  }
  return accepted;
}

}  // namespace

bool RanksBefore(const proto::Row& left, const proto::Row& right) {
  return KeyRanksBefore(left.score(), left.id(), right.score(), right.id());
}

bool BestRows::BestFirst::operator()(const Key& left, const Key& right) const {
  return KeyRanksBefore(left.score, left.id, right.score, right.id);
}

bool BestRows::Outranks(const proto::Row& row) const {
  if (limit_ == 0 || keys_.size() < limit_) {
    return false;
  }
  const Key& worst = *keys_.rbegin();
  return KeyRanksBefore(worst.score, worst.id, row.score(), row.id());
}

bool BestRows::OutranksOrTies(const proto::Row& row) const {
  if (limit_ == 0 || keys_.size() < limit_) {
    return false;
  }
  const Key& worst = *keys_.rbegin();
  return !KeyRanksBefore(row.score(), row.id(), worst.score, worst.id);
}

bool BestRows::Add(const proto::Row& row) {
  if (limit_ == 0) {
    return true;
  }
  if (Outranks(row)) {
    return false;
  }
  const auto [known, added] = scores_.try_emplace(row.id(), row.score());
  if (!added) {
    if (!KeyRanksBefore(row.score(), row.id(), known->second, row.id())) {
      return true;
    }
    keys_.erase({known->second, row.id()});
    known->second = row.score();
  }
  keys_.insert({row.score(), row.id()});
  if (keys_.size() > limit_) {
    scores_.erase(keys_.rbegin()->id);
    keys_.erase(std::prev(keys_.end()));
  }
  return true;
}

void AddRows(const google::protobuf::RepeatedPtrField<proto::Row>& rows, BestRows& best, proto::SubAnswer& answer) {
  std::uint32_t dropped = 0;
  for (const auto& row : rows) {
    if (best.Add(row)) {
      *answer.add_rows() = row;
    } else {
      ++dropped;
    }
  }
  answer.set_dropped_rows(dropped);
}

void DropOutrankedRows(proto::SubAnswers& answers, const BestRows& best) {
  for (auto& answer : *answers.mutable_items()) {
    auto& rows = *answer.mutable_rows();
    const auto dropped =
        std::remove_if(rows.begin(), rows.end(), [&](const auto& row) { return best.Outranks(row); });
    answer.set_dropped_rows(answer.dropped_rows() + static_cast<std::uint32_t>(rows.end() - dropped));
    rows.erase(dropped, rows.end());
  }
}

// A dropped row is worse than all rows of the message, and those have at least `limit` different ids. While all
// answers with rows are accepted, their rows are candidates for the result and a dropped row can't be in it. An
// answer is rejected when its shard is already covered by a hedge or a repeated answer, its attempt is unknown after
// a restart, or its snapshot is not the pinned one. The rows of a rejected answer are no candidates, so a dropped row
// is needed unless the rows accepted so far have `limit` ids that are not worse than the worst row of the message.
std::set<int> FindIncompleteAnswers(const GatherState& state, const proto::SubAnswers& answers) {
  const auto& items = answers.items();
  if (std::none_of(items.begin(), items.end(), [](const auto& answer) { return answer.dropped_rows() > 0; })) {
    return {};
  }
  const std::vector<bool> accepted = PredictAccepted(state, answers);
  const auto is_accepted = [&](int i) { return accepted[static_cast<std::size_t>(i)]; };
  bool rows_rejected = false;
  std::set<int> incomplete;
  for (int i = 0; i < items.size(); ++i) {
    rows_rejected |= !is_accepted(i) && items[i].rows_size() > 0;
    if (items[i].dropped_rows() > 0) {
      incomplete.insert(i);  // also a rejected one: it is accepted when an earlier answer for its shard is not used
    }
  }
  if (!rows_rejected) {
    return {};
  }
  const proto::Row* worst = nullptr;
  BestRows best = state.best_rows;
  for (int i = 0; i < items.size(); ++i) {
    for (const auto& row : items[i].rows()) {
      worst = worst == nullptr || RanksBefore(*worst, row) ? &row : worst;
      if (is_accepted(i)) {
        best.Add(row);
      }
    }
  }
  return worst != nullptr && best.OutranksOrTies(*worst) ? std::set<int>() : incomplete;
}

}  // namespace pimentomoor
