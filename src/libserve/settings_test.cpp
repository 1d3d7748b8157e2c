// Tests of the settings parser: limits between keys, defaults, and errors that name line, key and value.
#include "pimentomoor/settings.h"

#include "pimentomoor/strict_yaml.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {

TEST_GROUP(Settings){static std::string SettingsText(const std::string& more){
    return "deployment: d\nhost: h\nfailure_domain: a\nhttp_address: 127.0.0.1:1\npeer_address: 127.0.0.1:2\n"
           "platform: [\"127.0.0.1:3\"]\ntoken_key: 0123456789abcdef\n" +
           more;
}

static std::string ParseErrorOf(const std::string& more) {
  try {
    ParseSettings(SettingsText(more), "s.yaml");
    return "";
  } catch (const ConfigError& error) {
    return error.what();
  }
}
}
;

// Guards against a planned stop that ends while callers may still use the daemon's address.
TEST(Settings, DrainTimeoutCoversTheEntryLifetime) {
  STRCMP_EQUAL("", ParseErrorOf("").c_str());
  STRCMP_EQUAL("", ParseErrorOf("drain_timeout_ms: 4000\n").c_str());
  STRCMP_EQUAL("", ParseErrorOf("entry_ttl_ms: 100\ndrain_timeout_ms: 1100\n").c_str());
  STRCMP_EQUAL(
      "s.yaml:8: key 'drain_timeout_ms': 3999 ms is shorter than entry_ttl_ms plus 1000 ms (4000 ms), for which "
      "callers keep using a leaving daemon",
      ParseErrorOf("drain_timeout_ms: 3999\n").c_str());
  STRCMP_EQUAL(
      "s.yaml:9: key 'drain_timeout_ms': 30000 ms is shorter than entry_ttl_ms plus 1000 ms (61000 ms), for which "
      "callers keep using a leaving daemon",
      ParseErrorOf("log_level: info\nentry_ttl_ms: 60000\n").c_str());
}

// Guards against a cell name that can't be part of a platform key, and against a changed default cell.
TEST(Settings, CellIsCheckedAndHasADefault) {
  STRCMP_EQUAL("main", ParseSettings(SettingsText(""), "s.yaml").cell.c_str());
  STRCMP_EQUAL("south-1", ParseSettings(SettingsText("cell: south-1\n"), "s.yaml").cell.c_str());
  STRCMP_EQUAL("s.yaml:8: key 'cell': 'a/b' is not 1 to 64 letters, digits, '.', '_' and '-', the first one no '.'",
               ParseErrorOf("cell: a/b\n").c_str());
}

// Guards against a trace export that is on by default, or whose settings contradict each other.
TEST(Settings, TraceExportIsCheckedAndOffByDefault) {
  STRCMP_EQUAL("", ParseSettings(SettingsText(""), "s.yaml").trace_export.address.c_str());
  const TraceExportOptions read =
      ParseSettings(SettingsText("trace_export: {address: \"127.0.0.1:4318\", queue_spans: 10, batch_spans: 5, "
                                 "interval_ms: 20, timeout_ms: 30}\n"),
                    "s.yaml")
          .trace_export;
  CHECK((read == TraceExportOptions{.address = "127.0.0.1:4318",
                                    .max_queued_spans = 10,
                                    .max_batch_spans = 5,
                                    .batch_interval = std::chrono::milliseconds(20),
                                    .call_timeout = std::chrono::milliseconds(30)}));
  STRCMP_EQUAL("s.yaml:8: key 'trace_export.address': missing", ParseErrorOf("trace_export: {}\n").c_str());
  CHECK(ParseErrorOf("trace_export: {address: collector}\n").find("'collector' is not") != std::string::npos);
  CHECK(ParseErrorOf("trace_export: {address: \"127.0.0.1:1\", queue: 1}\n").find("unknown key") !=
        std::string::npos);
  STRCMP_EQUAL("s.yaml:8: key 'trace_export.batch_spans': 1024 is above queue_spans (1000)",
               ParseErrorOf("trace_export: {address: \"127.0.0.1:1\", queue_spans: 1000}\n").c_str());
}

}  // namespace pimentomoor
