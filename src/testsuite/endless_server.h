// A server whose answers never end: it sends bytes of one part of a response until the client closes the connection.
#pragma once

#include <array>
#include <list>
#include <memory>
#include <string>

#include "names.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/tcp_stream.h"

namespace pimentomoor {

class EndlessServer {
 public:
  /// The part of the response that doesn't end. Connections take the kinds in turn.
  enum class Kind { kHead, kField, kBody, kChunkedBody, kChunkExtension, kTrailer };
  static constexpr std::size_t kKindCount = 6;

  EndlessServer(EventLoop& loop, const std::string& address)
      : loop_(loop), listener_(loop, address, [this](int fd) {
          connections_.emplace_back(*this, fd, static_cast<Kind>(connections_.size() % kKindCount));
        }) {}

  ~EndlessServer() { *alive_ = false; }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  [[nodiscard]] std::string address() const { return listener_.address(); }
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection final : TcpStreamHandler {
    Connection(EndlessServer& owner, int fd, Kind which)
        : server(owner), kind(which), stream(std::make_unique<TcpStream>(owner.loop_, fd, *this)) {}

    void OnData(std::string_view /*bytes*/) override {
      if (!started) {
        started = true;
        stream->Write(Start(kind));
        SendMore();
      }
    }
    void OnDrained() override { SendMore(); }
    void OnEnd(StreamEnd /*end*/) override { stream.reset(); }

    // Sends until the kernel's buffer is full. The next turn of the loop, or OnDrained(), goes on.
    void SendMore() {
      if (stream == nullptr) {
        return;
      }
      stream->Write(Repeated(kind));
      if (stream->unsent_bytes() == 0) {
        server.loop_.Post([this, alive = server.alive_] {
          if (*alive) {
            SendMore();
          }
        });
      }
    }

    EndlessServer& server;
    const Kind kind;
    std::unique_ptr<TcpStream> stream;
    bool started = false;
  };

  static std::string Start(Kind kind) {
    const std::string head = std::string("HTTP/1.1 200 OK\r\n") + platform_names::kStampField + ": s\r\n";
    std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    switch (kind) {
      case Kind::kHead:
        return "HTTP/1.1 200 ";
      case Kind::kField:
        return head + "A: ";
      case Kind::kBody:
        return head + "\r\n";
      case Kind::kChunkedBody:
        return chunked;
      case Kind::kChunkExtension:
        return chunked + "1;";
      case Kind::kTrailer:
        return chunked + "0\r\nA: ";
    }
    return "";
  }

  static const std::string& Repeated(Kind kind) {
    constexpr std::size_t kBytes = std::size_t{64} * 1024;
    static const std::string text(kBytes, 'a');
    static const std::string chunk = "10000\r\n" + text + "\r\n";
    return kind == Kind::kChunkedBody ? chunk : text;
  }

  EventLoop& loop_;
  std::list<Connection> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false after the destructor, for posted callbacks
  TcpListener listener_;
};

}  // namespace pimentomoor
