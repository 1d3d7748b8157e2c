// Stand-ins and judges of the scripted cases of the third review: the platform's store, searchers and clients in one
// process on loopback, which starts the daemons with the command of the deploy file.
//
//   cases-3 drain|failback|quota FOLDER      run in the repository's root; writes FOLDER/record.txt
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point kStart = Clock::now();
double Now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
long long UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

FILE* record = nullptr;
void Record(const char* format, ...) {
  std::fprintf(record, "%8.3f s  ", Now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record, format, arguments);
  va_end(arguments);
  std::fputc('\n', record);
}

// ---- event loop ----

std::map<int, std::function<void(short)>> handlers;  // by descriptor
std::map<int, short> interests;
std::multimap<double, std::function<void()>> timers;

void After(double seconds, std::function<void()> callback) { timers.emplace(Now() + seconds, std::move(callback)); }

void RunUntil(double end) {
  while (Now() < end) {
    while (!timers.empty() && timers.begin()->first <= Now()) {
      const auto callback = std::move(timers.begin()->second);
      timers.erase(timers.begin());
      callback();
    }
    std::vector<pollfd> polled;
    for (const auto& [fd, events] : interests) {
      polled.push_back({.fd = fd, .events = events, .revents = 0});
    }
    const double next = timers.empty() ? end : std::min(end, timers.begin()->first);
    poll(polled.data(), polled.size(), std::clamp(static_cast<int>((next - Now()) * 1000) + 1, 0, 100));
    for (const auto& item : polled) {
      if (const auto found = handlers.find(item.fd); item.revents != 0 && found != handlers.end()) {
        const auto handler = found->second;
        handler(item.revents);
      }
    }
  }
}
void RunFor(double seconds) { RunUntil(Now() + seconds); }

// ---- connections and messages ----

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

struct Message {
  std::string start;  // first line
  std::map<std::string, std::string> fields;
  std::string body;
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Connection() { Close(); }
  void Begin() {
    handlers[fd_] = [self = shared_from_this()](short events) { self->OnEvent(events); };
    interests[fd_] = static_cast<short>(out_.empty() ? POLLIN : POLLIN | POLLOUT);
  }
  void Send(const std::string& bytes) {
    if (fd_ >= 0) {
      out_ += bytes;
      interests[fd_] = POLLIN | POLLOUT;
    }
  }
  // With `reset`, the other end gets a reset instead of an orderly end.
  void Close(bool reset = false) {
    if (fd_ < 0) {
      return;
    }
    if (reset) {
      const linger now{.l_onoff = 1, .l_linger = 0};
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    const auto keep_alive = weak_from_this().lock();
    close(fd_);
    interests.erase(fd_);
    handlers.erase(std::exchange(fd_, -1));
    if (on_end) {
      std::exchange(on_end, nullptr)();
    }
  }
  [[nodiscard]] bool open() const { return fd_ >= 0; }

  std::function<void(Message&)> on_message;
  std::function<void()> on_end;

 private:
  void OnEvent(short events) {
    if ((events & POLLOUT) != 0 && !out_.empty()) {
      const ssize_t sent = send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno != EAGAIN) {
        Close();
        return;
      }
      out_.erase(0, static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
      interests[fd_] = static_cast<short>(out_.empty() ? POLLIN : POLLIN | POLLOUT);
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) {
      return;
    }
    std::array<char, 65536> buffer;
    const ssize_t received = recv(fd_, buffer.data(), buffer.size(), 0);
    if (received <= 0) {
      if (received == 0 || errno != EAGAIN) {
        Close();
      }
      return;
    }
    in_.append(buffer.data(), static_cast<std::size_t>(received));
    Message message;
    while (fd_ >= 0 && Take(message)) {
      on_message(message);
    }
  }
  // Takes a whole message with a length off the received bytes.
  bool Take(Message& message) {
    const std::size_t head_end = in_.find("\r\n\r\n");
    if (head_end == std::string::npos) {
      return false;
    }
    message = {};
    std::size_t at = in_.find("\r\n");
    message.start = in_.substr(0, at);
    while (at < head_end) {
      const std::size_t begin = at + 2;
      at = in_.find("\r\n", begin);
      const std::string line = in_.substr(begin, at - begin);
      const std::size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      message.fields[name] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
    }
    const auto length = message.fields.find("content-length");
    const std::size_t size = length == message.fields.end() ? 0 : std::stoul(length->second);
    if (in_.size() < head_end + 4 + size) {
      return false;
    }
    message.body = in_.substr(head_end + 4, size);
    in_.erase(0, head_end + 4 + size);
    return true;
  }

  int fd_;
  std::string in_;
  std::string out_;
};
using ConnectionPtr = std::shared_ptr<Connection>;

std::string Answer(int status, const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Type: application/json\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class Listener {
 public:
  // Returns whether the port is free and the listener runs.
  bool Open(int port, std::function<void(const ConnectionPtr&)> on_accept) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = AddressOf("127.0.0.1", port);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || listen(fd_, 512) != 0) {
      return false;
    }
    interests[fd_] = POLLIN;
    handlers[fd_] = [this, on_accept = std::move(on_accept)](short) {
      for (int fd = 0; (fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
        const auto connection = std::make_shared<Connection>(fd);
        on_accept(connection);
        connection->Begin();
      }
    };
    return true;
  }
  void Close() {
    close(fd_);
    interests.erase(fd_);
    handlers.erase(fd_);
  }

 private:
  int fd_ = -1;
};

// ---- the platform's store ----

class Store {
 public:
  bool silent = false;                          // down: calls get no answer
  std::function<void(double)> on_watch_answer;  // called when a watch of searchers is answered, with its wait

  bool Open(int port) {
    return listener_.Open(port, [this](const ConnectionPtr& connection) {
      connection->on_message = [this, connection = connection.get()](Message& call) {
        Handle(connection->shared_from_this(), call);
      };
    });
  }
  void Put(const std::string& kind, const std::string& name, const std::string& spec) {
    Object& object = objects_[kind][name];
    object.revision = ++revision_;
    object.created = object.created == 0 ? revision_ : object.created;
    object.spec = spec;
    Publish(kind, Text(name, object), false);
  }
  void Delete(const std::string& kind, const std::string& name) {
    Object object = objects_[kind][name];
    objects_[kind].erase(name);
    object.revision = ++revision_;
    Publish(kind, Text(name, object), true);
  }

 private:
  struct Object {
    std::string spec;
    long revision = 0;
    long created = 0;
  };
  struct Watch {
    ConnectionPtr connection;
    std::string kind;
    long after = 0;
    double end = 0;
    double wait = 0;
  };

  static std::string Text(const std::string& name, const Object& object) {
    return "{\"meta\":{\"name\":\"" + name + "\",\"rev\":" + std::to_string(object.revision) +
           ",\"created-rev\":" + std::to_string(object.created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":null}";
  }
  void Publish(const std::string& kind, const std::string& object, bool deleted) {
    history_.push_back({revision_, kind,
                        std::string("{\"deleted\":") + (deleted ? "true" : "false") + ",\"object\":" + object + "}"});
    AnswerWatches();
  }
  void AnswerWatches() {
    std::erase_if(watches_, [this](const Watch& watch) {
      std::string events;
      for (const auto& [revision, kind, text] : history_) {
        if (revision > watch.after && kind == watch.kind) {
          events += (events.empty() ? "" : ",") + text;
        }
      }
      if (silent || (events.empty() && Now() < watch.end)) {
        return !watch.connection->open();
      }
      watch.connection->Send(
          Answer(200, "{\"events\":[" + events + "],\"store-revision\":" + std::to_string(revision_) + "}"));
      if (on_watch_answer && watch.kind == "servers") {
        on_watch_answer(watch.wait);
      }
      return true;
    });
  }
  static std::string Query(const std::string& query, const std::string& key) {
    const std::size_t at = ("&" + query).find("&" + key + "=");
    return at == std::string::npos ? ""
                                   : query.substr(at + key.size() + 1, query.find('&', at) - at - key.size() - 1);
  }
  void Handle(const ConnectionPtr& connection, const Message& call) {
    if (silent) {
      return;
    }
    const std::string method = call.start.substr(0, call.start.find(' '));
    const std::string target = call.start.substr(method.size() + 1, call.start.rfind(' ') - method.size() - 1);
    const std::size_t mark = std::min(target.find('?'), target.size());
    const std::string query = target.substr(std::min(mark + 1, target.size()));
    const std::string path = target.substr(std::strlen("/api/objects/"), mark - std::strlen("/api/objects/"));
    const std::string kind = path.substr(0, path.find('/'));
    const std::string name = path.substr(std::min(kind.size() + 1, path.size()));
    if (method == "GET" && !Query(query, "watch").empty()) {
      const double wait = std::atof(Query(query, "wait-ms").c_str()) / 1000;
      watches_.push_back({.connection = connection,
                          .kind = kind,
                          .after = std::stol(Query(query, "watch")),
                          .end = Now() + wait,
                          .wait = wait});
      After(wait, [this] { AnswerWatches(); });
      AnswerWatches();
    } else if (method == "GET") {
      std::string items;
      for (const auto& [item, object] : objects_[kind]) {
        items += (items.empty() ? "" : ",") + Text(item, object);
      }
      connection->Send(Answer(200, "{\"items\":[" + items +
                                       "],\"has-more\":false,\"store-revision\":" + std::to_string(revision_) + "}"));
    } else if (method == "POST") {
      const std::size_t begin = call.body.find("\"name\":\"") + std::strlen("\"name\":\"");
      const std::string created = call.body.substr(begin, call.body.find('"', begin) - begin);
      const bool exists = objects_[kind].contains(created);
      if (!exists) {
        const std::size_t spec = call.body.find("\"spec\":") + std::strlen("\"spec\":");
        Put(kind, created, call.body.substr(spec, call.body.rfind('}') - spec));
      }
      connection->Send(Answer(exists ? 409 : 200, Text(created, objects_[kind][created])));
    } else if (method == "DELETE" && objects_[kind].contains(name)) {
      Delete(kind, name);
      connection->Send(Answer(200, "{}"));
    } else {
      connection->Send(Answer(404, "{}"));
    }
  }

  Listener listener_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<std::tuple<long, std::string, std::string>> history_;
  std::vector<Watch> watches_;
  long revision_ = 10;
};

// ---- searchers ----

struct Run {
  double at = 0;
  std::string request_id;
  std::string tenant;
};

class Searcher {
 public:
  Searcher(Store& store, std::string id, int port, double warmup_s, double crash_above)
      : store_(store), id_(std::move(id)), port_(port), warmup_s_(warmup_s), crash_above_(crash_above) {}

  std::vector<Run> runs;       // requests that it began to run
  std::vector<Run> cold_runs;  // those of them while it was cold
  bool crashed_by_load = false;
  double removed_at = 0;  // when its entry was removed; 0: not removed

  // Starts a new process under the same id. It is cold if it starts during traffic.
  bool Start(bool during_traffic) {
    born_ms_ = UnixMs();
    sequence_ = 0;
    cold_until_ = during_traffic ? Now() + warmup_s_ : 0;
    Record("searcher %s starts%s", id_.c_str(), during_traffic ? ", cold" : "");
    up_ = listener_.Open(port_, [this](const ConnectionPtr& connection) {
      connections_.insert(connection);
      connection->on_end = [this, raw = connection.get()] {
        std::erase_if(connections_, [raw](const auto& held) { return held.get() == raw; });
      };
      connection->on_message = [this, raw = connection.get()](Message& request) {
        Receive(raw->shared_from_this(), request);
      };
    });
    WriteEntry();
    return up_;
  }
  // Ends the process: the kernel closes its connections, and its port refuses new ones.
  void End(const char* how) {
    Record("searcher %s %s with %d requests under way", id_.c_str(), how, running_);
    up_ = false;
    ++lifetime_;
    running_ = 0;
    listener_.Close();
    for (const auto& connection : std::set<ConnectionPtr>(connections_)) {
      connection->Close(true);
    }
  }
  // Leaves without a report: its entry is removed, and it serves on until End().
  void RemoveEntry() {
    entry_removed_ = true;
    removed_at = Now();
    Record("the entry of searcher %s is removed", id_.c_str());
    store_.Delete("servers", id_);
  }
  void BeatForever() {
    After(1.2, [this] {
      WriteEntry();
      BeatForever();
    });
  }
  [[nodiscard]] double cold_left() const { return std::max(0.0, cold_until_ - Now()); }

 private:
  void WriteEntry() {
    if (!up_ || entry_removed_ || store_.silent) {
      return;  // or the store is down: the call gets no answer
    }
    store_.Put("servers", id_,
               "{\"backend\":\"svc\",\"address\":\"127.0.0.1:" + std::to_string(port_) +
                   "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold-left-ms\":" +
                   std::to_string(static_cast<int>(cold_left() * 1000)) + ",\"seq\":" + std::to_string(++sequence_) +
                   ",\"born\":" + std::to_string(born_ms_) + "}");
  }
  void Receive(const ConnectionPtr& connection, Message& request) {
    const std::string id_field = "X-Request-Id: " + request.fields["x-request-id"] + "\r\n";
    if (request.start.starts_with("GET /health ")) {
      connection->Send(Answer(
          200, "",
          "X-Instance: " + id_ + "\r\nX-Cold-Ms: " + std::to_string(static_cast<int>(cold_left() * 1000)) + "\r\n"));
      return;
    }
    if (request.fields["x-expect-instance"] != id_) {
      connection->Send(Answer(421, "", id_field + "X-Not-Run: 1\r\n"));
      return;
    }
    const Run run{.at = Now(), .request_id = request.fields["x-request-id"], .tenant = request.fields["x-tenant"]};
    Record("searcher %s runs %s%s", id_.c_str(), run.request_id.c_str(), cold_left() > 0 ? " while cold" : "");
    runs.push_back(run);
    ++running_;
    if (cold_left() > 0) {
      cold_runs.push_back(run);
      const auto in_last_second =
          std::count_if(cold_runs.begin(), cold_runs.end(), [&](const Run& other) { return other.at > run.at - 1; });
      if (static_cast<double>(in_last_second) > crash_above_) {
        crashed_by_load = true;
        End("crashes");
        return;
      }
    }
    After(0.02, [this, connection, id_field, lifetime = lifetime_, stamp = id_ + "." + run.request_id] {
      if (lifetime == lifetime_) {
        --running_;
        connection->Send(Answer(200, "the answer of " + stamp, id_field + "X-Stamp: " + stamp + "\r\n"));
      }
    });
  }

  Store& store_;
  const std::string id_;
  const int port_;
  const double warmup_s_;
  const double crash_above_;  // requests in a second that a cold process doesn't survive
  Listener listener_;
  std::set<ConnectionPtr> connections_;
  bool up_ = false;
  bool entry_removed_ = false;
  int lifetime_ = 0;
  int running_ = 0;
  long long born_ms_ = 0;
  long sequence_ = 0;
  double cold_until_ = 0;
};

// ---- clients ----

struct Attempt {
  double sent_at = 0;
  int status = 0;  // 0: no answer
};
std::map<std::string, Attempt> attempts;  // by request id

// Sends one request on a connection of its own.
void SendRequest(const std::string& ip, int port, const std::string& method, const std::string& id,
                 const std::string& fields) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  const auto connection = std::make_shared<Connection>(fd);
  attempts[id] = {.sent_at = Now()};
  Record("client sends %s to %s", id.c_str(), ip.c_str());
  connection->Send(method + " /q/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id +
                   "\r\nX-Deadline-Ms: 2000\r\n" + fields + "\r\n");
  connection->on_message = [id, raw = connection.get()](Message& answer) {
    attempts[id].status = std::atoi(answer.start.substr(9).c_str());
    Record("client gets %d for %s", attempts[id].status, id.c_str());
    raw->Close();
  };
  connection->Begin();
  After(3, [connection] { connection->Close(); });
}

void ReportAnswers(const std::string& prefix) {
  std::map<int, int> by_status;
  for (const auto& [id, attempt] : attempts) {
    if (id.starts_with(prefix)) {
      ++by_status[attempt.status];
    }
  }
  for (const auto& [status, count] : by_status) {
    Record("requests %s*: %d answered %d", prefix.c_str(), count, status);
  }
}

// Most of the times within any span of `window` seconds.
int MostWithin(std::vector<double> times, double window) {
  std::sort(times.begin(), times.end());
  int most = 0;
  for (std::size_t begin = 0, end = 0; begin < times.size(); ++begin) {
    while (end < times.size() && times[end] < times[begin] + window) {
      ++end;
    }
    most = std::max(most, static_cast<int>(end - begin));
  }
  return most;
}

// ---- daemons ----

constexpr int kDaemons = 3;
std::vector<pid_t> daemons;
std::string folder;  // temporary, for the settings
int base_port = 0;   // callers; then readiness, directory, peers, store, searchers

std::string DaemonIp(int number) { return "127.0.0." + std::to_string(number); }

// Finds a base port of which the ports that are needed are free on all addresses.
bool FindPorts() {
  for (base_port = 23000 + getpid() % 400 * 20; base_port < 60000; base_port += 20) {
    bool free = true;
    for (int number = 1; number <= kDaemons && free; ++number) {
      for (int port = base_port; port < base_port + 12 && free; ++port) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        const sockaddr_in address = AddressOf(DaemonIp(number), port);
        free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        close(fd);
      }
    }
    if (free) {
      return true;
    }
  }
  return false;
}

// The settings of deploy/gateway.yaml.tmpl with the bounds of the users' pages.
std::string Settings(int number) {
  const auto at = [&](int daemon, int offset) { return DaemonIp(daemon) + ":" + std::to_string(base_port + offset); };
  return "host: \"front-" + std::to_string(number) + "\"\nfailure_domain: \"" + (number == 2 ? "zb" : "za") +
         "\"\ncaller_address: \"" + at(number, 0) + "\"\nready_address: \"" + at(number, 1) +
         "\"\ndirectory_address: \"" + at(number, 2) + "\"\npeer_address: \"" + at(number, 3) +
         "\"\nseed_peers: [\"" + at(1, 3) + "\",\"" + at(2, 3) + "\",\"" + at(3, 3) + "\"]\nstore_address: \"" +
         at(1, 4) +
         "\"\ndrain_timeout_s: 6\ndrain_ms: 3000\nentry_ttl_s: 2\ncpu_share: 0.25\ncores: 1\n"
         "machine:\n  memory_mb: 260\n  max_fds: 4100\n"
         "retry:\n  ratio: 0.2\n  allowance: 52\n  window_s: 10\ncold:\n  rate_factor: 1.5\n  slack: 5\n"
         "usage_caps:\n  window_s: 5\n  excess: 0.1\n  slack: 20\npace:\n  enabled: false\n";
}

bool StartDaemon(int number) {
  const std::string path = folder + "/gateway" + std::to_string(number) + ".yaml";
  std::ofstream(path) << Settings(number);
  const pid_t pid = fork();
  if (pid == 0) {
    setenv("PIMENTOMOOR_SETTINGS", path.c_str(), 1);
    const int log = open((folder + "/log" + std::to_string(number)).c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, 1);
    dup2(log, 2);
    execl("target/pimentomoor", "target/pimentomoor", "gateway", nullptr);
    _exit(127);
  }
  daemons.push_back(pid);
  return pid > 0;
}

// Ends all processes that this one has started, and removes the temporary folder.
void StopAll() {
  for (const pid_t pid : daemons) {
    kill(pid, SIGCONT);
    kill(pid, SIGTERM);
  }
  RunFor(4);
  for (const pid_t pid : daemons) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  for (int number = 1; number <= kDaemons; ++number) {
    unlink((folder + "/gateway" + std::to_string(number) + ".yaml").c_str());
    unlink((folder + "/log" + std::to_string(number)).c_str());
  }
  rmdir(folder.c_str());
}

std::string Manifest(int version, const std::string& type, double cold_per_s, const std::string& tenants) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"prefix\":\"/q/\",\"type\":\"" + type +
         "\",\"timeout-ms\":2000,\"slo-ms\":500,\"priority\":1,\"backend\":\"svc\",\"attempts\":2}],\"services\":"
         "[{\"name\":\"svc\",\"health-path\":\"/health\",\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false,"
         "\"warmup-s\":5.0,\"cold-per-s\":" +
         std::to_string(cold_per_s) +
         "}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"
         "\"idle-timeout-ms\":15000}" +
         tenants + "}";
}

// Sends `count` requests in turn to all daemons, one each `gap` seconds.
void Volley(const std::string& prefix, int count, double gap, const std::string& method, const std::string& fields) {
  for (int i = 0; i < count; ++i) {
    After(i * gap,
          [=] { SendRequest(DaemonIp(i % kDaemons + 1), base_port, method, prefix + std::to_string(i), fields); });
  }
  RunFor(count * gap + 0.05);
}

int CountAnswered(const std::string& prefix, int status) {
  return static_cast<int>(std::count_if(attempts.begin(), attempts.end(), [&](const auto& item) {
    return item.first.starts_with(prefix) && item.second.status == status;
  }));
}

// They live until the end, because timers and connections refer to them.
std::vector<std::unique_ptr<Searcher>> searchers;

Searcher& AddSearcher(Store& store, const std::string& id, int port, double warmup_s, double crash_above) {
  searchers.push_back(std::make_unique<Searcher>(store, id, port, warmup_s, crash_above));
  return *searchers.back();
}

// FAILBACK: a searcher starts again under its id while the store is down.
int Failback(Store& store, bool trouble) {
  constexpr double kColdPerS = 4;
  constexpr double kBound = kColdPerS * 1.5 + 5;
  Searcher& first = AddSearcher(store, "i-1a", base_port + 5, 5, 2 * kBound);
  Searcher& second = AddSearcher(store, "i-2b", base_port + 6, 5, 2 * kBound);
  if (!first.Start(false) || !second.Start(false)) {
    return 2;
  }
  first.BeatForever();
  second.BeatForever();
  store.Put("config", "main", Manifest(1, "unsafe", kColdPerS, ""));
  for (int number = 1; number <= kDaemons; ++number) {
    StartDaemon(number);
  }
  RunFor(12);
  const auto volley = [](const std::string& prefix) {
    Volley(prefix, 60, 0.01, "POST", "Content-Length: 0\r\n");
    RunFor(1.5);
  };
  for (const char* prefix : {"a-", "b-", "c-"}) {
    volley(prefix);
  }
  if (CountAnswered("c-", 200) < 55) {
    Record("the daemons don't serve");
    return 2;
  }
  if (trouble) {
    Record("the store goes down");
    store.silent = true;
    RunFor(0.3);
    first.End("crashes");
    RunFor(1);
    first.Start(true);
    RunFor(0.4);
  } else {
    RunFor(1.7);
  }
  volley("d-");
  RunFor(2);
  Record("the store is back");
  store.silent = false;
  RunFor(2);
  volley("e-");
  RunFor(2);
  for (const char* prefix : {"c-", "d-", "e-"}) {
    ReportAnswers(prefix);
  }
  std::vector<double> times;
  for (const Run& run : first.cold_runs) {
    // The rule counts requests that were sent and arrived inside the second.
    if (run.at - attempts[run.request_id].sent_at < 1) {
      times.push_back(run.at);
    }
  }
  const int most = MostWithin(times, 1);
  Record("FAILBACK: at most %d requests in one second at the cold searcher; bound %.0f%s", most, kBound,
         first.crashed_by_load ? "; the searcher crashed under them" : "");
  return most > kBound ? 1 : 0;
}

// DRAIN: the searchers of a service leave without a report while one daemon is frozen.
constexpr double kDrain = 3;  // drain-ms
int Drain(Store& store, bool trouble) {
  for (int i = 0; i < 4; ++i) {
    Searcher& searcher = AddSearcher(store, "i-" + std::to_string(i) + "d", base_port + 5 + i, 0, 1e9);
    if (!searcher.Start(false)) {
      return 2;
    }
    searcher.BeatForever();
    RunFor(0.3);
  }
  store.Put("config", "main", Manifest(1, "unsafe", 0, ""));
  for (int number = 1; number <= kDaemons; ++number) {
    StartDaemon(number);
  }
  RunFor(12);
  // Traffic goes to the two daemons that aren't disturbed.
  for (int i = 0; i < 900; ++i) {
    After(i * 0.01, [i] {
      SendRequest(DaemonIp(2 + i % 2), base_port, "POST", "a-" + std::to_string(i), "Content-Length: 0\r\n");
    });
  }
  RunFor(1);
  // Daemon 1 follows the store for its failure domain, and is the one whose watches are short. It has just told its
  // peers of a change when it freezes.
  bool begun = false;
  store.on_watch_answer = [&begun, trouble](double wait) {
    if (wait < 1.5 || wait > 2 || std::exchange(begun, true)) {
      return;
    }
    After(0.008, [trouble] {
      if (trouble) {
        Record("daemon 1 freezes");
        kill(daemons[0], SIGSTOP);
        After(4, [] {
          Record("daemon 1 wakes");
          kill(daemons[0], SIGCONT);
        });
      }
    });
    After(0.015, [] {
      for (const auto& searcher : searchers) {
        searcher->RemoveEntry();
        After(kDrain + 1.5, [leaving = searcher.get()] { leaving->End("exits"); });
      }
    });
  };
  RunFor(10);
  store.on_watch_answer = nullptr;
  if (!begun || CountAnswered("a-", 200) < 100) {
    Record("the daemons don't serve");
    return 2;
  }
  ReportAnswers("a-");
  int late = 0;
  for (const auto& searcher : searchers) {
    for (const Run& run : searcher->runs) {
      if (run.at > searcher->removed_at + kDrain) {
        ++late;
        Record("request %s, sent at %.3f s, reached its searcher %.3f s after the removal of the entry",
               run.request_id.c_str(), attempts[run.request_id].sent_at, run.at - searcher->removed_at);
      }
    }
  }
  Record("DRAIN: %d requests reached searchers more than %.0f s after they had left", late, kDrain);
  return late > 0 ? 1 : 0;
}

// QUOTA: a tenant is taken out of the manifest and put back.
int Quota(Store& store, bool trouble) {
  constexpr double kRate = 10, kBurst = 100, kWindow = 5;
  constexpr double kBound = (kRate * kWindow + kBurst) * 1.1 + 20;
  for (int i = 0; i < 3; ++i) {
    Searcher& searcher = AddSearcher(store, "i-" + std::to_string(i) + "c", base_port + 5 + i, 0, 1e9);
    if (!searcher.Start(false)) {
      return 2;
    }
    searcher.BeatForever();
  }
  const std::string other = "{\"name\":\"t2\",\"api-keys\":[\"k2\"],\"rate-per-s\":10,\"burst\":100}";
  const std::string tenant = "{\"name\":\"t1\",\"api-keys\":[\"k1\"],\"rate-per-s\":10,\"burst\":100}";
  const std::string both = ",\"tenants\":[" + other + "," + tenant + "]";
  store.Put("config", "main", Manifest(1, "safe", 0, both));
  for (int number = 1; number <= kDaemons; ++number) {
    StartDaemon(number);
  }
  RunFor(20);
  Volley("a-", 160, 0.005, "GET", "Api-Key: k1\r\n");
  RunFor(0.3);
  if (CountAnswered("a-", 200) < 90) {
    Record("the daemons don't serve");
    return 2;
  }
  if (trouble) {
    Record("the operator writes version 2, without tenant t1");
    store.Put("config", "main", Manifest(2, "safe", 0, ",\"tenants\":[" + other + "]"));
  }
  RunFor(0.7);
  if (trouble) {
    Record("the operator writes version 3, with tenant t1 as in version 1");
    store.Put("config", "main", Manifest(3, "safe", 0, both));
  }
  RunFor(0.7);
  Volley("b-", 160, 0.005, "GET", "Api-Key: k1\r\n");
  RunFor(3);
  ReportAnswers("a-");
  ReportAnswers("b-");
  std::vector<double> times;
  for (const auto& searcher : searchers) {
    for (const Run& run : searcher->runs) {
      if (run.tenant == "t1") {
        times.push_back(run.at);
      }
    }
  }
  const int most = MostWithin(times, kWindow);
  Record("QUOTA: at most %d requests of tenant t1 in %.0f s; bound %.0f", most, kWindow, kBound);
  return most > kBound ? 1 : 0;
}

}  // namespace

int main(int argument_count, char** arguments) {
  if (argument_count != 3) {
    return 2;
  }
  const std::string name = arguments[1];
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  record = std::fopen((std::string(arguments[2]) + "/record.txt").c_str(), "w");
  std::array<char, 64> pattern{"/tmp/review-3-XXXXXX"};
  if (record == nullptr || mkdtemp(pattern.data()) == nullptr || access("target/pimentomoor", X_OK) != 0) {
    return 2;
  }
  folder = pattern.data();
  static Store store;
  int result = 2;
  if (FindPorts() && store.Open(base_port + 4)) {
    result = name == "drain"      ? Drain(store, trouble)
             : name == "failback" ? Failback(store, trouble)
             : name == "quota"    ? Quota(store, trouble)
                                  : 2;
  }
  StopAll();
  Record("result: %s", result == 1 ? "broken" : result == 0 ? "held" : "couldn't run");
  std::fclose(record);
  return result;
}
