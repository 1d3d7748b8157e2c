// Implementation of the event loop on top of h2o's epoll loop.
#include "pimentomoor/event_loop.h"

#include <h2o.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <system_error>

namespace pimentomoor {

namespace {

// Longest wait for I/O in one turn, so that Run() checks for Stop() even when no timer is set.
constexpr Duration kMaxWait = std::chrono::seconds(1);

// Rounds up, so that the loop does not wake before the next timer is due.
std::int32_t ToWaitMilliseconds(Duration wait) {
  const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(std::clamp(wait, Duration::zero(), kMaxWait));
  return static_cast<std::int32_t>(milliseconds.count());
}

}  // namespace

struct EventLoop::Watch {
  h2o_socket_t* socket = nullptr;
  Callback callback;
};

EventLoop::EventLoop(const Clock& clock) : clock_(clock), native_(h2o_evloop_create()) {
  // h2o writes without MSG_NOSIGNAL: a write to a connection that the client has closed would end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  while (!watches_.empty()) {
    Unwatch(watches_.begin()->first);
  }
  for (const int fd : signal_fds_) {
    close(fd);
  }
  // The native loop is never destroyed, because HTTP servers keep h2o sockets and contexts that refer to it until the
  // process ends. The vector keeps it reachable for the leak checker.
  static auto& retired = *new std::vector<st_h2o_evloop_t*>;
  retired.push_back(native_);
}

void EventLoop::Post(Callback callback) { posted_.push_back(std::move(callback)); }

TimerId EventLoop::CallAt(TimePoint when, Callback callback) {
  const TimerId id = next_timer_id_++;
  timers_.emplace(std::pair(when, id), std::move(callback));
  timer_due_times_.emplace(id, when);
  return id;
}

void EventLoop::Cancel(TimerId id) {
  const auto it = timer_due_times_.find(id);
  if (it == timer_due_times_.end()) {
    return;
  }
  timers_.erase({it->second, id});
  timer_due_times_.erase(it);
}

void EventLoop::WatchReadable(int fd, Callback callback) {
  // An h2o socket closes its descriptor, so it gets a duplicate and the caller's descriptor stays open.
  const int duplicate = dup(fd);
  if (duplicate < 0) {
    throw std::system_error(errno, std::generic_category(), "watch descriptor " + std::to_string(fd));
  }
  auto* watch = new Watch{.callback = std::move(callback)};
  watch->socket = h2o_evloop_socket_create(native_, duplicate, H2O_SOCKET_FLAG_DONT_READ);
  watch->socket->data = watch;
  watches_[fd] = watch;
  h2o_socket_read_start(watch->socket, [](h2o_socket_t* socket, const char*) {
    // The callback is copied, because it may call Unwatch(), which deletes the watch.
    const Callback on_readable = static_cast<Watch*>(socket->data)->callback;
    on_readable();
  });
}

void EventLoop::Unwatch(int fd) {
  const auto it = watches_.find(fd);
  if (it == watches_.end()) {
    return;
  }
  h2o_socket_close(it->second->socket);
  delete it->second;
  watches_.erase(it);
}

void EventLoop::Run() {
  stopped_ = false;
  while (!stopped_) {
    RunOnce(kMaxWait);
  }
}

void EventLoop::RunOnce(Duration max_wait) {
  const Duration wait = posted_.empty() ? std::min(max_wait, TimeToNextTimer()) : Duration::zero();
  // Callbacks outside h2o, such as timers, may have written to a socket and then closed it. h2o_evloop_run() frees
  // closed sockets first, even those whose write-completion callback is pending, so pending callbacks run before it.
  h2o_timeout__do_post_callback(native_);
  h2o_evloop_run(native_, ToWaitMilliseconds(wait));
  RunDueTimers();
  RunPosted();
}

bool EventLoop::RunUntil(const std::function<bool()>& done, Duration timeout) {
  const TimePoint end = Now() + timeout;
  while (!done()) {
    const Duration left = end - Now();
    if (left <= Duration::zero()) {
      return false;
    }
    RunOnce(std::min<Duration>(left, std::chrono::milliseconds(20)));
  }
  return true;
}

void EventLoop::OnTerminate(Callback callback) { OnSignals({SIGTERM, SIGINT}, std::move(callback)); }
void EventLoop::OnHangup(Callback callback) { OnSignals({SIGHUP}, std::move(callback)); }

void EventLoop::OnSignals(std::initializer_list<int> signal_numbers, Callback callback) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : signal_numbers) {
    sigaddset(&signals, number);
  }
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  const int fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0) {
    throw std::system_error(errno, std::generic_category(), "create signalfd");
  }
  signal_fds_.push_back(fd);
  WatchReadable(fd, [fd, callback = std::move(callback)] {
    signalfd_siginfo info{};
    while (read(fd, &info, sizeof(info)) == sizeof(info)) {
      callback();
    }
  });
}

void EventLoop::RunDueTimers() {
  const TimePoint now = Now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto node = timers_.extract(timers_.begin());
    timer_due_times_.erase(node.key().second);
    node.mapped()();
  }
}

void EventLoop::RunPosted() {
  std::vector<Callback> batch;
  batch.swap(posted_);
  for (auto& callback : batch) {
    callback();
  }
}

Duration EventLoop::TimeToNextTimer() const {
  return timers_.empty() ? kMaxWait : std::max(Duration::zero(), timers_.begin()->first.first - Now());
}

}  // namespace pimentomoor
