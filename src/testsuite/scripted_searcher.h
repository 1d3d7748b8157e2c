// A searcher that sends a given response to each request and then ends the connection in a given way, for tests of
// how the gateway handles it.
#pragma once

#include <sys/socket.h>

#include <algorithm>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "names.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/tcp_stream.h"
#include "test_address.h"

namespace pimentomoor {

/// A response that is sent some time after the request, and possibly a second time later.
struct TimedResponse {
  std::string response;              // all bytes of the response; empty sends none
  Duration delay{};                  // time from the request to the response
  std::optional<Duration> resend{};  // time from the response to a second copy of it; unset sends none
  std::string resent = {};           // bytes of the second copy; empty: those of the response
};

/// What a searcher does for each request. Requests must arrive in one piece, as all received bytes count as one
/// request.
struct SearcherScript {
  // kCrash ends all connections with a reset, and later ones are refused.
  enum class AfterResponse { kKeepOpen, kClose, kReset, kCrash };
  std::string response;  // all bytes of the response; empty sends none
  AfterResponse after_response = AfterResponse::kKeepOpen;
  // Responses to the first requests, in order of arrival; `response` answers the later ones.
  std::vector<TimedResponse> first_responses = {};
};

/// A successful response without Content-Length, whose body ends with the connection.
inline std::string ResponseWithoutLength(const std::string& body) {
  return std::string("HTTP/1.1 200 OK\r\n") + platform_names::kStampField + ": s\r\n\r\n" + body;
}
/// A successful response with Content-Length.
inline std::string ResponseWithLength(const std::string& body) {
  return std::string("HTTP/1.1 200 OK\r\n") + platform_names::kStampField +
         ": s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
/// The same with the id of the request.
inline std::string IdentifiedResponse(const std::string& request_id, const std::string& body) {
  const std::string status_line = "HTTP/1.1 200 OK\r\n";
  return status_line + platform_names::kRequestIdField + ": " + request_id + "\r\n" +
         ResponseWithLength(body).substr(status_line.size());
}
/// A rejection of a searcher that has not run the request.
inline std::string Rejection(const std::string& request_id) {
  return std::string("HTTP/1.1 503 Full\r\n") + platform_names::kRequestIdField + ": " + request_id + "\r\n" +
         platform_names::kNotRunField + ": 1\r\nContent-Length: 0\r\n\r\n";
}

/// An answer with the id of the request and further header fields, each as "Name: value\r\n".
inline std::string AnswerWithFields(int status, const std::string& request_id, const std::string& fields,
                                    const std::string& body = "") {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + platform_names::kRequestIdField + ": " + request_id +
         "\r\n" + platform_names::kStampField + ": s\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string LeavingField() { return std::string(platform_names::kLeavingField) + ": 1\r\n"; }
/// A rejection that asks for a pause, given as the text of its Retry-After field.
inline std::string PauseRequest(const std::string& request_id, const std::string& pause) {
  return AnswerWithFields(503, request_id,
                          std::string(platform_names::kNotRunField) + ": 1\r\nRetry-After: " + pause + "\r\n");
}

class ScriptedSearcher {
 public:
  ScriptedSearcher(EventLoop& loop, SearcherScript script) : loop_(loop), script_(std::move(script)) {
    listener_.emplace(loop, address_, [this](int fd) { Accept(fd); });
  }

  [[nodiscard]] const std::string& address() const { return address_; }
  /// Number of requests received.
  [[nodiscard]] unsigned arrivals() const { return arrivals_; }
  /// Number of connections accepted.
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  [[nodiscard]] std::size_t open_connections() const {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& connection) { return connection.stream != nullptr; }));
  }
  /// Ends all connections, and refuses later ones until Restart().
  void Crash() {
    listener_.reset();
    for (Connection& connection : connections_) {
      connection.stream.reset();
    }
  }
  /// Listens again at the same address.
  void Restart() {
    listener_.emplace(loop_, address_, [this](int fd) { Accept(fd); });
  }
  /// Number of requests that the gateway cancelled by closing their connection, in a script without a response.
  [[nodiscard]] unsigned cancelled_requests() const { return cancelled_requests_; }

 private:
  struct Connection final : TcpStreamHandler {
    explicit Connection(ScriptedSearcher& owner) : searcher(owner) {}
    void OnData(std::string_view /*bytes*/) override { searcher.Respond(*this); }
    void OnEnd(StreamEnd /*end*/) override {
      searcher.cancelled_requests_ += searcher.script_.response.empty() ? 1 : 0;
      stream.reset();
    }
    ScriptedSearcher& searcher;
    std::unique_ptr<TcpStream> stream;
  };

  void Accept(int fd) {
    if (script_.after_response == SearcherScript::AfterResponse::kReset ||
        script_.after_response == SearcherScript::AfterResponse::kCrash) {
      const linger reset_at_close{.l_onoff = 1, .l_linger = 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_at_close, sizeof(reset_at_close));
    }
    Connection& connection = connections_.emplace_back(*this);
    connection.stream = std::make_unique<TcpStream>(loop_, fd, connection);
  }

  void Send(Connection& connection, const std::string& bytes) {
    if (connection.stream != nullptr) {
      connection.stream->Write(bytes);
    }
  }

  void Respond(Connection& connection) {
    const std::size_t index = arrivals_++;
    Duration sent_after{};
    if (index < script_.first_responses.size()) {
      const TimedResponse& timed = script_.first_responses[index];
      const auto send = [this, &connection, &timed] { Send(connection, timed.response); };
      sent_after = timed.delay;
      loop_.CallAfter(timed.delay, send);
      if (timed.resend) {
        loop_.CallAfter(timed.delay + *timed.resend, [this, &connection, &timed] {
          Send(connection, timed.resent.empty() ? timed.response : timed.resent);
        });
      }
    } else {
      Send(connection, script_.response);
    }
    if (script_.after_response != SearcherScript::AfterResponse::kKeepOpen) {
      // The delay lets the gateway read the response before the end of the connection.
      loop_.CallAfter(sent_after + std::chrono::milliseconds(20), [this, &connection] {
        if (script_.after_response == SearcherScript::AfterResponse::kCrash) {
          Crash();
        }
        connection.stream.reset();
      });
    }
  }

  EventLoop& loop_;
  const SearcherScript script_;
  unsigned arrivals_ = 0, cancelled_requests_ = 0;
  std::list<Connection> connections_;
  const std::string address_ = TakeTestAddress();
  std::optional<TcpListener> listener_;  // nothing after a crash
};

}  // namespace pimentomoor
