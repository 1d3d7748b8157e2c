// Calls FleetCore::Tick() on an event loop and exports gauges of its state.
#include "pimentomoor/fleet_task.h"

#include <utility>

namespace pimentomoor {
namespace {

// Time between two ticks. It bounds how late a takeover, a lease renewal or a join step is.
constexpr Duration kTickPeriod = std::chrono::milliseconds(50);

FleetHooks HooksFor(Metrics& metrics) {
  return {.count = [&metrics](const std::string& name) { metrics.Count(name); },
          .log = [](std::string_view event, std::initializer_list<LogField> fields) { LogInfo(event, fields); }};
}

}  // namespace

FleetTask::FleetTask(EventLoop& loop, FleetOptions options, Send send, PlatformClient& platform, Metrics& metrics)
    : FleetCore(loop.clock(), std::move(options), std::move(send), platform, HooksFor(metrics)),
      loop_(loop),
      metrics_(metrics) {}

FleetTask::~FleetTask() { loop_.Cancel(timer_); }

void FleetTask::Start() {
  FleetCore::Start();
  if (timer_ == 0) {
    ScheduleTick();
  }
}

void FleetTask::ScheduleTick() {
  timer_ = loop_.CallAfter(kTickPeriod, [this] {
    Tick();
    metrics_.SetGauge("pimentomoor_fleet_epoch", static_cast<double>(view().epoch()));
    metrics_.SetGauge("pimentomoor_fleet_members", view().members_size());
    metrics_.SetGauge("pimentomoor_fleet_lease_held", HoldsLease() ? 1 : 0);
    ScheduleTick();
  });
}

}  // namespace pimentomoor
