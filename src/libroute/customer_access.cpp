// Keys of customers: their digests, and the decision whether a request may run. The index from digest to customer is
// part of the routing table.
#include <openssl/evp.h>

#include <memory>
#include <stdexcept>

#include "pimentomoor/routing_table.h"

namespace pimentomoor {

namespace {

RequestOwner MakeOwner(const RouteSpec& route, const CustomerSpec* customer) {
  return {.customer = customer,
          .priority = customer == nullptr ? route.priority : customer->priority.value_or(route.priority)};
}

}  // namespace

KeyDigest DigestKey(std::string_view key) {
  // Kept, because the lookup of the algorithm and a new context cost more than the digest of a short key.
  static const EVP_MD* const sha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  thread_local const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                                     &EVP_MD_CTX_free);
  KeyDigest digest;
  if (sha256 == nullptr || context == nullptr || EVP_DigestInit_ex2(context.get(), sha256, nullptr) != 1 ||
      EVP_DigestUpdate(context.get(), key.data(), key.size()) != 1 ||
      EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) != 1) {
    throw std::runtime_error("compute the digest of a key: SHA-256 is not available");
  }
  return digest;
}

AccessDecision DecideAccess(const RoutingTable& table, const RouteSpec& route, const PresentedKey& key) {
  if (!table.requires_keys()) {
    return {.owner = MakeOwner(route, nullptr)};
  }
  const CustomerSpec* customer = key.conflicting || key.text.empty() ? nullptr : table.FindCustomer(key.text);
  if (customer != nullptr || route.is_public) {
    return {.owner = MakeOwner(route, customer)};
  }
  return {.refusal = key.conflicting ? "conflicting keys" : key.text.empty() ? "no key" : "unknown key"};
}

const CustomerSpec* FindCustomerNaive(const RoutingTableSpec& spec, std::string_view key) {
  const KeyDigest digest = DigestKey(key);
  for (const auto& customer : spec.customers) {
    for (const auto& held : customer.keys) {
      if (held == digest) {
        return &customer;
      }
    }
  }
  return nullptr;
}

}  // namespace pimentomoor
