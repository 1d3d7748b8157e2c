// Which entry addresses a caller gets.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "peer.pb.h"
#include "pimentomoor/config_lists.h"

namespace pimentomoor {

struct CallerInfo {
  std::string_view name;            // spreads callers over the entries
  std::string_view failure_domain;  // where the caller runs; empty when it does not say
};

/// At most `count` of `members` that are not out: those in the caller's failure domain first, within that by
/// rendezvous weight. The order of `members` does not matter.
[[nodiscard]] std::vector<proto::Daemon> ChooseEntries(std::vector<proto::Daemon> members, const Outages& outages,
                                                       const CallerInfo& caller, std::size_t count);

}  // namespace pimentomoor
