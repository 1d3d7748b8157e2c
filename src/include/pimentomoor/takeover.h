// Decides when the owner of an upstream in a new epoch may send, and when the next view may be written.
//
// Once a majority of the members of epoch e have acknowledged e+1, no daemon can collect a new majority of replies
// that name e, so every lease of e ends within the lease duration. Because e+2 is written only after that, a lease of
// e also ends before the owners of e+2 have waited.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "peer.pb.h"
#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Longest time that a sub-query runs at an upstream after it was sent.
constexpr Duration kMaxSubQueryDuration = std::chrono::milliseconds(2'000);

/// Time from the moment when a majority excluded the previous owner until its last sub-query has ended. The lease
/// counts 1.05 times, because the clocks of two hosts may run at different rates.
constexpr Duration TakeoverWait(Duration lease_duration) {
  return lease_duration + lease_duration / 20 + kMaxSubQueryDuration;
}

/// Acknowledgements of one epoch by the members of the epoch before it.
struct EpochAcks {
  std::uint64_t epoch = 0;
  std::vector<proto::Daemon> previous_members;  // members of epoch - 1
  std::set<std::uint64_t> acked;  // incarnations out of `previous_members` that can't renew a lease of epoch - 1
  std::optional<TimePoint> acknowledged_at;  // when this daemon learned that a majority acknowledged
};

/// Acknowledgements of the epoch of `view`. An epoch without previous members is acknowledged at once.
EpochAcks StartEpoch(const proto::View& view, TimePoint now);

/// A daemon reported its epoch.
void OnEpochReported(EpochAcks& acks, std::uint64_t incarnation, std::uint64_t epoch, TimePoint now);

/// A process with `incarnation` answered at `address` a message that was sent after `acks.epoch` was adopted. A
/// previous member with another incarnation at that address no longer runs. A message that was not sent as an answer
/// must not be used: it may come late from an earlier incarnation.
void OnAnswerFrom(EpochAcks& acks, const std::string& address, std::uint64_t incarnation, TimePoint now);

/// The host list shows `host` as gone.
void OnHostGone(EpochAcks& acks, const std::string& host, TimePoint now);

/// Another daemon reported that a majority acknowledged `epoch`.
void OnAcknowledgementReported(EpochAcks& acks, std::uint64_t epoch, TimePoint now);

/// Whether the view of epoch + 1 may be written.
bool MayWriteNextView(const EpochAcks& acks);

/// State of one upstream at its owner.
struct Takeover {
  std::uint64_t epoch = 0;               // in which this daemon became the owner
  proto::Daemon previous_owner;          // owner in epoch - 1; incarnation 0 when there was none or it is not known
  bool released = false;                 // by `previous_owner`, or there was no previous owner
  std::optional<TimePoint> excluded_at;  // when a majority had acknowledged `epoch`
  bool done = false;                     // stays true for as long as the ownership lasts
  proto::UpstreamHandover handover;      // from `previous_owner`, when it released the upstream
};

/// Whether no daemon of an earlier epoch can still send to the upstream or have a request running there.
bool TakeoverDone(const Takeover& takeover, Duration lease_duration, TimePoint now);

}  // namespace pimentomoor
