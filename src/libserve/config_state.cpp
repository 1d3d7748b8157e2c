// Implementation of the configuration in force.
#include "pimentomoor/config_state.h"

#include <utility>

#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxServices = 20'000;

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

proto::View ParseOtherView(const PlatformObject& object) {
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
  const auto& items = reader.RequireSequence("services", kMaxServices);
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

void ConfigState::Parse(const PlatformObject& object) {
  if (object.key == kPlansKey) {
    plans_ = ParseCustomerPlans(object.value, object.key);
  } else if (object.key == kAccessKey) {
    access_ = ParseAccessPlans(object.value, object.key);
  } else if (object.key == kOutagesKey) {
    outages_ = ParseOutages(object.value, object.key);
  } else if (object.key == kCatalogIndexKey) {
    index_ = ParseCatalogIndex(object.value, object.key);
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
    views_[std::string(cell)] = ParseOtherView(object);
  }
}

std::string ConfigState::Apply(const PlatformObject& object) {
  try {
    Parse(object);
    versions_[object.key] = object.version;
    refused_.erase(object.key);
    return "";
  } catch (const ConfigError& error) {
    refused_[object.key] = {.version = object.version, .error = error.what()};
    return error.what();
  }
}

std::uint64_t ConfigState::VersionInForce(const std::string& key) const {
  const auto found = versions_.find(key);
  return found == versions_.end() ? 0 : found->second;
}

std::vector<std::string> ConfigState::ServicesOfOwnCell() const {
  std::vector<std::string> services;
  for (const auto& [service, cell] : index_) {
    if (cell == cell_) {
      services.push_back(service);
    }
  }
  return services;
}

std::string ConfigState::OtherCellOf(const std::string& service) const {
  const auto found = index_.find(service);
  return found == index_.end() || found->second == cell_ ? "" : found->second;
}

std::set<std::string> ConfigState::OtherCells() const {
  std::set<std::string> cells;
  for (const auto& [service, cell] : index_) {
    cells.insert(cell);
  }
  cells.erase(cell_);
  return cells;
}

const proto::View* ConfigState::ViewOfOtherCell(const std::string& cell) const {
  const auto found = views_.find(cell);
  return found == views_.end() ? nullptr : &found->second;
}

std::shared_ptr<const Catalog> ConfigState::catalog(const std::string& service) const {
  const auto found = catalogs_.find(service);
  return found == catalogs_.end() ? nullptr : found->second;
}

}  // namespace pimentomoor
