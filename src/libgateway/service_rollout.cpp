// Implementation of the versions of one service.
#include "service_rollout.h"

#include <algorithm>
#include <utility>

#include "pimentomoor/log.h"

namespace pimentomoor {

namespace {

using std::chrono::milliseconds;

// Upstreams of a version that has just appeared get nothing for this time. Their entries can arrive before the order
// that names them, and a release without an order loses nothing by it, because the upstreams that it replaces drain
// for longer.
constexpr Duration kHoldTime = milliseconds(2'000);
// Upstreams of a withdrawn order end or drain within this time.
constexpr Duration kBarredTime = std::chrono::seconds(60);
// After this time without any upstream of another version, a version that may get only a part gets all requests.
constexpr Duration kAloneTime = std::chrono::seconds(30);
// An answer is slow when it takes this multiple of the route's usual latency, and this time more.
constexpr double kSlowRatio = 2.5;
constexpr Duration kSlowMargin = milliseconds(5);

Duration SlowLimit(Duration usual) {
  return Duration(static_cast<Duration::rep>(kSlowRatio * static_cast<double>(usual.count()))) + kSlowMargin;
}

}  // namespace

// Counts how one send ends. An exchange that is destroyed before it ended was never sent.
class ServiceRollout::SendObserver final : public ExchangeObserver {
 public:
  SendObserver(const std::shared_ptr<ServiceRollout>& rollout, bool to_target, std::uint16_t route, bool idempotent)
      : rollout_(rollout),
        order_(rollout->progress_->own.order),
        to_target_(to_target),
        route_(route),
        unsafe_at_others_(!to_target && !idempotent) {
    rollout->progress_->sends += to_target ? 1 : 0;
    rollout->progress_->unsafe_at_others += unsafe_at_others_ ? 1 : 0;
  }
  ~SendObserver() override {
    if (const auto rollout = rollout_.lock(); rollout != nullptr && IsSameOrder(*rollout)) {
      RolloutProgress& progress = *rollout->progress_;
      progress.unsafe_at_others -= unsafe_at_others_ ? 1 : 0;
      progress.sends -= to_target_ && !sent_ ? 1 : 0;
    }
  }
  SendObserver(const SendObserver&) = delete;
  SendObserver& operator=(const SendObserver&) = delete;

  void OnEnd(const UpstreamExchange& exchange, ExchangeOutcome outcome, const ResponseMessage& response) override {
    sent_ = outcome != ExchangeOutcome::kNotSent;
    if (const auto rollout = rollout_.lock(); rollout != nullptr && IsSameOrder(*rollout)) {
      rollout->OnAnswer(order_, exchange, to_target_, route_, outcome, response);
    }
  }

 private:
  [[nodiscard]] bool IsSameOrder(const ServiceRollout& rollout) const {
    return rollout.progress_ && rollout.progress_->own.order == order_;
  }

  const std::weak_ptr<ServiceRollout> rollout_;
  const std::uint64_t order_;
  const bool to_target_;
  const std::uint16_t route_;
  const bool unsafe_at_others_;
  bool sent_ = false;
};

void ServiceRollout::Begin(const RolloutRecord& record, std::uint64_t reporter, double slack_part,
                           bool seen_to_appear) {
  const TimePoint now = loop_.Now();
  progress_ = BeginRollout(record.order, reporter, slack_part, seen_to_appear, now);
  store_ = {.record = record, .known_at = now};
  held_until_.erase(record.order.target_version);
  barred_until_.erase(record.order.target_version);
  replaced_versions_.clear();
  others_seen_at_ = TimePoint{};
  logged_step_ = 0;
  logged_switch_step_ = 0;
  logged_bad_ = false;
  logged_state_ = record.state;
  SetRolloutState(*progress_, record.state);
  CountUpstreams();
  LogInfo("roll-out ordered", {{"service", record.order.service},
                               {"version", record.order.target_version},
                               {"seconds", std::to_string(record.order.duration / std::chrono::seconds(1))},
                               {"state", std::string(ToString(record.state))}});
}

void ServiceRollout::SetRecord(const RolloutRecord& record) {
  if (record.state != store_.record.state) {
    store_.known_at = loop_.Now();
  }
  store_.record = record;
  SetState(record.state);
}

void ServiceRollout::SetState(RolloutState state) {
  if (progress_) {
    SetRolloutState(*progress_, state);
  }
}

void ServiceRollout::Withdraw() {
  if (!progress_) {
    return;
  }
  LogInfo("roll-out withdrawn", {{"service", progress_->order.service},
                                 {"version", progress_->order.target_version},
                                 {"state", std::string(ToString(progress_->state))}});
  if (progress_->state != RolloutState::kComplete) {
    barred_until_[progress_->order.target_version] = loop_.Now() + kBarredTime;
  }
  progress_.reset();
}

void ServiceRollout::Hold(const std::string& version) {
  if (!progress_ || progress_->order.target_version != version) {
    held_until_[version] = loop_.Now() + kHoldTime;
  }
}

void ServiceRollout::CountUpstreams() {
  const TimePoint now = loop_.Now();
  target_links_ = 0;
  usable_targets_ = 0;
  usable_others_ = 0;
  for (const auto& link : service_.links) {
    const bool usable = link->usable() && !link->entry_missing() && now >= link->signals.backoff_until;
    if (IsTarget(*link)) {
      ++target_links_;
      usable_targets_ += usable && !link->cold(now) ? 1 : 0;
      continue;
    }
    usable_others_ += usable ? 1 : 0;
    others_seen_at_ = now;
    if (progress_ && !IsFinal(progress_->state)) {
      replaced_versions_.insert(link->entry().version);
    }
  }
}

bool ServiceRollout::Tick() {
  const TimePoint now = loop_.Now();
  const auto expired = [now](const auto& entry) { return now >= entry.second; };
  std::erase_if(barred_until_, expired);
  std::erase_if(held_until_, expired);
  if (!progress_) {
    return false;
  }
  CountUpstreams();
  const bool was_bad = progress_->bad;
  if (!IsFinal(progress_->state)) {
    EvaluateRollout(*progress_, target_links_, {}, now);
  }
  LogChanges();
  if (progress_->state == RolloutState::kComplete) {
    std::erase_if(replaced_versions_, [this](const std::string& version) {
      return std::none_of(service_.links.begin(), service_.links.end(),
                          [&](const auto& link) { return link->entry().version == version; });
    });
  }
  return progress_->bad && !was_bad;
}

void ServiceRollout::LogChanges() {
  const TimePoint now = loop_.Now();
  const auto log = [this](std::string_view event, std::string_view key, const std::string& value) {
    LogInfo(event,
            {{"service", progress_->order.service}, {"version", progress_->order.target_version}, {key, value}});
  };
  if (progress_->bad && !std::exchange(logged_bad_, true)) {
    metrics_.Count("pimentomoor_rollout_taken_back_total");
    log("roll-out taken back", "reason", progress_->reason);
  }
  if (const RolloutState state = progress_->state; state != std::exchange(logged_state_, state)) {
    log("roll-out state", "state", std::string(ToString(state)));
  }
  if (progress_->bad || IsFinal(progress_->state)) {
    return;
  }
  if (const std::uint32_t step = progress_->switch_step; step != std::exchange(logged_switch_step_, step)) {
    log("roll-out switches", "requests", step % 2 == 1 ? "non-idempotent" : "all");
  }
  if (const std::size_t step = CurrentStep(*progress_, now); step != std::exchange(logged_step_, step)) {
    log("roll-out step", "step", std::to_string(step));
  }
}

bool ServiceRollout::RestrictsVersions() const {
  if (!barred_until_.empty() || !held_until_.empty()) {
    return true;
  }
  return progress_ && (progress_->state != RolloutState::kComplete || !replaced_versions_.empty());
}

std::string ServiceRollout::ChooseFocus() const {
  const TimePoint now = loop_.Now();
  std::vector<const UpstreamLink*> best;
  int best_rank = 0;
  for (const auto& link : service_.links) {
    if (!IsTarget(*link) || !link->usable() || now < link->signals.backoff_until) {
      continue;
    }
    const bool sound = !IsFaultyUpstream(progress_->evidence, HashForRolloutCell(link->entry().id), {});
    const int rank = 1 + (link->cold(now) ? 0 : 2) + (sound ? 1 : 0);
    if (rank > best_rank) {
      best.clear();
      best_rank = rank;
    }
    if (rank == best_rank) {
      best.push_back(link.get());
    }
  }
  if (best.empty()) {
    return "";
  }
  return best[static_cast<std::size_t>(CurrentPulse(*progress_, now)) % best.size()]->entry().id;
}

std::vector<VersionScope> ServiceRollout::ChooseScopes(bool first_send, bool idempotent) {
  if (!progress_) {
    return {VersionScope::kOthers, VersionScope::kAny};
  }
  const TimePoint now = loop_.Now();
  if (progress_->state == RolloutState::kComplete) {
    return {VersionScope::kTarget, VersionScope::kAny};
  }
  if (IsSwitching(*progress_, now) && (!idempotent || progress_->switch_step % 2 == 0)) {
    return {VersionScope::kTarget, VersionScope::kOthers};
  }
  if (first_send &&
      ChooseRolloutVersion(*progress_, settings_, idempotent, usable_others_, now) == RolloutChoice::kCanary) {
    focus_id_ = ChooseFocus();
    return {VersionScope::kCanary, VersionScope::kOthers, VersionScope::kAny};
  }
  return {VersionScope::kOthers, VersionScope::kAny};
}

bool ServiceRollout::IsBarred(const UpstreamLink& link) const {
  if (barred_until_.contains(link.entry().version)) {
    return true;
  }
  if (!IsTarget(link) || progress_->state == RolloutState::kComplete) {
    return false;
  }
  // A version beside which there was never another one, or none for a long time, has nothing to be compared with.
  return loop_.Now() - others_seen_at_ < kAloneTime;
}

bool ServiceRollout::Admits(VersionScope scope, const UpstreamLink& link) const {
  const bool target = IsTarget(link);
  switch (scope) {
    case VersionScope::kCanary:
      return target && link.entry().id == focus_id_;
    case VersionScope::kTarget:
      return !barred_until_.contains(link.entry().version) &&
             (target || (progress_ && progress_->state == RolloutState::kComplete &&
                         !replaced_versions_.contains(link.entry().version)));
    case VersionScope::kOthers:
      return !target && !IsBarred(link) && !held_until_.contains(link.entry().version);
    default:
      return !IsBarred(link);
  }
}

bool ServiceRollout::MayServe(const UpstreamLink& link) const {
  if (!IsBarred(link)) {
    return true;
  }
  if (!IsTarget(link) || progress_->bad || progress_->state == RolloutState::kRolledBack) {
    return false;
  }
  const TimePoint now = loop_.Now();
  const double allowed = AllowedTargetSends(settings_, progress_->slack_part, progress_->own.requests,
                                            RolloutStepFraction(CurrentStep(*progress_, now)));
  return IsSwitching(*progress_, now) || progress_->sends + 1 <= allowed;
}

std::unique_ptr<ExchangeObserver> ServiceRollout::OnSend(const UpstreamLink& link, std::string_view route,
                                                         bool first_send, bool idempotent) {
  if (!progress_) {
    return nullptr;
  }
  if (first_send) {
    CountRolloutRequest(*progress_, loop_.Now());
  }
  const bool to_target = IsTarget(link);
  if (to_target) {
    metrics_.Count("pimentomoor_rollout_target_sends_total");
  }
  return std::make_unique<SendObserver>(shared_from_this(), to_target, HashForRolloutCell(route), idempotent);
}

void ServiceRollout::OnAnswer(std::uint64_t /*order*/, const UpstreamExchange& exchange, bool from_target,
                              std::uint16_t route, ExchangeOutcome outcome, const ResponseMessage& response) {
  if (outcome == ExchangeOutcome::kNotSent) {
    return;
  }
  const bool slow = loop_.Now() - exchange.sent_at > SlowLimit(exchange.expected_latency);
  bool bad = true;
  if (outcome == ExchangeOutcome::kAnswered) {
    if (response.not_run || response.status == 421) {
      return;  // the upstream rejected the request
    }
    const bool failed = response.status >= 500 || (response.status < 300 && response.stamp.empty());
    // An upstream that has just started is slow whatever its version is.
    if (!failed && slow && exchange.admitted_cold) {
      return;
    }
    bad = failed || slow;
  } else if (outcome == ExchangeOutcome::kLost && exchange.handler.expired() && !slow) {
    return;  // the caller left, and the connection was closed for it
  }
  const std::uint16_t upstream = from_target ? HashForRolloutCell(exchange.link->entry().id) : 0;
  CountRolloutAnswer(*progress_, from_target, {.upstream = upstream, .route = route}, bad);
  if (from_target) {
    metrics_.Count("pimentomoor_rollout_target_answers_total", 1, bad ? "answer=\"bad\"" : "answer=\"good\"");
  }
}

}  // namespace pimentomoor
