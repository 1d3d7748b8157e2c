// Dispatcher, answers: collects the answers of each query and sends them to its entry, at once or after a short hold.
#include <algorithm>
#include <utility>

#include "dispatcher_query.h"

namespace pimentomoor {

void Dispatcher::CountAnswer(proto::SubStatus status) {
  // The labels are built once, to save an allocation for each sub-query.
  static const std::vector<std::string> labels = [] {
    std::vector<std::string> all;
    all.reserve(proto::SubStatus_ARRAYSIZE);
    for (int i = 0; i < proto::SubStatus_ARRAYSIZE; ++i) {
      all.push_back("status=\"" + proto::SubStatus_Name(static_cast<proto::SubStatus>(i)) + "\"");
    }
    return all;
  }();
  metrics_.Count("pimentomoor_owner_answers_total", 1, labels.at(static_cast<std::size_t>(status)));
}

void Dispatcher::AnswerNotRun(const PendingSubQuery& pending, proto::SubStatus status, const std::string& reason) {
  proto::SubAnswer& answer = AddAnswer(pending);
  answer.set_id(pending.sub_query->id());
  answer.set_shard(pending.sub_query->shard());
  answer.set_status(status);
  answer.set_error(reason + " (" + pending.sub_query->upstream() + ")");
  CompleteAnswer(pending, status);
}

// Adds an empty answer to the query's next message. Call CompleteAnswer() once the answer is filled.
proto::SubAnswer& Dispatcher::AddAnswer(const PendingSubQuery& pending) {
  const std::shared_ptr<Query>& query = pending.batch->query;
  if (query->answers != nullptr && query->merge_rows != pending.batch->message.merge_rows()) {
    SendAnswers(*query);  // merging applies to all rows of a message or to none
  }
  if (query->answers == nullptr) {
    query->arena = std::make_unique<google::protobuf::Arena>();
    query->answers = google::protobuf::Arena::CreateMessage<proto::SubAnswers>(query->arena.get());
    query->answers->set_query_id(query->id);
    query->answers->set_entry_incarnation(query->entry.incarnation());
    query->merge_rows = pending.batch->message.merge_rows();
    query->best_rows = BestRows(query->merge_rows ? query->limit : 0);
    query->held.any_failed = false;
    query->held.first_ready = loop_.Now();
    query->held.deadline = pending.batch->deadline;
    queries_with_held_answers_.push_back(query);
  }
  query->held.deadline = std::min(query->held.deadline, pending.batch->deadline);
  return *query->answers->add_items();
}

void Dispatcher::CompleteAnswer(const PendingSubQuery& pending, proto::SubStatus status) {
  CountAnswer(status);
  HeldAnswers& held = pending.batch->query->held;
  --held.outstanding;
  held.any_failed = held.any_failed || status != proto::SUB_OK;
  ScheduleFlush();
}

// Posts one flush to the event loop, so that all answers of a query that become ready in one turn share a message.
void Dispatcher::ScheduleFlush() {
  if (std::exchange(flush_posted_, true)) {
    return;
  }
  loop_.Post([this, alive = alive_] {
    if (*alive) {
      flush_posted_ = false;
      FlushAnswers();
    }
  });
}

// Sends the answers that are due and sets a timer for the others.
void Dispatcher::FlushAnswers() {
  const TimePoint now = loop_.Now();
  TimePoint next = TimePoint::max();
  std::vector<std::shared_ptr<Query>> held;
  for (auto& query : std::exchange(queries_with_held_answers_, {})) {
    if (query->answers == nullptr) {
      continue;  // AddAnswer() sent the answers before it added one with the other merge setting
    }
    const TimePoint due = options_.naive ? AnswerSendTimeNaive(query->held, options_.answer_hold)
                                         : AnswerSendTime(query->held, options_.answer_hold);
    if (due <= now) {
      SendAnswers(*query);
    } else {
      next = std::min(next, due);
      held.push_back(std::move(query));
    }
  }
  queries_with_held_answers_.insert(queries_with_held_answers_.end(), held.begin(), held.end());
  loop_.Cancel(std::exchange(flush_timer_, 0));
  if (!held.empty()) {
    flush_timer_ = loop_.CallAt(next, [this] {
      flush_timer_ = 0;
      FlushAnswers();
    });
  }
}

void Dispatcher::EraseQueryIfEnded(const Query& query) {
  if (query.held.outstanding == 0 && query.answers == nullptr) {
    queries_.erase({query.entry.incarnation(), query.id});
  }
}

void Dispatcher::SendAnswers(Query& query) {
  DropOutrankedRows(*query.answers, query.best_rows);
  metrics_.Count("pimentomoor_owner_answer_messages_total");
  // Moved out of the query first, because the hook may submit more sub-queries of the same query.
  const auto arena = std::move(query.arena);
  const proto::SubAnswers& answers = *std::exchange(query.answers, nullptr);
  hooks_.send_answers(query.entry, answers);
  EraseQueryIfEnded(query);
}

}  // namespace pimentomoor
