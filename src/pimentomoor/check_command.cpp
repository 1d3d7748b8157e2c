// Subcommand `check`: checks a file without the platform or a daemon.
#include "check_command.h"

#include <iostream>
#include <map>

#include "command_line.h"
#include "pimentomoor/command_registry.h"
#include "pimentomoor/config_lists.h"
#include "pimentomoor/platform_client.h"

namespace pimentomoor {
namespace {

// Checks by kind of file. A function-local static, because checks in other files may be registered before the
// variables of this file are initialised.
std::map<std::string, FileCheck>& FileChecks() {
  static std::map<std::string, FileCheck> checks;
  return checks;
}

int RunCheck(const std::vector<std::string>& args) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line("Checks a file; exit code 2 when it is invalid", ' ', "", true);
    std::vector<std::string> kinds;
    for (const auto& [kind, check] : FileChecks()) {
      kinds.push_back(kind);
    }
    TCLAP::ValuesConstraint<std::string> constraint(kinds);
    TCLAP::ValueArg<std::string> kind("", "kind", "Kind of file", true, "", &constraint, line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "Path of the file; - reads standard input", true, "", "FILE",
                                               line);
    ParseCommandLine(line, args);
    FileChecks().at(kind.getValue())(ReadTextFile(file.getValue(), kMaxObjectBytes), file.getValue());
    std::cout << file.getValue() << ": valid " << kind.getValue() << "\n";
    return 0;
  });
}

const RegisterFileCheck kPlansCheck("plans", [](auto text, auto source) { ParseCustomerPlans(text, source); });
const RegisterFileCheck kAccessCheck("access", [](auto text, auto source) { ParseAccessPlans(text, source); });
const RegisterFileCheck kOutagesCheck("outages", [](auto text, auto source) { ParseOutages(text, source); });
const RegisterFileCheck kCatalogCheck("catalog", [](auto text, auto source) { ParseCatalog(text, source); });

const RegisterCommand kCheckCommand({.name = "check", .summary = "check a file offline", .run = RunCheck});

}  // namespace

RegisterFileCheck::RegisterFileCheck(const std::string& kind, FileCheck check) {
  if (!FileChecks().emplace(kind, std::move(check)).second) {
    throw std::logic_error("register file check: kind '" + kind + "' is registered already");
  }
}

}  // namespace pimentomoor
