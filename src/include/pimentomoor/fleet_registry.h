// Registry of gateway daemons in the platform's store. Daemons find each other by their seeds. Daemons whose seeds
// don't name each other would form several cells, each of which takes itself for the whole fleet and uses the budgets
// that the fleet shares in full. So one daemon of each cell, its registrar, keeps an entry in the registry, and
// contacts the daemons of the other entries as if they were seeds.
//
// A cell is known to be the whole fleet when its registrar has read the registry after its own entry was written, and
// the daemons of all entries are in the cell. Of two registrars, the one whose entry was written last reads that of
// the other.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway.pb.h"
#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Entry of a registrar in the store.
struct RegistryEntry {
  std::string name;  // of the record in the store
  std::string peer_address;
  std::uint64_t revision = 0;

  friend bool operator==(const RegistryEntry&, const RegistryEntry&) = default;
};

struct FleetRegistryOptions {
  // Time from the start to the first call: by then the daemons that the seeds name have found each other.
  Duration first_call_delay = std::chrono::milliseconds(700);
  Duration interval = std::chrono::seconds(5);  // between two reads of the registry
  Duration min_retry_delay = std::chrono::milliseconds(400);
  // An entry whose daemon doesn't answer for this time is removed. A registrar that runs writes its entry again.
  Duration silent_retention = std::chrono::seconds(20);
  std::size_t max_contacts = 8;  // daemons of other entries that are contacted at a time

  friend bool operator==(const FleetRegistryOptions&, const FleetRegistryOptions&) = default;
};

/// What a registrar knows of the registry.
struct FleetRegistryState {
  bool registered = false;                        // the last read of the registry had this daemon's entry
  std::vector<RegistryEntry> others;              // entries of other daemons
  std::map<std::string, TimePoint> silent_since;  // by peer address: daemons of `others` that are not in the cell

  friend bool operator==(const FleetRegistryState&, const FleetRegistryState&) = default;
};

/// Whether `self` is the registrar of its cell: of the relays that the store answers, the one with the lowest peer
/// address that is not the first relay of its failure domain, or the lowest if there is no such one. The first relays
/// watch the store for their domains, and a daemon that the store turns away should not hold up both. `peers` are the
/// other daemons of the cell, ordered by peer address.
bool IsRegistrar(const proto::GatewayMember& self, const std::vector<proto::GatewayMember>& peers,
                 std::size_t relays_per_domain);

/// Applies the entries that were read from the registry.
void ApplyRegistry(FleetRegistryState& state, std::vector<RegistryEntry> entries, const std::string& self_address);

/// Updates which daemons of other entries are silent. `peers` are the other daemons of the cell.
void UpdateSilentDaemons(FleetRegistryState& state, const std::vector<proto::GatewayMember>& peers, TimePoint now);

/// Whether the cell is known to be the whole fleet.
bool IsWholeFleet(const FleetRegistryState& state);

/// Peer addresses of daemons outside the cell, at most FleetRegistryOptions::max_contacts.
std::vector<std::string> RegistryContacts(const FleetRegistryState& state, const FleetRegistryOptions& options);

/// An entry that can be removed, because its daemon is in this cell or has been silent for long; nullptr if there is
/// none.
const RegistryEntry* FindObsoleteEntry(const FleetRegistryState& state, const FleetRegistryOptions& options,
                                       TimePoint now);

}  // namespace pimentomoor
