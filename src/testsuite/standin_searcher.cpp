// Hosts the stand-in upstreams: HTTP, timers and faults around UpstreamModel.
#include "standin_searcher.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <set>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "pimentomoor/log.h"
#include "reference.h"
#include "upstream.pb.h"

namespace pimentomoor {
namespace {

constexpr std::string_view kCrashWord = "crash!";
constexpr const char* kProtobufType = "application/x-protobuf";

const std::set<std::string> kControlKeys = {"upstream", "service",     "failure_domain", "fault",
                                            "factor",   "probability", "version"};
const std::set<std::string> kFaults = {"cold", "restart",   "drain",   "stop",  "start",
                                       "slow", "straggler", "publish", "retire"};

HttpResponse Refusal(int status, std::string header = "") {
  HttpResponse response{.status = status, .content_type = "text/plain"};
  if (!header.empty()) {
    response.headers.emplace_back(std::move(header), "1");
  }
  return response;
}

std::uint16_t PortOf(const std::string& address) {
  return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
}

}  // namespace

/// One upstream: its server while it runs, and the requests that wait for an answer.
class StandinSearchers::Upstream {
 public:
  Upstream(StandinSearchers& owner, UpstreamSpec& spec, std::uint64_t seed)
      : owner_(owner), spec_(spec), model_(spec, seed) {
    Listen();
  }

  [[nodiscard]] UpstreamModel& model() { return model_; }
  [[nodiscard]] bool listening() const { return server_ != nullptr; }

  /// Closes all connections without answers.
  void Stop() {
    ++generation_;
    server_.reset();
    jobs_.clear();
  }

  /// Listens again, cold and with a new incarnation. Does nothing while the upstream runs.
  void Start() {
    if (listening()) {
      return;
    }
    model_.Restart();
    try {
      Listen();
    } catch (const std::system_error& error) {
      // A client's connection may have taken the port while it was free.
      LogWarn("upstream_restart_failed", {{"upstream", spec_.address}, {"error", error.what()}});
      After(owner_.options_.restart_delay, [this] { Start(); });
    }
  }

  void Crash() {
    if (!listening()) {
      return;
    }
    ++model_.counters().crashes;
    Stop();
    After(owner_.options_.restart_delay, [this] { Start(); });
  }

  void Drain(double factor) {
    const auto stretched = [factor](Duration time) { return std::chrono::duration_cast<Duration>(factor * time); };
    model_.BeginDrain(owner_.loop_.Now());
    After(stretched(owner_.options_.drain_announce_duration), [this] { model_.RefuseWork(); });
    After(stretched(owner_.options_.drain_announce_duration + owner_.options_.drain_refuse_duration),
          [this] { Stop(); });
  }

 private:
  struct Job {
    bool search = true;
    proto::SearchRequest query;
    proto::ExecuteRequest operation;
    HttpResponder respond;
    TimePoint deadline;

    [[nodiscard]] const std::string& text() const { return search ? query.text() : operation.body(); }
    [[nodiscard]] const std::string& service() const { return search ? query.service() : operation.service(); }
    [[nodiscard]] std::uint32_t deadline_ms() const { return search ? query.deadline_ms() : operation.deadline_ms(); }
  };

  /// Runs `callback` later unless the upstream has stopped or was destroyed in between.
  void After(Duration delay, std::function<void()> callback) {
    owner_.loop_.CallAfter(
        delay, [this, alive = std::weak_ptr<int>(alive_), generation = generation_, callback = std::move(callback)] {
          if (!alive.expired() && generation == generation_) {
            callback();
          }
        });
  }

  void Listen() {
    server_ = std::make_unique<HttpServer>(
        owner_.loop_, HttpServerOptions{.port = PortOf(spec_.address), .max_connections = spec_.connections});
    spec_.address = server_->address();
    // Status and load mislead; the incarnation is true.
    server_->Handle("/health", [this](const HttpRequest&, const HttpResponder& respond) {
      respond(
          {.body = R"({"status":"warm","load":0,"incarnation":")" + std::to_string(model_.incarnation()) + "\"}"});
    });
    for (const bool search : {true, false}) {
      server_->Handle(search ? "/search" : "/execute",
                      [this, search](const HttpRequest& request, HttpResponder respond) {
                        Receive(search, request, std::move(respond));
                      });
    }
  }

  void Receive(bool search, const HttpRequest& request, HttpResponder respond) {
    const TimePoint now = owner_.loop_.Now();
    const Duration connect_delay = model_.Receive(now, server_->open_connections());
    Job job{.search = search, .respond = std::move(respond)};
    if (request.method != "POST" ||
        !(search ? job.query.ParseFromString(request.body) : job.operation.ParseFromString(request.body))) {
      job.respond(Refusal(400));
      return;
    }
    job.deadline = job.deadline_ms() == 0 ? TimePoint::max() : now + std::chrono::milliseconds(job.deadline_ms());
    const JobId id = next_job_++;
    jobs_.emplace(id, std::move(job));
    if (connect_delay == Duration{}) {
      Admit(id);
    } else {
      After(connect_delay, [this, id] { Admit(id); });
    }
  }

  void Admit(JobId id) {
    if (const int status = Misdirected(jobs_.at(id)); status != 0) {
      Answer(id, status == 409 ? Refusal(409, "x-wrong-snapshot") : Refusal(status));
      return;
    }
    switch (model_.Admit(id, jobs_.at(id).deadline)) {
      case Admission::kStarted:
        Run(id);
        break;
      case Admission::kQueued:
        break;
      case Admission::kShed:
        Answer(id, Refusal(503, "x-shed"));
        break;
      case Admission::kOverload:
        Answer(id, Refusal(500));
        break;
      case Admission::kDraining:
        Answer(id, Refusal(503, "x-draining"));
        break;
    }
  }

  /// Returns 0 or the status for a request that this upstream can't serve.
  int Misdirected(const Job& job) {
    if (job.service() != spec_.service || (!job.search && !spec_.executes)) {
      ++model_.counters().misdirected;
      return 400;
    }
    const ServiceSpec& service = *owner_.options_.deployment.FindService(spec_.service);
    const SnapshotSpec* snapshot = job.search ? service.FindSnapshot(job.query.snapshot()) : nullptr;
    const bool held = snapshot != nullptr && snapshot->published &&
                      service.HeldShards(*snapshot, spec_.position).contains(job.query.shard());
    if (job.search && !held) {
      ++model_.counters().wrong_snapshots;
      return 409;
    }
    return 0;
  }

  void Run(JobId id) {
    const Job& job = jobs_.at(id);
    if (!job.search) {
      // Recorded at the start: a crash or a lost connection does not undo an operation.
      ++model_.counters().executions;
      owner_.executions_[job.operation.token()].push_back({spec_.address, job.operation.body()});
    }
    if (job.text().find(kCrashWord) != std::string::npos) {
      After(Duration{}, [this] { Crash(); });
      return;
    }
    const Duration service_time = model_.DrawServiceTime();
    // A search stops at its deadline; an operation that has begun is finished.
    const bool stops = job.search && job.deadline - owner_.loop_.Now() < service_time;
    After(stops ? job.deadline - owner_.loop_.Now() : service_time, [this, id, stops] { Finish(id, stops); });
  }

  void Finish(JobId id, bool stopped) {
    const bool was_cold = model_.cold();
    const auto next = model_.Finish(owner_.loop_.Now(), id);
    if (stopped) {
      Answer(id, Refusal(500));
    } else {
      Answer(id, jobs_.at(id).search ? SearchAnswer(jobs_.at(id), was_cold) : ExecuteAnswer(jobs_.at(id), was_cold));
    }
    for (const JobId expired : next.expired) {
      Answer(expired, Refusal(504));
    }
    for (const JobId started : next.started) {
      Run(started);
    }
  }

  HttpResponse Success(std::string body, bool cold) {
    HttpResponse response{.content_type = kProtobufType, .body = std::move(body)};
    if (cold) {
      response.headers.emplace_back("x-cold", "1");
    }
    if (model_.drain() != DrainPhase::kNone) {
      response.headers.emplace_back("x-draining", "1");
    }
    return response;
  }

  HttpResponse SearchAnswer(const Job& job, bool cold) {
    proto::SearchResponse answer;
    answer.set_id(job.query.id());
    answer.set_shard(job.query.shard());
    answer.set_snapshot(job.query.snapshot());
    answer.set_incarnation(model_.incarnation());
    answer.set_cold(cold);
    answer.set_draining(model_.drain() != DrainPhase::kNone);
    for (const auto& row :
         ReferenceRows(spec_.service, job.query.snapshot(), job.query.shard(), job.query.text(), job.query.limit())) {
      *answer.add_rows() = row;
    }
    return Success(answer.SerializeAsString(), cold);
  }

  HttpResponse ExecuteAnswer(const Job& job, bool cold) {
    proto::ExecuteResponse answer;
    answer.set_id(job.operation.id());
    answer.set_incarnation(model_.incarnation());
    answer.set_body(ReferenceExecution(spec_.service, job.operation.token(), job.operation.body()));
    return Success(answer.SerializeAsString(), cold);
  }

  /// Sends the response after the delay between failure domains.
  void Answer(JobId id, HttpResponse response) {
    auto node = jobs_.extract(id);
    if (node.empty()) {
      return;
    }
    HttpResponder respond = std::move(node.mapped().respond);
    if (spec_.one_way == Duration{}) {
      respond(std::move(response));
      return;
    }
    After(spec_.one_way,
          [respond = std::move(respond), response = std::move(response)]() mutable { respond(std::move(response)); });
  }

  StandinSearchers& owner_;
  UpstreamSpec& spec_;  // element of the owner's deployment
  UpstreamModel model_;
  std::unique_ptr<HttpServer> server_;  // null while stopped
  std::uint64_t generation_ = 0;        // grows at each stop; callbacks of earlier generations do nothing
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  JobId next_job_ = 1;
  std::map<JobId, Job> jobs_;
};

ControlCommand ParseControl(const std::string& yaml) {
  try {
    const YAML::Node node = YAML::Load(yaml);
    if (!node.IsMap()) {
      throw std::runtime_error("control command: expected a map");
    }
    for (const auto& item : node) {
      if (const auto key = item.first.as<std::string>(); !kControlKeys.contains(key)) {
        throw std::runtime_error("control command: unknown key '" + key + "'");
      }
    }
    ControlCommand command{.upstream = node["upstream"].as<std::string>(""),
                           .service = node["service"].as<std::string>(""),
                           .failure_domain = node["failure_domain"].as<std::string>(""),
                           .fault = node["fault"].as<std::string>(""),
                           .factor = node["factor"].as<double>(1),
                           .probability = node["probability"].as<double>(0),
                           .version = node["version"].as<std::uint64_t>(0)};
    if (!kFaults.contains(command.fault)) {
      throw std::runtime_error("control command: unknown fault '" + command.fault + "'");
    }
    return command;
  } catch (const YAML::Exception& error) {
    throw std::runtime_error(std::string("control command: ") + error.what());
  }
}

StandinSearchers::StandinSearchers(EventLoop& loop, StandinSearchersOptions options)
    : loop_(loop), options_(std::move(options)), admin_(loop, HttpServerOptions{.port = options_.admin_port}) {
  std::uint64_t seed = options_.seed;
  for (auto& service : options_.deployment.services) {
    for (auto& spec : service.upstreams) {
      auto upstream = std::make_unique<Upstream>(*this, spec, StableHash(std::to_string(seed++)));
      upstreams_.emplace(spec.address, std::move(upstream));
    }
  }
  ServeAdmin();
}

StandinSearchers::~StandinSearchers() = default;

std::vector<std::string> StandinSearchers::RepeatedTokens() const {
  std::vector<std::string> result;
  for (const auto& [token, records] : executions_) {
    if (records.size() > 1) {
      result.push_back(token);
    }
  }
  return result;
}

const UpstreamModel& StandinSearchers::upstream(const std::string& address) const {
  return upstreams_.at(address)->model();
}

UpstreamCounters StandinSearchers::Total() const {
  UpstreamCounters total;
  for (const auto& [address, upstream] : upstreams_) {
    total = Sum(total, upstream->model().counters());
  }
  return total;
}

std::string StandinSearchers::CountersJson() const {
  std::vector<const UpstreamModel*> models;
  std::vector<std::string> addresses;
  for (const auto& [address, upstream] : upstreams_) {
    models.push_back(&upstream->model());
    addresses.push_back(address);
  }
  return pimentomoor::CountersJson(models, addresses, executions_, RepeatedTokens());
}

std::size_t StandinSearchers::ChangeSnapshot(const ControlCommand& command) {
  for (auto& service : options_.deployment.services) {
    for (auto& snapshot : service.snapshots) {
      if (service.name == command.service && snapshot.version == command.version) {
        snapshot.published = command.fault == "publish";
        if (options_.catalog_changed) {
          options_.catalog_changed(service);
        }
        return service.upstreams.size();
      }
    }
  }
  return 0;
}

std::size_t StandinSearchers::ApplyCommand(const ControlCommand& command) {
  if (command.fault == "publish" || command.fault == "retire") {
    const std::size_t changed = ChangeSnapshot(command);
    if (changed == 0) {
      throw std::runtime_error("control command: service '" + command.service + "' has no snapshot " +
                               std::to_string(command.version));
    }
    return changed;
  }
  const auto matches = [](const std::string& wanted, const std::string& have) {
    return wanted.empty() || wanted == have;
  };
  std::size_t changed = 0;
  for (auto& [address, upstream] : upstreams_) {
    UpstreamModel& model = upstream->model();
    if (!matches(command.upstream, address) || !matches(command.service, model.spec().service) ||
        !matches(command.failure_domain, model.spec().failure_domain)) {
      continue;
    }
    ++changed;
    if (command.fault == "cold") {
      model.TurnCold();
    } else if (command.fault == "restart") {
      upstream->Crash();
    } else if (command.fault == "drain") {
      upstream->Drain(command.factor);
    } else if (command.fault == "stop") {
      upstream->Stop();
    } else if (command.fault == "start") {
      upstream->Start();
    } else if (command.fault == "slow") {
      model.SetSlow(command.factor);
    } else if (command.fault == "straggler") {
      model.SetStraggler(command.probability, command.factor);
    } else {
      throw std::runtime_error("control command: unknown fault '" + command.fault + "'");
    }
  }
  if (changed == 0) {
    throw std::runtime_error("control command: no upstream matches");
  }
  return changed;
}

void StandinSearchers::ServeAdmin() {
  admin_.Handle("/control", [this](const HttpRequest& request, const HttpResponder& respond) {
    if (request.method != "PUT") {
      respond({.status = 405});
      return;
    }
    try {
      const std::size_t changed = ApplyCommand(ParseControl(request.body));
      respond({.body = "{\"changed\":" + std::to_string(changed) + "}"});
    } catch (const std::runtime_error& error) {
      respond({.status = 400, .content_type = "text/plain", .body = std::string(error.what()) + "\n"});
    }
  });
  admin_.Handle("/counters",
                [this](const HttpRequest&, const HttpResponder& respond) { respond({.body = CountersJson()}); });
  admin_.Handle("/executions", [this](const HttpRequest&, const HttpResponder& respond) {
    respond({.body = ExecutionsJson(executions_)});
  });
  admin_.Handle("/catalog", [this](const HttpRequest& request, const HttpResponder& respond) {
    const auto* service = options_.deployment.FindService(QueryParameter(request.query, "service"));
    if (service == nullptr) {
      respond({.status = 404});
      return;
    }
    respond({.content_type = "application/yaml", .body = CatalogYaml(*service)});
  });
}

}  // namespace pimentomoor
