// Header fields, query strings and failure texts, for the HTTP server and client.
#include "pimentomoor/http.h"

namespace pimentomoor {

namespace {

// Returns the value of a hexadecimal digit, or -1 for other characters.
int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return -1;
}

// Decodes percent-encoding and '+' in a query string. Malformed percent sequences are copied unchanged.
std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexValue(text[i + 1]) >= 0 && HexValue(text[i + 2]) >= 0) {
      decoded += static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

}  // namespace

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

std::string QueryParameter(std::string_view query, std::string_view key) {
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view parameter = query.substr(0, end);
    const std::size_t equals = parameter.find('=');
    if (parameter.substr(0, equals) == key) {
      return equals == parameter.npos ? "" : DecodePercent(parameter.substr(equals + 1));
    }
    query = end == query.npos ? std::string_view() : query.substr(end + 1);
  }
  return "";
}

std::string UrlEncode(std::string_view text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool letter_or_digit = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    if (letter_or_digit || c == '-' || c == '_' || c == '.') {
      out += c;
    } else {
      out += {'%', kHexDigits[byte >> 4], kHexDigits[byte & 0xf]};
    }
  }
  return out;
}

std::string_view ToString(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kNone:
      return "none";
    case HttpFailure::kConnect:
      return "connection failed";
    case HttpFailure::kConnectionLost:
      return "connection lost";
    case HttpFailure::kTimeout:
      return "timeout";
    case HttpFailure::kConnectTimeout:
      return "connect timeout";
    case HttpFailure::kNotAllowed:
      return "not allowed any more when the connection was ready";
    case HttpFailure::kTooLarge:
      return "response too large";
  }
  return "unknown";
}

}  // namespace pimentomoor
