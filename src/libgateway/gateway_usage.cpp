// Implementation of usage caps in a gateway daemon.
#include "pimentomoor/gateway_usage.h"

#include <algorithm>
#include <utility>

#include "pimentomoor/config_lists.h"
#include "pimentomoor/json_text.h"
#include "pimentomoor/log.h"
#include "pimentomoor/platform_codec.h"

namespace pimentomoor {

namespace {

// Customers with metrics of their own: those with the largest caps. A table may change, so the sum is bounded too.
constexpr std::size_t kLabelsPerTable = 8;
constexpr std::size_t kMaxLabels = 32;
constexpr std::size_t kMaxOverCaps = 64;  // customers whose excess is logged and shown at once
// A customer counts as within its cap again when none of its requests has been refused for this time.
constexpr Duration kOverCapEnd = std::chrono::seconds(10);
// Part of the objective for which a request may wait for its credit.
constexpr int kObjectiveParts = 4;
constexpr Duration kMinWait = std::chrono::milliseconds(10);
constexpr Duration kMaxWait = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxCount = 1'000'000;       // of requests in one ask
constexpr std::uint32_t kMaxMilliseconds = 600'000;  // of a time in a message

std::uint32_t ToMilliseconds(Duration duration) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(std::chrono::ceil<std::chrono::milliseconds>(duration).count(), 0, kMaxMilliseconds));
}

Duration FromMilliseconds(std::uint32_t milliseconds) {
  return std::chrono::milliseconds(std::min(milliseconds, kMaxMilliseconds));
}

UsageMember ToUsageMember(const proto::GatewayMember& member) {
  return {.address = member.peer_address(),
          .incarnation = member.incarnation(),
          .failure_domain = member.failure_domain(),
          .capacity_millicores = member.capacity_millicores(),
          .ready = member.ready()};
}

}  // namespace

proto::GatewayUsage FormatUsageMessage(const UsageMessage& message) {
  proto::GatewayUsage out;
  out.set_sender_address(message.sender_address);
  out.set_sender_incarnation(message.sender_incarnation);
  out.set_receiver_incarnation(message.receiver_incarnation);
  out.set_validity_ms(ToMilliseconds(message.validity));
  for (const auto& ask : message.asks) {
    auto* copy = out.add_asks();
    copy->set_customer(ask.customer);
    copy->set_id(ask.id);
    copy->set_needed(ask.needed);
    copy->set_stock(ask.stock);
    copy->set_refused(ask.refused);
  }
  for (const auto& grant : message.grants) {
    auto* copy = out.add_grants();
    copy->set_customer(grant.customer);
    copy->set_id(grant.id);
    copy->set_granted(grant.granted);
    copy->set_unavailable(grant.unavailable);
    copy->set_first_free_ms(ToMilliseconds(grant.first_free));
    copy->set_spacing_ms(ToMilliseconds(grant.spacing));
  }
  return out;
}

UsageMessage ParseUsageMessage(const proto::GatewayUsage& message) {
  if (!IsSocketAddress(message.sender_address())) {
    throw FormatError("read a usage message: the sender's address is malformed");
  }
  const auto max_items = static_cast<int>(UsageCapExchange::kMaxItems);
  if (message.asks_size() > max_items || message.grants_size() > max_items) {
    throw FormatError("read a usage message: it has " + std::to_string(message.asks_size()) + " asks and " +
                      std::to_string(message.grants_size()) + " grants");
  }
  UsageMessage out{.sender_address = message.sender_address(),
                   .sender_incarnation = message.sender_incarnation(),
                   .receiver_incarnation = message.receiver_incarnation(),
                   .validity = FromMilliseconds(message.validity_ms())};
  for (const auto& ask : message.asks()) {
    out.asks.push_back({.customer = ask.customer(),
                        .id = ask.id(),
                        .needed = std::min(ask.needed(), kMaxCount),
                        .stock = std::min(ask.stock(), kMaxCount),
                        .refused = std::min(ask.refused(), kMaxCount)});
  }
  for (const auto& grant : message.grants()) {
    out.grants.push_back({.customer = grant.customer(),
                          .id = grant.id(),
                          .granted = std::min(grant.granted(), kMaxCount),
                          .unavailable = grant.unavailable(),
                          .first_free = FromMilliseconds(grant.first_free_ms()),
                          .spacing = FromMilliseconds(grant.spacing_ms())});
  }
  return out;
}

GatewayUsage::GatewayUsage(EventLoop& loop, Metrics& metrics, UsageMember self, const UsageCapSettings& settings,
                           Send send)
    : loop_(loop), metrics_(metrics), send_(std::move(send)), exchange_(std::move(self), loop.Now()) {
  exchange_.SetSettings(settings);
}

GatewayUsage::~GatewayUsage() { loop_.Cancel(timer_); }

void GatewayUsage::SetSettings(const UsageCapSettings& settings) {
  exchange_.SetSettings(settings);
  members_set_ = false;  // what the members allow depends on the settings
}

void GatewayUsage::SetCustomers(const std::vector<CustomerSpec>& customers) {
  std::unordered_map<std::uint64_t, UsageCap> caps;
  std::vector<const CustomerSpec*> by_size;
  names_.clear();
  for (const auto& customer : customers) {
    if (customer.requests_per_s > 0) {
      const std::uint64_t key = CustomerKey(customer.name);
      caps[key] = {.requests_per_s = customer.requests_per_s, .burst = std::max(0.0, customer.burst)};
      names_[key] = customer.name;
      by_size.push_back(&customer);
    }
  }
  std::ranges::stable_sort(by_size, std::ranges::greater(), &CustomerSpec::requests_per_s);
  labels_.clear();
  for (std::size_t i = 0; i < std::min(kLabelsPerTable, by_size.size()); ++i) {
    if (used_labels_.size() < kMaxLabels || used_labels_.contains(by_size[i]->name)) {
      used_labels_.insert(by_size[i]->name);
      labels_[CustomerKey(by_size[i]->name)] = "customer=" + JsonQuote(by_size[i]->name);
    }
  }
  exchange_.SetCaps(std::move(caps));
  ScheduleFlush();
}

void GatewayUsage::SetPeers(const std::vector<proto::GatewayMember>& peers, std::uint64_t version, bool ready,
                            std::size_t counted, TimePoint heard_at) {
  const TimePoint now = loop_.Now();
  exchange_.SetContact(counted, heard_at, now);
  if (!members_set_ || version != members_version_ || ready != ready_) {
    members_set_ = true;
    members_version_ = version;
    ready_ = ready;
    std::vector<UsageMember> members;
    members.reserve(peers.size());
    std::ranges::transform(peers, std::back_inserter(members), ToUsageMember);
    exchange_.SetMembers(members, ready, now);
  }
  EndOverCaps();
  CountTotals();
}

void GatewayUsage::Receive(const proto::GatewayUsage& message) {
  try {
    metrics_.Count("pimentomoor_usage_messages_total", 1, "direction=\"received\"");
    exchange_.Receive(ParseUsageMessage(message), loop_.Now());
  } catch (const FormatError&) {
    metrics_.Count("pimentomoor_usage_messages_malformed_total");
  }
  ScheduleFlush();
}

void GatewayUsage::Admit(const CustomerSpec& customer, Duration objective, Done done) {
  if (!exchange_.enabled() || customer.requests_per_s <= 0) {
    return done(true, {});
  }
  const std::uint64_t key = CustomerKey(customer.name);
  const std::uint64_t ticket = next_ticket_++;
  const Duration max_wait = std::clamp(objective / kObjectiveParts, kMinWait, kMaxWait);
  const UsageDecision decision = exchange_.Request(key, ticket, max_wait, loop_.Now());
  ScheduleFlush();
  if (decision.verdict == UsageVerdict::kWait) {
    waiting_.emplace(ticket, Waiting{.done = std::move(done), .since = loop_.Now()});
    return;
  }
  CountDecision(key, decision);
  done(decision.verdict == UsageVerdict::kAdmit, decision.retry_after);
}

void GatewayUsage::ScheduleFlush() {
  // At the end of the turn, so that one message holds all asks and grants of the turn for its receiver.
  if (!flush_posted_) {
    flush_posted_ = true;
    loop_.Post([this, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.expired()) {
        Flush();
      }
    });
  }
}

void GatewayUsage::Flush() {
  flush_posted_ = false;
  const TimePoint now = loop_.Now();
  for (const auto& message : exchange_.TakeMessages(now)) {
    metrics_.Count("pimentomoor_usage_messages_total", 1, "direction=\"sent\"");
    metrics_.Count("pimentomoor_usage_message_bytes_total",
                   send_(message.receiver_address, FormatUsageMessage(message)));
  }
  if (const TimePoint due = exchange_.next_due(); due != timer_due_at_) {
    loop_.Cancel(timer_);
    timer_ = 0;
    timer_due_at_ = due;
    if (due != TimePoint::max()) {
      timer_ = loop_.CallAt(due, [this] {
        timer_ = 0;
        timer_due_at_ = {};
        Flush();
      });
    }
  }
  const std::weak_ptr<int> alive = alive_;
  for (const auto& result : exchange_.TakeResults()) {
    const auto found = waiting_.extract(result.ticket);
    if (found.empty()) {
      continue;
    }
    metrics_.Observe("pimentomoor_usage_wait_seconds", now - found.mapped().since);
    CountDecision(result.customer, result.decision);
    found.mapped().done(result.decision.verdict == UsageVerdict::kAdmit, result.decision.retry_after);
    if (alive.expired()) {
      return;  // the callback has destroyed this object
    }
  }
}

void GatewayUsage::CountDecision(std::uint64_t customer, const UsageDecision& decision) {
  const auto label = labels_.find(customer);
  const std::string labels = (label == labels_.end() ? "customer=\"other\"" : label->second) + ",decision=\"" +
                             (decision.verdict == UsageVerdict::kAdmit ? "admitted"
                              : decision.home_unavailable              ? "no home"
                                                                       : "over cap") +
                             "\"";
  metrics_.Count("pimentomoor_usage_requests_total", 1, labels);
  if (decision.verdict == UsageVerdict::kAdmit || decision.home_unavailable) {
    return;
  }
  auto found = over_caps_.find(customer);
  if (found == over_caps_.end()) {
    const auto name = names_.find(customer);
    if (over_caps_.size() >= kMaxOverCaps || name == names_.end()) {
      return;
    }
    found = over_caps_.emplace(customer, OverCap{.name = name->second, .since = loop_.Now()}).first;
    LogInfo("customer over its cap", {{"customer", name->second}});
  }
  found->second.last_refused_at = loop_.Now();
  ++found->second.refused;
}

void GatewayUsage::EndOverCaps() {
  const TimePoint now = loop_.Now();
  std::erase_if(over_caps_, [&](const auto& item) {
    const OverCap& over = item.second;
    const bool ended = now - over.last_refused_at >= kOverCapEnd;
    if (ended) {
      const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(over.last_refused_at - over.since);
      LogInfo("customer within its cap again", {{"customer", over.name},
                                                {"refused", std::to_string(over.refused)},
                                                {"seconds", std::to_string(seconds.count())}});
    }
    return ended;
  });
}

void GatewayUsage::CountTotals() {
  const UsageCapExchange::Totals& totals = exchange_.totals();
  const auto count = [&](const char* name, const char* labels, std::uint64_t UsageCapExchange::Totals::*total) {
    if (totals.*total != counted_totals_.*total) {
      metrics_.Count(name, totals.*total - counted_totals_.*total, labels);
    }
  };
  count("pimentomoor_usage_asks_total", "result=\"sent\"", &UsageCapExchange::Totals::asks_sent);
  count("pimentomoor_usage_asks_total", "result=\"repeated\"", &UsageCapExchange::Totals::asks_repeated);
  count("pimentomoor_usage_asks_total", "result=\"unanswered\"", &UsageCapExchange::Totals::asks_unanswered);
  count("pimentomoor_usage_credits_total", "kind=\"asked\"", &UsageCapExchange::Totals::credits_asked);
  count("pimentomoor_usage_credits_total", "kind=\"received\"", &UsageCapExchange::Totals::credits_received);
  count("pimentomoor_usage_credits_total", "kind=\"granted\"", &UsageCapExchange::Totals::credits_granted);
  counted_totals_ = totals;
}

void GatewayUsage::RenderOverCap(std::ostream& out) const {
  bool first = true;
  for (const auto& [customer, over] : over_caps_) {
    out << (first ? "" : ",") << JsonQuote(over.name) << ":" << over.refused;
    first = false;
  }
}

}  // namespace pimentomoor
