// Counts requests that arrive at a searcher stand-in later or more often than the platform allows, and work that goes
// on after its caller has left. A caller leaves when it closes the connection of an unanswered request.
#pragma once

#include <deque>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "names.h"
#include "pimentomoor/clock.h"
#include "pimentomoor/http1_message.h"

namespace pimentomoor {

// Limits of docs/platform.md, section 3: times after the start of a drain, after the start of an outage and after the
// caller left during which requests may still arrive.
constexpr Duration kMaxTimeAfterDrain = std::chrono::milliseconds(3'000);
constexpr Duration kMaxTimeAfterOutage = std::chrono::milliseconds(5'000);
constexpr Duration kMaxTimeAfterLeave = std::chrono::milliseconds(500);
// Time after the start of a pause during which daemons still hear of it; then they send nothing until its end.
constexpr Duration kMaxTimeAfterPause = std::chrono::milliseconds(500);
constexpr unsigned kColdRequestsPerS = 5;  // rate that a cold searcher can serve
// The factor and the summand are the defaults of rate_factor and slack in ColdUpstreamSettings.
constexpr double kMaxColdArrivalsPerS = kColdRequestsPerS * 1.5 + 5;

// Suffix of a request id with the time at which the caller leaves. Callers and searchers run on one machine, so they
// share the clock.
inline std::string FormatLeaveMark(TimePoint time) {
  return "-leaves-" + std::to_string(time.time_since_epoch().count());
}
/// Null when the caller waits for the answer.
inline std::optional<TimePoint> ParseLeaveTime(const std::string& request_id) {
  constexpr std::string_view kMark = "-leaves-";
  const std::size_t mark = request_id.find(kMark);
  return mark == std::string::npos
             ? std::nullopt
             : std::optional(TimePoint(Duration(std::stoll(request_id.substr(mark + kMark.size())))));
}

// Part of a request id that names the customer whose key the request carries.
inline std::string FormatCustomerMark(const std::string& customer) { return "-for-" + customer; }
/// Null when the request carries no key.
inline std::optional<std::string> ParseCustomerMark(const std::string& request_id) {
  constexpr std::string_view kMark = "-for-";
  const std::size_t mark = request_id.find(kMark);
  return mark == std::string::npos ? std::nullopt : std::optional(request_id.substr(mark + kMark.size()));
}

struct ArrivalCounts {
  // All arrivals; arrivals after the limit for a drain, an outage and a caller that left; requests still running
  // after that last limit; arrivals above the rate limit of a cold searcher; arrivals with a key, and with another
  // customer than the one that holds the caller's key; arrivals within a pause.
  unsigned arrivals = 0, after_drain = 0, after_outage = 0, after_leave = 0, work_after_leave = 0, cold_excess = 0,
           with_key = 0, wrong_customer = 0, in_pause = 0;

  ArrivalCounts& operator+=(const ArrivalCounts& other) {
    arrivals += other.arrivals;
    after_drain += other.after_drain;
    after_outage += other.after_outage;
    after_leave += other.after_leave;
    work_after_leave += other.work_after_leave;
    cold_excess += other.cold_excess;
    with_key += other.with_key;
    wrong_customer += other.wrong_customer;
    in_pause += other.in_pause;
    return *this;
  }
};

/// Formats the counts as fields of a JSON object.
inline std::string FormatCounts(const ArrivalCounts& counts) {
  const auto format_field = [](const char* name, unsigned value) {
    return "\"" + std::string(name) + "\":" + std::to_string(value);
  };
  return format_field("arrivals", counts.arrivals) + "," + format_field("arrivals_after_drain", counts.after_drain) +
         "," + format_field("arrivals_after_outage", counts.after_outage) + "," +
         format_field("arrivals_after_leave", counts.after_leave) + "," +
         format_field("work_after_leave", counts.work_after_leave) + "," +
         format_field("cold_excess", counts.cold_excess) + "," + format_field("arrivals_with_key", counts.with_key) +
         "," + format_field("arrivals_for_wrong_customer", counts.wrong_customer) + "," +
         format_field("arrivals_in_pause", counts.in_pause);
}

class ArrivalChecks {
 public:
  /// `since` is the start of the outage of the failure domain, or max() without one.
  void SetOutageStart(TimePoint since) { outage_since_ = since; }
  void SetColdUntil(TimePoint until) { cold_until_ = until; }
  void SetPause(TimePoint begin, TimePoint end) {
    pause_begin_ = begin;
    pause_end_ = end;
  }
  [[nodiscard]] TimePoint pause_end() const { return pause_end_; }

  /// Checks the fields of a request, each as "Name: value\r\n".
  void OnFields(const std::string& request_id, const std::string& fields) {
    std::vector<std::string> customers;
    std::istringstream lines(fields);
    for (std::string line; std::getline(lines, line);) {
      const std::string name = line.substr(0, line.find(':'));
      counts_.with_key += EqualsIgnoreCase(name, platform_names::kApiKeyField);
      if (EqualsIgnoreCase(name, platform_names::kCustomerField)) {
        customers.push_back(line.substr(name.size() + 2, line.size() - name.size() - 3));  // without ": " and "\r"
      }
    }
    const auto expected = ParseCustomerMark(request_id);
    counts_.wrong_customer += expected && customers != std::vector<std::string>{*expected};
  }

  /// Counts a request. `draining_since` is the start of the searcher's drain, or max() without one.
  void OnArrival(const std::string& request_id, TimePoint draining_since, TimePoint now) {
    ++counts_.arrivals;
    counts_.after_drain += IsTooLate(draining_since, kMaxTimeAfterDrain, now);
    counts_.after_outage += IsTooLate(outage_since_, kMaxTimeAfterOutage, now);
    counts_.after_leave += IsTooLate(ParseLeaveTime(request_id).value_or(TimePoint::max()), kMaxTimeAfterLeave, now);
    counts_.in_pause += now < pause_end_ && now - pause_begin_ > kMaxTimeAfterPause ? 1 : 0;
    if (now < cold_until_) {
      cold_arrivals_.push_back(now);
      while (now - cold_arrivals_.front() >= std::chrono::seconds(1)) {
        cold_arrivals_.pop_front();
      }
      counts_.cold_excess += static_cast<double>(cold_arrivals_.size()) > kMaxColdArrivalsPerS ? 1 : 0;
    }
  }
  /// Called kMaxTimeAfterLeave after a caller left. `still_running` tells whether its request has not ended.
  void OnLeaveDeadline(bool still_running) { counts_.work_after_leave += still_running ? 1 : 0; }

  [[nodiscard]] const ArrivalCounts& counts() const { return counts_; }

 private:
  static unsigned IsTooLate(TimePoint since, Duration bound, TimePoint now) {
    return since != TimePoint::max() && now - since > bound ? 1 : 0;
  }

  TimePoint outage_since_ = TimePoint::max();
  TimePoint cold_until_{};
  TimePoint pause_begin_{};
  TimePoint pause_end_{};
  std::deque<TimePoint> cold_arrivals_;  // times of the arrivals at the cold searcher within the last second
  ArrivalCounts counts_;
};

}  // namespace pimentomoor
