// Arrivals at one searcher stand-in that break a bound of the platform, and the marks of callers that leave.
#pragma once

#include <deque>
#include <optional>
#include <string>

#include "pimentomoor/clock.h"

namespace pimentomoor {

// Bounds of docs/platform.md, section 3.
constexpr Duration kDrainBound = std::chrono::milliseconds(3'000);
constexpr Duration kOutageBound = std::chrono::milliseconds(5'000);
constexpr Duration kLeaveBound = std::chrono::milliseconds(500);
constexpr unsigned kColdRate = 5;  // requests per second that a cold searcher bears
constexpr double kColdBound = kColdRate * 1.5 + 5;

// The load and the searchers run on one machine, so a request id can tell when its caller leaves on the common clock.
inline std::string MarkLeaving(TimePoint at) { return "-leaves-" + std::to_string(at.time_since_epoch().count()); }
inline std::optional<TimePoint> LeavesAt(const std::string& request_id) {
  constexpr std::string_view kMark = "-leaves-";
  const std::size_t mark = request_id.find(kMark);
  return mark == std::string::npos
             ? std::nullopt
             : std::optional(TimePoint(Duration(std::stoll(request_id.substr(mark + kMark.size())))));
}

struct ArrivalCounts {
  unsigned arrivals = 0, after_drain = 0, after_outage = 0, after_leave = 0, work_after_leave = 0, cold_excess = 0;

  ArrivalCounts& operator+=(const ArrivalCounts& other) {
    arrivals += other.arrivals;
    after_drain += other.after_drain;
    after_outage += other.after_outage;
    after_leave += other.after_leave;
    work_after_leave += other.work_after_leave;
    cold_excess += other.cold_excess;
    return *this;
  }
};

inline std::string FormatCounts(const ArrivalCounts& counts) {
  const auto member = [](const char* name, unsigned value) {
    return "\"" + std::string(name) + "\":" + std::to_string(value);
  };
  return member("arrivals", counts.arrivals) + "," + member("arrivals_after_drain", counts.after_drain) + "," +
         member("arrivals_after_outage", counts.after_outage) + "," +
         member("arrivals_after_leave", counts.after_leave) + "," +
         member("work_after_leave", counts.work_after_leave) + "," + member("cold_excess", counts.cold_excess);
}

class ArrivalChecks {
 public:
  /// `since` is when the failure domain was taken out; max() while it is in service.
  void SetOut(TimePoint since) { out_since_ = since; }
  void SetCold(TimePoint until) { cold_until_ = until; }

  /// `draining_since` is max() while the searcher takes requests.
  void OnArrival(const std::string& request_id, TimePoint draining_since, TimePoint now) {
    ++counts_.arrivals;
    counts_.after_drain += IsLate(draining_since, kDrainBound, now);
    counts_.after_outage += IsLate(out_since_, kOutageBound, now);
    counts_.after_leave += IsLate(LeavesAt(request_id).value_or(TimePoint::max()), kLeaveBound, now);
    if (now < cold_until_) {
      cold_arrivals_.push_back(now);
      while (now - cold_arrivals_.front() >= std::chrono::seconds(1)) {
        cold_arrivals_.pop_front();
      }
      counts_.cold_excess += static_cast<double>(cold_arrivals_.size()) > kColdBound ? 1 : 0;
    }
  }
  /// The bound after a caller left has passed; `still_open` tells that its work has not been ended.
  void OnLeaveBound(bool still_open) { counts_.work_after_leave += still_open ? 1 : 0; }

  [[nodiscard]] const ArrivalCounts& counts() const { return counts_; }

 private:
  static unsigned IsLate(TimePoint since, Duration bound, TimePoint now) {
    return since != TimePoint::max() && now - since > bound ? 1 : 0;
  }

  TimePoint out_since_ = TimePoint::max();
  TimePoint cold_until_{};
  std::deque<TimePoint> cold_arrivals_;  // within the last second
  ArrivalCounts counts_;
};

}  // namespace pimentomoor
