// Implementation of the roll-outs of a gateway daemon.
#include "gateway_rollouts.h"

#include <algorithm>
#include <ostream>
#include <utility>

#include "pimentomoor/gateway.h"
#include "pimentomoor/json_text.h"
#include "pimentomoor/log.h"

namespace pimentomoor {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(100);
constexpr Duration kFleetInterval = milliseconds(100);
constexpr Duration kVersionsInterval = std::chrono::seconds(2);
constexpr Duration kServingRetention = std::chrono::minutes(15);  // as for shared budgets
constexpr std::size_t kMaxServingDaemons = 1'024;
constexpr Duration kCallTimeout = milliseconds(1'000);
constexpr Duration kMinCallPause = milliseconds(150);
constexpr Duration kMaxCallPause = milliseconds(1'500);
// A report is recent when it has grown within this time and two heartbeat intervals.
constexpr Duration kReportMargin = milliseconds(700);
// Time for which a final state that the store has is still told to the other daemons, before their feeds do.
constexpr Duration kFinalStateSharingTime = std::chrono::seconds(10);

std::uint32_t ToMilliseconds(Duration time) {
  return static_cast<std::uint32_t>(std::min<Duration>(time, kMaxRolloutAge) / milliseconds(1));
}

void WriteTallies(const RolloutTallies& tallies, google::protobuf::RepeatedField<std::uint32_t>& out) {
  for (const auto& [cell, tally] : tallies) {
    out.Add((static_cast<std::uint32_t>(cell.upstream) << 16U) | cell.route);
    out.Add(tally.answers);
    out.Add(tally.bad);
  }
}

RolloutTallies ReadTallies(const google::protobuf::RepeatedField<std::uint32_t>& numbers) {
  RolloutTallies tallies;
  for (int i = 0; i + 2 < numbers.size(); i += 3) {
    const std::uint32_t key = numbers[i];
    tallies[{.upstream = static_cast<std::uint16_t>(key >> 16U),
             .route = static_cast<std::uint16_t>(key & 0xffffU)}] = {.answers = numbers[i + 1],
                                                                     .bad = std::min(numbers[i + 1], numbers[i + 2])};
  }
  return tallies;
}

void WriteReport(const RolloutReport& report, proto::RolloutReport& out) {
  out.set_order(report.order);
  out.set_reporter(report.reporter);
  out.set_beat(report.beat);
  out.set_requests(report.requests);
  out.set_target_sends(report.target_sends);
  out.set_switch_step(report.switch_step);
  out.set_settled_step(report.settled_step);
  out.set_age_ms(ToMilliseconds(report.age));
  out.set_bad(report.bad);
  out.set_state(IsFinal(report.state) ? static_cast<std::uint32_t>(report.state) : 0);
  WriteTallies(report.target, *out.mutable_target());
  WriteTallies(report.others, *out.mutable_others());
}

RolloutReport ReadReport(const proto::RolloutReport& report) {
  const auto state = static_cast<RolloutState>(std::min<std::uint32_t>(report.state(), 3));
  return {.order = report.order(),
          .reporter = report.reporter(),
          .beat = report.beat(),
          .requests = report.requests(),
          .target_sends = report.target_sends(),
          .switch_step = report.switch_step(),
          .settled_step = report.settled_step(),
          .age = milliseconds(report.age_ms()),
          .bad = report.bad(),
          .state = IsFinal(state) ? state : RolloutState::kNone,
          .target = ReadTallies(report.target()),
          .others = ReadTallies(report.others())};
}

}  // namespace

GatewayRollouts::GatewayRollouts(Options options) : options_(std::move(options)) {}

GatewayRollouts::~GatewayRollouts() {
  for (const auto& [name, rollout] : rollouts_) {
    options_.upstreams.FindOrCreateService(name).version_gate.reset();
  }
}

ServiceRollout& GatewayRollouts::FindOrCreate(const std::string& service) {
  auto& rollout = rollouts_[service];
  if (rollout == nullptr) {
    ServiceState& state = options_.upstreams.FindOrCreateService(service);
    rollout = std::make_shared<ServiceRollout>(options_.loop, options_.metrics, state, options_.settings);
  }
  return *rollout;
}

void GatewayRollouts::UpdateGate(const std::shared_ptr<ServiceRollout>& rollout, const std::string& service) {
  options_.upstreams.FindOrCreateService(service).version_gate = rollout->RestrictsVersions() ? rollout : nullptr;
}

void GatewayRollouts::OnRecords(const std::map<std::string, StoredRecord>& records) {
  const bool seen_to_appear = std::exchange(orders_known_, true);
  std::map<std::string, RolloutRecord> orders;  // by service
  for (const auto& [name, record] : records) {
    if (auto order = options_.codec.ParseRollout(record); order) {
      orders.emplace(order->order.service, std::move(*order));
    } else {
      options_.metrics.Count("pimentomoor_rollout_orders_unusable_total");
    }
  }
  for (const auto& [service, rollout] : rollouts_) {
    const auto order = orders.find(service);
    if (rollout->progress() &&
        (order == orders.end() || IdOf(order->second.order) != rollout->progress()->own.order)) {
      rollout->Withdraw();
    }
  }
  for (const auto& [service, record] : orders) {
    const auto found = rollouts_.find(service);
    if (found != rollouts_.end() && found->second->progress()) {
      found->second->SetRecord(record);
    } else {
      Begin(record, seen_to_appear);
    }
  }
  options_.announce();
}

void GatewayRollouts::Begin(const RolloutRecord& record, bool seen_to_appear) {
  const TimePoint now = options_.loop.Now();
  const auto serving =
      static_cast<double>(std::count_if(serving_daemons_.begin(), serving_daemons_.end(), [now](const auto& daemon) {
        return now - daemon.second < kServingRetention;
      }));
  const double slack_part = serves_callers_ ? options_.settings.canary_slack / (serving + 1) : 0;
  const std::string& service = record.order.service;
  FindOrCreate(service).Begin(record, options_.incarnation, slack_part, seen_to_appear);
  UpdateGate(rollouts_.at(service), service);
}

void GatewayRollouts::OnUpstream(const std::string& service, const std::string& version, bool serving) {
  std::set<std::string>& known = known_versions_[service];
  const bool others = !known.empty();
  if (known.insert(version).second && serving && others) {
    FindOrCreate(service).Hold(version);
    UpdateGate(rollouts_.at(service), service);
  }
}

void GatewayRollouts::ForgetUnknownVersions() {
  for (auto& [service, versions] : known_versions_) {
    if (versions.size() > 1) {
      const auto& links = options_.upstreams.FindOrCreateService(service).links;
      std::erase_if(versions, [&links](const std::string& version) {
        return std::none_of(links.begin(), links.end(),
                            [&](const auto& link) { return link->entry().version == version; });
      });
    }
  }
}

void GatewayRollouts::RecordServingDaemons(const std::vector<std::string>& others, bool self) {
  serves_callers_ = self;
  for (const auto& other : others) {
    if (serving_daemons_.size() < kMaxServingDaemons || serving_daemons_.contains(other)) {
      serving_daemons_[other] = options_.loop.Now();
    }
  }
}

void GatewayRollouts::Tick() {
  const TimePoint now = options_.loop.Now();
  if (now - ticked_at_ < kTickInterval) {
    return;
  }
  ticked_at_ = now;
  if (now - versions_checked_at_ >= kVersionsInterval) {
    versions_checked_at_ = now;
    ForgetUnknownVersions();
    std::erase_if(serving_daemons_, [now](const auto& daemon) { return now - daemon.second >= kServingRetention; });
  }
  for (auto entry = rollouts_.begin(); entry != rollouts_.end();) {
    const auto rollout = entry->second;
    if (rollout->Tick()) {
      options_.announce();
    }
    if (rollout->progress()) {
      Act(*rollout);
    }
    UpdateGate(rollout, entry->first);
    entry = rollout->IsNeeded() ? std::next(entry) : rollouts_.erase(entry);
  }
}

void GatewayRollouts::Act(ServiceRollout& rollout) {
  const TimePoint now = options_.loop.Now();
  RolloutProgress& progress = *rollout.progress();
  const RolloutStoreState& store = rollout.store();
  if (IsFinal(progress.state) && store.record.state == progress.state) {
    return;
  }
  if (now - fleet_at_ >= kFleetInterval) {
    fleet_at_ = now;
    fleet_ = options_.describe_fleet();
  }
  const RolloutReportCheck check =
      CheckRolloutReports(progress, fleet_.serving_daemons, 2 * fleet_.heartbeat_interval + kReportMargin, now);
  const RolloutAction action = DecideRollout(progress,
                                             {.rank = fleet_.rank,
                                              .store_answers = fleet_.store_answers,
                                              .stored_state = store.record.state,
                                              .stored_state_age = now - store.known_at,
                                              .usable_targets = rollout.usable_targets(),
                                              .usable_others = rollout.usable_others(),
                                              .reports_recent = check.recent,
                                              .settled = check.settled},
                                             now);
  if (action == RolloutAction::kNextSwitchStep) {
    SetSwitchStep(progress, progress.switch_step + 1, now);
    options_.announce();
  } else if (action != RolloutAction::kNone && !call_running_ && now >= store.next_call_at) {
    if (store.uncertain) {
      ReadBack(rollout);
    } else {
      WriteStatus(rollout, action == RolloutAction::kWriteRunning    ? RolloutState::kRunning
                           : action == RolloutAction::kWriteComplete ? RolloutState::kComplete
                                                                     : RolloutState::kRolledBack);
    }
  }
}

void GatewayRollouts::WriteStatus(ServiceRollout& rollout, RolloutState state) {
  const RolloutRecord& record = rollout.store().record;
  if (client_ == nullptr) {
    client_ =
        std::make_unique<PersistentHttpClient>(options_.loop, options_.codec.field_names(), options_.store_address);
  }
  call_running_ = true;
  options_.metrics.Count("pimentomoor_store_calls_total", 1, "call=\"status\"");
  LogInfo("roll-out status written", {{"service", record.order.service},
                                      {"version", record.order.target_version},
                                      {"state", std::string(ToString(state))}});
  client_->Put(options_.codec.RolloutStatusTarget(record.order.name),
               options_.codec.FormatRolloutStatus(record, state), kCallTimeout,
               [this, weak = rollout.weak_from_this()](const std::optional<ResponseMessage>& response) {
                 call_running_ = false;
                 if (const auto target = weak.lock(); target != nullptr) {
                   OnStoreAnswer(*target, true, response);
                 }
               });
}

void GatewayRollouts::ReadBack(ServiceRollout& rollout) {
  call_running_ = true;
  options_.metrics.Count("pimentomoor_store_calls_total", 1, "call=\"read\"");
  client_->Get(options_.codec.RolloutTarget(rollout.store().record.order.name), kCallTimeout,
               [this, weak = rollout.weak_from_this()](const std::optional<ResponseMessage>& response) {
                 call_running_ = false;
                 if (const auto target = weak.lock(); target != nullptr) {
                   OnStoreAnswer(*target, false, response);
                 }
               });
}

void GatewayRollouts::OnStoreAnswer(ServiceRollout& rollout, bool written,
                                    const std::optional<ResponseMessage>& response) {
  if (!rollout.progress()) {
    return;
  }
  RolloutStoreState& store = rollout.store();
  const int status = response ? response->status : 0;
  std::optional<RolloutRecord> record;
  if (status == 200 || status == 409) {
    if (const auto object = options_.codec.ParseSingleObject(response->body); object) {
      record = options_.codec.ParseRollout(*object);
    }
  }
  const bool refused = status == 429 || status == 503;  // nothing was done
  store.uncertain = !record && (written ? !refused : store.uncertain);
  options_.metrics.Count("pimentomoor_rollout_store_answers_total", 1,
                         record && status == 200 ? "answer=\"done\""
                         : record                ? "answer=\"changed before\""
                         : refused               ? "answer=\"refused\""
                                                 : "answer=\"lost\"");
  if (record && IdOf(record->order) == rollout.progress()->own.order) {
    store.failures = 0;
    store.next_call_at = options_.loop.Now();
    rollout.SetRecord(*record);
    options_.announce();
    return;
  }
  // A record of another order reaches this daemon by its feed.
  store.next_call_at = options_.loop.Now() + BackoffDelay(store.failures++, kMinCallPause, kMaxCallPause, jitter_());
}

bool GatewayRollouts::Reports(const RolloutProgress& progress) const {
  return serves_callers_ || progress.own.requests > 0 || progress.own.bad || progress.own.switch_step > 0 ||
         IsFinal(progress.own.state);
}

void GatewayRollouts::FillHeartbeat(proto::GatewayHeartbeat& heartbeat) const {
  const auto is_shared = [now = options_.loop.Now()](const ServiceRollout& rollout) {
    const RolloutStoreState& store = rollout.store();
    return rollout.progress() && !(IsFinal(store.record.state) && now - store.known_at >= kFinalStateSharingTime);
  };
  for (const auto& [service, rollout] : rollouts_) {
    if (is_shared(*rollout) && Reports(*rollout->progress())) {
      WriteReport(rollout->progress()->own, *heartbeat.add_rollouts());
    }
  }
  for (const auto& [service, rollout] : rollouts_) {
    if (is_shared(*rollout)) {
      for (const auto& [reporter, peer] : rollout->progress()->peers) {
        WriteReport(peer.report, *heartbeat.add_rollouts());
      }
    }
  }
}

void GatewayRollouts::OnHeartbeat(const proto::GatewayHeartbeat& heartbeat) {
  for (const auto& message : heartbeat.rollouts()) {
    const RolloutReport report = ReadReport(message);
    for (const auto& [service, rollout] : rollouts_) {
      if (rollout->progress()) {
        MergeRolloutReport(*rollout->progress(), report, options_.loop.Now());
      }
    }
  }
}

void GatewayRollouts::RenderStatus(std::ostream& out) const {
  const TimePoint now = options_.loop.Now();
  out << "[";
  bool first = true;
  for (const auto& [service, rollout] : rollouts_) {
    if (!rollout->progress()) {
      continue;
    }
    const RolloutProgress& progress = *rollout->progress();
    const RolloutTally target = SumTallies(progress.target);
    const RolloutTally others = SumTallies(progress.others);
    const std::string_view state = IsFinal(progress.state)      ? ToString(progress.state)
                                   : progress.bad               ? "taken back"
                                   : IsSwitching(progress, now) ? "switching"
                                                                : ToString(progress.state);
    out << (first ? "" : ",") << "\n  {\"service\":" << JsonQuote(service)
        << ",\"version\":" << JsonQuote(progress.order.target_version) << ",\"state\":" << JsonQuote(state)
        << ",\"stored_state\":" << JsonQuote(ToString(rollout->store().record.state))
        << ",\"age_ms\":" << ToMilliseconds(now - progress.started_at)
        << ",\"duration_ms\":" << ToMilliseconds(progress.order.duration)
        << ",\"step\":" << CurrentStep(progress, now) << ",\"requests\":" << progress.requests
        << ",\"target_requests\":" << progress.target_sends << ",\"target_answers\":" << target.answers
        << ",\"target_bad\":" << target.bad << ",\"other_answers\":" << others.answers
        << ",\"other_bad\":" << others.bad << ",\"target_searchers\":" << rollout->usable_targets()
        << ",\"other_searchers\":" << rollout->usable_others() << ",\"reporters\":" << progress.peers.size()
        << ",\"reason\":" << JsonQuote(progress.reason) << "}";
    first = false;
  }
  out << "]";
}

void Gateway::BuildRollouts() {
  if (settings_.rollouts) {
    rollouts_ = std::make_unique<GatewayRollouts>(
        GatewayRollouts::Options{.loop = loop_,
                                 .metrics = metrics_,
                                 .codec = codec_,
                                 .upstreams = upstreams_,
                                 .store_address = settings_.store_address,
                                 .settings = *settings_.rollouts,
                                 .incarnation = incarnation_,
                                 .describe_fleet = [this] { return DescribeRolloutFleet(); },
                                 .announce = [this] { ScheduleAnnouncement(); }});
  }
}

RolloutFleet Gateway::DescribeRolloutFleet() {
  const std::vector<std::string>& named = DirectoryAddresses();
  const auto is_named = [&named](const std::string& address) {
    return std::find(named.begin(), named.end(), address) != named.end();
  };
  RolloutFleet fleet{.store_answers = ready() && IsStoreAvailable(),
                     .serves_callers = is_named(settings_.caller_address),
                     .heartbeat_interval = peers_->HeartbeatInterval()};
  for (const auto& member : peers_->LivePeers()) {
    if (member.ready() && member.store_answers() && member.peer_address() < settings_.peer_address) {
      ++fleet.rank;
    }
    if (member.ready() && is_named(member.caller_address())) {
      fleet.serving_daemons.push_back(member.incarnation());
    }
  }
  return fleet;
}

}  // namespace pimentomoor
