// Implementation of the HTTP server for callers.
#include "pimentomoor/caller_server.h"

#include <unistd.h>

#include <algorithm>
#include <optional>

namespace pimentomoor {

namespace {

constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(250);
// Time for which a connection is still read after its last answer. Closing it with unread bytes would send a reset,
// and the caller could lose the answer.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Maximum size of the pipelined requests that a caller sends while a request is running. The connection is closed
// beyond it, because the server could not notice that the caller disconnects if it stopped reading instead.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{256} * 1024;

// Larger bodies are written after the head and not copied behind it.
constexpr std::size_t kMaxJoinedBodyBytes = std::size_t{64} * 1024;

std::string FormatHead(const OutgoingResponse& response, bool close, bool with_length) {
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + " ";
  head.append(ReasonPhrase(response.status)).append("\r\n").append(response.fields);
  if (with_length) {
    head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  }
  return head + (close ? "Connection: close\r\n\r\n" : "\r\n");
}

}  // namespace

class CallerConnection final : public TcpStreamHandler {
 public:
  CallerConnection(CallerServer& server, int fd)
      : server_(server),
        stream_(std::make_unique<TcpStream>(server.loop_, fd, *this)),
        phase_since_(server.loop_.Now()) {}

  ~CallerConnection() override {
    AbandonExchange();
    EndSending();
  }

  void Answer(const OutgoingResponse& response);
  /// Closes the connection when the timeout of its current phase has passed.
  void CheckTimeouts(TimePoint now);
  [[nodiscard]] bool idle() const { return phase_ == Phase::kIdle; }
  /// Closes the connection at once; the object stays valid until it is destroyed.
  void Close() {
    stream_.reset();
    unsent_buffer_.reset();
    AbandonExchange();
    EndSending();
    phase_ = Phase::kLingering;
  }

 private:
  enum class Phase {
    kIdle,       // no byte of the next request has arrived
    kReading,    // part of a request has arrived
    kRunning,    // the handler has a request and has not answered it
    kSending,    // the answer is written and not completely sent
    kLingering,  // the last answer was sent; received bytes are discarded
  };

  void OnData(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;
  void OnDrained() override;
  /// Goes on with the next request, or with the end of the connection, when the answer is sent.
  void OnAnswerSent();
  /// Counts the bytes of an unsent answer in the budget.
  void BufferUnsent();
  /// Drops the connection with the rest of an unsent answer.
  void GiveUpAnswer(const char* reason);
  void ReadRequests(std::string_view bytes);
  void StartRequest();
  void Refuse(int status);
  void Linger();
  void SetPhase(Phase phase) {
    phase_ = phase;
    phase_since_ = server_.loop_.Now();
  }
  void AbandonExchange();
  /// Ends the phase kSending.
  void EndSending() {
    server_.running_requests_ -= phase_ == Phase::kSending ? 1 : 0;
    unsent_buffer_.reset();
  }

  CallerServer& server_;
  std::unique_ptr<TcpStream> stream_;
  Phase phase_ = Phase::kIdle;
  TimePoint phase_since_;
  std::string unparsed_;  // received bytes that are not parsed yet
  std::optional<RequestReader> reader_;
  std::shared_ptr<CallerExchange> running_exchange_;  // not null exactly in kRunning
  bool keep_alive_ = true;                            // further requests may follow the running one
  std::size_t unsent_at_check_ = 0;                   // unsent bytes when the timeouts were checked last, in kSending
  std::optional<BufferedBytes> unsent_buffer_;        // set only in kSending
  bool is_head_request_ = false;                      // the running request has the method HEAD
  bool reading_requests_ = false;                     // ReadRequests() is being executed
  bool continue_sent_ = false;                        // "100 Continue" was sent for the current request
  std::uint64_t requests_received_ = 0;
};

void CallerExchange::Respond(const OutgoingResponse& response) {
  if (connection_ != nullptr) {
    connection_->Answer(response);
  }
}

void CallerConnection::OnData(std::string_view bytes) {
  if (phase_ == Phase::kLingering) {
    return;
  }
  if (phase_ == Phase::kRunning || phase_ == Phase::kSending) {
    unparsed_.append(bytes);
    if (unparsed_.size() > kMaxPipelinedBytes) {
      server_.metrics_.Count("pimentomoor_caller_pipeline_overflows_total");
      server_.Remove(this);
    }
    return;
  }
  if (unparsed_.empty()) {
    ReadRequests(bytes);
    return;
  }
  unparsed_.append(bytes);
  std::string joined;
  joined.swap(unparsed_);
  ReadRequests(joined);
}

void CallerConnection::OnEnd(StreamEnd /*end*/) { server_.Remove(this); }

void CallerConnection::ReadRequests(std::string_view bytes) {
  reading_requests_ = true;
  while (!bytes.empty() && (phase_ == Phase::kIdle || phase_ == Phase::kReading)) {
    if (phase_ == Phase::kIdle) {
      reader_.emplace(server_.names_, server_.options_.limits);
      continue_sent_ = false;
      SetPhase(Phase::kReading);
    }
    const ReadStatus status = reader_->Read(bytes);
    if (status == ReadStatus::kNeedMore) {
      if (reader_->head_complete() && reader_->message().expects_continue && !continue_sent_) {
        continue_sent_ = true;
        stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      break;
    }
    if (status == ReadStatus::kComplete) {
      StartRequest();
    } else if (status == ReadStatus::kHeadTooLarge) {
      Refuse(431);
    } else if (status == ReadStatus::kBodyTooLarge) {
      Refuse(413);
    } else {
      Refuse(400);
    }
  }
  reading_requests_ = false;
  if (phase_ != Phase::kLingering) {
    unparsed_.assign(bytes);
  }
}

void CallerConnection::StartRequest() {
  RequestMessage message = std::move(reader_->message());
  reader_.reset();
  keep_alive_ = message.keep_alive;
  is_head_request_ = message.method == "HEAD";
  SetPhase(Phase::kRunning);
  running_exchange_ =
      std::make_shared<CallerExchange>(this, std::move(message), server_.loop_.Now(), requests_received_++ == 0);
  ++server_.running_requests_;
  const auto exchange = running_exchange_;
  server_.handler_(exchange);
}

void CallerConnection::Answer(const OutgoingResponse& response) {
  running_exchange_->connection_ = nullptr;
  running_exchange_->on_disconnect = nullptr;
  running_exchange_.reset();
  keep_alive_ = keep_alive_ && !server_.close_after_answers_;
  const bool has_no_body = response.status == 204 || response.status == 304;
  std::string message = FormatHead(response, !keep_alive_, !has_no_body);
  SetPhase(Phase::kSending);
  if (is_head_request_ || has_no_body) {
    stream_->Write(message);
  } else if (response.body.size() <= kMaxJoinedBodyBytes) {
    stream_->Write(message += response.body);
  } else {
    stream_->LimitKernelBuffer();
    stream_->Write(message);
    stream_->Write(response.body);
  }
  if (stream_->unsent_bytes() == 0) {
    OnAnswerSent();
    return;
  }
  unsent_at_check_ = stream_->unsent_bytes();
  BufferUnsent();
}

void CallerConnection::BufferUnsent() {
  if (server_.budget_ == nullptr) {
    return;
  }
  if (!unsent_buffer_) {
    unsent_buffer_.emplace(*server_.budget_, stream_->peer_host(), [this] { GiveUpAnswer("memory"); });
  }
  unsent_buffer_->Set(stream_->unsent_bytes());
}

void CallerConnection::GiveUpAnswer(const char* reason) {
  server_.metrics_.Count("pimentomoor_caller_answers_given_up_total", 1, "reason=\"" + std::string(reason) + "\"");
  server_.Remove(this);
}

void CallerConnection::OnDrained() {
  if (phase_ == Phase::kSending) {
    OnAnswerSent();
  }
}

void CallerConnection::OnAnswerSent() {
  EndSending();
  if (!keep_alive_) {
    Linger();
    return;
  }
  SetPhase(Phase::kIdle);
  if (!unparsed_.empty() && !reading_requests_) {
    std::string next;
    next.swap(unparsed_);
    ReadRequests(next);
  }
}

void CallerConnection::Refuse(int status) {
  server_.metrics_.Count("pimentomoor_caller_refused_total", 1, "status=\"" + std::to_string(status) + "\"");
  stream_->Write(FormatHead({.status = status}, true, true));
  Linger();
}

void CallerConnection::Linger() {
  stream_->ShutdownWrite();
  unparsed_.clear();
  SetPhase(Phase::kLingering);
}

void CallerConnection::CheckTimeouts(TimePoint now) {
  const Duration waited = now - phase_since_;
  switch (phase_) {
    case Phase::kIdle:
      if (waited >= server_.options_.idle_timeout) {
        server_.Remove(this);
      }
      break;
    case Phase::kReading:
      // A body is given more time than a head, because the caller chooses its length.
      if (waited >= server_.options_.head_timeout +
                        (reader_->head_complete() ? server_.options_.idle_timeout : Duration::zero())) {
        Refuse(408);
      }
      break;
    case Phase::kRunning:
      break;
    case Phase::kSending:
      if (stream_->unsent_bytes() != unsent_at_check_) {
        unsent_at_check_ = stream_->unsent_bytes();
        phase_since_ = now;
        BufferUnsent();
      } else if (waited >= server_.options_.idle_timeout) {
        GiveUpAnswer("not read");
      }
      break;
    case Phase::kLingering:
      // A refusal may still be unsent. Its caller gets as much time to read it as an idle one.
      if (waited >=
          (stream_->unsent_bytes() == 0 ? kLingerTime : std::max(kLingerTime, server_.options_.idle_timeout))) {
        server_.Remove(this);
      }
      break;
  }
}

void CallerConnection::AbandonExchange() {
  if (running_exchange_ == nullptr) {
    return;
  }
  --server_.running_requests_;
  running_exchange_->connection_ = nullptr;
  const auto on_disconnect = std::move(running_exchange_->on_disconnect);
  running_exchange_->on_disconnect = nullptr;
  running_exchange_.reset();
  if (on_disconnect) {
    server_.metrics_.Count("pimentomoor_caller_abandoned_total");
    on_disconnect();
  }
}

CallerServer::CallerServer(EventLoop& loop, Metrics& metrics, const FieldNames& names, CallerServerOptions options,
                           CallerHandler handler, BufferBudget* budget)
    : loop_(loop),
      metrics_(metrics),
      names_(names),
      options_(std::move(options)),
      handler_(std::move(handler)),
      budget_(budget),
      listener_(std::make_unique<TcpListener>(loop, options_.address, [this](int fd) { Accept(fd); })) {
  CheckConnectionTimeouts();
}

CallerServer::~CallerServer() {
  loop_.Cancel(timeout_check_timer_);
  connections_.clear();
}

void CallerServer::SetLimits(const MessageLimits& limits, Duration head_timeout, Duration idle_timeout) {
  options_.limits = limits;
  options_.head_timeout = head_timeout;
  options_.idle_timeout = idle_timeout;
}

void CallerServer::StopAccepting() {
  listener_.reset();
  std::vector<CallerConnection*> idle;
  for (const auto& [key, connection] : connections_) {
    if (connection->idle()) {
      idle.push_back(key);
    }
  }
  for (auto* connection : idle) {
    Remove(connection);
  }
}

void CallerServer::Accept(int fd) {
  metrics_.Count("pimentomoor_caller_connections_total");
  if (connections_.size() >= options_.max_connections) {
    metrics_.Count("pimentomoor_caller_connections_refused_total");
    close(fd);
    return;
  }
  auto connection = std::make_unique<CallerConnection>(*this, fd);
  auto* key = connection.get();
  connections_.emplace(key, std::move(connection));
}

void CallerServer::Remove(CallerConnection* connection) {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) {
    return;
  }
  connection->Close();
  // The connection is destroyed in a posted callback, because this function may be called from one of its members.
  auto removed_connection = std::make_shared<std::unique_ptr<CallerConnection>>(std::move(it->second));
  connections_.erase(it);
  loop_.Post([removed_connection] {});
}

void CallerServer::CheckConnectionTimeouts() {
  const TimePoint now = loop_.Now();
  std::vector<CallerConnection*> connections;
  connections.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) {
    connections.push_back(key);
  }
  for (auto* connection : connections) {
    connection->CheckTimeouts(now);
  }
  timeout_check_timer_ = loop_.CallAfter(kTimeoutCheckInterval, [this] { CheckConnectionTimeouts(); });
}

}  // namespace pimentomoor
