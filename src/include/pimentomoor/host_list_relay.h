// Distribution of the host list among the members of a view: which daemons poll the platform, which of two lists is
// newer, and the differences that the pollers send to the other daemons. Without input or output of its own;
// HostListTask connects it with sockets.
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

/// Number of members of a view that poll the platform. With two, the other daemons get lists without delay when one
/// of them fails.
constexpr std::size_t kHostListPollerCount = 2;

/// Time without a confirmation of its list after which a daemon polls the platform itself. Two consecutive polls of a
/// poller, each with a call of almost its longest duration of 1 s, confirm a list every 3.8 s. With less than 4 s,
/// all daemons could poll a slow platform at once.
constexpr Duration kHostListMaxUnconfirmed = std::chrono::seconds(4);

/// The hosts among `hosts` that poll the platform: the two of highest rendezvous weight. Daemons that know the same
/// live members choose the same pollers.
std::vector<std::string> ChooseHostListPollers(std::span<const std::string> hosts);

/// Inputs to the decision whether this daemon polls the platform.
struct HostListRole {
  bool everyone_polls = false;  // naive policy: every daemon polls
  bool member = false;          // this daemon is a member of the view
  bool poller = false;          // ChooseHostListPollers() of the live members contains this daemon
  // The platform showed the held list at this time or later; absent when no list is held.
  std::optional<TimePoint> confirmed_at;
};

/// Whether this daemon polls the platform now.
bool ShouldPollHostList(const HostListRole& role, TimePoint now);

/// Bounds of the time at which the platform showed a list, on the clock of this daemon. For a poll by this daemon
/// they are the times of call and answer. For a list of another daemon, `not_before` is when this daemon sent the
/// request that had arrived there before the poll began, and `not_after` is when the list arrived here.
struct HostListReadTime {
  std::uint64_t source = 0;  // incarnation of the daemon that polled
  TimePoint not_before{};
  TimePoint not_after{};
};

/// Result of comparing a candidate list with the held one.
enum class HostListDecision {
  kTaken,      // the candidate is provably newer, or no list is held: it replaces the held list
  kConfirmed,  // the candidate equals the held list
  kNotNewer,   // the candidate differs and is not provably newer: it is dropped
};

/// Decides on a candidate list by digest and read time. `held_digest` is absent when no list is held. On kTaken and
/// kConfirmed, `held_time` becomes the read time of the list held afterwards.
HostListDecision DecideOnHostList(std::optional<std::uint64_t> held_digest, HostListReadTime& held_time,
                                  std::uint64_t candidate_digest, const HostListReadTime& candidate_time);

/// Sum of the hashes of all hosts in the list. The value is part of the protocol between daemons.
std::uint64_t HostListDigest(const HostList& list);

/// The held list, with its differences from earlier lists.
class HostListHistory {
 public:
  [[nodiscard]] const std::optional<HostList>& list() const { return list_; }
  /// Digest of list(); absent when no list is held.
  [[nodiscard]] std::optional<std::uint64_t> digest() const { return digest_; }

  /// Replaces the held list. `digest` is that of `next`.
  void Replace(HostList next, std::uint64_t digest);

  /// Fills `relay` with the differences that turn the list with digest `known_digest` into list(), or with the whole
  /// list when those differences are not kept. A list must be held. Returns false when the relay exceeds
  /// kMaxRelayBytes.
  bool FillRelay(std::optional<std::uint64_t> known_digest, proto::HostListRelay& relay) const;

  /// The list that results from applying `relay` to list(), with the checks that apply to the platform's answer.
  /// Throws ConfigError when the relay is malformed or the result doesn't have the digest of the relay.
  [[nodiscard]] HostList Apply(const proto::HostListRelay& relay) const;

 private:
  // Replacement of one list by the next.
  struct Change {
    std::uint64_t digest_before = 0;     // digest of the replaced list
    std::vector<std::string> addresses;  // addresses that were added, changed or removed
  };

  std::optional<HostList> list_;
  std::optional<std::uint64_t> digest_;
  std::deque<Change> changes_;  // last changes, newest last
};

/// Largest size of a relay. The differences when a failure domain of 1/21 of 75,000 hosts leaves are about 130 KB. A
/// whole list of the target size (2.6 MB) is not sent to each of 30 members: they poll the platform instead.
constexpr std::size_t kMaxRelayBytes = std::size_t{256} * 1024;

}  // namespace pimentomoor
