// Newest known version of each platform object. The version of a key never decreases, even when the platform, a watch
// or a peer serves an older one.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "pimentomoor/platform_client.h"

namespace pimentomoor {

/// Versions of objects by key, without the deployment prefix.
using VersionMap = std::map<std::string, std::uint64_t>;

/// Versions of objects by key, with a digest that is updated at each change.
///
/// The digest is the sum modulo 2^64 of the 64-bit VersionHash() of each key and version; an empty map has digest 0.
/// Two different maps have the same digest with a probability of about 2^-64. 2,700 daemons compare about 10^13
/// digests a year, so even if the maps differed in every comparison, one false match would be expected in a million
/// years.
class VersionsWithDigest {
 public:
  /// Sets the version of `key` when it is larger than the held one; returns whether it did.
  bool Raise(const std::string& key, std::uint64_t version);

  [[nodiscard]] const VersionMap& map() const { return map_; }
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

 private:
  VersionMap map_;
  std::uint64_t digest_ = 0;
};

/// Newest known objects, their versions and the order of the last changes.
class ObjectStore {
 public:
  /// Stores `object` when its version is larger than the held one; returns whether it did.
  bool Adopt(const PlatformObject& object);

  /// Object of `key`; null when it is not held. The pointer is valid until a newer version of the key is adopted.
  [[nodiscard]] const PlatformObject* Find(const std::string& key) const;
  /// Held version of `key`; 0 when it is not held.
  [[nodiscard]] std::uint64_t version(const std::string& key) const;
  [[nodiscard]] const VersionMap& versions() const { return versions_.map(); }
  /// Digest of versions().
  [[nodiscard]] std::uint64_t digest() const { return versions_.digest(); }

  /// Keys whose version changed since digest() was `digest`; all keys when that digest is unknown or too old.
  [[nodiscard]] std::vector<std::string> KeysChangedSince(std::uint64_t digest) const;

  [[nodiscard]] const std::map<std::string, PlatformObject>& objects() const { return objects_; }

 private:
  // Adoption of one newer version.
  struct Change {
    std::uint64_t digest_before = 0;  // digest() before the adoption
    std::string key;
  };

  std::map<std::string, PlatformObject> objects_;
  VersionsWithDigest versions_;
  std::deque<Change> changes_;  // last kMaxKeptChanges changes, newest last
};

/// Keys that `theirs` has at a larger version than `mine`, including keys that `mine` lacks.
std::vector<std::string> KeysToFetch(const VersionMap& mine, const VersionMap& theirs);

/// Whether `theirs` has every key of `wanted`, at the same version or a larger one.
bool Covers(const VersionMap& theirs, const VersionMap& wanted);

/// Whether `theirs` lacks a key of `mine`.
bool LacksKey(const VersionMap& theirs, const VersionMap& mine);

}  // namespace pimentomoor
