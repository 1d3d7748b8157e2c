// State of the dispatcher that its source files share.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "pimentomoor/answer_hold.h"
#include "pimentomoor/dispatcher.h"
#include "pimentomoor/row_merge.h"

namespace pimentomoor {

struct Dispatcher::Query {
  proto::Daemon entry;
  std::uint64_t id = 0;
  std::uint32_t limit = 0;
  HeldAnswers held;
  bool merge_rows = true;  // the entry allows it for the held answers
  BestRows best_rows;      // of the held answers; keeps nothing unless they are merged
  // One allocation for many rows. Null while no answer is held.
  std::unique_ptr<google::protobuf::Arena> arena;
  proto::SubAnswers* answers = nullptr;  // on the arena
};

struct Dispatcher::Batch {
  std::shared_ptr<Query> query;
  proto::SubQueries message;
  TimePoint deadline;
};

struct Dispatcher::PendingSubQuery {
  std::shared_ptr<const Batch> batch;
  const proto::SubQuery* sub_query;  // in the batch's message
  TimePoint queued_at;
  TimePoint started_at{};
};

struct Dispatcher::Upstream {
  std::string address;
  std::string failure_domain;
  UpstreamLimits limits;
  UpstreamState state;
  std::deque<PendingSubQuery> queue;
  Duration mean_latency{};  // exponentially weighted, 0 until the first answer
};

}  // namespace pimentomoor
