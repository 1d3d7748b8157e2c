// Implementation of the server for callers.
#include "pimentomoor/caller_server.h"

#include <unistd.h>

#include <algorithm>
#include <optional>

namespace pimentomoor {

namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(250);
// How long a connection that was answered for the last time is read, so that the answer is not lost to a reset.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Bytes of further requests that a caller may send before its answer; more stop reading would leave a closed caller
// unnoticed, so the connection is closed instead.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{256} * 1024;

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

  ~CallerConnection() override { Abandon(); }

  void Answer(const OutgoingResponse& response);
  /// Closes the connection when a limit of time has passed.
  void CheckTimeouts(TimePoint now);
  [[nodiscard]] bool idle() const { return phase_ == Phase::kIdle; }
  /// Closes the connection at once; the object stays valid until it is destroyed.
  void Close() {
    stream_.reset();
    Abandon();
    phase_ = Phase::kLingering;
  }

 private:
  enum class Phase {
    kIdle,       // no byte of the next request has arrived
    kReading,    // part of a request has arrived
    kRunning,    // a request waits for its answer
    kLingering,  // answered for the last time; what arrives is discarded
  };

  void OnData(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;
  void ReadRequests(std::string_view bytes);
  void StartRequest();
  void Refuse(int status);
  void Linger();
  void SetPhase(Phase phase) {
    phase_ = phase;
    phase_since_ = server_.loop_.Now();
  }
  void Abandon();

  CallerServer& server_;
  std::unique_ptr<TcpStream> stream_;
  Phase phase_ = Phase::kIdle;
  TimePoint phase_since_;
  std::string pending_;  // bytes that are not parsed yet
  std::optional<RequestReader> reader_;
  std::shared_ptr<CallerExchange> running_;  // set exactly in kRunning
  bool keep_alive_ = true;                   // of the running request
  bool head_request_ = false;
  bool reading_requests_ = false;  // ReadRequests() is on the stack
  bool continue_sent_ = false;
  std::uint64_t requests_ = 0;
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
  if (phase_ == Phase::kRunning) {
    pending_.append(bytes);
    if (pending_.size() > kMaxPipelinedBytes) {
      server_.metrics_.Count("pimentomoor_caller_pipeline_overflows_total");
      server_.Remove(this);
    }
    return;
  }
  if (pending_.empty()) {
    ReadRequests(bytes);
    return;
  }
  pending_.append(bytes);
  std::string joined;
  joined.swap(pending_);
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
    pending_.assign(bytes);
  }
}

void CallerConnection::StartRequest() {
  RequestMessage message = std::move(reader_->message());
  reader_.reset();
  keep_alive_ = message.keep_alive;
  head_request_ = message.method == "HEAD";
  SetPhase(Phase::kRunning);
  running_ = std::make_shared<CallerExchange>(this, std::move(message), server_.loop_.Now(), requests_++ == 0);
  ++server_.running_;
  const auto exchange = running_;
  server_.handler_(exchange);
}

void CallerConnection::Answer(const OutgoingResponse& response) {
  running_->connection_ = nullptr;
  running_->on_disconnect = nullptr;
  running_.reset();
  --server_.running_;
  const bool close = !keep_alive_ || server_.closing_;
  const bool bodiless = response.status == 204 || response.status == 304;
  std::string message = FormatHead(response, close, !bodiless);
  if (!head_request_ && !bodiless) {
    message += response.body;
  }
  stream_->Write(message);
  if (close) {
    Linger();
    return;
  }
  SetPhase(Phase::kIdle);
  if (!pending_.empty() && !reading_requests_) {
    std::string next;
    next.swap(pending_);
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
  pending_.clear();
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
      // A body may take longer than a head, since its length is the caller's choice.
      if (waited >= server_.options_.head_timeout +
                        (reader_->head_complete() ? server_.options_.idle_timeout : Duration::zero())) {
        Refuse(408);
      }
      break;
    case Phase::kRunning:
      break;
    case Phase::kLingering:
      // A caller that doesn't read its answer is bounded as an idle one is.
      if (waited >=
          (stream_->unsent_bytes() == 0 ? kLingerTime : std::max(kLingerTime, server_.options_.idle_timeout))) {
        server_.Remove(this);
      }
      break;
  }
}

void CallerConnection::Abandon() {
  if (running_ == nullptr) {
    return;
  }
  --server_.running_;
  running_->connection_ = nullptr;
  const auto on_disconnect = std::move(running_->on_disconnect);
  running_->on_disconnect = nullptr;
  running_.reset();
  if (on_disconnect) {
    server_.metrics_.Count("pimentomoor_caller_abandoned_total");
    on_disconnect();
  }
}

CallerServer::CallerServer(EventLoop& loop, Metrics& metrics, const FieldNames& names, CallerServerOptions options,
                           CallerHandler handler)
    : loop_(loop),
      metrics_(metrics),
      names_(names),
      options_(std::move(options)),
      handler_(std::move(handler)),
      listener_(std::make_unique<TcpListener>(loop, options_.address, [this](int fd) { Accept(fd); })) {
  Sweep();
}

CallerServer::~CallerServer() {
  loop_.Cancel(sweep_timer_);
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
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  connection->Close();
  // Destroyed in the next turn, because this may be called from inside one of its functions.
  auto removed = std::make_shared<std::unique_ptr<CallerConnection>>(std::move(found->second));
  connections_.erase(found);
  loop_.Post([removed] {});
}

void CallerServer::Sweep() {
  const TimePoint now = loop_.Now();
  std::vector<CallerConnection*> all;
  all.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) {
    all.push_back(key);
  }
  for (auto* connection : all) {
    connection->CheckTimeouts(now);
  }
  sweep_timer_ = loop_.CallAfter(kSweepInterval, [this] { Sweep(); });
}

}  // namespace pimentomoor
