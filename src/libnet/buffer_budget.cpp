// Implementation of the bound on buffered messages.
#include "pimentomoor/buffer_budget.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pimentomoor {

BufferedBytes::BufferedBytes(BufferBudget& budget, std::string peer, std::function<void()> on_revoked)
    : budget_(budget), peer_(std::move(peer)), on_revoked_(std::move(on_revoked)) {}

BufferedBytes::~BufferedBytes() { Set(0); }

void BufferedBytes::Set(std::size_t bytes) {
  if (bytes != bytes_) {
    budget_.Change(*this, bytes);
  }
}

void BufferBudget::Change(BufferedBytes& buffered, std::size_t bytes) {
  bytes_ += bytes - buffered.bytes_;
  buffered.bytes_ = bytes;
  if (bytes == 0) {
    buffers_.erase(&buffered);
  } else {
    buffers_.insert(&buffered);
  }
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
  std::map<std::string, std::size_t> bytes_by_peer;
  for (const auto* buffered : buffers_) {
    bytes_by_peer[buffered->peer_] += buffered->bytes_;
  }
  const auto greedier = [&](const BufferedBytes* left, const BufferedBytes* right) {
    return std::pair(bytes_by_peer[left->peer_], left->bytes_) <
           std::pair(bytes_by_peer[right->peer_], right->bytes_);
  };
  const auto greediest = std::max_element(buffers_.begin(), buffers_.end(), greedier);
  return greediest == buffers_.end() ? nullptr : *greediest;
}

}  // namespace pimentomoor
