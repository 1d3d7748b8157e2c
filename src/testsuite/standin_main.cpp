// Program pimentomoor_standin: runs stand-ins for the platform and the searchers of a deployment on loopback.
#include <tclap/CmdLine.h>

#include <cstdint>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>

#include "catalog_publisher.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"
#include "pimentomoor/log.h"
#include "program_main.h"
#include "standin_platform.h"
#include "standin_searcher.h"

namespace pimentomoor {
namespace {

// Ends a stand-in that nobody stopped.
constexpr int kDefaultSeconds = 3'600;

struct StandinOptions {
  std::string deployment_path;    // description of the deployment whose searchers run; empty runs none
  int platform_port = 0;          // 0 runs no platform
  int platform_control_port = 0;  // 0 takes a free port
  int admin_port = 0;             // admin port of the searchers; 0 takes a free port
  std::string publish_address;    // platform that gets the catalog objects; empty publishes none
  std::string catalog_folder;     // folder that gets the catalog objects; empty writes none
  std::uint64_t seed = 1;
  int seconds = kDefaultSeconds;
};

StandinOptions ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine line("Stand-ins for the searchers and the platform of a deployment, on 127.0.0.1.", ' ', "0.1.0");
  const TCLAP::ValueArg<std::string> searchers("", "searchers", "Deployment description to serve.", false, "", "FILE",
                                               line);
  const TCLAP::ValueArg<int> platform("", "platform", "Port of the platform stand-in.", false, 0, "PORT", line);
  const TCLAP::ValueArg<int> platform_control(
      "", "platform-control", "Port of the platform's control listener; 0 takes a free one.", false, 0, "PORT", line);
  const TCLAP::ValueArg<int> admin("", "admin", "Port of PUT /control and GET /counters; 0 takes a free one.", false,
                                   0, "PORT", line);
  const TCLAP::ValueArg<std::string> publish("", "publish", "Platform that gets the catalog objects.", false, "",
                                             "IP:port", line);
  const TCLAP::ValueArg<std::string> folder("", "catalog-folder", "Folder that gets the catalog objects as files.",
                                            false, "", "FOLDER", line);
  const TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of service times.", false, 1, "N", line);
  const TCLAP::ValueArg<int> seconds("", "seconds", "Time after which the program ends.", false, kDefaultSeconds, "N",
                                     line);
  line.parse(argc, argv);
  return {.deployment_path = searchers.getValue(),
          .platform_port = platform.getValue(),
          .platform_control_port = platform_control.getValue(),
          .admin_port = admin.getValue(),
          .publish_address = publish.getValue(),
          .catalog_folder = folder.getValue(),
          .seed = seed.getValue(),
          .seconds = seconds.getValue()};
}

using Platform = std::unique_ptr<StandinPlatform>;

Platform StartPlatform(EventLoop& loop, const StandinOptions& options) {
  if (options.platform_port == 0) {
    return nullptr;
  }
  auto platform = std::make_unique<StandinPlatform>(
      loop, StandinPlatformOptions{.data = {.port = static_cast<std::uint16_t>(options.platform_port)},
                                   .control = {.port = static_cast<std::uint16_t>(options.platform_control_port)}});
  LogInfo("platform_started", {{"address", platform->address()}, {"control", platform->control_address()}});
  return platform;
}

struct Searchers {
  std::unique_ptr<CatalogPublisher> publisher;
  std::unique_ptr<StandinSearchers> upstreams;
};

std::unique_ptr<Searchers> StartSearchers(EventLoop& loop, HttpClient& client, const StandinOptions& options) {
  if (options.deployment_path.empty()) {
    return nullptr;
  }
  auto searchers = std::make_unique<Searchers>();
  Deployment deployment = LoadDeployment(options.deployment_path);
  if (!options.publish_address.empty()) {
    searchers->publisher = std::make_unique<CatalogPublisher>(loop, client, options.publish_address, deployment.name);
  }
  const auto publish_catalog = [publisher = searchers->publisher.get(),
                                folder = options.catalog_folder](const ServiceSpec& service) {
    if (publisher != nullptr) {
      publisher->Publish(service);
    }
    if (!folder.empty()) {
      WriteCatalogFiles({.services = {service}}, folder);
    }
  };
  searchers->upstreams = std::make_unique<StandinSearchers>(
      loop, StandinSearchersOptions{.deployment = std::move(deployment),
                                    .seed = options.seed,
                                    .admin_port = static_cast<std::uint16_t>(options.admin_port),
                                    .on_catalog_changed = publish_catalog});
  for (const auto& service : searchers->upstreams->deployment().services) {
    publish_catalog(service);
  }
  LogInfo("searchers_started", {{"deployment", searchers->upstreams->deployment().name},
                                {"admin", searchers->upstreams->admin_address()}});
  return searchers;
}

int Run(const StandinOptions& options) {
  InitLogging("info");
  if (options.deployment_path.empty() && options.platform_port == 0) {
    std::cerr << "pimentomoor_standin: give --searchers or --platform\n";
    return 2;
  }
  const SystemClock clock;
  EventLoop loop(clock);
  HttpClient client(loop);
  const Platform platform = StartPlatform(loop, options);
  const auto searchers = StartSearchers(loop, client, options);
  loop.OnTerminate([&loop] { loop.Stop(); });
  loop.CallAfter(std::chrono::seconds(options.seconds), [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace pimentomoor

int main(int argc, char** argv) {
  return pimentomoor::RunProgram("pimentomoor_standin",
                                 [&] { return pimentomoor::Run(pimentomoor::ParseOptions(argc, argv)); });
}
