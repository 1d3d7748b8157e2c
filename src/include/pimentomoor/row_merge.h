// Selection of the best rows of a query: at the owner over the answers of one message, at the entry over all shards.
//
// The result of a query is the `limit` best rows with different ids. A row that is worse than `limit` rows with
// different ids is not in the result, so it need be neither sent nor kept, as long as the better rows are candidates
// for the result themselves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "peer.pb.h"

namespace pimentomoor {

/// True when `left` comes before `right` in a result: higher score first, equal scores by id. NaN counts as the
/// lowest score.
bool RanksBefore(const proto::Row& left, const proto::Row& right);

/// Keys (score and id) of the `limit` best rows with different ids among all rows added so far.
class BestRows {
 public:
  /// A limit of 0 means no limit: every row is accepted and no key is stored.
  explicit BestRows(std::size_t limit = 0) : limit_(limit) {}

  /// Adds a row. Returns false when `limit` rows with other ids are better, so that the row can't be in the result.
  bool Add(const proto::Row& row);

  /// True when `limit` rows with different ids are better than `row`. Rows that are added later don't change that.
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

  std::size_t limit_;                               // 0: no limit
  std::set<Key, BestFirst> keys_;                   // best first, at most limit_
  std::unordered_map<std::string, double> scores_;  // by row id; holds exactly the ids in keys_
};

/// Adds `rows` to `answer` and to `best`, except those that `best` already outranks, and counts the excepted ones in
/// `dropped_rows`. `best` holds the best rows of the earlier answers in the same message.
void AddRows(const google::protobuf::RepeatedPtrField<proto::Row>& rows, BestRows& best, proto::SubAnswer& answer);

/// Removes the rows that `best` outranks from the answers of one message and counts them in `dropped_rows` of each
/// answer. `best` holds the best rows over all answers of the message. A row that repeats the id of a kept row stays
/// unless it is outranked, so every dropped row is worse than all kept rows. A limit of 0 in `best` removes nothing.
void DropOutrankedRows(proto::SubAnswers& answers, const BestRows& best);

struct GatherState;

/// Returns the positions of the answers of a message that must not be used, because their owner dropped rows of them
/// in favour of rows in another answer of the same message, and the gather rejects that other answer. Empty when
/// nothing was dropped, when no answer with rows is rejected, or when the accepted rows alone outrank every dropped
/// row.
std::set<int> FindIncompleteAnswers(const GatherState& state, const proto::SubAnswers& answers);

}  // namespace pimentomoor
