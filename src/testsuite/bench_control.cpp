// Measures what the fleet protocol costs one daemon: a FleetCore on a simulated clock, whose peers exist only as
// prepared messages.
//
// The CPU time covers the daemon's own work: ticks, parsing and handling of received messages, and serialising of
// sent messages. The transport's cost per message is measured by MeasureTransport().
#include <algorithm>
#include <deque>
#include <iomanip>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "bench_parts.h"
#include "pimentomoor/fleet_core.h"

namespace pimentomoor {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(50);  // tick period of FleetTask
constexpr int kStepsPerHeartbeat = 10;
constexpr int kJoinSteps = 400;  // 20 s, in which the daemon joins and takes over its upstreams
constexpr int kMeasuredSteps = 100;
constexpr double kMeasuredSeconds = 5;
constexpr double kSearchersPerDaemon = 27.8;  // as in a cell of 32 daemons with 889 searchers
constexpr std::size_t kConfigObjects = 4;
constexpr std::size_t kCatalogBytesPerSearcher = 150;

struct CellSize {
  std::size_t member_count = 32;
  std::size_t searcher_count = 889;
  std::size_t catalog_count = 10;
};

// Cost of one daemon.
struct ControlCost {
  double cpu_us_per_s = 0;
  double sent_bytes_per_s = 0;
  double received_bytes_per_s = 0;
  double messages_per_s = 0;  // both directions
  double heap_bytes = 0;
};

// Platform without outages, whose answers arrive when Deliver() is called.
class InMemoryPlatform final : public PlatformClient {
 public:
  void Get(const std::string& key, PlatformCallback done) override {
    const auto found = objects.find(key);
    PlatformReply reply{.status = PlatformStatus::kNotFound};
    if (found != objects.end()) {
      reply = {.status = PlatformStatus::kOk, .object = found->second};
    }
    answers_.emplace_back([done = std::move(done), reply] { done(reply); });
  }
  void Put(const std::string& key, std::uint64_t expected_version, std::string value,
           PlatformCallback done) override {
    PlatformObject& object = objects[key];
    PlatformReply reply{.status = PlatformStatus::kConflict, .object = object};
    if (object.version == expected_version) {
      object = {.key = key, .version = expected_version + 1, .value = std::move(value)};
      reply = {.status = PlatformStatus::kOk, .object = object};
    }
    answers_.emplace_back([done = std::move(done), reply] { done(reply); });
  }
  void Watch(const std::string&, std::uint64_t, PlatformCallback) override {}
  void StopWatch(const std::string&) override {}
  void Deliver() {
    while (!answers_.empty()) {
      const auto answer = std::move(answers_.front());
      answers_.pop_front();
      answer();
    }
  }

  std::map<std::string, PlatformObject> objects;

 private:
  std::deque<std::function<void()>> answers_;
};

// A cell of which one daemon, the last member, is a FleetCore.
class SimulatedCell {
 public:
  explicit SimulatedCell(CellSize size) : size_(size) {
    for (std::size_t i = 0; i + 1 < size.member_count; ++i) {
      peers_.push_back(BenchDaemon(i));
      peer_by_address_[peers_.back().peer_address()] = i;
    }
    FillPlatform();
    BuildPlacements();
    const double heap_before = HeapBytes();
    FleetOptions options{.self = BenchDaemon(size.member_count - 1), .deployment = "d", .random_seed = 1};
    options.object_keys = object_keys_;
    core_ = std::make_unique<FleetCore>(
        clock_, options, [this](const std::string& to, const proto::Envelope& message) { return Send(to, message); },
        platform_, FleetHooks{});
    core_->SetOutstandingCheck([](const std::string&) { return false; });
    core_->SetObjectCallback([this](const PlatformObject& object) {
      if (object.key.starts_with("catalog/")) {
        core_->SetPlacements(placements_);
      }
    });
    core_->Start();
    Run(kJoinSteps);
    if (!core_->Joined() || !core_->HoldsLease() || !core_->MaySendTo(FirstOwnedUpstream())) {
      throw std::runtime_error("measure control: a cell of " + std::to_string(size.member_count) + " did not settle");
    }
    sent_messages_.clear();
    sent_messages_.shrink_to_fit();
    messages_to_daemon_.clear();
    messages_to_daemon_.shrink_to_fit();
    heap_bytes_ = HeapBytes() - heap_before;
  }

  ControlCost Measure() {
    cpu_us_ = sent_bytes_ = received_bytes_ = message_count_ = 0;
    Run(kMeasuredSteps);
    return {cpu_us_ / kMeasuredSeconds, sent_bytes_ / kMeasuredSeconds, received_bytes_ / kMeasuredSeconds,
            message_count_ / kMeasuredSeconds, heap_bytes_};
  }

 private:
  void FillPlatform() {
    for (const char* key : {"config/plans", "config/access", "config/outages", "catalog/index"}) {
      AddObject(key, 2'000);
    }
    for (std::size_t i = 0; i < size_.catalog_count; ++i) {
      AddObject("catalog/remates-" + std::to_string(100 + i),
                size_.searcher_count * kCatalogBytesPerSearcher / size_.catalog_count);
    }
    proto::View view;
    view.set_epoch(1);
    for (const proto::Daemon& peer : peers_) {
      *view.add_members() = peer;
      *view.add_previous_members() = peer;
    }
    platform_.objects["d/view"] = {.key = "d/view", .version = 1, .value = view.SerializeAsString()};
  }

  void AddObject(const std::string& key, std::size_t bytes) {
    object_keys_.push_back(key);
    peer_versions_.Raise(key, 17);
    platform_.objects["d/" + key] = {.key = "d/" + key, .version = 17, .value = std::string(bytes, 'x')};
  }

  void BuildPlacements() {
    for (std::size_t i = 0; i < size_.searcher_count; ++i) {
      placements_.push_back({.upstream = "10.21." + std::to_string(1'000 + i) + ".9:8080",
                             .failure_domain = "pampa-sur-" + std::to_string(i % 3),
                             .group = "remates-" + std::to_string(i / 2),
                             .replica = static_cast<std::uint32_t>(i % 2)});
    }
  }

  std::string FirstOwnedUpstream() const {
    for (const UpstreamPlacement& placement : placements_) {
      const proto::Daemon* owner = core_->OwnerOf(placement.upstream);
      if (owner != nullptr && owner->host() == core_->self().host()) {
        return placement.upstream;
      }
    }
    return "";
  }

  bool Send(const std::string& to, const proto::Envelope& message) {
    sent_messages_.emplace_back(to, message.SerializeAsString());
    sent_bytes_ += static_cast<double>(sent_messages_.back().second.size());
    ++message_count_;
    return true;
  }

  std::uint64_t EpochOnPlatform() const {
    proto::View view;
    view.ParseFromString(platform_.objects.at("d/view").value);
    return view.epoch();
  }

  // Fills the fields that heartbeats and their replies share.
  template <typename HeartbeatOrReply>
  void FillHeartbeat(HeartbeatOrReply& heartbeat, std::uint64_t sequence) const {
    heartbeat.set_sequence(sequence);
    heartbeat.set_epoch(reported_epoch_);
    heartbeat.mutable_held()->set_digest(peer_versions_.digest());
    heartbeat.mutable_held()->set_acknowledged_epoch(reported_epoch_);
  }

  // Builds the messages of the peers: a reply to each heartbeat and to each request for upstreams, and the peers' own
  // heartbeats, spread over the heartbeat interval.
  void SendAsPeers() {
    reported_epoch_ = EpochOnPlatform();
    for (const auto& [to, bytes] : sent_messages_) {
      proto::Envelope message;
      message.ParseFromString(bytes);
      const auto peer = peer_by_address_.find(to);
      if (peer != peer_by_address_.end() && message.has_heartbeat()) {
        proto::Envelope answer;
        *answer.mutable_from() = peers_[peer->second];
        answer.set_to_incarnation(message.from().incarnation());
        FillHeartbeat(*answer.mutable_heartbeat_reply(), message.heartbeat().sequence());
        messages_to_daemon_.push_back(answer.SerializeAsString());
      } else if (peer != peer_by_address_.end() && message.has_acquire()) {
        proto::Envelope answer;
        *answer.mutable_from() = peers_[peer->second];
        answer.set_to_incarnation(message.from().incarnation());
        answer.mutable_released()->set_epoch(message.acquire().epoch());
        for (const std::string& upstream : message.acquire().upstreams()) {
          answer.mutable_released()->add_upstreams()->set_upstream(upstream);
        }
        messages_to_daemon_.push_back(answer.SerializeAsString());
      }
    }
    sent_messages_.clear();
    for (std::size_t i = static_cast<std::size_t>(step_ % kStepsPerHeartbeat); i < peers_.size();
         i += kStepsPerHeartbeat) {
      proto::Envelope message;
      *message.mutable_from() = peers_[i];
      FillHeartbeat(*message.mutable_heartbeat(), static_cast<std::uint64_t>(step_ / kStepsPerHeartbeat) + 1);
      messages_to_daemon_.push_back(message.SerializeAsString());
    }
  }

  // Runs steps of the simulation; CPU time counts only while the daemon handles messages and its tick.
  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      ++step_;
      clock_.Advance(kStep);
      SendAsPeers();
      const double start = ProcessCpuMicroseconds();
      for (const std::string& bytes : messages_to_daemon_) {
        proto::Envelope message;
        message.ParseFromString(bytes);
        core_->HandleMessage(message);
        received_bytes_ += static_cast<double>(bytes.size());
        ++message_count_;
      }
      core_->Tick();
      cpu_us_ += ProcessCpuMicroseconds() - start;
      messages_to_daemon_.clear();
      platform_.Deliver();
    }
  }

  CellSize size_;
  ManualClock clock_;
  InMemoryPlatform platform_;
  std::vector<proto::Daemon> peers_;
  std::map<std::string, std::size_t> peer_by_address_;
  std::vector<std::string> object_keys_;
  VersionsWithDigest peer_versions_;  // versions of the objects that all peers hold
  std::vector<UpstreamPlacement> placements_;
  std::vector<std::pair<std::string, std::string>> sent_messages_;  // receiver and message
  std::vector<std::string> messages_to_daemon_;
  std::uint64_t reported_epoch_ = 1;  // in the messages of the peers
  int step_ = 0;
  double cpu_us_ = 0;  // since Measure() began, like the following three
  double sent_bytes_ = 0;
  double received_bytes_ = 0;
  double message_count_ = 0;
  double heap_bytes_ = 0;
  std::unique_ptr<FleetCore> core_;
};

ControlCost MeasureCell(const CellSize& size) {
  SimulatedCell cell(size);
  ControlCost cost;
  const double median = MedianOfRuns(3, [&] {
    cost = cell.Measure();
    return cost.cpu_us_per_s;
  });
  cost.cpu_us_per_s = median;
  return cost;
}

// The figures of a series of cells: `description` says what the cells have in common, `size_unit` what grows.
struct ControlFigures {
  ControlFigures(const std::string& description, const std::string& size_unit)
      : cpu{"control", "CPU us per second, " + description, size_unit, {}},
        sent{"control", "bytes sent per second, " + description, size_unit, {}},
        received{"control", "bytes received per second, " + description, size_unit, {}},
        messages{"control", "messages per second, both ways, " + description, size_unit, {}},
        heap{"control", "heap bytes, " + description, size_unit, {}} {}

  void Add(double size, const ControlCost& cost) {
    cpu.points.push_back({size, cost.cpu_us_per_s});
    sent.points.push_back({size, cost.sent_bytes_per_s});
    received.points.push_back({size, cost.received_bytes_per_s});
    messages.points.push_back({size, cost.messages_per_s});
    heap.points.push_back({size, cost.heap_bytes});
  }
  void AddTo(BenchReport& report) const {
    report.figures.insert(report.figures.end(), {cpu, sent, received, messages, heap});
  }

  BenchFigure cpu;
  BenchFigure sent;
  BenchFigure received;
  BenchFigure messages;
  BenchFigure heap;
};

std::string FormatFixed(double value, int digits) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << value;
  return text.str();
}

// CPU time to send and receive one message of `bytes`, when each message wakes the loop by itself. Comes from the
// first transport figure, and is 0 without one.
double TransportMicroseconds(const BenchReport& report, double bytes) {
  const auto found = std::find_if(report.figures.begin(), report.figures.end(),
                                  [](const BenchFigure& figure) { return figure.part == "transport"; });
  if (found == report.figures.end()) {
    return 0;
  }
  const LineFit fit = FitLine(found->points);
  return fit.intercept + fit.slope * bytes;
}

std::string CompareWithLimits(const CellSize& size, const ControlCost& cost, const BenchReport& report) {
  // The transport figure counts the sending and the receiving of a message. A daemon sends as many messages as it
  // receives, so it pays for half of its messages in full.
  const double transported_messages = cost.messages_per_s / 2;
  const double transport =
      transported_messages * TransportMicroseconds(report, cost.sent_bytes_per_s / transported_messages);
  return "control, cell of " + std::to_string(size.member_count) + ", " + std::to_string(size.searcher_count) +
         " searchers, 4 configuration and " + std::to_string(size.catalog_count) +
         " catalog objects: " + FormatFixed(cost.cpu_us_per_s / 1e4, 2) + "% of a core and " +
         FormatFixed(transport / 1e4, 2) + "% for the transport (limit 3.2%), " +
         FormatFixed(cost.heap_bytes / 1e6, 2) + " MB heap of FleetCore (limit 64 MB for the process), sent " +
         FormatFixed(cost.sent_bytes_per_s / 1e3, 1) + " KB/s and received " +
         FormatFixed(cost.received_bytes_per_s / 1e3, 1) + " KB/s (limit 16 KB/s), " +
         FormatFixed(cost.messages_per_s, 0) + " messages/s";
}

}  // namespace

void MeasureControl(BenchReport& report) {
  for (const std::size_t catalogs : {10U, 100U}) {
    ControlFigures figures("27.8 searchers per member, 4 + " + std::to_string(catalogs) + " objects", "member");
    for (const std::size_t members : {6U, 12U, 32U, 64U, 128U}) {
      const auto searchers = static_cast<std::size_t>(kSearchersPerDaemon * static_cast<double>(members));
      figures.Add(static_cast<double>(members), MeasureCell({members, searchers, catalogs}));
    }
    figures.AddTo(report);
  }
  ControlFigures objects("cell of 32, 889 searchers", "object");
  for (const std::size_t catalogs : {1U, 10U, 30U, 100U}) {
    const CellSize size{.catalog_count = catalogs};
    const ControlCost cost = MeasureCell(size);
    objects.Add(static_cast<double>(catalogs + kConfigObjects), cost);
    report.notes.push_back(CompareWithLimits(size, cost, report));
  }
  objects.AddTo(report);
}

}  // namespace pimentomoor
