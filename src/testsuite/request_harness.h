// The request path of a gateway on loopback, with callers and scripted searchers, for tests of single requests.
#pragma once

#include <cstring>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "pimentomoor/caller_server.h"
#include "pimentomoor/platform_codec.h"
#include "pimentomoor/request_run.h"
#include "pimentomoor/upstream_subset.h"
#include "scripted_searcher.h"

namespace pimentomoor {

// With this short window, the retry budget allows retries from 500 ms after the start.
constexpr RetryBudgetSettings kShortWindowBudget{.window = std::chrono::milliseconds(20)};
constexpr Duration kRetryBudgetOpensAfter = std::chrono::milliseconds(530);

constexpr const char* kCallerRequestId = "0123456789abcdef";

// In a fleet of this daemon and these, three daemons send to each cold upstream.
const std::vector<std::string> kOtherDaemonNames{"o1", "o2", "o3", "o4", "o5", "o6", "o7", "o8"};
constexpr std::size_t kColdSenders = 3;

/// A caller that sends one request and stores the bytes that it receives.
struct Caller final : TcpStreamHandler {
  Caller(EventLoop& loop, const std::string& address, const std::string& request) : sent_at(loop.Now()) {
    stream = TcpStream::Connect(loop, address, *this);
    stream->Write(request);
  }
  Caller(EventLoop& loop, const std::string& address, const std::string& method, const std::string& request_id,
         const std::string& body = "")
      : Caller(loop, address,
               method + " /q HTTP/1.1\r\nHost: h\r\n" + platform_names::kRequestIdField + ": " + request_id +
                   "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body) {}
  void OnData(std::string_view bytes) override { received.append(bytes); }
  void OnEnd(StreamEnd end) override {
    connect_failed = end == StreamEnd::kConnectFailed;
    stream.reset();
  }
  void Leave() { stream.reset(); }
  [[nodiscard]] bool answered() const { return received.find("\r\n\r\n") != std::string::npos; }
  [[nodiscard]] int status() const { return answered() ? std::stoi(received.substr(std::strlen("HTTP/1.1 "))) : 0; }
  [[nodiscard]] bool Contains(const std::string& text) const { return received.find(text) != std::string::npos; }

  const TimePoint sent_at;
  std::unique_ptr<TcpStream> stream;
  std::string received;
  bool connect_failed = false;
};

/// The request path of a gateway, with a routing table of one route.
struct RequestHarness {
  RequestHarness() {
    upstreams.SetDaemons(1, "self", {});
    Sweep();
  }
  ~RequestHarness() { loop.Cancel(sweep_timer); }

  void Sweep() {  // as in Gateway::Tick()
    upstreams.Sweep();
    sweep_timer = loop.CallAfter(std::chrono::milliseconds(25), [this] { Sweep(); });
  }

  ScriptedSearcher& AddSearcher(const std::string& service, SearcherScript script, UpstreamEntry entry = {}) {
    auto& searcher = searchers.emplace_back(loop, std::move(script));
    entry.id = entry.id.empty() ? service + "-" + std::to_string(searchers.size()) : entry.id;
    entry.service = service;
    entry.address = searcher.address();
    entry.failure_domain = entry.failure_domain.empty() ? "a" : entry.failure_domain;
    entry.slots = 3;
    upstreams.Announce(entry);
    return searcher;
  }

  /// Replaces the routing table by one that holds `route` and its services.
  void SetRoute(RouteSpec route, unsigned max_connections = 30, double cold_requests_per_s = 0) {
    RoutingTableSpec spec{.version = 1};
    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    route.max_attempts = 2;
    route.top_records = 5;
    for (const auto& target : route.targets) {
      spec.services.push_back(
          {.name = target.service, .max_connections = max_connections, .cold_requests_per_s = cold_requests_per_s});
    }
    for (const auto& shard : route.shards) {
      spec.services.push_back(
          {.name = shard, .max_connections = max_connections, .cold_requests_per_s = cold_requests_per_s});
    }
    spec.routes.push_back(std::move(route));
    upstreams.ApplyServices(spec.services);
    table = std::make_shared<RoutingTable>(spec);
  }

  Caller& Call(const std::string& method = "GET", const std::string& request_id = kCallerRequestId,
               const std::string& body = "") {
    return callers.emplace_back(loop, server.address(), method, request_id, body);
  }
  /// Joins a fleet in which this daemon isn't one of those that send to the upstream while it is cold.
  void JoinFleetAsOther(const std::string& upstream_id) {
    std::string self = "self";
    while (DaemonPosition(upstream_id, self, kOtherDaemonNames) < kColdSenders) {
      self += "+";
    }
    upstreams.SetDaemons(kOtherDaemonNames.size() + 1, self, kOtherDaemonNames);
  }
  void Wait(Duration time) {
    loop.RunUntil([] { return false; }, time);
  }
  bool WaitForAnswer(Caller& caller, Duration limit = std::chrono::seconds(3)) {
    return loop.RunUntil([&] { return caller.answered(); }, limit);
  }
  [[nodiscard]] unsigned arrivals() const {
    unsigned sum = 0;
    for (const auto& searcher : searchers) {
      sum += searcher.arrivals();
    }
    return sum;
  }

  SystemClock clock;
  EventLoop loop{clock};
  Metrics metrics;
  std::unique_ptr<PlatformCodec> codec = MakePlatformCodec();
  BufferBudget buffer_budget{loop};
  BufferBudget caller_budget{loop};
  UpstreamSet upstreams{{.loop = loop,
                         .metrics = metrics,
                         .names = codec->field_names(),
                         .buffer_budget = buffer_budget,
                         .failure_domain = "a"},
                        kShortWindowBudget,
                        {}};
  CrashReports crashes{1};
  SharedRequestContext runs{
      .loop = loop, .metrics = metrics, .names = codec->field_names(), .upstreams = upstreams, .crashes = crashes};
  std::list<ScriptedSearcher> searchers;
  std::shared_ptr<RoutingTable> table;
  CallerServer server{loop,
                      metrics,
                      codec->field_names(),
                      {.address = "127.0.0.1:0"},
                      [this](const auto& exchange) {
                        std::make_shared<RequestRun>(runs, exchange, table, table->spec().routes.front())->Start();
                      },
                      &caller_budget};
  std::list<Caller> callers;
  TimerId sweep_timer = 0;
};

inline RouteSpec SingleRoute(bool idempotent) {
  RouteSpec route{.idempotent = idempotent, .timeout = std::chrono::seconds(2), .targets = {{.service = "s"}}};
  route.objective = std::chrono::milliseconds(300);
  return route;
}

inline RouteSpec GatherRoute(std::size_t shards, double min_shard_share, Duration objective, Duration timeout) {
  RouteSpec route{.idempotent = true, .timeout = timeout, .objective = objective, .min_shard_share = min_shard_share};
  for (std::size_t i = 0; i < shards; ++i) {
    route.shards.push_back("shard-" + std::to_string(i));
  }
  return route;
}

}  // namespace pimentomoor
