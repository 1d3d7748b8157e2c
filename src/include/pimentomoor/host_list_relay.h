// Distribution of the host list within a view: which daemons poll the platform, which of two lists is newer, and the
// differences that the pollers send. Pure functions and state; HostListTask connects them with sockets.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "peer.pb.h"
#include "pimentomoor/clock.h"
#include "pimentomoor/host_list_client.h"

namespace pimentomoor {

/// Members of a view that poll the platform; a second one takes over without delay when the first fails.
constexpr std::size_t kHostListPollerCount = 2;

/// A list that no poll of the last 4 s confirms makes a daemon poll itself. Two consecutive polls of a poller, each
/// with a call of almost its longest duration of 1 s, confirm a list every 3.8 s: a slow platform must not get polls
/// of all daemons at once.
constexpr Duration kHostListMaxUnconfirmed = std::chrono::seconds(4);

/// The hosts among `hosts` that poll: the two of highest rendezvous weight. Every daemon that knows the same live
/// members chooses the same ones.
std::vector<std::string> ChooseHostListPollers(std::span<const std::string> hosts);

struct HostListRole {
  bool everyone_polls = false;            // naive variant
  bool member = false;                    // of the view
  bool poller = false;                    // by ChooseHostListPollers() of the live members
  std::optional<TimePoint> confirmed_at;  // the list held was the platform's at this time or later
};

/// Whether this daemon polls the platform now.
bool ShouldPollHostList(const HostListRole& role, TimePoint now);

/// What is known of the moment at which the platform showed a list, on the clock of this daemon. For an own poll
/// these are the times of call and answer. For a list of another daemon, `not_before` is when this daemon sent the
/// request that had arrived there before the poll began, and `not_after` when the list arrived here.
struct HostListReadTime {
  std::uint64_t source = 0;  // incarnation of the daemon that polled
  TimePoint not_before{};
  TimePoint not_after{};
};

enum class HostListDecision {
  kTaken,      // provably newer
  kConfirmed,  // equal to the list held
  kNotNewer,   // not provably newer
};

/// Decides on a list by its digest; `held_digest` is absent when no list is held. On kTaken and kConfirmed
/// `held_time` becomes the evidence for the list held afterwards.
HostListDecision DecideOnHostList(std::optional<std::uint64_t> held_digest, HostListReadTime& held_time,
                                  std::uint64_t candidate_digest, const HostListReadTime& candidate_time);

/// Sum of the hashes of all hosts. The value is part of the protocol between daemons.
std::uint64_t HostListDigest(const HostList& list);

/// The list held, with the differences from the lists before it.
class HostListHistory {
 public:
  [[nodiscard]] const std::optional<HostList>& list() const { return list_; }
  [[nodiscard]] std::optional<std::uint64_t> digest() const { return digest_; }  // of list(), when there is one

  void Replace(HostList next, std::uint64_t digest);

  /// Fills what leads from the list with digest `known_digest` to list(), which must be there; the whole list when
  /// the differences are not known. False when that exceeds kMaxRelayBytes.
  bool FillRelay(std::optional<std::uint64_t> known_digest, proto::HostListRelay& relay) const;

  /// The list that a relay describes, with the checks that apply to the platform's answer. Throws ConfigError when
  /// the relay is malformed or doesn't lead to its digest from list().
  [[nodiscard]] HostList Apply(const proto::HostListRelay& relay) const;

 private:
  struct Change {
    std::uint64_t digest_before = 0;
    std::vector<std::string> addresses;  // added, changed or removed
  };

  std::optional<HostList> list_;
  std::optional<std::uint64_t> digest_;
  std::deque<Change> changes_;  // newest last
};

/// Largest relay. The differences when a failure domain of 1/21 of 75,000 hosts leaves are about 130 KB; a whole list
/// of the target size (2.6 MB) to each of 30 members is not sent: they poll the platform instead.
constexpr std::size_t kMaxRelayBytes = std::size_t{256} * 1024;

}  // namespace pimentomoor
