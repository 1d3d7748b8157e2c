// Decides which requests are admitted, in which order admitted ones are sent, and when refused ones may return, while
// the upstreams of a service have too little room.
//
// Load that this answers: for longer than an upstream's pause (250 ms), callers ask for more than the upstreams can
// run, up to three times as much, some of them repeat at once, and customers differ in demand by a factor of ten.
// Without a decision all requests wait until they run late or out of time, and the work on those that run out of time
// is lost.
//
// A refusal needs evidence: the queues of all upstreams that could serve a part have been occupied for a second, and
// at the rate at which requests left them, the wait is too long. Without it, requests are admitted.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>

#include "pimentomoor/clock.h"

namespace pimentomoor {

struct AdmissionSettings {
  bool naive = true;  // every request is admitted and queues are first in, first out

  friend bool operator==(const AdmissionSettings&, const AdmissionSettings&) = default;
};

/// The queue of one upstream at this daemon during the last second.
struct QueueHistory {
  static constexpr Duration kBucketTime = std::chrono::milliseconds(250);
  static constexpr std::int64_t kWholeBuckets = 4;

  struct Bucket {
    Duration occupied{};      // time during which requests waited
    unsigned departures = 0;  // requests that were sent to the upstream

    friend bool operator==(const Bucket&, const Bucket&) = default;
  };
  std::array<Bucket, kWholeBuckets + 1> buckets{};  // ring of the whole buckets and the one in progress
  TimePoint updated_at{};
  bool occupied = false;  // since updated_at

  friend bool operator==(const QueueHistory&, const QueueHistory&) = default;
};

/// Records that `departures` requests have left the queue since the last call, and whether others wait from now on.
void RecordQueue(QueueHistory& history, bool occupied, unsigned departures, TimePoint now);

/// Whether requests waited for almost all of the last second.
bool IsStanding(const QueueHistory& history, TimePoint now);
/// Requests that the upstream takes in a second: those of the best half second of the last one and one more, so that
/// neither a pause nor a rare service makes the estimate too low.
double DepartureRate(const QueueHistory& history, TimePoint now);

/// Place of a request in the queue of an upstream.
struct QueuePlace {
  unsigned priority = 0;       // 0 goes first
  std::uint64_t customer = 0;  // hash of the customer's name; 0: none
  double step = 1;             // distance between turns of the customer; the inverse of its weight
  double turn = 0;             // see NextTurn()
  TimePoint deadline{};

  friend bool operator==(const QueuePlace&, const QueuePlace&) = default;
};

/// Order of a queue: by priority, then by turn, which is fair between customers, then by deadline. The deadline
/// decides only between equal turns, so that a request with little time left doesn't delay others of its customer.
bool GoesBefore(const QueuePlace& left, const QueuePlace& right);

/// The last turn that was served, by priority. Must be cleared when the queue becomes empty.
using ServedTurns = std::map<unsigned, double>;

/// The turn of a request that enters the queue (self-clocked fair queueing): one step after the last waiting request
/// of its customer, or after the last turn that was served. `place_of` returns the place of an element of `waiting`.
template <typename Waiting, typename PlaceOf>
double NextTurn(const ServedTurns& served, const Waiting& waiting, PlaceOf place_of, const QueuePlace& entry) {
  const auto found = served.find(entry.priority);
  double last = found == served.end() ? 0 : found->second;
  for (const auto& element : waiting) {
    const QueuePlace& place = place_of(element);
    if (place.priority == entry.priority && place.customer == entry.customer && place.turn > last) {
      last = place.turn;
    }
  }
  return last + entry.step;
}

/// Weight of a customer's turns against that of an average customer: the root of the ratio of their demands. With
/// equal weights, a customer of ten times the demand got under a quarter of the mean service rate at three times the
/// room; with weights in proportion to demand, it would displace the others.
double CustomerWeight(double demand, double mean_demand);

/// Recent requests of each customer, by the hash of its name.
struct CustomerDemand {
  static constexpr std::size_t kMaxCustomers = 10'000;  // further ones count as average

  struct Count {
    double requests = 0;  // halves every kHalfLife
    TimePoint updated_at{};
  };
  std::unordered_map<std::uint64_t, Count> by_customer;
  double total = 0;  // the same over all customers
  TimePoint updated_at{};
};
/// Counts a request and returns the weight of its customer.
double CountDemand(CustomerDemand& demand, std::uint64_t customer, TimePoint now);

/// What one upstream offers to a request.
struct UpstreamRoom {
  bool standing = false;      // result of IsStanding()
  double departures_per_s{};  // result of DepartureRate()
  std::size_t ahead = 0;      // waiting requests that would go first

  friend bool operator==(const UpstreamRoom&, const UpstreamRoom&) = default;
};

/// What the upstreams of one part offer.
struct PartRoom {
  Duration wait{};              // shortest wait at any of them; zero without evidence of one
  double departures_per_s = 0;  // of all of them

  friend bool operator==(const PartRoom&, const PartRoom&) = default;
};

/// Time until the upstream takes the request. Zero when nothing is ahead of it or its queue isn't standing.
Duration ExpectedWait(const UpstreamRoom& room);
PartRoom RoomOfPart(std::span<const UpstreamRoom> upstreams);

/// A request that asks for admission.
struct AdmissionRequest {
  Duration time_left{};                   // until it must be answered
  Duration objective_left{};              // until its answer would be late; may be negative
  Duration objective{};                   // of its route
  Duration least_work{};                  // time in which an upstream answers at best; zero when unknown
  Duration usual_work{};                  // median of that time
  std::size_t needed_parts = 1;           // parts without which there is no success
  std::optional<Duration> early_by = {};  // the caller was told to come back this much later

  friend bool operator==(const AdmissionRequest&, const AdmissionRequest&) = default;
};

enum class AdmissionRefusal : std::uint8_t { kNone, kNoRoom, kEarly };

struct AdmissionDecision {
  AdmissionRefusal refusal = AdmissionRefusal::kNone;
  Duration room_in{};     // when refused: time until there is room for the request
  double room_per_s = 0;  // when refused: such requests that find room in a second

  friend bool operator==(const AdmissionDecision&, const AdmissionDecision&) = default;
};

/// Longest wait with which a request is admitted: its answer still comes in time, and within its objective or a
/// quarter of it later. A longer queue would serve no more requests, only all of them later.
Duration AllowedWait(const AdmissionRequest& request);

/// Admits the request when enough of its parts have room at the same time. `parts` has an element for each part.
AdmissionDecision DecideAdmission(const AdmissionRequest& request, std::span<const PartRoom> parts);
/// Admits every request; the baseline in tests.
AdmissionDecision DecideAdmissionNaive(const AdmissionRequest& request, std::span<const PartRoom> parts);

/// Whether an upstream can still answer a part in time, were it asked now. Unlike AllowedWait(), a late answer
/// counts.
bool MayArrive(const AdmissionRequest& request, const PartRoom& part);

/// When refused callers of one route return.
struct ReturnSchedule {
  TimePoint next{};  // the next caller is told to return then, or later
  std::uint64_t booked = 0;

  friend bool operator==(const ReturnSchedule&, const ReturnSchedule&) = default;
};

/// Time after which a refused caller is told to return. Callers are spread at the rate at which requests find room,
/// and are never told more than a third of their time left, because they wait no longer.
Duration BookReturn(ReturnSchedule& schedule, const AdmissionDecision& decision, Duration time_left, TimePoint now);

/// Callers that were told when to return, by the fingerprint of their request: attempts of a caller have different
/// ids.
struct ToldReturns {
  static constexpr std::size_t kMaxEntries = 4'096;  // further callers are not remembered

  std::unordered_map<std::uint64_t, TimePoint> by_fingerprint;
};
void RememberReturn(ToldReturns& told, std::uint64_t fingerprint, TimePoint return_at, TimePoint now);
/// Time by which a request comes too early; nothing for any other. Forgets one that comes in time.
std::optional<Duration> EarlyBy(ToldReturns& told, std::uint64_t fingerprint, TimePoint now);

/// The upstream to which a hedge would go.
struct HedgeTarget {
  std::size_t waiting = 0;        // requests that wait for a connection to it
  std::size_t unanswered = 0;     // requests of this daemon that it has not answered
  bool connection_ready = false;  // a connection is idle or may be opened
  std::size_t slots = 1;          // requests that it runs at a time

  friend bool operator==(const HedgeTarget&, const HedgeTarget&) = default;
};

/// Whether a hedge would take no other request's place.
bool HasRoomForHedge(const HedgeTarget& target);

/// Whether this daemon is overloaded, for the log. Overload begins with a refusal for lack of room.
struct OverloadState {
  static constexpr Duration kQuietTime = std::chrono::seconds(5);  // without refusals until overload ends

  bool active = false;
  TimePoint began_at{};
  TimePoint refused_at{};  // last refusal
  std::uint64_t refused = 0;

  friend bool operator==(const OverloadState&, const OverloadState&) = default;
};

/// Counts a refusal. Returns whether overload began.
bool RecordOverload(OverloadState& state, TimePoint now);
/// Returns whether overload has ended since the last call.
bool EndOverload(OverloadState& state, TimePoint now);

}  // namespace pimentomoor
