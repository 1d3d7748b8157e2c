// Stand-ins of the second review: the platform's store, searchers, clients, and the gateway daemons as separate
// processes. They follow PROTOCOL.md and DEPLOY.md of the users' pages. Sockets block, and each connection has its
// own thread, so that the order of events is easy to read.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
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

/// Milliseconds since the start of the program.
inline double NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

inline void SleepMs(double ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
  }
}

/// Lines of record.txt, each with its time.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Add(const std::string& line) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%10.1f ms  ", NowMs());
    out_ << time << line << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct Address {
  std::string ip;
  int port = 0;
  [[nodiscard]] std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

inline int Listen(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in bound = SocketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 || listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int Connect(const Address& address, double timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in peer = SocketAddress(address);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) != 0) {
    pollfd waiting{.fd = fd, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || poll(&waiting, 1, static_cast<int>(timeout_ms)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/// One HTTP message. Names of fields are in lower case.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;
  std::string body;

  [[nodiscard]] std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  [[nodiscard]] std::string Method() const { return start_line.substr(0, start_line.find(' ')); }
  [[nodiscard]] std::string Target() const {
    const std::size_t begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
  }
  [[nodiscard]] std::string Path() const { return Target().substr(0, Target().find('?')); }
  [[nodiscard]] int Status() const { return start_line.size() < 12 ? 0 : std::atoi(start_line.substr(9, 3).c_str()); }
};

/// Reads messages with a Content-Length from one connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  /// Waits until the first byte of a message is there. Returns false at the end of the connection and after the time.
  bool WaitForData(double timeout_ms) {
    if (!buffer_.empty()) {
      return true;
    }
    return Fill(timeout_ms);
  }
  /// Returns whether a whole message was read before the time was up.
  bool Read(Message& message, double timeout_ms) {
    const double end = NowMs() + timeout_ms;
    std::size_t head_end = buffer_.find("\r\n\r\n");
    while (head_end == std::string::npos) {
      if (!Fill(end - NowMs())) {
        return false;
      }
      head_end = buffer_.find("\r\n\r\n");
    }
    message = {};
    std::string head = buffer_.substr(0, head_end + 2);
    message.start_line = head.substr(0, head.find("\r\n"));
    for (std::size_t at = head.find("\r\n") + 2; at < head.size();) {
      const std::size_t line_end = head.find("\r\n", at);
      const std::string line = head.substr(at, line_end - at);
      std::string name = line.substr(0, line.find(':'));
      for (char& c : name) {
        c = static_cast<char>(std::tolower(c));
      }
      std::size_t value = line.find(':') + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      message.fields[name] = line.substr(value);
      at = line_end + 2;
    }
    const auto length = static_cast<std::size_t>(std::atoll(message.Field("content-length").c_str()));
    while (buffer_.size() < head_end + 4 + length) {
      if (!Fill(end - NowMs())) {
        return false;
      }
    }
    message.body = buffer_.substr(head_end + 4, length);
    buffer_.erase(0, head_end + 4 + length);
    return true;
  }
  /// Whether the other end has closed the connection.
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] bool empty() const { return buffer_.empty(); }

 private:
  bool Fill(double timeout_ms) {
    pollfd waiting{.fd = fd_, .events = POLLIN, .revents = 0};
    if (timeout_ms <= 0 || poll(&waiting, 1, static_cast<int>(timeout_ms) + 1) != 1) {
      return false;
    }
    char bytes[65536];
    const ssize_t received = recv(fd_, bytes, sizeof(bytes), 0);
    if (received <= 0) {
      closed_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(received));
    return true;
  }

  int fd_;
  std::string buffer_;
  bool closed_ = false;
};

/// Accepts connections and serves each in a thread of its own. Stop() ends them like the end of a process.
class Server {
 public:
  using Handler = std::function<void(int fd)>;

  bool Start(const Address& address, Handler handler) {
    listener_ = Listen(address);
    if (listener_ < 0) {
      return false;
    }
    stopping_ = false;
    crashed_ = false;
    accepting_ = std::thread([this, handler = std::move(handler)] {
      while (!stopping_) {
        pollfd waiting{.fd = listener_, .events = POLLIN, .revents = 0};
        if (poll(&waiting, 1, 20) != 1) {
          continue;
        }
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          continue;
        }
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        const std::lock_guard lock(mutex_);
        if (crashed_) {
          close(fd);
          continue;
        }
        open_.insert(fd);
        threads_.emplace_back([this, fd, handler] {
          handler(fd);
          const std::lock_guard end_lock(mutex_);
          open_.erase(fd);
          close(fd);
        });
      }
    });
    return true;
  }
  /// Ends the listener and all connections at once, as the end of a process does. Stop() must follow.
  void Crash() {
    const std::lock_guard lock(mutex_);
    crashed_ = true;
    shutdown(listener_, SHUT_RDWR);  // from here on, connections are refused
    for (const int fd : open_) {
      shutdown(fd, SHUT_RDWR);
    }
  }
  /// Closes the listener and all connections. Must not be called by a thread of the server.
  void Stop() {
    if (stopping_) {
      return;
    }
    Crash();
    stopping_ = true;
    accepting_.join();
    close(listener_);
    std::vector<std::thread> threads;
    {
      const std::lock_guard lock(mutex_);
      threads.swap(threads_);
    }
    for (auto& thread : threads) {
      thread.join();
    }
  }
  [[nodiscard]] bool stopping() const { return stopping_; }
  ~Server() { Stop(); }

 private:
  int listener_ = -1;
  std::atomic<bool> stopping_{true};
  std::atomic<bool> crashed_{false};
  std::thread accepting_;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
};

/// The platform's store: lists and watches of objects by kind. The program itself writes to it.
class Store {
 public:
  bool Start(const Address& address) {
    address_ = address;
    return server_.Start(address, [this](int fd) { Serve(fd); });
  }
  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      ended_ = true;
    }
    changed_.notify_all();
    server_.Stop();
  }
  void Put(const std::string& kind, const std::string& name, const std::string& spec) {
    const std::lock_guard lock(mutex_);
    Object& object = kinds_[kind][name];
    if (object.revision > 0 && object.spec == spec) {
      return;
    }
    object.revision = ++revision_;
    object.created = object.created == 0 ? object.revision : object.created;
    object.spec = spec;
    events_.push_back({.kind = kind, .revision = revision_, .text = Event(name, object, false)});
    changed_.notify_all();
  }
  void Delete(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto found = kinds_[kind].find(name);
    if (found == kinds_[kind].end()) {
      return;
    }
    found->second.revision = ++revision_;
    events_.push_back({.kind = kind, .revision = revision_, .text = Event(name, found->second, true)});
    kinds_[kind].erase(found);
    changed_.notify_all();
  }
  /// While it is down, the store answers all calls with 503, and watches that wait are cut off.
  void SetDown(bool down) {
    const std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
  }
  [[nodiscard]] bool down() {
    const std::lock_guard lock(mutex_);
    return down_;
  }

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::string spec;
  };
  struct Change {
    std::string kind;
    std::uint64_t revision = 0;
    std::string text;
  };

  static std::string Format(const std::string& name, const Object& object) {
    return "{\"meta\":{\"name\":\"" + name + "\",\"rev\":" + std::to_string(object.revision) +
           ",\"created-rev\":" + std::to_string(object.created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":null}";
  }
  static std::string Event(const std::string& name, const Object& object, bool deleted) {
    return "{\"object\":" + Format(name, object) + ",\"deleted\":" + (deleted ? "true" : "false") + "}";
  }
  static std::string Parameter(const std::string& target, const std::string& name) {
    const std::size_t query = target.find('?');
    if (query == std::string::npos) {
      return "";
    }
    const std::string text = "&" + target.substr(query + 1);
    const std::size_t at = text.find("&" + name + "=");
    if (at == std::string::npos) {
      return "";
    }
    const std::size_t begin = at + name.size() + 2;
    return text.substr(begin, text.find('&', begin) - begin);
  }
  static bool Answer(int fd, int status, const std::string& body) {
    return SendAll(fd, "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" +
                           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  void Serve(int fd) {
    Reader reader(fd);
    Message call;
    while (reader.Read(call, 3'600'000)) {
      if (!Handle(fd, call)) {
        return;
      }
    }
  }
  bool Handle(int fd, const Message& call) {
    const std::string prefix = "/api/objects/";
    std::unique_lock lock(mutex_);
    if (ended_) {
      return false;
    }
    if (down_) {
      lock.unlock();
      return Answer(fd, 503, "{}");
    }
    if (call.Method() != "GET" || call.Path().rfind(prefix, 0) != 0) {
      lock.unlock();
      return Answer(fd, 404, "{}");
    }
    const std::string kind = call.Path().substr(prefix.size());
    const std::string watch = Parameter(call.Target(), "watch");
    std::string items;
    if (watch.empty()) {
      constexpr int kPageItems = 500;
      const std::string after = Parameter(call.Target(), "after");
      int count = 0;
      bool more = false;
      for (const auto& [name, object] : kinds_[kind]) {
        if (name <= after) {
          continue;
        }
        if (count++ >= kPageItems) {
          more = true;
          break;
        }
        items += (items.empty() ? "" : ",") + Format(name, object);
      }
      const std::string body = "{\"items\":[" + items + "],\"has-more\":" + (more ? "true" : "false") +
                               ",\"store-revision\":" + std::to_string(revision_) + "}";
      lock.unlock();
      return Answer(fd, 200, body);
    }
    const auto from = static_cast<std::uint64_t>(std::atoll(watch.c_str()));
    const double end = NowMs() + std::atof(Parameter(call.Target(), "wait-ms").c_str());
    while (true) {
      for (const auto& change : events_) {
        if (change.kind == kind && change.revision > from) {
          items += (items.empty() ? "" : ",") + change.text;
        }
      }
      const double left = end - NowMs();
      if (!items.empty() || left <= 0 || ended_ || down_) {
        break;
      }
      changed_.wait_for(lock, std::chrono::duration<double, std::milli>(left));
    }
    if (ended_ || down_) {
      return false;  // the watch is cut off
    }
    const std::string body = "{\"events\":[" + items + "],\"store-revision\":" + std::to_string(revision_) + "}";
    lock.unlock();
    return Answer(fd, 200, body);
  }

  Address address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Change> events_;
  bool down_ = false;
  bool ended_ = false;
  Server server_;  // last, so that its threads end first
};

/// What a searcher does with one request.
struct Arrival {
  Message request;
  double at_ms = 0;
  int fd = -1;
  bool answers = true;      // false: the handler has written to the connection itself
  bool close = false;       // the connection is closed afterwards
  int status = 200;         // of the answer
  std::string fields = "";  // further header fields, each with its line end
  std::string body = "whole answer";
};

/// One searcher: its entry in the store, its connections, and its lifetimes.
class Searcher {
 public:
  /// Called for each request that names this searcher's id, in the thread of its connection.
  using Work = std::function<void(Searcher&, Arrival&)>;
  struct Options {
    std::string service;
    Address address;
    std::string zone;
    int slots = 6;
    double heartbeat_ms = 1'200;
    double cold_ms = 0;  // cold time after a start
  };

  Searcher(Store& store, Options options, Work work)
      : store_(store), options_(std::move(options)), work_(std::move(work)) {}
  ~Searcher() { Stop(); }

  /// Starts a lifetime. A searcher writes its entry as soon as it listens.
  bool Start(const std::string& id, bool cold) {
    id_ = id;
    sequence_ = 0;
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count();
    started_at_ = NowMs();
    cold_until_ = cold ? started_at_ + options_.cold_ms : 0;
    crashing_ = false;
    if (!server_.Start(options_.address, [this](int fd) { Serve(fd); })) {
      return false;
    }
    running_ = true;
    heartbeat_ = std::thread([this] {
      double next = NowMs();
      while (running_) {
        if (NowMs() >= next) {
          WriteEntry();
          next += options_.heartbeat_ms;
        }
        SleepMs(5);
      }
    });
    return true;
  }
  /// Ends the process of the searcher: its listener and connections close, and its entry stays until it expires.
  void Stop() {
    if (!running_.exchange(false)) {
      return;
    }
    crashing_ = true;
    server_.Stop();
    heartbeat_.join();
  }
  /// Ends the listener and all connections at once, from one of the searcher's own threads; Stop() must follow.
  void Crash() {
    crashing_ = true;
    server_.Crash();
  }
  [[nodiscard]] bool crashing() const { return crashing_; }
  [[nodiscard]] bool running() const { return running_; }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const Options& options() const { return options_; }
  [[nodiscard]] double started_at() const { return started_at_; }
  [[nodiscard]] double ColdLeftMs() const { return std::max(0.0, cold_until_ - NowMs()); }
  [[nodiscard]] bool cold() const { return ColdLeftMs() > 0; }
  void RemoveEntry() { store_.Delete("servers", id_); }

 private:
  void WriteEntry() {
    if (store_.down()) {
      return;  // the store takes no write; the next one comes with the next heartbeat
    }
    store_.Put("servers", id_,
               "{\"backend\":\"" + options_.service + "\",\"address\":\"" + options_.address.Text() +
                   "\",\"zone\":\"" + options_.zone +
                   "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) +
                   ",\"state\":\"ready\",\"cold-left-ms\":" + std::to_string(static_cast<int>(ColdLeftMs())) +
                   ",\"seq\":" + std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_) + "}");
  }
  void Serve(int fd) {
    Reader reader(fd);
    Arrival arrival;
    while (!crashing_ && reader.Read(arrival.request, 30'000)) {
      if (crashing_) {
        return;
      }
      const Message& request = arrival.request;
      std::string common = "X-Request-Id: " + request.Field("x-request-id") + "\r\nX-Instance: " + id_ + "\r\n";
      if (request.Path() == "/health") {
        common += "X-Cold-Ms: " + std::to_string(static_cast<int>(ColdLeftMs())) + "\r\n";
        SendAll(fd, "HTTP/1.1 200 OK\r\n" + common + "Content-Length: 0\r\n\r\n");
        continue;
      }
      if (const std::string expected = request.Field("x-expect-instance"); !expected.empty() && expected != id_) {
        SendAll(fd, "HTTP/1.1 421 Misdirected Request\r\n" + common + "Content-Length: 0\r\n\r\n");
        continue;
      }
      arrival = Arrival{.request = arrival.request, .at_ms = NowMs(), .fd = fd};
      work_(*this, arrival);
      if (crashing_) {
        return;
      }
      if (arrival.answers) {
        const std::string stamp = arrival.status == 200 ? "X-Stamp: " + Stamp(request) + "\r\n" : "";
        SendAll(fd, "HTTP/1.1 " + std::to_string(arrival.status) + " X\r\n" + common + stamp + arrival.fields +
                        "Content-Length: " + std::to_string(arrival.body.size()) + "\r\n\r\n" + arrival.body);
      }
      if (arrival.close) {
        return;
      }
    }
  }

 public:
  [[nodiscard]] std::string Stamp(const Message& request) const { return id_ + "." + request.Field("x-request-id"); }

 private:
  Store& store_;
  const Options options_;
  const Work work_;
  std::string id_;
  long long born_ = 0;
  std::atomic<int> sequence_{0};
  double started_at_ = 0;
  std::atomic<double> cold_until_{0};
  std::atomic<bool> crashing_{false};
  std::atomic<bool> running_{false};
  std::thread heartbeat_;
  Server server_;
};

/// One gateway daemon: the program of the deploy file, with settings as its template gives them.
class Gateway {
 public:
  struct Options {
    int number = 1;  // the daemon's address is 127.0.0.N
    std::string zone;
    int base_port = 0;
    Address store;
    std::vector<std::string> seeds;
    std::string folder;
    bool usage_caps = false;  // the deployment has caps of tenants
  };

  explicit Gateway(Options options) : options_(std::move(options)) {}
  ~Gateway() { Kill(); }

  void Start() {
    const std::string path = options_.folder + "/gateway" + std::to_string(options_.number) + ".yaml";
    std::ofstream out(path);
    out << "host: \"gateway-" << options_.number << "\"\nfailure_domain: \"" << options_.zone
        << "\"\ncaller_address: \"" << callers().Text() << "\"\nready_address: \"" << ready().Text()
        << "\"\ndirectory_address: \"" << directory().Text() << "\"\npeer_address: \""
        << Address{ip(), options_.base_port + 3}.Text() << "\"\nseed_peers: [";
    for (std::size_t i = 0; i < options_.seeds.size(); ++i) {
      out << (i == 0 ? "" : ",") << "\"" << options_.seeds[i] << "\"";
    }
    out << "]\nstore_address: \"" << options_.store.Text()
        << "\"\ndrain_timeout_s: 6\ndrain_ms: 3000\nentry_ttl_s: 2\ncpu_share: 0.25\ncores: 1\nmachine:\n"
           "  memory_mb: 260\n  max_fds: 4100\nretry:\n  ratio: 0.2\n  allowance: 52\n  window_s: 10\ncold:\n"
           "  rate_factor: 1.5\n  slack: 5\npace:\n  enabled: false\n";
    if (options_.usage_caps) {
      out << "usage_caps:\n  window_s: 5\n  excess: 0.1\n  slack: 20\n";
    }
    out.close();
    const std::string log = options_.folder + "/gateway" + std::to_string(options_.number) + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // no daemon is left behind when the case itself is ended
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      setenv("PIMENTOMOOR_SETTINGS", path.c_str(), 1);
      execl("target/pimentomoor", "target/pimentomoor", "gateway", static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  /// Ends the process with SIGKILL and waits for its end.
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  /// Whether the process has ended by itself.
  bool Ended(int& status) {
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    return false;
  }
  [[nodiscard]] bool WaitUntilReady(double timeout_ms) const;
  [[nodiscard]] std::string ip() const { return "127.0.0." + std::to_string(options_.number); }
  [[nodiscard]] Address callers() const { return {ip(), options_.base_port}; }
  [[nodiscard]] Address ready() const { return {ip(), options_.base_port + 1}; }
  [[nodiscard]] Address directory() const { return {ip(), options_.base_port + 2}; }

 private:
  const Options options_;
  pid_t pid_ = -1;
};

/// What a client saw of one attempt.
struct Answer {
  int status = 0;  // 0: the connection ended or the time was up without an answer
  bool closed = false;
  Message message;
  double ms = 0;
};

/// A client with one kept connection at a time.
class Client {
 public:
  explicit Client(Address address) : address_(std::move(address)) {}
  ~Client() { Close(); }

  /// Sends one attempt and waits for its answer until the client's time limit.
  Answer Call(const std::string& method, const std::string& path, const std::string& host, const std::string& id,
              int limit_ms, const std::string& fields = "", const std::string& body = "") {
    Answer answer;
    const double begin = NowMs();
    if (fd_ < 0) {
      fd_ = Connect(address_, 1'000);
      if (fd_ < 0) {
        answer.closed = true;
        answer.ms = NowMs() - begin;
        return answer;
      }
      reader_ = std::make_unique<Reader>(fd_);
    }
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id +
                       "\r\nX-Deadline-Ms: " + std::to_string(limit_ms) + "\r\n" + fields;
    if (method == "POST" || !body.empty()) {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    SendAll(fd_, text + "\r\n" + body);
    if (reader_->Read(answer.message, limit_ms)) {
      answer.status = answer.message.Status();
      if (answer.message.Field("connection") == "close") {
        Close();
      }
    } else {
      answer.closed = reader_->closed();
      Close();
    }
    answer.ms = NowMs() - begin;
    return answer;
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

 private:
  const Address address_;
  int fd_ = -1;
  std::unique_ptr<Reader> reader_;
};

inline bool Gateway::WaitUntilReady(double timeout_ms) const {
  const double end = NowMs() + timeout_ms;
  while (NowMs() < end) {
    Client client(ready());
    if (client.Call("GET", "/api/ready", "ready", "ready", 500).status == 200) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

/// Finds a range of ports that are free on the addresses 127.0.0.1 to 127.0.0.`addresses`.
inline int FindFreePorts(int count, int addresses) {
  // Programs that start together have pids that differ, and so begin at different ranges.
  constexpr int kRanges = 120;
  constexpr int kRangePorts = 100;
  for (int attempt = 0; attempt < kRanges && count <= kRangePorts; ++attempt) {
    const int base = 20'000 + (static_cast<int>(getpid()) + attempt * 7) % kRanges * kRangePorts;
    bool free = true;
    for (int i = 1; i <= addresses && free; ++i) {
      for (int port = base; port < base + count && free; ++port) {
        const int fd = Listen({"127.0.0." + std::to_string(i), port});
        free = fd >= 0;
        if (fd >= 0) {
          close(fd);
        }
      }
    }
    if (free) {
      return base;
    }
  }
  return -1;
}

}  // namespace review
