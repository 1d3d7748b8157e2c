// Directory of entries: chooses the entry addresses that a caller gets from /v1/entries.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "peer.pb.h"
#include "pimentomoor/config_lists.h"

namespace pimentomoor {

/// What a caller says about itself when it asks for entry addresses.
struct CallerInfo {
  std::string_view name;            // rendezvous key that spreads callers over the entries
  std::string_view failure_domain;  // failure domain in which the caller runs; empty when it is unknown
};

/// Chooses at most `count` of `members`. Members in outage are left out. Members in the caller's failure domain come
/// first; within both groups the order is by rendezvous weight. The order of `members` does not matter.
[[nodiscard]] std::vector<proto::Daemon> ChooseEntries(std::vector<proto::Daemon> members, const Outages& outages,
                                                       const CallerInfo& caller, std::size_t count);

}  // namespace pimentomoor
