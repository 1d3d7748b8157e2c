// Several FleetCore objects with a network that loses, delays, duplicates and reorders messages, a platform with
// outages and lost answers, pauses, kills and clocks that run at different rates. Checks the invariants after each
// step.
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

constexpr std::chrono::milliseconds kStep{10};

struct Chances {
  double lose = 0.02;          // of a message, a platform request or a platform answer
  double lose_objects = 0.02;  // of a message that carries a view or an object
  double duplicate = 0.02;
  double late = 0.05;     // of a message: up to 3 s
  double disrupt = 0.01;  // of a new pause, kill, cut, outage, catalog or configuration change in a step
  std::size_t hosts = 4;
  std::size_t cells = 1;  // host i belongs to cell i % cells
};

// Linearizable objects. Requests and answers travel with a delay, are lost during an outage, and a watch may repeat
// old versions.
class World;
class FakePlatform final : public PlatformClient {
 public:
  FakePlatform(World& world, std::size_t host) : world_(world), host_(host) {}
  void Get(const std::string& key, PlatformCallback done) override;
  void Put(const std::string& key, std::uint64_t expected, std::string value, PlatformCallback done) override;
  void Watch(const std::string& key, std::uint64_t after, PlatformCallback changed) override;
  void StopWatch(const std::string& key) override { watches_.erase(key); }
  void PollWatches();

 private:
  void Call(std::function<PlatformReply()> effect, PlatformCallback done);

  struct Standing {
    std::uint64_t seen = 0;
    PlatformCallback changed;
  };
  World& world_;
  std::size_t host_;
  std::map<std::string, Standing> watches_;
};

struct Host {
  ManualClock clock;
  double rate = 1.0;
  std::unique_ptr<FakePlatform> platform;
  std::unique_ptr<FleetCore> core;  // null while the host is down
  TimePoint paused_until{};
  TimePoint cut_until{};  // no messages to or from this host
  TimePoint platform_cut_until{};
  std::map<std::string, std::uint64_t> versions;  // largest in force in this process
};

struct Event {
  TimePoint when;
  std::size_t host;    // delivered when this host is not paused
  std::uint64_t life;  // 0: any process; else dropped when the process has ended
  std::function<void()> run;
};

struct Running {
  std::uint64_t incarnation = 0;
  TimePoint ends{};
};

class World {
 public:
  World(std::uint64_t seed, Chances chances) : random_(seed), chances_(chances), hosts_(chances.hosts) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].rate = 0.98 + 0.04 * Unit();
      lives_.push_back(1);
    }
    placements_.resize(chances.cells);
    views_.resize(chances.cells);
    WriteCatalog();
    objects_["d/config/outages"] = {.key = "d/config/outages", .version = 1, .value = "1"};
  }

  void StartHost(std::size_t index) {
    Host& host = hosts_[index];
    host.versions.clear();
    host.platform = std::make_unique<FakePlatform>(*this, index);
    FleetOptions options{.deployment = "d",
                         .object_keys = {"config/outages", CatalogKey(CellOf(index))},
                         .random_seed = random_() | 1};
    options.self.set_host("h" + std::to_string(index));
    options.self.set_peer_address(options.self.host());
    options.self.set_failure_domain("z" + std::to_string(index / chances_.cells % 2));
    options.self.set_cell(CellNameOf(CellOf(index)));
    for (std::size_t cell = 0; cell < chances_.cells; ++cell) {
      if (cell != CellOf(index)) {
        options.object_keys.push_back(ViewKeyOf(cell));
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
    core->SetObjectCallback([this, core, index](const PlatformObject& object) { OnObject(*core, index, object); });
    core->SetOutstandingCheck([this, core](const std::string& upstream) {
      const Running& running = running_[upstream];
      return running.ends > now_ && running.incarnation == core->self().incarnation();
    });
    core->Start();
  }

  void Kill(std::size_t index) {
    ++lives_[index];
    hosts_[index].core.reset();
    hosts_[index].platform.reset();
    hosts_[index].paused_until = TimePoint{};
  }

  void Run(Duration duration, bool disrupt) {
    const TimePoint end = now_ + duration;
    while (now_ < end && error_.empty()) {
      Step(disrupt);
    }
  }

  // Cuts every host but `open` off from the platform and loses all views and objects between hosts.
  void HoldBackObjects(std::size_t open, Duration duration) {
    objects_lost_until_ = now_ + duration;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (i != open) {
        hosts_[i].platform_cut_until = now_ + duration;
      }
    }
  }

  // Cuts the first `hosts` hosts off from the platform and from the other hosts, not from each other.
  void Isolate(std::size_t hosts, Duration duration) {
    isolated_ = hosts;
    isolated_until_ = now_ + duration;
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_[i].platform_cut_until = isolated_until_;
    }
  }

  // Writes a catalog with other group names and replicas' failure domains, which moves upstreams between owners.
  void WriteCatalog() {
    for (std::size_t cell = 0; cell < chances_.cells; ++cell) {
      const std::string value = std::to_string(3 + random_() % 6) + " " + std::to_string(random_() % 1'000);
      const std::string key = "d/" + CatalogKey(cell);
      Store({.key = key, .version = objects_[key].version + 1, .value = value});
      placements_[cell] = ParseCatalog(value, cell);
    }
  }

  // Ends all disruptions and starts every host.
  void Heal() {
    chances_.lose = chances_.lose_objects = chances_.duplicate = chances_.late = 0;
    outage_until_ = objects_lost_until_ = isolated_until_ = TimePoint{};
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].paused_until = hosts_[i].cut_until = hosts_[i].platform_cut_until = TimePoint{};
      if (!hosts_[i].core) {
        StartHost(i);
      }
    }
  }

  // What keeps the healed fleet from full service; empty when nothing does.
  std::string Unhealthy() {
    std::string text;
    for (std::size_t cell = 0; cell < chances_.cells; ++cell) {
      text += UnhealthyCell(cell);
    }
    return text;
  }

  std::string UnhealthyCell(std::size_t cell) {
    std::ostringstream text;
    std::map<std::string, int> owners;
    for (std::size_t i = cell; i < hosts_.size(); i += chances_.cells) {
      const Host& host = hosts_[i];
      const FleetCore& core = *host.core;
      if (!core.Joined() || !core.HoldsLease() || core.view().epoch() != CurrentView(cell).epoch()) {
        text << core.self().host() << " joined " << core.Joined() << " lease " << core.HoldsLease() << " epoch "
             << core.view().epoch() << "/" << CurrentView(cell).epoch() << "; ";
      }
      for (std::size_t other = 0; other < chances_.cells; ++other) {
        const PlatformObject* view = core.FindObject(ViewKeyOf(other));
        if (other != cell && (view == nullptr || view->version != objects_["d/" + ViewKeyOf(other)].version)) {
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

  void Post(Duration delay, std::size_t host, bool this_life, std::function<void()> run) {
    events_.emplace(now_ + delay, Event{now_ + delay, host, this_life ? lives_[host] : 0, std::move(run)});
  }
  bool Chance(double probability) { return Unit() < probability; }
  double Unit() { return std::uniform_real_distribution<>(0, 1)(random_); }
  Duration Upto(Duration most) { return Duration(static_cast<Duration::rep>(Unit() * most.count())); }
  bool PlatformReachable(std::size_t host) const {
    return now_ >= outage_until_ && now_ >= hosts_[host].platform_cut_until;
  }

  Host& host(std::size_t index) { return hosts_[index]; }
  TimePoint now() const { return now_; }
  const std::string& error() const { return error_; }
  const Chances& chances() const { return chances_; }
  std::map<std::string, PlatformObject>& objects() { return objects_; }
  PlatformObject OldObject(const std::string& key) {
    const auto& history = history_[key];
    return history.empty() ? PlatformObject{} : history[random_() % history.size()];
  }
  void Store(const PlatformObject& object) {
    objects_[object.key] = object;
    history_[object.key].push_back(object);
  }
  const proto::View& CurrentView(std::size_t cell = 0) {
    const PlatformObject& object = objects_["d/" + ViewKeyOf(cell)];
    auto& [version, view] = views_[cell];
    if (object.version != version) {
      view.ParseFromString(object.value);
      version = object.version;
    }
    return view;
  }
  std::uint64_t requests() const { return requests_; }
  std::uint64_t epochs() { return CurrentView().epoch(); }
  std::uint64_t accepted() const { return accepted_.size(); }

 private:
  std::size_t CellOf(std::size_t host) const { return host % chances_.cells; }
  static std::string CellNameOf(std::size_t cell) { return cell == 0 ? "" : "c" + std::to_string(cell); }
  static std::string ViewKeyOf(std::size_t cell) { return ViewKey(CellNameOrDefault(CellNameOf(cell))); }
  static std::string CatalogKey(std::size_t cell) { return cell == 0 ? "catalog/a" : "catalog/" + CellNameOf(cell); }
  static std::string UpstreamPrefix(std::size_t cell) { return "u" + CellNameOf(cell) + "."; }

  bool Send(std::size_t from, const std::string& to, const proto::Envelope& message) {
    const std::size_t target = std::stoul(to.substr(1));
    const bool apart = now_ < isolated_until_ && (from < isolated_) != (target < isolated_);
    if (apart || now_ < hosts_[from].cut_until || now_ < hosts_[target].cut_until ||
        (message.has_objects() && now_ < objects_lost_until_) ||
        Chance(message.has_objects() ? chances_.lose_objects : chances_.lose)) {
      return true;
    }
    for (int copy = Chance(chances_.duplicate) ? 2 : 1; copy > 0; --copy) {
      const Duration delay =
          Chance(chances_.late) ? Upto(std::chrono::milliseconds(3'000)) : Upto(std::chrono::milliseconds(20));
      Post(delay, target, false, [this, target, message] { hosts_[target].core->HandleMessage(message); });
    }
    return true;
  }

  void OnObject(FleetCore& core, std::size_t index, const PlatformObject& object) {
    std::uint64_t& held = hosts_[index].versions[object.key];
    if (object.version <= held) {
      error_ = core.self().host() + " went back in " + object.key;
    }
    held = object.version;
    if (object.key == CatalogKey(CellOf(index))) {
      core.DeferPlacements([value = object.value, cell = CellOf(index)] { return ParseCatalog(value, cell); });
    }
  }

  // The catalog value is the number of groups and a salt. Replicas of a group lie in both failure domains; the salt
  // decides which one is where and how the groups are named, and so who owns them.
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

  void WriteConfig() {
    const std::uint64_t version = objects_["d/config/outages"].version + 1;
    Store({.key = "d/config/outages", .version = version, .value = std::to_string(version)});
    const PlatformObject pushed{.key = "config/outages", .version = version, .value = std::to_string(version)};
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (Chance(0.6)) {
        Post(Upto(std::chrono::milliseconds(50)), i, false,
             [this, i, pushed] { hosts_[i].core->AdoptObject(pushed); });
      }
    }
  }

  void Disrupt() {
    const std::size_t index = random_() % hosts_.size();
    Host& host = hosts_[index];
    switch (random_() % 8) {
      case 0:
        host.paused_until = now_ + Upto(std::chrono::milliseconds(9'000));
        break;
      case 1:
        host.core ? Kill(index) : StartHost(index);
        break;
      case 2:
        host.cut_until = now_ + Upto(std::chrono::milliseconds(9'000));
        break;
      case 3:
        host.platform_cut_until = now_ + Upto(std::chrono::milliseconds(9'000));
        break;
      case 4:
        outage_until_ = now_ + Upto(std::chrono::milliseconds(6'000));
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

  void Rejoin(std::size_t index) {
    if (Chance(0.5)) {
      hosts_[index].core->Start();
    } else {
      Kill(index);
      StartHost(index);
    }
  }

  void Step(bool disrupt) {
    now_ += kStep;
    for (Host& host : hosts_) {
      host.clock.Advance(Duration(static_cast<Duration::rep>(Duration(kStep).count() * host.rate)));
    }
    if (disrupt && Chance(chances_.disrupt)) {
      Disrupt();
    }
    Deliver();
    for (Host& host : hosts_) {
      if (host.core && now_ >= host.paused_until) {
        host.core->Tick();
        host.platform->PollWatches();
      }
    }
    CheckSenders();
    CheckConfiguration();
  }

  void Deliver() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      Event event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      const Host& host = hosts_[event.host];
      if (event.life != 0 && event.life != lives_[event.host]) {
        continue;
      }
      if (host.core && now_ < host.paused_until) {
        events_.emplace(host.paused_until, std::move(event));
      } else if (host.core) {
        event.run();
      }
    }
  }

  // At most one daemon may send to an upstream, paused daemons included, and none sends while a request of another
  // one runs there.
  void CheckSenders() {
    std::vector<UpstreamPlacement> every;
    for (std::size_t cell = 0; cell < chances_.cells; ++cell) {
      const auto placements = ParseCatalog("8 0", cell);
      every.insert(every.end(), placements.begin(), placements.end());
    }
    std::map<std::string, std::string> senders;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const Host& host = hosts_[i];
      for (const UpstreamPlacement& placement : every) {
        if (!host.core || !host.core->MaySendTo(placement.upstream)) {
          continue;
        }
        if (!placement.upstream.starts_with(UpstreamPrefix(CellOf(i)))) {
          error_ = host.core->self().host() + " sends to " + placement.upstream + " of another cell";
          return;
        }
        const proto::Daemon& self = host.core->self();
        const auto [other, first] = senders.emplace(placement.upstream, self.host());
        Running& running = running_[placement.upstream];
        const bool busy = running.ends > now_;
        if (!first || (busy && running.incarnation != self.incarnation())) {
          error_ =
              placement.upstream + ": " + self.host() + (first ? " while a request runs" : " and " + other->second);
          return;
        }
        if (!busy && now_ >= host.paused_until) {
          running = {.incarnation = self.incarnation(), .ends = now_ + Upto(std::chrono::milliseconds(2'000))};
          ++requests_;
        }
      }
    }
  }

  // A daemon that holds a lease later than one lease duration after a version was accepted has that version.
  void CheckConfiguration() {
    for (std::size_t cell = 0; cell < chances_.cells; ++cell) {
      CheckConfiguration(cell);
    }
  }

  void CheckConfiguration(std::size_t cell) {
    const proto::View& view = CurrentView(cell);
    const std::uint64_t newest = objects_["d/config/outages"].version;
    std::size_t have = 0;
    for (const Host& host : hosts_) {
      have += host.core && InView(view, host.core->self().incarnation()) && InForce(host) >= newest ? 1 : 0;
    }
    if (view.epoch() > 0 && have >= Majority(static_cast<std::size_t>(view.members_size()))) {
      accepted_.emplace(std::pair(cell, newest), now_);
    }
    for (const proto::Daemon& member : view.members()) {
      if (CellOf(std::stoul(member.host().substr(1))) != cell) {
        error_ = member.host() + " is in the view of cell " + std::to_string(cell);
      }
    }
    const Duration limit = std::chrono::milliseconds(2'500) + std::chrono::milliseconds(2'500) / 20;
    for (std::size_t i = cell; i < hosts_.size(); i += chances_.cells) {
      const Host& host = hosts_[i];
      for (const auto& [key, when] : accepted_) {
        const std::uint64_t version = key.second;
        if (key.first != cell) {
          continue;
        }
        if (host.core && now_ > when + limit && host.core->HoldsLease() && InForce(host) < version) {
          error_ = host.core->self().host() + " holds a lease without version " + std::to_string(version);
        }
      }
    }
  }

  static bool InView(const proto::View& view, std::uint64_t incarnation) {
    return std::any_of(view.members().begin(), view.members().end(),
                       [&](const auto& member) { return member.incarnation() == incarnation; });
  }
  static std::uint64_t InForce(const Host& host) {
    const PlatformObject* object = host.core->FindObject("config/outages");
    return object == nullptr ? 0 : object->version;
  }

  std::mt19937_64 random_;
  Chances chances_;
  TimePoint now_{std::chrono::hours(1)};
  TimePoint outage_until_{};
  TimePoint objects_lost_until_{};
  TimePoint isolated_until_{};
  std::size_t isolated_ = 0;  // hosts below this number are cut off from the others
  std::vector<Host> hosts_;
  std::vector<std::uint64_t> lives_;
  std::multimap<TimePoint, Event> events_;
  std::map<std::string, PlatformObject> objects_;
  std::vector<std::pair<std::uint64_t, proto::View>> views_;  // by cell: version of the object, and the parsed view
  std::map<std::string, std::vector<PlatformObject>> history_;
  std::vector<std::vector<UpstreamPlacement>> placements_;  // by cell
  std::map<std::string, Running> running_;
  std::map<std::pair<std::size_t, std::uint64_t>, TimePoint> accepted_;  // by cell and version
  std::uint64_t requests_ = 0;
  std::string error_;
};

}  // namespace pimentomoor::simulation
