// Bounds the memory that other processes make a daemon hold together: messages that are incomplete, not yet answered
// or not yet read. Peers whose messages never end, or that don't read what they asked for, can't exhaust the memory
// of a daemon. The peer that occupies most loses its largest message first.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "pimentomoor/event_loop.h"

namespace pimentomoor {

class BufferBudget;

/// The bytes that one connection or one request holds for its peer.
class BufferedBytes {
 public:
  /// `peer` names the process that sends or reads the message; its connections count together. `on_revoked` is called
  /// from the event loop when the message must be dropped; it may destroy this object.
  BufferedBytes(BufferBudget& budget, std::string peer, std::function<void()> on_revoked);
  ~BufferedBytes();
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;

  /// Sets the number of bytes that are held now.
  void Set(std::size_t bytes);
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  friend class BufferBudget;
  BufferBudget& budget_;
  const std::shared_ptr<bool> budget_alive_;
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
  /// Changes the limit; what exceeds a lower one is revoked in a later turn of the event loop.
  void SetLimit(std::size_t limit_bytes);
  /// Revokes messages until the rest is within the limit. Called by itself in the turn of the event loop after the
  /// limit was exceeded; a connection that is about to hold more may call it before, when it may itself be revoked.
  void Enforce();

 private:
  friend class BufferedBytes;
  struct Peer {
    std::size_t bytes = 0;
    std::set<BufferedBytes*> buffers;  // those that are not empty
  };
  void Change(BufferedBytes& buffered, std::size_t bytes);
  void ScheduleEnforcement();
  /// The largest message of the peer that occupies most bytes; null when nothing is held.
  [[nodiscard]] BufferedBytes* FindGreediest() const;

  EventLoop& loop_;
  std::size_t limit_bytes_;
  std::size_t bytes_ = 0;                        // sum over peers_
  std::unordered_map<std::string, Peer> peers_;  // those that occupy any bytes
  bool enforcement_posted_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false after the destructor, for posted callbacks
};

}  // namespace pimentomoor
