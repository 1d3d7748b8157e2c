// Tests of the crash guard: the limit on upstreams that one request can crash.
#include "pimentomoor/crash_guard.h"

#include <cstdlib>
#include <random>
#include <set>

#include "property.h"
#include "timeline.h"

// clang-format off: CppUTest's macros for new and delete must follow all other headers.
#include <CppUTest/TestHarness.h>
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kFingerprint = 99;

// Simulates entries that resend one crashing request at the same time. Messages to the sentinel are delayed,
// duplicated and reordered, reports are lost as well, and entries die between a grant and its report. The sentinel is
// always reachable.
class CrashHistory : public Timeline {
 public:
  CrashHistory(std::uint32_t seed, int lost_report_percent)
      : random_(seed), lost_report_percent_(lost_report_percent) {}

  int Pick(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }

  void Resend() {
    const CanaryId id{1 + Pick(4), next_id_++};
    const int copies = 1 + Pick(3);
    for (int i = 0; i < copies; ++i) {
      RunAfterMs(Pick(60), [this, id] { SendCanaryRequest(id); });
    }
  }

  [[nodiscard]] const std::set<std::string>& crashed() const { return crashed_; }
  [[nodiscard]] bool quarantined() const { return StrikeCount(state_, kFingerprint) >= options_.max_strikes; }

 private:
  void RunAfterMs(int delay_ms, std::function<void()> event) {
    ScheduleAt(now_ + milliseconds(delay_ms), std::move(event));
  }

  void SendCanaryRequest(const CanaryId& id) {
    const CanaryDecision decision = DecideCanaryRequest(state_, options_, now_, kFingerprint, id);
    RunAfterMs(Pick(60), [this, id, decision] {
      const bool first_reply = answered_.insert(id).second;
      if (first_reply && decision.verdict == proto::CANARY_GRANTED) {
        RunCanary(id, decision.strikes);
      }
    });
  }

  void RunCanary(const CanaryId& id, std::uint32_t strikes) {
    if (Pick(10) == 0) {
      // The copy does not reach an upstream, for example after an overload or a timeout, so nothing crashes.
      RunAfterMs(Pick(3000), [this, id] { RecordCanaryResult(state_, options_, now_, kFingerprint, id, false); });
      return;
    }
    // A slow canary without strikes may be sent twice. The entry reports when both copies have ended.
    const int first_ms = Pick(3000);
    const int second_ms = strikes == 0 && Pick(2) == 0 ? Pick(3000) : -1;
    const std::vector<std::string> struck = {CrashUpstream(first_ms),
                                             second_ms >= 0 ? CrashUpstream(second_ms) : "u0"};
    for (int copies = Pick(100) < lost_report_percent_ ? 0 : 1 + Pick(2); copies > 0; --copies) {
      RunAfterMs(std::max(first_ms, second_ms) + Pick(Pick(4) == 0 ? 4000 : 60), [this, id, struck, second_ms] {
        RecordCanaryResult(state_, options_, now_, kFingerprint, id, false,
                           {struck.begin(), struck.end() - (second_ms >= 0 ? 0 : 1)});
      });
    }
  }

  std::string CrashUpstream(int delay_ms) {
    std::string upstream = "u" + std::to_string(Pick(6));
    RunAfterMs(delay_ms, [this, upstream] {
      crashed_.insert(upstream);
      for (int copies = Pick(100) < lost_report_percent_ ? 0 : 1 + Pick(2); copies > 0; --copies) {
        RunAfterMs(Pick(Pick(4) == 0 ? 4000 : 60),
                   [this, upstream] { RecordStrike(state_, options_, now_, kFingerprint, upstream); });
      }
    });
    return upstream;
  }

  std::mt19937 random_;
  int lost_report_percent_;
  CrashGuardOptions options_;
  CrashGuardState state_;
  std::uint64_t next_id_ = 1;
  std::set<CanaryId> answered_;
  std::set<std::string> crashed_;
};

}  // namespace

TEST_GROUP(CrashGuard) {
  CrashGuardOptions options;
  CrashGuardState state;
  TimePoint now{std::chrono::hours(1)};

  proto::CanaryVerdict AskForCanary(std::uint64_t entry, std::uint64_t id) {
    return DecideCanaryRequest(state, options, now, kFingerprint, {entry, id}).verdict;
  }
};

// Guards against a fourth crashed upstream when several entries resend the request at once.
TEST(CrashGuard, AtMostThreeUpstreamsCrash) {
  int quarantined = 0;
  CHECK(CheckProperty(1'000, "at most 3 crashed", [&](std::uint32_t seed) {
    CrashHistory history(seed, *rc::gen::element(0, 30, 100));
    for (int i = 0; i < 200; ++i) {
      history.Resend();
      history.Advance(milliseconds(history.Pick(100)));
    }
    history.Advance(std::chrono::seconds(10));
    RC_ASSERT(history.crashed().size() <= 3U);
    quarantined += history.quarantined() ? 1 : 0;
  }));
  CHECK(quarantined > 900);
}

// Guards against two canaries of one fingerprint at once, and against a request that runs in full before a canary
// has succeeded.
TEST(CrashGuard, OneCanaryAtATimeUntilSuccess) {
  CHECK(AskForCanary(1, 1) == proto::CANARY_GRANTED);
  CHECK(AskForCanary(1, 1) == proto::CANARY_GRANTED);
  CHECK(AskForCanary(2, 1) == proto::CANARY_WAIT);
  RecordCanaryResult(state, options, now, kFingerprint, {1, 1}, true);
  CHECK(AskForCanary(2, 1) == proto::CANARY_PROVEN);
}

// Guards against a fingerprint that is still refused after its quarantine, or that may run during it.
TEST(CrashGuard, QuarantineLastsTenMinutesFromTheLastStrike) {
  for (int i = 1; i <= 3; ++i) {
    CHECK(AskForCanary(1, i) == proto::CANARY_GRANTED);
    RecordCanaryResult(state, options, now, kFingerprint, {1, static_cast<std::uint64_t>(i)}, false,
                       {"u" + std::to_string(i)});
  }
  now += std::chrono::minutes(10) - milliseconds(1);
  CHECK(AskForCanary(1, 4) == proto::CANARY_QUARANTINED);
  now += milliseconds(1);
  CHECK(AskForCanary(1, 5) == proto::CANARY_GRANTED);
}

// Guards against a second strike at the same upstream that counts again, and against a strike that ends a canary
// whose other copy may still be running.
TEST(CrashGuard, StrikeCountsOnceAndEndsNoCanary) {
  RecordStrike(state, options, now, kFingerprint, "u1");
  CHECK(AskForCanary(2, 1) == proto::CANARY_GRANTED);
  RecordStrike(state, options, now, kFingerprint, "u1");
  LONGS_EQUAL(1, StrikeCount(state, kFingerprint));
  RecordStrike(state, options, now, kFingerprint, "u2");
  CHECK(AskForCanary(3, 1) == proto::CANARY_WAIT);
  RecordCanaryResult(state, options, now, kFingerprint, {2, 1}, false, {"u2"});
  LONGS_EQUAL(2, StrikeCount(state, kFingerprint));
  CHECK(AskForCanary(3, 2) == proto::CANARY_GRANTED);
}

// Guards against a canary that blocks its fingerprint for ever when its entry dies, and against an expired canary
// that counts as fewer strikes than the two copies it may have sent.
TEST(CrashGuard, SilentCanaryExpiresIntoAPresumedStrike) {
  CHECK(AskForCanary(1, 1) == proto::CANARY_GRANTED);
  now += std::chrono::seconds(2);
  CHECK(AskForCanary(2, 1) == proto::CANARY_GRANTED);
  LONGS_EQUAL(kMaxCanaryCopies, StrikeCount(state, kFingerprint));
  RecordCanaryResult(state, options, now, kFingerprint, {1, 1}, false);
  LONGS_EQUAL(0, StrikeCount(state, kFingerprint));
}

// Guards against a fingerprint that stays proven after it crashed an upstream.
TEST(CrashGuard, StrikeEndsTheProof) {
  MarkProven(state, options, kFingerprint);
  CHECK(AskForCanary(1, 1) == proto::CANARY_PROVEN);
  RecordStrike(state, options, now, kFingerprint, "u1");
  CHECK(AskForCanary(1, 2) == proto::CANARY_GRANTED);
}

// Guards against tables that grow without bound, and against dropping a running canary to make room.
TEST(CrashGuard, TablesAreBounded) {
  options.max_fingerprints = 2;
  options.max_proven_fingerprints = 2;
  for (std::uint64_t fingerprint = 1; fingerprint <= 5; ++fingerprint) {
    const auto verdict = DecideCanaryRequest(state, options, now, fingerprint, {1, fingerprint}).verdict;
    CHECK(verdict == (fingerprint <= 2 ? proto::CANARY_GRANTED : proto::CANARY_WAIT));
    MarkProven(state, options, 100 + fingerprint);
    CHECK(IsProven(state, 101));
  }
  LONGS_EQUAL(2, state.records.size());
  LONGS_EQUAL(2, state.proven.size());
  LONGS_EQUAL(2, state.proven_order.size());
  CHECK(IsProven(state, 101));  // used in each round, so other fingerprints were dropped
  now += std::chrono::minutes(20);
  ExpireCanaries(state, options, now);
  ExpireCanaries(state, options, now);
  LONGS_EQUAL(0, state.records.size());
}

}  // namespace pimentomoor
