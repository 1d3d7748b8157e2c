// All searchers that this daemon knows, by service: their lifetimes, drains and outages, and the budgets of each
// service.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pimentomoor/cold_upstream_senders.h"
#include "pimentomoor/routing_table.h"
#include "pimentomoor/shared_budget.h"
#include "pimentomoor/upstream_link.h"

namespace pimentomoor {

struct ColdUpstreamSettings {
  double rate_factor = 1.5;  // of a service's cold_requests_per_s
  double slack = 5;          // requests beyond that in one second, of all daemons together
  double safety = 0.7;       // part of the bound that is used

  friend bool operator==(const ColdUpstreamSettings&, const ColdUpstreamSettings&) = default;
};

/// One service as this daemon sees it. Kept for the life of the process, so that budgets outlive a version of the
/// routing table.
struct ServiceState {
  std::string name;
  RoutedServiceSpec spec;
  std::vector<std::shared_ptr<UpstreamLink>> links;  // of searchers that are announced, ordered by id
  RetryBudgetWindow retries;
};

class UpstreamSet {
 public:
  UpstreamSet(LinkContext context, RetryBudgetSettings retry, ColdUpstreamSettings cold);
  ~UpstreamSet();
  UpstreamSet(const UpstreamSet&) = delete;
  UpstreamSet& operator=(const UpstreamSet&) = delete;

  /// A searcher announced itself. Entries of an earlier lifetime, and older ones of the same lifetime, are ignored:
  /// writes can be late. `now` is when the entry was read.
  void Announce(UpstreamEntry entry);
  /// The entry is gone, or no longer names a usable searcher.
  void Withdraw(const std::string& id);
  /// The entry is gone, and may come back: the searcher is used only when there is no other.
  void MarkEntryMissing(const std::string& id);

  /// Failure domains that operators took out: nothing new goes to their searchers.
  void SetOutages(std::set<std::string> failure_domains);
  void ApplyServices(const std::vector<RoutedServiceSpec>& services);
  void SetBudgets(const RetryBudgetSettings& retry, const ColdUpstreamSettings& cold) {
    retry_ = retry;
    cold_ = cold;
  }
  /// Number of daemons that share budgets (0 while it is unknown), and the peer addresses of this one and of the
  /// others that are alive, among which the searchers' connections are divided.
  void SetDaemons(std::size_t counted, const std::string& self, std::vector<std::string> others);
  [[nodiscard]] std::size_t daemon_count() const { return daemons_; }

  /// The state of a service; created empty when it is unknown.
  ServiceState& FindOrCreateService(const std::string& name);

  [[nodiscard]] bool IsUsable(const UpstreamLink& link) const;
  /// Whether this daemon may send to the searcher now or later: it is usable, and warm or among those that this
  /// daemon warms up.
  [[nodiscard]] bool MayServe(const ServiceState& service, const UpstreamLink& link) const;
  /// Takes the allowance of a cold searcher; true for a warm one.
  bool TakeColdAllowance(ServiceState& service, UpstreamLink& link);
  [[nodiscard]] bool MayRetry(const ServiceState& service) const;
  /// Retries and hedges that this daemon may still send to the service in the current window.
  [[nodiscard]] double RetriesLeft(const ServiceState& service) const {
    return ExtraRequestsLeft(service.retries, retry_, daemons_, started_, context_.loop.Now());
  }
  void CountRequest(ServiceState& service);
  void CountExtra(ServiceState& service);

  /// Ends overdue connections and requests of all searchers.
  void Sweep();

  [[nodiscard]] std::size_t announced_count() const { return by_id_.size(); }
  [[nodiscard]] LinkContext& context() { return context_; }
  [[nodiscard]] const std::map<std::string, ServiceState>& services() const { return services_; }
  [[nodiscard]] const std::set<std::string>& outages() const { return outages_; }

 private:
  [[nodiscard]] bool IsLimited(const ServiceState& service, const UpstreamLink& link) const {
    return service.spec.cold_requests_per_s > 0 && link.cold(context_.loop.Now());
  }
  /// Among how many daemons the cold searcher's rate is divided; 0 when this daemon sends nothing to it.
  [[nodiscard]] std::size_t ColdSendersOf(const std::string& searcher) const;
  void Remove(const std::shared_ptr<UpstreamLink>& link);
  /// Divides the service's searchers among the daemons again.
  void AssignSenders(ServiceState& service);

  LinkContext context_;
  RetryBudgetSettings retry_;
  ColdUpstreamSettings cold_;
  TimePoint started_;
  TimePoint swept_at_ = started_;
  bool sweep_left_out_ = false;  // the last one
  std::size_t daemons_ = 0;
  std::string self_;
  std::vector<std::string> others_;
  ColdUpstreamSenders cold_daemons_;
  std::map<std::string, ServiceState> services_;
  std::map<std::string, std::shared_ptr<UpstreamLink>> by_id_;  // announced searchers
  std::vector<std::shared_ptr<UpstreamLink>> leaving_;          // withdrawn, with requests that still run
  std::set<std::string> outages_;
};

}  // namespace pimentomoor
