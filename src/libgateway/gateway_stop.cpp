// Planned stop of a gateway daemon.
#include "pimentomoor/gateway.h"
#include "pimentomoor/log.h"

namespace pimentomoor {

namespace {

constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);
// Time to serve on after the directory's answers have expired, in which callers ask again and move their connections.
constexpr Duration kReconnectMargin = std::chrono::milliseconds(700);
// Time before the end of the drain timeout by which requests are answered, so that the answers reach their callers.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(800);
// Time between the end of waiting for requests and the end of the drain timeout, when the process is killed.
constexpr Duration kForcedEndMargin = std::chrono::milliseconds(400);

}  // namespace

void Gateway::Stop(std::function<void()> stopped) {
  if (on_stopped_) {
    return;
  }
  on_stopped_ = std::move(stopped);
  LogInfo("gateway stopping",
          {{"host", settings_.host}, {"running", std::to_string(caller_server_->running_requests())}});
  peers_->Announce();
  caller_server_->CloseAfterAnswers();
  LimitRequests(request_context_, loop_.Now() + settings_.drain_timeout - kAnswerMargin);
  const TimePoint stop_at = loop_.Now() + settings_.drain_timeout - kForcedEndMargin;
  const Duration serve_for = std::min(settings_.entry_ttl + kReconnectMargin, settings_.drain_timeout / 2);
  stop_timer_ = loop_.CallAfter(serve_for, [this, stop_at] {
    caller_server_->StopAccepting();
    WaitForRequests(stop_at);
  });
}

void Gateway::WaitForRequests(TimePoint stop_at) {
  const std::size_t running = caller_server_->running_requests();
  if (running == 0 || loop_.Now() >= stop_at) {
    LogInfo("gateway stopped", {{"host", settings_.host}, {"unfinished", std::to_string(running)}});
    on_stopped_();
    return;
  }
  stop_timer_ = loop_.CallAfter(kStopCheckInterval, [this, stop_at] { WaitForRequests(stop_at); });
}

}  // namespace pimentomoor
