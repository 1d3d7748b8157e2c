// Implementation of the selection of the daemons that the directory names.
#include "pimentomoor/entry_selection.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace pimentomoor {

std::vector<std::string> SelectEntries(std::span<const EntryCandidate> candidates,
                                       const EntrySelectionSettings& settings) {
  std::map<std::string, std::vector<const EntryCandidate*>> by_domain;
  double load = 0;
  for (const auto& candidate : candidates) {
    by_domain[candidate.failure_domain].push_back(&candidate);
    load += candidate.load_parts_per_s;
  }
  std::size_t largest_domain = 0;
  for (auto& [domain, members] : by_domain) {
    std::sort(members.begin(), members.end(), [](const EntryCandidate* left, const EntryCandidate* right) {
      return left->capacity_millicores != right->capacity_millicores
                 ? left->capacity_millicores > right->capacity_millicores
                 : left->address < right->address;
    });
    largest_domain = std::max(largest_domain, members.size());
  }
  constexpr double kMillicoresPerUsPerS = 1e-3;
  const double needed_capacity = load * settings.cpu_us_per_part * kMillicoresPerUsPerS / settings.target_utilization;
  const std::size_t min_selected = std::max(settings.min_entries, settings.min_per_domain * by_domain.size());
  std::vector<std::string> selected;
  double capacity = 0;
  for (std::size_t rank = 0; rank < largest_domain; ++rank) {
    for (const auto& [domain, members] : by_domain) {
      if (rank >= members.size() || selected.size() >= settings.max_entries ||
          (selected.size() >= min_selected && capacity >= needed_capacity)) {
        continue;
      }
      selected.push_back(members[rank]->address);
      capacity += members[rank]->capacity_millicores;
    }
  }
  return selected;
}

std::vector<std::string> SelectEntriesNaive(std::span<const EntryCandidate> candidates,
                                            const EntrySelectionSettings& settings) {
  std::vector<std::string> selected;
  for (const auto& candidate : candidates) {
    if (selected.size() < settings.max_entries) {
      selected.push_back(candidate.address);
    }
  }
  return selected;
}

std::uint32_t QuantizeLoad(double parts_per_s, std::uint32_t previous) {
  constexpr double kStepRatio = 1.5;
  // Distance from the middle of the step of `previous`, in steps; above 0.5, another step is nearer.
  constexpr double kHysteresisSteps = 0.75;
  const double load = std::max(parts_per_s, 1.0);
  const double previous_load = std::max<double>(previous, 1.0);
  if (std::abs(std::log(load / previous_load) / std::log(kStepRatio)) < kHysteresisSteps) {
    return previous;
  }
  if (parts_per_s < 1.0) {
    return 0;
  }
  const double level = std::round(std::log(parts_per_s) / std::log(kStepRatio));
  return static_cast<std::uint32_t>(std::lround(std::pow(kStepRatio, level)));
}

}  // namespace pimentomoor
