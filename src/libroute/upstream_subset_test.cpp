// Tests of the sets of senders.
#include "pimentomoor/upstream_subset.h"

#include <algorithm>
#include <string>
#include <vector>

#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

TEST_GROUP(SenderSet){};

// Guards against a searcher that refuses connections because it has more senders than divide its connections, a
// searcher without any sender, and a daemon that has nowhere to send.
TEST(SenderSet, SearchersAndSendersAreEvenlyShared) {
  CHECK(CheckProperty(2'000, "senders are evenly shared", [] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 70);
    const auto searchers = *rc::gen::inRange<std::size_t>(1, 25);
    const auto connections = *rc::gen::inRange<std::size_t>(1, 60);
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < daemons; ++i) {
      addresses.push_back("10.0." + std::to_string(i) + ".1:80");
    }
    std::vector<std::size_t> senders(searchers);
    std::size_t allowed = 0;
    for (const auto& self : addresses) {
      std::vector<std::string> others = addresses;
      std::erase(others, self);
      const UpstreamSubset share = SubsetForDaemon("service", self, others, searchers, connections);
      allowed = share.daemons_per_upstream;
      RC_ASSERT(share.count >= 1U);
      for (std::size_t i = 0; i < searchers; ++i) {
        senders[i] += IsInSubset(share, i, searchers) ? 1 : 0;
      }
    }
    const auto [fewest, most] = std::ranges::minmax(senders);
    RC_ASSERT(most <= allowed);
    RC_ASSERT(most - fewest <= 1U);
    // With one searcher for each daemon the limit can't be kept when there are too many daemons.
    RC_ASSERT(allowed <= std::max(connections, (daemons + searchers - 1) / searchers));
  }));
}

}  // namespace pimentomoor
