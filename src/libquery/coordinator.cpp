// Coordinator, admission and end of a query: validation, customer limits, crash guard, choice of the snapshot, answer
// to the caller.
#include "pimentomoor/coordinator.h"

#include <algorithm>
#include <span>

#include "coordinator_query.h"
#include "pimentomoor/random.h"

namespace pimentomoor {

namespace {

// Time after which the crash guard is asked again while another entry runs a canary of the same request.
constexpr Duration kCanaryRetryDelay = std::chrono::milliseconds(5);

std::uint64_t HashField(std::uint64_t hash, std::string_view bytes) {
  // FNV-1a gives the same value on every host and build, which std::hash does not guarantee.
  constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
  for (const char c : bytes) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return (hash ^ 0xff) * kFnvPrime;  // marks the end of the field
}

}  // namespace

std::uint64_t Fingerprint(const std::string& customer, const std::string& service, const std::string& text) {
  constexpr std::uint64_t kFnvOffsetBasis = 14695981039346656037ULL;
  const std::uint64_t hash = HashField(HashField(HashField(kFnvOffsetBasis, customer), service), text);
  return hash == 0 ? 1 : hash;
}

Coordinator::Coordinator(EventLoop& loop, Metrics& metrics, TraceStore& traces, CoordinatorOptions options,
                         CoordinatorHooks hooks)
    : loop_(loop), metrics_(metrics), traces_(traces), options_(std::move(options)), hooks_(std::move(hooks)) {}

Coordinator::~Coordinator() {
  *alive_ = false;
  for (auto& [id, query] : queries_) {
    CancelTimers(*query);
  }
  for (auto& [id, canary] : detached_canaries_) {
    loop_.Cancel(canary->timer);
  }
}

std::string Coordinator::ValidateRequest(const proto::QueryRequest& request) const {
  if (request.customer().empty()) {
    return "customer is empty";
  }
  if (request.service().empty()) {
    return "service is empty";
  }
  if (request.text().size() > options_.max_text_bytes) {
    return "text has " + std::to_string(request.text().size()) + " bytes, the limit is " +
           std::to_string(options_.max_text_bytes);
  }
  if (request.limit() > options_.max_row_limit) {
    return "limit " + std::to_string(request.limit()) + " is above " + std::to_string(options_.max_row_limit);
  }
  return "";
}

void Coordinator::Run(proto::QueryRequest request, const TraceContext& trace, Done done) {
  const std::uint64_t id = next_query_id_++;
  auto& query = *(queries_[id] = std::make_unique<Query>());
  query.id = id;
  query.done = std::move(done);
  query.trace_context = {.trace_id = trace.trace_id, .span_id = NewSpanId()};
  query.arrival = loop_.Now();
  query.recorded_trace.trace_id = trace.trace_id;
  query.recorded_trace.spans.push_back({.name = "entry.query",
                                        .span_id = query.trace_context.span_id,
                                        .parent_id = trace.span_id,
                                        .host = options_.host,
                                        .attributes = "service=" + request.service()});
  query.request = std::move(request);
  const std::string problem = ValidateRequest(query.request);
  if (!problem.empty()) {
    Refuse(query, "not_run", "invalid request: " + problem);
    return;
  }
  if (queries_.size() > options_.max_running_queries) {
    Refuse(query, "not_run", "too many running queries at this entry");
    return;
  }
  const AccessPlan* plan = AdmitByPlan(query);
  if (plan == nullptr) {
    return;
  }
  std::uint32_t deadline_ms = query.request.deadline_ms();
  if (plan->max_deadline_ms != 0) {
    deadline_ms = deadline_ms == 0 ? plan->max_deadline_ms : std::min(deadline_ms, plan->max_deadline_ms);
  }
  query.deadlines = PlanDeadlines(
      options_.deadlines, query.arrival,
      deadline_ms == 0 ? std::nullopt : std::optional<Duration>(std::chrono::milliseconds(deadline_ms)));
  query.fingerprint = Fingerprint(query.request.customer(), query.request.service(), query.request.text());
  query.hard_deadline_timer = loop_.CallAt(query.deadlines.hard, [this, id] {
    Query& late = *queries_.at(id);
    late.hard_deadline_timer = 0;
    if (!late.gather) {
      Refuse(late, "not_run", "deadline passed before the query was admitted");
    } else {
      Finish(late, BuildAnswer(*late.gather, late.request.limit()));
    }
  });
  hooks_.acquire_credit(query.request.customer(), *plan,
                        [this, alive = alive_, id](bool allowed, const std::string& reason) {
                          if (!*alive) {
                            return;
                          }
                          const auto found = queries_.find(id);
                          if (found == queries_.end()) {
                            return;
                          }
                          if (!allowed) {
                            Refuse(*found->second, "not_run", reason);
                            return;
                          }
                          found->second->holds_credit = true;
                          AskCrashGuard(*found->second);
                        });
}

// Checks that the customer's plan allows the service and that the service has a snapshot. Refuses the query and
// returns null otherwise.
const AccessPlan* Coordinator::AdmitByPlan(Query& query) {
  const PlanDecision decision =
      FindAllowedPlan(hooks_.plans(), hooks_.access(), query.request.customer(), query.request.service());
  if (decision.plan == nullptr) {
    Refuse(query, "not_run", decision.refusal);
    return nullptr;
  }
  const auto catalog = hooks_.catalog(query.request.service());
  if (catalog == nullptr || catalog->snapshots.empty()) {
    Refuse(query, "not_run", "service '" + query.request.service() + "' has no snapshot");
    return nullptr;
  }
  query.catalog = catalog;
  if (query.request.limit() == 0) {
    query.request.set_limit(options_.default_row_limit);
  }
  return decision.plan;
}

void Coordinator::AskCrashGuard(Query& query) {
  query.awaiting_crash_guard = true;
  hooks_.ask_crash_guard(query.fingerprint,
                         [this, alive = alive_, id = query.id](proto::CanaryVerdict verdict, std::uint32_t strikes) {
                           if (*alive) {
                             OnCanaryVerdict(id, verdict, strikes);
                           }
                         });
}

void Coordinator::OnCanaryVerdict(std::uint64_t id, proto::CanaryVerdict verdict, std::uint32_t strikes) {
  const auto found = queries_.find(id);
  if (found == queries_.end()) {
    return;
  }
  Query& query = *found->second;
  switch (verdict) {
    case proto::CANARY_QUARANTINED:
      Refuse(query, strikes > 0 ? "failed" : "not_run",
             "request crashed " + std::to_string(strikes) + " upstreams and is quarantined");
      return;
    case proto::CANARY_WAIT:
      loop_.Cancel(query.retry_timer);
      query.retry_timer = loop_.CallAfter(kCanaryRetryDelay, [this, id] {
        queries_.at(id)->retry_timer = 0;
        AskCrashGuard(*queries_.at(id));
      });
      return;
    case proto::CANARY_GRANTED:
      query.canary_running = true;
      query.canary_strikes = strikes;
      query.canary_struck_upstreams.clear();
      break;
    default:
      break;
  }
  query.awaiting_crash_guard = false;
  if (query.gather) {
    ScatterAll(query);  // another canary of the same query keeps the query's snapshot and timers
    return;
  }
  if (!PinSnapshot(query, 0)) {
    Refuse(query, "not_run", "no shard of service '" + query.request.service() + "' has a usable replica");
    return;
  }
  SetSoftDeadlineTimer(query);
  ScatterAll(query);
}

// Pins the query to a snapshot of at least version `not_before`. Returns false when none has a usable replica.
bool Coordinator::PinSnapshot(Query& query, std::uint64_t not_before) {
  const auto& all = query.catalog->snapshots;  // ordered by version
  const auto first = std::find_if(all.begin(), all.end(),
                                  [&](const CatalogSnapshot& snapshot) { return snapshot.version >= not_before; });
  const std::span<const CatalogSnapshot> candidates(first, all.end());
  const auto usable = [&](const std::string& upstream) { return UsableOwner(query, upstream) != nullptr; };
  const auto chosen = options_.naive ? ChooseSnapshotNaive(candidates, usable) : ChooseSnapshot(candidates, usable);
  if (!chosen || (!options_.naive && CountCoveredShards(candidates[*chosen], usable) == 0)) {
    return false;
  }
  query.gather = StartGather(candidates[*chosen], query.request.limit());
  return true;
}

void Coordinator::Refuse(Query& query, const std::string& outcome, const std::string& reason) {
  proto::QueryAnswer answer;
  answer.set_outcome(outcome);
  answer.set_reason(reason);
  metrics_.Count("pimentomoor_entry_refusals_total");
  Finish(query, std::move(answer));
}

void Coordinator::CancelTimers(const Query& query) {
  for (const TimerId timer :
       {query.hedge_timer, query.soft_deadline_timer, query.hard_deadline_timer, query.retry_timer}) {
    loop_.Cancel(timer);
  }
}

void Coordinator::Finish(Query& query, proto::QueryAnswer answer) {
  CancelTimers(query);
  if (query.canary_running && query.gather && HasRunningAttempts(*query.gather)) {
    DetachCanary(query);
  } else if (query.canary_running) {
    EndCanary(query, false);
  }
  if (query.holds_credit) {
    hooks_.release_credit(query.request.customer());
  }
  if (query.gather) {
    CancelRunningAttempts(query, !query.canary_running);
  }
  const Duration elapsed = loop_.Now() - query.arrival;
  answer.set_service(query.request.service());
  answer.set_trace_id(query.trace_context.trace_id);
  answer.set_elapsed_us(
      static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count()));
  metrics_.Count("pimentomoor_entry_answers_total", 1, "outcome=\"" + answer.outcome() + "\"");
  metrics_.Observe("pimentomoor_entry_query_seconds", elapsed);
  query.recorded_trace.duration = elapsed;
  query.recorded_trace.spans.front().duration = elapsed;
  query.recorded_trace.spans.front().attributes += " outcome=" + answer.outcome();
  traces_.Add(std::move(query.recorded_trace));
  const Done done = std::move(query.done);
  queries_.erase(query.id);
  done(std::move(answer));
}

}  // namespace pimentomoor
