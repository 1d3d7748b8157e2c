// Client for calls to one server over a single persistent connection, one call at a time. Timeouts run on the
// clock of the event loop. TCP keep-alive probes detect a connection whose server has become unreachable.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pimentomoor/buffer_budget.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http1_message.h"
#include "pimentomoor/tcp_stream.h"

namespace pimentomoor {

class PersistentHttpClient final : public TcpStreamHandler {
 public:
  /// Receives the response, or no value when the call failed or timed out. The server may have run a failed call.
  using Callback = std::function<void(std::optional<ResponseMessage>)>;

  /// `names` must outlive the client. With a `budget`, unfinished responses count in it.
  PersistentHttpClient(EventLoop& loop, const FieldNames& names, std::string address, BufferBudget* budget = nullptr);
  ~PersistentHttpClient() override;

  /// Starts a GET of `target`, a path with an optional query string. `done` is called from the event loop. A call
  /// that is still running is aborted first, as by Abort().
  void Get(const std::string& target, Duration timeout, Callback done);
  /// The same for a PUT or POST of `body`, which is JSON. It is sent at most once, unlike a GET, which is sent again
  /// when the server has closed the idle connection.
  void Put(const std::string& target, std::string body, Duration timeout, Callback done);
  void Post(const std::string& target, std::string body, Duration timeout, Callback done);
  /// The same for a DELETE, which has no body.
  void Delete(const std::string& target, Duration timeout, Callback done);
  /// Ends the running call without calling its `done`, and closes the connection.
  void Abort();

  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  void OnData(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;
  void Start(std::string_view method, std::string target, std::string body, Duration timeout, Callback done);
  void SendRequest();
  void Finish(std::optional<ResponseMessage> response);
  void CloseStream();
  void CountHeld();

  EventLoop& loop_;
  const FieldNames& names_;
  std::string address_;
  std::unique_ptr<TcpStream> stream_;
  std::string_view method_;  // of the latest call, like the next two
  std::string target_;
  std::string body_;
  Callback done_;  // set exactly while a call is running
  std::optional<ResponseReader> reader_;
  std::string unparsed_;               // received bytes that reader_ has not consumed
  std::optional<BufferedBytes> held_;  // of the response that is being read; set when there is a budget
  unsigned interim_responses_ = 0;     // that came before the response to the running call
  TimerId timeout_timer_ = 0;
  // The running call was sent over an idle connection, which the server may have closed.
  bool reused_connection_ = false;
};

}  // namespace pimentomoor
