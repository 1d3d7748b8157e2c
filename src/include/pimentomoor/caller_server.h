// HTTP/1.1 server for callers of the gateway, with persistent connections and exact limits on sizes, times and the
// memory that callers together can make it hold.
//
// Unlike HttpServer, it reports a caller that disconnects while its request is running, and passes on the header
// fields as received, so that they can be forwarded.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pimentomoor/buffer_budget.h"
#include "pimentomoor/clock.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http1_message.h"
#include "pimentomoor/metrics.h"
#include "pimentomoor/tcp_stream.h"

namespace pimentomoor {

/// An answer to a caller.
struct OutgoingResponse {
  int status = 200;
  std::string fields;  // "Name: value\r\n" for each header field except Content-Length and Connection
  std::string body;
};

class CallerConnection;

/// One request of a caller and the means to answer it.
class CallerExchange {
 public:
  CallerExchange(CallerConnection* connection, RequestMessage message, TimePoint received, bool first)
      : request(std::move(message)), received_at(received), first_on_connection(first), connection_(connection) {}

  const RequestMessage request;
  const TimePoint received_at;
  const bool first_on_connection;       // the caller also waited for the connection to open
  std::function<void()> on_disconnect;  // called when the caller disconnects before the answer
  // Called when callers hold too much memory and this request has to give up its own. It is expected to answer the
  // caller and to drop the request. When it is not set, the connection is closed.
  std::function<void()> on_revoked;

  /// Adds to the memory that the request counts with, as long as this object exists. Does nothing without a budget.
  void HoldMore(std::size_t bytes);
  /// Sends the answer. Does nothing when the request is answered already or the caller has disconnected.
  void Respond(const OutgoingResponse& response);
  /// Whether the request was answered, even if parts of the answer are not sent yet, or the caller has disconnected.
  [[nodiscard]] bool finished() const { return connection_ == nullptr; }

 private:
  friend class CallerConnection;
  void CountIn(BufferBudget& budget, const std::string& peer);
  void OnRevoked();

  CallerConnection* connection_;       // null once finished
  std::optional<BufferedBytes> held_;  // set when there is a budget
};

using CallerHandler = std::function<void(const std::shared_ptr<CallerExchange>&)>;

struct CallerServerOptions {
  std::string address;  // "IP:port"
  MessageLimits limits;
  Duration head_timeout = std::chrono::seconds(10);  // for receiving a request head
  // Limit for a connection without a request, and for the time in which a caller reads nothing of its answer. Added
  // to head_timeout for a request whose head is complete and whose body is not.
  Duration idle_timeout = std::chrono::seconds(30);
  // With this number of open connections, a new one takes the place of the longest waiting one of the caller that has
  // most, or is closed.
  std::size_t max_connections = 3'000;

  friend bool operator==(const CallerServerOptions&, const CallerServerOptions&) = default;
};

/// Accepts callers' connections and passes each request to a handler.
class CallerServer {
 public:
  /// Binds and listens. Throws std::system_error with the address when that fails. `names` must outlive the server.
  /// With a `budget`, connections, requests and unsent answers count in it.
  CallerServer(EventLoop& loop, Metrics& metrics, const FieldNames& names, CallerServerOptions options,
               CallerHandler handler, BufferBudget* budget = nullptr);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Changes the limits. New message limits apply from the next request of each connection, timeouts at once.
  void SetLimits(const MessageLimits& limits, Duration head_timeout, Duration idle_timeout);

  /// Changes CallerServerOptions::max_connections for connections that are accepted from now on.
  void SetMaxConnections(std::size_t max_connections) { options_.max_connections = max_connections; }

  /// Closes each connection after its next answer from now on.
  void CloseAfterAnswers() { close_after_answers_ = true; }
  /// Closes the listening socket and the idle connections. Running requests continue until their answers are sent.
  void StopAccepting();

  [[nodiscard]] std::size_t open_connections() const { return connections_.size(); }
  /// Requests whose answer is not completely sent.
  [[nodiscard]] std::size_t running_requests() const { return running_requests_; }
  [[nodiscard]] std::string address() const { return listener_->address(); }

 private:
  friend class CallerConnection;
  using Connections = std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>>;
  /// Closes a connection to make room for one from `peer`. Returns whether there was one to close.
  bool MakeRoomFor(const std::string& peer);
  void Accept(int fd);
  void Remove(CallerConnection* connection);
  void CheckConnectionTimeouts();

  EventLoop& loop_;
  Metrics& metrics_;
  const FieldNames& names_;
  CallerServerOptions options_;
  CallerHandler handler_;
  BufferBudget* budget_;                   // null: no bound on the sum
  std::unique_ptr<TcpListener> listener_;  // null after StopAccepting()
  Connections connections_;
  std::unordered_map<std::string, std::size_t> connection_counts_;  // open connections by the caller's IP address
  std::list<CallerConnection*> waiting_;  // connections that wait for a request or a part of it, longest first
  std::size_t running_requests_ = 0;
  bool close_after_answers_ = false;
  TimerId timeout_check_timer_ = 0;
};

}  // namespace pimentomoor
