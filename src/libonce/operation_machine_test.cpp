// Property tests of the operation token protocol on generated histories: each operation runs at most once.
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
  int loss_percent = 0;       // of messages
  int duplicate_percent = 0;  // of messages
  int max_delay_ms = 5;
  int slow_percent = 0;  // of messages, which are delayed by up to three seconds
};

struct Host {
  proto::Daemon self;
  std::optional<OperationMachine> machine;
  double clock_rate = 1;
  TimePoint paused_until;
};

struct TokenObservations {
  proto::Daemon home;
  int executions = 0;
  std::string executed_body;
  std::set<std::string> bodies_answered_not_run;
};

struct AnswerCounts {
  int ran = 0;
  int not_run = 0;
  int unknown = 0;
  int late = 0;  // answers after the deadline
};

class Simulation {
 public:
  Simulation(std::uint32_t seed, std::size_t hosts, Faults faults, std::size_t max_tokens)
      : random_(seed), faults_(faults), max_tokens_(max_tokens), hosts_(hosts) {
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_[i].clock_rate = 0.8 + 0.1 * Pick(5);
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

  void IssueToken(std::size_t home, std::size_t witness) {
    if (hosts_[home].machine && home != witness) {
      const auto text = hosts_[home].machine->IssueToken(LocalTime(hosts_[home]), hosts_[witness].self, "c", "s");
      if (text) {
        token_texts_.push_back(*text);
        observations_[*text].home = hosts_[home].self;
      }
    }
  }

  void Run(std::size_t entry, std::size_t token, const std::string& body, Duration remaining) {
    if (token_texts_.empty() || !hosts_[entry].machine || hosts_[entry].paused_until > now_) {
      return;
    }
    const std::string& text = token_texts_[token % token_texts_.size()];
    OperationEffects effects;
    const std::uint64_t id = hosts_[entry].machine->Run(LocalTime(hosts_[entry]), text, body, remaining, effects);
    open_requests_[{hosts_[entry].self.incarnation(), id}] = {text, body, now_ + remaining * 5 / 4 + milliseconds(1)};
    ApplyEffects(entry, effects);
  }

  void HandOverOutcomes(std::size_t i) {
    if (hosts_[i].machine) {
      OperationEffects effects;
      hosts_[i].machine->HandOverOutcomes(LocalTime(hosts_[i]), effects);
      ApplyEffects(i, effects);
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
        next = std::min(next, WakeTime(host));
      }
      now_ = std::max(now_, next);
      if (now_ >= end) {
        return;
      }
      RunDueEvents();
    }
  }

  [[nodiscard]] std::size_t unanswered() const { return open_requests_.size(); }
  [[nodiscard]] const std::map<std::string, TokenObservations>& observations() const { return observations_; }
  [[nodiscard]] const AnswerCounts& answer_counts() const { return answer_counts_; }
  [[nodiscard]] int handed_over() const { return handed_over_; }
  [[nodiscard]] bool has_violation() const { return !violation_.empty(); }
  [[nodiscard]] const std::string& violation() const { return violation_; }

 private:
  struct OpenRequest {
    std::string text;
    std::string body;
    TimePoint latest_answer_at;  // the deadline when the clock of the entry is the slowest, with rate 0.8
  };

  // Returns the time on the host's own clock, whose origin and rate differ from those of other hosts.
  [[nodiscard]] TimePoint LocalTime(const Host& host) const {
    return TimePoint(std::chrono::duration_cast<Duration>(now_.time_since_epoch() * host.clock_rate));
  }
  [[nodiscard]] TimePoint WakeTime(const Host& host) const {
    const auto wake = host.machine ? host.machine->NextWake() : std::nullopt;
    if (!wake) {
      return TimePoint::max();
    }
    const Duration due = std::chrono::duration_cast<Duration>(wake->time_since_epoch() / host.clock_rate);
    return std::max(TimePoint(due + Duration(2)), host.paused_until);
  }

  void RunDueEvents() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      events_.extract(events_.begin()).mapped()();
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (WakeTime(hosts_[i]) <= now_) {
        OperationEffects effects;
        hosts_[i].machine->Tick(LocalTime(hosts_[i]), effects);
        ApplyEffects(i, effects);
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
    ApplyEffects(i, effects);
  }

  void ApplyEffects(std::size_t i, const OperationEffects& effects) {
    for (const auto& message : effects.messages) {
      for (int copies = Pick(100) < faults_.duplicate_percent ? 2 : 1; copies > 0; --copies) {
        if (Pick(100) >= faults_.loss_percent) {
          const int delay = Pick(100) < faults_.slow_percent ? Pick(3000) : 1 + Pick(faults_.max_delay_ms);
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

  // Runs the operation at its upstream after a delay, whether or not the home is still alive. With faults, it may be
  // refused (case 1), be lost before it runs (2), or run and lose its answer (3).
  void Dispatch(std::size_t i, const OperationEffects::Dispatch& dispatch) {
    const std::string text = EncodeToken(dispatch.token, "k");
    const bool faulty = faults_.loss_percent > 0;
    const int failure_case = faulty ? Pick(4) : 0;
    const Duration delay = milliseconds(faulty ? Pick(800) : 10);
    const std::uint64_t incarnation = hosts_[i].self.incarnation();
    events_.emplace(now_ + delay, [=, this] {
      proto::OperationResult result = MakeOperationResult(proto::OPERATION_UNKNOWN, "connection lost");
      if (failure_case == 1) {
        result = MakeOperationResult(proto::OPERATION_NOT_RUN, "connection refused");
      } else if (failure_case != 2) {
        TokenObservations& observations = observations_[text];
        ++observations.executions;
        observations.executed_body = dispatch.body;
        result.set_outcome(failure_case == 3 ? proto::OPERATION_UNKNOWN : proto::OPERATION_RAN);
        result.set_body(failure_case == 3 ? "" : "answer to " + dispatch.body);
      }
      events_.emplace(now_ + milliseconds(faulty ? Pick(1500) : 1), [=, this] {
        if (hosts_[i].machine && hosts_[i].self.incarnation() == incarnation) {
          OperationEffects effects;
          hosts_[i].machine->FinishDispatch(LocalTime(hosts_[i]), dispatch.token, result, effects);
          ApplyEffects(i, effects);
        }
      });
    });
  }

  void Answer(std::uint64_t incarnation, const OperationEffects::Answer& answer) {
    const auto request = open_requests_.extract({incarnation, answer.run_id});
    if (request.empty()) {
      violation_ = "second answer to one request";
      return;
    }
    TokenObservations& observations = observations_[request.mapped().text];
    answer_counts_.late += now_ > request.mapped().latest_answer_at ? 1 : 0;
    switch (answer.result.outcome()) {
      case proto::OPERATION_RAN:
        ++answer_counts_.ran;
        if (observations.executions != 1 || answer.result.body() != "answer to " + observations.executed_body ||
            observations.executed_body != request.mapped().body) {
          violation_ = "answered RAN without the upstream's outcome";
        }
        break;
      case proto::OPERATION_NOT_RUN:
        ++answer_counts_.not_run;
        observations.bodies_answered_not_run.insert(request.mapped().body);
        break;
      case proto::OPERATION_UNKNOWN:
        ++answer_counts_.unknown;
        break;
      default:
        violation_ = "answer without an outcome";
    }
  }

  std::mt19937 random_;
  Faults faults_;
  std::size_t max_tokens_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Host> hosts_;
  std::uint64_t last_incarnation_ = 0;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::string> token_texts_;
  std::map<std::string, TokenObservations> observations_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, OpenRequest> open_requests_;
  AnswerCounts answer_counts_;
  int handed_over_ = 0;
  std::string violation_;
};

void RandomStep(Simulation& simulation, int step) {
  const auto host = [&] { return static_cast<std::size_t>(simulation.Pick(4)); };
  if (step < 20) {
    simulation.IssueToken(host(), host());
  } else if (step < 70) {
    const std::string body = simulation.Pick(6) == 0 ? "other" : "pay";
    // Any token may be chosen, so that old ones are also resent after they have expired.
    simulation.Run(host(), simulation.Pick(1000), body, milliseconds(1 + simulation.Pick(2000)));
  } else if (step < 76) {
    simulation.Kill(host());
  } else if (step < 86) {
    simulation.Restart(host());
  } else if (step < 94) {
    simulation.Pause(host(), milliseconds(simulation.Pick(3000)));
  } else if (step < 96) {
    simulation.HandOverOutcomes(host());
  }
  simulation.Advance(milliseconds(simulation.Pick(step % 7 == 0 ? 2000 : 100)));
}

void AssertAtMostOnce(const Simulation& simulation) {
  RC_ASSERT(simulation.violation() == "");
  for (const auto& [text, observations] : simulation.observations()) {
    RC_ASSERT(observations.executions <= 1);
    if (observations.executions == 1) {
      RC_ASSERT(!observations.bodies_answered_not_run.contains(observations.executed_body));
    }
  }
}

}  // namespace

TEST_GROUP(OperationMachine){};

// Guards against a second execution, against the answer "not run" for an operation that runs before or later, and
// against the answer "ran" with a body that is not the upstream's, under every mix of faults.
TEST(OperationMachine, AtMostOnceUnderFaults) {
  AnswerCounts total;
  CHECK(CheckProperty(1'000, "at most once", [&](std::uint32_t seed) {
    const Faults faults{.loss_percent = *rc::gen::element(1, 10, 40),
                        .duplicate_percent = *rc::gen::element(0, 20),
                        .max_delay_ms = *rc::gen::element(5, 100, 400),
                        .slow_percent = *rc::gen::element(0, 5, 20)};
    Simulation simulation(seed, 4, faults, *rc::gen::element<std::size_t>(2, 8, 1000));
    for (const int step : *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 100))) {
      RandomStep(simulation, step);
    }
    simulation.Advance(std::chrono::seconds(10));
    AssertAtMostOnce(simulation);
    total.ran += simulation.answer_counts().ran;
    total.not_run += simulation.answer_counts().not_run;
    total.unknown += simulation.answer_counts().unknown;
  }));
  // The histories must reach all outcomes, because the property also holds for a protocol that runs nothing.
  CHECK(total.ran > 500);
  CHECK(total.not_run > 500);
  CHECK(total.unknown > 500);
}

// Guards against requests that get no answer, or get it after their deadline, while no daemon pauses.
TEST(OperationMachine, EveryRequestIsAnsweredInTime) {
  CHECK(CheckProperty(200, "answers", [](std::uint32_t seed) {
    Simulation simulation(seed, 4, {.loss_percent = 30, .duplicate_percent = 10, .max_delay_ms = 100}, 1000);
    for (int i = 0; i < 40; ++i) {
      simulation.IssueToken(simulation.Pick(4), simulation.Pick(4));
      simulation.Run(simulation.Pick(4), simulation.Pick(100), "pay", milliseconds(1 + simulation.Pick(2000)));
      simulation.Advance(milliseconds(simulation.Pick(200)));
    }
    simulation.Advance(std::chrono::seconds(10));
    RC_ASSERT(simulation.unanswered() == 0U);
    RC_ASSERT(simulation.answer_counts().late == 0);
  }));
}

// Guards against operations that fail without need: without faults each token runs, and resends get its outcome.
TEST(OperationMachine, RunsAndRepeatsTheOutcomeWithoutFaults) {
  CHECK(CheckProperty(200, "ran", [](std::uint32_t seed) {
    Simulation simulation(seed, 3, {}, 1000);
    simulation.IssueToken(0, 1);
    for (int i = 0; i < 5; ++i) {
      simulation.Run(simulation.Pick(3), 0, "pay", std::chrono::seconds(1));
      simulation.Advance(milliseconds(simulation.Pick(30)));
    }
    simulation.Run(2, 0, "other", std::chrono::seconds(1));
    simulation.Advance(std::chrono::seconds(1));
    RC_ASSERT(simulation.answer_counts().ran == 5);
    RC_ASSERT(simulation.answer_counts().not_run == 1);
    AssertAtMostOnce(simulation);
  }));
}

// Guards against an outcome that is lost in a planned stop of its home, and against a token without a certain outcome
// when its home stops before the first use.
TEST(OperationMachine, WitnessAnswersForAHomeThatLeft) {
  CHECK(CheckProperty(200, "handed over", [](std::uint32_t seed) {
    Simulation simulation(seed, 3, {.loss_percent = 0, .duplicate_percent = 20, .max_delay_ms = 20}, 1000);
    simulation.IssueToken(0, 1);
    simulation.IssueToken(0, 1);
    simulation.Run(2, 0, "pay", std::chrono::seconds(1));
    simulation.Advance(milliseconds(simulation.Pick(2) == 0 ? 70 : 300));
    simulation.HandOverOutcomes(0);
    simulation.Advance(milliseconds(300));
    RC_ASSERT(simulation.handed_over() == 1);
    RC_ASSERT(simulation.answer_counts().ran + simulation.answer_counts().not_run == 1);
    const int ran = simulation.answer_counts().ran;
    simulation.Kill(0);
    simulation.Run(2, 0, "pay", std::chrono::seconds(1));
    simulation.Run(1, 1, "pay", std::chrono::seconds(1));
    simulation.Advance(std::chrono::seconds(1));
    RC_ASSERT(simulation.answer_counts().ran == 2 * ran);
    RC_ASSERT(simulation.answer_counts().not_run == 2 * (1 - ran) + 1);
    RC_ASSERT(simulation.answer_counts().unknown == 0);
  }));
}

}  // namespace pimentomoor
