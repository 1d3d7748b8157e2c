// HTTP client over h2o: one connection pool for each target, timeouts on our own clock.
#include <h2o.h>
#include <h2o/http1client.h>

#include <array>
#include <unordered_map>

#include "pimentomoor/http.h"
#include "socket_address.h"

namespace pimentomoor {

namespace {

// h2o's own I/O timeout follows the wall clock; it only has to be longer than any call's timeout.
constexpr std::uint64_t kIoTimeoutMs = 300'000;
// A kept connection idle for longer is closed.
constexpr std::uint64_t kIdleTimeoutMs = 20'000;
constexpr std::size_t kPoolCapacity = 1'024;

std::string BuildRequestHead(const HttpCall& call) {
  constexpr std::size_t kTypicalHeadBytes = 256;
  std::string head;
  head.reserve(kTypicalHeadBytes);
  head.append(call.method).append(" ").append(call.path);
  head.append(" HTTP/1.1\r\nhost: ").append(call.target).append("\r\n");
  for (const auto& [name, value] : call.headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (!call.body.empty() || call.method != "GET") {
    head.append("content-length: ").append(std::to_string(call.body.size())).append("\r\n");
  }
  head += call.new_connection ? "connection: close\r\n\r\n" : "connection: keep-alive\r\n\r\n";
  return head;
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(EventLoop& loop);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  HttpCallId Start(HttpCall call, HttpCallback done);
  void Cancel(HttpCallId id);
  std::size_t open_connections(const std::string& target) const;
  void RemoveUnusedPool(const std::string& target);

 private:
  struct Pool {
    h2o_socketpool_t sockets{};
  };

  // One running call. Lives in calls_ until its callback was posted or it was cancelled.
  struct Running {
    Impl* client = nullptr;
    HttpCallId id = 0;
    HttpCall call;
    HttpCallback done;
    HttpResult result;
    std::string head;
    std::array<h2o_iovec_t, 2> buffers{};
    h2o_http1client_t* native = nullptr;  // null before the start and after the end
    TimerId timer = 0;
    TimePoint deadline;
    bool sent = false;  // the request was handed to a connection
  };

  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* native, const char* error, h2o_iovec_t** buffers,
                                           std::size_t* buffer_count, int* method_is_head);
  static h2o_http1client_body_cb OnHead(h2o_http1client_t* native, const char* error, int minor_version, int status,
                                        h2o_iovec_t message, h2o_header_t* headers, std::size_t header_count,
                                        int head_length);
  static int OnBody(h2o_http1client_t* native, const char* error);

  Pool& PoolFor(const std::string& target);
  void Fail(Running& running, HttpFailure failure, const std::string& detail);
  void Finish(Running& running);
  void RunFinished(const std::shared_ptr<const bool>& alive);

  EventLoop& loop_;
  h2o_timeout_t io_timeout_{};
  h2o_http1client_ctx_t context_{};
  HttpCallId next_id_ = 1;
  std::unordered_map<HttpCallId, std::unique_ptr<Running>> calls_;
  std::unordered_map<std::string, std::unique_ptr<Pool>> pools_;
  std::vector<HttpCallId> finished_;                            // calls whose callback runs in the next turn
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed, for posted callbacks
};

HttpClient::Impl::Impl(EventLoop& loop) : loop_(loop) {
  h2o_timeout_init(loop.native(), &io_timeout_, kIoTimeoutMs);
  context_.loop = loop.native();
  context_.io_timeout = &io_timeout_;
}

HttpClient::Impl::~Impl() {
  *alive_ = false;
  while (!calls_.empty()) {
    Cancel(calls_.begin()->first);
  }
  for (auto& [target, pool] : pools_) {
    h2o_socketpool_dispose(&pool->sockets);
  }
  h2o_timeout_dispose(loop_.native(), &io_timeout_);
}

HttpClient::Impl::Pool& HttpClient::Impl::PoolFor(const std::string& target) {
  const auto found = pools_.find(target);
  if (found != pools_.end()) {
    return *found->second;
  }
  sockaddr_in address = ParseSocketAddress(target);
  auto pool = std::make_unique<Pool>();
  h2o_socketpool_init_by_address(&pool->sockets, reinterpret_cast<sockaddr*>(&address), sizeof(address), 0,
                                 kPoolCapacity);
  h2o_socketpool_set_timeout(&pool->sockets, loop_.native(), kIdleTimeoutMs);
  return *pools_.emplace(target, std::move(pool)).first->second;
}

HttpCallId HttpClient::Impl::Start(HttpCall call, HttpCallback done) {
  // Both report a malformed target before the call exists.
  const std::uint16_t port = call.new_connection ? ntohs(ParseSocketAddress(call.target).sin_port) : 0;
  Pool* pool = call.new_connection ? nullptr : &PoolFor(call.target);
  const HttpCallId id = next_id_++;
  auto& running = *(calls_[id] = std::make_unique<Running>());
  running.client = this;
  running.id = id;
  running.call = std::move(call);
  running.done = std::move(done);
  running.head = BuildRequestHead(running.call);
  running.deadline = loop_.Now() + running.call.timeout;
  running.timer = loop_.CallAfter(running.call.timeout, [this, id] {
    Running& late = *calls_.at(id);
    late.timer = 0;
    h2o_http1client_cancel(std::exchange(late.native, nullptr));
    Fail(late, late.sent ? HttpFailure::kTimeout : HttpFailure::kConnectTimeout, "");
  });
  if (pool == nullptr) {
    const std::string host = running.call.target.substr(0, running.call.target.rfind(':'));
    h2o_http1client_connect(&running.native, &running, &context_, h2o_iovec_init(host.data(), host.size()), port, 0,
                            OnConnect);
  } else {
    h2o_http1client_connect_with_pool(&running.native, &running, &context_, &pool->sockets, OnConnect);
  }
  return id;
}

h2o_http1client_head_cb HttpClient::Impl::OnConnect(h2o_http1client_t* native, const char* error,
                                                    h2o_iovec_t** buffers, std::size_t* buffer_count,
                                                    int* method_is_head) {
  auto& running = *static_cast<Running*>(native->data);
  if (error != nullptr) {
    running.native = nullptr;
    running.client->Fail(running, HttpFailure::kConnect, error);
    return nullptr;
  }
  // The process may have been paused since the call began, and the loop handles connections before timers. h2o writes
  // directly after this function returns.
  const bool late = running.client->loop_.Now() >= running.deadline;
  if (late || (running.call.may_write && !running.call.may_write())) {
    running.native = nullptr;
    running.client->Fail(running, late ? HttpFailure::kConnectTimeout : HttpFailure::kNotAllowed, "");
    return nullptr;
  }
  running.sent = true;
  running.buffers[0] = h2o_iovec_init(running.head.data(), running.head.size());
  running.buffers[1] = h2o_iovec_init(running.call.body.data(), running.call.body.size());
  *buffers = running.buffers.data();
  *buffer_count = running.call.body.empty() ? 1 : 2;
  *method_is_head = 0;
  return OnHead;
}

h2o_http1client_body_cb HttpClient::Impl::OnHead(h2o_http1client_t* native, const char* error, int /*minor_version*/,
                                                 int status, h2o_iovec_t /*message*/, h2o_header_t* headers,
                                                 std::size_t header_count, int /*head_length*/) {
  auto& running = *static_cast<Running*>(native->data);
  const bool ended = error == h2o_http1client_error_is_eos;
  if (error != nullptr && !ended) {
    running.native = nullptr;
    running.client->Fail(running, HttpFailure::kConnectionLost, error);
    return nullptr;
  }
  running.result.status = status;
  running.result.headers.reserve(header_count);
  for (std::size_t i = 0; i < header_count; ++i) {
    // h2o has changed the names to lower case.
    running.result.headers.emplace_back(std::string(headers[i].name->base, headers[i].name->len),
                                        std::string(headers[i].value.base, headers[i].value.len));
  }
  if (ended) {
    running.native = nullptr;
    running.client->Finish(running);
    return nullptr;
  }
  return OnBody;
}

int HttpClient::Impl::OnBody(h2o_http1client_t* native, const char* error) {
  auto& running = *static_cast<Running*>(native->data);
  const bool ended = error == h2o_http1client_error_is_eos;
  h2o_buffer_t* input = native->sock->input;
  if (error == nullptr || ended) {
    running.result.body.append(input->bytes, input->size);
    h2o_buffer_consume(&native->sock->input, input->size);
  }
  if (running.result.body.size() > running.call.max_response_bytes) {
    running.native = nullptr;
    running.client->Fail(running, HttpFailure::kTooLarge, "");
    return -1;  // h2o closes the connection
  }
  if (error == nullptr) {
    return 0;
  }
  running.native = nullptr;
  if (ended) {
    running.client->Finish(running);
  } else {
    running.client->Fail(running, HttpFailure::kConnectionLost, error);
  }
  return 0;
}

void HttpClient::Impl::Fail(Running& running, HttpFailure failure, const std::string& detail) {
  running.result = {.failure = failure};
  running.result.error = running.call.method + " " + running.call.target + running.call.path + ": " +
                         std::string(ToString(failure)) + (detail.empty() ? "" : " (" + detail + ")");
  Finish(running);
}

void HttpClient::Impl::Finish(Running& running) {
  loop_.Cancel(running.timer);
  finished_.push_back(running.id);
  if (finished_.size() > 1) {
    return;  // posted already
  }
  // Posted: h2o may still read the request's buffers in this turn, and a callback may start or cancel other calls.
  loop_.Post([this, alive = alive_] {
    if (*alive) {
      RunFinished(alive);
    }
  });
}

// A callback may destroy the client, which `alive` then tells.
void HttpClient::Impl::RunFinished(const std::shared_ptr<const bool>& alive) {
  for (const HttpCallId id : std::exchange(finished_, {})) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
      continue;
    }
    const std::unique_ptr<Running> finished = std::move(found->second);
    calls_.erase(found);
    finished->done(std::move(finished->result));
    if (!*alive) {
      return;
    }
  }
}

void HttpClient::Impl::Cancel(HttpCallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  const std::unique_ptr<Running> cancelled = std::move(found->second);
  calls_.erase(found);
  loop_.Cancel(cancelled->timer);
  if (cancelled->native != nullptr) {
    h2o_http1client_cancel(cancelled->native);
  }
}

std::size_t HttpClient::Impl::open_connections(const std::string& target) const {
  const auto found = pools_.find(target);
  return found == pools_.end() ? 0 : found->second->sockets._shared.count;
}

void HttpClient::Impl::RemoveUnusedPool(const std::string& target) {
  const auto found = pools_.find(target);
  if (found == pools_.end() || found->second->sockets._shared.count > 0) {
    return;  // h2o 2.2 can't close single kept connections; they are closed after the idle timeout
  }
  h2o_socketpool_dispose(&found->second->sockets);
  pools_.erase(found);
}

HttpClient::HttpClient(EventLoop& loop) : impl_(std::make_unique<Impl>(loop)) {}
HttpClient::~HttpClient() = default;

HttpCallId HttpClient::Call(HttpCall call, HttpCallback done) {
  return impl_->Start(std::move(call), std::move(done));
}

void HttpClient::Cancel(HttpCallId id) { impl_->Cancel(id); }
std::size_t HttpClient::open_connections(const std::string& target) const { return impl_->open_connections(target); }
void HttpClient::RemoveUnusedPool(const std::string& target) { impl_->RemoveUnusedPool(target); }

}  // namespace pimentomoor
