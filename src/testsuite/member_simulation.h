// Gateway daemons that exchange heartbeats over a simulated network, for tests and measurements of the member list.
//
// In a large cell most daemons keep only the members of their own failure domain, so that the cell fits into memory.
// The first of each domain, among them all relays, keep everything.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "pimentomoor/member_exchange.h"

namespace pimentomoor {

struct MemberSimulationOptions {
  std::size_t daemon_count = 6;
  std::size_t domain_count = 3;
  std::size_t seed_count = 3;               // the first daemons
  std::size_t full_lists_per_domain = 100;  // daemons of each domain that keep all members
  int loss_percent = 0;
  int duplicate_percent = 0;
  int late_percent = 0;  // datagrams that arrive up to 100 ms later
  unsigned random_seed = 1;
};

class MemberSimulation {
 public:
  struct Daemon {
    std::optional<MemberExchange> exchange;  // absent when ended
    std::uint64_t incarnation = 0;
    bool ready = true;
    bool paused = false;
    std::uint32_t load_parts_per_s = 100;
    std::uint64_t crash_fingerprint = 0;  // of the crash report that heartbeats carry; 0: none
    std::uint64_t content_revision = 1;
    TimePoint started_or_killed_at;
    TimePoint next_tick;
    std::uint64_t bytes_sent = 0;  // with the heads of IP and UDP
    std::uint64_t bytes_received = 0;
    std::uint64_t largest_datagram_bytes = 0;  // without these heads
  };

  explicit MemberSimulation(MemberSimulationOptions options);

  void Start(std::size_t index);
  void Kill(std::size_t index);
  /// Tells that the daemon's state changed.
  void Announce(std::size_t index);
  void RunFor(Duration time);

  /// Whether `index` keeps all members.
  [[nodiscard]] bool KeepsAllMembers(std::size_t index) const;
  /// Daemons that run but are not in the list of `index` with their current incarnation and state.
  [[nodiscard]] std::size_t CountMissingPeers(std::size_t index);
  /// Daemons in the list of `index` that have ended.
  [[nodiscard]] std::size_t CountDeadPeers(std::size_t index);

  std::vector<Daemon> daemons;
  std::function<bool(std::size_t, std::size_t)> link_is_cut;  // whether datagrams between two daemons are lost
  std::function<void(std::size_t, const std::function<void()>&)> wrap_action;  // calls each action of a daemon
  TimePoint now{std::chrono::hours(1)};

 private:
  struct InFlight {
    std::size_t from;
    std::size_t to;
    std::string bytes;
  };
  void Act(std::size_t index, const std::function<std::vector<MemberDatagram>()>& action);
  void Deliver(const InFlight& datagram);
  [[nodiscard]] proto::GatewayHeartbeat Describe(std::size_t index) const;
  [[nodiscard]] bool Chance(int percent) { return percent > 0 && static_cast<int>(random_() % 100) < percent; }

  MemberSimulationOptions options_;
  std::mt19937 random_;
  std::uint64_t incarnations_ = 0;
  std::vector<std::string> addresses_;
  std::map<std::string, std::size_t> indexes_;  // by address
  std::multimap<TimePoint, InFlight> network_;
};

}  // namespace pimentomoor
