// Structured log lines over log4cxx: an event name followed by key=value fields. Log only changes of state; count the
// rest in Metrics.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace pimentomoor {

/// One field of a log line.
struct LogField {
  std::string_view key;
  std::string value;
};

/// Sets up logging to standard error. `level` is "debug", "info", "warn" or "error"; others throw
/// std::invalid_argument.
void InitLogging(std::string_view level);

/// Changes the level; see InitLogging().
void SetLogLevel(std::string_view level);

void LogInfo(std::string_view event, std::initializer_list<LogField> fields = {});
void LogWarn(std::string_view event, std::initializer_list<LogField> fields = {});
void LogError(std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace pimentomoor
