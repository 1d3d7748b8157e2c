// Serves the objects, watches, host list and faults of the stand-in platform.
#include "standin_platform.h"

#include <algorithm>

#include "pimentomoor/config_lists.h"
#include "pimentomoor/host_list_client.h"
#include "pimentomoor/http_platform_client.h"

namespace pimentomoor {
namespace {

constexpr std::uint64_t kMaxFaultMs = 600'000;

std::string FormatETag(std::uint64_t version) { return "\"" + std::to_string(version) + "\""; }

HttpResponse ErrorResponse(int status, const std::string& text) {
  return {.status = status, .content_type = "text/plain", .body = text + "\n"};
}

HttpResponse ObjectResponse(int status, std::uint64_t version, std::string value) {
  return {.status = status,
          .content_type = "application/octet-stream",
          .headers = {{"etag", FormatETag(version)}},
          .body = std::move(value)};
}

}  // namespace

struct StandinPlatform::Object {
  std::uint64_t version = 0;
  std::string value;
  std::uint64_t previous_version = 0;  // 0 while the object has been written only once
  std::string previous_value;
};

struct StandinPlatform::WaitingWatch {
  std::string key;
  std::uint64_t after = 0;  // version that the caller has
  HttpResponder respond;
  TimerId timer = 0;
};

PlatformFaults ParsePlatformFaults(std::string_view text, std::string_view source) {
  const YamlNode root = ParseStrictYaml(text, source);
  PlatformFaults faults;
  if (root.kind == YamlNode::Kind::kNull) {
    return faults;
  }
  YamlMapReader map(root, source, "");
  const std::string outage = map.OptionalText("outage", kMaxNameBytes);
  if (outage == "refuse") {
    faults.outage = PlatformOutage::kRefuse;
  } else if (outage == "hang") {
    faults.outage = PlatformOutage::kHang;
  } else if (!outage.empty() && outage != "none") {
    map.Fail(map.Require("outage").line, "outage", QuoteForError(outage) + " is not none, refuse or hang");
  }
  faults.delay = std::chrono::milliseconds(map.OptionalUnsigned("delay_ms", 0, 0, kMaxFaultMs));
  const YamlNode* lose_answers = map.Find("lose_answers");
  if (lose_answers != nullptr && (lose_answers->scalar == "true" || lose_answers->scalar == "false")) {
    faults.lose_answers = lose_answers->scalar == "true" ? UINT64_MAX : 0;
  } else {
    faults.lose_answers = map.OptionalUnsigned("lose_answers", 0, 0, UINT64_MAX);
  }
  faults.stale_watch = map.OptionalBool("stale_watch", false);
  faults.host_list_lag = std::chrono::milliseconds(map.OptionalUnsigned("host_list_lag_ms", 0, 0, kMaxFaultMs));
  map.RefuseUnknownKeys();
  return faults;
}

StandinPlatform::StandinPlatform(EventLoop& loop, StandinPlatformOptions options)
    : loop_(loop), options_(std::move(options)) {
  // The server accepts larger bodies than values, so that a value above the limit gets 413 and not a closed
  // connection.
  options_.data.max_body_bytes = std::max(options_.data.max_body_bytes, 4 * options_.max_value_bytes);
  host_list_history_.emplace_back(loop_.Now(), "{\"hosts\":[]}");
  StartDataListener();
  data_address_ = data_server_->address();
  options_.data.port = data_server_->port();
  control_server_ = std::make_unique<HttpServer>(loop_, options_.control);
  RegisterControlHandlers(*control_server_);
}

StandinPlatform::~StandinPlatform() {
  *alive_ = false;
  for (const auto& [id, watch] : watches_) {
    loop_.Cancel(watch.timer);
  }
}

std::string StandinPlatform::address() const { return data_address_; }
std::string StandinPlatform::control_address() const { return control_server_->address(); }

void StandinPlatform::StartDataListener() {
  data_server_ = std::make_unique<HttpServer>(loop_, options_.data);
  RegisterControlHandlers(*data_server_);
  for (const char* path : {"/objects/", "/watch", "/hosts"}) {
    data_server_->Handle(
        path, [this](const HttpRequest& request, const HttpResponder& respond) { HandleData(request, respond); });
  }
}

void StandinPlatform::RegisterControlHandlers(HttpServer& server) {
  server.Handle("/faults",
                [this](const HttpRequest& request, const HttpResponder& respond) { HandleFaults(request, respond); });
  server.Handle("/hosts",
                [this](const HttpRequest& request, const HttpResponder& respond) { HandleHosts(request, respond); });
  server.Handle("/calls", [this](const HttpRequest& /*request*/, const HttpResponder& respond) {
    respond({.body = "{\"get\":" + std::to_string(calls_.get) + ",\"put\":" + std::to_string(calls_.put) +
                     ",\"watch\":" + std::to_string(calls_.watch) + ",\"hosts\":" + std::to_string(calls_.hosts) +
                     ",\"conflicts\":" + std::to_string(calls_.conflicts) +
                     ",\"lost_answers\":" + std::to_string(calls_.lost_answers) + "}\n"});
  });
}

void StandinPlatform::SetFaults(const PlatformFaults& faults) {
  faults_ = faults;
  if (faults.outage == PlatformOutage::kRefuse) {
    data_server_.reset();
  } else if (!data_server_) {
    StartDataListener();
  }
}

void StandinPlatform::SetHostList(std::string json) {
  ParseHostList(json, "hosts");
  host_list_history_.emplace_back(loop_.Now(), std::move(json));
}

std::uint64_t StandinPlatform::Write(const std::string& key, std::string value) {
  Object& object = objects_[key];
  object.previous_version = object.version;
  object.previous_value = std::move(object.value);
  object.version = ++last_version_;
  object.value = std::move(value);
  RespondToWatches(key);
  return object.version;
}

std::pair<std::uint64_t, std::string> StandinPlatform::Read(const std::string& key) const {
  const auto found = objects_.find(key);
  return found == objects_.end() ? std::pair<std::uint64_t, std::string>()
                                 : std::pair(found->second.version, found->second.value);
}

void StandinPlatform::HandleData(const HttpRequest& request, const HttpResponder& respond) {
  if (request.path == "/hosts" && request.method == "PUT") {
    HandleHosts(request, respond);
    return;
  }
  if (faults_.delay == Duration::zero()) {
    Dispatch(request, respond);
    return;
  }
  loop_.CallAfter(faults_.delay, [this, alive = alive_, request, respond] {
    if (*alive) {
      Dispatch(request, respond);
    }
  });
}

void StandinPlatform::Dispatch(const HttpRequest& request, const HttpResponder& respond) {
  constexpr std::string_view kPrefix = "/objects/";
  const bool is_object = request.path.starts_with(kPrefix);
  const std::string key = is_object ? request.path.substr(kPrefix.size()) : std::string();
  const bool is_put = is_object && request.method == "PUT";
  std::uint64_t& counter = is_put                     ? calls_.put
                           : is_object                ? calls_.get
                           : request.path == "/watch" ? calls_.watch
                                                      : calls_.hosts;
  ++counter;
  if (faults_.outage != PlatformOutage::kNone) {
    return;
  }
  if (request.method != "GET" && !is_put) {
    respond(ErrorResponse(405, "method " + QuoteForError(request.method)));
  } else if (is_object && !IsObjectKey(key)) {
    respond(ErrorResponse(400, "key " + QuoteForError(key)));
  } else if (is_put) {
    HandlePut(key, request, respond);
  } else if (is_object) {
    HandleGet(key, respond);
  } else if (request.path == "/watch") {
    HandleWatch(request, respond);
  } else {
    respond({.body = VisibleHostList()});
  }
}

void StandinPlatform::HandleGet(const std::string& key, const HttpResponder& respond) {
  const auto [version, value] = Read(key);
  respond(version == 0 ? ErrorResponse(404, "no object " + key) : ObjectResponse(200, version, value));
}

void StandinPlatform::HandlePut(const std::string& key, const HttpRequest& request, const HttpResponder& respond) {
  if (request.body.size() > options_.max_value_bytes) {
    respond(ErrorResponse(413, std::to_string(request.body.size()) + " bytes"));
    return;
  }
  const std::string_view if_match = FindHeader(request.headers, "if-match");
  const bool create = FindHeader(request.headers, "if-none-match") == "*";
  const auto expected = ParseVersionTag(if_match);
  if (create ? !if_match.empty() : !expected) {
    respond(ErrorResponse(428, "needs either If-Match with a version or If-None-Match: *"));
    return;
  }
  const auto [version, value] = Read(key);
  if (version != (create ? 0 : *expected)) {
    ++calls_.conflicts;
    respond(ObjectResponse(create ? 409 : 412, version, value));
    return;
  }
  const std::uint64_t written = Write(key, request.body);
  if (faults_.lose_answers > 0) {
    --faults_.lose_answers;
    ++calls_.lost_answers;
    data_server_->CloseConnections();  // closes all of them: HttpServer can't close a single connection
    return;
  }
  respond({.status = create ? 201 : 200, .headers = {{"etag", FormatETag(written)}}});
}

void StandinPlatform::HandleWatch(const HttpRequest& request, const HttpResponder& respond) {
  const std::string key = QueryParameter(request.query, "key");
  const auto after = ParseVersionTag("\"" + QueryParameter(request.query, "after") + "\"");
  if (!IsObjectKey(key) || !after) {
    respond(ErrorResponse(400, "watch needs key and after"));
    return;
  }
  const auto found = objects_.find(key);
  if (faults_.stale_watch && found != objects_.end() && found->second.previous_version != 0) {
    faults_.stale_watch = false;
    respond(ObjectResponse(200, found->second.previous_version, found->second.previous_value));
    return;
  }
  const std::uint64_t id = next_watch_id_++;
  const TimerId timer = loop_.CallAfter(options_.watch_limit, [this, id] {
    const auto watch = watches_.extract(id);
    watch.mapped().respond({.status = 204});
  });
  watches_.emplace(id, WaitingWatch{.key = key, .after = *after, .respond = respond, .timer = timer});
  RespondToWatches(key);
}

void StandinPlatform::RespondToWatches(const std::string& key) {
  const auto [version, value] = Read(key);
  if (faults_.outage != PlatformOutage::kNone) {
    return;
  }
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    if (watch->second.key == key && watch->second.after < version) {
      loop_.Cancel(watch->second.timer);
      watch->second.respond(ObjectResponse(200, version, value));
      watch = watches_.erase(watch);
    } else {
      ++watch;
    }
  }
}

void StandinPlatform::HandleHosts(const HttpRequest& request, const HttpResponder& respond) {
  try {
    if (request.method == "PUT") {
      SetHostList(request.body);
    }
    respond({.body = request.method == "PUT" ? "" : VisibleHostList()});
  } catch (const ConfigError& error) {
    respond(ErrorResponse(400, error.what()));
  }
}

void StandinPlatform::HandleFaults(const HttpRequest& request, const HttpResponder& respond) {
  if (request.method != "PUT") {
    respond(ErrorResponse(405, "method " + QuoteForError(request.method)));
    return;
  }
  try {
    const PlatformFaults faults = ParsePlatformFaults(request.body, "PUT /faults");
    respond({});
    // The faults apply in a later turn, so that the response is sent before a refusal closes its connection.
    loop_.Post([this, alive = alive_, faults] {
      if (*alive) {
        SetFaults(faults);
      }
    });
  } catch (const ConfigError& error) {
    respond(ErrorResponse(400, error.what()));
  }
}

const std::string& StandinPlatform::VisibleHostList() {
  const TimePoint latest_visible = loop_.Now() - faults_.host_list_lag;
  // The index never decreases: a longer lag delays later lists and doesn't make an older list visible again.
  while (visible_index_ + 1 < host_list_history_.size() &&
         host_list_history_[visible_index_ + 1].first <= latest_visible) {
    ++visible_index_;
  }
  return host_list_history_[visible_index_].second;
}

}  // namespace pimentomoor
