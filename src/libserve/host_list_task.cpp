// Implementation of the host list task: when to poll, and requests and relays between daemons.
#include "pimentomoor/host_list_task.h"

#include <algorithm>
#include <utility>

#include "pimentomoor/log.h"
#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);

// Time without an answer after which another request is sent, because a message was lost or the poller got no valid
// answer from the platform. The interval between polls and the call of a poll take up to 2 s together.
constexpr Duration kRequestRetryInterval = std::chrono::seconds(2);

// Largest number of remembered requests to one poller whose answer is still accepted. A poller answers only the
// newest request that it has received.
constexpr std::size_t kMaxUnansweredRequests = 4;

}  // namespace

HostListTask::HostListTask(EventLoop& loop, HttpClient& http, Metrics& metrics, HostListTaskOptions options,
                           HostListTaskHooks hooks)
    : loop_(loop), metrics_(metrics), hooks_(std::move(hooks)), everyone_polls_(options.everyone_polls) {
  options.client.metrics = &metrics;
  options.client.on_call_started = [this] { OnPollStarted(); };
  options.client.on_valid_answer = [this] { OnPollAnswered(); };
  client_ = std::make_unique<HostListClient>(loop, http, std::move(options.client),
                                             [this](const HostList& list) { polled_digest_ = HostListDigest(list); });
  timer_ = loop_.CallAfter(kTickInterval, [this] { Tick(); });
}

HostListTask::~HostListTask() { loop_.Cancel(timer_); }

void HostListTask::Tick() {
  timer_ = loop_.CallAfter(kTickInterval, [this] { Tick(); });
  const std::vector<proto::Daemon> live = hooks_.live_members();
  std::vector<std::string> hosts;
  std::string own_host;
  for (const proto::Daemon& member : live) {
    hosts.push_back(member.host());
    own_host = member.incarnation() == hooks_.own_incarnation() ? member.host() : own_host;
  }
  const std::vector<std::string> pollers = ChooseHostListPollers(hosts);
  HostListRole role{.everyone_polls = everyone_polls_, .member = hooks_.joined()};
  role.poller = !own_host.empty() && std::find(pollers.begin(), pollers.end(), own_host) != pollers.end();
  if (history_.list()) {
    role.confirmed_at = read_time_.not_before;
  }
  const bool was_active = client_->polling();
  client_->SetPolling(ShouldPollHostList(role, loop_.Now()));
  if (client_->polling() != was_active) {
    LogInfo("host_list_polling", {{"active", client_->polling() ? "true" : "false"}});
  }
  std::erase_if(subscribers_, [&](const auto& item) { return hooks_.find_member(item.first) == nullptr; });
  // A poller whose own calls to the platform fail sends requests to the other poller.
  if (role.member && !everyone_polls_ && (!role.poller || !client_->last_error().empty())) {
    SendRequestsToPollers(live, pollers);
  } else {
    requests_to_pollers_.clear();
  }
}

void HostListTask::SendRequestsToPollers(const std::vector<proto::Daemon>& live,
                                         const std::vector<std::string>& pollers) {
  std::map<std::uint64_t, SentRequests> previous_requests;
  previous_requests.swap(requests_to_pollers_);
  for (const proto::Daemon& member : live) {
    if (member.incarnation() == hooks_.own_incarnation() ||
        std::find(pollers.begin(), pollers.end(), member.host()) == pollers.end()) {
      continue;
    }
    SentRequests& sent = requests_to_pollers_[member.incarnation()];
    if (const auto found = previous_requests.find(member.incarnation()); found != previous_requests.end()) {
      sent = std::move(found->second);
    }
    if (sent.empty() || loop_.Now() - sent.back().second >= kRequestRetryInterval) {
      SendRequest(member);
    }
  }
}

void HostListTask::SendRequest(const proto::Daemon& poller) {
  proto::Envelope message = NewMessage(poller.incarnation());
  message.mutable_host_list_request()->set_id(++last_request_id_);
  if (history_.list()) {
    message.mutable_host_list_request()->set_digest(*history_.digest());
  }
  // Only Tick() leads here, so that a poller that answers at once causes at most one request per tick.
  if (!hooks_.send(poller.peer_address(), message)) {
    return;  // not connected yet: the next tick tries again
  }
  SentRequests& sent = requests_to_pollers_[poller.incarnation()];
  sent.emplace_back(last_request_id_, loop_.Now());
  if (sent.size() > kMaxUnansweredRequests) {
    sent.pop_front();
  }
}

void HostListTask::HandleMessage(const proto::Envelope& message) {
  if (message.has_host_list_request()) {
    HandleRequest(message);
  } else if (message.has_host_list_relay()) {
    HandleRelay(message);
  }
}

void HostListTask::HandleRequest(const proto::Envelope& message) {
  if (hooks_.find_member(message.from().incarnation()) == nullptr) {
    CountRelay("refused");
    return;
  }
  const proto::HostListRequest& request = message.host_list_request();
  Subscriber& subscriber = subscribers_[message.from().incarnation()];
  // Requests older than the newest one are dropped, so that the request ids in answers have the order of the polls.
  if (request.id() <= subscriber.newest_request_id) {
    return;
  }
  subscriber.newest_request_id = request.id();
  subscriber.for_next_poll = PendingRequest{.id = request.id()};
  if (request.has_digest()) {
    subscriber.for_next_poll->known_digest = request.digest();
  }
}

void HostListTask::OnPollStarted() {
  poll_started_at_ = loop_.Now();
  for (auto& [incarnation, subscriber] : subscribers_) {
    if (subscriber.for_next_poll) {
      subscriber.for_started_poll = std::exchange(subscriber.for_next_poll, std::nullopt);
    }
  }
}

void HostListTask::OnPollAnswered() {
  const HostListReadTime candidate_time{
      .source = hooks_.own_incarnation(), .not_before = poll_started_at_, .not_after = loop_.Now()};
  const HostListDecision decision = DecideOnHostList(history_.digest(), read_time_, polled_digest_, candidate_time);
  if (decision == HostListDecision::kTaken) {
    history_.Replace(*client_->last_list(), polled_digest_);
  }
  if (decision != HostListDecision::kNotNewer) {
    AnswerSubscribers();
  }
  if (decision == HostListDecision::kTaken) {
    hooks_.on_list_changed(*history_.list());
  }
}

void HostListTask::AnswerSubscribers() {
  for (auto& [incarnation, subscriber] : subscribers_) {
    const proto::Daemon* member = hooks_.find_member(incarnation);
    const std::optional<PendingRequest> request = std::exchange(subscriber.for_started_poll, std::nullopt);
    if (member == nullptr || !request) {
      continue;
    }
    proto::Envelope message = NewMessage(incarnation);
    message.mutable_host_list_relay()->set_request_id(request->id);
    if (!history_.FillRelay(request->known_digest, *message.mutable_host_list_relay())) {
      CountRelay("too_large");
    } else {
      CountRelay(hooks_.send(member->peer_address(), message) ? "sent" : "not_sent");
    }
  }
}

void HostListTask::HandleRelay(const proto::Envelope& message) {
  const proto::HostListRelay& relay = message.host_list_relay();
  const auto poller = requests_to_pollers_.find(message.from().incarnation());
  SentRequests none;
  SentRequests& sent = poller == requests_to_pollers_.end() ? none : poller->second;
  const auto request =
      std::find_if(sent.begin(), sent.end(), [&](const auto& item) { return item.first == relay.request_id(); });
  if (request == sent.end()) {
    CountRelay("refused");
    return;
  }
  const HostListReadTime candidate_time{
      .source = message.from().incarnation(), .not_before = request->second, .not_after = loop_.Now()};
  sent.erase(sent.begin(), request + 1);  // this request and all older ones: each is answered at most once
  try {
    ApplyRelay(relay, candidate_time);
  } catch (const ConfigError&) {
    CountRelay("malformed");
  }
}

void HostListTask::ApplyRelay(const proto::HostListRelay& relay, const HostListReadTime& candidate_time) {
  HostListReadTime read_time = read_time_;
  const HostListDecision decision = DecideOnHostList(history_.digest(), read_time, relay.digest(), candidate_time);
  // The differences in a relay apply to the list that was held when the request was sent. If another list has been
  // taken since, it arrived after the request was sent, so the relay is not newer.
  if (decision == HostListDecision::kTaken) {
    history_.Replace(history_.Apply(relay), relay.digest());
  }
  read_time_ = read_time;
  CountRelay(decision == HostListDecision::kTaken       ? "taken"
             : decision == HostListDecision::kConfirmed ? "unchanged"
                                                        : "older");
  if (decision == HostListDecision::kTaken) {
    hooks_.on_list_changed(*history_.list());
  }
}

std::string HostListTask::source() const {
  if (!history_.list()) {
    return "none";
  }
  if (read_time_.source == hooks_.own_incarnation()) {
    return "platform";
  }
  const proto::Daemon* member = hooks_.find_member(read_time_.source);
  return member == nullptr ? "former member" : member->host();
}

std::optional<Duration> HostListTask::age() const {
  return history_.list() ? std::optional(loop_.Now() - read_time_.not_before) : std::nullopt;
}

void HostListTask::CountRelay(const std::string& result) {
  metrics_.Count("pimentomoor_host_list_relays_total", 1, "result=\"" + result + "\"");
}

proto::Envelope HostListTask::NewMessage(std::uint64_t to_incarnation) const {
  proto::Envelope message;
  message.mutable_from()->set_incarnation(hooks_.own_incarnation());
  message.set_to_incarnation(to_incarnation);
  return message;
}

}  // namespace pimentomoor
