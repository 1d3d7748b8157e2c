// Stand-ins for the platform's searchers: each has a loopback address, slots and a work time, announces itself in the
// store stand-in, counts how often each request id ran, and shows the faults of SearcherFault.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "arrival_checks.h"
#include "gateway_store.h"
#include "names.h"
#include "pimentomoor/top_records.h"
#include "standin_formats.h"

namespace pimentomoor {

constexpr unsigned kGatewayShards = 8;
constexpr unsigned kGatewayMinParts = 6;
constexpr std::size_t kGatewayTopRecords = 10;
constexpr const char* kGatewayHost = "search.test";
constexpr const char* kGatewayUnsafeService = "order";
constexpr const char* kGatewayShardService = "pages-";  // and the shard's number

/// The records of one shard for a request, more than an answer holds: the same from each searcher of the shard.
inline std::string MakeShardRecords(const std::string& request_id, const std::string& service) {
  std::mt19937_64 random(std::hash<std::string>()(request_id + service));
  std::string records((kGatewayTopRecords + 2) * kRecordBytes, '\0');
  std::generate(records.begin(), records.end(), [&random] { return static_cast<char>(random()); });
  return records;
}

/// The answer of a single service.
inline std::string MakeSingleAnswer(const std::string& request_id) {
  return "answer to " + request_id + std::string(900, '.');
}

enum class SearcherFault {
  kNone,
  kPause,  // starts no work for a time
  kFail,   // answers 500 after the run
  kReset,  // closes all its connections after the run
  kLose,   // never answers after the run
  kExtra,  // sends the answer to an earlier request ahead of this one
  kGone,   // closes its listener and connections; its entry stays
  kDrain,  // announces that it takes no new requests
  kSlow,   // takes another time for each request
};

class GatewaySearcher {
 public:
  /// The instance id is "SERVICE-REPLICA", the failure domain "zone-REPLICA".
  GatewaySearcher(EventLoop& loop, Metrics& metrics, GatewayStore& store, const std::string& service,
                  const std::string& replica, const std::string& address)
      : loop_(loop), metrics_(metrics), store_(store), service_(service), replica_(replica), address_(address) {
    Listen();
    Announce();
  }

  /// `count` limits the answers that kFail, kReset, kLose and kExtra spoil, of which they leave all but each
  /// `every`th whole; `time` is the length of kPause and the work time of kSlow. kNone makes the searcher healthy
  /// again.
  void SetFault(SearcherFault fault, unsigned count, unsigned every, Duration time) {
    const Duration pause = fault == SearcherFault::kPause ? time : Duration{};
    fault_ = fault;
    fault_left_ = count;
    fault_every_ = std::max(1U, every);
    work_ = fault == SearcherFault::kSlow ? time : kWork;
    paused_until_ = loop_.Now() + pause;
    loop_.CallAfter(pause, [this] { Pump(); });
    if (fault == SearcherFault::kGone) {
      server_.reset();
    } else if (server_ == nullptr) {
      Listen();
    }
    if (const bool drain = fault == SearcherFault::kDrain; drain != (draining_since_ != TimePoint::max())) {
      draining_since_ = drain ? loop_.Now() : TimePoint::max();
      Announce();
    }
  }

  /// Takes the searcher's failure domain out of service or back, in step with the store's object. A searcher that is
  /// back is cold for `cold`.
  void SetOut(bool out, Duration cold) {
    checks_.SetOut(out ? loop_.Now() : TimePoint::max());
    if (!out) {
      checks_.SetCold(loop_.Now() + cold);
      Announce(cold);
    }
  }

  [[nodiscard]] std::string failure_domain() const { return "zone-" + replica_; }
  [[nodiscard]] std::string id() const { return service_ + "-" + replica_; }
  [[nodiscard]] const std::string& service() const { return service_; }
  [[nodiscard]] const std::map<std::string, unsigned>& runs() const { return runs_; }          // by request id
  [[nodiscard]] const std::map<std::string, unsigned>& arrivals() const { return arrivals_; }  // by request id
  [[nodiscard]] unsigned spoilt() const { return spoilt_; }                                    // answers, by a fault
  [[nodiscard]] const ArrivalChecks& checks() const { return checks_; }

 private:
  using Exchange = std::shared_ptr<CallerExchange>;
  static constexpr unsigned kSlots = 3;
  static constexpr Duration kWork = std::chrono::milliseconds(4);
  // Without the expected instance, so that the reader keeps it among the other fields.
  inline static const FieldNames kFieldNames{.request_id = platform_names::kRequestIdField,
                                             .deadline_ms = platform_names::kDeadlineMsField};

  static std::string Field(const std::string& name, const std::string& value) { return name + ": " + value + "\r\n"; }

  void Listen() {
    server_ = std::make_unique<CallerServer>(loop_, metrics_, kFieldNames, CallerServerOptions{.address = address_},
                                             [this](const Exchange& exchange) { Receive(exchange); });
  }

  void Announce(Duration cold_remaining = {}) {
    store_.Change(std::string(platform_names::kUpstreamKind), id(),
                  FormatUpstreamEntry({.id = id(),
                                       .service = service_,
                                       .address = address_,
                                       .failure_domain = failure_domain(),
                                       .slots = kSlots,
                                       .draining = draining_since_ != TimePoint::max(),
                                       .cold_remaining = cold_remaining,
                                       .start_unix_ms = 1,
                                       .sequence = ++sequence_}));
  }

  void Receive(const Exchange& exchange) {
    const RequestMessage& request = exchange->request;
    ++arrivals_[request.request_id];
    const std::string expected = Field(platform_names::kExpectedInstanceField, id());
    if (("\n" + request.forward_fields).find("\n" + expected) == std::string::npos) {
      exchange->Respond({.status = 421,
                         .fields = Field(platform_names::kRequestIdField, request.request_id) +
                                   Field(platform_names::kNotRunField, "1")});
      return;
    }
    checks_.OnArrival(request.request_id, draining_since_, loop_.Now());
    if (const auto leaves_at = LeavesAt(request.request_id);
        leaves_at && !service_.starts_with(kGatewayUnsafeService)) {
      loop_.CallAt(*leaves_at + kLeaveBound, [this, exchange] { checks_.OnLeaveBound(!exchange->finished()); });
    }
    waiting_.push_back(exchange);
    Pump();
  }

  void Pump() {
    while (running_ < kSlots && !waiting_.empty() && loop_.Now() >= paused_until_) {
      const Exchange exchange = waiting_.front();
      waiting_.pop_front();
      ++running_;
      ++runs_[exchange->request.request_id];
      loop_.CallAfter(work_, [this, exchange] {
        --running_;
        Respond(exchange);
        Pump();
      });
    }
  }

  void Respond(const Exchange& exchange) {
    const std::string& request_id = exchange->request.request_id;
    const bool spoil = fault_left_ > 0 && ++answers_ % fault_every_ == 0;
    const SearcherFault fault = spoil ? fault_ : SearcherFault::kNone;
    if (spoil) {
      --fault_left_;
      ++spoilt_;
    }
    const bool shard = service_.starts_with(kGatewayShardService);
    OutgoingResponse response{.status = fault == SearcherFault::kFail ? 500 : 200,
                              .fields = Field(platform_names::kRequestIdField, request_id) +
                                        Field(platform_names::kStampField, id() + "/" + request_id),
                              .body = shard ? MakeShardRecords(request_id, service_) : MakeSingleAnswer(request_id)};
    const std::string earlier =
        std::exchange(extra_, response.fields + "Content-Length: " + std::to_string(response.body.size()) +
                                  "\r\n\r\n" + response.body + "HTTP/1.1 200 OK\r\n");
    if (fault == SearcherFault::kExtra) {
      response.fields.insert(0, earlier);
    }
    if (fault == SearcherFault::kReset) {
      server_.reset();
      Listen();
    } else if (fault == SearcherFault::kLose) {
      lost_.push_back(exchange);
    } else {
      exchange->Respond(response);
    }
  }

  EventLoop& loop_;
  Metrics& metrics_;
  GatewayStore& store_;
  const std::string service_, replica_, address_;
  std::unique_ptr<CallerServer> server_;  // null while gone
  std::deque<Exchange> waiting_;
  std::vector<Exchange> lost_;
  std::string extra_;  // the answer before, up to the status line of the next
  SearcherFault fault_ = SearcherFault::kNone;
  TimePoint paused_until_{};
  TimePoint draining_since_ = TimePoint::max();
  Duration work_ = kWork;
  unsigned running_ = 0, sequence_ = 0, answers_ = 0, fault_left_ = 0, fault_every_ = 1, spoilt_ = 0;
  ArrivalChecks checks_;
  std::map<std::string, unsigned> runs_, arrivals_;
};

}  // namespace pimentomoor
