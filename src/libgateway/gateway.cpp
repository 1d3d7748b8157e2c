// Implementation of the gateway daemon: its listeners, store feeds and exchange with peers.
#include "pimentomoor/gateway.h"

#include <algorithm>
#include <set>
#include <utility>

#include "gateway_registry.h"
#include "gateway_rollouts.h"
#include "pimentomoor/log.h"
#include "pimentomoor/random.h"

namespace pimentomoor {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(25);
constexpr Duration kLivePeersInterval = std::chrono::milliseconds(100);  // a quarter of the heartbeat interval
// Time from the deletion of an upstream's entry to its removal here. An entry that expired while the store was
// unavailable is written again within two seconds after the store's return.
constexpr Duration kUpstreamRemovalDelay = std::chrono::milliseconds(2'200);
constexpr Duration kRoutingWatchInterval = std::chrono::milliseconds(120);
constexpr Duration kUpstreamWatchInterval = std::chrono::milliseconds(400);
// Wait of the watches for orders of roll-outs in the verifying daemon. An order allows more than ten seconds, so a
// missed change may show later than for the other kinds.
constexpr Duration kRolloutShortWatchWait = std::chrono::seconds(5);
constexpr Duration kAnnounceDelay = std::chrono::milliseconds(2);
// Time that a starting daemon waits for records from its seeds before it lists the store. Only the first daemon of a
// failure domain lists the store early; the others wait for the longer time.
constexpr Duration kSeedAnswerWait = std::chrono::milliseconds(300);
constexpr Duration kFollowerSeedAnswerWait = std::chrono::milliseconds(1'500);
constexpr Duration kLoadInterval = std::chrono::seconds(1);
constexpr Duration kMaxCrashAge = std::chrono::minutes(30);  // in a crash report; bounds the size of the report
constexpr std::size_t kMaxSmallBodyBytes = 4'096;            // body limit of all listeners except that for callers

}  // namespace

Gateway::Gateway(EventLoop& loop, GatewaySettings settings, const PlatformCodec& codec)
    : loop_(loop),
      settings_(std::move(settings)),
      codec_(codec),
      incarnation_(RandomId()),
      buffer_budget_(loop),
      caller_budget_(loop, settings_.callers.memory_bytes),
      upstreams_({.loop = loop,
                  .metrics = metrics_,
                  .names = codec.field_names(),
                  .buffer_budget = buffer_budget_,
                  .failure_domain = settings_.failure_domain,
                  .pace = settings_.pace,
                  .daemon_id = incarnation_},
                 settings_.retry, settings_.cold_upstreams),
      crashes_(incarnation_),
      tracer_(metrics_, settings_.host),
      request_context_{.loop = loop,
                       .metrics = metrics_,
                       .names = codec.field_names(),
                       .upstreams = upstreams_,
                       .crashes = crashes_,
                       .settings = settings_.requests,
                       .tracer = &tracer_},
      usage_(loop, metrics_,
             {.address = settings_.peer_address,
              .incarnation = incarnation_,
              .failure_domain = settings_.failure_domain,
              .capacity_millicores = settings_.capacity_millicores},
             settings_.usage_caps, [this](const std::string& address, proto::GatewayUsage message) {
               return peers_->SendUsage(address, std::move(message));
             }) {
  upstreams_.context().on_crash = [this](const UpstreamRequest& request, TimePoint crashed_at) {
    crashes_.RecordCrash(request.fingerprint, crashed_at);
    OnCrashReportsChanged();
  };
  request_context_.on_crash_reports_changed = [this] { OnCrashReportsChanged(); };
  upstreams_.on_leaving_changed = [this] { ScheduleAnnouncement(); };
  upstreams_.SetDrainTime(settings_.drain_time);
  BuildFeeds();
  BuildRollouts();
  const auto serve = [this](const std::string& address, std::size_t body_bytes,
                            void (Gateway::*handler)(const std::shared_ptr<CallerExchange>&)) {
    return std::make_unique<CallerServer>(
        loop_, metrics_, codec_.field_names(),
        CallerServerOptions{.address = address, .limits = {.body_bytes = body_bytes}},
        [this, handler](const std::shared_ptr<CallerExchange>& exchange) { (this->*handler)(exchange); },
        &caller_budget_);
  };
  caller_server_ = serve(settings_.caller_address, MessageLimits().body_bytes, &Gateway::HandleCaller);
  ready_server_ = serve(settings_.ready_address, kMaxSmallBodyBytes, &Gateway::HandleReady);
  directory_server_ = serve(settings_.directory_address, kMaxSmallBodyBytes, &Gateway::HandleDirectory);
  peer_server_ = serve(settings_.peer_address, kMaxSmallBodyBytes, &Gateway::HandlePeer);
  ApplyConnectionLimits();
  peers_ = std::make_unique<GatewayPeers>(
      loop_, metrics_, MemberExchangeOptions{.seeds = settings_.seed_peers},
      [this](proto::GatewayHeartbeat& heartbeat) { FillHeartbeat(heartbeat); },
      [this](const proto::GatewayHeartbeat& heartbeat) { OnHeartbeat(heartbeat); });
  registry_ = std::make_unique<GatewayRegistry>(GatewayRegistry::Options{
      .loop = loop_,
      .metrics = metrics_,
      .codec = codec_,
      .store_address = settings_.store_address,
      .self_address = settings_.peer_address,
      .set_contacts = [this](std::vector<std::string> contacts) { peers_->SetContacts(std::move(contacts)); }});
  peers_->SetUsageHandler([this](const proto::GatewayUsage& message) { usage_.Receive(message); });
}

Gateway::~Gateway() {
  loop_.Cancel(tick_timer_);
  loop_.Cancel(stop_timer_);
  loop_.Cancel(announce_timer_);
  for (const auto& [id, timer] : removal_timers_) {
    loop_.Cancel(timer);
  }
}

void Gateway::ApplyConnectionLimits() {
  const std::size_t callers = settings_.callers.max_connections;
  caller_server_->SetMaxConnections(callers);
  directory_server_->SetMaxConnections(std::max<std::size_t>(callers / 6, 16));
  ready_server_->SetMaxConnections(std::max<std::size_t>(callers / 32, 16));
  peer_server_->SetMaxConnections(std::max<std::size_t>(callers / 10, 16));
}

void Gateway::BuildFeeds() {
  const auto build = [this](RecordKind kind, RecordFeed::Handlers handlers, Duration min_watch_interval) {
    handlers.on_store_availability_changed = [this] { ScheduleAnnouncement(); };
    RecordFeedOptions options{.min_watch_interval = min_watch_interval, .buffer_budget = &buffer_budget_};
    if (kind == RecordKind::kRollouts) {
      options.short_watch_wait = kRolloutShortWatchWait;
    }
    feeds_.push_back(std::make_unique<RecordFeed>(loop_, metrics_, codec_, kind, settings_.store_address,
                                                  std::move(handlers), options));
  };
  build(RecordKind::kRouting,
        {.on_put = [this](const StoredRecord& record) { OnRoutingRecord(record); },
         .on_delete = [](const std::string&) {},  // the routing table in force is kept
         .on_batch_applied = [this] { ScheduleAnnouncement(); }},
        kRoutingWatchInterval);
  build(RecordKind::kUpstreams,
        {.on_put = [this](const StoredRecord& record) { OnUpstreamRecord(record); },
         .on_delete = [this](const std::string& name) { OnUpstreamDeleted(name); },
         .on_batch_applied = [this] { ScheduleAnnouncement(); },
         .content_version =
             [this](const StoredRecord& record) {
               const auto entry = codec_.ParseUpstream(record);
               return entry ? ContentVersion{.birth = entry->start_unix_ms, .sequence = entry->sequence}
                            : ContentVersion{};
             }},
        kUpstreamWatchInterval);
  build(RecordKind::kOutages,
        {.on_put = [](const StoredRecord&) {},
         .on_delete = [](const std::string&) {},
         .on_batch_applied = [this] { OnOutagesChanged(); }},
        kRoutingWatchInterval);
  if (settings_.rollouts) {
    build(RecordKind::kRollouts,
          {.on_put = [](const StoredRecord&) {},
           .on_delete = [](const std::string&) {},
           .on_batch_applied = [this] { rollouts_->OnRecords(feed(RecordKind::kRollouts).records()); }},
          kRoutingWatchInterval);
  }
}

void Gateway::Start() {
  started_at_ = loop_.Now();
  Tick();
  LogInfo("gateway started", {{"host", settings_.host}, {"callers", settings_.caller_address}});
}

bool Gateway::ready() const { return routing_table_ != nullptr && AreUpstreamsKnown() && !on_stopped_; }

void Gateway::Tick() {
  if (loop_.Now() - live_peers_applied_at_ >= kLivePeersInterval) {
    live_peers_applied_at_ = loop_.Now();
    ApplyLivePeers();
  }
  MeasureLoad();
  upstreams_.Sweep();
  if (rollouts_ != nullptr) {
    rollouts_->Tick();
  }
  UpdateAdmission(request_context_);
  CatchUpWithPeers();
  tick_timer_ = loop_.CallAfter(kTickInterval, [this] { Tick(); });
}

void Gateway::ApplyLivePeers() {
  // Upstreams' connections are divided among the daemons that the directory names to callers.
  std::vector<std::string> others = DirectoryAddresses();
  const bool named = std::erase(others, settings_.caller_address) > 0;
  if (rollouts_ != nullptr) {
    rollouts_->RecordServingDaemons(others, named);
  }
  if (HasSeeds()) {
    proto::GatewayMember self;
    FillSelf(self);
    registry_->Tick(self, peers_->LivePeers());
  }
  const std::size_t sharing = CountSharingDaemons();
  upstreams_.SetDaemons(sharing, settings_.caller_address, std::move(others));
  upstreams_.SetFleetKnown(IsFleetKnown());
  usage_.SetPeers(peers_->LivePeers(), peers_->LivePeersVersion(), ready(), sharing, peers_->answered_at());
  ChooseFeedSource();
}

bool Gateway::HasSeeds() const {
  return std::any_of(settings_.seed_peers.begin(), settings_.seed_peers.end(),
                     [this](const std::string& seed) { return seed != settings_.peer_address; });
}

bool Gateway::IsFleetKnown() const { return !HasSeeds() || registry_->fleet_known(); }

std::size_t Gateway::CountSharingDaemons() {
  const std::size_t counted = peers_->CountDaemonsForBudgets();
  if (IsFleetKnown()) {
    return std::max<std::size_t>(counted, 1);
  }
  // There may be another part of the fleet that shares the budgets. It is taken to be as large as this one.
  return counted == 0 ? 0 : std::max(counted, 2 * (peers_->LivePeers().size() + 1));
}

void Gateway::MeasureLoad() {
  const TimePoint now = loop_.Now();
  const double seconds = std::chrono::duration<double>(now - load_measured_at_).count();
  if (now - load_measured_at_ < kLoadInterval) {
    return;
  }
  constexpr double kSmoothing = 0.4;
  const double rate = static_cast<double>(request_context_.parts_sent - parts_sent_at_measurement_) / seconds;
  load_parts_per_s_ += kSmoothing * (rate - load_parts_per_s_);
  reported_load_parts_per_s_ = QuantizeLoad(load_parts_per_s_, reported_load_parts_per_s_);
  parts_sent_at_measurement_ = request_context_.parts_sent;
  load_measured_at_ = now;
}

const std::vector<std::string>& Gateway::DirectoryAddresses() {
  // The selection is cached, because callers ask often and ranking the daemons of a large cell takes milliseconds.
  const DirectoryCacheKey key{.live_peers_version = peers_->LivePeersVersion(),
                              .load_parts_per_s = reported_load_parts_per_s_,
                              .ready = ready()};
  if (key == directory_cache_key_) {
    return directory_addresses_;
  }
  directory_cache_key_ = key;
  std::vector<EntryCandidate> candidates;
  if (ready()) {
    candidates.push_back({.address = settings_.caller_address,
                          .failure_domain = settings_.failure_domain,
                          .capacity_millicores = settings_.capacity_millicores,
                          .load_parts_per_s = reported_load_parts_per_s_});
  }
  for (const auto& member : peers_->LivePeers()) {
    if (member.ready()) {
      candidates.push_back({.address = member.caller_address(),
                            .failure_domain = member.failure_domain(),
                            .capacity_millicores = member.capacity_millicores(),
                            .load_parts_per_s = member.load_parts_per_s()});
    }
  }
  directory_addresses_ = SelectEntries(candidates, settings_.entry_selection);
  return directory_addresses_;
}

void Gateway::ScheduleAnnouncement() {
  if (announce_timer_ == 0) {
    // Delayed until the running batch has been applied, so that one heartbeat announces several changes.
    announce_timer_ = loop_.CallAfter(kAnnounceDelay, [this] {
      announce_timer_ = 0;
      peers_->Announce();
    });
  }
}

void Gateway::OnCrashReportsChanged() {
  ScheduleAnnouncement();
  LogRefusedRequests();
}

void Gateway::LogRefusedRequests() {
  const std::size_t count = crashes_.RefusedCount(loop_.Now());
  if (count != std::exchange(logged_refused_requests_, count)) {
    LogWarn("requests refused for crashes", {{"requests", std::to_string(count)}});
  }
}

bool Gateway::IsStoreAvailable() const {
  return std::none_of(feeds_.begin(), feeds_.end(), [](const auto& feed) { return feed->store_unavailable(); });
}

// In each failure domain, the ready daemon with the lowest peer address among those that reach the store watches it.
// The lowest of all these uses short watches, which verify that no change was missed. Other daemons fetch changes
// from peers.
void Gateway::ChooseFeedSource() {
  bool lowest_in_domain = true;
  bool lowest_in_cell = true;
  for (const auto& member : peers_->LivePeers()) {
    if (member.ready() && member.store_answers() && member.peer_address() < settings_.peer_address) {
      lowest_in_cell = false;
      lowest_in_domain = lowest_in_domain && member.failure_domain() != settings_.failure_domain;
    }
  }
  const Duration running = loop_.Now() - started_at_;
  for (const auto& feed : feeds_) {
    RecordFeed::Source source = RecordFeed::Source::kPeers;
    if (!feed->loaded()) {
      // A starting daemon takes the records from a peer, and lists the store itself if it doesn't get them in time.
      source = running >= (lowest_in_domain ? kSeedAnswerWait : kFollowerSeedAnswerWait)
                   ? RecordFeed::Source::kLongWatch
                   : source;
    } else if (lowest_in_domain) {
      source = lowest_in_cell ? RecordFeed::Source::kShortWatch : RecordFeed::Source::kLongWatch;
    }
    feed->SetSource(source);
  }
}

void Gateway::OnRoutingRecord(const StoredRecord& record) {
  if (record.name != codec_.RoutingRecordName()) {
    return;
  }
  try {
    RoutingTableSpec spec = codec_.ParseRoutingTable(record.payload);
    const std::uint64_t era = feed(RecordKind::kRouting).era();
    if (routing_table_ != nullptr) {
      // A restored store may have lost a version, and the operator may give its number to another table.
      const bool reissued = spec.version == routing_table_->version() && era > routing_table_era_ &&
                            record.revision > 0 && spec != routing_table_->spec();
      if (spec.version <= routing_table_->version() && !reissued) {
        return;
      }
    }
    routing_table_era_ = era;
    routing_table_ = std::make_shared<RoutingTable>(std::move(spec));
    routing_table_since_ = loop_.Now();
    upstreams_.ApplyServices(routing_table_->spec().services);
    usage_.SetCustomers(routing_table_->spec().customers);
    const CallerLimits& limits = routing_table_->limits();
    caller_server_->SetLimits({.head_bytes = limits.head_bytes, .body_bytes = limits.body_bytes}, limits.head_timeout,
                              limits.idle_timeout);
    LogRoutingTable();
  } catch (const FormatError& error) {
    metrics_.Count("pimentomoor_routing_malformed_total");
    LogError("routing table malformed", {{"error", error.what()}});
  }
}

void Gateway::LogRoutingTable() const {
  const RoutingTableSpec& spec = routing_table_->spec();
  LogInfo("routing table in force", {{"version", std::to_string(spec.version)},
                                     {"routes", std::to_string(spec.routes.size())},
                                     {"customers", std::to_string(spec.customers.size())}});
  if (spec.unusable_customers > 0 || routing_table_->repeated_keys() > 0) {
    LogWarn("customers partly unusable", {{"version", std::to_string(spec.version)},
                                          {"left_out", std::to_string(spec.unusable_customers)},
                                          {"repeated_keys", std::to_string(routing_table_->repeated_keys())}});
  }
}

void Gateway::OnUpstreamRecord(const StoredRecord& record) {
  auto entry = codec_.ParseUpstream(record);
  if (!entry) {
    metrics_.Count("pimentomoor_upstream_entries_unusable_total");
    if (unusable_entries_.insert(record.name).second) {
      LogWarn("upstream entry unusable", {{"name", record.name}, {"bytes", std::to_string(record.payload.size())}});
    }
    RemoveUpstreamLater(record.name);
    return;
  }
  unusable_entries_.erase(record.name);
  if (const auto removal = removal_timers_.find(record.name); removal != removal_timers_.end()) {
    loop_.Cancel(removal->second);
    removal_timers_.erase(removal);
  }
  const std::string service = entry->service;
  const std::string version = entry->version;
  upstreams_.Announce(std::move(*entry));
  if (rollouts_ != nullptr) {
    rollouts_->OnUpstream(service, version, ready());
  }
}

void Gateway::OnUpstreamDeleted(const std::string& name) {
  unusable_entries_.erase(name);
  RemoveUpstreamLater(name);
}

void Gateway::RemoveUpstreamLater(const std::string& name) {
  if (removal_timers_.contains(name)) {
    return;
  }
  upstreams_.MarkEntryMissing(name);
  removal_timers_[name] = loop_.CallAfter(kUpstreamRemovalDelay, [this, name] {
    removal_timers_.erase(name);
    upstreams_.Withdraw(name);
  });
}

void Gateway::OnOutagesChanged() {
  upstreams_.SetOutages(feed(RecordKind::kOutages).NamesInForce());
  ScheduleAnnouncement();
}

void Gateway::HandleCaller(const std::shared_ptr<CallerExchange>& exchange) {
  const RequestMessage& request = exchange->request;
  if (routing_table_ == nullptr || !AreUpstreamsKnown()) {
    metrics_.Count("pimentomoor_run_refused_total", 1, "reason=\"no routing table\"");
    exchange->Respond({.status = 503, .fields = "Retry-After: 0.2\r\n"});
    tracer_.OnRequestEnd(*exchange, {}, {.route = "-", .outcome = "outcome=\"no routing table\"", .status = 503},
                         loop_.Now());
    return;
  }
  const RouteSpec* route = routing_table_->Find(request.host, request.path());
  if (route == nullptr) {
    metrics_.Count("pimentomoor_run_unrouted_total");
    exchange->Respond({.status = 404});
    return;
  }
  if (request.request_id.empty()) {
    metrics_.Count("pimentomoor_run_refused_total", 1, "reason=\"no request id\"");
    exchange->Respond({.status = 400});
    return;
  }
  const AccessDecision access = DecideAccess(*routing_table_, *route, request.FindKey());
  if (access.refusal != nullptr) {
    RefuseAccess(*exchange, *route, access.refusal);
    return;
  }
  AdmitRequest(exchange, *route, access.owner);
}

void Gateway::RefuseAccess(CallerExchange& exchange, const RouteSpec& route, const char* reason) {
  metrics_.Count("pimentomoor_run_refused_total", 1, std::string("reason=\"") + reason + "\"");
  exchange.Respond({.status = 401, .fields = "WWW-Authenticate: " + codec_.field_names().api_key + "\r\n"});
  tracer_.OnRequestEnd(exchange, {}, {.route = route.name, .outcome = "outcome=\"unauthorized\"", .status = 401},
                       loop_.Now());
}

void Gateway::HandleReady(const std::shared_ptr<CallerExchange>& exchange) {
  exchange->Respond({.status = !codec_.IsReadinessRequest(exchange->request) ? 404 : ready() ? 200 : 503});
}

void Gateway::HandleDirectory(const std::shared_ptr<CallerExchange>& exchange) {
  if (!codec_.IsResolveRequest(exchange->request)) {
    exchange->Respond({.status = 404});
    return;
  }
  const std::vector<std::string>& addresses = DirectoryAddresses();
  if (addresses.empty()) {
    exchange->Respond({.status = 503, .fields = "Retry-After: 0.2\r\n"});
    return;
  }
  exchange->Respond({.fields = "Content-Type: application/json\r\n",
                     .body = codec_.FormatAddresses(addresses, settings_.entry_ttl)});
}

void Gateway::HandlePeer(const std::shared_ptr<CallerExchange>& exchange) {
  const std::string& target = exchange->request.target;
  if (target == "/metrics") {
    exchange->Respond({.fields = "Content-Type: text/plain; version=0.0.4\r\n", .body = metrics_.Render()});
    return;
  }
  if (HandleInspection(*exchange)) {
    return;
  }
  if (HandleRecords(*exchange)) {
    return;
  }
  exchange->Respond({.status = 404});
}

void Gateway::FillSelf(proto::GatewayMember& self) const {
  self.set_host(settings_.host);
  self.set_incarnation(incarnation_);
  self.set_failure_domain(settings_.failure_domain);
  self.set_caller_address(settings_.caller_address);
  self.set_peer_address(settings_.peer_address);
  self.set_ready(ready());
  self.set_store_answers(IsStoreAvailable());
  self.set_capacity_millicores(settings_.capacity_millicores);
  self.set_load_parts_per_s(reported_load_parts_per_s_);
  self.set_fleet_known(HasSeeds() && registry_ != nullptr && registry_->fleet_known());
}

void Gateway::FillHeartbeat(proto::GatewayHeartbeat& heartbeat) const {
  FillSelf(*heartbeat.mutable_sender());
  for (const auto& entry : crashes_.Entries(loop_.Now())) {
    auto* report = heartbeat.add_crashes();
    report->set_fingerprint(entry.fingerprint);
    report->set_reporter(entry.reporter);
    report->set_crashes(entry.crashes);
    report->set_refusal(entry.refusal);
    report->set_withdrawn(entry.withdrawn);
    report->set_sightings(entry.sightings);
    report->set_age_s(static_cast<std::uint32_t>(entry.age / std::chrono::seconds(1)));
    report->set_crash_age_ms(static_cast<std::uint32_t>(
        std::clamp(entry.incident_age, Duration::zero(), kMaxCrashAge) / std::chrono::milliseconds(1)));
  }
  ListLeaving(*heartbeat.mutable_leaving());
  if (rollouts_ != nullptr) {
    rollouts_->FillHeartbeat(heartbeat);
  }
  FillRecordPositions(heartbeat);
}

void Gateway::OnHeartbeat(const proto::GatewayHeartbeat& heartbeat) {
  for (const auto& report : heartbeat.crashes()) {
    crashes_.Merge(
        {.fingerprint = report.fingerprint(),
         .reporter = report.reporter(),
         .crashes = report.crashes(),
         .refusal = report.refusal(),
         .withdrawn = report.withdrawn(),
         .sightings = report.sightings(),
         .age = std::chrono::seconds(report.age_s()),
         .incident_age = std::min<Duration>(std::chrono::milliseconds(report.crash_age_ms()), kMaxCrashAge)},
        loop_.Now());
  }
  if (heartbeat.crashes_size() > 0) {
    LogRefusedRequests();
  }
  MergeLeaving(heartbeat.leaving());
  if (rollouts_ != nullptr) {
    rollouts_->OnHeartbeat(heartbeat);
  }
  NoteRecordPositions(heartbeat);
}

void Gateway::ApplySettings(const GatewaySettings& settings) {
  GatewaySettings changeable = settings_;
  changeable.requests = settings.requests;
  changeable.entry_ttl = settings.entry_ttl;
  changeable.drain_timeout = settings.drain_timeout;
  changeable.seed_peers = settings.seed_peers;
  changeable.drain_time = settings.drain_time;
  changeable.retry = settings.retry;
  changeable.cold_upstreams = settings.cold_upstreams;
  changeable.usage_caps = settings.usage_caps;
  if (settings_.rollouts && settings.rollouts) {
    changeable.rollouts = settings.rollouts;
  }
  changeable.pace = settings.pace;
  changeable.callers = settings.callers;
  changeable.log_level = settings.log_level;
  if (changeable != settings) {
    LogWarn("settings changed that need a restart", {{"host", settings_.host}});
  }
  settings_ = changeable;
  request_context_.settings = settings_.requests;
  peers_->SetSeeds(settings_.seed_peers);
  upstreams_.SetBudgets(settings_.retry, settings_.cold_upstreams);
  upstreams_.SetDrainTime(settings_.drain_time);
  usage_.SetSettings(settings_.usage_caps);
  if (rollouts_ != nullptr) {
    rollouts_->SetSettings(*settings_.rollouts);
  }
  upstreams_.context().pace = settings_.pace;
  caller_budget_.SetLimit(settings_.callers.memory_bytes);
  ApplyConnectionLimits();
  LogInfo("settings applied", {{"host", settings_.host}, {"log_level", settings_.log_level}});
  SetLogLevel(settings_.log_level);
}

}  // namespace pimentomoor
