// Configuration objects, catalogs and views of other cells that are in force in a daemon. Each version is parsed
// when it arrives and kept as a value.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peer.pb.h"
#include "pimentomoor/cell.h"
#include "pimentomoor/config_lists.h"
#include "pimentomoor/platform_client.h"

namespace pimentomoor {

/// Key of the object that lists the names of all services with a catalog.
constexpr std::string_view kCatalogIndexKey = "catalog/index";

/// Parses the catalog index, for example `services: [remates-01, {service: contratos, cell: south}]`, into the cell
/// of each service. A service without a cell belongs to kDefaultCell. Throws ConfigError that names `source`.
std::map<std::string, std::string> ParseCatalogIndex(std::string_view text, std::string_view source);

/// A malformed version of an object; the version before it stays in force.
struct RefusedObject {
  std::uint64_t version = 0;
  std::string error;  // why the version was refused
};

/// Holds the parsed objects in force, by platform key.
class ConfigState {
 public:
  /// `cell` is the cell of this daemon.
  explicit ConfigState(std::string cell = std::string(kDefaultCell)) : own_cell_(std::move(cell)) {}

  /// Parses an object and puts it in force. Returns an empty text on success. A malformed value is refused: the
  /// version before it stays in force, and the returned text says why. A catalog must name the service of its key.
  std::string Apply(const PlatformObject& object);

  /// Plan of each customer; null until the first version is known.
  [[nodiscard]] const CustomerPlans* plans() const { return plans_ ? &*plans_ : nullptr; }
  /// Limits of each plan; null until the first version is known.
  [[nodiscard]] const AccessPlans* access() const { return access_ ? &*access_ : nullptr; }
  /// Hosts and failure domains that operators have taken out of service; empty until the first version is known.
  [[nodiscard]] const Outages& outages() const { return outages_; }
  /// Catalog of a service; null when none is in force or another cell serves it.
  [[nodiscard]] std::shared_ptr<const Catalog> catalog(const std::string& service) const;
  /// Catalogs in force, by service.
  [[nodiscard]] const std::map<std::string, std::shared_ptr<const Catalog>>& catalogs() const { return catalogs_; }
  /// Services that the catalog index assigns to this daemon's cell.
  [[nodiscard]] std::vector<std::string> ServicesOfOwnCell() const;
  /// Cell that the catalog index assigns `service` to, when it is not this daemon's; empty when this daemon's cell
  /// serves it or the index does not list it.
  [[nodiscard]] std::string OtherCellOf(const std::string& service) const;
  /// All cells that the catalog index names, except this daemon's.
  [[nodiscard]] std::set<std::string> OtherCells() const;
  /// View of another cell; null until its first version is known.
  [[nodiscard]] const proto::View* ViewOfOtherCell(const std::string& cell) const;

  /// Version of the object that is in force; 0 when none is.
  [[nodiscard]] std::uint64_t VersionInForce(const std::string& key) const;
  /// Refused versions by key, each newer than the version in force. A version that parses removes the entry of
  /// its key.
  [[nodiscard]] const std::map<std::string, RefusedObject>& refused_objects() const { return refused_objects_; }

 private:
  void ParseAndStore(const PlatformObject& object);

  std::map<std::string, std::uint64_t> versions_in_force_;  // by key
  std::map<std::string, RefusedObject> refused_objects_;
  std::string own_cell_;  // cell of this daemon
  std::optional<CustomerPlans> plans_;
  std::optional<AccessPlans> access_;
  Outages outages_;
  std::map<std::string, std::string> cell_by_service_;              // from the catalog index
  std::map<std::string, std::shared_ptr<const Catalog>> catalogs_;  // by service, without those of other cells
  std::map<std::string, proto::View> other_cell_views_;             // by cell, without own_cell_
};

}  // namespace pimentomoor
