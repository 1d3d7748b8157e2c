// Tests of the tasks for operations, crash guard and customer limits: messages, timers and callbacks on the event
// loop. The protocols themselves have their own tests.
#include <cstdlib>
#include <map>

#include "pimentomoor/crash_guard.h"
#include "pimentomoor/customer_limits.h"
#include "pimentomoor/operation_task.h"

// clang-format off: CppUTest's macros for new and delete must follow all other headers.
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Delivers messages between tasks by address in the next turn of the loop. Messages to an unknown address are
// refused.
struct Network {
  EventLoop& loop;
  std::map<std::string, std::function<void(const proto::Envelope&)>> receivers;

  bool Send(const std::string& address, const proto::Envelope& envelope) {
    if (!receivers.contains(address)) {
      return false;
    }
    loop.Post([this, address, envelope] {
      if (receivers.contains(address)) {
        receivers[address](envelope);
      }
    });
    return true;
  }
};

proto::Daemon Member(int number) {
  proto::Daemon daemon;
  daemon.set_peer_address("h" + std::to_string(number));
  daemon.set_incarnation(100 + number);
  return daemon;
}

}  // namespace

TEST_GROUP(OnceTasks) {
  SystemClock clock;
  EventLoop loop{clock};
  Metrics metrics;
  Network network{loop, {}};
  std::map<int, std::unique_ptr<OperationTask>> operations;
  int dispatched = 0;
  std::function<void(proto::OperationResult)> finish_dispatch;

  auto Sender() {
    return [this](const std::string& address, const proto::Envelope& envelope) {
      return network.Send(address, envelope);
    };
  }
  void StartOperations(int number, int witness) {
    operations[number] = std::make_unique<OperationTask>(
        loop, OperationOptions{.self = Member(number), .token_key = "k"}, Sender(),
        [this](const proto::Token&, const std::string&, Duration, OperationTask::Done done) {
          ++dispatched;
          finish_dispatch = std::move(done);
        },
        [witness] { return Member(witness); }, metrics);
    network.receivers["h" + std::to_string(number)] = [this, number](const proto::Envelope& envelope) {
      operations[number]->HandleMessage(envelope);
    };
  }
  void StopOperations(int number) {
    network.receivers.erase("h" + std::to_string(number));
    operations.erase(number);
  }
  proto::OperationResult RunAt(int number, const std::string& token) {
    std::optional<proto::OperationResult> answer;
    operations[number]->Run(token, "pay", seconds(1), [&](const proto::OperationResult& result) { answer = result; });
    CHECK(loop.RunUntil(
        [&] {
          if (finish_dispatch) {
            proto::OperationResult result = MakeOperationResult(proto::OPERATION_RAN, "");
            result.set_body("paid");
            std::exchange(finish_dispatch, nullptr)(result);
          }
          return answer.has_value();
        },
        seconds(5)));
    return answer.value_or(proto::OperationResult());
  }
};

// Guards against a task that drops an effect of the protocol: a dispatch, an answer, a timer or the end of the
// planned stop.
TEST(OnceTasks, OperationRunsOnceAndOutlivesItsHome) {
  StartOperations(1, 2);
  StartOperations(2, 3);
  StartOperations(3, 1);
  const std::string token = operations[1]->IssueToken("quiroga", "cobranzas");
  const std::string unused = operations[1]->IssueToken("quiroga", "cobranzas");
  STRCMP_EQUAL("paid", RunAt(3, token).body().c_str());
  STRCMP_EQUAL("paid", RunAt(2, token).body().c_str());
  bool handed_over = false;
  operations[1]->HandOverOutcomes([&] { handed_over = true; });
  CHECK(loop.RunUntil([&] { return handed_over; }, seconds(5)));
  CHECK(operations[1]->IssueToken("quiroga", "cobranzas").empty());
  StopOperations(1);
  STRCMP_EQUAL("paid", RunAt(3, token).body().c_str());
  CHECK(RunAt(3, unused).outcome() == proto::OPERATION_NOT_RUN);
  StopOperations(2);
  CHECK(RunAt(3, token).outcome() == proto::OPERATION_UNKNOWN);
  LONGS_EQUAL(1, dispatched);
}

// Guards against the use of a destroyed task when a dispatch result arrives late.
TEST(OnceTasks, LateDispatchResultIsIgnored) {
  StartOperations(1, 2);
  StartOperations(2, 1);
  operations[1]->Run(operations[1]->IssueToken("c", "s"), "pay", seconds(1), [](const proto::OperationResult&) {});
  CHECK(loop.RunUntil([&] { return dispatched == 1; }, seconds(5)));
  StopOperations(1);
  finish_dispatch(MakeOperationResult(proto::OPERATION_RAN, ""));
}

// Guards against an entry that waits for a dead sentinel for ever, and against two entries that run a canary of one
// fingerprint at once.
TEST(OnceTasks, CanariesAreSerialisedAndTheSentinelMayDie) {
  std::map<int, std::unique_ptr<CrashGuardTask>> guards;
  for (int number = 1; number <= 3; ++number) {
    guards[number] = std::make_unique<CrashGuardTask>(
        loop, CrashGuardOptions{.self = Member(number)}, Sender(), [](std::uint64_t) { return Member(1); },
        [] {
          return std::vector<proto::Daemon>{Member(1), Member(2), Member(3)};
        },
        metrics);
    network.receivers["h" + std::to_string(number)] = [&guards, number](const proto::Envelope& envelope) {
      guards[number]->HandleMessage(envelope);
    };
  }
  const auto admit = [&](int number) {
    proto::CanaryVerdict verdict = proto::CANARY_VERDICT_UNSPECIFIED;
    guards[number]->Admit(7, [&](proto::CanaryVerdict decided, std::uint32_t) { verdict = decided; });
    CHECK(loop.RunUntil([&] { return verdict != proto::CANARY_VERDICT_UNSPECIFIED; }, seconds(5)));
    return verdict;
  };
  CHECK(admit(2) == proto::CANARY_GRANTED);
  CHECK(admit(3) == proto::CANARY_WAIT);
  CHECK(admit(1) == proto::CANARY_WAIT);
  guards[2]->ReportStrike(7, "u1");
  loop.RunUntil([] { return false; }, milliseconds(20));
  CHECK(admit(3) == proto::CANARY_WAIT);  // another copy of the canary may still run
  guards[2]->ReportResult(7, false, {"u1"});
  loop.RunUntil([] { return false; }, milliseconds(20));
  CHECK(admit(3) == proto::CANARY_GRANTED);
  guards[3]->ReportStrike(7, "u2");
  guards[3]->ReportResult(7, false, {"u2"});
  loop.RunUntil([] { return false; }, milliseconds(20));
  network.receivers.erase("h1");
  CHECK(admit(2) == proto::CANARY_GRANTED);
  guards[2]->ReportStrike(7, "u3");
  CHECK(admit(2) == proto::CANARY_QUARANTINED);
  loop.RunUntil([] { return false; }, milliseconds(20));
  CHECK(admit(3) == proto::CANARY_QUARANTINED);
}

// Guards against an entry that asks the home although it holds credits, and against an entry that refuses every query
// while the home is dead.
TEST(OnceTasks, CreditsAreSpentSynchronouslyAndTheHomeMayDie) {
  const CustomerLimits limits{.queries_per_second = 100, .burst = 10, .concurrency = 100};
  std::map<int, std::unique_ptr<CustomerLimitsTask>> tasks;
  for (int number = 1; number <= 2; ++number) {
    tasks[number] = std::make_unique<CustomerLimitsTask>(
        loop, CreditOptions{.self = Member(number)}, Sender(), [](const std::string&) { return Member(1); },
        [] { return 2; }, [limits](const std::string&) { return limits; }, metrics);
    network.receivers["h" + std::to_string(number)] = [&tasks, number](const proto::Envelope& envelope) {
      tasks[number]->HandleMessage(envelope);
    };
  }
  int allowed = 0;
  int refused = 0;
  const auto done = [&](bool is_allowed, const std::string&) { ++(is_allowed ? allowed : refused); };
  for (int i = 0; i < 8; ++i) {
    tasks[2]->Acquire("c", limits, done);
  }
  LONGS_EQUAL(0, allowed + refused);
  CHECK(loop.RunUntil([&] { return allowed == 8; }, seconds(5)));
  tasks[1]->Acquire("c", limits, done);
  LONGS_EQUAL(9, allowed);
  for (int i = 0; i < 20; ++i) {
    tasks[2]->Acquire("c", limits, done);
  }
  CHECK(loop.RunUntil([&] { return allowed + refused == 29; }, seconds(5)));
  CHECK(refused > 10);

  loop.RunUntil([] { return false; }, milliseconds(250));
  network.receivers.erase("h1");
  const int before = allowed;
  tasks[2]->Acquire("c", limits, done);
  CHECK(loop.RunUntil([&] { return allowed == before + 1; }, seconds(5)));
  loop.RunUntil([] { return false; }, milliseconds(100));
  tasks[2]->Acquire("c", limits, done);
  LONGS_EQUAL(before + 2, allowed);
}

}  // namespace pimentomoor
