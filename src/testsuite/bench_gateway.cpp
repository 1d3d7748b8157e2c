// Measures what the gateway spends on each part of a query and on a forwarded request, and what the exchange of
// member lists costs a daemon. The searchers answer fixed records with the id of the request, so their share of the
// CPU time is two system calls for each part.
#include <algorithm>
#include <ctime>
#include <memory>

#include "bench_parts.h"
#include "fixed_response_searcher.h"
#include "member_simulation.h"
#include "pimentomoor/platform_codec.h"
#include "pimentomoor/request_run.h"

namespace pimentomoor {

namespace {

constexpr int kRuns = 5;
constexpr int kQueriesPerRun = 40;
constexpr int kForwardedPerRun = 2'000;  // differences of 1 us show only in many requests

std::string CustomerKey(std::size_t number) { return "2dm2buc7takhi7" + std::to_string(100'000 + number); }

std::vector<CustomerSpec> MakeCustomers(std::size_t count) {
  std::vector<CustomerSpec> customers;
  for (std::size_t i = 0; i < count; ++i) {
    customers.push_back(
        {.name = "customer-" + std::to_string(i), .keys = {DigestKey(CustomerKey(i))}, .priority = 1});
  }
  return customers;
}

// A gateway's request path over `parts` shards with one searcher each, or with `gather` unset over one of them.
class GatewayBench {
 public:
  explicit GatewayBench(std::size_t parts, bool gather, std::size_t customers = 0)
      : codec_(MakePlatformCodec()),
        upstreams_({.loop = loop_,
                    .metrics = metrics_,
                    .names = codec_->field_names(),
                    .buffer_budget = buffer_budget_,
                    .failure_domain = "a"},
                   {}, {}),
        crashes_(1),
        request_context_{.loop = loop_,
                         .metrics = metrics_,
                         .names = codec_->field_names(),
                         .upstreams = upstreams_,
                         .crashes = crashes_} {
    RouteSpec route{.name = "bench", .host = "bench", .prefix = "/", .idempotent = true};
    route.objective = std::chrono::seconds(20);  // longer than any measured query, so no hedge or early answer
    route.timeout = std::chrono::seconds(60);
    route.top_records = 10;
    RoutingTableSpec spec{.version = 1};
    for (std::size_t i = 0; i < parts; ++i) {
      const std::string service = "shard-" + std::to_string(i);
      searchers_.push_back(std::make_unique<FixedResponseSearcher>(loop_));
      spec.services.push_back({.name = service, .max_connections = 30});
      upstreams_.Announce({.id = "id-" + std::to_string(i),
                           .service = service,
                           .address = searchers_.back()->address(),
                           .failure_domain = "a",
                           .slots = 3});
      if (gather) {
        route.shards.push_back(service);
      } else {
        route.targets = {{.service = service}};
      }
    }
    spec.routes.push_back(route);
    spec.customers = MakeCustomers(customers);
    upstreams_.ApplyServices(spec.services);
    table_ = std::make_shared<RoutingTable>(std::move(spec));
    RunQuery();  // opens the connections
  }

  std::shared_ptr<CallerExchange> StartQuery() {
    RequestMessage message{.method = "GET", .target = "/q", .host = "bench", .request_id = "0123456789abcdef"};
    message.forward_fields = "Host: bench\r\n";
    if (table_->requires_keys()) {
      const std::string key = CustomerKey(next_customer_++ % table_->spec().customers.size());
      message.customer_fields.push_back({.value_offset = 9, .is_key = true, .line = {"Api-Key: ", key, "\r\n"}});
    }
    auto caller = std::make_shared<CallerExchange>(nullptr, std::move(message), loop_.Now(), false);
    const RouteSpec& route = table_->spec().routes.front();
    const AccessDecision access = DecideAccess(*table_, route, caller->request.FindKey());
    std::make_shared<RequestRun>(request_context_, caller, table_, route, access.owner)->Start();
    return caller;
  }

  void WaitForAnswer(const std::shared_ptr<CallerExchange>& caller) {
    const std::size_t expected = ++awaited_queries_;
    if (!loop_.RunUntil([&] { return CountAnsweredQueries() >= expected; }, std::chrono::seconds(10))) {
      throw std::runtime_error("measure gateway: query unanswered after 10 s");
    }
    caller->on_disconnect = nullptr;  // the callback keeps the request alive, and no connection clears it here
  }

  void RunQuery() { WaitForAnswer(StartQuery()); }

 private:
  [[nodiscard]] std::uint64_t CountAnsweredQueries() const {
    return metrics_.counter("pimentomoor_run_answers_total", "outcome=\"whole\"") +
           metrics_.counter("pimentomoor_run_answers_total", "outcome=\"forwarded\"");
  }

  SystemClock clock_;
  EventLoop loop_{clock_};
  Metrics metrics_;
  std::unique_ptr<PlatformCodec> codec_;
  std::vector<std::unique_ptr<FixedResponseSearcher>> searchers_;
  BufferBudget buffer_budget_{loop_};
  UpstreamSet upstreams_;
  CrashReports crashes_;
  SharedRequestContext request_context_;
  std::shared_ptr<const RoutingTable> table_;
  std::size_t awaited_queries_ = 0;
  std::size_t next_customer_ = 0;
};

// Reads the head of a request and decides on its key, which is that of another customer each time.
double CpuPerReadRequest(const RoutingTable& table) {
  constexpr std::size_t kRequests = 20'000;
  const auto codec = MakePlatformCodec();
  const std::size_t customers = table.spec().customers.size();
  std::vector<std::string> requests(std::max<std::size_t>(1, customers));
  for (std::size_t i = 0; i < requests.size(); ++i) {
    requests[i] = "GET /q HTTP/1.1\r\nHost: bench\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 800\r\n" +
                  (customers == 0 ? "" : "Api-Key: " + CustomerKey(i) + "\r\n") + "\r\n";
  }
  const double before = ProcessCpuMicroseconds();
  for (std::size_t i = 0; i < kRequests; ++i) {
    std::string_view bytes = requests[i % requests.size()];
    RequestReader reader(codec->field_names(), {});
    if (reader.Read(bytes) != ReadStatus::kComplete ||
        DecideAccess(table, table.spec().routes.front(), reader.message().FindKey()).refusal != nullptr) {
      throw std::runtime_error("measure gateway: request refused");
    }
  }
  return (ProcessCpuMicroseconds() - before) / kRequests;
}

double CpuPerQuery(GatewayBench& bench, int queries = kQueriesPerRun) {
  const double before = ProcessCpuMicroseconds();
  for (int i = 0; i < queries; ++i) {
    bench.RunQuery();
  }
  return (ProcessCpuMicroseconds() - before) / queries;
}

double HeapPerQuery(GatewayBench& bench) {
  const double before = HeapBytes();
  const auto caller = bench.StartQuery();
  const double bytes = HeapBytes() - before;
  bench.WaitForAnswer(caller);
  return bytes;
}

struct CellSize {
  std::size_t daemon_count;
  std::size_t domain_count;
  // Number of daemons of each domain that keep all members and are measured. In the largest cell, these are all
  // relays and some other daemons.
  std::size_t full_lists_per_domain = 100;
};
constexpr CellSize kCellSizes[] = {{6, 3}, {62, 3}, {300, 5}, {2'700, 21, 8}};
constexpr int kMeasuredSeconds = 10;        // simulated time, after the lists are complete
constexpr int kRestartIntervalSeconds = 5;  // time between ends without notice; the required rate is one every 17 s

double ThreadCpuMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Adds the largest and the median of the daemons' values to the figures called `name`.
void AddCellFigure(std::vector<BenchFigure>& figures, const std::string& name, std::size_t daemons,
                   std::vector<double> values) {
  const auto size = static_cast<double>(daemons);
  for (const auto& [statistic, value] :
       {std::pair("busiest", *std::ranges::max_element(values)), std::pair("median", Median(values))}) {
    const std::string title = name + ", " + statistic + " daemon";
    auto figure = std::ranges::find(figures, title, &BenchFigure::name);
    if (figure == figures.end()) {
      figures.push_back({.part = "members", .name = title, .size_unit = "daemons"});
      figure = std::prev(figures.end());
    }
    figure->points.push_back({.size = size, .value = value});
  }
}

// Measures what the exchange of member lists costs a daemon. The loads change every second, and daemons that are no
// relays end without notice and start again 1 s later.
void MeasureCell(const CellSize& size, std::vector<BenchFigure>& figures) {
  MemberSimulation cell({.daemon_count = size.daemon_count,
                         .domain_count = size.domain_count,
                         .full_lists_per_domain = size.full_lists_per_domain});
  for (std::size_t i = 0; i < size.daemon_count; ++i) {
    cell.Start(i);
  }
  // A cell of 2,700 daemons that all start at once needs 30 s until its lists are complete.
  cell.RunFor(std::chrono::seconds(size.daemon_count > 1'000 ? 30 : 15));
  std::vector<double> sent(size.daemon_count);
  std::vector<double> received(size.daemon_count);
  std::vector<double> cpu(size.daemon_count);
  cell.wrap_action = [&](std::size_t index, const std::function<void()>& action) {
    const double begin = ThreadCpuMicroseconds();
    action();
    cpu[index] += ThreadCpuMicroseconds() - begin;
  };
  for (int second = 0; second < kMeasuredSeconds; ++second) {
    for (std::size_t i = 0; i < size.daemon_count; ++i) {
      cell.daemons[i].load_parts_per_s = 50U << ((i + static_cast<std::size_t>(second)) % 4);
      cell.daemons[i].bytes_sent = cell.daemons[i].bytes_received = 0;
    }
    const std::size_t restarted_daemon = size.daemon_count - 1 - static_cast<std::size_t>(second);
    const bool restarts_daemon = size.daemon_count > 6 && second % kRestartIntervalSeconds == 0;
    if (restarts_daemon) {
      cell.Kill(restarted_daemon);
    }
    cell.RunFor(std::chrono::seconds(1));
    for (std::size_t i = 0; i < size.daemon_count; ++i) {
      sent[i] += static_cast<double>(cell.daemons[i].bytes_sent);
      received[i] += static_cast<double>(cell.daemons[i].bytes_received);
    }
    if (restarts_daemon) {
      cell.Start(restarted_daemon);
    }
  }
  std::vector<double> bytes_per_s;
  std::vector<double> cpu_per_s;
  std::vector<double> heap;
  for (std::size_t i = 0; i < size.daemon_count; ++i) {
    if (cell.KeepsAllMembers(i) && cell.daemons[i].exchange) {
      bytes_per_s.push_back(std::max(sent[i], received[i]) / kMeasuredSeconds);
      cpu_per_s.push_back(cpu[i] / kMeasuredSeconds);
      const double before = HeapBytes();
      const MemberExchange copy = *cell.daemons[i].exchange;
      heap.push_back(HeapBytes() - before);
    }
  }
  AddCellFigure(figures, "bytes per second, worse direction, with heads of IP and UDP", size.daemon_count,
                bytes_per_s);
  AddCellFigure(figures, "CPU per second, without the kernel, us", size.daemon_count, cpu_per_s);
  AddCellFigure(figures, "heap of the member lists, bytes", size.daemon_count, heap);
}

}  // namespace

void MeasureMembers(BenchReport& report) {
  for (const auto& size : kCellSizes) {
    MeasureCell(size, report.figures);
  }
}

void MeasureGateway(BenchReport& report) {
  const std::vector<std::size_t> sizes = {20, 50, 90, 700};
  report.figures.push_back({.part = "gateway",
                            .name = "CPU per gather, fixed searchers included, us",
                            .size_unit = "parts",
                            .points = MeasureSizes(sizes, kRuns, [](std::size_t parts) {
                              GatewayBench bench(parts, true);
                              return CpuPerQuery(bench);
                            })});
  report.figures.push_back({.part = "gateway",
                            .name = "heap per gather in flight, bytes",
                            .size_unit = "parts",
                            .points = MeasureSizes(sizes, 3, [](std::size_t parts) {
                              GatewayBench bench(parts, true);
                              return HeapPerQuery(bench);
                            })});
  report.figures.push_back({.part = "gateway",
                            .name = "CPU per forwarded request, fixed searcher included, us",
                            .size_unit = "searchers",
                            .points = MeasureSizes({1}, kRuns, [](std::size_t parts) {
                              GatewayBench bench(parts, false);
                              return CpuPerQuery(bench);
                            })});
  const std::vector<std::size_t> customers = {0, 1, 10'000};
  report.figures.push_back({.part = "gateway",
                            .name = "CPU per forwarded request with the key of a customer, us",
                            .size_unit = "customers",
                            .points = MeasureSizes(customers, kRuns, [](std::size_t count) {
                              GatewayBench bench(1, false, count);
                              return CpuPerQuery(bench, kForwardedPerRun);
                            })});
  report.figures.push_back({.part = "gateway",
                            .name = "CPU to read a request and decide on its key, us",
                            .size_unit = "customers",
                            .points = MeasureSizes(customers, kRuns, [](std::size_t count) {
                              return CpuPerReadRequest(
                                  RoutingTable({.routes = {{.name = "bench"}}, .customers = MakeCustomers(count)}));
                            })});
}

}  // namespace pimentomoor
