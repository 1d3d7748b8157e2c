// Open-loop load generator: sends queries at scheduled times without waiting for earlier answers, and checks every
// answer against the reference. Latency is measured from the scheduled start, so a stall of the generator or the
// query tier doesn't hide waiting time (coordinated omission).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "deployment.h"
#include "entry_address_cache.h"
#include "load_schedule.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"

namespace pimentomoor {

struct LoadOptions {
  std::vector<std::string> entries;   // "IP:port" of entries that callers fetch addresses from, at least one
  std::vector<std::string> services;  // names of services in the deployment; each query draws one
  Deployment deployment;
  ArrivalKind arrival_kind = ArrivalKind::kPoisson;
  double queries_per_s = 100;
  Duration duration = std::chrono::seconds(10);
  std::uint64_t seed = 1;
  std::string customer = "load";
  std::size_t caller_count = 8;  // callers, each with its own cache of entry addresses
  std::string failure_domain;    // failure domain of the callers
  std::uint32_t row_limit = 10;  // QueryRequest.limit
  std::uint32_t deadline_ms = 500;
  std::uint64_t unique_texts = 1'000;               // number of texts that queries draw from
  Duration one_way_delay{};                         // network delay between callers and entries, each way
  Duration answer_grace = std::chrono::seconds(1);  // wait after the deadline before a query counts as unanswered
  // Whether a query that timed out is sent to the second address too, like one whose connection was refused, and
  // looks addresses up once more when both failed. Callers do so when two entries are killed or paused at once.
  bool resend_timeouts = false;
};

struct LoadReport {
  std::uint64_t sent = 0;                         // queries started
  std::uint64_t answered = 0;                     // queries answered with an outcome
  std::map<std::string, std::uint64_t> outcomes;  // answered queries by outcome
  // Missing shards of correct answers by reason. Reasons beyond kMaxMissingReasons count as "other".
  std::map<std::string, std::uint64_t> missing_shards;
  std::uint64_t unanswered = 0;                   // queries whose attempts all failed, or answered without an outcome
  std::map<std::string, std::uint64_t> failures;  // unanswered queries by cause
  std::uint64_t refused_connections = 0;          // attempts that were not sent because the connection was refused
  std::uint64_t resent = 0;                       // repeated attempts after a lost connection or a timeout
  std::uint64_t late = 0;                         // answers after the deadline
  std::uint64_t wrong = 0;                        // answers that CheckAnswer() rejects
  std::vector<std::string> wrong_examples;        // the first few wrong answers and their errors
  std::vector<Duration> latencies;                // latencies of complete and partial answers, ascending
  double coverage_sum = 0;               // sum over answers of covered shards / all shards; other queries add 0
  std::uint64_t useful_sub_queries = 0;  // shards covered by answers
  Duration max_send_lag{};               // largest delay of a query behind the schedule

  [[nodiscard]] double coverage() const { return sent == 0 ? 0 : coverage_sum / static_cast<double>(sent); }
  [[nodiscard]] double complete_share() const;
};

/// Totals of the counters of the stand-in searchers; a difference of two totals covers one load.
struct SearcherTotals {
  std::uint64_t requests = 0;
  std::uint64_t sheds = 0;
  std::uint64_t overload_violations = 0;
  std::uint64_t wrong_snapshots = 0;
  std::uint64_t crashes = 0;

  friend bool operator==(const SearcherTotals&, const SearcherTotals&) = default;
};

/// Reads the totals from the body of `GET /counters`. Throws std::runtime_error when they are missing.
SearcherTotals ParseCounters(const std::string& json);
SearcherTotals operator-(const SearcherTotals& after, const SearcherTotals& before);

/// Formats a report as JSON, or as text with one field per line. `searchers` may be null.
std::string ReportJson(const LoadReport& report, const SearcherTotals* searchers);
std::string ReportText(const LoadReport& report, const SearcherTotals* searchers);

class LoadGenerator {
 public:
  /// Throws std::invalid_argument when the options name no entry or an unknown service, or the schedule is invalid.
  LoadGenerator(EventLoop& loop, LoadOptions options);

  /// Starts the schedule at the current time.
  void Start();
  [[nodiscard]] bool done() const { return finished_queries_ == schedule_.size(); }
  /// Returns the report, which is complete once done() returns true.
  [[nodiscard]] LoadReport Report() const;
  /// Upper bound of the time from Start() until done() returns true.
  [[nodiscard]] Duration MaxRunTime() const;

 private:
  struct Query;

  void SendDueQueries();
  void StartQuery(TimePoint intended_start);
  void LookUpAddresses(const std::shared_ptr<Query>& query);
  void SendAttempt(const std::shared_ptr<Query>& query);
  void OnResult(const std::shared_ptr<Query>& query, const HttpResult& result);
  void OnAnswer(const Query& query, const HttpResult& result);
  void CountUnanswered(const std::string& cause);

  EventLoop& loop_;
  LoadOptions options_;
  std::vector<Duration> schedule_;
  HttpClient client_;
  std::vector<std::unique_ptr<EntryAddressCache>> callers_;
  std::mt19937_64 random_;
  TimePoint start_;
  std::size_t next_arrival_ = 0;      // index in schedule_ of the next query to send
  std::size_t finished_queries_ = 0;  // queries with a final result
  LoadReport report_;
};

}  // namespace pimentomoor
