// Runs FleetCore on an event loop.
#pragma once

#include "pimentomoor/event_loop.h"
#include "pimentomoor/fleet_core.h"
#include "pimentomoor/metrics.h"

namespace pimentomoor {

/// FleetCore with a timer for Tick() and with metrics and log lines as its hooks.
class FleetTask final : public FleetCore {
 public:
  /// The references must outlive the task. The caller passes messages for this daemon to HandleMessage().
  FleetTask(EventLoop& loop, FleetOptions options, Send send, PlatformClient& platform, Metrics& metrics);
  ~FleetTask() override;

  /// Starts to join the view, and the timer that calls Tick().
  void Start();

 private:
  void ScheduleTick();

  EventLoop& loop_;
  Metrics& metrics_;
  TimerId timer_ = 0;
};

}  // namespace pimentomoor
