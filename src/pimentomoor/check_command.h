// Registry of the checks that the `check` subcommand offers, one for each kind of file.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace pimentomoor {

/// Throws ConfigError when `text` is invalid. `source` names the text in the error, for example its file name.
using FileCheck = std::function<void(std::string_view text, std::string_view source)>;

/// Registers the check of a kind of file when constructed at namespace scope, as RegisterCommand does for
/// subcommands:
///   const RegisterFileCheck kSettingsCheck("settings", [](auto text, auto source) { ParseSettings(text, source); });
struct RegisterFileCheck {
  /// Throws std::logic_error when the kind has a check already.
  RegisterFileCheck(const std::string& kind, FileCheck check);
};

}  // namespace pimentomoor
