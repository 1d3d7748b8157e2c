// Implementation of the subcommand registry.
#include "pimentomoor/command_registry.h"

#include <algorithm>
#include <stdexcept>

namespace pimentomoor {

CommandRegistry& CommandRegistry::Instance() {
  static CommandRegistry registry;
  return registry;
}

void CommandRegistry::Register(CommandSpec spec) {
  if (Find(spec.name) != nullptr) {
    throw std::logic_error("register command: name '" + spec.name + "' is already registered");
  }
  const auto position =
      std::lower_bound(commands_.begin(), commands_.end(), spec.name,
                       [](const CommandSpec& command, const std::string& name) { return command.name < name; });
  commands_.insert(position, std::move(spec));
}

const CommandSpec* CommandRegistry::Find(std::string_view name) const {
  const auto found =
      std::find_if(commands_.begin(), commands_.end(), [&](const CommandSpec& spec) { return spec.name == name; });
  return found == commands_.end() ? nullptr : &*found;
}

}  // namespace pimentomoor
