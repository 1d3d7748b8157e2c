// Program pimentomoor_load: sends open-loop load to the entries of a deployment and checks the answers.
#include <tclap/CmdLine.h>

#include <cstdint>
#include <iostream>
#include <optional>
#include <string>

#include "load_generator.h"
#include "program_main.h"

namespace pimentomoor {
namespace {

constexpr int kDefaultSeconds = 10;

struct ProgramOptions {
  LoadOptions load;
  std::string searchers_admin;  // admin address of the stand-in searchers; empty leaves their counters out
  bool json = false;
};

Duration ToDuration(double milliseconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

ProgramOptions ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine line("Open-loop load of queries; every answer is checked against the reference.", ' ', "0.1.0");
  const TCLAP::MultiArg<std::string> entry("", "entry", "Entry to ask for addresses; repeatable.", true, "IP:port",
                                           line);
  const TCLAP::ValueArg<std::string> deployment("", "deployment", "Deployment description that the stand-ins serve.",
                                                true, "", "FILE", line);
  const TCLAP::MultiArg<std::string> service("", "service", "Service to query; repeatable. Default: all.", false,
                                             "NAME", line);
  const TCLAP::ValueArg<double> rate("", "rate", "Queries per second.", false, 100, "N", line);
  const TCLAP::ValueArg<double> seconds("", "seconds", "Length of the load, at most 60.", false, kDefaultSeconds, "N",
                                        line);
  const TCLAP::SwitchArg fixed("", "fixed", "Fixed intervals instead of Poisson arrivals.", line);
  const TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of arrivals, services and texts.", false, 1, "N", line);
  const TCLAP::ValueArg<std::string> customer("", "customer", "Customer that sends the queries.", false, "load",
                                              "NAME", line);
  const TCLAP::ValueArg<std::size_t> callers("", "callers", "Callers, each with its own entry addresses.", false, 8,
                                             "N", line);
  const TCLAP::ValueArg<std::string> domain("", "failure-domain", "Failure domain of the callers.", false, "", "NAME",
                                            line);
  const TCLAP::ValueArg<std::uint32_t> limit("", "limit", "Rows wanted in an answer.", false, 10, "N", line);
  const TCLAP::ValueArg<std::uint32_t> deadline("", "deadline-ms", "Deadline of each query.", false, 500, "N", line);
  const TCLAP::ValueArg<std::uint64_t> texts("", "unique-texts", "Number of different texts.", false, 1'000, "N",
                                             line);
  const TCLAP::ValueArg<double> one_way("", "one-way-ms", "Network delay to the entries, each way.", false, 0, "MS",
                                        line);
  const TCLAP::ValueArg<std::string> admin("", "searchers-admin", "Admin address of the stand-in searchers.", false,
                                           "", "IP:port", line);
  const TCLAP::SwitchArg resend("", "resend-timeouts",
                                "Resend queries that timed out, and look addresses up once more.", line);
  const TCLAP::SwitchArg json("", "json", "Print the report as JSON.", line);
  line.parse(argc, argv);

  ProgramOptions options{.load = {.entries = entry.getValue(),
                                  .services = service.getValue(),
                                  .deployment = LoadDeployment(deployment.getValue()),
                                  .arrival_kind = fixed.getValue() ? ArrivalKind::kFixed : ArrivalKind::kPoisson,
                                  .queries_per_s = rate.getValue(),
                                  .duration = ToDuration(seconds.getValue() * 1'000),
                                  .seed = seed.getValue(),
                                  .customer = customer.getValue(),
                                  .caller_count = callers.getValue(),
                                  .failure_domain = domain.getValue(),
                                  .row_limit = limit.getValue(),
                                  .deadline_ms = deadline.getValue(),
                                  .unique_texts = texts.getValue(),
                                  .one_way_delay = ToDuration(one_way.getValue()),
                                  .resend_timeouts = resend.getValue()},
                         .searchers_admin = admin.getValue(),
                         .json = json.getValue()};
  if (options.load.services.empty()) {
    for (const auto& spec : options.load.deployment.services) {
      options.load.services.push_back(spec.name);
    }
  }
  return options;
}

SearcherTotals FetchSearcherTotals(EventLoop& loop, HttpClient& client, const std::string& admin) {
  std::optional<HttpResult> answer;
  client.Call({.target = admin, .path = "/counters"}, [&](HttpResult result) { answer = std::move(result); });
  loop.RunUntil([&] { return answer.has_value(); }, std::chrono::seconds(3));
  if (!answer || !answer->ok()) {
    throw std::runtime_error("read counters at " + admin + ": " + (answer ? answer->error : "no answer"));
  }
  return ParseCounters(answer->body);
}

// Returns the exit code: 0 when all answers are correct, 1 when an answer is wrong. Errors throw and exit with 1.
int Run(const ProgramOptions& options) {
  const SystemClock clock;
  EventLoop loop(clock);
  HttpClient client(loop);
  LoadGenerator generator(loop, options.load);
  SearcherTotals totals;
  if (!options.searchers_admin.empty()) {
    totals = FetchSearcherTotals(loop, client, options.searchers_admin);
  }
  generator.Start();
  if (!loop.RunUntil([&] { return generator.done(); }, generator.MaxRunTime())) {
    std::cerr << "pimentomoor_load: queries without a result after the maximum run time\n";
  }
  if (!options.searchers_admin.empty()) {
    totals = FetchSearcherTotals(loop, client, options.searchers_admin) - totals;
  }
  const LoadReport report = generator.Report();
  const SearcherTotals* searchers = options.searchers_admin.empty() ? nullptr : &totals;
  std::cout << (options.json ? ReportJson(report, searchers) : ReportText(report, searchers));
  return report.wrong == 0 ? 0 : 1;
}

}  // namespace
}  // namespace pimentomoor

int main(int argc, char** argv) {
  return pimentomoor::RunProgram("pimentomoor_load",
                                 [&] { return pimentomoor::Run(pimentomoor::ParseOptions(argc, argv)); });
}
