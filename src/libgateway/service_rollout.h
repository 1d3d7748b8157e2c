// The versions of one service at this daemon: which of them its requests may go to, and the progress of the order
// that moves the service to another one. GatewayRollouts creates it while there is an order, or something left to
// restrict.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentomoor/metrics.h"
#include "pimentomoor/platform_codec.h"
#include "pimentomoor/rollout.h"
#include "pimentomoor/upstream_set.h"
#include "pimentomoor/version_gate.h"

namespace pimentomoor {

/// What is known of the order's object in the store, and of the calls that write its status.
struct RolloutStoreState {
  RolloutRecord record;
  TimePoint known_at{};      // when record.state last changed here
  TimePoint next_call_at{};  // no call before
  unsigned failures = 0;     // calls in a row that failed
  bool uncertain = false;    // a write had no answer, so the object has to be read before the next one
};

class ServiceRollout final : public VersionGate, public std::enable_shared_from_this<ServiceRollout> {
 public:
  ServiceRollout(EventLoop& loop, Metrics& metrics, ServiceState& service, const RolloutSettings& settings)
      : loop_(loop), metrics_(metrics), service_(service), settings_(settings) {}

  /// Follows an order. `slack_part` and `seen_to_appear` are those of BeginRollout().
  void Begin(const RolloutRecord& record, std::uint64_t reporter, double slack_part, bool seen_to_appear);
  /// Updates what is known of the order's object; `record` is of the same order.
  void SetRecord(const RolloutRecord& record);
  /// The order is gone or replaced. Its version gets nothing for kBarredTime, unless the order was complete.
  void Withdraw();
  /// Sends nothing to upstreams of a version that has just appeared, unless there are no others.
  void Hold(const std::string& version);

  /// Judges the version and applies the time. Returns whether other daemons have to know something now.
  bool Tick();
  /// Whether requests have to be restricted; otherwise the service needs no gate.
  [[nodiscard]] bool RestrictsVersions() const;
  /// Whether there is anything to keep.
  [[nodiscard]] bool IsNeeded() const { return progress_.has_value() || RestrictsVersions(); }

  [[nodiscard]] std::vector<VersionScope> ChooseScopes(bool first_send, bool idempotent) override;
  [[nodiscard]] bool Admits(VersionScope scope, const UpstreamLink& link) const override;
  [[nodiscard]] bool MayServe(const UpstreamLink& link) const override;
  [[nodiscard]] std::unique_ptr<ExchangeObserver> OnSend(const UpstreamLink& link, std::string_view route,
                                                         bool first_send, bool idempotent) override;

  [[nodiscard]] const ServiceState& service() const { return service_; }
  [[nodiscard]] std::size_t usable_targets() const { return usable_targets_; }
  [[nodiscard]] std::size_t usable_others() const { return usable_others_; }
  std::optional<RolloutProgress>& progress() { return progress_; }
  [[nodiscard]] const std::optional<RolloutProgress>& progress() const { return progress_; }
  RolloutStoreState& store() { return store_; }
  [[nodiscard]] const RolloutStoreState& store() const { return store_; }
  void SetState(RolloutState state);

 private:
  class SendObserver;

  void CountUpstreams();
  void LogChanges();
  /// Id of the upstream that gets the canary traffic; empty when there is none.
  [[nodiscard]] std::string ChooseFocus() const;
  [[nodiscard]] bool IsTarget(const UpstreamLink& link) const {
    return progress_ && link.entry().version == progress_->order.target_version;
  }
  [[nodiscard]] bool IsBarred(const UpstreamLink& link) const;
  void OnAnswer(std::uint64_t order, const UpstreamExchange& exchange, bool from_target, std::uint16_t route,
                ExchangeOutcome outcome, const ResponseMessage& response);

  EventLoop& loop_;
  Metrics& metrics_;
  ServiceState& service_;
  const RolloutSettings& settings_;
  std::optional<RolloutProgress> progress_;
  RolloutStoreState store_;
  std::map<std::string, TimePoint> barred_until_;  // versions of orders that were withdrawn
  std::map<std::string, TimePoint> held_until_;    // versions that have just appeared
  std::set<std::string> replaced_versions_;        // other versions that were there while the order was running
  std::string focus_id_;                           // result of the last ChooseFocus()
  std::size_t target_links_ = 0;                   // known upstreams of the ordered version
  std::size_t usable_targets_ = 0;                 // warm and usable ones
  std::size_t usable_others_ = 0;
  TimePoint others_seen_at_{};  // when an upstream of another version was last known
  // Last logged values.
  std::size_t logged_step_ = 0;
  std::uint32_t logged_switch_step_ = 0;
  bool logged_bad_ = false;
  RolloutState logged_state_ = RolloutState::kNone;
};

}  // namespace pimentomoor
