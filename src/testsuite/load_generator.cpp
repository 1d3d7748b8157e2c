// Sends scheduled queries and checks and counts their answers.
#include "load_generator.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "caller.pb.h"
#include "reference.h"

namespace pimentomoor {
namespace {

constexpr std::size_t kMaxWrongExamples = 5;
constexpr std::size_t kMaxMissingReasons = 20;  // reasons may name upstreams, so their number is otherwise unbounded
constexpr std::size_t kMaxAttemptsPerLookup = 2;  // one at each of the first two addresses

std::string ToJson(const proto::QueryRequest& request) {
  std::string json;
  if (!google::protobuf::util::MessageToJsonString(request, &json).ok()) {
    throw std::runtime_error("encode query: text is not valid UTF-8");
  }
  return json;
}

bool ParseAnswer(const std::string& body, proto::QueryAnswer& answer) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  return google::protobuf::util::JsonStringToMessage(body, &answer, options).ok() && !answer.outcome().empty();
}

}  // namespace

/// One query, from its scheduled start to its result.
struct LoadGenerator::Query {
  TimePoint intended_start;
  const ServiceSpec* service = nullptr;
  EntryAddressCache* caller = nullptr;
  proto::QueryRequest request;
  std::vector<std::string> addresses;
  std::size_t attempt = 0;  // index in `addresses`
  std::size_t lookups = 0;  // number of address lookups
};

double LoadReport::complete_share() const {
  const auto found = outcomes.find("complete");
  return sent == 0 || found == outcomes.end() ? 0 : static_cast<double>(found->second) / static_cast<double>(sent);
}

LoadGenerator::LoadGenerator(EventLoop& loop, LoadOptions options)
    : loop_(loop),
      options_(std::move(options)),
      schedule_(ArrivalTimes(options_.arrival_kind, options_.queries_per_s, options_.duration, options_.seed)),
      client_(loop),
      // Differs from the seed of the schedule, so that texts are independent of arrival times.
      random_(options_.seed + 1) {
  if (options_.entries.empty() || options_.services.empty() || options_.caller_count == 0 ||
      options_.unique_texts == 0) {
    throw std::invalid_argument("load: entries, services, callers and unique texts must not be empty or 0");
  }
  for (const auto& service : options_.services) {
    if (options_.deployment.FindService(service) == nullptr) {
      throw std::invalid_argument("load: service '" + service + "' is not in the deployment");
    }
  }
  for (std::size_t i = 0; i < options_.caller_count; ++i) {
    callers_.push_back(std::make_unique<EntryAddressCache>(
        loop_, client_,
        EntryAddressCacheOptions{.bootstrap_entries = options_.entries,
                                 .first_bootstrap_index = i % options_.entries.size(),
                                 .customer = options_.customer,
                                 .caller = options_.customer + "-" + std::to_string(i),
                                 .failure_domain = options_.failure_domain}));
  }
}

void LoadGenerator::Start() {
  start_ = loop_.Now();
  SendDueQueries();
}

LoadReport LoadGenerator::Report() const {
  LoadReport report = report_;
  std::sort(report.latencies.begin(), report.latencies.end());
  return report;
}

Duration LoadGenerator::MaxRunTime() const {
  // Each attempt and each fetch of entry addresses is bounded by the timeout of its HTTP call.
  const Duration max_call_time = std::chrono::milliseconds(options_.deadline_ms) + options_.answer_grace;
  const Duration max_fetch_time = std::chrono::milliseconds(500) * options_.entries.size();
  const int lookups = options_.resend_timeouts ? 2 : 1;
  return options_.duration + lookups * (kMaxAttemptsPerLookup * max_call_time + 2 * max_fetch_time) +
         std::chrono::seconds(1);
}

void LoadGenerator::SendDueQueries() {
  const TimePoint now = loop_.Now();
  while (next_arrival_ < schedule_.size() && start_ + schedule_[next_arrival_] + options_.one_way_delay <= now) {
    const TimePoint intended_start = start_ + schedule_[next_arrival_++];
    report_.max_send_lag = std::max(report_.max_send_lag, now - intended_start - options_.one_way_delay);
    StartQuery(intended_start);
  }
  if (next_arrival_ < schedule_.size()) {
    loop_.CallAt(start_ + schedule_[next_arrival_] + options_.one_way_delay, [this] { SendDueQueries(); });
  }
}

void LoadGenerator::StartQuery(TimePoint intended_start) {
  auto query = std::make_shared<Query>();
  query->intended_start = intended_start;
  query->service = options_.deployment.FindService(options_.services[random_() % options_.services.size()]);
  query->caller = callers_[random_() % callers_.size()].get();
  query->request.set_customer(options_.customer);
  query->request.set_service(query->service->name);
  query->request.set_text("text " + std::to_string(random_() % options_.unique_texts));
  query->request.set_limit(options_.row_limit);
  query->request.set_deadline_ms(options_.deadline_ms);
  ++report_.sent;
  LookUpAddresses(query);
}

void LoadGenerator::LookUpAddresses(const std::shared_ptr<Query>& query) {
  ++query->lookups;
  query->attempt = 0;
  query->caller->Lookup([this, query](const std::vector<std::string>& addresses) {
    query->addresses = addresses;
    if (addresses.empty()) {
      CountUnanswered("no entry address");
    } else {
      SendAttempt(query);
    }
  });
}

void LoadGenerator::SendAttempt(const std::shared_ptr<Query>& query) {
  client_.Call({.target = query->addresses[query->attempt],
                .method = "POST",
                .path = "/v1/query",
                .headers = {{"content-type", "application/json"}},
                .body = ToJson(query->request),
                .timeout = std::chrono::milliseconds(options_.deadline_ms) + options_.answer_grace},
               [this, query](const HttpResult& result) { OnResult(query, result); });
}

void LoadGenerator::OnResult(const std::shared_ptr<Query>& query, const HttpResult& result) {
  if (result.failure == HttpFailure::kNone) {
    OnAnswer(*query, result);
    return;
  }
  const bool refused = NothingSent(result.failure);
  const bool timed_out = options_.resend_timeouts && result.failure == HttpFailure::kTimeout;
  report_.refused_connections += refused ? 1 : 0;
  if (refused || timed_out) {
    query->caller->ReportUnreachable(query->addresses[query->attempt]);
  }
  const bool lost = result.failure == HttpFailure::kConnectionLost || timed_out;
  ++query->attempt;
  if ((refused || lost) && query->attempt < std::min(kMaxAttemptsPerLookup, query->addresses.size())) {
    // A query may be sent again after its connection was lost because queries are idempotent.
    report_.resent += lost ? 1 : 0;
    SendAttempt(query);
    return;
  }
  if (options_.resend_timeouts && query->lookups == 1) {
    report_.resent += refused ? 0 : 1;
    LookUpAddresses(query);
    return;
  }
  CountUnanswered(std::string(ToString(result.failure)));
}

void LoadGenerator::OnAnswer(const Query& query, const HttpResult& result) {
  proto::QueryAnswer answer;
  if (!ParseAnswer(result.body, answer)) {
    CountUnanswered("status " + std::to_string(result.status) + " without outcome");
    return;
  }
  ++finished_queries_;
  ++report_.answered;
  ++report_.outcomes[answer.outcome()];
  if (const auto error = CheckAnswer(*query.service, query.request, answer); !error.empty()) {
    ++report_.wrong;
    if (report_.wrong_examples.size() < kMaxWrongExamples) {
      report_.wrong_examples.push_back(query.service->name + ", '" + query.request.text() + "': " + error);
    }
    return;
  }
  for (const auto& shard : answer.missing()) {
    const bool has_room =
        report_.missing_shards.size() < kMaxMissingReasons || report_.missing_shards.contains(shard.reason());
    ++report_.missing_shards[has_room ? shard.reason() : "other"];
  }
  if (answer.outcome() != "complete" && answer.outcome() != "partial") {
    return;
  }
  const Duration latency = loop_.Now() - query.intended_start + options_.one_way_delay;
  report_.latencies.push_back(latency);
  report_.late += latency > std::chrono::milliseconds(options_.deadline_ms) ? 1 : 0;
  report_.useful_sub_queries += static_cast<std::uint64_t>(answer.covered_size());
  if (answer.shards() != 0) {
    report_.coverage_sum += static_cast<double>(answer.covered_size()) / answer.shards();
  }
}

void LoadGenerator::CountUnanswered(const std::string& cause) {
  ++finished_queries_;
  ++report_.unanswered;
  ++report_.failures[cause];
}

}  // namespace pimentomoor
