// The cases under review/. Each starts the stand-ins, disturbs the daemons that run.sh has started, and checks the
// rule by what clients, searchers and the store have seen.
//
//   standin ports                                  prints the first of a range of free ports
//   standin CASE TROUBLE PORT RECORD PID PID PID   runs a case; PIDs are those of the three daemons
//
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <csignal>
#include <random>

#include "standin.h"

namespace review {
namespace {

constexpr int kFrontOffset = 100;
constexpr int kReadyOffset = 101;
constexpr int kDrainMs = 3000;  // bound drain-ms of the users' site files

std::string DaemonIp(int daemon) { return "127.0.0." + std::to_string(daemon + 1); }

struct Arguments {
  bool trouble = true;
  int port = 0;
  std::vector<pid_t> daemons;
};

struct Route {
  std::string service;
  std::string type = "unsafe";
  int timeout_ms = 5'000;
  unsigned max_connections = 30;
};

std::string FormatManifest(unsigned version, const std::vector<Route>& routes) {
  std::string route_list;
  std::string service_list;
  for (const auto& route : routes) {
    const std::string comma = route_list.empty() ? "" : ",";
    route_list += comma + R"({"name":"r-)" + route.service + R"(","host":"ledger.example","prefix":"/)" +
                  route.service + R"(/","type":")" + route.type + R"(","timeout-ms":)" +
                  std::to_string(route.timeout_ms) + R"(,"slo-ms":800,"priority":2,"backend":")" + route.service +
                  R"(","attempts":2})";
    service_list += comma + R"({"name":")" + route.service + R"(","health-path":"/health","max-conns":)" +
                    std::to_string(route.max_connections) +
                    R"(,"protocol":"h1","tls":false,"warmup-s":3.0,"cold-per-s":0.0})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route_list + R"(],"services":[)" +
         service_list +
         R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,)"
         R"("idle-timeout-ms":15000}})";
}

bool IsReady(int daemon, int port) {
  const auto connection = Connection::Open(DaemonIp(daemon), port + kReadyOffset);
  Message answer;
  return connection != nullptr && connection->Write("GET /api/ready HTTP/1.1\r\nHost: platform\r\n\r\n") &&
         connection->Read(answer, 1000) && answer.Status() == 200;
}

/// Waits until all daemons are ready and then for `settle_ms`, in which nothing is disturbed.
void WaitForDaemons(Record& record, const Arguments& arguments, double settle_ms) {
  for (int daemon = 0; daemon < static_cast<int>(arguments.daemons.size()); ++daemon) {
    while (!IsReady(daemon, arguments.port)) {
      if (record.Ms() > 20'000) {
        record.Line("daemon %d is not ready", daemon + 1);
        std::exit(2);
      }
      SleepMs(50);
    }
  }
  record.Line("all daemons are ready");
  SleepMs(settle_ms);
}

CallResult CallDaemon(Record& record, const Arguments& arguments, int daemon, const std::string& request_id,
                      const CallOptions& options) {
  return Call(record, DaemonIp(daemon), arguments.port + kFrontOffset, request_id, options);
}

/// Prints the result and ends the process, because threads of the stand-ins still use their objects.
[[noreturn]] void Finish(Record& record, bool broken, const std::string& text) {
  record.Line("%s: %s", broken ? "BROKEN" : "HELD", text.c_str());
  std::printf("%s: %s\n", broken ? "broken" : "held", text.c_str());
  std::fflush(nullptr);
  std::_Exit(broken ? 1 : 0);
}

/// A searcher that is full rejects requests, and sends some of its answers a second time.
void RunExtraAnswers(Record& record, const Arguments& arguments) {
  constexpr int kClients = 9;
  constexpr double kThinkMs = 40;      // mean pause of a client between two requests
  constexpr unsigned kEvery = 25;      // one answer in 25: a share of 0.04
  constexpr double kLateMs = 8;        // the second answer comes so much later
  constexpr double kWindowMs = 5'000;  // length of the disruption
  constexpr int kWindows = 4;
  Store store("127.0.0.1", arguments.port);
  store.Put("config", "main", FormatManifest(7, {{.service = "orders"}, {.service = "fetch", .type = "safe"}}));
  std::vector<std::unique_ptr<Searcher>> searchers;
  const auto add = [&](const std::string& id, const std::string& service, const std::string& zone) {
    searchers.push_back(
        std::make_unique<Searcher>(store, record,
                                   SearcherOptions{.id = id,
                                                   .service = service,
                                                   .zone = zone,
                                                   .port = arguments.port + 1 + static_cast<int>(searchers.size()),
                                                   .slots = 2,
                                                   .queue = 2,
                                                   .work_ms = 15,
                                                   .link_ms = 1.4}));
  };
  add("i-orders-1", "orders", "zone-a");
  add("i-fetch-1", "fetch", "zone-a");
  add("i-fetch-2", "fetch", "zone-b");
  WaitForDaemons(record, arguments, 11'000);
  std::atomic<bool> stop = false;
  std::mutex mutex;
  std::set<std::string> refused;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      std::mt19937 random(static_cast<unsigned>(client));
      std::exponential_distribution<double> think(1.0 / kThinkMs);
      for (int i = 0; !stop; ++i) {
        const std::string id = "c" + std::to_string(client) + "-" + std::to_string(i);
        const auto result = CallDaemon(record, arguments, client % 3, id, {.path = "/orders/hire"});
        if (result.status == 503 || result.status == 429) {
          const std::lock_guard lock(mutex);
          refused.insert(id);
        }
        SleepMs(result.status == 200 ? think(random) : 60);
      }
    });
  }
  for (int window = 0; window < kWindows; ++window) {
    if (arguments.trouble) {
      record.Line("i-orders-1 begins to send answers twice");
      searchers[0]->SetExtraAnswers(kEvery, kLateMs);
    }
    SleepMs(kWindowMs);
    searchers[0]->SetExtraAnswers(0, 0);
    record.Line("i-orders-1 sends each answer once");
    SleepMs(2'000);
  }
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  SleepMs(500);
  unsigned requests = 0;
  unsigned twice = 0;
  unsigned refused_and_run = 0;
  for (const auto& [id, runs] : searchers[0]->Runs()) {
    ++requests;
    if (runs > 1) {
      ++twice;
      record.Line("TWICE: %s ran %u times", id.c_str(), runs);
    }
    if (refused.contains(id)) {
      ++refused_and_run;
      record.Line("REFUSED: %s was answered 503 or 429 and ran", id.c_str());
    }
  }
  Finish(record, twice + refused_and_run > 0,
         std::to_string(twice) + " unsafe requests ran more than once and " + std::to_string(refused_and_run) +
             " were refused and ran, of " + std::to_string(requests) + " that ran");
}

/// Another writer leaves an entry that can't be read among the searchers; then a searcher drains and leaves.
void RunUnreadableEntry(Record& record, const Arguments& arguments) {
  constexpr double kThinkMs = 60;  // mean pause of a client between two requests
  Store store("127.0.0.1", arguments.port);
  store.Put("config", "main", FormatManifest(7, {{.service = "orders"}}));
  std::vector<std::unique_ptr<Searcher>> searchers;
  for (int i = 0; i < 2; ++i) {
    searchers.push_back(std::make_unique<Searcher>(store, record,
                                                   SearcherOptions{.id = "i-orders-" + std::to_string(i + 1),
                                                                   .service = "orders",
                                                                   .zone = i == 0 ? "zone-a" : "zone-b",
                                                                   .port = arguments.port + 1 + i,
                                                                   .slots = 4,
                                                                   .queue = 8,
                                                                   .work_ms = 150}));
  }
  WaitForDaemons(record, arguments, 6'000);
  std::atomic<bool> stop = false;
  std::atomic<unsigned> lost = 0;
  std::vector<std::thread> clients;
  for (int client = 0; client < 6; ++client) {
    clients.emplace_back([&, client] {
      std::mt19937 random(static_cast<unsigned>(client));
      std::exponential_distribution<double> think(1.0 / kThinkMs);
      for (int i = 0; !stop; ++i) {
        const std::string id = "c" + std::to_string(client) + "-" + std::to_string(i);
        const auto result = CallDaemon(record, arguments, client % 3, id, {.path = "/orders/hire"});
        lost += result.status != 200 && result.status != 503 ? 1 : 0;
        SleepMs(think(random));
      }
    });
  }
  SleepMs(2'000);
  if (arguments.trouble) {
    // A text that was cut inside a character beyond the basic plane: valid JSON grammar, but no readable text.
    store.Put("servers", "i-other-writer", R"({"version":"v2 \ud83d","state":"unknown"})");
    record.Line("store acknowledges: another writer's entry servers/i-other-writer");
  }
  SleepMs(1'000);
  searchers[0]->Drain();
  SleepMs(kDrainMs + 4'000);
  searchers[0]->End();
  SleepMs(1'000);
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  const auto late = searchers[0]->ArrivedAfterDrain(kDrainMs);
  Finish(record, !late.empty(),
         std::to_string(late.size()) + " requests reached i-orders-1 later than " + std::to_string(kDrainMs) +
             " ms after the acknowledgement of its drain; " + std::to_string(lost) +
             " unsafe requests ended with neither success nor refusal");
}

/// A searcher with a backlog at a daemon drains and leaves.
void RunDrainWithBacklog(Record& record, const Arguments& arguments) {
  constexpr int kRequests = 28;
  Store store("127.0.0.1", arguments.port);
  store.Put("config", "main", FormatManifest(7, {{.service = "orders", .timeout_ms = 10'000}}));
  std::vector<std::unique_ptr<Searcher>> searchers;
  for (int i = 0; i < 2; ++i) {
    searchers.push_back(std::make_unique<Searcher>(store, record,
                                                   SearcherOptions{.id = "i-orders-" + std::to_string(i + 1),
                                                                   .service = "orders",
                                                                   .zone = i == 0 ? "zone-a" : "zone-b",
                                                                   .port = arguments.port + 1 + i,
                                                                   .slots = 2,
                                                                   .queue = 4,
                                                                   .work_ms = 1'000}));
  }
  WaitForDaemons(record, arguments, 6'000);
  std::atomic<unsigned> lost = 0;
  std::vector<std::thread> clients;
  for (int client = 0; client < kRequests; ++client) {
    clients.emplace_back([&, client] {
      const auto result = CallDaemon(record, arguments, 0, "c" + std::to_string(client),
                                     {.path = "/orders/hire", .deadline_ms = 10'000});
      lost += result.status != 200 && result.status != 503 ? 1 : 0;
    });
    SleepMs(5);
  }
  SleepMs(100);
  if (arguments.trouble) {
    searchers[0]->Drain();
    SleepMs(kDrainMs + 1'100);
    searchers[0]->End();
  }
  for (auto& client : clients) {
    client.join();
  }
  const auto late = searchers[0]->ArrivedAfterDrain(kDrainMs);
  Finish(record, !late.empty(),
         std::to_string(late.size()) + " requests reached i-orders-1 later than " + std::to_string(kDrainMs) +
             " ms after the acknowledgement of its drain; " + std::to_string(lost) + " of " +
             std::to_string(kRequests) + " unsafe requests ended with neither success nor refusal");
}

/// A daemon gets SIGTERM while clients on slow links read their answers.
void RunStopWhileAnswersAreRead(Record& record, const Arguments& arguments) {
  constexpr std::size_t kBodyBytes = 4'000'000;
  constexpr double kBytesPerS = 850'000;
  Store store("127.0.0.1", arguments.port);
  store.Put("config", "main", FormatManifest(7, {{.service = "orders", .timeout_ms = 10'000}}));
  Searcher searcher(store, record,
                    {.id = "i-orders-1",
                     .service = "orders",
                     .zone = "zone-a",
                     .port = arguments.port + 1,
                     .slots = 4,
                     .queue = 4,
                     .work_ms = 50,
                     .body_bytes = kBodyBytes});
  WaitForDaemons(record, arguments, 6'000);
  std::atomic<unsigned> cut = 0;
  std::vector<std::thread> clients;
  for (int client = 0; client < 3; ++client) {
    clients.emplace_back([&, client] {
      const auto result = CallDaemon(record, arguments, 0, "c" + std::to_string(client),
                                     {.path = "/orders/hire",
                                      .deadline_ms = 10'000,
                                      .read_bytes_per_s = kBytesPerS,
                                      .segment_bytes = 1'460,
                                      .receive_bytes = 32'768});
      cut += result.status == 200 && result.complete ? 0 : 1;
    });
  }
  SleepMs(400);
  if (arguments.trouble) {
    kill(arguments.daemons[0], SIGTERM);
    record.Line("SIGTERM to daemon 1");
  }
  for (auto& client : clients) {
    client.join();
  }
  Finish(record, cut > 0, std::to_string(cut) + " of 3 answers to requests that ran were cut off");
}

/// A request crashes each searcher that begins to run it, and comes again.
void RunCrashingRequest(Record& record, const Arguments& arguments) {
  constexpr int kSearchers = 4;
  constexpr int kClients = 9;
  constexpr double kThinkMs = 400;        // mean pause of a client between two requests
  constexpr double kBackMs = 3'000;       // a crashed searcher is back after this time, with another id
  constexpr double kPauseMs = 250;        // pause of the client whose request crashes searchers
  constexpr double kLengthMs = 75'000;    // time for which that request comes again
  constexpr double kStabilityMs = 4'000;  // bound stability-ms of the users' site files
  Store store("127.0.0.1", arguments.port);
  store.Put("config", "main", FormatManifest(7, {{.service = "orders"}}));
  std::vector<std::unique_ptr<Searcher>> searchers(kSearchers);
  std::vector<std::unique_ptr<Searcher>> crashed;
  int starts = 0;
  const auto start = [&](int place) {
    searchers[static_cast<std::size_t>(place)] =
        std::make_unique<Searcher>(store, record,
                                   SearcherOptions{.id = "i-orders-" + std::to_string(++starts),
                                                   .service = "orders",
                                                   .zone = place % 2 == 0 ? "zone-a" : "zone-b",
                                                   .port = arguments.port + 1 + place,
                                                   .slots = 4,
                                                   .queue = 8,
                                                   .work_ms = 60,
                                                   .crash_path = "/orders/crash"});
  };
  for (int place = 0; place < kSearchers; ++place) {
    start(place);
  }
  WaitForDaemons(record, arguments, 5'000);
  std::atomic<bool> stop = false;
  std::atomic<double> third_crash_ms = 0;
  std::atomic<unsigned> lost = 0;  // unsafe requests of others, from kStabilityMs after the third crash on
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      std::mt19937 random(static_cast<unsigned>(client));
      std::exponential_distribution<double> think(1.0 / kThinkMs);
      for (int i = 0; !stop; ++i) {
        const std::string id = "c" + std::to_string(client) + "-" + std::to_string(i);
        const auto result = CallDaemon(record, arguments, client % 3, id, {.path = "/orders/hire"});
        const bool late = third_crash_ms > 0 && record.Ms() > third_crash_ms + kStabilityMs;
        lost += late && result.status != 200 && result.status != 503 ? 1 : 0;
        SleepMs(think(random));
      }
    });
  }
  clients.emplace_back([&] {
    for (int i = 0; !stop && arguments.trouble; ++i) {
      CallDaemon(record, arguments, i % 3, "x-" + std::to_string(i), {.path = "/orders/crash"});
      SleepMs(kPauseMs);
    }
  });
  const double begin = record.Ms();
  std::vector<double> crashed_at(kSearchers, 0);
  unsigned crashes = 0;
  unsigned late_crashes = 0;
  while (record.Ms() < begin + kLengthMs) {
    for (int place = 0; place < kSearchers; ++place) {
      auto& searcher = searchers[static_cast<std::size_t>(place)];
      auto& at = crashed_at[static_cast<std::size_t>(place)];
      const double now = record.Ms();
      if (searcher->ended() && at == 0) {
        at = now;
        if (++crashes == 3) {
          third_crash_ms = now;
          record.Line("the request has crashed the third searcher");
        } else if (crashes > 3 && now > third_crash_ms + kStabilityMs) {
          record.Line("BUDGET: crash %u after the bound", ++late_crashes);
        }
      } else if (at != 0 && now >= at + kBackMs) {
        store.Delete("servers", searcher->id());
        crashed.push_back(std::move(searcher));
        at = 0;
        start(place);
      }
    }
    SleepMs(5);
  }
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  Finish(record, late_crashes > 3,
         std::to_string(late_crashes) + " retries of the request crashed a searcher later than " +
             std::to_string(static_cast<int>(kStabilityMs)) + " ms after the third crash; " + std::to_string(lost) +
             " unsafe requests of others ended with neither success nor refusal after that time");
}

int PrintFreePort() {
  constexpr int kTries = 200;
  std::srand(static_cast<unsigned>(UnixMs() ^ static_cast<std::uint64_t>(getpid())));
  for (int i = 0; i < kTries; ++i) {
    const int base = 20'000 + std::rand() % 10'000;
    bool free = true;
    for (int offset = 0; offset < 120 && free; ++offset) {
      for (int daemon = 0; daemon < 3 && free; ++daemon) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(base + offset));
        inet_pton(AF_INET, DaemonIp(daemon).c_str(), &address.sin_addr);
        free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        close(fd);
      }
    }
    if (free) {
      std::printf("%d\n", base);
      return 0;
    }
  }
  return 2;
}

int Run(int argc, char** argv) {
  const std::map<std::string, void (*)(Record&, const Arguments&)> cases = {
      {"extra-answers", RunExtraAnswers},          {"unreadable-entry", RunUnreadableEntry},
      {"drain-with-backlog", RunDrainWithBacklog}, {"stop-while-answers-are-read", RunStopWhileAnswersAreRead},
      {"crashing-request", RunCrashingRequest},
  };
  if (argc == 2 && std::string(argv[1]) == "ports") {
    return PrintFreePort();
  }
  if (argc != 8 || !cases.contains(argv[1])) {
    std::fprintf(stderr, "usage: standin ports | CASE TROUBLE PORT RECORD PID PID PID\n");
    return 2;
  }
  Arguments arguments{.trouble = std::string(argv[2]) != "0", .port = std::atoi(argv[3]), .daemons = {}};
  for (int i = 5; i < argc; ++i) {
    arguments.daemons.push_back(std::atoi(argv[i]));
  }
  Record record(argv[4]);
  cases.at(argv[1])(record, arguments);
  return 2;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Run(argc, argv); }
