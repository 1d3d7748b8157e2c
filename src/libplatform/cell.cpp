// Implements the checks of cell names and the keys of views.
#include "pimentomoor/cell.h"

#include <algorithm>

#include "pimentomoor/config_lists.h"

namespace pimentomoor {
namespace {

constexpr std::size_t kMaxCellBytes = 64;
constexpr std::string_view kDefaultViewKey = "view";
constexpr std::string_view kViewKeyPrefix = "view/";

bool IsCellCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' ||
         c == '-';
}

}  // namespace

bool IsCellName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxCellBytes && text.front() != '.' &&
         std::all_of(text.begin(), text.end(), IsCellCharacter);
}

std::string ReadCellName(YamlMapReader& reader) {
  std::string cell = reader.OptionalText("cell", kMaxNameBytes);
  if (!cell.empty() && !IsCellName(cell)) {
    reader.Fail(reader.Require("cell").line, "cell",
                QuoteForError(cell) + " is not 1 to 64 letters, digits, '.', '_' and '-', the first one no '.'");
  }
  return cell.empty() ? std::string(kDefaultCell) : cell;
}

std::string_view CellNameOrDefault(std::string_view name) { return name.empty() ? kDefaultCell : name; }

std::string ViewKey(std::string_view cell) {
  return cell == kDefaultCell ? std::string(kDefaultViewKey) : std::string(kViewKeyPrefix).append(cell);
}

std::string_view CellOfViewKey(std::string_view key) {
  if (key == kDefaultViewKey) {
    return kDefaultCell;
  }
  if (!key.starts_with(kViewKeyPrefix)) {
    return "";
  }
  const std::string_view cell = key.substr(kViewKeyPrefix.size());
  return IsCellName(cell) && cell != kDefaultCell ? cell : "";
}

}  // namespace pimentomoor
