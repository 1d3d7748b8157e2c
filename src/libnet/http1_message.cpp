// Implementation of the HTTP/1.1 message readers.
#include "pimentomoor/http1_message.h"

// In builds with sanitizers, GCC wrongly reports that the value of an empty boost::optional inside Beast's parser may
// be uninitialized.
#if defined(__GNUC__) && !defined(__clang__) && defined(__SANITIZE_ADDRESS__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include <algorithm>
#include <array>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace pimentomoor {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

std::string_view ToStdView(string_view text) { return {text.data(), text.size()}; }

char LowerCase(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::optional<std::uint64_t> ParseUnsigned(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

// Whether a field concerns one connection only (RFC 9110, section 7.6.1) or is generated anew by each hop. Such
// fields are not forwarded.
bool IsHopByHop(http::field field) {
  switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
    case http::field::content_length:
      return true;
    default:
      return false;
  }
}

constexpr std::string_view kFieldSeparator = ": ";
constexpr std::string_view kLineEnd = "\r\n";

void AppendField(std::string& fields, string_view name, string_view value) {
  fields.append(name.data(), name.size()).append(kFieldSeparator).append(value.data(), value.size()).append(kLineEnd);
}

// Whether `names` has the name of the field in `line`.
bool NamesField(const std::vector<std::string>& names, std::string_view line) {
  const std::string_view field = line.substr(0, line.find(':'));
  return std::any_of(names.begin(), names.end(), [&](const auto& name) { return EqualsIgnoreCase(field, name); });
}

// Removes the fields in `names`, which the Connection field has marked as meant for one connection only. Calls
// `on_removed(offset, size)` with the former place of each of them.
template <typename OnRemoved>
void RemoveNamedFields(std::string& fields, const std::vector<std::string>& names, OnRemoved on_removed) {
  std::string remaining_fields;
  std::string_view rest = fields;
  while (!rest.empty()) {
    const std::size_t end = rest.find("\r\n") + 2;
    const std::string_view line = rest.substr(0, end);
    if (NamesField(names, line)) {
      on_removed(fields.size() - rest.size(), end);
    } else {
      remaining_fields.append(line);
    }
    rest.remove_prefix(end);
  }
  fields = std::move(remaining_fields);
}

// The part of a body's memory that was reserved and never written isn't occupied.
std::size_t OccupiedBytes(const std::string& body) { return std::min(body.capacity(), 2 * body.size()); }

std::string HostWithoutPort(std::string_view value) {
  std::string host(value.substr(0, value.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), LowerCase);
  return host;
}

// Whether a response with this status answers a request, or announces that an answer follows. 101 does neither,
// because no request asks for another protocol. Beast reads any three digits.
bool IsResponseStatus(int status) { return status >= 100 && status <= 599 && status != 101; }

ReadStatus StatusOf(const error_code& error) {
  if (error == http::error::header_limit) {
    return ReadStatus::kHeadTooLarge;
  }
  if (error == http::error::body_limit) {
    return ReadStatus::kBodyTooLarge;
  }
  return ReadStatus::kMalformed;
}

// Passes the front of `bytes` to a Beast parser and removes the bytes that it consumed.
template <typename Parser>
ReadStatus Feed(Parser& parser, std::string_view& bytes) {
  while (!parser.is_done()) {
    if (bytes.empty() && !parser.CanFinishEmpty()) {
      return ReadStatus::kNeedMore;
    }
    error_code error;
    const std::string_view window = parser.Window(bytes);
    const std::size_t consumed = parser.put(boost::asio::const_buffer(window.data(), window.size()), error);
    bytes.remove_prefix(consumed);
    if ((!error || error == http::error::need_more) && parser.CountHeadBytes(consumed, bytes.size())) {
      return ReadStatus::kHeadTooLarge;
    }
    // Checked before need_more, so that a malformed head is reported although its body is incomplete.
    if (parser.is_header_done() && parser.malformed()) {
      return ReadStatus::kMalformed;
    }
    if (error == http::error::need_more) {
      if (consumed > 0 && consumed + bytes.size() > window.size()) {
        continue;  // the part that is incomplete in this window may be complete in the next one
      }
      return parser.NeedMore(bytes.size());
    }
    if (error) {
      return StatusOf(error);
    }
    if (parser.malformed()) {
      return ReadStatus::kMalformed;
    }
    if (consumed == 0 && bytes.empty()) {
      return parser.is_done() ? ReadStatus::kComplete : ReadStatus::kNeedMore;
    }
  }
  return parser.malformed() ? ReadStatus::kMalformed : ReadStatus::kComplete;
}

// Common part of the request and the response parser: limits, body, transfer coding and Connection fields.
template <bool is_request, typename Message>
class MessageParser : public http::basic_parser<is_request> {
 public:
  MessageParser(const FieldNames& names, const MessageLimits& limits)
      : names_(names), max_head_bytes_(limits.head_bytes), max_body_bytes_(limits.body_bytes) {
    this->header_limit(limits.head_bytes);
    this->body_limit(limits.body_bytes);
    this->eager(false);  // put() stops at the end of the head, so that CountHeadBytes() counts no byte of the body
  }

  // Adds the `consumed` bytes of a put() call to the size of the head. Returns whether the head exceeds its limit;
  // the `remaining` bytes and at least one more are part of an incomplete head. Beast's own limit applies to the
  // start line and the fields separately when they arrive together, and to their sum when they do not.
  bool CountHeadBytes(std::size_t consumed, std::size_t remaining) {
    if (this->eager()) {
      return false;
    }
    head_bytes_ += consumed;
    this->eager(this->is_header_done());
    return this->eager() ? head_bytes_ > max_head_bytes_ : head_bytes_ + remaining >= max_head_bytes_;
  }

  // The front of `bytes` that one put() call may read. Beast doesn't limit the line of a chunk and the trailer.
  // Within a window they can't exceed the limit, in however many pieces they arrive.
  [[nodiscard]] std::string_view Window(std::string_view bytes) const {
    return this->is_header_done() ? bytes.substr(0, max_head_bytes_) : bytes;
  }

  // What to report for an incomplete message of which `unparsed` bytes are kept until more arrive: part of the head,
  // or of the line or trailer of a chunk, of which at least one byte is missing.
  [[nodiscard]] ReadStatus NeedMore(std::size_t unparsed) const {
    return unparsed >= max_head_bytes_ ? ReadStatus::kHeadTooLarge : ReadStatus::kNeedMore;
  }

  [[nodiscard]] bool malformed() const { return malformed_; }
  [[nodiscard]] bool CanFinishEmpty() const { return false; }
  Message& message() { return message_; }
  [[nodiscard]] const Message& message() const { return message_; }

 protected:
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& error) final {
    error = {};
    if (length && *length <= max_body_bytes_) {
      message_.body.reserve(*length);
    }
  }
  std::size_t on_body_impl(string_view body, error_code& error) final {
    error = {};
    message_.body.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, string_view, error_code& error) final { error = {}; }
  std::size_t on_chunk_body_impl(std::uint64_t, string_view body, error_code& error) final {
    error = {};
    message_.body.append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(error_code& error) final { error = {}; }

  // Beast ignores transfer codings that it does not know, and would then find a wrong end of the body.
  void CheckTransferCoding(string_view value) { malformed_ = malformed_ || !boost::beast::iequals(value, "chunked"); }

  void CollectConnectionTokens(string_view value) {
    for (const auto token : http::token_list(value)) {
      if (!boost::beast::iequals(token, "close") && !boost::beast::iequals(token, "keep-alive")) {
        connection_tokens_.emplace_back(token.data(), token.size());
      }
    }
  }

  const FieldNames& names_;
  const std::size_t max_head_bytes_;
  const std::uint64_t max_body_bytes_;
  std::size_t head_bytes_ = 0;  // bytes of the head that were read
  Message message_;
  std::vector<std::string> connection_tokens_;  // field names listed in Connection fields
  bool malformed_ = false;
};

}  // namespace

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(),
                                                   [](char a, char b) { return LowerCase(a) == LowerCase(b); });
}

bool IsFieldValue(std::string_view text) {
  constexpr std::size_t kMaxBytes = 256;
  const auto is_control = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; };
  return !text.empty() && text.size() <= kMaxBytes && text.front() != ' ' && text.back() != ' ' &&
         std::none_of(text.begin(), text.end(), is_control);
}

PresentedKey RequestMessage::FindKey() const {
  PresentedKey key;
  bool found = false;
  for (const auto& field : customer_fields) {
    if (!field.is_key || field.in_trailer) {
      continue;
    }
    std::string_view value = field.line.view().substr(field.value_offset);
    value.remove_suffix(kLineEnd.size());
    key.conflicting = key.conflicting || (found && value != key.text);
    key.text = found ? key.text : value;
    found = true;
  }
  return key;
}

std::string RequestMessage::AllForwardFields() const {
  std::string fields;
  std::size_t copied = 0;
  for (const auto& field : customer_fields) {
    fields.append(forward_fields, copied, field.forward_offset - copied);
    fields.append(field.forwarded ? field.line.view() : std::string_view());
    copied = field.forward_offset;
  }
  return fields.append(forward_fields, copied);
}

class RequestReader::Parser final : public MessageParser<true, RequestMessage> {
 public:
  using MessageParser::MessageParser;

  [[nodiscard]] bool started() const { return this->got_some(); }

 private:
  void on_request_impl(http::verb, string_view method, string_view target, int, error_code& error) final {
    error = {};
    message_.method = ToStdView(method);
    message_.target = ToStdView(target);
    malformed_ = target.empty() || target.front() != '/';
  }
  void on_response_impl(int, string_view, int, error_code& error) final { error = {}; }
  void on_field_impl(http::field field, string_view name, string_view value, error_code& error) final;
  void on_header_impl(error_code& error) final {
    error = {};
    message_.keep_alive = this->keep_alive();
    message_.has_body = this->chunked() || this->content_length().has_value();
    malformed_ = malformed_ || host_field_count_ != 1;
    if (!connection_tokens_.empty()) {
      RemoveConnectionFields();
    }
  }
  void RemoveConnectionFields();

  int host_field_count_ = 0;
};

void RequestReader::Parser::RemoveConnectionFields() {
  std::vector<CustomerField>& customer_fields = message_.customer_fields;
  std::vector<std::size_t> offsets;
  offsets.reserve(customer_fields.size());
  for (const auto& field : customer_fields) {
    offsets.push_back(field.forward_offset);
  }
  RemoveNamedFields(message_.forward_fields, connection_tokens_, [&](std::size_t offset, std::size_t size) {
    for (std::size_t i = 0; i < offsets.size(); ++i) {
      customer_fields[i].forward_offset -= offset < offsets[i] ? size : 0;
    }
  });
  for (auto& field : customer_fields) {
    field.forwarded = !NamesField(connection_tokens_, field.line.view());
  }
}

void RequestReader::Parser::on_field_impl(http::field field, string_view name, string_view value, error_code& error) {
  error = {};
  if (field == http::field::transfer_encoding) {
    CheckTransferCoding(value);
  } else if (field == http::field::connection) {
    CollectConnectionTokens(value);
  } else if (field == http::field::expect) {
    message_.expects_continue = true;
  } else if (field == http::field::host) {
    ++host_field_count_;
    message_.host = HostWithoutPort(ToStdView(value));
  }
  if (IsHopByHop(field) || EqualsIgnoreCase(ToStdView(name), names_.expected_instance)) {
    return;
  }
  if (EqualsIgnoreCase(ToStdView(name), names_.deadline_ms)) {
    message_.deadline_ms = ParseUnsigned(ToStdView(value));
    return;
  }
  if (EqualsIgnoreCase(ToStdView(name), names_.request_id)) {
    malformed_ = malformed_ || !message_.request_id.empty();
    message_.request_id = ToStdView(value);
    return;  // not in forward_fields, where a Connection field could remove it; the gateway forwards it separately
  }
  const bool is_key = EqualsIgnoreCase(ToStdView(name), names_.api_key);
  if (is_key || EqualsIgnoreCase(ToStdView(name), names_.customer)) {
    message_.customer_fields.push_back({.forward_offset = message_.forward_fields.size(),
                                        .value_offset = name.size() + kFieldSeparator.size(),
                                        .is_key = is_key,
                                        .in_trailer = this->is_header_done(),
                                        .line = {ToStdView(name), kFieldSeparator, ToStdView(value), kLineEnd}});
    return;
  }
  AppendField(message_.forward_fields, name, value);
}

RequestReader::RequestReader(const FieldNames& names, const MessageLimits& limits)
    : parser_(std::make_unique<Parser>(names, limits)) {}
RequestReader::~RequestReader() = default;
ReadStatus RequestReader::Read(std::string_view& bytes) { return Feed(*parser_, bytes); }
bool RequestReader::started() const { return parser_->started(); }
bool RequestReader::head_complete() const { return parser_->is_header_done(); }
RequestMessage& RequestReader::message() { return parser_->message(); }
std::size_t RequestReader::held_bytes() const {
  const RequestMessage& message = parser_->message();
  return OccupiedBytes(message.body) + message.forward_fields.capacity() + message.target.capacity();
}

class ResponseReader::Parser final : public MessageParser<false, ResponseMessage> {
 public:
  Parser(const FieldNames& names, const MessageLimits& limits, bool head_request, bool collect_fields)
      : MessageParser(names, limits), collect_fields_(collect_fields) {
    this->skip(head_request);
  }

  [[nodiscard]] bool started() const { return this->got_some(); }

 private:
  void on_request_impl(http::verb, string_view, string_view, int, error_code& error) final { error = {}; }
  void on_response_impl(int status, string_view, int, error_code& error) final {
    error = {};
    message_.status = status;
    malformed_ = !IsResponseStatus(status);
  }
  void on_field_impl(http::field field, string_view name, string_view value, error_code& error) final;
  void on_header_impl(error_code& error) final {
    error = {};
    message_.keep_alive = this->keep_alive() && !this->need_eof();
    if (!connection_tokens_.empty()) {
      RemoveNamedFields(message_.forward_fields, connection_tokens_, [](std::size_t, std::size_t) {});
    }
  }
  void ReadKeepAlive(std::string_view value);

  bool collect_fields_;
};

void ResponseReader::Parser::ReadKeepAlive(std::string_view value) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t start = value.find(kTimeout);
  if (start == value.npos) {
    return;
  }
  const std::string_view digits = value.substr(start + kTimeout.size());
  message_.keep_alive_s = ParseUnsigned(digits.substr(0, digits.find_first_not_of("0123456789")));
}

void ResponseReader::Parser::on_field_impl(http::field field, string_view name, string_view value,
                                           error_code& error) {
  error = {};
  switch (field) {
    case http::field::transfer_encoding:
      CheckTransferCoding(value);
      return;
    case http::field::connection:
      CollectConnectionTokens(value);
      return;
    case http::field::keep_alive:
      ReadKeepAlive(ToStdView(value));
      return;
    case http::field::content_encoding:
      message_.has_content_encoding = true;
      break;
    case http::field::retry_after:
      message_.retry_after = ToStdView(value);
      break;
    case http::field::unknown: {
      const std::string_view text = ToStdView(name);
      if (EqualsIgnoreCase(text, names_.request_id)) {
        message_.request_id = ToStdView(value);
      } else if (EqualsIgnoreCase(text, names_.stamp)) {
        message_.stamp = ToStdView(value);
      } else if (EqualsIgnoreCase(text, names_.not_run)) {
        message_.not_run = true;
      } else if (EqualsIgnoreCase(text, names_.instance)) {
        message_.instance = ToStdView(value);
      } else if (EqualsIgnoreCase(text, names_.cold_ms)) {
        message_.cold_ms = ParseUnsigned(ToStdView(value));
      } else if (EqualsIgnoreCase(text, names_.leaving)) {
        message_.leaving = message_.leaving || value == "1";
      } else if (EqualsIgnoreCase(text, names_.store_era)) {
        message_.store_era = ToStdView(value);
      }
      break;
    }
    default:
      break;
  }
  if (collect_fields_ && !IsHopByHop(field)) {
    AppendField(message_.forward_fields, name, value);
  }
}

ResponseReader::ResponseReader(const FieldNames& names, const MessageLimits& limits, bool head_request,
                               bool collect_fields)
    : parser_(std::make_unique<Parser>(names, limits, head_request, collect_fields)) {}
ResponseReader::~ResponseReader() = default;
ReadStatus ResponseReader::Read(std::string_view& bytes) { return Feed(*parser_, bytes); }
bool ResponseReader::started() const { return parser_->started(); }
bool ResponseReader::head_complete() const { return parser_->is_header_done(); }
ResponseMessage& ResponseReader::message() { return parser_->message(); }

std::size_t ResponseReader::held_bytes() const {
  const ResponseMessage& message = parser_->message();
  return OccupiedBytes(message.body) + message.forward_fields.capacity();
}

ReadStatus ResponseReader::ReadEnd() {
  if (!parser_->started()) {
    return ReadStatus::kMalformed;
  }
  error_code error;
  parser_->put_eof(error);
  return error || !parser_->is_done() || parser_->malformed() ? ReadStatus::kMalformed : ReadStatus::kComplete;
}

std::string_view ReasonPhrase(int status) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  return ToStdView(reason);
}

}  // namespace pimentomoor
