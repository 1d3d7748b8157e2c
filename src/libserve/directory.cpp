// Implementation of the choice of entries: by outage, by the caller's failure domain, then by rendezvous weight.
#include "pimentomoor/directory.h"

#include <algorithm>
#include <string>
#include <utility>

#include "pimentomoor/rendezvous.h"

namespace pimentomoor {

std::vector<proto::Daemon> ChooseEntries(std::vector<proto::Daemon> members, const Outages& outages,
                                         const CallerInfo& caller, std::size_t count) {
  std::erase_if(members, [&](const proto::Daemon& member) {
    return IsInOutage(outages, member.host(), member.failure_domain()) ||
           IsInOutage(outages, member.http_address(), member.failure_domain());
  });
  const std::string key = "caller/" + std::string(caller.name);
  const auto rank = [&](const proto::Daemon& member) {
    return std::pair(member.failure_domain() == caller.failure_domain, RendezvousWeight(key, member.host()));
  };
  std::sort(members.begin(), members.end(),
            [&](const proto::Daemon& left, const proto::Daemon& right) { return rank(left) > rank(right); });
  members.resize(std::min(members.size(), count));
  return members;
}

}  // namespace pimentomoor
