// One daemon's part in the fleet: view, lease, ownership and distribution of objects, without event loop and sockets.
//
// The owner calls Tick() often and HandleMessage() for each received message; both read the clock. FleetTask does
// this on an EventLoop. Safety doesn't depend on when Tick() is called, only liveness does.
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

struct FleetOptions {
  proto::Daemon self;
  std::string deployment;
  std::vector<std::string> seed_peers;   // peer addresses from the settings
  std::vector<std::string> object_keys;  // watched keys, for example "config/plans"
  Duration heartbeat_period = std::chrono::milliseconds(500);
  Duration lease_duration = std::chrono::milliseconds(2'500);
  Duration suspect_after = std::chrono::milliseconds(1'500);
  Duration remove_after = std::chrono::seconds(5);
  Duration leave_timeout = std::chrono::seconds(3);  // for each of: leaving the view, releasing upstreams
  std::uint64_t random_seed = 0;                     // for ids and jitter; 0 takes the system's random source
};

/// Where counters and log lines go. Empty functions drop them.
struct FleetHooks {
  std::function<void(const std::string& name)> count;
  std::function<void(std::string_view event, std::initializer_list<LogField> fields)> log;
};

class FleetCore {
 public:
  /// Sends one message; false when it was not sent. A sent message may be lost.
  using Send = std::function<bool(const std::string& peer_address, const proto::Envelope&)>;

  FleetCore(const Clock& clock, FleetOptions options, Send send, PlatformClient& platform, FleetHooks hooks);
  virtual ~FleetCore();
  FleetCore(const FleetCore&) = delete;
  FleetCore& operator=(const FleetCore&) = delete;

  /// Starts joining. After Leave() has finished, joins again as a new incarnation.
  void Start();

  /// Does what is due. Call at least every 100 ms.
  void Tick();

  /// Handles heartbeat, heartbeat_reply, fetch_objects, objects, acquire and released; ignores other messages, those
  /// for another incarnation and those from another cell.
  void HandleMessage(const proto::Envelope& message);

  /// This process; the incarnation changes when the daemon was removed from the view while alive.
  [[nodiscard]] const proto::Daemon& self() const { return options_.self; }
  [[nodiscard]] bool HoldsLease() const;  // reads the clock
  [[nodiscard]] bool Joined() const { return joined_; }
  [[nodiscard]] const proto::View& view() const { return view_; }
  [[nodiscard]] bool IsLive(const std::string& host) const;  // a member heard within suspect_after
  [[nodiscard]] bool IsLeaving(const std::string& host) const;
  [[nodiscard]] std::vector<proto::Daemon> LiveMembers() const;  // self included, leaving ones excluded

  /// Owner by the current view; null when unknown.
  [[nodiscard]] const proto::Daemon* OwnerOf(const std::string& upstream) const;
  /// Whether this daemon owns the upstream, holds the lease and the takeover is over. Reads the clock.
  [[nodiscard]] bool MaySendTo(const std::string& upstream) const;

  /// Sets what the catalog says. Call it from the OnObject callback of a catalog object, before that returns: the
  /// versions reported to other daemons stand for the placements in use.
  void SetPlacements(std::vector<UpstreamPlacement> placements);
  /// As SetPlacements(), but `source` is called later, once for several changes: by FlushPlacements(), and before
  /// this daemon reports versions, renews its lease, takes a view or advances a takeover. Until then it acts as if
  /// the objects had not arrived yet.
  void DeferPlacements(std::function<std::vector<UpstreamPlacement>()> source);
  /// Call it in the turn of the event loop after DeferPlacements(), so that the delay stays short.
  void FlushPlacements();
  /// `outstanding` tells whether requests still run at an upstream; it is not released before.
  void SetOutstandingCheck(std::function<bool(const std::string& upstream)> outstanding);
  /// `handover` tells the next owner of an upstream what this daemon knows of it; called once it is not outstanding.
  void SetHandoverSource(std::function<proto::UpstreamHandover(const std::string& upstream)> handover);
  /// `gained` is called when this daemon may send to an upstream that it did not own before. Without an allowance in
  /// the handover, for example after the previous owner failed, the upstream counts as cold.
  void SetOwnershipGainedCallback(std::function<void(const proto::UpstreamHandover&)> gained);
  /// `gone` tells whether the host list shows a host as gone.
  void SetHostGoneCheck(std::function<bool(const std::string& host)> gone);
  /// `changed` is called after this daemon was removed from the view while alive and has a new incarnation. Messages
  /// and tokens of the old one are void.
  void SetIncarnationChangedCallback(std::function<void(const proto::Daemon& self)> changed);

  [[nodiscard]] const PlatformObject* FindObject(const std::string& key) const { return store_.Find(key); }
  /// `callback` is called once for each newer version put in force, with the key as in `object_keys`.
  void SetObjectCallback(std::function<void(const PlatformObject&)> callback);
  /// Adds a key. The first two members by rendezvous weight watch it; the others learn from heartbeats.
  void WatchObject(const std::string& key);

  /// Reads a known key from the platform, at most once a second: something shows that a newer version exists.
  void RefreshObject(const std::string& key);
  /// Takes an object pushed by an operator command; false when it is not newer.
  bool AdoptObject(const PlatformObject& object);
  /// Last version that a member reported, 0 when unknown.
  [[nodiscard]] std::uint64_t ReportedVersion(const std::string& host, const std::string& key) const;

  /// Planned stop: marks this daemon as leaving at once, removes it from the view and releases its upstreams. Calls
  /// `done` then, or after leave_timeout when the view could not be left, or that long after leaving it.
  void Leave(std::function<void()> done);

 private:
  // What this daemon knows of another incarnation.
  struct Peer {
    TimePoint first_seen_at{};  // in a view or in a message
    std::optional<TimePoint> heard_at;
    std::uint64_t epoch = 0;
    bool leaving = false;
    VersionsWithDigest versions;     // that it is known to hold
    std::uint64_t known_digest = 0;  // digest of this daemon's versions that it last reported to know
  };

  // Until the gate is settled, a daemon that holds older placements may regard itself as an upstream's owner.
  struct PlacementRollout {
    bool settled = true;
    VersionMap required_versions;          // catalog versions that this daemon's placements come from
    std::optional<TimePoint> majority_at;  // when a majority of the view was seen to have them
    std::optional<TimePoint> all_at;       // when all members, previous ones included, were seen to have them
  };

  // What the choice of watched keys depends on; object_keys_ only grows.
  struct WatchInputs {
    bool joined = false;
    std::uint64_t epoch = 0;
    std::size_t key_count = 0;
    friend bool operator==(const WatchInputs&, const WatchInputs&) = default;
  };

  using ReplyCallback = std::function<void(const PlatformReply&)>;
  using ReadCallback = std::function<void(bool ok)>;

  // fleet_core.cpp: messages and objects
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

  // fleet_view.cpp: view, liveness, placements
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

  // fleet_platform.cpp: reads and writes of the platform
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
  std::shared_ptr<std::uint64_t>
      callback_incarnation_;  // incarnation that platform callbacks belong to; expires with this object

  proto::View view_;
  PlatformObject view_object_;  // serialised view_ and its platform version
  LeaseState lease_;
  EpochAcks epoch_acks_;
  OwnershipTable ownership_;
  PlacementRollout rollout_;
  ObjectStore store_;
  std::map<std::uint64_t, Peer> peers_;  // by incarnation; only members of the view and of the view before it

  const std::string view_key_;                     // of this cell's view, never in object_keys_
  std::set<std::string> object_keys_;              // to read and to watch
  std::set<std::string> reading_keys_;             // platform reads of new keys that are running
  std::set<std::string> failed_keys_;              // keys whose last platform read failed
  std::set<std::string> watched_keys_;             // platform watches that this daemon keeps
  WatchInputs watch_inputs_;                       // that watched_keys_ was chosen by
  std::map<std::string, TimePoint> last_fetch_;    // by key: last fetch from a peer
  std::map<std::string, TimePoint> last_refresh_;  // by key: last read for RefreshObject()

  bool started_ = false;
  bool joined_ = false;           // this incarnation is in view_
  bool leaving_ = false;          // reported in heartbeats
  bool left_view_ = false;        // leaving, and out of the view
  bool sending_stopped_ = false;  // the last member sends nothing more before it empties the view
  bool writing_view_ = false;     // a view update is running
  bool joining_ = false;          // a join attempt is running
  bool renewing_lease_ = false;   // a platform read for the lease is running
  std::uint64_t heartbeat_sequence_ = 0;
  std::size_t join_failures_ = 0;
  TimePoint last_tick_{};
  TimePoint awake_since_{};  // start of the current run of regular ticks; silence before it doesn't count
  TimePoint next_heartbeat_{};
  TimePoint next_acquire_{};
  TimePoint next_join_{};
  TimePoint next_view_write_{};
  TimePoint next_renewal_{};
  TimePoint next_failed_read_{};
  TimePoint leave_deadline_{};
  std::set<std::string> released_upstreams_;  // upstreams released while leaving
  std::function<void()> leave_done_;

  std::function<std::vector<UpstreamPlacement>()> placement_source_;  // empty: ownership_ has the newest placements
  std::function<bool(const std::string&)> has_outstanding_;
  std::function<proto::UpstreamHandover(const std::string&)> handover_source_;
  std::function<void(const proto::UpstreamHandover&)> ownership_gained_;
  std::function<bool(const std::string&)> is_host_gone_;
  std::function<void(const proto::Daemon&)> incarnation_changed_;
  std::function<void(const PlatformObject&)> object_callback_;
};

}  // namespace pimentomoor
