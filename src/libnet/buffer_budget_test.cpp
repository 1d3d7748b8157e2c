// Tests of the bound on buffered messages.
#include "pimentomoor/buffer_budget.h"

#include <vector>

#include "test_loop.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

constexpr std::size_t kLimitBytes = 100;

}  // namespace

TEST_GROUP(BufferBudget) {
  ManualClock clock;
  EventLoop loop{clock};
  BufferBudget budget{loop, kLimitBytes};
  std::vector<std::string> revoked;
  std::vector<std::unique_ptr<BufferedBytes>> buffers;

  /// Adds a connection of `peer` that drops its message when it is revoked.
  BufferedBytes& Buffer(const std::string& peer, const std::string& message, std::size_t bytes) {
    buffers.push_back(std::make_unique<BufferedBytes>(budget, peer, [this, message] { revoked.push_back(message); }));
    buffers.back()->Set(bytes);
    return *buffers.back();
  }
  void RunTurn() { loop.RunOnce(Duration::zero()); }
};

// Guards against revoking the message of a peer that occupies little because others occupy much.
TEST(BufferBudget, TheGreediestPeerLosesItsLargestMessage) {
  Buffer("honest", "honest-1", 45);
  Buffer("greedy", "greedy-1", 20);
  Buffer("greedy", "greedy-2", 30);
  RunTurn();
  CHECK(revoked.empty());
  Buffer("late", "late-1", 10);
  RunTurn();
  CHECK_EQUAL(1U, revoked.size());
  CHECK_EQUAL(std::string("greedy-2"), revoked.front());
  CHECK_EQUAL(75U, budget.bytes());
}

// Guards against a sum that doesn't follow messages that grow, end or are dropped.
TEST(BufferBudget, FinishedMessagesMakeRoom) {
  auto& growing = Buffer("a", "growing", 10);
  for (std::size_t bytes = 20; bytes <= kLimitBytes; bytes += 10) {
    growing.Set(bytes);
  }
  growing.Set(0);
  Buffer("b", "next", kLimitBytes);
  buffers.erase(buffers.begin());
  RunTurn();
  CHECK(revoked.empty());
  CHECK_EQUAL(kLimitBytes, budget.bytes());
  buffers.clear();
  CHECK_EQUAL(0U, budget.bytes());
}

// Guards against an endless loop, or a message that is left, when one message alone exceeds the limit.
TEST(BufferBudget, AMessageAboveTheLimitIsRevoked) {
  Buffer("a", "large", kLimitBytes + 1);
  Buffer("b", "small", 1);
  RunTurn();
  CHECK_EQUAL(1U, revoked.size());
  CHECK_EQUAL(std::string("large"), revoked.front());
}

}  // namespace pimentomoor
