// Measures what a sub-query costs its owner, and what a message between daemons costs, over loopback.
#include <atomic>
#include <ctime>
#include <future>
#include <map>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

#include "bench_parts.h"
#include "pimentomoor/dispatcher.h"
#include "pimentomoor/peer_transport.h"
#include "upstream.pb.h"

namespace pimentomoor {
namespace {

constexpr std::size_t kUpstreams = 28;
// Numbers of sub-queries.
const std::vector<std::size_t> kSizes = {2 * kUpstreams, 4 * kUpstreams, 13 * kUpstreams, 25 * kUpstreams};
constexpr std::size_t kMaxRequestsPerUpstream = 25;
constexpr std::size_t kTransportMessages = 4'000;
constexpr int kRuns = 20;
constexpr Duration kTimeout = std::chrono::seconds(10);

void AnswerSearch(const HttpRequest& request, const HttpResponder& respond) {
  proto::SearchRequest search;
  search.ParseFromString(request.body);
  proto::SearchResponse response;
  response.set_id(search.id());
  response.set_shard(search.shard());
  response.set_snapshot(search.snapshot());
  response.set_incarnation(1);
  for (std::size_t row = 0; row < 10; ++row) {
    FillBenchRow(*response.add_rows(), search.shard(), row);
  }
  respond({.content_type = "application/x-protobuf", .body = response.SerializeAsString()});
}

// Upstreams that answer at once with 10 rows. They run on their own thread, so that the CPU time of the owner's
// thread leaves them out.
class UpstreamThread {
 public:
  UpstreamThread() : thread_([this] { Serve(); }) { addresses_ = started_.get_future().get(); }
  ~UpstreamThread() {
    stop_ = true;
    thread_.join();
  }
  UpstreamThread(const UpstreamThread&) = delete;
  UpstreamThread& operator=(const UpstreamThread&) = delete;
  const std::string& address(std::size_t number) const { return addresses_[number]; }

 private:
  void Serve() {
    const SystemClock clock;
    EventLoop loop(clock);
    std::vector<std::unique_ptr<HttpServer>> servers;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      servers.push_back(std::make_unique<HttpServer>(loop, HttpServerOptions{}));
      servers.back()->Handle("/search", AnswerSearch);
      addresses.push_back(servers.back()->address());
    }
    started_.set_value(addresses);
    while (!stop_) {
      loop.RunOnce(std::chrono::milliseconds(10));
    }
  }

  std::promise<std::vector<std::string>> started_;
  std::atomic<bool> stop_ = false;
  std::vector<std::string> addresses_;
  std::thread thread_;  // last member, because the thread uses the others
};

double ThreadCpuMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Runs turns of the loop until `done` holds. The time limit is on a clock of its own, because the loop's clock may
// stand still. `part` names the measurement in the exception.
void RunUntilDone(EventLoop& loop, const std::string& part, const std::function<bool()>& done) {
  const SystemClock wall;
  const TimePoint end = wall.Now() + kTimeout;
  while (!done()) {
    if (wall.Now() >= end) {
      throw std::runtime_error("measure " + part + ": not finished in 10 s");
    }
    loop.RunOnce(std::chrono::milliseconds(1));
  }
}

class OwnerFixture {
 public:
  OwnerFixture()
      : dispatcher_(
            loop_, client_, metrics_, {},
            {.may_send = [](const std::string&) { return true; },
             .in_outage = [](const std::string&, const std::string&) { return false; },
             .send_answers = [this](const proto::Daemon&, const proto::SubAnswers& answers) { OnAnswers(answers); },
             .report_strike = [](std::uint64_t, const std::string&) {}}) {
    std::vector<CatalogUpstream> catalog_upstreams;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      catalog_upstreams.push_back({.address = upstreams_.address(i),
                                   .failure_domain = "pampa-sur-0",
                                   .slots = kMaxRequestsPerUpstream,
                                   .connections = kMaxRequestsPerUpstream});
    }
    dispatcher_.ConfigureUpstreams(catalog_upstreams);
    // Warms the upstreams up: a cold upstream may run one more request every 500 ms, so the simulated clock moves on
    // between bursts.
    for (std::size_t i = 0; i < 3 * kMaxRequestsPerUpstream; ++i) {
      RunBurst(1);
      clock_.Advance(std::chrono::milliseconds(600));
    }
  }

  // Submits a burst of `messages` SubQueries messages, each with a sub-query for every upstream, and waits for the
  // answers. Returns the CPU time of both threads.
  double RunBurst(std::size_t messages) {
    std::vector<std::string> bytes;
    for (std::size_t i = 0; i < messages; ++i) {
      bytes.push_back(BuildSubQueries());
    }
    ok_count_ = answered_count_ = 0;
    const std::size_t expected = messages * kUpstreams;
    const double thread_cpu_start = ThreadCpuMicroseconds();
    const double cpu_start = ProcessCpuMicroseconds();
    for (const std::string& text : bytes) {
      google::protobuf::Arena arena;  // parsed into an arena, as PeerTransport does
      auto& message = *google::protobuf::Arena::CreateMessage<proto::Envelope>(&arena);
      message.ParseFromString(text);
      dispatcher_.Submit(message.from(), message.sub_queries());
    }
    running_at_submit_ = dispatcher_.running_requests();
    RunUntilDone(loop_, "owner", [&] { return answered_count_ == expected; });
    const double cpu = ProcessCpuMicroseconds() - cpu_start;
    owner_thread_cpu_us_ = ThreadCpuMicroseconds() - thread_cpu_start;
    return cpu;
  }

  // A function of its own, so that a profiler shows the full bursts apart from the warm-up.
  [[gnu::noinline]] void RunProfiledBurst() { RunBurst(kMaxRequestsPerUpstream); }

  // Makes as many HTTP calls as a burst, without the dispatcher. Returns the CPU time of both threads.
  double RunHttpBurst(std::size_t per_upstream) {
    std::size_t finished = 0;
    const std::size_t expected = per_upstream * kUpstreams;
    proto::SearchRequest request;
    request.set_id(1);
    request.set_service("remates-01");
    request.set_text("free bulls of lot 1234 in December");
    const std::string body = request.SerializeAsString();
    const double cpu_start = ProcessCpuMicroseconds();
    for (std::size_t i = 0; i < expected; ++i) {
      client_.Call({.target = upstreams_.address(i % kUpstreams),
                    .method = "POST",
                    .path = "/search",
                    .headers = {{"content-type", "application/x-protobuf"}},
                    .body = body},
                   [&](const HttpResult&) { ++finished; });
    }
    RunUntilDone(loop_, "HTTP", [&] { return finished == expected; });
    return ProcessCpuMicroseconds() - cpu_start;
  }

  double owner_thread_cpu_us() const { return owner_thread_cpu_us_; }  // in the last burst
  std::size_t ok_count() const { return ok_count_; }
  std::size_t running_at_submit() const { return running_at_submit_; }

 private:
  std::string BuildSubQueries() {
    proto::Envelope message;
    *message.mutable_from() = entry_;
    proto::SubQueries& batch = *message.mutable_sub_queries();
    batch.set_query_id(++last_query_id_);
    batch.set_service("remates-01");
    batch.set_snapshot(3);
    batch.set_text("free bulls of lot 1234 in December");
    batch.set_limit(10);
    batch.set_merge_rows(true);
    batch.set_remaining_us(1'900'000);
    batch.set_traceparent(MakeTraceparent());
    batch.set_fingerprint(1);
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      proto::SubQuery* item = batch.add_items();
      item->set_id(++last_sub_query_id_);
      item->set_shard(static_cast<std::uint32_t>(i));
      item->set_upstream(upstreams_.address(i));
    }
    return message.SerializeAsString();
  }

  static std::string MakeTraceparent() { return "00-" + std::string(32, 'a') + "-" + std::string(16, 'b') + "-01"; }

  void OnAnswers(const proto::SubAnswers& answers) {
    proto::Envelope message;
    *message.mutable_from() = entry_;
    *message.mutable_sub_answers() = answers;
    answer_bytes_ += message.SerializeAsString().size();
    for (const proto::SubAnswer& answer : answers.items()) {
      ++answered_count_;
      ok_count_ += answer.status() == proto::SUB_OK ? 1 : 0;
    }
  }

  ManualClock clock_;
  EventLoop loop_{clock_};
  Metrics metrics_;
  HttpClient client_{loop_};
  UpstreamThread upstreams_;
  proto::Daemon entry_ = BenchDaemon(1);
  std::uint64_t last_query_id_ = 0;
  std::uint64_t last_sub_query_id_ = 0;
  std::size_t answered_count_ = 0;
  std::size_t ok_count_ = 0;
  std::size_t running_at_submit_ = 0;
  std::size_t answer_bytes_ = 0;
  double owner_thread_cpu_us_ = 0;
  Dispatcher dispatcher_;
};

// Returns the CPU time of sending and receiving one message of `bytes`, in bursts of `burst` messages. Adds the
// number of messages that Send() refused to `refused`.
double MeasureMessages(std::size_t bytes, std::size_t burst, std::size_t& refused) {
  const SystemClock clock;
  EventLoop loop(clock);
  PeerTransport sender(loop, {});
  PeerTransport receiver(loop, {});
  std::size_t received = 0;
  receiver.OnMessage([&](const proto::Envelope&) { ++received; });
  proto::Envelope message;
  *message.mutable_from() = BenchDaemon(1);
  proto::StoredObject* object = message.mutable_objects()->add_objects();
  while (message.ByteSizeLong() < bytes) {
    object->set_value(object->value() + std::string(bytes - message.ByteSizeLong(), 'x'));
  }
  RunUntilDone(loop, "transport", [&] { return sender.Send(receiver.address(), message); });
  RunUntilDone(loop, "transport", [&] { return received == 1; });
  return MedianOfRuns(3, [&] {
    const double cpu_start = ProcessCpuMicroseconds();
    for (std::size_t sent = 0; sent < kTransportMessages; sent += burst) {
      const std::size_t target = received + burst;
      for (std::size_t i = 0; i < burst; ++i) {
        // Send() may refuse a message within a burst; the message is then counted and sent again.
        RunUntilDone(loop, "transport", [&] {
          const bool accepted = sender.Send(receiver.address(), message);
          refused += accepted ? 0 : 1;
          return accepted;
        });
      }
      RunUntilDone(loop, "transport", [&] { return received >= target; });
    }
    return (ProcessCpuMicroseconds() - cpu_start) / kTransportMessages;
  });
}

}  // namespace

void MeasureOwner(BenchReport& report) {
  OwnerFixture owner;
  BenchFigure total{"owner", "CPU us, dispatcher with HTTP client and server", "sub-query", {}};
  BenchFigure http{"owner", "CPU us, HTTP client and server alone", "sub-query", {}};
  BenchFigure dispatcher{"owner", "CPU us, dispatcher without HTTP (difference)", "sub-query", {}};
  BenchFigure owner_thread{"owner", "CPU us, dispatcher and HTTP client (the owner's thread)", "sub-query", {}};
  // All figures come from the same runs, so that they can be compared.
  std::map<std::size_t, std::vector<double>> http_us;
  std::map<std::size_t, std::vector<double>> dispatcher_us;
  std::map<std::size_t, std::vector<double>> owner_thread_us;
  total.points = MeasureSizes(kSizes, kRuns, [&](std::size_t size) {
    const double with_http = owner.RunBurst(size / kUpstreams);
    owner_thread_us[size].push_back(owner.owner_thread_cpu_us());
    http_us[size].push_back(owner.RunHttpBurst(size / kUpstreams));
    dispatcher_us[size].push_back(with_http - http_us[size].back());
    return with_http;
  });
  for (const std::size_t size : kSizes) {
    http.points.push_back({static_cast<double>(size), Median(http_us[size])});
    dispatcher.points.push_back({static_cast<double>(size), Median(dispatcher_us[size])});
    owner_thread.points.push_back({static_cast<double>(size), Median(owner_thread_us[size])});
  }
  std::string checks;
  for (const std::size_t size : kSizes) {
    owner.RunBurst(size / kUpstreams);
    checks += (checks.empty() ? "" : "; ") + std::to_string(owner.ok_count()) + " of " + std::to_string(size) +
              " answered OK, " + std::to_string(owner.running_at_submit()) + " running at once";
  }
  report.figures.insert(report.figures.end(), {total, http, dispatcher, owner_thread});
  report.notes.push_back("owner: " + checks);
}

void ProfileOwner() {
  OwnerFixture owner;
  for (int i = 0; i < kProfileRounds; ++i) {
    owner.RunProfiledBurst();
  }
}

void MeasureTransport(BenchReport& report) {
  std::size_t refused = 0;
  for (const std::size_t burst : {1U, 100U}) {
    BenchFigure figure{
        "transport", "CPU us per message, sent and received, bursts of " + std::to_string(burst), "byte", {}};
    for (const std::size_t bytes : {100U, 1'000U, 10'000U}) {
      figure.points.push_back({static_cast<double>(bytes), MeasureMessages(bytes, burst, refused)});
    }
    report.figures.push_back(figure);
  }
  report.notes.push_back("transport: " + std::to_string(refused) + " messages refused and sent again");
}

}  // namespace pimentomoor
