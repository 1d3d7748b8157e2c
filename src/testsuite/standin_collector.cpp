// Decodes OTLP export requests and answers them.
#include "standin_collector.h"

#include <cstring>
#include <stdexcept>

namespace pimentomoor {

namespace {

// One encoded field of a protobuf message.
struct WireField {
  std::uint64_t number = 0;
  std::uint64_t value = 0;  // value of a varint or fixed64 field
  std::string_view bytes;   // content of a length-delimited field
};

std::uint64_t ReadVarint(std::string_view& text) {
  std::uint64_t value = 0;
  for (int shift = 0; shift < 64 && !text.empty(); shift += 7) {
    const auto byte = static_cast<unsigned char>(text.front());
    text.remove_prefix(1);
    value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
    if (byte < 0x80) {
      return value;
    }
  }
  throw std::runtime_error("decode export request: malformed varint");
}

std::string_view ReadBytes(std::string_view& text, std::size_t count) {
  if (count > text.size()) {
    throw std::runtime_error("decode export request: message ends within a field");
  }
  const std::string_view bytes = text.substr(0, count);
  text.remove_prefix(count);
  return bytes;
}

std::vector<WireField> ParseFields(std::string_view message) {
  std::vector<WireField> fields;
  while (!message.empty()) {
    const std::uint64_t tag = ReadVarint(message);
    WireField field{.number = tag >> 3};
    switch (tag & 7) {
      case 0:
        field.value = ReadVarint(message);
        break;
      case 1:
        std::memcpy(&field.value, ReadBytes(message, sizeof field.value).data(), sizeof field.value);
        break;
      case 2:
        field.bytes = ReadBytes(message, ReadVarint(message));
        break;
      default:
        throw std::runtime_error("decode export request: wire type " + std::to_string(tag & 7));
    }
    fields.push_back(field);
  }
  return fields;
}

// Calls `visit` for each field of `message` with the given number.
template <typename Visit>
void ForEachField(std::string_view message, std::uint64_t number, Visit visit) {
  for (const WireField& field : ParseFields(message)) {
    if (field.number == number) {
      visit(field);
    }
  }
}

std::string Hex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    text += kDigits[static_cast<unsigned char>(c) >> 4];
    text += kDigits[static_cast<unsigned char>(c) & 0xf];
  }
  return text;
}

// Field numbers: KeyValue has key 1 and value 2; AnyValue has string_value 1 and int_value 3.
void DecodeAttribute(std::string_view message, std::map<std::string, std::string>& attributes) {
  std::string key;
  std::string value;
  ForEachField(message, 1, [&](const WireField& field) { key = field.bytes; });
  ForEachField(message, 2, [&](const WireField& any) {
    ForEachField(any.bytes, 1, [&](const WireField& field) { value = field.bytes; });
    ForEachField(any.bytes, 3, [&](const WireField& field) { value = "int:" + std::to_string(field.value); });
  });
  attributes[key] = value;
}

// The field numbers are those of Span in opentelemetry/proto/trace/v1/trace.proto.
CollectedSpan DecodeSpan(std::string_view message) {
  CollectedSpan span;
  for (const WireField& field : ParseFields(message)) {
    switch (field.number) {
      case 1:
        span.trace_id = Hex(field.bytes);
        break;
      case 2:
        span.span_id = Hex(field.bytes);
        break;
      case 4:
        span.parent_id = Hex(field.bytes);
        break;
      case 5:
        span.name = field.bytes;
        break;
      case 6:
        span.kind = field.value;
        break;
      case 7:
        span.start_unix_ns = field.value;
        break;
      case 8:
        span.end_unix_ns = field.value;
        break;
      case 9:
        DecodeAttribute(field.bytes, span.attributes);
        break;
      case 15:
        ForEachField(field.bytes, 3, [&](const WireField& code) { span.status_code = code.value; });
        break;
      default:
        throw std::runtime_error("decode export request: span has field " + std::to_string(field.number));
    }
  }
  return span;
}

// Encodes a varint field. `number` must be below 16 and `value` below 128, so that each takes one byte.
std::string SmallVarintField(std::uint64_t number, std::uint64_t value) {
  return {static_cast<char>(number << 3), static_cast<char>(value)};
}

}  // namespace

std::vector<CollectedSpan> DecodeExportRequest(std::string_view body) {
  std::vector<CollectedSpan> spans;
  ForEachField(body, 1, [&](const WireField& resource_spans) {
    std::map<std::string, std::string> resource;
    ForEachField(resource_spans.bytes, 1, [&](const WireField& message) {
      ForEachField(message.bytes, 1, [&](const WireField& attribute) { DecodeAttribute(attribute.bytes, resource); });
    });
    ForEachField(resource_spans.bytes, 2, [&](const WireField& scope_spans) {
      ForEachField(scope_spans.bytes, 2, [&](const WireField& span) {
        spans.push_back(DecodeSpan(span.bytes));
        spans.back().resource = resource;
      });
    });
  });
  return spans;
}

StandinCollector::StandinCollector(EventLoop& loop, HttpServerOptions options) : server_(loop, std::move(options)) {
  server_.Handle("/v1/traces",
                 [this](const HttpRequest& request, const HttpResponder& respond) { Handle(request, respond); });
}

void StandinCollector::Handle(const HttpRequest& request, const HttpResponder& respond) {
  ++calls_;
  if (hang) {
    hanging_calls_.push_back(respond);
    return;
  }
  if (refusal_status != 0) {
    respond({.status = refusal_status});
    return;
  }
  if (request.method != "POST" || FindHeader(request.headers, "content-type") != "application/x-protobuf") {
    respond({.status = 400});
    return;
  }
  std::vector<CollectedSpan> decoded;
  try {
    decoded = DecodeExportRequest(request.body);
  } catch (const std::runtime_error&) {
    respond({.status = 400});
    return;
  }
  spans_.insert(spans_.end(), decoded.begin(), decoded.end());
  batch_sizes_.push_back(decoded.size());
  std::string answer;
  if (rejected_spans > 0) {  // partial_success is field 1 of the response; rejected_spans is field 1 of that
    const std::string partial = SmallVarintField(1, rejected_spans);
    answer = std::string("\x0a") + static_cast<char>(partial.size()) + partial;
  }
  respond({.content_type = "application/x-protobuf", .body = answer});
}

}  // namespace pimentomoor
