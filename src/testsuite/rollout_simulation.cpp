// Implementation of the simulated roll-out.
#include "rollout_simulation.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

namespace pimentomoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kTickInterval = milliseconds(100);
constexpr Duration kWork = milliseconds(10);
constexpr Duration kReportPeriod = milliseconds(400);
constexpr Duration kSilence = milliseconds(1'600);  // after which a daemon counts as gone
constexpr double kUsualBadShare = 0.04;             // pauses of upstreams of any version
constexpr double kUnsafeShare = 0.2;                // of the requests may not be repeated
constexpr Duration kLoadTime = milliseconds(400);   // over which the load of an upstream is measured
constexpr double kLoadForFault = 0.8;               // load that shows a fault, as a part of that after completion
constexpr double kFailingUpstreamShare = 0.5;

struct Event {
  TimePoint at;
  std::uint64_t order = 0;
  std::function<void()> run;
};
struct Later {
  bool operator()(const Event& left, const Event& right) const {
    return std::tie(left.at, left.order) > std::tie(right.at, right.order);
  }
};

struct Daemon {
  std::uint64_t incarnation = 0;
  std::optional<RolloutProgress> progress;  // unset until it knows the order
  bool running = true;
  TimePoint next_tick_at{};
  TimePoint frozen_until{};
  TimePoint cut_until{};
  bool refused = false;  // the store refuses its writes
  TimePoint reported_at{};
  TimePoint next_write_at{};
  bool read_back = false;
  std::uint64_t known_revision = 0;
  RolloutState stored_state = RolloutState::kNone;
  TimePoint stored_state_at{};
  std::vector<TimePoint> last_heard;  // by daemon
};

class Simulation {
 public:
  explicit Simulation(const RolloutScenario& scenario) : scenario_(scenario), random_(scenario.seed) {
    now_ = TimePoint() + std::chrono::hours(1);
    ordered_at_ = now_;
    limit_ = now_ + scenario.duration;
    daemons_.resize(scenario.daemons);
    for (auto& daemon : daemons_) {
      daemon.incarnation = ++last_incarnation_;
      daemon.last_heard.assign(scenario.daemons, now_);
    }
    recent_.resize(scenario.upstreams);
    usual_load_ = scenario.requests_per_s / static_cast<double>(scenario.upstreams) *
                  std::chrono::duration<double>(kLoadTime).count();
    turns_bad_at_ = now_ + Part(scenario.duration, Uniform(0.2, 0.5));
    ScheduleFault();
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      After(Ms(20, 300), [this, i] { Learn(i, true); });
    }
  }

  RolloutResult Run() {
    // Faults end well before this time, and then the order has to be decided.
    const TimePoint end = ordered_at_ + scenario_.duration * 2 + seconds(8);
    while (now_ < end) {
      now_ += kStep;
      while (!events_.empty() && events_.top().at <= now_) {
        const auto run = events_.top().run;
        events_.pop();
        run();
      }
      SendRequests();
      for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (IsActive(i) && now_ >= daemons_[i].next_tick_at) {
          daemons_[i].next_tick_at = now_ + kTickInterval;
          Tick(i);
        }
      }
      if (IsFinal(state_) && now_ >= std::max(limit_, ordered_at_ + result_.decided_after) + seconds(2)) {
        break;
      }
    }
    result_.state = state_;
    return result_;
  }

 private:
  double Uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(random_); }
  bool Chance(double share) { return Uniform(0, 1) < share; }
  Duration Ms(int low, int high) { return milliseconds(std::uniform_int_distribution<int>(low, high)(random_)); }
  static Duration Part(Duration whole, double part) {
    return Duration(static_cast<Duration::rep>(static_cast<double>(whole.count()) * part));
  }
  void After(Duration delay, std::function<void()> run) {
    events_.push({.at = now_ + delay, .order = ++event_count_, .run = std::move(run)});
  }
  [[nodiscard]] bool IsActive(std::size_t i) const { return daemons_[i].running && now_ >= daemons_[i].frozen_until; }
  [[nodiscard]] bool IsCut(std::size_t i) const { return now_ < daemons_[i].cut_until; }

  void ScheduleFault() {
    const Duration decision = DecisionAge(scenario_.duration);
    const Duration middle = Part(decision, Uniform(0.2, 0.8));
    switch (scenario_.fault) {
      case FleetFault::kLeaderEnds:
        After(decision + Ms(-300, 900), [this] { End(0); });
        After(decision + seconds(3), [this] { Start(0); });
        break;
      case FleetFault::kLeaderFreezes:
        After(decision + Ms(-300, 900), [this] { daemons_[0].frozen_until = now_ + seconds(5); });
        break;
      case FleetFault::kDaemonCut:
        After(middle, [this] { daemons_[scenario_.daemons - 1].cut_until = now_ + seconds(4); });
        break;
      case FleetFault::kAllRestart:
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
          After(middle, [this, i] { End(i); });
          After(middle + Ms(500, 900), [this, i] { Start(i); });
        }
        break;
      case FleetFault::kStoreAway:
        After(middle, [this] { store_away_until_ = now_ + seconds(5); });
        break;
      case FleetFault::kStoreRefusesLeader:
        daemons_[0].refused = true;
        break;
      case FleetFault::kNewUpstreamsOut:
        After(middle, [this] { targets_out_until_ = now_ + seconds(3); });
        break;
      default:
        break;
    }
  }

  void End(std::size_t i) {
    daemons_[i].running = false;
    daemons_[i].progress.reset();
  }
  void Start(std::size_t i) {
    Daemon& daemon = daemons_[i];
    daemon.running = true;
    daemon.incarnation = ++last_incarnation_;
    daemon.known_revision = 0;
    daemon.last_heard.assign(daemons_.size(), now_);
    After(Ms(300, 700), [this, i] { Learn(i, false); });
  }

  void Learn(std::size_t i, bool seen_to_appear) {
    Daemon& daemon = daemons_[i];
    if (!daemon.running || daemon.progress) {
      return;
    }
    RolloutOrder order{.name = "s", .service = "s", .target_version = "v2", .duration = scenario_.duration};
    daemon.progress =
        BeginRollout(std::move(order), daemon.incarnation,
                     settings_.canary_slack / static_cast<double>(scenario_.daemons), seen_to_appear, now_);
    ReadStore(daemon);
  }

  void ReadStore(Daemon& daemon) {
    daemon.known_revision = revision_;
    daemon.stored_state = state_;
    daemon.stored_state_at = now_;
    daemon.read_back = false;
    SetRolloutState(*daemon.progress, state_);
  }

  // Upstreams.

  [[nodiscard]] bool IsBadNow(std::size_t upstream, std::size_t route) {
    auto& recent = recent_[upstream];
    while (!recent.empty() && now_ - recent.front() > kLoadTime) {
      recent.pop_front();
    }
    switch (scenario_.kind) {
      case VersionKind::kGood:
        return false;
      case VersionKind::kLate:
        return now_ >= turns_bad_at_;
      case VersionKind::kUnderLoad:
        return static_cast<double>(recent.size()) >= std::max(2.0, kLoadForFault * usual_load_);
      case VersionKind::kOneRoute:
        return route == 1;
      default:
        return true;
    }
  }

  // Whether the answer is a failure or several times slower.
  bool ServeAtTarget(std::size_t upstream, std::size_t route) {
    result_.target_requests += now_ <= limit_ ? 1 : 0;
    result_.late_requests += scenario_.kind != VersionKind::kGood && now_ > late_from_ ? 1 : 0;
    recent_[upstream].push_back(now_);
    const bool of_version = IsBadNow(upstream, route) && Chance(scenario_.bad_share);
    const bool of_upstream =
        scenario_.fault == FleetFault::kUpstreamFails && upstream == 0 && Chance(kFailingUpstreamShare);
    if (of_version && ++result_.bad_answers == 50) {
      late_from_ = now_ + settings_.rollback_time;
    }
    return of_version || of_upstream || Chance(kUsualBadShare);
  }

  void SendRequests() {
    std::poisson_distribution<int> count(scenario_.requests_per_s * std::chrono::duration<double>(kStep).count());
    for (int n = count(random_); n > 0; --n) {
      const auto i = std::uniform_int_distribution<std::size_t>(0, daemons_.size() - 1)(random_);
      if (IsActive(i) && daemons_[i].progress) {
        SendRequest(i);
      }
    }
  }

  void SendRequest(std::size_t i) {
    Daemon& daemon = daemons_[i];
    RolloutProgress& progress = *daemon.progress;
    const std::size_t route = Chance(0.4) ? 1 : 0;
    const bool idempotent = !Chance(kUnsafeShare);
    RolloutChoice choice = scenario_.naive
                               ? ChooseRolloutVersionNaive(progress, now_)
                               : ChooseRolloutVersion(progress, settings_, idempotent, scenario_.upstreams, now_);
    if (choice != RolloutChoice::kOthers && now_ < targets_out_until_) {
      choice = RolloutChoice::kOthers;
    }
    CountRolloutRequest(progress, now_);
    result_.requests += now_ <= limit_ ? 1 : 0;
    const bool to_target = choice != RolloutChoice::kOthers || state_ == RolloutState::kComplete;
    std::size_t upstream = std::uniform_int_distribution<std::size_t>(0, scenario_.upstreams - 1)(random_);
    if (choice == RolloutChoice::kCanary && !scenario_.naive) {
      upstream = static_cast<std::size_t>(CurrentPulse(progress, now_)) % scenario_.upstreams;
    }
    const bool bad = to_target ? ServeAtTarget(upstream, route) : Chance(kUsualBadShare);
    progress.sends += to_target ? 1 : 0;
    const bool unsafe_at_others = !to_target && !idempotent;
    progress.unsafe_at_others += unsafe_at_others ? 1 : 0;
    unsafe_at_old_ += unsafe_at_others ? 1 : 0;
    const std::uint64_t incarnation = daemon.incarnation;
    const RolloutCell cell{.upstream = static_cast<std::uint16_t>(to_target ? upstream + 1 : 0),
                           .route = static_cast<std::uint16_t>(route + 1)};
    After(bad ? kWork * 6 : kWork, [this, i, incarnation, to_target, cell, bad, unsafe_at_others] {
      unsafe_at_old_ -= unsafe_at_others ? 1 : 0;
      Daemon& receiver = daemons_[i];
      if (!receiver.running || receiver.incarnation != incarnation || !receiver.progress) {
        return;
      }
      receiver.progress->unsafe_at_others -= unsafe_at_others ? 1 : 0;
      CountRolloutAnswer(*receiver.progress, to_target, cell, bad);
    });
  }

  // Daemons.

  void Tick(std::size_t i) {
    Daemon& daemon = daemons_[i];
    if (!daemon.progress) {
      return;
    }
    RolloutProgress& progress = *daemon.progress;
    const bool was_bad = progress.bad;
    EvaluateRollout(progress, scenario_.upstreams, evidence_, now_);
    if (scenario_.naive) {
      progress.bad = was_bad;
      if (IsBadVersionNaive(progress.own.target)) {
        MarkBad(progress, "naive", now_);
      }
    }
    if (progress.bad && !was_bad) {
      result_.reason = progress.reason;
    }
    const bool news = progress.bad != was_bad;
    if (news || now_ - daemon.reported_at >= kReportPeriod) {
      Report(i);
    }
    Decide(i);
  }

  void Report(std::size_t i) {
    Daemon& daemon = daemons_[i];
    daemon.reported_at = now_;
    for (std::size_t to = 0; to < daemons_.size(); ++to) {
      if (to == i || IsCut(i) || IsCut(to) || (scenario_.fault == FleetFault::kLossyReports && Chance(0.33))) {
        continue;
      }
      std::vector<RolloutReport> reports = {daemon.progress->own};
      for (const auto& [reporter, peer] : daemon.progress->peers) {
        reports.push_back(peer.report);
      }
      const Duration delay = scenario_.fault == FleetFault::kLossyReports ? Ms(1, 1'200) : Ms(1, 500);
      const std::uint64_t receiver = daemons_[to].incarnation;
      After(delay, [this, i, to, receiver, reports = std::move(reports)] { Receive(i, to, receiver, reports); });
    }
  }

  void Receive(std::size_t from, std::size_t to, std::uint64_t receiver, const std::vector<RolloutReport>& reports) {
    Daemon& daemon = daemons_[to];
    if (!daemon.running || daemon.incarnation != receiver || IsCut(to)) {
      return;
    }
    daemon.last_heard[from] = now_;
    if (daemon.progress) {
      for (const auto& report : reports) {
        MergeRolloutReport(*daemon.progress, report, now_);
      }
    }
  }

  [[nodiscard]] bool SeesAlive(const Daemon& daemon, std::size_t other) const {
    return now_ - daemon.last_heard[other] < kSilence;
  }

  void Decide(std::size_t i) {
    Daemon& daemon = daemons_[i];
    RolloutProgress& progress = *daemon.progress;
    RolloutSituation situation{.store_answers = now_ >= store_away_until_ && !IsCut(i),
                               .stored_state = daemon.stored_state,
                               .stored_state_age = now_ - daemon.stored_state_at,
                               .usable_targets = now_ < targets_out_until_ ? 0 : scenario_.upstreams,
                               .usable_others = scenario_.upstreams};
    std::vector<std::uint64_t> needed;
    for (std::size_t other = 0; other < daemons_.size(); ++other) {
      if (other != i && SeesAlive(daemon, other)) {
        situation.rank += other < i ? 1 : 0;
        needed.push_back(daemons_[other].incarnation);
      }
    }
    const RolloutReportCheck check = CheckRolloutReports(progress, needed, milliseconds(1'500), now_);
    situation.reports_recent = check.recent;
    situation.settled = check.settled;
    const RolloutAction action =
        scenario_.naive ? DecideRolloutNaive(progress, situation, now_) : DecideRollout(progress, situation, now_);
    if (action == RolloutAction::kNextSwitchStep) {
      SetSwitchStep(progress, progress.switch_step + 1, now_);
      Report(i);
    } else if (action != RolloutAction::kNone && now_ >= daemon.next_write_at) {
      Write(i, action == RolloutAction::kWriteRunning    ? RolloutState::kRunning
               : action == RolloutAction::kWriteComplete ? RolloutState::kComplete
                                                         : RolloutState::kRolledBack);
    }
  }

  // The store.

  void Write(std::size_t i, RolloutState state) {
    Daemon& daemon = daemons_[i];
    daemon.next_write_at = now_ + milliseconds(500);
    const std::uint64_t revision = daemon.known_revision;
    const std::uint64_t incarnation = daemon.incarnation;
    if (now_ < store_away_until_ || IsCut(i) || daemon.refused) {
      return;  // nothing was done
    }
    if (daemon.read_back) {
      ReadStore(daemon);
      return;
    }
    const bool lost = scenario_.fault == FleetFault::kAnswersLost && Chance(0.5);
    const Duration delay = lost && Chance(0.5) ? Ms(1'000, 6'000) : Ms(4, 12);
    daemon.read_back = lost;
    After(delay, [this, i, incarnation, revision, state, lost] {
      if (revision == revision_) {
        ++revision_;
        ChangeState(state);
      }
      Daemon& writer = daemons_[i];
      if (!lost && writer.running && writer.incarnation == incarnation && writer.progress) {
        ReadStore(writer);  // both answers hold the object
        Report(i);
      }
    });
  }

  void ChangeState(RolloutState state) {
    state_ = state;
    if (state == RolloutState::kComplete) {
      result_.cut_unsafe = unsafe_at_old_;
    }
    if (IsFinal(state)) {
      result_.decided_after = now_ - ordered_at_;
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      After(Ms(20, 400), [this, i] { Watch(i); });
    }
  }

  void Watch(std::size_t i) {
    if (now_ < store_away_until_ || IsCut(i) || !IsActive(i)) {
      After(milliseconds(300), [this, i] { Watch(i); });
    } else if (daemons_[i].progress) {
      ReadStore(daemons_[i]);
    }
  }

  const RolloutScenario scenario_;
  const RolloutSettings settings_;
  const RolloutEvidenceSettings evidence_;
  std::mt19937 random_;
  TimePoint now_;
  TimePoint ordered_at_;
  TimePoint limit_;
  TimePoint turns_bad_at_;
  TimePoint late_from_ = TimePoint::max();
  TimePoint store_away_until_{};
  TimePoint targets_out_until_{};
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::uint64_t event_count_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::vector<Daemon> daemons_;
  std::vector<std::deque<TimePoint>> recent_;  // requests of each new upstream in the last kLoadTime
  double usual_load_ = 0;                      // requests of an upstream in kLoadTime after completion
  std::uint64_t revision_ = 1;
  RolloutState state_ = RolloutState::kNone;
  std::uint32_t unsafe_at_old_ = 0;
  RolloutResult result_;
};

}  // namespace

RolloutResult SimulateRollout(const RolloutScenario& scenario) { return Simulation(scenario).Run(); }

}  // namespace pimentomoor
