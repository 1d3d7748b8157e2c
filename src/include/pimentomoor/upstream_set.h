// All upstreams that this daemon knows, by service. Tracks their registration, drains and outages, and holds the
// budgets of each service.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentomoor/cold_upstream_senders.h"
#include "pimentomoor/routing_table.h"
#include "pimentomoor/shared_budget.h"
#include "pimentomoor/upstream_hold.h"
#include "pimentomoor/upstream_link.h"
#include "pimentomoor/version_gate.h"

namespace pimentomoor {

/// Limit on the requests that all daemons together send to one cold upstream, which has just started.
struct ColdUpstreamSettings {
  double rate_factor = 1.5;  // rate limit as a multiple of the service's cold rate
  double slack = 5;          // requests beyond that rate in one second, from all daemons together
  double safety = 0.7;       // share of the limit that is used

  friend bool operator==(const ColdUpstreamSettings&, const ColdUpstreamSettings&) = default;
};

/// State of one service at this daemon. It is kept until the process ends, so that budgets continue when the routing
/// table changes.
struct ServiceState {
  std::string name;
  RoutedServiceSpec spec;
  std::vector<std::shared_ptr<UpstreamLink>> links;  // links to registered upstreams, ordered by id
  RetryBudgetWindow retry_window;
  std::shared_ptr<VersionGate> version_gate;  // null unless the service's requests are divided among versions
};

class UpstreamSet {
 public:
  UpstreamSet(LinkContext context, RetryBudgetSettings retry, ColdUpstreamSettings cold);
  ~UpstreamSet();
  UpstreamSet(const UpstreamSet&) = delete;
  UpstreamSet& operator=(const UpstreamSet&) = delete;

  /// Adds or updates an upstream from its entry in the store. An entry that is older than the known one is ignored,
  /// because the store can receive writes out of order.
  void Announce(UpstreamEntry entry);
  /// Removes an upstream whose entry is gone or unusable.
  void Withdraw(const std::string& id);
  /// Marks an upstream whose entry is gone but may come back. It is then used only when there is no other.
  void MarkEntryMissing(const std::string& id);

  /// Sets the failure domains that operators took out of service. Their upstreams get no new requests.
  void SetOutages(std::set<std::string> failure_domains);
  void ApplyServices(const std::vector<RoutedServiceSpec>& services);
  void SetBudgets(const RetryBudgetSettings& retry, const ColdUpstreamSettings& cold) {
    retry_settings_ = retry;
    cold_settings_ = cold;
  }
  /// Sets the time for which a leaving upstream gets requests that no other one can serve.
  void SetDrainTime(Duration drain_time);
  /// Sets the number of daemons that share budgets (0 while it is unknown), and the caller addresses of this daemon
  /// and of the others that callers use, among which the upstreams' connections are divided.
  void SetDaemons(std::size_t known_daemons, const std::string& self, std::vector<std::string> others);
  [[nodiscard]] std::size_t daemon_count() const { return daemon_count_; }
  /// Sets whether the daemons above are the whole fleet. Otherwise a cold upstream's rate is shared with another part
  /// of the fleet.
  void SetFleetKnown(bool known) { fleet_known_ = known; }

  /// State of a service, which is created if it doesn't exist.
  ServiceState& FindOrCreateService(const std::string& name);

  /// Whether this daemon may send to the upstream now or later: it is usable, if only as the last resort, and either
  /// warm or a cold one that this daemon is a sender of.
  [[nodiscard]] bool MayServe(const UpstreamLink& link) const;
  /// First end of the pauses of the service's upstreams; nothing when one of them may serve or none is paused.
  [[nodiscard]] std::optional<TimePoint> EarliestReturn(const ServiceState& service) const;
  [[nodiscard]] bool any_paused() const { return holds_.any_paused(context_.loop.Now()); }
  /// Records that other daemons know the lifetimes as leaving. Returns whether one of them is news here.
  bool MergeLeaving(const std::vector<LeavingLifetime>& reports);
  /// The leaving lifetimes that are reported to other daemons.
  [[nodiscard]] std::vector<LeavingLifetime> LeavingReports() const { return holds_.Reports(context_.loop.Now()); }
  [[nodiscard]] std::size_t leaving_count() const { return holds_.leaving_count(); }
  /// Takes a token from the rate limiter of a cold upstream. Always returns true for a warm one.
  bool TryTakeColdToken(ServiceState& service, UpstreamLink& link);
  [[nodiscard]] bool MayRetry(const ServiceState& service) const;
  /// Retries and hedges that this daemon may still send to the service in the current window.
  [[nodiscard]] double RetriesLeft(const ServiceState& service) const {
    return ExtraRequestsLeft(service.retry_window, retry_settings_, daemon_count_, started_at_, context_.loop.Now());
  }
  void CountRequest(ServiceState& service);
  /// Counts a retry or hedge against the service's retry budget.
  void CountExtraRequest(ServiceState& service);

  /// Ends overdue connections and requests of all upstreams.
  void Sweep();

  // Called when an upstream has said that it is leaving, which other daemons have to know.
  std::function<void()> on_leaving_changed = [] {};

  [[nodiscard]] std::size_t announced_count() const { return by_id_.size(); }
  [[nodiscard]] LinkContext& context() { return context_; }
  [[nodiscard]] const std::map<std::string, ServiceState>& services() const { return services_; }

 private:
  /// Whether the upstream is cold and its service limits the request rate of cold upstreams.
  [[nodiscard]] bool IsColdLimited(const UpstreamLink& link) const {
    return link.limits_cold_rate && link.cold(context_.loop.Now());
  }
  /// Number of daemons that share the cold upstream's rate; 0 when this daemon is not one of them.
  [[nodiscard]] std::size_t ColdSenderCount(const std::string& upstream_id) const;
  void OnNotice(UpstreamLink& link, const UpstreamNotice& notice);
  void Remove(const std::shared_ptr<UpstreamLink>& link);
  /// Recomputes which upstreams of the service this daemon sends to.
  void AssignSenders(ServiceState& service);

  LinkContext context_;
  UpstreamHolds holds_;
  RetryBudgetSettings retry_settings_;
  ColdUpstreamSettings cold_settings_;
  TimePoint started_at_;
  TimePoint last_sweep_at_ = started_at_;
  TimePoint holds_expired_at_ = started_at_;  // time of the last call of UpstreamHolds::Expire()
  bool last_sweep_skipped_ = false;           // the last call of Sweep() was skipped
  std::size_t paced_count_ = 0;               // upstreams with an active pace at the last call of Sweep()
  std::size_t daemon_count_ = 0;
  bool fleet_known_ = true;
  std::string self_address_;
  std::vector<std::string> other_addresses_;
  ColdUpstreamSenders cold_senders_;
  std::map<std::string, ServiceState> services_;
  std::map<std::string, std::shared_ptr<UpstreamLink>> by_id_;  // registered upstreams
  std::vector<std::shared_ptr<UpstreamLink>> withdrawn_;        // removed upstreams whose requests still run
  std::set<std::string> outages_;
};

}  // namespace pimentomoor
