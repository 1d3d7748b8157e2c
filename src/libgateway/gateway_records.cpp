// Exchange of the store's records between gateway daemons: heartbeats name the newest change and the era of the store
// that a daemon knows, and daemons that lack it fetch the records over HTTP.
#include <algorithm>
#include <charconv>
#include <utility>

#include "pimentomoor/gateway.h"
#include "pimentomoor/http.h"
#include "pimentomoor/log.h"

namespace pimentomoor {

namespace {

// Time within which this daemon's own watch usually reports a change that a peer announced. The daemon then fetches
// the change from the peer or asks the store again.
constexpr Duration kOwnWatchDelay = std::chrono::milliseconds(250);
// Timeout of a fetch from a peer, and time after which the store is asked for a change that no peer has delivered.
constexpr Duration kPeerFetchTimeout = std::chrono::milliseconds(1'000);
constexpr Duration kCarriedFetchInterval = std::chrono::milliseconds(500);

std::string RecordsPath(RecordKind kind) { return "/records/" + std::to_string(static_cast<int>(kind)); }

std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

proto::GatewayRecords FormatDelta(const RecordDelta& delta, TimePoint now) {
  proto::GatewayRecords message;
  message.set_store_revision(delta.store_revision);
  message.set_content_revision(delta.content_revision);
  for (const auto& record : delta.changed) {
    auto* copy = message.add_records();
    copy->set_name(record.name);
    copy->set_revision(record.revision);
    copy->set_payload(record.payload);
    copy->set_status(record.status);
    copy->set_created_revision(record.created_revision);
  }
  for (const auto& name : delta.existing_names) {
    message.add_names(name);
  }
  for (const auto& gone : delta.removed) {
    auto* copy = message.add_removed();
    copy->set_name(gone.name);
    copy->set_revision(gone.revision);
  }
  message.set_lists_names(delta.lists_existing_names);
  message.set_store_era(delta.era);
  if (delta.stated_era) {
    message.set_stated_era(*delta.stated_era);
  }
  for (const auto& [name, carried] : delta.carried.by_name) {
    auto* copy = message.add_carried();
    copy->set_name(name);
    copy->set_era(carried.position.era);
    copy->set_revision(carried.position.revision);
    copy->set_removed(carried.removed);
    for (const std::uint64_t revision : carried.removed_revisions) {
      copy->add_removed_revisions(revision);
    }
    copy->set_payload(carried.payload);
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(carried.until - now).count();
    copy->set_remaining_ms(carried.settled || remaining < 0 ? 0 : static_cast<std::uint64_t>(remaining));
  }
  return message;
}

RecordDelta ParseDelta(const proto::GatewayRecords& message, Duration max_hold, TimePoint now) {
  RecordDelta delta{.store_revision = message.store_revision(), .content_revision = message.content_revision()};
  for (const auto& record : message.records()) {
    delta.changed.push_back({.name = record.name(),
                             .revision = record.revision(),
                             .payload = record.payload(),
                             .status = record.status(),
                             .created_revision = record.created_revision()});
  }
  delta.existing_names.assign(message.names().begin(), message.names().end());
  for (const auto& gone : message.removed()) {
    delta.removed.push_back({.name = gone.name(), .revision = gone.revision()});
  }
  delta.lists_existing_names = message.lists_names();
  delta.era = message.store_era();
  if (message.has_stated_era()) {
    delta.stated_era = message.stated_era();
  }
  const auto max_ms = static_cast<std::uint64_t>(max_hold / std::chrono::milliseconds(1));
  for (const auto& carried : message.carried()) {
    const std::uint64_t remaining_ms = std::min(carried.remaining_ms(), max_ms);
    delta.carried.by_name[carried.name()] = {
        .position = {.era = carried.era(), .revision = carried.revision()},
        .removed = carried.removed(),
        .removed_revisions = {carried.removed_revisions().begin(), carried.removed_revisions().end()},
        .payload = carried.payload(),
        .settled = remaining_ms == 0,
        .until = now + std::chrono::milliseconds(remaining_ms)};
  }
  return delta;
}

}  // namespace

bool Gateway::HandleRecords(CallerExchange& exchange) {
  const std::string_view target = exchange.request.target;
  for (const auto& feed : feeds_) {
    const std::string path = RecordsPath(feed->kind()).append("?after=");
    if (target.starts_with(path)) {
      const std::string_view query = target.substr(path.size() - std::string_view("after=").size());
      const StorePosition after{.era = ParseNumber(QueryParameter(query, "era")),
                                .revision = ParseNumber(target.substr(path.size()))};
      proto::GatewayRecords message = FormatDelta(feed->MakeDelta(after), loop_.Now());
      ListLeaving(*message.mutable_leaving());
      exchange.Respond({.status = feed->loaded() ? 200 : 503, .body = message.SerializeAsString()});
      return true;
    }
  }
  return false;
}

void Gateway::FillRecordPositions(proto::GatewayHeartbeat& heartbeat) const {
  heartbeat.clear_content_revisions();
  heartbeat.clear_store_eras();
  heartbeat.clear_carried_digests();
  std::uint64_t any_era = 0;
  std::uint64_t any_digest = 0;
  for (const auto& feed : feeds_) {
    heartbeat.add_content_revisions(feed->loaded() ? std::max<std::uint64_t>(feed->content_revision(), 1) : 0);
    any_era |= feed->era();
    any_digest |= feed->carried_digest();
  }
  for (const auto& feed : feeds_) {
    if (any_era != 0) {
      heartbeat.add_store_eras(feed->era());
    }
    if (any_digest != 0) {
      heartbeat.add_carried_digests(feed->carried_digest());
    }
  }
}

void Gateway::NoteRecordPositions(const proto::GatewayHeartbeat& heartbeat) {
  const auto& sender = heartbeat.sender();
  const bool same_domain = sender.failure_domain() == settings_.failure_domain;
  for (const auto& feed : feeds_) {
    const auto index = static_cast<std::size_t>(feed->kind());
    const int item = static_cast<int>(index);
    if (item >= heartbeat.content_revisions_size()) {
      continue;
    }
    PeerRevision& peer_revision = peer_revisions_[index];
    const bool names_era = item < heartbeat.store_eras_size();
    const StorePosition position{.era = names_era ? heartbeat.store_eras(item) : feed->era(),
                                 .revision = heartbeat.content_revisions(item)};
    if (!names_era && feed->era() > 0) {
      // A daemon of a build that doesn't know eras. Its records may be of any era, so only the store is asked.
      feed->Recheck(position);
      continue;
    }
    if (!IsPlausibleEra(feed->era(), position.era)) {
      continue;
    }
    const bool unknown_here = position.revision > 0 && position > feed->content_position();
    if (unknown_here && (position > peer_revision.position ||
                         (position == peer_revision.position && same_domain && !peer_revision.same_domain))) {
      const TimePoint known_since = peer_revision.position.revision == 0 ? loop_.Now() : peer_revision.known_since;
      peer_revision = {.position = position,
                       .peer_address = sender.peer_address(),
                       .same_domain = same_domain,
                       .known_since = known_since};
    }
    CarryingPeer& carrying = carrying_peers_[index];
    const std::uint64_t digest = item < heartbeat.carried_digests_size() ? heartbeat.carried_digests(item) : 0;
    const bool merged = digest == carrying.fetched_digest && feed->carried_digest() == carrying.digest_after_fetch;
    if (digest != 0 && position.era == feed->era() && digest != feed->carried_digest() && !merged) {
      carrying.address = sender.peer_address();
      carrying.digest = digest;
    }
  }
}

void Gateway::CatchUpWithPeers() {
  FollowStoreEra();
  for (const auto& feed : feeds_) {
    CatchUpWithPeer(*feed);
    FetchCarriedRecords(*feed);
  }
}

void Gateway::CatchUpWithPeer(RecordFeed& feed) {
  PeerRevision& peer = peer_revisions_[static_cast<std::size_t>(feed.kind())];
  if (peer.position <= feed.content_position()) {
    peer = {};
    return;
  }
  const Duration waited = loop_.Now() - peer.known_since;
  const bool from_peers = feed.source() == RecordFeed::Source::kPeers || feed.store_unavailable() || !feed.loaded();
  // The store may leave the calls of this daemon unanswered, or answer as it was before a restoration that the peer
  // knows of.
  const bool store_is_late = waited >= kPeerFetchTimeout;
  if ((from_peers && (peer.same_domain || !feed.loaded() || waited >= kOwnWatchDelay)) || store_is_late) {
    FetchFromPeer(peer.peer_address, feed);
  }
  if (feed.loaded() && waited >= (from_peers ? kPeerFetchTimeout : kOwnWatchDelay)) {
    feed.Recheck(peer.position);
  }
}

void Gateway::FollowStoreEra() {
  std::uint64_t newest = 0;
  bool loaded = false;
  for (const auto& feed : feeds_) {
    newest = std::max(newest, feed->newest_era());
    loaded = loaded || feed->loaded();
  }
  if (loaded && newest > store_era_.value_or(0)) {
    if (store_era_) {
      metrics_.Count("pimentomoor_store_restores_total");
      LogWarn("store restored from a copy",
              {{"era", std::to_string(newest)}, {"previous_era", std::to_string(*store_era_)}});
    }
    store_era_since_ = loop_.Now();
  }
  if (loaded) {
    store_era_ = newest;
  }
  for (const auto& feed : feeds_) {
    const bool follows_peers = feed->source() == RecordFeed::Source::kPeers;
    if (feed->loaded() && feed->era() < newest &&
        (!follows_peers || loop_.Now() - store_era_since_ >= kPeerFetchTimeout)) {
      feed->Recheck({.era = newest});
    }
  }
}

void Gateway::FetchCarriedRecords(RecordFeed& feed) {
  CarryingPeer& peer = carrying_peers_[static_cast<std::size_t>(feed.kind())];
  if (peer.address.empty() || fetch_running_ || loop_.Now() - peer.fetched_at < kCarriedFetchInterval) {
    return;
  }
  peer.fetched_at = loop_.Now();
  peer.fetched_digest = peer.digest;
  FetchFromPeer(std::exchange(peer.address, {}), feed);
}

void Gateway::FetchFromPeer(const std::string& address, RecordFeed& feed) {
  if (fetch_running_) {
    return;  // only one fetch runs at a time; the next tick starts another
  }
  fetch_running_ = true;
  if (peer_client_ == nullptr || peer_client_->address() != address) {
    peer_client_ = std::make_unique<PersistentHttpClient>(loop_, codec_.field_names(), address, &buffer_budget_);
  }
  const StorePosition after = feed.loaded() ? feed.delta_base() : StorePosition{};
  const std::string target = RecordsPath(feed.kind()) + "?after=" + std::to_string(after.revision) +
                             (after.era == 0 ? "" : "&era=" + std::to_string(after.era));
  peer_client_->Get(target, kPeerFetchTimeout, [this, &feed](const std::optional<ResponseMessage>& response) {
    fetch_running_ = false;
    proto::GatewayRecords message;
    if (!response || response->status != 200 || !message.ParseFromString(response->body)) {
      metrics_.Count("pimentomoor_gateway_fetch_failures_total");
      peer_revisions_[static_cast<std::size_t>(feed.kind())] = {};  // the next heartbeat may name another peer
      return;
    }
    MergeLeaving(message.leaving());  // before the entries, so that no request is placed in between
    feed.Adopt(ParseDelta(message, PolicyOf(feed.kind()).lost_hold, loop_.Now()));
    carrying_peers_[static_cast<std::size_t>(feed.kind())].digest_after_fetch = feed.carried_digest();
  });
}

}  // namespace pimentomoor
