// A searcher that sends the same answer to each request, for measurements and tests of the request path. Each request
// must arrive in one piece.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "names.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/tcp_stream.h"

namespace pimentomoor {

constexpr std::size_t kFixedRecordCount = 12;  // records in each response

class FixedResponseSearcher {
 public:
  explicit FixedResponseSearcher(EventLoop& loop)
      : loop_(loop), listener_(loop, "127.0.0.1:0", [this](int fd) { connections_.emplace_back(loop_, fd); }) {}

  [[nodiscard]] std::string address() const { return listener_.address(); }

 private:
  struct Connection final : TcpStreamHandler {
    Connection(EventLoop& loop, int fd) : stream(std::make_unique<TcpStream>(loop, fd, *this)) {}
    void OnData(std::string_view bytes) override {
      static const std::string id_field = std::string(platform_names::kRequestIdField) + ": ";
      static const std::string before_id = std::string("HTTP/1.1 200 OK\r\n") + platform_names::kStampField +
                                           ": 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + id_field;
      static const std::string after_id = "\r\nContent-Length: " + std::to_string(kFixedRecordCount * kRecordBytes) +
                                          "\r\n\r\n" + std::string(kFixedRecordCount * kRecordBytes, 'r');
      const std::size_t id = bytes.find(id_field) + id_field.size();
      stream->Write(before_id + std::string(bytes.substr(id, bytes.find('\r', id) - id)) + after_id);
    }
    void OnEnd(StreamEnd /*end*/) override { stream.reset(); }
    static constexpr std::size_t kRecordBytes = 16;
    std::unique_ptr<TcpStream> stream;
  };

  EventLoop& loop_;
  std::deque<Connection> connections_;
  TcpListener listener_;
};

}  // namespace pimentomoor
