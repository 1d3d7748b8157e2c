// State machine of one daemon in its cell: view, lease, ownership of upstreams and distribution of platform objects.
// It has neither an event loop nor sockets.
//
// The embedding code calls Tick() periodically and HandleMessage() for each received message; both read the clock.
// FleetTask does this on an EventLoop. Safety (an upstream has at most one sender) doesn't depend on when Tick() is
// called, only liveness does.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "peer.pb.h"
#include "pimentomoor/clock.h"
#include "pimentomoor/lease.h"
#include "pimentomoor/log.h"
#include "pimentomoor/object_store.h"
#include "pimentomoor/ownership_table.h"
#include "pimentomoor/platform_client.h"
#include "pimentomoor/takeover.h"

namespace pimentomoor {

/// Settings of FleetCore.
struct FleetOptions {
  proto::Daemon self;                    // description of this daemon; FleetCore changes its incarnation
  std::string deployment;                // prefix of all platform keys
  std::vector<std::string> seed_peers;   // peer addresses that are asked for objects when the platform is down
  std::vector<std::string> object_keys;  // platform objects to keep at first, without prefix, such as "config/plans"
  Duration heartbeat_period = std::chrono::milliseconds(500);
  Duration lease_duration = std::chrono::milliseconds(2'500);
  Duration suspect_after = std::chrono::milliseconds(1'500);  // silence after which a member is not live
  Duration remove_after = std::chrono::seconds(5);            // silence after which a member is removed from the view
  Duration leave_timeout = std::chrono::seconds(3);  // limit for leaving the view, and again for releasing upstreams
  std::uint64_t random_seed = 0;                     // seed of ids and jitter; 0 takes the system's random source
};

/// Receivers of counters and log lines. An empty function drops them.
struct FleetHooks {
  std::function<void(const std::string& name)> count;
  std::function<void(std::string_view event, std::initializer_list<LogField> fields)> log;
};

/// Keeps this daemon a member of its cell and decides which upstreams it may send to.
class FleetCore {
 public:
  /// Sends one message to a peer. Returns false when nothing was sent; a sent message may still be lost.
  using Send = std::function<bool(const std::string& peer_address, const proto::Envelope&)>;

  /// `clock` and `platform` must outlive this object.
  FleetCore(const Clock& clock, FleetOptions options, Send send, PlatformClient& platform, FleetHooks hooks);
  virtual ~FleetCore();
  FleetCore(const FleetCore&) = delete;
  FleetCore& operator=(const FleetCore&) = delete;

  /// Starts to join the view. After Leave() has finished, it joins again as a new incarnation.
  void Start();

  /// Sends the heartbeats and does the platform calls that are due, and finishes takeovers. Call it at least every
  /// 100 ms.
  void Tick();

  /// Handles heartbeat, heartbeat_reply, fetch_objects, objects, acquire and released. Ignores other messages, and
  /// messages that are for another incarnation or from another cell.
  void HandleMessage(const proto::Envelope& message);

  /// This daemon. Its incarnation changes when it is removed from the view while alive, and when it starts again
  /// after Leave().
  [[nodiscard]] const proto::Daemon& self() const { return options_.self; }
  /// Whether this daemon holds a valid lease now. Reads the clock.
  [[nodiscard]] bool HoldsLease() const;
  /// Whether this incarnation is in the current view.
  [[nodiscard]] bool Joined() const { return joined_; }
  [[nodiscard]] const proto::View& view() const { return view_; }
  /// Whether `host` is a member that sent a heartbeat or a reply within `suspect_after`. This daemon counts as live
  /// while it is a member.
  [[nodiscard]] bool IsLive(const std::string& host) const;
  /// Whether `host` reported that it is leaving.
  [[nodiscard]] bool IsLeaving(const std::string& host) const;
  /// Members that are live and not leaving, this daemon included.
  [[nodiscard]] std::vector<proto::Daemon> LiveMembers() const;

  /// Owner of `upstream` by the current view and placements; null when the upstream is unknown.
  [[nodiscard]] const proto::Daemon* OwnerOf(const std::string& upstream) const;
  /// Whether this daemon owns the upstream, has finished its takeover and holds the lease. Reads the clock.
  [[nodiscard]] bool MaySendTo(const std::string& upstream) const;

  /// Sets the upstreams of the catalog. Call it in the object callback of a catalog object, before the callback
  /// returns: peers conclude from the catalog versions that this daemon reports which placements it uses.
  void SetPlacements(std::vector<UpstreamPlacement> placements);
  /// Like SetPlacements(), but calls `source` later and once for several changes: in FlushPlacements(), and before
  /// this daemon reports versions, renews its lease, adopts a view or finishes a takeover. Until then the old
  /// placements stay in use, as if the catalog objects had not arrived.
  void DeferPlacements(std::function<std::vector<UpstreamPlacement>()> source);
  /// Applies deferred placements. Call it in the turn of the event loop after DeferPlacements(), so that the delay
  /// stays short.
  void FlushPlacements();
  /// Sets the check whether requests of this daemon still run at an upstream. The upstream is not released to its
  /// next owner before they have ended.
  void SetOutstandingCheck(std::function<bool(const std::string& upstream)> outstanding);
  /// Sets the source of what the next owner of an upstream is told about it. It is called when the upstream is
  /// released, so no request runs there any more.
  void SetHandoverSource(std::function<proto::UpstreamHandover(const std::string& upstream)> handover);
  /// `gained` is called when the takeover of an upstream by this daemon has finished. Without an allowance in the
  /// handover, for example after a failure of the previous owner, the upstream counts as cold.
  void SetOwnershipGainedCallback(std::function<void(const proto::UpstreamHandover&)> gained);
  /// Sets the check whether the host list shows a host as gone.
  void SetHostGoneCheck(std::function<bool(const std::string& host)> gone);
  /// `changed` is called when this daemon has got a new incarnation (see self()). Messages and operation tokens of
  /// the old incarnation are void.
  void SetIncarnationChangedCallback(std::function<void(const proto::Daemon& self)> changed);

  /// Object held here; null when there is none. `key` has no deployment prefix.
  [[nodiscard]] const PlatformObject* FindObject(const std::string& key) const { return store_.Find(key); }
  /// `callback` is called once for each newer version that this daemon adopts. The object's key has no deployment
  /// prefix.
  void SetObjectCallback(std::function<void(const PlatformObject&)> callback);
  /// Adds an object to keep. The two members with the highest rendezvous weight for its key watch it at the platform;
  /// the others learn of new versions from heartbeats.
  void WatchObject(const std::string& key);

  /// Reads an object that is already kept from the platform, at most once a second for each key. Call it when other
  /// evidence shows that a newer version exists.
  void RefreshObject(const std::string& key);
  /// Adopts an object from the platform, a peer or an operator command. Returns false when the version is not newer,
  /// the key is not that of a configuration object, a catalog or the view of another cell, or too many keys are kept.
  bool AdoptObject(const PlatformObject& object);
  /// Newest version of an object that a member is known to hold; 0 when unknown.
  [[nodiscard]] std::uint64_t ReportedVersion(const std::string& host, const std::string& key) const;

  /// Planned stop: reports this daemon as leaving at once, removes it from the view, then releases its upstreams to
  /// their next owners. Each of the last two steps has `leave_timeout`; `done` is called when all upstreams are
  /// released or a step has timed out.
  void Leave(std::function<void()> done);

 private:
  // State of another daemon, one incarnation of it, as far as this daemon knows.
  struct Peer {
    TimePoint first_seen_at{};          // when a view first named this incarnation
    std::optional<TimePoint> heard_at;  // when its last heartbeat or reply arrived
    std::uint64_t epoch = 0;            // largest epoch that it reported
    bool leaving = false;               // it reported that it is leaving
    VersionsWithDigest versions;        // object versions that it is known to hold
    std::uint64_t known_digest = 0;     // digest of this daemon's versions that it last reported to know
  };

  // Progress of new placements among the members. Until it is settled, a daemon with older placements may regard
  // itself as the owner of an upstream that the new placements give to another one.
  struct PlacementRollout {
    bool settled = true;
    VersionMap required_versions;          // catalog versions from which this daemon's placements were built
    std::optional<TimePoint> majority_at;  // when a majority of the members was known to hold required_versions
    std::optional<TimePoint> all_at;       // when all members and previous members were known to hold them
  };

  // Inputs to the choice of the keys that this daemon watches. The number of keys stands for object_keys_, which only
  // grows.
  struct WatchInputs {
    bool joined = false;
    std::uint64_t epoch = 0;
    std::size_t key_count = 0;
    friend bool operator==(const WatchInputs&, const WatchInputs&) = default;
  };

  using ReplyCallback = std::function<void(const PlatformReply&)>;
  using ReadCallback = std::function<void(bool ok)>;

  // Messages and objects, in fleet_core.cpp.
  [[nodiscard]] TimePoint Now() const { return clock_.Now(); }
  [[nodiscard]] proto::Envelope NewMessage(std::uint64_t to_incarnation) const;
  void SendHeartbeats();
  void FillHeld(proto::HeldVersions& held, std::uint64_t receiver_digest,
                std::uint64_t digest_known_to_receiver) const;
  template <typename Report>
  LeaseReply RecordReport(const proto::Daemon& from, const Report& report);
  LeaseReply RecordVersions(const proto::Daemon& from, std::uint64_t epoch, const proto::HeldVersions& held,
                            VersionsWithDigest& theirs);
  void HandleHeartbeat(const proto::Envelope& message);
  void HandleHeartbeatReply(const proto::Envelope& message);
  void HandleFetchObjects(const proto::Envelope& message);
  void HandleObjects(const proto::Envelope& message);
  void HandleAcquire(const proto::Envelope& message);
  void HandleReleased(const proto::Envelope& message);
  void FetchNewerObjects(const proto::Daemon& from, std::uint64_t epoch, const VersionsWithDigest& theirs);
  void FetchFrom(const std::string& address, const std::vector<std::string>& keys);
  void SendObjects(const std::string& address, std::uint64_t incarnation, const std::vector<std::string>& keys);
  void SendAcquires();
  void Count(const std::string& name) const;
  void Log(std::string_view event, std::initializer_list<LogField> fields) const;

  // View, liveness and placements, in fleet_view.cpp.
  bool AdoptView(const PlatformObject& object);
  void OnViewChanged(bool was_member);
  void StartNewIncarnation();
  void ForwardAcknowledgement();
  void UpdateRollout();
  void FinishTakeovers();
  [[nodiscard]] const proto::Daemon* FindMember(const std::string& host) const;
  [[nodiscard]] const proto::Daemon* FindMemberByIncarnation(std::uint64_t incarnation) const;
  [[nodiscard]] const Peer* FindPeer(const proto::Daemon& daemon) const;
  [[nodiscard]] bool KnowsNewerPlacements() const;
  [[nodiscard]] bool HasRequiredPlacements(const proto::Daemon& daemon) const;
  [[nodiscard]] bool IsSilent(const proto::Daemon& member, Duration limit) const;
  [[nodiscard]] bool HearsMajority() const;
  [[nodiscard]] bool ShouldRemove(const proto::Daemon& member, bool hears_majority) const;

  // Reads and writes of the platform, in fleet_platform.cpp.
  [[nodiscard]] std::string PlatformKey(const std::string& key) const { return options_.deployment + "/" + key; }
  [[nodiscard]] ReplyCallback ForCurrentIncarnation(ReplyCallback reply) const;
  void ReadKey(const std::string& key, ReplyCallback done);
  void ReadView(ReadCallback done);
  void ReadAllObjects(ReadCallback done);
  void ReadNewKey(const std::string& key, const std::string& peer_address);
  void WriteView(proto::View next);
  void PushView(const PlatformObject& object);
  void ReadBackView(const std::string& writer_id);
  void StepJoin();
  void TryJoin();
  void RetryJoin(bool outage);
  void FetchFromSeeds();
  void StepRemove();
  void StepLeave();
  void StepLease();
  void StepWatches();
  void FinishLeave();
  [[nodiscard]] bool Drained() const;
  [[nodiscard]] bool EarlierOwnersEnded() const;
  [[nodiscard]] Duration Jitter(Duration base);
  [[nodiscard]] std::uint64_t RandomId();

  const Clock& clock_;
  FleetOptions options_;
  Send send_;
  PlatformClient& platform_;
  FleetHooks hooks_;
  std::mt19937_64 random_;
  // Current incarnation. Callbacks of platform calls hold a weak pointer to it, so that they do nothing after this
  // object is destroyed; those of reads and writes compare the value too and drop answers for an earlier incarnation.
  std::shared_ptr<std::uint64_t> callback_incarnation_;

  proto::View view_;
  PlatformObject view_object_;  // view_ as serialised on the platform, with its platform version
  LeaseState lease_;
  EpochAcks epoch_acks_;      // for the epoch of view_
  OwnershipTable ownership_;  // computed from view_ and the placements
  PlacementRollout rollout_;
  ObjectStore store_;                    // objects of object_keys_, without the view of this cell
  std::map<std::uint64_t, Peer> peers_;  // by incarnation; members and previous members of view_ only

  const std::string view_key_;                     // key of this cell's view; never in object_keys_
  std::set<std::string> object_keys_;              // keys of the objects that this daemon keeps; only grows
  std::set<std::string> reading_keys_;             // keys with a running ReadNewKey()
  std::set<std::string> failed_keys_;              // keys whose last ReadNewKey() found the platform unavailable
  std::set<std::string> watched_keys_;             // keys that this daemon watches at the platform
  WatchInputs watch_inputs_;                       // inputs from which watched_keys_ was chosen
  std::map<std::string, TimePoint> last_fetch_;    // by key: time of the last fetch from a peer
  std::map<std::string, TimePoint> last_refresh_;  // by key: time of the last read for RefreshObject()

  bool started_ = false;
  bool joined_ = false;           // this incarnation is in view_
  bool leaving_ = false;          // Leave() was called; reported in heartbeats and replies
  bool left_view_ = false;        // this incarnation was leaving and is out of the view
  bool sending_stopped_ = false;  // no lease counts: this daemon left, or will write an empty view as its last member
  bool writing_view_ = false;     // a view update, or the read that looks for its outcome, is running
  bool joining_ = false;          // a join attempt is running
  bool renewing_lease_ = false;   // a platform read that may renew the lease is running
  std::uint64_t heartbeat_sequence_ = 0;
  std::size_t join_failures_ = 0;  // consecutive join attempts that failed because of the platform
  TimePoint last_tick_{};
  TimePoint awake_since_{};  // Start(), or the end of the last pause; earlier silence of peers doesn't count
  TimePoint next_heartbeat_{};
  TimePoint next_acquire_{};
  TimePoint next_join_{};
  TimePoint next_view_write_{};
  TimePoint next_renewal_{};
  TimePoint next_failed_read_{};  // next attempt to read failed_keys_
  TimePoint leave_deadline_{};
  std::set<std::string> released_upstreams_;  // upstreams released to a next owner; cleared by Leave()
  std::function<void()> leave_done_;

  // Source set by DeferPlacements(); empty when ownership_ has the newest placements.
  std::function<std::vector<UpstreamPlacement>()> placement_source_;
  std::function<bool(const std::string&)> has_outstanding_;
  std::function<proto::UpstreamHandover(const std::string&)> handover_source_;
  std::function<void(const proto::UpstreamHandover&)> ownership_gained_;
  std::function<bool(const std::string&)> is_host_gone_;
  std::function<void(const proto::Daemon&)> incarnation_changed_;
  std::function<void(const PlatformObject&)> object_callback_;
};

}  // namespace pimentomoor
