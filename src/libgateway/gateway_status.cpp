// Inspection by operators: /status and /traces on the peer listener of a gateway daemon.
#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

#include "gateway_rollouts.h"
#include "pimentomoor/gateway.h"
#include "pimentomoor/http.h"
#include "pimentomoor/json_text.h"

namespace pimentomoor {

namespace {

constexpr std::size_t kDefaultTraceCount = 10;
constexpr std::size_t kMaxMembersShown = 200;  // peers listed in /status, to keep it readable in a large cell
constexpr std::size_t kMaxUnreadyShown = 64;   // upstreams listed in /status that are not ready
constexpr std::size_t kMaxPacedShown = 64;     // upstreams listed in /status that are paced

const char* JsonBool(bool value) { return value ? "true" : "false"; }

// Milliseconds since `time`; null when it is unset.
std::string AgeMs(TimePoint time, TimePoint now) {
  return time == TimePoint{}
             ? "null"
             : std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count());
}

// Names of upstream states in /status, most severe first. An upstream is counted in the first state that applies. Of
// these, `leaving` and `paused` were said in answers, `out` is an outage of the failure domain, `doubtful` a missing
// entry and `resting` a backoff.
constexpr std::array<const char*, 9> kUpstreamStates = {"misdirected", "draining", "leaving", "out",  "paused",
                                                        "doubtful",    "resting",  "cold",    "ready"};
constexpr std::size_t kReadyStateIndex = kUpstreamStates.size() - 1;

std::size_t FindStateIndex(const UpstreamLink& link, TimePoint now) {
  const std::array<bool, kUpstreamStates.size()> applies = {link.misdirected(),
                                                            link.entry().draining,
                                                            link.leaving(),
                                                            link.in_outage(),
                                                            link.paused(),
                                                            link.entry_missing(),
                                                            now < link.signals.backoff_until,
                                                            link.cold(now),
                                                            true};
  return static_cast<std::size_t>(std::find(applies.begin(), applies.end(), true) - applies.begin());
}

void RenderServices(std::ostream& out, const UpstreamSet& upstreams, TimePoint now) {
  std::vector<std::pair<std::string, std::size_t>> unready;
  out << "\"services\":{";
  bool first = true;
  for (const auto& [name, service] : upstreams.services()) {
    std::array<std::size_t, kUpstreamStates.size()> counts{};
    for (const auto& link : service.links) {
      const std::size_t state = FindStateIndex(*link, now);
      ++counts[state];
      if (state != kReadyStateIndex) {
        unready.emplace_back(link->entry().id, state);
      }
    }
    out << (first ? "" : ",") << "\n  " << JsonQuote(name) << ":{";
    first = false;
    for (std::size_t i = 0; i < counts.size(); ++i) {
      out << "\"" << kUpstreamStates[i] << "\":" << counts[i] << ",";
    }
    out << "\"retries_left\":" << static_cast<std::int64_t>(std::max(0.0, upstreams.RetriesLeft(service))) << "}";
  }
  out << "},\n\"unready_searchers\":{";
  for (std::size_t i = 0; i < std::min(unready.size(), kMaxUnreadyShown); ++i) {
    out << (i == 0 ? "" : ",") << JsonQuote(unready[i].first) << ":\"" << kUpstreamStates[unready[i].second] << "\"";
  }
  out << "}";
}

// Writes the upstreams whose pace is active, with the limit and why it last changed.
void RenderPaces(std::ostream& out, const UpstreamSet& upstreams, TimePoint now) {
  std::size_t shown = 0;
  out << "\"paced_searchers\":{";
  for (const auto& [name, service] : upstreams.services()) {
    for (const auto& link : service.links) {
      const UpstreamPace& pace = link->pace;
      if (!pace.active || shown == kMaxPacedShown) {
        continue;
      }
      const PaceConditions conditions = link->MakePaceConditions(now);
      out << (shown++ == 0 ? "" : ",") << "\n  " << JsonQuote(link->entry().id) << ":{\"began\":\""
          << ToString(pace.reason) << "\",\"age_ms\":" << AgeMs(pace.began_at, now)
          << ",\"limit\":" << CurrentPaceLimit(pace, conditions) << ",\"ceiling\":" << PaceCeiling(conditions)
          << ",\"running\":" << conditions.running << ",\"last_change\":\"" << ToString(pace.last_change)
          << "\",\"changed_ms\":" << AgeMs(pace.changed_at, now) << "}";
    }
  }
  out << "}";
}

// Writes the counters of metric `name` as members of a JSON object, keyed by the value of their label.
void RenderCounters(std::ostream& out, const Metrics& metrics, const char* name, const char* prefix, bool& first) {
  for (const auto& [labels, value] : metrics.CountersOf(name)) {
    const std::size_t begin = labels.find('"') + 1;
    const std::string label = prefix + labels.substr(begin, labels.rfind('"') - begin);
    out << (first ? "" : ",") << JsonQuote(label) << ":" << value;
    first = false;
  }
}

}  // namespace

bool Gateway::HandleInspection(CallerExchange& exchange) const {
  const std::string_view path = exchange.request.path();
  std::string body;
  if (path == "/status") {
    body = RenderStatus();
  } else if (path == "/traces") {
    const std::string_view target = exchange.request.target;
    const std::string_view query = target.substr(std::min(path.size() + 1, target.size()));
    const std::string request_id = QueryParameter(query, "request").substr(0, kMaxTracedRequestIdBytes);
    const std::string slow = QueryParameter(query, "slow");
    std::size_t count = kDefaultTraceCount;
    std::from_chars(slow.data(), slow.data() + slow.size(), count);
    body = tracer_.store().RenderSlowest(count, request_id);
  } else {
    return false;
  }
  exchange.Respond({.fields = "Content-Type: application/json\r\n", .body = std::move(body)});
  return true;
}

std::string Gateway::RenderStatus() const {
  const TimePoint now = loop_.Now();
  const auto& members = peers_->LivePeers();
  std::ostringstream out;
  out << "{\"host\":" << JsonQuote(settings_.host) << ",\"failure_domain\":" << JsonQuote(settings_.failure_domain)
      << ",\"ready\":" << JsonBool(ready()) << ",\"stopping\":" << JsonBool(on_stopped_ != nullptr)
      << ",\"running_ms\":" << AgeMs(started_at_, now)
      << ",\n\"routing_version\":" << (routing_table_ == nullptr ? 0 : routing_table_->version())
      << ",\"routing_age_ms\":" << AgeMs(routing_table_since_, now) << ",\n\"daemons_alive\":" << 1 + members.size()
      << ",\"daemons_counted\":" << upstreams_.daemon_count() << ",\"fleet_known\":" << JsonBool(IsFleetKnown())
      << ",\"relay\":" << JsonBool(peers_->IsRelay())
      << ",\"heartbeat_ms\":" << peers_->HeartbeatInterval() / std::chrono::milliseconds(1) << ",\"members\":[";
  for (std::size_t i = 0; i < std::min(members.size(), kMaxMembersShown); ++i) {
    const auto& member = members[i];
    out << (i == 0 ? "" : ",") << "\n  {\"host\":" << JsonQuote(member.host())
        << ",\"peer_address\":" << JsonQuote(member.peer_address())
        << ",\"failure_domain\":" << JsonQuote(member.failure_domain()) << ",\"ready\":" << JsonBool(member.ready())
        << ",\"store_answers\":" << JsonBool(member.store_answers()) << "}";
  }
  out << "],\n\"upstreams\":" << upstreams_.announced_count() << ",\"leaving_known\":" << upstreams_.leaving_count()
      << ",";
  RenderServices(out, upstreams_, now);
  if (rollouts_ != nullptr) {
    out << ",\n\"rollouts\":";
    rollouts_->RenderStatus(out);
  }
  out << ",\n";
  RenderPaces(out, upstreams_, now);
  out << ",\n\"store\":{";
  for (const auto& feed : feeds_) {
    out << (feed->kind() == RecordKind::kRouting ? "" : ",") << JsonQuote(ToString(feed->kind()))
        << ":{\"revision\":" << feed->store_revision();
    if (feed->newest_era() > 0) {  // the store states eras
      out << ",\"era\":" << feed->era() << ",\"suppressed\":" << feed->state().suppressed_count()
          << ",\"kept\":" << feed->state().lost_count();
    }
    out << ",\"answers\":" << JsonBool(!feed->store_unavailable())
        << ",\"failing_ms\":" << (feed->store_unavailable() ? AgeMs(feed->store_unavailable_since(), now) : "null")
        << ",\"source\":\"" << (feed->source() == RecordFeed::Source::kPeers ? "peers" : "store")
        << "\",\"changed_ms\":" << AgeMs(feed->changed_at(), now) << "}";
  }
  out << "},\n\"answers\":{";
  bool first = true;
  RenderCounters(out, metrics_, "pimentomoor_run_answers_total", "", first);
  out << "},\n\"refusals\":{";
  first = true;
  RenderCounters(out, metrics_, "pimentomoor_run_refused_total", "", first);
  RenderCounters(out, metrics_, "pimentomoor_caller_refused_total", "status ", first);
  out << "},\n\"customers_over_cap\":{";
  usage_.RenderOverCap(out);
  out << "},\n\"failures\":{";
  first = true;
  RenderCounters(out, metrics_, "pimentomoor_run_failures_total", "", first);
  out << "},\n\"requests_refused_for_crashes\":" << crashes_.RefusedCount(now)
      << ",\"running_requests\":" << caller_server_->running_requests() << "}\n";
  return out.str();
}

}  // namespace pimentomoor
