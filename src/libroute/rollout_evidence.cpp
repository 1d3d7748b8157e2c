// Implementation of the comparison between a new version and the others.
#include "pimentomoor/rollout_evidence.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string_view>

namespace pimentomoor {

namespace {

// Answers that are assumed beside the counted ones, so that the share of few answers is not taken as exact.
constexpr double kPriorAnswers = 25;
constexpr double kRecentPriorAnswers = 12;

double ShareOf(const RolloutTally& tally, double prior_answers) {
  return (tally.bad + 0.04 * prior_answers) / (tally.answers + prior_answers);
}

RolloutTally SumOfRoute(const RolloutTallies& tallies, std::uint16_t route) {
  RolloutTally sum;
  for (const auto& [cell, tally] : tallies) {
    if (cell.route == route) {
      sum.answers += tally.answers;
      sum.bad += tally.bad;
    }
  }
  return sum;
}

// Share of bad answers of the other versions on a route; over all routes when they have no answer on it.
double UsualShare(const RolloutEvidence& evidence, const RolloutTallies& others, std::uint16_t route,
                  const RolloutEvidenceSettings& settings) {
  RolloutTally all = SumOfRoute(others, route);
  RolloutTally before = SumOfRoute(evidence.snapshots[evidence.next_snapshot], route);
  if (all.answers == 0) {
    all = SumTallies(others);
    before = SumTallies(evidence.snapshots[evidence.next_snapshot]);
  }
  // Counts can be behind a snapshot when the reports of a daemon are no longer known.
  const RolloutTally recent{.answers = all.answers - std::min(all.answers, before.answers),
                            .bad = all.bad - std::min(all.bad, before.bad)};
  return std::clamp(std::max(ShareOf(all, kPriorAnswers), ShareOf(recent, kRecentPriorAnswers)),
                    settings.min_usual_share, settings.max_usual_share);
}

double SumOfChange(double score, double change) { return std::max(0.0, score + change); }

// Adds the changes of one group of answers, given by upstream.
void AddToScore(RolloutEvidence::Score& score, const std::map<std::uint16_t, double>& changes) {
  double sum = 0;
  for (const auto& [upstream, change] : changes) {
    // All answers before its first one were of other upstreams.
    score.without.emplace(upstream, score.all);
    sum += change;
  }
  for (auto& [upstream, without] : score.without) {
    const auto own = changes.find(upstream);
    without = SumOfChange(without, own == changes.end() ? sum : sum - own->second);
  }
  score.all = SumOfChange(score.all, sum);
}

bool IsWorse(const RolloutEvidence::Score& score, std::size_t target_upstreams,
             const RolloutEvidenceSettings& settings) {
  if (score.all < settings.version_threshold) {
    return false;
  }
  return target_upstreams < 2 || std::all_of(score.without.begin(), score.without.end(), [&](const auto& entry) {
           return entry.second >= settings.rest_threshold;
         });
}

}  // namespace

std::uint16_t HashForRolloutCell(std::string_view text) {
  std::uint32_t hash = 2'166'136'261U;  // FNV-1a
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 16'777'619U;
  }
  const auto folded = static_cast<std::uint16_t>((hash >> 16U) ^ (hash & 0xffffU));
  return folded == 0 ? 1 : folded;
}

RolloutTally SumTallies(const RolloutTallies& tallies) {
  RolloutTally sum;
  for (const auto& [cell, tally] : tallies) {
    sum.answers += tally.answers;
    sum.bad += tally.bad;
  }
  return sum;
}

void UpdateEvidence(RolloutEvidence& evidence, const RolloutTallies& target, const RolloutTallies& others,
                    const RolloutEvidenceSettings& settings, TimePoint now) {
  std::map<std::uint16_t, double> changes;                            // by upstream
  std::map<std::uint16_t, std::map<std::uint16_t, double>> by_route;  // by route and upstream
  for (const auto& [cell, tally] : target) {
    RolloutTally& counted = evidence.counted[cell];
    if (tally.answers <= counted.answers && tally.bad <= counted.bad) {
      continue;
    }
    const double bad = tally.bad - std::min(tally.bad, counted.bad);
    const double answers = std::max<double>(bad, tally.answers - std::min(tally.answers, counted.answers));
    counted = tally;
    const double usual = UsualShare(evidence, others, cell.route, settings);
    const double worse = usual + settings.worse_share * (1 - usual);
    const double change = bad * std::log(worse / usual) + (answers - bad) * std::log((1 - worse) / (1 - usual));
    changes[cell.upstream] += change;
    by_route[cell.route][cell.upstream] += change;
  }
  AddToScore(evidence.version, changes);
  for (const auto& [route, route_changes] : by_route) {
    AddToScore(evidence.routes[route], route_changes);
  }
  for (const auto& [upstream, change] : changes) {
    double& score = evidence.upstream_scores[upstream];
    score = SumOfChange(score, change);
  }
  if (now - evidence.snapshot_at >= settings.recent_time / static_cast<Duration::rep>(evidence.kSnapshots)) {
    evidence.snapshot_at = now;
    evidence.snapshots[evidence.next_snapshot] = others;
    evidence.next_snapshot = (evidence.next_snapshot + 1) % evidence.kSnapshots;
  }
}

bool IsFaultyUpstream(const RolloutEvidence& evidence, std::uint16_t upstream,
                      const RolloutEvidenceSettings& settings) {
  const auto found = evidence.upstream_scores.find(upstream);
  return found != evidence.upstream_scores.end() && found->second >= settings.upstream_threshold;
}

bool IsBadVersion(const RolloutEvidence& evidence, std::size_t target_upstreams,
                  const RolloutEvidenceSettings& settings) {
  return IsWorse(evidence.version, target_upstreams, settings) ||
         std::any_of(evidence.routes.begin(), evidence.routes.end(),
                     [&](const auto& entry) { return IsWorse(entry.second, target_upstreams, settings); });
}

bool IsBadVersionNaive(const RolloutTallies& target) {
  constexpr std::uint32_t kMinAnswers = 20;
  constexpr double kMaxBadShare = 0.1;
  const RolloutTally sum = SumTallies(target);
  return sum.answers >= kMinAnswers && sum.bad > kMaxBadShare * sum.answers;
}

std::string DescribeEvidence(const RolloutEvidence& evidence, const RolloutTallies& others) {
  const RolloutTally target = SumTallies(evidence.counted);
  const RolloutTally usual = SumTallies(others);
  double score = evidence.version.all;
  for (const auto& [route, route_score] : evidence.routes) {
    score = std::max(score, route_score.all);
  }
  std::array<char, 16> score_text{};
  std::snprintf(score_text.data(), score_text.size(), "%.1f", score);
  return std::to_string(target.bad) + " of " + std::to_string(target.answers) + " answers bad, others " +
         std::to_string(usual.bad) + " of " + std::to_string(usual.answers) + ", score " + score_text.data();
}

}  // namespace pimentomoor
