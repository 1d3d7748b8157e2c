// Implementation of the link to one upstream.
#include "pimentomoor/upstream_link.h"

#include <algorithm>
#include <utility>

#include "pimentomoor/log.h"
#include "upstream_connection.h"

namespace pimentomoor {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(600);
// A request counts as crashing its upstream when its connection ends and another one is refused within this time. A
// crashed upstream refuses connections at once, and it is back after some seconds.
constexpr Duration kCrashDetectionWindow = std::chrono::milliseconds(800);
// Time after an exchange's deadline at which its connection is closed if there is still no answer.
constexpr Duration kOverdueTolerance = std::chrono::milliseconds(300);
// Connections to one upstream beyond its slots. More of them would only queue requests at the upstream.
constexpr std::size_t kConnectionsBeyondSlots = 2;
// A shorter rest of a cold time is mostly the delay of a message about a longer one that has been paced.
constexpr Duration kMinPacedColdTime = std::chrono::milliseconds(300);
constexpr Duration kProbeInterval = std::chrono::seconds(1);

const QueuePlace& PlaceOf(const UpstreamExchangePtr& exchange) { return exchange->place; }

// Takes the exchanges of which `keep` is false out of the queue, and returns them in their order.
template <typename Keep>
std::vector<UpstreamExchangePtr> TakeUnless(std::deque<UpstreamExchangePtr>& waiting, Keep keep) {
  const auto first_taken = std::stable_partition(waiting.begin(), waiting.end(), keep);
  std::vector<UpstreamExchangePtr> taken(first_taken, waiting.end());
  waiting.erase(first_taken, waiting.end());
  return taken;
}

std::shared_ptr<const UpstreamRequest> WithoutBody(const UpstreamRequest& request) {
  return std::make_shared<UpstreamRequest>(UpstreamRequest{.request_id = request.request_id,
                                                           .fingerprint = request.fingerprint,
                                                           .idempotent = request.idempotent,
                                                           .is_head = request.is_head,
                                                           .collect_fields = request.collect_fields});
}

}  // namespace

UpstreamLink::UpstreamLink(LinkContext& context, UpstreamEntry entry)
    : context_(context), cold_until_(context.loop.Now() + entry.cold_remaining) {
  Update(std::move(entry), context.loop.Now());
}

UpstreamLink::~UpstreamLink() = default;

void UpstreamLink::Update(UpstreamEntry entry, TimePoint now) {
  entry_ = std::move(entry);
  misdirected_ = false;
  entry_missing_ = false;
  SetColdFor(entry_.cold_remaining, now);
}

std::size_t UpstreamLink::ConnectionLimit() const {
  const auto share = static_cast<std::size_t>(kUsableConnectionShare * max_connections /
                                              static_cast<double>(std::max<std::size_t>(sender_count, 1)));
  return std::clamp<std::size_t>(share, 1, entry_.slots + kConnectionsBeyondSlots);
}

UpstreamCandidate UpstreamLink::MakeCandidate(TimePoint now) const {
  const bool idle = std::any_of(connections_.begin(), connections_.end(),
                                [](const auto& connection) { return connection->idle(); });
  return {.slowness = CurrentSlowness(signals, now),
          .failure_rate = CurrentFailureRate(signals, now),
          .unanswered = unanswered_.size() + waiting_.size(),
          .oldest_unanswered = unanswered_.empty() ? Duration::zero() : now - unanswered_.front()->sent_at,
          .slots = std::max<std::size_t>(entry_.slots, 1),
          .last_resort = entry_missing_ || now < signals.backoff_until,
          .connection_ready = idle,
          .same_domain = entry_.failure_domain == context_.failure_domain,
          .in_subset = in_subset,
          .has_room = HasRoomAtPace(now, waiting_.size())};
}

void UpstreamLink::Send(const UpstreamExchangePtr& exchange) {
  exchange->link = shared_from_this();
  exchange->give_up_at = exchange->deadline + kOverdueTolerance;
  exchange->admitted_cold = cold(context_.loop.Now());
  pace.usual = exchange->expected_latency;
  exchange->last_resort = leaving();
  exchange->place.deadline = exchange->deadline;
  exchange->place.turn = NextTurn(served_turns_, waiting_, PlaceOf, exchange->place);
  waiting_.insert(
      std::upper_bound(waiting_.begin(), waiting_.end(), exchange,
                       [](const auto& left, const auto& right) { return GoesBefore(left->place, right->place); }),
      exchange);
  SendWaiting();
}

void UpstreamLink::SendWaiting() {
  const TimePoint now = context_.loop.Now();
  ReleaseHeld();
  RemoveHopeless(now);
  std::size_t connecting = 0;
  unsigned departures = 0;
  for (std::size_t i = connections_.size(); i-- > 0 && !waiting_.empty() && HasRoomAtPace(now, 0);) {
    if (i >= connections_.size()) {
      continue;
    }
    UpstreamConnection* connection = connections_[i].get();
    if (!connection->connected()) {
      ++connecting;
    } else if (connection->idle()) {
      if (connection->stale(now)) {
        RemoveConnection(connection);
        continue;
      }
      const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                      [&](const auto& exchange) { return connection->MayCarry(*exchange); });
      if (found == waiting_.end()) {
        continue;
      }
      const UpstreamExchangePtr next = *found;
      waiting_.erase(found);
      if (!waiting_.empty()) {
        served_turns_[next->place.priority] = next->place.turn;
      }
      ++departures;
      RecordPaceSend(pace, MakePaceConditions(now));
      unanswered_.push_back(next);
      connection->StartExchange(next);
    }
  }
  while (waiting_.size() > connecting && !retired_ && HasRoomAtPace(now, connecting) && MakeRoomForConnection()) {
    OpenConnection();
    ++connecting;
  }
  RecordQueueChange(departures);
}

void UpstreamLink::RemoveHopeless(TimePoint now) {
  const auto hopeful = [now](const UpstreamExchangePtr& exchange) {
    return !exchange->done && now + exchange->least_work < exchange->deadline;
  };
  if (std::all_of(waiting_.begin(), waiting_.end(), hopeful)) {
    return;
  }
  for (const auto& removed : TakeUnless(waiting_, hopeful)) {
    // Finished in a later turn of the event loop, so that Send() never calls a handler.
    context_.loop.Post(
        [self = shared_from_this(), removed] { self->Finish(removed, ExchangeOutcome::kNotSent, {}); });
  }
}

void UpstreamLink::RecordQueueChange(unsigned departures) {
  if (waiting_.empty()) {
    served_turns_.clear();
  }
  RecordQueue(queue_history_, !waiting_.empty(), departures, context_.loop.Now());
}

UpstreamRoom UpstreamLink::RoomFor(const QueuePlace& place, TimePoint now) const {
  if (waiting_.empty() || !IsStanding(queue_history_, now)) {
    return {};
  }
  QueuePlace last = place;
  last.turn = NextTurn(served_turns_, waiting_, PlaceOf, place);
  const auto ahead = std::count_if(waiting_.begin(), waiting_.end(),
                                   [&](const auto& exchange) { return !GoesBefore(last, exchange->place); });
  return {.standing = true,
          .departures_per_s = DepartureRate(queue_history_, now),
          .ahead = static_cast<std::size_t>(ahead)};
}

HedgeTarget UpstreamLink::MakeHedgeTarget() const {
  const bool ready = connections_.size() < ConnectionLimit() ||
                     std::any_of(connections_.begin(), connections_.end(),
                                 [](const auto& connection) { return connection->idle(); });
  return {.waiting = waiting_.size(),
          .unanswered = unanswered_.size(),
          .connection_ready = ready,
          .slots = std::max<std::size_t>(entry_.slots, 1)};
}

bool UpstreamLink::MakeRoomForConnection() {
  if (connections_.size() < ConnectionLimit()) {
    return true;
  }
  // A connection that is idle although requests wait may carry none of them.
  const auto idle = std::find_if(connections_.begin(), connections_.end(),
                                 [](const auto& connection) { return connection->idle(); });
  if (idle == connections_.end()) {
    return false;
  }
  RemoveConnection(idle->get());
  return true;
}

void UpstreamLink::OpenConnection() {
  auto connection = std::make_unique<UpstreamConnection>(*this);
  auto* opened = connection.get();
  connections_.insert(connections_.begin(), std::move(connection));
  context_.metrics.Count("pimentomoor_upstream_connections_opened_total");
  if (!opened->Open()) {
    // Reported in a later turn of the event loop, so that Send() never calls a handler.
    context_.loop.Post([self = shared_from_this(), opened] { self->OnConnectFailed(opened); });
  }
}

void UpstreamLink::OnConnectFailed(UpstreamConnection* connection) {
  if (std::none_of(connections_.begin(), connections_.end(),
                   [&](const auto& held) { return held.get() == connection; })) {
    return;  // the connection was removed after the failure was posted
  }
  // A reset or a timeout is no sign of a crash: the upstream may close all its connections and go on running.
  const bool refused = connection->connect_refused();
  RemoveConnection(connection);
  context_.metrics.Count("pimentomoor_upstream_connect_failures_total");
  RecordConnectFailure(signals, context_.loop.Now());
  if (refused) {
    ReportCrashSuspects();
    RecordProcessEnd();
  }
  RecordPaceConnectFailure();
  const bool any_connected =
      std::any_of(connections_.begin(), connections_.end(), [](const auto& left) { return left->connected(); });
  if (!any_connected) {
    ReleaseWaiting([](const UpstreamExchange&) { return true; });
  }
}

void UpstreamLink::OnConnected() {
  const bool process_started = std::exchange(process_ended_, false);
  if (process_started) {
    // Until its entry is read, the start of the new process is known only to lie before this moment.
    AssumeColdUntil(std::max(assumed_cold_until_, context_.loop.Now() + cold_duration));
    LogInfo("upstream process started", {{"upstream", entry_.id}, {"service", entry_.service}});
  }
  SendWaiting();
  if (process_started && !in_subset && waiting_.empty()) {
    CloseIdleConnections();  // the upstream's connections belong to the daemons of the subset
  }
}

void UpstreamLink::RecordProcessEnd() {
  if (!limits_cold_rate || process_ended_) {
    return;
  }
  process_ended_ = true;
  next_probe_at_ = context_.loop.Now() + kProbeInterval;
  context_.metrics.Count("pimentomoor_upstream_process_ends_total");
  LogInfo("upstream process ended", {{"upstream", entry_.id}, {"service", entry_.service}});
  ReleaseInadmissible();
}

void UpstreamLink::ReportCrashSuspects() {
  const TimePoint now = context_.loop.Now();
  for (const auto& [lost_at, request] : std::exchange(crash_suspects_, {})) {
    if (now - lost_at < kCrashDetectionWindow) {
      context_.metrics.Count("pimentomoor_upstream_crashes_total");
      StartPace(PaceReason::kCrash);
      context_.on_crash(*request, lost_at);
    }
  }
}

void UpstreamLink::SuspectCrash(const UpstreamExchangePtr& exchange) {
  const TimePoint now = context_.loop.Now();
  std::erase_if(crash_suspects_, [&](const auto& suspect) { return now - suspect.first >= kCrashDetectionWindow; });
  crash_suspects_.emplace_back(now, exchange->request);
  if (connections_.empty() && !retired_) {
    OpenConnection();
  }
}

void UpstreamLink::SetColdFor(Duration left, TimePoint now) {
  const bool was_cold = cold(now);
  cold_until_ = now + left;
  if (!was_cold && left >= kMinPacedColdTime) {
    StartPace(PaceReason::kCold);
  }
  ReleaseInadmissible();
}

void UpstreamLink::ReadNoticeOf(const ResponseMessage& response) {
  const UpstreamNotice notice =
      ReadNotice(response.status, response.leaving, response.retry_after, context_.hold_settings);
  if (!notice.empty()) {
    context_.on_notice(*this, notice);
  }
}

void UpstreamLink::SetHold(const UpstreamHold& hold) {
  // The set forgets a leaving lifetime after some time; its link doesn't.
  const std::optional<TimePoint> leaving_since = hold.leaving_since ? hold.leaving_since : hold_.leaving_since;
  hold_ = {.leaving_since = leaving_since, .paused_until = std::max(hold.paused_until, hold_.paused_until)};
  ReleaseHeld();
}

void UpstreamLink::ReleaseHeld() {
  const UpstreamAdmission admitted = admission();
  if (admitted == UpstreamAdmission::kAll || waiting_.empty()) {
    return;
  }
  const auto may_stay = [&](const UpstreamExchangePtr& exchange) {
    return admitted == UpstreamAdmission::kLastResort && exchange->last_resort;
  };
  for (const auto& released : TakeUnless(waiting_, may_stay)) {
    context_.metrics.Count("pimentomoor_upstream_held_requests_moved_total");
    context_.loop.Post(
        [self = shared_from_this(), released] { self->Finish(released, ExchangeOutcome::kNotSent, {}); });
  }
}

void UpstreamLink::ReleaseInadmissible() {
  if (!in_service()) {
    ReleaseWaiting([](const UpstreamExchange&) { return true; });
  } else if (limits_cold_rate && cold(context_.loop.Now())) {
    ReleaseWaiting([](const UpstreamExchange& exchange) { return !exchange.admitted_cold; });
  }
}

void UpstreamLink::ReleaseWaiting(const std::function<bool(const UpstreamExchange&)>& predicate) {
  // Taken out of the queue first, because a handler may send its request to this upstream again.
  const std::vector<UpstreamExchangePtr> released =
      TakeUnless(waiting_, [&](const UpstreamExchangePtr& exchange) { return !predicate(*exchange); });
  RecordQueueChange();
  for (const auto& exchange : released) {
    Finish(exchange, ExchangeOutcome::kNotSent, {});
  }
}

void UpstreamLink::Finish(const UpstreamExchangePtr& exchange, ExchangeOutcome outcome, ResponseMessage response) {
  if (exchange->done) {
    return;
  }
  exchange->done = true;
  std::erase(unanswered_, exchange);
  const TimePoint now = context_.loop.Now();
  exchange->notice = ReadNotice(response.status, response.leaving, response.retry_after, context_.hold_settings);
  if (response.cold_ms) {
    SetColdFor(std::chrono::milliseconds(*response.cold_ms), now);
  }
  if (outcome == ExchangeOutcome::kAnswered && response.status < 500 && !response.not_run) {
    RecordLatency(signals, now - exchange->sent_at, exchange->expected_latency, now);
  } else if (outcome != ExchangeOutcome::kNotSent) {
    RecordFailure(signals, now);
  }
  RecordPace(*exchange, outcome, response);
  if (outcome == ExchangeOutcome::kLost || outcome == ExchangeOutcome::kTruncated) {
    SuspectCrash(exchange);
  }
  if (const auto observer = std::move(exchange->observer); observer != nullptr) {
    observer->OnEnd(*exchange, outcome, response);
  }
  if (response.status == 421) {
    misdirected_ = true;
    ReleaseInadmissible();
  }
  if (const auto handler = exchange->handler.lock()) {
    handler->OnExchangeDone(*exchange, outcome, response);
  }
}

void UpstreamLink::Cancel(const UpstreamExchangePtr& exchange, TimePoint give_up_at) {
  exchange->handler.reset();
  if (exchange->sent) {
    exchange->give_up_at = std::min(exchange->give_up_at, give_up_at);
    if (exchange->whole_request_sent) {
      // The exchange only waits for the end of its answer, so it doesn't hold the body of the request any longer.
      exchange->request = WithoutBody(*exchange->request);
    }
    return;
  }
  exchange->done = true;
  std::erase(waiting_, exchange);
  RecordQueueChange();
}

void UpstreamLink::Retire() {
  retired_ = true;
  CloseIdleConnections();
  ReleaseInadmissible();
}

void UpstreamLink::CloseIdleConnections() {
  for (std::size_t i = connections_.size(); i-- > 0;) {
    if (connections_[i]->running_exchange() == nullptr) {
      RemoveConnection(connections_[i].get());
    }
  }
}

void UpstreamLink::Close() {
  const auto keep_alive = shared_from_this();
  retired_ = true;
  connections_.clear();
  waiting_.clear();
  unanswered_.clear();
}

void UpstreamLink::Sweep(TimePoint now) {
  const auto keep_alive = shared_from_this();
  // A suspect holds the body of its request.
  std::erase_if(crash_suspects_, [&](const auto& suspect) { return now - suspect.first >= kCrashDetectionWindow; });
  std::vector<UpstreamExchangePtr> overdue;
  std::vector<UpstreamConnection*> failed;
  for (const auto& connection : connections_) {
    if (!connection->connected() && now - connection->opened_at() >= kConnectTimeout) {
      failed.push_back(connection.get());
    } else if (connection->running_exchange() != nullptr && now >= connection->running_exchange()->give_up_at) {
      overdue.push_back(connection->running_exchange());
    }
  }
  for (auto* connection : failed) {
    OnConnectFailed(connection);
  }
  for (const auto& exchange : overdue) {
    const auto found = std::find_if(connections_.begin(), connections_.end(), [&](const auto& connection) {
      return connection->running_exchange() == exchange;
    });
    if (found != connections_.end()) {
      RemoveConnection(found->get());
    }
    context_.metrics.Count("pimentomoor_upstream_requests_given_up_total");
    Finish(exchange, ExchangeOutcome::kLost, {});
  }
  if (!waiting_.empty()) {
    SendWaiting();
  }
  if (leaving() && !usable_as_last_resort()) {
    CloseIdleConnections();  // nothing will be sent over them
  }
  if (process_ended_ && usable() && connections_.empty() && now >= next_probe_at_) {
    next_probe_at_ = now + kProbeInterval;
    OpenConnection();
  }
}

void UpstreamLink::RemoveConnection(UpstreamConnection* connection) {
  const auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [&](const auto& held) { return held.get() == connection; });
  if (found == connections_.end()) {
    return;
  }
  connection->Close();
  // Destroyed in the next turn of the event loop, because a member function of the connection may be the caller.
  auto removed = std::make_shared<std::unique_ptr<UpstreamConnection>>(std::move(*found));
  connections_.erase(found);
  context_.loop.Post([removed, self = shared_from_this()] {});
}

}  // namespace pimentomoor
