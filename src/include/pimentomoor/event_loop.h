// The event loop of a process: I/O through h2o's loop, timers on our own clock, and posted messages.
//
// One thread runs the loop and all tasks on it. A task owns its sockets and state; other tasks reach it with Post().
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pimentomoor/clock.h"

struct st_h2o_evloop_t;
struct st_h2o_socket_t;

namespace pimentomoor {

/// Names a timer set with EventLoop::CallAt. 0 names no timer.
using TimerId = std::uint64_t;

class EventLoop {
 public:
  using Callback = std::function<void()>;

  /// `clock` must outlive the loop.
  explicit EventLoop(const Clock& clock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  [[nodiscard]] const Clock& clock() const { return clock_; }
  [[nodiscard]] TimePoint Now() const { return clock_.Now(); }
  [[nodiscard]] st_h2o_evloop_t* native() const { return native_; }

  /// Runs `callback` in the next turn of the loop. Call from the loop's thread only.
  void Post(Callback callback);

  /// Runs `callback` in the first turn at or after `when`, with a resolution of one millisecond.
  TimerId CallAt(TimePoint when, Callback callback);
  TimerId CallAfter(Duration delay, Callback callback) { return CallAt(Now() + delay, std::move(callback)); }

  /// Drops a timer that has not run. Unknown and finished ids are ignored.
  void Cancel(TimerId id);

  /// Calls `callback` whenever `fd` becomes readable. The fd stays owned by the caller and must stay open until
  /// Unwatch.
  void WatchReadable(int fd, Callback callback);
  void Unwatch(int fd);

  /// Runs until Stop(). A signal named in StopOnSignals() also wakes the loop.
  void Run();
  void Stop() { stopped_ = true; }

  /// Runs one turn that waits for I/O at most `max_wait`.
  void RunOnce(Duration max_wait);

  /// Runs turns until `done` returns true or `timeout` has passed; returns whether `done` held.
  bool RunUntil(const std::function<bool()>& done, Duration timeout);

  /// Calls `callback` in the loop for every SIGTERM or SIGINT that the process receives.
  void OnTerminate(Callback callback);
  /// Calls `callback` in the loop for every SIGHUP that the process receives.
  void OnHangup(Callback callback);

 private:
  void OnSignals(std::initializer_list<int> numbers, Callback callback);
  struct Watch;

  void RunDueTimers();
  void RunPosted();
  [[nodiscard]] Duration TimeToNextTimer() const;

  const Clock& clock_;
  st_h2o_evloop_t* native_;
  bool stopped_ = false;
  TimerId next_timer_ = 1;
  std::map<std::pair<TimePoint, TimerId>, Callback> timers_;  // ordered by due time, then by creation
  std::unordered_map<TimerId, TimePoint> timer_times_;        // holds exactly the ids in timers_
  std::vector<Callback> posted_;
  std::map<int, Watch*> watches_;
  std::vector<int> signal_fds_;
};

}  // namespace pimentomoor
