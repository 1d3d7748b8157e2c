// Tests of row merging by the dispatcher, with an HTTP server on the same event loop as upstream.
#include <optional>

#include "pimentomoor/dispatcher.h"
#include "upstream.pb.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

namespace {

constexpr int kRowCount = 3;

void AnswerRows(const HttpRequest& request, const HttpResponder& respond) {
  proto::SearchRequest search;
  search.ParseFromString(request.body);
  proto::SearchResponse response;
  response.set_id(search.id());
  response.set_shard(search.shard());
  response.set_snapshot(search.snapshot());
  for (int i = 0; i < kRowCount; ++i) {
    proto::Row& row = *response.add_rows();
    row.set_id("r" + std::to_string(i));
    row.set_score(i);
  }
  respond({.content_type = "application/x-protobuf", .body = response.SerializeAsString()});
}

// Runs one sub-query with a row limit of 1 and returns its answer.
proto::SubAnswer AnswerToOneSubQuery(bool merge_rows) {
  const SystemClock clock;
  EventLoop loop(clock);
  Metrics metrics;
  HttpClient client(loop);
  HttpServer server(loop, {});
  server.Handle("/search", AnswerRows);
  std::optional<proto::SubAnswer> answer;
  Dispatcher dispatcher(
      loop, client, metrics, {},
      {.may_send = [](const std::string&) { return true; },
       .in_outage = [](const std::string&, const std::string&) { return false; },
       .send_answers = [&](const proto::Daemon&, const proto::SubAnswers& message) { answer = message.items(0); }});
  dispatcher.ConfigureUpstreams({{.address = server.address(), .failure_domain = "a", .slots = 1, .connections = 1}});
  proto::SubQueries message;
  message.set_query_id(1);
  message.set_limit(1);
  message.set_remaining_us(1'000'000);
  message.set_merge_rows(merge_rows);
  proto::SubQuery& item = *message.add_items();
  item.set_id(1);
  item.set_upstream(server.address());
  dispatcher.Submit({}, message);
  CHECK(loop.RunUntil([&] { return answer.has_value(); }, std::chrono::seconds(5)));
  return answer.value_or(proto::SubAnswer());
}

}  // namespace

TEST_GROUP(DispatcherMerge){};

// Guards against dropped rows in answers to an entry that does not allow merging and so does not check whether the
// rows were dropped in favour of an answer that it rejects.
TEST(DispatcherMerge, MergesRowsOnlyWhenTheEntryAllowsIt) {
  const proto::SubAnswer whole = AnswerToOneSubQuery(false);
  LONGS_EQUAL(proto::SUB_OK, whole.status());
  LONGS_EQUAL(kRowCount, whole.rows_size());
  LONGS_EQUAL(0, whole.dropped_rows());
  const proto::SubAnswer merged = AnswerToOneSubQuery(true);
  LONGS_EQUAL(1, merged.rows_size());
  STRCMP_EQUAL("r2", merged.rows(0).id().c_str());
  LONGS_EQUAL(kRowCount - 1, merged.dropped_rows());
}

}  // namespace pimentomoor
