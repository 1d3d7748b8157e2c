// Tests of the subsets of upstreams.
#include "pimentomoor/upstream_subset.h"

#include <algorithm>
#include <string>
#include <vector>

#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

TEST_GROUP(UpstreamSubset){};

// Guards against an upstream that refuses connections because more daemons send to it than it accepts connections
// from, against an upstream to which no daemon sends, and against a daemon without any upstream.
TEST(UpstreamSubset, DaemonsAndUpstreamsAreEvenlyDivided) {
  CHECK(CheckProperty(2'000, "senders are evenly shared", [] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 70);
    const auto upstreams = *rc::gen::inRange<std::size_t>(1, 25);
    const auto connections = *rc::gen::inRange<std::size_t>(1, 60);
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < daemons; ++i) {
      addresses.push_back("10.0." + std::to_string(i) + ".1:80");
    }
    std::vector<std::size_t> senders(upstreams);
    std::size_t max_senders = 0;
    for (const auto& self : addresses) {
      std::vector<std::string> others = addresses;
      std::erase(others, self);
      const UpstreamSubset subset = SubsetForDaemon("service", self, others, upstreams, connections);
      max_senders = subset.daemons_per_upstream;
      RC_ASSERT(subset.count >= 1U);
      for (std::size_t i = 0; i < upstreams; ++i) {
        senders[i] += IsInSubset(subset, i, upstreams) ? 1 : 0;
      }
    }
    const auto [fewest, most] = std::ranges::minmax(senders);
    RC_ASSERT(most <= max_senders);
    RC_ASSERT(most - fewest <= 1U);
    // Each daemon sends to at least one upstream, so too many daemons exceed the number of connections.
    RC_ASSERT(max_senders <= std::max(connections, (daemons + upstreams - 1) / upstreams));
  }));
}

}  // namespace pimentomoor
