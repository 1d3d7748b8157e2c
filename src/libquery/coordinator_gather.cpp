// Coordinator, gather: effects of answers, canaries, and the end of a query.
#include <algorithm>
#include <utility>

#include "coordinator_query.h"

namespace pimentomoor {

namespace {

// Owners answer each sub-query by its deadline, which is at most 2 s away; the crash guard holds a canary for 4 s.
constexpr Duration kCanaryAnswerTime = std::chrono::seconds(3);

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
  // Only once for the message: the rows of its answers are complete only together.
  found = queries_.find(answers.query_id());
  if (found != queries_.end() && std::exchange(found->second->check_end, false)) {
    CheckEnd(*found->second);
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
  NoteUpstream(query, answer, *upstream);
  if (query.canary_running && answer.status() == proto::SUB_CONNECTION_LOST) {
    query.canary_struck.push_back(*upstream);
  }
  std::size_t shard = 0;
  const AnswerEffect effect = RecordAnswer(*query.gather, answer, &shard);
  if (effect == AnswerEffect::kCovered && query.canary_running) {
    EndCanary(query, true);
    ScatterAll(query);
    return;
  }
  // A copy that did not run is not sent again beside a crash: the new copies would exceed the canary's charge.
  const bool canary_failed =
      query.canary_running &&
      (effect == AnswerEffect::kFailed || (effect == AnswerEffect::kNotRun && !query.canary_struck.empty()));
  if (canary_failed && HasRunningAttempts(*query.gather)) {
    return;  // the other copy of a hedged canary decides
  }
  if (canary_failed) {
    // The next canary has to be granted anew, because the crash guard counts the strikes of the whole fleet.
    EndCanary(query, false);
    Admit(query);
    return;
  }
  if (effect == AnswerEffect::kNotRun || effect == AnswerEffect::kFailed) {
    Retry(query, shard, effect);
  }
  if (query.canary_running) {
    CheckEnd(query);  // a canary's answer is never merged, and the next one may wait for the crash guard
  } else {
    query.check_end = true;
  }
}

void Coordinator::EndCanary(Query& query, bool succeeded) {
  query.canary_running = false;
  hooks_.report_canary(query.fingerprint, succeeded, query.canary_struck);
}

// The query ends while copies of its canary run: their answers end the canary.
void Coordinator::KeepCanary(Query& query) {
  auto canary = std::make_unique<EndedCanary>();
  canary->fingerprint = query.fingerprint;
  canary->struck = std::move(query.canary_struck);
  for (const auto& [id, shard] : query.gather->shard_by_attempt) {
    canary->running.emplace(id, *AttemptUpstream(*query.gather, id));
  }
  canary->timer = loop_.CallAfter(kCanaryAnswerTime, [this, id = query.id] { ended_canaries_.erase(id); });
  ended_canaries_[query.id] = std::move(canary);
}

void Coordinator::HandleLateAnswer(std::uint64_t query_id, const proto::SubAnswer& answer) {
  const auto found = ended_canaries_.find(query_id);
  if (found == ended_canaries_.end()) {
    return;
  }
  EndedCanary& canary = *found->second;
  const auto copy = canary.running.find(answer.id());
  if (copy == canary.running.end()) {
    return;
  }
  if (answer.status() == proto::SUB_CONNECTION_LOST) {
    canary.struck.push_back(copy->second);
  }
  canary.succeeded = canary.succeeded || answer.status() == proto::SUB_OK;
  canary.running.erase(copy);
  if (canary.running.empty()) {
    loop_.Cancel(canary.timer);
    const std::unique_ptr<EndedCanary> ended = std::move(found->second);
    ended_canaries_.erase(found);
    hooks_.report_canary(ended->fingerprint, ended->succeeded, ended->struck);
  }
}

void Coordinator::NoteUpstream(Query& query, const proto::SubAnswer& answer, const std::string& upstream) {
  UpstreamView& view = *upstreams_[upstream];
  view.outstanding -= std::min(view.outstanding, 1U);
  const auto sent = query.sent_at.find(answer.id());
  if (sent == query.sent_at.end()) {
    return;
  }
  const Duration latency = loop_.Now() - sent->second;
  Span span{.name = "owner.sub_query",
            .span_id = NewSpanId(),
            .parent_id = query.trace.span_id,
            .host = upstream,
            .start_offset = sent->second - query.arrival,
            .duration = latency};
  constexpr std::size_t kTypicalAttributeBytes = 64;
  span.attributes.reserve(kTypicalAttributeBytes);
  span.attributes.append("shard=").append(std::to_string(answer.shard()));
  span.attributes.append(" status=").append(proto::SubStatus_Name(answer.status()));
  span.attributes.append(" queued_us=").append(std::to_string(answer.queued_us()));
  span.attributes.append(" upstream_us=").append(std::to_string(answer.upstream_us()));
  query.spans.spans.push_back(std::move(span));
  if (answer.status() == proto::SUB_TIMEOUT) {
    view.latency = AddUnansweredWait(view.latency, latency, loop_.Now());
  }
  if (answer.status() != proto::SUB_OK) {
    return;
  }
  view.load_percent = answer.upstream_load();
  view.latency = AddAnswerLatency(view.latency, latency, loop_.Now());
  Record(latencies_[query.request.service()], latency);
}

bool Coordinator::RestartOnNewSnapshot(Query& query) {
  if (query.restarted || !query.gather->wrong_snapshot) {
    return false;
  }
  const auto newest = hooks_.catalog(query.request.service());
  if (newest == nullptr || newest->snapshots.empty() || newest->snapshots.back().version <= query.gather->snapshot) {
    // Heartbeats bring the catalog after up to half a second, which would cost this entry all queries until then.
    if (hooks_.refresh_catalog) {
      hooks_.refresh_catalog(query.request.service());
    }
    return false;
  }
  const std::uint64_t old_snapshot = query.gather->snapshot;
  const bool may_have_run = query.gather->may_have_run;
  CancelWaiting(query, true);
  query.catalog = newest;
  query.restarted = true;
  if (!PinSnapshot(query, old_snapshot + 1)) {
    return false;
  }
  query.gather->may_have_run = may_have_run;
  metrics_.Count("pimentomoor_entry_snapshot_restarts_total");
  ScatterAll(query);
  return true;
}

// Ends the query when it is complete, when its settings say that waiting is over, or when nothing more can come.
void Coordinator::CheckEnd(Query& query) {
  const auto& gather = *query.gather;
  const auto total = static_cast<std::uint32_t>(gather.shards.size());
  if (IsComplete(gather) ||
      ShouldAnswer(options_.deadlines, query.deadlines, loop_.Now(), gather.covered_shards, total)) {
    Finish(query, BuildAnswer(gather, query.request.limit()));
    return;
  }
  if (query.admitting) {
    return;  // a round now would send shards that the crash guard has not allowed
  }
  const bool stuck = std::any_of(gather.shards.begin(), gather.shards.end(), [](const ShardProgress& shard) {
    return !shard.covered && shard.running_attempts.empty();
  });
  if (!stuck || query.canary_running) {
    if (query.canary_running && !HasRunningAttempts(gather) && !RestartOnNewSnapshot(query)) {
      ScheduleNextRound(query);
    }
    return;
  }
  if (!RestartOnNewSnapshot(query)) {
    ScheduleNextRound(query);
  }
}

// With `send` the owners are told. They answer each sub-query that was not cancelled.
void Coordinator::CancelWaiting(const Query& query, bool send) {
  std::map<std::string, std::pair<const proto::Daemon*, proto::CancelSubQueries>> by_owner;
  for (const auto& shard : query.gather->shards) {
    for (const auto& [id, upstream] : shard.running_attempts) {
      auto& view = *upstreams_[upstream];
      view.outstanding -= std::min(view.outstanding, 1U);
      view.latency = AddUnansweredWait(view.latency, loop_.Now() - query.sent_at.at(id), loop_.Now());
      const proto::Daemon* owner = UsableOwner(query, upstream);
      if (send && owner != nullptr) {
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
