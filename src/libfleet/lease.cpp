// Renewal of the lease by heartbeat replies and platform reads.
#include "pimentomoor/lease.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace pimentomoor {
namespace {

void Extend(LeaseState& state, TimePoint from) {
  state.expires_at = std::max(state.expires_at, from + state.duration);
}

// Extends the lease from the newest send time that enough peers have reached with their newest replies.
void RenewFromReplies(LeaseState& state) {
  const std::size_t needed = Majority(state.members) - 1;  // replies for a majority with this daemon
  if (needed == 0 || state.newest_replied.size() < needed) {
    return;
  }
  std::vector<TimePoint> times;
  times.reserve(state.newest_replied.size());
  for (const auto& [incarnation, time] : state.newest_replied) {
    times.push_back(time);
  }
  const auto oldest = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(times.begin(), oldest, times.end(), std::greater<>());
  Extend(state, *oldest);
}

}  // namespace

void StartLeaseEpoch(LeaseState& state, std::uint64_t epoch, std::size_t members) {
  state.epoch = epoch;
  state.members = members;
  state.send_times.clear();
  state.newest_replied.clear();
  if (members == 0) {
    EndLease(state);
  }
}

void OnHeartbeatSent(LeaseState& state, std::uint64_t sequence, TimePoint now) {
  std::erase_if(state.send_times, [&](const auto& item) { return item.second + state.duration < now; });
  state.send_times[sequence] = now;
  if (state.members == 1) {
    Extend(state, now);
  }
}

bool OnHeartbeatReply(LeaseState& state, const LeaseReply& reply) {
  const auto sent = state.send_times.find(reply.sequence);
  if (state.members == 0 || reply.epoch != state.epoch || sent == state.send_times.end() ||
      reply.peer_versions_unknown || reply.peer_has_newer_versions || reply.peer_lacks_keys) {
    return false;
  }
  TimePoint& newest = state.newest_replied[reply.incarnation];
  newest = std::max(newest, sent->second);
  RenewFromReplies(state);
  return true;
}

void OnPlatformRead(LeaseState& state, std::uint64_t epoch, TimePoint sent) {
  if (state.members > 0 && epoch == state.epoch) {
    Extend(state, sent);
  }
}

void EndLease(LeaseState& state) { state.expires_at = TimePoint{}; }

bool LeaseValid(const LeaseState& state, TimePoint now) { return state.members > 0 && now < state.expires_at; }

}  // namespace pimentomoor
