// Tests of the limit on crashed upstreams with the crash guards and coordinators of several simulated daemons.
#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "coordinator_hooks.h"
#include "pimentomoor/coordinator.h"
#include "pimentomoor/crash_guard.h"
#include "pimentomoor/rendezvous.h"
#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

using std::chrono::milliseconds;

constexpr int kMemberCount = 4;
constexpr std::uint32_t kShards = 6;
constexpr Duration kSuspectAfter = milliseconds(1'500);

struct Faults {
  int lost_report_percent = 0;  // of the messages that report a strike or a canary result
  bool kill_sentinel = false;
};

// Daemons that are both entries and owners. Callers resend a request that crashes every upstream which runs it to the
// end, and it may run for long.
class CrashFleet {
 public:
  CrashFleet(std::uint32_t seed, Faults faults, bool coverage_first) : random_(seed), faults_(faults) {
    catalog_ = std::make_shared<Catalog>();
    catalog_->service = "s";
    catalog_->snapshots.push_back({.version = 1});
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
      const std::string replicas[] = {Address(2 * shard), Address(2 * shard + 1)};
      catalog_->snapshots[0].shards.push_back({.shard = shard, .upstreams = {replicas[0], replicas[1]}});
      catalog_->upstreams.push_back({.address = replicas[0], .failure_domain = "a"});
      catalog_->upstreams.push_back({.address = replicas[1], .failure_domain = "b"});
    }
    AllowAllServices(plans_, access_);
    for (int number = 0; number < kMemberCount; ++number) {
      StartMember(number, coverage_first);
    }
  }

  int RandomBelow(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }

  void ResendRequest() {
    const int entry = RandomBelow(kMemberCount);
    if (!members_[entry].alive) {
      return;
    }
    proto::QueryRequest request;
    request.set_customer("c");
    request.set_service("s");
    request.set_text("crash");
    request.set_deadline_ms(static_cast<std::uint32_t>(100 + RandomBelow(1'900)));
    members_[entry].coordinator->Run(request, ParseTraceparent(""), [](const proto::QueryAnswer&) {});
  }

  void RunFor(Duration time) {
    for (const TimePoint end = clock_.Now() + time; clock_.Now() < end;) {
      clock_.Advance(milliseconds(1));
      loop_.RunOnce(Duration::zero());
    }
  }

  void KillSentinel() {
    if (faults_.kill_sentinel) {
      Member& sentinel = members_[std::stoi(RankFirst(fingerprint_)->host())];
      sentinel.alive = false;
      sentinel.died_at = clock_.Now();
    }
  }

  [[nodiscard]] const std::set<std::string>& crashed_upstreams() const { return crashed_upstreams_; }

 private:
  struct Member {
    proto::Daemon daemon;
    std::unique_ptr<CrashGuardTask> guard;
    std::unique_ptr<Coordinator> coordinator;
    bool alive = true;
    TimePoint died_at{};
  };

  static std::string Address(std::uint32_t number) { return "127.0.0.1:" + std::to_string(100 + number); }

  void StartMember(int number, bool coverage_first) {
    Member& member = members_[number];
    member.daemon.set_host(std::to_string(number));
    member.daemon.set_peer_address(std::to_string(number));
    member.daemon.set_incarnation(100 + static_cast<std::uint64_t>(number));
    member.guard = std::make_unique<CrashGuardTask>(
        loop_, CrashGuardOptions{.self = member.daemon},
        [this, number](const std::string& to, const proto::Envelope& envelope) {
          const bool report = envelope.has_strike() || envelope.has_canary_result();
          if (!report || RandomBelow(100) >= faults_.lost_report_percent) {
            Deliver(number, std::stoi(to), [envelope](Member& peer) { peer.guard->HandleMessage(envelope); });
          }
          return true;
        },
        [this](std::uint64_t fingerprint) { return RankFirst(fingerprint); }, [this] { return LiveMembers(); },
        metrics_);
    CoordinatorOptions options;
    options.deadlines.coverage_first = coverage_first;
    member.coordinator = std::make_unique<Coordinator>(loop_, metrics_, traces_, options, Hooks(number));
  }

  CoordinatorHooks Hooks(int number) {
    CoordinatorHooks hooks = UnlimitedHooks(plans_, access_, catalog_);  // owners get no cancellations
    hooks.usable_owner = [this](const std::string& upstream, const std::string&) -> const proto::Daemon* {
      const Member& owner = members_[OwnerOf(upstream)];
      return IsSuspected(owner) ? nullptr : &owner.daemon;
    };
    hooks.send = [this, number](const proto::Daemon& owner, const proto::SubQueries& message) {
      const int to = std::stoi(owner.host());
      Deliver(number, to, [this, number, to, message](Member&) {
        for (const auto& item : message.items()) {
          RunAtUpstream(number, to, message, item);
        }
      });
      return true;
    };
    hooks.ask_crash_guard = [this, number](std::uint64_t fingerprint, auto done) {
      members_[number].guard->Admit(fingerprint, std::move(done));
    };
    hooks.report_canary = [this, number](std::uint64_t fingerprint, bool succeeded, const auto&... struck_upstreams) {
      members_[number].guard->ReportResult(fingerprint, succeeded, struck_upstreams...);
    };
    return hooks;
  }

  static int OwnerOf(const std::string& upstream) {
    return std::stoi(upstream.substr(upstream.rfind(':') + 1)) % kMemberCount;
  }

  void RunAtUpstream(int entry, int owner, const proto::SubQueries& message, const proto::SubQuery& item) {
    const auto limit = std::chrono::duration_cast<milliseconds>(std::chrono::microseconds(message.remaining_us()));
    const milliseconds time(RandomBelow(RandomBelow(2) == 0 ? 20 : 2'000));
    const int outcome = RandomBelow(10);
    proto::SubStatus status = outcome == 0 ? proto::SUB_NOT_RUN_OVERLOAD : proto::SUB_CONNECTION_LOST;
    if (time >= limit) {
      status = proto::SUB_TIMEOUT;  // upstreams stop a request at the deadline that it names
    }
    loop_.CallAfter(std::min(time, limit), [=, this] {
      if (status == proto::SUB_CONNECTION_LOST) {
        crashed_upstreams_.insert(item.upstream());
      }
      if (!members_[owner].alive) {
        return;
      }
      if (status == proto::SUB_CONNECTION_LOST) {
        members_[owner].guard->ReportStrike(message.fingerprint(), item.upstream());
      }
      proto::SubAnswers answers;
      answers.set_query_id(message.query_id());
      proto::SubAnswer& answer = *answers.add_items();
      answer.set_id(item.id());
      answer.set_shard(item.shard());
      answer.set_status(status);
      Deliver(owner, entry, [answers](Member& peer) { peer.coordinator->HandleAnswers(answers); });
    });
  }

  void Deliver(int from, int to, std::function<void(Member&)> message) {
    if (members_[from].alive) {
      loop_.CallAfter(milliseconds(RandomBelow(RandomBelow(5) == 0 ? 20 : 3)),
                      [this, to, message = std::move(message)] {
                        if (members_[to].alive) {
                          message(members_[to]);
                        }
                      });
    }
  }

  [[nodiscard]] bool IsSuspected(const Member& member) const {
    return !member.alive && clock_.Now() >= member.died_at + kSuspectAfter;
  }

  [[nodiscard]] std::vector<proto::Daemon> LiveMembers() const {
    std::vector<proto::Daemon> live;
    for (const auto& [number, member] : members_) {
      if (!IsSuspected(member)) {
        live.push_back(member.daemon);
      }
    }
    return live;
  }

  [[nodiscard]] std::optional<proto::Daemon> RankFirst(std::uint64_t fingerprint) const {
    return FirstByRendezvous(SentinelRendezvousKey(fingerprint), LiveMembers());
  }

  std::uint64_t fingerprint_ = Fingerprint("c", "s", "crash");
  std::mt19937 random_;
  Faults faults_;
  ManualClock clock_;
  EventLoop loop_{clock_};
  Metrics metrics_;
  TraceStore traces_;
  std::shared_ptr<Catalog> catalog_;
  CustomerPlans plans_;
  AccessPlans access_;
  std::map<int, Member> members_;
  std::set<std::string> crashed_upstreams_;
};

// Returns the number of cases in which as many upstreams crashed as the limit allows; -1 when a case exceeded the
// limit.
int CountCasesAtLimit(int cases, const std::vector<Faults>& faults) {
  int at_limit = 0;
  const bool held = CheckProperty(cases, "at most 3 upstreams crash", [&](std::uint32_t seed) {
    CrashFleet fleet(seed, *rc::gen::elementOf(faults), *rc::gen::arbitrary<bool>());
    const int kill_at = fleet.RandomBelow(60);
    for (int i = 0; i < 80; ++i) {
      fleet.ResendRequest();
      fleet.RunFor(milliseconds(fleet.RandomBelow(i % 20 == 0 ? 400 : 40)));
      if (i == kill_at) {
        fleet.KillSentinel();
      }
    }
    fleet.RunFor(std::chrono::seconds(4));
    RC_ASSERT(fleet.crashed_upstreams().size() <= 3U);
    at_limit += fleet.crashed_upstreams().size() == 3 ? 1 : 0;
  });
  return held ? at_limit : -1;
}

}  // namespace

TEST_GROUP(CrashLimit){};

// Guards against a fourth crashed upstream when a strike ends a canary whose hedged copy still runs, when a query
// ends before its canary does, and when messages that report strikes or canary results are lost.
TEST(CrashLimit, HoldsOverHedgesResendsAndLostReports) {
  CHECK(CountCasesAtLimit(
            200, {{.lost_report_percent = 0}, {.lost_report_percent = 30}, {.lost_report_percent = 100}}) > 20);
}

// Guards against a fourth crashed upstream when the sentinel dies while a canary that it granted runs.
TEST(CrashLimit, HoldsWhenTheSentinelDies) { CHECK(CountCasesAtLimit(200, {{.kill_sentinel = true}}) > 20); }

}  // namespace pimentomoor
