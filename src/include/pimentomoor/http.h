// HTTP/1.1 server and client over h2o, on an EventLoop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pimentomoor/clock.h"
#include "pimentomoor/event_loop.h"

namespace pimentomoor {

/// Header fields in order; names in lower case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field named `name` (lower case), or an empty view.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// Returns the decoded value of `key` in a query string such as "a=1&b=2", or an empty string.
std::string QueryParameter(std::string_view query, std::string_view key);

/// Percent-encodes a value for a query string; QueryParameter() decodes it.
std::string UrlEncode(std::string_view text);

struct HttpRequest {
  std::string method;
  std::string path;   // without the query string
  std::string query;  // after '?', without it
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  HttpHeaders headers;
  std::string body;
};

/// Sends the response. Call it exactly once; it does nothing when the client has left.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpServerOptions {
  std::string address = "127.0.0.1";                      // IP number
  std::uint16_t port = 0;                                 // 0 takes a free port
  std::size_t max_head_bytes = std::size_t{16} * 1024;    // larger request heads get 431
  std::size_t max_body_bytes = std::size_t{1024} * 1024;  // larger requests get 413
  std::size_t max_connections = 10'000;                   // more are closed at accept
  Duration idle_timeout = std::chrono::seconds(30);
  Duration head_timeout = std::chrono::seconds(10);  // a request head that takes longer closes its connection
  // Sum over all connections; further connections with an unfinished head are closed.
  std::size_t max_unfinished_head_bytes = std::size_t{16} * 1024 * 1024;
};

/// Serves requests to registered paths. Unknown paths get 404.
class HttpServer {
 public:
  /// Binds and listens. Throws std::system_error that names the address when that fails.
  HttpServer(EventLoop& loop, HttpServerOptions options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Registers `handler` for all paths that begin with `prefix`; the longest matching prefix wins.
  void Handle(std::string prefix, HttpHandler handler);

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::string address() const;  // "IP:port"
  [[nodiscard]] std::size_t open_connections() const;
  [[nodiscard]] std::size_t running_requests() const;

  /// Closes the listening socket; open connections go on, and are closed after their next response.
  void StopAccepting();

  /// Closes all open connections in the next turn of the loop, also those with a running request.
  void CloseConnections();

  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

enum class HttpFailure {
  kNone,
  kConnect,         // nothing was sent
  kConnectionLost,  // after the request was handed to the connection; the server may have run it
  kTimeout,         // after the request was handed to the connection; the server may have run it
  kConnectTimeout,  // nothing was sent
  kNotAllowed,      // nothing was sent, because HttpCall::may_write refused
  kTooLarge,        // the response exceeds the limit
};

/// Short text for logs and errors, such as "connection lost".
std::string_view ToString(HttpFailure failure);

/// True when the server can't have received the request.
constexpr bool NothingSent(HttpFailure failure) {
  return failure == HttpFailure::kConnect || failure == HttpFailure::kConnectTimeout ||
         failure == HttpFailure::kNotAllowed;
}

struct HttpCall {
  std::string target;  // "IP:port"
  std::string method = "GET";
  std::string path = "/";  // with the query string
  HttpHeaders headers;
  std::string body;
  Duration timeout = std::chrono::seconds(2);  // from the call to the end of the response
  std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
  std::function<bool()> may_write;  // asked when the connection is ready, directly before the write; empty: always
  bool new_connection = false;      // never use a kept connection, whose server may be closing it
};

struct HttpResult {
  HttpFailure failure = HttpFailure::kNone;
  std::string error;  // names target and failure; empty on success
  int status = 0;
  HttpHeaders headers;
  std::string body;

  [[nodiscard]] bool ok() const { return failure == HttpFailure::kNone && status >= 200 && status < 300; }
};

using HttpCallId = std::uint64_t;
using HttpCallback = std::function<void(HttpResult)>;

/// Makes calls over kept connections, one pool for each target. The caller limits how many calls run at once.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call; `done` runs in a later turn of the loop, exactly once unless the call is cancelled.
  HttpCallId Call(HttpCall call, HttpCallback done);

  /// Ends a running call by closing its connection; `done` is not called.
  void Cancel(HttpCallId id);

  /// Open connections to `target`, kept ones included.
  [[nodiscard]] std::size_t open_connections(const std::string& target) const;

  /// Closes idle kept connections to `target`.
  void RemoveUnusedPool(const std::string& target);

  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace pimentomoor
