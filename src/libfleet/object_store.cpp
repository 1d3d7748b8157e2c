// Storage of the newest objects, the digest of their versions, and comparison of version maps.
#include "pimentomoor/object_store.h"

#include <algorithm>
#include <iterator>

#include "pimentomoor/rendezvous.h"

namespace pimentomoor {
namespace {

// Number of changes kept. A peer that is further behind gets the versions of all keys. 256 changes cover a start that
// reads 100 objects, and several minutes of changes at the target rate of 0.29 a second.
constexpr std::size_t kMaxKeptChanges = 256;

}  // namespace

bool VersionsWithDigest::Raise(const std::string& key, std::uint64_t version) {
  std::uint64_t& held = map_[key];
  if (version <= held) {
    if (held == 0) {
      map_.erase(key);
    }
    return false;
  }
  if (held != 0) {
    digest_ -= VersionHash(key, held);
  }
  digest_ += VersionHash(key, version);
  held = version;
  return true;
}

bool ObjectStore::Adopt(const PlatformObject& object) {
  const std::uint64_t before = versions_.digest();
  if (!versions_.Raise(object.key, object.version)) {
    return false;
  }
  changes_.push_back({.digest_before = before, .key = object.key});
  if (changes_.size() > kMaxKeptChanges) {
    changes_.pop_front();
  }
  objects_[object.key] = object;
  return true;
}

std::vector<std::string> ObjectStore::KeysChangedSince(std::uint64_t digest) const {
  std::vector<std::string> keys;
  if (digest == versions_.digest()) {
    return keys;
  }
  const auto newest = std::find_if(changes_.rbegin(), changes_.rend(),
                                   [&](const Change& change) { return change.digest_before == digest; });
  if (newest == changes_.rend()) {
    std::transform(objects_.begin(), objects_.end(), std::back_inserter(keys),
                   [](const auto& item) { return item.first; });
    return keys;
  }
  std::transform(changes_.rbegin(), std::next(newest), std::back_inserter(keys),
                 [](const Change& change) { return change.key; });
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

const PlatformObject* ObjectStore::Find(const std::string& key) const {
  const auto found = objects_.find(key);
  return found == objects_.end() ? nullptr : &found->second;
}

std::uint64_t ObjectStore::version(const std::string& key) const {
  const PlatformObject* object = Find(key);
  return object == nullptr ? 0 : object->version;
}

std::vector<std::string> KeysToFetch(const VersionMap& mine, const VersionMap& theirs) {
  std::vector<std::string> keys;
  for (const auto& [key, version] : theirs) {
    const auto held = mine.find(key);
    if (version > (held == mine.end() ? 0 : held->second)) {
      keys.push_back(key);
    }
  }
  return keys;
}

bool Covers(const VersionMap& theirs, const VersionMap& wanted) { return KeysToFetch(theirs, wanted).empty(); }

bool LacksKey(const VersionMap& theirs, const VersionMap& mine) {
  for (const auto& [key, version] : mine) {
    if (!theirs.contains(key)) {
      return true;
    }
  }
  return false;
}

}  // namespace pimentomoor
