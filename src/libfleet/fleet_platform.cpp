// FleetCore: reads and writes of the platform, for joining, removing silent members, leaving, renewing the lease and
// watching objects.
#include <algorithm>
#include <utility>

#include "pimentomoor/fleet_core.h"
#include "pimentomoor/rendezvous.h"

namespace pimentomoor {
namespace {

// Time between two ticks that shows that the process was paused. Peers were not heard during the pause, so their
// silence before its end doesn't count.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(1'000);

constexpr Duration kAcquireInterval = std::chrono::milliseconds(100);
constexpr Duration kViewWriteInterval = std::chrono::milliseconds(500);
constexpr Duration kRenewalInterval = std::chrono::milliseconds(400);
constexpr Duration kFailedReadInterval = std::chrono::milliseconds(1'000);
// Limits the reads of one key by a cell of 32 daemons to 32 a second, of the 2,000 reads a second that the platform
// takes.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(1'000);

// Delay before the next join attempt, without jitter: the smallest, for example after a conflict, and the largest
// after repeated failures of the platform.
constexpr Duration kJoinRetryMin = std::chrono::milliseconds(100);
constexpr Duration kJoinRetryMax = std::chrono::milliseconds(2'000);

constexpr std::size_t kWatchersPerKey = 2;  // members that watch a key at the platform

// View of the next epoch, with the members of `view` as its members and its previous members.
proto::View NextView(const proto::View& view) {
  proto::View next;
  next.set_epoch(view.epoch() + 1);
  *next.mutable_members() = view.members();
  *next.mutable_previous_members() = view.members();
  return next;
}

template <typename Condition>
void EraseMembers(proto::View& view, Condition condition) {
  auto* members = view.mutable_members();
  members->erase(std::remove_if(members->begin(), members->end(), condition), members->end());
}

}  // namespace

std::uint64_t FleetCore::RandomId() {
  std::uint64_t id = 0;
  while (id == 0) {
    id = random_();
  }
  return id;
}

// Random duration between half of `base` and `base`.
Duration FleetCore::Jitter(Duration base) {
  return base / 2 +
         Duration(static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(base.count() / 2 + 1)));
}

// Wraps the callback of a platform call. The wrapper drops the reply when this object is destroyed or has another
// incarnation than at the call.
FleetCore::ReplyCallback FleetCore::ForCurrentIncarnation(ReplyCallback reply) const {
  const std::uint64_t incarnation = *callback_incarnation_;
  return [owner = std::weak_ptr(callback_incarnation_), incarnation,
          reply = std::move(reply)](const PlatformReply& result) {
    const auto current = owner.lock();
    if (current && *current == incarnation) {
      reply(result);
    }
  };
}

void FleetCore::ReadKey(const std::string& key, ReplyCallback done) {
  Count("platform_reads_total");
  platform_.Get(PlatformKey(key), ForCurrentIncarnation(std::move(done)));
}

void FleetCore::Start() {
  if (started_) {
    return;
  }
  const bool again = leaving_;
  started_ = true;
  leaving_ = false;
  next_join_ = last_tick_ = awake_since_ = Now();
  if (again) {
    StartNewIncarnation();
  }
}

void FleetCore::Tick() {
  if (!started_) {
    return;
  }
  FlushPlacements();
  const TimePoint now = Now();
  if (now - last_tick_ > kPauseThreshold) {
    awake_since_ = now;
  }
  last_tick_ = now;
  if (is_host_gone_ && !epoch_acks_.acknowledged_at) {
    for (const proto::Daemon& member : view_.previous_members()) {
      if (is_host_gone_(member.host())) {
        OnHostGone(epoch_acks_, member.host(), now);
      }
    }
    ForwardAcknowledgement();
  }
  if (now >= next_heartbeat_) {
    SendHeartbeats();
  }
  StepJoin();
  StepRemove();
  StepLease();
  StepWatches();
  UpdateRollout();
  FinishTakeovers();
  if (now >= next_acquire_) {
    next_acquire_ = now + kAcquireInterval;
    SendAcquires();
  }
  StepLeave();
}

// --- joining ---

void FleetCore::StepJoin() {
  if (joined_ || leaving_ || joining_ || Now() < next_join_) {
    return;
  }
  joining_ = true;
  ReadView([this](bool view_read) {
    if (!view_read || joined_) {
      RetryJoin(!view_read);
      return;
    }
    // The objects are read before the view is written: a member that answers heartbeats must have every version that
    // its earlier incarnations had. Otherwise an accepted version could be lost from a majority by restarts.
    ReadAllObjects([this](bool objects_read) {
      if (!objects_read) {
        RetryJoin(true);
      } else {
        TryJoin();
      }
    });
  });
}

// Writes a view with this daemon. The next attempt is scheduled first and does nothing when this one has succeeded.
void FleetCore::TryJoin() {
  RetryJoin(false);
  if (joined_ || leaving_ || writing_view_ || (view_.epoch() > 0 && !MayWriteNextView(epoch_acks_))) {
    return;
  }
  proto::View next = NextView(view_);
  const proto::Daemon& self = options_.self;
  EraseMembers(next, [&](const proto::Daemon& member) {
    return member.host() == self.host() || member.peer_address() == self.peer_address();
  });
  *next.add_members() = self;
  WriteView(std::move(next));
}

// Ends a join attempt and schedules the next one. With `outage`, when the platform gave no usable answer, the delay
// grows and the seed peers are asked for the objects.
void FleetCore::RetryJoin(bool outage) {
  joining_ = false;
  join_failures_ = outage ? join_failures_ + 1 : 0;
  const Duration base = kJoinRetryMin * (1 << std::min<std::size_t>(join_failures_, 5));
  next_join_ = Now() + Jitter(std::min(base, kJoinRetryMax));
  if (outage) {
    Count("join_failures_total");
    FetchFromSeeds();
  }
}

// Asks the seed peers for the view and the objects during a platform outage. With them this daemon serves callers as
// an entry, without a lease.
void FleetCore::FetchFromSeeds() {
  proto::Envelope message = NewMessage(0);
  message.mutable_fetch_objects()->add_keys(view_key_);
  for (const std::string& key : object_keys_) {
    message.mutable_fetch_objects()->add_keys(key);
  }
  for (const std::string& address : options_.seed_peers) {
    if (address != options_.self.peer_address()) {
      send_(address, message);
    }
  }
}

// --- reads ---

// Reads the view and adopts it when it is newer. Succeeds when the platform then shows the view held here, or when
// neither has one.
void FleetCore::ReadView(ReadCallback done) {
  ReadKey(view_key_, [this, done = std::move(done)](const PlatformReply& reply) {
    if (reply.status == PlatformStatus::kOk) {
      const std::uint64_t incarnation = *callback_incarnation_;
      AdoptView(reply.object);
      if (incarnation != *callback_incarnation_) {
        return;  // the view has removed this incarnation
      }
    }
    const bool found = reply.status == PlatformStatus::kOk && reply.object.version == view_object_.version;
    done(found || (reply.status == PlatformStatus::kNotFound && view_object_.version == 0));
  });
}

// Reads every object and adopts the newer ones. Succeeds when the platform answered for every key and showed no
// version that is older than the held one.
void FleetCore::ReadAllObjects(ReadCallback done) {
  struct State {
    std::size_t pending = 0;
    bool ok = true;
    ReadCallback done;
  };
  auto state = std::make_shared<State>();
  state->pending = object_keys_.size() + 1;
  state->done = std::move(done);
  const auto finish_one = [state] {
    if (--state->pending == 0) {
      state->done(state->ok);
    }
  };
  const std::set<std::string> keys = object_keys_;  // adopting an object may add keys
  for (const std::string& key : keys) {
    ReadKey(key, [this, key, state, finish_one](const PlatformReply& reply) {
      if (reply.status == PlatformStatus::kOk) {
        AdoptObject({.key = key, .version = reply.object.version, .value = reply.object.value});
      }
      const std::uint64_t shown = reply.status == PlatformStatus::kOk ? reply.object.version : 0;
      const bool answered = reply.status == PlatformStatus::kOk || reply.status == PlatformStatus::kNotFound;
      state->ok = state->ok && answered && shown >= store_.version(key);
      finish_one();
    });
  }
  finish_one();
}

// Reads a key that is not held yet, or whose last read failed. When the platform shows no object, the peer that
// reported the key is asked for it; `peer_address` is empty when there is none.
void FleetCore::ReadNewKey(const std::string& key, const std::string& peer_address) {
  if (!reading_keys_.insert(key).second) {
    return;
  }
  ReadKey(key, [this, key, peer_address](const PlatformReply& reply) {
    reading_keys_.erase(key);
    failed_keys_.erase(key);
    if (reply.status == PlatformStatus::kOk) {
      AdoptObject({.key = key, .version = reply.object.version, .value = reply.object.value});
    } else if (reply.status == PlatformStatus::kUnavailable) {
      failed_keys_.insert(key);
    }
    if (store_.Find(key) == nullptr && !peer_address.empty()) {
      FetchFrom(peer_address, {key});
    }
  });
}

void FleetCore::WatchObject(const std::string& key) {
  if (object_keys_.insert(key).second && started_) {
    ReadNewKey(key, "");
  }
}

void FleetCore::RefreshObject(const std::string& key) {
  const TimePoint now = Now();
  const auto last = last_refresh_.find(key);
  if (!started_ || !object_keys_.contains(key) ||
      (last != last_refresh_.end() && now < last->second + kRefreshInterval)) {
    return;
  }
  last_refresh_[key] = now;
  Count("refreshes_total");
  ReadKey(key, [this, key](const PlatformReply& reply) {
    if (reply.status == PlatformStatus::kOk) {
      AdoptObject({.key = key, .version = reply.object.version, .value = reply.object.value});
    }
  });
}

// --- view updates ---

void FleetCore::WriteView(proto::View next) {
  const std::string writer_id = std::to_string(RandomId());
  next.set_writer_id(writer_id);
  auto* members = next.mutable_members();
  std::sort(members->begin(), members->end(),
            [](const proto::Daemon& a, const proto::Daemon& b) { return a.host() < b.host(); });
  std::string value = next.SerializeAsString();
  writing_view_ = true;
  next_view_write_ = Now() + Jitter(kViewWriteInterval);
  Count("view_writes_total");
  platform_.Put(PlatformKey(view_key_), view_object_.version, value,
                ForCurrentIncarnation([this, value, writer_id](const PlatformReply& reply) {
                  writing_view_ = false;
                  if (reply.status == PlatformStatus::kOk) {
                    const PlatformObject written{.key = view_key_, .version = reply.object.version, .value = value};
                    PushView(written);
                    AdoptView(written);
                  } else if (reply.status == PlatformStatus::kConflict) {
                    Count("view_conflicts_total");
                    AdoptView(reply.object);
                  } else if (reply.status == PlatformStatus::kUnavailable) {
                    ReadBackView(writer_id);
                  }
                }));
}

// Sends a new view to its members before this daemon's first heartbeat of that epoch, so that their replies to the
// heartbeat name the new epoch.
void FleetCore::PushView(const PlatformObject& object) {
  proto::View next;
  if (!next.ParseFromString(object.value)) {
    return;
  }
  for (const proto::Daemon& member : next.members()) {
    if (member.incarnation() != options_.self.incarnation()) {
      proto::Envelope message = NewMessage(member.incarnation());
      proto::StoredObject* stored = message.mutable_objects()->add_objects();
      stored->set_key(object.key);
      stored->set_version(object.version);
      stored->set_value(object.value);
      send_(member.peer_address(), message);
    }
  }
}

// Reads the view after the answer to an update was lost, to find out whether the update took effect. An update that
// takes effect later does so only on the version that it was meant for, and then the next update gets a conflict.
void FleetCore::ReadBackView(const std::string& writer_id) {
  writing_view_ = true;
  ReadKey(view_key_, [this, writer_id](const PlatformReply& reply) {
    writing_view_ = false;
    if (reply.status != PlatformStatus::kOk) {
      return;
    }
    const bool adopted = AdoptView(reply.object);
    if (adopted && view_.writer_id() == writer_id) {
      Count("view_writes_recovered_total");
    }
  });
}

void FleetCore::StepRemove() {
  if (!joined_ || leaving_ || writing_view_ || Now() < next_view_write_ || !MayWriteNextView(epoch_acks_)) {
    return;
  }
  const bool hears_majority = HearsMajority();
  proto::View next = NextView(view_);
  EraseMembers(next, [&](const proto::Daemon& member) { return ShouldRemove(member, hears_majority); });
  if (next.members_size() < view_.members_size()) {
    Count("removals_total");
    WriteView(std::move(next));
  }
}

// --- leaving ---

void FleetCore::Leave(std::function<void()> done) {
  leave_done_ = std::move(done);
  leaving_ = true;
  left_view_ = false;
  released_upstreams_.clear();
  leave_deadline_ = Now() + options_.leave_timeout;
  next_view_write_ = Now();
  SendHeartbeats();
}

// Whether no request of this daemon runs at any upstream that it could ever send to.
bool FleetCore::Drained() const { return !has_outstanding_ || !ownership_.AnyEverTakenOver(has_outstanding_); }

// Whether no request of an owner of an earlier epoch can still run.
bool FleetCore::EarlierOwnersEnded() const {
  return view_.previous_members().empty() ||
         (epoch_acks_.acknowledged_at &&
          Now() >= *epoch_acks_.acknowledged_at + TakeoverWait(options_.lease_duration));
}

void FleetCore::StepLeave() {
  if (!leaving_ || !started_) {
    return;
  }
  const TimePoint now = Now();
  if (now >= leave_deadline_ || (!joined_ && !left_view_ && !writing_view_ && !joining_)) {
    FinishLeave();
    return;
  }
  if (left_view_) {
    const std::vector<std::string> given_up = ownership_.GivenUp();
    const bool released = std::all_of(given_up.begin(), given_up.end(), [&](const std::string& upstream) {
      return released_upstreams_.contains(upstream);
    });
    if (view_.members().empty() || released) {
      FinishLeave();
    }
    return;
  }
  if (!joined_ || writing_view_ || now < next_view_write_ || !MayWriteNextView(epoch_acks_)) {
    return;
  }
  proto::View next = NextView(view_);
  EraseMembers(next, [&](const auto& member) { return member.incarnation() == options_.self.incarnation(); });
  if (next.members().empty()) {
    // No member is left that could acknowledge the empty view, and the next daemon to join waits for no previous
    // owner. So the last member first stops sending and waits until all requests have ended, also those of earlier
    // owners. When this takes longer than the timeout, it stays in the view, and the next daemon takes over as from a
    // failed one.
    sending_stopped_ = true;
    next.clear_previous_members();
    if (!Drained() || !EarlierOwnersEnded()) {
      return;
    }
  }
  WriteView(std::move(next));
}

void FleetCore::FinishLeave() {
  started_ = false;
  sending_stopped_ = true;
  Log("left", {{"in_time", left_view_ ? "true" : "false"}});
  if (leave_done_) {
    std::exchange(leave_done_, nullptr)();
  }
}

// --- regular reads ---

// Retries failed reads of new keys, and renews the lease by reading the platform when less than half of its duration
// is left, that is when replies have not renewed it.
void FleetCore::StepLease() {
  const TimePoint now = Now();
  if (joined_ && !failed_keys_.empty() && now >= next_failed_read_) {
    next_failed_read_ = now + Jitter(kFailedReadInterval);
    const std::set<std::string> keys = failed_keys_;
    std::for_each(keys.begin(), keys.end(), [&](const std::string& key) { ReadNewKey(key, ""); });
  }
  if (!joined_ || renewing_lease_ || now < next_renewal_ || lease_.expires_at - now > options_.lease_duration / 2) {
    return;
  }
  renewing_lease_ = true;
  next_renewal_ = now + Jitter(kRenewalInterval);
  ReadView([this, now](bool view_read) {
    if (!view_read) {
      renewing_lease_ = false;
      return;
    }
    ReadAllObjects([this, now, epoch = view_.epoch()](bool objects_read) {
      renewing_lease_ = false;
      FlushPlacements();
      if (objects_read) {
        OnPlatformRead(lease_, epoch, now);
      }
    });
  });
}

// Starts and stops watches so that the first kWatchersPerKey members by rendezvous weight watch each key.
void FleetCore::StepWatches() {
  const WatchInputs inputs{.joined = joined_, .epoch = view_.epoch(), .key_count = object_keys_.size()};
  if (inputs == watch_inputs_) {
    return;
  }
  watch_inputs_ = inputs;
  std::set<std::string> wanted;
  if (joined_) {
    std::vector<std::string> hosts;
    for (const proto::Daemon& member : view_.members()) {
      hosts.push_back(member.host());
    }
    std::set<std::string> keys = object_keys_;
    keys.insert(view_key_);
    for (const std::string& key : keys) {
      const std::vector<std::size_t> order = RankByRendezvous(key, hosts);
      for (std::size_t i = 0; i < std::min(kWatchersPerKey, order.size()); ++i) {
        if (hosts[order[i]] == options_.self.host()) {
          wanted.insert(key);
        }
      }
    }
  }
  for (const std::string& key : watched_keys_) {
    if (!wanted.contains(key)) {
      platform_.StopWatch(PlatformKey(key));
    }
  }
  for (const std::string& key : wanted) {
    if (!watched_keys_.contains(key)) {
      const std::uint64_t held = key == view_key_ ? view_object_.version : store_.version(key);
      platform_.Watch(PlatformKey(key), held,
                      [this, key, owner = std::weak_ptr(callback_incarnation_)](const PlatformReply& reply) {
                        if (owner.expired() || reply.status != PlatformStatus::kOk) {
                          return;
                        }
                        const PlatformObject object{
                            .key = key, .version = reply.object.version, .value = reply.object.value};
                        key == view_key_ ? AdoptView(object) : AdoptObject(object);
                      });
    }
  }
  watched_keys_ = std::move(wanted);
}

}  // namespace pimentomoor
