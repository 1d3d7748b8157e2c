// Implementation of one connection to an upstream.
#include "upstream_connection.h"

#include <algorithm>

namespace pimentomoor {

namespace {

// Keep-alive probes detect a silent connection; unacknowledged bytes end it sooner.
constexpr TcpOptions kTcpOptions = {.user_timeout = std::chrono::milliseconds(2'000),
                                    .keepalive_idle = std::chrono::seconds(2)};
// An idle connection is not reused this close to the server's idle timeout: the timeout runs from the last byte that
// the server sent, and its close takes time to arrive.
constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(400);
constexpr unsigned kMaxStrayResponses = 3;

// Larger bodies are sent from the memory that the caller's request holds, and not copied behind the head.
constexpr std::size_t kMaxJoinedBodyBytes = std::size_t{16} * 1024;

std::string FormatHead(const UpstreamExchange& exchange, const FieldNames& names, TimePoint now) {
  const UpstreamRequest& request = *exchange.request;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(exchange.deadline - now).count();
  std::string head;
  head.reserve(request.head.size() + 128);
  head.append(request.head)
      .append(names.deadline_ms)
      .append(": ")
      .append(std::to_string(std::max<std::int64_t>(left, 1)))
      .append("\r\n")
      .append(names.expected_instance)
      .append(": ")
      .append(exchange.link->entry().id)
      .append("\r\n\r\n");
  return head;
}

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamLink& link)
    : link_(link),
      opened_at_(link.context_.loop.Now()),
      buffered_bytes_(link.context_.buffer_budget, link.entry().id, [this] { OnResponseRevoked(); }) {}

bool UpstreamConnection::Open() {
  stream_ = TcpStream::Connect(link_.context_.loop, link_.entry().address, *this, kTcpOptions);
  return stream_ != nullptr;
}

bool UpstreamConnection::MayCarry(const UpstreamExchange& exchange) const {
  return std::none_of(carried_requests_.begin(), carried_requests_.end(),
                      [&](const auto& carried) { return carried.lock() == exchange.request; });
}

void UpstreamConnection::StartExchange(UpstreamExchangePtr exchange) {
  const TimePoint now = link_.context_.loop.Now();
  running_exchange_ = std::move(exchange);
  std::erase_if(carried_requests_, [](const auto& carried) { return carried.expired(); });
  carried_requests_.push_back(running_exchange_->request);
  running_exchange_->sent = true;
  running_exchange_->sent_at = now;
  reader_.emplace(link_.context_.names, link_.context_.response_limits, running_exchange_->request->is_head,
                  running_exchange_->request->collect_fields);
  stray_responses_ = 0;
  notice_read_ = false;
  interim_responses_ = 0;
  SendRequest(now);
}

void UpstreamConnection::SendRequest(TimePoint now) {
  std::string message = FormatHead(*running_exchange_, link_.context_.names, now);
  unsent_body_ = {};
  if (const auto& body = running_exchange_->request->body; body != nullptr) {
    if (body->size() <= kMaxJoinedBodyBytes) {
      message += *body;
    } else {
      unsent_body_ = *body;
    }
  }
  stream_->Write(message);
  SendBody();
}

void UpstreamConnection::SendBody() {
  unsent_body_.remove_prefix(stream_->WriteSome(unsent_body_));
  running_exchange_->whole_request_sent = unsent_body_.empty();
}

void UpstreamConnection::OnDrained() {
  if (running_exchange_ != nullptr && !unsent_body_.empty()) {
    SendBody();
  }
}

void UpstreamConnection::OnConnected() { link_.OnConnected(); }

void UpstreamConnection::OnData(std::string_view bytes) {
  if (running_exchange_ == nullptr) {
    // No request is waiting, so the bytes are a second response or an error, and later responses could be mismatched.
    link_.context_.metrics.Count("pimentomoor_upstream_stray_bytes_total");
    ReadStrayNotice(bytes);
    link_.RemoveConnection(this);
    return;
  }
  std::string joined;
  if (!unparsed_.empty()) {
    unparsed_.append(bytes);
    joined.swap(unparsed_);
    bytes = joined;
  }
  while (true) {
    const ReadStatus status = reader_->Read(bytes);
    if ((status == ReadStatus::kNeedMore || status == ReadStatus::kComplete) && reader_->head_complete()) {
      ReadNoticeOnce(reader_->message());
    }
    if (status == ReadStatus::kNeedMore) {
      unparsed_.assign(bytes);
      buffered_bytes_.Set(reader_->held_bytes() + unparsed_.capacity());
      return;
    }
    if (status != ReadStatus::kComplete) {
      FinishRunning(ExchangeOutcome::kMalformed, {}, false);
      return;
    }
    ResponseMessage response = std::move(reader_->message());
    const bool interim = response.status < 200;
    if (!interim && IsAnswerToRunning(response)) {
      // A connection on which a part of the request is missing can't carry another one.
      const bool reusable = response.keep_alive && bytes.empty() && !response.request_id.empty() &&
                            running_exchange_->whole_request_sent;
      FinishRunning(ExchangeOutcome::kAnswered, std::move(response), reusable);
      return;
    }
    if (interim && ++interim_responses_ > kMaxInterimResponses) {
      FinishRunning(ExchangeOutcome::kMalformed, {}, false);
      return;
    }
    if (!interim) {
      // This is a late response to an earlier request. The response to the running request may follow.
      link_.context_.metrics.Count("pimentomoor_upstream_crossed_responses_total");
      if (response.request_id.empty() || ++stray_responses_ > kMaxStrayResponses || !response.keep_alive) {
        FinishRunning(ExchangeOutcome::kMalformed, {}, false);
        return;
      }
    }
    notice_read_ = false;
    reader_.emplace(link_.context_.names, link_.context_.response_limits, running_exchange_->request->is_head,
                    running_exchange_->request->collect_fields);
  }
}

bool UpstreamConnection::IsAnswerToRunning(const ResponseMessage& response) const {
  return response.request_id.empty() ? !reused_ : response.request_id == running_exchange_->request->request_id;
}

void UpstreamConnection::ReadNoticeOnce(const ResponseMessage& response) {
  if (notice_read_ || response.status < 200) {
    return;
  }
  notice_read_ = true;
  const bool answers_running = IsAnswerToRunning(response);
  // Whoever sent an earlier answer on this connection also sends the late responses on it.
  if (answers_running || sender_verified_) {
    link_.ReadNoticeOf(response);
  }
  sender_verified_ = sender_verified_ || (answers_running && response.status != 421);
}

void UpstreamConnection::ReadStrayNotice(std::string_view bytes) {
  ResponseReader reader(link_.context_.names, link_.context_.response_limits, false, false);
  if (sender_verified_ && reader.Read(bytes) == ReadStatus::kComplete && reader.message().status >= 200) {
    link_.ReadNoticeOf(reader.message());
  }
}

void UpstreamConnection::OnEnd(StreamEnd end) {
  if (end == StreamEnd::kConnectFailed) {
    link_.OnConnectFailed(this);
    return;
  }
  if (running_exchange_ == nullptr) {
    link_.RemoveConnection(this);
    return;
  }
  if (end == StreamEnd::kClosed && reader_->started() && reader_->ReadEnd() == ReadStatus::kComplete) {
    ResponseMessage response = std::move(reader_->message());
    if (IsAnswerToRunning(response)) {
      FinishRunning(ExchangeOutcome::kAnswered, std::move(response), false);
      return;
    }
  }
  FinishRunning(reader_->started() ? ExchangeOutcome::kTruncated : ExchangeOutcome::kLost, {}, false);
}

void UpstreamConnection::OnResponseRevoked() {
  link_.context_.metrics.Count("pimentomoor_upstream_responses_revoked_total");
  FinishRunning(ExchangeOutcome::kMalformed, {}, false);
}

void UpstreamConnection::FinishRunning(ExchangeOutcome outcome, ResponseMessage response, bool reusable) {
  const UpstreamExchangePtr exchange = std::move(running_exchange_);
  running_exchange_ = nullptr;
  reader_.reset();
  std::string().swap(unparsed_);  // an assignment would keep the memory
  unsent_body_ = {};
  buffered_bytes_.Set(0);
  UpstreamLink& link = link_;
  const auto keep_link = link.shared_from_this();
  reused_ = true;
  if (reusable) {
    const TimePoint now = link.context_.loop.Now();
    reusable_until_ = response.keep_alive_s ? now + std::chrono::seconds(*response.keep_alive_s) - kIdleTimeoutMargin
                                            : TimePoint::max();
  } else {
    link.RemoveConnection(this);
  }
  link.Finish(exchange, outcome, std::move(response));
  link.SendWaiting();
}

}  // namespace pimentomoor
