// One gateway daemon: creates the listeners, the store feeds and the exchange with peer daemons, connects them to the
// request path, and stops them in order.
#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentomoor/caller_server.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/gateway_peers.h"
#include "pimentomoor/gateway_settings.h"
#include "pimentomoor/gateway_usage.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/platform_codec.h"
#include "pimentomoor/record_feed.h"
#include "pimentomoor/request_run.h"
#include "pimentomoor/routing_table.h"

namespace pimentomoor {

class GatewayRegistry;
class GatewayRollouts;
struct RolloutFleet;

class Gateway {
 public:
  /// Binds all listeners. Throws when an address can't be used. `codec` must outlive the gateway.
  Gateway(EventLoop& loop, GatewaySettings settings, const PlatformCodec& codec);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();

  /// Starts a planned stop. The directory stops naming this daemon at once, but the daemon serves on while callers
  /// may still hold its address. It then waits for running requests and calls `stopped`. A second call is ignored.
  void Stop(std::function<void()> stopped);

  /// Applies the settings that can change while the daemon runs. A change of any other setting is only logged,
  /// because it needs a restart.
  void ApplySettings(const GatewaySettings& settings);

  [[nodiscard]] bool ready() const;
  [[nodiscard]] const Metrics& metrics() const { return metrics_; }

 private:
  void BuildFeeds();
  /// Whether all upstreams are known, and the orders that restrict which of them are used.
  [[nodiscard]] bool AreUpstreamsKnown() const {
    return std::all_of(feeds_.begin() + static_cast<std::ptrdiff_t>(RecordKind::kUpstreams), feeds_.end(),
                       [](const auto& feed) { return feed->kind() == RecordKind::kOutages || feed->loaded(); });
  }
  /// Limits the connections of each listener to a share of the setting.
  void ApplyConnectionLimits();
  void HandleCaller(const std::shared_ptr<CallerExchange>& exchange);
  void HandleReady(const std::shared_ptr<CallerExchange>& exchange);
  void HandleDirectory(const std::shared_ptr<CallerExchange>& exchange);
  void HandlePeer(const std::shared_ptr<CallerExchange>& exchange);
  /// Answers /status and /traces. Returns false for other targets.
  [[nodiscard]] bool HandleInspection(CallerExchange& exchange) const;
  [[nodiscard]] std::string RenderStatus() const;

  /// Answers 401 to a request without the key of a customer.
  void RefuseAccess(CallerExchange& exchange, const RouteSpec& route, const char* reason);

  /// Runs a request, if its customer has a cap within that.
  void AdmitRequest(const std::shared_ptr<CallerExchange>& exchange, const RouteSpec& route,
                    const RequestOwner& owner);
  /// Answers 429 to a request beyond the cap of its customer.
  void RefuseOverCap(CallerExchange& exchange, const RouteSpec& route, Duration retry_after);

  void OnRoutingRecord(const StoredRecord& record);
  void LogRoutingTable() const;
  void OnUpstreamRecord(const StoredRecord& record);
  void OnUpstreamDeleted(const std::string& name);
  /// Removes an upstream whose entry is gone or unusable, unless a usable one comes back soon.
  void RemoveUpstreamLater(const std::string& name);
  void OnOutagesChanged();
  /// Sends a heartbeat to peers after kAnnounceDelay unless one is scheduled already.
  void ScheduleAnnouncement();
  void OnCrashReportsChanged();
  /// Logs the number of requests that are refused because they crash upstreams, when it has changed.
  void LogRefusedRequests();
  void MeasureLoad();
  /// Caller addresses of the daemons that the directory names.
  [[nodiscard]] const std::vector<std::string>& DirectoryAddresses();

  // Leaving upstreams, in gateway_leaving.cpp.
  using LeavingMessages = google::protobuf::RepeatedPtrField<proto::LeavingUpstream>;
  void ListLeaving(LeavingMessages& messages) const;
  void MergeLeaving(const LeavingMessages& messages);

  void FillHeartbeat(proto::GatewayHeartbeat& heartbeat) const;
  /// Answers the requests of other daemons for records. Returns false for other targets.
  [[nodiscard]] bool HandleRecords(CallerExchange& exchange);
  void FillRecordPositions(proto::GatewayHeartbeat& heartbeat) const;
  /// Remembers which records the sender knows and this daemon lacks.
  void NoteRecordPositions(const proto::GatewayHeartbeat& heartbeat);
  void OnHeartbeat(const proto::GatewayHeartbeat& heartbeat);
  /// Fetches records that peers have and this daemon lacks, or asks the store for them again.
  void CatchUpWithPeers();
  void CatchUpWithPeer(RecordFeed& feed);
  /// Reports a new era of the store, and makes the feeds that have not seen it call the store.
  void FollowStoreEra();
  void FetchCarriedRecords(RecordFeed& feed);
  /// Decides for each feed whether this daemon reads changes from the store or from peers.
  void ChooseFeedSource();
  [[nodiscard]] bool IsStoreAvailable() const;
  void BuildRollouts();
  /// Whether the settings name other daemons.
  [[nodiscard]] bool HasSeeds() const;
  /// Whether this daemon and those that it counts are the whole fleet.
  [[nodiscard]] bool IsFleetKnown() const;
  /// Number of daemons that share budgets; 0 while it is unknown.
  [[nodiscard]] std::size_t CountSharingDaemons();
  void FillSelf(proto::GatewayMember& self) const;
  [[nodiscard]] RolloutFleet DescribeRolloutFleet();
  void FetchFromPeer(const std::string& address, RecordFeed& feed);
  void Tick();
  /// Updates shared budgets, connection limits and feed sources from the list of live daemons.
  void ApplyLivePeers();
  void WaitForRequests(TimePoint stop_at);

  RecordFeed& feed(RecordKind kind) { return *feeds_[static_cast<std::size_t>(kind)]; }
  [[nodiscard]] const RecordFeed& feed(RecordKind kind) const { return *feeds_[static_cast<std::size_t>(kind)]; }

  EventLoop& loop_;
  GatewaySettings settings_;
  const PlatformCodec& codec_;
  const std::uint64_t incarnation_;
  Metrics metrics_;
  BufferBudget buffer_budget_;  // unfinished answers of upstreams, other daemons and the store
  BufferBudget caller_budget_;  // what callers make this daemon hold
  UpstreamSet upstreams_;
  CrashReports crashes_;
  std::size_t logged_refused_requests_ = 0;
  RequestTracer tracer_;
  SharedRequestContext request_context_;
  GatewayUsage usage_;
  std::shared_ptr<const RoutingTable> routing_table_;  // null until a routing table has been read
  TimePoint routing_table_since_{};                    // time at which routing_table_ was adopted
  std::vector<std::unique_ptr<RecordFeed>> feeds_;     // by RecordKind; without kRollouts when it isn't followed
  std::unique_ptr<GatewayRollouts> rollouts_;          // null without settings for roll-outs
  /// Newest change of one record kind that a peer has announced and this daemon lacks.
  struct PeerRevision {
    StorePosition position;
    std::string peer_address;
    bool same_domain = false;  // the peer is in this daemon's failure domain
    TimePoint known_since{};
  };
  std::array<PeerRevision, kRecordKindCount> peer_revisions_;  // position.revision 0: no such peer
  /// A peer that carries other records over from the previous era of the store than this daemon.
  struct CarryingPeer {
    std::string address;               // empty: none
    std::uint64_t digest = 0;          // of what the peer carries
    std::uint64_t fetched_digest = 0;  // the last one that was fetched, and this daemon's digest after it
    std::uint64_t digest_after_fetch = 0;
    TimePoint fetched_at{};
  };
  std::array<CarryingPeer, kRecordKindCount> carrying_peers_;
  std::optional<std::uint64_t> store_era_;  // newest known era; nothing before the first records
  TimePoint store_era_since_{};             // time at which store_era_ became known
  std::uint64_t routing_table_era_ = 0;     // era of the record of routing_table_
  TimePoint started_at_{};
  TimePoint live_peers_applied_at_{};
  TimePoint load_measured_at_{};
  std::uint64_t parts_sent_at_measurement_ = 0;
  double load_parts_per_s_ = 0;                    // smoothed rate of parts sent to upstreams
  std::uint32_t reported_load_parts_per_s_ = 0;    // load_parts_per_s_ quantized for heartbeats
  TimerId announce_timer_ = 0;                     // 0 while no announcement is scheduled
  std::map<std::string, TimerId> removal_timers_;  // by id, of upstreams whose entry was deleted or is unusable
  std::set<std::string> unusable_entries_;         // names of entries that name no upstream
  std::unique_ptr<CallerServer> caller_server_;
  std::unique_ptr<CallerServer> ready_server_;
  std::unique_ptr<CallerServer> directory_server_;
  std::unique_ptr<CallerServer> peer_server_;
  std::unique_ptr<GatewayPeers> peers_;
  std::unique_ptr<GatewayRegistry> registry_;
  struct DirectoryCacheKey {
    std::uint64_t live_peers_version = 0;
    std::uint32_t load_parts_per_s = 0;
    bool ready = false;

    friend bool operator==(const DirectoryCacheKey&, const DirectoryCacheKey&) = default;
  };
  DirectoryCacheKey directory_cache_key_;              // inputs that directory_addresses_ was computed from
  std::vector<std::string> directory_addresses_;       // cached result of DirectoryAddresses()
  std::unique_ptr<PersistentHttpClient> peer_client_;  // to the peer last fetched from; null before that
  bool fetch_running_ = false;                         // a fetch from a peer is in progress
  TimerId tick_timer_ = 0;
  TimerId stop_timer_ = 0;
  std::function<void()> on_stopped_;  // set exactly while the daemon is stopping
};

}  // namespace pimentomoor
