// A client for GET calls to one server over one kept connection, one call at a time. Its timeouts follow the
// runtime's clock, and a connection that went silent is found by keep-alive probes.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pimentomoor/event_loop.h"
#include "pimentomoor/http1_message.h"
#include "pimentomoor/tcp_stream.h"

namespace pimentomoor {

class PersistentHttpClient final : public TcpStreamHandler {
 public:
  /// The response, or nothing when the call failed or took too long. The server may have run a failed call.
  using Callback = std::function<void(std::optional<ResponseMessage>)>;

  /// `names` must outlive the client.
  PersistentHttpClient(EventLoop& loop, const FieldNames& names, std::string address);
  ~PersistentHttpClient() override;

  /// Starts a call; `done` runs in a later turn of the loop. A call that runs already is dropped without a callback.
  void Get(const std::string& target, Duration timeout, Callback done);
  void Abort();

  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  void OnData(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;
  void SendRequest();
  void Finish(std::optional<ResponseMessage> response);
  void CloseStream();

  EventLoop& loop_;
  const FieldNames& names_;
  std::string address_;
  std::unique_ptr<TcpStream> stream_;
  std::string target_;
  Callback done_;  // set exactly while a call is running
  std::optional<ResponseReader> reader_;
  std::string pending_;
  TimerId timeout_timer_ = 0;
  bool reused_ = false;  // the running call was sent over a kept connection, which its server may have closed
};

}  // namespace pimentomoor
