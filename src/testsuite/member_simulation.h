// Gateway daemons that exchange heartbeats over a simulated network, for tests and measurements of the member list.
//
// In a large cell, most simulated daemons keep only the members of their own failure domain, so that the cell fits
// into memory. The first daemons of each domain, among them all relays, keep all members.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "pimentomoor/member_exchange.h"

namespace pimentomoor {

struct MemberSimulationOptions {
  std::size_t daemon_count = 6;
  std::size_t domain_count = 3;
  std::size_t seed_count = 3;               // number of daemons that all others use as seeds; they are the first ones
  std::size_t cell_count = 1;               // cells; the seeds of a daemon are the first daemons of its cell
  std::size_t full_lists_per_domain = 100;  // number of daemons of each domain that keep all members
  int loss_percent = 0;                     // of the datagrams, like the following two
  int duplicate_percent = 0;
  int late_percent = 0;  // share that arrives up to 100 ms later than the others
  unsigned random_seed = 1;
};

class MemberSimulation {
 public:
  struct Daemon {
    std::optional<MemberExchange> exchange;  // absent before the start and after Kill()
    std::uint64_t incarnation = 0;
    bool ready = true;
    bool paused = false;  // does nothing, and the datagrams that it receives wait
    std::uint32_t load_parts_per_s = 100;
    std::uint64_t crash_fingerprint = 0;  // of the crash report set by the test or received last; 0: none
    std::set<std::uint64_t> leaving;      // lifetimes of leaving upstreams, set by the test or received
    bool knows_leaving = true;            // false: a build that neither sends nor reads them
    std::uint64_t content_revision = 1;   // set by the test, or the highest one received
    TimePoint started_or_killed_at;
    TimePoint next_tick;
    std::uint64_t bytes_sent = 0;      // with the headers of IP and UDP
    std::uint64_t bytes_received = 0;  // with the headers of IP and UDP
    std::uint64_t leaving_reports_received = 0;
    std::uint64_t largest_datagram_bytes = 0;  // of the sent datagrams, without the headers of IP and UDP
  };

  explicit MemberSimulation(MemberSimulationOptions options);

  /// Starts the daemon with a new incarnation, also while its last process still runs.
  void Start(std::size_t index);
  /// Ends the daemon without notice to the others.
  void Kill(std::size_t index);
  /// Sends announcements of the daemon's changed state.
  void Announce(std::size_t index);
  void RunFor(Duration time);

  /// Sets daemons that the daemon contacts like seeds.
  void SetContacts(std::size_t index, const std::vector<std::size_t>& contacts);

  /// Whether the daemon keeps all members, and not only those of its failure domain.
  [[nodiscard]] bool KeepsAllMembers(std::size_t index) const;
  /// Number of running daemons that are not in the list of daemon `index` with their current incarnation and
  /// readiness.
  [[nodiscard]] std::size_t CountMissingPeers(std::size_t index);
  /// Number of daemons in the list of daemon `index` that no longer run.
  [[nodiscard]] std::size_t CountDeadPeers(std::size_t index);

  std::vector<Daemon> daemons;
  /// Whether all datagrams from the first daemon to the second are lost. Empty: there is no cut.
  std::function<bool(std::size_t, std::size_t)> link_is_cut;
  /// Called with a daemon and each of its actions, and must run the action, for example to measure it. Empty: actions
  /// run directly.
  std::function<void(std::size_t, const std::function<void()>&)> wrap_action;
  TimePoint now{std::chrono::hours(1)};

 private:
  struct DatagramInFlight {
    std::size_t from;
    std::size_t to;
    std::string bytes;
  };
  /// Runs an action of a daemon and puts the datagrams that it returns on the network.
  void RunAction(std::size_t index, const std::function<std::vector<MemberDatagram>()>& action);
  void Deliver(const DatagramInFlight& datagram);
  /// Returns the daemon's state in the form that MemberExchange takes.
  [[nodiscard]] proto::GatewayHeartbeat MakeSelfHeartbeat(std::size_t index) const;
  [[nodiscard]] bool RandomBool(int percent) { return percent > 0 && static_cast<int>(random_() % 100) < percent; }

  MemberSimulationOptions options_;
  std::mt19937 random_;
  std::uint64_t start_count_ = 0;  // of all daemons; gives each process another incarnation
  std::vector<std::string> addresses_;
  std::map<std::string, std::size_t> index_by_address_;
  std::multimap<TimePoint, DatagramInFlight> in_flight_;  // by time of arrival
};

}  // namespace pimentomoor
