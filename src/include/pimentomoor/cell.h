// Names of cells and the platform keys of their views.
//
// A cell is a set of daemons with a view of their own. Heartbeats, leases, ownership and witnesses stay within it,
// and each service belongs to one cell.
#pragma once

#include <string>
#include <string_view>

#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {

/// Cell of daemons without the setting `cell` and of services without one in the index.
constexpr std::string_view kDefaultCell = "main";

/// 1 to 64 letters, digits, '.', '_' and '-', the first one no '.': cell names are parts of platform keys.
[[nodiscard]] bool IsCellName(std::string_view text);

/// Reads the optional key `cell` of a map; kDefaultCell without it. Throws ConfigError when it is no cell name.
[[nodiscard]] std::string ReadCellName(YamlMapReader& reader);

/// Name of a cell as messages and views carry it: an empty one is the default cell.
[[nodiscard]] std::string_view CellNameOrDefault(std::string_view carried);

/// "view" for the default cell, so that deployments without cells keep their view; "view/<cell>" for others.
[[nodiscard]] std::string ViewKey(std::string_view cell);

/// Cell of a view's key; empty when `key` is no such key.
[[nodiscard]] std::string_view CellOfViewKey(std::string_view key);

}  // namespace pimentomoor
