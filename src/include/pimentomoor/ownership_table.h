// Ownership of upstreams as one daemon sees it: the owner of each upstream by the current view, and the state of the
// takeovers of the upstreams that this daemon owns.
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

/// Owners of all upstreams, and the takeovers and releases of this daemon.
class OwnershipTable {
 public:
  /// `lease_duration` is that of all daemons.
  OwnershipTable(proto::Daemon self, Duration lease_duration)
      : self_(std::move(self)), lease_duration_(lease_duration) {}

  /// Continues as another incarnation of this daemon, which owns nothing yet.
  void SetSelf(const proto::Daemon& self);

  /// Moves to a newer view: drops upstreams that got another owner and starts takeovers of those gained.
  void SetView(const proto::View& view, TimePoint now);

  /// Replaces the placements of all upstreams. Returns false when they are the same as before.
  bool SetPlacements(std::vector<UpstreamPlacement> placements, TimePoint now);

  /// Records that a majority of the previous members acknowledged the current epoch.
  void OnEpochAcknowledged(TimePoint now);

  /// Records that the daemon `from_incarnation` released upstreams whose owner this daemon became in `epoch`.
  void OnReleased(std::uint64_t from_incarnation, std::uint64_t epoch,
                  const std::vector<proto::UpstreamHandover>& upstreams);

  /// Those of `upstreams` that this daemon may release: it stopped owning them in `epoch`, no earlier owner can still
  /// use them, and `outstanding` is false for them.
  [[nodiscard]] std::vector<std::string> Releasable(std::uint64_t epoch, const std::vector<std::string>& upstreams,
                                                    const std::function<bool(const std::string&)>& outstanding) const;

  /// Finishes the takeovers whose conditions hold. Returns the upstreams that this daemon may use from now on, each
  /// with what its previous owner handed over. Does nothing without `placements_settled`: a daemon with other
  /// placements may then still regard itself as the owner.
  std::vector<proto::UpstreamHandover> FinishTakeovers(bool placements_settled, TimePoint now);

  /// Upstreams that one previous owner is asked to release.
  struct Acquisition {
    proto::Daemon previous_owner;
    std::uint64_t epoch = 0;  // epoch in which this daemon became their owner
    std::vector<std::string> upstreams;
  };
  /// Releases that unfinished takeovers still wait for, one item for each previous owner and epoch.
  [[nodiscard]] std::vector<Acquisition> Acquisitions() const;

  /// Host name of the owner of `upstream`; null when the upstream is unknown.
  [[nodiscard]] const std::string* OwnerHost(const std::string& upstream) const;
  /// Whether this daemon owns the upstream and its takeover is done. The lease is not considered.
  [[nodiscard]] bool IsTakenOver(const std::string& upstream) const;
  /// Upstreams that this daemon stopped owning in the current or the previous epoch.
  [[nodiscard]] std::vector<std::string> GivenUp() const;
  /// Whether `condition` holds for an upstream whose takeover this incarnation ever finished, even if the catalog has
  /// since given it to another daemon or dropped it.
  [[nodiscard]] bool AnyEverTakenOver(const std::function<bool(const std::string&)>& condition) const;
  /// Number of upstreams that this daemon owns, with or without a finished takeover.
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
  bool is_member_ = false;                              // this incarnation is in view_
  bool acknowledged_ = false;                           // a majority acknowledged the epoch of view_
  std::vector<UpstreamPlacement> placements_;           // ordered by upstream
  std::map<std::string, std::string> owners_;           // upstream to owner's host, by view_.members
  std::map<std::string, std::string> previous_owners_;  // upstream to owner's host, by view_.previous_members
  std::map<std::string, Takeover> owned_;               // upstreams that owners_ gives to this daemon
  std::set<std::string> ever_taken_over_;               // upstreams whose takeover this incarnation ever finished
  std::map<std::string, std::uint64_t> given_up_;       // upstream to the first epoch in which it has another owner
};

}  // namespace pimentomoor
