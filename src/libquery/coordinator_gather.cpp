// Coordinator, gather: applies answers, ends canaries and decides when a query ends.
#include <algorithm>
#include <utility>

#include "coordinator_query.h"

namespace pimentomoor {

namespace {

// Time that a canary's running copies get for their answers after the query ended. Owners answer each sub-query by
// its deadline, which is at most 2 s away, and the crash guard holds a canary for 4 s.
constexpr Duration kCanaryAnswerTimeout = std::chrono::seconds(3);

}  // namespace

void Coordinator::HandleAnswers(const proto::SubAnswers& answers) {
  auto found = queries_.find(answers.query_id());
  const std::set<int> incomplete = found != queries_.end() && found->second->gather
                                       ? FindIncompleteAnswers(*found->second->gather, answers)
                                       : std::set<int>();
  for (int i = 0; i < answers.items_size(); ++i) {
    found = queries_.find(answers.query_id());
    if (found == queries_.end()) {
      metrics_.Count("pimentomoor_entry_late_answers_total");
      HandleLateAnswer(answers.query_id(), answers.items(i));
      continue;
    }
    if (!incomplete.contains(i)) {
      HandleAnswer(*found->second, answers.items(i));
      continue;
    }
    metrics_.Count("pimentomoor_entry_incomplete_answers_total");
    proto::SubAnswer failed = answers.items(i);
    failed.set_status(proto::SUB_FAILED);
    failed.set_error("owner left out rows in favour of a rejected answer");
    HandleAnswer(*found->second, failed);
  }
  // Checked once per message, because the merged rows of a message are complete only when all its answers are
  // applied.
  found = queries_.find(answers.query_id());
  if (found != queries_.end() && std::exchange(found->second->progress_check_due, false)) {
    FinishOrScheduleRetry(*found->second);
  }
}

void Coordinator::HandleAnswer(Query& query, const proto::SubAnswer& answer) {
  if (!query.gather) {
    return;
  }
  const std::string* upstream = AttemptUpstream(*query.gather, answer.id());
  if (upstream == nullptr) {
    metrics_.Count("pimentomoor_entry_repeated_answers_total");
    return;
  }
  RecordUpstreamAnswer(query, answer, *upstream);
  if (query.canary_running && answer.status() == proto::SUB_CONNECTION_LOST) {
    query.canary_struck_upstreams.push_back(*upstream);
  }
  std::size_t shard = 0;
  const AnswerEffect effect = RecordAnswer(*query.gather, answer, &shard);
  if (effect == AnswerEffect::kCovered && query.canary_running) {
    EndCanary(query, true);
    ScatterAll(query);
    return;
  }
  // A copy that did not run is not sent again after another copy crashed its upstream, because the crash guard has
  // charged the canary with a fixed number of copies and new ones would exceed it.
  const bool canary_failed =
      query.canary_running && (effect == AnswerEffect::kFailed ||
                               (effect == AnswerEffect::kNotRun && !query.canary_struck_upstreams.empty()));
  if (canary_failed && HasRunningAttempts(*query.gather)) {
    return;  // the other copy of the hedged canary still runs and decides
  }
  if (canary_failed) {
    // The crash guard must grant the next canary, because it counts the strikes of the whole fleet.
    EndCanary(query, false);
    AskCrashGuard(query);
    return;
  }
  if (effect == AnswerEffect::kNotRun || effect == AnswerEffect::kFailed) {
    Retry(query, shard, effect);
  }
  if (query.canary_running) {
    // Checked at once: a canary's answer is never merged with others, and the next canary may wait for the crash
    // guard.
    FinishOrScheduleRetry(query);
  } else {
    query.progress_check_due = true;
  }
}

void Coordinator::EndCanary(Query& query, bool succeeded) {
  query.canary_running = false;
  hooks_.report_canary(query.fingerprint, succeeded, query.canary_struck_upstreams);
}

// Keeps a canary whose query ends while copies of the canary run. The answers to these copies end the canary.
void Coordinator::DetachCanary(Query& query) {
  auto canary = std::make_unique<DetachedCanary>();
  canary->fingerprint = query.fingerprint;
  canary->struck_upstreams = std::move(query.canary_struck_upstreams);
  for (const auto& [id, shard] : query.gather->shard_by_attempt) {
    canary->running_copies.emplace(id, *AttemptUpstream(*query.gather, id));
  }
  canary->timer = loop_.CallAfter(kCanaryAnswerTimeout, [this, id = query.id] { detached_canaries_.erase(id); });
  detached_canaries_[query.id] = std::move(canary);
}

void Coordinator::HandleLateAnswer(std::uint64_t query_id, const proto::SubAnswer& answer) {
  const auto found = detached_canaries_.find(query_id);
  if (found == detached_canaries_.end()) {
    return;
  }
  DetachedCanary& canary = *found->second;
  const auto copy = canary.running_copies.find(answer.id());
  if (copy == canary.running_copies.end()) {
    return;
  }
  if (answer.status() == proto::SUB_CONNECTION_LOST) {
    canary.struck_upstreams.push_back(copy->second);
  }
  canary.succeeded = canary.succeeded || answer.status() == proto::SUB_OK;
  canary.running_copies.erase(copy);
  if (canary.running_copies.empty()) {
    loop_.Cancel(canary.timer);
    const std::unique_ptr<DetachedCanary> ended = std::move(found->second);
    detached_canaries_.erase(found);
    hooks_.report_canary(ended->fingerprint, ended->succeeded, ended->struck_upstreams);
  }
}

void Coordinator::RecordUpstreamAnswer(Query& query, const proto::SubAnswer& answer, const std::string& upstream) {
  UpstreamStats& stats = *upstream_stats_[upstream];
  stats.outstanding -= std::min(stats.outstanding, 1U);
  const auto sent = query.sent_at.find(answer.id());
  if (sent == query.sent_at.end()) {
    return;
  }
  const Duration latency = loop_.Now() - sent->second;
  Span span{.name = "owner.sub_query",
            .span_id = NewSpanId(),
            .parent_id = query.trace_context.span_id,
            .host = upstream,
            .start_offset = sent->second - query.arrival,
            .duration = latency};
  constexpr std::size_t kTypicalAttributeBytes = 64;
  span.attributes.reserve(kTypicalAttributeBytes);
  span.attributes.append("shard=").append(std::to_string(answer.shard()));
  span.attributes.append(" status=").append(proto::SubStatus_Name(answer.status()));
  span.attributes.append(" queued_us=").append(std::to_string(answer.queued_us()));
  span.attributes.append(" upstream_us=").append(std::to_string(answer.upstream_us()));
  query.recorded_trace.spans.push_back(std::move(span));
  if (answer.status() == proto::SUB_TIMEOUT) {
    stats.latency = AddUnansweredWait(stats.latency, latency, loop_.Now());
  }
  if (answer.status() != proto::SUB_OK) {
    return;
  }
  stats.load_percent = answer.upstream_load();
  stats.latency = AddAnswerLatency(stats.latency, latency, loop_.Now());
  Record(latencies_by_service_[query.request.service()], latency);
}

// Restarts a query on a newer snapshot when a replica no longer holds the pinned one. Returns false when there is no
// newer usable snapshot or the query was restarted before.
bool Coordinator::RestartOnNewSnapshot(Query& query) {
  if (query.restarted_on_newer_snapshot || !query.gather->wrong_snapshot) {
    return false;
  }
  const auto newest = hooks_.catalog(query.request.service());
  if (newest == nullptr || newest->snapshots.empty() || newest->snapshots.back().version <= query.gather->snapshot) {
    // Without this request, heartbeats bring the newer catalog after up to half a second, and this entry would lose
    // all queries until then.
    if (hooks_.refresh_catalog) {
      hooks_.refresh_catalog(query.request.service());
    }
    return false;
  }
  const std::uint64_t old_snapshot = query.gather->snapshot;
  const bool may_have_run = query.gather->may_have_run;
  CancelRunningAttempts(query, true);
  query.catalog = newest;
  query.restarted_on_newer_snapshot = true;
  if (!PinSnapshot(query, old_snapshot + 1)) {
    return false;
  }
  query.gather->may_have_run = may_have_run;
  metrics_.Count("pimentomoor_entry_snapshot_restarts_total");
  ScatterAll(query);
  return true;
}

// Ends the query when all shards are covered or when the deadline policy says to answer now. Otherwise restarts the
// query or schedules a retry round when a shard is missing and has no running attempt.
void Coordinator::FinishOrScheduleRetry(Query& query) {
  const auto& gather = *query.gather;
  const auto total = static_cast<std::uint32_t>(gather.shards.size());
  if (IsComplete(gather) ||
      ShouldAnswer(options_.deadlines, query.deadlines, loop_.Now(), gather.covered_shards, total)) {
    Finish(query, BuildAnswer(gather, query.request.limit()));
    return;
  }
  if (query.awaiting_crash_guard) {
    return;  // a retry round would send sub-queries that the crash guard has not allowed yet
  }
  const bool any_shard_without_attempt =
      std::any_of(gather.shards.begin(), gather.shards.end(),
                  [](const ShardProgress& shard) { return !shard.covered && shard.running_attempts.empty(); });
  if (!any_shard_without_attempt || query.canary_running) {
    if (query.canary_running && !HasRunningAttempts(gather) && !RestartOnNewSnapshot(query)) {
      ScheduleRetryRound(query);
    }
    return;
  }
  if (!RestartOnNewSnapshot(query)) {
    ScheduleRetryRound(query);
  }
}

// Stops waiting for all running attempts. With `notify_owners`, their owners drop those that are still queued;
// without it, the owners answer all of them.
void Coordinator::CancelRunningAttempts(const Query& query, bool notify_owners) {
  std::map<std::string, std::pair<const proto::Daemon*, proto::CancelSubQueries>> by_owner;
  for (const auto& shard : query.gather->shards) {
    for (const auto& [id, upstream] : shard.running_attempts) {
      auto& stats = *upstream_stats_[upstream];
      stats.outstanding -= std::min(stats.outstanding, 1U);
      stats.latency = AddUnansweredWait(stats.latency, loop_.Now() - query.sent_at.at(id), loop_.Now());
      const proto::Daemon* owner = UsableOwner(query, upstream);
      if (notify_owners && owner != nullptr) {
        auto& [target, message] = by_owner[owner->host()];
        target = owner;
        message.set_query_id(query.id);
        message.add_ids(id);
      }
    }
  }
  for (const auto& [host, addressed] : by_owner) {
    hooks_.cancel(*addressed.first, addressed.second);
  }
}

}  // namespace pimentomoor
