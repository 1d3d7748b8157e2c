// Plans and hooks that most tests of the coordinator share.
#pragma once

#include <memory>
#include <string>

#include "pimentomoor/coordinator.h"

namespace pimentomoor {

/// Adds plans by which the customer "c" may use every service.
inline void AllowAllServices(CustomerPlans& plans, AccessPlans& access) {
  plans.plans.push_back({.customer = "c", .plan = "p"});
  access.plans.push_back({.name = "p", .services = {"*"}, .queries_per_second = 1, .burst = 1, .concurrency = 1});
}

/// Returns hooks that grant every credit, ignore cancellations and give the plans and the catalog; the others are
/// empty. The arguments must outlive the hooks. `catalog` may be replaced while the hooks are in use.
inline CoordinatorHooks UnlimitedHooks(const CustomerPlans& plans, const AccessPlans& access,
                                       const std::shared_ptr<Catalog>& catalog) {
  CoordinatorHooks hooks;
  hooks.cancel = [](const proto::Daemon&, const proto::CancelSubQueries&) {};
  hooks.acquire_credit = [](const std::string&, const AccessPlan&, const auto& done) { done(true, ""); };
  hooks.release_credit = [](const std::string&) {};
  hooks.plans = [&plans] { return &plans; };
  hooks.access = [&access] { return &access; };
  hooks.catalog = [&catalog](const std::string&) { return catalog; };
  return hooks;
}

}  // namespace pimentomoor
