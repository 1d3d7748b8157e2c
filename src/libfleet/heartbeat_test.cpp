// Tests of the object versions that daemons report to each other in heartbeats, and of what follows from them.
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>

#include "pimentomoor/fleet_core.h"
#include "property.h"

// Last, because its macros redefine new.
// clang-format off
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;

// Platform that answers within the call. Its watches report nothing, so that daemons learn of new versions only from
// each other.
class ImmediatePlatform final : public PlatformClient {
 public:
  void Get(const std::string& key, PlatformCallback done) override {
    if (outage) {
      return done({.status = PlatformStatus::kUnavailable});
    }
    const auto found = objects.find(key);
    done(found == objects.end() ? PlatformReply{.status = PlatformStatus::kNotFound}
                                : PlatformReply{.status = PlatformStatus::kOk, .object = found->second});
  }
  void Put(const std::string& key, std::uint64_t expected, std::string value, PlatformCallback done) override {
    PlatformObject& object = objects[key];
    if (object.version != expected) {
      return done({.status = PlatformStatus::kConflict, .object = object});
    }
    object = {.key = key, .version = expected + 1, .value = std::move(value)};
    done({.status = PlatformStatus::kOk, .object = object});
  }
  void Watch(const std::string&, std::uint64_t, PlatformCallback) override {}
  void StopWatch(const std::string&) override {}

  bool outage = false;  // reads fail; writes are not affected, as no test changes the view during an outage
  std::map<std::string, PlatformObject> objects;
};

PlatformObject ObjectOf(const std::string& key, std::uint64_t version) {
  return {.key = key, .version = version, .value = "v" + std::to_string(version)};
}

// Cell of three daemons "a", "b" and "c" that hold the same 50 objects. They share one clock, and messages arrive in
// order.
class ThreeDaemonCell {
 public:
  ThreeDaemonCell() {
    for (const std::string host : {"a", "b", "c"}) {
      FleetOptions options{.deployment = "d", .random_seed = 7 + cores.size()};
      options.self.set_host(host);
      options.self.set_peer_address(host);
      options.self.set_incarnation(100 + cores.size());
      cores[host] = std::make_unique<FleetCore>(
          clock, options,
          [this](const std::string& to, const proto::Envelope& message) {
            in_flight.emplace_back(to, message);
            return true;
          },
          platform, FleetHooks{});
      for (int i = 0; i < 50; ++i) {
        const std::string key = "config/" + std::to_string(i);
        platform.objects["d/" + key] = ObjectOf("d/" + key, 5);
        cores[host]->AdoptObject(ObjectOf(key, 5));
      }
      cores[host]->Start();
      Run(milliseconds(1'000));
    }
    Run(milliseconds(10'000));
  }

  void Run(Duration duration) {
    for (Duration done{}; done < duration; done += milliseconds(50)) {
      clock.Advance(milliseconds(50));
      for (const auto& [host, core] : cores) {
        core->Tick();
      }
      Deliver();
    }
  }

  void Deliver() {
    while (!in_flight.empty()) {
      auto [to, message] = in_flight.front();
      in_flight.pop_front();
      listed_versions += static_cast<int>(message.heartbeat().held().changed_size() +
                                          message.heartbeat_reply().held().changed_size());
      if (!drops || !drops(to, message)) {
        cores.at(to)->HandleMessage(message);
      }
    }
  }

  ManualClock clock;
  ImmediatePlatform platform;
  std::map<std::string, std::unique_ptr<FleetCore>> cores;
  std::deque<std::pair<std::string, proto::Envelope>> in_flight;
  // Returns whether to lose the message. It may also change the message.
  std::function<bool(const std::string& to, proto::Envelope& message)> drops;
  int listed_versions = 0;  // number of versions listed in heartbeats and replies
};

}  // namespace

TEST_GROUP(Heartbeat){};

// Guards against a digest that depends on the order of changes, misses a change, or is the same for different maps.
TEST(Heartbeat, DigestsAreEqualForEqualMapsOnly) {
  CHECK(CheckProperty(500, "digest", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& changes) {
    VersionsWithDigest forward;
    VersionsWithDigest backward;
    for (const auto& [key, version] : changes) {
      const VersionsWithDigest before = forward;
      const bool raised = forward.Raise(std::to_string(key % 8), version);
      RC_ASSERT(raised == (forward.map() != before.map()));
      RC_ASSERT(raised == (forward.digest() != before.digest()));
    }
    for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
      backward.Raise(std::to_string(change->first % 8), change->second);
    }
    RC_ASSERT(forward.map() == backward.map());
    RC_ASSERT(forward.digest() == backward.digest());
    RC_ASSERT(forward.map().empty() == (forward.digest() == 0));
  }));
}

// Guards against a list of changed keys that doesn't bring a peer from any earlier map to the newest one.
TEST(Heartbeat, ChangedKeysCompleteAnyEarlierMap) {
  CHECK(CheckProperty(100, "changed keys", [] {
    const auto changes = *rc::gen::container<std::vector<std::uint8_t>>(400, rc::gen::inRange<std::uint8_t>(0, 40));
    const auto known = *rc::gen::inRange<std::size_t>(0, 401);
    ObjectStore store;
    VersionsWithDigest peer;
    for (std::size_t i = 0; i < changes.size(); ++i) {
      if (i == known) {
        std::for_each(store.versions().begin(), store.versions().end(),
                      [&](const auto& item) { peer.Raise(item.first, item.second); });
      }
      store.Adopt(ObjectOf(std::to_string(changes[i]), i + 1));
    }
    const std::vector<std::string> keys = store.KeysChangedSince(peer.digest());
    std::for_each(keys.begin(), keys.end(), [&](const auto& key) { peer.Raise(key, store.version(key)); });
    RC_ASSERT(peer.map() == store.versions());
    RC_ASSERT(peer.digest() == store.digest());
    RC_ASSERT(keys.size() <= 40U);
    RC_ASSERT(store.KeysChangedSince(store.digest()).empty());
  }));
}

// Guards against a refresh that misses a newer version on the platform, and against more than one platform read a
// second for a key.
TEST(Heartbeat, RefreshReadsAKnownKeyOnceASecond) {
  ThreeDaemonCell cell;
  FleetCore& core = *cell.cores["a"];
  const auto refreshed = [&](std::uint64_t shown) {
    cell.platform.objects["d/config/7"] = ObjectOf("d/config/7", shown);
    core.RefreshObject("config/7");
    return core.FindObject("config/7")->version;
  };
  LONGS_EQUAL(6, refreshed(6));
  LONGS_EQUAL(6, refreshed(7));
  cell.clock.Advance(milliseconds(1'000));
  LONGS_EQUAL(8, refreshed(8));
  core.RefreshObject("config/unknown");
  POINTERS_EQUAL(nullptr, core.FindObject("config/unknown"));
}

// Guards against heartbeats that list versions although nothing changed, or list more versions than those that
// changed.
TEST(Heartbeat, OnlyChangedVersionsAreListed) {
  ThreeDaemonCell cell;
  for (const auto& [host, core] : cell.cores) {
    CHECK(core->HoldsLease());
  }
  cell.listed_versions = 0;
  cell.Run(milliseconds(5'000));
  LONGS_EQUAL(0, cell.listed_versions);
  CHECK(cell.cores["a"]->HoldsLease());
  LONGS_EQUAL(5, cell.cores["a"]->ReportedVersion("b", "config/7"));
  cell.cores["b"]->AdoptObject(ObjectOf("config/7", 6));
  cell.Run(milliseconds(1'000));
  for (const auto& [host, core] : cell.cores) {
    LONGS_EQUAL(6, core->FindObject("config/7")->version);
    for (const auto& [other, unused] : cell.cores) {
      LONGS_EQUAL(6, core->ReportedVersion(other, "config/7"));
    }
  }
  CHECK(cell.listed_versions > 0);
  CHECK(cell.listed_versions <= 3 * 2 * 2);  // each ordered pair, in a heartbeat and in a reply
}

// Guards against a lease that is renewed by peers whose versions differ: neither a peer with a newer version nor one
// without a key may renew it, even when its message lists no versions.
TEST(Heartbeat, LeaseEndsWhileVersionsDiffer) {
  ThreeDaemonCell cell;
  cell.platform.outage = true;
  cell.cores["b"]->AdoptObject(ObjectOf("config/7", 6));
  cell.cores["c"]->AdoptObject(ObjectOf("config/7", 6));
  const TimePoint changed = cell.clock.Now();
  FleetCore& a = *cell.cores["a"];
  // "a" gets no objects and can't read the platform. During the first 1.5 s it gets heartbeats and replies without
  // their lists of versions, as if the other daemons wrongly assumed that it knows their versions.
  cell.drops = [&](const std::string& to, proto::Envelope& message) {
    if (to == "a" && message.has_heartbeat_reply() && cell.clock.Now() < changed + milliseconds(1'500)) {
      message.mutable_heartbeat_reply()->mutable_held()->clear_changed();
    } else if (to == "a" && message.has_heartbeat() && cell.clock.Now() < changed + milliseconds(1'500)) {
      message.mutable_heartbeat()->mutable_held()->clear_changed();
    }
    return to == "a" && message.has_objects();
  };
  for (int i = 0; i < 60; ++i) {
    cell.Run(milliseconds(50));
    CHECK(!a.HoldsLease() || cell.clock.Now() < changed + milliseconds(2'500));
  }
  CHECK_FALSE(a.HoldsLease());
  cell.drops = nullptr;
  cell.Run(milliseconds(1'000));
  CHECK(a.HoldsLease());
  LONGS_EQUAL(6, a.FindObject("config/7")->version);
}

// Guards against a new version that takes longer than one heartbeat period to reach peers that learn of it only from
// heartbeats.
TEST(Heartbeat, NewVersionTravelsWithTheNextHeartbeat) {
  ThreeDaemonCell cell;
  for (std::uint64_t version = 6; version < 30; ++version) {
    cell.cores["c"]->AdoptObject(ObjectOf("config/3", version));
    cell.Run(milliseconds(500));
    LONGS_EQUAL(static_cast<long>(version), static_cast<long>(cell.cores["a"]->FindObject("config/3")->version));
    LONGS_EQUAL(static_cast<long>(version), static_cast<long>(cell.cores["b"]->FindObject("config/3")->version));
  }
}

// Guards against a daemon that reports new catalog versions, or renews its lease with them, before it uses their
// placements. Also guards against placements that are rebuilt for each of many changed catalogs.
TEST(Heartbeat, DeferredPlacementsAreInUseBeforeAnyReport) {
  ThreeDaemonCell cell;
  FleetCore& core = *cell.cores["a"];
  int rebuilt = 0;
  core.SetObjectCallback([&](const PlatformObject&) {
    core.DeferPlacements([&] {
      ++rebuilt;
      return std::vector<UpstreamPlacement>{{.upstream = "u" + std::to_string(rebuilt), .group = "g"}};
    });
  });
  auto adopt_ten = [&, version = std::uint64_t{0}]() mutable {
    rebuilt = 0;
    ++version;
    for (int i = 0; i < 10; ++i) {
      CHECK_TRUE(core.AdoptObject(ObjectOf("catalog/" + std::to_string(i), version)));
    }
    LONGS_EQUAL(0, rebuilt);
  };
  proto::Envelope message;
  message.mutable_from()->set_incarnation(cell.cores["b"]->self().incarnation());
  message.mutable_from()->set_peer_address("b");
  adopt_ten();
  message.mutable_heartbeat()->set_epoch(core.view().epoch());
  core.HandleMessage(message);
  LONGS_EQUAL(1, rebuilt);
  adopt_ten();
  message.mutable_heartbeat_reply()->set_epoch(core.view().epoch());
  core.HandleMessage(message);
  LONGS_EQUAL(1, rebuilt);
  adopt_ten();
  core.Tick();
  LONGS_EQUAL(1, rebuilt);
  adopt_ten();
  core.Leave([] {});  // sends heartbeats
  LONGS_EQUAL(1, rebuilt);
}

// Guards against a daemon that forgot the versions of its peers, or returned as another incarnation, and then gets
// only changed versions from them instead of all.
TEST(Heartbeat, NewIncarnationLearnsEveryVersion) {
  ThreeDaemonCell cell;
  cell.drops = [](const std::string& to, proto::Envelope& message) {
    return to == "b" || message.from().host() == "b";
  };
  cell.Run(milliseconds(12'000));
  LONGS_EQUAL(2, cell.cores["a"]->view().members_size());
  cell.platform.objects["d/config/9"] = ObjectOf("d/config/9", 6);
  cell.cores["a"]->AdoptObject(ObjectOf("config/9", 6));
  cell.Run(milliseconds(1'000));
  cell.drops = nullptr;
  cell.Run(milliseconds(5'000));
  for (const auto& [host, core] : cell.cores) {
    LONGS_EQUAL(3, core->view().members_size());
    CHECK(core->HoldsLease());
    LONGS_EQUAL(6, core->FindObject("config/9")->version);
    for (const auto& [other, unused] : cell.cores) {
      LONGS_EQUAL(6, core->ReportedVersion(other, "config/9"));
      LONGS_EQUAL(5, core->ReportedVersion(other, "config/49"));
    }
  }
}

// Guards against a faulty peer that fills a daemon's memory and platform watches with invented keys.
TEST(Heartbeat, RefusesInvalidKeysAndTooManyKeys) {
  ThreeDaemonCell cell;
  FleetCore& core = *cell.cores["a"];
  CHECK_FALSE(core.AdoptObject(ObjectOf("other/1", 6)));
  CHECK_FALSE(core.AdoptObject(ObjectOf("config/" + std::string(300, 'x'), 6)));
  for (int i = 0; i < 11'000; ++i) {
    core.AdoptObject(ObjectOf("catalog/" + std::to_string(i), 6));
  }
  CHECK(core.FindObject("catalog/9000") != nullptr);
  CHECK(core.FindObject("catalog/10999") == nullptr);
  CHECK(core.AdoptObject(ObjectOf("config/7", 6)));
}

}  // namespace pimentomoor
