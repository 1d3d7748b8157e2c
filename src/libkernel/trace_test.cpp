// Tests of trace contexts and the trace store.
#include "pimentomoor/trace.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {

TEST_GROUP(Trace){};

// Guards against a root span whose parent was never recorded, and against ids that the W3C Trace Context format
// forbids.
TEST(Trace, NewTraceHasNoParent) {
  const std::string trace_id = "4bf92f3577b34da6a3ce929d0e0e4736";
  CHECK((ParseTraceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01") ==
         TraceContext{trace_id, "00f067aa0ba902b7"}));
  for (const char* header : {"", "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
                             "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
                             "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
                             "00-4bf92f3577b34da6a3ce929d0e0e4736-00F067AA0BA902B7-01"}) {
    const TraceContext context = ParseTraceparent(header);
    LONGS_EQUAL(32, context.trace_id.size());
    CHECK(context.trace_id != trace_id && context.trace_id != std::string(32, '0'));
    STRCMP_EQUAL("", context.span_id.c_str());
  }
}

// Guards against attributes that make the JSON of /traces invalid, because quotes in them are not escaped.
TEST(Trace, SlowestTracesAreValidJson) {
  TraceStore store(2);
  for (const int ms : {3, 1, 2}) {
    store.Add({.trace_id = std::to_string(ms),
               .duration = std::chrono::milliseconds(ms),
               .spans = {{.name = "entry.query", .attributes = "service=a\"b"}}});
  }
  STRCMP_EQUAL(
      "{\"traces\":[\n{\"trace_id\":\"2\",\"duration_us\":2000,\"spans\":[\n  {\"name\":\"entry.query\","
      "\"span_id\":\"\",\"parent_id\":\"\",\"host\":\"\",\"start_us\":0,\"duration_us\":0,"
      "\"attributes\":\"service=a\\\"b\"}]}]}\n",
      store.RenderSlowest(1).c_str());
}

}  // namespace pimentomoor
