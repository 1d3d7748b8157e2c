// The event loop of a process: socket I/O through h2o's event loop, timers on a Clock, and posted callbacks.
//
// A single thread runs the loop and every callback. Each task owns its sockets and state, and other tasks reach it
// only through Post(). One turn of the loop waits for I/O, handles it, and then runs the due timers and the posted
// callbacks.
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

/// Identifies a timer created by EventLoop::CallAt(). No timer has the id 0.
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

  /// Queues `callback` for the end of the current turn of the loop, or of the next turn when called outside a turn or
  /// from a posted callback. Call from the loop's thread only.
  void Post(Callback callback);

  /// Runs `callback` once, in the first turn of the loop at or after `when`. The resolution is one millisecond.
  TimerId CallAt(TimePoint when, Callback callback);
  TimerId CallAfter(Duration delay, Callback callback) { return CallAt(Now() + delay, std::move(callback)); }

  /// Cancels a timer that has not run yet. Ids of unknown, cancelled and expired timers are ignored.
  void Cancel(TimerId id);

  /// Calls `callback` whenever `fd` becomes readable. The caller keeps ownership of `fd` and must not close it before
  /// Unwatch(). Throws std::system_error when the descriptor can't be duplicated.
  void WatchReadable(int fd, Callback callback);
  void Unwatch(int fd);

  /// Runs turns of the loop until Stop() is called.
  void Run();
  void Stop() { stopped_ = true; }

  /// Runs one turn of the loop, which waits for I/O for at most `max_wait`.
  void RunOnce(Duration max_wait);

  /// Runs turns of the loop until `done` returns true or `timeout` has passed. Returns false on timeout.
  bool RunUntil(const std::function<bool()>& done, Duration timeout);

  /// Calls `callback` from the loop for every SIGTERM or SIGINT that the process receives.
  void OnTerminate(Callback callback);
  /// Calls `callback` from the loop for every SIGHUP that the process receives.
  void OnHangup(Callback callback);

 private:
  void OnSignals(std::initializer_list<int> signal_numbers, Callback callback);
  struct Watch;

  void RunDueTimers();
  void RunPosted();
  [[nodiscard]] Duration TimeToNextTimer() const;

  const Clock& clock_;
  st_h2o_evloop_t* native_;
  bool stopped_ = false;
  TimerId next_timer_id_ = 1;
  std::map<std::pair<TimePoint, TimerId>, Callback> timers_;  // by due time, then in order of creation
  std::unordered_map<TimerId, TimePoint> timer_due_times_;    // has the same timer ids as timers_
  std::vector<Callback> posted_;
  std::map<int, Watch*> watches_;  // owned, by the descriptor passed to WatchReadable()
  std::vector<int> signal_fds_;    // owned signalfd descriptors
};

}  // namespace pimentomoor
