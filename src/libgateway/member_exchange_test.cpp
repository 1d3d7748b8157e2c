// Tests of the exchange of member lists at several sizes of a cell, over a network that loses, repeats and delays
// datagrams.
#include "pimentomoor/member_exchange.h"

#include <algorithm>

#include "member_simulation.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kMaxBytesPerSecond = 16'000;
constexpr std::uint64_t kMaxDatagram = 1'400;

void CheckTrue(bool holds, const std::string& what, std::size_t size) {
  const std::string text = what + ", " + std::to_string(size) + " daemons";
  CHECK_TRUE_TEXT(holds, text.c_str());
}

struct Cell : MemberSimulation {
  explicit Cell(MemberSimulationOptions options) : MemberSimulation(options) {
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      Start(i);
    }
  }

  std::size_t SumOfFull(std::size_t (MemberSimulation::*count)(std::size_t)) {
    std::size_t sum = 0;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      sum += daemons[i].exchange && IsFull(i) ? (this->*count)(i) : 0;
    }
    return sum;
  }
  std::size_t AllMissing() { return SumOfFull(&MemberSimulation::Missing); }
  std::size_t AllDead() { return SumOfFull(&MemberSimulation::Dead); }

  // Time until `reached`, at most `limit` and one step.
  Duration TimeUntil(const std::function<bool()>& reached, Duration limit, Duration step = {}) {
    // Comparing all lists of a large cell takes long.
    step = step > Duration() ? step : daemons.size() > 1'000 ? milliseconds(200) : milliseconds(20);
    const TimePoint begin = now;
    while (!reached() && now - begin <= limit) {
      RunFor(step);
    }
    return now - begin;
  }

  // Bytes a second, in the worse direction, of the daemon that has most.
  std::uint64_t BusiestBytesPerSecond(std::uint64_t run_seconds) {
    for (auto& daemon : daemons) {
      daemon.bytes_sent = daemon.bytes_received = daemon.largest = 0;
    }
    RunFor(seconds(run_seconds));
    std::uint64_t most = 0;
    for (const auto& daemon : daemons) {
      most = std::max({most, daemon.bytes_sent, daemon.bytes_received});
      CheckTrue(daemon.largest <= kMaxDatagram, std::to_string(daemon.largest) + " B in a datagram", daemons.size());
    }
    return most / run_seconds;
  }
};

// Guards against traffic that grows with the cell, lists that don't hold it, dead daemons that stay listed, and news
// that is lost on its way.
void CheckSize(MemberSimulationOptions options, Duration news_limit) {
  options.loss_percent = 1;
  options.repeat_percent = 1;
  options.late_percent = 3;
  const std::size_t size = options.daemons;
  Cell cell(options);
  cell.RunFor(seconds(10));
  CheckTrue(cell.AllMissing() == 0, "all are listed", size);
  const std::uint64_t bytes = cell.BusiestBytesPerSecond(10);
  CheckTrue(bytes <= kMaxBytesPerSecond, std::to_string(bytes) + " B/s", size);
  CheckTrue(cell.AllMissing() == 0, "all stay listed", size);

  // A relay, and in larger cells one more daemon of another domain.
  cell.End(0);
  if (size > 6) {
    cell.End(size / 2);
  }
  const Duration dead_for = cell.TimeUntil([&] { return cell.AllDead() == 0; }, seconds(6));
  CheckTrue(dead_for <= seconds(4), "a dead daemon is listed for at most 4 s", size);
  cell.RunFor(seconds(2));
  CheckTrue(cell.AllMissing() == 0, "the others stay listed", size);
  cell.Start(0);
  CheckTrue(cell.TimeUntil([&] { return cell.AllMissing() == 0; }, seconds(6)) <= news_limit,
            "a started daemon knows all and is known", size);

  const std::size_t teller = size - 1;
  cell.daemons[teller].crash = 42;
  cell.daemons[teller].revision = 9;
  cell.Announce(teller);
  const auto told = [&] {
    return std::ranges::all_of(cell.daemons, [](const auto& daemon) {
      return !daemon.exchange || (daemon.crash == 42 && daemon.revision == 9);
    });
  };
  CheckTrue(cell.TimeUntil(told, seconds(6)) <= news_limit, "crashes and revisions reach all", size);
}

}  // namespace

TEST_GROUP(MemberExchange){};

// Guards against slower news in the installations of today: six daemons in three failure domains.
TEST(MemberExchange, SixDaemonsLearnOfStartsStopsAndEndsAtOnce) {
  Cell cell({.daemons = 6, .domains = 3});
  cell.RunFor(seconds(3));
  LONGS_EQUAL(0, cell.AllMissing());
  cell.End(0);
  CHECK(cell.TimeUntil([&] { return cell.AllDead() == 0; }, seconds(4)) <= milliseconds(1'750));
  cell.RunFor(seconds(3));
  cell.Start(0);
  CHECK(cell.TimeUntil([&] { return cell.AllMissing() == 0; }, seconds(4)) <= milliseconds(300));
  cell.RunFor(seconds(3));
  cell.daemons[4].ready = false;
  cell.Announce(4);
  CHECK(cell.TimeUntil([&] { return cell.AllMissing() == 0; }, seconds(4), milliseconds(2)) <= milliseconds(10));
}

TEST(MemberExchange, ListsAndBytesHoldWith6Daemons) { CheckSize({.daemons = 6, .domains = 3}, seconds(1)); }
TEST(MemberExchange, ListsAndBytesHoldWith62Daemons) { CheckSize({.daemons = 62, .domains = 3}, seconds(2)); }
TEST(MemberExchange, ListsAndBytesHoldWith300Daemons) { CheckSize({.daemons = 300, .domains = 5}, seconds(4)); }
// Fails: see KNOWN-RED.txt. Run with -ri.
IGNORE_TEST(MemberExchange, ListsAndBytesHoldWith2700Daemons) {
  CheckSize({.daemons = 2'700, .domains = 21, .full_ranks = 3}, seconds(5));
}

// Guards against halves that don't meet again, also without seeds, against a halved count of daemons for the budgets,
// and against lists that a paused daemon leaves wrong.
TEST(MemberExchange, HalvesMeetAgainAndPausedDaemonsReturn) {
  for (const std::size_t daemons : {std::size_t{6}, std::size_t{62}}) {
    Cell cell({.daemons = daemons, .domains = 3, .seeds = 2, .loss_percent = 1});
    cell.RunFor(seconds(5));
    for (const bool seeds : {true, false}) {
      if (!seeds) {
        cell.End(0);
        cell.End(1);
      }
      cell.cut = [](std::size_t a, std::size_t b) { return (a / 3 + a % 3) % 2 != (b / 3 + b % 3) % 2; };
      cell.RunFor(seconds(60));
      for (auto& daemon : cell.daemons) {
        CheckTrue(!daemon.exchange || daemon.exchange->members().CountDaemonsForBudgets(cell.now) == daemons,
                  "all share budgets while cut", daemons);
      }
      CheckTrue(cell.AllMissing() > 0, "the cut was seen", daemons);
      cell.cut = nullptr;
      cell.RunFor(seconds(10));
      CheckTrue(cell.AllMissing() == 0 && cell.AllDead() == 0, "the halves meet again", daemons);
    }
    cell.daemons[3].paused = true;
    cell.RunFor(seconds(5));
    cell.daemons[3].paused = false;
    cell.RunFor(seconds(2));
    CheckTrue(cell.AllMissing() == 0 && cell.AllDead() == 0, "a paused daemon returns", daemons);
  }
}

// Guards against late datagrams of a previous run that replace the current one, and a reply to it whose changes begin
// at a version that the new run does not have.
TEST(MemberExchange, RestartsWithinTheTimeoutKeepTheNewIncarnation) {
  Cell cell({.daemons = 6, .domains = 3, .loss_percent = 5, .repeat_percent = 10, .late_percent = 30});
  cell.RunFor(seconds(3));
  for (int round = 0; round < 20; ++round) {
    cell.Start(static_cast<std::size_t>(round) % 6);
    cell.RunFor(milliseconds(30 + 50 * round));
  }
  cell.RunFor(seconds(3));
  CHECK(cell.AllMissing() == 0 && cell.AllDead() == 0);
}

}  // namespace pimentomoor
