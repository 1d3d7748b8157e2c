// Coordinator, scatter: chooses replicas and sends first attempts, hedges and retries. Hedges and most retries are
// limited by the extra budget.
#include <algorithm>
#include <utility>

#include "coordinator_query.h"
#include "pimentomoor/random.h"
#include "pimentomoor/replica_policy.h"

namespace pimentomoor {

namespace {

// Delay before all replicas of a shard are tried again after each of them failed. It doubles with each retry round,
// at most kMaxRetryRoundDoublings times.
constexpr Duration kFirstRetryRoundDelay = std::chrono::milliseconds(10);
constexpr std::uint32_t kMaxRetryRoundDoublings = 5;
// Hops from the owner to the caller that a sub-query's answer has to pass: owner to entry, entry to caller.
constexpr std::uint32_t kAnswerHops = 2;
// A canary is hedged at the latest after the time from arrival to the soft deadline divided by this number. The other
// shards are sent only after the canary's answer and need the rest of the time.
constexpr int kCanaryHedgeDivisor = 4;

std::uint64_t ToMicroseconds(Duration value) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(value).count()));
}

}  // namespace

const proto::Daemon* Coordinator::UsableOwner(const Query& query, const std::string& upstream) const {
  const CatalogUpstream* spec = FindUpstream(*query.catalog, upstream);
  return spec == nullptr ? nullptr : hooks_.usable_owner(upstream, spec->failure_domain);
}

std::optional<Coordinator::Target> Coordinator::PickReplica(const Query& query, const ShardProgress& shard) {
  // ReplicaCandidate::upstream stays empty: the choice does not read it, and it would be copied for each sub-query.
  std::vector<ReplicaCandidate> candidates;
  candidates.reserve(shard.replicas.size());
  std::vector<const proto::Daemon*> owners;
  owners.reserve(shard.replicas.size());
  for (const auto& upstream : shard.replicas) {
    ReplicaCandidate candidate;
    const CatalogUpstream* spec = FindUpstream(*query.catalog, upstream);
    owners.push_back(spec == nullptr ? nullptr : hooks_.usable_owner(upstream, spec->failure_domain));
    candidate.usable = owners.back() != nullptr;
    candidate.tried = shard.tried_replicas.contains(upstream);
    candidate.same_domain = spec != nullptr && spec->failure_domain == options_.failure_domain;
    if (const auto found = upstream_stats_.find(upstream); found != upstream_stats_.end()) {
      candidate.load_percent = found->second->load_percent;
      candidate.outstanding = found->second->outstanding;
      candidate.latency = CurrentLatency(found->second->latency, loop_.Now());
    }
    candidates.push_back(std::move(candidate));
  }
  const auto chosen = options_.naive ? ChooseReplicaNaive(candidates, RandomId())  //
                                     : ChooseReplica(candidates, RandomId());
  if (!chosen) {
    return std::nullopt;
  }
  return Target{.upstream = &shard.replicas[*chosen], .owner = owners[*chosen]};
}

// Returns the positions of the shards that are not covered and have no running attempt.
std::vector<std::size_t> Coordinator::ShardsWithoutAttempt(const Query& query) {
  std::vector<std::size_t> shards;
  for (std::size_t i = 0; i < query.gather->shards.size(); ++i) {
    if (!query.gather->shards[i].covered && query.gather->shards[i].running_attempts.empty()) {
      shards.push_back(i);
    }
  }
  return shards;
}

// Returns the shard for the next copy of the canary, as a list of at most one position: the shard of a running copy
// when it has another usable replica, else a shard without attempt, searched from a random one on. With a fixed order
// each resent request would reach the same upstreams, and the crash guard counts only strikes of different upstreams.
std::vector<std::size_t> Coordinator::PickCanaryShard(const Query& query) {
  std::vector<std::size_t> shards = ShardsWithoutAttempt(query);
  if (!shards.empty()) {
    std::rotate(shards.begin(), shards.begin() + static_cast<std::ptrdiff_t>(RandomId() % shards.size()),
                shards.end());
  }
  for (const auto& [id, running] : query.gather->shard_by_attempt) {
    shards.insert(shards.begin(), running);
  }
  const auto first = std::find_if(shards.begin(), shards.end(), [&](std::size_t shard) {
    return PickReplica(query, query.gather->shards[shard]).has_value();
  });
  return first == shards.end() ? std::vector<std::size_t>() : std::vector<std::size_t>{*first};
}

void Coordinator::ScatterAll(Query& query) {
  // While a canary runs, only its own shard is sent; the other shards follow after its answer.
  const std::vector<std::size_t> shards = query.canary_running ? PickCanaryShard(query) : ShardsWithoutAttempt(query);
  for (std::size_t i = 0; i < shards.size(); ++i) {
    RefillForFirstAttempt(extra_budget_, options_.extra_budget);
  }
  SendSubQueries(query, shards, false);
  SetHedgeTimer(query);
  FinishOrScheduleRetry(query);
}

void Coordinator::SendSubQueries(Query& query, const std::vector<std::size_t>& shards, bool hedge) {
  struct Outgoing {
    const proto::Daemon* owner = nullptr;
    proto::SubQueries message;
    std::vector<std::size_t> shards;
  };
  std::map<std::string, Outgoing> by_owner;
  for (const std::size_t index : shards) {
    ShardProgress& shard = query.gather->shards[index];
    const auto target = PickReplica(query, shard);
    if (!target) {
      continue;
    }
    Outgoing& outgoing = by_owner[target->owner->host()];
    outgoing.owner = target->owner;
    outgoing.shards.push_back(index);
    proto::SubQuery* item = outgoing.message.add_items();
    item->set_id(next_sub_query_id_++);
    item->set_upstream(*target->upstream);
    item->set_shard(shard.shard);
    item->set_hedge(hedge);
  }
  for (auto& [host, outgoing] : by_owner) {
    proto::SubQueries& message = outgoing.message;
    message.set_query_id(query.id);
    message.set_service(query.request.service());
    message.set_snapshot(query.gather->snapshot);
    message.set_text(query.request.text());
    message.set_limit(query.request.limit());
    message.set_merge_rows(!options_.naive && !query.canary_running);
    message.set_remaining_us(
        ToMicroseconds(SubQueryBudget(options_.deadlines, query.deadlines, loop_.Now(), kAnswerHops)));
    message.set_traceparent(FormatTraceparent(query.trace_context));
    message.set_fingerprint(query.fingerprint);
    for (int i = 0; i < message.items_size(); ++i) {
      const proto::SubQuery& item = message.items(i);
      RecordAttempt(*query.gather, outgoing.shards[static_cast<std::size_t>(i)], item.id(), item.upstream());
      query.sent_at[item.id()] = loop_.Now();
      auto& stats = upstream_stats_[item.upstream()];
      if (!stats) {
        stats = std::make_unique<UpstreamStats>();
      }
      ++stats->outstanding;
    }
    metrics_.Count("pimentomoor_entry_sub_queries_total", static_cast<std::uint64_t>(message.items_size()),
                   hedge ? "kind=\"hedge\"" : "kind=\"first_or_retry\"");
    if (hooks_.send(*outgoing.owner, message)) {
      continue;
    }
    for (int i = 0; i < message.items_size(); ++i) {
      --upstream_stats_[message.items(i).upstream()]->outstanding;
      query.sent_at.erase(message.items(i).id());
      DropAttempt(*query.gather, outgoing.shards[static_cast<std::size_t>(i)], message.items(i).id(),
                  "owner " + host + " is not connected");
    }
    // The replicas of this owner now count as tried, so the recursion ends when a shard has no replica left.
    SendSubQueries(query, outgoing.shards, hedge);
  }
}

void Coordinator::SetSoftDeadlineTimer(Query& query) {
  query.soft_deadline_timer = loop_.CallAt(query.deadlines.soft, [this, id = query.id] {
    queries_.at(id)->soft_deadline_timer = 0;
    FinishOrScheduleRetry(*queries_.at(id));
  });
}

// Starts the hedge delay when sub-queries were sent; for the shards that follow a canary, that is after its answer.
void Coordinator::SetHedgeTimer(Query& query) {
  auto delay =
      options_.naive ? std::nullopt : HedgeDelay(latencies_by_service_[query.request.service()], options_.hedge);
  if (!delay) {
    return;
  }
  if (query.canary_running) {
    delay = std::min(*delay, (query.deadlines.soft - query.arrival) / kCanaryHedgeDivisor);
  }
  loop_.Cancel(query.hedge_timer);
  query.hedge_timer = loop_.CallAfter(*delay, [this, id = query.id] {
    Query& late = *queries_.at(id);
    late.hedge_timer = 0;
    if (late.canary_running) {
      HedgeCanary(late);
    } else {
      HedgeLateShards(late);
    }
  });
}

// Sends a late canary once more: to another replica of its shard, or to another shard when its shard has none left.
// The two copies crash at most two upstreams, which the crash guard's limit allows only while it has counted no
// strike.
void Coordinator::HedgeCanary(Query& query) {
  if (query.canary_strikes > 0 || !query.canary_struck_upstreams.empty() ||
      query.gather->shard_by_attempt.size() > 1) {
    return;
  }
  const std::vector<std::size_t> shards = PickCanaryShard(query);
  if (!shards.empty() && TryTakeToken(extra_budget_, options_.extra_budget, ExtraSubQueryKind::kHedge)) {
    metrics_.Count("pimentomoor_entry_canary_hedges_total");
    SendSubQueries(query, shards, true);
  }
}

// Sends a second attempt for each shard that waits for its only attempt, within the extra budget.
void Coordinator::HedgeLateShards(Query& query) {
  std::vector<std::size_t> late;
  for (std::size_t i = 0; i < query.gather->shards.size(); ++i) {
    const ShardProgress& shard = query.gather->shards[i];
    if (!shard.covered && shard.running_attempts.size() == 1 && PickReplica(query, shard) &&
        TryTakeToken(extra_budget_, options_.extra_budget, ExtraSubQueryKind::kHedge)) {
      late.push_back(i);
    }
  }
  SendSubQueries(query, late, true);
}

void Coordinator::Retry(Query& query, std::size_t shard, AnswerEffect effect) {
  const ShardProgress& progress = query.gather->shards[shard];
  if (!progress.running_attempts.empty()) {
    return;  // another attempt of the shard still runs
  }
  if (!PickReplica(query, progress)) {
    return;  // FinishOrScheduleRetry() schedules a retry round when time remains
  }
  // An attempt that did no work cost upstreams nothing, so its retry is not extra load.
  const bool no_extra_load = effect == AnswerEffect::kNotRun || options_.naive;
  if (no_extra_load || TryTakeToken(extra_budget_, options_.extra_budget, ExtraSubQueryKind::kRetry)) {
    SendSubQueries(query, {shard}, false);
  }
}

void Coordinator::ScheduleRetryRound(Query& query) {
  if (query.retry_timer != 0) {
    return;
  }
  const Duration delay = kFirstRetryRoundDelay * (1 << std::min(query.retry_rounds, kMaxRetryRoundDoublings));
  query.retry_timer = loop_.CallAfter(delay, [this, id = query.id] {
    Query& waiting = *queries_.at(id);
    waiting.retry_timer = 0;
    ++waiting.retry_rounds;
    StartRetryRound(waiting);
  });
}

// Makes all replicas of the shards without a running attempt available again and sends new sub-queries for them.
void Coordinator::StartRetryRound(Query& query) {
  if (!query.awaiting_crash_guard && !HasRunningAttempts(*query.gather) && RestartOnNewSnapshot(query)) {
    return;
  }
  std::vector<std::size_t> missing;
  for (std::size_t i = 0; i < query.gather->shards.size(); ++i) {
    ShardProgress& shard = query.gather->shards[i];
    if (shard.covered || !shard.running_attempts.empty()) {
      continue;
    }
    shard.tried_replicas.clear();
    if (!query.canary_running && PickReplica(query, shard) &&
        TryTakeToken(extra_budget_, options_.extra_budget, ExtraSubQueryKind::kRetry)) {
      missing.push_back(i);
    }
  }
  if (query.canary_running) {
    if (!HasRunningAttempts(*query.gather)) {
      ScatterAll(query);  // otherwise a hedge was sent during the delay, and the answer to that hedge decides
    }
    return;
  }
  SendSubQueries(query, missing, false);
  FinishOrScheduleRetry(query);
}

}  // namespace pimentomoor
