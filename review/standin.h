// Small stand-ins for the cases under review/: the platform's store, searchers and clients, each with threads and
// blocking sockets on loopback addresses. They speak what the users' pages say and share no code with the product.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using SteadyClock = std::chrono::steady_clock;

inline void SleepMs(double ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
  }
}

inline SteadyClock::time_point After(double ms) {
  return SteadyClock::now() +
         std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double, std::milli>(ms));
}

inline std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// The record of a run: one line for each event, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) {
      std::perror("open the record");
      std::exit(2);
    }
  }

  double Ms() const { return std::chrono::duration<double, std::milli>(SteadyClock::now() - start_).count(); }

  // NOLINTNEXTLINE: a printf-like function
  double Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    const double now = Ms();
    std::fprintf(file_, "%9.1f ", now);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
    return now;
  }

 private:
  const SteadyClock::time_point start_ = SteadyClock::now();
  std::mutex mutex_;
  std::FILE* file_;
};

struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool complete = false;  // the whole body has arrived

  std::string Field(const char* name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name) == 0) {
        return value;
      }
    }
    return "";
  }
  int Status() const { return start_line.size() > 12 ? std::atoi(start_line.c_str() + 9) : 0; }
  std::string Method() const { return start_line.substr(0, start_line.find(' ')); }
  std::string Target() const {
    const auto from = start_line.find(' ') + 1;
    return start_line.substr(from, start_line.find(' ', from) - from);
  }
};

/// One TCP connection with blocking reads. `read_bytes_per_s` limits the rate of reading, like a slow link.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() {
    if (fd_ >= 0) {
      close(fd_);
    }
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> Open(const std::string& ip, int port, int segment_bytes = 0,
                                          int receive_bytes = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (segment_bytes > 0) {
      setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
    }
    if (receive_bytes > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  bool Write(const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
      const ssize_t count = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Reads a message whose body has a length. Returns false when the connection ends or `timeout_ms` passes first;
  /// the message then holds what has arrived.
  bool Read(Message& message, double timeout_ms, double read_bytes_per_s = 0) {
    const auto end = After(timeout_ms);
    message = {};
    std::size_t head_end = 0;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(end, read_bytes_per_s)) {
        return false;
      }
    }
    std::size_t at = buffer_.find("\r\n");
    message.start_line = buffer_.substr(0, at);
    while (at < head_end) {
      const std::size_t next = buffer_.find("\r\n", at + 2);
      const std::string line = buffer_.substr(at + 2, next - at - 2);
      const std::size_t colon = line.find(':');
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      message.fields.emplace_back(line.substr(0, colon), line.substr(value));
      at = next;
    }
    buffer_.erase(0, head_end + 4);
    const std::size_t length = std::strtoull(message.Field("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (!Fill(end, read_bytes_per_s)) {
        message.body = buffer_;
        return false;
      }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    message.complete = true;
    return true;
  }

  /// Ends the connection so that a thread that reads from it or writes to it goes on.
  void Shutdown() { shutdown(fd_, SHUT_RDWR); }

 private:
  bool Fill(SteadyClock::time_point end, double read_bytes_per_s) {
    constexpr std::size_t kChunk = 8192;
    const double left_ms = std::chrono::duration<double, std::milli>(end - SteadyClock::now()).count();
    pollfd waiting{.fd = fd_, .events = POLLIN, .revents = 0};
    if (left_ms <= 0 || poll(&waiting, 1, static_cast<int>(left_ms) + 1) <= 0) {
      return false;
    }
    char bytes[kChunk];
    const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    if (read_bytes_per_s > 0) {
      SleepMs(1000.0 * static_cast<double>(count) / read_bytes_per_s);
    }
    return true;
  }

  int fd_;
  std::string buffer_;
};

/// Accepts connections at an address and serves each in a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;

  Listener(const std::string& ip, int port, Handler handler) : handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd_, 512) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    std::thread([this] { Accept(); }).detach();
  }

  /// Closes the listener and all connections, as the end of a process does.
  void End() {
    const std::lock_guard lock(mutex_);
    ended_ = true;
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
    for (auto* connection : connections_) {
      connection->Shutdown();
    }
  }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      std::thread([this, fd] {
        Connection connection(fd);
        {
          const std::lock_guard lock(mutex_);
          if (ended_) {
            return;
          }
          connections_.insert(&connection);
        }
        handler_(connection);
        const std::lock_guard lock(mutex_);
        connections_.erase(&connection);
      }).detach();
    }
  }

  int fd_ = -1;
  bool ended_ = false;
  std::mutex mutex_;
  std::set<Connection*> connections_;
  Handler handler_;
};

/// The platform's metadata store: lists, watches, and writes by other writers through the functions of this class.
class Store {
 public:
  Store(const std::string& ip, int port) : listener_(ip, port, [this](Connection& call) { Serve(call); }) {}

  /// Creates or replaces an object. The return is the acknowledgement.
  void Put(const std::string& kind, const std::string& name, const std::string& spec) { Change(kind, name, &spec); }
  void Delete(const std::string& kind, const std::string& name) { Change(kind, name, nullptr); }

 private:
  struct Event {
    std::uint64_t revision;
    std::string kind;
    std::string json;
  };

  void Change(const std::string& kind, const std::string& name, const std::string* spec) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    auto& objects = objects_[kind];
    const auto known = objects.find(name);
    const std::uint64_t created = known == objects.end() ? revision_ : known->second.first;
    const std::string json = R"({"meta":{"name":")" + Escape(name) + R"(","rev":)" + std::to_string(revision_) +
                             R"(,"created-rev":)" + std::to_string(created) +
                             R"(,"finalizers":[],"deleting":false},"spec":)" + (spec == nullptr ? "null" : *spec) +
                             R"(,"status":null})";
    if (spec == nullptr) {
      objects.erase(name);
    } else {
      objects[name] = {created, json};
    }
    events_.push_back({revision_, kind, json});
    events_.back().json =
        R"({"deleted":)" + std::string(spec == nullptr ? "true" : "false") + R"(,"object":)" + json + "}";
    changed_.notify_all();
  }

  // Escapes the control characters of a JSON string that the cases use.
  static std::string Escape(const std::string& text) {
    std::string escaped;
    for (const char c : text) {
      escaped += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
    }
    return escaped;
  }

  static std::string Query(const std::string& target, const std::string& key) {
    for (std::size_t at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
      if (target.compare(at + 1, key.size() + 1, key + "=") == 0) {
        const std::size_t from = at + key.size() + 2;
        return target.substr(from, target.find('&', from) - from);
      }
    }
    return "";
  }

  void Serve(Connection& connection) {
    constexpr double kIdleMs = 60'000;
    Message call;
    while (connection.Read(call, kIdleMs)) {
      SleepMs(4);
      const std::string target = call.Target();
      const std::string prefix = "/api/objects/";
      std::string path = target.substr(0, target.find('?'));
      std::string body;
      int status = 200;
      if (call.Method() != "GET" || path.rfind(prefix, 0) != 0) {
        status = 404;
      } else {
        path.erase(0, prefix.size());
        const std::string kind = path.substr(0, path.find('/'));
        body = path.size() > kind.size() ? One(kind, path.substr(kind.size() + 1), status)
               : Query(target, "watch").empty()
                   ? List(kind, Query(target, "after"))
                   : Watch(kind, std::strtoull(Query(target, "watch").c_str(), nullptr, 10),
                           std::atof(Query(target, "wait-ms").c_str()));
      }
      if (!connection.Write("HTTP/1.1 " + std::to_string(status) +
                            " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  std::string One(const std::string& kind, const std::string& name, int& status) {
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    status = found == objects_[kind].end() ? 404 : 200;
    return status == 404 ? "" : found->second.second;
  }

  std::string List(const std::string& kind, const std::string& after) {
    constexpr std::size_t kPage = 50;
    const std::lock_guard lock(mutex_);
    const auto& objects = objects_[kind];
    std::string items;
    auto next = objects.upper_bound(after);
    for (std::size_t i = 0; i < kPage && next != objects.end(); ++i, ++next) {
      items += (items.empty() ? "" : ",") + next->second.second;
    }
    return R"({"items":[)" + items + R"(],"has-more":)" + (next == objects.end() ? "false" : "true") +
           R"(,"store-revision":)" + std::to_string(revision_) + "}";
  }

  std::string Watch(const std::string& kind, std::uint64_t after, double wait_ms) {
    const auto end = After(wait_ms);
    std::unique_lock lock(mutex_);
    while (true) {
      std::string events;
      for (const auto& event : events_) {
        if (event.revision > after && event.kind == kind) {
          events += (events.empty() ? "" : ",") + event.json;
        }
      }
      if (!events.empty() || changed_.wait_until(lock, end) == std::cv_status::timeout) {
        return R"({"events":[)" + events + R"(],"store-revision":)" + std::to_string(revision_) + "}";
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, std::pair<std::uint64_t, std::string>>> objects_;
  std::vector<Event> events_;
  Listener listener_;
};

struct SearcherOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::string ip = "127.0.0.1";
  int port = 0;
  unsigned slots = 2;
  unsigned queue = 4;
  double work_ms = 100;
  double link_ms = 0;  // delay of the link in each direction
  std::size_t body_bytes = 64;
  std::string crash_path = "";  // a request for it crashes the searcher that begins to run it
};

/// A sound searcher with slots and a short queue, which registers itself in the store.
class Searcher {
 public:
  Searcher(Store& store, Record& record, SearcherOptions options)
      : store_(store),
        record_(record),
        options_(std::move(options)),
        born_(UnixMs()),
        listener_(options_.ip, options_.port, [this](Connection& connection) { Serve(connection); }) {
    Beat();
    std::thread([this] {
      while (!ended_) {
        SleepMs(kBeatMs);
        Beat();
      }
    }).detach();
  }

  const std::string& id() const { return options_.id; }

  /// Reports that it drains; the return is the store's acknowledgement.
  double Drain() {
    draining_ = true;
    Beat();
    drain_acknowledged_ms_ = record_.Line("store acknowledges: %s is draining", options_.id.c_str());
    return drain_acknowledged_ms_;
  }

  /// Ends as a process does. Its entry is removed from the store before.
  void End() {
    {
      const std::lock_guard lock(beat_mutex_);
      ended_ = true;
      store_.Delete("servers", options_.id);
    }
    record_.Line("%s ends", options_.id.c_str());
    listener_.End();
    const std::lock_guard lock(mutex_);
    free_.notify_all();
  }

  bool ended() const { return ended_; }

  /// From now on the searcher sends one answer in `every` a second time, `late_ms` after it. 0: none.
  void SetExtraAnswers(unsigned every, double late_ms) {
    extra_late_ms_ = late_ms;
    extra_every_ = every;
  }

  std::map<std::string, unsigned> Runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
  /// Bodies with which requests ran, by request id.
  std::map<std::string, std::string> Bodies() {
    const std::lock_guard lock(mutex_);
    return bodies_;
  }
  /// Ids of the requests that arrived later than `ms` after the acknowledgement of its drain.
  std::vector<std::string> ArrivedAfterDrain(double ms) {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> late;
    for (const auto& [at, request_id] : arrivals_) {
      if (drain_acknowledged_ms_ > 0 && at > drain_acknowledged_ms_ + ms) {
        late.push_back(request_id);
      }
    }
    return late;
  }

 private:
  static constexpr double kBeatMs = 1200;

  void Beat() {
    const std::lock_guard lock(beat_mutex_);
    if (ended_) {
      return;
    }
    store_.Put("servers", options_.id,
               R"({"backend":")" + options_.service + R"(","address":")" + options_.ip + ":" +
                   std::to_string(options_.port) + R"(","zone":")" + options_.zone + R"(","version":"v1","slots":)" +
                   std::to_string(options_.slots) + R"(,"state":")" + (draining_ ? "draining" : "ready") +
                   R"(","cold-left-ms":0,"born":)" + std::to_string(born_) + R"(,"seq":)" +
                   std::to_string(++sequence_) + "}");
  }

  /// Ends without telling the store.
  void Crash() {
    ended_ = true;
    record_.Line("%s crashes", options_.id.c_str());
    listener_.End();
    free_.notify_all();
  }

  void Serve(Connection& connection) {
    constexpr double kIdleMs = 30'000;
    auto open = std::make_shared<std::pair<std::mutex, Connection*>>();
    open->second = &connection;
    Message request;
    while (connection.Read(request, kIdleMs) && !ended_) {
      SleepMs(options_.link_ms);
      const std::string answer = Answer(request);
      SleepMs(options_.link_ms);
      if (ended_) {
        break;
      }
      const unsigned every = extra_every_;
      const bool repeat = every > 0 && ++answers_ % every == 0;
      {
        const std::lock_guard lock(open->first);
        connection.Write(answer);
      }
      if (repeat) {
        record_.Line("%s will send its answer to %s again", options_.id.c_str(),
                     request.Field("X-Request-Id").c_str());
        std::thread([open, answer, late = extra_late_ms_.load()] {
          SleepMs(late);
          const std::lock_guard lock(open->first);
          if (open->second != nullptr) {
            open->second->Write(answer);
          }
        }).detach();
      }
    }
    const std::lock_guard lock(open->first);
    open->second = nullptr;
  }

  std::string Answer(const Message& request) {
    const std::string request_id = request.Field("X-Request-Id");
    const std::string identity = "X-Request-Id: " + request_id + "\r\nX-Instance: " + options_.id + "\r\n";
    const std::string no_body = "Content-Length: 0\r\n\r\n";
    if (request.Target() == "/health") {
      return "HTTP/1.1 " + std::string(draining_ ? "503 Draining" : "200 OK") + "\r\nX-Instance: " + options_.id +
             "\r\n" + no_body;
    }
    if (request.Method() != "GET" && request.Method() != "POST") {
      record_.Line("%s gets no valid request: %s", options_.id.c_str(), request.start_line.c_str());
      return "HTTP/1.1 400 Bad Request\r\nX-Not-Run: 1\r\n" + identity + no_body;
    }
    const std::string expected = request.Field("X-Expect-Instance");
    if (!expected.empty() && expected != options_.id) {
      return "HTTP/1.1 421 Misdirected Request\r\n" + identity + no_body;
    }
    const double deadline = record_.Line("%s receives %s", options_.id.c_str(), request_id.c_str()) +
                            std::atof(request.Field("X-Deadline-Ms").c_str());
    std::unique_lock lock(mutex_);
    arrivals_.emplace_back(record_.Ms(), request_id);
    if (running_ >= options_.slots && queued_ >= options_.queue) {
      record_.Line("%s rejects %s: full", options_.id.c_str(), request_id.c_str());
      return "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n" + identity + no_body;
    }
    ++queued_;
    const bool has_slot = free_.wait_for(lock, std::chrono::duration<double, std::milli>(deadline - record_.Ms()),
                                         [this] { return ended_ || running_ < options_.slots; });
    --queued_;
    if (!has_slot || ended_) {
      return "HTTP/1.1 503 Late\r\nX-Not-Run: 1\r\n" + identity + no_body;
    }
    ++running_;
    const unsigned run = ++runs_[request_id];
    bodies_[request_id] = request.body;
    lock.unlock();
    record_.Line("%s runs %s, time %u", options_.id.c_str(), request_id.c_str(), run);
    if (!options_.crash_path.empty() && request.Target() == options_.crash_path) {
      Crash();
      return "";
    }
    SleepMs(options_.work_ms);
    if (ended_) {
      record_.Line("%s breaks off %s", options_.id.c_str(), request_id.c_str());
    }
    lock.lock();
    --running_;
    free_.notify_one();
    return "HTTP/1.1 200 OK\r\nX-Stamp: " + options_.id + "." + request_id + "." + std::to_string(run) + "\r\n" +
           identity + "Content-Length: " + std::to_string(options_.body_bytes) + "\r\n\r\n" +
           std::string(options_.body_bytes, 'r');
  }

  Store& store_;
  Record& record_;
  const SearcherOptions options_;
  const std::uint64_t born_;
  std::uint64_t sequence_ = 0;
  std::mutex beat_mutex_;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> ended_ = false;
  std::atomic<unsigned> extra_every_ = 0;
  std::atomic<unsigned> answers_ = 0;
  std::atomic<double> extra_late_ms_ = 0;
  std::mutex mutex_;
  std::condition_variable free_;
  unsigned running_ = 0;
  unsigned queued_ = 0;
  std::map<std::string, unsigned> runs_;
  std::map<std::string, std::string> bodies_;
  std::vector<std::pair<double, std::string>> arrivals_;
  double drain_acknowledged_ms_ = 0;
  Listener listener_;
};

struct CallOptions {
  std::string method = "POST";
  std::string path;
  std::string body = "hire";
  int deadline_ms = 5'000;
  double read_bytes_per_s = 0;
  int segment_bytes = 0;
  int receive_bytes = 0;
};

struct CallResult {
  int status = 0;  // 0: no answer
  bool complete = false;
  std::string stamp;
  std::size_t body_bytes = 0;
  std::size_t length = 0;  // length that the answer announced
};

/// Sends one client attempt over a new connection and records what came back.
inline CallResult Call(Record& record, const std::string& ip, int port, const std::string& request_id,
                       const CallOptions& options) {
  CallResult result;
  Message answer;
  record.Line("client sends %s to %s", request_id.c_str(), ip.c_str());
  const auto connection = Connection::Open(ip, port, options.segment_bytes, options.receive_bytes);
  const std::string body = options.method == "POST" ? options.body : "";
  if (connection != nullptr &&
      connection->Write(options.method + " " + options.path + " HTTP/1.1\r\nHost: ledger.example\r\nX-Request-Id: " +
                        request_id + "\r\nX-Deadline-Ms: " + std::to_string(options.deadline_ms) +
                        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
    result.complete = connection->Read(answer, options.deadline_ms, options.read_bytes_per_s);
  }
  result.status = answer.Status();
  result.stamp = answer.Field("X-Stamp");
  result.body_bytes = answer.body.size();
  result.length = std::strtoull(answer.Field("Content-Length").c_str(), nullptr, 10);
  record.Line("client has %d for %s, stamp '%s', %zu of %zu bytes%s", result.status, request_id.c_str(),
              result.stamp.c_str(), result.body_bytes, result.length, result.complete ? "" : ", connection ended");
  return result;
}

}  // namespace review
