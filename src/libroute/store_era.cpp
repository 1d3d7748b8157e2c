// Implementation of the decisions on eras of the platform's store.
#include "pimentomoor/store_era.h"

#include <algorithm>
#include <charconv>

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxEraDigits = 15;  // sums of eras and steps stay far below 2^64

void BeginEra(StoreEraView& view, std::uint64_t era, std::optional<std::uint64_t> stated) {
  view = {.known = true, .era = era, .stated = stated};
}

}  // namespace

std::optional<std::uint64_t> ParseStoreEra(std::string_view text) {
  if (text.empty() || text.size() > kMaxEraDigits || text.find_first_not_of("0123456789") != std::string_view::npos) {
    return std::nullopt;
  }
  std::uint64_t era = 0;
  std::from_chars(text.data(), text.data() + text.size(), era);
  return era;
}

AnswerEra ClassifyAnswer(StoreEraView& view, std::optional<std::uint64_t> stated, TimePoint now) {
  if (!view.known) {
    BeginEra(view, stated.value_or(0), stated);
    return AnswerEra::kCurrent;
  }
  if (stated == view.stated) {
    view.doubtful_since = TimePoint::max();
    return AnswerEra::kCurrent;
  }
  if (stated && !view.stated) {  // the store begins to state an era
    BeginEra(view, std::max(view.era + 1, *stated), stated);
    return AnswerEra::kNewer;
  }
  if (stated && *stated > *view.stated && *stated - *view.stated <= kMaxEraStep) {
    BeginEra(view, view.era + (*stated - *view.stated), stated);
    return AnswerEra::kNewer;
  }
  if (view.doubtful_since == TimePoint::max()) {
    view.doubtful_since = now;
  }
  if (now - view.doubtful_since < kDoubtfulEraPatience) {
    return AnswerEra::kDoubtful;
  }
  BeginEra(view, view.era + 1, stated);
  return AnswerEra::kNewer;
}

bool IsPlausibleEra(std::uint64_t own_era, std::uint64_t era) {
  return own_era == 0 || era <= own_era || era - own_era <= kMaxEraStep;
}

}  // namespace pimentomoor
