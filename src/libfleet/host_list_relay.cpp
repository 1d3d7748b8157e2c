// Decisions on the host list: pollers, the newer of two lists, and the differences between lists.
#include "pimentomoor/host_list_relay.h"

#include <algorithm>
#include <set>
#include <utility>

#include "pimentomoor/rendezvous.h"
#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {
namespace {

constexpr std::string_view kPollerKey = "host-list";         // rendezvous key by which the pollers are chosen
constexpr std::string_view kSource = "host list of a peer";  // source named by errors about a relay

// Bounds of the kept differences. A daemon sends a request about once a second, so it is behind by a few changes at
// most.
constexpr std::size_t kMaxKeptChanges = 64;
constexpr std::size_t kMaxKeptAddresses = 10'000;

std::uint64_t HostHash(const ListedHost& host) {
  return VersionHash(host.address + "\n" + host.failure_domain, host.state == HostState::kLeaving ? 2 : 1);
}

// Addresses that were added, changed or removed; both lists are ordered by address.
std::vector<std::string> ChangedAddresses(const HostList& before, const HostList& after) {
  std::vector<std::string> changed;
  auto old = before.hosts.begin();
  auto now = after.hosts.begin();
  while (old != before.hosts.end() || now != after.hosts.end()) {
    if (now == after.hosts.end() || (old != before.hosts.end() && old->address < now->address)) {
      changed.push_back((old++)->address);
    } else if (old == before.hosts.end() || now->address < old->address) {
      changed.push_back((now++)->address);
    } else {
      if (*old != *now) {
        changed.push_back(now->address);
      }
      ++old;
      ++now;
    }
  }
  return changed;
}

void AddHost(const ListedHost& host, proto::HostListRelay& relay) {
  proto::ListedHost* listed = relay.add_hosts();
  listed->set_address(host.address);
  listed->set_failure_domain(host.failure_domain);
  listed->set_leaving(host.state == HostState::kLeaving);
}

}  // namespace

std::vector<std::string> ChooseHostListPollers(std::span<const std::string> hosts) {
  std::vector<std::string> pollers;
  for (const std::size_t i : RankByRendezvous(kPollerKey, hosts)) {
    if (pollers.size() < kHostListPollerCount) {
      pollers.push_back(hosts[i]);
    }
  }
  return pollers;
}

bool ShouldPollHostList(const HostListRole& role, TimePoint now) {
  return role.everyone_polls || !role.member || role.poller || !role.confirmed_at ||
         now - *role.confirmed_at > kHostListMaxUnconfirmed;
}

// When a list is confirmed, `not_after` never moves back: the platform may have shown the same list twice, and
// another one in between that must not replace it.
HostListDecision DecideOnHostList(std::optional<std::uint64_t> held_digest, HostListReadTime& held_time,
                                  std::uint64_t candidate_digest, const HostListReadTime& candidate_time) {
  if (held_digest == candidate_digest) {
    const TimePoint not_after = std::max(held_time.not_after, candidate_time.not_after);
    if (candidate_time.not_before > held_time.not_before) {
      held_time = candidate_time;
    }
    held_time.not_after = not_after;
    return HostListDecision::kConfirmed;
  }
  if (held_digest && candidate_time.not_before < held_time.not_after) {
    return HostListDecision::kNotNewer;
  }
  held_time = candidate_time;
  return HostListDecision::kTaken;
}

std::uint64_t HostListDigest(const HostList& list) {
  std::uint64_t digest = 0;
  for (const ListedHost& host : list.hosts) {
    digest += HostHash(host);
  }
  return digest;
}

void HostListHistory::Replace(HostList next, std::uint64_t digest) {
  if (list_) {
    changes_.push_back({.digest_before = *digest_, .addresses = ChangedAddresses(*list_, next)});
  }
  list_ = std::move(next);
  digest_ = digest;
  std::size_t addresses = 0;
  std::size_t kept = 0;
  for (auto change = changes_.rbegin(); change != changes_.rend() && kept < kMaxKeptChanges; ++change, ++kept) {
    addresses += change->addresses.size();
    if (addresses > kMaxKeptAddresses) {
      break;
    }
  }
  changes_.erase(changes_.begin(), changes_.end() - static_cast<std::ptrdiff_t>(kept));
}

bool HostListHistory::FillRelay(std::optional<std::uint64_t> known_digest, proto::HostListRelay& relay) const {
  relay.set_digest(*digest_);
  if (known_digest == digest_) {
    return true;
  }
  const auto newest = std::find_if(changes_.rbegin(), changes_.rend(),
                                   [&](const Change& change) { return change.digest_before == known_digest; });
  if (newest == changes_.rend()) {
    relay.set_whole(true);
    for (const ListedHost& host : list_->hosts) {
      AddHost(host, relay);
    }
    return relay.ByteSizeLong() <= kMaxRelayBytes;
  }
  std::set<std::string> addresses;
  for (auto change = newest.base() - 1; change != changes_.end(); ++change) {
    addresses.insert(change->addresses.begin(), change->addresses.end());
  }
  for (const std::string& address : addresses) {
    if (const ListedHost* host = FindHost(*list_, address); host != nullptr) {
      AddHost(*host, relay);
    } else {
      relay.add_removed(address);
    }
  }
  return relay.ByteSizeLong() <= kMaxRelayBytes;
}

HostList HostListHistory::Apply(const proto::HostListRelay& relay) const {
  std::set<std::string> replaced(relay.removed().begin(), relay.removed().end());
  std::vector<ListedHost> hosts;
  for (const proto::ListedHost& host : relay.hosts()) {
    replaced.insert(host.address());
    hosts.push_back({.address = host.address(),
                     .failure_domain = host.failure_domain(),
                     .state = host.leaving() ? HostState::kLeaving : HostState::kLive});
  }
  if (list_ && !relay.whole()) {
    std::copy_if(list_->hosts.begin(), list_->hosts.end(), std::back_inserter(hosts),
                 [&](const ListedHost& host) { return !replaced.contains(host.address); });
  }
  HostList list = MakeHostList(std::move(hosts), kSource);
  if (HostListDigest(list) != relay.digest()) {
    throw ConfigError(kSource, 0, "digest", "does not match the hosts");
  }
  return list;
}

}  // namespace pimentomoor
