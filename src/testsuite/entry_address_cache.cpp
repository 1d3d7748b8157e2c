// Fetches entry addresses and orders them.
#include "entry_address_cache.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <utility>

#include "caller.pb.h"

namespace pimentomoor {

EntryAddressCache::EntryAddressCache(EventLoop& loop, HttpClient& client, EntryAddressCacheOptions options)
    : loop_(loop), client_(client), options_(std::move(options)) {}

void EntryAddressCache::Lookup(Callback done) {
  const TimePoint now = loop_.Now();
  if (!fetching_ && now >= refresh_at_) {
    fetching_ = true;
    Fetch(0);
  }
  // Expired addresses are used between a failed fetch and the next one, as there is no fetch to wait for.
  if (now < valid_until_ || !fetching_) {
    done(addresses_);
  } else {
    waiting_lookups_.push_back(std::move(done));
  }
}

void EntryAddressCache::ReportUnreachable(const std::string& address) {
  const auto reported = std::stable_partition(addresses_.begin(), addresses_.end(),
                                              [&](const std::string& known) { return known != address; });
  if (reported == addresses_.end()) {
    return;  // the address was replaced by a later fetch
  }
  unreachable_.insert(address);
  if (unreachable_.size() >= addresses_.size()) {
    refresh_at_ = loop_.Now();
    valid_until_ = loop_.Now();
  }
}

std::string EntryAddressCache::EntriesPath() const {
  std::string path = "/v1/entries?customer=" + UrlEncode(options_.customer) + "&caller=" + UrlEncode(options_.caller);
  if (!options_.failure_domain.empty()) {
    path += "&failure_domain=" + UrlEncode(options_.failure_domain);
  }
  return path;
}

void EntryAddressCache::Fetch(std::size_t attempt) {
  const std::size_t index = (options_.first_bootstrap_index + attempt) % options_.bootstrap_entries.size();
  client_.Call(
      {.target = options_.bootstrap_entries[index], .path = EntriesPath(), .timeout = std::chrono::milliseconds(500)},
      [this, attempt](const HttpResult& result) { OnFetched(attempt, result); });
}

void EntryAddressCache::OnFetched(std::size_t attempt, const HttpResult& result) {
  proto::EntriesAnswer answer;
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  const bool parsed = result.ok() && google::protobuf::util::JsonStringToMessage(result.body, &answer, options).ok();
  if (!parsed || answer.entries().empty()) {
    ++failed_fetches_;
    if (attempt + 1 < options_.bootstrap_entries.size()) {
      Fetch(attempt + 1);
      return;
    }
    // The last known addresses stay in use because they may still work. The next fetch is delayed, so that queries
    // don't each cause a fetch while no entry answers.
    refresh_at_ = loop_.Now() + std::chrono::milliseconds(200);
  } else {
    addresses_.clear();
    unreachable_.clear();
    for (const auto& entry : answer.entries()) {
      addresses_.push_back(entry.address());
    }
    const Duration lifetime = std::chrono::milliseconds(answer.ttl_ms());
    refresh_at_ = loop_.Now() + lifetime * 8 / 10;
    valid_until_ = loop_.Now() + lifetime;
  }
  fetching_ = false;
  for (auto& callback : std::exchange(waiting_lookups_, {})) {
    callback(addresses_);
  }
}

}  // namespace pimentomoor
