// Implements the client that adds a prefix to keys.
#include "pimentomoor/prefixed_platform_client.h"

namespace pimentomoor {

PlatformCallback PrefixedPlatformClient::WithUnprefixedKey(const std::string& key, PlatformCallback callback) const {
  return [key, callback = std::move(callback)](const PlatformReply& reply) {
    PlatformReply unprefixed = reply;
    unprefixed.object.key = key;
    callback(unprefixed);
  };
}

void PrefixedPlatformClient::Get(const std::string& key, PlatformCallback done) {
  client_.Get(prefix_ + key, WithUnprefixedKey(key, std::move(done)));
}

void PrefixedPlatformClient::Put(const std::string& key, std::uint64_t expected_version, std::string value,
                                 PlatformCallback done) {
  client_.Put(prefix_ + key, expected_version, std::move(value), WithUnprefixedKey(key, std::move(done)));
}

void PrefixedPlatformClient::Watch(const std::string& key, std::uint64_t after_version, PlatformCallback changed) {
  client_.Watch(prefix_ + key, after_version, WithUnprefixedKey(key, std::move(changed)));
}

}  // namespace pimentomoor
