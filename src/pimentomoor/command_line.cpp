// Implementation of option parsing, error messages and file input for the subcommands.
#include "command_line.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {

void ParseCommandLine(TCLAP::CmdLine& line, const std::vector<std::string>& args) {
  line.setExceptionHandling(false);
  std::vector<std::string> tclap_args = args;
  tclap_args[0] = "pimentomoor " + tclap_args[0];
  try {
    line.parse(tclap_args);
  } catch (const TCLAP::ArgException& error) {
    throw UsageError(error.error() + " (" + error.argId() + ")");
  }
}

int ReportCommandError(const std::string& name) {
  try {
    throw;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const UsageError& error) {
    std::cerr << "pimentomoor " << name << ": " << error.what() << "\n"
              << "'pimentomoor " << name << " --help' lists the options.\n";
    return 2;
  } catch (const ConfigError& error) {
    std::istringstream findings(error.findings());
    for (std::string finding; std::getline(findings, finding);) {
      std::cerr << "pimentomoor " << name << ": " << finding << "\n";
    }
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "pimentomoor " << name << ": " << error.what() << "\n";
    return 1;
  }
}

std::string ReadTextFile(const std::string& path, std::size_t max_bytes) {
  std::ifstream file;
  if (path != "-") {
    file.open(path, std::ios::binary);
    if (!file) {
      throw UsageError("cannot open " + QuoteForError(path));
    }
  }
  std::istream& input = path == "-" ? std::cin : file;
  std::string text(max_bytes + 1, '\0');
  input.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(input.gcount()));
  if (input.bad()) {
    throw UsageError("cannot read " + QuoteForError(path));
  }
  if (text.size() > max_bytes) {
    throw UsageError(QuoteForError(path) + " cannot be read: it has more than " + std::to_string(max_bytes) +
                     " bytes");
  }
  return text;
}

}  // namespace pimentomoor
