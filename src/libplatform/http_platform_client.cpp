// Implements the HTTP client of the platform's object store.
#include "pimentomoor/http_platform_client.h"

#include <charconv>
#include <stdexcept>

#include "pimentomoor/config_lists.h"

namespace pimentomoor {
namespace {

constexpr std::size_t kMaxAnswerBytes = kMaxObjectBytes + 1'024;
constexpr std::size_t kMaxKeyBytes = 200;

bool IsConflict(int status) { return status == 409 || status == 412; }

// Whether the same call can succeed later.
bool IsTransient(int status) { return status >= 500 || status == 408 || status == 429; }

std::string Describe(const HttpResult& result) {
  return result.failure == HttpFailure::kNone ? "status " + std::to_string(result.status) : result.error;
}

}  // namespace

std::string_view ToString(PlatformStatus status) {
  switch (status) {
    case PlatformStatus::kOk:
      return "ok";
    case PlatformStatus::kNotFound:
      return "not found";
    case PlatformStatus::kConflict:
      return "conflict";
    case PlatformStatus::kUnavailable:
      return "unavailable";
    case PlatformStatus::kInvalid:
      return "invalid";
  }
  return "unknown";
}

std::optional<std::uint64_t> ParseVersionTag(std::string_view tag) {
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  const char* end = tag.data() + tag.size() - 1;
  std::uint64_t version = 0;
  const auto [rest, error] = std::from_chars(tag.data() + 1, end, version);
  return error == std::errc() && rest == end ? std::optional(version) : std::nullopt;
}

bool IsObjectKey(std::string_view key) {
  if (key.empty() || key.size() > kMaxKeyBytes || key.front() == '/' || key.back() == '/') {
    return false;
  }
  char previous = '/';
  for (const char c : key) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    // A segment that begins with '.' is not allowed: "." and ".." could be normalised away.
    const bool allowed = letter || c == '_' || c == '-' || c == ':' || ((c == '.' || c == '/') && previous != '/');
    if (!allowed) {
      return false;
    }
    previous = c;
  }
  return true;
}

/// A Get or Put whose callback was not called yet.
struct HttpPlatformClient::Request {
  bool is_put = false;
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
  PlatformCallback done;
  TimePoint deadline;
  unsigned failed_attempts = 0;
  std::string endpoint;  // endpoint of the newest attempt
  std::string last_error;
  HttpCallId call = 0;  // 0 while no attempt is running
  TimerId timer = 0;    // starts the next attempt or reports a refused request; 0 while neither is pending

  [[nodiscard]] std::string Name() const { return (is_put ? "put " : "get ") + key; }
};

struct HttpPlatformClient::WatchState {
  std::uint64_t id = 0;            // unique among the client's requests and watches
  std::uint64_t last_version = 0;  // newest reported version, or the one that the watch began after
  PlatformCallback changed;
  unsigned consecutive_failures = 0;
  TimePoint sent_at;     // send time of the newest poll
  std::string endpoint;  // endpoint of the newest poll
  HttpCallId call = 0;   // 0 while no poll is running
  TimerId timer = 0;     // starts the next poll; 0 while a poll is running
};

HttpPlatformClient::HttpPlatformClient(EventLoop& loop, HttpClient& http, HttpPlatformClientOptions options)
    : loop_(loop), http_(http), options_(std::move(options)) {
  if (options_.endpoints.empty()) {
    throw std::invalid_argument("platform client: no endpoint");
  }
  for (const std::string& endpoint : options_.endpoints) {
    if (!IsSocketAddress(endpoint)) {
      throw std::invalid_argument("platform client: endpoint " + QuoteForError(endpoint) + " is not \"IP:port\"");
    }
  }
}

HttpPlatformClient::~HttpPlatformClient() {
  for (const auto& [id, request] : requests_) {
    http_.Cancel(request->call);
    loop_.Cancel(request->timer);
  }
  for (const auto& [key, watch] : watches_) {
    http_.Cancel(watch->call);
    loop_.Cancel(watch->timer);
  }
}

void HttpPlatformClient::Get(const std::string& key, PlatformCallback done) {
  auto request = std::make_unique<Request>();
  request->key = key;
  request->done = std::move(done);
  StartRequest(std::move(request));
}

void HttpPlatformClient::Put(const std::string& key, std::uint64_t expected_version, std::string value,
                             PlatformCallback done) {
  auto request = std::make_unique<Request>();
  request->is_put = true;
  request->key = key;
  request->expected_version = expected_version;
  request->value = std::move(value);
  request->done = std::move(done);
  StartRequest(std::move(request));
}

void HttpPlatformClient::StartRequest(std::unique_ptr<Request> request) {
  const std::uint64_t id = next_id_++;
  request->deadline = loop_.Now() + options_.total_timeout;
  Request& added = *(requests_[id] = std::move(request));
  std::string problem;
  if (!IsObjectKey(added.key)) {
    problem = "key " + QuoteForError(added.key) + " is not allowed";
  } else if (added.value.size() > kMaxObjectBytes) {
    problem =
        std::to_string(added.value.size()) + " bytes in the value, more than " + std::to_string(kMaxObjectBytes);
  }
  if (problem.empty()) {
    SendAttempt(id);
    return;
  }
  // The refusal is reported in a later turn, so that no callback runs inside the caller's call.
  added.timer = loop_.CallAfter(Duration::zero(), [this, id, problem] {
    const Request& refused = *requests_.at(id);
    Finish(id, {.status = PlatformStatus::kInvalid, .object = {.key = refused.key}, .error = problem});
  });
}

void HttpPlatformClient::SendAttempt(std::uint64_t id) {
  Request& request = *requests_.at(id);
  request.timer = 0;
  request.endpoint = options_.endpoints[endpoint_index_];
  HttpCall call{.target = request.endpoint,
                .method = request.is_put ? "PUT" : "GET",
                .path = "/objects/" + request.key,
                .timeout = std::min(options_.timeout, request.deadline - loop_.Now()),
                .max_response_bytes = kMaxAnswerBytes};
  if (request.is_put) {
    call.headers.push_back(request.expected_version == 0
                               ? std::pair<std::string, std::string>("if-none-match", "*")
                               : std::pair<std::string, std::string>(
                                     "if-match", "\"" + std::to_string(request.expected_version) + "\""));
    call.body = request.value;
    // On a kept connection that the platform is closing, the outcome of the update would be unknown.
    call.new_connection = true;
  }
  request.call = http_.Call(std::move(call), [this, id](HttpResult result) { OnAnswer(id, std::move(result)); });
}

void HttpPlatformClient::OnAnswer(std::uint64_t id, HttpResult result) {
  Request& request = *requests_.at(id);
  request.call = 0;
  PlatformReply reply{.object = {.key = request.key}};
  if (result.failure != HttpFailure::kNone) {
    MoveToNextEndpoint(request.endpoint);
  }
  const auto version = ParseVersionTag(FindHeader(result.headers, "etag"));
  if (result.ok() && version) {
    reply.status = PlatformStatus::kOk;
    reply.object.version = *version;
    reply.object.value = request.is_put ? std::move(request.value) : std::move(result.body);
  } else if (request.is_put && IsConflict(result.status)) {
    if (!version) {
      FetchConflictingVersion(id);
      return;
    }
    reply.status = PlatformStatus::kConflict;
    reply.object.version = *version;
    reply.object.value = std::move(result.body);
    reply.error = request.Name() + ": version " + std::to_string(request.expected_version) + " expected, version " +
                  std::to_string(*version) + " found";
  } else if (!request.is_put && result.status == 404) {
    reply.status = PlatformStatus::kNotFound;
    reply.error = request.Name() + ": no such object";
  } else if (result.status >= 400 && !IsTransient(result.status)) {
    reply.status = PlatformStatus::kInvalid;
    reply.error = request.Name() + ": " + Describe(result);
  } else if (request.is_put && !NothingSent(result.failure)) {
    reply.error = request.Name() + ": " + (result.ok() ? "answer without a version" : Describe(result));
  } else {
    RetryLater(id, result.ok() ? "answer without a version" : Describe(result));
    return;
  }
  Finish(id, reply);
}

// Reads the current object after a conflict whose answer did not contain it, then finishes the update.
void HttpPlatformClient::FetchConflictingVersion(std::uint64_t id) {
  Get(requests_.at(id)->key, [this, id](const PlatformReply& current) {
    PlatformReply reply = current;
    if (current.status == PlatformStatus::kOk || current.status == PlatformStatus::kNotFound) {
      reply.status = PlatformStatus::kConflict;
      reply.error = requests_.at(id)->Name() + ": conflict with version " + std::to_string(current.object.version);
    }
    Finish(id, reply);
  });
}

void HttpPlatformClient::RetryLater(std::uint64_t id, const std::string& error) {
  Request& request = *requests_.at(id);
  request.last_error = error;
  const Duration delay = RetryDelay(request.failed_attempts++);
  if (loop_.Now() + delay >= request.deadline) {
    Finish(id,
           {.status = PlatformStatus::kUnavailable,
            .object = {.key = request.key},
            .error = request.Name() + ": " + std::to_string(request.failed_attempts) + " attempts, last: " + error});
    return;
  }
  CountCall(request.is_put ? "put" : "get", "retry");
  request.timer = loop_.CallAfter(delay, [this, id] { SendAttempt(id); });
}

void HttpPlatformClient::Finish(std::uint64_t id, const PlatformReply& reply) {
  const std::unique_ptr<Request> request = std::move(requests_.at(id));
  requests_.erase(id);
  CountCall(request->is_put ? "put" : "get", ToString(reply.status));
  request->done(reply);
}

void HttpPlatformClient::Watch(const std::string& key, std::uint64_t after_version, PlatformCallback changed) {
  StopWatch(key);
  if (!IsObjectKey(key)) {
    throw std::invalid_argument("watch: key " + QuoteForError(key) + " is not allowed");
  }
  auto watch = std::make_unique<WatchState>();
  watch->id = next_id_++;
  watch->last_version = after_version;
  watch->changed = std::move(changed);
  const std::uint64_t id = watch->id;
  watches_[key] = std::move(watch);
  PollWatch(key, id);
}

void HttpPlatformClient::StopWatch(const std::string& key) {
  const auto found = watches_.find(key);
  if (found == watches_.end()) {
    return;
  }
  http_.Cancel(found->second->call);
  loop_.Cancel(found->second->timer);
  watches_.erase(found);
}

void HttpPlatformClient::PollWatch(const std::string& key, std::uint64_t id) {
  WatchState& watch = *watches_.at(key);
  watch.timer = 0;
  watch.sent_at = loop_.Now();
  watch.endpoint = options_.endpoints[endpoint_index_];
  watch.call = http_.Call({.target = watch.endpoint,
                           .path = "/watch?key=" + key + "&after=" + std::to_string(watch.last_version),
                           .timeout = options_.watch_timeout,
                           .max_response_bytes = kMaxAnswerBytes},
                          [this, key, id](const HttpResult& result) { OnWatchAnswer(key, id, result); });
}

void HttpPlatformClient::OnWatchAnswer(const std::string& key, std::uint64_t id, const HttpResult& result) {
  WatchState& watch = *watches_.at(key);
  watch.call = 0;
  const auto version = ParseVersionTag(FindHeader(result.headers, "etag"));
  Duration delay = Duration::zero();
  PlatformReply changed_reply;
  if (result.status == 200 && version && *version > watch.last_version) {
    watch.consecutive_failures = 0;
    watch.last_version = *version;
    changed_reply = {.status = PlatformStatus::kOk,
                     .object = {.key = key, .version = *version, .value = result.body}};
    CountCall("watch", "changed");
  } else if (result.status == 204 && loop_.Now() - watch.sent_at >= options_.min_retry_delay) {
    watch.consecutive_failures = 0;
    CountCall("watch", "unchanged");
  } else {
    // An old version and an empty answer that came at once count as failures too: repeating the call without a delay
    // would flood the platform.
    delay = RetryDelay(watch.consecutive_failures++);
    CountCall("watch", result.status == 200 && version ? "stale" : "failed");
    if (result.failure != HttpFailure::kNone || IsTransient(result.status)) {
      MoveToNextEndpoint(watch.endpoint);
    }
  }
  watch.timer = loop_.CallAfter(delay, [this, key, id] { PollWatch(key, id); });
  if (changed_reply.status == PlatformStatus::kOk) {
    const PlatformCallback changed = watch.changed;  // a copy: the callback may stop the watch
    changed(changed_reply);
  }
}

Duration HttpPlatformClient::RetryDelay(unsigned attempt) {
  return BackoffDelay(attempt, options_.min_retry_delay, options_.max_retry_delay, jitter_());
}

void HttpPlatformClient::MoveToNextEndpoint(const std::string& failed_endpoint) {
  // Several calls that failed at the same endpoint advance the index only once.
  if (options_.endpoints[endpoint_index_] == failed_endpoint) {
    endpoint_index_ = (endpoint_index_ + 1) % options_.endpoints.size();
  }
}

void HttpPlatformClient::CountCall(std::string_view call, std::string_view result) {
  if (options_.metrics != nullptr) {
    options_.metrics->Count("pimentomoor_platform_calls_total", 1,
                            "call=\"" + std::string(call) + "\",result=\"" + std::string(result) + "\"");
  }
}

}  // namespace pimentomoor
