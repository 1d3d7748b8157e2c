// Measures what customer limits, the crash guard and operation tokens cost, with the other side of each protocol in
// the same process.
#include <memory>
#include <optional>
#include <stdexcept>
#include <vector>

#include "bench_parts.h"
#include "pimentomoor/crash_guard.h"
#include "pimentomoor/customer_limits.h"
#include "pimentomoor/operation_task.h"

namespace pimentomoor {
namespace {

const std::vector<std::size_t> kSizes = {1'000, 2'000, 4'000, 8'000};
constexpr std::size_t kCallsPerLoopTurn = 100;
constexpr int kRuns = 5;

// Measures the CPU time of `run` for several numbers of calls. The slope of the figure is the cost of one call.
BenchFigure MeasureCalls(const std::string& name, const std::function<double(std::size_t)>& run) {
  return {"once", "CPU us, " + name, "call", MeasureSizes(kSizes, kRuns, run)};
}

void MeasureCustomerLimits(BenchReport& report) {
  const SystemClock clock;
  EventLoop loop(clock);
  Metrics metrics;
  const proto::Daemon self = BenchDaemon(1);
  const CustomerLimits limits{.queries_per_second = 1e6, .burst = 1'000'000, .concurrency = 1'000'000};
  CustomerLimitsTask task(
      loop, {.self = self}, [](const std::string&, const proto::Envelope&) { return true; },
      [&](const std::string&) { return std::optional(self); }, [] { return 32; },
      [limits](const std::string&) { return limits; }, metrics);
  std::size_t allowed = 0;
  std::size_t refused = 0;
  report.figures.push_back(
      MeasureCalls("CustomerLimitsTask::Acquire and Release, home is local", [&](std::size_t calls) {
        const std::size_t target = allowed + refused + calls;
        const double start = ProcessCpuMicroseconds();
        for (std::size_t i = 0; i < calls; ++i) {
          task.Acquire("quiroga", limits, [&](bool granted, const std::string&) {
            ++(granted ? allowed : refused);
            if (granted) {
              task.Release("quiroga");
            }
          });
          if (i % kCallsPerLoopTurn == 0) {
            loop.RunOnce(Duration::zero());
          }
        }
        if (!loop.RunUntil([&] { return allowed + refused == target; }, std::chrono::seconds(2))) {
          throw std::runtime_error("measure limits: calls without an answer");
        }
        return ProcessCpuMicroseconds() - start;
      }));
  report.notes.push_back("once: Acquire allowed " + std::to_string(allowed) + ", refused " + std::to_string(refused));
}

void MeasureCrashGuard(BenchReport& report) {
  ManualClock clock;
  EventLoop loop(clock);
  Metrics metrics;
  const proto::Daemon self = BenchDaemon(1);
  CrashGuardTask task(
      loop, {.self = self}, [](const std::string&, const proto::Envelope&) { return true; },
      [&](std::uint64_t) { return std::optional(self); }, [self] { return std::vector<proto::Daemon>{self}; },
      metrics);
  std::uint64_t fingerprint = 1;
  std::size_t wrong_verdicts = 0;
  const auto admit = [&](proto::CanaryVerdict expected) {
    task.Admit(fingerprint,
               [&](proto::CanaryVerdict verdict, std::uint32_t) { wrong_verdicts += verdict != expected ? 1 : 0; });
  };
  report.figures.push_back(
      MeasureCalls("CrashGuardTask::Admit and ReportResult, new fingerprint", [&](std::size_t calls) {
        const double start = ProcessCpuMicroseconds();
        for (std::size_t i = 0; i < calls; ++i) {
          fingerprint += 0x9e3779b97f4a7c15ULL;
          admit(proto::CANARY_GRANTED);
          task.ReportResult(fingerprint, true);
        }
        // A sentinel keeps the record of an ended canary for 2 s, and at most max_fingerprints records. The clock
        // moves on by more, so that each run includes the cost of dropping its own records.
        clock.Advance(std::chrono::seconds(5));
        admit(proto::CANARY_PROVEN);
        return ProcessCpuMicroseconds() - start;
      }));
  report.figures.push_back(MeasureCalls("CrashGuardTask::Admit, proven fingerprint", [&](std::size_t calls) {
    const double start = ProcessCpuMicroseconds();
    for (std::size_t i = 0; i < calls; ++i) {
      admit(proto::CANARY_PROVEN);
    }
    return ProcessCpuMicroseconds() - start;
  }));
  if (wrong_verdicts != 0) {
    throw std::runtime_error("measure crash guard: " + std::to_string(wrong_verdicts) + " unexpected verdicts");
  }
}

// The home of operations and its witness. Messages between them are copied, not serialised.
class OperationPair {
 public:
  OperationPair() {
    for (std::size_t i = 0; i < 2; ++i) {
      tasks_[i] = std::make_unique<OperationTask>(
          loop_, OperationOptions{.self = BenchDaemon(i), .token_key = "key"},
          [this](const std::string& address, const proto::Envelope& message) {
            const std::size_t to = address == BenchDaemon(0).peer_address() ? 0 : 1;
            loop_.Post([this, to, message] { tasks_[to]->HandleMessage(message); });
            return true;
          },
          [this](const proto::Token&, const std::string&, Duration, const OperationTask::Done& done) {
            loop_.Post([done] {
              proto::OperationResult result = MakeOperationResult(proto::OPERATION_RAN, "");
              result.set_body("paid");
              done(result);
            });
          },
          [i] { return std::optional(BenchDaemon(1 - i)); }, metrics_);
    }
  }

  double IssueTokens(std::size_t count) {
    tokens_.clear();
    const double start = ProcessCpuMicroseconds();
    for (std::size_t i = 0; i < count; ++i) {
      tokens_.push_back(tasks_[0]->IssueToken("quiroga", "cobranzas-01"));
    }
    return ProcessCpuMicroseconds() - start;
  }

  double RunOperations() {
    std::size_t ran = 0;
    std::size_t answered = 0;
    const double start = ProcessCpuMicroseconds();
    for (std::size_t i = 0; i < tokens_.size(); ++i) {
      tasks_[0]->Run(tokens_[i], "pay line 1234", std::chrono::seconds(2), [&](const proto::OperationResult& result) {
        ++answered;
        ran += result.outcome() == proto::OPERATION_RAN ? 1 : 0;
      });
      if (i % kCallsPerLoopTurn == kCallsPerLoopTurn - 1 || i + 1 == tokens_.size()) {
        loop_.RunUntil([&] { return answered == i + 1; }, std::chrono::seconds(3));
      }
    }
    const double cpu = ProcessCpuMicroseconds() - start;
    if (ran != tokens_.size()) {
      throw std::runtime_error("measure operations: " + std::to_string(ran) + " of " +
                               std::to_string(tokens_.size()) + " ran");
    }
    return cpu;
  }

 private:
  SystemClock clock_;
  EventLoop loop_{clock_};
  Metrics metrics_;
  std::vector<std::string> tokens_;
  std::unique_ptr<OperationTask> tasks_[2];
};

}  // namespace

void MeasureOnce(BenchReport& report) {
  MeasureCustomerLimits(report);
  MeasureCrashGuard(report);
  report.figures.push_back(MeasureCalls("operation token issue", [](std::size_t calls) {
    OperationPair pair;
    return pair.IssueTokens(calls);
  }));
  report.figures.push_back(MeasureCalls("operation run at its home, witness's share included", [](std::size_t calls) {
    OperationPair pair;
    pair.IssueTokens(calls);
    return pair.RunOperations();
  }));
}

}  // namespace pimentomoor
