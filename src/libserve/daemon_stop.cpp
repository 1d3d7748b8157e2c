// Leaves the fleet: planned stop of the daemon, and outage of its own host or failure domain.
#include <utility>

#include "pimentomoor/daemon.h"
#include "pimentomoor/log.h"

namespace pimentomoor {

namespace {

constexpr Duration kOwnOutageCheckInterval = std::chrono::milliseconds(500);
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);

}  // namespace

// Checks periodically whether operators have taken the host or failure domain of this daemon out of service. If so,
// the daemon hands over its upstreams, as in a planned stop, and joins again when the outage ends.
void Daemon::CheckOwnOutage() {
  loop_.CallAfter(kOwnOutageCheckInterval, [this] { CheckOwnOutage(); });
  if (stopping_) {
    return;
  }
  const bool out = IsInOutage(config_.outages(), settings_.host, settings_.failure_domain) ||
                   IsInOutage(config_.outages(), server_.address(), settings_.failure_domain);
  if (out && !own_outage_ && fleet_->Joined()) {
    own_outage_ = true;
    leaving_for_outage_ = true;
    LogInfo("own_outage_begin", {{"host", settings_.host}});
    fleet_->Leave([this] { leaving_for_outage_ = false; });
  } else if (!out && own_outage_ && !leaving_for_outage_) {
    own_outage_ = false;
    LogInfo("own_outage_end", {{"host", settings_.host}});
    fleet_->Start();
  }
}

void Daemon::Stop(std::function<void()> stopped) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  LogInfo("stopping", {{"host", settings_.host}});
  const TimePoint deadline = loop_.Now() + settings_.drain_timeout;
  auto pending_handovers = std::make_shared<int>(2);  // of upstreams by fleet_, and of outcomes by operations_
  if (own_outage_ && !leaving_for_outage_) {
    --*pending_handovers;
  } else {
    fleet_->Leave([pending_handovers] { --*pending_handovers; });
  }
  loop_.CallAfter(settings_.entry_ttl + kEntryTtlMargin, [this, pending_handovers] {
    server_.StopAccepting();
    operations_->HandOverOutcomes([pending_handovers] { --*pending_handovers; });
  });
  WaitForDrain(deadline, pending_handovers, std::move(stopped));
}

void Daemon::WaitForDrain(TimePoint deadline, const std::shared_ptr<int>& pending_handovers,
                          std::function<void()> stopped) {
  const bool drained = *pending_handovers == 0 && coordinator_->running_queries() == 0 &&
                       dispatcher_->running_requests() == 0 && dispatcher_->queued_sub_queries() == 0 &&
                       server_.running_requests() == 0;
  if (drained || loop_.Now() >= deadline) {
    LogInfo("stopped", {{"host", settings_.host}, {"drained", drained ? "yes" : "no"}});
    stopped();
    return;
  }
  loop_.CallAfter(kDrainCheckInterval, [this, deadline, pending_handovers, stopped = std::move(stopped)]() mutable {
    WaitForDrain(deadline, pending_handovers, std::move(stopped));
  });
}

}  // namespace pimentomoor
