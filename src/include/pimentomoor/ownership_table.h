// Ownership of upstreams as one daemon sees it: who owns what by the current view, and for the upstreams of this
// daemon, how far their takeover is.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pimentomoor/clock.h"
#include "pimentomoor/ownership.h"
#include "pimentomoor/takeover.h"

namespace pimentomoor {

class OwnershipTable {
 public:
  /// `lease` is the lease duration of all daemons.
  OwnershipTable(proto::Daemon self, Duration lease_duration)
      : self_(std::move(self)), lease_duration_(lease_duration) {}

  /// Continues as another incarnation, which owns nothing yet.
  void SetSelf(const proto::Daemon& self);

  /// Moves to a newer view.
  void SetView(const proto::View& view, TimePoint now);

  /// Replaces the placements. Returns false when they are the same as before.
  bool SetPlacements(std::vector<UpstreamPlacement> placements, TimePoint now);

  /// A majority of the previous members acknowledged the current epoch.
  void OnEpochAcknowledged(TimePoint now);

  /// `from` released upstreams as of `epoch`.
  void OnReleased(std::uint64_t from_incarnation, std::uint64_t epoch,
                  const std::vector<proto::UpstreamHandover>& upstreams);

  /// The upstreams out of `upstreams` that this daemon stopped owning as of `epoch`, that no daemon before it can
  /// still use, and for which `outstanding` is false.
  [[nodiscard]] std::vector<std::string> Releasable(std::uint64_t epoch, const std::vector<std::string>& upstreams,
                                                    const std::function<bool(const std::string&)>& outstanding) const;

  /// Ends takeovers whose conditions hold; returns the upstreams that this daemon may use from now on, with what
  /// their previous owners handed over. With `placements_settled` false, a daemon with other placements may still
  /// regard itself as the owner, so none ends.
  std::vector<proto::UpstreamHandover> FinishTakeovers(bool placements_settled, TimePoint now);

  /// Upstreams to acquire, by the incarnation of the previous owner and the epoch in which this daemon became owner.
  struct Acquisition {
    proto::Daemon previous_owner;
    std::uint64_t epoch = 0;
    std::vector<std::string> upstreams;
  };
  [[nodiscard]] std::vector<Acquisition> Acquisitions() const;

  /// Host name of the owner; null when the upstream is unknown.
  [[nodiscard]] const std::string* OwnerHost(const std::string& upstream) const;
  /// Whether this daemon owns the upstream and its takeover is over. Says nothing about the lease.
  [[nodiscard]] bool IsTakenOver(const std::string& upstream) const;
  /// Upstreams that this daemon gave up in the current or the previous epoch.
  [[nodiscard]] std::vector<std::string> GivenUp() const;
  /// Whether `test` holds for an upstream that this incarnation could ever send to, also when the catalog has since
  /// given it to another daemon or dropped it.
  [[nodiscard]] bool AnyEverTakenOver(const std::function<bool(const std::string&)>& condition) const;
  [[nodiscard]] std::size_t owned_count() const { return owned_.size(); }

 private:
  struct EpochChange;

  void Recompute();
  void DropLostUpstreams(const EpochChange& change);
  void StartTakeover(const std::string& upstream, TimePoint now);
  [[nodiscard]] bool OwnedInPreviousView(const std::string& upstream) const;
  [[nodiscard]] const proto::Daemon* FindPreviousOwner(const std::string& upstream) const;

  proto::Daemon self_;
  Duration lease_duration_;
  proto::View view_;
  bool is_member_ = false;  // this incarnation is in view_
  bool acknowledged_ = false;
  std::vector<UpstreamPlacement> placements_;           // ordered by upstream
  std::map<std::string, std::string> owners_;           // by view_.members
  std::map<std::string, std::string> previous_owners_;  // by view_.previous_members
  std::map<std::string, Takeover> owned_;               // upstreams of this daemon by owners_
  std::set<std::string> ever_taken_over_;               // upstreams that this incarnation could ever send to
  std::map<std::string, std::uint64_t> given_up_;       // upstream to the first epoch in which it has another owner
};

}  // namespace pimentomoor
