// FleetCore: messages between daemons, which carry heartbeats, platform objects and the release of upstreams.
#include "pimentomoor/fleet_core.h"

#include <algorithm>
#include <utility>

#include "pimentomoor/cell.h"

namespace pimentomoor {
namespace {

// Shortest time between two fetches of one key: replies from many peers cause one fetch.
constexpr Duration kFetchInterval = std::chrono::milliseconds(100);

// Size of object values at which an Objects message is sent. The object that exceeds it adds at most 1 MB, and the
// transport's limit is 4 MB.
constexpr std::size_t kObjectsMessageBytes = std::size_t{2} * 1024 * 1024;

// Bounds that keep a faulty peer from filling the memory of a daemon, which keeps and watches every key that it
// adopts. A cell needs 4 configuration objects, one catalog for each of its services and the views of the other
// cells.
constexpr std::size_t kMaxKeys = 10'000;
constexpr std::size_t kMaxKeyBytes = 256;

bool IsObjectKey(std::string_view key) {
  return key.size() <= kMaxKeyBytes &&
         (key.starts_with("config/") || key.starts_with("catalog/") || !CellOfViewKey(key).empty());
}

// Digest of the receiver's versions as far as the sender of `held` knows them.
std::uint64_t KnownDigest(const proto::HeldVersions& held) {
  return held.has_known_digest() ? held.known_digest() : held.digest();
}

}  // namespace

FleetCore::FleetCore(const Clock& clock, FleetOptions options, Send send, PlatformClient& platform, FleetHooks hooks)
    : clock_(clock),
      options_(std::move(options)),
      send_(std::move(send)),
      platform_(platform),
      hooks_(std::move(hooks)),
      random_(options_.random_seed != 0 ? options_.random_seed : std::random_device{}()),
      callback_incarnation_(std::make_shared<std::uint64_t>(options_.self.incarnation())),
      ownership_(options_.self, options_.lease_duration),
      view_key_(ViewKey(CellNameOrDefault(options_.self.cell()))),
      object_keys_(options_.object_keys.begin(), options_.object_keys.end()) {
  lease_.duration = options_.lease_duration;
}

FleetCore::~FleetCore() {
  for (const std::string& key : watched_keys_) {
    platform_.StopWatch(PlatformKey(key));
  }
}

void FleetCore::Count(const std::string& name) const {
  if (hooks_.count) {
    hooks_.count("pimentomoor_fleet_" + name);
  }
}

void FleetCore::Log(std::string_view event, std::initializer_list<LogField> fields) const {
  if (hooks_.log) {
    hooks_.log(event, fields);
  }
}

proto::Envelope FleetCore::NewMessage(std::uint64_t to_incarnation) const {
  proto::Envelope message;
  *message.mutable_from() = options_.self;
  message.set_to_incarnation(to_incarnation);
  return message;
}

// `receiver_digest` is the digest of the receiver's versions as far as this daemon knows them;
// `digest_known_to_receiver` is that of this daemon's versions as far as the receiver knows them. The cost doesn't
// grow with the number of objects while nothing has changed.
void FleetCore::FillHeld(proto::HeldVersions& held, std::uint64_t receiver_digest,
                         std::uint64_t digest_known_to_receiver) const {
  held.Clear();
  held.set_digest(store_.digest());
  if (receiver_digest != store_.digest()) {
    held.set_known_digest(receiver_digest);
  }
  for (const std::string& key : store_.KeysChangedSince(digest_known_to_receiver)) {
    proto::ObjectVersion* entry = held.add_changed();
    entry->set_key(key);
    entry->set_version(store_.version(key));
  }
  if (epoch_acks_.acknowledged_at) {
    held.set_acknowledged_epoch(epoch_acks_.epoch);
  }
}

// Heartbeats are addressed to any incarnation of the receiver: a reply by another incarnation than the expected one
// proves that the expected one has ended.
void FleetCore::SendHeartbeats() {
  FlushPlacements();
  const TimePoint now = Now();
  next_heartbeat_ = now + options_.heartbeat_period;
  std::map<std::string, const Peer*> addresses;
  for (const proto::Daemon& member : view_.members()) {
    addresses.emplace(member.peer_address(), FindPeer(member));
  }
  if (!epoch_acks_.acknowledged_at) {
    for (const proto::Daemon& member : view_.previous_members()) {
      addresses.emplace(member.peer_address(), FindPeer(member));
    }
  }
  addresses.erase(options_.self.peer_address());
  proto::Envelope message = NewMessage(0);
  proto::Heartbeat* heartbeat = message.mutable_heartbeat();
  heartbeat->set_sequence(++heartbeat_sequence_);
  heartbeat->set_epoch(view_.epoch());
  heartbeat->set_leaving(leaving_);
  OnHeartbeatSent(lease_, heartbeat_sequence_, now);
  for (const auto& [address, peer] : addresses) {
    FillHeld(*heartbeat->mutable_held(), peer == nullptr ? 0 : peer->versions.digest(),
             peer == nullptr ? 0 : peer->known_digest);
    send_(address, message);
  }
}

void FleetCore::HandleMessage(const proto::Envelope& message) {
  if (CellNameOrDefault(message.from().cell()) != CellNameOrDefault(options_.self.cell())) {
    Count("messages_of_other_cell_total");
    return;
  }
  if (message.to_incarnation() != 0 && message.to_incarnation() != options_.self.incarnation()) {
    Count("messages_for_other_incarnation_total");
    return;
  }
  if (message.from().incarnation() == options_.self.incarnation()) {
    return;
  }
  if (!message.has_objects()) {
    FlushPlacements();
  }
  switch (message.body_case()) {
    case proto::Envelope::kHeartbeat:
      return HandleHeartbeat(message);
    case proto::Envelope::kHeartbeatReply:
      return HandleHeartbeatReply(message);
    case proto::Envelope::kFetchObjects:
      return HandleFetchObjects(message);
    case proto::Envelope::kObjects:
      return HandleObjects(message);
    case proto::Envelope::kAcquire:
      return HandleAcquire(message);
    case proto::Envelope::kReleased:
      return HandleReleased(message);
    default:
      return;
  }
}

// Records what a heartbeat or a reply reports about its sender. Returns the fields that decide whether a reply renews
// the lease.
template <typename Report>
LeaseReply FleetCore::RecordReport(const proto::Daemon& from, const Report& report) {
  const TimePoint now = Now();
  const proto::HeldVersions& held = report.held();
  if (held.acknowledged_epoch() != 0) {
    OnAcknowledgementReported(epoch_acks_, held.acknowledged_epoch(), now);
  }
  OnEpochReported(epoch_acks_, from.incarnation(), report.epoch(), now);
  ForwardAcknowledgement();
  const auto found = peers_.find(from.incarnation());
  if (found == peers_.end()) {
    VersionsWithDigest theirs;
    return RecordVersions(from, report.epoch(), held, theirs);
  }
  // Messages may arrive out of order: an older report must not lower the epoch or clear `leaving`.
  Peer& peer = found->second;
  peer.heard_at = now;
  peer.epoch = std::max<std::uint64_t>(peer.epoch, report.epoch());
  peer.leaving = peer.leaving || report.leaving();
  peer.known_digest = KnownDigest(held);
  return RecordVersions(from, report.epoch(), held, peer.versions);
}

// Adds the versions that `held` lists to `theirs`, the sender's known versions, and fetches objects that are newer at
// the sender. Equal digests prove that the sender has no newer version and lacks no key.
LeaseReply FleetCore::RecordVersions(const proto::Daemon& from, std::uint64_t epoch, const proto::HeldVersions& held,
                                     VersionsWithDigest& theirs) {
  for (const proto::ObjectVersion& entry : held.changed()) {
    theirs.Raise(entry.key(), entry.version());
  }
  if (held.digest() == store_.digest() && theirs.digest() != store_.digest()) {
    for (const auto& [key, version] : store_.versions()) {
      theirs.Raise(key, version);
    }
  }
  FetchNewerObjects(from, epoch, theirs);
  LeaseReply result{.incarnation = from.incarnation(), .epoch = epoch};
  result.peer_versions_unknown = theirs.digest() != held.digest();
  if (theirs.digest() != store_.digest()) {
    result.peer_has_newer_versions = !KeysToFetch(store_.versions(), theirs.map()).empty();
    result.peer_lacks_keys = LacksKey(theirs.map(), store_.versions());
  }
  return result;
}

void FleetCore::HandleHeartbeat(const proto::Envelope& message) {
  const proto::HeldVersions& held = message.heartbeat().held();
  RecordReport(message.from(), message.heartbeat());
  // No versions are kept for a daemon that is neither a member nor a previous member: they are known only when its
  // digest equals this daemon's.
  const Peer* peer = FindPeer(message.from());
  const std::uint64_t receiver_digest = peer != nullptr                    ? peer->versions.digest()
                                        : held.digest() == store_.digest() ? held.digest()
                                                                           : 0;
  proto::Envelope answer = NewMessage(message.from().incarnation());
  proto::HeartbeatReply* reply = answer.mutable_heartbeat_reply();
  reply->set_sequence(message.heartbeat().sequence());
  reply->set_epoch(view_.epoch());
  reply->set_leaving(leaving_);
  FillHeld(*reply->mutable_held(), receiver_digest, KnownDigest(held));
  send_(message.from().peer_address(), answer);
}

void FleetCore::HandleHeartbeatReply(const proto::Envelope& message) {
  const proto::HeartbeatReply& reply = message.heartbeat_reply();
  const proto::Daemon& from = message.from();
  if (lease_.send_times.contains(reply.sequence())) {
    OnAnswerFrom(epoch_acks_, from.peer_address(), from.incarnation(), Now());
  }
  LeaseReply result = RecordReport(from, reply);
  if (FindMemberByIncarnation(from.incarnation()) == nullptr) {
    return;
  }
  result.sequence = reply.sequence();
  OnHeartbeatReply(lease_, result);
}

// Fetches the view and objects that are newer at the peer. A key that this daemon doesn't hold yet is read from the
// platform first: if it adopted an old version from the peer after a restart, its replies would let the peer renew
// its lease with that version.
void FleetCore::FetchNewerObjects(const proto::Daemon& from, std::uint64_t epoch, const VersionsWithDigest& theirs) {
  std::vector<std::string> wanted;
  if (epoch > view_.epoch()) {
    wanted.push_back(view_key_);
  }
  const bool equal = theirs.digest() == store_.digest();
  for (const std::string& key : equal ? std::vector<std::string>{} : KeysToFetch(store_.versions(), theirs.map())) {
    if (joined_ && store_.Find(key) == nullptr) {
      ReadNewKey(key, from.peer_address());
    } else {
      wanted.push_back(key);
    }
  }
  FetchFrom(from.peer_address(), wanted);
}

void FleetCore::FetchFrom(const std::string& address, const std::vector<std::string>& keys) {
  const TimePoint now = Now();
  proto::Envelope message = NewMessage(0);
  for (const std::string& key : keys) {
    const auto last = last_fetch_.find(key);
    if (last == last_fetch_.end() || now >= last->second + kFetchInterval) {
      last_fetch_[key] = now;
      message.mutable_fetch_objects()->add_keys(key);
    }
  }
  if (message.has_fetch_objects()) {
    Count("fetches_total");
    send_(address, message);
  }
}

void FleetCore::HandleFetchObjects(const proto::Envelope& message) {
  const auto& keys = message.fetch_objects().keys();
  SendObjects(message.from().peer_address(), message.from().incarnation(), {keys.begin(), keys.end()});
}

void FleetCore::SendObjects(const std::string& address, std::uint64_t incarnation,
                            const std::vector<std::string>& keys) {
  proto::Envelope message = NewMessage(incarnation);
  std::size_t bytes = 0;
  for (const std::string& key : keys) {
    const PlatformObject* object = key == view_key_ ? &view_object_ : store_.Find(key);
    if (object == nullptr || object->version == 0) {
      continue;
    }
    proto::StoredObject* stored = message.mutable_objects()->add_objects();
    stored->set_key(key);
    stored->set_version(object->version);
    stored->set_value(object->value);
    bytes += object->value.size();
    if (bytes > kObjectsMessageBytes) {
      send_(address, message);
      message.clear_objects();
      bytes = 0;
    }
  }
  if (message.has_objects()) {
    send_(address, message);
  }
}

void FleetCore::HandleObjects(const proto::Envelope& message) {
  for (const proto::StoredObject& stored : message.objects().objects()) {
    PlatformObject object{.key = stored.key(), .version = stored.version(), .value = stored.value()};
    if (stored.key() == view_key_) {
      AdoptView(object);
    } else {
      AdoptObject(object);
    }
  }
}

bool FleetCore::AdoptObject(const PlatformObject& object) {
  if (!IsObjectKey(object.key) || object.key == view_key_ ||
      (!object_keys_.contains(object.key) && object_keys_.size() >= kMaxKeys)) {
    Count("objects_refused_total");
    return false;
  }
  if (!store_.Adopt(object)) {
    return false;
  }
  object_keys_.insert(object.key);
  failed_keys_.erase(object.key);
  Count("objects_adopted_total");
  if (object_callback_) {
    // NOLINTNEXTLINE(performance-unnecessary-copy-initialization): the callback may adopt a newer version
    const PlatformObject copy = object;
    object_callback_(copy);
  }
  return true;
}

void FleetCore::SendAcquires() {
  for (const OwnershipTable::Acquisition& acquisition : ownership_.Acquisitions()) {
    proto::Envelope message = NewMessage(acquisition.previous_owner.incarnation());
    message.mutable_acquire()->set_epoch(acquisition.epoch);
    for (const std::string& upstream : acquisition.upstreams) {
      message.mutable_acquire()->add_upstreams(upstream);
    }
    send_(acquisition.previous_owner.peer_address(), message);
  }
}

void FleetCore::HandleAcquire(const proto::Envelope& message) {
  const proto::Acquire& acquire = message.acquire();
  if (acquire.epoch() > view_.epoch()) {
    FetchFrom(message.from().peer_address(), {view_key_});
    return;
  }
  const std::vector<std::string> upstreams{acquire.upstreams().begin(), acquire.upstreams().end()};
  proto::Envelope answer = NewMessage(message.from().incarnation());
  for (const std::string& upstream : ownership_.Releasable(acquire.epoch(), upstreams, has_outstanding_)) {
    proto::UpstreamHandover* handover = answer.mutable_released()->add_upstreams();
    if (handover_source_) {
      *handover = handover_source_(upstream);
    }
    handover->set_upstream(upstream);
    released_upstreams_.insert(upstream);
  }
  if (answer.has_released()) {
    answer.mutable_released()->set_epoch(acquire.epoch());
    send_(message.from().peer_address(), answer);
  }
}

void FleetCore::HandleReleased(const proto::Envelope& message) {
  const proto::Released& released = message.released();
  ownership_.OnReleased(message.from().incarnation(), released.epoch(),
                        {released.upstreams().begin(), released.upstreams().end()});
  FinishTakeovers();
}

void FleetCore::SetObjectCallback(std::function<void(const PlatformObject&)> callback) {
  object_callback_ = std::move(callback);
}

void FleetCore::SetOutstandingCheck(std::function<bool(const std::string& upstream)> outstanding) {
  has_outstanding_ = std::move(outstanding);
}

void FleetCore::SetHandoverSource(std::function<proto::UpstreamHandover(const std::string& upstream)> handover) {
  handover_source_ = std::move(handover);
}

void FleetCore::SetOwnershipGainedCallback(std::function<void(const proto::UpstreamHandover&)> gained) {
  ownership_gained_ = std::move(gained);
}

void FleetCore::SetHostGoneCheck(std::function<bool(const std::string& host)> gone) {
  is_host_gone_ = std::move(gone);
}

void FleetCore::SetIncarnationChangedCallback(std::function<void(const proto::Daemon& self)> changed) {
  incarnation_changed_ = std::move(changed);
}

}  // namespace pimentomoor
