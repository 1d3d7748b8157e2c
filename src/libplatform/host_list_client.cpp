// Implements the client and the parser of the host list.
#include "pimentomoor/host_list_client.h"

#include <algorithm>
#include <stdexcept>

#include "pimentomoor/config_lists.h"
#include "pimentomoor/log.h"

namespace pimentomoor {
namespace {

// Above the 75,000 upstreams and 2,700 daemons of the target deployment.
constexpr std::size_t kMaxHosts = 100'000;
constexpr YamlLimits kListLimits{
    .max_bytes = std::size_t{16} * 1024 * 1024, .max_nodes = 8 * kMaxHosts, .max_depth = 8};

ListedHost ReadHost(const YamlNode& node, std::string_view source, const std::string& path) {
  YamlMapReader map(node, source, path);
  ListedHost host;
  host.address = map.RequireText("address", kMaxNameBytes);
  if (!IsSocketAddress(host.address)) {
    map.Fail(node.line, "address", QuoteForError(host.address) + " is not \"IP:port\"");
  }
  host.failure_domain = map.RequireText("failure_domain", kMaxNameBytes);
  const std::string state = map.RequireText("state", kMaxNameBytes);
  if (state != "live" && state != "leaving") {
    map.Fail(node.line, "state", QuoteForError(state) + " is neither 'live' nor 'leaving'");
  }
  host.state = state == "live" ? HostState::kLive : HostState::kLeaving;
  return host;
}

}  // namespace

HostList ParseHostList(std::string_view text, std::string_view source) {
  const YamlNode root = ParseStrictYaml(text, source, kListLimits);
  YamlMapReader map(root, source, "");
  HostList list;
  const auto& items = map.RequireSequence("hosts", kMaxHosts);
  list.hosts.reserve(items.size());
  for (std::size_t i = 0; i < items.size(); ++i) {
    list.hosts.push_back(ReadHost(items[i], source, "hosts[" + std::to_string(i) + "]"));
  }
  return MakeHostList(std::move(list.hosts), source);
}

HostList MakeHostList(std::vector<ListedHost> hosts, std::string_view source) {
  if (hosts.size() > kMaxHosts) {
    throw ConfigError(source, 0, "hosts", "more than " + std::to_string(kMaxHosts) + " hosts");
  }
  for (const ListedHost& host : hosts) {
    if (host.address.size() > kMaxNameBytes || !IsSocketAddress(host.address)) {
      throw ConfigError(source, 0, "address", QuoteForError(host.address) + " is not \"IP:port\"");
    }
    if (!IsPlainText(host.failure_domain, kMaxNameBytes)) {
      throw ConfigError(source, 0, "failure_domain", QuoteForError(host.failure_domain) + " is not plain text");
    }
  }
  HostList list{.hosts = std::move(hosts)};
  std::sort(list.hosts.begin(), list.hosts.end(),
            [](const ListedHost& a, const ListedHost& b) { return a.address < b.address; });
  const auto duplicate = std::adjacent_find(list.hosts.begin(), list.hosts.end(),
                                            [](const auto& a, const auto& b) { return a.address == b.address; });
  if (duplicate != list.hosts.end()) {
    throw ConfigError(source, 0, "hosts", QuoteForError(duplicate->address) + " is listed twice");
  }
  return list;
}

const ListedHost* FindHost(const HostList& list, std::string_view address) {
  const auto found =
      std::lower_bound(list.hosts.begin(), list.hosts.end(), address,
                       [](const ListedHost& host, std::string_view key) { return host.address < key; });
  return found == list.hosts.end() || found->address != address ? nullptr : &*found;
}

HostPresence FindHostPresence(const HostList& list, const std::set<std::string>& ever_listed,
                              const std::string& address) {
  const ListedHost* listed = FindHost(list, address);
  if (listed == nullptr) {
    return ever_listed.contains(address) ? HostPresence::kNoLongerListed : HostPresence::kNotListedYet;
  }
  return listed->state == HostState::kLeaving ? HostPresence::kLeaving : HostPresence::kLive;
}

HostListClient::HostListClient(EventLoop& loop, HttpClient& http, HostListClientOptions options, Callback changed)
    : loop_(loop), http_(http), options_(std::move(options)), changed_(std::move(changed)) {
  if (options_.endpoints.empty()) {
    throw std::invalid_argument("host list client: no endpoint");
  }
  for (const std::string& endpoint : options_.endpoints) {
    if (!IsSocketAddress(endpoint)) {
      throw std::invalid_argument("host list client: endpoint " + QuoteForError(endpoint) + " is not \"IP:port\"");
    }
  }
  Poll();
}

HostListClient::~HostListClient() {
  http_.Cancel(call_);
  loop_.Cancel(timer_);
}

void HostListClient::SetPolling(bool polling) {
  if (polling == polling_) {
    return;
  }
  polling_ = polling;
  if (polling) {
    Poll();
    return;
  }
  http_.Cancel(call_);
  loop_.Cancel(timer_);
  call_ = 0;
  timer_ = 0;
  consecutive_failures_ = 0;
  last_list_.reset();
  last_body_.clear();
  last_error_.clear();
}

void HostListClient::Poll() {
  timer_ = 0;
  if (options_.on_call_started) {
    options_.on_call_started();
  }
  call_ = http_.Call({.target = options_.endpoints[endpoint_index_],
                      .path = "/hosts",
                      .timeout = options_.timeout,
                      .max_response_bytes = kListLimits.max_bytes},
                     [this](const HttpResult& result) { OnAnswer(result); });
}

void HostListClient::OnAnswer(const HttpResult& result) {
  call_ = 0;
  std::string error;
  bool changed = false;
  if (result.status == 200) {
    try {
      changed = AcceptBody(result.body);
    } catch (const ConfigError& malformed) {
      error = malformed.what();
    }
  } else {
    error =
        result.failure == HttpFailure::kNone ? "GET /hosts: status " + std::to_string(result.status) : result.error;
  }
  if (options_.metrics != nullptr) {
    options_.metrics->Count("pimentomoor_platform_calls_total", 1,
                            error.empty() ? R"(call="hosts",result="ok")" : R"(call="hosts",result="failed")");
  }
  Duration delay = options_.poll_interval;
  if (error.empty()) {
    consecutive_failures_ = 0;
  } else {
    if (last_error_.empty()) {
      LogWarn("host_list_failed", {{"endpoint", options_.endpoints[endpoint_index_]}, {"error", error}});
    }
    endpoint_index_ = (endpoint_index_ + 1) % options_.endpoints.size();
    delay = BackoffDelay(consecutive_failures_++, options_.poll_interval, options_.max_retry_delay, jitter_());
  }
  last_error_ = std::move(error);
  timer_ = loop_.CallAfter(delay, [this] { Poll(); });
  if (changed) {
    changed_(*last_list_);
  }
  if (last_error_.empty() && options_.on_valid_answer) {
    options_.on_valid_answer();
  }
}

bool HostListClient::AcceptBody(const std::string& body) {
  bool changed = false;
  if (!last_list_ || body != last_body_) {
    HostList list = ParseHostList(body, "GET " + options_.endpoints[endpoint_index_] + "/hosts");
    changed = !last_list_ || list != *last_list_;
    last_list_ = std::move(list);
    last_body_ = body;
  }
  last_answer_at_ = loop_.Now();
  return changed;
}

}  // namespace pimentomoor
