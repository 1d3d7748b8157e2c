// Interface between the gateway and the platform that it runs on: field names, formats and call targets. `platform/`
// implements it; the gateway decides when to call and what to do with the answers.
//
// A record is an object of the platform's store that the gateway follows.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/clock.h"
#include "pimentomoor/fleet_registry.h"
#include "pimentomoor/http1_message.h"
#include "pimentomoor/rollout.h"
#include "pimentomoor/routing_table.h"
#include "pimentomoor/upstream_link.h"

namespace pimentomoor {

/// Kinds of records that the gateway follows. Gateway daemons name a kind to each other by its value.
/// kRollouts is followed only when the settings have roll-outs.
enum class RecordKind { kRouting, kUpstreams, kOutages, kRollouts };
constexpr std::size_t kRecordKindCount = 4;
constexpr std::string_view ToString(RecordKind kind) {
  return kind == RecordKind::kRouting     ? "routing"
         : kind == RecordKind::kUpstreams ? "upstreams"
         : kind == RecordKind::kOutages   ? "outages"
                                          : "rollouts";
}

/// A record with its payload in the platform's format.
struct StoredRecord {
  std::string name;
  std::uint64_t revision = 0;
  std::string payload;
  // Only of orders of roll-outs: what the system last wrote about the order, and the revision of its creation.
  std::string status = {};
  std::uint64_t created_revision = 0;

  friend bool operator==(const StoredRecord&, const StoredRecord&) = default;
};

/// A page of the list of a kind's records.
struct RecordPage {
  std::vector<StoredRecord> records;
  bool has_more = false;  // the next page begins after the name of the last record
  std::uint64_t store_revision = 0;
  std::size_t unreadable_records = 0;  // left out, because they have no readable name or revision
};

/// A change of a record.
struct RecordEvent {
  StoredRecord record;
  bool deleted = false;
};

/// The answer to a watch.
struct RecordEvents {
  std::vector<RecordEvent> events;  // in the order of the changes
  std::uint64_t store_revision = 0;
  std::size_t unreadable_records = 0;  // left out, because they have no readable name or revision
};

/// Thrown for a body or record that is not in the platform's format. what() names the record and the problem.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// An order of a roll-out and its status in the store.
struct RolloutRecord {
  RolloutOrder order;
  RolloutState state = RolloutState::kNone;  // kNone when the status is of another order
  std::uint64_t revision = 0;

  friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;
};

class PlatformCodec {
 public:
  virtual ~PlatformCodec() = default;

  [[nodiscard]] virtual const FieldNames& field_names() const = 0;

  /// Request target that lists the records of a kind whose names follow `after`; an empty `after` lists from the
  /// first.
  [[nodiscard]] virtual std::string ListTarget(RecordKind kind, std::string_view after) const = 0;
  /// Request target that is answered as soon as the kind has changed since `revision`, or after `wait`.
  [[nodiscard]] virtual std::string WatchTarget(RecordKind kind, std::uint64_t revision, Duration wait) const = 0;
  /// ParsePage, ParseEvents and ParseRoutingTable throw FormatError for malformed text. A record whose content is
  /// unreadable doesn't make a page or an answer malformed: its payload is the content as it stands.
  [[nodiscard]] virtual RecordPage ParsePage(std::string_view body) const = 0;
  [[nodiscard]] virtual RecordEvents ParseEvents(std::string_view body) const = 0;

  [[nodiscard]] virtual RoutingTableSpec ParseRoutingTable(std::string_view payload) const = 0;
  /// Returns nothing when the record names no usable searcher, for example when another writer corrupted it.
  [[nodiscard]] virtual std::optional<UpstreamEntry> ParseUpstream(const StoredRecord& record) const = 0;
  /// Returns nothing when the record is no usable order.
  [[nodiscard]] virtual std::optional<RolloutRecord> ParseRollout(const StoredRecord& record) const = 0;
  /// Request targets that read an order and that write its status.
  [[nodiscard]] virtual std::string RolloutTarget(std::string_view name) const = 0;
  [[nodiscard]] virtual std::string RolloutStatusTarget(std::string_view name) const = 0;
  /// Body of a call that sets the status of an order, on the condition that it still has the revision of `record`.
  [[nodiscard]] virtual std::string FormatRolloutStatus(const RolloutRecord& record, RolloutState state) const = 0;
  /// Request targets of the registry of daemons: to add an entry, to read the entries, and to remove an entry that
  /// has not changed since it was read. With `allow_stale`, the answer may lack the changes of the last seconds.
  [[nodiscard]] virtual std::string RegistryTarget() const = 0;
  [[nodiscard]] virtual std::string RegistryListTarget(bool allow_stale) const = 0;
  [[nodiscard]] virtual std::string RegistryEntryTarget(const RegistryEntry& entry) const = 0;
  /// Body of a call that adds the entry of the daemon with this peer address.
  [[nodiscard]] virtual std::string FormatRegistryEntry(const std::string& peer_address) const = 0;
  /// Returns nothing when the record names no daemon.
  [[nodiscard]] virtual std::optional<RegistryEntry> ParseRegistryEntry(const StoredRecord& record) const = 0;
  /// Parses the answer that holds one object. Returns nothing when it is malformed.
  [[nodiscard]] virtual std::optional<StoredRecord> ParseSingleObject(std::string_view body) const = 0;
  /// Name of the record that holds the routing table.
  [[nodiscard]] virtual std::string_view RoutingRecordName() const = 0;

  /// Whether a caller asks for the addresses of daemons.
  [[nodiscard]] virtual bool IsResolveRequest(const RequestMessage& request) const = 0;
  /// Whether the platform asks if this daemon is ready.
  [[nodiscard]] virtual bool IsReadinessRequest(const RequestMessage& request) const = 0;
  /// Body of the answer to a resolve request; callers may use the addresses for `ttl`.
  [[nodiscard]] virtual std::string FormatAddresses(const std::vector<std::string>& addresses,
                                                    Duration ttl) const = 0;
};

/// Creates the codec that `platform/` implements.
std::unique_ptr<PlatformCodec> MakePlatformCodec();

}  // namespace pimentomoor
