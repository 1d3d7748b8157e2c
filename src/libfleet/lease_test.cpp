// Tests of lease, takeover and object store.
#include "pimentomoor/lease.h"

#include <algorithm>
#include <cstdlib>

#include "pimentomoor/object_store.h"
#include "pimentomoor/takeover.h"
#include "property.h"

// Last, because its macros redefine new.
// clang-format off
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

LeaseState LeaseOf(std::size_t members) {
  LeaseState state;
  StartLeaseEpoch(state, 7, members);
  return state;
}

proto::View ViewOf(std::uint64_t epoch, std::size_t previous) {
  proto::View view;
  view.set_epoch(epoch);
  for (std::size_t i = 1; i <= previous; ++i) {
    proto::Daemon* member = view.add_previous_members();
    member->set_host("h" + std::to_string(i));
    member->set_peer_address("a" + std::to_string(i));
    member->set_incarnation(i);
  }
  return view;
}

}  // namespace

TEST_GROUP(Lease){};

// Guards against a lease that runs from the receipt of replies, or from a heartbeat that no majority has answered.
// The reference tries each send time and counts the peers that answered the heartbeat of that time or a later one.
TEST(Lease, RunsFromTheNewestMajority) {
  CHECK(CheckProperty(1'000, "newest majority", [] {
    const auto members = *rc::gen::inRange<std::size_t>(2, 9);
    LeaseState state = LeaseOf(members);
    std::map<std::uint64_t, std::uint64_t> answered;  // by peer: newest sequence number that it answered
    for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
      OnHeartbeatSent(state, sequence, kStart + milliseconds(100) * sequence);
    }
    const auto replies = *rc::gen::container<std::vector<std::pair<std::uint64_t, std::uint64_t>>>(
        rc::gen::pair(rc::gen::inRange<std::uint64_t>(1, members), rc::gen::inRange<std::uint64_t>(1, 7)));
    for (const auto& [peer, sequence] : replies) {
      RC_ASSERT(OnHeartbeatReply(state, {.incarnation = peer, .sequence = sequence, .epoch = 7}));
      answered[peer] = std::max(answered[peer], sequence);
    }
    TimePoint expected{};
    for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
      const auto votes = 1 + std::count_if(answered.begin(), answered.end(),
                                           [&](const auto& item) { return item.second >= sequence; });
      if (static_cast<std::size_t>(votes) * 2 > members) {
        expected = kStart + milliseconds(100) * sequence + state.duration;
      }
    }
    RC_ASSERT(state.expires_at == expected);
  }));
}

// Guards against a lease that is renewed by a reply of another epoch, a reply to an unknown heartbeat or one of an
// earlier epoch, or a peer that has a newer version, has versions that are not all known, or lacks a held key.
TEST(Lease, RefusesRepliesThatMustNotRenew) {
  LeaseState state = LeaseOf(3);
  OnHeartbeatSent(state, 1, kStart);
  CHECK_FALSE(OnHeartbeatReply(state, {.incarnation = 2, .sequence = 1, .epoch = 6}));
  CHECK_FALSE(OnHeartbeatReply(state, {.incarnation = 2, .sequence = 1, .epoch = 8}));
  CHECK_FALSE(OnHeartbeatReply(state, {.incarnation = 2, .sequence = 2, .epoch = 7}));
  CHECK_FALSE(
      OnHeartbeatReply(state, {.incarnation = 2, .sequence = 1, .epoch = 7, .peer_has_newer_versions = true}));
  CHECK_FALSE(OnHeartbeatReply(state, {.incarnation = 2, .sequence = 1, .epoch = 7, .peer_versions_unknown = true}));
  CHECK_FALSE(OnHeartbeatReply(state, {.incarnation = 2, .sequence = 1, .epoch = 7, .peer_lacks_keys = true}));
  CHECK_FALSE(LeaseValid(state, kStart));
  StartLeaseEpoch(state, 8, 3);
  CHECK_FALSE(OnHeartbeatReply(state, {.incarnation = 2, .sequence = 1, .epoch = 8}));
}

// Guards against a lease that stays valid during a pause of the process or after removal from the view.
TEST(Lease, ExpiresWithTimeAndWithMembership) {
  LeaseState state = LeaseOf(1);
  OnHeartbeatSent(state, 1, kStart);
  CHECK(LeaseValid(state, kStart + milliseconds(2'499)));
  CHECK_FALSE(LeaseValid(state, kStart + milliseconds(2'500)));
  StartLeaseEpoch(state, 8, 2);
  CHECK(LeaseValid(state, kStart + milliseconds(1)));
  StartLeaseEpoch(state, 9, 0);
  CHECK_FALSE(LeaseValid(state, kStart + milliseconds(1)));
}

// Guards against a platform read that renews the lease from the time of its answer, or for another epoch.
TEST(Lease, PlatformReadCountsFromItsSendTime) {
  LeaseState state = LeaseOf(3);
  OnPlatformRead(state, 6, kStart);
  CHECK_FALSE(LeaseValid(state, kStart));
  OnPlatformRead(state, 7, kStart);
  CHECK(state.expires_at == kStart + state.duration);
}

// Guards against a takeover that ends before a majority has acknowledged the epoch, before TakeoverWait() is over, or
// without a reason; and against acknowledgements that are counted for non-members, older epochs, or twice.
TEST(Lease, TakeoverWaitsForMajorityAndTime) {
  EpochAcks acks = StartEpoch(ViewOf(5, 3), kStart);
  OnEpochReported(acks, 1, 4, kStart);
  OnEpochReported(acks, 99, 5, kStart);
  OnEpochReported(acks, 1, 5, kStart);
  OnEpochReported(acks, 1, 6, kStart);
  CHECK_FALSE(MayWriteNextView(acks));
  OnAnswerFrom(acks, "a1", 50, kStart);
  OnAnswerFrom(acks, "a2", 2, kStart);
  CHECK_FALSE(MayWriteNextView(acks));
  OnAnswerFrom(acks, "a2", 50, kStart + milliseconds(10));
  CHECK(MayWriteNextView(acks));

  Takeover takeover{.epoch = 5};
  CHECK_FALSE(TakeoverDone(takeover, milliseconds(2'500), kStart + std::chrono::hours(1)));
  takeover.excluded_at = acks.acknowledged_at;
  CHECK_FALSE(TakeoverDone(takeover, milliseconds(2'500), kStart + milliseconds(10 + 4'624)));
  CHECK(TakeoverDone(takeover, milliseconds(2'500), kStart + milliseconds(10 + 4'625)));
  CHECK(TakeoverDone({.epoch = 5, .released = true}, milliseconds(2'500), kStart));
}

// Guards against a member that counts as acknowledged while the host list still shows it, and against a report of an
// older epoch that counts as an acknowledgement of the current one.
TEST(Lease, GoneHostsAndOtherDaemonsAcknowledge) {
  EpochAcks acks = StartEpoch(ViewOf(5, 2), kStart);
  OnHostGone(acks, "h1", kStart);
  CHECK_FALSE(MayWriteNextView(acks));
  OnHostGone(acks, "h2", kStart);
  CHECK(MayWriteNextView(acks));
  acks = StartEpoch(ViewOf(5, 2), kStart);
  OnAcknowledgementReported(acks, 4, kStart);
  CHECK_FALSE(MayWriteNextView(acks));
  OnAcknowledgementReported(acks, 5, kStart);
  CHECK(MayWriteNextView(acks));
}

// Guards against an older or equal version that replaces the held one, in whatever order versions arrive.
TEST(Lease, ObjectStoreNeverGoesBack) {
  CHECK(CheckProperty(1'000, "versions", [](const std::vector<std::uint8_t>& versions) {
    ObjectStore store;
    std::uint64_t newest = 0;
    for (const std::uint8_t version : versions) {
      const PlatformObject object{.key = "k", .version = version, .value = std::to_string(version)};
      RC_ASSERT(store.Adopt(object) == (version > newest));
      newest = std::max<std::uint64_t>(newest, version);
      RC_ASSERT(store.version("k") == newest);
    }
  }));
}

// Guards against a fetch list that misses a newer version or an unknown key, or names a version that is held already.
TEST(Lease, FindsKeysToFetchAndMissingKeys) {
  const VersionMap mine{{"a", 2}, {"b", 2}};
  CHECK(KeysToFetch(mine, {{"a", 1}, {"b", 3}, {"c", 1}}) == (std::vector<std::string>{"b", "c"}));
  CHECK(Covers({{"a", 2}, {"b", 5}, {"c", 1}}, mine));
  CHECK_FALSE(Covers({{"a", 2}, {"b", 1}}, mine));
  CHECK(LacksKey({{"a", 9}}, mine));
  CHECK_FALSE(LacksKey({{"a", 1}, {"b", 1}}, mine));
}

}  // namespace pimentomoor
