// Tests of usage caps over generated histories of daemons that start, end, freeze and lose contact. The reference is
// the bound on the admitted requests in each window, and for customers within their cap the share that is refused.
#include <array>

#include "property.h"
#include "usage_simulation.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

UsageCap RandomCap(UsageSimulation& simulation) {
  constexpr std::array<double, 6> kRates = {0.3, 1, 3, 16, 30, 30};
  constexpr std::array<double, 6> kBursts = {0, 1, 2, 5, 30, 120};
  return {.requests_per_s = kRates[simulation.Random(kRates.size())],
          .burst = kBursts[simulation.Random(kBursts.size())]};
}

UsageSimulation MakeSimulation(unsigned seed, std::size_t daemons, UsageVariant variant) {
  UsageSimulation draw({.daemons = 1, .seed = seed}, {});
  std::vector<SimulatedCustomer> customers;
  for (std::size_t i = 0; i < 2; ++i) {
    const bool conforms = draw.Random(2) == 0;
    customers.push_back({.cap = RandomCap(draw),
                         .demand = conforms ? 0.9 : 4,
                         .conforms = conforms,
                         .at = draw.Random(3) == 0 ? std::optional<std::size_t>(draw.Random(3)) : std::nullopt});
  }
  return UsageSimulation({.daemons = daemons, .domains = 2 + draw.Random(3), .variant = variant, .seed = seed},
                         customers);
}

std::set<std::size_t> RandomSide(UsageSimulation& simulation, std::size_t daemons) {
  std::set<std::size_t> side;
  const std::size_t kind = simulation.Random(3);
  const std::size_t part = simulation.Random(2);
  for (std::size_t i = 0; i < daemons; ++i) {
    // One daemon alone, a failure domain, or half of the daemons.
    if (kind == 0 ? i == part : kind == 1 ? i % 4 == part : 2 * i < daemons) {
      side.insert(i);
    }
  }
  return side;
}

void Change(UsageSimulation& simulation, std::size_t daemons) {
  const std::size_t daemon = simulation.Random(daemons);
  switch (simulation.Random(6)) {
    case 0:
      return simulation.Kill(daemon);
    case 1:
      if (simulation.runs(daemon)) {
        simulation.Freeze(daemon, std::chrono::milliseconds(500 + simulation.Random(10'000)));
      }
      return;
    case 2: {  // many daemons at once
      for (std::size_t i = simulation.Random(2); i < daemons; ++i) {
        simulation.Kill(i);
      }
      return;
    }
    case 3:
    case 4: {
      const std::set<std::size_t> side = RandomSide(simulation, daemons);
      std::set<std::size_t> others;
      for (std::size_t i = 0; i < daemons; ++i) {
        others.insert(i);
      }
      std::erase_if(others, [&](std::size_t i) { return side.contains(i); });
      const std::size_t directions = simulation.Random(3);
      if (directions != 0) {
        simulation.Cut(side, others);
      }
      if (directions != 1) {
        simulation.Cut(others, side);
      }
      return;
    }
    default:
      return simulation.ChangeCap(simulation.Random(2), RandomCap(simulation));
  }
}

// Plays changes. Daemons start only while there is no cut, and hear each other before the next change: a daemon can't
// know of those from which it has been cut off since its start.
void Play(UsageSimulation& simulation, std::size_t daemons) {
  simulation.Run(std::chrono::seconds(4 + simulation.Random(8)));
  for (std::size_t i = 0; i < 1 + simulation.Random(6); ++i) {
    if (simulation.Random(2) == 0) {
      simulation.EndPauses();
      simulation.Run(std::chrono::milliseconds(100 + simulation.Random(900)));
    }
    Change(simulation, daemons);
    simulation.Run(std::chrono::milliseconds(100 + simulation.Random(8'000)));
    if (simulation.Random(2) == 0) {
      simulation.Heal();
    }
    bool started = false;
    for (std::size_t daemon = 0; daemon < daemons && !simulation.is_cut(); ++daemon) {
      if (!simulation.runs(daemon) && simulation.Random(4) > 0) {
        started = true;
        simulation.Start(daemon);
      }
    }
    if (started) {
      simulation.Run(std::chrono::milliseconds(1'500));
    }
  }
  simulation.Run(std::chrono::seconds(16));
}

}  // namespace

TEST_GROUP(UsageCapHistory){};

// Guards against more requests than the bound in some window, through any changes of the daemons, cuts and caps, and
// against refusals below the cap once nothing has changed for a while.
TEST(UsageCapHistory, WindowsStayWithinTheBoundThroughAnyHistory) {
  std::uint64_t settled_requests = 0;
  std::uint64_t settled_refusals = 0;
  CHECK(CheckProperty(1'000, "usage caps through any history", [&] {
    const auto seed = *rc::gen::arbitrary<unsigned>();
    const auto daemons = 3 + *rc::gen::inRange<std::size_t>(0, 10);
    UsageSimulation simulation = MakeSimulation(seed, daemons, UsageVariant::kExchange);
    Play(simulation, daemons);
    settled_requests += simulation.settled_requests;
    settled_refusals += simulation.settled_refusals;
    RC_ASSERT(simulation.MaxExcess() <= 0);
  }));
  CHECK(settled_requests > 10'000);
  CHECK(100 * settled_refusals < settled_requests);
}

// Guards against a customer that loses requests below its cap because another one sends ten times its cap, or because
// its requests come to one daemon or to many. The naive variants fail this or the bound.
TEST(UsageCapHistory, CustomersWithinTheirCapLoseNothingBesideOneFarBeyondIts) {
  struct Outcome {
    double excess = 0;
    double refused = 0;  // share of the requests
  };
  const auto play = [](UsageVariant variant) -> Outcome {
    std::vector<SimulatedCustomer> customers(81, {.cap = {.requests_per_s = 1, .burst = 2}, .demand = 0.9});
    customers[0] = {.cap = {.requests_per_s = 20, .burst = 20}, .demand = 10, .conforms = false};
    for (std::size_t i = 1; i < customers.size(); i += 2) {
      customers[i].at = i % 8;
    }
    UsageSimulation simulation({.daemons = 16, .variant = variant}, customers);
    simulation.Run(std::chrono::seconds(40));
    return {.excess = simulation.MaxExcess(),
            .refused =
                static_cast<double>(simulation.settled_refusals) / static_cast<double>(simulation.settled_requests)};
  };
  const auto [excess, refused] = play(UsageVariant::kExchange);
  CHECK(excess <= 0);
  CHECK(refused < 0.01);
  CHECK(play(UsageVariant::kWholeCap).excess > 0);
  CHECK(play(UsageVariant::kEqualShare).refused > 0.01);
}

}  // namespace pimentomoor
