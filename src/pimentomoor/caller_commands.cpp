// Subcommands that act as a caller. `entries` asks daemons for the addresses of entries, which are the daemons that
// receive queries, and `query` sends one query to an entry.
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>

#include "caller.pb.h"
#include "list_change.h"
#include "pimentomoor/command_registry.h"
#include "pimentomoor/config_lists.h"
#include "pimentomoor/http.h"
#include "text_table.h"

namespace pimentomoor {
namespace {

namespace json = google::protobuf::util;

// Exit codes of `query` besides those that all subcommands have: 0 for a complete answer, 1 for no answer and 2 for
// wrong usage.
constexpr int kExitPartial = 3;
constexpr int kExitFailed = 4;
constexpr int kExitNotRun = 5;

constexpr std::uint32_t kDefaultTimeoutMs = 2'000;
// Time for connecting and for the network, added to the deadline within which the entry answers.
constexpr Duration kQueryTimeoutMargin = std::chrono::seconds(1);

/// Options that both subcommands have: the caller, the daemons that it asks and the form of the output.
class CallerOptions {
 public:
  explicit CallerOptions(TCLAP::CmdLine& line)
      : daemons_("", "daemon", "HTTP address of any daemon, asked for entry addresses; repeat for more", true,
                 "IP:port", line),
        caller_("", "caller", "Name of this caller; callers with different names are spread over the entries", false,
                "", "name", line),
        failure_domain_("", "failure-domain", "Failure domain of this caller; its entries come first", false, "",
                        "name", line),
        timeout_ms_("", "timeout-ms", "Longest time to wait for each daemon's addresses; default 2000", false,
                    kDefaultTimeoutMs, "milliseconds", line),
        json_("", "json", "Print the answer as it was received", line) {}

  [[nodiscard]] const std::vector<std::string>& Daemons() {
    CheckAddresses("--daemon", daemons_.getValue());
    return daemons_.getValue();
  }
  [[nodiscard]] std::string EntriesPath(const std::string& customer, const std::string& service) {
    return "/v1/entries?customer=" + UrlEncode(customer) + "&caller=" + UrlEncode(caller_.getValue()) +
           "&failure_domain=" + UrlEncode(failure_domain_.getValue()) +
           (service.empty() ? "" : "&service=" + UrlEncode(service));
  }
  [[nodiscard]] Duration Timeout() { return std::chrono::milliseconds(timeout_ms_.getValue()); }
  [[nodiscard]] bool WantsJson() { return json_.getValue(); }

 private:
  TCLAP::MultiArg<std::string> daemons_;
  TCLAP::ValueArg<std::string> caller_;
  TCLAP::ValueArg<std::string> failure_domain_;
  TCLAP::ValueArg<std::uint32_t> timeout_ms_;
  TCLAP::SwitchArg json_;
};

/// Event loop and HTTP client of one run of a caller subcommand.
class CallerSession {
 public:
  /// Runs the loop until the call has ended.
  HttpResult Call(HttpCall call) {
    const Duration limit = call.timeout + std::chrono::seconds(1);
    const std::string target = call.target;
    std::optional<HttpResult> result;
    const HttpCallId id = http_.Call(std::move(call), [&result](HttpResult done) { result = std::move(done); });
    if (!loop_.RunUntil([&] { return result.has_value(); }, limit)) {
      http_.Cancel(id);
      return {.failure = HttpFailure::kTimeout, .error = target + ": timeout"};
    }
    return *std::move(result);
  }

 private:
  SystemClock clock_;
  EventLoop loop_{clock_};
  HttpClient http_{loop_};
};

template <typename Message>
bool ParseAnswer(const std::string& body, Message* message) {
  json::JsonParseOptions options;
  options.ignore_unknown_fields = true;  // a newer daemon may send more fields
  return json::JsonStringToMessage(body, message, options).ok();
}

std::string DescribeFailure(const HttpResult& result) {
  return result.error.empty() ? "unexpected answer with status " + std::to_string(result.status) : result.error;
}

struct Entries {
  proto::EntriesAnswer answer;  // at least one entry, and all addresses are valid
  std::string body;             // the answer as received
};

/// Thrown when no daemon gave an entry address, so that nothing was sent to an entry.
class NoEntryError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

bool HasValidAddresses(const proto::EntriesAnswer& answer) {
  return std::all_of(answer.entries().begin(), answer.entries().end(),
                     [](const auto& entry) { return IsSocketAddress(entry.address()); });
}

// Asks the daemons in order until one gives addresses. Throws NoEntryError that names each daemon and why it gave no
// address.
Entries FetchEntries(CallerSession& session, CallerOptions& options, const std::string& customer,
                     const std::string& service) {
  std::string problems;
  for (const std::string& daemon : options.Daemons()) {
    const HttpResult result = session.Call(
        {.target = daemon, .path = options.EntriesPath(customer, service), .timeout = options.Timeout()});
    Entries entries{.body = result.body};
    const bool valid = result.ok() && ParseAnswer(result.body, &entries.answer) && HasValidAddresses(entries.answer);
    if (valid && !entries.answer.entries().empty()) {
      return entries;
    }
    problems += (problems.empty() ? "" : "; ") + daemon + ": " + (valid ? "knows no entry" : DescribeFailure(result));
  }
  throw NoEntryError("no daemon gave an entry address: " + problems);
}

int RunEntries(const std::vector<std::string>& args) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line("Shows the entry addresses for a caller, best first, and how long they are valid", ' ', "",
                        true);
    CallerOptions options(line);
    TCLAP::ValueArg<std::string> customer(
        "", "customer", "Customer of the caller; replaces --caller when that is missing", false, "", "name", line);
    TCLAP::ValueArg<std::string> service("", "service", "Service to search; shows entries of its cell", false, "",
                                         "name", line);
    ParseCommandLine(line, args);
    CallerSession session;
    const Entries entries = FetchEntries(session, options, customer.getValue(), service.getValue());
    if (options.WantsJson()) {
      std::cout << entries.body;
      return 0;
    }
    std::vector<TableRow> rows = {{"ENTRY", "FAILURE DOMAIN"}};
    for (const auto& entry : entries.answer.entries()) {
      rows.push_back({entry.address(), PrintableText(entry.failure_domain())});
    }
    PrintTable(rows);
    std::cout << "valid for " << entries.answer.ttl_ms() << " ms\n";
    return 0;
  });
}

// --- query --------------------------------------------------------------------------------------------------------

// Returns the exit code for an outcome; none when the outcome is unknown.
std::optional<int> ExitCodeOf(const std::string& outcome) {
  if (outcome == "complete") {
    return 0;
  }
  if (outcome == "partial") {
    return kExitPartial;
  }
  if (outcome == "failed") {
    return kExitFailed;
  }
  return outcome == "not_run" ? std::optional<int>(kExitNotRun) : std::nullopt;
}

std::string FormatNumber(double value, int decimals) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(decimals) << value;
  return out.str();
}

void PrintAnswer(const proto::QueryAnswer& answer, const std::string& entry) {
  std::vector<TableRow> summary_rows = {{"outcome", PrintableText(answer.outcome())}};
  if (!answer.reason().empty()) {
    summary_rows.push_back({"reason", PrintableText(answer.reason())});
  }
  if (answer.snapshot() != 0) {
    summary_rows.push_back(
        {"snapshot", std::to_string(answer.snapshot()) + " of " + PrintableText(answer.service())});
    summary_rows.push_back(
        {"shards", std::to_string(answer.covered_size()) + " of " + std::to_string(answer.shards()) + " covered"});
  }
  for (const auto& missing : answer.missing()) {
    summary_rows.push_back(
        {"missing", "shard " + std::to_string(missing.shard()) + ": " + PrintableText(missing.reason())});
  }
  summary_rows.push_back({"entry", entry + ", " + FormatNumber(answer.elapsed_us() / 1'000.0, 1) + " ms"});
  if (!answer.trace_id().empty()) {
    summary_rows.push_back({"trace", PrintableText(answer.trace_id())});
  }
  PrintTable(summary_rows);
  if (answer.rows().empty()) {
    return;
  }
  std::vector<TableRow> rows = {{"SCORE", "ID", "TEXT"}};
  for (const auto& row : answer.rows()) {
    rows.push_back({FormatNumber(row.score(), 3), PrintableText(row.id()), PrintableText(row.text())});
  }
  std::cout << "\n";
  PrintTable(rows);
}

std::string RequestBody(const proto::QueryRequest& request) {
  json::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string body;
  if (!json::MessageToJsonString(request, &body, options).ok()) {
    throw UsageError("the query is not valid UTF-8");
  }
  return body;
}

// Sends the query to the first entry, and to the next one after a failure. Sending it again is safe, because a query
// has no effect at the upstreams besides its load. Returns the exit code.
int SendQuery(CallerSession& session, const Entries& entries, const proto::QueryRequest& request, bool print_json) {
  const Duration deadline =
      std::chrono::milliseconds(request.deadline_ms() == 0 ? kMaxQueryDeadlineMs : request.deadline_ms());
  const std::string body = RequestBody(request);
  bool nothing_sent = true;
  std::string problems;
  for (const auto& entry : entries.answer.entries()) {
    const HttpResult result = session.Call({.target = entry.address(),
                                            .method = "POST",
                                            .path = "/v1/query",
                                            .headers = {{"content-type", "application/json"}},
                                            .body = body,
                                            .timeout = deadline + kQueryTimeoutMargin});
    proto::QueryAnswer answer;
    if (result.failure == HttpFailure::kNone && ParseAnswer(result.body, &answer)) {
      if (const std::optional<int> code = ExitCodeOf(answer.outcome())) {
        if (print_json) {
          std::cout << result.body;
        } else {
          PrintAnswer(answer, entry.address());
        }
        return *code;
      }
    }
    nothing_sent = nothing_sent && NothingSent(result.failure);
    problems += (problems.empty() ? "" : "; ") + entry.address() + ": " + DescribeFailure(result);
  }
  std::cerr << "pimentomoor query: " << (nothing_sent ? "not run: no entry could be reached: " : "no answer: ")
            << problems << "\n";
  return nothing_sent ? kExitNotRun : 1;
}

int RunQuery(const std::vector<std::string>& args) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line(
        "Sends one query to an entry and prints the answer. Exit codes: 0 complete, 1 no answer, 2 wrong usage, 3 "
        "partial, 4 failed, 5 not run",
        ' ', "", true);
    CallerOptions options(line);
    TCLAP::ValueArg<std::string> customer("", "customer", "Customer that the query counts against", true, "", "name",
                                          line);
    TCLAP::ValueArg<std::string> service("", "service", "Service to search", true, "", "name", line);
    TCLAP::ValueArg<std::uint32_t> limit("", "limit", "Maximum number of rows in the answer; default 10", false, 0,
                                         "rows", line);
    TCLAP::ValueArg<std::uint32_t> deadline(
        "", "deadline-ms", "Time within which to answer; the daemons set the default and the maximum", false, 0,
        "milliseconds", line);
    TCLAP::UnlabeledValueArg<std::string> text("text", "The query text", true, "", "TEXT", line);
    ParseCommandLine(line, args);
    if (deadline.getValue() > kMaxQueryDeadlineMs) {
      throw UsageError("--deadline-ms " + std::to_string(deadline.getValue()) + " is above " +
                       std::to_string(kMaxQueryDeadlineMs));
    }
    proto::QueryRequest request;
    request.set_customer(customer.getValue());
    request.set_service(service.getValue());
    request.set_text(text.getValue());
    request.set_limit(limit.getValue());
    request.set_deadline_ms(deadline.getValue());
    CallerSession session;
    Entries entries;
    try {
      entries = FetchEntries(session, options, customer.getValue(), service.getValue());
    } catch (const NoEntryError& error) {
      std::cerr << "pimentomoor query: not run: " << error.what() << "\n";
      return kExitNotRun;
    }
    return SendQuery(session, entries, request, options.WantsJson());
  });
}

const RegisterCommand kEntriesCommand({.name = "entries", .summary = "show entry addresses", .run = RunEntries});
const RegisterCommand kQueryCommand({.name = "query", .summary = "send one query", .run = RunQuery});

}  // namespace
}  // namespace pimentomoor
