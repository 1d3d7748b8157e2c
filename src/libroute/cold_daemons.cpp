// Implementation of the daemons that send to cold searchers.
#include "pimentomoor/cold_daemons.h"

#include "pimentomoor/sender_set.h"
#include "pimentomoor/shared_budget.h"

namespace pimentomoor {

namespace {

constexpr Duration kRemembered = std::chrono::minutes(15);  // as daemons are counted for the retry budgets
// Beyond any cell; the directory names 64 daemons.
constexpr std::size_t kMaxRemembered = 1'024;

}  // namespace

void ColdDaemons::Note(const std::vector<std::string>& others, TimePoint now) {
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

std::size_t ColdDaemons::SendersTo(std::string_view searcher, std::string_view self, double slack) const {
  const std::size_t senders = ColdSenders(slack, recent_.size() + 1);
  return PositionOf(searcher, self, recent_) < senders ? senders : 0;
}

}  // namespace pimentomoor
