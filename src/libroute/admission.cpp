// Implementation of the admission decision, the order of queues and the schedule of returns.
#include "pimentomoor/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <vector>

namespace pimentomoor {

namespace {

constexpr auto kRing = static_cast<std::int64_t>(QueueHistory::kWholeBuckets + 1);
// Share of the last second for which a queue must have been occupied. A queue that a pause of 250 ms left behind is
// empty again within this share while the load is below 0.7 of the room.
constexpr double kStandingShare = 0.9;
// A wait of this share of the objective is allowed however long upstreams work, so that they don't run out of
// requests when their work alone takes as long as the objective.
constexpr double kLeastWaitShare = 0.25;
constexpr double kAllowedWaitShare = 0.5;
// A caller that returns early is admitted only at a queue of this share of the allowed wait, which is shorter than
// the queues of an overload. It isn't refused at any queue, because it may be another caller with the same request.
constexpr double kEarlyWaitShare = 0.5;
constexpr double kMinWeight = 0.25;
constexpr double kMaxWeight = 16;
constexpr double kMaxTimeShare = 1.0 / 3;  // of the time left, that callers wait at most before they return
// Least time until the return, as a share of the longest one. A queue that has stood for a second seldom clears
// within the few milliseconds that its excess takes, and a caller that returns too early uses up its attempts.
constexpr double kLeastReturnShare = 0.5;
constexpr double kGoldenRatio = 0.6180339887498949;  // its multiples modulo 1 are spread evenly
// A caller may come back this much early, because its clock and its path differ.
constexpr Duration kReturnTolerance = std::chrono::milliseconds(5);
constexpr Duration kDemandHalfLife = std::chrono::seconds(5);

double Seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

Duration FromSeconds(double seconds) {
  constexpr double kLongest = 3'600;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, kLongest)));
}

std::int64_t BucketNumber(TimePoint time) { return time.time_since_epoch() / QueueHistory::kBucketTime; }

QueueHistory::Bucket& BucketOf(QueueHistory& history, std::int64_t number) {
  return history.buckets[static_cast<std::size_t>(number % kRing)];
}

// Extends the history to `now` in the state that it is in.
void Advance(QueueHistory& history, TimePoint now) {
  const std::int64_t last = BucketNumber(now);
  std::int64_t number = BucketNumber(history.updated_at);
  if (number + kRing <= last) {
    history.buckets = {};
    number = last - kRing + 1;
    history.updated_at = TimePoint(number * QueueHistory::kBucketTime);
  }
  for (; number <= last; ++number) {
    const TimePoint end = std::min(now, TimePoint((number + 1) * QueueHistory::kBucketTime));
    if (history.occupied && end > history.updated_at) {
      BucketOf(history, number).occupied += end - history.updated_at;
    }
    history.updated_at = std::max(history.updated_at, end);
    if (number < last) {
      BucketOf(history, number + 1) = {};
    }
  }
}

double Decayed(double value, TimePoint since, TimePoint now) {
  return value * std::exp2(-std::max(0.0, Seconds(now - since) / Seconds(kDemandHalfLife)));
}

}  // namespace

void RecordQueue(QueueHistory& history, bool occupied, unsigned departures, TimePoint now) {
  Advance(history, now);
  BucketOf(history, BucketNumber(now)).departures += departures;
  history.occupied = occupied;
}

bool IsStanding(const QueueHistory& history, TimePoint now) {
  if (!history.occupied) {
    return false;
  }
  QueueHistory extended = history;
  Advance(extended, now);
  const Duration occupied =
      std::accumulate(extended.buckets.begin(), extended.buckets.end(), Duration::zero(),
                      [](Duration sum, const QueueHistory::Bucket& bucket) { return sum + bucket.occupied; });
  const Duration window =
      QueueHistory::kBucketTime * QueueHistory::kWholeBuckets + now.time_since_epoch() % QueueHistory::kBucketTime;
  return Seconds(occupied) >= kStandingShare * Seconds(window);
}

double DepartureRate(const QueueHistory& history, TimePoint now) {
  QueueHistory extended = history;
  Advance(extended, now);
  const std::int64_t current = BucketNumber(now);
  unsigned best = 0;
  for (std::int64_t back = 2; back <= QueueHistory::kWholeBuckets; ++back) {
    best = std::max(
        best, BucketOf(extended, current - back).departures + BucketOf(extended, current - back + 1).departures);
  }
  return (best + 1) / Seconds(2 * QueueHistory::kBucketTime);
}

bool GoesBefore(const QueuePlace& left, const QueuePlace& right) {
  if (left.priority != right.priority) {
    return left.priority < right.priority;
  }
  return left.turn != right.turn ? left.turn < right.turn : left.deadline < right.deadline;
}

double CustomerWeight(double demand, double mean_demand) {
  return mean_demand <= 0 ? 1 : std::clamp(std::sqrt(demand / mean_demand), kMinWeight, kMaxWeight);
}

double CountDemand(CustomerDemand& demand, std::uint64_t customer, TimePoint now) {
  const auto found = demand.by_customer.find(customer);
  if (found == demand.by_customer.end() && demand.by_customer.size() >= CustomerDemand::kMaxCustomers) {
    return 1;
  }
  auto& count = demand.by_customer[customer];
  count.requests = Decayed(count.requests, count.updated_at, now) + 1;
  count.updated_at = now;
  demand.total = Decayed(demand.total, demand.updated_at, now) + 1;
  demand.updated_at = now;
  return CustomerWeight(count.requests, demand.total / static_cast<double>(demand.by_customer.size()));
}

Duration ExpectedWait(const UpstreamRoom& room) {
  return room.standing ? FromSeconds(static_cast<double>(room.ahead) / room.departures_per_s) : Duration::zero();
}

PartRoom RoomOfPart(std::span<const UpstreamRoom> upstreams) {
  PartRoom part;
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const Duration wait = ExpectedWait(upstreams[i]);
    part.wait = i == 0 ? wait : std::min(part.wait, wait);
    part.departures_per_s += upstreams[i].departures_per_s;
  }
  return part;
}

Duration AllowedWait(const AdmissionRequest& request) {
  const Duration within_objective =
      FromSeconds(std::max(kAllowedWaitShare * Seconds(request.objective_left - request.usual_work),
                           kLeastWaitShare * Seconds(request.objective)));
  return std::min(request.time_left - request.least_work, within_objective);
}

AdmissionDecision DecideAdmission(const AdmissionRequest& request, std::span<const PartRoom> parts) {
  if (parts.empty() || request.needed_parts == 0) {
    return {};
  }
  const auto unqueued =
      std::ranges::count_if(parts, [](const PartRoom& part) { return part.wait <= Duration::zero(); });
  if (static_cast<std::size_t>(unqueued) >= std::min(request.needed_parts, parts.size())) {
    return {};
  }
  std::vector<PartRoom> by_wait(parts.begin(), parts.end());
  const auto decisive =
      by_wait.begin() + static_cast<std::ptrdiff_t>(std::min(request.needed_parts, by_wait.size()) - 1);
  std::nth_element(by_wait.begin(), decisive, by_wait.end(),
                   [](const PartRoom& left, const PartRoom& right) { return left.wait < right.wait; });
  const Duration allowed = AllowedWait(request);
  if (request.early_by && decisive->wait > FromSeconds(kEarlyWaitShare * Seconds(allowed))) {
    return {
        .refusal = AdmissionRefusal::kEarly, .room_in = *request.early_by, .room_per_s = decisive->departures_per_s};
  }
  if (decisive->wait <= allowed) {
    return {};
  }
  return {.refusal = AdmissionRefusal::kNoRoom,
          .room_in = decisive->wait - std::max(allowed, Duration::zero()),
          .room_per_s = decisive->departures_per_s};
}

AdmissionDecision DecideAdmissionNaive(const AdmissionRequest& /*request*/, std::span<const PartRoom> /*parts*/) {
  return {};
}

bool MayArrive(const AdmissionRequest& request, const PartRoom& part) {
  return part.wait + request.least_work <= request.time_left;
}

Duration BookReturn(ReturnSchedule& schedule, const AdmissionDecision& decision, Duration time_left, TimePoint now) {
  const Duration longest = FromSeconds(kMaxTimeShare * Seconds(std::max(time_left, Duration::zero())));
  const Duration least = FromSeconds(kLeastReturnShare * Seconds(longest));
  const TimePoint booked = std::max(schedule.next, now + std::max(decision.room_in, least));
  ++schedule.booked;
  if (booked - now < longest) {
    schedule.next = booked + FromSeconds(1 / std::max(decision.room_per_s, 1.0));
    return booked - now;
  }
  const double spread = std::fmod(static_cast<double>(schedule.booked) * kGoldenRatio, 1.0);
  return least + FromSeconds(spread * Seconds(longest - least));
}

void RememberReturn(ToldReturns& told, std::uint64_t fingerprint, TimePoint return_at, TimePoint now) {
  if (told.by_fingerprint.size() >= ToldReturns::kMaxEntries) {
    std::erase_if(told.by_fingerprint, [now](const auto& entry) { return entry.second <= now; });
  }
  if (told.by_fingerprint.size() < ToldReturns::kMaxEntries) {
    told.by_fingerprint[fingerprint] = return_at;
  }
}

std::optional<Duration> EarlyBy(ToldReturns& told, std::uint64_t fingerprint, TimePoint now) {
  const auto found = told.by_fingerprint.find(fingerprint);
  if (found == told.by_fingerprint.end()) {
    return std::nullopt;
  }
  if (now + kReturnTolerance >= found->second) {
    told.by_fingerprint.erase(found);
    return std::nullopt;
  }
  return found->second - now;
}

bool HasRoomForHedge(const HedgeTarget& target) {
  return target.waiting == 0 && target.connection_ready && target.unanswered <= target.slots;
}

bool RecordOverload(OverloadState& state, TimePoint now) {
  const bool begins = !state.active;
  if (begins) {
    state = {.active = true, .began_at = now};
  }
  ++state.refused;
  state.refused_at = now;
  return begins;
}

bool EndOverload(OverloadState& state, TimePoint now) {
  const bool ends = state.active && now - state.refused_at >= OverloadState::kQuietTime;
  state.active = state.active && !ends;
  return ends;
}

}  // namespace pimentomoor
