// Implementation of the daemon: construction, routing of peer messages, and changes of the configuration and the host
// list.
#include "pimentomoor/daemon.h"

#include <algorithm>

#include "pimentomoor/log.h"
#include "pimentomoor/ownership.h"
#include "pimentomoor/random.h"
#include "pimentomoor/rendezvous.h"

namespace pimentomoor {

namespace {

proto::Daemon DescribeSelf(const Settings& settings, const std::string& http_address,
                           const std::string& peer_address) {
  proto::Daemon self;
  self.set_host(settings.host);
  self.set_peer_address(peer_address);
  self.set_http_address(http_address);
  self.set_failure_domain(settings.failure_domain);
  self.set_incarnation(RandomId() | 1);  // never 0
  if (settings.cell != kDefaultCell) {
    self.set_cell(settings.cell);
  }
  return self;
}

HttpServerOptions ServerOptions(const Settings& settings) {
  const std::size_t colon = settings.http_address.rfind(':');
  return {.address = settings.http_address.substr(0, colon),
          .port = static_cast<std::uint16_t>(std::stoul(settings.http_address.substr(colon + 1)))};
}

}  // namespace

Daemon::Daemon(EventLoop& loop, Settings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      config_(settings_.cell),
      upstream_http_(loop),
      platform_http_(loop),
      server_(loop, ServerOptions(settings_)),
      transport_(loop, {.listen_address = settings_.peer_address, .added_send_delay = settings_.added_peer_delay}),
      platform_(loop, platform_http_, {.endpoints = settings_.platform_endpoints, .metrics = &metrics_}) {
  FleetOptions options{.self = DescribeSelf(settings_, server_.address(), transport_.address()),
                       .deployment = settings_.deployment,
                       .seed_peers = settings_.seed_peers};
  for (const auto key : {kPlansKey, kAccessKey, kOutagesKey, kCatalogIndexKey}) {
    options.object_keys.emplace_back(key);
  }
  fleet_ = std::make_unique<FleetTask>(
      loop_, std::move(options),
      [this](const std::string& address, const proto::Envelope& message) {
        return transport_.Send(address, message);
      },
      platform_, metrics_);
  BuildTasks();
  BuildTraceExporter();
  fleet_->SetObjectCallback([this](const PlatformObject& object) { ApplyObject(object); });
  fleet_->SetOutstandingCheck(
      [this](const std::string& upstream) { return dispatcher_->HasOutstandingRequests(upstream); });
  fleet_->SetHandoverSource([this](const std::string& upstream) { return dispatcher_->BuildHandover(upstream); });
  fleet_->SetOwnershipGainedCallback(
      [this](const proto::UpstreamHandover& handover) { dispatcher_->TakeOverUpstream(handover); });
  fleet_->SetIncarnationChangedCallback([this](const proto::Daemon&) { BuildTasks(); });
  fleet_->SetHostGoneCheck([this](const std::string& host) { return IsHostGone(host); });
  transport_.OnMessage([this](const proto::Envelope& message) { HandleMessage(message); });
  RegisterHandlers();
}

Daemon::~Daemon() = default;

void Daemon::Start() {
  fleet_->Start();
  BuildHostListTask();
  health_reader_ = std::make_unique<HealthReader>(
      loop_, upstream_http_, HealthReaderOptions{},
      HealthReaderHooks{.draining_upstreams = [this] { return dispatcher_->DrainingUpstreams(); },
                        .report_incarnation =
                            [this](const std::string& upstream, std::uint64_t incarnation) {
                              dispatcher_->ApplyIncarnationHint(upstream, incarnation);
                            }});
  CheckOwnOutage();
  LogInfo("started", {{"host", settings_.host},
                      {"http", server_.address()},
                      {"peers", transport_.address()},
                      {"failure_domain", settings_.failure_domain}});
}

bool Daemon::SendTo(const proto::Daemon& peer, proto::Envelope message) {
  *message.mutable_from() = fleet_->self();
  message.set_to_incarnation(peer.incarnation());
  if (peer.incarnation() == fleet_->self().incarnation()) {
    loop_.Post([this, message = std::move(message)] { HandleMessage(message); });
    return true;
  }
  return transport_.Send(peer.peer_address(), message);
}

void Daemon::HandleMessage(const proto::Envelope& message) {
  const std::uint64_t incarnation = fleet_->self().incarnation();
  if (CellNameOrDefault(message.from().cell()) != settings_.cell) {
    metrics_.Count("pimentomoor_peer_other_cell_messages_total");
    return;
  }
  if (message.to_incarnation() != 0 && message.to_incarnation() != incarnation) {
    metrics_.Count("pimentomoor_peer_stale_messages_total");
    return;
  }
  switch (message.body_case()) {
    case proto::Envelope::kSubQueries:
      dispatcher_->Submit(message.from(), message.sub_queries());
      return;
    case proto::Envelope::kCancelSubQueries:
      dispatcher_->Cancel(message.from().incarnation(), message.cancel_sub_queries());
      return;
    case proto::Envelope::kSubAnswers:
      if (message.sub_answers().entry_incarnation() != incarnation) {
        metrics_.Count("pimentomoor_peer_stale_messages_total");
      } else if ((message.sub_answers().query_id() & OperationDispatch::kOperationIdBit) != 0) {
        operation_dispatch_->HandleAnswers(message.sub_answers());
      } else {
        coordinator_->HandleAnswers(message.sub_answers());
      }
      return;
    case proto::Envelope::kHostListRequest:
    case proto::Envelope::kHostListRelay:
      if (host_list_) {
        host_list_->HandleMessage(message);
      }
      return;
    default:
      // Each of these tasks handles its own messages and ignores the rest.
      fleet_->HandleMessage(message);
      crash_guard_->HandleMessage(message);
      customer_limits_->HandleMessage(message);
      operations_->HandleMessage(message);
  }
}

const proto::Daemon* Daemon::UsableOwner(const std::string& upstream, const std::string& failure_domain) const {
  if (IsInOutage(config_.outages(), upstream, failure_domain) || leaving_upstreams_.contains(upstream)) {
    return nullptr;
  }
  const proto::Daemon* owner = fleet_->OwnerOf(upstream);
  if (owner == nullptr) {
    return nullptr;
  }
  // A daemon that has left the view receives no heartbeats. While it drains, it takes all owners in its last view as
  // live.
  const bool live = stopping_ || own_outage_ || fleet_->IsLive(owner->host());
  return live ? owner : nullptr;
}

std::optional<proto::Daemon> Daemon::HighestRankedMember(const std::string& key) const {
  return FirstByRendezvous(key, fleet_->LiveMembers());
}

std::optional<proto::Daemon> Daemon::ChooseWitness() const {
  std::vector<proto::Daemon> other_domain;
  std::vector<proto::Daemon> same_domain;
  for (const auto& member : fleet_->LiveMembers()) {
    if (member.host() != settings_.host) {
      (member.failure_domain() == settings_.failure_domain ? same_domain : other_domain).push_back(member);
    }
  }
  const auto& candidates = other_domain.empty() ? same_domain : other_domain;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[RandomId() % candidates.size()];
}

void Daemon::ApplyObject(const PlatformObject& object) {
  const std::size_t catalogs_before = config_.catalogs().size();
  const std::string error = config_.Apply(object);
  if (!error.empty()) {
    LogError("object_refused", {{"key", object.key}, {"version", std::to_string(object.version)}, {"error", error}});
    metrics_.Count("pimentomoor_config_refused_total");
    return;
  }
  LogInfo("object_in_force", {{"key", object.key}, {"version", std::to_string(object.version)}});
  if (object.key == kCatalogIndexKey) {
    ApplyCatalogIndex(config_.catalogs().size() != catalogs_before);
  } else if (object.key.starts_with(kCatalogPrefix)) {
    ApplyCatalog(object.key.substr(kCatalogPrefix.size()));
  }
}

// `catalogs_dropped` means that the new index assigns services of this cell to another one. When a service returns to
// this cell, its catalog object has already been adopted and ApplyObject is not called for it again, so the catalog
// is applied here.
void Daemon::ApplyCatalogIndex(bool catalogs_dropped) {
  for (const std::string& service : config_.ServicesOfOwnCell()) {
    const std::string key = std::string(kCatalogPrefix) + service;
    const PlatformObject* known_object = fleet_->FindObject(key);
    if (known_object != nullptr && config_.catalog(service) == nullptr && config_.Apply(*known_object).empty()) {
      ApplyCatalog(service);
    }
    fleet_->WatchObject(key);
  }
  for (const std::string& cell : config_.OtherCells()) {
    fleet_->WatchObject(ViewKey(cell));
  }
  if (catalogs_dropped) {
    SchedulePlacements();
  }
}

void Daemon::ApplyCatalog(const std::string& service) {
  const auto catalog = config_.catalog(service);
  if (catalog == nullptr) {
    return;  // another cell serves this service
  }
  dispatcher_->ConfigureUpstreams(catalog->upstreams);
  SchedulePlacements();
  if (host_list_ && host_list_->list()) {
    // The host list changes rarely and may have arrived before this catalog.
    ApplyHostListToUpstreams(*host_list_->list(), catalog->upstreams);
  }
}

// Defers the rebuild of the placements of all services to one rebuild per turn of the event loop, because many
// catalogs arrive at once at the start.
void Daemon::SchedulePlacements() {
  fleet_->DeferPlacements([this] { return BuildPlacements(); });
  if (!placement_flush_posted_) {
    placement_flush_posted_ = true;
    loop_.Post([this] {
      placement_flush_posted_ = false;
      fleet_->FlushPlacements();
    });
  }
}

std::vector<UpstreamPlacement> Daemon::BuildPlacements() const {
  std::vector<UpstreamPlacement> placements;
  for (const auto& [service, catalog] : config_.catalogs()) {
    std::uint32_t replica = 0;
    for (const auto& upstream : catalog->upstreams) {
      placements.push_back({.upstream = upstream.address,
                            .failure_domain = upstream.failure_domain,
                            .group = service,
                            .replica = replica++});
    }
  }
  return placements;
}

void Daemon::OnHostListChanged(const HostList& host_list) {
  leaving_upstreams_.clear();
  for (const auto& listed : host_list.hosts) {
    ever_listed_addresses_.insert(listed.address);
  }
  for (const auto& [service, catalog] : config_.catalogs()) {
    ApplyHostListToUpstreams(host_list, catalog->upstreams);
  }
}

void Daemon::ApplyHostListToUpstreams(const HostList& host_list, const std::vector<CatalogUpstream>& upstreams) {
  for (const auto& upstream : upstreams) {
    const HostPresence presence = FindHostPresence(host_list, ever_listed_addresses_, upstream.address);
    const bool leaving = presence == HostPresence::kLeaving;
    dispatcher_->ApplyHostListEntry(upstream.address, presence != HostPresence::kNoLongerListed, leaving);
    if (leaving) {
      leaving_upstreams_.insert(upstream.address);
    }
  }
}

// A member counts as gone when an earlier host list showed its HTTP address and the current one does not. A host list
// that never shows daemons confirms no failure.
bool Daemon::IsHostGone(const std::string& host) const {
  if (!host_list_ || !host_list_->list()) {
    return false;
  }
  const auto no_longer_listed = [&](const proto::Daemon& member) {
    return member.host() == host && FindHostPresence(*host_list_->list(), ever_listed_addresses_,
                                                     member.http_address()) == HostPresence::kNoLongerListed;
  };
  const auto& view = fleet_->view();
  return std::any_of(view.members().begin(), view.members().end(), no_longer_listed) ||
         std::any_of(view.previous_members().begin(), view.previous_members().end(), no_longer_listed);
}

}  // namespace pimentomoor
