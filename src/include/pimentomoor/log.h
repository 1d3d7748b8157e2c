// Structured log lines over log4cxx: the name of the event, then key=value fields. The log holds changes of state
// only; frequent events such as requests are counted in Metrics.
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

/// Starts logging to standard error; nothing is logged before this call. `level` is "debug", "info", "warn" or
/// "error". Throws std::invalid_argument for any other level.
void InitLogging(std::string_view level);

/// Changes the log level. Accepts the same levels as InitLogging() and throws in the same cases.
void SetLogLevel(std::string_view level);

/// Formats an event and its fields as one line without its end, whatever the values hold.
std::string FormatLogLine(std::string_view event, std::initializer_list<LogField> fields);

void LogInfo(std::string_view event, std::initializer_list<LogField> fields = {});
void LogWarn(std::string_view event, std::initializer_list<LogField> fields = {});
void LogError(std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace pimentomoor
