// Newest known version of each platform object. Versions never go back, whatever the platform, a watch or a peer
// serves.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "pimentomoor/platform_client.h"

namespace pimentomoor {

/// Versions by key; keys without the deployment prefix.
using VersionMap = std::map<std::string, std::uint64_t>;

/// Versions by key with a digest that is updated at each change.
///
/// The digest is the sum modulo 2^64 of a mixed 64-bit hash of each key and version; an empty map has digest 0. Two
/// different maps have the same digest with a probability of about 2^-64. 2,700 daemons compare about 10^13 digests a
/// year, so even if the maps differed in every comparison, one false match would be expected in a million years.
class VersionsWithDigest {
 public:
  /// Takes `version` when it is larger than the held one; returns whether it did.
  bool Raise(const std::string& key, std::uint64_t version);

  [[nodiscard]] const VersionMap& map() const { return map_; }
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

 private:
  VersionMap map_;
  std::uint64_t digest_ = 0;
};

class ObjectStore {
 public:
  /// Takes `object` when its version is larger than the held one; returns whether it did.
  bool Adopt(const PlatformObject& object);

  /// Returns null when the object is not held. The pointer is valid until the next newer version of the key.
  [[nodiscard]] const PlatformObject* Find(const std::string& key) const;
  [[nodiscard]] std::uint64_t version(const std::string& key) const;  // 0 when not held
  [[nodiscard]] const VersionMap& versions() const { return versions_.map(); }
  [[nodiscard]] std::uint64_t digest() const { return versions_.digest(); }  // of versions()

  /// Keys that changed since versions() had `digest`: all keys when that is unknown or too long ago.
  [[nodiscard]] std::vector<std::string> KeysChangedSince(std::uint64_t digest) const;

  [[nodiscard]] const std::map<std::string, PlatformObject>& objects() const { return objects_; }

 private:
  struct Change {
    std::uint64_t digest_before = 0;
    std::string key;
  };

  std::map<std::string, PlatformObject> objects_;
  VersionsWithDigest versions_;
  std::deque<Change> changes_;  // newest last, at most kMaxKeptChanges
};

/// Keys that `theirs` has at a larger version than `mine`, or that `mine` lacks.
std::vector<std::string> KeysToFetch(const VersionMap& mine, const VersionMap& theirs);

/// Whether `theirs` has every key of `wanted` at that version or a larger one.
bool Covers(const VersionMap& theirs, const VersionMap& wanted);

/// Whether `theirs` lacks a key of `mine`.
bool LacksKey(const VersionMap& theirs, const VersionMap& mine);

}  // namespace pimentomoor
