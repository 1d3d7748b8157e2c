// Implementation of the registry calls of a gateway daemon. A round writes this daemon's entry if it is missing, or
// else removes an obsolete one if there is any, and then reads the registry.
#include "gateway_registry.h"

#include <algorithm>
#include <utility>

#include "pimentomoor/log.h"
#include "pimentomoor/member_list.h"

namespace pimentomoor {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(1);

bool IsDone(const std::optional<ResponseMessage>& response) {
  return response && response->status >= 200 && response->status < 300;
}

}  // namespace

GatewayRegistry::GatewayRegistry(Options options)
    : options_(std::move(options)), next_round_at_(options_.loop.Now() + options_.timing.first_call_delay) {}

PersistentHttpClient& GatewayRegistry::client() {
  if (client_ == nullptr) {
    client_ =
        std::make_unique<PersistentHttpClient>(options_.loop, options_.codec.field_names(), options_.store_address);
  }
  return *client_;
}

void GatewayRegistry::Tick(const proto::GatewayMember& self, const std::vector<proto::GatewayMember>& peers) {
  const TimePoint now = options_.loop.Now();
  const bool registrar = IsRegistrar(self, peers, MemberListOptions().relays_per_domain);
  if (!registrar) {
    state_ = {};
  }
  UpdateSilentDaemons(state_, peers, now);
  if (auto contacts = RegistryContacts(state_, options_.timing); contacts != contacts_) {
    contacts_ = contacts;
    options_.set_contacts(std::move(contacts));
  }
  const bool known_to_peer =
      std::ranges::any_of(peers, [](const proto::GatewayMember& peer) { return peer.fleet_known(); });
  if (!fleet_known_ && (known_to_peer || IsWholeFleet(state_))) {
    fleet_known_ = true;
    options_.metrics.SetGauge("pimentomoor_fleet_known", 1);
    LogInfo("fleet known", {{"daemons", std::to_string(1 + peers.size())}});
  }
  if (registrar && !call_running_ && now >= next_round_at_) {
    call_running_ = true;
    if (!state_.registered) {
      Register();
    } else if (const RegistryEntry* entry = FindObsoleteEntry(state_, options_.timing, now); entry != nullptr) {
      Remove(*entry);
    } else {
      Read();
    }
  }
}

PersistentHttpClient::Callback GatewayRegistry::Call(void (GatewayRegistry::*handler)(const Response&)) {
  return [this, handler, alive = std::weak_ptr<int>(alive_)](const Response& response) {
    if (!alive.expired()) {
      (this->*handler)(response);
    }
  };
}

void GatewayRegistry::Register() {
  options_.metrics.Count("pimentomoor_store_calls_total", 1, "call=\"register\"");
  client().Post(options_.codec.RegistryTarget(), options_.codec.FormatRegistryEntry(options_.self_address),
                kCallTimeout, Call(&GatewayRegistry::OnRegistered));
}

void GatewayRegistry::OnRegistered(const Response& response) {
  const bool exists = response && response->status == 409;
  if (!IsDone(response) && !exists && !std::exchange(failing_, true)) {
    LogWarn("registration failed", {{"status", std::to_string(response ? response->status : 0)}});
  }
  // Whether the entry is there shows in the registry, also when the answer was lost.
  Read();
}

void GatewayRegistry::Remove(const RegistryEntry& entry) {
  options_.metrics.Count("pimentomoor_store_calls_total", 1, "call=\"unregister\"");
  client().Delete(options_.codec.RegistryEntryTarget(entry), kCallTimeout, Call(&GatewayRegistry::OnRemoved));
}

void GatewayRegistry::OnRemoved(const Response& /*response*/) { Read(); }

void GatewayRegistry::Read() {
  options_.metrics.Count("pimentomoor_store_calls_total", 1, "call=\"registry\"");
  // Until the whole fleet is known, the answer has to hold all entries that were written before.
  client().Get(options_.codec.RegistryListTarget(fleet_known_ && state_.registered), kCallTimeout,
               Call(&GatewayRegistry::OnRead));
}

void GatewayRegistry::OnRead(const Response& response) {
  if (!IsDone(response)) {
    EndRound(false);
    return;
  }
  try {
    std::vector<RegistryEntry> entries;
    for (const auto& record : options_.codec.ParsePage(response->body).records) {
      if (auto entry = options_.codec.ParseRegistryEntry(record); entry) {
        entries.push_back(std::move(*entry));
      } else {
        options_.metrics.Count("pimentomoor_registry_entries_unusable_total");
      }
    }
    ApplyRegistry(state_, std::move(entries), options_.self_address);
  } catch (const FormatError& error) {
    options_.metrics.Count("pimentomoor_store_malformed_total");
    LogWarn("store answer malformed", {{"kind", "registry"}, {"error", error.what()}});
    EndRound(false);
    return;
  }
  EndRound(state_.registered);
}

void GatewayRegistry::EndRound(bool succeeded) {
  call_running_ = false;
  failing_ = failing_ && !succeeded;
  failed_rounds_ = succeeded ? 0 : failed_rounds_ + 1;
  const Duration delay = succeeded ? options_.timing.interval
                                   : BackoffDelay(failed_rounds_ - 1, options_.timing.min_retry_delay,
                                                  options_.timing.interval, jitter_());
  next_round_at_ = options_.loop.Now() + delay;
}

}  // namespace pimentomoor
