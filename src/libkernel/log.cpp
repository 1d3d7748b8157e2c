// Implementation of structured logging over log4cxx.
#include "pimentomoor/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <stdexcept>

namespace pimentomoor {

namespace {

log4cxx::LevelPtr ParseLevel(std::string_view level) {
  if (level == "debug") {
    return log4cxx::Level::getDebug();
  }
  if (level == "info") {
    return log4cxx::Level::getInfo();
  }
  if (level == "warn") {
    return log4cxx::Level::getWarn();
  }
  if (level == "error") {
    return log4cxx::Level::getError();
  }
  throw std::invalid_argument("set log level: '" + std::string(level) + "' is not debug, info, warn or error");
}

bool IsControl(char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=") != value.npos ||
         std::any_of(value.begin(), value.end(), IsControl);
}

// Quotes values that contain spaces, quotes, '=' or control characters and replaces the latter by spaces, so that an
// event takes exactly one line and changes no terminal that shows it.
std::string FormatValue(std::string_view value) {
  if (!NeedsQuotes(value)) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += IsControl(c) ? ' ' : c;
  }
  return quoted + "\"";
}

log4cxx::LoggerPtr RootLogger() {
  static const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
  return logger;
}

// Programs that never call InitLogging(), such as the unit tests, log nothing.
bool initialized = false;

}  // namespace

std::string FormatLogLine(std::string_view event, std::initializer_list<LogField> fields) {
  std::string line(event);
  for (const auto& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    line += FormatValue(field.value);
  }
  return line;
}

void InitLogging(std::string_view level) {
  const auto parsed = ParseLevel(level);
  const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %p %m%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
  RootLogger()->removeAllAppenders();
  RootLogger()->addAppender(appender);
  RootLogger()->setLevel(parsed);
  initialized = true;
}

void SetLogLevel(std::string_view level) { RootLogger()->setLevel(ParseLevel(level)); }

void LogInfo(std::string_view event, std::initializer_list<LogField> fields) {
  if (initialized) {
    LOG4CXX_INFO(RootLogger(), FormatLogLine(event, fields));
  }
}

void LogWarn(std::string_view event, std::initializer_list<LogField> fields) {
  if (initialized) {
    LOG4CXX_WARN(RootLogger(), FormatLogLine(event, fields));
  }
}

void LogError(std::string_view event, std::initializer_list<LogField> fields) {
  if (initialized) {
    LOG4CXX_ERROR(RootLogger(), FormatLogLine(event, fields));
  }
}

}  // namespace pimentomoor
