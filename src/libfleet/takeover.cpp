// Counting of epoch acknowledgements, and the end of a takeover.
#include "pimentomoor/takeover.h"

#include "pimentomoor/lease.h"

namespace pimentomoor {
namespace {

void Acknowledge(EpochAcks& acks, std::uint64_t incarnation, TimePoint now) {
  acks.acked.insert(incarnation);
  if (!acks.acknowledged_at && acks.acked.size() >= Majority(acks.previous_members.size())) {
    acks.acknowledged_at = now;
  }
}

}  // namespace

EpochAcks StartEpoch(const proto::View& view, TimePoint now) {
  EpochAcks acks;
  acks.epoch = view.epoch();
  acks.previous_members.assign(view.previous_members().begin(), view.previous_members().end());
  if (acks.previous_members.empty()) {
    acks.acknowledged_at = now;
  }
  return acks;
}

void OnEpochReported(EpochAcks& acks, std::uint64_t incarnation, std::uint64_t epoch, TimePoint now) {
  if (epoch < acks.epoch) {
    return;
  }
  for (const proto::Daemon& member : acks.previous_members) {
    if (member.incarnation() == incarnation) {
      Acknowledge(acks, incarnation, now);
    }
  }
}

void OnAnswerFrom(EpochAcks& acks, const std::string& address, std::uint64_t incarnation, TimePoint now) {
  for (const proto::Daemon& member : acks.previous_members) {
    if (member.peer_address() == address && member.incarnation() != incarnation) {
      Acknowledge(acks, member.incarnation(), now);
    }
  }
}

void OnHostGone(EpochAcks& acks, const std::string& host, TimePoint now) {
  for (const proto::Daemon& member : acks.previous_members) {
    if (member.host() == host) {
      Acknowledge(acks, member.incarnation(), now);
    }
  }
}

void OnAcknowledgementReported(EpochAcks& acks, std::uint64_t epoch, TimePoint now) {
  if (!acks.acknowledged_at && epoch >= acks.epoch) {
    acks.acknowledged_at = now;
  }
}

bool MayWriteNextView(const EpochAcks& acks) { return acks.acknowledged_at.has_value(); }

bool TakeoverDone(const Takeover& takeover, Duration lease_duration, TimePoint now) {
  return takeover.done || takeover.released ||
         (takeover.excluded_at && now >= *takeover.excluded_at + TakeoverWait(lease_duration));
}

}  // namespace pimentomoor
