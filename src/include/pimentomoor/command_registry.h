// Registry through which subcommands of the binary register themselves.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentomoor {

/// Runs a subcommand. `args[0]` is the subcommand's name. Returns the process exit code: 0 success, 1 failure,
/// 2 wrong usage or invalid settings. A subcommand may define further codes from 3.
using CommandMain = std::function<int(const std::vector<std::string>& args)>;

struct CommandSpec {
  std::string name;     // word on the command line
  std::string summary;  // one line for the usage text
  CommandMain run;
};

class CommandRegistry {
 public:
  static CommandRegistry& Instance();

  /// Throws std::logic_error when the name is taken.
  void Register(CommandSpec spec);
  /// Returns null when no subcommand has that name.
  [[nodiscard]] const CommandSpec* Find(std::string_view name) const;
  [[nodiscard]] const std::vector<CommandSpec>& commands() const { return commands_; }

 private:
  std::vector<CommandSpec> commands_;  // ordered by name, names unique
};

/// Registers a subcommand when constructed at namespace scope:
///   const RegisterCommand kCheck({.name = "check", .summary = "...", .run = RunCheck});
struct RegisterCommand {
  explicit RegisterCommand(CommandSpec spec) { CommandRegistry::Instance().Register(std::move(spec)); }
};

}  // namespace pimentomoor
