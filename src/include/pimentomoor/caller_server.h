// HTTP/1.1 server for callers: kept connections, exact limits, and notice of callers that leave while their request
// is running. Unlike HttpServer it hands out the request's fields as received, for forwarding.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pimentomoor/clock.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http1_message.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/tcp_stream.h"

namespace pimentomoor {

struct OutgoingResponse {
  int status = 200;
  std::string fields;  // "Name: value\r\n" of each field except Content-Length and Connection
  std::string body;
};

class CallerConnection;

/// One request of a caller and its place to answer.
class CallerExchange {
 public:
  CallerExchange(CallerConnection* connection, RequestMessage message, TimePoint received, bool first)
      : request(std::move(message)), received_at(received), first_on_connection(first), connection_(connection) {}

  const RequestMessage request;
  const TimePoint received_at;
  const bool first_on_connection;       // the caller's time includes that of opening the connection
  std::function<void()> on_disconnect;  // the caller closed its connection before the answer

  /// Sends the answer. Calls after the first one, or after the caller has left, do nothing.
  void Respond(const OutgoingResponse& response);
  [[nodiscard]] bool finished() const { return connection_ == nullptr; }

 private:
  friend class CallerConnection;
  CallerConnection* connection_;  // null once answered or gone
};

using CallerHandler = std::function<void(const std::shared_ptr<CallerExchange>&)>;

struct CallerServerOptions {
  std::string address;  // "IP:port"
  MessageLimits limits;
  Duration head_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(30);
  std::size_t max_connections = 3'000;  // more are closed at accept

  friend bool operator==(const CallerServerOptions&, const CallerServerOptions&) = default;
};

class CallerServer {
 public:
  /// Binds and listens; throws std::system_error that names the address. `names` must outlive the server.
  CallerServer(EventLoop& loop, Metrics& metrics, const FieldNames& names, CallerServerOptions options,
               CallerHandler handler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Takes effect for the next request of each connection.
  void SetLimits(const MessageLimits& limits, Duration head_timeout, Duration idle_timeout);

  /// Every answer from now on closes its connection.
  void CloseAfterAnswers() { closing_ = true; }
  /// Closes the listener and the idle connections; running requests go on.
  void StopAccepting();

  [[nodiscard]] std::size_t open_connections() const { return connections_.size(); }
  [[nodiscard]] std::size_t running_requests() const { return running_; }
  [[nodiscard]] std::string address() const { return listener_->address(); }

 private:
  friend class CallerConnection;
  void Accept(int fd);
  void Remove(CallerConnection* connection);
  void Sweep();

  EventLoop& loop_;
  Metrics& metrics_;
  const FieldNames& names_;
  CallerServerOptions options_;
  CallerHandler handler_;
  std::unique_ptr<TcpListener> listener_;  // null after StopAccepting()
  std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>> connections_;
  std::size_t running_ = 0;
  bool closing_ = false;
  TimerId sweep_timer_ = 0;
};

}  // namespace pimentomoor
