// Which daemons send to a cold searcher, and among how many its rate is divided.
//
// Daemons disagree on who is alive while some start, end or are cut off from each other. So the senders are chosen
// among all daemons that were seen in the last 15 minutes: a set that holds too many daemons only leaves a part of
// the rate unused, while one that lacks a daemon lets it take the place of another that still sends. As long as each
// daemon's set holds all daemons that serve callers, the senders are the first few of these in one order, and each
// takes at most its part.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

class ColdUpstreamSenders {
 public:
  /// Notes the other daemons that serve callers now.
  void RecordLiveDaemons(const std::vector<std::string>& others, TimePoint now);

  /// Among how many daemons the rate of `searcher` is divided; 0 when the daemon `self` is not one of them. Each
  /// needs the allowance of a whole request, and together they have `slack` requests.
  [[nodiscard]] std::size_t SenderCount(std::string_view searcher, std::string_view self, double slack) const;

 private:
  std::map<std::string, TimePoint> seen_at_;  // other daemons
  std::vector<std::string> recent_;           // the same without their times
};

}  // namespace pimentomoor
