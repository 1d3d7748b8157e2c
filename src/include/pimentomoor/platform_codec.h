// What the gateway needs of the platform that it runs on: names, formats and calls. `platform/` implements it; the
// gateway decides when to call and what follows.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/clock.h"
#include "pimentomoor/http1_message.h"
#include "pimentomoor/routing_table.h"
#include "pimentomoor/upstream_link.h"

namespace pimentomoor {

/// The kinds of objects that the gateway follows in the platform's store.
enum class RecordKind { kRouting, kUpstreams, kOutages };
constexpr std::size_t kRecordKindCount = 3;
constexpr std::string_view ToString(RecordKind kind) {
  return kind == RecordKind::kRouting ? "routing" : kind == RecordKind::kUpstreams ? "upstreams" : "outages";
}

/// One object of the store. The payload is in the platform's format.
struct StoredRecord {
  std::string name;
  std::uint64_t revision = 0;
  std::string payload;

  friend bool operator==(const StoredRecord&, const StoredRecord&) = default;
};

struct RecordPage {
  std::vector<StoredRecord> records;
  bool has_more = false;  // continue after the last record's name
  std::uint64_t store_revision = 0;
};

struct RecordEvent {
  StoredRecord record;
  bool deleted = false;
};

struct RecordEvents {
  std::vector<RecordEvent> events;  // in the order of the changes
  std::uint64_t store_revision = 0;
};

/// A body or object that is not in the platform's format. what() names the object and the problem.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class PlatformCodec {
 public:
  virtual ~PlatformCodec() = default;

  [[nodiscard]] virtual const FieldNames& field_names() const = 0;

  /// Target of the call that lists a kind after the object `after`; empty begins.
  [[nodiscard]] virtual std::string ListTarget(RecordKind kind, std::string_view after) const = 0;
  /// Target of the call that returns as soon as the kind has changed since `revision`, or after `wait`.
  [[nodiscard]] virtual std::string WatchTarget(RecordKind kind, std::uint64_t revision, Duration wait) const = 0;
  /// The parsers throw FormatError.
  [[nodiscard]] virtual RecordPage ParsePage(std::string_view body) const = 0;
  [[nodiscard]] virtual RecordEvents ParseEvents(std::string_view body) const = 0;

  [[nodiscard]] virtual RoutingTableSpec ParseRoutingTable(std::string_view payload) const = 0;
  /// Nothing when the object names no usable searcher, for example when another writer spoilt it.
  [[nodiscard]] virtual std::optional<UpstreamEntry> ParseUpstream(const StoredRecord& record) const = 0;
  /// Name of the object that holds the routing table.
  [[nodiscard]] virtual std::string_view RoutingRecordName() const = 0;

  /// The callers' question for addresses, and the platform's own question whether this daemon is ready.
  [[nodiscard]] virtual bool IsResolveRequest(const RequestMessage& request) const = 0;
  [[nodiscard]] virtual bool IsReadinessRequest(const RequestMessage& request) const = 0;
  [[nodiscard]] virtual std::string FormatAddresses(const std::vector<std::string>& addresses,
                                                    Duration ttl) const = 0;
};

/// The adapter of `platform/`.
std::unique_ptr<PlatformCodec> MakePlatformCodec();

}  // namespace pimentomoor
