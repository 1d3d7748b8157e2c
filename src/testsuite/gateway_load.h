// Load generator for the gateway: asks the directory for daemon addresses, reuses connections, sends requests at a
// steady rate and checks each answer against the answers that the searcher stand-ins produce.
#pragma once

#include <algorithm>
#include <cmath>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>

#include "gateway_searchers.h"
#include "json_fields.h"
#include "pimentomoor/persistent_http_client.h"

namespace pimentomoor {

struct GatewayLoadOptions {
  std::vector<std::string> directories;  // "IP:port" of daemons that answer directory requests, asked in turn
  std::vector<std::string> routes;       // routes that requests take in turn
  std::string request_id_prefix;
  std::string key;       // key that requests carry; empty: none
  std::string customer;  // customer that holds the key
  double requests_per_s = 100;
  unsigned seed = 0;       // seed of the choice of daemons
  Duration duration{};     // length of the load, from the first answer of a directory
  Duration leave_after{};  // time after which an unanswered request's connection is closed; 0 waits for the answer
};

class GatewayLoad {
 public:
  GatewayLoad(EventLoop& loop, GatewayLoadOptions options)
      : loop_(loop), options_(std::move(options)), random_(options_.seed) {
    ResolveAddresses();
  }

  [[nodiscard]] bool done() const { return sent_count_ > 0 && loop_.Now() >= end_at_ && busy_connections_.empty(); }
  [[nodiscard]] bool has_wrong_answer() const { return outcome_counts_.contains("wrong"); }

  /// Returns fields of a JSON object: the number of requests by outcome, and figures of the successful ones ("whole"
  /// and "partial").
  std::string ReportFields() {
    std::string report;
    for (const char* outcome : {"whole", "partial", "refused", "failed", "wrong", "left", "denied"}) {
      report += "\"" + std::string(outcome) +
                "\":" + std::to_string(outcome_counts_.count(outcome) ? outcome_counts_[outcome] : 0) + ",";
    }
    std::sort(latencies_ms_.begin(), latencies_ms_.end());
    const auto quantile = [this](std::size_t permille) {
      const double value = latencies_ms_.empty() ? 0 : latencies_ms_[latencies_ms_.size() * permille / 1'000];
      return std::to_string(std::round(value * 100) / 100);
    };
    const auto within_objective =
        std::upper_bound(latencies_ms_.begin(), latencies_ms_.end(), kLatencyObjectiveMs) - latencies_ms_.begin();
    return report + "\"p50_ms\":" + quantile(500) + ",\"p99_ms\":" + quantile(990) +
           ",\"p99_9_ms\":" + quantile(999) +
           ",\"answered\":" + PerRequest(static_cast<double>(latencies_ms_.size())) +
           ",\"within_objective\":" + PerRequest(static_cast<double>(within_objective)) +
           ",\"coverage\":" + PerRequest(coverage_sum_);
  }
  /// Formats `total` divided by the number of requests.
  [[nodiscard]] std::string PerRequest(double total) const {
    return std::to_string(sent_count_ == 0 ? 0 : std::round(total / static_cast<double>(sent_count_) * 1e5) / 1e5);
  }

 private:
  static constexpr double kLatencyObjectiveMs = 200;  // the "slo-ms" of all routes, see FormatRoutingTable()
  static constexpr Duration kResolveInterval = std::chrono::seconds(2);
  static constexpr Duration kResolveTimeout = std::chrono::milliseconds(300);    // also the delay before a retry
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(2'000);  // twice the timeout of the routes
  // Shorter than the time after which a stopping daemon closes idle connections.
  static constexpr Duration kMaxIdle = std::chrono::milliseconds(500);
  // Retries are safe because a refused connection has sent nothing.
  static constexpr unsigned kMaxConnectAttempts = 4;
  // ResponseReader keeps only the header fields of these roles. This client needs the parts and the missing parts of
  // a gather instead of the request id and the instance.
  inline static const FieldNames kResponseFieldNames{.request_id = platform_names::kPartsField,
                                                     .stamp = platform_names::kStampField,
                                                     .instance = platform_names::kMissingPartsField};

  struct Connection final : TcpStreamHandler {
    explicit Connection(GatewayLoad& owner) : load(owner) {}
    void OnData(std::string_view bytes) override {
      received.append(bytes);
      std::string_view rest = received;
      const ReadStatus status = reader ? reader->Read(rest) : ReadStatus::kMalformed;
      received.erase(0, received.size() - rest.size());
      if (status != ReadStatus::kNeedMore) {
        const bool complete = status == ReadStatus::kComplete && rest.empty();
        load.Finish(this, complete ? load.ClassifyAnswer(*this) : "wrong", complete && reader->message().keep_alive);
      }
    }
    void OnEnd(StreamEnd end) override {
      if (end == StreamEnd::kConnectFailed && connect_attempts < kMaxConnectAttempts) {
        load.Connect(*this);
      } else {
        load.Finish(this, "failed", false);
      }
    }
    GatewayLoad& load;
    std::unique_ptr<TcpStream> stream;
    std::optional<ResponseReader> reader;  // set while a request runs
    std::string received, route, request_id, request_text;
    TimePoint since;  // intended start of the running request, or start of the idle time
    TimerId timer = 0;
    unsigned connect_attempts = 0;
  };

  void ResolveAddresses() {
    directory_ = std::make_unique<PersistentHttpClient>(
        loop_, kResponseFieldNames, options_.directories[resolve_count_++ % options_.directories.size()]);
    directory_->Get(std::string(platform_names::kResolvePath) + "?name=search&region=r&zone=z", kResolveTimeout,
                    [this](const auto& response) {
                      const bool answered = response && response->status == 200;
                      if (answered) {
                        addresses_.clear();
                        const auto document = ParseJson(response->body, "addresses");
                        for (const auto& address : RequireArray(document, platform_names::kAddresses).GetArray()) {
                          addresses_.emplace_back(address.GetString());
                        }
                        if (sent_count_ == 0) {
                          next_send_at_ = loop_.Now();
                          end_at_ = next_send_at_ + options_.duration;
                          SendNext();
                        }
                      }
                      loop_.CallAfter(answered ? kResolveInterval : kResolveTimeout, [this] { ResolveAddresses(); });
                    });
  }

  void SendNext() {
    if (loop_.Now() < end_at_) {
      Send(options_.routes[sent_count_++ % options_.routes.size()]);
      next_send_at_ +=
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / options_.requests_per_s));
      loop_.CallAt(next_send_at_, [this] { SendNext(); });
    }
  }

  void Send(const std::string& route) {
    std::erase_if(idle_connections_, [this](const auto& kept) { return loop_.Now() - kept->since > kMaxIdle; });
    auto connection = idle_connections_.empty() ? std::make_shared<Connection>(*this) : idle_connections_.front();
    if (!idle_connections_.empty()) {
      // Takes the longest idle connection, so that all connections and daemons stay in use.
      idle_connections_.erase(idle_connections_.begin());
    }
    connection->route = route;
    connection->request_id = options_.request_id_prefix + "-" + std::to_string(sent_count_);
    connection->since = next_send_at_;  // not the current time, so that a delayed send counts as latency
    const bool leaves = options_.leave_after > Duration::zero();
    if (leaves) {
      connection->request_id += FormatLeaveMark(loop_.Now() + options_.leave_after);
    }
    std::string key_fields;
    if (!options_.key.empty()) {
      connection->request_id += FormatCustomerMark(options_.customer);
      key_fields = std::string(platform_names::kApiKeyField) + ": " + options_.key + "\r\n" +
                   platform_names::kCustomerField + ": forged\r\n";
    }
    connection->request_text =
        (route == "order" ? "POST /" : "GET /") + route + " HTTP/1.1\r\nHost: " + kGatewayHost + "\r\n" +
        platform_names::kRequestIdField + ": " + connection->request_id + "\r\n" + platform_names::kDeadlineMsField +
        ": 1000\r\n" + key_fields + (route == "order" ? "Content-Length: 5\r\n\r\nitem\n" : "\r\n");
    connection->reader.emplace(kResponseFieldNames, MessageLimits(), false, false);
    connection->timer =
        loop_.CallAfter(leaves ? options_.leave_after : kRequestTimeout,
                        [this, leaves, key = connection.get()] { Finish(key, leaves ? "left" : "failed", false); });
    busy_connections_[connection.get()] = connection;
    if (connection->stream == nullptr) {
      Connect(*connection);
    } else {
      connection->stream->Write(connection->request_text);
    }
  }

  void Connect(Connection& connection) {
    ++connection.connect_attempts;
    connection.stream = TcpStream::Connect(loop_, addresses_[random_() % addresses_.size()], connection);
    if (connection.stream != nullptr) {  // without a stream the timeout ends the request
      connection.stream->Write(connection.request_text);
    }
  }

  // Returns the outcome that is counted for a complete answer.
  const char* ClassifyAnswer(Connection& connection) {
    const ResponseMessage& answer = connection.reader->message();
    if (answer.status == 401) {
      return "denied";
    }
    if (answer.status != 200) {
      const bool not_run =
          answer.status == 408 || answer.status == 421 || answer.status == 429 || answer.status == 503;
      return not_run ? "refused" : "failed";
    }
    const bool is_gather = connection.route == "pages";
    std::vector<std::string> services, records;
    std::istringstream stamps(is_gather ? answer.request_id : answer.stamp);
    for (std::string stamp; std::getline(stamps >> std::ws, stamp, ',');) {  // "SERVICE-REPLICA/REQUEST-ID"
      const std::size_t slash = std::min(stamp.find('/'), stamp.size());
      services.push_back(stamp.substr(0, stamp.rfind('-', slash)));
      records.push_back(MakeShardRecords(connection.request_id, services.back()));
      if (stamp.substr(slash) != "/" + connection.request_id || !services.back().starts_with(connection.route) ||
          std::count(services.begin(), services.end(), services.back()) != 1) {
        return "wrong";
      }
    }
    const bool is_correct = is_gather
                                ? services.size() >= kGatewayMinParts &&
                                      answer.instance == std::to_string(kGatewayShardCount - services.size()) &&
                                      answer.body == MergeRecordsNaive(records, kGatewayTopRecords)
                                : services.size() == 1 && answer.body == MakeSingleAnswer(connection.request_id);
    coverage_sum_ +=
        is_correct ? static_cast<double>(services.size()) / static_cast<double>(is_gather ? kGatewayShardCount : 1)
                   : 0;
    return !is_correct ? "wrong" : !is_gather || services.size() == kGatewayShardCount ? "whole" : "partial";
  }

  void Finish(Connection* finished, const std::string& outcome, bool keep_connection) {
    if (const auto found = busy_connections_.find(finished); found != busy_connections_.end()) {
      loop_.Cancel(finished->timer);
      ++outcome_counts_[outcome];
      if (outcome == "whole" || outcome == "partial") {
        latencies_ms_.push_back(std::chrono::duration<double, std::milli>(loop_.Now() - finished->since).count());
      } else {
        std::cerr << outcome << ": " << finished->request_id << " on " << finished->route << "\n";
      }
      finished->reader.reset();
      finished->since = loop_.Now();
      idle_connections_.push_back(found->second);
      busy_connections_.erase(found);
    }
    if (const auto kept = std::find_if(idle_connections_.begin(), idle_connections_.end(),
                                       [=](const auto& one) { return one.get() == finished; });
        !keep_connection && kept != idle_connections_.end()) {
      // The connection is destroyed in the next turn, because one of its functions may be the caller.
      loop_.Post([connection = *kept] {});
      idle_connections_.erase(kept);
    }
  }

  EventLoop& loop_;
  const GatewayLoadOptions options_;
  TimePoint end_at_, next_send_at_;
  std::unique_ptr<PersistentHttpClient> directory_;
  std::vector<std::string> addresses_;
  std::size_t resolve_count_ = 0, sent_count_ = 0;
  std::map<Connection*, std::shared_ptr<Connection>> busy_connections_;
  std::vector<std::shared_ptr<Connection>> idle_connections_;
  std::map<std::string, unsigned> outcome_counts_;
  std::vector<double> latencies_ms_;
  double coverage_sum_ = 0;  // sum over correct answers of received parts / all parts
  std::mt19937 random_;
};

}  // namespace pimentomoor
