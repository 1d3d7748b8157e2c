// Tests of the selection of the daemons that the directory names.
#include "pimentomoor/entry_selection.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "property.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

std::vector<EntryCandidate> GenCandidates(std::size_t max_count, std::uint32_t max_load) {
  const int domains = *rc::gen::inRange(1, 22);
  std::vector<EntryCandidate> candidates(*rc::gen::inRange<std::size_t>(0, max_count + 1));
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i] = {.address = "10.0." + std::to_string(i) + ".1:8104",
                     .failure_domain = "z" + std::to_string(*rc::gen::inRange(0, domains)),
                     .capacity_millicores = *rc::gen::element<std::uint32_t>(60, 120, 250, 500),
                     .load_parts_per_s = *rc::gen::inRange<std::uint32_t>(0, max_load)};
  }
  return candidates;
}

bool IsLarger(const EntryCandidate& left, const EntryCandidate& right) {
  return left.capacity_millicores > right.capacity_millicores ||
         (left.capacity_millicores == right.capacity_millicores && left.address < right.address);
}

// Reference: orders all candidates by their rank in their failure domain and takes the shortest prefix whose size
// and capacity suffice.
std::vector<std::string> SelectReference(const std::vector<EntryCandidate>& candidates,
                                         const EntrySelectionSettings& settings) {
  std::map<std::pair<std::ptrdiff_t, std::string>, const EntryCandidate*> order;  // key: rank and failure domain
  std::set<std::string> domains;
  double load = 0;
  for (const auto& candidate : candidates) {
    const auto rank = std::count_if(candidates.begin(), candidates.end(), [&](const auto& other) {
      return other.failure_domain == candidate.failure_domain && IsLarger(other, candidate);
    });
    order[{rank, candidate.failure_domain}] = &candidate;
    domains.insert(candidate.failure_domain);
    load += candidate.load_parts_per_s;
  }
  std::vector<std::string> named;
  double millicores = 0;
  for (const auto& [rank_and_domain, candidate] : order) {
    const bool suffices = named.size() >= std::max(settings.min_entries, settings.min_per_domain * domains.size()) &&
                          millicores * settings.target_utilization >= load * settings.cpu_us_per_part / 1'000;
    if (!suffices && named.size() < settings.max_entries) {
      named.push_back(candidate->address);
      millicores += candidate->capacity_millicores;
    }
  }
  return named;
}

}  // namespace

TEST_GROUP(EntrySelection){};

// Guards against a directory that names too few daemons for the load or for the loss of a failure domain, that names
// small daemons while larger ones of the same failure domain are left out, or that differs between daemons.
TEST(EntrySelection, NamesTheLargestOfEachDomainUntilTheyCarryTheLoad) {
  int fewer_than_naive = 0;
  CHECK(CheckProperty(500, "selection of entries", [&] {
    const EntrySelectionSettings settings;
    auto candidates =
        GenCandidates(*rc::gen::element<std::size_t>(6, 12, 65, 200), *rc::gen::element(2U, 200U, 5'000U));
    const auto named = SelectEntries(candidates, settings);
    RC_ASSERT(named == SelectReference(candidates, settings));
    const auto naive = SelectEntriesNaive(candidates, settings);
    RC_ASSERT(naive.size() == std::min(candidates.size(), settings.max_entries));
    fewer_than_naive += named.size() < naive.size() ? 1 : 0;

    const std::set<std::string> set(named.begin(), named.end());
    RC_ASSERT(set.size() == named.size());
    RC_ASSERT(named.size() >= std::min<std::size_t>(candidates.size(), 6));
    double needed_capacity = 0, capacity = 0;
    // Number of candidates in each failure domain, and of those that are named.
    std::map<std::string, std::pair<std::size_t, std::size_t>> domains;
    for (const auto& candidate : candidates) {
      const bool is_named = set.contains(candidate.address);
      needed_capacity += candidate.load_parts_per_s * settings.cpu_us_per_part / 1'000 / settings.target_utilization;
      capacity += is_named ? candidate.capacity_millicores : 0;
      domains[candidate.failure_domain].first += 1;
      domains[candidate.failure_domain].second += is_named ? 1 : 0;
      for (const auto& other : candidates) {
        RC_ASSERT(!(is_named && !set.contains(other.address) && other.failure_domain == candidate.failure_domain &&
                    other.capacity_millicores > candidate.capacity_millicores));
      }
    }
    RC_ASSERT(capacity >= needed_capacity || named.size() == naive.size());
    for (const auto& [name, counts] : domains) {
      RC_ASSERT(counts.second >= std::min<std::size_t>(counts.first, 2));
    }
    std::reverse(candidates.begin(), candidates.end());
    RC_ASSERT(named == SelectEntries(candidates, settings));
  }));
  CHECK(fewer_than_naive > 100);
}

// Guards against a selection that changes with each measurement when the loads fluctuate by less than a tenth.
TEST(EntrySelection, SmallFluctuationsChangeItAtMostOncePerDaemon) {
  CHECK(CheckProperty(200, "fluctuating loads", [] {
    auto candidates = GenCandidates(30, 2);
    std::vector<double> loads(candidates.size());
    for (auto& load : loads) {
      load = *rc::gen::inRange(0, 20'000) / 10.0;
    }
    std::vector<std::string> named;
    std::vector<std::uint32_t> reported(candidates.size());
    std::size_t changes = 0, reports = 0;
    for (int round = 0; round < 60; ++round) {
      for (std::size_t i = 0; i < candidates.size(); ++i) {
        const double load = loads[i] * *rc::gen::inRange(91, 110) / 100.0;
        const auto report = QuantizeLoad(load, reported[i]);
        reports += round > 0 && report != reported[i] ? 1 : 0;
        reported[i] = candidates[i].load_parts_per_s = report;
        constexpr double kMaxRoundingRatio = 1.5;  // one step; a load below one part per second is reported as none
        RC_ASSERT(load < 2 || (report <= load * kMaxRoundingRatio + 0.5 && report >= load / kMaxRoundingRatio - 0.5));
      }
      const auto now = SelectEntries(candidates, {});
      changes += round > 0 && now != named ? 1 : 0;
      named = now;
    }
    RC_ASSERT(reports <= candidates.size());
    RC_ASSERT(changes <= candidates.size());
  }));
}

}  // namespace pimentomoor
