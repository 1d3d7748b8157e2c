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

// One query of an entry, from its first sub-query at this owner to its last answer.
struct Dispatcher::Query {
  proto::Daemon entry;
  std::uint64_t id = 0;
  std::uint32_t limit = 0;  // rows of the query's result
  HeldAnswers held;         // decides when the held answers are sent
  bool merge_rows = true;   // the entry allows that outranked rows of the held answers are dropped
  BestRows best_rows;       // of the held answers; keeps nothing unless merge_rows is set
  // Memory of `answers`: one allocation serves many rows. Null while no answer is held.
  std::unique_ptr<google::protobuf::Arena> arena;
  proto::SubAnswers* answers = nullptr;  // next message to the entry, on the arena; null while no answer is held
};

// One SubQueries message.
struct Dispatcher::Batch {
  std::shared_ptr<Query> query;
  proto::SubQueries message;
  TimePoint deadline;
};

// A sub-query that is queued or running.
struct Dispatcher::PendingSubQuery {
  std::shared_ptr<const Batch> batch;
  const proto::SubQuery* sub_query;  // points into the batch's message
  TimePoint queued_at;
  TimePoint started_at{};
};

struct Dispatcher::Upstream {
  std::string address;
  std::string failure_domain;
  UpstreamLimits limits;
  UpstreamState state;
  std::deque<PendingSubQuery> queue;
  Duration mean_latency{};  // of successful requests, exponentially weighted; 0 until the first one
};

}  // namespace pimentomoor
