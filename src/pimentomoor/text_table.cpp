// Implementation of plain-text tables.
#include "text_table.h"

#include <algorithm>
#include <iostream>

namespace pimentomoor {

void PrintTable(const std::vector<TableRow>& rows) {
  std::vector<std::size_t> widths;
  for (const TableRow& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const TableRow& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + (i + 1 < row.size() ? std::string(widths[i] - row[i].size() + 2, ' ') : "");
    }
    std::cout << line << "\n";
  }
}

std::string PrintableText(std::string_view text) {
  constexpr char kDelete = 0x7f;
  std::string printable(text);
  std::replace_if(
      printable.begin(), printable.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == kDelete; },
      ' ');
  return printable;
}

}  // namespace pimentomoor
