// Tests of the operator subcommands, which run as processes against stand-ins for the platform and for daemons, and
// tests of the count of members that have a version in force.
#include <unistd.h>

#include <fstream>

#include "command_runner.h"
#include "pimentomoor/acceptance.h"
#include "pimentomoor/config_lists.h"
#include "property.h"
#include "standin_platform.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Stand-in for a daemon. Holds the versions that are pushed to it while `accepts_pushes` is set, and reports them in
/// GET /status.
class StandinDaemon {
 public:
  StandinDaemon(EventLoop& loop, std::string host) : host_(std::move(host)), server_(loop, {}) {
    server_.Handle("/status",
                   [this](const HttpRequest&, const HttpResponder& respond) { respond({.body = Status()}); });
    server_.Handle("/admin/config/", [this](const HttpRequest& request, const HttpResponder& respond) {
      const std::string key = "config/" + request.path.substr(std::string("/admin/config/").size());
      if (accepts_pushes) {
        versions_[key] =
            std::max<std::uint64_t>(versions_[key], std::stoull(QueryParameter(request.query, "version")));
      }
      respond({.status = accepts_pushes ? 200 : 503});
    });
  }

  [[nodiscard]] std::string address() const { return server_.address(); }
  [[nodiscard]] const std::string& host() const { return host_; }

  bool accepts_pushes = true;
  std::string members_json;  // members of the view in GET /status

 private:
  [[nodiscard]] std::string Status() const {
    std::string versions;
    for (const auto& [key, version] : versions_) {
      versions += (versions.empty() ? "\"" : ",\"") + key + "\":" + std::to_string(version);
    }
    return "{\"host\":\"" + host_ + "\",\"epoch\":4,\"lease\":true,\"versions\":{" + versions +
           "},\"members\":" + members_json + ",\"outages\":{\"failure_domains\":[\"b\"],\"hosts\":[]}}";
  }

  std::string host_;
  std::map<std::string, std::uint64_t> versions_;
  HttpServer server_;
};

}  // namespace

TEST_GROUP(OperatorCommands) {
  SystemClock clock;
  EventLoop loop{clock};
  StandinPlatform platform{loop, {}};
  std::vector<std::unique_ptr<StandinDaemon>> daemons;
  std::string temp_path = "/tmp/pimentomoor-test-" + std::to_string(getpid());

  void setup() override {
    std::string members_json;
    for (const char* host : {"h1", "h2", "h3"}) {
      daemons.push_back(std::make_unique<StandinDaemon>(loop, host));
      members_json += std::string(members_json.empty() ? "[" : ",") + "{\"host\":\"" + host +
                      "\",\"http_address\":\"" + daemons.back()->address() + "\"}";
    }
    for (const auto& daemon : daemons) {
      daemon->members_json = members_json + "]";
    }
  }

  void teardown() override {
    unlink(temp_path.c_str());
    unlink((temp_path + ".out").c_str());
  }

  pid_t Start(const std::vector<std::string>& args, const std::string& output) { return StartCommand(args, output); }
  /// Runs the loop, which serves the stand-ins, until the process has ended.
  CommandResult Wait(pid_t pid, const std::string& output) { return WaitForCommand(loop, pid, output); }
  CommandResult Run(const std::vector<std::string>& args) {
    return Wait(Start(args, temp_path + ".out"), temp_path + ".out");
  }

  /// Adds the options of a change to `args`: platform, first daemon, operator name and timeout.
  std::vector<std::string> ChangeArgs(std::vector<std::string> args, const std::string& name = "ana",
                                      const std::string& timeout_ms = "8000") const {
    for (const std::string& arg : {std::string("--deployment"), std::string("d"), std::string("--platform"),
                                   platform.address(), std::string("--daemon"), daemons[0]->address(),
                                   std::string("--operator"), name, std::string("--timeout-ms"), timeout_ms}) {
      args.push_back(arg);
    }
    return args;
  }

  void WriteFile(const std::string& text) const { std::ofstream(temp_path) << text; }
};

// Guards against a version that is reported as accepted or in force before it is.
TEST(OperatorCommands, OutageAddReportsProgressUntilInForceEverywhere) {
  const CommandResult run = Run(ChangeArgs({"outage", "add", "--failure-domain", "a", "--host", "127.0.0.1:9"}));
  LONGS_EQUAL(0, run.exit_code);
  const auto written = run.output.find("config/outages version 1: written, not yet accepted\n");
  const auto accepted = run.output.find("config/outages version 1: accepted\n");
  const auto everywhere = run.output.find("config/outages version 1: in force on 3 of 3\n");
  CHECK(written < accepted && accepted < everywhere && everywhere != std::string::npos);
  CHECK(IsInOutage(ParseOutages(platform.Read("d/config/outages").second, "o"), "", "a"));

  LONGS_EQUAL(0, Run(ChangeArgs({"outage", "remove", "--failure-domain", "a"})).exit_code);
  const CommandResult list = Run({"outage", "list", "--deployment", "d", "--platform", platform.address()});
  STRCMP_EQUAL("config/outages version 2, written by ana\nhost 127.0.0.1:9\n", list.output.c_str());
}

// Guards against exit code 0 or the report "accepted" while a majority of the daemons lacks the version.
TEST(OperatorCommands, TimeoutWithoutAMajorityIsAFailure) {
  daemons[1]->accepts_pushes = daemons[2]->accepts_pushes = false;
  WriteFile("plans: [{customer: hermanos, plan: gold}]\n");
  const CommandResult run = Run(ChangeArgs({"plans", "set", temp_path}, "ana", "2500"));
  LONGS_EQUAL(1, run.exit_code);
  CHECK(run.output.find("written and not accepted: in force on 1 of 3 after 2500 ms") != std::string::npos);
  CHECK(run.output.find("not in force on h2") != std::string::npos);
  CHECK(run.output.find("version 1: accepted") == std::string::npos);

  daemons[1]->accepts_pushes = true;
  const CommandResult again = Run(ChangeArgs({"plans", "set", temp_path}, "ana", "2500"));
  LONGS_EQUAL(0, again.exit_code);
  CHECK(again.output.find("accepted, but in force on 2 of 3") != std::string::npos);
  LONGS_EQUAL(1, platform.Read("d/config/plans").first);
}

// Guards against a change that fails or is written twice when the platform's answer is lost, and against two
// operators who overwrite each other's changes.
TEST(OperatorCommands, LostAnswerAndConcurrentOperators) {
  platform.SetFaults({.lose_answers = 1});
  LONGS_EQUAL(0, Run(ChangeArgs({"outage", "add", "--host", "h9"})).exit_code);
  LONGS_EQUAL(1, platform.calls().put);

  platform.SetFaults({.delay = milliseconds(300)});  // so that both commands have read before either writes
  const pid_t first = Start(ChangeArgs({"outage", "add", "--host", "h7"}, "ana"), temp_path + ".1");
  const pid_t second = Start(ChangeArgs({"outage", "add", "--host", "h8"}, "ben"), temp_path + ".2");
  const CommandResult runs[] = {Wait(first, temp_path + ".1"), Wait(second, temp_path + ".2")};
  LONGS_EQUAL(1, runs[0].exit_code + runs[1].exit_code);
  const bool ana_won = runs[0].exit_code == 0;
  const std::string conflict =
      std::string("conflict: ") + (ana_won ? "ana" : "ben") + " wrote config/outages first, at version 2\n";
  CHECK(runs[ana_won ? 1 : 0].output.find(conflict) != std::string::npos);
  LONGS_EQUAL(2, ParseOutages(platform.Read("d/config/outages").second, "o").hosts.size());
}

// Guards against wrong usage or an invalid file that leads to calls of the platform, and against wrong exit codes.
TEST(OperatorCommands, WrongInputIsRefusedBeforeAnyCall) {
  WriteFile("plans: [{customer: x}]\n");
  const CommandResult wrong = Run(ChangeArgs({"plans", "set", temp_path}));
  LONGS_EQUAL(2, wrong.exit_code);
  CHECK(wrong.output.find(temp_path + ":1: key 'plans[0].plan': missing") != std::string::npos);
  LONGS_EQUAL(2, Run({"check", "--kind", "plans", temp_path}).exit_code);
  LONGS_EQUAL(2, Run(ChangeArgs({"outage", "add"})).exit_code);
  LONGS_EQUAL(2, Run(ChangeArgs({"outage", "add", "--host", "a b"})).exit_code);
  LONGS_EQUAL(2, Run({"outage", "add", "--host", "h1", "--deployment", "d", "--platform", platform.address(),
                      "--operator", "x"})
                     .exit_code);
  LONGS_EQUAL(0, platform.calls().get + platform.calls().put);
  WriteFile("plans: [{customer: x, plan: y}]\n");
  LONGS_EQUAL(0, Run({"check", "--kind", "plans", temp_path}).exit_code);
}

// Guards against wrong options or settings of `serve` that end with the exit code of a failure instead of wrong
// usage.
TEST(OperatorCommands, ServeRefusesWrongOptionsAndSettingsAsWrongUsage) {
  LONGS_EQUAL(2, Run({"serve"}).exit_code);
  LONGS_EQUAL(2, Run({"serve", "--setting", temp_path}).exit_code);
  const CommandResult missing = Run({"serve", "--settings", temp_path});
  LONGS_EQUAL(2, missing.exit_code);
  CHECK(missing.output.find("cannot open '" + temp_path + "'") != std::string::npos);
  WriteFile("deployment: d\n");
  LONGS_EQUAL(2, Run({"serve", "--settings", temp_path}).exit_code);
  LONGS_EQUAL(0, Run({"serve", "--help"}).exit_code);
}

// Guards against a status table without the daemons that did not answer.
TEST(OperatorCommands, StatusShowsEachDaemon) {
  const CommandResult run = Run({"status", "--daemon", daemons[0]->address(), "--daemon", "127.0.0.1:1"});
  LONGS_EQUAL(1, run.exit_code);
  CHECK(run.output.find("  h1    4      true   -         b        no\n") != std::string::npos);
  CHECK(run.output.find("127.0.0.1:1: GET") != std::string::npos);
}

// Guards against a version that counts as accepted although a majority of the newest view's members lacks it.
TEST(OperatorCommands, AcceptanceCountsTheNewestView) {
  CHECK(CheckProperty(1'000, "acceptance", [] {
    const int member_count = *rc::gen::inRange(1, 8);
    const auto versions = *rc::gen::container<std::vector<std::uint64_t>>(8, rc::gen::inRange<std::uint64_t>(0, 4));
    std::vector<StatusMember> view;
    std::size_t expected_in_force = 0;
    for (int i = 0; i < member_count; ++i) {
      view.push_back({.host = std::to_string(i)});
      expected_in_force += versions[i] >= 2 ? 1 : 0;
    }
    std::vector<DaemonStatus> statuses = {{.host = "old", .epoch = 1, .members = {{.host = "old"}}}};
    for (int i = 0; i < 8; ++i) {  // includes daemons outside the view, which do not count
      statuses.push_back({.host = std::to_string(i), .epoch = 2, .versions = {{"k", versions[i]}}, .members = view});
    }
    const Acceptance acceptance = EvaluateAcceptance(statuses, "k", 2);
    RC_ASSERT(acceptance.in_force_count == expected_in_force);
    RC_ASSERT(acceptance.accepted() == (2 * expected_in_force > static_cast<std::size_t>(member_count)));
    RC_ASSERT(acceptance.in_force_everywhere() == (expected_in_force == static_cast<std::size_t>(member_count)));
  }));
  CHECK_FALSE(EvaluateAcceptance({}, "k", 1).accepted());
}

// Guards against a version that counts as accepted while a cell lacks it that only a daemon of another cell reports,
// and against epochs that are compared across cells.
TEST(OperatorCommands, AcceptanceNeedsEachCell) {
  const StatusMember a{.host = "a"};
  const StatusMember b{.host = "b"};
  DaemonStatus main{.host = "a", .epoch = 9, .versions = {{"k", 2}}, .members = {a}};
  main.other_cells = {{.cell = "south", .epoch = 3, .members = {b}}};
  CHECK_FALSE(EvaluateAcceptance({main}, "k", 2).accepted());
  DaemonStatus south{.host = "b", .epoch = 3, .versions = {{"k", 1}}, .members = {b}, .cell = "south"};
  CHECK_FALSE(EvaluateAcceptance({main, south}, "k", 2).accepted());
  south.versions["k"] = 2;
  CHECK_TRUE(EvaluateAcceptance({main, south}, "k", 2).in_force_everywhere());
  LONGS_EQUAL(2, EvaluateAcceptance({main, south}, "k", 2).cells.size());
  main.other_cells[0] = {.cell = "south", .epoch = 4};  // all members of the cell have left
  CHECK_TRUE(EvaluateAcceptance({main, south}, "k", 2).accepted());
}

}  // namespace pimentomoor
