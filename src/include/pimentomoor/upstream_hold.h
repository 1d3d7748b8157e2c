// What an upstream's own answers say about sending to it: that its process is about to end (it is leaving), or that
// it wants no requests for some time (a pause). Both hold for one lifetime, that is one run of the upstream's
// process.
//
// Daemons tell each other which lifetimes are leaving, so that a daemon that starts doesn't use an upstream that has
// left. A pause binds only the daemon that was asked for it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "pimentomoor/clock.h"

namespace pimentomoor {

struct UpstreamHoldSettings {
  // Time after the first leaving answer of an upstream in which it may still get requests that no other one can
  // serve.
  Duration drain_time = std::chrono::milliseconds(3'000);
  // The last of these requests is sent this long before the end of drain_time, so that it arrives within it.
  Duration drain_margin = std::chrono::milliseconds(500);
  Duration max_pause = std::chrono::hours(1);           // a longer pause counts as this one
  Duration unreadable_pause = std::chrono::seconds(1);  // a pause whose length can't be read
  // Time after the first leaving answer for which a lifetime is reported to other daemons, and for which it is
  // remembered here. The second is longer, so that a report by a slower daemon isn't taken for news.
  Duration leaving_reported_for = std::chrono::hours(1);
  Duration leaving_kept_for = std::chrono::minutes(65);
  std::size_t max_leaving = 512;    // leaving lifetimes; beyond it the oldest is forgotten
  std::size_t max_paused = 16'384;  // paused lifetimes; beyond it the one that ends first is forgotten
  bool naive = false;               // ignores what answers say

  friend bool operator==(const UpstreamHoldSettings&, const UpstreamHoldSettings&) = default;
};

/// Identifies a lifetime in messages between daemons. The value is the same in all builds.
using LifetimeKey = std::uint64_t;
LifetimeKey MakeLifetimeKey(std::string_view upstream_id, std::uint64_t start_unix_ms);

/// What one answer says about sending to its upstream.
struct UpstreamNotice {
  bool leaving = false;
  Duration pause{};  // zero: none

  [[nodiscard]] bool empty() const { return !leaving && pause == Duration::zero(); }
  friend bool operator==(const UpstreamNotice&, const UpstreamNotice&) = default;
};

/// Length of the pause that the text of a Retry-After field asks for: a number of seconds, at most max_pause. Text
/// that is no number or a negative one, such as a date, asks for unreadable_pause. Empty text asks for none.
Duration ParsePause(std::string_view retry_after, const UpstreamHoldSettings& settings);

/// The notice in an answer. Only the status 503 can ask for a pause.
UpstreamNotice ReadNotice(int status, bool leaving, std::string_view retry_after,
                          const UpstreamHoldSettings& settings);

/// What the answers of one lifetime have said.
struct UpstreamHold {
  std::optional<TimePoint> leaving_since;  // never unset again
  TimePoint paused_until{};                // never moves back

  friend bool operator==(const UpstreamHold&, const UpstreamHold&) = default;
};

/// Adds a notice that was received at `now`.
UpstreamHold AddNotice(const UpstreamHold& hold, const UpstreamNotice& notice, TimePoint now);

/// Which requests an upstream may get.
enum class UpstreamAdmission : std::uint8_t {
  kAll,
  kLastResort,  // those that no other upstream can serve
  kNone,
};
UpstreamAdmission AdmissionOf(const UpstreamHold& hold, TimePoint now, const UpstreamHoldSettings& settings);

/// Time until which a refused caller is told to wait when the upstreams that could serve it are paused: until the
/// `earliest_return` (from now), but at most a third of the caller's `time_left`, because callers wait no longer, and
/// at least the `usual` time. Spread over an interval by `spread_seed`, so that callers that are refused together
/// don't return together.
Duration RefusalDelay(Duration earliest_return, Duration time_left, Duration usual, std::uint64_t spread_seed);

/// A leaving lifetime as daemons report it to each other.
struct LeavingLifetime {
  LifetimeKey key = 0;
  Duration age{};  // time since its first leaving answer

  friend bool operator==(const LeavingLifetime&, const LeavingLifetime&) = default;
};

/// The notices of all lifetimes that one daemon knows.
class UpstreamHolds {
 public:
  explicit UpstreamHolds(UpstreamHoldSettings settings = {}) : settings_(settings) {}

  void SetSettings(const UpstreamHoldSettings& settings) { settings_ = settings; }
  [[nodiscard]] const UpstreamHoldSettings& settings() const { return settings_; }

  /// Records a notice from an answer. Returns whether the lifetime was not known to be leaving and now is.
  bool Record(LifetimeKey key, const UpstreamNotice& notice, TimePoint now);
  /// Records the report of another daemon. Returns whether the lifetime was not known to be leaving.
  bool Merge(const LeavingLifetime& report, TimePoint now);

  [[nodiscard]] UpstreamHold Find(LifetimeKey key) const;
  [[nodiscard]] bool any_paused(TimePoint now) const { return now < last_pause_end_; }
  [[nodiscard]] std::size_t leaving_count() const { return leaving_since_.size(); }
  /// The leaving lifetimes that are reported to other daemons, ordered by key.
  [[nodiscard]] std::vector<LeavingLifetime> Reports(TimePoint now) const;
  /// Forgets lifetimes that are leaving for longer than leaving_kept_for, and pauses that have ended.
  void Expire(TimePoint now);

 private:
  void MakeRoom();

  UpstreamHoldSettings settings_;
  std::map<LifetimeKey, TimePoint> leaving_since_;  // at most max_leaving
  std::map<LifetimeKey, TimePoint> paused_until_;   // at most max_paused
  TimePoint last_pause_end_{};                      // not before any time in paused_until_
};

}  // namespace pimentomoor
