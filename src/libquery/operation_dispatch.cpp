// Implementation of the dispatch of operations: chooses an upstream at random and turns its answer into a result.
#include "pimentomoor/operation_dispatch.h"

#include "pimentomoor/random.h"

namespace pimentomoor {

namespace {

proto::OperationResult MakeResult(proto::OperationOutcome outcome, const std::string& reason) {
  proto::OperationResult result;
  result.set_outcome(outcome);
  result.set_reason(reason);
  return result;
}

proto::OperationResult ToResult(const proto::SubAnswer& answer) {
  switch (answer.status()) {
    case proto::SUB_OK: {
      proto::OperationResult result = MakeResult(proto::OPERATION_RAN, "");
      result.set_body(answer.rows_size() > 0 ? answer.rows(0).text() : "");
      return result;
    }
    case proto::SUB_NOT_RUN_NOT_OWNER:
    case proto::SUB_NOT_RUN_OVERLOAD:
    case proto::SUB_NOT_RUN_UNAVAILABLE:
    case proto::SUB_NOT_RUN_SHED:
      return MakeResult(proto::OPERATION_NOT_RUN, answer.error());
    default:
      return MakeResult(proto::OPERATION_UNKNOWN, answer.error());
  }
}

}  // namespace

OperationDispatch::OperationDispatch(EventLoop& loop, OperationDispatchHooks hooks)
    : loop_(loop), hooks_(std::move(hooks)) {}

OperationDispatch::~OperationDispatch() {
  for (const auto& [id, running] : running_operations_) {
    loop_.Cancel(running.timer);
  }
}

void OperationDispatch::Run(const std::string& token, const std::string& service, const std::string& body,
                            Duration remaining, Done done) {
  const auto catalog = hooks_.catalog(service);
  if (!catalog || catalog->kind != ServiceKind::kExecute || catalog->upstreams.empty()) {
    done(MakeResult(proto::OPERATION_NOT_RUN, "service '" + service + "' takes no operations"));
    return;
  }
  const std::size_t offset = RandomId() % catalog->upstreams.size();
  for (std::size_t i = 0; i < catalog->upstreams.size(); ++i) {
    const CatalogUpstream& upstream = catalog->upstreams[(offset + i) % catalog->upstreams.size()];
    const proto::Daemon* owner = hooks_.usable_owner(upstream.address, upstream.failure_domain);
    if (owner == nullptr) {
      continue;
    }
    const std::uint64_t id = next_id_++;
    proto::SubQueries message;
    message.set_query_id(id);
    message.set_service(service);
    message.set_text(body);
    message.set_token(token);
    message.set_non_idempotent(true);
    message.set_remaining_us(
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(remaining).count()));
    proto::SubQuery* item = message.add_items();
    item->set_id(id);
    item->set_upstream(upstream.address);
    if (!hooks_.send(*owner, message)) {
      continue;  // nothing was sent, so another upstream may be asked
    }
    RunningOperation& running = running_operations_[id];
    running.done = std::move(done);
    running.timer = loop_.CallAfter(
        remaining, [this, id] { Finish(id, MakeResult(proto::OPERATION_UNKNOWN, "no answer before the deadline")); });
    return;
  }
  done(MakeResult(proto::OPERATION_NOT_RUN, "no upstream of service '" + service + "' can be reached"));
}

void OperationDispatch::HandleAnswers(const proto::SubAnswers& answers) {
  for (const auto& answer : answers.items()) {
    Finish(answer.id(), ToResult(answer));
  }
}

void OperationDispatch::Finish(std::uint64_t id, proto::OperationResult result) {
  const auto found = running_operations_.find(id);
  if (found == running_operations_.end()) {
    return;
  }
  loop_.Cancel(found->second.timer);
  const Done done = std::move(found->second.done);
  running_operations_.erase(found);
  done(std::move(result));
}

}  // namespace pimentomoor
