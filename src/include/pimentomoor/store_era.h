// Eras of the platform's store: a store that is restored from an older copy begins a new one and gives revisions out
// again. Decides which answers of the store belong to the current era.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>

#include "pimentomoor/clock.h"

namespace pimentomoor {

/// Position of a state of the store's records. Revisions order states of the same era only.
struct StorePosition {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  friend bool operator==(const StorePosition&, const StorePosition&) = default;
  friend auto operator<=>(const StorePosition& left, const StorePosition& right) {
    return std::tie(left.era, left.revision) <=> std::tie(right.era, right.revision);
  }
};

/// An era that rises by more at once is taken for a damaged one. A daemon that was away sees a few restorations.
constexpr std::uint64_t kMaxEraStep = 1'000;
/// Time for which answers with a lower, damaged or missing era are ignored while no other answer comes. Answers of
/// the previous era are in flight for seconds at most; a store that says nothing else for longer has changed its
/// count.
constexpr Duration kDoubtfulEraPatience = std::chrono::seconds(10);

/// Reads the era that an answer states. Returns nothing for text that is not a number of 1 to 15 decimal digits.
std::optional<std::uint64_t> ParseStoreEra(std::string_view text);

/// What a reader of the store knows of its eras.
struct StoreEraView {
  bool known = false;                   // an answer or a peer has shown the era
  std::uint64_t era = 0;                // rises with each restoration; the same at all daemons
  std::optional<std::uint64_t> stated;  // era in the store's answers of this era; nothing when they state none
  TimePoint doubtful_since = TimePoint::max();  // first of the doubtful answers since the last current one

  friend bool operator==(const StoreEraView&, const StoreEraView&) = default;
};

enum class AnswerEra {
  kCurrent,
  kNewer,     // the store was restored since; the view has the new era
  kDoubtful,  // of an earlier era, or without a usable one; its content must not be applied
};

/// Classifies a complete answer of the store by the era that it states. The era of the first answer becomes the
/// current one.
AnswerEra ClassifyAnswer(StoreEraView& view, std::optional<std::uint64_t> stated, TimePoint now);

/// Whether a peer that knows `era` can be right. It is compared with the own era unless that is 0, that is not known.
bool IsPlausibleEra(std::uint64_t own_era, std::uint64_t era);

}  // namespace pimentomoor
