// Implementation of one connection to a searcher.
#include "upstream_connection.h"

#include <algorithm>

namespace pimentomoor {

namespace {

// A silent connection is found by its keep-alive probes; unacknowledged bytes end it sooner.
constexpr TcpOptions kTcpOptions = {.user_timeout = std::chrono::milliseconds(2'000),
                                    .keepalive_idle = std::chrono::seconds(2)};
// The server's idle timeout runs from its own last byte, and its close needs time to arrive.
constexpr Duration kIdleMargin = std::chrono::milliseconds(400);
constexpr unsigned kMaxStrayResponses = 3;

std::string FormatRequest(const UpstreamExchange& exchange, const FieldNames& names, TimePoint now) {
  const UpstreamRequest& request = *exchange.request;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(exchange.deadline - now).count();
  std::string message;
  message.reserve(request.head.size() + request.body.size() + 128);
  message.append(request.head)
      .append(names.deadline_ms)
      .append(": ")
      .append(std::to_string(std::max<std::int64_t>(left, 1)))
      .append("\r\n")
      .append(names.expected_instance)
      .append(": ")
      .append(exchange.link->entry().id)
      .append("\r\n\r\n")
      .append(request.body);
  return message;
}

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamLink& link) : link_(link), opened_at_(link.context_.loop.Now()) {}

bool UpstreamConnection::Open() {
  stream_ = TcpStream::Connect(link_.context_.loop, link_.entry().address, *this, kTcpOptions);
  return stream_ != nullptr;
}

void UpstreamConnection::Start(UpstreamExchangePtr exchange) {
  const TimePoint now = link_.context_.loop.Now();
  running_ = std::move(exchange);
  running_->sent = true;
  running_->sent_at = now;
  reader_.emplace(link_.context_.names, link_.context_.response_limits, running_->request->is_head,
                  running_->request->collect_fields);
  stray_responses_ = 0;
  stream_->Write(FormatRequest(*running_, link_.context_.names, now));
}

void UpstreamConnection::OnConnected() { link_.Pump(); }

void UpstreamConnection::OnData(std::string_view bytes) {
  if (running_ == nullptr) {
    // Bytes that no request waits for: a second response or an error. Nothing on this connection can be trusted.
    link_.context_.metrics.Count("pimentomoor_upstream_stray_bytes_total");
    link_.Drop(this);
    return;
  }
  std::string joined;
  if (!pending_.empty()) {
    pending_.append(bytes);
    joined.swap(pending_);
    bytes = joined;
  }
  while (true) {
    const ReadStatus status = reader_->Read(bytes);
    if (status == ReadStatus::kNeedMore) {
      pending_.assign(bytes);
      return;
    }
    if (status != ReadStatus::kComplete) {
      FinishRunning(ExchangeOutcome::kMalformed, {}, false);
      return;
    }
    ResponseMessage response = std::move(reader_->message());
    const bool interim = response.status < 200;
    const bool other_request = !response.request_id.empty() && response.request_id != running_->request->request_id;
    if (!interim && !other_request) {
      const bool reusable = response.keep_alive && bytes.empty();
      FinishRunning(ExchangeOutcome::kAnswered, std::move(response), reusable);
      return;
    }
    if (other_request) {
      // A late response to an earlier request stands where this one is expected; the right one may follow.
      link_.context_.metrics.Count("pimentomoor_upstream_crossed_responses_total");
      if (++stray_responses_ > kMaxStrayResponses || !response.keep_alive) {
        FinishRunning(ExchangeOutcome::kMalformed, {}, false);
        return;
      }
    }
    reader_.emplace(link_.context_.names, link_.context_.response_limits, running_->request->is_head,
                    running_->request->collect_fields);
  }
}

void UpstreamConnection::OnEnd(StreamEnd end) {
  if (end == StreamEnd::kConnectFailed) {
    link_.OnConnectFailed(this);
    return;
  }
  if (running_ == nullptr) {
    link_.Drop(this);
    return;
  }
  if (end == StreamEnd::kClosed && reader_->started() && reader_->ReadEnd() == ReadStatus::kComplete) {
    ResponseMessage response = std::move(reader_->message());
    if (response.request_id.empty() || response.request_id == running_->request->request_id) {
      FinishRunning(ExchangeOutcome::kAnswered, std::move(response), false);
      return;
    }
  }
  FinishRunning(reader_->started() ? ExchangeOutcome::kMalformed : ExchangeOutcome::kLost, {}, false);
}

void UpstreamConnection::FinishRunning(ExchangeOutcome outcome, ResponseMessage response, bool reusable) {
  const UpstreamExchangePtr exchange = std::move(running_);
  running_ = nullptr;
  reader_.reset();
  pending_.clear();
  UpstreamLink& link = link_;
  const auto keep_link = link.shared_from_this();
  if (reusable) {
    const TimePoint now = link.context_.loop.Now();
    idle_until_ =
        response.keep_alive_s ? now + std::chrono::seconds(*response.keep_alive_s) - kIdleMargin : TimePoint::max();
  } else {
    link.Drop(this);
  }
  link.Finish(exchange, outcome, std::move(response));
  link.Pump();
}

}  // namespace pimentomoor
