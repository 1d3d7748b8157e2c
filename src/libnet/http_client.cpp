// Implementation of the HTTP client with h2o: one connection pool for each target, timeouts on the event loop's
// clock.
#include <h2o.h>
#include <h2o/http1client.h>

#include <array>
#include <unordered_map>

#include "pimentomoor/http.h"
#include "socket_address.h"

namespace pimentomoor {

namespace {

// h2o's own I/O timeout, which follows the wall clock. It must be longer than the timeout of any call, so that it
// never fires first.
constexpr std::uint64_t kIoTimeoutMs = 300'000;
// Idle time after which a pooled connection is closed.
constexpr std::uint64_t kIdleTimeoutMs = 20'000;
constexpr std::size_t kPoolCapacity = 1'024;  // connections

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

  // State of one call. Stays in calls_ until its callback is about to run or the call is cancelled.
  struct RunningCall {
    Impl* client = nullptr;
    HttpCallId id = 0;
    HttpCall call;
    HttpCallback done;
    HttpResult result;
    std::string head;
    std::array<h2o_iovec_t, 2> buffers{};
    h2o_http1client_t* native = nullptr;  // h2o's request; null before its start and after its end
    TimerId timer = 0;
    TimePoint deadline;
    bool sent = false;  // the request was passed to a connection
  };

  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* native, const char* error, h2o_iovec_t** buffers,
                                           std::size_t* buffer_count, int* method_is_head);
  static h2o_http1client_body_cb OnHead(h2o_http1client_t* native, const char* error, int minor_version, int status,
                                        h2o_iovec_t message, h2o_header_t* headers, std::size_t header_count,
                                        int head_length);
  static int OnBody(h2o_http1client_t* native, const char* error);

  Pool& PoolFor(const std::string& target);
  void Fail(RunningCall& running, HttpFailure failure, const std::string& detail);
  void Finish(RunningCall& running);
  void RunFinished(const std::shared_ptr<const bool>& alive);

  EventLoop& loop_;
  h2o_timeout_t io_timeout_{};
  h2o_http1client_ctx_t context_{};
  HttpCallId next_id_ = 1;
  std::unordered_map<HttpCallId, std::unique_ptr<RunningCall>> calls_;
  std::unordered_map<std::string, std::unique_ptr<Pool>> pools_by_target_;
  std::vector<HttpCallId> finished_;  // calls whose callback is due in a posted callback
  // False after destruction; checked by posted callbacks.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
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
  for (auto& [target, pool] : pools_by_target_) {
    h2o_socketpool_dispose(&pool->sockets);
  }
  h2o_timeout_dispose(loop_.native(), &io_timeout_);
}

HttpClient::Impl::Pool& HttpClient::Impl::PoolFor(const std::string& target) {
  const auto it = pools_by_target_.find(target);
  if (it != pools_by_target_.end()) {
    return *it->second;
  }
  sockaddr_in address = ParseSocketAddress(target);
  auto pool = std::make_unique<Pool>();
  h2o_socketpool_init_by_address(&pool->sockets, reinterpret_cast<sockaddr*>(&address), sizeof(address), 0,
                                 kPoolCapacity);
  h2o_socketpool_set_timeout(&pool->sockets, loop_.native(), kIdleTimeoutMs);
  return *pools_by_target_.emplace(target, std::move(pool)).first->second;
}

HttpCallId HttpClient::Impl::Start(HttpCall call, HttpCallback done) {
  // Both functions throw for a malformed target, so they are called before the call is created.
  const std::uint16_t port = call.new_connection ? ntohs(ParseSocketAddress(call.target).sin_port) : 0;
  Pool* pool = call.new_connection ? nullptr : &PoolFor(call.target);
  const HttpCallId id = next_id_++;
  auto& running = *(calls_[id] = std::make_unique<RunningCall>());
  running.client = this;
  running.id = id;
  running.call = std::move(call);
  running.done = std::move(done);
  running.head = BuildRequestHead(running.call);
  running.deadline = loop_.Now() + running.call.timeout;
  running.timer = loop_.CallAfter(running.call.timeout, [this, id] {
    RunningCall& timed_out = *calls_.at(id);
    timed_out.timer = 0;
    h2o_http1client_cancel(std::exchange(timed_out.native, nullptr));
    Fail(timed_out, timed_out.sent ? HttpFailure::kTimeout : HttpFailure::kConnectTimeout, "");
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
  auto& running = *static_cast<RunningCall*>(native->data);
  if (error != nullptr) {
    running.native = nullptr;
    running.client->Fail(running, HttpFailure::kConnect, error);
    return nullptr;
  }
  // The process may have been paused since the call began, and the event loop handles connections before timers, so
  // the deadline is checked here. h2o writes the request directly after this function returns.
  const bool deadline_passed = running.client->loop_.Now() >= running.deadline;
  if (deadline_passed || (running.call.may_write && !running.call.may_write())) {
    running.native = nullptr;
    running.client->Fail(running, deadline_passed ? HttpFailure::kConnectTimeout : HttpFailure::kNotAllowed, "");
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
  auto& running = *static_cast<RunningCall*>(native->data);
  const bool end_of_stream = error == h2o_http1client_error_is_eos;
  if (error != nullptr && !end_of_stream) {
    running.native = nullptr;
    running.client->Fail(running, HttpFailure::kConnectionLost, error);
    return nullptr;
  }
  running.result.status = status;
  running.result.headers.reserve(header_count);
  for (std::size_t i = 0; i < header_count; ++i) {
    // h2o has converted the names to lower case.
    running.result.headers.emplace_back(std::string(headers[i].name->base, headers[i].name->len),
                                        std::string(headers[i].value.base, headers[i].value.len));
  }
  if (end_of_stream) {
    running.native = nullptr;
    running.client->Finish(running);
    return nullptr;
  }
  return OnBody;
}

int HttpClient::Impl::OnBody(h2o_http1client_t* native, const char* error) {
  auto& running = *static_cast<RunningCall*>(native->data);
  const bool end_of_stream = error == h2o_http1client_error_is_eos;
  h2o_buffer_t* input = native->sock->input;
  if (error == nullptr || end_of_stream) {
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
  if (end_of_stream) {
    running.client->Finish(running);
  } else {
    running.client->Fail(running, HttpFailure::kConnectionLost, error);
  }
  return 0;
}

void HttpClient::Impl::Fail(RunningCall& running, HttpFailure failure, const std::string& detail) {
  running.result = {.failure = failure};
  running.result.error = running.call.method + " " + running.call.target + running.call.path + ": " +
                         std::string(ToString(failure)) + (detail.empty() ? "" : " (" + detail + ")");
  Finish(running);
}

void HttpClient::Impl::Finish(RunningCall& running) {
  loop_.Cancel(running.timer);
  finished_.push_back(running.id);
  if (finished_.size() > 1) {
    return;  // RunFinished() is posted already
  }
  // The callbacks are posted, because h2o may still read the buffers of the request in this turn of the event loop,
  // and because a callback may start or cancel other calls.
  loop_.Post([this, alive = alive_] {
    if (*alive) {
      RunFinished(alive);
    }
  });
}

// Runs the callbacks of the finished calls. `alive` turns false when a callback destroys the client.
void HttpClient::Impl::RunFinished(const std::shared_ptr<const bool>& alive) {
  for (const HttpCallId id : std::exchange(finished_, {})) {
    const auto it = calls_.find(id);
    if (it == calls_.end()) {
      continue;
    }
    const std::unique_ptr<RunningCall> finished = std::move(it->second);
    calls_.erase(it);
    finished->done(std::move(finished->result));
    if (!*alive) {
      return;
    }
  }
}

void HttpClient::Impl::Cancel(HttpCallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;
  }
  const std::unique_ptr<RunningCall> cancelled = std::move(it->second);
  calls_.erase(it);
  loop_.Cancel(cancelled->timer);
  if (cancelled->native != nullptr) {
    h2o_http1client_cancel(cancelled->native);
  }
}

std::size_t HttpClient::Impl::open_connections(const std::string& target) const {
  const auto it = pools_by_target_.find(target);
  return it == pools_by_target_.end() ? 0 : it->second->sockets._shared.count;
}

void HttpClient::Impl::RemoveUnusedPool(const std::string& target) {
  const auto it = pools_by_target_.find(target);
  if (it == pools_by_target_.end() || it->second->sockets._shared.count > 0) {
    return;  // h2o 2.2 can't close single idle connections; they are closed after kIdleTimeoutMs
  }
  h2o_socketpool_dispose(&it->second->sockets);
  pools_by_target_.erase(it);
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
