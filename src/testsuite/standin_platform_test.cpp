// Tests of the stand-in platform over HTTP, as other processes use it.
#include "standin_platform.h"

#include <optional>

#include "pimentomoor/strict_yaml.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // comes last because it redefines operator new
// clang-format on

namespace pimentomoor {

TEST_GROUP(StandinPlatform) {
  SystemClock clock;
  EventLoop loop{clock};
  HttpClient http{loop};
  StandinPlatform platform{loop, {.max_value_bytes = 100, .watch_limit = std::chrono::milliseconds(50)}};

  HttpResult Call(const std::string& target, const std::string& method, const std::string& path,
                  const std::string& body = "", const HttpHeaders& headers = {}) {
    std::optional<HttpResult> got;
    http.Call({.target = target,
               .method = method,
               .path = path,
               .headers = headers,
               .body = body,
               .timeout = std::chrono::milliseconds(300)},
              [&](const HttpResult& result) { got = result; });
    CHECK(loop.RunUntil([&] { return got.has_value(); }, std::chrono::seconds(5)));
    return got.value_or(HttpResult{});
  }

  HttpResult Put(const std::string& body, const HttpHeaders& headers) {
    return Call(platform.address(), "PUT", "/objects/a/b", body, headers);
  }

  int SetFaults(const std::string& yaml) { return Call(platform.control_address(), "PUT", "/faults", yaml).status; }
};

// Guards against a stand-in that accepts updates without a condition or with a large value, which the platform
// refuses.
TEST(StandinPlatform, UpdatesNeedAConditionAndASmallValue) {
  LONGS_EQUAL(428, Put("x", {}).status);
  LONGS_EQUAL(428, Put("x", {{"if-match", "\"x\""}}).status);
  LONGS_EQUAL(413, Put(std::string(101, 'x'), {{"if-none-match", "*"}}).status);
  LONGS_EQUAL(201, Put("x", {{"if-none-match", "*"}}).status);
  LONGS_EQUAL(409, Put("y", {{"if-none-match", "*"}}).status);
  const HttpResult conflict = Put("y", {{"if-match", "\"7\""}});
  LONGS_EQUAL(412, conflict.status);
  STRCMP_EQUAL("x", conflict.body.c_str());
  STRCMP_EQUAL("\"1\"", std::string(FindHeader(conflict.headers, "etag")).c_str());
  LONGS_EQUAL(200, Put("y", {{"if-match", "\"1\""}}).status);
  LONGS_EQUAL(204, Call(platform.address(), "GET", "/watch?key=a%2Fb&after=2").status);
  STRCMP_EQUAL("y", Call(platform.address(), "GET", "/watch?key=a/b&after=1").body.c_str());
  LONGS_EQUAL(404, Call(platform.address(), "GET", "/objects/a").status);
  STRCMP_EQUAL("{\"get\":1,\"put\":7,\"watch\":2,\"hosts\":0,\"conflicts\":2,\"lost_answers\":0}\n",
               Call(platform.control_address(), "GET", "/calls").body.c_str());
}

// Guards against an outage that can't be ended, and against mistyped faults that are silently ignored.
TEST(StandinPlatform, FaultsAreSetOverHttp) {
  LONGS_EQUAL(400, SetFaults("outage: refused"));
  LONGS_EQUAL(400, SetFaults("lose_answer: 1"));
  LONGS_EQUAL(200, SetFaults("outage: refuse"));
  CHECK(NothingSent(Call(platform.address(), "GET", "/hosts").failure));
  LONGS_EQUAL(200, SetFaults("outage: hang"));
  CHECK(Call(platform.address(), "GET", "/hosts").failure == HttpFailure::kTimeout);
  LONGS_EQUAL(200, SetFaults("lose_answers: true\nhost_list_lag_ms: 5\ndelay_ms: 1\nstale_watch: true"));
  CHECK(Put("x", {{"if-none-match", "*"}}).failure == HttpFailure::kConnectionLost);
  STRCMP_EQUAL("x", Call(platform.address(), "GET", "/objects/a/b").body.c_str());
  LONGS_EQUAL(200, SetFaults(""));
  CHECK(platform.faults() == PlatformFaults{});
  LONGS_EQUAL(400, Call(platform.control_address(), "PUT", "/hosts", "{\"hosts\":[{}]}").status);
  LONGS_EQUAL(200, Call(platform.control_address(), "PUT", "/hosts", "{\"hosts\":[]}").status);
}

}  // namespace pimentomoor
