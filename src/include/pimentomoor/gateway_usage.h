// Usage caps of customers in a gateway daemon: connects UsageCapExchange to the event loop, the peers' messages, the
// metrics and the log.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway.pb.h"
#include "pimentomoor/customer.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/usage_cap_exchange.h"

namespace pimentomoor {

/// Conversion of messages between daemons. ParseUsageMessage() throws FormatError when a part is missing or too
/// large.
proto::GatewayUsage FormatUsageMessage(const UsageMessage& message);
UsageMessage ParseUsageMessage(const proto::GatewayUsage& message);

class GatewayUsage {
 public:
  /// Sends a message to the daemon at a peer address and returns its size.
  using Send = std::function<std::size_t(const std::string& address, proto::GatewayUsage message)>;
  /// Receives the decision on one request; `retry_after` is set when it is refused.
  using Done = std::function<void(bool admitted, Duration retry_after)>;

  /// `loop` and `metrics` must outlive this object.
  GatewayUsage(EventLoop& loop, Metrics& metrics, UsageMember self, const UsageCapSettings& settings, Send send);
  ~GatewayUsage();
  GatewayUsage(const GatewayUsage&) = delete;
  GatewayUsage& operator=(const GatewayUsage&) = delete;

  void SetSettings(const UsageCapSettings& settings);
  /// Applies the caps of the routing table in force.
  void SetCustomers(const std::vector<CustomerSpec>& customers);
  /// Applies the other daemons that are alive, whose `version` changes with them. For the other arguments see
  /// UsageCapExchange. Call at least every 100 ms.
  void SetPeers(const std::vector<proto::GatewayMember>& peers, std::uint64_t version, bool ready,
                std::size_t counted, TimePoint heard_at);
  void Receive(const proto::GatewayUsage& message);

  /// Decides on a request of `customer`, which may wait for a small part of `objective`. `done` is called once,
  /// before Admit() returns or later.
  void Admit(const CustomerSpec& customer, Duration objective, Done done);

  /// Writes the customers over their cap as members of a JSON object: their names, and the requests refused so far.
  void RenderOverCap(std::ostream& out) const;

 private:
  struct Waiting {
    Done done;
    TimePoint since;
  };
  /// A customer that has been refused requests lately.
  struct OverCap {
    std::string name;
    TimePoint since;
    TimePoint last_refused_at;
    std::uint64_t refused = 0;
  };

  void ScheduleFlush();
  void Flush();
  void CountDecision(std::uint64_t customer, const UsageDecision& decision);
  void EndOverCaps();
  void CountTotals();

  EventLoop& loop_;
  Metrics& metrics_;
  Send send_;
  UsageCapExchange exchange_;
  UsageCapExchange::Totals counted_totals_;                // already in metrics_
  std::unordered_map<std::uint64_t, std::string> labels_;  // metric labels of the customers that have their own
  std::set<std::string> used_labels_;                      // all values that labels_ ever had, at most kMaxLabels
  std::unordered_map<std::uint64_t, std::string> names_;   // of the customers with a cap
  std::uint64_t members_version_ = 0;
  bool members_set_ = false;
  bool ready_ = false;
  std::unordered_map<std::uint64_t, Waiting> waiting_;  // by ticket
  std::uint64_t next_ticket_ = 1;
  std::map<std::uint64_t, OverCap> over_caps_;  // by customer, at most kMaxOverCaps
  bool flush_posted_ = false;
  TimerId timer_ = 0;
  TimePoint timer_due_at_{};
  std::shared_ptr<int> alive_ = std::make_shared<int>();  // expires with this object, for posted callbacks
};

}  // namespace pimentomoor
