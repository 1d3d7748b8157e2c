// Stand-in for the platform's store on a loopback address: lists the objects of a kind in pages, serves watches, and
// has faults. One revision counts the changes of all kinds. It can go back to an older copy of itself.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "json_fields.h"
#include "pimentomoor/caller_server.h"
#include "pimentomoor/http.h"
#include "standin_formats.h"

namespace pimentomoor {

class GatewayStore {
 public:
  enum class Mode { kNormal, kUnavailable, kSilent };

  GatewayStore(EventLoop& loop, Metrics& metrics, const FieldNames& names, const std::string& address)
      : loop_(loop),
        server_(loop, metrics, names, {.address = address}, [this](const auto& call) { Handle(call); }) {}

  /// Creates, replaces or deletes an object, and answers the watches of its kind. `spec` is JSON and isn't checked.
  void ChangeObject(const std::string& kind, const std::string& name, const std::string& spec, bool deleted = false) {
    const auto found = objects_[kind].find(name);
    RecordChange(kind, name);
    ++revision_;
    Object object{.spec = spec, .revision = revision_, .created_revision = revision_};
    if (found != objects_[kind].end()) {
      object.status = found->second.status;
      object.created_revision = found->second.created_revision;
    }
    if (deleted) {
      objects_[kind].erase(name);
    } else {
      objects_[kind][name] = object;
    }
    Publish(kind, Format(name, object), deleted);
  }

  /// Status of an object in JSON; "null" when it has none.
  [[nodiscard]] std::string StatusOf(const std::string& kind, const std::string& name) {
    const auto found = objects_[kind].find(name);
    return found == objects_[kind].end() ? "null" : found->second.status;
  }

  /// Refuses to create objects for its callers from now on, or no longer.
  void SetRefusesCreation(bool refuses) { refuses_creation_ = refuses; }

  /// Does the next `count` writes of a status without answering them.
  void LoseStatusAnswers(unsigned count) { lost_status_answers_ = count; }
  [[nodiscard]] unsigned status_writes() const { return status_writes_; }

  /// In mode kUnavailable the store answers 503, in kSilent it doesn't answer. A change of mode leaves the waiting
  /// watches without an answer.
  void SetMode(Mode mode) {
    mode_ = mode;
    for (const auto& [id, watch] : watches_) {
      unanswered_.push_back(watch.exchange);
    }
    watches_.clear();
  }

  /// All answers state this era from now on. 0: none, as before the first call.
  void SetEra(unsigned era) { era_ = era; }

  /// Goes back to the state of `age` ago and begins the next era. Watches that already wait go on as if nothing had
  /// happened; new ones from a revision that the copy doesn't have get 410.
  void Restore(Duration age) {
    for (; !changes_.empty() && changes_.back().at > loop_.Now() - age; changes_.pop_back()) {
      const Change& change = changes_.back();
      revision_ = change.revision_before;
      if (!change.object_before) {
        objects_[change.kind].erase(change.name);
      } else {
        objects_[change.kind][change.name] = *change.object_before;
      }
    }
    for (auto& [kind, events] : history_) {
      events.erase(events.upper_bound(revision_), events.end());
    }
    ++era_;
  }

  /// Drops the history: new watches from earlier revisions get 410. Watches that already wait miss all later changes
  /// without an error.
  void DropHistory() {
    history_.clear();
    oldest_watch_revision_ = ++revision_;
    for (auto& [id, watch] : watches_) {
      watch.misses_changes = true;
    }
  }

 private:
  static constexpr std::string_view kObjectsPath = platform_names::kObjectsPath;
  static constexpr std::size_t kPageSize = 50;

  struct Object {
    std::string spec;
    std::string status = "null";
    std::uint64_t revision = 0;
    std::uint64_t created_revision = 0;
  };

  /// A change that Restore() can undo.
  struct Change {
    TimePoint at;
    std::uint64_t revision_before = 0;
    std::string kind;
    std::string name;
    std::optional<Object> object_before;  // empty: there was none
  };

  struct Watch {
    std::shared_ptr<CallerExchange> exchange;
    std::string kind;
    std::uint64_t after = 0;
    bool misses_changes = false;
  };

  static std::string Format(const std::string& name, const Object& object) {
    return FormatObject(name, object.revision, object.spec, object.status, object.created_revision);
  }

  void Publish(const std::string& kind, const std::string& object, bool deleted) {
    history_[kind][revision_] = FormatEvent(object, deleted);
    std::erase_if(watches_, [&](const auto& entry) { return RespondWatch(entry.second, false); });
  }

  // Remembers the state before a change, for Restore().
  void RecordChange(const std::string& kind, const std::string& name) {
    const auto& objects = objects_[kind];
    const auto known = objects.find(name);
    changes_.push_back({.at = loop_.Now(),
                        .revision_before = revision_,
                        .kind = kind,
                        .name = name,
                        .object_before = known == objects.end() ? std::nullopt : std::optional(known->second)});
  }

  // Writes the status of an object, on the condition that it has the revision that the call names.
  void WriteStatus(const std::shared_ptr<CallerExchange>& exchange, const std::string& kind,
                   const std::string& name) {
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) {
      Respond(*exchange, {.status = 404});
      return;
    }
    Object& object = found->second;
    const auto document = ParseJson(exchange->request.body, "status");
    if (RequireUint64(RequireField(document, platform_names::kMeta), platform_names::kRevision) != object.revision) {
      Respond(*exchange, {.status = 409, .body = Format(name, object)});
      return;
    }
    const std::string& body = exchange->request.body;
    const std::string key = std::string("\"") + platform_names::kStatus + "\":";
    const std::size_t begin = body.find(key) + key.size();
    RecordChange(kind, name);
    object.status = body.substr(begin, body.rfind('}') - begin);
    object.revision = ++revision_;
    ++status_writes_;
    const std::string text = Format(name, object);
    Publish(kind, text, false);
    if (lost_status_answers_ > 0) {
      --lost_status_answers_;
      unanswered_.push_back(exchange);
    } else {
      Respond(*exchange, {.body = text});
    }
  }

  // Creates the object that the body names, unless there is one.
  void Create(const std::shared_ptr<CallerExchange>& exchange, const std::string& kind) {
    const std::string& body = exchange->request.body;
    const auto document = ParseJson(body, "object");
    const std::string name = RequireString(RequireField(document, platform_names::kMeta), platform_names::kName);
    if (const auto found = objects_[kind].find(name); found != objects_[kind].end()) {
      Respond(*exchange, {.status = 409, .body = Format(name, found->second)});
      return;
    }
    const std::string key = std::string("\"") + platform_names::kSpec + "\":";
    const std::size_t begin = body.find(key) + key.size();
    ChangeObject(kind, name, body.substr(begin, body.rfind('}') - begin));
    Respond(*exchange, {.body = Format(name, objects_[kind][name])});
  }

  // Answers a watch that has events or whose wait has expired. Returns whether it did.
  bool RespondWatch(const Watch& watch, bool wait_expired) {
    std::string events;
    const auto& changes = history_[watch.kind];
    for (auto next = changes.upper_bound(watch.after); !watch.misses_changes && next != changes.end(); ++next) {
      events += (events.empty() ? "" : ",") + next->second;
    }
    if (events.empty() && !wait_expired) {
      return false;
    }
    // The answer to a watch that missed changes has its old revision, so that the next watch from there gets 410.
    const std::uint64_t revision = watch.misses_changes ? watch.after : revision_;
    Respond(*watch.exchange, {.body = FormatEvents(events, revision)});
    return true;
  }

  void Respond(CallerExchange& exchange, OutgoingResponse response) const {
    if (era_ > 0) {
      response.fields += std::string(platform_names::kStoreEraField) + ": " + std::to_string(era_) + "\r\n";
    }
    exchange.Respond(response);
  }

  void Handle(const std::shared_ptr<CallerExchange>& exchange) {
    const RequestMessage& request = exchange->request;
    if (mode_ == Mode::kSilent) {
      unanswered_.push_back(exchange);
      return;
    }
    if (mode_ == Mode::kUnavailable || !request.path().starts_with(kObjectsPath)) {
      Respond(*exchange, {.status = mode_ == Mode::kUnavailable ? 503 : 404});
      return;
    }
    const std::string path(request.path().substr(kObjectsPath.size()));
    const std::string kind = path.substr(0, path.find('/'));
    const std::string query = request.target.substr(std::min(request.path().size() + 1, request.target.size()));
    const std::string name = path.substr(std::min(kind.size() + 1, path.size()));
    constexpr std::string_view kStatusSuffix = "/status";
    if (request.method == "PUT" && name.ends_with(kStatusSuffix)) {
      WriteStatus(exchange, kind, name.substr(0, name.size() - kStatusSuffix.size()));
    } else if (request.method == "POST" && refuses_creation_) {
      Respond(*exchange, {.status = 404});
    } else if (request.method == "POST") {
      Create(exchange, kind);
    } else if (request.method != "GET") {
      const bool deleted = request.method == "DELETE";
      ChangeObject(kind, name, deleted ? "null" : request.body, deleted);
      Respond(*exchange, {});
    } else if (!name.empty()) {
      const auto found = objects_[kind].find(name);
      Respond(*exchange, found == objects_[kind].end() ? OutgoingResponse{.status = 404}
                                                       : OutgoingResponse{.body = Format(name, found->second)});
    } else if (const std::string after = QueryParameter(query, "watch"); !after.empty()) {
      StartWatch({.exchange = exchange, .kind = kind, .after = std::stoull(after)},
                 std::chrono::milliseconds(std::atoi(QueryParameter(query, "wait-ms").c_str())));
    } else {
      const auto& objects = objects_[kind];
      std::string items;
      auto next = objects.upper_bound(QueryParameter(query, "after"));
      for (std::size_t i = 0; i < kPageSize && next != objects.end(); ++i, ++next) {
        items += (items.empty() ? "" : ",") + Format(next->first, next->second);
      }
      Respond(*exchange, {.body = FormatPage(items, next != objects.end(), revision_)});
    }
  }

  void StartWatch(const Watch& watch, Duration wait) {
    if (watch.after < oldest_watch_revision_ || watch.after > revision_) {
      Respond(*watch.exchange, {.status = 410});
    } else if (!RespondWatch(watch, false)) {
      const std::uint64_t id = next_watch_id_++;
      watches_[id] = watch;
      loop_.CallAfter(wait, [this, id] {
        std::erase_if(watches_,
                      [&](const auto& entry) { return entry.first == id && RespondWatch(entry.second, true); });
      });
    }
  }

  EventLoop& loop_;
  Mode mode_ = Mode::kNormal;
  unsigned era_ = 0;
  std::vector<Change> changes_;  // oldest first
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_watch_revision_ = 1;                              // watches from earlier revisions get 410
  std::map<std::string, std::map<std::string, Object>> objects_;         // by kind and name
  std::map<std::string, std::map<std::uint64_t, std::string>> history_;  // JSON by kind and revision
  std::map<std::uint64_t, Watch> watches_;
  std::uint64_t next_watch_id_ = 1;
  bool refuses_creation_ = false;
  unsigned lost_status_answers_ = 0;
  unsigned status_writes_ = 0;
  std::vector<std::shared_ptr<CallerExchange>> unanswered_;  // calls that never get an answer, kept open
  CallerServer server_;
};

}  // namespace pimentomoor
