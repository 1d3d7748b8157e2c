// Tests of the admission decision. A small model of callers, one daemon and the upstreams of four shards plays loads
// of 1 to 3 times the room and counts what callers get.
#include "pimentomoor/admission.h"

#include <algorithm>
#include <array>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <vector>

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kShards = 4;
constexpr std::size_t kNeededParts = 3;
constexpr std::size_t kReplicas = 2;
constexpr std::size_t kSlots = 2;
constexpr Duration kLeastWork = milliseconds(20);
constexpr Duration kUsualWork = milliseconds(40);
constexpr double kRoomPerS = kReplicas * kSlots / 0.04;  // parts of each shard
constexpr Duration kObjective = milliseconds(200);
constexpr Duration kTimeLimit = milliseconds(1'200);
constexpr Duration kLoadTime = std::chrono::seconds(10);
constexpr std::size_t kCustomers = 5;
constexpr double kLargeDemand = 10;  // of the first customer; the others have 1
constexpr Duration kRepeatGap = milliseconds(5);
constexpr TimePoint kStart{std::chrono::hours(1)};

struct ModelOptions {
  double load = 1;          // offered work by the room
  double repeat_share = 0;  // share of the callers that repeat at once, and thrice as often
  bool naive = false;
  Duration pause{};  // of all upstreams, each second
};

struct ModelCaller {
  std::uint64_t id = 0;
  std::uint64_t customer = 0;
  unsigned priority = 1;
  bool gathers = false;
  bool repeats = false;
  TimePoint first_at{};
  unsigned attempts_left = 4;
  bool served = false;
  bool within_objective = false;
  bool refused = false;
};

struct Tally {
  double callers = 0, served = 0, within_objective = 0, refused = 0;
  void Add(const ModelCaller& caller) {
    ++callers;
    served += caller.served ? 1 : 0;
    within_objective += caller.within_objective ? 1 : 0;
    refused += caller.refused ? 1 : 0;
  }
  [[nodiscard]] double ServedShare() const { return served / std::max(callers, 1.0); }
  [[nodiscard]] double InTimeShare() const { return within_objective / std::max(callers, 1.0); }
};

class Model {
 public:
  explicit Model(ModelOptions options) : options_(options) {
    const double per_s = options_.load * kRoomPerS;  // half of the work is gathered
    for (std::size_t kind = 0; kind < 2; ++kind) {
      const double rate = kind == 0 ? per_s / 2 : per_s / 2 * kShards;
      for (double at = NextGap(rate); at < std::chrono::duration<double>(kLoadTime).count(); at += NextGap(rate)) {
        AddCaller(kind == 0, kStart + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)));
      }
    }
    for (TimePoint at = kStart; options_.pause > Duration::zero() && at < kStart + kLoadTime;
         at += milliseconds(1'000)) {
      At(at, [this] { paused_until_ = now_ + options_.pause; });
      At(at + options_.pause, [this] { DispatchAll(); });
    }
    while (!events_.empty()) {
      now_ = events_.begin()->first;
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
  }

  [[nodiscard]] Tally Count(const std::function<bool(const ModelCaller&)>& predicate) const {
    Tally tally;
    for (const auto& caller : callers_) {
      if (predicate(caller)) {
        tally.Add(caller);
      }
    }
    return tally;
  }
  [[nodiscard]] Tally CountAll() const {
    return Count([](const ModelCaller&) { return true; });
  }

 private:
  struct Attempt {
    ModelCaller* caller;
    std::size_t parts, needed;
    std::size_t done = 0, lost = 0;
    bool sent = false, ended = false;
  };
  struct Copy {
    std::shared_ptr<Attempt> attempt;
    QueuePlace place;
  };
  using CopyPtr = std::shared_ptr<Copy>;
  struct Upstream {
    std::vector<CopyPtr> waiting;
    std::size_t running = 0;
    QueueHistory history;
    ServedTurns served;
  };

  static const QueuePlace& PlaceOf(const CopyPtr& copy) { return copy->place; }
  double NextGap(double rate) { return std::exponential_distribution<double>(rate)(random_); }
  void At(TimePoint time, std::function<void()> action) { events_.emplace(time, std::move(action)); }

  void AddCaller(bool gathers, TimePoint at) {
    std::uniform_real_distribution<double> uniform(0, 1);
    const double pick = uniform(random_) * (kLargeDemand + kCustomers - 1);
    callers_.push_back({.id = callers_.size() + 1,
                        .customer = pick < kLargeDemand ? 1 : 2 + static_cast<std::uint64_t>(pick - kLargeDemand),
                        .priority = uniform(random_) < 0.2 ? 0U : 1U,
                        .gathers = gathers,
                        .repeats = uniform(random_) < options_.repeat_share,
                        .first_at = at});
    ModelCaller* caller = &callers_.back();
    caller->attempts_left *= caller->repeats ? 3 : 1;
    At(at, [this, caller] { Offer(*caller); });
  }

  void Offer(ModelCaller& caller) {
    const Duration time_left = caller.first_at + kTimeLimit - now_;
    if (caller.attempts_left == 0 || time_left <= Duration::zero()) {
      return;
    }
    --caller.attempts_left;
    auto attempt = std::make_shared<Attempt>(Attempt{
        .caller = &caller, .parts = caller.gathers ? kShards : 1, .needed = caller.gathers ? kNeededParts : 1});
    AdmissionRequest request{.time_left = time_left,
                             .objective_left = kObjective,
                             .objective = kObjective,
                             .least_work = kLeastWork,
                             .usual_work = kUsualWork,
                             .needed_parts = attempt->needed,
                             .early_by = EarlyBy(told_, caller.id, now_)};
    QueuePlace place{.deadline = now_ + time_left};
    if (!options_.naive) {
      place.priority = caller.priority;
      place.customer = caller.customer;
      place.step = 1 / CountDemand(demand_, caller.customer, now_);
    }
    const std::size_t first_shard = caller.id % kShards;
    std::vector<PartRoom> rooms;
    for (std::size_t i = 0; i < attempt->parts; ++i) {
      std::vector<UpstreamRoom> upstreams;
      for (const auto& upstream : shards_[(first_shard + i) % kShards]) {
        upstreams.push_back(RoomFor(upstream, place));
      }
      rooms.push_back(RoomOfPart(upstreams));
    }
    const AdmissionDecision decision =
        options_.naive ? DecideAdmissionNaive(request, rooms) : DecideAdmission(request, rooms);
    if (decision.refusal != AdmissionRefusal::kNone) {
      Refuse(caller, decision, time_left);
      return;
    }
    At(now_ + time_left, [this, attempt] { Fail(*attempt); });
    for (std::size_t i = 0; i < attempt->parts && !attempt->ended; ++i) {
      Enqueue(shards_[(first_shard + i) % kShards], std::make_shared<Copy>(Copy{.attempt = attempt, .place = place}));
    }
  }

  void Refuse(ModelCaller& caller, const AdmissionDecision& decision, Duration time_left) {
    caller.refused = true;
    Duration told = decision.room_in;
    if (decision.refusal == AdmissionRefusal::kNoRoom) {
      told = BookReturn(returns_[caller.gathers], decision, time_left, now_);
      CHECK(told <= time_left / 3 + milliseconds(1));
      RememberReturn(told_, caller.id, now_ + told, now_);
    }
    At(now_ + (caller.repeats ? kRepeatGap : told), [this, &caller] { Offer(caller); });
  }

  UpstreamRoom RoomFor(const Upstream& upstream, QueuePlace place) const {
    place.turn = NextTurn(upstream.served, upstream.waiting, PlaceOf, place);
    return {.standing = IsStanding(upstream.history, now_),
            .departures_per_s = DepartureRate(upstream.history, now_),
            .ahead = static_cast<std::size_t>(std::ranges::count_if(
                upstream.waiting, [&](const CopyPtr& copy) { return !GoesBefore(place, copy->place); }))};
  }

  void Enqueue(std::vector<Upstream>& shard, const CopyPtr& copy) {
    Upstream& upstream = *std::ranges::min_element(
        shard, {}, [](const Upstream& candidate) { return candidate.waiting.size() + candidate.running; });
    copy->place.turn = NextTurn(upstream.served, upstream.waiting, PlaceOf, copy->place);
    upstream.waiting.insert(std::ranges::upper_bound(upstream.waiting, copy,
                                                     [](const auto& left, const auto& right) {
                                                       return GoesBefore(left->place, right->place);
                                                     }),
                            copy);
    if (!options_.naive) {
      At(copy->place.deadline - kLeastWork, [this, &upstream, copy] {
        if (std::erase(upstream.waiting, copy) > 0) {
          RecordQueue(upstream.history, !upstream.waiting.empty(), 0, now_);
          LosePart(*copy->attempt);
        }
      });
    }
    Dispatch(upstream);
  }

  void Dispatch(Upstream& upstream) {
    std::erase_if(upstream.waiting, [](const CopyPtr& copy) { return copy->attempt->ended; });
    unsigned departures = 0;
    while (upstream.running < kSlots && !upstream.waiting.empty() && now_ >= paused_until_) {
      const CopyPtr copy = upstream.waiting.front();
      upstream.waiting.erase(upstream.waiting.begin());
      upstream.served[copy->place.priority] = copy->place.turn;
      ++upstream.running;
      ++departures;
      copy->attempt->sent = true;
      At(now_ + kLeastWork +
             Duration(static_cast<Duration::rep>(2 * std::uniform_real_distribution<double>(0, 1)(random_) *
                                                 static_cast<double>((kUsualWork - kLeastWork).count()))),
         [this, &upstream, copy] {
           --upstream.running;
           FinishPart(*copy->attempt);
           Dispatch(upstream);
         });
    }
    if (upstream.waiting.empty()) {
      upstream.served.clear();
    }
    RecordQueue(upstream.history, !upstream.waiting.empty(), departures, now_);
  }

  void DispatchAll() {
    for (auto& shard : shards_) {
      for (auto& upstream : shard) {
        Dispatch(upstream);
      }
    }
  }

  void FinishPart(Attempt& attempt) {
    ++attempt.done;
    EndIfDecided(attempt);
  }
  void LosePart(Attempt& attempt) {
    ++attempt.lost;
    EndIfDecided(attempt);
  }
  void EndIfDecided(Attempt& attempt) {
    if (attempt.ended) {
      return;
    }
    if (attempt.done + attempt.lost == attempt.parts && attempt.done >= attempt.needed) {
      attempt.ended = true;
      attempt.caller->served = true;
      attempt.caller->within_objective = now_ - attempt.caller->first_at <= kObjective;
    } else if (attempt.lost > attempt.parts - attempt.needed) {
      Fail(attempt);
    }
  }
  // The queues drop what is left of the attempt.
  void Fail(Attempt& attempt) {
    if (!attempt.ended) {
      attempt.ended = true;
      At(now_ + kRepeatGap, [this, caller = attempt.caller] { Offer(*caller); });
    }
  }

  const ModelOptions options_;
  std::mt19937_64 random_{7};
  TimePoint now_ = kStart;
  TimePoint paused_until_{};
  std::multimap<TimePoint, std::function<void()>> events_;
  std::list<ModelCaller> callers_;
  std::vector<std::vector<Upstream>> shards_{kShards, std::vector<Upstream>(kReplicas)};
  CustomerDemand demand_;
  std::array<ReturnSchedule, 2> returns_;  // of single requests and of gathers
  ToldReturns told_;
};

constexpr std::array<double, 5> kLoads = {1, 1.2, 1.5, 2, 3};

}  // namespace

TEST_GROUP(Admission){};

// Guards against callers that get less than without a decision, and against a large customer that displaces small
// ones or is displaced by them.
TEST(Admission, CallersGetMoreAtEachLoad) {
  for (const double load : kLoads) {
    const Model naive({.load = load, .naive = true});
    const Model model({.load = load});
    const Tally all = model.CountAll();
    // The model's naive variant has an endless queue, in which a load of exactly the room is answered, but late.
    CHECK(all.served > (load > 1 ? naive.CountAll().served : 0.97 * all.callers));
    CHECK(all.within_objective > 1.5 * naive.CountAll().within_objective);
    // What the upstreams can run isn't left unused: without a queue they would idle for a part of the time.
    CHECK(all.ServedShare() > 0.95 / load);

    const Tally high = model.Count([](const ModelCaller& caller) { return caller.priority == 0; });
    CHECK(high.ServedShare() > 0.999);
    CHECK(high.InTimeShare() > 0.97);
    const Tally gathers = model.Count([](const ModelCaller& caller) { return caller.gathers; });
    CHECK(gathers.ServedShare() > all.ServedShare() / 2);

    double mean = 0;
    std::vector<double> shares;
    for (std::uint64_t customer = 1; customer <= kCustomers; ++customer) {
      const Tally tally = model.Count([customer](const ModelCaller& caller) { return caller.customer == customer; });
      shares.push_back(tally.ServedShare());
      mean += tally.ServedShare() / kCustomers;
    }
    CHECK(*std::ranges::min_element(shares) > mean / 2);
    CHECK(shares.front() <= *std::min_element(shares.begin() + 1, shares.end()) + 0.02);
  }
}

// Guards against callers that gain from repeating at once.
TEST(Admission, CallersThatRepeatAtOnceGetNoMore) {
  for (const double load : kLoads) {
    const Model naive({.load = load, .repeat_share = 0.2, .naive = true});
    const Model model({.load = load, .repeat_share = 0.2});
    const Tally repeating = model.Count([](const ModelCaller& caller) { return caller.repeats; });
    const Tally waiting = model.Count([](const ModelCaller& caller) { return !caller.repeats; });
    CHECK(repeating.ServedShare() <= waiting.ServedShare());
    CHECK(waiting.ServedShare() > (load > 1 ? naive.CountAll().ServedShare() : 0.97));
    CHECK(model.CountAll().within_objective > 1.5 * naive.CountAll().within_objective);
  }
}

// Guards against refusals in calm, also when all upstreams pause together.
TEST(Admission, CalmAndPausesRefuseNothing) {
  for (const double load : {0.3, 0.5, 0.6}) {
    for (const Duration pause : {Duration::zero(), Duration(milliseconds(250))}) {
      if (load < 0.6 || pause == Duration::zero()) {
        const Tally all = Model({.load = load, .pause = pause}).CountAll();
        CHECK_EQUAL(0, all.refused);
        CHECK_EQUAL(all.callers, all.served);
      }
    }
  }
}

// Guards against a refusal because of a single moment, and against one while another upstream has room.
TEST(Admission, RefusalNeedsAStandingQueue) {
  QueueHistory history;
  RecordQueue(history, true, 1, kStart);
  CHECK_FALSE(IsStanding(history, kStart + milliseconds(800)));
  CHECK(IsStanding(history, kStart + milliseconds(1'200)));
  RecordQueue(history, false, 1, kStart + milliseconds(1'300));
  RecordQueue(history, true, 1, kStart + milliseconds(1'500));
  CHECK_FALSE(IsStanding(history, kStart + milliseconds(1'600)));
  const AdmissionRequest request{.time_left = kTimeLimit, .objective_left = kObjective, .objective = kObjective};
  const UpstreamRoom full{.standing = true, .departures_per_s = 10, .ahead = 20};
  const UpstreamRoom busy{.standing = false, .departures_per_s = 10, .ahead = 20};
  const std::vector<UpstreamRoom> none = {full, full};
  const std::vector<UpstreamRoom> some = {full, busy};
  CHECK(DecideAdmission(request, std::vector{RoomOfPart(none)}).refusal == AdmissionRefusal::kNoRoom);
  CHECK(DecideAdmission(request, std::vector{RoomOfPart(some)}).refusal == AdmissionRefusal::kNone);
  CHECK(DecideAdmissionNaive(request, std::vector{RoomOfPart(none)}).refusal == AdmissionRefusal::kNone);
}

// Guards against refused callers that return together, or later than they would wait.
TEST(Admission, ReturnsAreSpread) {
  ReturnSchedule schedule;
  const AdmissionDecision decision{
      .refusal = AdmissionRefusal::kNoRoom, .room_in = milliseconds(50), .room_per_s = 100};
  std::map<Duration, int> told;
  for (int i = 0; i < 200; ++i) {
    ++told[BookReturn(schedule, decision, kTimeLimit, kStart) / milliseconds(10) * milliseconds(10)];
  }
  CHECK(told.begin()->first >= kTimeLimit / 6 - milliseconds(10));
  CHECK(told.rbegin()->first <= kTimeLimit / 3);
  for (const auto& [time, callers] : told) {
    CHECK(callers < 30);
  }
}

// Guards against an order in which a request with little time left delays others, and against overload that is logged
// with each refusal.
TEST(Admission, OrderAndOverload) {
  const QueuePlace urgent{.priority = 1, .turn = 2, .deadline = kStart};
  CHECK(GoesBefore({.priority = 0, .turn = 9, .deadline = kStart + kTimeLimit}, urgent));
  CHECK(GoesBefore({.priority = 1, .turn = 1, .deadline = kStart + kTimeLimit}, urgent));
  CHECK(GoesBefore(urgent, {.priority = 1, .turn = 2, .deadline = kStart + kTimeLimit}));
  OverloadState state;
  CHECK(RecordOverload(state, kStart));
  CHECK_FALSE(RecordOverload(state, kStart + milliseconds(4'000)));
  CHECK_FALSE(EndOverload(state, kStart + milliseconds(8'999)));
  CHECK(EndOverload(state, kStart + milliseconds(9'000)));
  CHECK_FALSE(EndOverload(state, kStart + milliseconds(9'001)));
}

}  // namespace pimentomoor
