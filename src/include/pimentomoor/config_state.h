// The configuration and catalogs that a daemon has in force, parsed once per version.
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

/// Cell by service, from the catalog index: `services: [remates-01, {service: contratos, cell: south}]`. A service
/// without a cell belongs to kDefaultCell. Throws ConfigError.
std::map<std::string, std::string> ParseCatalogIndex(std::string_view text, std::string_view source);

/// A version that is not in force because it is malformed.
struct RefusedObject {
  std::uint64_t version = 0;
  std::string error;
};

class ConfigState {
 public:
  explicit ConfigState(std::string cell = std::string(kDefaultCell)) : own_cell_(std::move(cell)) {}

  /// Puts a newer version of an object in force. A value that does not parse is refused and the version before it
  /// stays in force: the returned text says why, and is empty on success. A catalog must name the service of its key.
  std::string Apply(const PlatformObject& object);

  [[nodiscard]] const CustomerPlans* plans() const { return plans_ ? &*plans_ : nullptr; }
  [[nodiscard]] const AccessPlans* access() const { return access_ ? &*access_ : nullptr; }
  /// Nothing is out until the first version is known.
  [[nodiscard]] const Outages& outages() const { return outages_; }
  [[nodiscard]] std::shared_ptr<const Catalog> catalog(const std::string& service) const;
  [[nodiscard]] const std::map<std::string, std::shared_ptr<const Catalog>>& catalogs() const { return catalogs_; }
  /// Services that the index gives to this daemon's cell.
  [[nodiscard]] std::vector<std::string> ServicesOfOwnCell() const;
  /// The other cell that the index gives `service` to; empty when it is this daemon's or not listed.
  [[nodiscard]] std::string OtherCellOf(const std::string& service) const;
  /// All cells of the index but this daemon's.
  [[nodiscard]] std::set<std::string> OtherCells() const;
  /// View of another cell; null when it is not known.
  [[nodiscard]] const proto::View* ViewOfOtherCell(const std::string& cell) const;

  /// Version in force; 0: none.
  [[nodiscard]] std::uint64_t VersionInForce(const std::string& key) const;
  /// By key: versions newer than the one in force.
  [[nodiscard]] const std::map<std::string, RefusedObject>& refused_objects() const { return refused_objects_; }

 private:
  void ParseAndStore(const PlatformObject& object);

  std::map<std::string, std::uint64_t> versions_in_force_;  // in force, by key
  std::map<std::string, RefusedObject> refused_objects_;
  std::string own_cell_;  // of this daemon
  std::optional<CustomerPlans> plans_;
  std::optional<AccessPlans> access_;
  Outages outages_;
  std::map<std::string, std::string> cell_by_service_;              // cell by service
  std::map<std::string, std::shared_ptr<const Catalog>> catalogs_;  // by service; none that another cell serves
  std::map<std::string, proto::View> other_cell_views_;             // of other cells
};

}  // namespace pimentomoor
