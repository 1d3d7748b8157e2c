// Implementation of the daemons that send to cold searchers.
#include "pimentomoor/cold_upstream_senders.h"

#include "pimentomoor/shared_budget.h"
#include "pimentomoor/upstream_subset.h"

namespace pimentomoor {

namespace {

constexpr Duration kRemembered = std::chrono::minutes(15);  // as daemons are counted for the retry budgets
// Beyond any cell; the directory names 64 daemons.
constexpr std::size_t kMaxRemembered = 1'024;

}  // namespace

void ColdUpstreamSenders::RecordLiveDaemons(const std::vector<std::string>& others, TimePoint now) {
  bool changed = std::erase_if(seen_at_, [now](const auto& entry) { return now - entry.second >= kRemembered; }) > 0;
  for (const auto& other : others) {
    if (const auto found = seen_at_.find(other); found != seen_at_.end()) {
      found->second = now;
    } else if (seen_at_.size() < kMaxRemembered) {
      seen_at_.emplace(other, now);
      changed = true;
    }
  }
  if (changed) {
    recent_.clear();
    for (const auto& [name, seen_at] : seen_at_) {
      recent_.push_back(name);
    }
  }
}

std::size_t ColdUpstreamSenders::SenderCount(std::string_view searcher, std::string_view self, double slack) const {
  const std::size_t senders = ColdSenderCount(slack, recent_.size() + 1);
  return DaemonPosition(searcher, self, recent_) < senders ? senders : 0;
}

}  // namespace pimentomoor
