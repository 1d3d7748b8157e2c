// Stand-in for an OTLP trace collector: serves POST /v1/traces and keeps the decoded spans.
//
// It decodes the wire format by the published field numbers and not with the generated code of otlp.proto, so that
// tests find a wrong field number in that file.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"

namespace pimentomoor {

struct CollectedSpan {
  std::string trace_id;   // hexadecimal
  std::string span_id;    // hexadecimal
  std::string parent_id;  // hexadecimal, empty for a root
  std::string name;
  std::uint64_t kind = 0;
  std::uint64_t start_unix_ns = 0;
  std::uint64_t end_unix_ns = 0;
  std::map<std::string, std::string> attributes;  // an integer 5 is "int:5"
  std::uint64_t status_code = 0;
  std::map<std::string, std::string> resource;  // resource attributes, which describe the sending process

  friend bool operator==(const CollectedSpan&, const CollectedSpan&) = default;
};

/// Decodes the body of one export call. Throws std::runtime_error when it is malformed.
std::vector<CollectedSpan> DecodeExportRequest(std::string_view body);

class StandinCollector {
 public:
  explicit StandinCollector(EventLoop& loop, HttpServerOptions options = {});

  [[nodiscard]] std::string address() const { return server_.address(); }
  [[nodiscard]] const std::vector<CollectedSpan>& spans() const { return spans_; }
  /// Number of spans in each accepted call.
  [[nodiscard]] const std::vector<std::size_t>& batch_sizes() const { return batch_sizes_; }
  /// Number of calls received, including refused and unanswered ones.
  [[nodiscard]] std::size_t calls() const { return calls_; }

  int refusal_status = 0;            // status of the response to each call, unless 0
  bool hang = false;                 // calls are never answered while this is set
  std::uint64_t rejected_spans = 0;  // number of rejected spans in responses (a partial success), unless 0

 private:
  void Handle(const HttpRequest& request, const HttpResponder& respond);

  HttpServer server_;
  std::vector<CollectedSpan> spans_;
  std::vector<std::size_t> batch_sizes_;
  std::size_t calls_ = 0;
  std::vector<HttpResponder> hanging_calls_;  // keeps the connections of unanswered calls open
};

}  // namespace pimentomoor
