// Names of cells and the platform keys of their views.
//
// A cell is a set of daemons with a view of their own. Heartbeats, leases, ownership and witnesses stay within a
// cell, and each service belongs to one cell.
#pragma once

#include <string>
#include <string_view>

#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {

/// Cell of the daemons whose settings name none and of the services for which the catalog index names none.
constexpr std::string_view kDefaultCell = "main";

/// Whether `text` has 1 to 64 letters, digits, '.', '_' and '-' and doesn't begin with '.'. Cell names are parts of
/// platform keys, which restricts them.
[[nodiscard]] bool IsCellName(std::string_view text);

/// Reads the optional key `cell` of a map; returns kDefaultCell when it is missing. Throws ConfigError when its value
/// is not a cell name.
[[nodiscard]] std::string ReadCellName(YamlMapReader& reader);

/// Returns `name`, or kDefaultCell when `name` is empty: messages and statuses may leave out the default cell.
[[nodiscard]] std::string_view CellNameOrDefault(std::string_view name);

/// Platform key of a cell's view: "view" for the default cell, so that deployments without cells keep their view, and
/// "view/<cell>" for others.
[[nodiscard]] std::string ViewKey(std::string_view cell);

/// Cell whose view has the platform key `key`; empty when `key` is not the key of a view.
[[nodiscard]] std::string_view CellOfViewKey(std::string_view key);

}  // namespace pimentomoor
