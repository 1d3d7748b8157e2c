// Exchange of leaving upstreams with other daemons, in heartbeats and together with the records that a daemon takes
// from another one.
#include "pimentomoor/gateway.h"

namespace pimentomoor {

void Gateway::ListLeaving(LeavingMessages& messages) const {
  for (const auto& report : upstreams_.LeavingReports()) {
    auto* message = messages.Add();
    message->set_lifetime(report.key);
    message->set_age_ms(static_cast<std::uint32_t>(report.age / std::chrono::milliseconds(1)));
  }
}

void Gateway::MergeLeaving(const LeavingMessages& messages) {
  std::vector<LeavingLifetime> reports;
  reports.reserve(static_cast<std::size_t>(messages.size()));
  for (const auto& message : messages) {
    reports.push_back({.key = message.lifetime(), .age = std::chrono::milliseconds(message.age_ms())});
  }
  // Only a relay tells others at once. The next heartbeats of the other daemons tell their relays anyway.
  if (upstreams_.MergeLeaving(reports) && peers_->IsRelay()) {
    ScheduleAnnouncement();
  }
}

}  // namespace pimentomoor
