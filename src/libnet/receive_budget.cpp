// Implementation of the bound on unfinished messages.
#include "pimentomoor/receive_budget.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pimentomoor {

ReceivedBytes::ReceivedBytes(ReceiveBudget& budget, std::string sender, std::function<void()> on_revoked)
    : budget_(budget), sender_(std::move(sender)), on_revoked_(std::move(on_revoked)) {}

ReceivedBytes::~ReceivedBytes() { Set(0); }

void ReceivedBytes::Set(std::size_t bytes) {
  if (bytes != bytes_) {
    budget_.Change(*this, bytes);
  }
}

void ReceiveBudget::Change(ReceivedBytes& held, std::size_t bytes) {
  bytes_ += bytes - held.bytes_;
  held.bytes_ = bytes;
  if (bytes == 0) {
    holders_.erase(&held);
  } else {
    holders_.insert(&held);
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

void ReceiveBudget::Enforce() {
  while (bytes_ > limit_bytes_) {
    ReceivedBytes* greediest = FindGreediest();
    const auto on_revoked = greediest->on_revoked_;
    greediest->Set(0);
    on_revoked();
  }
}

ReceivedBytes* ReceiveBudget::FindGreediest() const {
  std::map<std::string, std::size_t> bytes_by_sender;
  for (const auto* held : holders_) {
    bytes_by_sender[held->sender_] += held->bytes_;
  }
  const auto greedier = [&](const ReceivedBytes* left, const ReceivedBytes* right) {
    return std::pair(bytes_by_sender[left->sender_], left->bytes_) <
           std::pair(bytes_by_sender[right->sender_], right->bytes_);
  };
  const auto greediest = std::max_element(holders_.begin(), holders_.end(), greedier);
  return greediest == holders_.end() ? nullptr : *greediest;
}

}  // namespace pimentomoor
