// Implements the parser of a daemon's status, the count of members with a version, and the monitor that pushes a
// version and polls the daemons.
#include "pimentomoor/acceptance.h"

#include <algorithm>
#include <set>

#include "pimentomoor/config_lists.h"

namespace pimentomoor {
namespace {

constexpr std::size_t kMaxMembers = 1'000;
constexpr std::size_t kMaxOutageItems = 10'000;
constexpr std::size_t kMaxStatusBytes = std::size_t{1024} * 1024;

StatusMember ReadMember(const YamlNode& node, std::string_view source, const std::string& path) {
  if (node.kind == YamlNode::Kind::kScalar) {
    return {.host = ReadYamlText(node, source, path, kMaxNameBytes)};
  }
  YamlMapReader map(node, source, path);
  StatusMember member{.host = map.RequireText("host", kMaxNameBytes),
                      .http_address = map.OptionalText("http_address", kMaxNameBytes)};
  if (!member.http_address.empty() && !IsSocketAddress(member.http_address)) {
    map.Fail(node.line, "http_address", QuoteForError(member.http_address) + " is not \"IP:port\"");
  }
  return member;
}

std::vector<std::string> ReadOutages(const YamlNode* node, std::string_view source) {
  std::vector<std::string> outages;
  if (node == nullptr || node->kind == YamlNode::Kind::kNull) {
    return outages;
  }
  YamlMapReader map(*node, source, "outages");
  for (const char* key : {"failure_domains", "hosts"}) {
    for (const YamlNode& item : map.OptionalSequence(key, kMaxOutageItems)) {
      outages.push_back(ReadYamlText(item, source, map.PathOf(key), kMaxNameBytes));
    }
  }
  return outages;
}

std::vector<StatusMember> ReadMembers(YamlMapReader& map, std::string_view source) {
  std::vector<StatusMember> members;
  for (const YamlNode& item : map.RequireSequence("members", kMaxMembers)) {
    members.push_back(ReadMember(item, source, map.PathOf("members") + "[" + std::to_string(members.size()) + "]"));
  }
  return members;
}

std::vector<StatusCell> ReadOtherCells(const std::vector<YamlNode>& items, std::string_view source) {
  std::vector<StatusCell> cells;
  for (const YamlNode& item : items) {
    YamlMapReader map(item, source, "other_cells[" + std::to_string(cells.size()) + "]");
    cells.push_back({.cell = map.RequireText("cell", kMaxNameBytes),
                     .epoch = map.RequireUnsigned("epoch", 0, UINT64_MAX),
                     .members = ReadMembers(map, source)});
  }
  return cells;
}

// Newest view of each cell, by cell. A daemon without members in its status doesn't know its own view yet, so that
// view is ignored. An empty view of another cell counts: all members of that cell have left.
std::map<std::string, StatusCell> NewestViews(const std::vector<DaemonStatus>& statuses) {
  std::map<std::string, StatusCell> views;
  const auto keep_newest = [&views](const StatusCell& view) {
    const auto [newest, added] = views.emplace(view.cell, view);
    if (!added && view.epoch > newest->second.epoch) {
      newest->second = view;
    }
  };
  for (const DaemonStatus& status : statuses) {
    if (!status.members.empty()) {
      keep_newest({.cell = status.cell, .epoch = status.epoch, .members = status.members});
    }
    std::for_each(status.other_cells.begin(), status.other_cells.end(), keep_newest);
  }
  return views;
}

}  // namespace

DaemonStatus ParseDaemonStatus(std::string_view text, std::string_view source) {
  const YamlNode root = ParseStrictYaml(text, source);
  YamlMapReader map(root, source, "");
  DaemonStatus status;
  status.host = map.RequireText("host", kMaxNameBytes);
  status.epoch = map.RequireUnsigned("epoch", 0, UINT64_MAX);
  status.lease = map.RequireText("lease", kMaxNameBytes);
  status.leaving = map.OptionalBool("leaving", false);
  const YamlNode& versions = map.Require("versions");
  YamlMapReader version_map(versions, source, "versions");
  for (std::size_t i = 0; i < versions.keys.size(); ++i) {
    const std::string& key = versions.keys[i];
    status.versions[key] = ReadYamlUnsigned(versions.items[i], source, version_map.PathOf(key), 0, UINT64_MAX);
  }
  status.members = ReadMembers(map, source);
  status.outages = ReadOutages(map.Find("outages"), source);
  status.cell = CellNameOrDefault(map.OptionalText("cell", kMaxNameBytes));
  status.other_cells = ReadOtherCells(map.OptionalSequence("other_cells", kMaxMembers), source);
  return status;
}

Acceptance EvaluateAcceptance(const std::vector<DaemonStatus>& statuses, const std::string& key,
                              std::uint64_t version) {
  std::set<std::pair<std::string, std::string>> with_version;  // cell and host of each daemon
  for (const DaemonStatus& status : statuses) {
    const auto found = status.versions.find(key);
    if (found != status.versions.end() && found->second >= version) {
      with_version.emplace(status.cell, status.host);
    }
  }
  Acceptance acceptance;
  for (const auto& [name, view] : NewestViews(statuses)) {
    std::set<std::string> hosts;
    for (const StatusMember& member : view.members) {
      hosts.insert(member.host);
    }
    CellAcceptance cell{.cell = name, .member_count = hosts.size()};
    for (const std::string& host : hosts) {
      if (with_version.contains({name, host})) {
        ++cell.in_force_count;
      } else {
        acceptance.hosts_without_version.push_back(host);
      }
    }
    acceptance.member_count += cell.member_count;
    acceptance.in_force_count += cell.in_force_count;
    if (cell.member_count > 0) {
      acceptance.cells.push_back(std::move(cell));
    }
  }
  return acceptance;
}

struct AcceptanceMonitor::Daemon {
  std::optional<DaemonStatus> status;  // answer to the last poll; none when the poll failed
  std::string error;                   // error of the last poll; empty when the poll succeeded
  HttpCallId poll_call = 0;            // 0 while no poll is running
  HttpCallId push_call = 0;            // 0 while no push is running
  TimerId poll_timer = 0;              // starts the next poll; 0 while a poll is running
};

AcceptanceMonitor::AcceptanceMonitor(EventLoop& loop, HttpClient& http, AcceptanceMonitorOptions options,
                                     Callback changed)
    : loop_(loop), http_(http), options_(std::move(options)), changed_(std::move(changed)) {
  for (const std::string& address : options_.daemons) {
    AddDaemon(address);
  }
}

AcceptanceMonitor::~AcceptanceMonitor() {
  for (const auto& [address, daemon] : daemons_) {
    http_.Cancel(daemon->poll_call);
    http_.Cancel(daemon->push_call);
    loop_.Cancel(daemon->poll_timer);
  }
}

std::map<std::string, std::string> AcceptanceMonitor::errors() const {
  std::map<std::string, std::string> errors;
  for (const auto& [address, daemon] : daemons_) {
    if (!daemon->error.empty()) {
      errors[address] = daemon->error;
    }
  }
  return errors;
}

void AcceptanceMonitor::AddDaemon(const std::string& address) {
  if (daemons_.size() >= kMaxMembers) {
    return;
  }
  if (!daemons_.emplace(address, std::make_unique<Daemon>()).second) {
    return;
  }
  PushVersion(address);
  PollStatus(address);
}

void AcceptanceMonitor::PushVersion(const std::string& address) {
  const std::string name = options_.key.substr(options_.key.rfind('/') + 1);
  Daemon& daemon = *daemons_.at(address);
  daemon.push_call = http_.Call({.target = address,
                                 .method = "PUT",
                                 .path = "/admin/config/" + name + "?version=" + std::to_string(options_.version),
                                 .body = options_.value,
                                 .timeout = options_.timeout},
                                // The next status shows whether the daemon adopted the version.
                                [&daemon](const HttpResult& /*result*/) { daemon.push_call = 0; });
}

void AcceptanceMonitor::PollStatus(const std::string& address) {
  Daemon& daemon = *daemons_.at(address);
  daemon.poll_timer = 0;
  daemon.poll_call = http_.Call(
      {.target = address, .path = "/status", .timeout = options_.timeout, .max_response_bytes = kMaxStatusBytes},
      [this, address](const HttpResult& result) { OnStatus(address, result); });
}

void AcceptanceMonitor::OnStatus(const std::string& address, const HttpResult& result) {
  Daemon& daemon = *daemons_.at(address);
  daemon.poll_call = 0;
  daemon.status.reset();
  daemon.error.clear();
  if (!result.ok()) {
    daemon.error = result.failure == HttpFailure::kNone ? "status " + std::to_string(result.status) : result.error;
  } else {
    try {
      daemon.status = ParseDaemonStatus(result.body, "GET " + address + "/status");
    } catch (const ConfigError& malformed) {
      daemon.error = malformed.what();
    }
  }
  daemon.poll_timer = loop_.CallAfter(options_.poll_interval, [this, address] { PollStatus(address); });
  if (daemon.status) {
    const auto found = daemon.status->versions.find(options_.key);
    const bool has_version = found != daemon.status->versions.end() && found->second >= options_.version;
    if (!has_version && daemon.push_call == 0) {
      PushVersion(address);
    }
    std::vector<StatusMember> members = daemon.status->members;
    for (const StatusCell& cell : daemon.status->other_cells) {
      members.insert(members.end(), cell.members.begin(), cell.members.end());
    }
    for (const StatusMember& member : members) {
      if (!member.http_address.empty()) {
        AddDaemon(member.http_address);
      }
    }
  }
  Evaluate();
}

void AcceptanceMonitor::Evaluate() {
  std::vector<DaemonStatus> statuses;
  for (const auto& [address, daemon] : daemons_) {
    if (daemon->status) {
      statuses.push_back(*daemon->status);
    }
  }
  Acceptance acceptance = EvaluateAcceptance(statuses, options_.key, options_.version);
  if (acceptance != current_) {
    current_ = std::move(acceptance);
    changed_(current_);
  }
}

}  // namespace pimentomoor
