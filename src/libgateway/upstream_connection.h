// One HTTP/1.1 connection to an upstream, which carries one request at a time.
#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "pimentomoor/tcp_stream.h"
#include "pimentomoor/upstream_link.h"

namespace pimentomoor {

class UpstreamConnection final : public TcpStreamHandler {
 public:
  explicit UpstreamConnection(UpstreamLink& link);
  ~UpstreamConnection() override = default;

  /// Starts connecting. Returns false when that fails at once.
  bool Open();
  /// Whether this connection may carry the exchange: it has not carried the same request before. An upstream may send
  /// a response a second time, and a copy of the earlier response could not be told from the response to this
  /// exchange.
  [[nodiscard]] bool MayCarry(const UpstreamExchange& exchange) const;
  /// Sends the request of `exchange`. The connection must be idle, and MayCarry() true.
  void StartExchange(UpstreamExchangePtr exchange);
  void Close() {
    stream_.reset();
    buffered_bytes_.Set(0);
  }

  [[nodiscard]] bool connected() const { return stream_ != nullptr && stream_->connected(); }
  [[nodiscard]] bool idle() const { return connected() && running_exchange_ == nullptr; }
  [[nodiscard]] const UpstreamExchangePtr& running_exchange() const { return running_exchange_; }
  /// Whether an idle connection is too old for another request, because its server may be closing it.
  [[nodiscard]] bool stale(TimePoint now) const { return now >= reusable_until_; }
  [[nodiscard]] TimePoint opened_at() const { return opened_at_; }
  [[nodiscard]] bool connect_refused() const { return stream_ != nullptr && stream_->connect_refused(); }

 private:
  void OnConnected() override;
  void OnData(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;
  void OnDrained() override;
  void SendRequest(TimePoint now);
  /// Sends as much of unsent_body_ as the kernel takes.
  void SendBody();
  void OnResponseRevoked();
  /// Whether the response is certain to answer the running request. One without a request id is so only on a
  /// connection that has carried no other request; it could else be a late response to an earlier one.
  [[nodiscard]] bool IsAnswerToRunning(const ResponseMessage& response) const;
  /// Reads the notice in the response whose head has been read, if this upstream is certain to have sent it. Called
  /// again for the same response, it does nothing.
  void ReadNoticeOnce(const ResponseMessage& response);
  /// Reads the notice in a late response that arrives while no request runs.
  void ReadStrayNotice(std::string_view bytes);
  /// Ends the running exchange. The connection is closed unless it is `reusable`.
  void FinishRunning(ExchangeOutcome outcome, ResponseMessage response, bool reusable);

  UpstreamLink& link_;
  std::unique_ptr<TcpStream> stream_;
  UpstreamExchangePtr running_exchange_;  // null while idle
  std::optional<ResponseReader> reader_;  // set exactly while a request is running
  std::string unparsed_;                  // received response bytes that are not parsed yet
  std::string_view unsent_body_;          // rest of the running request's body; empty while idle
  TimePoint opened_at_;
  TimePoint reusable_until_ = TimePoint::max();
  BufferedBytes buffered_bytes_;  // of the response that is being read
  bool notice_read_ = false;      // of the response that is being read
  bool sender_verified_ = false;  // an answer showed that the other end is the expected upstream
  bool reused_ = false;  // an exchange has ended on this connection; its response carried the id of its request
  unsigned stray_responses_ = 0;    // responses to earlier requests that came during the running one
  unsigned interim_responses_ = 0;  // interim responses that came during the running request
  // Requests that this connection has carried and that may be sent again, because their callers still wait.
  std::vector<std::weak_ptr<const UpstreamRequest>> carried_requests_;
};

}  // namespace pimentomoor
