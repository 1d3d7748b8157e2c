// Implementation of the translation between sub-queries and HTTP calls to upstreams.
#include "upstream_call.h"

namespace pimentomoor {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kConflict = 409;
constexpr int kGatewayTimeout = 504;

std::string Serialize(const google::protobuf::MessageLite& message) { return message.SerializeAsString(); }

std::uint32_t DeadlineMilliseconds(Duration remaining) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count()));
}

std::string BuildBody(const proto::SubQueries& batch, const proto::SubQuery& item, Duration remaining) {
  if (batch.non_idempotent()) {
    proto::ExecuteRequest request;
    request.set_id(item.id());
    request.set_service(batch.service());
    request.set_body(batch.text());
    request.set_token(batch.token());
    request.set_deadline_ms(DeadlineMilliseconds(remaining));
    return Serialize(request);
  }
  proto::SearchRequest request;
  request.set_id(item.id());
  request.set_shard(item.shard());
  request.set_snapshot(batch.snapshot());
  request.set_service(batch.service());
  request.set_text(batch.text());
  request.set_limit(batch.limit());
  request.set_deadline_ms(DeadlineMilliseconds(remaining));
  return Serialize(request);
}

// Sets status and error of an answer and returns a report with the result.
AttemptReport BuildReport(proto::SubAnswer& answer, proto::SubStatus status, AttemptResult result,
                          const std::string& error) {
  answer.set_status(status);
  if (!error.empty()) {
    answer.set_error(error);
  }
  return {.result = result};
}

AttemptReport ReadTransportFailure(const HttpResult& result, proto::SubAnswer& answer) {
  switch (result.failure) {
    case HttpFailure::kConnect:
    case HttpFailure::kConnectTimeout:
      return BuildReport(answer, proto::SUB_NOT_RUN_UNAVAILABLE, AttemptResult::kConnectFailed, result.error);
    case HttpFailure::kNotAllowed:
      return BuildReport(answer, proto::SUB_NOT_RUN_NOT_OWNER, AttemptResult::kNotSent, result.error);
    case HttpFailure::kTimeout:
      return BuildReport(answer, proto::SUB_TIMEOUT, AttemptResult::kTimeout, result.error);
    case HttpFailure::kTooLarge:
      return BuildReport(answer, proto::SUB_FAILED, AttemptResult::kError, result.error);
    default:
      return BuildReport(answer, proto::SUB_CONNECTION_LOST, AttemptResult::kConnectionLost, result.error);
  }
}

// Reads a response whose HTTP status is an error. An upstream refuses a request before running it with status 503
// (shedding or draining), 409 (it holds another snapshot) or 504 (the deadline passed while the request was queued).
AttemptReport ReadErrorStatus(const proto::SubQuery& item, const HttpResult& result, proto::SubAnswer& answer) {
  const std::string error = "upstream " + item.upstream() + " answered status " + std::to_string(result.status);
  if (result.status == kConflict) {
    return BuildReport(answer, proto::SUB_WRONG_SNAPSHOT, AttemptResult::kWrongSnapshot, error);
  }
  if (result.status == kServiceUnavailable || result.status == kGatewayTimeout) {
    AttemptReport report = BuildReport(answer, proto::SUB_NOT_RUN_SHED, AttemptResult::kShed, error);
    report.draining = FindHeader(result.headers, "x-draining") == "1";
    return report;
  }
  return BuildReport(answer, proto::SUB_FAILED, AttemptResult::kError, error);
}

AttemptReport ReadSearchResponse(const proto::SubQueries& batch, const proto::SubQuery& item,
                                 const HttpResult& result, proto::SearchResponse& response,
                                 proto::SubAnswer& answer) {
  if (!response.ParseFromString(result.body)) {
    response.clear_rows();
    return BuildReport(answer, proto::SUB_FAILED, AttemptResult::kError,
                       "upstream " + item.upstream() + " answered a malformed body");
  }
  if (response.id() != item.id()) {
    response.clear_rows();
    return BuildReport(answer, proto::SUB_FAILED, AttemptResult::kError,
                       "upstream " + item.upstream() + " answered another request");
  }
  const bool matches = response.shard() == item.shard() && response.snapshot() == batch.snapshot();
  AttemptReport report =
      matches ? BuildReport(answer, proto::SUB_OK, AttemptResult::kOk, "")
              : BuildReport(answer, proto::SUB_WRONG_SNAPSHOT, AttemptResult::kWrongSnapshot,
                            "upstream " + item.upstream() + " answered from snapshot " +
                                std::to_string(response.snapshot()) + " shard " + std::to_string(response.shard()));
  report.incarnation = response.incarnation();
  report.cold = response.cold();
  report.draining = response.draining();
  answer.set_snapshot(response.snapshot());
  if (!matches) {
    response.clear_rows();
  }
  return report;
}

AttemptReport ReadExecuteResponse(const proto::SubQuery& item, const HttpResult& result, proto::SubAnswer& answer) {
  proto::ExecuteResponse response;
  if (!response.ParseFromString(result.body) || response.id() != item.id()) {
    return BuildReport(answer, proto::SUB_FAILED, AttemptResult::kError,
                       "upstream " + item.upstream() + " answered a malformed body or another request");
  }
  AttemptReport report = BuildReport(answer, proto::SUB_OK, AttemptResult::kOk, "");
  report.incarnation = response.incarnation();
  answer.add_rows()->set_text(response.body());
  return report;
}

}  // namespace

HttpCall BuildUpstreamCall(const proto::SubQueries& batch, const proto::SubQuery& item, Duration remaining) {
  HttpCall call;
  call.target = item.upstream();
  call.method = "POST";
  call.path = batch.non_idempotent() ? "/execute" : "/search";
  call.headers.reserve(2);
  call.headers.emplace_back("content-type", "application/x-protobuf");
  if (!batch.traceparent().empty()) {
    call.headers.emplace_back("traceparent", batch.traceparent());
  }
  call.body = BuildBody(batch, item, remaining);
  call.timeout = remaining;
  call.new_connection = batch.non_idempotent();
  return call;
}

AttemptReport ReadUpstreamResult(const proto::SubQueries& batch, const proto::SubQuery& item,
                                 const HttpResult& result, proto::SearchResponse& response,
                                 proto::SubAnswer& answer) {
  response.clear_rows();
  answer.set_id(item.id());
  answer.set_shard(item.shard());
  if (result.failure != HttpFailure::kNone) {
    return ReadTransportFailure(result, answer);
  }
  if (!result.ok()) {
    return ReadErrorStatus(item, result, answer);
  }
  AttemptReport report = batch.non_idempotent() ? ReadExecuteResponse(item, result, answer)
                                                : ReadSearchResponse(batch, item, result, response, answer);
  // The responses to operations name cold start and drain only in headers.
  report.cold = report.cold || FindHeader(result.headers, "x-cold") == "1";
  report.draining = report.draining || FindHeader(result.headers, "x-draining") == "1";
  return report;
}

}  // namespace pimentomoor
