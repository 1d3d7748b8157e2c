// Implementation of the bound on buffered messages.
#include "pimentomoor/buffer_budget.h"

#include <algorithm>
#include <utility>

namespace pimentomoor {

BufferedBytes::BufferedBytes(BufferBudget& budget, std::string peer, std::function<void()> on_revoked)
    : budget_(budget), budget_alive_(budget.alive_), peer_(std::move(peer)), on_revoked_(std::move(on_revoked)) {}

BufferedBytes::~BufferedBytes() { Set(0); }

void BufferedBytes::Set(std::size_t bytes) {
  if (bytes != bytes_ && *budget_alive_) {
    budget_.Change(*this, bytes);
  }
}

void BufferBudget::Change(BufferedBytes& buffered, std::size_t bytes) {
  bytes_ += bytes - buffered.bytes_;
  const auto found = peers_.try_emplace(buffered.peer_).first;
  Peer& peer = found->second;
  peer.bytes += bytes - buffered.bytes_;
  buffered.bytes_ = bytes;
  if (bytes > 0) {
    peer.buffers.insert(&buffered);
  } else if (peer.buffers.erase(&buffered); peer.buffers.empty()) {
    peers_.erase(found);
  }
  ScheduleEnforcement();
}

void BufferBudget::SetLimit(std::size_t limit_bytes) {
  limit_bytes_ = limit_bytes;
  ScheduleEnforcement();
}

void BufferBudget::ScheduleEnforcement() {
  if (bytes_ > limit_bytes_ && !enforcement_posted_) {
    // Posted, because the connection that has just received bytes is in the middle of reading them.
    enforcement_posted_ = true;
    loop_.Post([this, alive = alive_] {
      if (*alive) {
        enforcement_posted_ = false;
        Enforce();
      }
    });
  }
}

void BufferBudget::Enforce() {
  while (bytes_ > limit_bytes_) {
    BufferedBytes* greediest = FindGreediest();
    const auto on_revoked = greediest->on_revoked_;
    greediest->Set(0);
    on_revoked();
  }
}

BufferedBytes* BufferBudget::FindGreediest() const {
  const auto greediest = std::max_element(peers_.begin(), peers_.end(), [](const auto& left, const auto& right) {
    return left.second.bytes < right.second.bytes;
  });
  if (greediest == peers_.end()) {
    return nullptr;
  }
  const auto& buffers = greediest->second.buffers;
  return *std::max_element(buffers.begin(), buffers.end(),
                           [](const auto* left, const auto* right) { return left->bytes_ < right->bytes_; });
}

}  // namespace pimentomoor
