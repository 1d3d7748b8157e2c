// Platform client of the simulated deployment.
#include "simulated_deployment.h"

namespace pimentomoor::simulation {

using std::chrono::milliseconds;

// NOLINTNEXTLINE(performance-unnecessary-value-param): the lambdas below keep copies
void FakePlatform::Call(std::function<PlatformReply()> operation, PlatformCallback done) {
  const auto unavailable = [this, done] {
    deployment_.Post(milliseconds(500), host_, true, [done] { done({.status = PlatformStatus::kUnavailable}); });
  };
  if (!deployment_.PlatformReachable(host_) || deployment_.RandomBool(deployment_.options().loss_probability)) {
    return unavailable();
  }
  PlatformReply reply = operation();
  if (deployment_.RandomBool(deployment_.options().loss_probability)) {
    return unavailable();  // the update took effect, but its answer is lost
  }
  const Duration delay = deployment_.RandomBool(deployment_.options().late_probability)
                             ? deployment_.RandomDuration(milliseconds(1'500))
                             : deployment_.RandomDuration(milliseconds(20));
  deployment_.Post(delay, host_, true, [done, reply] { done(reply); });
}

void FakePlatform::Get(const std::string& key, PlatformCallback done) {
  Call(
      [this, key] {
        const auto found = deployment_.objects().find(key);
        return found == deployment_.objects().end()
                   ? PlatformReply{.status = PlatformStatus::kNotFound}
                   : PlatformReply{.status = PlatformStatus::kOk, .object = found->second};
      },
      std::move(done));
}

void FakePlatform::Put(const std::string& key, std::uint64_t expected, std::string value, PlatformCallback done) {
  Call(
      [this, key, expected, value] {
        const PlatformObject current = deployment_.objects()[key];
        if (current.version != expected) {
          return PlatformReply{.status = PlatformStatus::kConflict, .object = current};
        }
        deployment_.StoreObject({.key = key, .version = expected + 1, .value = value});
        return PlatformReply{.status = PlatformStatus::kOk, .object = deployment_.objects()[key]};
      },
      std::move(done));
}

void FakePlatform::Watch(const std::string& key, std::uint64_t after, PlatformCallback changed) {
  watches_[key] = {.seen_version = after, .callback = std::move(changed)};
}

void FakePlatform::PollWatches() {
  if (!deployment_.PlatformReachable(host_)) {
    return;
  }
  for (auto& [key, watch] : watches_) {
    PlatformObject object = deployment_.objects()[key];
    if (deployment_.RandomBool(deployment_.options().loss_probability / 10)) {
      object = deployment_.RandomStoredVersion(key);
    } else if (object.version <= watch.seen_version) {
      continue;
    }
    watch.seen_version = object.version;
    deployment_.Post(deployment_.RandomDuration(milliseconds(100)), host_, true, [changed = watch.callback, object] {
      changed({.status = PlatformStatus::kOk, .object = object});
    });
  }
}

}  // namespace pimentomoor::simulation
