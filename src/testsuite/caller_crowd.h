// A crowd of callers that keep to no rule, for tests of what callers together can make a daemon hold: each connection
// sends one kind of traffic for as long as it is open, and one that the daemon closes is opened again. The crowd runs
// on plain sockets, because a TcpStream always reads what its peer sends.
#pragma once

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "gateway_searchers.h"
#include "pimentomoor/clock.h"

namespace pimentomoor {

struct CallerCrowdOptions {
  std::string target;  // "IP:port" of a listener of a daemon
  // connect: sends nothing. heads: a head that never ends, byte by byte. bodies: whole requests with a body.
  // stopped-bodies: the body stops one byte before its end. ahead: many requests at once. keys: requests with keys
  // that nobody has, each as soon as the one before is answered. Answers are read by `keys` only.
  std::string kind;
  std::string path = "/fetch";
  unsigned connections = 0;
  unsigned addresses = 1;  // addresses that the connections come from, in turn
  std::size_t bytes = 0;   // of the body, or of the requests that are sent ahead
  Duration close_after{};  // connections are closed at a random time up to this one; 0 leaves them open
  Duration duration{};
};

class CallerCrowd {
 public:
  explicit CallerCrowd(CallerCrowdOptions options) : options_(std::move(options)), members_(options_.connections) {
    const std::size_t colon = options_.target.rfind(':');
    if (colon == std::string::npos ||
        inet_pton(AF_INET, options_.target.substr(0, colon).c_str(), &target_.sin_addr) != 1) {
      throw std::invalid_argument("run crowd: '" + options_.target + "' is not IP:port");
    }
    target_.sin_family = AF_INET;
    target_.sin_port = htons(static_cast<std::uint16_t>(std::stoi(options_.target.substr(colon + 1))));
    for (const char* kind : {"connect", "heads", "bodies", "stopped-bodies", "ahead", "keys"}) {
      known_kind_ = known_kind_ || options_.kind == kind;
    }
    if (!known_kind_) {
      throw std::invalid_argument("run crowd: unknown kind '" + options_.kind + "'");
    }
  }
  ~CallerCrowd() {
    for (auto& member : members_) {
      Close(member);
    }
  }
  CallerCrowd(const CallerCrowd&) = delete;
  CallerCrowd& operator=(const CallerCrowd&) = delete;

  void Run() {
    const TimePoint end = clock_.Now() + options_.duration;
    while (clock_.Now() < end) {
      const TimePoint now = clock_.Now();
      for (std::size_t i = 0; i < members_.size(); ++i) {
        if (members_[i].fd < 0 && now >= members_[i].open_at) {
          Open(members_[i], i, now);
        } else if (members_[i].fd >= 0 && now >= members_[i].close_at) {
          Close(members_[i]);
        }
      }
      PollOnce(now);
    }
  }
  [[nodiscard]] std::string ReportFields() const {
    return "\"opened\":" + std::to_string(opened_) + ",\"closed_by_daemon\":" + std::to_string(closed_by_daemon_) +
           ",\"failed_to_open\":" + std::to_string(failed_to_open_) +
           ",\"sent_kb\":" + std::to_string(sent_bytes_ / 1024);
  }

 private:
  static constexpr Duration kPollInterval = std::chrono::milliseconds(10);
  static constexpr Duration kReopenPause = std::chrono::milliseconds(50);
  static constexpr Duration kByteInterval = std::chrono::milliseconds(100);  // between two bytes of a head

  struct Member {
    int fd = -1;
    std::string unsent;
    std::size_t sent = 0;  // bytes of `unsent` that the kernel has taken
    TimePoint next_byte_at{};
    TimePoint open_at{};
    TimePoint close_at = TimePoint::max();
  };

  std::string Head(const std::string& method, const std::string& fields) {
    return method + " " + options_.path + " HTTP/1.1\r\nHost: " + kGatewayHost + "\r\n" +
           platform_names::kRequestIdField + ": crowd-" + std::to_string(next_id_++) + "\r\n" + fields;
  }
  std::string KeyRequest() {
    return Head("GET", std::string(platform_names::kApiKeyField) + ": k-" + std::to_string(random_()) + "\r\n\r\n");
  }
  std::string FirstBytes() {
    if (options_.kind == "connect") {
      return "";
    }
    if (options_.kind == "heads") {
      return Head("GET", "A: ");
    }
    if (options_.kind == "keys") {
      return KeyRequest();
    }
    if (options_.kind == "ahead") {
      std::string requests;
      while (requests.size() < options_.bytes) {
        requests += Head("GET", "\r\n");
      }
      return requests;
    }
    const std::size_t announced = options_.bytes + (options_.kind == "stopped-bodies" ? 1 : 0);
    return Head("POST", "Content-Length: " + std::to_string(announced) + "\r\n\r\n") +
           std::string(options_.bytes, 'b');
  }

  void Open(Member& member, std::size_t index, TimePoint now) {
    member = {.open_at = now + kReopenPause};
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
      throw std::runtime_error("run crowd: no descriptor left in the crowd itself");
    }
    const int receive_bytes = 4'096;  // little of an unread answer fits into the caller's own buffer
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
    // 127.1.0.x: apart from the addresses of daemons, of ordinary callers and of the load.
    sockaddr_in source{};
    source.sin_family = AF_INET;
    source.sin_addr.s_addr = htonl((127U << 24U) + (1U << 16U) + 1U +
                                   static_cast<std::uint32_t>(index) % std::max(1U, options_.addresses));
    const int result = bind(fd, reinterpret_cast<const sockaddr*>(&source), sizeof(source)) != 0
                           ? -1
                           : connect(fd, reinterpret_cast<const sockaddr*>(&target_), sizeof(target_));
    if (result != 0 && errno != EINPROGRESS) {
      ++failed_to_open_;
      close(fd);
      return;
    }
    ++opened_;
    member.fd = fd;
    member.unsent = FirstBytes();
    member.next_byte_at = now + kByteInterval;
    if (options_.close_after > Duration::zero()) {
      const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(options_.close_after).count();
      member.close_at = now + std::chrono::milliseconds(random_() % static_cast<std::uint64_t>(longest) + 1);
    }
  }

  static void Close(Member& member) {
    if (member.fd >= 0) {
      close(member.fd);
      member.fd = -1;
    }
  }

  void PollOnce(TimePoint now) {
    std::vector<pollfd> polled;
    std::vector<Member*> open;
    for (auto& member : members_) {
      if (member.fd < 0) {
        continue;
      }
      if (options_.kind == "heads" && member.sent == member.unsent.size() && now >= member.next_byte_at) {
        member.unsent += 'a';
        member.next_byte_at = now + kByteInterval;
      }
      const bool has_unsent = member.sent < member.unsent.size();
      polled.push_back({.fd = member.fd,
                        .events = static_cast<decltype(pollfd::events)>(POLLRDHUP | (has_unsent ? POLLOUT : 0) |
                                                                        (options_.kind == "keys" ? POLLIN : 0)),
                        .revents = 0});
      open.push_back(&member);
    }
    poll(polled.data(), polled.size(), static_cast<int>(kPollInterval / std::chrono::milliseconds(1)));
    for (std::size_t i = 0; i < polled.size(); ++i) {
      const auto events = polled[i].revents;
      if ((events & (POLLERR | POLLHUP | POLLRDHUP)) != 0) {
        ++closed_by_daemon_;
        Close(*open[i]);
        continue;
      }
      if ((events & POLLIN) != 0) {
        ReadAnswer(*open[i]);
      }
      if ((events & POLLOUT) != 0) {
        SendMore(*open[i]);
      }
    }
  }

  void SendMore(Member& member) {
    const ssize_t sent =
        send(member.fd, member.unsent.data() + member.sent, member.unsent.size() - member.sent, MSG_NOSIGNAL);
    if (sent > 0) {
      member.sent += static_cast<std::size_t>(sent);
      sent_bytes_ += static_cast<std::size_t>(sent);
    }
  }

  // Sends the next key as soon as anything of an answer has come.
  void ReadAnswer(Member& member) {
    char bytes[4'096];
    if (recv(member.fd, bytes, sizeof(bytes), 0) > 0 && member.sent == member.unsent.size()) {
      member.unsent = KeyRequest();
      member.sent = 0;
    }
  }

  CallerCrowdOptions options_;
  SystemClock clock_;
  sockaddr_in target_{};
  bool known_kind_ = false;
  std::vector<Member> members_;
  std::mt19937_64 random_{std::random_device()()};
  std::uint64_t next_id_ = 0, opened_ = 0, closed_by_daemon_ = 0, failed_to_open_ = 0, sent_bytes_ = 0;
};

}  // namespace pimentomoor
