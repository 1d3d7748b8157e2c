// Entry point of the binary: finds the subcommand named on the command line and runs it.
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "pimentomoor/command_registry.h"

namespace {

void PrintUsage(std::ostream& out) {
  out << "usage: pimentomoor <command> [options]\n\ncommands:\n";
  for (const auto& command : pimentomoor::CommandRegistry::Instance().commands()) {
    out << "  " << command.name << std::string(12 - std::min<std::size_t>(11, command.name.size()), ' ')
        << command.summary << "\n";
  }
  out << "\n'pimentomoor <command> --help' lists the options of a command.\n";
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  if (args.empty() || args[0] == "--help" || args[0] == "help") {
    PrintUsage(args.empty() ? std::cerr : std::cout);
    return args.empty() ? 2 : 0;
  }
  const auto* command = pimentomoor::CommandRegistry::Instance().Find(args[0]);
  if (command == nullptr) {
    std::cerr << "pimentomoor: unknown command '" << args[0] << "'\n";
    PrintUsage(std::cerr);
    return 2;
  }
  try {
    return command->run(args);
  } catch (const std::exception& error) {
    std::cerr << "pimentomoor " << args[0] << ": " << error.what() << "\n";
    return 1;
  }
}
