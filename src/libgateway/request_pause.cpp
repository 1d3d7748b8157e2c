// What a request does when upstreams have asked for a pause: answers without their shards, or ends at once and tells
// the caller when to come back.
#include <algorithm>
#include <functional>

#include "pimentomoor/request_run.h"

namespace pimentomoor {

namespace {

// Time that a caller waits when its request doesn't say.
constexpr Duration kDefaultCallerTime = std::chrono::seconds(5);

}  // namespace

bool RequestRun::IsPausedUntilAfter(const Part& part, TimePoint time) const {
  if (part.done || !part.running.empty() || !context_.upstreams.any_paused()) {
    return false;
  }
  const auto return_time = context_.upstreams.EarliestReturn(*part.service);
  return return_time && *return_time > time;
}

std::optional<TimePoint> RequestRun::ReturnTime() const {
  if (!context_.upstreams.any_paused()) {
    return std::nullopt;
  }
  std::size_t servable = 0;
  std::vector<TimePoint> returns;
  for (const auto& part : parts_) {
    if (part.done || !part.running.empty() ||
        std::any_of(part.service->links.begin(), part.service->links.end(),
                    [this](const auto& link) { return context_.upstreams.MayServe(*link); })) {
      ++servable;
    } else if (const auto return_time = context_.upstreams.EarliestReturn(*part.service)) {
      returns.push_back(*return_time);
    }
  }
  const std::size_t needed = NeededParts();
  if (servable >= needed || servable + returns.size() < needed) {
    return std::nullopt;
  }
  const auto last_needed = returns.begin() + static_cast<std::ptrdiff_t>(needed - servable - 1);
  std::nth_element(returns.begin(), last_needed, returns.end());
  return *last_needed;
}

bool RequestRun::EndIfPaused() {
  if (finished_) {
    return true;
  }
  const std::optional<TimePoint> return_time = ReturnTime();
  if (!return_time) {
    return false;
  }
  if (!IsSentOrRun()) {
    context_.metrics.Count("pimentomoor_run_refused_total", 1, "reason=\"paused searchers\"");
    Refuse();
    return true;
  }
  if (*return_time < final_deadline_) {
    return false;
  }
  Fail(502, "paused searchers");
  return true;
}

Duration RequestRun::RefusalDelayOfCaller() const {
  const Duration usual = context_.settings.refusal_retry_after;
  const std::optional<TimePoint> return_time = ReturnTime();
  if (!return_time) {
    return usual;
  }
  const RequestMessage& message = caller_->request;
  const Duration caller_time =
      message.deadline_ms ? std::min<Duration>(std::chrono::milliseconds(*message.deadline_ms), std::chrono::hours(1))
                          : kDefaultCallerTime;
  const TimePoint now = context_.loop.Now();
  return RefusalDelay(*return_time - now, caller_->received_at + caller_time - now, usual,
                      std::hash<std::string>()(message.request_id));
}

}  // namespace pimentomoor
