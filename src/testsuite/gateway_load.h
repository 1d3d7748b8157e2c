// A caller of the gateway: asks the directory where to connect, keeps connections, sends requests at a steady rate
// and checks each answer against what the searcher stand-ins make.
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
  std::vector<std::string> directories;
  std::vector<std::string> routes;  // sent in turn
  std::string prefix;               // of the request ids
  double rate = 100;
  unsigned seed = 0;       // of the choice of daemons
  Duration duration{};     // from the first answer of a directory
  Duration leave_after{};  // when a caller closes the connection of an unanswered request; 0 waits for the answer
};

class GatewayLoad {
 public:
  GatewayLoad(EventLoop& loop, GatewayLoadOptions options)
      : loop_(loop), options_(std::move(options)), random_(options_.seed) {
    Resolve();
  }

  [[nodiscard]] bool done() const { return sent_ > 0 && loop_.Now() >= ends_at_ && busy_.empty(); }
  [[nodiscard]] bool wrong() const { return counts_.contains("wrong"); }

  /// Members of a JSON object: the counts of all outcomes and the latency of successes.
  std::string Report() {
    std::string report;
    for (const char* outcome : {"whole", "partial", "refused", "failed", "wrong", "left"}) {
      report +=
          "\"" + std::string(outcome) + "\":" + std::to_string(counts_.count(outcome) ? counts_[outcome] : 0) + ",";
    }
    std::sort(latencies_.begin(), latencies_.end());
    const auto quantile = [this](std::size_t permille) {
      const double value = latencies_.empty() ? 0 : latencies_[latencies_.size() * permille / 1'000];
      return std::to_string(std::round(value * 100) / 100);
    };
    const auto within = std::upper_bound(latencies_.begin(), latencies_.end(), kObjectiveMs) - latencies_.begin();
    return report + "\"p50_ms\":" + quantile(500) + ",\"p99_ms\":" + quantile(990) +
           ",\"p99_9_ms\":" + quantile(999) + ",\"answered\":" + PerRequest(static_cast<double>(latencies_.size())) +
           ",\"within_objective\":" + PerRequest(static_cast<double>(within)) +
           ",\"coverage\":" + PerRequest(parts_received_);
  }
  [[nodiscard]] std::string PerRequest(double total) const {
    return std::to_string(sent_ == 0 ? 0 : std::round(total / static_cast<double>(sent_) * 1e5) / 1e5);
  }

 private:
  static constexpr double kObjectiveMs = 200;  // of all routes, see FormatRoutingTable()
  static constexpr Duration kTimeToLive = std::chrono::seconds(2);
  static constexpr Duration kResolveTimeout = std::chrono::milliseconds(300);
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(2'000);  // twice the routes' timeout
  static constexpr Duration kMaxIdle =
      std::chrono::milliseconds(500);          // a stopping daemon closes idle connections later
  static constexpr unsigned kMaxConnects = 4;  // a refused connection has sent nothing
  // The reader keeps the fields of these roles; a caller reads the gather's in place of those of searchers.
  inline static const FieldNames kNames{.request_id = platform_names::kPartsField,
                                        .stamp = platform_names::kStampField,
                                        .instance = platform_names::kMissingPartsField};

  struct Connection final : TcpStreamHandler {
    explicit Connection(GatewayLoad& owner) : load(owner) {}
    void OnData(std::string_view bytes) override {
      pending.append(bytes);
      std::string_view rest = pending;
      const ReadStatus status = reader ? reader->Read(rest) : ReadStatus::kMalformed;
      pending.erase(0, pending.size() - rest.size());
      if (status != ReadStatus::kNeedMore) {
        const bool complete = status == ReadStatus::kComplete && rest.empty();
        load.Finish(this, complete ? load.Judge(*this) : "wrong", complete && reader->message().keep_alive);
      }
    }
    void OnEnd(StreamEnd end) override {
      if (end == StreamEnd::kConnectFailed && connects < kMaxConnects) {
        load.Connect(*this);
      } else {
        load.Finish(this, "failed", false);
      }
    }
    GatewayLoad& load;
    std::unique_ptr<TcpStream> stream;
    std::optional<ResponseReader> reader;  // set exactly while a request runs
    std::string pending, route, id, request;
    TimePoint since;  // of the request, or of the idle time
    TimerId timer = 0;
    unsigned connects = 0;
  };

  void Resolve() {
    directory_ = std::make_unique<PersistentHttpClient>(
        loop_, kNames, options_.directories[resolved_++ % options_.directories.size()]);
    directory_->Get(std::string(platform_names::kResolvePath) + "?name=search&region=r&zone=z", kResolveTimeout,
                    [this](const auto& response) {
                      const bool answered = response && response->status == 200;
                      if (answered) {
                        addresses_.clear();
                        const auto document = ParseJson(response->body, "addresses");
                        for (const auto& address : RequireArray(document, platform_names::kAddresses).GetArray()) {
                          addresses_.emplace_back(address.GetString());
                        }
                        if (sent_ == 0) {
                          next_at_ = loop_.Now();
                          ends_at_ = next_at_ + options_.duration;
                          SendNext();
                        }
                      }
                      loop_.CallAfter(answered ? kTimeToLive : kResolveTimeout, [this] { Resolve(); });
                    });
  }

  void SendNext() {
    if (loop_.Now() < ends_at_) {
      Send(options_.routes[sent_++ % options_.routes.size()]);
      next_at_ += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / options_.rate));
      loop_.CallAt(next_at_, [this] { SendNext(); });
    }
  }

  void Send(const std::string& route) {
    std::erase_if(idle_, [this](const auto& kept) { return loop_.Now() - kept->since > kMaxIdle; });
    auto connection = idle_.empty() ? std::make_shared<Connection>(*this) : idle_.front();
    if (!idle_.empty()) {
      idle_.erase(idle_.begin());  // the longest idle one, so that all connections and daemons stay in use
    }
    connection->route = route;
    connection->id = options_.prefix + "-" + std::to_string(sent_);
    connection->since = next_at_;  // the intended start, so that a delayed sender doesn't hide latency
    const bool leaves = options_.leave_after > Duration::zero();
    if (leaves) {
      connection->id += MarkLeaving(loop_.Now() + options_.leave_after);
    }
    connection->request = (route == "order" ? "POST /" : "GET /") + route + " HTTP/1.1\r\nHost: " + kGatewayHost +
                          "\r\n" + platform_names::kRequestIdField + ": " + connection->id + "\r\n" +
                          platform_names::kDeadlineMsField + ": 1000\r\n" +
                          (route == "order" ? "Content-Length: 5\r\n\r\nitem\n" : "\r\n");
    connection->reader.emplace(kNames, MessageLimits(), false, false);
    connection->timer =
        loop_.CallAfter(leaves ? options_.leave_after : kRequestTimeout,
                        [this, leaves, key = connection.get()] { Finish(key, leaves ? "left" : "failed", false); });
    busy_[connection.get()] = connection;
    if (connection->stream == nullptr) {
      Connect(*connection);
    } else {
      connection->stream->Write(connection->request);
    }
  }

  void Connect(Connection& connection) {
    ++connection.connects;
    connection.stream = TcpStream::Connect(loop_, addresses_[random_() % addresses_.size()], connection);
    if (connection.stream != nullptr) {  // else the time limit ends the request
      connection.stream->Write(connection.request);
    }
  }

  const char* Judge(Connection& connection) {
    const ResponseMessage& answer = connection.reader->message();
    if (answer.status != 200) {
      const bool not_run =
          answer.status == 408 || answer.status == 421 || answer.status == 429 || answer.status == 503;
      return not_run ? "refused" : "failed";
    }
    const bool gather = connection.route == "pages";
    std::vector<std::string> services, records;
    std::istringstream stamps(gather ? answer.request_id : answer.stamp);
    for (std::string stamp; std::getline(stamps >> std::ws, stamp, ',');) {  // "SERVICE-REPLICA/REQUEST-ID"
      const std::size_t slash = std::min(stamp.find('/'), stamp.size());
      services.push_back(stamp.substr(0, stamp.rfind('-', slash)));
      records.push_back(MakeShardRecords(connection.id, services.back()));
      if (stamp.substr(slash) != "/" + connection.id || !services.back().starts_with(connection.route) ||
          std::count(services.begin(), services.end(), services.back()) != 1) {
        return "wrong";
      }
    }
    const bool right = gather ? services.size() >= kGatewayMinParts &&
                                    answer.instance == std::to_string(kGatewayShards - services.size()) &&
                                    answer.body == MergeRecordsNaive(records, kGatewayTopRecords)
                              : services.size() == 1 && answer.body == MakeSingleAnswer(connection.id);
    parts_received_ +=
        right ? static_cast<double>(services.size()) / static_cast<double>(gather ? kGatewayShards : 1) : 0;
    return !right ? "wrong" : !gather || services.size() == kGatewayShards ? "whole" : "partial";
  }

  void Finish(Connection* key, const std::string& outcome, bool keep) {
    if (const auto found = busy_.find(key); found != busy_.end()) {
      loop_.Cancel(key->timer);
      ++counts_[outcome];
      if (outcome == "whole" || outcome == "partial") {
        latencies_.push_back(std::chrono::duration<double, std::milli>(loop_.Now() - key->since).count());
      } else {
        std::cerr << outcome << ": " << key->id << " on " << key->route << "\n";
      }
      key->reader.reset();
      key->since = loop_.Now();
      idle_.push_back(found->second);
      busy_.erase(found);
    }
    if (const auto kept = std::find_if(idle_.begin(), idle_.end(), [=](const auto& one) { return one.get() == key; });
        !keep && kept != idle_.end()) {
      // Destroyed in the next turn, because this may be called from inside one of its functions.
      loop_.Post([connection = *kept] {});
      idle_.erase(kept);
    }
  }

  EventLoop& loop_;
  const GatewayLoadOptions options_;
  TimePoint ends_at_, next_at_;
  std::unique_ptr<PersistentHttpClient> directory_;
  std::vector<std::string> addresses_;
  std::size_t resolved_ = 0, sent_ = 0;
  std::map<Connection*, std::shared_ptr<Connection>> busy_;
  std::vector<std::shared_ptr<Connection>> idle_;
  std::map<std::string, unsigned> counts_;
  std::vector<double> latencies_;
  double parts_received_ = 0;  // shares of each request's parts
  std::mt19937 random_;
};

}  // namespace pimentomoor
