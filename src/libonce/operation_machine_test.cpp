// At-most-once tests of the operation token protocol on generated histories.
//
// A history runs several daemons over a network that loses, delays, duplicates and reorders messages. Daemons die,
// restart with another incarnation and pause at any point, and their clocks run at different rates. Callers resend
// through any entry, sometimes with another body. A dispatched operation reaches its upstream even when its home has
// died meanwhile.
#include "pimentomoor/operation_machine.h"

#include <cstdlib>
#include <random>
#include <set>

#include "pimentomoor/operation_token.h"
#include "property.h"

// clang-format off: CppUTest's macros for new and delete must follow all other headers.
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;

struct Faults {
  int loss = 0;       // percent of messages
  int duplicate = 0;  // percent of messages
  int max_delay_ms = 5;
  int slow = 0;  // percent of messages that are delayed by up to three seconds
};

struct Host {
  proto::Daemon self;
  std::optional<OperationMachine> machine;
  double rate = 1;
  TimePoint paused_until;
};

struct TokenFacts {
  proto::Daemon home;
  int executions = 0;
  std::string executed_body;
  std::set<std::string> not_run_bodies;
};

struct Tally {
  int ran = 0;
  int not_run = 0;
  int unknown = 0;
  int late = 0;  // answers after the deadline at an entry that did not pause
};

class Simulation {
 public:
  Simulation(std::uint32_t seed, std::size_t hosts, Faults faults, std::size_t max_tokens)
      : random_(seed), faults_(faults), max_tokens_(max_tokens), hosts_(hosts) {
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_[i].rate = 0.8 + 0.1 * Pick(5);
      Restart(i);
    }
  }

  int Pick(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }

  void Restart(std::size_t i) {
    Host& host = hosts_[i];
    host.self.set_peer_address("h" + std::to_string(i));
    host.self.set_incarnation(++last_incarnation_);
    host.machine.emplace(OperationOptions{
        .self = host.self, .token_lifetime = std::chrono::seconds(2), .max_tokens = max_tokens_, .token_key = "k"});
    host.paused_until = now_;
  }
  void Kill(std::size_t i) { hosts_[i].machine.reset(); }
  void Pause(std::size_t i, Duration time) { hosts_[i].paused_until = now_ + time; }

  void Issue(std::size_t home, std::size_t witness) {
    if (hosts_[home].machine && home != witness) {
      const auto text = hosts_[home].machine->IssueToken(LocalTime(hosts_[home]), hosts_[witness].self, "c", "s");
      if (text) {
        texts_.push_back(*text);
        facts_[*text].home = hosts_[home].self;
      }
    }
  }

  void Run(std::size_t entry, std::size_t token, const std::string& body, Duration remaining) {
    if (texts_.empty() || !hosts_[entry].machine || hosts_[entry].paused_until > now_) {
      return;
    }
    const std::string& text = texts_[token % texts_.size()];
    OperationEffects effects;
    const std::uint64_t id = hosts_[entry].machine->Run(LocalTime(hosts_[entry]), text, body, remaining, effects);
    asked_[{hosts_[entry].self.incarnation(), id}] = {text, body, now_ + remaining * 5 / 4 + milliseconds(1)};
    Apply(entry, effects);
  }

  void HandOver(std::size_t i) {
    if (hosts_[i].machine) {
      OperationEffects effects;
      hosts_[i].machine->HandOverOutcomes(LocalTime(hosts_[i]), effects);
      Apply(i, effects);
    }
  }

  void Advance(Duration time) {
    const TimePoint end = now_ + time;
    while (true) {
      TimePoint next = end;
      if (!events_.empty()) {
        next = std::min(next, events_.begin()->first);
      }
      for (const Host& host : hosts_) {
        next = std::min(next, Wake(host));
      }
      now_ = std::max(now_, next);
      if (now_ >= end) {
        return;
      }
      RunDue();
    }
  }

  [[nodiscard]] std::size_t unanswered() const { return asked_.size(); }
  [[nodiscard]] const std::map<std::string, TokenFacts>& facts() const { return facts_; }
  [[nodiscard]] const Tally& tally() const { return tally_; }
  [[nodiscard]] int handed_over() const { return handed_over_; }
  [[nodiscard]] bool fault() const { return !fault_.empty(); }
  [[nodiscard]] const std::string& fault_text() const { return fault_; }

 private:
  struct Asked {
    std::string text;
    std::string body;
    TimePoint latest;
  };

  // Every host has its own clock: another origin and another rate.
  [[nodiscard]] TimePoint LocalTime(const Host& host) const {
    return TimePoint(std::chrono::duration_cast<Duration>(now_.time_since_epoch() * host.rate));
  }
  [[nodiscard]] TimePoint Wake(const Host& host) const {
    const auto wake = host.machine ? host.machine->NextWake() : std::nullopt;
    if (!wake) {
      return TimePoint::max();
    }
    const Duration due = std::chrono::duration_cast<Duration>(wake->time_since_epoch() / host.rate);
    return std::max(TimePoint(due + Duration(2)), host.paused_until);
  }

  void RunDue() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      events_.extract(events_.begin()).mapped()();
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (Wake(hosts_[i]) <= now_) {
        OperationEffects effects;
        hosts_[i].machine->Tick(LocalTime(hosts_[i]), effects);
        Apply(i, effects);
      }
    }
  }

  void Deliver(const std::string& address, const proto::Envelope& envelope) {
    const std::size_t i = std::stoul(address.substr(1));
    Host& host = hosts_[i];
    if (!host.machine) {
      return;
    }
    if (host.paused_until > now_) {
      events_.emplace(host.paused_until, [this, address, envelope] { Deliver(address, envelope); });
      return;
    }
    OperationEffects effects;
    host.machine->Receive(LocalTime(host), envelope, effects);
    Apply(i, effects);
  }

  void Apply(std::size_t i, const OperationEffects& effects) {
    for (const auto& message : effects.messages) {
      for (int copies = Pick(100) < faults_.duplicate ? 2 : 1; copies > 0; --copies) {
        if (Pick(100) >= faults_.loss) {
          const int delay = Pick(100) < faults_.slow ? Pick(3000) : 1 + Pick(faults_.max_delay_ms);
          events_.emplace(now_ + milliseconds(delay),
                          [this, message] { Deliver(message.address, message.envelope); });
        }
      }
    }
    for (const auto& dispatch : effects.dispatches) {
      Dispatch(i, dispatch);
    }
    for (const auto& answer : effects.answers) {
      Answer(hosts_[i].self.incarnation(), answer);
    }
    handed_over_ += effects.handed_over ? 1 : 0;
  }

  // The operation reaches its upstream later, whether or not the home still lives, or is lost before or after.
  void Dispatch(std::size_t i, const OperationEffects::Dispatch& dispatch) {
    const std::string text = EncodeToken(dispatch.token, "k");
    const bool faulty = faults_.loss > 0;
    const int fate = faulty ? Pick(4) : 0;
    const Duration delay = milliseconds(faulty ? Pick(800) : 10);
    const std::uint64_t incarnation = hosts_[i].self.incarnation();
    events_.emplace(now_ + delay, [=, this] {
      proto::OperationResult result = MakeOperationResult(proto::OPERATION_UNKNOWN, "connection lost");
      if (fate == 1) {
        result = MakeOperationResult(proto::OPERATION_NOT_RUN, "connection refused");
      } else if (fate != 2) {
        TokenFacts& facts = facts_[text];
        ++facts.executions;
        facts.executed_body = dispatch.body;
        result.set_outcome(fate == 3 ? proto::OPERATION_UNKNOWN : proto::OPERATION_RAN);
        result.set_body(fate == 3 ? "" : "answer to " + dispatch.body);
      }
      events_.emplace(now_ + milliseconds(faulty ? Pick(1500) : 1), [=, this] {
        if (hosts_[i].machine && hosts_[i].self.incarnation() == incarnation) {
          OperationEffects effects;
          hosts_[i].machine->FinishDispatch(LocalTime(hosts_[i]), dispatch.token, result, effects);
          Apply(i, effects);
        }
      });
    });
  }

  void Answer(std::uint64_t incarnation, const OperationEffects::Answer& answer) {
    const auto asked = asked_.extract({incarnation, answer.run});
    if (asked.empty()) {
      fault_ = "second answer to one request";
      return;
    }
    TokenFacts& facts = facts_[asked.mapped().text];
    tally_.late += now_ > asked.mapped().latest ? 1 : 0;
    switch (answer.result.outcome()) {
      case proto::OPERATION_RAN:
        ++tally_.ran;
        if (facts.executions != 1 || answer.result.body() != "answer to " + facts.executed_body ||
            facts.executed_body != asked.mapped().body) {
          fault_ = "ran was told without the real outcome";
        }
        break;
      case proto::OPERATION_NOT_RUN:
        ++tally_.not_run;
        facts.not_run_bodies.insert(asked.mapped().body);
        break;
      case proto::OPERATION_UNKNOWN:
        ++tally_.unknown;
        break;
      default:
        fault_ = "an answer without an outcome";
    }
  }

  std::mt19937 random_;
  Faults faults_;
  std::size_t max_tokens_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Host> hosts_;
  std::uint64_t last_incarnation_ = 0;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::string> texts_;
  std::map<std::string, TokenFacts> facts_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, Asked> asked_;
  Tally tally_;
  int handed_over_ = 0;
  std::string fault_;
};

void RandomStep(Simulation& simulation, int step) {
  const auto host = [&] { return static_cast<std::size_t>(simulation.Pick(4)); };
  if (step < 20) {
    simulation.Issue(host(), host());
  } else if (step < 70) {
    const std::string body = simulation.Pick(6) == 0 ? "other" : "pay";
    // Tokens from the newest few to all, so that old ones are resent after they expired.
    simulation.Run(host(), simulation.Pick(1000), body, milliseconds(1 + simulation.Pick(2000)));
  } else if (step < 76) {
    simulation.Kill(host());
  } else if (step < 86) {
    simulation.Restart(host());
  } else if (step < 94) {
    simulation.Pause(host(), milliseconds(simulation.Pick(3000)));
  } else if (step < 96) {
    simulation.HandOver(host());
  }
  simulation.Advance(milliseconds(simulation.Pick(step % 7 == 0 ? 2000 : 100)));
}

void AssertAtMostOnce(const Simulation& simulation) {
  RC_ASSERT(simulation.fault_text() == "");
  for (const auto& [text, facts] : simulation.facts()) {
    RC_ASSERT(facts.executions <= 1);
    if (facts.executions == 1) {
      RC_ASSERT(!facts.not_run_bodies.contains(facts.executed_body));
    }
  }
}

}  // namespace

TEST_GROUP(OperationMachine){};

// Guards against a second execution, a "not run" for an operation that runs before or later, and a "ran" with an
// outcome that is not the upstream's, under every mix of faults.
TEST(OperationMachine, AtMostOnceUnderFaults) {
  Tally total;
  CHECK(CheckProperty(1'000, "at most once", [&](std::uint32_t seed) {
    const Faults faults{.loss = *rc::gen::element(1, 10, 40),
                        .duplicate = *rc::gen::element(0, 20),
                        .max_delay_ms = *rc::gen::element(5, 100, 400),
                        .slow = *rc::gen::element(0, 5, 20)};
    Simulation simulation(seed, 4, faults, *rc::gen::element<std::size_t>(2, 8, 1000));
    for (const int step : *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 100))) {
      RandomStep(simulation, step);
    }
    simulation.Advance(std::chrono::seconds(10));
    AssertAtMostOnce(simulation);
    total.ran += simulation.tally().ran;
    total.not_run += simulation.tally().not_run;
    total.unknown += simulation.tally().unknown;
  }));
  // The histories must reach all outcomes, or the property would hold for a protocol that runs nothing.
  CHECK(total.ran > 500);
  CHECK(total.not_run > 500);
  CHECK(total.unknown > 500);
}

// Guards against requests that stay without an answer, or get it after their deadline, while no daemon pauses.
TEST(OperationMachine, EveryRequestIsAnsweredInTime) {
  CHECK(CheckProperty(200, "answers", [](std::uint32_t seed) {
    Simulation simulation(seed, 4, {.loss = 30, .duplicate = 10, .max_delay_ms = 100}, 1000);
    for (int i = 0; i < 40; ++i) {
      simulation.Issue(simulation.Pick(4), simulation.Pick(4));
      simulation.Run(simulation.Pick(4), simulation.Pick(100), "pay", milliseconds(1 + simulation.Pick(2000)));
      simulation.Advance(milliseconds(simulation.Pick(200)));
    }
    simulation.Advance(std::chrono::seconds(10));
    RC_ASSERT(simulation.unanswered() == 0U);
    RC_ASSERT(simulation.tally().late == 0);
  }));
}

// Guards against an operation that needlessly fails: without faults each token runs and resends get its outcome.
TEST(OperationMachine, RunsAndRepeatsTheOutcomeWithoutFaults) {
  CHECK(CheckProperty(200, "ran", [](std::uint32_t seed) {
    Simulation simulation(seed, 3, {}, 1000);
    simulation.Issue(0, 1);
    for (int i = 0; i < 5; ++i) {
      simulation.Run(simulation.Pick(3), 0, "pay", std::chrono::seconds(1));
      simulation.Advance(milliseconds(simulation.Pick(30)));
    }
    simulation.Run(2, 0, "other", std::chrono::seconds(1));
    simulation.Advance(std::chrono::seconds(1));
    RC_ASSERT(simulation.tally().ran == 5);
    RC_ASSERT(simulation.tally().not_run == 1);
    AssertAtMostOnce(simulation);
  }));
}

// Guards against an outcome that is lost when its home stops as planned, and against a token that stays open when
// its home dies before its first use.
TEST(OperationMachine, WitnessAnswersForAHomeThatLeft) {
  CHECK(CheckProperty(200, "handed over", [](std::uint32_t seed) {
    Simulation simulation(seed, 3, {.loss = 0, .duplicate = 20, .max_delay_ms = 20}, 1000);
    simulation.Issue(0, 1);
    simulation.Issue(0, 1);
    simulation.Run(2, 0, "pay", std::chrono::seconds(1));
    simulation.Advance(milliseconds(simulation.Pick(2) == 0 ? 70 : 300));
    simulation.HandOver(0);
    simulation.Advance(milliseconds(300));
    RC_ASSERT(simulation.handed_over() == 1);
    RC_ASSERT(simulation.tally().ran + simulation.tally().not_run == 1);
    const int ran = simulation.tally().ran;
    simulation.Kill(0);
    simulation.Run(2, 0, "pay", std::chrono::seconds(1));
    simulation.Run(1, 1, "pay", std::chrono::seconds(1));
    simulation.Advance(std::chrono::seconds(1));
    RC_ASSERT(simulation.tally().ran == 2 * ran);
    RC_ASSERT(simulation.tally().not_run == 2 * (1 - ran) + 1);
    RC_ASSERT(simulation.tally().unknown == 0);
  }));
}

}  // namespace pimentomoor
