// HTTP/1.1 server and client based on h2o, running on an EventLoop. The gateway forwards requests with the classes of
// caller_server.h and http1_message.h instead, for the reasons given there.
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

/// Header fields as name and value, in order of arrival. Names are in lower case.
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
  std::string query;  // part of the target after '?'
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  HttpHeaders headers;
  std::string body;
};

/// Sends the response to a request. Call it exactly once; it does nothing when the client has disconnected.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpServerOptions {
  std::string address = "127.0.0.1";                      // IPv4 address to listen on
  std::uint16_t port = 0;                                 // 0 lets the kernel choose a port
  std::size_t max_head_bytes = std::size_t{16} * 1024;    // larger request heads are answered with 431
  std::size_t max_body_bytes = std::size_t{1024} * 1024;  // larger bodies are answered with 413
  std::size_t max_connections = 10'000;                   // further connections are closed when accepted
  Duration idle_timeout = std::chrono::seconds(30);
  Duration head_timeout = std::chrono::seconds(10);  // closes a connection whose request head takes longer
  // Limit for the sum of the incomplete request heads of all connections. Connections that exceed it are closed.
  std::size_t max_incomplete_head_bytes = std::size_t{16} * 1024 * 1024;
};

/// Serves requests for registered path prefixes and answers 404 for all other paths.
class HttpServer {
 public:
  /// Binds and listens. Throws std::system_error with the address when that fails.
  HttpServer(EventLoop& loop, HttpServerOptions options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Registers `handler` for all paths that start with `prefix`. The longest matching prefix is chosen.
  void Handle(std::string prefix, HttpHandler handler);

  /// Port that the server listens on, also when the options left the choice to the kernel.
  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::string address() const;  // "IP:port"
  [[nodiscard]] std::size_t open_connections() const;
  [[nodiscard]] std::size_t running_requests() const;

  /// Closes the listening socket. Open connections are closed after their next response.
  void StopAccepting();

  /// Closes all open connections, including those with a running request, in the next turn of the event loop.
  void CloseConnections();

  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

/// Why a call has no response.
enum class HttpFailure {
  kNone,
  kConnect,         // the connection failed before the request was sent
  kConnectionLost,  // the connection broke after the request was sent; the server may have run it
  kTimeout,         // the timeout passed after the request was sent; the server may have run it
  kConnectTimeout,  // the timeout passed before the request was sent
  kNotAllowed,      // HttpCall::may_write returned false, so the request was not sent
  kTooLarge,        // the body of the response exceeds HttpCall::max_response_bytes
};

/// Returns a short description for logs and error messages, such as "connection lost".
std::string_view ToString(HttpFailure failure);

/// Returns true when no byte of the request was sent, so that the server can't have run it.
constexpr bool NothingSent(HttpFailure failure) {
  return failure == HttpFailure::kConnect || failure == HttpFailure::kConnectTimeout ||
         failure == HttpFailure::kNotAllowed;
}

/// A request to send and its limits.
struct HttpCall {
  std::string target;  // "IP:port"
  std::string method = "GET";
  std::string path = "/";  // with the query string
  HttpHeaders headers;
  std::string body;
  Duration timeout = std::chrono::seconds(2);  // from HttpClient::Call() to the end of the response
  std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
  // Called when the connection is established, directly before the request is written to it. The call fails with
  // kNotAllowed when it returns false. Empty permits the write.
  std::function<bool()> may_write;
  // Opens a new connection and closes it after the response. The server may be closing a persistent one, and then it
  // would be unknown whether the request has run.
  bool new_connection = false;
};

/// The response to a call, or the reason why there is none.
struct HttpResult {
  HttpFailure failure = HttpFailure::kNone;
  std::string error;  // description of the failure with the call's method and target; empty on success
  int status = 0;
  HttpHeaders headers;
  std::string body;

  [[nodiscard]] bool ok() const { return failure == HttpFailure::kNone && status >= 200 && status < 300; }
};

using HttpCallId = std::uint64_t;
using HttpCallback = std::function<void(HttpResult)>;

/// Makes HTTP calls over persistent connections with one connection pool for each target. It does not limit the
/// number of concurrent calls; that is up to its users.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call. `done` is called from the event loop, exactly once unless the call is cancelled. Throws
  /// std::invalid_argument when the target is not an "IP:port".
  HttpCallId Call(HttpCall call, HttpCallback done);

  /// Cancels a running call and closes its connection. Its `done` is not called. Unknown and finished ids are
  /// ignored.
  void Cancel(HttpCallId id);

  /// Number of open connections in the pool of `target`, including idle ones.
  [[nodiscard]] std::size_t open_connections(const std::string& target) const;

  /// Frees the pool of `target` if it has no open connection. Idle connections are left to their timeout.
  void RemoveUnusedPool(const std::string& target);

  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace pimentomoor
