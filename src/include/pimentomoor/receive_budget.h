// Bounds the memory that unfinished messages of other processes occupy together, so that senders whose messages never
// end can't exhaust the memory of a daemon. The greediest sender loses its largest message first.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "pimentomoor/event_loop.h"

namespace pimentomoor {

class ReceiveBudget;

/// The bytes that one connection holds of an unfinished message. Must not outlive its budget.
class ReceivedBytes {
 public:
  /// `sender` names the process that sends the message; its connections count together. `on_revoked` is called from
  /// the event loop when the message must be dropped; it may destroy this object.
  ReceivedBytes(ReceiveBudget& budget, std::string sender, std::function<void()> on_revoked);
  ~ReceivedBytes();
  ReceivedBytes(const ReceivedBytes&) = delete;
  ReceivedBytes& operator=(const ReceivedBytes&) = delete;

  /// Sets the number of bytes that are held now.
  void Set(std::size_t bytes);

 private:
  friend class ReceiveBudget;
  ReceiveBudget& budget_;
  const std::string sender_;
  const std::function<void()> on_revoked_;
  std::size_t bytes_ = 0;
};

class ReceiveBudget {
 public:
  /// Four messages of the largest size that a daemon accepts from an upstream, in a fifth of the smallest host's
  /// memory.
  static constexpr std::size_t kDefaultLimitBytes = std::size_t{32} * 1024 * 1024;

  explicit ReceiveBudget(EventLoop& loop, std::size_t limit_bytes = kDefaultLimitBytes)
      : loop_(loop), limit_bytes_(limit_bytes) {}
  ~ReceiveBudget() { *alive_ = false; }
  ReceiveBudget(const ReceiveBudget&) = delete;
  ReceiveBudget& operator=(const ReceiveBudget&) = delete;

  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  [[nodiscard]] std::size_t limit_bytes() const { return limit_bytes_; }

 private:
  friend class ReceivedBytes;
  void Change(ReceivedBytes& held, std::size_t bytes);
  /// Revokes messages until the rest is within the limit.
  void Enforce();
  /// The largest message of the sender that holds most bytes; null when nothing is held.
  [[nodiscard]] ReceivedBytes* FindGreediest() const;

  EventLoop& loop_;
  const std::size_t limit_bytes_;
  std::size_t bytes_ = 0;             // sum over holders_
  std::set<ReceivedBytes*> holders_;  // those that hold bytes
  bool enforcement_posted_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false after the destructor, for posted callbacks
};

}  // namespace pimentomoor
