// Messages between a customer's home, which grants credits, and the entries that spend them.
#include <algorithm>
#include <utility>

#include "pimentomoor/customer_limits.h"

namespace pimentomoor {

CustomerLimitsTask::CustomerLimitsTask(EventLoop& loop, CreditOptions options, Send send, FindHome find_home,
                                       CountMembers count_members, FindLimits find_limits, Metrics& metrics)
    : loop_(loop),
      options_(std::move(options)),
      send_(std::move(send)),
      find_home_(std::move(find_home)),
      count_members_(std::move(count_members)),
      find_limits_(std::move(find_limits)),
      metrics_(metrics) {}

CustomerLimitsTask::~CustomerLimitsTask() {
  for (const auto& [name, customer] : customers_) {
    loop_.Cancel(customer.request_timer);
    loop_.Cancel(customer.report_timer);
  }
}

std::uint32_t CustomerLimitsTask::MemberCount() const {
  return static_cast<std::uint32_t>(std::max<std::size_t>(1, count_members_()));
}

CustomerLimitsTask::Customer* CustomerLimitsTask::FindOrCreate(const std::string& name) {
  const auto found = customers_.find(name);
  if (found != customers_.end()) {
    return &found->second;
  }
  if (customers_.size() >= options_.max_customers) {
    std::erase_if(customers_, [&](const auto& item) {
      const Customer& customer = item.second;
      const bool idle = customer.entry.running == 0 && customer.open_request_id == 0 && customer.report_timer == 0;
      return idle && customer.entry.expiry <= loop_.Now();
    });
  }
  return customers_.size() >= options_.max_customers ? nullptr : &customers_[name];
}

void CustomerLimitsTask::Acquire(const std::string& name, const CustomerLimits& limits, Done done) {
  Customer* customer = FindOrCreate(name);
  if (customer == nullptr) {
    return done(false, "too many customers at this entry");
  }
  const TimePoint now = loop_.Now();
  customer->limits = limits;
  CountDemand(customer->entry, options_, now);
  const bool idle = customer->open_request_id == 0;
  const SpendResult result = customer->waiting_queries.empty()
                                 ? TrySpendCredit(customer->entry, limits, MemberCount(), now)
                                 : SpendResult::kNoCredit;
  if (result == SpendResult::kAllowed || customer->entry.in_fallback) {
    const bool fallback = customer->entry.in_fallback;
    const std::uint32_t wanted = idle ? CreditsToRequest(customer->entry, options_, now, 0) : 0;
    if (wanted > 0) {
      RequestCredits(name, *customer, wanted);
    }
    return AnswerAcquire(done, result, fallback);
  }
  const std::uint32_t wanted = CreditsToRequest(customer->entry, options_, now, 1);
  if (customer->waiting_queries.size() >= options_.max_waiting_queries || (idle && wanted == 0)) {
    return AnswerAcquire(done, result, false);
  }
  customer->waiting_queries.push_back(std::move(done));
  if (idle) {
    RequestCredits(name, *customer, wanted);
  }
}

void CustomerLimitsTask::Release(const std::string& name) {
  const auto found = customers_.find(name);
  if (found != customers_.end() && found->second.entry.running > 0) {
    --found->second.entry.running;
  }
}

void CustomerLimitsTask::RequestCredits(const std::string& name, Customer& customer, std::uint32_t wanted) {
  const std::optional<proto::Daemon> home = find_home_(name);
  customer.request_sent_at = loop_.Now();
  customer.requested_credits = wanted;
  customer.reported_running = customer.entry.running;
  if (!home) {
    return OnHomeUnavailable(name, customer);
  }
  customer.open_request_id = next_request_id_++;
  if (home->incarnation() == options_.self.incarnation()) {
    const EntryCreditRequest entry_request{.entry_incarnation = options_.self.incarnation(),
                                           .request_id = customer.open_request_id,
                                           .wanted = wanted,
                                           .running = customer.reported_running};
    return OnGrant(name, customer,
                   GrantCredits(credit_home_, options_, loop_.Now(), name, customer.limits, entry_request));
  }
  customer.home = *home;
  SendRequest(name);
}

void CustomerLimitsTask::SendRequest(const std::string& name) {
  Customer& customer = customers_.at(name);
  customer.request_timer = 0;
  if (loop_.Now() >= customer.request_sent_at + options_.home_timeout) {
    metrics_.Count("pimentomoor_credit_home_timeouts_total");
    return OnHomeUnavailable(name, customer);
  }
  proto::Envelope envelope;
  proto::CreditRequest& request = *envelope.mutable_credit_request();
  request.set_customer(name);
  request.set_request_id(customer.open_request_id);
  request.set_wanted(customer.requested_credits);
  request.set_running(customer.reported_running);
  SendTo(customer.home, std::move(envelope));
  // A third of the timeout leaves time for two retries after a lost message.
  customer.request_timer =
      loop_.CallAfter(options_.home_timeout / 3 + std::chrono::milliseconds(1), [this, name] { SendRequest(name); });
}

void CustomerLimitsTask::OnGrant(const std::string& name, Customer& customer, const CreditGrant& grant) {
  loop_.Cancel(customer.request_timer);
  customer.request_timer = 0;
  customer.open_request_id = 0;
  ApplyGrant(customer.entry, options_, loop_.Now(), customer.request_sent_at, grant);
  if (grant.credits > 0 || grant.concurrency > 0 || customer.entry.running > 0) {
    ScheduleReport(name, customer);
  }
  const bool limited = grant.credits < customer.requested_credits ||
                       grant.concurrency < std::uint64_t{customer.reported_running} + customer.requested_credits;
  if (limited) {
    customer.entry.next_request_at = loop_.Now() + options_.limited_request_interval;
  }
  AnswerWaiting(name, customer, limited);
}

void CustomerLimitsTask::OnHomeUnavailable(const std::string& name, Customer& customer) {
  customer.open_request_id = 0;
  if (customer.requested_credits > 0 || !customer.waiting_queries.empty()) {
    StartFallback(customer.entry, customer.limits, MemberCount(), loop_.Now());
    customer.entry.next_request_at = loop_.Now() + options_.grant_validity;
  }
  AnswerWaiting(name, customer, true);
}

// Answers the waiting queries with the credits held. When `limited`, the home grants no more for now and the rest is
// refused. Otherwise the rest arrived after the request, and credits for it are requested. The callbacks run last,
// when the state is consistent, because they may call Acquire() or destroy the task.
void CustomerLimitsTask::AnswerWaiting(const std::string& name, Customer& customer, bool limited) {
  std::vector<std::pair<Done, SpendResult>> answered;
  const bool fallback = customer.entry.in_fallback;
  while (!customer.waiting_queries.empty()) {
    const SpendResult result = TrySpendCredit(customer.entry, customer.limits, MemberCount(), loop_.Now());
    if (result != SpendResult::kAllowed && !limited) {
      break;
    }
    answered.emplace_back(std::move(customer.waiting_queries.front()), result);
    customer.waiting_queries.pop_front();
  }
  const std::weak_ptr<int> alive = alive_;
  if (!customer.waiting_queries.empty()) {
    RequestCredits(name, customer, static_cast<std::uint32_t>(customer.waiting_queries.size()));
  }
  for (const auto& [done, result] : answered) {
    if (alive.expired()) {
      return;
    }
    AnswerAcquire(done, result, fallback);
  }
}

void CustomerLimitsTask::AnswerAcquire(const Done& done, SpendResult result, bool fallback) {
  if (result == SpendResult::kAllowed) {
    return done(true, "");
  }
  const std::string reason = result == SpendResult::kNoCredit ? "customer rate limit" : "customer concurrency limit";
  metrics_.Count("pimentomoor_customer_refusals_total", 1, "reason=\"" + reason + "\"");
  done(false, fallback ? reason + " (share of one entry)" : reason);
}

// The home reserves concurrency slots for this entry until a request reports that they are free. An entry without
// further demand therefore sends a request for 0 credits once its grant has expired, and again while queries run.
void CustomerLimitsTask::ScheduleReport(const std::string& name, Customer& customer) {
  if (customer.report_timer != 0) {
    return;
  }
  const Duration margin = std::chrono::milliseconds(10);  // above the 1 ms resolution of timers
  const TimePoint when = customer.request_sent_at + options_.grant_validity + options_.home_timeout + margin;
  customer.report_timer =
      loop_.CallAt(std::max(when, loop_.Now() + margin), [this, name] { ReportRunningQueries(name); });
}

void CustomerLimitsTask::ReportRunningQueries(const std::string& name) {
  Customer& customer = customers_.at(name);
  customer.report_timer = 0;
  const bool recent = customer.request_sent_at + options_.grant_validity + options_.home_timeout > loop_.Now() ||
                      customer.open_request_id != 0;
  if (recent) {
    return ScheduleReport(name, customer);
  }
  if (customer.entry.in_fallback) {
    return;
  }
  RequestCredits(name, customer, 0);
}

void CustomerLimitsTask::HandleMessage(const proto::Envelope& envelope) {
  if (envelope.to_incarnation() != 0 && envelope.to_incarnation() != options_.self.incarnation()) {
    return;
  }
  if (envelope.has_credit_request()) {
    OnRequest(envelope);
  } else if (envelope.has_credit_reply()) {
    OnReply(envelope.credit_reply());
  }
}

void CustomerLimitsTask::OnRequest(const proto::Envelope& envelope) {
  const proto::CreditRequest& request = envelope.credit_request();
  const EntryCreditRequest entry_request{.entry_incarnation = envelope.from().incarnation(),
                                         .request_id = request.request_id(),
                                         .wanted = request.wanted(),
                                         .running = request.running()};
  const std::optional<CustomerLimits> limits = find_limits_(request.customer());
  const CreditGrant grant =
      limits ? GrantCredits(credit_home_, options_, loop_.Now(), request.customer(), *limits, entry_request)
             : CreditGrant{};
  proto::Envelope reply_envelope;
  proto::CreditReply& reply = *reply_envelope.mutable_credit_reply();
  reply.set_customer(request.customer());
  reply.set_request_id(request.request_id());
  reply.set_granted(grant.credits);
  reply.set_concurrency(grant.concurrency);
  reply.set_valid_ms(std::chrono::duration_cast<std::chrono::milliseconds>(options_.grant_validity).count());
  SendTo(envelope.from(), std::move(reply_envelope));
}

void CustomerLimitsTask::OnReply(const proto::CreditReply& reply) {
  const auto found = customers_.find(reply.customer());
  if (found == customers_.end() || found->second.open_request_id == 0 ||
      found->second.open_request_id != reply.request_id()) {
    return;
  }
  OnGrant(found->first, found->second, {.credits = reply.granted(), .concurrency = reply.concurrency()});
}

void CustomerLimitsTask::SendTo(const proto::Daemon& peer, proto::Envelope envelope) {
  *envelope.mutable_from() = options_.self;
  envelope.set_to_incarnation(peer.incarnation());
  if (!send_(peer.peer_address(), envelope)) {
    metrics_.Count("pimentomoor_credit_messages_refused_total");
  }
}

}  // namespace pimentomoor
