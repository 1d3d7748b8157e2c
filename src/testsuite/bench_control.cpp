// Control cost of one daemon: a FleetCore on a simulated clock among peers that exist only as prepared messages.
//
// CPU time covers the daemon's own work: ticks, parsing and handling of received messages, serialising of sent ones.
// The transport's cost per message is measured separately.
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
constexpr int kSettleSteps = 400;  // 20 s: join and takeovers
constexpr int kMeasuredSteps = 100;
constexpr double kMeasuredSeconds = 5;
constexpr double kSearchersPerDaemon = 27.8;
constexpr std::size_t kConfigObjects = 4;
constexpr std::size_t kCatalogBytesPerSearcher = 150;

struct CellShape {
  std::size_t members = 32;
  std::size_t searchers = 889;
  std::size_t catalogs = 10;
};

struct ControlCost {
  double cpu_us = 0;  // per second
  double sent = 0;    // bytes per second
  double received = 0;
  double messages = 0;  // per second, both directions
  double heap = 0;
};

// Objects without outages. Answers come when Deliver() is called.
class MemoryPlatform final : public PlatformClient {
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

class Cell {
 public:
  explicit Cell(CellShape shape) : shape_(shape) {
    for (std::size_t i = 0; i + 1 < shape.members; ++i) {
      peers_.push_back(BenchDaemon(i));
      by_address_[peers_.back().peer_address()] = i;
    }
    FillPlatform();
    BuildPlacements();
    const double before = HeapBytes();
    FleetOptions options{.self = BenchDaemon(shape.members - 1), .deployment = "d", .random_seed = 1};
    options.object_keys = keys_;
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
    Run(kSettleSteps);
    if (!core_->Joined() || !core_->HoldsLease() || !core_->MaySendTo(FirstOwned())) {
      throw std::runtime_error("measure control: a cell of " + std::to_string(shape.members) + " did not settle");
    }
    outgoing_.clear();
    outgoing_.shrink_to_fit();
    incoming_.clear();
    incoming_.shrink_to_fit();
    heap_ = HeapBytes() - before;
  }

  ControlCost Measure() {
    cpu_us_ = sent_ = received_ = messages_ = 0;
    Run(kMeasuredSteps);
    return {cpu_us_ / kMeasuredSeconds, sent_ / kMeasuredSeconds, received_ / kMeasuredSeconds,
            messages_ / kMeasuredSeconds, heap_};
  }

 private:
  void FillPlatform() {
    for (const char* key : {"config/plans", "config/access", "config/outages", "catalog/index"}) {
      AddObject(key, 2'000);
    }
    for (std::size_t i = 0; i < shape_.catalogs; ++i) {
      AddObject("catalog/remates-" + std::to_string(100 + i),
                shape_.searchers * kCatalogBytesPerSearcher / shape_.catalogs);
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
    keys_.push_back(key);
    versions_.Raise(key, 17);
    platform_.objects["d/" + key] = {.key = "d/" + key, .version = 17, .value = std::string(bytes, 'x')};
  }

  void BuildPlacements() {
    for (std::size_t i = 0; i < shape_.searchers; ++i) {
      placements_.push_back({.upstream = "10.21." + std::to_string(1'000 + i) + ".9:8080",
                             .failure_domain = "pampa-sur-" + std::to_string(i % 3),
                             .group = "remates-" + std::to_string(i / 2),
                             .replica = static_cast<std::uint32_t>(i % 2)});
    }
  }

  std::string FirstOwned() const {
    for (const UpstreamPlacement& placement : placements_) {
      const proto::Daemon* owner = core_->OwnerOf(placement.upstream);
      if (owner != nullptr && owner->host() == core_->self().host()) {
        return placement.upstream;
      }
    }
    return "";
  }

  bool Send(const std::string& to, const proto::Envelope& message) {
    outgoing_.emplace_back(to, message.SerializeAsString());
    sent_ += static_cast<double>(outgoing_.back().second.size());
    ++messages_;
    return true;
  }

  std::uint64_t Epoch() const {
    proto::View view;
    view.ParseFromString(platform_.objects.at("d/view").value);
    return view.epoch();
  }

  template <typename Report>
  void FillReport(Report& report, std::uint64_t sequence) const {
    report.set_sequence(sequence);
    report.set_epoch(epoch_);
    report.mutable_held()->set_digest(versions_.digest());
    report.mutable_held()->set_acknowledged_epoch(epoch_);
  }

  // What the peers send: a reply to each heartbeat, and their own heartbeats spread over the period.
  void PeersAct() {
    epoch_ = Epoch();
    for (const auto& [to, bytes] : outgoing_) {
      proto::Envelope message;
      message.ParseFromString(bytes);
      const auto peer = by_address_.find(to);
      if (peer != by_address_.end() && message.has_heartbeat()) {
        proto::Envelope answer;
        *answer.mutable_from() = peers_[peer->second];
        answer.set_to_incarnation(message.from().incarnation());
        FillReport(*answer.mutable_heartbeat_reply(), message.heartbeat().sequence());
        incoming_.push_back(answer.SerializeAsString());
      } else if (peer != by_address_.end() && message.has_acquire()) {
        proto::Envelope answer;
        *answer.mutable_from() = peers_[peer->second];
        answer.set_to_incarnation(message.from().incarnation());
        answer.mutable_released()->set_epoch(message.acquire().epoch());
        for (const std::string& upstream : message.acquire().upstreams()) {
          answer.mutable_released()->add_upstreams()->set_upstream(upstream);
        }
        incoming_.push_back(answer.SerializeAsString());
      }
    }
    outgoing_.clear();
    for (std::size_t i = static_cast<std::size_t>(step_ % kStepsPerHeartbeat); i < peers_.size();
         i += kStepsPerHeartbeat) {
      proto::Envelope message;
      *message.mutable_from() = peers_[i];
      FillReport(*message.mutable_heartbeat(), static_cast<std::uint64_t>(step_ / kStepsPerHeartbeat) + 1);
      incoming_.push_back(message.SerializeAsString());
    }
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      ++step_;
      clock_.Advance(kStep);
      PeersAct();
      const double start = CpuMicroseconds();
      for (const std::string& bytes : incoming_) {
        proto::Envelope message;
        message.ParseFromString(bytes);
        core_->HandleMessage(message);
        received_ += static_cast<double>(bytes.size());
        ++messages_;
      }
      core_->Tick();
      cpu_us_ += CpuMicroseconds() - start;
      incoming_.clear();
      platform_.Deliver();
    }
  }

  CellShape shape_;
  ManualClock clock_;
  MemoryPlatform platform_;
  std::vector<proto::Daemon> peers_;
  std::map<std::string, std::size_t> by_address_;
  std::vector<std::string> keys_;
  VersionsWithDigest versions_;  // that all peers hold
  std::vector<UpstreamPlacement> placements_;
  std::vector<std::pair<std::string, std::string>> outgoing_;  // address and message
  std::vector<std::string> incoming_;
  std::uint64_t epoch_ = 1;
  int step_ = 0;
  double cpu_us_ = 0;
  double sent_ = 0;
  double received_ = 0;
  double messages_ = 0;
  double heap_ = 0;
  std::unique_ptr<FleetCore> core_;
};

ControlCost MeasureCell(const CellShape& shape) {
  Cell cell(shape);
  ControlCost cost;
  const double median = MedianOf(3, [&] {
    cost = cell.Measure();
    return cost.cpu_us;
  });
  cost.cpu_us = median;
  return cost;
}

struct ControlFigures {
  ControlFigures(const std::string& shape, const std::string& sizes)
      : cpu{"control", "CPU us per second, " + shape, sizes, {}},
        sent{"control", "bytes sent per second, " + shape, sizes, {}},
        received{"control", "bytes received per second, " + shape, sizes, {}},
        messages{"control", "messages per second, both ways, " + shape, sizes, {}},
        heap{"control", "heap bytes, " + shape, sizes, {}} {}

  void Add(double size, const ControlCost& cost) {
    cpu.points.push_back({size, cost.cpu_us});
    sent.points.push_back({size, cost.sent});
    received.points.push_back({size, cost.received});
    messages.points.push_back({size, cost.messages});
    heap.points.push_back({size, cost.heap});
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

std::string Fixed(double value, int digits) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << value;
  return text.str();
}

// CPU time per message of `bytes`, sent by one daemon and received by another, when each wakes the loop by itself.
double TransportMicroseconds(const BenchReport& report, double bytes) {
  const auto found = std::find_if(report.figures.begin(), report.figures.end(),
                                  [](const BenchFigure& figure) { return figure.part == "transport"; });
  if (found == report.figures.end()) {
    return 0;
  }
  const LineFit fit = FitLine(found->points);
  return fit.intercept + fit.slope * bytes;
}

std::string CompareWithLimits(const CellShape& shape, const ControlCost& cost, const BenchReport& report) {
  // A daemon sends and receives equally many messages, so half of them are whole trips.
  const double trips = cost.messages / 2;
  const double transport = trips * TransportMicroseconds(report, cost.sent / trips);
  return "control, cell of " + std::to_string(shape.members) + ", " + std::to_string(shape.searchers) +
         " searchers, 4 configuration and " + std::to_string(shape.catalogs) +
         " catalog objects: " + Fixed(cost.cpu_us / 1e4, 2) + "% of a core and " + Fixed(transport / 1e4, 2) +
         "% for the transport (limit 3.2%), " + Fixed(cost.heap / 1e6, 2) +
         " MB heap of FleetCore (limit 64 MB for the process), sent " + Fixed(cost.sent / 1e3, 1) +
         " KB/s and received " + Fixed(cost.received / 1e3, 1) + " KB/s (limit 16 KB/s), " + Fixed(cost.messages, 0) +
         " messages/s";
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
    const CellShape shape{.catalogs = catalogs};
    const ControlCost cost = MeasureCell(shape);
    objects.Add(static_cast<double>(catalogs + kConfigObjects), cost);
    report.notes.push_back(CompareWithLimits(shape, cost, report));
  }
  objects.AddTo(report);
}

}  // namespace pimentomoor
