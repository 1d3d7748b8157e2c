// A store on loopback that answers each call with the bytes that the test scripts.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "names.h"
#include "pimentomoor/http1_message.h"
#include "pimentomoor/tcp_stream.h"

namespace pimentomoor {

inline const std::string kEmptyBodyHead = "Content-Length: 0\r\n\r\n";

inline std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string Object(const std::string& name, int revision) {
  return R"({"meta":{"name":")" + name + R"(","rev":)" + std::to_string(revision) + R"(},"spec":{}})";
}
inline std::string Page(const std::string& items, int revision, bool more = false) {
  return Ok(R"({"items":[)" + items + R"(],"has-more":)" + (more ? "true" : "false") + R"(,"store-revision":)" +
            std::to_string(revision) + "}");
}
inline std::string Events(const std::string& events, int revision) {
  return Ok(R"({"events":[)" + events + R"(],"store-revision":)" + std::to_string(revision) + "}");
}

/// Adds the era to an answer.
inline std::string InEra(const std::string& era, std::string answer) {
  return answer.insert(answer.find("\r\n") + 2, std::string(platform_names::kStoreEraField) + ": " + era + "\r\n");
}

constexpr char kCloseMark = '\x01';

// Answers each request with the bytes that `respond` returns for its target. Empty bytes leave the request
// unanswered, and kCloseMark at their end closes the connection.
struct FakeStore {
  struct Connection final : TcpStreamHandler {
    Connection(FakeStore& owner, int fd) : store(owner), stream(std::make_unique<TcpStream>(owner.loop, fd, *this)) {}
    void OnData(std::string_view bytes) override {
      RequestReader reader(store.names, {});
      if (reader.Read(bytes) != ReadStatus::kComplete) {
        return;  // the client's requests are small and arrive in one piece
      }
      store.targets.push_back(reader.message().target);
      const std::string answer = store.respond(reader.message().target);
      stream->Write(answer.substr(0, answer.find(kCloseMark)));
      if (answer.ends_with(kCloseMark)) {
        stream.reset();
      }
    }
    void OnEnd(StreamEnd /*end*/) override { stream.reset(); }
    FakeStore& store;
    std::unique_ptr<TcpStream> stream;
  };

  EventLoop& loop;
  const FieldNames& names;
  std::function<std::string(const std::string& target)> respond{};
  std::vector<std::string> targets{};
  std::vector<std::unique_ptr<Connection>> connections{};
  TcpListener listener{loop, "127.0.0.1:0",
                       [this](int fd) { connections.push_back(std::make_unique<Connection>(*this, fd)); }};
};

}  // namespace pimentomoor
