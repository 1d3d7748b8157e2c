// Builds the daemon's tasks and connects them by hooks.
#include <algorithm>

#include "pimentomoor/daemon.h"

namespace pimentomoor {

// Builds the tasks that hold this daemon's incarnation, and on the first call also the dispatcher and the
// coordinator. Called again when the fleet has removed this daemon and it joins as a new incarnation: the tokens,
// canaries and credits of the old incarnation are void.
void Daemon::BuildTasks() {
  const proto::Daemon& self = fleet_->self();
  const auto send = [this](const std::string& address, const proto::Envelope& message) {
    if (address == fleet_->self().peer_address()) {
      loop_.Post([this, message] { HandleMessage(message); });
      return true;
    }
    return transport_.Send(address, message);
  };
  const auto mode = settings_.policy.naive ? CrashGuardMode::kOff : settings_.policy.crash_guard_mode;
  crash_guard_ = std::make_unique<CrashGuardTask>(
      loop_, CrashGuardOptions{.self = self, .mode = mode}, send,
      [this](std::uint64_t fingerprint) { return HighestRankedMember(SentinelRendezvousKey(fingerprint)); },
      [this] { return fleet_->LiveMembers(); }, metrics_);
  customer_limits_ = std::make_unique<CustomerLimitsTask>(
      loop_, CreditOptions{.self = self}, send,
      [this](const std::string& customer) { return HighestRankedMember("customer/" + customer); },
      [this] { return std::max<std::size_t>(1, fleet_->LiveMembers().size()); },
      [this](const std::string& customer) -> std::optional<CustomerLimits> {
        const AccessPlan* plan = FindCustomerAccessPlan(config_.plans(), config_.access(), customer);
        if (plan == nullptr) {
          return std::nullopt;
        }
        return CustomerLimits{.queries_per_second = static_cast<double>(plan->queries_per_second),
                              .burst = plan->burst,
                              .concurrency = plan->concurrency};
      },
      metrics_);
  if (!dispatcher_) {
    BuildDispatcher();
    BuildCoordinator();
  }
  operations_ = std::make_unique<OperationTask>(
      loop_, OperationOptions{.self = self, .token_key = settings_.token_key}, send,
      [this](const proto::Token& token, const std::string& body, Duration remaining, OperationTask::Done done) {
        // Each home numbers its tokens from 1, so a token is unique at the upstream only by home and serial number.
        const std::string name = std::to_string(token.home().incarnation()) + "-" + std::to_string(token.serial());
        operation_dispatch_->Run(name, token.service(), body, remaining, std::move(done));
      },
      [this] { return ChooseWitness(); }, metrics_);
}

void Daemon::BuildDispatcher() {
  DispatcherHooks hooks;
  hooks.may_send = [this](const std::string& upstream) { return fleet_->MaySendTo(upstream); };
  hooks.in_outage = [this](const std::string& upstream, const std::string& failure_domain) {
    return IsInOutage(config_.outages(), upstream, failure_domain);
  };
  hooks.send_answers = [this](const proto::Daemon& entry, const proto::SubAnswers& answers) {
    proto::Envelope message;
    *message.mutable_sub_answers() = answers;
    SendTo(entry, std::move(message));
  };
  hooks.report_strike = [this](std::uint64_t fingerprint, const std::string& upstream) {
    crash_guard_->ReportStrike(fingerprint, upstream);
  };
  dispatcher_ = std::make_unique<Dispatcher>(
      loop_, upstream_http_, metrics_,
      DispatcherOptions{.naive = settings_.policy.naive, .answer_hold = settings_.policy.answer_hold},
      std::move(hooks));
}

void Daemon::BuildCoordinator() {
  const auto usable_owner = [this](const std::string& upstream, const std::string& failure_domain) {
    return UsableOwner(upstream, failure_domain);
  };
  const auto send = [this](const proto::Daemon& owner, const proto::SubQueries& queries) {
    proto::Envelope message;
    *message.mutable_sub_queries() = queries;
    return SendTo(owner, std::move(message));
  };
  const auto catalog = [this](const std::string& service) { return config_.catalog(service); };
  CoordinatorHooks hooks{.usable_owner = usable_owner, .send = send};
  hooks.cancel = [this](const proto::Daemon& owner, const proto::CancelSubQueries& cancel) {
    proto::Envelope message;
    *message.mutable_cancel_sub_queries() = cancel;
    SendTo(owner, std::move(message));
  };
  hooks.ask_crash_guard = [this](std::uint64_t fingerprint, auto done) {
    crash_guard_->Admit(fingerprint, std::move(done));
  };
  hooks.report_canary = [this](std::uint64_t fingerprint, bool succeeded, const std::vector<std::string>& struck) {
    crash_guard_->ReportResult(fingerprint, succeeded, struck);
  };
  hooks.acquire_credit = [this](const std::string& customer, const AccessPlan& plan, auto done) {
    customer_limits_->Acquire(customer,
                              {.queries_per_second = static_cast<double>(plan.queries_per_second),
                               .burst = plan.burst,
                               .concurrency = plan.concurrency},
                              std::move(done));
  };
  hooks.release_credit = [this](const std::string& customer) { customer_limits_->Release(customer); };
  hooks.plans = [this] { return config_.plans(); };
  hooks.access = [this] { return config_.access(); };
  hooks.catalog = catalog;
  hooks.refresh_catalog = [this](const std::string& service) {
    fleet_->RefreshObject(std::string(kCatalogPrefix) + service);
  };
  coordinator_ = std::make_unique<Coordinator>(loop_, metrics_, traces_,
                                               CoordinatorOptions{.host = settings_.host,
                                                                  .failure_domain = settings_.failure_domain,
                                                                  .naive = settings_.policy.naive,
                                                                  .deadlines = settings_.policy.deadlines,
                                                                  .hedge = settings_.policy.hedge,
                                                                  .extra_budget = settings_.policy.extra_budget},
                                               std::move(hooks));
  operation_dispatch_ = std::make_unique<OperationDispatch>(
      loop_, OperationDispatchHooks{.catalog = catalog, .usable_owner = usable_owner, .send = send});
}

void Daemon::BuildHostListTask() {
  HostListTaskHooks hooks;
  hooks.own_incarnation = [this] { return fleet_->self().incarnation(); };
  hooks.joined = [this] { return fleet_->Joined(); };
  hooks.live_members = [this] { return fleet_->LiveMembers(); };
  hooks.find_member = [this](std::uint64_t incarnation) -> const proto::Daemon* {
    const auto& members = fleet_->view().members();
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const proto::Daemon& member) { return member.incarnation() == incarnation; });
    return found == members.end() ? nullptr : &*found;
  };
  hooks.send = [this](const std::string& address, proto::Envelope message) {
    // The sender is described by its incarnation and cell only, because its whole description would triple the size
    // of these messages.
    message.mutable_from()->set_cell(fleet_->self().cell());
    return transport_.Send(address, message);
  };
  hooks.on_list_changed = [this](const HostList& host_list) { OnHostListChanged(host_list); };
  host_list_ =
      std::make_unique<HostListTask>(loop_, platform_http_, metrics_,
                                     HostListTaskOptions{.client = {.endpoints = settings_.platform_endpoints},
                                                         .everyone_polls = settings_.policy.naive},
                                     std::move(hooks));
}

void Daemon::BuildTraceExporter() {
  if (settings_.trace_export.address.empty()) {
    return;
  }
  trace_exporter_ = std::make_unique<TraceExporter>(
      loop_, metrics_, settings_.trace_export,
      TraceResource{
          .deployment = settings_.deployment, .host = settings_.host, .failure_domain = settings_.failure_domain});
  traces_.OnAdd([this](const std::shared_ptr<const Trace>& trace) { trace_exporter_->Enqueue(trace); });
}

}  // namespace pimentomoor
