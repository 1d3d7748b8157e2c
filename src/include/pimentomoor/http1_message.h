// Strict, incremental readers for HTTP/1.1 messages, based on Boost.Beast's parser.
//
// The gateway uses them instead of h2o's HTTP client and server to forward requests: h2o reports a body as complete
// when the connection was reset within it, keeps bytes that follow a response in a pooled connection, and does not
// notice that a client has disconnected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/customer.h"
#include "pimentomoor/secret_text.h"

namespace pimentomoor {

/// Names of the header fields that the gateway itself reads or writes, in lower case. The platform adapter supplies
/// them.
struct FieldNames {
  std::string request_id;         // requests and responses: id of the request
  std::string deadline_ms;        // requests: time left for the answer, in milliseconds
  std::string stamp;              // responses of upstreams: text that marks an answer as the upstream's own
  std::string expected_instance;  // requests to upstreams: id of the instance that is meant to run the request
  std::string not_run;            // responses of upstreams: present when the request was refused without running it
  std::string instance;           // responses of upstreams: id of the instance that answered
  std::string cold_ms;            // responses of upstreams: milliseconds until the upstream is warm
  std::string parts;              // gathered answers to callers: stamps of the merged parts
  std::string missing_parts;      // gathered answers to callers: number of parts without an answer
  std::string api_key;            // requests of callers: key of the customer
  std::string customer;           // requests to upstreams: name of the customer that holds the key
  std::string leaving;            // responses of upstreams: "1" when the upstream is about to end
  std::string store_era;          // responses of the store: number of times it has been restored from a copy

  friend bool operator==(const FieldNames&, const FieldNames&) = default;
};

/// Compares two ASCII texts without regard to case.
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

/// Whether `text`, which comes from another program, can be the value of a header field as it stands: it has no
/// control characters and no white space at its ends, and is neither empty nor longer than 256 bytes.
bool IsFieldValue(std::string_view text);

/// A header field of a request that holds a key or claims to name a customer.
struct CustomerField {
  std::size_t forward_offset = 0;  // position in RequestMessage::forward_fields at which it was received
  std::size_t value_offset = 0;    // position of the value in `line`
  bool is_key = false;
  bool in_trailer = false;
  bool forwarded = true;  // not named in a Connection field
  SecretText line;        // "Name: value\r\n"

  friend bool operator==(const CustomerField&, const CustomerField&) = default;
};

/// A request as read from a caller.
struct RequestMessage {
  std::string method;
  std::string target;  // path and query string as received
  std::string host;    // from the Host field, without the port, in lower case
  std::string request_id;
  std::optional<std::uint64_t> deadline_ms;
  std::string forward_fields;  // "Name: value\r\n" for each header field to forward, without customer_fields
  // Fields that are forwarded only in a deployment without customers. Apart from the others, so that a key is copied
  // and wiped in one place.
  std::vector<CustomerField> customer_fields;
  std::string body;
  bool has_body = false;          // has a Content-Length or is chunked, even if the body is empty
  bool keep_alive = true;         // the caller keeps the connection open for further requests
  bool expects_continue = false;  // has an Expect field

  /// The target without the query string.
  [[nodiscard]] std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
  /// The key in the header of the request. A trailer is not part of it.
  [[nodiscard]] PresentedKey FindKey() const;
  /// forward_fields and customer_fields in the order in which they were received.
  [[nodiscard]] std::string AllForwardFields() const;
};

/// A response as read from a server. FieldNames describes the fields that are specific to the tier.
struct ResponseMessage {
  int status = 0;
  std::string request_id;
  std::string stamp;
  std::string instance;
  std::optional<std::uint64_t> cold_ms;
  std::optional<std::uint64_t> keep_alive_s;  // idle timeout from the server's Keep-Alive field, in seconds
  std::string retry_after;                    // text of the Retry-After field
  std::string store_era;
  bool leaving = false;  // the upstream is about to end
  bool not_run = false;
  bool has_content_encoding = false;  // the body is encoded and not the upstream's plain text
  bool keep_alive = false;            // the connection can carry another request
  std::string forward_fields;         // "Name: value\r\n" for each header field to forward
  std::string body;
};

/// Result of passing bytes to a reader. After kMalformed, kHeadTooLarge and kBodyTooLarge, no further message can be
/// read from the connection.
enum class ReadStatus {
  kNeedMore,      // the message is incomplete
  kComplete,      // the message has been read to its end
  kMalformed,     // not an HTTP/1.1 message, or one that two servers could read differently
  kHeadTooLarge,  // the start line and header fields, or a chunk's line or trailer, exceed MessageLimits::head_bytes
  kBodyTooLarge   // the body exceeds MessageLimits::body_bytes
};

/// Largest accepted size of the parts of a message.
struct MessageLimits {
  std::uint32_t head_bytes = 16 * 1024;  // start line and header fields; also a chunk's line, and the trailer
  std::uint64_t body_bytes = std::uint64_t{1024} * 1024;

  friend bool operator==(const MessageLimits&, const MessageLimits&) = default;
};

/// Reads one request; each request needs a new reader.
class RequestReader {
 public:
  RequestReader(const FieldNames& names, const MessageLimits& limits);
  ~RequestReader();

  /// Reads from the front of `bytes` and removes the bytes it consumed. The caller must pass the remaining bytes
  /// again, followed by the next received ones.
  ReadStatus Read(std::string_view& bytes);

  /// Whether any byte of the message has been read.
  [[nodiscard]] bool started() const;
  [[nodiscard]] bool head_complete() const;
  /// The message as read so far.
  RequestMessage& message();
  /// Memory that the message as read so far occupies.
  [[nodiscard]] std::size_t held_bytes() const;

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

/// Most interim responses (1xx) that a client skips before the response to one request, so that a server which sends
/// nothing else is given up.
constexpr unsigned kMaxInterimResponses = 8;

/// Reads one response; each response needs a new reader. Reads an interim (1xx) response as a message of its own. A
/// response with any other status than 100 and 102 to 599 is malformed.
class ResponseReader {
 public:
  /// `head_request` is true for the response to a HEAD request, which has no body. `collect_fields` is true when
  /// ResponseMessage::forward_fields is needed.
  ResponseReader(const FieldNames& names, const MessageLimits& limits, bool head_request, bool collect_fields);
  ~ResponseReader();

  /// Like RequestReader::Read().
  ReadStatus Read(std::string_view& bytes);

  /// Reports that the server has closed the connection in order. Returns kComplete when that ends the body of the
  /// response, otherwise kMalformed.
  ReadStatus ReadEnd();

  /// Whether any byte of the message has been read.
  [[nodiscard]] bool started() const;
  [[nodiscard]] bool head_complete() const;
  /// The message as read so far.
  ResponseMessage& message();
  /// Memory that the message as read so far occupies.
  [[nodiscard]] std::size_t held_bytes() const;

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

/// Returns the standard reason phrase of a status code, such as "Not Found" for 404.
std::string_view ReasonPhrase(int status);

}  // namespace pimentomoor
