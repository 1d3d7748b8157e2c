// Tests of the bound on unfinished messages.
#include "pimentomoor/receive_budget.h"

#include <vector>

#include "test_loop.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

constexpr std::size_t kLimitBytes = 100;

}  // namespace

TEST_GROUP(ReceiveBudget) {
  ManualClock clock;
  EventLoop loop{clock};
  ReceiveBudget budget{loop, kLimitBytes};
  std::vector<std::string> revoked;
  std::vector<std::unique_ptr<ReceivedBytes>> held;

  /// Adds a connection of `sender` that drops its message when it is revoked.
  ReceivedBytes& Hold(const std::string& sender, const std::string& message, std::size_t bytes) {
    held.push_back(std::make_unique<ReceivedBytes>(budget, sender, [this, message] { revoked.push_back(message); }));
    held.back()->Set(bytes);
    return *held.back();
  }
  void RunTurn() { loop.RunOnce(Duration::zero()); }
};

// Guards against revoking the message of a sender that holds little because others hold much.
TEST(ReceiveBudget, TheGreediestSenderLosesItsLargestMessage) {
  Hold("honest", "honest-1", 45);
  Hold("greedy", "greedy-1", 20);
  Hold("greedy", "greedy-2", 30);
  RunTurn();
  CHECK(revoked.empty());
  Hold("late", "late-1", 10);
  RunTurn();
  CHECK_EQUAL(1U, revoked.size());
  CHECK_EQUAL(std::string("greedy-2"), revoked.front());
  CHECK_EQUAL(75U, budget.bytes());
}

// Guards against a sum that doesn't follow messages that grow, end or are dropped.
TEST(ReceiveBudget, FinishedMessagesMakeRoom) {
  auto& growing = Hold("a", "growing", 10);
  for (std::size_t bytes = 20; bytes <= kLimitBytes; bytes += 10) {
    growing.Set(bytes);
  }
  growing.Set(0);
  Hold("b", "next", kLimitBytes);
  held.erase(held.begin());
  RunTurn();
  CHECK(revoked.empty());
  CHECK_EQUAL(kLimitBytes, budget.bytes());
  held.clear();
  CHECK_EQUAL(0U, budget.bytes());
}

// Guards against an endless loop, or a held message that is left, when one message alone exceeds the limit.
TEST(ReceiveBudget, AMessageAboveTheLimitIsRevoked) {
  Hold("a", "large", kLimitBytes + 1);
  Hold("b", "small", 1);
  RunTurn();
  CHECK_EQUAL(1U, revoked.size());
  CHECK_EQUAL(std::string("large"), revoked.front());
}

}  // namespace pimentomoor
