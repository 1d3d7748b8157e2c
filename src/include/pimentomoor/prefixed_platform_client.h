// PlatformClient that adds a deployment's prefix to every key, so that deployments can share a platform.
#pragma once

#include <string>

#include "pimentomoor/platform_client.h"

namespace pimentomoor {

/// Adds a prefix to the keys of calls and removes it from the keys in replies: a caller uses "config/plans", and the
/// platform stores "<prefix>config/plans".
class PrefixedPlatformClient final : public PlatformClient {
 public:
  /// `client` must outlive this object.
  PrefixedPlatformClient(PlatformClient& client, std::string prefix) : client_(client), prefix_(std::move(prefix)) {}

  void Get(const std::string& key, PlatformCallback done) override;
  void Put(const std::string& key, std::uint64_t expected_version, std::string value, PlatformCallback done) override;
  void Watch(const std::string& key, std::uint64_t after_version, PlatformCallback changed) override;
  void StopWatch(const std::string& key) override { client_.StopWatch(prefix_ + key); }

 private:
  /// Wraps `callback` so that the objects of its replies have the key `key`, without the prefix.
  [[nodiscard]] PlatformCallback WithUnprefixedKey(const std::string& key, PlatformCallback callback) const;

  PlatformClient& client_;
  std::string prefix_;
};

}  // namespace pimentomoor
