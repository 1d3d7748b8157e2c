// Implementation of the link to one upstream.
#include "pimentomoor/upstream_link.h"

#include <algorithm>
#include <utility>

#include "upstream_connection.h"

namespace pimentomoor {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(600);
// A request counts as crashing its upstream when it is lost and a connection is refused within this time. A crashed
// upstream refuses connections at once, and it is back after some seconds.
constexpr Duration kCrashDetectionWindow = std::chrono::milliseconds(800);
// Time after an exchange's deadline at which its connection is closed if there is still no answer.
constexpr Duration kOverdueTolerance = std::chrono::milliseconds(300);
// Connections to one upstream beyond its slots. More of them would only queue requests at the upstream.
constexpr std::size_t kConnectionsBeyondSlots = 2;

std::shared_ptr<const UpstreamRequest> WithoutBody(const UpstreamRequest& request) {
  return std::make_shared<UpstreamRequest>(UpstreamRequest{.request_id = request.request_id,
                                                           .fingerprint = request.fingerprint,
                                                           .idempotent = request.idempotent,
                                                           .is_head = request.is_head,
                                                           .collect_fields = request.collect_fields});
}

}  // namespace

UpstreamLink::UpstreamLink(LinkContext& context, UpstreamEntry entry) : context_(context) {
  Update(std::move(entry), context.loop.Now());
}

UpstreamLink::~UpstreamLink() = default;

void UpstreamLink::Update(UpstreamEntry entry, TimePoint now) {
  entry_ = std::move(entry);
  misdirected_ = false;
  entry_missing_ = false;
  cold_until_ = now + entry_.cold_remaining;
  ReleaseInadmissible();
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
          .in_subset = in_subset};
}

void UpstreamLink::Send(const UpstreamExchangePtr& exchange) {
  exchange->link = shared_from_this();
  exchange->give_up_at = exchange->deadline + kOverdueTolerance;
  exchange->admitted_cold = cold(context_.loop.Now());
  waiting_.push_back(exchange);
  SendWaiting();
}

void UpstreamLink::SendWaiting() {
  const TimePoint now = context_.loop.Now();
  while (!waiting_.empty() && (waiting_.front()->done || now >= waiting_.front()->deadline)) {
    const UpstreamExchangePtr expired = waiting_.front();
    waiting_.pop_front();
    // Finished in a later turn of the event loop, so that Send() never calls a handler.
    context_.loop.Post(
        [self = shared_from_this(), expired] { self->Finish(expired, ExchangeOutcome::kNotSent, {}); });
  }
  std::size_t connecting = 0;
  for (std::size_t i = connections_.size(); i-- > 0 && !waiting_.empty();) {
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
      unanswered_.push_back(next);
      connection->StartExchange(next);
    }
  }
  while (waiting_.size() > connecting && !retired_ && MakeRoomForConnection()) {
    OpenConnection();
    ++connecting;
  }
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
  }
  const bool any_connected =
      std::any_of(connections_.begin(), connections_.end(), [](const auto& left) { return left->connected(); });
  if (!any_connected) {
    ReleaseWaiting([](const UpstreamExchange&) { return true; });
  }
}

void UpstreamLink::ReportCrashSuspects() {
  const TimePoint now = context_.loop.Now();
  for (const auto& [lost_at, request] : std::exchange(crash_suspects_, {})) {
    if (now - lost_at < kCrashDetectionWindow) {
      context_.metrics.Count("pimentomoor_upstream_crashes_total");
      context_.on_crash(*request);
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
  cold_until_ = now + left;
  ReleaseInadmissible();
}

void UpstreamLink::ReleaseInadmissible() {
  if (!usable()) {
    ReleaseWaiting([](const UpstreamExchange&) { return true; });
  } else if (limits_cold_rate && cold(context_.loop.Now())) {
    ReleaseWaiting([](const UpstreamExchange& exchange) { return !exchange.admitted_cold; });
  }
}

void UpstreamLink::ReleaseWaiting(const std::function<bool(const UpstreamExchange&)>& predicate) {
  const auto first_released = std::stable_partition(waiting_.begin(), waiting_.end(),
                                                    [&](const auto& exchange) { return !predicate(*exchange); });
  // Taken out of the queue first, because a handler may send its request to this upstream again.
  const std::vector<UpstreamExchangePtr> released(first_released, waiting_.end());
  waiting_.erase(first_released, waiting_.end());
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
  if (response.cold_ms) {
    SetColdFor(std::chrono::milliseconds(*response.cold_ms), now);
  }
  if (outcome == ExchangeOutcome::kAnswered && response.status < 500 && !response.not_run) {
    RecordLatency(signals, now - exchange->sent_at, exchange->expected_latency, now);
  } else if (outcome != ExchangeOutcome::kNotSent) {
    RecordFailure(signals, now);
  }
  if (outcome == ExchangeOutcome::kLost) {
    SuspectCrash(exchange);
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
}

void UpstreamLink::Retire() {
  retired_ = true;
  for (std::size_t i = connections_.size(); i-- > 0;) {
    if (connections_[i]->running_exchange() == nullptr) {
      RemoveConnection(connections_[i].get());
    }
  }
  ReleaseInadmissible();
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
