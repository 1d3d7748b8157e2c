// Admission, queueing and service times of a stand-in upstream.
#include "upstream_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentomoor {

UpstreamModel::UpstreamModel(UpstreamSpec spec, std::uint64_t seed)
    : spec_(std::move(spec)), random_(seed), incarnation_(random_() | 1) {}

Duration UpstreamModel::Receive(TimePoint now, std::size_t open_connections) {
  ++counters_.requests;
  counters_.connections_high = std::max(counters_.connections_high, open_connections);
  if (drain_phase_ != DrainPhase::kNone) {
    ++counters_.after_drain;
    counters_.last_after_drain = now - drain_start_;
  }
  // The server reports only the number of open connections, so a connection that replaces a closed one between two
  // requests isn't charged connect_delay.
  charged_connections_ = std::min(charged_connections_, open_connections);
  if (charged_connections_ == open_connections) {
    return Duration{};
  }
  ++charged_connections_;
  ++counters_.connects;
  return spec_.connect_delay;
}

Admission UpstreamModel::Admit(JobId id, TimePoint deadline) {
  if (drain_phase_ == DrainPhase::kRefusing) {
    return Admission::kDraining;
  }
  if (running_.size() < RunningLimit()) {
    Start(id);
    return Admission::kStarted;
  }
  if (cold_) {
    ++counters_.overload_violations;
    return Admission::kOverload;
  }
  if (queue_.size() >= spec_.max_queued) {
    ++counters_.sheds;
    return Admission::kShed;
  }
  queue_.push_back({id, deadline});
  return Admission::kQueued;
}

UpstreamModel::DequeuedJobs UpstreamModel::Finish(TimePoint now, JobId id) {
  DequeuedJobs dequeued;
  if (running_.erase(id) == 0) {
    return dequeued;
  }
  ++counters_.served;
  if (cold_ && ++served_while_cold_ >= spec_.cold_requests) {
    cold_ = false;
  }
  while (!queue_.empty() && running_.size() < RunningLimit()) {
    const QueuedJob job = queue_.front();
    queue_.pop_front();
    if (job.deadline <= now) {
      ++counters_.expired;
      dequeued.expired.push_back(job.id);
      continue;
    }
    Start(job.id);
    dequeued.started.push_back(job.id);
  }
  return dequeued;
}

Duration UpstreamModel::DrawServiceTime() {
  double factor = slow_factor_ * std::exp(spec_.service_time_sigma * std::normal_distribution<double>()(random_));
  if (std::bernoulli_distribution(spec_.straggler_probability)(random_)) {
    factor *= spec_.straggler_factor;
  }
  if (cold_) {
    factor *= spec_.cold_factor;
  }
  return std::chrono::duration_cast<Duration>(spec_.median_service_time * factor);
}

void UpstreamModel::Restart() {
  incarnation_ = random_() | 1;
  TurnCold();
  drain_phase_ = DrainPhase::kNone;
  charged_connections_ = 0;
  running_.clear();
  queue_.clear();
}

void UpstreamModel::BeginDrain(TimePoint now) {
  if (drain_phase_ == DrainPhase::kNone) {
    drain_phase_ = DrainPhase::kAnnounced;
    drain_start_ = now;
  }
}

void UpstreamModel::SetStraggler(double probability, double factor) {
  spec_.straggler_probability = std::clamp(probability, 0.0, 1.0);
  spec_.straggler_factor = factor;
}

void UpstreamModel::Start(JobId id) {
  running_.insert(id);
  counters_.running_high = std::max(counters_.running_high, running_.size());
}

}  // namespace pimentomoor
