// Stand-ins for the platform's searchers. Each one listens on a loopback address, runs a limited number of requests
// at a time, writes its entry to the store stand-in, counts the runs of each request id, and has the faults of
// SearcherFault.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "arrival_checks.h"
#include "endless_server.h"
#include "gateway_store.h"
#include "names.h"
#include "pimentomoor/top_records.h"
#include "standin_formats.h"

namespace pimentomoor {

constexpr unsigned kGatewayShardCount = 8;
constexpr unsigned kGatewayMinParts = 6;
constexpr std::size_t kGatewayTopRecords = 10;
constexpr const char* kGatewayHost = "search.test";
constexpr const char* kGatewayUnsafeService = "order";
constexpr const char* kGatewayShardServicePrefix = "pages-";  // followed by the shard number

/// Makes the records of one shard for a request, more than a merged answer holds. All searchers of the shard make the
/// same records.
inline std::string MakeShardRecords(const std::string& request_id, const std::string& service) {
  std::mt19937_64 random(std::hash<std::string>()(request_id + service));
  std::string records((kGatewayTopRecords + 2) * kRecordBytes, '\0');
  std::generate(records.begin(), records.end(), [&random] { return static_cast<char>(random()); });
  return records;
}

/// Makes the response body of a service without shards.
inline std::string MakeSingleAnswer(const std::string& request_id) {
  return "answer to " + request_id + std::string(900, '.');
}

/// In the order of the values of the control parameter `fault`.
enum class SearcherFault {
  kNone,
  kPause,    // starts no request for a time
  kFail,     // runs the request and answers 500
  kReset,    // runs the request and closes all connections
  kLose,     // runs the request and never answers it
  kExtra,    // sends the response to the previous request again before this one
  kGone,     // closes the listener and all connections, but keeps its entry in the store
  kDrain,    // announces that it takes no new requests
  kSlow,     // needs a given time for each request
  kEndless,  // answers with bytes that never end, in a head, a body, a chunk extension or a trailer
  kLeave,    // says in all answers that it is leaving; its entry doesn't
  kFull,     // rejects all requests and asks for a pause, for a given time
};

class GatewaySearcher {
 public:
  /// The instance id is "SERVICE-REPLICA", the failure domain "zone-REPLICA".
  GatewaySearcher(EventLoop& loop, Metrics& metrics, GatewayStore& store, const std::string& service,
                  const std::string& replica, const std::string& address, const std::string& version = "")
      : loop_(loop),
        metrics_(metrics),
        store_(store),
        service_(service),
        replica_(replica),
        address_(address),
        version_(version) {
    Listen();
    Announce();
  }

  /// kFail, kReset, kLose and kExtra affect every `interval`th answer, at most `count` answers in all. `time` is the
  /// length of kPause or the time per request of kSlow. kNone makes the searcher healthy again.
  void SetFault(SearcherFault fault, unsigned count, unsigned interval, Duration time) {
    const Duration pause = fault == SearcherFault::kPause ? time : Duration{};
    fault_ = fault;
    faulty_answers_left_ = count;
    fault_interval_ = std::max(1U, interval);
    work_time_ = fault == SearcherFault::kSlow ? time : kWorkTime;
    paused_until_ = loop_.Now() + pause;
    loop_.CallAfter(pause, [this] { StartQueued(); });
    endless_server_.reset();
    if (fault == SearcherFault::kGone || fault == SearcherFault::kEndless) {
      server_.reset();
      if (fault == SearcherFault::kEndless) {
        endless_server_ = std::make_unique<EndlessServer>(loop_, address_);
      }
    } else if (server_ == nullptr) {
      Listen();
    }
    if (leaving_ && fault != SearcherFault::kLeave) {
      ++start_unix_ms_;  // a new lifetime
      leaving_since_ = TimePoint::max();
      Announce();
    }
    leaving_ = fault == SearcherFault::kLeave;
    if (fault == SearcherFault::kFull) {
      checks_.SetPause(loop_.Now(), loop_.Now() + time);
    }
    if (const bool drain = fault == SearcherFault::kDrain; drain != (draining_since_ != TimePoint::max())) {
      draining_since_ = drain ? loop_.Now() : TimePoint::max();
      Announce();
    }
  }

  /// Starts or ends an outage of the searcher's failure domain, whose object in the store the caller changes. After
  /// an outage the searcher is cold for `cold_duration`.
  void SetOutage(bool in_outage, Duration cold_duration) {
    checks_.SetOutageStart(in_outage ? loop_.Now() : TimePoint::max());
    if (!in_outage) {
      checks_.SetColdUntil(loop_.Now() + cold_duration);
      Announce(cold_duration);
    }
  }

  /// Writes the entry again, as it is now.
  void WriteEntryAgain() { Announce(); }

  [[nodiscard]] std::string failure_domain() const { return "zone-" + replica_; }
  [[nodiscard]] std::string id() const { return service_ + "-" + replica_; }
  [[nodiscard]] const std::string& service() const { return service_; }
  [[nodiscard]] const std::map<std::string, unsigned>& runs() const { return runs_; }          // number by request id
  [[nodiscard]] const std::map<std::string, unsigned>& arrivals() const { return arrivals_; }  // number by request id
  /// Number of answers that a fault affected.
  [[nodiscard]] unsigned faulty_answers() const { return faulty_answers_; }
  [[nodiscard]] const ArrivalChecks& checks() const { return checks_; }

 private:
  using Exchange = std::shared_ptr<CallerExchange>;
  static constexpr unsigned kSlots = 3;
  static constexpr Duration kWorkTime = std::chrono::milliseconds(4);
  // Doesn't name the field of the expected instance, so that the reader keeps it in RequestMessage::forward_fields.
  inline static const FieldNames kFieldNames{.request_id = platform_names::kRequestIdField,
                                             .deadline_ms = platform_names::kDeadlineMsField};

  static std::string FormatField(const std::string& name, const std::string& value) {
    return name + ": " + value + "\r\n";
  }

  void Listen() {
    server_ = std::make_unique<CallerServer>(loop_, metrics_, kFieldNames, CallerServerOptions{.address = address_},
                                             [this](const Exchange& exchange) { Receive(exchange); });
  }

  // Writes the entry of the searcher to the store.
  void Announce(Duration cold_remaining = {}) {
    store_.ChangeObject(std::string(platform_names::kUpstreamKind), id(),
                        FormatUpstreamEntry({.id = id(),
                                             .service = service_,
                                             .address = address_,
                                             .failure_domain = failure_domain(),
                                             .version = version_,
                                             .slots = kSlots,
                                             .draining = draining_since_ != TimePoint::max(),
                                             .cold_remaining = cold_remaining,
                                             .start_unix_ms = start_unix_ms_,
                                             .sequence = ++sequence_}));
  }

  void Receive(const Exchange& exchange) {
    const RequestMessage& request = exchange->request;
    ++arrivals_[request.request_id];
    const std::string expected = FormatField(platform_names::kExpectedInstanceField, id());
    if (("\n" + request.forward_fields).find("\n" + expected) == std::string::npos) {
      exchange->Respond({.status = 421,
                         .fields = FormatField(platform_names::kRequestIdField, request.request_id) +
                                   FormatField(platform_names::kNotRunField, "1")});
      return;
    }
    checks_.OnArrival(request.request_id, std::min(draining_since_, leaving_since_), loop_.Now());
    checks_.OnFields(request.request_id, request.forward_fields);
    if (const TimePoint until = checks_.pause_end(); loop_.Now() < until) {
      const double left = std::chrono::duration<double>(until - loop_.Now()).count();
      exchange->Respond({.status = 503,
                         .fields = FormatField(platform_names::kRequestIdField, request.request_id) +
                                   FormatField(platform_names::kNotRunField, "1") +
                                   FormatField("Retry-After", std::to_string(left))});
      return;
    }
    if (const auto leave_time = ParseLeaveTime(request.request_id);
        leave_time && !service_.starts_with(kGatewayUnsafeService)) {
      loop_.CallAt(*leave_time + kMaxTimeAfterLeave,
                   [this, exchange] { checks_.OnLeaveDeadline(!exchange->finished()); });
    }
    queue_.push_back(exchange);
    StartQueued();
  }

  void StartQueued() {
    while (running_ < kSlots && !queue_.empty() && loop_.Now() >= paused_until_) {
      const Exchange exchange = queue_.front();
      queue_.pop_front();
      ++running_;
      ++runs_[exchange->request.request_id];
      loop_.CallAfter(work_time_, [this, exchange] {
        --running_;
        Respond(exchange);
        StartQueued();
      });
    }
  }

  void Respond(const Exchange& exchange) {
    const std::string& request_id = exchange->request.request_id;
    const bool faulty = faulty_answers_left_ > 0 && ++answer_count_ % fault_interval_ == 0;
    const SearcherFault fault = faulty ? fault_ : SearcherFault::kNone;
    if (faulty) {
      --faulty_answers_left_;
      ++faulty_answers_;
    }
    const bool is_shard = service_.starts_with(kGatewayShardServicePrefix);
    OutgoingResponse response{
        .status = fault == SearcherFault::kFail ? 500 : 200,
        .fields = FormatField(platform_names::kRequestIdField, request_id) +
                  FormatField(platform_names::kStampField, id() + "/" + request_id) +
                  (leaving_ ? FormatField(platform_names::kLeavingField, "1") : ""),
        .body = is_shard ? MakeShardRecords(request_id, service_) : MakeSingleAnswer(request_id)};
    if (leaving_) {
      leaving_since_ = std::min(leaving_since_, loop_.Now());
    }
    const std::string previous = std::exchange(
        previous_response_, response.fields + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" +
                                response.body + "HTTP/1.1 200 OK\r\n");
    if (fault == SearcherFault::kExtra) {
      response.fields.insert(0, previous);
    }
    if (fault == SearcherFault::kReset) {
      server_.reset();
      Listen();
    } else if (fault == SearcherFault::kLose) {
      unanswered_.push_back(exchange);
    } else {
      exchange->Respond(response);
    }
  }

  EventLoop& loop_;
  Metrics& metrics_;
  GatewayStore& store_;
  const std::string service_, replica_, address_, version_;
  std::unique_ptr<CallerServer> server_;           // null during kGone and kEndless
  std::unique_ptr<EndlessServer> endless_server_;  // set exactly during kEndless
  std::deque<Exchange> queue_;
  std::vector<Exchange> unanswered_;  // exchanges of kLose, kept open
  std::string previous_response_;     // fields and body of the previous response, and the status line of the next one
  SearcherFault fault_ = SearcherFault::kNone;
  TimePoint paused_until_{};
  TimePoint draining_since_ = TimePoint::max();
  TimePoint leaving_since_ = TimePoint::max();  // time of the first answer that said so
  bool leaving_ = false;
  Duration work_time_ = kWorkTime;
  std::uint64_t start_unix_ms_ = 1;
  unsigned running_ = 0, sequence_ = 0, answer_count_ = 0, faulty_answers_left_ = 0, fault_interval_ = 1,
           faulty_answers_ = 0;
  ArrivalChecks checks_;
  std::map<std::string, unsigned> runs_, arrivals_;
};

}  // namespace pimentomoor
