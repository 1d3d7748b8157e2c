// Gateway daemons on one event loop and their status pages, for tests of several daemons.
#pragma once

#include <algorithm>
#include <list>
#include <string>
#include <vector>

#include "pimentomoor/gateway.h"
#include "pimentomoor/http.h"
#include "test_address.h"

namespace pimentomoor {

struct GatewayFleet {
  /// Starts a daemon. Its name and those of its addresses that are empty are filled in.
  Gateway& Start(GatewaySettings daemon) {
    daemon.host = "gateway-" + std::to_string(settings.size());
    for (auto* address :
         {&daemon.caller_address, &daemon.ready_address, &daemon.directory_address, &daemon.peer_address}) {
      *address = address->empty() ? TakeTestAddress() : *address;
    }
    settings.push_back(std::move(daemon));
    Gateway& gateway = gateways.emplace_back(loop, settings.back(), codec);
    gateway.Start();
    return gateway;
  }

  /// The status of each daemon that answers.
  std::vector<std::string> ReadStatuses() {
    std::size_t answers = 0;
    std::vector<std::string> statuses;
    for (const auto& daemon : settings) {
      client.Call({.target = daemon.peer_address, .path = "/status", .timeout = std::chrono::seconds(1)},
                  [&](const HttpResult& result) {
                    ++answers;
                    if (result.status == 200) {
                      statuses.push_back(result.body);
                    }
                  });
    }
    loop.RunUntil([&] { return answers == settings.size(); }, std::chrono::seconds(2));
    return statuses;
  }

  /// Number of daemons whose status holds all the texts.
  std::size_t CountShowing(const std::vector<std::string>& texts) {
    const std::vector<std::string> statuses = ReadStatuses();
    return static_cast<std::size_t>(std::count_if(statuses.begin(), statuses.end(), [&](const std::string& status) {
      return std::all_of(texts.begin(), texts.end(),
                         [&](const std::string& text) { return status.find(text) != std::string::npos; });
    }));
  }
  bool AllShow(const std::vector<std::string>& texts) { return CountShowing(texts) == settings.size(); }
  bool AllShowWithin(Duration limit, const std::vector<std::string>& texts) {
    for (const TimePoint end = loop.Now() + limit; loop.Now() < end;) {
      if (AllShow(texts)) {
        return true;
      }
      Wait(std::chrono::milliseconds(20));
    }
    return false;
  }
  void Wait(Duration time) {
    loop.RunUntil([] { return false; }, time);
  }

  EventLoop& loop;
  const PlatformCodec& codec;
  std::list<GatewaySettings> settings = {};
  std::list<Gateway> gateways = {};
  HttpClient client{loop};
};

}  // namespace pimentomoor
