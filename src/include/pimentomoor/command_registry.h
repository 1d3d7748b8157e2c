// Registry of the subcommands of the binary. Each subcommand adds itself through a RegisterCommand object.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentomoor {

/// Entry point of a subcommand; `args[0]` is the name of the subcommand. Returns the exit code of the process: 0 for
/// success, 1 for failure, 2 for wrong usage or invalid settings. A subcommand may define further codes from 3 on.
using CommandMain = std::function<int(const std::vector<std::string>& args)>;

struct CommandSpec {
  std::string name;     // as typed on the command line
  std::string summary;  // one-line description for the usage text
  CommandMain run;
};

class CommandRegistry {
 public:
  /// The registry of the process.
  static CommandRegistry& Instance();

  /// Adds a subcommand. Throws std::logic_error when its name is already registered.
  void Register(CommandSpec spec);
  /// Returns the subcommand called `name`, or null when there is none.
  [[nodiscard]] const CommandSpec* Find(std::string_view name) const;
  [[nodiscard]] const std::vector<CommandSpec>& commands() const { return commands_; }

 private:
  std::vector<CommandSpec> commands_;  // sorted by name; names are unique
};

/// Registers a subcommand during static initialization when defined at namespace scope:
///   const RegisterCommand kCheck({.name = "check", .summary = "...", .run = RunCheck});
struct RegisterCommand {
  explicit RegisterCommand(CommandSpec spec) { CommandRegistry::Instance().Register(std::move(spec)); }
};

}  // namespace pimentomoor
