// Tests of the choice of a replica.
#include "pimentomoor/replica_policy.h"

#include <cstdlib>
#include <random>
#include <tuple>
#include <vector>

#include "CppUTest/TestHarness.h"  // after the others: its macro "new" breaks standard headers
#include "property.h"

namespace pimentomoor {

TEST_GROUP(ReplicaPolicy){};

// Guards against choosing an unusable or already tried replica, and against a choice other than the cheaper of the
// two candidates that the random number selects. Also guards against an uneven choice by the naive variant.
TEST(ReplicaPolicy, ChoosesTheCheaperOfTwoEligibleReplicas) {
  CHECK(CheckProperty(1'000, "two choices", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::vector<ReplicaCandidate> all(random() % 6);
    std::vector<std::size_t> usable;
    std::vector<std::size_t> eligible;
    for (std::size_t i = 0; i < all.size(); ++i) {
      all[i] = {.usable = random() % 4 != 0, .tried = random() % 4 == 0, .same_domain = random() % 2 == 0};
      all[i].load_percent = 50 * static_cast<std::uint32_t>(random() % 4);
      all[i].outstanding = static_cast<std::uint32_t>(random() % 3);
      all[i].latency = std::chrono::milliseconds(random() % 3);
      if (all[i].usable) {
        usable.push_back(i);
        eligible.insert(eligible.end(), all[i].tried ? 0 : 1, i);
      }
    }
    for (std::size_t i = 0; i < usable.size(); ++i) {
      RC_ASSERT(ChooseReplicaNaive(all, i) == usable[i]);
    }
    RC_ASSERT(ChooseReplicaNaive(all, 0).has_value() == !usable.empty());
    const std::uint64_t a = random() >> 32U;
    const std::uint64_t b = random() >> 32U;
    const std::optional<std::size_t> chosen = ChooseReplica(all, b << 32U | a);
    RC_ASSERT(chosen.has_value() == !eligible.empty());
    if (eligible.empty()) {
      return;
    }
    const std::size_t first = eligible[a % eligible.size()];
    eligible.erase(eligible.begin() + static_cast<std::ptrdiff_t>(a % eligible.size()));
    const std::size_t second = eligible.empty() ? first : eligible[b % eligible.size()];
    const auto cost =
        [&](const ReplicaCandidate& c) {  // latency times load in percent of 100 us, then the failure domain
          const std::int64_t latency = c.latency.count() == 0 ? 1 : c.latency.count() / 100'000;
          return std::tuple(latency * (100 + c.load_percent + 100 * c.outstanding), !c.same_domain);
        };
    RC_ASSERT(*chosen == (cost(all[second]) < cost(all[first]) ? second : first));
  }));
}

// Guards against a replica that always answers too late and stays preferred because its latency was never measured,
// and against a replica that is avoided forever after it was slow once.
TEST(ReplicaPolicy, UnansweredAttemptsRaiseTheEstimateUntilItFades) {
  using std::chrono::milliseconds;
  TimePoint now{std::chrono::hours(1)};
  const LatencyEstimate fast = AddAnswerLatency({}, milliseconds(10), now);
  const LatencyEstimate slow = AddUnansweredWait({}, milliseconds(90), now);
  CHECK(CurrentLatency(slow, now) == milliseconds(90));
  CHECK(AddUnansweredWait(fast, milliseconds(5), now) == fast);
  CHECK(CurrentLatency(AddUnansweredWait(fast, milliseconds(90), now), now) > milliseconds(10));
  const std::vector<ReplicaCandidate> candidates = {{.upstream = "slow", .latency = CurrentLatency(slow, now)},
                                                    {.upstream = "fast", .latency = CurrentLatency(fast, now)}};
  CHECK(ChooseReplica(candidates, 0) == 1U);
  now += 4 * kLatencyHalfLife;
  CHECK(CurrentLatency(slow, now) < milliseconds(10));
}

}  // namespace pimentomoor
