// Plain-text tables on standard output.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pimentomoor {

using TableRow = std::vector<std::string>;

/// Prints left-aligned columns separated by two spaces; the widest cell of a column sets its width.
void PrintTable(const std::vector<TableRow>& rows);

/// Replaces control characters by spaces, so that text from other processes can't change the terminal or the layout.
std::string PrintableText(std::string_view text);

}  // namespace pimentomoor
