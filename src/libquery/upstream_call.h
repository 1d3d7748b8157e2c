// Translation between sub-queries and HTTP calls to upstreams.
#pragma once

#include <string>

#include "peer.pb.h"
#include "pimentomoor/http.h"
#include "pimentomoor/upstream_policy.h"
#include "upstream.pb.h"

namespace pimentomoor {

/// Builds the call that runs a sub-query of `batch` at its upstream. `remaining` becomes both the timeout of the call
/// and the deadline that the upstream gets.
HttpCall BuildUpstreamCall(const proto::SubQueries& batch, const proto::SubQuery& item, Duration remaining);

/// Fills the empty `answer` from the result of a call. The rows of a search stay in `response`, which has none when
/// the search failed; the caller passes the same `response` to all calls, so that its memory is reused. A response
/// for another id, shard or snapshot than that of the sub-query is an error. The caller sets the latency in the
/// report.
AttemptReport ReadUpstreamResult(const proto::SubQueries& batch, const proto::SubQuery& item,
                                 const HttpResult& result, proto::SearchResponse& response, proto::SubAnswer& answer);

}  // namespace pimentomoor
