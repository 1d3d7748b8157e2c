// Implementation of the dispatcher: a bounded queue for each upstream, from which requests start as the upstream
// policy allows.
#include "pimentomoor/dispatcher.h"

#include <algorithm>
#include <utility>

#include "dispatcher_query.h"
#include "pimentomoor/deadline_policy.h"
#include "pimentomoor/log.h"
#include "upstream_call.h"

namespace pimentomoor {

namespace {

// Queues that are not empty are processed again after this time, for raises of the concurrency limit, probes and
// deadlines that are due although no request finished.
constexpr Duration kQueueCheckInterval = std::chrono::milliseconds(5);

// The memory of a larger parsed response is freed instead of being reused for the next one.
constexpr std::size_t kMaxReusedResponseBytes = std::size_t{64} * 1024;

Duration FromMicroseconds(std::uint64_t value) { return std::chrono::microseconds(value); }

std::uint32_t ToMicroseconds(Duration value) {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(value).count());
}

}  // namespace

Dispatcher::Dispatcher(EventLoop& loop, HttpClient& client, Metrics& metrics, DispatcherOptions options,
                       DispatcherHooks hooks)
    : loop_(loop),
      client_(client),
      metrics_(metrics),
      options_(options),
      hooks_(std::move(hooks)),
      reused_response_(std::make_unique<proto::SearchResponse>()) {}

Dispatcher::~Dispatcher() {
  *alive_ = false;
  loop_.Cancel(flush_timer_);
  loop_.Cancel(queue_timer_);
}

void Dispatcher::ConfigureUpstreams(const std::vector<CatalogUpstream>& upstreams) {
  for (const auto& spec : upstreams) {
    Upstream& upstream = FindOrAddUpstream(spec.address);
    upstream.failure_domain = spec.failure_domain;
    upstream.limits.slots = spec.slots;
    upstream.limits.connections = spec.connections;
    upstream.limits.max_queue = options_.max_queued_per_upstream;
  }
}

Dispatcher::Upstream& Dispatcher::FindOrAddUpstream(const std::string& address) {
  auto& upstream = upstreams_[address];
  if (!upstream) {
    upstream = std::make_unique<Upstream>();
    upstream->address = address;
    upstream->state = InitialUpstreamState(loop_.Now());
  }
  return *upstream;
}

proto::UpstreamHandover Dispatcher::BuildHandover(const std::string& address) const {
  proto::UpstreamHandover handover;
  const auto found = upstreams_.find(address);
  if (found != upstreams_.end()) {
    const Upstream& upstream = *found->second;
    const bool warm = upstream.state.phase == UpstreamPhase::kWarm || upstream.state.phase == UpstreamPhase::kWarming;
    handover.set_allowance(warm ? ConcurrencyLimit(upstream.state, upstream.limits) : 0);
    handover.set_incarnation(upstream.state.incarnation);
  }
  return handover;
}

void Dispatcher::TakeOverUpstream(const proto::UpstreamHandover& handover) {
  Upstream& upstream = FindOrAddUpstream(handover.upstream());
  const std::uint32_t running = upstream.state.running;
  upstream.state = TakenOverUpstreamState(upstream.limits, handover.allowance(), handover.incarnation(), loop_.Now());
  upstream.state.running = running;
  metrics_.Count("pimentomoor_owner_takeovers_total");
}

void Dispatcher::ApplyHostListEntry(const std::string& address, bool listed, bool leaving) {
  const auto found = upstreams_.find(address);
  if (found != upstreams_.end()) {
    Upstream& upstream = *found->second;
    const UpstreamPhase before = upstream.state.phase;
    upstream.state = OnHostList(std::move(upstream.state), listed, leaving, loop_.Now());
    LogPhaseChange(upstream, before);
  }
}

std::vector<std::string> Dispatcher::DrainingUpstreams() const {
  std::vector<std::string> draining;
  for (const auto& [address, upstream] : upstreams_) {
    if (upstream->state.phase == UpstreamPhase::kDraining && hooks_.may_send(address) &&
        !hooks_.in_outage(address, upstream->failure_domain)) {
      draining.push_back(address);
    }
  }
  return draining;
}

void Dispatcher::ApplyIncarnationHint(const std::string& address, std::uint64_t incarnation) {
  const auto found = upstreams_.find(address);
  if (found != upstreams_.end()) {
    Upstream& upstream = *found->second;
    const UpstreamPhase before = upstream.state.phase;
    upstream.state = OnIncarnationHint(std::move(upstream.state), incarnation, loop_.Now());
    LogPhaseChange(upstream, before);
  }
}

void Dispatcher::LogPhaseChange(const Upstream& upstream, UpstreamPhase before) {
  if (upstream.state.phase != before) {
    LogInfo("upstream_phase", {{"upstream", upstream.address},
                               {"from", std::string(ToString(before))},
                               {"to", std::string(ToString(upstream.state.phase))}});
  }
}

bool Dispatcher::HasOutstandingRequests(const std::string& address) const {
  const auto found = upstreams_.find(address);
  return found != upstreams_.end() && OccupiedSlots(found->second->state, loop_.Now()) > 0;
}

std::shared_ptr<Dispatcher::Query> Dispatcher::FindOrAddQuery(const proto::Daemon& entry,
                                                              const proto::SubQueries& message) {
  auto& query = queries_[{entry.incarnation(), message.query_id()}];
  if (!query) {
    query = std::make_shared<Query>();
    query->entry = entry;
    query->id = message.query_id();
    query->limit = message.limit();
  }
  return query;
}

void Dispatcher::Submit(const proto::Daemon& entry, const proto::SubQueries& message) {
  auto batch = std::make_shared<Batch>();
  batch->query = FindOrAddQuery(entry, message);
  batch->message = message;
  batch->deadline = loop_.Now() + FromMicroseconds(message.remaining_us());
  for (const auto& item : batch->message.items()) {
    PendingSubQuery pending{.batch = batch, .sub_query = &item, .queued_at = loop_.Now()};
    ++batch->query->held.outstanding;
    const auto found = upstreams_.find(item.upstream());
    if (found == upstreams_.end()) {
      AnswerNotRun(pending, proto::SUB_NOT_RUN_NOT_OWNER, "upstream is not in this daemon's catalog");
      continue;
    }
    Upstream& upstream = *found->second;
    if (RefuseBeforeQueueing(upstream, pending)) {
      continue;
    }
    ++queued_sub_queries_;
    upstream.queue.push_back(std::move(pending));
    ProcessQueue(upstream);
  }
  EraseQueryIfEnded(*batch->query);  // an empty message leaves a query without sub-queries
  ArmQueueTimer();
}

// Answers a sub-query as not run when it may not be sent to the upstream, the queue takes no more, or it would miss
// its deadline. Returns false when the sub-query is to be queued.
bool Dispatcher::RefuseBeforeQueueing(const Upstream& upstream, const PendingSubQuery& pending) {
  if (!hooks_.may_send(upstream.address)) {
    AnswerNotRun(pending, proto::SUB_NOT_RUN_NOT_OWNER, "owner has no lease for this upstream");
    return true;
  }
  if (hooks_.in_outage(upstream.address, upstream.failure_domain)) {
    AnswerNotRun(pending, proto::SUB_NOT_RUN_UNAVAILABLE, "upstream is taken out");
    return true;
  }
  const auto queued = static_cast<std::uint32_t>(upstream.queue.size());
  if (options_.naive) {
    if (!MayQueueNaive(upstream.state, upstream.limits, queued, loop_.Now())) {
      AnswerNotRun(pending, proto::SUB_NOT_RUN_OVERLOAD, "queue is full");
      return true;
    }
    return false;
  }
  if (!MayQueue(upstream.state, upstream.limits, queued, loop_.Now())) {
    AnswerNotRun(pending, proto::SUB_NOT_RUN_UNAVAILABLE,
                 "upstream is " + std::string(ToString(upstream.state.phase)) + " or its queue is full");
    return true;
  }
  const Duration remaining = pending.batch->deadline - loop_.Now();
  if (ShouldShed(queued, ConcurrencyLimit(upstream.state, upstream.limits), upstream.mean_latency, remaining)) {
    AnswerNotRun(pending, proto::SUB_NOT_RUN_OVERLOAD, "it would not end before its deadline");
    return true;
  }
  return false;
}

void Dispatcher::Cancel(std::uint64_t entry_incarnation, const proto::CancelSubQueries& message) {
  const auto query = queries_.find({entry_incarnation, message.query_id()});
  if (query == queries_.end()) {
    return;
  }
  const auto is_cancelled = [&](const PendingSubQuery& pending) {
    return pending.batch->query == query->second &&
           std::find(message.ids().begin(), message.ids().end(), pending.sub_query->id()) != message.ids().end();
  };
  for (auto& [address, upstream] : upstreams_) {
    const std::size_t cancelled = std::erase_if(upstream->queue, is_cancelled);
    queued_sub_queries_ -= cancelled;
    query->second->held.outstanding -= cancelled;
  }
  EraseQueryIfEnded(*query->second);
}

bool Dispatcher::ShouldShedFirst(const Upstream& upstream, TimePoint now) const {
  const PendingSubQuery& first = upstream.queue.front();
  const Duration remaining = first.batch->deadline - now;
  return options_.naive ? ShouldShedNaive(0, 0, upstream.mean_latency, remaining)
                        : ShouldShedBeforeStart(now - first.queued_at, upstream.mean_latency, remaining);
}

bool Dispatcher::MayStartNow(const Upstream& upstream) const {
  return options_.naive ? MayStartNaive(upstream.state, upstream.limits, loop_.Now())
                        : MayStart(upstream.state, upstream.limits, loop_.Now());
}

// Starts queued sub-queries while the upstream may run another one, and answers those that can't run any more.
void Dispatcher::ProcessQueue(Upstream& upstream) {
  while (!upstream.queue.empty()) {
    const TimePoint now = loop_.Now();
    if (ShouldShedFirst(upstream, now)) {
      AnswerNotRun(upstream.queue.front(), proto::SUB_NOT_RUN_OVERLOAD, "too late after the owner's queue");
    } else if (!hooks_.may_send(upstream.address)) {
      AnswerNotRun(upstream.queue.front(), proto::SUB_NOT_RUN_NOT_OWNER, "owner lost its lease for this upstream");
    } else if (hooks_.in_outage(upstream.address, upstream.failure_domain)) {
      AnswerNotRun(upstream.queue.front(), proto::SUB_NOT_RUN_UNAVAILABLE, "upstream is taken out");
    } else if (!options_.naive && upstream.state.phase == UpstreamPhase::kDraining) {
      // Answered at once instead of at the deadline, so that another replica can still answer in time.
      AnswerNotRun(upstream.queue.front(), proto::SUB_NOT_RUN_UNAVAILABLE, "upstream is draining");
    } else if (MayStartNow(upstream)) {
      PendingSubQuery next = std::move(upstream.queue.front());
      upstream.queue.pop_front();
      --queued_sub_queries_;
      StartRequest(upstream, std::move(next));
      continue;
    } else {
      return;
    }
    upstream.queue.pop_front();
    --queued_sub_queries_;
  }
}

void Dispatcher::StartRequest(Upstream& upstream, PendingSubQuery pending) {
  pending.started_at = loop_.Now();
  const Duration remaining = pending.batch->deadline - pending.started_at;
  upstream.state = OnStart(std::move(upstream.state), pending.started_at);
  ++running_requests_;
  metrics_.Count("pimentomoor_owner_requests_total");
  if (pending.sub_query->hedge()) {
    metrics_.Count("pimentomoor_owner_hedges_total");
  }
  HttpCall call = BuildUpstreamCall(pending.batch->message, *pending.sub_query, remaining);
  call.may_write = [this, alive = alive_, &upstream] {
    return *alive && hooks_.may_send(upstream.address) &&
           !hooks_.in_outage(upstream.address, upstream.failure_domain);
  };
  client_.Call(std::move(call),
               [this, alive = alive_, &upstream, pending = std::move(pending)](const HttpResult& result) {
                 if (*alive) {
                   FinishRequest(upstream, pending, result);
                 }
               });
}

void Dispatcher::FinishRequest(Upstream& upstream, const PendingSubQuery& pending, const HttpResult& result) {
  --running_requests_;
  proto::SubAnswer& answer = AddAnswer(pending);
  AttemptReport report =
      ReadUpstreamResult(pending.batch->message, *pending.sub_query, result, *reused_response_, answer);
  AddRows(reused_response_->rows(), pending.batch->query->best_rows, answer);
  if (result.body.size() > kMaxReusedResponseBytes) {
    reused_response_ = std::make_unique<proto::SearchResponse>();
  }
  report.latency = loop_.Now() - pending.started_at;
  const UpstreamPhase before = upstream.state.phase;
  upstream.state = OnFinish(std::move(upstream.state), upstream.limits, report, loop_.Now());
  LogPhaseChange(upstream, before);
  if (report.result == AttemptResult::kOk) {
    constexpr int kLatencySmoothing = 8;  // the newest latency has a weight of one eighth
    upstream.mean_latency =
        upstream.mean_latency == Duration::zero()
            ? report.latency
            : (upstream.mean_latency * (kLatencySmoothing - 1) + report.latency) / kLatencySmoothing;
  }
  if (report.result == AttemptResult::kConnectionLost && hooks_.report_strike) {
    hooks_.report_strike(pending.batch->message.fingerprint(), upstream.address);
  }
  answer.set_queued_us(ToMicroseconds(pending.started_at - pending.queued_at));
  answer.set_upstream_us(ToMicroseconds(report.latency));
  answer.set_upstream_load(LoadPercent(upstream));
  CompleteAnswer(pending, answer.status());
  ProcessQueue(upstream);
}

std::uint32_t Dispatcher::LoadPercent(const Upstream& upstream) const {
  constexpr std::uint32_t kPercent = 100;
  const auto busy = OccupiedSlots(upstream.state, loop_.Now()) + static_cast<std::uint32_t>(upstream.queue.size());
  const std::uint32_t concurrency_limit = std::max(1U, ConcurrencyLimit(upstream.state, upstream.limits));
  return busy * kPercent / concurrency_limit;
}

void Dispatcher::ArmQueueTimer() {
  if (queue_timer_ != 0 || queued_sub_queries_ == 0) {
    return;
  }
  queue_timer_ = loop_.CallAfter(kQueueCheckInterval, [this] {
    queue_timer_ = 0;
    for (auto& [address, upstream] : upstreams_) {
      ProcessQueue(*upstream);
    }
    ArmQueueTimer();
  });
}

}  // namespace pimentomoor
