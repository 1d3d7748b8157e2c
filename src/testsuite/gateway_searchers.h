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

#include "gateway_store.h"
#include "pimentomoor/top_records.h"

namespace pimentomoor {

constexpr unsigned kGatewayShards = 8;
constexpr unsigned kGatewayMinParts = 6;
constexpr std::size_t kGatewayTopRecords = 10;
constexpr const char* kGatewayHost = "search.test";
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

  [[nodiscard]] std::string id() const { return service_ + "-" + replica_; }
  [[nodiscard]] const std::string& service() const { return service_; }
  [[nodiscard]] const std::map<std::string, unsigned>& runs() const { return runs_; }          // by request id
  [[nodiscard]] const std::map<std::string, unsigned>& arrivals() const { return arrivals_; }  // by request id
  [[nodiscard]] unsigned spoilt() const { return spoilt_; }                                    // answers, by a fault
  [[nodiscard]] unsigned arrivals_after_drain() const { return arrivals_after_drain_; }  // past the platform's bound

 private:
  using Exchange = std::shared_ptr<CallerExchange>;
  static constexpr unsigned kSlots = 3;
  static constexpr Duration kWork = std::chrono::milliseconds(4);
  static constexpr Duration kDrainBound = std::chrono::milliseconds(3'000);  // of the platform
  // Without the expected instance, so that the reader keeps it among the other fields.
  inline static const FieldNames kFieldNames{.request_id = "x-request-id", .deadline_ms = "x-deadline-ms"};

  void Listen() {
    server_ = std::make_unique<CallerServer>(loop_, metrics_, kFieldNames, CallerServerOptions{.address = address_},
                                             [this](const Exchange& exchange) { Receive(exchange); });
  }

  void Announce() {
    const std::string state = draining_since_ == TimePoint::max() ? "ready" : "draining";
    store_.Change("servers", id(),
                  R"({"backend":")" + service_ + R"(","address":")" + address_ + R"(","zone":"zone-)" + replica_ +
                      R"(","state":")" + state + R"(","slots":)" + std::to_string(kSlots) +
                      R"(,"cold-left-ms":0,"born":1,"seq":)" + std::to_string(++sequence_) + "}");
  }

  void Receive(const Exchange& exchange) {
    const RequestMessage& request = exchange->request;
    ++arrivals_[request.request_id];
    if (("\n" + request.forward_fields).find("\nx-expect-instance: " + id() + "\r\n") == std::string::npos) {
      exchange->Respond({.status = 421, .fields = "X-Request-Id: " + request.request_id + "\r\nX-Not-Run: 1\r\n"});
      return;
    }
    if (draining_since_ != TimePoint::max() && loop_.Now() - draining_since_ > kDrainBound) {
      ++arrivals_after_drain_;
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
    OutgoingResponse response{
        .status = fault == SearcherFault::kFail ? 500 : 200,
        .fields = "X-Request-Id: " + request_id + "\r\nX-Stamp: " + id() + "/" + request_id + "\r\n",
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
  unsigned arrivals_after_drain_ = 0;
  std::map<std::string, unsigned> runs_, arrivals_;
};

/// Routing table of the deployment. Its version is also the prefix "/version-N" of a route, so that tests see which
/// one is in force.
inline std::string MakeGatewayTable(const std::string& version) {
  std::string table = R"({"version":VERSION,"routes":[
    {"name":"pages","prefix":"/pages","type":"safe","top-k":10,"min-parts":0.75,COMMON,"gather":["pages-0","pages-1",
      "pages-2","pages-3","pages-4","pages-5","pages-6","pages-7"]},
    {"name":"fetch","prefix":"/fetch","type":"safe","backend":"fetch",COMMON},
    {"name":"order","prefix":"/order","type":"unsafe","backend":"order",COMMON},
    {"name":"version","prefix":"/version-VERSION","type":"safe","backend":"fetch",COMMON}],"services":[
    SERVICE"fetch"},SERVICE"order"},SERVICE"pages-0"},SERVICE"pages-1"},SERVICE"pages-2"},SERVICE"pages-3"},
    SERVICE"pages-4"},SERVICE"pages-5"},SERVICE"pages-6"},SERVICE"pages-7"}]})";
  const auto replace = [&table](const std::string& mark, const std::string& text) {
    for (std::size_t at = 0; (at = table.find(mark, at)) != std::string::npos;) {
      table.replace(at, mark.size(), text);
    }
  };
  replace("VERSION", version);
  replace("COMMON", R"("host":"search.test","timeout-ms":1000,"slo-ms":200,"attempts":2)");
  replace("SERVICE", R"({"health-path":"/health","max-conns":30,"name":)");
  return table;
}

}  // namespace pimentomoor
