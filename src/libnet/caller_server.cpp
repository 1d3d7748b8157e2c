// Implementation of the HTTP server for callers.
#include "pimentomoor/caller_server.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace pimentomoor {

namespace {

constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(250);
// Time for which a connection is still read after its last answer. Closing it with unread bytes would send a reset,
// and the caller could lose the answer.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Maximum size of the pipelined requests that a caller sends while a request is running. The connection is closed
// beyond it, because the server could not notice that the caller disconnects if it stopped reading instead.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{256} * 1024;
// Requests that one connection starts in one turn of the event loop, so that requests that are sent ahead and
// answered at once don't keep other callers waiting.
constexpr unsigned kMaxRequestsPerTurn = 16;
// Memory of an open connection with a small request, apart from the bytes that are counted one by one.
constexpr std::size_t kConnectionBytes = 4'096;
constexpr std::size_t kSmallRequestBytes = 2'048;  // part of kConnectionBytes
constexpr const char* kMemoryRetryAfter = "Retry-After: 0.2\r\n";

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
      : server_(server), stream_(std::make_unique<TcpStream>(server.loop_, fd, *this)), peer_(stream_->peer_host()) {
    if (server_.budget_ != nullptr) {
      held_.emplace(*server_.budget_, peer_, [this] { Revoke(); });
    }
    SetPhase(Phase::kIdle);
    CountHeld();
  }

  ~CallerConnection() override {
    *alive_ = false;
    Close();
  }

  void Answer(const OutgoingResponse& response);
  /// Closes the connection when the timeout of its current phase has passed.
  void CheckTimeouts(TimePoint now);
  [[nodiscard]] bool idle() const { return phase_ == Phase::kIdle && !continuation_posted_; }
  [[nodiscard]] const std::string& peer() const { return peer_; }
  /// Closes the connection at once; the object stays valid until it is destroyed.
  void Close() {
    stream_.reset();
    held_.reset();
    AbandonExchange();
    EndSending();
    phase_ = Phase::kLingering;
    LeaveWaiting();
  }
  /// Gives up the running request, because callers hold too much memory.
  void RevokeRequest();

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
  /// Counts what this connection holds in the budget.
  void CountHeld();
  /// Gives up what this connection holds apart from the running request, because callers hold too much memory.
  void Revoke();
  void CountRevoked(const char* what) {
    server_.metrics_.Count("pimentomoor_caller_memory_revoked_total", 1, "what=\"" + std::string(what) + "\"");
  }
  /// Drops the connection with the rest of an unsent answer.
  void GiveUpAnswer(const char* reason);
  void ReadRequests(std::string_view bytes);
  /// Goes on with the requests that were left unread, in a later turn of the event loop.
  void PostContinuation();
  void StartRequest();
  void Refuse(int status, const char* fields = "");
  void Linger();
  void SetPhase(Phase phase);
  void LeaveWaiting();
  void AbandonExchange();
  /// Ends the phase kSending.
  void EndSending() {
    if (phase_ == Phase::kSending) {
      --server_.running_requests_;
    }
  }

  CallerServer& server_;
  std::unique_ptr<TcpStream> stream_;
  const std::string peer_;             // IP address of the caller
  std::optional<BufferedBytes> held_;  // set when the server has a budget and the connection is open
  std::optional<std::list<CallerConnection*>::iterator> waiting_position_;  // in CallerServer::waiting_
  Phase phase_ = Phase::kIdle;
  TimePoint phase_since_;
  std::string unparsed_;  // received bytes that are not parsed yet
  std::optional<RequestReader> reader_;
  std::shared_ptr<CallerExchange> running_exchange_;  // not null exactly in kRunning
  bool keep_alive_ = true;                            // further requests may follow the running one
  std::size_t unsent_at_check_ = 0;                   // unsent bytes when the timeouts were checked last, in kSending
  bool input_dropped_ = false;                        // requests sent ahead were dropped; the running one is the last
  bool continuation_posted_ = false;                  // PostContinuation() was called, and its turn has not come
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false after the destructor, for posted callbacks
  bool is_head_request_ = false;                                // the running request has the method HEAD
  bool reading_requests_ = false;                               // ReadRequests() is being executed
  bool continue_sent_ = false;                                  // "100 Continue" was sent for the current request
  std::uint64_t requests_received_ = 0;
};

void CallerExchange::Respond(const OutgoingResponse& response) {
  if (connection_ != nullptr) {
    connection_->Answer(response);
  }
}

void CallerExchange::HoldMore(std::size_t bytes) {
  if (held_) {
    held_->Set(held_->bytes() + bytes);
  }
}

void CallerExchange::CountIn(BufferBudget& budget, const std::string& peer) {
  held_.emplace(budget, peer, [this] { OnRevoked(); });
  // Upstreams get a copy of the head and the same body.
  const std::size_t bytes =
      request.body.capacity() + 2 * (request.forward_fields.capacity() + request.target.capacity());
  if (bytes > kSmallRequestBytes) {
    HoldMore(bytes);
  }
}

void CallerExchange::OnRevoked() {
  if (connection_ != nullptr) {
    connection_->RevokeRequest();
  }
}

void CallerConnection::CountHeld() {
  if (held_) {
    held_->Set(kConnectionBytes + unparsed_.capacity() + (reader_ ? reader_->held_bytes() : 0) +
               (stream_ != nullptr ? stream_->unsent_bytes() : 0));
  }
}

void CallerConnection::Revoke() {
  switch (phase_) {
    case Phase::kIdle:
    case Phase::kLingering:
      CountRevoked("connection");
      server_.Remove(this);
      break;
    case Phase::kReading:
      if (reader_->head_complete()) {
        CountRevoked("body");
        Refuse(503, kMemoryRetryAfter);  // the request has reached no upstream
      } else {
        CountRevoked("head");
        server_.Remove(this);
      }
      break;
    case Phase::kRunning:
      if (!unparsed_.empty()) {
        CountRevoked("requests ahead");
        input_dropped_ = true;
        keep_alive_ = false;
        std::string().swap(unparsed_);  // an assignment would keep the memory
      }
      break;
    case Phase::kSending:
      GiveUpAnswer("memory");
      break;
  }
}

void CallerConnection::RevokeRequest() {
  CountRevoked("request");
  const auto on_revoked = running_exchange_->on_revoked;
  if (on_revoked) {
    on_revoked();
  } else {
    server_.Remove(this);
  }
}

void CallerConnection::SetPhase(Phase phase) {
  LeaveWaiting();
  phase_ = phase;
  phase_since_ = server_.loop_.Now();
  if (phase == Phase::kIdle || phase == Phase::kReading) {
    waiting_position_ = server_.waiting_.insert(server_.waiting_.end(), this);
  }
}

void CallerConnection::LeaveWaiting() {
  if (waiting_position_) {
    server_.waiting_.erase(*waiting_position_);
    waiting_position_.reset();
  }
}

void CallerConnection::OnData(std::string_view bytes) {
  if (server_.budget_ != nullptr) {
    // Hundreds of connections may receive data in one turn of the event loop, 64 KB each.
    server_.budget_->Enforce();
  }
  if (phase_ == Phase::kLingering || input_dropped_) {
    return;
  }
  if (phase_ == Phase::kRunning || phase_ == Phase::kSending || continuation_posted_) {
    unparsed_.append(bytes);
    if (unparsed_.size() > kMaxPipelinedBytes) {
      server_.metrics_.Count("pimentomoor_caller_pipeline_overflows_total");
      server_.Remove(this);
      return;
    }
    CountHeld();
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
  unsigned started = 0;
  while (!bytes.empty() && started < kMaxRequestsPerTurn && (phase_ == Phase::kIdle || phase_ == Phase::kReading)) {
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
      ++started;
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
  if (phase_ == Phase::kLingering) {
    return;
  }
  unparsed_.assign(bytes);
  if (phase_ == Phase::kIdle && !unparsed_.empty()) {
    PostContinuation();
  }
  CountHeld();
}

void CallerConnection::PostContinuation() {
  continuation_posted_ = true;
  server_.loop_.Post([this, alive = alive_] {
    if (!*alive) {
      return;
    }
    continuation_posted_ = false;
    if (phase_ == Phase::kIdle) {
      ReadRequests(std::exchange(unparsed_, {}));
    }
  });
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
  if (server_.budget_ != nullptr) {
    exchange->CountIn(*server_.budget_, peer_);
  }
  server_.handler_(exchange);
}

void CallerConnection::Answer(const OutgoingResponse& response) {
  running_exchange_->connection_ = nullptr;
  running_exchange_->on_disconnect = nullptr;
  running_exchange_->on_revoked = nullptr;
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
  CountHeld();
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
  if (reading_requests_) {
    return;  // ReadRequests() goes on
  }
  if (!unparsed_.empty()) {
    ReadRequests(std::exchange(unparsed_, {}));
  } else {
    CountHeld();
  }
}

void CallerConnection::Refuse(int status, const char* fields) {
  server_.metrics_.Count("pimentomoor_caller_refused_total", 1, "status=\"" + std::to_string(status) + "\"");
  stream_->Write(FormatHead({.status = status, .fields = fields}, true, true));
  reader_.reset();
  Linger();
}

void CallerConnection::Linger() {
  stream_->ShutdownWrite();
  std::string().swap(unparsed_);  // an assignment would keep the memory
  SetPhase(Phase::kLingering);
  CountHeld();
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
        CountHeld();
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
  running_exchange_->on_revoked = nullptr;
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
  if (connections_.size() >= options_.max_connections && !MakeRoomFor(PeerHost(fd))) {
    metrics_.Count("pimentomoor_caller_connections_refused_total");
    close(fd);
    return;
  }
  auto connection = std::make_unique<CallerConnection>(*this, fd);
  auto* key = connection.get();
  ++connection_counts_[key->peer()];
  connections_.emplace(key, std::move(connection));
}

bool CallerServer::MakeRoomFor(const std::string& peer) {
  const auto greediest =
      std::max_element(connection_counts_.begin(), connection_counts_.end(),
                       [](const auto& left, const auto& right) { return left.second < right.second; });
  if (greediest == connection_counts_.end()) {
    return false;
  }
  const auto own = connection_counts_.find(peer);
  const bool is_greediest = own != connection_counts_.end() && own->second == greediest->second;
  if (is_greediest && greediest->second > 1) {
    return false;
  }
  auto displaced = waiting_.end();
  if (greediest->second > 1) {
    displaced = std::find_if(waiting_.begin(), waiting_.end(), [&](const CallerConnection* connection) {
      return connection->peer() == greediest->first;
    });
  }
  if (displaced == waiting_.end()) {
    displaced = waiting_.begin();
  }
  if (displaced == waiting_.end()) {
    return false;
  }
  metrics_.Count("pimentomoor_caller_connections_displaced_total");
  Remove(*displaced);
  return true;
}

void CallerServer::Remove(CallerConnection* connection) {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) {
    return;
  }
  connection->Close();
  if (const auto count = connection_counts_.find(connection->peer()); --count->second == 0) {
    connection_counts_.erase(count);
  }
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
