// Subcommand that checks a file without the platform or a daemon.
#include "check_command.h"

#include <iostream>
#include <map>

#include "command_line.h"
#include "pimentomoor/command_registry.h"
#include "pimentomoor/config_lists.h"
#include "pimentomoor/platform_client.h"

namespace pimentomoor {
namespace {

// A function, so that it exists before the first registration in any file.
std::map<std::string, FileCheck>& Checks() {
  static std::map<std::string, FileCheck> checks;
  return checks;
}

int RunCheck(const std::vector<std::string>& args) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line("Checks a file; exit code 2 when it is wrong", ' ', "", true);
    std::vector<std::string> kinds;
    for (const auto& [kind, check] : Checks()) {
      kinds.push_back(kind);
    }
    TCLAP::ValuesConstraint<std::string> constraint(kinds);
    TCLAP::ValueArg<std::string> kind("", "kind", "What the file holds", true, "", &constraint, line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "The file; - reads standard input", true, "", "FILE", line);
    ParseCommandLine(line, args);
    Checks().at(kind.getValue())(ReadTextFile(file.getValue(), kMaxObjectBytes), file.getValue());
    std::cout << file.getValue() << ": valid " << kind.getValue() << "\n";
    return 0;
  });
}

const RegisterFileCheck kPlans("plans", [](auto text, auto source) { ParseCustomerPlans(text, source); });
const RegisterFileCheck kAccess("access", [](auto text, auto source) { ParseAccessPlans(text, source); });
const RegisterFileCheck kOutages("outages", [](auto text, auto source) { ParseOutages(text, source); });
const RegisterFileCheck kCatalog("catalog", [](auto text, auto source) { ParseCatalog(text, source); });

const RegisterCommand kCheck({.name = "check", .summary = "check a file offline", .run = RunCheck});

}  // namespace

RegisterFileCheck::RegisterFileCheck(const std::string& kind, FileCheck check) {
  if (!Checks().emplace(kind, std::move(check)).second) {
    throw std::logic_error("register file check: kind '" + kind + "' is taken");
  }
}

}  // namespace pimentomoor
