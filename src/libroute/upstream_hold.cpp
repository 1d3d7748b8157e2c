// Implementation of the notices in upstreams' answers.
#include "pimentomoor/upstream_hold.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <string>

namespace pimentomoor {

namespace {

// Reads a number of seconds that may be infinite. Returns nothing for text that is no number, and for NaN.
std::optional<double> ParseSeconds(std::string_view text) {
  if (text.starts_with('+')) {
    text.remove_prefix(1);
  }
  double seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error == std::errc::invalid_argument || end != text.data() + text.size()) {
    return std::nullopt;
  }
  if (error == std::errc::result_out_of_range) {
    seconds = std::strtod(std::string(text).c_str(), nullptr);  // infinity, or a number close to zero
  }
  return std::isnan(seconds) ? std::nullopt : std::optional(seconds);
}

// Keeps the `count` greatest values of the map.
void KeepGreatest(std::map<LifetimeKey, TimePoint>& values, std::size_t count) {
  while (values.size() > count) {
    values.erase(std::min_element(values.begin(), values.end(),
                                  [](const auto& left, const auto& right) { return left.second < right.second; }));
  }
}

}  // namespace

LifetimeKey MakeLifetimeKey(std::string_view upstream_id, std::uint64_t start_unix_ms) {
  // FNV-1a, because daemons of different builds exchange keys.
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffset;
  for (const char c : upstream_id) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  for (int shift = 0; shift < 64; shift += 8) {
    hash = (hash ^ ((start_unix_ms >> shift) & 0xff)) * kPrime;
  }
  return hash;
}

Duration ParsePause(std::string_view retry_after, const UpstreamHoldSettings& settings) {
  if (retry_after.empty()) {
    return Duration::zero();
  }
  const std::optional<double> seconds = ParseSeconds(retry_after);
  if (!seconds || std::signbit(*seconds)) {
    return settings.unreadable_pause;
  }
  if (*seconds >= std::chrono::duration<double>(settings.max_pause).count()) {
    return settings.max_pause;
  }
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(*seconds));
}

UpstreamNotice ReadNotice(int status, bool leaving, std::string_view retry_after,
                          const UpstreamHoldSettings& settings) {
  constexpr int kServiceUnavailable = 503;
  return {.leaving = leaving,
          .pause = status == kServiceUnavailable ? ParsePause(retry_after, settings) : Duration::zero()};
}

UpstreamHold AddNotice(const UpstreamHold& hold, const UpstreamNotice& notice, TimePoint now) {
  UpstreamHold result = hold;
  if (notice.leaving && !result.leaving_since) {
    result.leaving_since = now;
  }
  if (notice.pause > Duration::zero()) {
    result.paused_until = std::max(result.paused_until, now + notice.pause);
  }
  return result;
}

UpstreamAdmission AdmissionOf(const UpstreamHold& hold, TimePoint now, const UpstreamHoldSettings& settings) {
  if (settings.naive) {
    return UpstreamAdmission::kAll;
  }
  if (now < hold.paused_until) {
    return UpstreamAdmission::kNone;
  }
  if (!hold.leaving_since) {
    return UpstreamAdmission::kAll;
  }
  return now < *hold.leaving_since + settings.drain_time - settings.drain_margin ? UpstreamAdmission::kLastResort
                                                                                 : UpstreamAdmission::kNone;
}

Duration RefusalDelay(Duration earliest_return, Duration time_left, Duration usual, std::uint64_t spread_seed) {
  constexpr Duration kMinSpread = std::chrono::milliseconds(20);
  constexpr Duration kMaxSpread = std::chrono::milliseconds(250);
  constexpr int kSpreadDivisor = 4;    // of the wait
  constexpr int kHonouredDivisor = 3;  // of the time left
  constexpr std::uint64_t kSteps = 1'024;
  const Duration cap = std::max(time_left / kHonouredDivisor, usual + kMinSpread);
  const Duration wanted = std::clamp(earliest_return, usual, cap);
  const Duration spread = std::clamp(wanted / kSpreadDivisor, kMinSpread, kMaxSpread);
  const Duration start = std::max(usual, std::min(wanted, cap - spread));
  const auto step = static_cast<Duration::rep>(spread_seed % kSteps);
  return std::min(cap, start + spread * step / static_cast<Duration::rep>(kSteps));
}

bool UpstreamHolds::Record(LifetimeKey key, const UpstreamNotice& notice, TimePoint now) {
  const UpstreamHold before = Find(key);
  const UpstreamHold after = AddNotice(before, notice, now);
  if (after.leaving_since) {
    leaving_since_[key] = *after.leaving_since;
  }
  if (after.paused_until > now) {
    paused_until_[key] = after.paused_until;
    last_pause_end_ = std::max(last_pause_end_, after.paused_until);
  }
  MakeRoom();
  return after.leaving_since && !before.leaving_since;
}

bool UpstreamHolds::Merge(const LeavingLifetime& report, TimePoint now) {
  const auto found = leaving_since_.find(report.key);
  if (found != leaving_since_.end()) {
    found->second = std::min(found->second, now - std::min(report.age, settings_.leaving_reported_for));
    return false;
  }
  if (report.age >= settings_.leaving_reported_for) {
    return false;
  }
  leaving_since_[report.key] = now - std::max(report.age, Duration::zero());
  MakeRoom();
  return leaving_since_.contains(report.key);
}

void UpstreamHolds::MakeRoom() {
  KeepGreatest(leaving_since_, settings_.max_leaving);
  KeepGreatest(paused_until_, settings_.max_paused);
}

UpstreamHold UpstreamHolds::Find(LifetimeKey key) const {
  UpstreamHold hold;
  if (const auto found = leaving_since_.find(key); found != leaving_since_.end()) {
    hold.leaving_since = found->second;
  }
  if (const auto found = paused_until_.find(key); found != paused_until_.end()) {
    hold.paused_until = found->second;
  }
  return hold;
}

std::vector<LeavingLifetime> UpstreamHolds::Reports(TimePoint now) const {
  std::vector<LeavingLifetime> reports;
  reports.reserve(leaving_since_.size());
  for (const auto& [key, since] : leaving_since_) {
    if (now - since < settings_.leaving_reported_for) {
      reports.push_back({.key = key, .age = now - since});
    }
  }
  return reports;
}

void UpstreamHolds::Expire(TimePoint now) {
  std::erase_if(leaving_since_, [&](const auto& entry) { return now - entry.second >= settings_.leaving_kept_for; });
  std::erase_if(paused_until_, [&](const auto& entry) { return now >= entry.second; });
}

}  // namespace pimentomoor
