// Option parsing with TCLAP, error messages and file input for the subcommands.
#pragma once

#include <tclap/CmdLine.h>

#include <stdexcept>
#include <string>
#include <vector>

namespace pimentomoor {

/// Wrong usage of a subcommand, which ends with exit code 2.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Parses `args`, whose first item is the subcommand's name. Throws UsageError for wrong options. --help prints the
/// options and throws TCLAP::ExitException.
void ParseCommandLine(TCLAP::CmdLine& line, const std::vector<std::string>& args);

/// Runs `body` and turns its exceptions into messages on standard error and exit codes: 2 for UsageError and
/// ConfigError, 1 for others, 0 after --help.
template <typename Body>
int RunCommand(const std::string& name, Body body);

/// Prints the exception that is being handled and returns the exit code for RunCommand(). Call it only from a
/// handler.
int ReportCommandError(const std::string& name);

template <typename Body>
int RunCommand(const std::string& name, Body body) {
  try {
    return body();
  } catch (...) {
    return ReportCommandError(name);
  }
}

/// Reads the file at `path`, or standard input when `path` is "-". Throws UsageError that names the path when the
/// file can't be read or has more than `max_bytes` bytes.
std::string ReadTextFile(const std::string& path, std::size_t max_bytes);

}  // namespace pimentomoor
