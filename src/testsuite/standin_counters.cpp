// Sums the counters of the stand-in upstreams, and formats counters and executions as JSON.
#include <algorithm>
#include <sstream>

#include "pimentomoor/json_text.h"
#include "standin_searcher.h"

namespace pimentomoor {
namespace {

void WriteFields(std::ostream& out, const UpstreamCounters& counters) {
  out << "\"requests\":" << counters.requests << ",\"running_high\":" << counters.running_high
      << ",\"connections_high\":" << counters.connections_high << ",\"served\":" << counters.served
      << ",\"sheds\":" << counters.sheds << ",\"overload_violations\":" << counters.overload_violations
      << ",\"executions\":" << counters.executions << ",\"after_drain\":" << counters.after_drain
      << ",\"last_after_drain_ms\":"
      << std::chrono::duration_cast<std::chrono::milliseconds>(counters.last_after_drain).count()
      << ",\"wrong_snapshots\":" << counters.wrong_snapshots << ",\"misdirected\":" << counters.misdirected
      << ",\"expired\":" << counters.expired << ",\"crashes\":" << counters.crashes
      << ",\"connects\":" << counters.connects;
}

}  // namespace

UpstreamCounters SumCounters(const UpstreamCounters& a, const UpstreamCounters& b) {
  return {.requests = a.requests + b.requests,
          .running_high = std::max(a.running_high, b.running_high),
          .connections_high = std::max(a.connections_high, b.connections_high),
          .served = a.served + b.served,
          .sheds = a.sheds + b.sheds,
          .overload_violations = a.overload_violations + b.overload_violations,
          .executions = a.executions + b.executions,
          .after_drain = a.after_drain + b.after_drain,
          .last_after_drain = std::max(a.last_after_drain, b.last_after_drain),
          .wrong_snapshots = a.wrong_snapshots + b.wrong_snapshots,
          .misdirected = a.misdirected + b.misdirected,
          .expired = a.expired + b.expired,
          .crashes = a.crashes + b.crashes,
          .connects = a.connects + b.connects};
}

std::string CountersJson(const std::vector<const UpstreamModel*>& upstreams,
                         const std::vector<std::string>& addresses, const ExecutionLog& executions,
                         const std::vector<std::string>& repeated_tokens) {
  std::ostringstream out;
  UpstreamCounters total;
  for (const auto* model : upstreams) {
    total = SumCounters(total, model->counters());
  }
  out << "{\"total\":{";
  WriteFields(out, total);
  out << "},\"tokens\":" << executions.size() << ",\"repeated_tokens\":[";
  for (std::size_t i = 0; i < repeated_tokens.size(); ++i) {
    out << (i == 0 ? "" : ",") << JsonQuote(repeated_tokens[i]);
  }
  out << "],\"upstreams\":[";
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const UpstreamModel& model = *upstreams[i];
    out << (i == 0 ? "" : ",") << "{\"address\":" << JsonQuote(addresses[i])
        << ",\"service\":" << JsonQuote(model.spec().service)
        << ",\"failure_domain\":" << JsonQuote(model.spec().failure_domain)
        << ",\"incarnation\":" << JsonQuote(std::to_string(model.incarnation()))
        << ",\"cold\":" << (model.cold() ? "true" : "false") << ",\"running\":" << model.running_jobs() << ",";
    WriteFields(out, model.counters());
    out << "}";
  }
  out << "]}\n";
  return out.str();
}

std::string ExecutionsJson(const ExecutionLog& executions) {
  std::string out = "{";
  for (const auto& [token, records] : executions) {
    out += (out.size() > 1 ? "," : "") + JsonQuote(token) + ":[";
    for (const auto& record : records) {
      out += (out.back() == '[' ? "{" : ",{") + std::string("\"upstream\":") + JsonQuote(record.upstream) +
             ",\"body\":" + JsonQuote(record.body) + "}";
    }
    out += "]";
  }
  return out + "}\n";
}

}  // namespace pimentomoor
