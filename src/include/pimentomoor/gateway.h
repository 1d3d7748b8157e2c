// One gateway daemon: builds the tasks that serve callers on the users' platform, connects them, and stops them in
// order.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pimentomoor/caller_server.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/gateway_peers.h"
#include "pimentomoor/gateway_settings.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/platform_codec.h"
#include "pimentomoor/record_feed.h"
#include "pimentomoor/request_run.h"
#include "pimentomoor/routing_table.h"

namespace pimentomoor {

class Gateway {
 public:
  /// Binds all listeners. Throws when an address can't be used. `codec` must outlive the gateway.
  Gateway(EventLoop& loop, GatewaySettings settings, const PlatformCodec& codec);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();

  /// Planned stop: the directory stops naming this daemon at once; it serves on while callers still hold its address,
  /// waits for running requests, then calls `stopped`. A second call is ignored.
  void Stop(std::function<void()> stopped);

  /// Takes over settings that can change while the daemon runs; the others need a restart, which is logged.
  void ApplySettings(const GatewaySettings& settings);

  [[nodiscard]] bool ready() const;
  [[nodiscard]] const Metrics& metrics() const { return metrics_; }

 private:
  void BuildFeeds();
  void HandleCaller(const std::shared_ptr<CallerExchange>& exchange);
  void HandleReady(const std::shared_ptr<CallerExchange>& exchange);
  void HandleDirectory(const std::shared_ptr<CallerExchange>& exchange);
  void HandlePeer(const std::shared_ptr<CallerExchange>& exchange);
  /// Answers /status and /traces; false for other targets.
  [[nodiscard]] bool HandleInspection(CallerExchange& exchange) const;
  [[nodiscard]] std::string RenderStatus() const;

  void OnRoutingRecord(const StoredRecord& record);
  void OnUpstreamRecord(const StoredRecord& record);
  void OnUpstreamDeleted(const std::string& name);
  void OnOutagesChanged();
  void AnnounceSoon();
  void MeasureLoad();
  /// Addresses that the directory names.
  [[nodiscard]] const std::vector<std::string>& Entries();

  void Describe(proto::GatewayHeartbeat& heartbeat) const;
  void RespondRecords(CallerExchange& exchange, const RecordFeed& feed, std::uint64_t after);
  void OnHeartbeat(const proto::GatewayHeartbeat& heartbeat);
  /// Follows up what peers know and this daemon does not.
  void CatchUp();
  /// Decides whether this daemon follows the store or its peers.
  void ChooseSource();
  [[nodiscard]] bool StoreAnswers() const;
  void FetchFromPeer(const std::string& address, RecordFeed& feed);
  void Tick();
  /// Applies the list of live daemons to budgets, connections and the source of changes.
  void ApplyMembers();
  void WaitForRequests(TimePoint stop_at);

  RecordFeed& feed(RecordKind kind) { return *feeds_[static_cast<std::size_t>(kind)]; }
  [[nodiscard]] const RecordFeed& feed(RecordKind kind) const { return *feeds_[static_cast<std::size_t>(kind)]; }

  EventLoop& loop_;
  GatewaySettings settings_;
  const PlatformCodec& codec_;
  const std::uint64_t incarnation_;
  Metrics metrics_;
  UpstreamSet upstreams_;
  CrashReports crashes_;
  RequestTracer tracer_;
  SharedRequestContext runs_;
  std::shared_ptr<const RoutingTable> table_;  // in force; null before the first one is known
  TimePoint table_since_{};                    // when it came into force here
  std::array<std::unique_ptr<RecordFeed>, kRecordKindCount> feeds_;
  /// The newest change of a kind that a peer has named, while this daemon does not know it.
  struct PeerNews {
    std::uint64_t content_revision = 0;
    std::string peer_address;
    bool same_domain = false;  // of the peer
    TimePoint since{};
  };
  std::array<PeerNews, kRecordKindCount> news_;
  TimePoint started_{};
  TimePoint members_applied_{};
  TimePoint load_measured_{};
  std::uint64_t parts_at_measure_ = 0;
  double parts_per_s_ = 0;                   // smoothed
  std::uint32_t reported_load_ = 0;          // parts_per_s_ in steps, as heartbeats tell it
  TimerId announce_timer_ = 0;               // 0 while no announcement is due
  std::map<std::string, TimerId> removals_;  // of searchers whose entry is gone, by id
  std::unique_ptr<CallerServer> caller_server_;
  std::unique_ptr<CallerServer> ready_server_;
  std::unique_ptr<CallerServer> directory_server_;
  std::unique_ptr<CallerServer> peer_server_;
  std::unique_ptr<GatewayPeers> peers_;
  struct EntriesKey {
    std::uint64_t alive_version = 0;
    std::uint32_t load_parts_per_s = 0;
    bool ready = false;

    friend bool operator==(const EntriesKey&, const EntriesKey&) = default;
  };
  EntriesKey entries_key_;                       // what entries_ was selected from
  std::vector<std::string> entries_;             // callers' addresses that the directory names
  std::unique_ptr<KeptHttpClient> peer_client_;  // to the peer of the last fetch; null before the first one
  bool fetching_ = false;                        // from a peer
  TimerId tick_timer_ = 0;
  TimerId stop_timer_ = 0;
  std::function<void()> stopped_;  // set exactly while stopping
};

}  // namespace pimentomoor
