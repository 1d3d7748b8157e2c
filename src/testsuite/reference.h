// Reference implementation of search: the rows that each shard returns for a text, and the merged answer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "caller.pb.h"
#include "deployment.h"
#include "peer.pb.h"

namespace pimentomoor {

/// A 64-bit hash that is the same in every process.
std::uint64_t StableHash(std::string_view text);

/// Rows that one shard returns for `text`, highest score first, ties by id. Returns at most `limit` rows, or all when
/// `limit` is 0. A shard has 0 to 7 rows.
std::vector<proto::Row> ReferenceRows(const std::string& service, std::uint64_t snapshot, std::uint32_t shard,
                                      const std::string& text, std::uint32_t limit);

/// Merged rows of `shards`, highest score first, ties by id. Returns at most `limit` rows, or all when `limit` is 0.
std::vector<proto::Row> ReferenceAnswerRows(const std::string& service, std::uint64_t snapshot,
                                            const std::vector<std::uint32_t>& shards, const std::string& text,
                                            std::uint32_t limit);

/// Body of the response of an upstream to an operation.
std::string ReferenceExecutionBody(const std::string& service, const std::string& token, const std::string& body);

/// Returns why `answer` is not a correct answer to `request`, or an empty string when it is one. The rows must match
/// the reference over the covered shards, the lists of covered and missing shards must name each shard once, and the
/// outcome must be "complete" exactly when no shard is missing. An answer with outcome "not_run" or "failed" must not
/// contain rows.
std::string CheckAnswer(const ServiceSpec& service, const proto::QueryRequest& request,
                        const proto::QueryAnswer& answer);

}  // namespace pimentomoor
