// Strict, incremental readers for HTTP/1.1 messages, over Boost.Beast's parser.
//
// They replace h2o's HTTP client and server where requests are forwarded: h2o reports a body that was reset on the
// way as complete, keeps bytes after a response in a pooled connection, and does not notice that a client has left.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentomoor {

/// Names of the header fields with a meaning to the tier, in lower case. The platform adapter supplies them.
struct FieldNames {
  std::string request_id;
  std::string deadline_ms;
  std::string stamp;
  std::string expected_instance;
  std::string not_run;
  std::string instance;
  std::string cold_ms;
  std::string parts;
  std::string missing_parts;

  friend bool operator==(const FieldNames&, const FieldNames&) = default;
};

/// Whether two ASCII texts are equal without regard to case.
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

struct RequestMessage {
  std::string method;
  std::string target;  // path and query as received
  std::string host;    // without a port, in lower case
  std::string request_id;
  std::optional<std::uint64_t> deadline_ms;
  std::string forward_fields;  // "Name: value\r\n" of each field that is passed on
  std::string body;
  bool has_body = false;  // the request had a length or chunks
  bool keep_alive = true;
  bool expects_continue = false;

  [[nodiscard]] std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

struct ResponseMessage {
  int status = 0;
  std::string request_id;
  std::string stamp;
  std::string instance;
  std::optional<std::uint64_t> cold_ms;
  std::optional<std::uint64_t> keep_alive_s;  // idle timeout that the server announces
  bool not_run = false;
  bool has_content_encoding = false;  // has a Content-Encoding, so the body is not the searcher's
  bool keep_alive = false;            // the connection can carry another request
  std::string forward_fields;
  std::string body;
};

enum class ReadStatus { kNeedMore, kComplete, kMalformed, kHeadTooLarge, kBodyTooLarge };

struct MessageLimits {
  std::uint32_t head_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{1024} * 1024;

  friend bool operator==(const MessageLimits&, const MessageLimits&) = default;
};

/// Reads one request. Create a new reader for the next one.
class RequestReader {
 public:
  RequestReader(const FieldNames& names, const MessageLimits& limits);
  ~RequestReader();

  /// Reads from the front of `bytes` and removes what it used; the rest must be passed again with more bytes.
  ReadStatus Read(std::string_view& bytes);

  [[nodiscard]] bool started() const;
  [[nodiscard]] bool head_complete() const;
  /// The message; complete after kComplete.
  RequestMessage& message();

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

/// Reads one response.
class ResponseReader {
 public:
  /// `head_request` tells that the request was a HEAD, whose response has no body. `collect_fields` fills
  /// forward_fields.
  ResponseReader(const FieldNames& names, const MessageLimits& limits, bool head_request, bool collect_fields);
  ~ResponseReader();

  ReadStatus Read(std::string_view& bytes);

  /// The connection was closed in order: completes a response whose body ends with the connection.
  ReadStatus ReadEnd();

  [[nodiscard]] bool started() const;
  [[nodiscard]] bool head_complete() const;
  ResponseMessage& message();

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

/// Reason phrase of a status code.
std::string_view ReasonPhrase(int status);

}  // namespace pimentomoor
