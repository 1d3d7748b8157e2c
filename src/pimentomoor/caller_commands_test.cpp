// Tests of the subcommands `query` and `entries`, which run as processes against a stand-in for a daemon's HTTP
// interface for callers.
#include <unistd.h>

#include <memory>

#include "command_runner.h"
#include "pimentomoor/http.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {

TEST_GROUP(CallerCommands) {
  SystemClock clock;
  EventLoop loop{clock};
  HttpServer server{loop, {}};
  std::string entries_body = EntriesJson({server.address()});
  HttpResponse query_response;
  HttpRequest last_query;
  std::string last_entries_query;  // query string of the last request for entry addresses

  void setup() override {
    server.Handle("/v1/entries", [this](const HttpRequest& request, const HttpResponder& respond) {
      last_entries_query = request.query;
      respond({.body = entries_body});
    });
    server.Handle("/v1/query", [this](const HttpRequest& request, const HttpResponder& respond) {
      last_query = request;
      respond(query_response);
    });
  }

  static std::string EntriesJson(const std::vector<std::string>& addresses) {
    std::string items;
    for (const std::string& address : addresses) {
      items += std::string(items.empty() ? "" : ",") + R"({"address":")" + address + R"(","failure_domain":"a"})";
    }
    return R"({"entries":[)" + items + R"(],"ttl_ms":3000})" + "\n";
  }

  CommandResult Run(const std::vector<std::string>& args) {
    const std::string output = "/tmp/pimentomoor-test-" + std::to_string(getpid()) + ".caller";
    return WaitForCommand(loop, StartCommand(args, output), output);
  }

  CommandResult Query(const std::vector<std::string>& extra_args = {}) {
    std::vector<std::string> args = {"query",      "--daemon",  server.address(), "--customer",
                                     "casa & sol", "--service", "contratos",      "bull \"17\""};
    args.insert(args.end() - 1, extra_args.begin(), extra_args.end());
    return Run(args);
  }

  static bool Contains(const CommandResult& run, const std::string& text) {
    return run.output.find(text) != std::string::npos;
  }
};

// Guards against two outcomes of a query that have the same exit code, so that a script can't distinguish them.
TEST(CallerCommands, EachOutcomeHasItsOwnExitCode) {
  const std::pair<std::string, int> outcomes[] = {{"complete", 0}, {"partial", 3}, {"failed", 4}, {"not_run", 5}};
  for (const auto& [outcome, code] : outcomes) {
    query_response = {.status = code == 0 ? 200 : 503, .body = R"({"outcome":")" + outcome + "\"}"};
    LONGS_EQUAL(code, Query().exit_code);
  }
  query_response = {.body = R"({"outcome":"splendid"})"};
  LONGS_EQUAL(1, Query().exit_code);
  query_response = {.status = 500, .body = "oops"};
  const CommandResult broken = Query();
  LONGS_EQUAL(1, broken.exit_code);
  CHECK(Contains(broken, "no answer: " + server.address() + ": unexpected answer with status 500"));
}

// Guards against fields that are missing in the request to the entry or in the printed answer, and against control
// characters that reach the terminal.
TEST(CallerCommands, AnswerIsPrintedAsTablesOrAsReceived) {
  query_response.body =
      R"({"outcome":"partial","reason":"1 of 2 shards are missing","service":"contratos","snapshot":"7","shards":2,)"
      R"("covered":[0],"missing":[{"shard":1,"reason":"no usable replica"}],"trace_id":"ab","elapsed_us":12300,)"
      R"("rows":[{"id":"r1","score":0.5,"text":"a\u001bb"}],"later_field":1})"
      "\n";
  const CommandResult run = Query({"--limit", "3", "--deadline-ms", "700"});
  STRCMP_EQUAL(R"({"customer":"casa & sol","service":"contratos","text":"bull \"17\"","limit":3,"deadline_ms":700})",
               last_query.body.c_str());
  STRCMP_EQUAL("casa & sol", QueryParameter(last_entries_query, "customer").c_str());
  STRCMP_EQUAL("contratos", QueryParameter(last_entries_query, "service").c_str());
  for (const char* line : {"outcome   partial\n", "snapshot  7 of contratos\n", "shards    1 of 2 covered\n",
                           "missing   shard 1: no usable replica\n", "trace     ab\n", "0.500  r1  a b\n"}) {
    CHECK_TEXT(Contains(run, line), (std::string(line) + " not in " + run.output).c_str());
  }
  const CommandResult json = Query({"--json"});
  LONGS_EQUAL(3, json.exit_code);
  STRCMP_EQUAL(query_response.body.c_str(), json.output.c_str());
}

// Guards against a query that isn't sent to the second entry when the first one can't be reached, and against an
// outcome "not run" for a query that an entry has received.
TEST(CallerCommands, TriesTheNextEntryAndReportsUnreachableOnes) {
  query_response.body = R"({"outcome":"complete"})";
  entries_body = EntriesJson({"127.0.0.1:1", server.address()});
  LONGS_EQUAL(0, Query({"--daemon", "127.0.0.1:1"}).exit_code);

  entries_body = EntriesJson({"127.0.0.1:1"});
  const CommandResult unreachable = Query();
  LONGS_EQUAL(5, unreachable.exit_code);
  CHECK(Contains(unreachable, "not run: no entry could be reached: 127.0.0.1:1: "));

  // The entry received the query before the connection was lost, so whether the query ran is unknown.
  auto lost = std::make_unique<HttpServer>(loop, HttpServerOptions{});
  lost->Handle("/v1/query", [&](const HttpRequest&, const HttpResponder&) { lost->CloseConnections(); });
  entries_body = EntriesJson({lost->address()});
  LONGS_EQUAL(1, Query().exit_code);
}

// Guards against an empty or malformed list of entries that counts as an answer, and against wrong usage that is not
// refused.
TEST(CallerCommands, EntriesShowsAddressesAndLifetime) {
  const std::vector<std::string> args = {"entries",  "--daemon", "127.0.0.1:1",      "--daemon", server.address(),
                                         "--caller", "front 7",  "--failure-domain", "b"};
  const CommandResult run = Run(args);
  LONGS_EQUAL(0, run.exit_code);
  STRCMP_EQUAL(("ENTRY" + std::string(server.address().size() - 3, ' ') + "FAILURE DOMAIN\n" + server.address() +
                "  a\nvalid for 3000 ms\n")
                   .c_str(),
               run.output.c_str());
  STRCMP_EQUAL("front 7", QueryParameter(last_entries_query, "caller").c_str());
  STRCMP_EQUAL("b", QueryParameter(last_entries_query, "failure_domain").c_str());
  for (const std::string& list : {EntriesJson({}), EntriesJson({"nowhere"}), std::string("{")}) {
    entries_body = list;
    const CommandResult none = Run(args);
    LONGS_EQUAL(1, none.exit_code);
    CHECK(Contains(none, "no daemon gave an entry address: 127.0.0.1:1: "));
    LONGS_EQUAL(5, Query().exit_code);
  }
  LONGS_EQUAL(2, Run({"entries", "--daemon", "here"}).exit_code);
  LONGS_EQUAL(2, Run({"query", "--daemon", server.address(), "text"}).exit_code);
  LONGS_EQUAL(2, Query({"--deadline-ms", "2001"}).exit_code);
}

}  // namespace pimentomoor
