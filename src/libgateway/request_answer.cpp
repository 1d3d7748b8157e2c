// Answers to a caller: merged records, one upstream's answer passed on, refusals and failures.
#include <algorithm>
#include <chrono>

#include "pimentomoor/request_run.h"
#include "pimentomoor/top_records.h"

namespace pimentomoor {

namespace {

std::string FormatSeconds(Duration time) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  std::string fraction = std::to_string(1000 + milliseconds % 1000);
  fraction[0] = '.';
  return std::to_string(milliseconds / 1000) + fraction;
}

}  // namespace

void RequestRun::Respond(const OutgoingResponse& response, const char* outcome) {
  paused_parts_ = static_cast<std::size_t>(std::count_if(
      parts_.begin(), parts_.end(), [this](const Part& part) { return IsPausedUntilAfter(part, TimePoint::min()); }));
  MarkFinished();
  RecordWait();
  context_.metrics.Count("pimentomoor_run_answers_total", 1, outcome);
  caller_->Respond(response);
  RecordTrace(response.status, outcome);
  CancelRunning(TimePoint::max());
}

void RequestRun::RecordTrace(int status, const char* outcome) {
  if (context_.tracer == nullptr) {
    return;
  }
  const bool success = status >= 200 && status < 300;
  const std::size_t received = is_gather() ? done_parts_ : (success ? 1 : 0);
  // A caller that left is no fault of this tier. OnRequestEnd() still records the request if it was late.
  const bool ok = status == 0 || (success && received == parts_.size());
  context_.tracer->OnRequestEnd(*caller_, trace_,
                                {.route = route_.name,
                                 .outcome = outcome,
                                 .ok = ok,
                                 .status = status,
                                 .received_parts = received,
                                 .missing_parts = parts_.size() - received,
                                 .paused_parts = paused_parts_,
                                 .objective = route_.objective},
                                context_.loop.Now());
}

void RequestRun::RespondGather() {
  OutgoingResponse response{.fields = context_.names.parts + ": "};
  bool first = true;
  for (const auto& part : parts_) {
    if (part.done) {
      response.fields.append(first ? "" : ", ").append(part.stamp);
      first = false;
    }
  }
  response.fields +=
      "\r\n" + context_.names.missing_parts + ": " + std::to_string(parts_.size() - done_parts_) + "\r\n";
  if (done_parts_ == parts_.size()) {
    RecordSuccess();
  }
  TopRecords top(route_.top_records);
  for (const auto& records : part_records_) {
    top.Add(records);
  }
  response.body = top.Merge();
  Respond(response, done_parts_ == parts_.size() ? "outcome=\"whole\"" : "outcome=\"partial\"");
}

void RequestRun::RespondSingle(ResponseMessage& answer) {
  Respond({.status = answer.status, .fields = std::move(answer.forward_fields), .body = std::move(answer.body)},
          answer.status < 300 ? "outcome=\"forwarded\"" : "outcome=\"searcher failure\"");
}

void RequestRun::Refuse(Duration retry_after) {
  Respond({.status = 503, .fields = "Retry-After: " + FormatSeconds(retry_after) + "\r\n"}, "outcome=\"refused\"");
}

void RequestRun::Fail(int status, const char* reason) {
  context_.metrics.Count("pimentomoor_run_failures_total", 1, std::string("reason=\"") + reason + "\"");
  Respond({.status = status}, "outcome=\"failed\"");
}

}  // namespace pimentomoor
