// Implementation of the set of known searchers.
#include "pimentomoor/upstream_set.h"

#include <algorithm>
#include <utility>

#include "pimentomoor/log.h"
#include "pimentomoor/upstream_subset.h"

namespace pimentomoor {

namespace {

// The bounds hold for daemons that run for 4 s; by then a daemon whose path to others works has heard of them.
constexpr Duration kUnknownDaemonsTime = std::chrono::seconds(4);

constexpr Duration kOwnPause = std::chrono::milliseconds(200);  // eight sweeps

// Whether `entry` was written before `held`: of an earlier lifetime, or earlier in the same one.
bool IsOlder(const UpstreamEntry& entry, const UpstreamEntry& held) {
  return entry.start_unix_ms < held.start_unix_ms ||
         (entry.start_unix_ms == held.start_unix_ms && entry.sequence < held.sequence);
}

// The same process, so its connections and what is known of it still hold.
bool IsSameLifetime(const UpstreamEntry& entry, const UpstreamEntry& held) {
  return entry.start_unix_ms == held.start_unix_ms && entry.address == held.address && entry.service == held.service;
}

}  // namespace

UpstreamSet::UpstreamSet(LinkContext context, RetryBudgetSettings retry, ColdUpstreamSettings cold)
    : context_(std::move(context)), retry_(retry), cold_(cold), started_(context_.loop.Now()) {}

UpstreamSet::~UpstreamSet() {
  for (const auto& [id, link] : by_id_) {
    link->Close();
  }
  for (const auto& link : leaving_) {
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
  if (found != by_id_.end()) {
    const auto link = found->second;
    if (IsOlder(entry, link->entry())) {
      context_.metrics.Count("pimentomoor_upstream_late_entries_total");
      return;
    }
    if (IsSameLifetime(entry, link->entry())) {
      const bool drains = entry.draining && !link->entry().draining;
      link->Update(std::move(entry), now);
      if (drains) {
        LogInfo("upstream draining", {{"upstream", link->entry().id}, {"service", link->entry().service}});
      }
      return;
    }
    Remove(link);
  }
  ServiceState& service = FindOrCreateService(entry.service);
  const auto link = std::make_shared<UpstreamLink>(context_, std::move(entry));
  by_id_[link->entry().id] = link;
  const auto place = std::find_if(service.links.begin(), service.links.end(),
                                  [&](const auto& other) { return link->entry().id < other->entry().id; });
  service.links.insert(place, link);
  AssignSenders(service);
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
  leaving_.push_back(link);
}

void UpstreamSet::MarkEntryMissing(const std::string& id) {
  if (const auto found = by_id_.find(id); found != by_id_.end()) {
    found->second->SetEntryMissing(true);
  }
}

void UpstreamSet::SetOutages(std::set<std::string> failure_domains) {
  if (failure_domains != outages_) {
    outages_ = std::move(failure_domains);
    LogInfo("outages changed", {{"failure_domains", std::to_string(outages_.size())}});
  }
}

void UpstreamSet::ApplyServices(const std::vector<RoutedServiceSpec>& services) {
  for (const auto& spec : services) {
    ServiceState& service = FindOrCreateService(spec.name);
    if (service.spec != spec) {
      service.spec = spec;
      AssignSenders(service);
    }
  }
}

void UpstreamSet::SetDaemons(std::size_t counted, const std::string& self, std::vector<std::string> others) {
  daemons_ = counted;
  cold_daemons_.RecordLiveDaemons(others, context_.loop.Now());
  if (others == others_ && self == self_) {
    return;
  }
  self_ = self;
  others_ = std::move(others);
  for (auto& [name, service] : services_) {
    AssignSenders(service);
  }
}

void UpstreamSet::AssignSenders(ServiceState& service) {
  const auto connections = static_cast<std::size_t>(kUsableConnectionShare * service.spec.max_connections);
  const UpstreamSubset share = SubsetForDaemon(service.name, self_, others_, service.links.size(), connections);
  for (std::size_t i = 0; i < service.links.size(); ++i) {
    UpstreamLink& link = *service.links[i];
    link.max_connections = std::max(1U, service.spec.max_connections);
    link.sender_count = share.daemons_per_upstream;
    link.in_subset = IsInSubset(share, i, service.links.size());
  }
}

bool UpstreamSet::IsUsable(const UpstreamLink& link) const {
  return link.usable() && !outages_.contains(link.entry().failure_domain);
}

bool UpstreamSet::MayServe(const ServiceState& service, const UpstreamLink& link) const {
  return IsUsable(link) && (!IsLimited(service, link) || ColdSendersOf(link.entry().id) > 0);
}

std::size_t UpstreamSet::ColdSendersOf(const std::string& searcher) const {
  // A daemon that has just started takes itself for the only one until it hears of the others.
  if (daemons_ == 0 && context_.loop.Now() - started_ < kUnknownDaemonsTime) {
    return 0;
  }
  return cold_daemons_.SenderCount(searcher, self_, cold_.slack * cold_.safety);
}

bool UpstreamSet::TakeColdAllowance(ServiceState& service, UpstreamLink& link) {
  if (!IsLimited(service, link)) {
    return true;
  }
  const std::size_t senders = ColdSendersOf(link.entry().id);
  if (senders == 0) {
    return false;
  }
  const double rate = service.spec.cold_requests_per_s * cold_.rate_factor * cold_.safety;
  return link.cold_allowance.TryTake(context_.loop.Now(), rate, cold_.slack * cold_.safety, senders);
}

bool UpstreamSet::MayRetry(const ServiceState& service) const {
  return MaySendExtraRequest(service.retries, retry_, daemons_, started_, context_.loop.Now());
}

void UpstreamSet::CountRequest(ServiceState& service) {
  service.retries.CountRequest(context_.loop.Now(), retry_.window);
}

void UpstreamSet::CountExtra(ServiceState& service) {
  service.retries.CountExtraRequest(context_.loop.Now(), retry_.window);
}

void UpstreamSet::Sweep() {
  const TimePoint now = context_.loop.Now();
  // After a pause of this process, answers that have arrived meanwhile are read before their requests are given up.
  // Only one sweep in a row is left out, so that a slow host ends requests as well.
  const bool paused = now - std::exchange(swept_at_, now) >= kOwnPause;
  sweep_left_out_ = paused && !sweep_left_out_;
  if (sweep_left_out_) {
    return;
  }
  // Requests that end here are sent elsewhere, which changes no entry.
  for (const auto& [id, link] : by_id_) {
    if (link->busy()) {
      link->Sweep(now);
    }
  }
  for (const auto& link : leaving_) {
    link->Sweep(now);
  }
  std::erase_if(leaving_, [](const auto& link) { return !link->busy(); });
}

}  // namespace pimentomoor
