// Start of requests in a gateway daemon: a request of a customer with a cap runs when it has a credit.
#include <iomanip>
#include <sstream>

#include "pimentomoor/gateway.h"

namespace pimentomoor {

void Gateway::AdmitRequest(const std::shared_ptr<CallerExchange>& exchange, const RouteSpec& route,
                           const RequestOwner& owner) {
  // The table keeps `route` and the customer alive while the request waits for its credit.
  const auto run = [this, exchange, table = routing_table_, &route, owner] {
    std::make_shared<RequestRun>(request_context_, exchange, table, route, owner)->Start();
  };
  if (owner.customer == nullptr || owner.customer->requests_per_s <= 0) {
    return run();
  }
  usage_.Admit(*owner.customer, route.objective, [this, exchange, &route, run](bool admitted, Duration retry_after) {
    if (exchange->finished()) {
      return;  // the caller has disconnected
    }
    admitted ? run() : RefuseOverCap(*exchange, route, retry_after);
  });
}

void Gateway::RefuseOverCap(CallerExchange& exchange, const RouteSpec& route, Duration retry_after) {
  std::ostringstream field;
  field << "Retry-After: " << std::fixed << std::setprecision(3) << std::chrono::duration<double>(retry_after).count()
        << "\r\n";
  metrics_.Count("pimentomoor_run_refused_total", 1, "reason=\"customer over its cap\"");
  exchange.Respond({.status = 429, .fields = field.str()});
  tracer_.OnRequestEnd(exchange, {}, {.route = route.name, .outcome = "outcome=\"refused\"", .status = 429},
                       loop_.Now());
}

}  // namespace pimentomoor
