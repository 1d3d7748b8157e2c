// Implementation of the simulated daemons with usage caps.
#include "usage_simulation.h"

#include <algorithm>

namespace pimentomoor {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kMaxWait = std::chrono::milliseconds(40);
constexpr Duration kConfigApply = std::chrono::seconds(5);
constexpr std::size_t kEntries = 8;  // daemons that callers are told of
const TimePoint kStart{std::chrono::hours(1)};

}  // namespace

UsageSimulation::UsageSimulation(UsageSimulationOptions options, const std::vector<SimulatedCustomer>& customers)
    : options_(options), random_(options.seed), daemons_(options.daemons), changed_at_(kStart) {
  for (const auto& spec : customers) {
    customers_.push_back({.spec = spec,
                          .sent = {.level = std::max(1.0, spec.cap.burst), .refilled_at = now_},
                          .caps = {{TimePoint{}, spec.cap}}});
  }
  for (auto& daemon : daemons_) {
    daemon.contacts.resize(options.daemons);
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    Start(i);
  }
  UpdateContacts();
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    ScheduleRequest(i, Uniform(0, 1));
  }
}

Duration UsageSimulation::Uniform(double min_s, double max_s) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::uniform_real_distribution<double>(min_s, max_s)(random_)));
}

UsageMember UsageSimulation::MemberOf(std::size_t daemon) const {
  return {.address = "10.0.0." + std::to_string(daemon),
          .incarnation = daemons_[daemon].incarnation,
          .failure_domain = std::to_string(daemon % options_.domains),
          .capacity_millicores = 250,
          .ready = true};
}

void UsageSimulation::Start(std::size_t index) {
  Daemon& daemon = daemons_[index];
  changed_at_ = now_;
  daemon = {.incarnation = next_incarnation_++,
            .contacts = std::vector<Contact>(daemons_.size()),
            .ever_seen = std::vector<bool>(daemons_.size()),
            .naive_buckets = std::vector<UsageBucket>(customers_.size())};
  daemon.exchange = std::make_unique<UsageCapExchange>(MemberOf(index), now_);
  daemon.exchange->SetSettings(options_.settings);
  daemon.wakes_at = TimePoint::max();
  ApplyCaps(index);
  ApplyMembers(index);
}

void UsageSimulation::Kill(std::size_t daemon) {
  changed_at_ = now_;
  daemons_[daemon].exchange.reset();
}

void UsageSimulation::Freeze(std::size_t daemon, Duration duration) {
  daemons_[daemon].frozen_until = now_ + duration;
  changed_at_ = std::max(changed_at_, now_ + duration);
}

void UsageSimulation::Cut(const std::set<std::size_t>& from, const std::set<std::size_t>& to) {
  changed_at_ = now_;
  for (const std::size_t sender : from) {
    for (const std::size_t receiver : to) {
      if (sender != receiver) {
        cuts_.emplace(sender, receiver);
      }
    }
  }
}

void UsageSimulation::Heal() {
  changed_at_ = now_;
  cuts_.clear();
}

void UsageSimulation::ChangeCap(std::size_t customer, const UsageCap& cap) {
  changed_at_ = now_;
  customers_[customer].caps.emplace_back(now_, cap);
  customers_[customer].spec.cap = cap;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    ScheduleAt(now_ + Uniform(0, 1), [this, i] {
      if (runs(i)) {
        ApplyCaps(i);
      }
    });
  }
}

void UsageSimulation::ApplyCaps(std::size_t daemon) {
  std::unordered_map<std::uint64_t, UsageCap> caps;
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    caps[i] = customers_[i].spec.cap;
  }
  daemons_[daemon].exchange->SetCaps(std::move(caps));
}

bool UsageSimulation::Hears(std::size_t to, std::size_t from) const {
  // A daemon stops sending to one that it has dropped.
  const bool sends = !cuts_.contains({to, from}) || daemons_[from].contacts[to].incarnation != 0;
  return Awake(from) && !cuts_.contains({from, to}) && sends;
}

void UsageSimulation::UpdateContacts() {
  for (std::size_t to = 0; to < daemons_.size(); ++to) {
    Daemon& daemon = daemons_[to];
    if (!Awake(to)) {
      continue;
    }
    bool changed = false;
    for (std::size_t from = 0; from < daemons_.size(); ++from) {
      Contact& contact = daemon.contacts[from];
      if (from == to) {
        continue;
      }
      const std::uint64_t heard = Hears(to, from) ? daemons_[from].incarnation : 0;
      if (heard == contact.incarnation) {
        contact.changes_at = TimePoint::max();
      } else if (contact.changes_at == TimePoint::max()) {
        contact.changes_at = now_ + (heard == 0 ? Uniform(1.2, 2.8) : Uniform(0.1, 1.2));
      } else if (contact.changes_at <= now_) {
        contact = {.incarnation = heard};
        changed = true;
      }
      daemon.ever_seen[from] = daemon.ever_seen[from] || contact.incarnation != 0;
      if (contact.incarnation != 0) {
        daemon.counted = std::max(daemon.counted, daemons_[from].counted);
      }
      if (Hears(to, from) && !cuts_.contains({to, from})) {
        daemon.heard_at = now_;
      }
    }
    const auto seen = static_cast<std::size_t>(std::ranges::count(daemon.ever_seen, true));
    daemon.counted = std::max(daemon.counted, seen == 0 ? 0 : seen + 1);
    if (changed) {
      ApplyMembers(to);
    }
    daemon.exchange->SetContact(daemon.counted, daemon.heard_at, now_);
    Pump(to);
  }
  ScheduleAt(now_ + kTick, [this] { UpdateContacts(); });
}

void UsageSimulation::ApplyMembers(std::size_t index) {
  std::vector<UsageMember> peers;
  for (std::size_t from = 0; from < daemons_.size(); ++from) {
    if (const std::uint64_t incarnation = daemons_[index].contacts[from].incarnation; incarnation != 0) {
      peers.push_back(MemberOf(from));
      peers.back().incarnation = incarnation;
    }
  }
  daemons_[index].exchange->SetMembers(peers, true, now_);
}

bool UsageSimulation::IsSettled(const UsageCap& cap) const {
  // The home of a customer may have begun without its burst at the last change.
  const auto refill =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(cap.burst / cap.requests_per_s));
  return now_ >= changed_at_ + kSettled + refill && !is_cut() &&
         std::ranges::all_of(daemons_, [](const Daemon& daemon) { return daemon.exchange != nullptr; });
}

void UsageSimulation::ScheduleRequest(std::size_t customer, Duration delay) {
  ScheduleAt(now_ + delay, [this, customer, schedule_number = customers_[customer].schedule_number] {
    if (customers_[customer].schedule_number == schedule_number) {
      SendRequest(customer);
    }
  });
}

void UsageSimulation::EndPauses() {
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    if (!customers_[i].spec.conforms) {
      ++customers_[i].schedule_number;
      ScheduleRequest(i, Duration::zero());
    }
  }
}

void UsageSimulation::SendRequest(std::size_t index) {
  Customer& customer = customers_[index];
  const UsageCap& cap = customer.spec.cap;
  const double rate = std::max(cap.requests_per_s * customer.spec.demand, 0.05);
  // Customers beyond their cap pause at times, so that they come back with a full burst.
  const bool pauses = !customer.spec.conforms && Random(300) == 0;
  ScheduleRequest(index, pauses ? Uniform(2, 10) : Uniform(0, 2 / rate));
  if (customer.spec.conforms) {
    const UsageShare own{.requests_per_s = cap.requests_per_s, .capacity = std::max(1.0, cap.burst)};
    if (GrantUsage(customer.sent, own, {}, {.needed = 1}, now_).granted == 0) {
      return;
    }
  }
  std::size_t daemon = customer.spec.at.value_or(Random(std::min(kEntries, daemons_.size())));
  for (std::size_t tries = 0; !runs(daemon) && tries < daemons_.size(); ++tries) {
    daemon = (daemon + 1) % daemons_.size();
  }
  if (runs(daemon)) {
    ReceiveRequest(daemon, index, customer.spec.conforms && IsSettled(cap));
  }
}

void UsageSimulation::ReceiveRequest(std::size_t index, std::size_t customer, bool settled) {
  Daemon& daemon = daemons_[index];
  if (!Awake(index)) {
    if (runs(index)) {
      ScheduleAt(daemon.frozen_until, [this, index, customer, settled] { ReceiveRequest(index, customer, settled); });
    }
    return;
  }
  ++requests;
  settled_requests += settled ? 1 : 0;
  if (options_.variant != UsageVariant::kExchange) {
    const auto variant =
        options_.variant == UsageVariant::kWholeCap ? NaiveUsageVariant::kWholeCap : NaiveUsageVariant::kEqualShare;
    const UsageShare share = ComputeNaiveShare(variant, customers_[customer].spec.cap, daemons_.size());
    const bool granted = GrantUsage(daemon.naive_buckets[customer], share, {}, {.needed = 1}, now_).granted > 0;
    Decide(customer, {.verdict = granted ? UsageVerdict::kAdmit : UsageVerdict::kRefuse}, settled);
    return;
  }
  tickets_.emplace_back(customer, settled);
  Decide(customer, daemon.exchange->Request(customer, tickets_.size() - 1, kMaxWait, now_), settled);
  Pump(index);
}

void UsageSimulation::Decide(std::size_t customer, const UsageDecision& decision, bool settled) {
  if (decision.verdict == UsageVerdict::kAdmit) {
    customers_[customer].admitted.push_back(now_);
  } else if (decision.verdict == UsageVerdict::kRefuse) {
    settled_refusals += settled ? 1 : 0;
  }
}

void UsageSimulation::Pump(std::size_t index) {
  Daemon& daemon = daemons_[index];
  const auto sent = daemon.exchange->TakeMessages(now_);
  for (const auto& result : daemon.exchange->TakeResults()) {
    Decide(tickets_[result.ticket].first, result.decision, tickets_[result.ticket].second);
  }
  for (const auto& message : sent) {
    const auto to = static_cast<std::size_t>(std::stoi(message.receiver_address.substr(7)));
    ++messages;
    if (cuts_.contains({index, to}) || static_cast<int>(Random(100)) < options_.lost_percent) {
      continue;
    }
    for (int copies = static_cast<int>(Random(100)) < options_.repeated_percent ? 2 : 1; copies > 0; --copies) {
      const bool late = static_cast<int>(Random(100)) < options_.late_percent;
      ScheduleAt(now_ + Uniform(0.0003, late ? 0.4 : 0.0017), [this, to, message] { Deliver(to, message); });
    }
  }
  if (const TimePoint due = daemon.exchange->next_due(); due < daemon.wakes_at) {
    daemon.wakes_at = due;
    ScheduleAt(due, [this, index, incarnation = daemon.incarnation, due] {
      Daemon& woken = daemons_[index];
      if (woken.incarnation != incarnation || woken.wakes_at != due) {
        return;
      }
      woken.wakes_at = TimePoint::max();
      if (Awake(index)) {
        Pump(index);
      }
    });
  }
}

void UsageSimulation::Deliver(std::size_t daemon, const UsageMessage& message) {
  if (!runs(daemon)) {
    return;
  }
  if (!Awake(daemon)) {
    ScheduleAt(daemons_[daemon].frozen_until, [this, daemon, message] { Deliver(daemon, message); });
    return;
  }
  daemons_[daemon].exchange->Receive(message, now_);
  Pump(daemon);
}

double UsageSimulation::MaxExcess() const {
  double max_excess = -options_.settings.slack;
  for (const auto& customer : customers_) {
    std::size_t first = 0;
    for (std::size_t last = 0; last < customer.admitted.size(); ++last) {
      const TimePoint end = customer.admitted[last];
      while (customer.admitted[first] <= end - options_.settings.window) {
        ++first;
      }
      // A lower cap binds windows that begin after it has been applied everywhere.
      double bound = 0;
      for (std::size_t i = 0; i < customer.caps.size(); ++i) {
        const bool bound_before_window =
            i + 1 < customer.caps.size() && customer.caps[i + 1].first + kConfigApply < customer.admitted[first];
        if (!bound_before_window && customer.caps[i].first <= end) {
          bound = std::max(bound, MaxRequestsPerWindow(customer.caps[i].second, options_.settings));
        }
      }
      max_excess = std::max(max_excess, static_cast<double>(last - first + 1) - bound);
    }
  }
  return max_excess;
}

}  // namespace pimentomoor
