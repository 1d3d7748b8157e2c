// Decides whether the answers of the version that a roll-out introduces are worse than those of the other versions of
// the service over the same time. Pure: counts and the time are arguments.
//
// An answer is bad when it is a failure or several times slower than the route's usual latency. Each group of answers
// (all of them, those of one route, and both without those of one upstream) has a score: the logarithm of the
// likelihood ratio of "clearly worse than the others" against "as good as the others", which never falls below zero.
// So a version that turns bad after many good answers is found as fast as one that is bad from the start.
//
// One bad upstream does not condemn its version: a single upstream can fail whatever its version is. When the version
// has two upstreams or more, the answers must be worse whichever one of them is left out.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "pimentomoor/clock.h"

namespace pimentomoor {

struct RolloutTally {
  std::uint32_t answers = 0;
  std::uint32_t bad = 0;  // those of the answers that were failures or several times slower

  friend bool operator==(const RolloutTally&, const RolloutTally&) = default;
};

/// Identifies answers of one upstream on one route: hashes of the upstream's id and of the route's name.
struct RolloutCell {
  std::uint16_t upstream = 0;  // 0 for answers of the other versions, which are not told apart by upstream
  std::uint16_t route = 0;

  friend bool operator==(const RolloutCell&, const RolloutCell&) = default;
  friend auto operator<=>(const RolloutCell& left, const RolloutCell& right) {
    return std::tie(left.upstream, left.route) <=> std::tie(right.upstream, right.route);
  }
};
using RolloutTallies = std::map<RolloutCell, RolloutTally>;

/// Never returns 0.
std::uint16_t HashForRolloutCell(std::string_view text);

struct RolloutEvidenceSettings {
  // The share of bad answers that counts as clearly worse: that of the other versions plus this part of the rest.
  double worse_share = 0.22;
  double min_usual_share = 0.02;  // bounds of the share of bad answers of the other versions
  double max_usual_share = 0.5;
  double version_threshold = 8.0;   // score of all answers, or of one route, at which the version is bad
  double rest_threshold = 4.5;      // the same for the answers without those of any one upstream
  double upstream_threshold = 3.5;  // score at which one upstream counts as faulty
  // The share of the other versions is the greater one of that since the order and that of about this time, so that a
  // fault that hits all versions at once does not count against the new one.
  Duration recent_time = std::chrono::seconds(2);

  friend bool operator==(const RolloutEvidenceSettings&, const RolloutEvidenceSettings&) = default;
};

/// What has been concluded from the counts so far.
struct RolloutEvidence {
  /// Scores of some answers: of all of them, and of those that are left without one upstream.
  struct Score {
    double all = 0;
    std::map<std::uint16_t, double> without;  // by upstream that is left out
  };
  RolloutTallies counted;                            // counts of the new version that the scores include
  Score version;                                     // of all answers
  std::map<std::uint16_t, Score> routes;             // by route
  std::map<std::uint16_t, double> upstream_scores;   // by upstream
  static constexpr std::size_t kSnapshots = 8;       // spread over recent_time
  std::array<RolloutTallies, kSnapshots> snapshots;  // earlier counts of the other versions, a ring
  std::size_t next_snapshot = 0;
  TimePoint snapshot_at{};
};

/// Adds the answers that are new in `target`, the counts of the new version. `others` are those of the other
/// versions. Both hold all answers since the order and only grow.
void UpdateEvidence(RolloutEvidence& evidence, const RolloutTallies& target, const RolloutTallies& others,
                    const RolloutEvidenceSettings& settings, TimePoint now);

bool IsFaultyUpstream(const RolloutEvidence& evidence, std::uint16_t upstream,
                      const RolloutEvidenceSettings& settings);

/// Whether the version is bad. `target_upstreams` is the number of its upstreams that are known.
bool IsBadVersion(const RolloutEvidence& evidence, std::size_t target_upstreams,
                  const RolloutEvidenceSettings& settings);

/// The naive variant: the share of bad answers among all answers is over a fixed limit.
bool IsBadVersionNaive(const RolloutTallies& target);

RolloutTally SumTallies(const RolloutTallies& tallies);

/// Describes the scores for operators, for example "32 of 60 answers bad, others 3 of 410, score 12.1".
std::string DescribeEvidence(const RolloutEvidence& evidence, const RolloutTallies& others);

}  // namespace pimentomoor
