// Implementation of the simulated cell of gateway daemons.
#include "member_simulation.h"

#include <algorithm>

namespace pimentomoor {

namespace {

constexpr std::size_t kIpAndUdpHeaderBytes = 28;
constexpr Duration kStepDuration = std::chrono::milliseconds(2);
constexpr Duration kNetworkLatency = std::chrono::microseconds(1'400);
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

}  // namespace

MemberSimulation::MemberSimulation(MemberSimulationOptions options)
    : daemons(options.daemon_count), options_(options), random_(options.random_seed) {
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    const std::size_t domain = i % options_.domain_count;
    const std::size_t rank = i / options_.domain_count;
    addresses_.push_back("10." + std::to_string(100 + domain) + "." + std::to_string(100 + rank / 100) + "." +
                         std::to_string(100 + rank % 100) + ":21130");
    index_by_address_[addresses_[i]] = i;
  }
}

bool MemberSimulation::KeepsAllMembers(std::size_t index) const {
  return index / options_.domain_count < options_.full_lists_per_domain;
}

proto::GatewayHeartbeat MemberSimulation::MakeSelfHeartbeat(std::size_t index) const {
  const Daemon& daemon = daemons[index];
  proto::GatewayHeartbeat heartbeat;
  auto* self = heartbeat.mutable_sender();
  self->set_host("gateway-host-" + std::to_string(1'000 + index));
  self->set_incarnation(daemon.incarnation);
  self->set_failure_domain("zone-" + std::to_string(10 + index % options_.domain_count));
  self->set_peer_address(addresses_[index]);
  self->set_caller_address(addresses_[index].substr(0, addresses_[index].find(':')) + ":8080");
  self->set_ready(daemon.ready);
  self->set_store_answers(true);
  self->set_capacity_millicores(250);
  self->set_load_parts_per_s(daemon.load_parts_per_s);
  for (int kind = 0; kind < 3; ++kind) {
    heartbeat.add_content_revisions(1'000'000 + daemon.content_revision);
  }
  if (daemon.crash_fingerprint != 0) {
    auto* report = heartbeat.add_crashes();
    report->set_fingerprint(daemon.crash_fingerprint);
    report->set_crashes(1);
    report->set_reporter(7);
  }
  for (const std::uint64_t lifetime : daemon.leaving) {
    auto* report = heartbeat.add_leaving();
    report->set_lifetime(lifetime);
    report->set_age_ms(3'600'000);  // the longest encoding
  }
  return heartbeat;
}

void MemberSimulation::RunAction(std::size_t index, const std::function<std::vector<MemberDatagram>()>& action) {
  Daemon& daemon = daemons[index];
  std::vector<std::pair<std::string, std::string>> sent;
  const auto run = [&] {
    daemon.exchange->UpdateSelf(MakeSelfHeartbeat(index), now);
    for (auto& datagram : action()) {
      if (!daemon.knows_leaving) {
        datagram.heartbeat.clear_leaving_digest();
      }
      sent.emplace_back(datagram.receiver_address, datagram.heartbeat.SerializeAsString());
    }
  };
  wrap_action ? wrap_action(index, run) : run();
  for (auto& [address, bytes] : sent) {
    daemon.bytes_sent += bytes.size() + kIpAndUdpHeaderBytes;
    daemon.largest_datagram_bytes = std::max<std::uint64_t>(daemon.largest_datagram_bytes, bytes.size());
    const auto to = index_by_address_.find(address);
    if (to == index_by_address_.end() || RandomBool(options_.loss_percent) ||
        (link_is_cut && link_is_cut(index, to->second))) {
      continue;
    }
    for (int copies = RandomBool(options_.duplicate_percent) ? 2 : 1; copies > 0; --copies) {
      const Duration extra_delay =
          RandomBool(options_.late_percent) ? std::chrono::milliseconds(random_() % 100) : Duration();
      in_flight_.emplace(now + kNetworkLatency + extra_delay, DatagramInFlight{index, to->second, bytes});
    }
  }
}

void MemberSimulation::Deliver(const DatagramInFlight& datagram) {
  Daemon& daemon = daemons[datagram.to];
  if (!daemon.exchange) {
    return;
  }
  if (daemon.paused) {  // the datagram waits in the socket's receive buffer
    in_flight_.emplace(now + kTickInterval, datagram);
    return;
  }
  daemon.bytes_received += datagram.bytes.size() + kIpAndUdpHeaderBytes;
  RunAction(datagram.to, [&] {
    proto::GatewayHeartbeat heartbeat;
    heartbeat.ParseFromString(datagram.bytes);
    if (!KeepsAllMembers(datagram.to)) {
      const std::string domain = daemon.exchange->members().self().failure_domain();
      auto* changes = heartbeat.mutable_changes();
      changes->erase(std::remove_if(changes->begin(), changes->end(),
                                    [&](const auto& change) {
                                      return change.alive() && change.member().failure_domain() != domain;
                                    }),
                     changes->end());
      // When nothing of a page is kept, the rest of the list counts as received: reading all pages only to drop their
      // members would take most of the run.
      if (heartbeat.more() && changes->empty() && daemons[datagram.from].exchange) {
        heartbeat.set_more(false);
        heartbeat.set_list_version(daemons[datagram.from].exchange->members().ListVersion(now));
      }
    }
    bool accepted = false;
    auto answer = daemon.exchange->Receive(heartbeat, now, accepted);
    if (accepted && heartbeat.crashes_size() > 0) {
      daemon.crash_fingerprint = heartbeat.crashes(0).fingerprint();
    }
    daemon.leaving_reports_received += static_cast<std::uint64_t>(heartbeat.leaving_size());
    for (const auto& report : heartbeat.leaving()) {
      if (accepted && daemon.knows_leaving) {
        daemon.leaving.insert(report.lifetime());
      }
    }
    if (accepted && heartbeat.content_revisions_size() > 0) {
      daemon.content_revision = std::max(daemon.content_revision, heartbeat.content_revisions(0) - 1'000'000);
    }
    return answer;
  });
}

void MemberSimulation::Start(std::size_t index) {
  Daemon& daemon = daemons[index];
  daemon = {.incarnation = ++start_count_ * 0x9e3779b97f4a7c15,
            .started_or_killed_at = now,
            .next_tick = now + std::chrono::milliseconds(random_() % 20)};
  MemberExchangeOptions options;
  const auto cell_of = [this](std::size_t i) { return i / options_.domain_count % options_.cell_count; };
  for (std::size_t i = 0; i < addresses_.size() && options.seeds.size() < options_.seed_count; ++i) {
    if (cell_of(i) == cell_of(index)) {
      options.seeds.push_back(addresses_[i]);
    }
  }
  daemon.exchange.emplace(MakeSelfHeartbeat(index), options, now);
}

void MemberSimulation::Kill(std::size_t index) {
  daemons[index].exchange.reset();
  daemons[index].started_or_killed_at = now;
}

void MemberSimulation::Announce(std::size_t index) {
  RunAction(index, [&] { return daemons[index].exchange->Announce(now); });
}

void MemberSimulation::SetContacts(std::size_t index, const std::vector<std::size_t>& contacts) {
  std::vector<std::string> addresses;
  addresses.reserve(contacts.size());
  for (const std::size_t contact : contacts) {
    addresses.push_back(addresses_[contact]);
  }
  daemons[index].exchange->SetContacts(std::move(addresses));
}

void MemberSimulation::RunFor(Duration time) {
  for (const TimePoint end = now + time; now < end; now += kStepDuration) {
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      Daemon& daemon = daemons[i];
      if (daemon.exchange && !daemon.paused && now >= daemon.next_tick) {
        daemon.next_tick = now + kTickInterval;
        RunAction(i, [&] { return daemon.exchange->Tick(now); });
      }
    }
    while (!in_flight_.empty() && in_flight_.begin()->first <= now) {
      const auto datagram = in_flight_.extract(in_flight_.begin());
      Deliver(datagram.mapped());
    }
  }
}

std::size_t MemberSimulation::CountMissingPeers(std::size_t index) {
  std::map<std::string_view, const proto::GatewayMember*> listed;
  for (const auto& member : daemons[index].exchange->members().LivePeers(now)) {
    listed[member.peer_address()] = &member;
  }
  std::size_t missing_count = 0;
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    if (i != index && daemons[i].exchange) {
      const auto found = listed.find(addresses_[i]);
      missing_count += found == listed.end() || found->second->incarnation() != daemons[i].incarnation ||
                       found->second->ready() != daemons[i].ready;
    }
  }
  return missing_count;
}

std::size_t MemberSimulation::CountDeadPeers(std::size_t index) {
  std::size_t dead_count = 0;
  for (const auto& member : daemons[index].exchange->members().LivePeers(now)) {
    const auto found = index_by_address_.find(member.peer_address());
    dead_count += found == index_by_address_.end() || !daemons[found->second].exchange;
  }
  return dead_count;
}

}  // namespace pimentomoor
