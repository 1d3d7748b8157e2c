// Daemons that enforce usage caps over a simulated network, with callers that send requests of some customers.
// Daemons start, end, freeze and lose contact; messages are lost, late, repeated and reordered.
//
// The member lists are modelled by their delays: a daemon notices the end of contact to each other one after 1.2 to
// 2.8 s and a new contact within 1.2 s. A daemon that is dropped by another stops hearing it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pimentomoor/usage_cap_exchange.h"
#include "timeline.h"

namespace pimentomoor {

/// How daemons decide: by the exchange, or by one of the naive variants.
enum class UsageVariant { kExchange, kWholeCap, kEqualShare };

struct SimulatedCustomer {
  UsageCap cap;
  double demand = 1;              // requests sent, as a multiple of the cap's rate
  bool conforms = true;           // the customer sends nothing beyond its cap
  std::optional<std::size_t> at;  // the daemon that receives all requests; unset: a random one of the first eight
};

struct UsageSimulationOptions {
  std::size_t daemons = 8;
  std::size_t domains = 4;
  UsageCapSettings settings{.window = std::chrono::seconds(5), .excess = 0.1, .slack = 20};
  UsageVariant variant = UsageVariant::kExchange;
  int lost_percent = 1;  // of the messages, like the following two
  int late_percent = 2;  // arrive up to 400 ms later than the others
  int repeated_percent = 1;
  unsigned seed = 1;
};

class UsageSimulation : private Timeline {
 public:
  UsageSimulation(UsageSimulationOptions options, const std::vector<SimulatedCustomer>& customers);

  void Start(std::size_t daemon);
  void Kill(std::size_t daemon);
  void Freeze(std::size_t daemon, Duration duration);
  /// Loses all messages from daemons in `from` to daemons in `to`.
  void Cut(const std::set<std::size_t>& from, const std::set<std::size_t>& to);
  void Heal();
  /// Changes a cap. Each daemon applies it up to a second later.
  void ChangeCap(std::size_t customer, const UsageCap& cap);
  /// Ends the pauses of all customers beyond their cap, so that their bursts come with the next change.
  void EndPauses();
  void Run(Duration duration) { Advance(duration); }

  [[nodiscard]] std::size_t Random(std::size_t below) { return random_() % below; }
  [[nodiscard]] bool is_cut() const { return !cuts_.empty(); }
  [[nodiscard]] bool runs(std::size_t daemon) const { return daemons_[daemon].exchange != nullptr; }
  /// Largest number of requests above the bound in any window of any customer; at most 0 when the bound holds.
  [[nodiscard]] double MaxExcess() const;
  /// Requests of conforming customers while all daemons ran and nothing had changed for kSettled and the time in
  /// which the burst refills, and those of them that were refused.
  std::uint64_t settled_requests = 0;
  std::uint64_t settled_refusals = 0;
  std::uint64_t requests = 0;
  std::uint64_t messages = 0;

  static constexpr Duration kSettled = std::chrono::seconds(8);

 private:
  struct Contact {
    std::uint64_t incarnation = 0;            // of the other daemon, as this one knows it; 0: not alive
    TimePoint changes_at = TimePoint::max();  // when `incarnation` follows a change
  };
  struct Daemon {
    std::unique_ptr<UsageCapExchange> exchange;  // null while the daemon is down
    std::uint64_t incarnation = 0;
    TimePoint frozen_until{};
    TimePoint heard_at{};
    TimePoint wakes_at = TimePoint::max();
    std::vector<Contact> contacts;
    std::vector<bool> ever_seen;
    std::size_t counted = 0;
    std::vector<UsageBucket> naive_buckets;  // by customer
  };
  struct Customer {
    SimulatedCustomer spec;
    UsageBucket sent;                 // what a conforming customer may send
    std::size_t schedule_number = 0;  // number of EndPauses(); requests that were scheduled before are not sent
    std::vector<TimePoint> admitted;
    std::vector<std::pair<TimePoint, UsageCap>> caps;  // with the time from which each is published
  };

  [[nodiscard]] UsageMember MemberOf(std::size_t daemon) const;
  [[nodiscard]] bool Awake(std::size_t daemon) const { return runs(daemon) && daemons_[daemon].frozen_until <= now_; }
  [[nodiscard]] bool Hears(std::size_t to, std::size_t from) const;
  Duration Uniform(double min_s, double max_s);
  [[nodiscard]] bool IsSettled(const UsageCap& cap) const;
  void UpdateContacts();
  void ApplyMembers(std::size_t daemon);
  void ApplyCaps(std::size_t daemon);
  void ScheduleRequest(std::size_t customer, Duration delay);
  void SendRequest(std::size_t customer);
  void ReceiveRequest(std::size_t daemon, std::size_t customer, bool settled);
  void Decide(std::size_t customer, const UsageDecision& decision, bool settled);
  void Pump(std::size_t daemon);
  void Deliver(std::size_t daemon, const UsageMessage& message);

  UsageSimulationOptions options_;
  std::mt19937 random_;
  std::vector<Daemon> daemons_;
  std::vector<Customer> customers_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  TimePoint changed_at_;  // last change of the daemons, contacts or caps
  std::uint64_t next_incarnation_ = 1;
  std::vector<std::pair<std::size_t, bool>> tickets_;  // customer of each waiting request, and whether it was settled
};

}  // namespace pimentomoor
