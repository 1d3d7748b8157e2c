// Implementation of the HTTP server with h2o: one listener, handlers by path prefix, asynchronous responses.
#include <h2o.h>
#include <h2o/http1.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <set>
#include <system_error>

#include "pimentomoor/http.h"
#include "socket_address.h"

namespace pimentomoor {

namespace {

constexpr int kListenBacklog = 1'024;
// Interval of the checks of incomplete request heads. h2o itself buffers up to 408 KB of a head, and has no time
// limit for a head that keeps growing.
constexpr Duration kHeadCheckInterval = std::chrono::milliseconds(100);
// Allowance for separators and line ends, which max_head_bytes does not include. h2o accepts at most 100 fields.
constexpr std::size_t kHeadSeparatorBytes = 1'024;

int OpenListener(sockaddr_in address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled)) != 0 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const int error = errno;
    if (fd >= 0) {
      close(fd);
    }
    throw std::system_error(error, std::generic_category(), "listen on " + FormatSocketAddress(address));
  }
  return fd;
}

std::string ToStdString(h2o_iovec_t text) { return {text.base, text.len}; }

std::string LowerCase(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

// HTTP/1.1 responses have a reason phrase, but clients ignore it.
const char* ReasonPhrase(int status) { return status < 400 ? "OK" : "Error"; }

}  // namespace

class HttpServer::Impl {
 public:
  Impl(EventLoop& loop, const HttpServerOptions& options);
  ~Impl();

  void StopAccepting();
  void CloseConnections();
  void CancelHeadCheck() { loop_.Cancel(head_check_timer_); }

  HttpServerOptions options_;
  // By path prefix in descending order, so that a longer prefix comes before its own prefixes.
  std::map<std::string, HttpHandler, std::greater<>> handlers_;
  sockaddr_in bound_{};
  std::set<h2o_socket_t*> connections_;
  std::size_t running_requests_ = 0;

 private:
  // h2o allocates the handler and calls it with a pointer to `super`.
  struct Handler {
    h2o_handler_t super;
    Impl* server;
  };

  struct Connection {
    Impl* server;
    h2o_socket_t* socket;
    TimePoint incomplete_head_since{};  // when CheckHeads() first saw the incomplete head; 0 while there is none
  };

  // Lives in the memory pool of the h2o request. h2o disposes of it when the response is sent or the client has
  // disconnected.
  struct PendingRequest {
    std::shared_ptr<h2o_req_t*>* request;  // shared with the responder; becomes null when answered or disposed of
    Impl* server;
  };

  static void OnAccept(h2o_socket_t* listener, const char* error);
  static int OnRequest(h2o_handler_t* self, h2o_req_t* req);
  static void OnRequestDisposed(void* pending_request);
  static void Respond(h2o_req_t* req, const HttpResponse& response);
  static HttpRequest CopyRequest(const h2o_req_t* req);
  static std::size_t HeadBytes(const h2o_req_t* req);
  const HttpHandler* FindHandler(const std::string& path) const;
  [[nodiscard]] bool HasIncompleteHead(const h2o_socket_t* socket) const;
  void ScheduleHeadCheck();
  void CheckHeads();

  EventLoop& loop_;
  TimerId head_check_timer_ = 0;  // not 0 while there are connections
  h2o_globalconf_t config_{};
  h2o_context_t context_{};
  h2o_accept_ctx_t accept_context_{};
  h2o_socket_t* listener_ = nullptr;
};

HttpServer::Impl::Impl(EventLoop& loop, const HttpServerOptions& options) : options_(options), loop_(loop) {
  const int fd = OpenListener(ParseSocketAddress(options.address + ":" + std::to_string(options.port)));
  socklen_t length = sizeof(bound_);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound_), &length);

  h2o_config_init(&config_);
  config_.server_name = h2o_iovec_init(H2O_STRLIT("pimentomoor"));
  config_.max_request_entity_size = options.max_body_bytes;
  config_.http1.req_timeout =
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(options.idle_timeout).count());
  config_.http1.upgrade_to_http2 = 0;
  h2o_hostconf_t* host = h2o_config_register_host(&config_, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  auto* handler = reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
  handler->super.on_req = OnRequest;
  handler->server = this;

  h2o_context_init(&context_, loop.native(), &config_);
  accept_context_.ctx = &context_;
  accept_context_.hosts = config_.hosts;
  listener_ = h2o_evloop_socket_create(loop.native(), fd, H2O_SOCKET_FLAG_DONT_READ);
  listener_->data = this;
  h2o_socket_read_start(listener_, OnAccept);
}

HttpServer::Impl::~Impl() { StopAccepting(); }

void HttpServer::Impl::StopAccepting() {
  if (listener_ == nullptr) {
    return;
  }
  h2o_socket_read_stop(listener_);
  h2o_socket_close(listener_);
  listener_ = nullptr;
  context_.shutdown_requested = 1;  // further responses carry "connection: close"
}

void HttpServer::Impl::CloseConnections() {
  // h2o notices the end of the stream in a later turn of the event loop and closes the connection.
  for (h2o_socket_t* socket : connections_) {
    shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
  }
}

void HttpServer::Impl::OnAccept(h2o_socket_t* listener, const char* error) {
  if (error != nullptr) {
    return;
  }
  auto* server = static_cast<Impl*>(listener->data);
  // Maximum number of connections accepted in one turn of the event loop, so that running requests are not starved.
  constexpr int kMaxAcceptsPerTurn = 64;
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
    if (socket == nullptr) {
      return;
    }
    if (server->connections_.size() >= server->options_.max_connections) {
      h2o_socket_close(socket);
      continue;
    }
    server->connections_.insert(socket);
    socket->on_close.cb = [](void* data) {
      const std::unique_ptr<Connection> closed(static_cast<Connection*>(data));
      closed->server->connections_.erase(closed->socket);
    };
    socket->on_close.data = new Connection{.server = server, .socket = socket};
    server->ScheduleHeadCheck();
    h2o_accept(&server->accept_context_, socket);
  }
}

// Whether the input buffer of a connection starts with an incomplete request head. h2o keeps a complete head at the
// start of the buffer, followed by the body, until its request is done.
bool HttpServer::Impl::HasIncompleteHead(const h2o_socket_t* socket) const {
  if (socket->input == nullptr || socket->input->size == 0) {
    return false;
  }
  const std::string_view head(socket->input->bytes,
                              std::min(socket->input->size, options_.max_head_bytes + kHeadSeparatorBytes));
  return head.find("\r\n\r\n") == head.npos && head.find("\n\n") == head.npos;
}

void HttpServer::Impl::ScheduleHeadCheck() {
  if (head_check_timer_ == 0 && !connections_.empty()) {
    head_check_timer_ = loop_.CallAfter(kHeadCheckInterval, [this] {
      head_check_timer_ = 0;
      CheckHeads();
      ScheduleHeadCheck();
    });
  }
}

// Closes connections whose incomplete head is too large or too old, or exceeds the limit for the sum of all heads.
void HttpServer::Impl::CheckHeads() {
  const TimePoint now = loop_.Now();
  std::size_t bytes = 0;
  for (h2o_socket_t* socket : connections_) {
    auto& connection = *static_cast<Connection*>(socket->on_close.data);
    if (!HasIncompleteHead(socket)) {
      connection.incomplete_head_since = TimePoint();
      continue;
    }
    if (connection.incomplete_head_since == TimePoint()) {
      connection.incomplete_head_since = now;
    }
    bytes += socket->input->size;
    if (socket->input->size >= options_.max_head_bytes + kHeadSeparatorBytes ||
        now - connection.incomplete_head_since >= options_.head_timeout ||
        bytes > options_.max_incomplete_head_bytes) {
      bytes -= socket->input->size;
      shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    }
  }
}

HttpRequest HttpServer::Impl::CopyRequest(const h2o_req_t* req) {
  HttpRequest request;
  request.method = ToStdString(req->method);
  request.path = ToStdString(req->path_normalized);
  if (req->query_at != SIZE_MAX) {
    request.query = std::string(req->path.base + req->query_at + 1, req->path.len - req->query_at - 1);
  }
  for (std::size_t i = 0; i < req->headers.size; ++i) {
    const h2o_header_t& header = req->headers.entries[i];
    request.headers.emplace_back(LowerCase(ToStdString(*header.name)), ToStdString(header.value));
  }
  request.body = ToStdString(req->entity);
  return request;
}

// Size of the request line and header fields, without separators and the line ends of HTTP/1.1.
std::size_t HttpServer::Impl::HeadBytes(const h2o_req_t* req) {
  std::size_t bytes = req->input.method.len + req->input.path.len;
  for (std::size_t i = 0; i < req->headers.size; ++i) {
    bytes += req->headers.entries[i].name->len + req->headers.entries[i].value.len;
  }
  return bytes;
}

const HttpHandler* HttpServer::Impl::FindHandler(const std::string& path) const {
  for (const auto& [prefix, handler] : handlers_) {
    if (path.starts_with(prefix)) {
      return &handler;
    }
  }
  return nullptr;
}

int HttpServer::Impl::OnRequest(h2o_handler_t* self, h2o_req_t* req) {
  Impl* server = reinterpret_cast<Handler*>(self)->server;
  // h2o itself accepts request heads of up to 408 KB.
  if (HeadBytes(req) > server->options_.max_head_bytes) {
    Respond(req, {.status = 431, .body = "{\"error\":\"request head is too large\"}\n"});
    return 0;
  }
  HttpRequest request = CopyRequest(req);
  const HttpHandler* handler = server->FindHandler(request.path);
  if (handler == nullptr) {
    Respond(req, {.status = 404, .body = "{\"error\":\"no such path\"}\n"});
    return 0;
  }
  auto pending = std::make_shared<h2o_req_t*>(req);
  auto* pending_request =
      static_cast<PendingRequest*>(h2o_mem_alloc_shared(&req->pool, sizeof(PendingRequest), OnRequestDisposed));
  pending_request->request = new std::shared_ptr<h2o_req_t*>(pending);
  pending_request->server = server;
  ++server->running_requests_;
  (*handler)(std::move(request), [pending](const HttpResponse& response) {
    if (*pending != nullptr) {
      Respond(std::exchange(*pending, nullptr), response);
    }
  });
  return 0;
}

void HttpServer::Impl::OnRequestDisposed(void* data) {
  auto* pending_request = static_cast<PendingRequest*>(data);
  **pending_request->request = nullptr;
  delete pending_request->request;
  --pending_request->server->running_requests_;
}

void HttpServer::Impl::Respond(h2o_req_t* req, const HttpResponse& response) {
  req->res.status = response.status;
  req->res.reason = ReasonPhrase(response.status);
  req->res.content_length = response.body.size();
  const auto add_header = [&](std::string_view name, std::string_view value) {
    const h2o_iovec_t name_copy = h2o_strdup(&req->pool, name.data(), name.size());
    const h2o_iovec_t value_copy = h2o_strdup(&req->pool, value.data(), value.size());
    h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base, name_copy.len, 1, nullptr, value_copy.base,
                          value_copy.len);
  };
  add_header("content-type", response.content_type);
  for (const auto& [name, value] : response.headers) {
    add_header(name, value);
  }
  h2o_send_inline(req, response.body.data(), response.body.size());
}

HttpServer::HttpServer(EventLoop& loop,
                       HttpServerOptions options)  // NOLINT(performance-unnecessary-value-param): options are values
    : impl_(std::make_unique<Impl>(loop, options)) {}

HttpServer::~HttpServer() {
  impl_->StopAccepting();
  impl_->CancelHeadCheck();
  impl_->handlers_.clear();
  impl_->CloseConnections();
  // h2o 2.2 can't dispose of a context that still has connections, so the context is kept until the process ends.
  static auto& retired = *new std::vector<std::unique_ptr<Impl>>;
  retired.push_back(std::move(impl_));
}

void HttpServer::Handle(std::string prefix, HttpHandler handler) {
  impl_->handlers_[std::move(prefix)] = std::move(handler);
}

std::uint16_t HttpServer::port() const { return ntohs(impl_->bound_.sin_port); }
std::string HttpServer::address() const { return FormatSocketAddress(impl_->bound_); }
std::size_t HttpServer::open_connections() const { return impl_->connections_.size(); }
std::size_t HttpServer::running_requests() const { return impl_->running_requests_; }
void HttpServer::StopAccepting() { impl_->StopAccepting(); }
void HttpServer::CloseConnections() { impl_->CloseConnections(); }

}  // namespace pimentomoor
