// State machine without I/O for the progress of one scattered query: which shards are covered, which attempts run,
// and what the answer may state. An attempt is one sub-query that was sent to one replica of a shard.
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

/// Progress of one shard of the pinned snapshot.
struct ShardProgress {
  std::uint32_t shard = 0;
  std::vector<std::string> replicas;                      // from the catalog, unique
  std::set<std::string> tried_replicas;                   // replicas that got an attempt in the current round
  std::map<std::uint64_t, std::string> running_attempts;  // sub-query id to upstream
  bool covered = false;                                   // set by the first valid answer and never reset
  std::vector<proto::Row> rows;  // rows of the valid answer, without those that `best_rows` outranked on arrival
  std::string failure_reason;    // of the last failed attempt
};

struct GatherState {
  std::uint64_t snapshot = 0;         // version of the pinned snapshot
  std::vector<ShardProgress> shards;  // one for each shard of the snapshot, unique
  std::uint32_t covered_shards = 0;   // number of shards that are covered
  // Running attempts of all shards: sub-query id to position in `shards`.
  std::unordered_map<std::uint64_t, std::size_t> shard_by_attempt;
  BestRows best_rows;           // over all covered shards
  bool may_have_run = false;    // an ended attempt reached, or may have reached, an upstream
  bool wrong_snapshot = false;  // an answer showed that a replica does not hold the pinned snapshot
};

/// What an answer means for the query.
enum class AnswerEffect {
  kIgnored,  // the answer is repeated or late, or matches no running attempt of its shard
  kCovered,  // the answer is the first valid one for its shard
  kNotRun,   // the attempt did no work, so a retry at another replica costs upstreams nothing extra
  kFailed,   // the attempt may have cost work, so a retry counts as extra load
};

/// Starts without attempts. The answer will have at most `limit` rows; a limit of 0 keeps all rows.
GatherState StartGather(const CatalogSnapshot& snapshot, std::size_t limit = 0);

/// Records that sub-query `id` for the shard at `shard_index` was sent to `upstream`.
void RecordAttempt(GatherState& state, std::size_t shard_index, std::uint64_t id, const std::string& upstream);

/// Removes a recorded attempt that could not be sent. Its replica still counts as tried.
void DropAttempt(GatherState& state, std::size_t shard_index, std::uint64_t id, const std::string& reason);

/// Returns the upstream of a running attempt; null when no running attempt has that id.
const std::string* AttemptUpstream(const GatherState& state, std::uint64_t id);

/// Applies an answer. Sets `shard_index` to the position of the answer's shard when it matches a running attempt.
AnswerEffect RecordAnswer(GatherState& state, const proto::SubAnswer& answer, std::size_t* shard_index);

/// True when every shard is covered.
bool IsComplete(const GatherState& state);

/// True when some attempt still runs.
bool HasRunningAttempts(const GatherState& state);

/// Returns the `limit` best rows over all covered shards, best score first, equal scores by id; each row id once.
std::vector<proto::Row> MergeRows(const GatherState& state, std::size_t limit);

/// Builds the answer to the caller: covered and missing shards, rows and the outcome. The outcome is "not_run" only
/// when no attempt ran or may still run.
proto::QueryAnswer BuildAnswer(const GatherState& state, std::size_t limit);

}  // namespace pimentomoor
