// Progress of one scattered query, as a pure state machine: which shards are covered, which attempts run, and what
// the answer may truthfully claim.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "caller.pb.h"
#include "peer.pb.h"
#include "pimentomoor/row_merge.h"
#include "pimentomoor/snapshot_policy.h"

namespace pimentomoor {

/// One shard of the pinned snapshot.
struct ShardProgress {
  std::uint32_t shard = 0;
  std::vector<std::string> replicas;                      // from the catalog, unique
  std::set<std::string> tried_replicas;                   // replicas that got an attempt in the current round
  std::map<std::uint64_t, std::string> running_attempts;  // running attempts: sub-query id to upstream
  bool covered = false;                                   // true when the first valid answer came; never false again
  std::vector<proto::Row> rows;  // of that answer, without those that `best_rows` had beaten by then
  std::string failure_reason;    // why the last failed attempt failed
};

struct GatherState {
  std::uint64_t snapshot = 0;
  std::vector<ShardProgress> shards;  // one for each shard of the snapshot, unique
  std::uint32_t covered_shards = 0;   // number of covered shards
  std::unordered_map<std::uint64_t, std::size_t>
      shard_by_attempt;         // running attempts: sub-query id to position in `shards`
  BestRows best_rows;           // of all covered shards
  bool may_have_run = false;    // an ended attempt reached, or may have reached, an upstream
  bool wrong_snapshot = false;  // a replica no longer holds the pinned snapshot
};

/// What an answer means for the query.
enum class AnswerEffect {
  kIgnored,  // repeated, late, for another shard or for an unknown attempt
  kCovered,  // first valid answer for its shard
  kNotRun,   // the attempt did no work: another replica may be tried without a cost to upstreams
  kFailed,   // the attempt cost work: another one counts as extra load
};

/// `limit`: rows that the answer will have, 0 keeps all rows.
GatherState StartGather(const CatalogSnapshot& snapshot, std::size_t limit = 0);

/// Notes that sub-query `id` for the shard at `shard_index` was sent to `upstream`.
void RecordAttempt(GatherState& state, std::size_t shard_index, std::uint64_t id, const std::string& upstream);

/// Takes back an attempt that could not be sent.
void DropAttempt(GatherState& state, std::size_t shard_index, std::uint64_t id, const std::string& reason);

/// The upstream of a running attempt; null when no attempt has that id.
const std::string* AttemptUpstream(const GatherState& state, std::uint64_t id);

/// Applies an answer. Sets `shard_index` to the position of its shard unless the answer is ignored.
AnswerEffect RecordAnswer(GatherState& state, const proto::SubAnswer& answer, std::size_t* shard_index);

/// True when every shard is covered.
bool IsComplete(const GatherState& state);

/// True when some attempt still runs.
bool HasRunningAttempts(const GatherState& state);

/// The `limit` best rows over all covered shards, best score first, equal scores by id; a row id appears once.
std::vector<proto::Row> MergeRows(const GatherState& state, std::size_t limit);

/// Builds the answer to the caller: covered and missing shards, rows and the outcome. "not_run" is claimed only when
/// no attempt ran or may still run.
proto::QueryAnswer BuildAnswer(const GatherState& state, std::size_t limit);

}  // namespace pimentomoor
