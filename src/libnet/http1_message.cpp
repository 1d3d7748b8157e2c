// Implementation of the message readers.
#include "pimentomoor/http1_message.h"

// GCC reports the value of an empty boost::optional inside Beast's parser as maybe uninitialized, in code that the
// sanitizers have instrumented only.
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

std::string_view View(string_view text) { return {text.data(), text.size()}; }

char LowerCase(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::optional<std::uint64_t> ParseUnsigned(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

// Fields that concern one connection only (RFC 9110, section 7.6.1), and those that each hop writes anew.
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

void AppendField(std::string& fields, string_view name, string_view value) {
  fields.append(name.data(), name.size()).append(": ").append(value.data(), value.size()).append("\r\n");
}

// Removes the fields that a Connection header names, which are meant for this hop only.
void RemoveNamedFields(std::string& fields, const std::vector<std::string>& names) {
  std::string kept;
  std::string_view rest = fields;
  while (!rest.empty()) {
    const std::size_t end = rest.find("\r\n") + 2;
    const std::string_view line = rest.substr(0, end);
    const std::string_view name = line.substr(0, line.find(':'));
    if (std::none_of(names.begin(), names.end(),
                     [&](const auto& dropped) { return EqualsIgnoreCase(name, dropped); })) {
      kept.append(line);
    }
    rest.remove_prefix(end);
  }
  fields = std::move(kept);
}

std::string HostWithoutPort(std::string_view value) {
  std::string host(value.substr(0, value.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), LowerCase);
  return host;
}

ReadStatus StatusOf(const error_code& error) {
  if (error == http::error::header_limit) {
    return ReadStatus::kHeadTooLarge;
  }
  if (error == http::error::body_limit) {
    return ReadStatus::kBodyTooLarge;
  }
  return ReadStatus::kMalformed;
}

// Feeds a Beast parser from the front of `bytes`.
template <typename Parser>
ReadStatus Feed(Parser& parser, std::string_view& bytes) {
  while (!parser.is_done()) {
    if (bytes.empty() && !parser.CanFinishEmpty()) {
      return ReadStatus::kNeedMore;
    }
    error_code error;
    const std::size_t used = parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    bytes.remove_prefix(used);
    if ((!error || error == http::error::need_more) && parser.CountHead(used, bytes.size())) {
      return ReadStatus::kHeadTooLarge;
    }
    // Before need_more: a body that is not complete yet must not hide that the head is wrong.
    if (parser.is_header_done() && parser.bad()) {
      return ReadStatus::kMalformed;
    }
    if (error == http::error::need_more) {
      return ReadStatus::kNeedMore;
    }
    if (error) {
      return StatusOf(error);
    }
    if (parser.bad()) {
      return ReadStatus::kMalformed;
    }
    if (used == 0 && bytes.empty()) {
      return parser.is_done() ? ReadStatus::kComplete : ReadStatus::kNeedMore;
    }
  }
  return parser.bad() ? ReadStatus::kMalformed : ReadStatus::kComplete;
}

// What the readers of requests and responses share: the body and the fields of one connection.
template <bool is_request, typename Message>
class MessageParser : public http::basic_parser<is_request> {
 public:
  MessageParser(const FieldNames& names, const MessageLimits& limits)
      : names_(names), head_limit_(limits.head_bytes) {
    this->header_limit(limits.head_bytes);
    this->body_limit(limits.body_bytes);
    this->eager(false);  // so that the call that completes the head uses nothing after it
  }

  // Counts the `used` bytes of a call, and returns whether the head is too large with the `left` ones if it goes on.
  // Beast limits the start line and the fields each when they arrive together, and their sum when they do not.
  bool CountHead(std::size_t used, std::size_t left) {
    if (this->eager()) {
      return false;
    }
    head_bytes_ += used;
    this->eager(this->is_header_done());
    return head_bytes_ + (this->eager() ? 0 : left) > head_limit_;
  }

  [[nodiscard]] bool bad() const { return bad_; }
  [[nodiscard]] bool CanFinishEmpty() const { return false; }
  Message& message() { return message_; }

 protected:
  void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code& error) final { error = {}; }
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

  // Beast ignores a coding that it does not know; the body would then be read with a wrong end.
  void CheckTransferCoding(string_view value) { bad_ = bad_ || !boost::beast::iequals(value, "chunked"); }

  void CollectConnectionTokens(string_view value) {
    for (const auto token : http::token_list(value)) {
      if (!boost::beast::iequals(token, "close") && !boost::beast::iequals(token, "keep-alive")) {
        connection_tokens_.emplace_back(token.data(), token.size());
      }
    }
  }

  const FieldNames& names_;
  const std::size_t head_limit_;
  std::size_t head_bytes_ = 0;
  Message message_;
  std::vector<std::string> connection_tokens_;
  bool bad_ = false;
};

}  // namespace

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(),
                                                   [](char a, char b) { return LowerCase(a) == LowerCase(b); });
}

class RequestReader::Parser final : public MessageParser<true, RequestMessage> {
 public:
  using MessageParser::MessageParser;

  [[nodiscard]] bool started() const { return this->got_some(); }

 private:
  void on_request_impl(http::verb, string_view method, string_view target, int, error_code& error) final {
    error = {};
    message_.method = View(method);
    message_.target = View(target);
    bad_ = target.empty() || target.front() != '/';
  }
  void on_response_impl(int, string_view, int, error_code& error) final { error = {}; }
  void on_field_impl(http::field field, string_view name, string_view value, error_code& error) final;
  void on_header_impl(error_code& error) final {
    error = {};
    message_.keep_alive = this->keep_alive();
    message_.has_body = this->chunked() || this->content_length().has_value();
    bad_ = bad_ || hosts_ != 1;
    if (!connection_tokens_.empty()) {
      RemoveNamedFields(message_.forward_fields, connection_tokens_);
    }
  }

  int hosts_ = 0;
};

void RequestReader::Parser::on_field_impl(http::field field, string_view name, string_view value, error_code& error) {
  error = {};
  if (field == http::field::transfer_encoding) {
    CheckTransferCoding(value);
  } else if (field == http::field::connection) {
    CollectConnectionTokens(value);
  } else if (field == http::field::expect) {
    message_.expects_continue = true;
  } else if (field == http::field::host) {
    ++hosts_;
    message_.host = HostWithoutPort(View(value));
  }
  if (IsHopByHop(field) || EqualsIgnoreCase(View(name), names_.expected_instance)) {
    return;
  }
  if (EqualsIgnoreCase(View(name), names_.deadline_ms)) {
    message_.deadline_ms = ParseUnsigned(View(value));
    return;
  }
  if (EqualsIgnoreCase(View(name), names_.request_id)) {
    bad_ = bad_ || !message_.request_id.empty();
    message_.request_id = View(value);
    return;  // written anew by the upstream side, so that a Connection header can't remove it
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
  }
  void on_field_impl(http::field field, string_view name, string_view value, error_code& error) final;
  void on_header_impl(error_code& error) final {
    error = {};
    message_.keep_alive = this->keep_alive() && !this->need_eof();
    if (!connection_tokens_.empty()) {
      RemoveNamedFields(message_.forward_fields, connection_tokens_);
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
      ReadKeepAlive(View(value));
      return;
    case http::field::content_encoding:
      message_.has_content_encoding = true;
      break;
    case http::field::unknown: {
      const std::string_view text = View(name);
      if (EqualsIgnoreCase(text, names_.request_id)) {
        message_.request_id = View(value);
      } else if (EqualsIgnoreCase(text, names_.stamp)) {
        message_.stamp = View(value);
      } else if (EqualsIgnoreCase(text, names_.not_run)) {
        message_.not_run = true;
      } else if (EqualsIgnoreCase(text, names_.instance)) {
        message_.instance = View(value);
      } else if (EqualsIgnoreCase(text, names_.cold_ms)) {
        message_.cold_ms = ParseUnsigned(View(value));
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

ReadStatus ResponseReader::ReadEnd() {
  if (!parser_->started()) {
    return ReadStatus::kMalformed;
  }
  error_code error;
  parser_->put_eof(error);
  return error || !parser_->is_done() || parser_->bad() ? ReadStatus::kMalformed : ReadStatus::kComplete;
}

std::string_view ReasonPhrase(int status) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  return View(reason);
}

}  // namespace pimentomoor
