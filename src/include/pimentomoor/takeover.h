// Rules for when the owner of an upstream in a new epoch may send, and when the next view may be written.
//
// Once a majority of the members of epoch e has acknowledged e+1, no daemon can collect a new majority of replies
// that name e, so every lease of e ends within the lease duration. Because the view of e+2 is written only after that
// acknowledgement, a lease of e also ends before the wait of the owners of e+2 is over.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "peer.pb.h"
#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Longest time that a sub-query can run at an upstream after it was sent.
constexpr Duration kMaxSubQueryDuration = std::chrono::milliseconds(2'000);

/// Time after a majority has acknowledged a new epoch until the last sub-query of an earlier owner has ended. The
/// lease duration counts 1.05 times, because the clocks of two hosts may run at different rates.
constexpr Duration TakeoverWait(Duration lease_duration) {
  return lease_duration + lease_duration / 20 + kMaxSubQueryDuration;
}

/// Acknowledgements of one epoch by the members of the epoch before it.
struct EpochAcks {
  std::uint64_t epoch = 0;
  std::vector<proto::Daemon> previous_members;  // members of epoch - 1
  std::set<std::uint64_t> acked;  // incarnations of previous_members that can't renew a lease of epoch - 1 any more
  std::optional<TimePoint> acknowledged_at;  // when this daemon learned that a majority acknowledged
};

/// Starts to count the acknowledgements of the epoch of `view`. An epoch without previous members is acknowledged at
/// once.
EpochAcks StartEpoch(const proto::View& view, TimePoint now);

/// Records that `incarnation` reported `epoch` as its current one.
void OnEpochReported(EpochAcks& acks, std::uint64_t incarnation, std::uint64_t epoch, TimePoint now);

/// Records that `incarnation` at `address` answered a message that was sent after `acks.epoch` was adopted. A
/// previous member with another incarnation at that address no longer runs. Don't call this for a message that is not
/// such an answer: it may have been sent long ago by an earlier incarnation.
void OnAnswerFrom(EpochAcks& acks, const std::string& address, std::uint64_t incarnation, TimePoint now);

/// Records that the host list shows `host` as gone.
void OnHostGone(EpochAcks& acks, const std::string& host, TimePoint now);

/// Records that another daemon reported that a majority acknowledged `epoch`.
void OnAcknowledgementReported(EpochAcks& acks, std::uint64_t epoch, TimePoint now);

/// Whether the view of epoch + 1 may be written.
bool MayWriteNextView(const EpochAcks& acks);

/// Takeover of one upstream by its owner.
struct Takeover {
  std::uint64_t epoch = 0;               // epoch in which this daemon became the owner
  proto::Daemon previous_owner;          // owner in epoch - 1; incarnation 0 when there is none to ask for a release
  bool released = false;                 // previous_owner released the upstream, or there was no previous owner
  std::optional<TimePoint> excluded_at;  // when a majority was known to have acknowledged `epoch`
  bool done = false;                     // the takeover is over; stays true while this daemon is the owner
  proto::UpstreamHandover handover;      // what previous_owner told about the upstream when it released it
};

/// Whether no owner of an earlier epoch can still send to the upstream or have a request running there.
bool TakeoverDone(const Takeover& takeover, Duration lease_duration, TimePoint now);

}  // namespace pimentomoor
