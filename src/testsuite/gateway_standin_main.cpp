// Program pimentomoor_gateway_standin: `serve` runs stand-ins for the platform's store and searchers on loopback,
// `load` sends requests to gateway daemons and checks the answers, `crowd` is callers that keep to no rule.
//
// Admin calls of `serve`:
//   /store?mode=ok|unavailable|silent|drop-history|era|restore&count=N&ms=N
//                                           era: answers state the era N; restore: back to the copy of N ms ago
//   /rewrite                                all searchers write their entries again
//   /table?version=N&keys=CUSTOMER:KEY,...  publishes the routing table with this version, and customers if named
//   /counters?prefix=PREFIX&zone=ZONE       counters of request ids with the prefix and of searchers in the zone
//   /outage?zone=ZONE&out=0|1&cold-ms=N     ends or starts an outage; after it, searchers are cold for cold-ms
//   /searcher?name=PREFIX&fault=none|pause|fail|reset|lose|extra|gone|drain|slow|endless&count=N&every=N&ms=N
//                                           sets a fault of the searchers whose id has the prefix
#include <tclap/CmdLine.h>

#include "caller_crowd.h"
#include "gateway_load.h"
#include "pimentomoor/platform_codec.h"
#include "program_main.h"

namespace pimentomoor {
namespace {

std::string Address(unsigned port) { return "127.0.0.1:" + std::to_string(port); }

class GatewayStandin {
 public:
  GatewayStandin(EventLoop& loop, const FieldNames& names, unsigned port)
      : store_(loop, metrics_, names, Address(port)),
        admin_server_(loop, metrics_, names, {.address = Address(port + 1)},
                      [this](const auto& call) { Handle(*call); }) {
    for (const std::string service :
         {"fetch", "order", "pages-0", "pages-1", "pages-2", "pages-3", "pages-4", "pages-5", "pages-6", "pages-7"}) {
      for (const std::string replica : {"a", "b"}) {
        const auto offset = static_cast<unsigned>(searchers_.size());
        searchers_.push_back(std::make_unique<GatewaySearcher>(loop, searcher_metrics_, store_, service, replica,
                                                               Address(port + 2 + offset)));
      }
    }
    PublishRoutingTable("1");
  }

 private:
  void Handle(CallerExchange& call) {
    const std::string path(call.request.path());
    const std::string query = call.request.target.substr(std::min(path.size() + 1, call.request.target.size()));
    const auto index_of = [&query](const char* key, const std::vector<std::string>& values) {
      return static_cast<std::size_t>(std::find(values.begin(), values.end(), QueryParameter(query, key)) -
                                      values.begin());
    };
    const auto number_of = [&query](const char* key) { return std::atoi(QueryParameter(query, key).c_str()); };
    const std::size_t mode = index_of("mode", {"ok", "unavailable", "silent", "drop-history", "era", "restore"});
    const std::size_t fault = index_of("fault", {"none", "pause", "fail", "reset", "lose", "extra", "gone", "drain",
                                                 "slow", "endless", "leave", "full"});
    OutgoingResponse response;
    if (path == "/store" && mode == 3) {
      store_.DropHistory();
    } else if (path == "/store" && mode < 3) {
      store_.SetMode(static_cast<GatewayStore::Mode>(mode));
    } else if (path == "/store" && mode == 4) {
      store_.SetEra(static_cast<unsigned>(number_of("count")));
    } else if (path == "/store" && mode == 5) {
      store_.Restore(std::chrono::milliseconds(number_of("ms")));
    } else if (path == "/rewrite") {
      for (const auto& searcher : searchers_) {
        searcher->WriteEntryAgain();
      }
    } else if (path == "/table") {
      PublishRoutingTable(QueryParameter(query, "version"), QueryParameter(query, "keys"));
    } else if (path == "/searcher" && fault <= static_cast<std::size_t>(SearcherFault::kFull)) {
      for (const auto& searcher : searchers_) {
        if (searcher->id().starts_with(QueryParameter(query, "name"))) {
          searcher->SetFault(static_cast<SearcherFault>(fault), static_cast<unsigned>(number_of("count")),
                             static_cast<unsigned>(number_of("every")), std::chrono::milliseconds(number_of("ms")));
        }
      }
    } else if (path == "/outage") {
      SetOutage(QueryParameter(query, "zone"), number_of("out") != 0,
                std::chrono::milliseconds(number_of("cold-ms")));
    } else if (path == "/counters") {
      response.body = CountersJson(QueryParameter(query, "prefix"), QueryParameter(query, "zone"));
    } else {
      response.status = 400;
    }
    call.Respond(response);
  }

  void PublishRoutingTable(const std::string& version, const std::string& keys = "") {
    store_.ChangeObject(std::string(platform_names::kRoutingKind), std::string(platform_names::kRoutingObjectName),
                        FormatRoutingTable(version, kColdRequestsPerS, keys));
  }

  void SetOutage(const std::string& zone, bool in_outage, Duration cold_duration) {
    store_.ChangeObject(std::string(platform_names::kOutageKind), zone, in_outage ? "{}" : "null", !in_outage);
    for (const auto& searcher : searchers_) {
      if (searcher->failure_domain() == zone) {
        searcher->SetOutage(in_outage, cold_duration);
      }
    }
  }

  std::string CountersJson(const std::string& prefix, const std::string& zone) const {
    std::map<std::string, unsigned> unsafe_runs;
    std::map<std::pair<std::string, std::string>, unsigned> arrivals;  // by service and request id
    unsigned faulty_answers = 0, repeated_unsafe = 0, extra_sends = 0;
    ArrivalCounts arrival_counts;
    for (const auto& searcher : searchers_) {
      if (!searcher->failure_domain().starts_with(zone)) {
        continue;
      }
      faulty_answers += searcher->faulty_answers();
      arrival_counts += searcher->checks().counts();
      for (const auto& [id, count] : searcher->runs()) {
        repeated_unsafe += id.starts_with(prefix) && searcher->id().starts_with(kGatewayUnsafeService) &&
                           (unsafe_runs[id] += count) > 1;
      }
      for (const auto& [id, count] : searcher->arrivals()) {
        unsigned& arrivals_of_request = arrivals[{searcher->service(), id}];
        extra_sends += id.starts_with(prefix) ? count - (arrivals_of_request == 0 ? 1 : 0) : 0;
        arrivals_of_request += count;
      }
    }
    return "{\"repeated_unsafe\":" + std::to_string(repeated_unsafe) +
           ",\"spoilt\":" + std::to_string(faulty_answers) + ",\"extra_sends\":" + std::to_string(extra_sends) +
           ",\"connections\":" + std::to_string(searcher_metrics_.counter("pimentomoor_caller_connections_total")) +
           "," + FormatCounts(arrival_counts) + "}\n";
  }

  Metrics metrics_;
  Metrics searcher_metrics_;
  GatewayStore store_;
  std::vector<std::unique_ptr<GatewaySearcher>> searchers_;
  CallerServer admin_server_;
};

std::string FetchCounters(EventLoop& loop, const FieldNames& names, const std::string& address,
                          const std::string& prefix) {
  PersistentHttpClient admin(loop, names, address);
  std::optional<ResponseMessage> counters;
  admin.Get("/counters?prefix=" + prefix, std::chrono::seconds(2), [&](auto answer) { counters = answer; });
  if (!loop.RunUntil([&counters] { return counters.has_value(); }, std::chrono::seconds(3))) {
    throw std::runtime_error("read the searchers' counters: no answer from " + address);
  }
  return counters->body;
}

int RunLoad(EventLoop& loop, const FieldNames& names, const std::string& admin_address,
            const GatewayLoadOptions& options) {
  const std::string before = FetchCounters(loop, names, admin_address, options.request_id_prefix);
  GatewayLoad load(loop, options);
  if (!loop.RunUntil([&load] { return load.done(); }, options.duration + std::chrono::seconds(20))) {
    throw std::runtime_error("run load: no directory answers, or requests stay unfinished");
  }
  const std::string after = FetchCounters(loop, names, admin_address, options.request_id_prefix);
  const auto document = ParseJson(after, "counters");
  const auto repeated_unsafe = RequireUint64(document, "repeated_unsafe");
  const auto connections =
      RequireUint64(document, "connections") - RequireUint64(ParseJson(before, "counters"), "connections");
  std::cout << "{" << load.ReportFields() << ",\"repeated_unsafe\":" << repeated_unsafe
            << ",\"extra_sends_per_request\":"
            << load.PerRequest(static_cast<double>(RequireUint64(document, "extra_sends")))
            << ",\"connections_per_request\":" << load.PerRequest(static_cast<double>(connections)) << "}\n";
  return load.has_wrong_answer() || repeated_unsafe > 0 ? 1 : 0;
}

int Run(int argc, char** argv) {
  using Names = TCLAP::MultiArg<std::string>;
  TCLAP::CmdLine line("Stand-in for the platform of gateway daemons on loopback, and load on the daemons.", ' ',
                      "0.1.0");
  TCLAP::UnlabeledValueArg<std::string> mode("mode", "What to run.", true, "", "serve|load|crowd", line);
  TCLAP::ValueArg<unsigned> port("", "port",
                                 "Port of the store; the admin server and the searchers use the ports after it.",
                                 false, 21'000, "PORT", line);
  TCLAP::ValueArg<unsigned> seconds("", "seconds", "Run time.", false, 600, "N", line);
  Names directories("", "directory", "Daemon to ask for addresses; repeatable.", false, "IP:port", line);
  Names routes("", "route", "Route to request: pages, fetch or order; repeatable. Default: all.", false, "NAME",
               line);
  TCLAP::ValueArg<double> rate("", "rate", "Requests per second.", false, 100, "N", line);
  TCLAP::ValueArg<unsigned> leave_ms(
      "", "leave-ms", "Time after which callers close the connection of an unanswered request; 0: never.", false, 0,
      "N", line);
  TCLAP::ValueArg<std::string> key("", "key", "Key that the requests carry.", false, "", "KEY", line);
  TCLAP::ValueArg<std::string> customer("", "customer", "Holder of the key, which searchers have to be told.", false,
                                        "", "NAME", line);
  TCLAP::ValueArg<std::string> target("", "target", "Listener that a crowd connects to.", false, "", "IP:port", line);
  TCLAP::ValueArg<std::string> kind("", "kind", "What a crowd sends; see caller_crowd.h.", false, "connect", "KIND",
                                    line);
  TCLAP::ValueArg<std::string> path("", "path", "Path of a crowd's requests.", false, "/fetch", "PATH", line);
  TCLAP::ValueArg<unsigned> connections("", "connections", "Connections of a crowd.", false, 100, "N", line);
  TCLAP::ValueArg<unsigned> addresses("", "addresses", "Addresses that a crowd comes from.", false, 1, "N", line);
  TCLAP::ValueArg<unsigned> bytes("", "bytes", "Bytes of a body, or of the requests sent ahead on a connection.",
                                  false, 0, "N", line);
  TCLAP::ValueArg<unsigned> close_ms("", "close-ms", "Time within which a crowd closes each connection; 0: never.",
                                     false, 0, "N", line);
  TCLAP::ValueArg<unsigned> seed("", "seed", "Seed of the choice of daemons; 0 draws one.", false, 0, "N", line);
  line.parse(argc, argv);
  const SystemClock clock;
  EventLoop loop(clock);
  const auto codec = MakePlatformCodec();
  if (mode.getValue() == "serve") {
    const GatewayStandin standin(loop, codec->field_names(), port.getValue());
    loop.OnTerminate([&loop] { loop.Stop(); });
    loop.CallAfter(std::chrono::seconds(seconds.getValue()), [&loop] { loop.Stop(); });
    loop.Run();
    return 0;
  }
  if (mode.getValue() == "crowd") {
    CallerCrowd crowd({.target = target.getValue(),
                       .kind = kind.getValue(),
                       .path = path.getValue(),
                       .connections = connections.getValue(),
                       .addresses = addresses.getValue(),
                       .bytes = bytes.getValue(),
                       .close_after = std::chrono::milliseconds(close_ms.getValue()),
                       .duration = std::chrono::seconds(seconds.getValue())});
    crowd.Run();
    std::cout << "{" << crowd.ReportFields() << "}\n";
    return 0;
  }
  if (mode.getValue() != "load" || directories.getValue().empty()) {
    throw std::invalid_argument("run load: give the mode load and at least one --directory");
  }
  const std::vector<std::string> all_routes{"pages", "fetch", "pages", "order"};
  return RunLoad(loop, codec->field_names(), Address(port.getValue() + 1),
                 {.directories = directories.getValue(),
                  .routes = routes.isSet() ? routes.getValue() : all_routes,
                  .request_id_prefix = "load-" + std::to_string(std::random_device()()),
                  .key = key.getValue(),
                  .customer = customer.getValue(),
                  .requests_per_s = rate.getValue(),
                  .seed = seed.getValue() == 0 ? std::random_device()() : seed.getValue(),
                  .duration = std::chrono::seconds(seconds.getValue()),
                  .leave_after = std::chrono::milliseconds(leave_ms.getValue())});
}

}  // namespace
}  // namespace pimentomoor

int main(int argc, char** argv) {
  return pimentomoor::RunProgram("pimentomoor_gateway_standin", [&] { return pimentomoor::Run(argc, argv); });
}
