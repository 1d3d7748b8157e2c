// Implementation of the set of known upstreams.
#include "pimentomoor/upstream_set.h"

#include <algorithm>
#include <utility>

#include "pimentomoor/log.h"
#include "pimentomoor/upstream_subset.h"

namespace pimentomoor {

namespace {

// Time after the start of a daemon during which it sends nothing to rate-limited cold upstreams while it doesn't know
// the number of daemons. The limits must hold for daemons that have run for 4 s, and by then a daemon with a working
// network has heard of the others.
constexpr Duration kDaemonDiscoveryTime = std::chrono::seconds(4);

// Time after the end of an outage for which the upstreams of the failure domain count as cold. They may have become
// cold shortly before, and write their entries every 1.2 s.
constexpr Duration kReturnProbation = std::chrono::seconds(2);

constexpr Duration kHoldsExpiryInterval = std::chrono::seconds(1);

constexpr Duration kProcessPauseThreshold = std::chrono::milliseconds(200);  // eight intervals of Gateway::Tick()

// Whether `entry` was written before `held`: by an earlier process of the upstream, or earlier by the same one.
bool IsOlder(const UpstreamEntry& entry, const UpstreamEntry& known) {
  return entry.start_unix_ms < known.start_unix_ms ||
         (entry.start_unix_ms == known.start_unix_ms && entry.sequence < known.sequence);
}

// Whether both entries are of the same upstream process, so that its connections and signals stay valid.
bool IsSameLifetime(const UpstreamEntry& entry, const UpstreamEntry& known) {
  return entry.start_unix_ms == known.start_unix_ms && entry.address == known.address &&
         entry.service == known.service;
}

}  // namespace

UpstreamSet::UpstreamSet(LinkContext context, RetryBudgetSettings retry, ColdUpstreamSettings cold)
    : context_(std::move(context)),
      holds_(context_.hold_settings),
      retry_settings_(retry),
      cold_settings_(cold),
      started_at_(context_.loop.Now()) {
  context_.on_notice = [this](UpstreamLink& link, const UpstreamNotice& notice) { OnNotice(link, notice); };
}

UpstreamSet::~UpstreamSet() {
  for (const auto& [id, link] : by_id_) {
    link->Close();
  }
  for (const auto& link : withdrawn_) {
    link->Close();
  }
}

ServiceState& UpstreamSet::FindOrCreateService(const std::string& name) {
  ServiceState& service = services_[name];
  if (service.name.empty()) {
    service.name = name;
    service.spec.name = name;
  }
  return service;
}

void UpstreamSet::Announce(UpstreamEntry entry) {
  const TimePoint now = context_.loop.Now();
  const auto found = by_id_.find(entry.id);
  ColdRateLimiter cold_rate_limiter;
  if (found != by_id_.end()) {
    const auto link = found->second;
    if (IsOlder(entry, link->entry())) {
      context_.metrics.Count("pimentomoor_upstream_late_entries_total");
      return;
    }
    if (IsSameLifetime(entry, link->entry())) {
      const bool starts_draining = entry.draining && !link->entry().draining;
      link->SetInOutage(outages_.contains(entry.failure_domain));
      link->Update(std::move(entry), now);
      if (starts_draining) {
        LogInfo("upstream draining", {{"upstream", link->entry().id}, {"service", link->entry().service}});
      }
      return;
    }
    // The earlier link may have sent to this process already.
    cold_rate_limiter = link->cold_rate_limiter;
    Remove(link);
  }
  ServiceState& service = FindOrCreateService(entry.service);
  const auto link = std::make_shared<UpstreamLink>(context_, std::move(entry));
  link->SetInOutage(outages_.contains(link->entry().failure_domain));
  link->SetHold(holds_.Find(link->lifetime_key()));
  link->cold_rate_limiter = cold_rate_limiter;
  by_id_[link->entry().id] = link;
  const auto position = std::find_if(service.links.begin(), service.links.end(),
                                     [&](const auto& other) { return link->entry().id < other->entry().id; });
  service.links.insert(position, link);
  AssignSenders(service);
  link->pace.usual = service.links.front()->pace.usual;
  if (link->entry().sequence <= kPaceYoungEntries || link->entry().cold_remaining > Duration::zero()) {
    link->StartPace(PaceReason::kStart);
  }
}

void UpstreamSet::Withdraw(const std::string& id) {
  const auto found = by_id_.find(id);
  if (found != by_id_.end()) {
    const auto link = found->second;
    LogInfo("upstream withdrawn", {{"upstream", id}, {"service", link->entry().service}});
    Remove(link);
  }
}

void UpstreamSet::Remove(const std::shared_ptr<UpstreamLink>& link) {
  by_id_.erase(link->entry().id);
  ServiceState& service = FindOrCreateService(link->entry().service);
  std::erase(service.links, link);
  AssignSenders(service);
  link->Retire();
  withdrawn_.push_back(link);
}

void UpstreamSet::MarkEntryMissing(const std::string& id) {
  if (const auto found = by_id_.find(id); found != by_id_.end()) {
    found->second->SetEntryMissing(true);
  }
}

void UpstreamSet::SetOutages(std::set<std::string> failure_domains) {
  if (failure_domains == outages_) {
    return;
  }
  outages_ = std::move(failure_domains);
  LogInfo("outages changed", {{"failure_domains", std::to_string(outages_.size())}});
  // All links are marked before any queue is released, so that no request moves to another upstream of the domain.
  std::vector<std::shared_ptr<UpstreamLink>> links;
  for (const auto& [id, link] : by_id_) {
    const bool in_outage = outages_.contains(link->entry().failure_domain);
    if (link->in_outage() && !in_outage) {
      link->AssumeColdUntil(context_.loop.Now() + kReturnProbation);
      link->StartPace(PaceReason::kOutageEnd);
    }
    link->SetInOutage(in_outage);
    links.push_back(link);
  }
  for (const auto& link : links) {
    link->ReleaseInadmissible();
  }
}

void UpstreamSet::ApplyServices(const std::vector<RoutedServiceSpec>& services) {
  for (const auto& spec : services) {
    ServiceState& service = FindOrCreateService(spec.name);
    if (service.spec != spec) {
      service.spec = spec;
      AssignSenders(service);
      for (const auto& link : service.links) {
        link->ReleaseInadmissible();
      }
    }
  }
}

void UpstreamSet::SetDaemons(std::size_t known_daemons, const std::string& self, std::vector<std::string> others) {
  const bool senders_known = daemon_count_ > 0;
  daemon_count_ = known_daemons;
  cold_senders_.RecordLiveDaemons(others, context_.loop.Now());
  if (others == other_addresses_ && self == self_address_ && senders_known == (daemon_count_ > 0)) {
    return;
  }
  self_address_ = self;
  other_addresses_ = std::move(others);
  for (auto& [name, service] : services_) {
    AssignSenders(service);
  }
}

void UpstreamSet::AssignSenders(ServiceState& service) {
  const auto connections = static_cast<std::size_t>(kUsableConnectionShare * service.spec.max_connections);
  const UpstreamSubset subset =
      SubsetForDaemon(service.name, self_address_, other_addresses_, service.links.size(), connections);
  for (std::size_t i = 0; i < service.links.size(); ++i) {
    UpstreamLink& link = *service.links[i];
    link.max_connections = std::max(1U, service.spec.max_connections);
    link.sender_count = subset.daemons_per_upstream;
    link.senders_known = daemon_count_ > 0;
    link.limits_cold_rate = service.spec.cold_requests_per_s > 0;
    link.cold_duration = service.spec.cold_duration;
    link.in_subset = IsInSubset(subset, i, service.links.size());
  }
}

bool UpstreamSet::MayServe(const UpstreamLink& link) const {
  return (link.usable() || link.usable_as_last_resort()) &&
         (!IsColdLimited(link) || ColdSenderCount(link.entry().id) > 0);
}

std::size_t UpstreamSet::ColdSenderCount(const std::string& upstream_id) const {
  // A daemon that has just started doesn't know the others yet, and would take the whole rate for itself.
  if (daemon_count_ == 0 && context_.loop.Now() - started_at_ < kDaemonDiscoveryTime) {
    return 0;
  }
  const std::size_t senders =
      cold_senders_.SenderCount(upstream_id, self_address_, cold_settings_.slack * cold_settings_.safety);
  return fleet_known_ ? senders : 2 * senders;
}

bool UpstreamSet::TryTakeColdToken(ServiceState& service, UpstreamLink& link) {
  if (!IsColdLimited(link)) {
    return true;
  }
  const std::size_t senders = ColdSenderCount(link.entry().id);
  if (senders == 0) {
    return false;
  }
  const double rate = service.spec.cold_requests_per_s * cold_settings_.rate_factor * cold_settings_.safety;
  return link.cold_rate_limiter.TryTake(context_.loop.Now(), rate, cold_settings_.slack * cold_settings_.safety,
                                        senders);
}

bool UpstreamSet::MayRetry(const ServiceState& service) const {
  return MaySendExtraRequest(service.retry_window, retry_settings_, daemon_count_, started_at_, context_.loop.Now());
}

void UpstreamSet::SetDrainTime(Duration drain_time) {
  context_.hold_settings.drain_time = drain_time;
  holds_.SetSettings(context_.hold_settings);
}

void UpstreamSet::OnNotice(UpstreamLink& link, const UpstreamNotice& notice) {
  const LifetimeKey key = link.lifetime_key();
  const bool starts_leaving = holds_.Record(key, notice, context_.loop.Now());
  const UpstreamHold hold = holds_.Find(key);
  link.SetHold(hold);
  // The answer may have come through a link that was withdrawn and replaced since.
  if (const auto found = by_id_.find(link.entry().id);
      found != by_id_.end() && found->second->lifetime_key() == key) {
    found->second->SetHold(hold);
  }
  if (notice.pause > Duration::zero()) {
    context_.metrics.Count("pimentomoor_upstream_pauses_total");
  }
  if (starts_leaving) {
    context_.metrics.Count("pimentomoor_upstream_leaving_total", 1, "source=\"answer\"");
    LogInfo("upstream leaving",
            {{"upstream", link.entry().id}, {"service", link.entry().service}, {"source", "answer"}});
    on_leaving_changed();
  }
}

bool UpstreamSet::MergeLeaving(const std::vector<LeavingLifetime>& reports) {
  std::set<LifetimeKey> news;
  for (const auto& report : reports) {
    if (holds_.Merge(report, context_.loop.Now())) {
      news.insert(report.key);
    }
  }
  if (news.empty()) {
    return false;
  }
  context_.metrics.Count("pimentomoor_upstream_leaving_total", news.size(), "source=\"peer\"");
  for (const auto& [id, link] : by_id_) {
    if (const LifetimeKey key = link->lifetime_key(); news.contains(key)) {
      link->SetHold(holds_.Find(key));
      LogInfo("upstream leaving", {{"upstream", id}, {"service", link->entry().service}, {"source", "peer"}});
    }
  }
  return true;
}

std::optional<TimePoint> UpstreamSet::EarliestReturn(const ServiceState& service) const {
  std::optional<TimePoint> earliest;
  for (const auto& link : service.links) {
    if (MayServe(*link)) {
      return std::nullopt;
    }
    if (const auto at = link->ReturnTime(); at && (!earliest || *at < *earliest)) {
      earliest = at;
    }
  }
  return earliest;
}

void UpstreamSet::CountRequest(ServiceState& service) {
  service.retry_window.CountRequest(context_.loop.Now(), retry_settings_.window);
}

void UpstreamSet::CountExtraRequest(ServiceState& service) {
  service.retry_window.CountExtraRequest(context_.loop.Now(), retry_settings_.window);
}

void UpstreamSet::Sweep() {
  const TimePoint now = context_.loop.Now();
  // After a pause of this process, answers that arrived during the pause must be read before their requests time out.
  // Two sweeps in a row are never skipped, so that requests time out on a slow host as well.
  const bool paused = now - std::exchange(last_sweep_at_, now) >= kProcessPauseThreshold;
  last_sweep_skipped_ = paused && !last_sweep_skipped_;
  if (last_sweep_skipped_) {
    return;
  }
  std::size_t paced_count = 0;
  // Sweeping a link may send its requests to other upstreams, but it adds and removes none, so iterators stay valid.
  for (const auto& [id, link] : by_id_) {
    link->MaintainPace(now);
    paced_count += link->pace.active ? 1 : 0;
    if (link->needs_sweep()) {
      link->Sweep(now);
    }
  }
  if (std::exchange(paced_count_, paced_count) != paced_count) {
    context_.metrics.SetGauge("pimentomoor_upstream_paced", static_cast<double>(paced_count));
  }
  for (const auto& link : withdrawn_) {
    link->Sweep(now);
  }
  if (now - holds_expired_at_ >= kHoldsExpiryInterval) {
    holds_expired_at_ = now;
    holds_.Expire(now);
  }
  std::erase_if(withdrawn_, [](const auto& link) { return !link->busy(); });
}

}  // namespace pimentomoor
