// Cache of the entry addresses of one caller, fetched from `GET /v1/entries` and kept for their lifetime (ttl_ms).
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"

namespace pimentomoor {

struct EntryAddressCacheOptions {
  std::vector<std::string> bootstrap_entries;  // "IP:port" of entries to fetch addresses from, tried in turn
  std::size_t first_bootstrap_index = 0;       // entry of `bootstrap_entries` that is tried first
  std::string customer;
  std::string caller;          // name of the caller, by which entries spread callers over their addresses
  std::string failure_domain;  // failure domain of the caller; not sent when empty
};

class EntryAddressCache {
 public:
  /// Receives the addresses to use, best first; empty when no entry answered and none is known.
  using Callback = std::function<void(const std::vector<std::string>& addresses)>;

  EntryAddressCache(EventLoop& loop, HttpClient& client, EntryAddressCacheOptions options);

  /// Calls `done` at once while the addresses are valid, otherwise after a fetch. After 80% of their lifetime the
  /// addresses are fetched again in the background, so that requests rarely wait for a fetch.
  void Lookup(Callback done);

  /// Moves an address that refused a connection or timed out behind the others for the rest of the lifetime. When all
  /// addresses were reported, the next lookup fetches again.
  void ReportUnreachable(const std::string& address);

  [[nodiscard]] std::uint64_t failed_fetches() const { return failed_fetches_; }

 private:
  void Fetch(std::size_t attempt);
  void OnFetched(std::size_t attempt, const HttpResult& result);
  [[nodiscard]] std::string EntriesPath() const;

  EventLoop& loop_;
  HttpClient& client_;
  EntryAddressCacheOptions options_;
  std::vector<std::string> addresses_;  // best first; kept after their lifetime until a fetch succeeds
  std::set<std::string> unreachable_;   // subset of addresses_ that ReportUnreachable() named
  TimePoint refresh_at_;
  TimePoint valid_until_;
  bool fetching_ = false;
  std::uint64_t failed_fetches_ = 0;
  std::vector<Callback> waiting_lookups_;  // lookups that wait for the running fetch
};

}  // namespace pimentomoor
