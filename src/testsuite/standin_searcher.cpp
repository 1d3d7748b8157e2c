// Runs the stand-in upstreams: HTTP, timers and faults around UpstreamModel.
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

constexpr std::string_view kCrashMarker = "crash!";  // a request with this text crashes the upstream
constexpr const char* kProtobufType = "application/x-protobuf";

const std::set<std::string> kControlKeys = {"upstream", "service",     "failure_domain", "fault",
                                            "factor",   "probability", "version"};
const std::set<std::string> kFaultNames = {"cold", "restart",   "drain",   "stop",  "start",
                                           "slow", "straggler", "publish", "retire"};

/// An empty response. A `header` that is not empty is set to "1".
HttpResponse ErrorResponse(int status, std::string header = "") {
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

/// One upstream: its server while it listens, and the requests without a response.
class StandinSearchers::Upstream {
 public:
  Upstream(StandinSearchers& owner, UpstreamSpec& spec, std::uint64_t seed)
      : owner_(owner), spec_(spec), model_(spec, seed) {
    Listen();
  }

  [[nodiscard]] UpstreamModel& model() { return model_; }
  [[nodiscard]] bool listening() const { return server_ != nullptr; }

  /// Stops listening and closes all connections without responses.
  void Stop() {
    ++generation_;
    server_.reset();
    jobs_.clear();
  }

  /// Listens again, cold and with a new incarnation. Does nothing while the upstream listens.
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
      CallAfterUnlessStopped(owner_.options_.restart_delay, [this] { Start(); });
    }
  }

  void Crash() {
    if (!listening()) {
      return;
    }
    ++model_.counters().crashes;
    Stop();
    CallAfterUnlessStopped(owner_.options_.restart_delay, [this] { Start(); });
  }

  void Drain(double factor) {
    const auto scaled = [factor](Duration time) { return std::chrono::duration_cast<Duration>(factor * time); };
    model_.BeginDrain(owner_.loop_.Now());
    CallAfterUnlessStopped(scaled(owner_.options_.drain_announce_duration), [this] { model_.RefuseRequests(); });
    CallAfterUnlessStopped(scaled(owner_.options_.drain_announce_duration + owner_.options_.drain_refuse_duration),
                           [this] { Stop(); });
  }

 private:
  struct Job {
    bool is_search = true;
    proto::SearchRequest query;
    proto::ExecuteRequest operation;
    HttpResponder respond;
    TimePoint deadline;

    [[nodiscard]] const std::string& text() const { return is_search ? query.text() : operation.body(); }
    [[nodiscard]] const std::string& service() const { return is_search ? query.service() : operation.service(); }
    [[nodiscard]] std::uint32_t deadline_ms() const {
      return is_search ? query.deadline_ms() : operation.deadline_ms();
    }
  };

  /// Runs `callback` after `delay` unless the upstream was stopped or destroyed in between.
  void CallAfterUnlessStopped(Duration delay, std::function<void()> callback) {
    owner_.loop_.CallAfter(
        delay, [this, alive = std::weak_ptr<int>(alive_), generation = generation_, callback = std::move(callback)] {
          if (!alive.expired() && generation == generation_) {
            callback();
          }
        });
  }

  void Listen() {
    server_ = std::make_unique<HttpServer>(
        owner_.loop_, HttpServerOptions{.port = PortOf(spec_.address), .max_connections = spec_.max_connections});
    spec_.address = server_->address();
    // Status and load are constant, so they mislead about a cold or busy upstream. The incarnation is correct.
    server_->Handle("/health", [this](const HttpRequest&, const HttpResponder& respond) {
      respond(
          {.body = R"({"status":"warm","load":0,"incarnation":")" + std::to_string(model_.incarnation()) + "\"}"});
    });
    for (const bool is_search : {true, false}) {
      server_->Handle(is_search ? "/search" : "/execute",
                      [this, is_search](const HttpRequest& request, HttpResponder respond) {
                        Receive(is_search, request, std::move(respond));
                      });
    }
  }

  void Receive(bool is_search, const HttpRequest& request, HttpResponder respond) {
    const TimePoint now = owner_.loop_.Now();
    const Duration connect_delay = model_.Receive(now, server_->open_connections());
    Job job{.is_search = is_search, .respond = std::move(respond)};
    if (request.method != "POST" ||
        !(is_search ? job.query.ParseFromString(request.body) : job.operation.ParseFromString(request.body))) {
      job.respond(ErrorResponse(400));
      return;
    }
    job.deadline = job.deadline_ms() == 0 ? TimePoint::max() : now + std::chrono::milliseconds(job.deadline_ms());
    const JobId id = next_job_id_++;
    jobs_.emplace(id, std::move(job));
    if (connect_delay == Duration{}) {
      Admit(id);
    } else {
      CallAfterUnlessStopped(connect_delay, [this, id] { Admit(id); });
    }
  }

  void Admit(JobId id) {
    if (const int status = RejectionStatus(jobs_.at(id)); status != 0) {
      SendResponse(id, status == 409 ? ErrorResponse(409, "x-wrong-snapshot") : ErrorResponse(status));
      return;
    }
    switch (model_.Admit(id, jobs_.at(id).deadline)) {
      case Admission::kStarted:
        Run(id);
        break;
      case Admission::kQueued:
        break;
      case Admission::kShed:
        SendResponse(id, ErrorResponse(503, "x-shed"));
        break;
      case Admission::kOverload:
        SendResponse(id, ErrorResponse(500));
        break;
      case Admission::kDraining:
        SendResponse(id, ErrorResponse(503, "x-draining"));
        break;
    }
  }

  /// Returns the status for a request that this upstream can't serve, or 0 when it can.
  int RejectionStatus(const Job& job) {
    if (job.service() != spec_.service || (!job.is_search && !spec_.runs_operations)) {
      ++model_.counters().misdirected;
      return 400;
    }
    const ServiceSpec& service = *owner_.options_.deployment.FindService(spec_.service);
    const SnapshotSpec* snapshot = job.is_search ? service.FindSnapshot(job.query.snapshot()) : nullptr;
    const bool holds_shard = snapshot != nullptr && snapshot->published &&
                             service.ShardsAtPosition(*snapshot, spec_.position).contains(job.query.shard());
    if (job.is_search && !holds_shard) {
      ++model_.counters().wrong_snapshots;
      return 409;
    }
    return 0;
  }

  void Run(JobId id) {
    const Job& job = jobs_.at(id);
    if (!job.is_search) {
      // Executions are recorded at their start because a crash or a lost connection doesn't undo an operation.
      ++model_.counters().executions;
      owner_.executions_[job.operation.token()].push_back({spec_.address, job.operation.body()});
    }
    if (job.text().find(kCrashMarker) != std::string::npos) {
      CallAfterUnlessStopped(Duration{}, [this] { Crash(); });
      return;
    }
    const Duration service_time = model_.DrawServiceTime();
    // A search ends at its deadline. An operation that has started is completed.
    const bool times_out = job.is_search && job.deadline - owner_.loop_.Now() < service_time;
    CallAfterUnlessStopped(times_out ? job.deadline - owner_.loop_.Now() : service_time,
                           [this, id, times_out] { Finish(id, times_out); });
  }

  void Finish(JobId id, bool timed_out) {
    const bool was_cold = model_.cold();
    const auto dequeued = model_.Finish(owner_.loop_.Now(), id);
    if (timed_out) {
      SendResponse(id, ErrorResponse(500));
    } else {
      SendResponse(id, jobs_.at(id).is_search ? MakeSearchResponse(jobs_.at(id), was_cold)
                                              : MakeExecuteResponse(jobs_.at(id), was_cold));
    }
    for (const JobId expired : dequeued.expired) {
      SendResponse(expired, ErrorResponse(504));
    }
    for (const JobId started : dequeued.started) {
      Run(started);
    }
  }

  HttpResponse SuccessResponse(std::string body, bool cold) {
    HttpResponse response{.content_type = kProtobufType, .body = std::move(body)};
    if (cold) {
      response.headers.emplace_back("x-cold", "1");
    }
    if (model_.drain_phase() != DrainPhase::kNone) {
      response.headers.emplace_back("x-draining", "1");
    }
    return response;
  }

  HttpResponse MakeSearchResponse(const Job& job, bool cold) {
    proto::SearchResponse message;
    message.set_id(job.query.id());
    message.set_shard(job.query.shard());
    message.set_snapshot(job.query.snapshot());
    message.set_incarnation(model_.incarnation());
    message.set_cold(cold);
    message.set_draining(model_.drain_phase() != DrainPhase::kNone);
    for (const auto& row :
         ReferenceRows(spec_.service, job.query.snapshot(), job.query.shard(), job.query.text(), job.query.limit())) {
      *message.add_rows() = row;
    }
    return SuccessResponse(message.SerializeAsString(), cold);
  }

  HttpResponse MakeExecuteResponse(const Job& job, bool cold) {
    proto::ExecuteResponse message;
    message.set_id(job.operation.id());
    message.set_incarnation(model_.incarnation());
    message.set_body(ReferenceExecutionBody(spec_.service, job.operation.token(), job.operation.body()));
    return SuccessResponse(message.SerializeAsString(), cold);
  }

  /// Sends the response of a job after the network delay of the deployment.
  void SendResponse(JobId id, HttpResponse response) {
    auto node = jobs_.extract(id);
    if (node.empty()) {
      return;
    }
    HttpResponder respond = std::move(node.mapped().respond);
    if (spec_.response_delay == Duration{}) {
      respond(std::move(response));
      return;
    }
    CallAfterUnlessStopped(
        spec_.response_delay,
        [respond = std::move(respond), response = std::move(response)]() mutable { respond(std::move(response)); });
  }

  StandinSearchers& owner_;
  UpstreamSpec& spec_;  // element of the owner's deployment
  UpstreamModel model_;
  std::unique_ptr<HttpServer> server_;  // null while stopped
  std::uint64_t generation_ = 0;        // incremented at each stop; callbacks of earlier generations do nothing
  // Expires with this object, so that pending callbacks do nothing.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  JobId next_job_id_ = 1;
  std::map<JobId, Job> jobs_;  // requests without a response
};

ControlCommand ParseControlCommand(const std::string& yaml) {
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
    if (!kFaultNames.contains(command.fault)) {
      throw std::runtime_error("control command: unknown fault '" + command.fault + "'");
    }
    return command;
  } catch (const YAML::Exception& error) {
    throw std::runtime_error(std::string("control command: ") + error.what());
  }
}

StandinSearchers::StandinSearchers(EventLoop& loop, StandinSearchersOptions options)
    : loop_(loop), options_(std::move(options)), admin_server_(loop, HttpServerOptions{.port = options_.admin_port}) {
  std::uint64_t seed = options_.seed;
  for (auto& service : options_.deployment.services) {
    for (auto& spec : service.upstreams) {
      auto upstream = std::make_unique<Upstream>(*this, spec, StableHash(std::to_string(seed++)));
      upstreams_.emplace(spec.address, std::move(upstream));
    }
  }
  RegisterAdminHandlers();
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

UpstreamCounters StandinSearchers::TotalCounters() const {
  UpstreamCounters total;
  for (const auto& [address, upstream] : upstreams_) {
    total = SumCounters(total, upstream->model().counters());
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

std::size_t StandinSearchers::SetSnapshotPublished(const ControlCommand& command) {
  for (auto& service : options_.deployment.services) {
    for (auto& snapshot : service.snapshots) {
      if (service.name == command.service && snapshot.version == command.version) {
        snapshot.published = command.fault == "publish";
        if (options_.on_catalog_changed) {
          options_.on_catalog_changed(service);
        }
        return service.upstreams.size();
      }
    }
  }
  return 0;
}

std::size_t StandinSearchers::ApplyCommand(const ControlCommand& command) {
  if (command.fault == "publish" || command.fault == "retire") {
    const std::size_t selected_count = SetSnapshotPublished(command);
    if (selected_count == 0) {
      throw std::runtime_error("control command: service '" + command.service + "' has no snapshot " +
                               std::to_string(command.version));
    }
    return selected_count;
  }
  const auto matches = [](const std::string& selector, const std::string& value) {
    return selector.empty() || selector == value;
  };
  std::size_t selected_count = 0;
  for (auto& [address, upstream] : upstreams_) {
    UpstreamModel& model = upstream->model();
    if (!matches(command.upstream, address) || !matches(command.service, model.spec().service) ||
        !matches(command.failure_domain, model.spec().failure_domain)) {
      continue;
    }
    ++selected_count;
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
      model.SetSlowFactor(command.factor);
    } else if (command.fault == "straggler") {
      model.SetStraggler(command.probability, command.factor);
    } else {
      throw std::runtime_error("control command: unknown fault '" + command.fault + "'");
    }
  }
  if (selected_count == 0) {
    throw std::runtime_error("control command: no upstream matches");
  }
  return selected_count;
}

void StandinSearchers::RegisterAdminHandlers() {
  admin_server_.Handle("/control", [this](const HttpRequest& request, const HttpResponder& respond) {
    if (request.method != "PUT") {
      respond({.status = 405});
      return;
    }
    try {
      const std::size_t selected_count = ApplyCommand(ParseControlCommand(request.body));
      respond({.body = "{\"changed\":" + std::to_string(selected_count) + "}"});
    } catch (const std::runtime_error& error) {
      respond({.status = 400, .content_type = "text/plain", .body = std::string(error.what()) + "\n"});
    }
  });
  admin_server_.Handle(
      "/counters", [this](const HttpRequest&, const HttpResponder& respond) { respond({.body = CountersJson()}); });
  admin_server_.Handle("/executions", [this](const HttpRequest&, const HttpResponder& respond) {
    respond({.body = ExecutionsJson(executions_)});
  });
  admin_server_.Handle("/catalog", [this](const HttpRequest& request, const HttpResponder& respond) {
    const auto* service = options_.deployment.FindService(QueryParameter(request.query, "service"));
    if (service == nullptr) {
      respond({.status = 404});
      return;
    }
    respond({.content_type = "application/yaml", .body = CatalogYaml(*service)});
  });
}

}  // namespace pimentomoor
