// Simulation of the daemons of one deployment: a FleetCore for each host, a network that loses, delays, duplicates
// and reorders messages, a platform with outages and lost answers, paused and killed processes, and clocks that run
// at different rates. Checks the invariants of the fleet after each step.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <utility>
#include <vector>

#include "pimentomoor/cell.h"
#include "pimentomoor/fleet_core.h"

namespace pimentomoor::simulation {

constexpr std::chrono::milliseconds kStep{10};  // simulated time per step

struct SimulationOptions {
  double loss_probability = 0.02;         // of a message, a platform request or a platform answer
  double object_loss_probability = 0.02;  // of a message that carries a view or an object
  double duplicate_probability = 0.02;    // of a message
  double late_probability = 0.05;         // of a delay of a message up to 3 s, or of a platform answer up to 1.5 s
  double disruption_probability = 0.01;   // of a random disruption in one step, see Disrupt()
  std::size_t host_count = 4;
  std::size_t cell_count = 1;  // host i belongs to cell i % cell_count
};

class SimulatedDeployment;

// A host's client of the platform. The platform's objects are linearizable. Answers are delayed, requests and answers
// are lost at random, all requests are lost during an outage, and a watch may report old versions again.
class FakePlatform final : public PlatformClient {
 public:
  FakePlatform(SimulatedDeployment& deployment, std::size_t host) : deployment_(deployment), host_(host) {}
  void Get(const std::string& key, PlatformCallback done) override;
  void Put(const std::string& key, std::uint64_t expected, std::string value, PlatformCallback done) override;
  void Watch(const std::string& key, std::uint64_t after, PlatformCallback changed) override;
  void StopWatch(const std::string& key) override { watches_.erase(key); }
  // Reports objects that are newer than the last reported version, in random cases also an old version.
  void PollWatches();

 private:
  // Runs `operation` on the platform's objects and passes its reply to `done`, unless the request or the reply is
  // lost.
  void Call(std::function<PlatformReply()> operation, PlatformCallback done);

  struct ActiveWatch {
    std::uint64_t seen_version = 0;  // last version passed to the callback, first the version given by the caller
    PlatformCallback callback;
  };
  SimulatedDeployment& deployment_;
  std::size_t host_;
  std::map<std::string, ActiveWatch> watches_;
};

struct Host {
  ManualClock clock;
  double clock_rate = 1.0;
  std::unique_ptr<FakePlatform> platform;
  std::unique_ptr<FleetCore> core;  // null while the host is down
  TimePoint paused_until{};
  TimePoint network_cut_until{};                           // until then, messages to and from this host are lost
  TimePoint platform_cut_until{};                          // until then, this host can't reach the platform
  std::map<std::string, std::uint64_t> versions_in_force;  // by object key, in the current process
};

// A message, platform answer or callback on its way to a host.
struct Event {
  TimePoint due_at;
  std::size_t host;              // receiver; while it is paused, the event waits
  std::uint64_t process_number;  // the event is dropped when this process of the host has ended; 0: never for this
  std::function<void()> run;
};

// The last request that an upstream received.
struct RunningRequest {
  std::uint64_t sender_incarnation = 0;
  TimePoint ends_at{};
};

class SimulatedDeployment {
 public:
  SimulatedDeployment(std::uint64_t seed, SimulationOptions options)
      : random_(seed), options_(options), hosts_(options.host_count) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].clock_rate = 0.98 + 0.04 * RandomFraction();
      process_numbers_.push_back(1);
    }
    placements_.resize(options.cell_count);
    views_.resize(options.cell_count);
    WriteCatalog();
    objects_["d/config/outages"] = {.key = "d/config/outages", .version = 1, .value = "1"};
  }

  void StartHost(std::size_t index) {
    Host& host = hosts_[index];
    host.versions_in_force.clear();
    host.platform = std::make_unique<FakePlatform>(*this, index);
    FleetOptions options{.deployment = "d",
                         .object_keys = {"config/outages", CatalogKeyOfCell(CellOfHost(index))},
                         .random_seed = random_() | 1};
    options.self.set_host("h" + std::to_string(index));
    options.self.set_peer_address(options.self.host());
    options.self.set_failure_domain("z" + std::to_string(index / options_.cell_count % 2));
    options.self.set_cell(NameOfCell(CellOfHost(index)));
    for (std::size_t cell = 0; cell < options_.cell_count; ++cell) {
      if (cell != CellOfHost(index)) {
        options.object_keys.push_back(ViewKeyOfCell(cell));
      }
    }
    options.self.set_incarnation(random_() | 1);
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      options.seed_peers.push_back("h" + std::to_string(i));
    }
    host.core = std::make_unique<FleetCore>(
        host.clock, options, [this, index](const auto& to, const auto& message) { return Send(index, to, message); },
        *host.platform, FleetHooks{});
    FleetCore* core = host.core.get();
    core->SetObjectCallback(
        [this, core, index](const PlatformObject& object) { OnObjectInForce(*core, index, object); });
    core->SetOutstandingCheck([this, core](const std::string& upstream) {
      const RunningRequest& running = running_requests_[upstream];
      return running.ends_at > now_ && running.sender_incarnation == core->self().incarnation();
    });
    core->Start();
  }

  // Ends the host's process without notice.
  void Kill(std::size_t index) {
    ++process_numbers_[index];
    hosts_[index].core.reset();
    hosts_[index].platform.reset();
    hosts_[index].paused_until = TimePoint{};
  }

  // Runs steps for `duration` or until an invariant is broken, with random disruptions when `disrupt` is set.
  void Run(Duration duration, bool disrupt) {
    const TimePoint end = now_ + duration;
    while (now_ < end && error_.empty()) {
      Step(disrupt);
    }
  }

  // Cuts off every host but `connected_host` from the platform, and loses all messages with views or objects.
  void CutOffObjects(std::size_t connected_host, Duration duration) {
    objects_lost_until_ = now_ + duration;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (i != connected_host) {
        hosts_[i].platform_cut_until = now_ + duration;
      }
    }
  }

  // Cuts off the first `hosts` hosts from the platform and from the other hosts, but not from each other.
  void IsolateFirstHosts(std::size_t hosts, Duration duration) {
    isolated_host_count_ = hosts;
    isolated_until_ = now_ + duration;
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_[i].platform_cut_until = isolated_until_;
    }
  }

  // Writes a catalog with random group names and failure domains of replicas, so that upstreams move between owners.
  void WriteCatalog() {
    for (std::size_t cell = 0; cell < options_.cell_count; ++cell) {
      const std::string value = std::to_string(3 + random_() % 6) + " " + std::to_string(random_() % 1'000);
      const std::string key = "d/" + CatalogKeyOfCell(cell);
      StoreObject({.key = key, .version = objects_[key].version + 1, .value = value});
      placements_[cell] = ParseCatalog(value, cell);
    }
  }

  // Ends all losses and disruptions, and starts every host that is down.
  void Heal() {
    options_.loss_probability = options_.object_loss_probability = options_.duplicate_probability =
        options_.late_probability = 0;
    outage_until_ = objects_lost_until_ = isolated_until_ = TimePoint{};
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].paused_until = hosts_[i].network_cut_until = hosts_[i].platform_cut_until = TimePoint{};
      if (!hosts_[i].core) {
        StartHost(i);
      }
    }
  }

  // Returns what keeps the cells from full service after Heal(): a host without a lease or with an old view or
  // configuration, or an upstream without exactly one owner. Empty when there is nothing.
  std::string DescribeUnhealthyCells() {
    std::string text;
    for (std::size_t cell = 0; cell < options_.cell_count; ++cell) {
      text += DescribeUnhealthyCell(cell);
    }
    return text;
  }

  std::string DescribeUnhealthyCell(std::size_t cell) {
    std::ostringstream text;
    std::map<std::string, int> owners;
    for (std::size_t i = cell; i < hosts_.size(); i += options_.cell_count) {
      const Host& host = hosts_[i];
      const FleetCore& core = *host.core;
      if (!core.Joined() || !core.HoldsLease() || core.view().epoch() != CurrentView(cell).epoch()) {
        text << core.self().host() << " joined " << core.Joined() << " lease " << core.HoldsLease() << " epoch "
             << core.view().epoch() << "/" << CurrentView(cell).epoch() << "; ";
      }
      for (std::size_t other = 0; other < options_.cell_count; ++other) {
        const PlatformObject* view = core.FindObject(ViewKeyOfCell(other));
        if (other != cell && (view == nullptr || view->version != objects_["d/" + ViewKeyOfCell(other)].version)) {
          text << core.self().host() << " has an old view of cell " << other << "; ";
        }
      }
      for (const UpstreamPlacement& placement : placements_[cell]) {
        owners[placement.upstream] += core.MaySendTo(placement.upstream) ? 1 : 0;
      }
      if (core.FindObject("config/outages")->version != objects_["d/config/outages"].version) {
        text << core.self().host() << " has an old config; ";
      }
    }
    for (const auto& [upstream, count] : owners) {
      if (count != 1) {
        text << upstream << " has " << count << " owners; ";
      }
    }
    return text.str();
  }

  // Runs `run` at `host` after `delay`; with `only_this_process`, only while the host's current process lives.
  void Post(Duration delay, std::size_t host, bool only_this_process, std::function<void()> run) {
    events_.emplace(now_ + delay,
                    Event{now_ + delay, host, only_this_process ? process_numbers_[host] : 0, std::move(run)});
  }
  bool RandomBool(double probability) { return RandomFraction() < probability; }
  // Random number from 0 up to 1.
  double RandomFraction() { return std::uniform_real_distribution<>(0, 1)(random_); }
  // Random time from 0 up to `max`.
  Duration RandomDuration(Duration max) {
    return Duration(static_cast<Duration::rep>(RandomFraction() * max.count()));
  }
  bool PlatformReachable(std::size_t host) const {
    return now_ >= outage_until_ && now_ >= hosts_[host].platform_cut_until;
  }

  Host& host(std::size_t index) { return hosts_[index]; }
  TimePoint now() const { return now_; }
  // First broken invariant; empty when all have held.
  const std::string& error() const { return error_; }
  const SimulationOptions& options() const { return options_; }
  std::map<std::string, PlatformObject>& objects() { return objects_; }
  // Any version of the object that was ever stored.
  PlatformObject RandomStoredVersion(const std::string& key) {
    const auto& versions = stored_versions_[key];
    return versions.empty() ? PlatformObject{} : versions[random_() % versions.size()];
  }
  void StoreObject(const PlatformObject& object) {
    objects_[object.key] = object;
    stored_versions_[object.key].push_back(object);
  }
  // The cell's view that the platform holds.
  const proto::View& CurrentView(std::size_t cell = 0) {
    const PlatformObject& object = objects_["d/" + ViewKeyOfCell(cell)];
    auto& [version, view] = views_[cell];
    if (object.version != version) {
      view.ParseFromString(object.value);
      version = object.version;
    }
    return view;
  }
  std::uint64_t sent_requests() const { return sent_requests_; }
  // Epoch of the first cell's view.
  std::uint64_t last_epoch() { return CurrentView().epoch(); }
  std::uint64_t accepted_versions() const { return accepted_at_.size(); }

 private:
  std::size_t CellOfHost(std::size_t host) const { return host % options_.cell_count; }
  static std::string NameOfCell(std::size_t cell) { return cell == 0 ? "" : "c" + std::to_string(cell); }
  static std::string ViewKeyOfCell(std::size_t cell) { return ViewKey(CellNameOrDefault(NameOfCell(cell))); }
  static std::string CatalogKeyOfCell(std::size_t cell) {
    return cell == 0 ? "catalog/a" : "catalog/" + NameOfCell(cell);
  }
  static std::string UpstreamPrefix(std::size_t cell) { return "u" + NameOfCell(cell) + "."; }

  // Returns true also when the message is lost, because a sender can't notice that.
  bool Send(std::size_t from, const std::string& to, const proto::Envelope& message) {
    const std::size_t target = std::stoul(to.substr(1));
    const bool separated = now_ < isolated_until_ && (from < isolated_host_count_) != (target < isolated_host_count_);
    if (separated || now_ < hosts_[from].network_cut_until || now_ < hosts_[target].network_cut_until ||
        (message.has_objects() && now_ < objects_lost_until_) ||
        RandomBool(message.has_objects() ? options_.object_loss_probability : options_.loss_probability)) {
      return true;
    }
    for (int copy = RandomBool(options_.duplicate_probability) ? 2 : 1; copy > 0; --copy) {
      const Duration delay = RandomBool(options_.late_probability) ? RandomDuration(std::chrono::milliseconds(3'000))
                                                                   : RandomDuration(std::chrono::milliseconds(20));
      Post(delay, target, false, [this, target, message] { hosts_[target].core->HandleMessage(message); });
    }
    return true;
  }

  // Checks that the version in force of an object increases, and applies the placements of a catalog.
  void OnObjectInForce(FleetCore& core, std::size_t index, const PlatformObject& object) {
    std::uint64_t& version_in_force = hosts_[index].versions_in_force[object.key];
    if (object.version <= version_in_force) {
      error_ = core.self().host() + " did not increase its version of " + object.key;
    }
    version_in_force = object.version;
    if (object.key == CatalogKeyOfCell(CellOfHost(index))) {
      core.DeferPlacements([value = object.value, cell = CellOfHost(index)] { return ParseCatalog(value, cell); });
    }
  }

  // Returns the placements of a catalog. Its value is a number of groups and a salt. The replicas of a group are in
  // both failure domains; the salt decides which replica is in which domain and how the groups are named. As owners
  // are chosen by these, the salt decides who owns an upstream.
  static std::vector<UpstreamPlacement> ParseCatalog(const std::string& value, std::size_t cell) {
    std::istringstream text(value);
    std::uint32_t groups = 0;
    std::uint32_t salt = 0;
    text >> groups >> salt;
    std::vector<UpstreamPlacement> placements;
    for (std::uint32_t group = 0; group < groups; ++group) {
      for (std::uint32_t replica = 0; replica < 2; ++replica) {
        placements.push_back(
            {.upstream = UpstreamPrefix(cell) + std::to_string(group) + "." + std::to_string(replica),
             .failure_domain = "z" + std::to_string((replica + salt) % 2),
             .group = std::to_string(group) + "." + std::to_string(salt),
             .replica = replica});
      }
    }
    return placements;
  }

  // Writes a new version of the outages and pushes it to some hosts, as the operator's command does.
  void WriteConfig() {
    const std::uint64_t version = objects_["d/config/outages"].version + 1;
    StoreObject({.key = "d/config/outages", .version = version, .value = std::to_string(version)});
    const PlatformObject pushed{.key = "config/outages", .version = version, .value = std::to_string(version)};
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (RandomBool(0.6)) {
        Post(RandomDuration(std::chrono::milliseconds(50)), i, false,
             [this, i, pushed] { hosts_[i].core->AdoptObject(pushed); });
      }
    }
  }

  // Pauses, kills, starts or cuts off a random host, starts a platform outage, changes catalogs or configuration, or
  // lets a host leave its cell.
  void Disrupt() {
    const std::size_t index = random_() % hosts_.size();
    Host& host = hosts_[index];
    switch (random_() % 8) {
      case 0:
        host.paused_until = now_ + RandomDuration(std::chrono::milliseconds(9'000));
        break;
      case 1:
        host.core ? Kill(index) : StartHost(index);
        break;
      case 2:
        host.network_cut_until = now_ + RandomDuration(std::chrono::milliseconds(9'000));
        break;
      case 3:
        host.platform_cut_until = now_ + RandomDuration(std::chrono::milliseconds(9'000));
        break;
      case 4:
        outage_until_ = now_ + RandomDuration(std::chrono::milliseconds(6'000));
        break;
      case 5:
        if (PlatformReachable(index)) {
          WriteCatalog();
        }
        break;
      case 6:
        WriteConfig();
        break;
      default:
        if (host.core && host.core->Joined()) {
          host.core->Leave(
              [this, index] { Post(std::chrono::milliseconds(1), index, true, [this, index] { Rejoin(index); }); });
        }
    }
  }

  // Joins a cell again after leaving it, in the same process or in a new one.
  void Rejoin(std::size_t index) {
    if (RandomBool(0.5)) {
      hosts_[index].core->Start();
    } else {
      Kill(index);
      StartHost(index);
    }
  }

  void Step(bool disrupt) {
    now_ += kStep;
    for (Host& host : hosts_) {
      host.clock.Advance(Duration(static_cast<Duration::rep>(Duration(kStep).count() * host.clock_rate)));
    }
    if (disrupt && RandomBool(options_.disruption_probability)) {
      Disrupt();
    }
    Deliver();
    for (Host& host : hosts_) {
      if (host.core && now_ >= host.paused_until) {
        host.core->Tick();
        host.platform->PollWatches();
      }
    }
    CheckOneSenderPerUpstream();
    CheckAcceptedVersions();
  }

  void Deliver() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      Event event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      const Host& host = hosts_[event.host];
      if (event.process_number != 0 && event.process_number != process_numbers_[event.host]) {
        continue;
      }
      if (host.core && now_ < host.paused_until) {
        events_.emplace(host.paused_until, std::move(event));
      } else if (host.core) {
        event.run();
      }
    }
  }

  // Checks that at most one daemon, paused daemons included, may send to an upstream, that the daemon is of the
  // upstream's cell, and that it may not send while a request of another daemon runs at the upstream. A daemon that
  // may send and is not paused then starts a request of random duration, unless its last one still runs.
  void CheckOneSenderPerUpstream() {
    std::vector<UpstreamPlacement> all_placements;
    for (std::size_t cell = 0; cell < options_.cell_count; ++cell) {
      const auto placements = ParseCatalog("8 0", cell);
      all_placements.insert(all_placements.end(), placements.begin(), placements.end());
    }
    std::map<std::string, std::string> senders;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const Host& host = hosts_[i];
      for (const UpstreamPlacement& placement : all_placements) {
        if (!host.core || !host.core->MaySendTo(placement.upstream)) {
          continue;
        }
        if (!placement.upstream.starts_with(UpstreamPrefix(CellOfHost(i)))) {
          error_ = host.core->self().host() + " may send to " + placement.upstream + " of another cell";
          return;
        }
        const proto::Daemon& self = host.core->self();
        const auto [other, inserted] = senders.emplace(placement.upstream, self.host());
        RunningRequest& running = running_requests_[placement.upstream];
        const bool busy = running.ends_at > now_;
        if (!inserted || (busy && running.sender_incarnation != self.incarnation())) {
          error_ =
              placement.upstream + ": " + self.host() +
              (inserted ? " may send while another daemon's request runs" : " may send and so may " + other->second);
          return;
        }
        if (!busy && now_ >= host.paused_until) {
          running = {.sender_incarnation = self.incarnation(),
                     .ends_at = now_ + RandomDuration(std::chrono::milliseconds(2'000))};
          ++sent_requests_;
        }
      }
    }
  }

  // Checks that a daemon that holds a lease has every configuration version that was accepted more than one lease
  // duration ago. A version is accepted when a majority of the view's members has it in force.
  void CheckAcceptedVersions() {
    for (std::size_t cell = 0; cell < options_.cell_count; ++cell) {
      CheckAcceptedVersions(cell);
    }
  }

  void CheckAcceptedVersions(std::size_t cell) {
    const proto::View& view = CurrentView(cell);
    const std::uint64_t newest = objects_["d/config/outages"].version;
    std::size_t in_force_count = 0;
    for (const Host& host : hosts_) {
      in_force_count +=
          host.core && InView(view, host.core->self().incarnation()) && OutagesVersionInForce(host) >= newest ? 1 : 0;
    }
    if (view.epoch() > 0 && in_force_count >= Majority(static_cast<std::size_t>(view.members_size()))) {
      accepted_at_.emplace(std::pair(cell, newest), now_);
    }
    for (const proto::Daemon& member : view.members()) {
      if (CellOfHost(std::stoul(member.host().substr(1))) != cell) {
        error_ = member.host() + " is in the view of cell " + std::to_string(cell);
      }
    }
    // Lease duration of 2.5 s, plus 5% because the clocks of hosts run up to 2% slow or fast.
    const Duration max_lease = std::chrono::milliseconds(2'500) + std::chrono::milliseconds(2'500) / 20;
    for (std::size_t i = cell; i < hosts_.size(); i += options_.cell_count) {
      const Host& host = hosts_[i];
      for (const auto& [key, accepted_at] : accepted_at_) {
        const std::uint64_t version = key.second;
        if (key.first != cell) {
          continue;
        }
        if (host.core && now_ > accepted_at + max_lease && host.core->HoldsLease() &&
            OutagesVersionInForce(host) < version) {
          error_ = host.core->self().host() + " holds a lease without version " + std::to_string(version);
        }
      }
    }
  }

  static bool InView(const proto::View& view, std::uint64_t incarnation) {
    return std::any_of(view.members().begin(), view.members().end(),
                       [&](const auto& member) { return member.incarnation() == incarnation; });
  }
  static std::uint64_t OutagesVersionInForce(const Host& host) {
    const PlatformObject* object = host.core->FindObject("config/outages");
    return object == nullptr ? 0 : object->version;
  }

  std::mt19937_64 random_;
  SimulationOptions options_;
  TimePoint now_{std::chrono::hours(1)};
  TimePoint outage_until_{};
  TimePoint objects_lost_until_{};
  TimePoint isolated_until_{};
  std::size_t isolated_host_count_ = 0;  // hosts below this number are cut off from the others until isolated_until_
  std::vector<Host> hosts_;
  std::vector<std::uint64_t> process_numbers_;  // by host: current process; increases with each kill
  std::multimap<TimePoint, Event> events_;
  std::map<std::string, PlatformObject> objects_;             // on the platform, by key
  std::vector<std::pair<std::uint64_t, proto::View>> views_;  // by cell: version of the object, and the parsed view
  std::map<std::string, std::vector<PlatformObject>> stored_versions_;  // by key: versions written, oldest first
  std::vector<std::vector<UpstreamPlacement>> placements_;              // by cell
  std::map<std::string, RunningRequest> running_requests_;              // by upstream
  // By cell and version of the outages: when a majority of the cell's members first had the version in force.
  std::map<std::pair<std::size_t, std::uint64_t>, TimePoint> accepted_at_;
  std::uint64_t sent_requests_ = 0;
  std::string error_;
};

}  // namespace pimentomoor::simulation
