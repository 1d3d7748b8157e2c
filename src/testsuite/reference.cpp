// Computes reference rows and compares answers with them.
#include "reference.h"

#include <algorithm>
#include <cstdio>
#include <set>

namespace pimentomoor {
namespace {

constexpr std::uint64_t kMaxRows = 7;
constexpr std::uint32_t kDefaultLimit = 10;  // applies when QueryRequest.limit is 0

std::uint64_t MixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

void SortAndTruncate(std::vector<proto::Row>& rows, std::uint32_t limit) {
  std::sort(rows.begin(), rows.end(), [](const proto::Row& a, const proto::Row& b) {
    return a.score() != b.score() ? a.score() > b.score() : a.id() < b.id();
  });
  if (limit != 0 && rows.size() > limit) {
    rows.resize(limit);
  }
}

std::string CheckShardLists(const proto::QueryAnswer& answer, std::uint32_t shard_count) {
  std::set<std::uint32_t> named(answer.covered().begin(), answer.covered().end());
  for (const auto& missing : answer.missing()) {
    named.insert(missing.shard());
  }
  const auto listed = static_cast<std::uint32_t>(answer.covered_size() + answer.missing_size());
  if (listed != shard_count || named.size() != shard_count || (!named.empty() && *named.rbegin() >= shard_count)) {
    return "covered and missing shards do not name each of " + std::to_string(shard_count) + " shards once";
  }
  const bool complete = answer.missing_size() == 0;
  if (complete != (answer.outcome() == "complete")) {
    return "outcome '" + answer.outcome() + "' with " + std::to_string(answer.missing_size()) + " missing shards";
  }
  return "";
}

std::string CheckRows(const std::vector<proto::Row>& expected, const proto::QueryAnswer& answer) {
  if (answer.rows_size() != static_cast<int>(expected.size())) {
    return std::to_string(answer.rows_size()) + " rows instead of " + std::to_string(expected.size());
  }
  for (int i = 0; i < answer.rows_size(); ++i) {
    const auto& wanted = expected[static_cast<std::size_t>(i)];
    const auto& actual = answer.rows(i);
    if (actual.id() != wanted.id() || actual.score() != wanted.score() || actual.text() != wanted.text()) {
      return "row " + std::to_string(i) + " is '" + actual.id() + "' instead of '" + wanted.id() + "'";
    }
  }
  return "";
}

}  // namespace

std::uint64_t StableHash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }
  return MixBits(hash);
}

std::vector<proto::Row> ReferenceRows(const std::string& service, std::uint64_t snapshot, std::uint32_t shard,
                                      const std::string& text, std::uint32_t limit) {
  const std::string prefix = service + "/" + std::to_string(snapshot) + "/" + std::to_string(shard) + "/";
  const std::uint64_t seed = StableHash(prefix + text);
  std::vector<proto::Row> rows(seed % (kMaxRows + 1));
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const std::uint64_t hash = MixBits(seed + i + 1);
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(hash));
    rows[i].set_id(prefix + id);
    // 32 bits divided by a power of two are exact in a double, so scores survive JSON and compare for equality.
    rows[i].set_score(static_cast<double>(hash >> 32) / 4294967296.0);
    rows[i].set_text(text + " " + std::to_string(i));
  }
  SortAndTruncate(rows, limit);
  return rows;
}

std::vector<proto::Row> ReferenceAnswerRows(const std::string& service, std::uint64_t snapshot,
                                            const std::vector<std::uint32_t>& shards, const std::string& text,
                                            std::uint32_t limit) {
  std::vector<proto::Row> rows;
  for (const auto shard : shards) {
    for (auto& row : ReferenceRows(service, snapshot, shard, text, limit)) {
      rows.push_back(std::move(row));
    }
  }
  SortAndTruncate(rows, limit);
  return rows;
}

std::string ReferenceExecutionBody(const std::string& service, const std::string& token, const std::string& body) {
  return "executed " + std::to_string(StableHash(service + "\n" + token + "\n" + body));
}

std::string CheckAnswer(const ServiceSpec& service, const proto::QueryRequest& request,
                        const proto::QueryAnswer& answer) {
  if (answer.outcome() == "not_run" || answer.outcome() == "failed") {
    return answer.rows_size() == 0 ? "" : "rows in an answer with outcome '" + answer.outcome() + "'";
  }
  if (answer.outcome() != "complete" && answer.outcome() != "partial") {
    return "unknown outcome '" + answer.outcome() + "'";
  }
  if (answer.service() != service.name) {
    return "service '" + answer.service() + "' instead of '" + service.name + "'";
  }
  const SnapshotSpec* snapshot = service.FindSnapshot(answer.snapshot());
  if (snapshot == nullptr) {
    return "unknown snapshot " + std::to_string(answer.snapshot());
  }
  if (answer.shards() != snapshot->shard_count) {
    return std::to_string(answer.shards()) + " shards instead of " + std::to_string(snapshot->shard_count);
  }
  if (auto error = CheckShardLists(answer, snapshot->shard_count); !error.empty()) {
    return error;
  }
  const std::vector<std::uint32_t> covered(answer.covered().begin(), answer.covered().end());
  const std::uint32_t limit = request.limit() == 0 ? kDefaultLimit : request.limit();
  return CheckRows(ReferenceAnswerRows(service.name, snapshot->version, covered, request.text(), limit), answer);
}

}  // namespace pimentomoor
