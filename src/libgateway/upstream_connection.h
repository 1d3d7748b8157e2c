// One HTTP/1.1 connection to a searcher, which carries one request at a time.
#pragma once

#include <memory>
#include <optional>

#include "pimentomoor/tcp_stream.h"
#include "pimentomoor/upstream_link.h"

namespace pimentomoor {

class UpstreamConnection final : public TcpStreamHandler {
 public:
  explicit UpstreamConnection(UpstreamLink& link);
  ~UpstreamConnection() override = default;

  /// Starts to connect; false when that fails at once.
  bool Open();
  /// Sends a request over an idle connection.
  void Start(UpstreamExchangePtr exchange);
  void Close() { stream_.reset(); }

  [[nodiscard]] bool connected() const { return stream_ != nullptr && stream_->connected(); }
  [[nodiscard]] bool idle() const { return connected() && running_ == nullptr; }
  [[nodiscard]] const UpstreamExchangePtr& running() const { return running_; }
  /// When an idle connection is too old for another request, because its server may be closing it.
  [[nodiscard]] bool stale(TimePoint now) const { return now >= idle_until_; }
  [[nodiscard]] TimePoint opened_at() const { return opened_at_; }
  [[nodiscard]] bool connect_refused() const { return stream_ != nullptr && stream_->connect_refused(); }

 private:
  void OnConnected() override;
  void OnData(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;
  void FinishRunning(ExchangeOutcome outcome, ResponseMessage response, bool reusable);

  UpstreamLink& link_;
  std::unique_ptr<TcpStream> stream_;
  UpstreamExchangePtr running_;           // null while idle
  std::optional<ResponseReader> reader_;  // set exactly while a request is running
  std::string pending_;                   // response bytes that are not parsed yet
  TimePoint opened_at_;
  TimePoint idle_until_ = TimePoint::max();
  unsigned stray_responses_ = 0;  // that belonged to an earlier request
};

}  // namespace pimentomoor
