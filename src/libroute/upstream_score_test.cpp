// Tests of the choice between searchers.
#include "pimentomoor/upstream_score.h"

#include <vector>

#include "property.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

using std::chrono::milliseconds;

constexpr Duration kExpected = milliseconds(30);
constexpr TimePoint kStart{std::chrono::hours(1)};

UpstreamCandidate CandidateAt(const UpstreamSignals& signals, TimePoint now) {
  return {.slowness = CurrentSlowness(signals, now),
          .failure_rate = CurrentFailureRate(signals, now),
          .slots = 3,
          .resting = now < signals.resting_until};
}

// Whether the searcher loses against a healthy one on every turn of the tie break.
bool Loses(const UpstreamCandidate& candidate) {
  const std::vector<UpstreamCandidate> both = {candidate, {.slots = 3}};
  return ChooseUpstream(both, kExpected, 0) == 1 && ChooseUpstream(both, kExpected, 1) == 1;
}

}  // namespace

TEST_GROUP(UpstreamScore){};

// Guards against requests that pile up at a searcher that pauses, has just paused, or fails faster than it answers,
// although another one is free.
TEST(UpstreamScore, PausingOrFailingSearcherLoses) {
  CHECK(Loses({.unanswered = 1, .oldest_unanswered = milliseconds(60), .slots = 3}));
  UpstreamSignals paused;
  RecordLatency(paused, milliseconds(250), kExpected, kStart);
  CHECK(Loses(CandidateAt(paused, kStart)));
  UpstreamSignals failed;
  RecordLatency(failed, milliseconds(3), kExpected, kStart);
  RecordFailure(failed, kStart);
  CHECK(Loses(CandidateAt(failed, kStart)));
  LONGS_EQUAL(0, ChooseUpstreamNaive(std::vector<UpstreamCandidate>(2), kExpected, 0));
}

// Guards against a searcher that refuses connections and is tried before all others, even busy and slow ones in
// another failure domain and outside the share.
TEST(UpstreamScore, RestingSearcherIsTheLastChoice) {
  UpstreamSignals signals;
  RecordConnectFailure(signals, kStart);
  const std::vector<UpstreamCandidate> both = {
      CandidateAt(signals, kStart),
      {.slowness = 6, .failure_rate = 1, .unanswered = 9, .slots = 3, .same_domain = false, .in_share = false}};
  LONGS_EQUAL(1, ChooseUpstream(both, kExpected, 0));
  CHECK_FALSE(CandidateAt(signals, kStart + milliseconds(250)).resting);
}

// Guards against a searcher that has recovered and gets no requests again: without new samples its signals fade until
// one more unanswered request at the healthy one decides.
TEST(UpstreamScore, RecoveredSearcherIsProbedAgain) {
  CHECK(CheckProperty(1'000, "searcher is probed after its signals have faded", [] {
    UpstreamSignals signals;
    const auto samples = *rc::gen::inRange(1, 60);
    for (int i = 0; i < samples; ++i) {
      const auto kind = *rc::gen::inRange(0, 3);
      if (kind == 0) {
        RecordLatency(signals, milliseconds(*rc::gen::inRange(1, 5'000)), kExpected, kStart);
      } else {
        (kind == 1 ? RecordFailure : RecordConnectFailure)(signals, kStart);
      }
    }
    const std::vector<UpstreamCandidate> both = {CandidateAt(signals, kStart + std::chrono::seconds(8)),
                                                 {.unanswered = 1, .slots = 3}};
    RC_ASSERT(ChooseUpstream(both, kExpected, 0) == 0U);
    RC_ASSERT(ChooseUpstream(both, kExpected, 1) == 0U);
  }));
}

}  // namespace pimentomoor
