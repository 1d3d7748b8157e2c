// Implementation of the objects in force: parsing, lookup by service and by cell.
#include "pimentomoor/config_state.h"

#include <utility>

#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxIndexedServices = 20'000;

std::pair<std::string, std::string> ReadIndexItem(const YamlNode& item, std::string_view source,
                                                  const std::string& path) {
  if (item.kind != YamlNode::Kind::kMap) {
    return {ReadYamlText(item, source, "services", kMaxNameBytes), std::string(kDefaultCell)};
  }
  YamlMapReader reader(item, source, path);
  std::string service = reader.RequireText("service", kMaxNameBytes);
  std::string cell = ReadCellName(reader);
  reader.RefuseUnknownKeys();
  return {std::move(service), std::move(cell)};
}

proto::View ParseOtherCellView(const PlatformObject& object) {
  proto::View view;
  if (!view.ParseFromString(object.value)) {
    throw ConfigError(object.key, 0, "", "is not a view");
  }
  return view;
}

}  // namespace

std::map<std::string, std::string> ParseCatalogIndex(std::string_view text, std::string_view source) {
  const YamlNode root = ParseStrictYaml(text, source);
  YamlMapReader reader(root, source, "");
  std::map<std::string, std::string> cells;
  const auto& items = reader.RequireSequence("services", kMaxIndexedServices);
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto [service, cell] = ReadIndexItem(items[i], source, "services[" + std::to_string(i) + "]");
    const auto [known, added] = cells.emplace(service, cell);
    if (!added && known->second != cell) {
      reader.Fail(items[i].line, "services",
                  QuoteForError(service) + " is in the cells " + known->second + " and " + cell);
    }
  }
  reader.RefuseUnknownKeys();
  return cells;
}

void ConfigState::ParseAndStore(const PlatformObject& object) {
  if (object.key == kPlansKey) {
    plans_ = ParseCustomerPlans(object.value, object.key);
  } else if (object.key == kAccessKey) {
    access_ = ParseAccessPlans(object.value, object.key);
  } else if (object.key == kOutagesKey) {
    outages_ = ParseOutages(object.value, object.key);
  } else if (object.key == kCatalogIndexKey) {
    cell_by_service_ = ParseCatalogIndex(object.value, object.key);
    std::erase_if(catalogs_, [this](const auto& entry) { return !OtherCellOf(entry.first).empty(); });
  } else if (object.key.starts_with(kCatalogPrefix)) {
    auto catalog = std::make_shared<const Catalog>(ParseCatalog(object.value, object.key));
    if (object.key.substr(kCatalogPrefix.size()) != catalog->service) {
      throw ConfigError(object.key, 0, "service",
                        QuoteForError(catalog->service) + " is not the service of this key");
    }
    if (OtherCellOf(catalog->service).empty()) {
      catalogs_[catalog->service] = std::move(catalog);
    }
  } else if (const std::string_view cell = CellOfViewKey(object.key); !cell.empty()) {
    other_cell_views_[std::string(cell)] = ParseOtherCellView(object);
  }
}

std::string ConfigState::Apply(const PlatformObject& object) {
  try {
    ParseAndStore(object);
    versions_in_force_[object.key] = object.version;
    refused_objects_.erase(object.key);
    return "";
  } catch (const ConfigError& error) {
    refused_objects_[object.key] = {.version = object.version, .error = error.what()};
    return error.what();
  }
}

std::uint64_t ConfigState::VersionInForce(const std::string& key) const {
  const auto found = versions_in_force_.find(key);
  return found == versions_in_force_.end() ? 0 : found->second;
}

std::vector<std::string> ConfigState::ServicesOfOwnCell() const {
  std::vector<std::string> services;
  for (const auto& [service, cell] : cell_by_service_) {
    if (cell == own_cell_) {
      services.push_back(service);
    }
  }
  return services;
}

std::string ConfigState::OtherCellOf(const std::string& service) const {
  const auto found = cell_by_service_.find(service);
  return found == cell_by_service_.end() || found->second == own_cell_ ? "" : found->second;
}

std::set<std::string> ConfigState::OtherCells() const {
  std::set<std::string> cells;
  for (const auto& [service, cell] : cell_by_service_) {
    cells.insert(cell);
  }
  cells.erase(own_cell_);
  return cells;
}

const proto::View* ConfigState::ViewOfOtherCell(const std::string& cell) const {
  const auto found = other_cell_views_.find(cell);
  return found == other_cell_views_.end() ? nullptr : &found->second;
}

std::shared_ptr<const Catalog> ConfigState::catalog(const std::string& service) const {
  const auto found = catalogs_.find(service);
  return found == catalogs_.end() ? nullptr : found->second;
}

}  // namespace pimentomoor
