// Implementation of the gateway: state from the store, and the listeners.
#include "pimentomoor/gateway.h"

#include <algorithm>
#include <set>
#include <sstream>

#include "pimentomoor/json_text.h"
#include "pimentomoor/log.h"
#include "pimentomoor/random.h"

namespace pimentomoor {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(25);
// An entry that expired while the store was away is back within two seconds of its return.
constexpr Duration kRemovalDelay = std::chrono::milliseconds(2'200);
constexpr Duration kFailingBeforeRelay = std::chrono::milliseconds(600);
// The daemon's own watch usually tells the same change within this time.
constexpr Duration kNewsDelay = std::chrono::milliseconds(250);
constexpr Duration kRelayTimeout = std::chrono::milliseconds(1'000);
constexpr std::size_t kMaxSmallBody = 4'096;

std::string KeyOf(RecordKind kind) { return std::to_string(static_cast<int>(kind)); }

}  // namespace

Gateway::Gateway(EventLoop& loop, GatewaySettings settings, const PlatformCodec& codec)
    : loop_(loop),
      settings_(std::move(settings)),
      codec_(codec),
      incarnation_(RandomId()),
      upstreams_({.loop = loop,
                  .metrics = metrics_,
                  .names = codec.field_names(),
                  .failure_domain = settings_.failure_domain},
                 settings_.retry, settings_.cold),
      runs_{.loop = loop,
            .metrics = metrics_,
            .names = codec.field_names(),
            .upstreams = upstreams_,
            .settings = settings_.run} {
  BuildFeeds();
  const auto serve = [this](const std::string& address, std::size_t body_bytes,
                            void (Gateway::*handler)(const std::shared_ptr<CallerExchange>&)) {
    return std::make_unique<CallerServer>(
        loop_, metrics_, codec_.field_names(),
        CallerServerOptions{.address = address, .limits = {.body_bytes = body_bytes}},
        [this, handler](const std::shared_ptr<CallerExchange>& exchange) { (this->*handler)(exchange); });
  };
  caller_server_ = serve(settings_.caller_address, MessageLimits().body_bytes, &Gateway::HandleCaller);
  ready_server_ = serve(settings_.ready_address, kMaxSmallBody, &Gateway::HandleReady);
  directory_server_ = serve(settings_.directory_address, kMaxSmallBody, &Gateway::HandleDirectory);
  peer_server_ = serve(settings_.peer_address, kMaxSmallBody, &Gateway::HandlePeer);
  peers_ = std::make_unique<GatewayPeers>(
      loop_, metrics_,
      GatewayPeersOptions{.peer_address = settings_.peer_address, .seed_peers = settings_.seed_peers},
      [this](proto::GatewayHeartbeat& heartbeat) { Describe(heartbeat); },
      [this](const proto::GatewayHeartbeat& heartbeat) { OnHeartbeat(heartbeat); });
}

Gateway::~Gateway() {
  loop_.Cancel(tick_timer_);
  loop_.Cancel(stop_timer_);
  for (const auto& [id, timer] : removals_) {
    loop_.Cancel(timer);
  }
}

void Gateway::BuildFeeds() {
  const auto build = [this](RecordKind kind, RecordFeed::Handlers handlers) {
    feeds_[static_cast<std::size_t>(kind)] =
        std::make_unique<RecordFeed>(loop_, metrics_, codec_, kind, settings_.store_address, std::move(handlers));
  };
  build(RecordKind::kRouting, {.on_put = [this](const StoredRecord& record) { OnRoutingRecord(record); },
                               .on_delete = [](const std::string&) {},  // the table in force stays
                               .on_batch = [this] { peers_->Announce(); }});
  build(RecordKind::kUpstreams, {.on_put = [this](const StoredRecord& record) { OnUpstreamRecord(record); },
                                 .on_delete = [this](const std::string& name) { OnUpstreamDeleted(name); },
                                 .on_batch = [this] { peers_->Announce(); }});
  build(RecordKind::kOutages, {.on_put = [](const StoredRecord&) {},
                               .on_delete = [](const std::string&) {},
                               .on_batch = [this] { OnOutagesChanged(); }});
}

void Gateway::Start() {
  for (const auto& feed : feeds_) {
    feed->Start();
  }
  Tick();
  LogInfo("gateway started", {{"host", settings_.host}, {"callers", settings_.caller_address}});
}

bool Gateway::ready() const { return table_ != nullptr && feed(RecordKind::kUpstreams).loaded() && !stopped_; }

void Gateway::Tick() {
  upstreams_.SetDaemons(peers_->CountForBudgets());
  upstreams_.Sweep();
  CatchUp();
  for (const auto& feed : feeds_) {
    feed->SetVerifying(IsVerifier());
  }
  tick_timer_ = loop_.CallAfter(kTickInterval, [this] { Tick(); });
}

void Gateway::OnRoutingRecord(const StoredRecord& record) {
  if (record.name != codec_.RoutingName()) {
    return;
  }
  try {
    RoutingTableSpec spec = codec_.ParseRouting(record.payload);
    if (table_ != nullptr && spec.version <= table_->version()) {
      return;
    }
    table_ = std::make_shared<RoutingTable>(std::move(spec));
    upstreams_.ApplyServices(table_->spec().services);
    const CallerLimits& limits = table_->limits();
    caller_server_->SetLimits({.head_bytes = limits.head_bytes, .body_bytes = limits.body_bytes}, limits.head_timeout,
                              limits.idle_timeout);
    LogInfo("routing table in force", {{"version", std::to_string(table_->version())},
                                       {"routes", std::to_string(table_->spec().routes.size())}});
  } catch (const FormatError& error) {
    metrics_.Count("pimentomoor_routing_malformed_total");
    LogError("routing table malformed", {{"error", error.what()}});
  }
}

void Gateway::OnUpstreamRecord(const StoredRecord& record) {
  auto entry = codec_.ParseUpstream(record);
  if (!entry) {
    metrics_.Count("pimentomoor_upstream_entries_unusable_total");
    OnUpstreamDeleted(record.name);
    return;
  }
  if (const auto removal = removals_.find(record.name); removal != removals_.end()) {
    loop_.Cancel(removal->second);
    removals_.erase(removal);
  }
  upstreams_.Announce(std::move(*entry));
}

void Gateway::OnUpstreamDeleted(const std::string& name) {
  if (removals_.contains(name)) {
    return;
  }
  upstreams_.SetDoubtful(name);
  removals_[name] = loop_.CallAfter(kRemovalDelay, [this, name] {
    removals_.erase(name);
    upstreams_.Withdraw(name);
  });
}

void Gateway::OnOutagesChanged() {
  std::set<std::string> failure_domains;
  for (const auto& [name, record] : feed(RecordKind::kOutages).records()) {
    failure_domains.insert(name);
  }
  upstreams_.SetOutages(std::move(failure_domains));
  peers_->Announce();
}

void Gateway::HandleCaller(const std::shared_ptr<CallerExchange>& exchange) {
  const RequestMessage& request = exchange->request;
  if (table_ == nullptr || !feed(RecordKind::kUpstreams).loaded()) {
    metrics_.Count("pimentomoor_run_refused_total", 1, "reason=\"no routing table\"");
    exchange->Respond({.status = 503, .fields = "Retry-After: 0.2\r\n"});
    return;
  }
  const RouteSpec* route = table_->Find(request.host, request.path());
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
  const auto run = std::make_shared<RequestRun>(runs_, exchange, table_, *route);
  run->Start();
}

void Gateway::HandleReady(const std::shared_ptr<CallerExchange>& exchange) {
  exchange->Respond({.status = !codec_.IsReady(exchange->request) ? 404 : ready() ? 200 : 503});
}

void Gateway::HandleDirectory(const std::shared_ptr<CallerExchange>& exchange) {
  if (!codec_.IsResolve(exchange->request)) {
    exchange->Respond({.status = 404});
    return;
  }
  std::vector<std::string> addresses;
  if (ready()) {
    addresses.push_back(settings_.caller_address);
  }
  for (const auto* peer : peers_->Alive()) {
    if (peer->heartbeat.ready()) {
      addresses.push_back(peer->heartbeat.caller_address());
    }
  }
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
  if (target == "/status") {
    exchange->Respond({.fields = "Content-Type: application/json\r\n", .body = RenderStatus()});
    return;
  }
  for (const auto& feed : feeds_) {
    if (target == "/records/" + KeyOf(feed->kind())) {
      proto::GatewayRecords records;
      records.set_revision(feed->revision());
      for (const auto& [name, record] : feed->records()) {
        auto* copy = records.add_records();
        copy->set_name(name);
        copy->set_revision(record.revision);
        copy->set_payload(record.payload);
      }
      exchange->Respond({.body = records.SerializeAsString()});
      return;
    }
  }
  exchange->Respond({.status = 404});
}

std::string Gateway::RenderStatus() const {
  std::ostringstream out;
  out << "{\"host\":" << JsonQuote(settings_.host) << ",\"ready\":" << (ready() ? "true" : "false")
      << ",\"routing_version\":" << (table_ == nullptr ? 0 : table_->version())
      << ",\"daemons_alive\":" << 1 + peers_->Alive().size() << ",\"daemons_counted\":" << upstreams_.daemons()
      << ",\"upstreams\":" << upstreams_.announced() << ",\"store\":{";
  for (const auto& feed : feeds_) {
    out << (feed->kind() == RecordKind::kRouting ? "" : ",") << JsonQuote(ToString(feed->kind()))
        << ":{\"revision\":" << feed->revision()
        << ",\"answers\":" << (feed->failing_since() == TimePoint::max() ? "true" : "false") << "}";
  }
  out << "},\"running_requests\":" << caller_server_->running_requests() << "}\n";
  return out.str();
}

void Gateway::Describe(proto::GatewayHeartbeat& heartbeat) const {
  heartbeat.set_host(settings_.host);
  heartbeat.set_incarnation(incarnation_);
  heartbeat.set_failure_domain(settings_.failure_domain);
  heartbeat.set_caller_address(settings_.caller_address);
  heartbeat.set_ready(ready());
  heartbeat.set_routing_version(table_ == nullptr ? 0 : table_->version());
  heartbeat.set_store_answers(std::all_of(feeds_.begin(), feeds_.end(), [](const auto& feed) {
    return feed->failing_since() == TimePoint::max();
  }));
  for (const auto& feed : feeds_) {
    heartbeat.add_revisions(feed->content_revision());
  }
}

void Gateway::OnHeartbeat(const proto::GatewayHeartbeat& heartbeat) {
  for (const auto& feed : feeds_) {
    const auto index = static_cast<std::size_t>(feed->kind());
    if (static_cast<int>(index) >= heartbeat.revisions_size()) {
      continue;
    }
    PeerNews& news = news_[index];
    const std::uint64_t revision = heartbeat.revisions(static_cast<int>(index));
    if (revision > std::max(feed->content_revision(), news.content_revision)) {
      news = {.content_revision = revision, .peer_address = heartbeat.peer_address(), .since = loop_.Now()};
    }
  }
}

void Gateway::CatchUp() {
  for (const auto& feed : feeds_) {
    PeerNews& news = news_[static_cast<std::size_t>(feed->kind())];
    if (news.content_revision <= feed->content_revision()) {
      news = {};
    } else if (feed->failing_since() != TimePoint::max()) {
      if (loop_.Now() - feed->failing_since() >= kFailingBeforeRelay) {
        FetchFromPeer(news.peer_address, *feed);
      }
    } else if (loop_.Now() - news.since >= kNewsDelay) {
      feed->Recheck(news.content_revision);
    }
  }
}

// The daemon of lowest address among those that are alive; every one that hears no lower one verifies for itself.
bool Gateway::IsVerifier() const {
  const auto alive = peers_->Alive();
  return std::none_of(alive.begin(), alive.end(), [this](const GatewayPeers::Peer* peer) {
    return peer->heartbeat.ready() && peer->heartbeat.store_answers() &&
           peer->heartbeat.peer_address() < settings_.peer_address;
  });
}

void Gateway::FetchFromPeer(const std::string& address, RecordFeed& feed) {
  if (peer_client_ != nullptr) {
    return;  // one fetch at a time; the next heartbeat starts another
  }
  peer_client_ = std::make_unique<KeptHttpClient>(loop_, codec_.field_names(), address);
  peer_client_->Get(
      "/records/" + KeyOf(feed.kind()), kRelayTimeout, [this, &feed](const std::optional<ResponseMessage>& response) {
        peer_client_.reset();
        proto::GatewayRecords records;
        if (!response || response->status != 200 || !records.ParseFromString(response->body)) {
          return;
        }
        std::vector<StoredRecord> copies;
        for (const auto& record : records.records()) {
          copies.push_back({.name = record.name(), .revision = record.revision(), .payload = record.payload()});
        }
        feed.Adopt(std::move(copies), records.revision());
      });
}

void Gateway::ApplySettings(const GatewaySettings& settings) {
  GatewaySettings changeable = settings_;
  changeable.run = settings.run;
  changeable.entry_ttl = settings.entry_ttl;
  changeable.drain_timeout = settings.drain_timeout;
  changeable.seed_peers = settings.seed_peers;
  changeable.retry = settings.retry;
  changeable.cold = settings.cold;
  changeable.log_level = settings.log_level;
  if (changeable != settings) {
    LogWarn("settings changed that need a restart", {{"host", settings_.host}});
  }
  settings_ = changeable;
  runs_.settings = settings_.run;
  upstreams_.SetBudgets(settings_.retry, settings_.cold);
  LogInfo("settings applied", {{"host", settings_.host}});
}

}  // namespace pimentomoor
