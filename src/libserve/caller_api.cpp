// HTTP interface of the daemon: /v1/... for callers; /status, /metrics, /traces and /admin/... for operators.
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <charconv>
#include <sstream>

#include "caller.pb.h"
#include "pimentomoor/daemon.h"
#include "pimentomoor/directory.h"
#include "pimentomoor/json_text.h"
#include "pimentomoor/operation_token.h"

namespace pimentomoor {

namespace {

namespace json = google::protobuf::util;

constexpr std::size_t kMaxEntriesInAnswer = 2;
constexpr int kHttpMisdirected = 421;  // status of a request for a service of another cell
constexpr std::size_t kDefaultTraceCount = 10;
constexpr std::size_t kMaxTraceCount = 512;
constexpr std::size_t kMaxOperationBodyBytes = std::size_t{64} * 1024;
constexpr Duration kOperationTimeout = std::chrono::seconds(2);
constexpr std::string_view kOperationsPath = "/v1/operations";
constexpr std::string_view kAdminConfigPath = "/admin/config/";

HttpResponse JsonResponse(int status, const google::protobuf::Message& message) {
  json::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string text;
  if (!json::MessageToJsonString(message, &text, options).ok()) {
    // The texts of rows come from upstreams and may be invalid UTF-8, which JSON does not allow.
    return {.status = 502, .body = "{\"outcome\":\"failed\",\"reason\":\"answer is not valid UTF-8\"}\n"};
  }
  return {.status = status, .body = text + "\n"};
}

// Parses a request body into `message`. Returns an empty text on success, else why the body is refused.
std::string ParseJson(const std::string& body, google::protobuf::Message* message) {
  const auto status = json::JsonStringToMessage(body, message);
  return status.ok() ? "" : "invalid JSON body: " + status.message().ToString();
}

int HttpStatusOfQuery(const proto::QueryAnswer& answer) {
  if (answer.outcome() == "complete" || answer.outcome() == "partial") {
    return 200;
  }
  if (answer.outcome() == "failed") {
    return 502;
  }
  return answer.reason().starts_with("invalid request") ? 400 : 503;
}

std::string OutcomeName(proto::OperationOutcome outcome) {
  switch (outcome) {
    case proto::OPERATION_RAN:
      return "ran";
    case proto::OPERATION_NOT_RUN:
      return "not_run";
    default:
      return "unknown";
  }
}

int HttpStatusOfOperation(proto::OperationOutcome outcome) {
  return outcome == proto::OPERATION_RAN ? 200 : outcome == proto::OPERATION_NOT_RUN ? 503 : 504;
}

HttpResponse MakeQueryRefusal(int status, const std::string& reason) {
  proto::QueryAnswer answer;
  answer.set_outcome("not_run");
  answer.set_reason(reason);
  return JsonResponse(status, answer);
}

HttpResponse MakeOperationResponse(int status, const std::string& outcome, const std::string& reason,
                                   const std::string& body = "") {
  proto::OperationAnswer answer;
  answer.set_outcome(outcome);
  answer.set_reason(reason);
  answer.set_body(body);
  return JsonResponse(status, answer);
}

std::string OtherCellReason(const std::string& service, const std::string& cell) {
  return "service '" + service + "' is served by cell '" + cell + "': ask /v1/entries?service=" + UrlEncode(service);
}

template <typename Items, typename Render>
std::string RenderJsonList(const Items& items, Render render) {
  std::string text;
  for (const auto& item : items) {
    text += (text.empty() ? "" : ",") + render(item);
  }
  return text;
}

std::string RenderMember(const proto::Daemon& member) {
  return "{\"host\":" + JsonQuote(member.host()) + ",\"http_address\":" + JsonQuote(member.http_address()) + "}";
}

}  // namespace

void Daemon::RegisterHandlers() {
  server_.Handle("/v1/entries", [this](const HttpRequest& request, const HttpResponder& respond) {
    HandleEntries(request, respond);
  });
  server_.Handle("/v1/query",
                 [this](const HttpRequest& request, const HttpResponder& respond) { HandleQuery(request, respond); });
  server_.Handle(std::string(kOperationsPath), [this](const HttpRequest& request, const HttpResponder& respond) {
    if (request.method != "POST") {
      respond(MakeOperationResponse(405, "not_run", "method is not POST"));
    } else if (request.path == kOperationsPath) {
      HandleIssueToken(request, respond);
    } else {
      HandleRunToken(request, respond);
    }
  });
  server_.Handle("/status", [this](const HttpRequest&, const HttpResponder& respond) { HandleStatus(respond); });
  server_.Handle("/metrics", [this](const HttpRequest&, const HttpResponder& respond) { HandleMetrics(respond); });
  server_.Handle("/traces", [this](const HttpRequest& request, const HttpResponder& respond) {
    const std::string text = QueryParameter(request.query, "slow");
    std::size_t count = kDefaultTraceCount;
    std::from_chars(text.data(), text.data() + text.size(), count);
    respond({.body = traces_.RenderSlowest(std::min(count, kMaxTraceCount))});
  });
  server_.Handle(std::string(kAdminConfigPath), [this](const HttpRequest& request, const HttpResponder& respond) {
    HandleAdminConfig(request, respond);
  });
}

void Daemon::HandleEntries(const HttpRequest& request, const HttpResponder& respond) {
  // The name of the caller, when given, spreads the callers of one customer over several entries.
  std::string caller = QueryParameter(request.query, "caller");
  if (caller.empty()) {
    caller = QueryParameter(request.query, "customer");
  }
  const std::string caller_domain = QueryParameter(request.query, "failure_domain");
  const std::string other_cell = config_.OtherCellOf(QueryParameter(request.query, "service"));
  proto::EntriesAnswer answer;
  for (const proto::Daemon& member :
       ChooseEntries(EntryCandidates(other_cell), config_.outages(),
                     {.name = caller, .failure_domain = caller_domain}, kMaxEntriesInAnswer)) {
    auto* entry = answer.add_entries();
    entry->set_address(member.http_address());
    entry->set_failure_domain(member.failure_domain());
  }
  if (answer.entries_size() == 0 && other_cell.empty() && !stopping_) {
    // No entry is known, for example because this daemon could not join a view in a platform outage. The daemon
    // itself can still serve as an entry.
    auto* entry = answer.add_entries();
    entry->set_address(server_.address());
    entry->set_failure_domain(settings_.failure_domain);
  }
  answer.set_ttl_ms(
      static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(settings_.entry_ttl).count()));
  respond(JsonResponse(200, answer));
}

// Members that may be given to callers as entries: of this daemon's cell, or of `other_cell` when it is not empty.
// Only the view of another cell is known, so a failed member of that cell is included until the cell removes it.
std::vector<proto::Daemon> Daemon::EntryCandidates(const std::string& other_cell) const {
  if (!other_cell.empty()) {
    const proto::View* view = config_.ViewOfOtherCell(other_cell);
    return view == nullptr ? std::vector<proto::Daemon>{}
                           : std::vector(view->members().begin(), view->members().end());
  }
  std::vector<proto::Daemon> members = fleet_->LiveMembers();
  std::erase_if(members, [&](const proto::Daemon& member) { return stopping_ && member.host() == settings_.host; });
  return members;
}

void Daemon::HandleQuery(const HttpRequest& request, const HttpResponder& respond) {
  if (request.method != "POST") {
    respond(MakeQueryRefusal(405, "method is not POST"));
    return;
  }
  proto::QueryRequest query;
  const std::string parse_error = ParseJson(request.body, &query);
  if (!parse_error.empty()) {
    respond(MakeQueryRefusal(400, parse_error));
    return;
  }
  if (const std::string cell = config_.OtherCellOf(query.service()); !cell.empty()) {
    metrics_.Count("pimentomoor_entry_other_cell_requests_total");
    respond(MakeQueryRefusal(kHttpMisdirected, OtherCellReason(query.service(), cell)));
    return;
  }
  const TraceContext trace = ParseTraceparent(FindHeader(request.headers, "traceparent"));
  coordinator_->Run(std::move(query), trace, [this, respond](const proto::QueryAnswer& answer) {
    HttpResponse response = JsonResponse(HttpStatusOfQuery(answer), answer);
    if (stopping_) {
      response.headers.emplace_back("x-entry-leaving", "1");  // asks the caller to get /v1/entries again
    }
    respond(std::move(response));
  });
}

void Daemon::HandleIssueToken(const HttpRequest& request, const HttpResponder& respond) {
  proto::OperationTokenRequest token_request;
  const std::string parse_error = ParseJson(request.body, &token_request);
  if (!parse_error.empty()) {
    respond(MakeOperationResponse(400, "not_run", parse_error));
    return;
  }
  if (const std::string cell = config_.OtherCellOf(token_request.service()); !cell.empty()) {
    metrics_.Count("pimentomoor_entry_other_cell_requests_total");
    respond(MakeOperationResponse(kHttpMisdirected, "not_run", OtherCellReason(token_request.service(), cell)));
    return;
  }
  const PlanDecision decision =
      FindAllowedPlan(config_.plans(), config_.access(), token_request.customer(), token_request.service());
  if (decision.plan == nullptr) {
    respond(MakeOperationResponse(403, "not_run", decision.refusal));
    return;
  }
  proto::OperationTokenAnswer answer;
  answer.set_token(operations_->IssueToken(token_request.customer(), token_request.service()));
  if (answer.token().empty()) {
    respond(MakeOperationResponse(503, "not_run", "no token can be issued: no witness, too many tokens, or leaving"));
    return;
  }
  answer.set_expires_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(OperationOptions{}.token_lifetime).count()));
  respond(JsonResponse(200, answer));
}

void Daemon::HandleRunToken(const HttpRequest& request, const HttpResponder& respond) {
  if (request.body.size() > kMaxOperationBodyBytes) {
    respond(MakeOperationResponse(413, "not_run",
                                  "body has " + std::to_string(request.body.size()) + " bytes, the limit is " +
                                      std::to_string(kMaxOperationBodyBytes)));
    return;
  }
  const std::string token = request.path.substr(kOperationsPath.size() + 1);
  // The home and the witness of this token are in another cell, where the operation may have run already, so the
  // outcome is "unknown" and not "not_run".
  if (const auto decoded = DecodeToken(token, settings_.token_key)) {
    if (const std::string cell = config_.OtherCellOf(decoded->service()); !cell.empty()) {
      metrics_.Count("pimentomoor_entry_other_cell_requests_total");
      respond(MakeOperationResponse(kHttpMisdirected, "unknown", OtherCellReason(decoded->service(), cell)));
      return;
    }
  }
  operations_->Run(token, request.body, kOperationTimeout, [respond](const proto::OperationResult& result) {
    respond(MakeOperationResponse(HttpStatusOfOperation(result.outcome()), OutcomeName(result.outcome()),
                                  result.reason(), result.body()));
  });
}

void Daemon::HandleStatus(const HttpResponder& respond) {
  std::vector<std::string> keys = {std::string(kPlansKey), std::string(kAccessKey), std::string(kOutagesKey),
                                   std::string(kCatalogIndexKey)};
  for (const auto& [service, catalog] : config_.catalogs()) {
    keys.push_back(std::string(kCatalogPrefix) + service);
  }
  const auto owned_and_waiting = CountOwnedUpstreams();
  std::ostringstream out;
  out << "{\"host\":" << JsonQuote(settings_.host) << ",\"address\":" << JsonQuote(server_.address())
      << ",\"failure_domain\":" << JsonQuote(settings_.failure_domain) << RenderCellFields()
      << ",\"incarnation\":" << JsonQuote(std::to_string(fleet_->self().incarnation()))
      << ",\"epoch\":" << fleet_->view().epoch() << ",\"joined\":" << (fleet_->Joined() ? "true" : "false")
      << ",\"lease\":" << (fleet_->HoldsLease() ? "true" : "false")
      << ",\"leaving\":" << (stopping_ || own_outage_ ? "true" : "false") << ",\"members\":["
      << RenderJsonList(fleet_->view().members(), RenderMember) << "],\"live\":["
      << RenderJsonList(fleet_->LiveMembers(), [](const proto::Daemon& member) { return JsonQuote(member.host()); })
      << "],\"host_list\":" << (host_list_ ? RenderHostList() : "null") << ",\"versions\":{"
      << RenderJsonList(keys,
                        [&](const std::string& key) {
                          return JsonQuote(key) + ":" + std::to_string(config_.VersionInForce(key));
                        })
      << "},\"refused\":{"
      << RenderJsonList(config_.refused_objects(),
                        [](const auto& item) {
                          return JsonQuote(item.first) + ":{\"version\":" + std::to_string(item.second.version) +
                                 ",\"error\":" + JsonQuote(item.second.error) + "}";
                        })
      << "},\"outages\":{\"failure_domains\":[" << RenderJsonList(config_.outages().failure_domains, JsonQuote)
      << "],\"hosts\":[" << RenderJsonList(config_.outages().hosts, JsonQuote)
      << "]},\"queries_running\":" << coordinator_->running_queries()
      << ",\"requests_running\":" << dispatcher_->running_requests()
      << ",\"requests_queued\":" << dispatcher_->queued_sub_queries()
      << ",\"upstreams_owned\":" << owned_and_waiting.first << ",\"upstreams_waiting\":" << owned_and_waiting.second
      << "}\n";
  respond({.body = out.str()});
}

std::string Daemon::RenderHostList() const {
  const auto& list = host_list_->list();
  const Duration age = host_list_->age().value_or(Duration::zero());
  return "{\"source\":" + JsonQuote(host_list_->source()) +
         ",\"polls\":" + (host_list_->polling() ? "true" : "false") + ",\"age_ms\":" +
         (list ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count()) : "null") +
         ",\"hosts\":" + std::to_string(list ? list->hosts.size() : 0) + "}";
}

// Renders the fields of /status for this daemon's cell and the known views of other cells. Returns an empty text in a
// deployment that has only the default cell.
std::string Daemon::RenderCellFields() const {
  const std::set<std::string> others = config_.OtherCells();
  if (settings_.cell == kDefaultCell && others.empty()) {
    return "";
  }
  std::string text;
  for (const std::string& cell : others) {
    if (const proto::View* view = config_.ViewOfOtherCell(cell)) {
      text += std::string(text.empty() ? "" : ",") + "{\"cell\":" + JsonQuote(cell) +
              ",\"epoch\":" + std::to_string(view->epoch()) + ",\"members\":[" +
              RenderJsonList(view->members(), RenderMember) + "]}";
    }
  }
  return ",\"cell\":" + JsonQuote(settings_.cell) + ",\"other_cells\":[" + text + "]";
}

// Counts the upstreams that this daemon owns (first), and those of them that it may not send to now because a
// takeover or the lease is pending (second).
std::pair<std::size_t, std::size_t> Daemon::CountOwnedUpstreams() const {
  std::size_t owned_count = 0;
  std::size_t waiting_count = 0;
  for (const auto& [service, catalog] : config_.catalogs()) {
    for (const auto& upstream : catalog->upstreams) {
      const proto::Daemon* owner = fleet_->OwnerOf(upstream.address);
      if (owner != nullptr && owner->host() == settings_.host) {
        ++owned_count;
        waiting_count += fleet_->MaySendTo(upstream.address) ? 0 : 1;
      }
    }
  }
  return {owned_count, waiting_count};
}

void Daemon::HandleMetrics(const HttpResponder& respond) {
  metrics_.SetGauge("pimentomoor_fleet_live_members", static_cast<double>(fleet_->LiveMembers().size()));
  metrics_.SetGauge("pimentomoor_entry_queries_running", static_cast<double>(coordinator_->running_queries()));
  metrics_.SetGauge("pimentomoor_owner_requests_running", static_cast<double>(dispatcher_->running_requests()));
  metrics_.SetGauge("pimentomoor_owner_requests_queued", static_cast<double>(dispatcher_->queued_sub_queries()));
  metrics_.SetGauge("pimentomoor_peer_sent_bytes", static_cast<double>(transport_.bytes_sent()));
  metrics_.SetGauge("pimentomoor_peer_received_bytes", static_cast<double>(transport_.bytes_received()));
  metrics_.SetGauge("pimentomoor_peer_dropped_messages", static_cast<double>(transport_.received_messages_dropped()));
  if (host_list_) {
    const std::string source = host_list_->source();
    metrics_.SetGauge("pimentomoor_host_list_from", source == "platform" ? 1 : 0, R"(source="platform")");
    metrics_.SetGauge("pimentomoor_host_list_from", source == "platform" || source == "none" ? 0 : 1,
                      R"(source="peer")");
    metrics_.SetGauge("pimentomoor_host_list_age_seconds",
                      std::chrono::duration<double>(host_list_->age().value_or(Duration::zero())).count());
  }
  if (trace_exporter_) {
    metrics_.SetGauge("pimentomoor_trace_export_queued_spans", static_cast<double>(trace_exporter_->queued_spans()));
  }
  respond({.content_type = "text/plain; version=0.0.4", .body = metrics_.Render()});
}

void Daemon::HandleAdminConfig(const HttpRequest& request, const HttpResponder& respond) {
  const auto refuse = [&](int status, const std::string& error) {
    respond({.status = status, .body = "{\"error\":" + JsonQuote(error) + "}\n"});
  };
  const std::string name = request.path.substr(kAdminConfigPath.size());
  const std::string version_text = QueryParameter(request.query, "version");
  PlatformObject object{.key = "config/" + name, .value = request.body};
  const auto [end, error] =
      std::from_chars(version_text.data(), version_text.data() + version_text.size(), object.version);
  if (request.method != "PUT" || (name != "plans" && name != "access" && name != "outages")) {
    refuse(404, "expected PUT /admin/config/plans, access or outages");
  } else if (error != std::errc() || *end != '\0' || object.version == 0) {
    refuse(400, "version '" + version_text + "' is not a positive number");
  } else if (const std::string parse_error = ConfigState().Apply(object); !parse_error.empty()) {
    refuse(400, parse_error);
  } else {
    const bool adopted = fleet_->AdoptObject(object);
    respond({.body = std::string("{\"adopted\":") + (adopted ? "true" : "false") + "}\n"});
  }
}

}  // namespace pimentomoor
