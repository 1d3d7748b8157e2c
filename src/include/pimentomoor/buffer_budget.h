// Bounds the memory that the messages of other processes occupy together while they are incomplete or not yet read:
// peers whose messages never end, or that don't read what they asked for, can't exhaust the memory of a daemon. The
// peer that occupies most loses its largest message first.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "pimentomoor/event_loop.h"

namespace pimentomoor {

class BufferBudget;

/// The bytes that one connection buffers for its peer. Must not outlive its budget.
class BufferedBytes {
 public:
  /// `sender` names the process that sends the message; its connections count together. `on_revoked` is called from
  /// the event loop when the message must be dropped; it may destroy this object.
  BufferedBytes(BufferBudget& budget, std::string sender, std::function<void()> on_revoked);
  ~BufferedBytes();
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;

  /// Sets the number of bytes that are buffered now.
  void Set(std::size_t bytes);

 private:
  friend class BufferBudget;
  BufferBudget& budget_;
  const std::string peer_;
  const std::function<void()> on_revoked_;
  std::size_t bytes_ = 0;
};

class BufferBudget {
 public:
  /// Four messages of the largest size that a daemon accepts from an upstream, in a fifth of the smallest host's
  /// memory.
  static constexpr std::size_t kDefaultLimitBytes = std::size_t{32} * 1024 * 1024;

  explicit BufferBudget(EventLoop& loop, std::size_t limit_bytes = kDefaultLimitBytes)
      : loop_(loop), limit_bytes_(limit_bytes) {}
  ~BufferBudget() { *alive_ = false; }
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  [[nodiscard]] std::size_t limit_bytes() const { return limit_bytes_; }

 private:
  friend class BufferedBytes;
  void Change(BufferedBytes& buffered, std::size_t bytes);
  /// Revokes messages until the rest is within the limit.
  void Enforce();
  /// The largest message of the peer that occupies most bytes; null when nothing is buffered.
  [[nodiscard]] BufferedBytes* FindGreediest() const;

  EventLoop& loop_;
  const std::size_t limit_bytes_;
  std::size_t bytes_ = 0;             // sum over buffers_
  std::set<BufferedBytes*> buffers_;  // those that are not empty
  bool enforcement_posted_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false after the destructor, for posted callbacks
};

}  // namespace pimentomoor
