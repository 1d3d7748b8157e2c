// Implementation of the decisions about the registry of gateway daemons.
#include "pimentomoor/fleet_registry.h"

#include <algorithm>
#include <utility>

namespace pimentomoor {

bool IsRegistrar(const proto::GatewayMember& self, const std::vector<proto::GatewayMember>& peers,
                 std::size_t relays_per_domain) {
  if (!self.store_answers()) {
    return false;
  }
  std::map<std::string_view, std::size_t> daemons_by_domain;  // with a lower peer address
  for (const auto& peer : peers) {
    if (peer.peer_address() > self.peer_address()) {
      break;
    }
    const bool is_relay = daemons_by_domain[peer.failure_domain()]++ < relays_per_domain;
    if (is_relay && peer.store_answers()) {
      return false;
    }
  }
  return daemons_by_domain[self.failure_domain()] < relays_per_domain;
}

void ApplyRegistry(FleetRegistryState& state, std::vector<RegistryEntry> entries, const std::string& self_address) {
  const auto removed = std::erase_if(entries, [&](const auto& entry) { return entry.peer_address == self_address; });
  state.registered = removed > 0;
  state.others = std::move(entries);
}

void UpdateSilentDaemons(FleetRegistryState& state, const std::vector<proto::GatewayMember>& peers, TimePoint now) {
  std::map<std::string, TimePoint> silent_since;
  for (const auto& entry : state.others) {
    if (!std::ranges::binary_search(peers, entry.peer_address, {}, &proto::GatewayMember::peer_address)) {
      const auto known = state.silent_since.find(entry.peer_address);
      silent_since.emplace(entry.peer_address, known == state.silent_since.end() ? now : known->second);
    }
  }
  state.silent_since = std::move(silent_since);
}

bool IsWholeFleet(const FleetRegistryState& state) { return state.registered && state.silent_since.empty(); }

std::vector<std::string> RegistryContacts(const FleetRegistryState& state, const FleetRegistryOptions& options) {
  std::vector<std::string> contacts;
  for (const auto& [address, since] : state.silent_since) {
    if (contacts.size() < options.max_contacts) {
      contacts.push_back(address);
    }
  }
  return contacts;
}

const RegistryEntry* FindObsoleteEntry(const FleetRegistryState& state, const FleetRegistryOptions& options,
                                       TimePoint now) {
  const auto obsolete = std::ranges::find_if(state.others, [&](const RegistryEntry& entry) {
    const auto silent = state.silent_since.find(entry.peer_address);
    return silent == state.silent_since.end() || now - silent->second >= options.silent_retention;
  });
  return obsolete == state.others.end() ? nullptr : &*obsolete;
}

}  // namespace pimentomoor
