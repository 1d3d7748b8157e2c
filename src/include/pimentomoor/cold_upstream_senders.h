// Decides which daemons send to a cold upstream and into how many parts the upstream's request rate is divided.
//
// Daemons disagree on which daemons are alive while some of them start, stop or are partitioned from each other.
// Therefore, the senders are chosen among all daemons that were alive in the last 15 minutes. A set with too many
// daemons only leaves a part of the rate unused, but a set that lacks a daemon gives its place as a sender to another
// daemon while it still sends. As long as each daemon's set contains all daemons that serve callers, all daemons
// choose the senders in the same order, and each sender takes at most its part of the rate.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// The daemons among which the senders to cold upstreams are chosen, as one daemon knows them.
class ColdUpstreamSenders {
 public:
  /// Records the other daemons that serve callers at `now`.
  void RecordLiveDaemons(const std::vector<std::string>& others, TimePoint now);

  /// Number of daemons that send to the cold upstream `upstream`, or 0 when the daemon `self` is not one of them.
  /// `slack` is the number of requests beyond the rate that all senders may send together; see ColdSenderCount().
  [[nodiscard]] std::size_t SenderCount(std::string_view upstream, std::string_view self, double slack) const;

 private:
  std::map<std::string, TimePoint> last_seen_;  // last RecordLiveDaemons() of each other daemon, by address
  std::vector<std::string> recent_daemons_;     // the keys of last_seen_
};

}  // namespace pimentomoor
