// Implementation of the decisions about the registry of gateway daemons.
#include "pimentomoor/fleet_registry.h"

#include <algorithm>
#include <utility>

namespace pimentomoor {

bool IsRegistrar(const proto::GatewayMember& self, const std::vector<proto::GatewayMember>& peers,
                 std::size_t relays_per_domain) {
  std::map<std::string_view, std::size_t> ranks;  // daemons with a lower peer address, by failure domain
  const proto::GatewayMember* first_relay = nullptr;
  // Returns whether the daemon is a later relay of its domain that the store answers.
  const auto is_later_relay = [&](const proto::GatewayMember& member) {
    const std::size_t rank = ranks[member.failure_domain()]++;
    if (rank >= relays_per_domain || !member.store_answers()) {
      return false;
    }
    first_relay = first_relay == nullptr ? &member : first_relay;
    return rank > 0;
  };
  bool self_passed = false;
  for (const auto& peer : peers) {
    if (!self_passed && peer.peer_address() > self.peer_address()) {
      self_passed = true;
      if (is_later_relay(self)) {
        return true;
      }
    }
    if (is_later_relay(peer)) {
      return false;
    }
  }
  return (!self_passed && is_later_relay(self)) || first_relay == &self;
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
