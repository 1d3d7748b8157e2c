// Tests of the dispatcher and the health reader with stand-in upstreams that drain and restart.
#include "pimentomoor/dispatcher.h"

#include "pimentomoor/health_reader.h"
#include "standin_searcher.h"
#include "test_loop.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTestTimeout = std::chrono::seconds(10);
constexpr const char* kDeploymentYaml = R"(
deployment: test
failure_domains: [a, b, c]
services:
  - {name: orders, kind: execute, searchers: 1, shards: 1, slots: 1, queue: 1, connections: 5, median_ms: 30, sigma: 0,
     cold_requests: 1, snapshots: [{version: 7}]}
)";

}  // namespace

TEST_GROUP(Dispatcher) {
  ManualClock clock;
  EventLoop loop{clock};
  HttpClient client{loop};
  Metrics metrics;
  StandinSearchers searchers{loop,
                             {.deployment = ParseDeployment(kDeploymentYaml),
                              .drain_announce_duration = milliseconds(200),
                              .drain_refuse_duration = milliseconds(200)}};
  std::string upstream = searchers.deployment().services[0].upstreams[0].address;
  std::vector<proto::SubAnswer> answers;
  bool may_send = true;
  Dispatcher dispatcher{loop, client, metrics, {}, Hooks()};

  DispatcherHooks Hooks() {
    DispatcherHooks hooks;
    hooks.may_send = [this](const std::string&) { return may_send; };
    hooks.in_outage = [](const std::string&, const std::string&) { return false; };
    hooks.send_answers = [this](const proto::Daemon&, const proto::SubAnswers& received) {
      answers.insert(answers.end(), received.items().begin(), received.items().end());
    };
    return hooks;
  }

  void setup() override {
    dispatcher.ConfigureUpstreams({{.address = upstream, .failure_domain = "a", .slots = 1, .connections = 5}});
  }

  void Submit(int count, bool execute = false) { dispatcher.Submit({}, BuildMessage(count, execute)); }

  proto::SubQueries BuildMessage(int count, bool execute = false) const {
    proto::SubQueries message;
    message.set_service("orders");
    message.set_snapshot(7);
    message.set_text("bulls");
    message.set_remaining_us(2'000'000);
    message.set_non_idempotent(execute);
    for (int i = 1; i <= count; ++i) {
      auto* item = message.add_items();
      item->set_id(static_cast<std::uint64_t>(i));
      item->set_upstream(upstream);
    }
    return message;
  }

  // Runs `count` sub-queries and returns the status of the last answer.
  proto::SubStatus Run(int count = 1, bool execute = false) {
    const std::size_t expected_count = answers.size() + static_cast<std::size_t>(count);
    Submit(count, execute);
    CHECK_TRUE(RunTurns(
        loop, clock, [&] { return answers.size() >= expected_count; }, kTestTimeout));
    return answers.back().status();
  }

  void RunFor(Duration time) {
    RunTurns(
        loop, clock, [] { return false; }, time);
  }
};

// Guards against an upstream that gets no requests any more after a restart that the host list does not show. A
// draining upstream gets no requests, so only its health endpoint names the new incarnation.
TEST(Dispatcher, RestartedUpstreamServesAgainWithoutTheHostList) {
  const HealthReader reader(
      loop, client, {.period = milliseconds(100)},
      {.draining_upstreams = [this] { return dispatcher.DrainingUpstreams(); },
       .report_incarnation = [this](const std::string& address,
                                    auto value) { dispatcher.ApplyIncarnationHint(address, value); }});
  CHECK(Run() == proto::SUB_OK);
  searchers.ApplyCommand({.fault = "drain"});
  CHECK(Run() == proto::SUB_OK);
  CHECK(Run() == proto::SUB_NOT_RUN_UNAVAILABLE);
  // The health endpoint of the draining process shows status "warm", which has to be ignored.
  RunFor(milliseconds(150));
  CHECK(Run() == proto::SUB_NOT_RUN_UNAVAILABLE);
  RunFor(milliseconds(400));
  searchers.ApplyCommand({.fault = "start"});
  RunFor(milliseconds(300));
  CHECK(Run() == proto::SUB_OK);
}

// Guards against a request or an operation that is written although the owner lost its lease while the connection was
// opened, and against an upstream that counts as down because such a request was not written.
TEST(Dispatcher, LeaseIsCheckedAgainWhenTheConnectionIsReady) {
  for (const bool execute : {false, true}) {
    answers.clear();
    Submit(1, execute);
    may_send = false;
    CHECK_TRUE(RunTurns(
        loop, clock, [&] { return !answers.empty(); }, kTestTimeout));
    CHECK(answers.back().status() == proto::SUB_NOT_RUN_NOT_OWNER);
    may_send = true;
  }
  CHECK(Run() == proto::SUB_OK);
}

// Guards against new work for an upstream after an operation's response announced a drain, which it does only in a
// header.
TEST(Dispatcher, DrainHeaderOfAnOperationIsFollowed) {
  searchers.ApplyCommand({.fault = "drain"});
  CHECK(Run(1, /*execute=*/true) == proto::SUB_OK);
  CHECK(Run() == proto::SUB_NOT_RUN_UNAVAILABLE);
}

// Guards against sub-queries that wait in the queue of a draining upstream until their deadline, when it is too late
// for another replica to answer.
TEST(Dispatcher, QueueOfADrainingUpstreamIsRefusedAtOnce) {
  searchers.ApplyCommand({.fault = "drain"});
  const TimePoint start = clock.Now();
  CHECK(Run(2) == proto::SUB_NOT_RUN_UNAVAILABLE);
  CHECK(clock.Now() - start < milliseconds(200));
}

// Guards against answers that are sent one by one while other sub-queries of their query still run, and against
// answers that are held to the end of the hold although no sub-query runs any more.
TEST(Dispatcher, AnswersOfAQueryShareAMessageWhileOthersRun) {
  std::vector<int> message_sizes;
  DispatcherHooks hooks = Hooks();
  hooks.send_answers = [&](const proto::Daemon&, const proto::SubAnswers& received) {
    message_sizes.push_back(received.items_size());
  };
  Dispatcher holding(loop, client, metrics, {.answer_hold = std::chrono::seconds(1)}, hooks);
  holding.ConfigureUpstreams({{.address = upstream, .failure_domain = "a", .slots = 1, .connections = 5}});
  const TimePoint start = clock.Now();
  holding.Submit({}, BuildMessage(2));
  CHECK_TRUE(RunTurns(
      loop, clock, [&] { return !message_sizes.empty(); }, kTestTimeout));
  LONGS_EQUAL(2, message_sizes[0]);
  CHECK(clock.Now() - start < milliseconds(500));
}

// Guards against a malformed answer of a health endpoint that terminates the daemon or is read as an incarnation.
TEST(Dispatcher, MalformedHealthNamesNoIncarnation) {
  for (const char* body : {"", "warm", "[1]", "{", "{\"incarnation\":{}}", "{\"incarnation\":\"-1\"}",
                           "{\"incarnation\":\"99999999999999999999\"}", "{\"incarnation\":\"1x\"}"}) {
    LONGS_EQUAL(0, ParseHealthIncarnation(body));
  }
  LONGS_EQUAL(17, ParseHealthIncarnation(R"({"status":"warm","incarnation":"17"})"));
}

}  // namespace pimentomoor
