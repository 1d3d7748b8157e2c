// Implementation of the choice of the daemons that send to cold upstreams.
#include "pimentomoor/cold_upstream_senders.h"

#include "pimentomoor/shared_budget.h"
#include "pimentomoor/upstream_subset.h"

namespace pimentomoor {

namespace {

// Same as MemberListOptions::budget_retention, the time for which a daemon counts in the retry budgets.
constexpr Duration kDaemonRetention = std::chrono::minutes(15);
// Bounds the memory; far above the 64 daemons that the directory names at a time.
constexpr std::size_t kMaxDaemons = 1'024;

}  // namespace

void ColdUpstreamSenders::RecordLiveDaemons(const std::vector<std::string>& others, TimePoint now) {
  bool changed =
      std::erase_if(last_seen_, [now](const auto& entry) { return now - entry.second >= kDaemonRetention; }) > 0;
  for (const auto& other : others) {
    if (const auto found = last_seen_.find(other); found != last_seen_.end()) {
      found->second = now;
    } else if (last_seen_.size() < kMaxDaemons) {
      last_seen_.emplace(other, now);
      changed = true;
    }
  }
  if (changed) {
    recent_daemons_.clear();
    for (const auto& [address, last_seen] : last_seen_) {
      recent_daemons_.push_back(address);
    }
  }
}

std::size_t ColdUpstreamSenders::SenderCount(std::string_view upstream, std::string_view self, double slack) const {
  const std::size_t senders = ColdSenderCount(slack, recent_daemons_.size() + 1);
  return DaemonPosition(upstream, self, recent_daemons_) < senders ? senders : 0;
}

}  // namespace pimentomoor
