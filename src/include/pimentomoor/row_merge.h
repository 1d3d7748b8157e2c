// Selection of the best rows of a query: at the owner over the answers of one message, at the entry over all shards.
//
// The result of a query is the `limit` best rows with different ids. A row that is worse than `limit` rows with
// different ids is not in the result, so it need be neither sent nor kept, as long as those rows take part
// themselves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "peer.pb.h"

namespace pimentomoor {

/// True when `left` comes before `right` in a result: higher score first, equal scores by id. NaN counts as lowest.
bool RanksBefore(const proto::Row& left, const proto::Row& right);

/// The keys of the `limit` best rows with different ids among all rows added so far.
class BestRows {
 public:
  /// A limit of 0 means none: every row is accepted and nothing is stored.
  explicit BestRows(std::size_t limit = 0) : limit_(limit) {}

  /// Adds a row; false when `limit` rows with other ids are better, so that the row can't be in the result.
  bool Add(const proto::Row& row);

  /// True when `limit` rows with different ids are better than `row`. Once true, it stays true.
  [[nodiscard]] bool Outranks(const proto::Row& row) const;

  /// True when `limit` rows with different ids are at least as good as `row`.
  [[nodiscard]] bool OutranksOrTies(const proto::Row& row) const;

 private:
  struct Key {
    double score;
    std::string id;
  };
  struct BestFirst {
    bool operator()(const Key& left, const Key& right) const;
  };

  std::size_t limit_;                               // 0: none
  std::set<Key, BestFirst> keys_;                   // best first, at most limit_
  std::unordered_map<std::string, double> scores_;  // holds exactly the ids in keys_
};

/// Adds `rows` to `answer`, but those that `best`, of the answers of the same message, already beats; counts these as
/// dropped.
void AddRows(const google::protobuf::RepeatedPtrField<proto::Row>& rows, BestRows& best, proto::SubAnswer& answer);

/// Removes from the answers of one message the rows that `best` beats, which holds the best rows of them all, and
/// adds them to `dropped_rows` of each answer. Rows that repeat the id of a kept one stay, so that every dropped row
/// is worse than all kept ones. A limit of 0 in `best` removes nothing.
void DropOutrankedRows(proto::SubAnswers& answers, const BestRows& best);

struct GatherState;

/// Positions of the answers of a message that must not be used, because the owner dropped rows of theirs in favour of
/// rows in another answer of the message that the gather rejects. Empty when nothing was dropped, when no answer with
/// rows is rejected, or when the accepted rows alone beat everything that was dropped.
std::set<int> FindIncompleteAnswers(const GatherState& state, const proto::SubAnswers& answers);

}  // namespace pimentomoor
